package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// sweeps hands in large jobs, whose steps run many times, all due at the same time. Afterwards the jobs of another tenant are asked
// for.
func sweeps(ctx context.Context, c *cluster, trouble bool) (string, error) {
	const (
		large      = 40
		times      = 20000
		finish     = 14 * time.Second // finish_s
		askFor     = 40 * time.Second // Far more than a client's first try and its 4 retries, of clientBudget each, take.
		ordinary   = 4
		burstFor   = 6 * time.Second
		pause      = 140 * time.Millisecond // About 2.4 times the traffic of the site.
		dueIn      = 7 * time.Second        // After the burst began.
		tenantWork = 2 * time.Second
	)
	if err := c.start(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	starts := 0
	workers, err := startWorkers(c, 6, service, func(int) string { return "a" }, func(_ int, w *worker) {
		w.begin = func(a *run) {
			mu.Lock()
			starts++
			mu.Unlock()
			a.workMS = tenantWork.Milliseconds()
			time.Sleep(tenantWork)
			a.end("done")
		}
	})
	for _, w := range workers {
		defer w.stop()
	}
	if err != nil {
		return "", err
	}
	if err := c.putConfig(ctx, config(7, 2, queue{"/pule252/", 2, 2}, queue{"/pufi791/", 0, 2})); err != nil {
		return "", err
	}
	if err := c.ready(ctx); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // All workers are registered, and the deployment is calm.
	step := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4096, "gpus": 1, "est_runtime_ms": tenantWork.Milliseconds()}
	var ids []string
	for range ordinary {
		id := newID()
		if _, err := c.submit(ctx, "/pufi791/", id, key(1), map[string]any{"spec": "x", "steps": []any{step}}); err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	c.record.say("%d ordinary jobs of one tenant are accepted", ordinary)
	if trouble {
		began, accepted := time.Now(), 0
		burst, over := context.WithTimeout(ctx, burstFor)
		defer over()
		for range large {
			body := map[string]any{"spec": "sweep", "repeat_count": times, "start_at_ms": began.Add(dueIn).UnixMilli(), "steps": []any{step}}
			if _, err := c.submit(burst, "/pule252/", newID(), key(0), body); err != nil {
				break // The burst is over; a job that was not accepted counts for nothing.
			}
			accepted++
			time.Sleep(pause)
		}
		c.record.say("%d jobs of another tenant, whose step runs %d times, are accepted within %.1f s", accepted, times, time.Since(began).Seconds())
	}
	end := time.Now()
	time.Sleep(finish)
	c.report(&mu, &starts)
	waiting, asked := map[string]bool{}, 0
	for _, id := range ids {
		waiting[id] = true
	}
	for asking := time.Now(); len(waiting) > 0 && time.Since(asking) < askFor; time.Sleep(clientRetry) {
		for id := range waiting {
			status, data := c.call(ctx, asked, "GET", "/pufi791/"+id, key(1), nil)
			c.record.write("client: GET /pufi791/%s -> %d %s", id, status, strings.TrimSpace(string(data)))
			asked++
			if status == http.StatusOK {
				delete(waiting, id)
			}
		}
	}
	c.report(&mu, &starts)
	c.record.say("the jobs were asked for from %.1f s to %.1f s after the end of the traffic, %d times; %d of %d got no answer",
		finish.Seconds(), time.Since(end).Seconds(), asked, len(waiting), len(ids))
	if len(waiting) > 0 {
		return fmt.Sprintf("LOST: %d of %d accepted jobs that are asked for get no answer in %.0f s", len(waiting), len(ids), askFor.Seconds()), nil
	}
	return "", nil
}

func (c *cluster) report(mu *sync.Mutex, starts *int) {
	mu.Lock()
	n := *starts
	mu.Unlock()
	c.record.say("starts so far %d, ends of processes %v, resident memory %s", n, c.ends(), c.memory())
}

// memory returns the resident memory of the core processes.
func (c *cluster) memory() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, p := range c.processes {
		if p.cmd == nil || !strings.HasPrefix(p.name, "core") {
			continue
		}
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		if err != nil {
			continue // It has just ended.
		}
		for line := range strings.Lines(string(data)) {
			if strings.HasPrefix(line, "VmRSS") {
				out = append(out, p.name+" "+strings.Join(strings.Fields(line)[1:], " "))
			}
		}
	}
	return strings.Join(out, ", ")
}
