// Command capacity measures what a deployment costs on each host, writes the results to docs/capacity and prints the
// tables of slopes. Run it from the root of the repository, with make capacity.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/mustardwalk/mustardwalk/internal/capacity"
)

func main() {
	folder := flag.String("folder", "docs/capacity", "folder for the results")
	var o capacity.Options
	flag.BoolVar(&o.IdleOnly, "idle", false, "measure idle deployments only, and write no results")
	settings := flag.String("daemon-flags", "", "further flags of the daemons, separated by spaces")
	flag.Parse()
	o.Folder, o.DaemonFlags = *folder, strings.Fields(*settings)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := capacity.Run(ctx, os.Stdout, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
