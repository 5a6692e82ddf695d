// Command demo runs the demo of mustardwalk. Run it from the root of the repository, with make demo.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/mustardwalk/mustardwalk/internal/demo"
)

func main() {
	keep := flag.Bool("keep", false, "keep logs and histories")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := demo.Run(ctx, os.Stdout, *keep)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
