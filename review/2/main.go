// Command 2 shows that status reports of another writer keep all work from starting while the workers are idle.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/review/harness"
)

// Bounds of the rule: finish_s after the end of the traffic, for 3 s nothing of an accepted job runs though there is room.
const (
	finishS   = 14 * time.Second
	idleTime  = 3 * time.Second
	calmTime  = 4 * time.Second // Before the job is submitted.
	watchTime = 30 * time.Second
)

// Numbers of workers and of entries of the other writer in each zone.
const (
	workersInZone = 2
	foreignInZone = 3
)

// foreignPeriod is the period of the other writer's reports. The pages name none for it.
const foreignPeriod = 3 * time.Second

func main() { harness.Main(1, script) }

func script(ctx context.Context, d *harness.Deployment, trouble bool) (bool, error) {
	if err := d.Serve(ctx, harness.Route{Prefix: harness.Prefix, Priority: 1, MaxAttempts: 2}); err != nil {
		return false, err
	}
	var workers []*harness.Worker
	for i := range workersInZone * len(harness.Zones) {
		w := &harness.Worker{ID: fmt.Sprintf("i-%d", i+1), Zone: harness.Zones[i%len(harness.Zones)], GPUs: 8}
		if err := d.StartWorker(w, i+1); err != nil {
			return false, err
		}
		defer w.Close()
		workers = append(workers, w)
	}
	if trouble {
		stop, err := foreignWriter(ctx, d)
		if err != nil {
			return false, err
		}
		defer stop()
	}
	time.Sleep(foreignPeriod + calmTime)
	path := harness.Prefix + "5c0e7a21d94b36f8"
	body := harness.Job("work=2000", map[string]any{"count": 2, "cpu": 1000, "mem_mb": 1000, "gpus": 1, "est_runtime_ms": 2000})
	if d.Submit(ctx, path, body) != http.StatusOK {
		return false, errors.New("the job was not accepted")
	}
	accepted := time.Now() // No other job is submitted: this is the end of the traffic.
	for time.Since(accepted) < watchTime && begun(workers) == 0 && ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
	}
	waited := time.Since(accepted)
	_, state := d.State(0, path)
	d.Record.Printf("%v after the acceptance, %d tasks of the job have begun, and it is shown as %q; %d idle workers with 8 GPUs each",
		waited.Round(time.Millisecond), begun(workers), state, len(workers))
	return waited > finishS+idleTime, nil
}

func begun(workers []*harness.Worker) int {
	n := 0
	for _, w := range workers {
		n += len(w.Starts())
	}
	return n
}

// foreignWriter reports entries of another writer in each zone, with a service that the config does not name. At their
// address listens a server that knows none of the calls to workers and answers them with 404.
func foreignWriter(ctx context.Context, d *harness.Deployment) (stop func(), err error) {
	server := &http.Server{Handler: http.NotFoundHandler()}
	ctx, cancel := context.WithCancel(ctx)
	bodies := map[string][]byte{}
	for i := range foreignInZone * len(harness.Zones) {
		listen, err := net.Listen("tcp4", d.IP(4, 1+i)+":0")
		if err != nil {
			cancel()
			return nil, err
		}
		go func() { _ = server.Serve(listen) }() // Ends with Close.
		bodies[fmt.Sprintf("x-%d", i+1)] = harness.ForeignReport(listen.Addr().String(), harness.Zones[i%len(harness.Zones)])
	}
	go func() {
		for ctx.Err() == nil {
			for id, body := range bodies {
				d.ReportForeign(id, body)
			}
			time.Sleep(foreignPeriod)
		}
	}()
	return func() { cancel(); _ = server.Close() }, nil
}
