package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// lastingFailAtOnce has all tasks of a job that lasts fail at the same moment, by their own fault, once.
func lastingFailAtOnce(ctx context.Context, c *cluster, trouble bool) (string, error) {
	if err := c.start(); err != nil {
		return "", err
	}
	const count, perWorker = 12, 3
	var mu sync.Mutex
	running, lastRun := map[string]*run{}, map[string]time.Time{}
	begin := func(a *run) {
		mu.Lock()
		defer mu.Unlock()
		running[a.task] = a
	}
	workers, err := startWorkers(c, 4, service, func(int) string { return "a" }, func(_ int, w *worker) { w.begin = begin })
	for _, w := range workers {
		defer w.stop()
	}
	if err != nil {
		return "", err
	}
	if err := c.putConfig(ctx, config(7, 1, queue{"/pule252/", 1, 2})); err != nil {
		return "", err
	}
	if err := c.ready(ctx); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // All workers are registered, and the deployment is calm.
	id := newID()
	if _, err := c.submit(ctx, "/pule252/", id, key(0), map[string]any{"spec": "serve", "steps": []any{map[string]any{
		"count": count, "cpu": 4000, "mem_mb": 4096, "gpus": 1, "est_runtime_ms": 1000, "long_running": true, "anti_affinity": perWorker,
	}}}); err != nil {
		return "", err
	}
	alive := func() int {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, a := range running {
			a.worker.mu.Lock()
			if !a.over {
				n++
			}
			a.worker.mu.Unlock()
		}
		return n
	}
	for deadline := time.Now().Add(20 * time.Second); alive() < count; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", fmt.Errorf("only %d of %d tasks run", alive(), count)
		}
	}
	c.record.say("all %d tasks run", count)
	time.Sleep(6 * time.Second)
	failedAt := time.Now()
	if trouble {
		mu.Lock()
		all := []*run{}
		for _, a := range running {
			all = append(all, a)
		}
		mu.Unlock()
		for _, a := range all {
			a.end("failed")
			lastRun[a.task] = time.Now()
		}
		c.record.say("all %d tasks have failed by their own fault", len(all))
	}
	// From 6 s after its last run, a task must not be without a run for 3 s while there is room for it.
	const bound = 9 * time.Second
	longest, back := time.Duration(0), 0
	for time.Since(failedAt) < 16*time.Second {
		time.Sleep(20 * time.Millisecond)
		if n := alive(); n < count {
			longest, back = time.Since(failedAt), n
		}
	}
	c.record.say("the last task was back %.2f s after the failure (before that, %d of %d ran)", longest.Seconds(), back, count)
	if longest > bound {
		return fmt.Sprintf("LOST: tasks that last had no run for %.2f s after their last one, though no worker was down and all had room; the bound is %.0f s", longest.Seconds(), bound.Seconds()), nil
	}
	return "", nil
}
