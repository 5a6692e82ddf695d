// Command 8 shows that a task that is done runs again: a start that a worker left unanswered is carried out by the next
// lifetime of the worker, before the stop that is to make it reject the start.
package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/review/harness"
)

// Times of the run. Orders without an answer are carried out 2 to 12 s later.
const (
	startLateBy  = 5 * time.Second // The first start; it is repeated after 0.7 s.
	stopLateBy   = 3 * time.Second // The first stop that reaches the second lifetime.
	upBeforeLate = 400 * time.Millisecond
	downTime     = time.Second
	watchTime    = 6 * time.Second
)

func main() { harness.Main(1, script) }

func script(ctx context.Context, d *harness.Deployment, trouble bool) (bool, error) {
	if err := d.Serve(ctx, harness.Route{Prefix: harness.Prefix, Priority: 1, MaxAttempts: 2}); err != nil {
		return false, err
	}
	worker := &harness.Worker{ID: "i-1", Zone: harness.Zones[0], GPUs: 8}
	lateAt := make(chan time.Time, 1)
	if trouble {
		worker.LateBy = func(kind string, before int) time.Duration {
			if before > 0 {
				return 0
			}
			if kind == "start" {
				lateAt <- time.Now().Add(startLateBy)
				return startLateBy
			}
			return stopLateBy
		}
	}
	if err := d.StartWorker(worker, 1); err != nil {
		return false, err
	}
	path := harness.Prefix + "5c0e7a21d94b36f8"
	body := harness.Job("work=1000", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpus": 1, "est_runtime_ms": 1000})
	if d.Submit(ctx, path, body) != http.StatusOK {
		return false, errors.New("the job was not accepted")
	}
	if !d.AwaitState(ctx, path, "completed", startLateBy) {
		return false, errors.New("the job was not completed in time")
	}
	at := time.Now().Add(upBeforeLate + downTime)
	if trouble {
		at = <-lateAt
	}
	time.Sleep(time.Until(at.Add(-upBeforeLate - downTime)))
	worker.Crash()
	time.Sleep(downTime)
	d.Record.Printf("i-1: starts again under its identifier")
	if err := worker.Restart(); err != nil {
		return false, err
	}
	defer worker.Close()
	time.Sleep(watchTime)
	starts := len(worker.Starts())
	_, state := d.State(0, path)
	d.Record.Printf("the task of the job, which was shown as completed and is shown as %q, has begun %d times", state, starts)
	return starts > 1, nil
}
