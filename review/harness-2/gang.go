package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Times of the gang.
const (
	gangWork = 2 * time.Second         // Work of the gang once all its members are present.
	greyFor  = 1500 * time.Millisecond // For how long the workers fail what they start.
	greyFail = 150 * time.Millisecond  // After this time a member on such a worker fails.
	gangSize = 2
)

// gangs connects the members of a gang, which work once all of one run are present and end as done together.
type gangs struct {
	mu      sync.Mutex
	members map[int][]*run // By run.
	first   time.Time      // When the first member started.
	runs    map[int]bool   // Runs of which members have failed.
}

// gangFailsAtOnce has two workers of a kind fail all that they start, for a short time. A gang has one member on each, and
// both fail within milliseconds, each before its worker learns of the other's end.
func gangFailsAtOnce(ctx context.Context, c *cluster, trouble bool) (string, error) {
	if err := c.start(); err != nil {
		return "", err
	}
	g := &gangs{members: map[int][]*run{}, runs: map[int]bool{}}
	// Two of 14 workers are of the kind b.
	label := func(i int) string {
		if i < gangSize {
			return "b"
		}
		return "a"
	}
	workers, err := startWorkers(c, 14, service, label, func(_ int, w *worker) { w.begin = func(a *run) { g.begin(c, a, trouble) } })
	for _, w := range workers {
		defer w.stop()
	}
	if err != nil {
		return "", err
	}
	const maxAttempts = 2
	if err := c.putConfig(ctx, config(7, 1, queue{"/pule252/", 2, maxAttempts})); err != nil {
		return "", err
	}
	if err := c.ready(ctx); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // All workers are registered, and the deployment is calm.
	id := newID()
	_, err = c.submit(ctx, "/pule252/", id, key(0), map[string]any{"spec": "gang", "steps": []any{map[string]any{
		"count": gangSize, "cpu": 52000, "mem_mb": 65536, "gpus": 8, "est_runtime_ms": gangWork.Milliseconds(), "gang": true, "constraints": "b",
	}}})
	if err != nil {
		return "", err
	}
	for deadline := time.Now().Add(45 * time.Second); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		status, state := c.state(ctx, "/pule252/", id, key(0))
		g.mu.Lock()
		failed, started := len(g.runs), len(g.members)
		g.mu.Unlock()
		switch {
		case state == "completed":
			c.record.say("the job completed, after %d runs of the gang, of which %d failed", started, failed)
			return "", nil
		case state == "failed" && failed < maxAttempts:
			return fmt.Sprintf("LOST: the job is shown as failed after %d failed run of its gang, of %d that its queue allows; runs started: %d", failed, maxAttempts, started), nil
		case state == "failed":
			return "", fmt.Errorf("the job failed with cause: %d runs failed", failed)
		case status == 410:
			return "LOST: the job is not known", nil
		}
	}
	return "", fmt.Errorf("the job had not ended in time")
}

// begin adds a member to its run. A run that is complete works and ends as done, unless its workers fail what they start.
func (g *gangs) begin(c *cluster, a *run, trouble bool) {
	a.workMS = gangWork.Milliseconds()
	g.mu.Lock()
	if g.first.IsZero() {
		g.first = time.Now()
	}
	grey := trouble && time.Since(g.first) < greyFor
	g.members[a.number] = append(g.members[a.number], a)
	members := g.members[a.number]
	g.mu.Unlock()
	if len(members) < gangSize {
		time.Sleep(3 * time.Second) // gang_wait_ms
		g.mu.Lock()
		alone := len(g.members[a.number]) < gangSize
		g.mu.Unlock()
		if alone {
			a.end("alone")
		}
		return
	}
	if !grey {
		c.record.write("run %d of the gang is complete and works", a.number)
		time.Sleep(gangWork)
		for _, m := range members {
			m.end("done")
		}
		return
	}
	c.record.write("run %d of the gang is complete; both workers fail what they start", a.number)
	g.mu.Lock()
	g.runs[a.number] = true
	g.mu.Unlock()
	time.Sleep(greyFail)
	for _, m := range members {
		m.end("failed")
	}
}
