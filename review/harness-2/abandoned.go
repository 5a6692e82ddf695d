package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// abandoned cuts an entry machine off from the core. A client that has just handed a job in there gets no answer, leaves, and
// cancels the job at another machine.
func abandoned(ctx context.Context, c *cluster, trouble bool) (string, error) {
	const (
		cutFor   = 5500 * time.Millisecond
		leavesIn = 500 * time.Millisecond // Half of the queue's target_completion_ms.
		cancelIn = 3 * time.Second        // cancel_ms
		watchFor = 15 * time.Second
	)
	c.entries = 7
	n := &links{cluster: c}
	c.forwarded = true
	for i := range coreCount {
		if err := n.forward(i); err != nil {
			return "", err
		}
	}
	if err := c.start(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	begun := map[string]time.Time{}
	workers, err := startWorkers(c, 6, service, func(int) string { return "a" }, func(i int, w *worker) {
		w.controls = append(append([]string{}, w.controls[i%coreCount:]...), w.controls[:i%coreCount]...)
		w.begin = func(a *run) {
			mu.Lock()
			begun[a.task[:16]] = time.Now()
			mu.Unlock()
			a.workMS = 1000
			time.Sleep(time.Second)
			a.end("done")
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
	time.Sleep(6 * time.Second) // All workers are registered, and the deployment is calm.
	body := map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4096, "gpus": 1, "est_runtime_ms": 1000}}}
	// Some traffic: clients hand jobs in and ask for them at the first entry machine.
	var traffic sync.WaitGroup
	for range 6 {
		traffic.Go(func() {
			id := newID()
			status, _ := c.call(ctx, 0, "POST", "/pule252/"+id, key(0), body)
			c.record.write("client: POST /pule252/%s at entry-1 -> %d", id, status)
		})
	}
	traffic.Wait()
	if trouble {
		n.cut("entry-1")
		time.AfterFunc(cutFor, n.heal)
		c.record.say("entry-1 is cut off from the core")
	}
	began := time.Now()
	id := newID()
	leaving, leave := context.WithTimeout(ctx, leavesIn)
	status, _ := c.call(leaving, 0, "POST", "/pule252/"+id, key(0), body)
	leave()
	c.record.say("client: POST /pule252/%s at entry-1 -> %d after %d ms", id, status, time.Since(began).Milliseconds())
	var cancelled time.Time
	for i := 1; cancelled.IsZero(); i++ {
		if time.Since(began) > 4*time.Second {
			return "", fmt.Errorf("the cancelling was not acknowledged")
		}
		status, _ := c.call(ctx, i, "DELETE", "/pule252/"+id, key(0), nil)
		c.record.say("client: DELETE /pule252/%s at entry-%d -> %d", id, i%c.entries+1, status)
		if status/100 == 2 || status == http.StatusGone {
			cancelled = time.Now()
		}
	}
	time.Sleep(watchFor)
	_, state := c.state(ctx, "/pule252/", id, key(0))
	mu.Lock()
	started, ran := begun[id]
	mu.Unlock()
	c.record.say("at the end the job is shown as %q", state)
	if late := started.Sub(cancelled); ran && late > cancelIn {
		return fmt.Sprintf("UNASKED: a task of the job started %.2f s after its cancelling was acknowledged; cancel_ms is 3,000", late.Seconds()), nil
	}
	return "", nil
}
