// Command mustardwalk is the command line of the mustardwalk scheduler, for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mustardwalk/mustardwalk/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	// The first signal cancels the context and restores the default action of the signals, so that a second signal ends
	// the process at once.
	context.AfterFunc(ctx, stop)
	os.Exit(cli.Main(ctx, os.Args[1:], cli.Environment{Out: os.Stdout, Err: os.Stderr, In: os.Stdin, Getenv: os.Getenv}))
}
