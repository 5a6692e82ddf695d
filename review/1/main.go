// Command 1 shows that one status report of another writer, whose identifier is not valid UTF-8, ends all core hosts for
// good.
package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/review/harness"
)

// Bounds of the rules: jobs are asked for finish_s after the end of the traffic (LOST); a process ends by itself three
// times, on half of the core (Fault).
const (
	ownEnds   = 3
	watchTime = 20 * time.Second
	finishS   = 14 * time.Second
)

// foreignID is the path segment of the report. Its bytes cannot be read as text.
const foreignID = "i-%FF%FE01"

func main() { harness.Main(1, script) }

func script(ctx context.Context, d *harness.Deployment, trouble bool) (bool, error) {
	if err := d.Serve(ctx, harness.Route{Prefix: harness.Prefix, Priority: 1, MaxAttempts: 2}); err != nil {
		return false, err
	}
	worker := &harness.Worker{ID: "i-1", Zone: harness.Zones[0], GPUs: 8}
	if err := d.StartWorker(worker, 1); err != nil {
		return false, err
	}
	defer worker.Close()
	path := harness.Prefix + "5c0e7a21d94b36f8"
	body := harness.Job("work=1000", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpus": 1, "est_runtime_ms": 1000})
	if d.Submit(ctx, path, body) != http.StatusOK {
		return false, errors.New("the job was not accepted")
	}
	if !d.AwaitState(ctx, path, "completed", finishS) {
		return false, errors.New("the job was not completed before the disruption")
	}
	if trouble {
		d.ReportForeign(foreignID, harness.ForeignReport(d.IP(4, 1)+":8080", harness.Zones[0]))
	}
	time.Sleep(watchTime)
	lost := 0
	for _, h := range d.Cores {
		d.Record.Printf("%s ended by itself %d times", h.Name, h.OwnEnds())
		if h.OwnEnds() >= ownEnds {
			lost++
		}
	}
	answered := d.AwaitState(ctx, path, "completed", finishS)
	d.Record.Printf("the accepted job is shown as completed: %v", answered)
	return 2*lost >= len(d.Cores) || !answered, nil
}
