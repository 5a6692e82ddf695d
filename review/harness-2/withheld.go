package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// withheld has one task of a job that lasts fail by its own fault, while a task of another job waits for room. Three of ten
// workers are idle all the time.
func withheld(ctx context.Context, c *cluster, trouble bool) (string, error) {
	const (
		count    = 7
		hour     = 3600 * 1000
		bound    = 9 * time.Second // 6 s after the last run, and 3 s.
		watchFor = 40 * time.Second
		gpus     = 8 // As many as a worker has.
		total    = 10
	)
	if err := c.start(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	current := map[string]*run{} // By task.
	workers, err := startWorkers(c, total, service, func(int) string { return "a" }, func(_ int, w *worker) {
		w.begin = func(a *run) {
			mu.Lock()
			defer mu.Unlock()
			current[a.task] = a
		}
	})
	for _, w := range workers {
		defer w.stop()
	}
	if err != nil {
		return "", err
	}
	if err := c.putConfig(ctx, config(7, 2, queue{"/pule252/", 1, 2})); err != nil {
		return "", err
	}
	if err := c.ready(ctx); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // All workers are registered, and the deployment is calm.
	running := func(job string) (n int, one *run) {
		mu.Lock()
		defer mu.Unlock()
		for task, a := range current {
			a.worker.mu.Lock()
			if task[:16] == job && !a.over {
				n, one = n+1, a
			}
			a.worker.mu.Unlock()
		}
		return n, one
	}
	idle := func() int {
		n := 0
		for _, w := range workers {
			w.mu.Lock()
			if len(w.running) == 0 {
				n++
			}
			w.mu.Unlock()
		}
		return n
	}
	step := func(count, estimateMS int) map[string]any {
		return map[string]any{"spec": "serve", "steps": []any{map[string]any{
			"count": count, "cpu": 16000, "mem_mb": 16384, "gpus": gpus, "est_runtime_ms": estimateMS, "long_running": true,
		}}}
	}
	first, second := newID(), newID()
	if _, err := c.submit(ctx, "/pule252/", first, key(0), step(count, hour)); err != nil {
		return "", err
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if n, _ := running(first); n == count {
			break
		}
		if time.Now().After(deadline) {
			n, _ := running(first)
			return "", fmt.Errorf("only %d of %d tasks run", n, count)
		}
	}
	c.record.say("all %d tasks of the first job run, %d workers are idle", count, idle())
	if _, err := c.submit(ctx, "/pule252/", second, key(1), step(1, hour/2)); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	n, _ := running(second)
	c.record.say("10 s after its ack, %d of 1 tasks of the second job run, %d workers are idle", n, idle())
	failedAt := time.Now()
	if trouble {
		_, a := running(first)
		a.end("failed")
		c.record.say("task %s of the first job has failed by its own fault", a.task)
	}
	without, most := time.Duration(0), 0
	for time.Since(failedAt) < watchFor {
		time.Sleep(100 * time.Millisecond)
		if n, _ := running(first); n == count {
			break
		}
		without = time.Since(failedAt)
		if free := idle(); without > bound && (most == 0 || free < most) {
			most = free
		}
	}
	n, _ = running(first)
	m, _ := running(second)
	c.record.say("%.1f s later %d of %d tasks of the first job and %d of 1 of the second one run, %d workers are idle", time.Since(failedAt).Seconds(), n, count, m, idle())
	if without > bound && most >= 2 {
		return fmt.Sprintf("LOST: a task that lasts has had no run for %.1f s since its last one, though at least %d of %d workers were idle, up and ready, each with room for it", without.Seconds(), most, total), nil
	}
	return "", nil
}
