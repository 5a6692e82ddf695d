package harness

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scriptLimit is how long a script runs at most.
const scriptLimit = 110 * time.Second

// startLimit is how long a deployment may take until it serves.
const startLimit = 20 * time.Second

// Script is a case. It returns whether the rule was broken; an error means that the case could not run. Without trouble
// it does the same without the disruption.
type Script func(ctx context.Context, d *Deployment, trouble bool) (broken bool, err error)

// Main runs a script against a new deployment and ends the process with its exit code. The first argument is the folder
// for the record.
func Main(entries int, script Script) {
	os.Exit(runScript(entries, script))
}

func runScript(entries int, script Script) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: SCRIPT FOLDER")
		return exitNotRun
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, scriptLimit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("trouble: %v", trouble)
	d, err := Start(ctx, record, entries)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		record.Printf("the case could not run: %v", err)
		return exitNotRun
	}
	broken, err := script(ctx, d, trouble)
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.Printf("RESULT: the rule was broken")
		return exitBroken
	}
	record.Printf("RESULT: the rule held")
	return exitHeld
}

// Serve sends the first config, starts the entry hosts and waits until they answer.
func (d *Deployment) Serve(ctx context.Context, routes ...Route) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if status := d.Order(ctx, "PUT", "/config", Config(1, routes...)); status != 200 {
		return fmt.Errorf("the first config was not accepted: status %d", status)
	}
	if d.AwaitLeader(ctx) == nil {
		return fmt.Errorf("no core host leads")
	}
	if err := d.StartEntries(); err != nil {
		return err
	}
	for i := range d.Entries {
		for status := 0; status != 200; status, _ = d.Call(i, "GET", Prefix, nil) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s does not answer", d.Entries[i].Name)
			}
			time.Sleep(retryPause)
		}
	}
	return nil
}
