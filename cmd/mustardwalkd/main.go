// Command mustardwalkd runs one host of a mustardwalk deployment.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/mustardwalk/mustardwalk/internal/daemon"
	"github.com/mustardwalk/mustardwalk/platform"
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if platform.Handles(os.Args[1:]) {
		signal.Notify(signals, syscall.SIGHUP)
		os.Exit(platform.Main(os.Args[1:], os.Stdout, signals))
	}
	// SIGXFSZ is sent when a write exceeds the file size limit. Its default action ends the process without a log line; if
	// the signal is ignored, the write returns an error instead.
	signal.Ignore(syscall.SIGXFSZ)
	os.Exit(daemon.Main(os.Args[1:], os.Stderr, parts(), signals))
}
