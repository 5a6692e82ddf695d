package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// unhealthyWorker has one worker answer all starts with 429 for some seconds. It is the only one of its kind, and some jobs
// need that kind.
func unhealthyWorker(ctx context.Context, c *cluster, trouble bool) (string, error) {
	if err := c.start(); err != nil {
		return "", err
	}
	var unhealthy atomic.Bool
	var mu sync.Mutex
	begun := map[string]bool{}
	label := func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	}
	workers, err := startWorkers(c, 7, service, label, func(i int, w *worker) {
		w.begin = func(a *run) {
			mu.Lock()
			begun[a.task[:16]] = true
			mu.Unlock()
			a.workMS = 1000
			time.Sleep(time.Second)
			a.end("done")
		}
		if i == 0 {
			w.refuse = func(string, int) int {
				if unhealthy.Load() {
					return http.StatusTooManyRequests
				}
				return 0
			}
		}
	})
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
	const (
		jobs      = 4
		greyFor   = 6500 * time.Millisecond
		visible   = 5 * time.Second // visible_ms and 2 s.
		tolerance = 100 * time.Millisecond
	)
	unhealthy.Store(trouble)
	greySince := time.Now()
	time.AfterFunc(greyFor, func() { unhealthy.Store(false) })
	var lastAck time.Time
	ids := []string{}
	for range jobs {
		id := newID()
		ids = append(ids, id)
		if lastAck, err = c.submit(ctx, "/pule252/", id, key(0), map[string]any{"spec": "x", "steps": []any{map[string]any{
			"count": 1, "cpu": 4000, "mem_mb": 4096, "gpus": 1, "est_runtime_ms": 1000, "constraints": "b",
		}}}); err != nil {
			return "", err
		}
	}
	c.record.say("%d jobs are accepted", jobs)
	broken := ""
	for time.Since(greySince) < 30*time.Second {
		asked := time.Now()
		for entry := range c.entries {
			n := c.waiting(ctx, entry, "/pule252/", key(0))
			mu.Lock()
			notBegun := jobs - len(begun)
			mu.Unlock()
			if n >= 0 && asked.Sub(lastAck) > visible+tolerance && 2*n < notBegun && broken == "" {
				broken = fmt.Sprintf("MIXED: entry %d gives %d jobs as waiting %.2f s after all were accepted; %d have not begun", entry+1, n, time.Since(lastAck).Seconds(), notBegun)
				c.record.say("%s", broken)
				_, state := c.state(ctx, "/pule252/", ids[0], key(0))
				c.record.say("the first job is shown as %s", state)
			}
		}
		mu.Lock()
		all := len(begun) == jobs
		mu.Unlock()
		if all {
			c.record.say("all jobs have begun, %.2f s after their acceptance", time.Since(lastAck).Seconds())
			return broken, nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return broken, nil
}
