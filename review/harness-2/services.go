package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// services fills one service with a large job and then hands in a job of another service, whose workers are all idle.
func services(ctx context.Context, c *cluster, trouble bool) (string, error) {
	const (
		other    = "tiye98a"
		busy     = 6
		idle     = 2
		finish   = 14 * time.Second // finish_s
		bound    = 3 * time.Second
		watchFor = 40 * time.Second
	)
	if err := c.start(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	begun := map[string]int{}
	workers, err := startWorkers(c, busy+idle, service, func(int) string { return "a" }, func(i int, w *worker) {
		if i >= busy {
			w.service = other
		}
		w.begin = func(a *run) {
			mu.Lock()
			begun[a.task[:16]]++
			mu.Unlock()
			a.workMS = 600 * 1000
		}
	})
	for _, w := range workers {
		defer w.stop()
	}
	if err != nil {
		return "", err
	}
	conf := config(7, 2, queue{"/pule252/", 1, 2}, queue{"/pufi791/", 1, 2})
	second := map[string]any{}
	for k, v := range conf["services"].([]any)[0].(map[string]any) {
		second[k] = v
	}
	second["name"] = other
	conf["services"] = append(conf["services"].([]any), second)
	conf["routes"].([]any)[1].(map[string]any)["service"] = other
	if err := c.putConfig(ctx, conf); err != nil {
		return "", err
	}
	if err := c.ready(ctx); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // All workers are registered, and the deployment is calm.
	starts := func(job string) int {
		mu.Lock()
		defer mu.Unlock()
		return begun[job]
	}
	const estimateMS = 600 * 1000
	if trouble {
		large := newID()
		if _, err := c.submit(ctx, "/pule252/", large, key(0), map[string]any{"spec": "large", "steps": []any{map[string]any{
			"count": busy, "cpu": 52000, "mem_mb": 65536, "gpus": 8, "est_runtime_ms": estimateMS,
		}}}); err != nil {
			return "", err
		}
		for deadline := time.Now().Add(20 * time.Second); starts(large) < busy; time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				return "", fmt.Errorf("only %d of %d tasks of the large job run", starts(large), busy)
			}
		}
		c.record.say("all %d tasks of the large job run, one on each worker of the service %s", busy, service)
	}
	id := newID()
	accepted, err := c.submit(ctx, "/pufi791/", id, key(1), map[string]any{"spec": "x", "steps": []any{map[string]any{
		"count": 1, "cpu": 4000, "mem_mb": 4096, "gpus": 1, "est_runtime_ms": estimateMS,
	}}})
	if err != nil {
		return "", err
	}
	c.record.say("a job of the service %s is accepted, whose %d workers are idle", other, idle)
	for time.Since(accepted) < watchFor && starts(id) == 0 {
		time.Sleep(50 * time.Millisecond)
	}
	waited := time.Since(accepted)
	_, state := c.state(ctx, "/pufi791/", id, key(1))
	if starts(id) > 0 {
		c.record.say("its task has started %.2f s after the ack", waited.Seconds())
	}
	if waited > finish+bound {
		return fmt.Sprintf("LOST: the job is %s and has nothing running %.0f s after the end of the traffic, though none of its service's capacity is in use", state, waited.Seconds()), nil
	}
	return "", nil
}
