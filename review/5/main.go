// Command 5 shows that the tasks of cancelled jobs run on for good after the leader was killed while jobs were being
// cancelled.
package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/mustardwalk/mustardwalk/review/harness"
)

// Numbers of the run.
const (
	workersInZone = 3
	jobs          = 72
	cancelEvery   = 3  // One of so many jobs is cancelled: a share of 0.33.
	cancelled     = 24 // Jobs that are cancelled.
	cancelers     = 4  // Clients that cancel at the same time.
	killAfter     = 6  // Acknowledged cancels after which the leader is killed.
	restart       = time.Second
	gpus          = 8
)

// Bounds of the rule: a task of a cancelled job has to be gone after a stretch of cancel_ms and stop_grace_ms without an
// impairment near, which begins contact_ms after the last event.
const (
	contact    = 3 * time.Second
	cancelling = 3 * time.Second
	stopGrace  = 900 * time.Millisecond
	startTime  = 15 * time.Second // In which all tasks must have begun.
	ackTime    = 20 * time.Second // In which all cancels must be acknowledged.
)

func main() { harness.Main(2, script) }

func id(job int) string   { return fmt.Sprintf("%016x", 0x5c0e7a21d94b3600+job) }
func path(job int) string { return harness.Prefix + id(job) }

func script(ctx context.Context, d *harness.Deployment, trouble bool) (bool, error) {
	if err := d.Serve(ctx, harness.Route{Prefix: harness.Prefix, Priority: 1, MaxAttempts: 2}); err != nil {
		return false, err
	}
	var workers []*harness.Worker
	for i := range workersInZone * len(harness.Zones) {
		w := &harness.Worker{ID: fmt.Sprintf("i-%d", i+1), Zone: harness.Zones[i%len(harness.Zones)], GPUs: gpus, StopTime: 100 * time.Millisecond}
		if err := d.StartWorker(w, i+1); err != nil {
			return false, err
		}
		defer w.Close()
		workers = append(workers, w)
	}
	body := harness.Job("serve", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1000, "gpus": 1, "est_runtime_ms": 1000, "long_running": true})
	for j := range jobs {
		if status := d.Submit(ctx, path(j), body); status != http.StatusOK {
			return false, fmt.Errorf("job %d was not accepted: status %d", j, status)
		}
	}
	for end := time.Now().Add(startTime); count(workers) < jobs; time.Sleep(100 * time.Millisecond) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false, fmt.Errorf("only %d tasks were started", count(workers))
		}
	}
	isCancelled := map[string]bool{} // By task.
	for j := 0; j < jobs; j += cancelEvery {
		isCancelled[id(j)+".0.0.0"] = true
	}
	leader := d.AwaitLeader(ctx)
	if leader == nil {
		return false, fmt.Errorf("no core host leads")
	}
	if acked := cancelAll(ctx, d, leader, trouble); acked < cancelled {
		return false, fmt.Errorf("only %d cancels were acknowledged", acked)
	}
	if d.AwaitLeader(ctx) == nil {
		return false, fmt.Errorf("no core host leads after the disruption")
	}
	time.Sleep(restart + contact + cancelling + stopGrace + 5*time.Second)
	left := 0
	for _, w := range workers {
		for _, task := range w.Running() {
			if isCancelled[task] {
				left++
				d.Record.Printf("%s still runs %s, of a cancelled job", w.ID, task)
			}
		}
	}
	for j := 0; j < jobs; j += cancelEvery {
		if _, state := d.State(j, path(j)); state != "cancelled" {
			return false, fmt.Errorf("job %d is shown as %q", j, state)
		}
	}
	return left > 0, nil
}

// cancelAll cancels a share of the jobs, each until it is acknowledged, and kills the leader meanwhile. It returns how many cancels
// were acknowledged.
func cancelAll(ctx context.Context, d *harness.Deployment, leader *harness.Host, trouble bool) int {
	ctx, cancel := context.WithTimeout(ctx, ackTime)
	defer cancel()
	var all sync.WaitGroup
	var mu sync.Mutex
	acked := 0
	for c := range cancelers {
		all.Go(func() {
			for j := c * cancelEvery; j < jobs; j += cancelers * cancelEvery {
				for status := 0; status != http.StatusOK && status != http.StatusGone; {
					if ctx.Err() != nil {
						return
					}
					status, _ = d.Call(j, http.MethodDelete, path(j), nil)
				}
				mu.Lock()
				if acked++; acked == killAfter && trouble {
					leader.KillAndRestart(restart)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return acked
}

// count returns how many tasks run.
func count(workers []*harness.Worker) int {
	n := 0
	for _, w := range workers {
		n += len(w.Running())
	}
	return n
}
