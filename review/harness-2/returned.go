package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// staleEvacuation cuts a core machine that does not lead off from the other core machines. The operator sends it an
// evacuation, gets no answer, sends it again elsewhere, and takes the evacuation back before the cut heals.
func staleEvacuation(ctx context.Context, c *cluster, trouble bool) (string, error) {
	const (
		zone    = "tonala"
		cutFor  = 5500 * time.Millisecond
		backAt  = 4 * time.Second // After the cut began.
		patient = 20 * time.Second
	)
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
	// Of the nine workers, the three in the zone are of the kind b.
	label := func(i int) string {
		if zones[i%len(zones)] == zone {
			return "b"
		}
		return "a"
	}
	workers, err := startWorkers(c, 9, service, label, func(i int, w *worker) {
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
	step := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4096, "gpus": 1, "est_runtime_ms": 1000, "constraints": "b"}
	started := func(id string, within time.Duration) bool {
		for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			mu.Lock()
			_, known := begun[id]
			mu.Unlock()
			if known {
				return true
			}
		}
		return false
	}
	first := newID()
	if _, err := c.submit(ctx, "/pule252/", first, key(0), map[string]any{"spec": "x", "steps": []any{step}}); err != nil {
		return "", err
	}
	if !started(first, 5*time.Second) {
		return "", fmt.Errorf("a job that needs the kind b did not start before the disruption")
	}
	leader, err := c.leader()
	if err != nil {
		return "", err
	}
	follower := (leader + 1) % coreCount
	other := (leader + 2) % coreCount
	c.record.say("%s leads; %s is the machine to be cut off", coreName(leader), coreName(follower))
	var reads sync.WaitGroup
	for range 4 { // Operators also read the configuration during the day, at any machine.
		reads.Go(func() {
			status, _ := request(ctx, "GET", "http://"+c.address(netCore, follower, portControl)+"/config", "", nil, nil, time.Second)
			c.record.write("operator: GET /config at %s -> %d", coreName(follower), status)
		})
	}
	reads.Wait()
	began := time.Now()
	if trouble {
		n.cut(coreName(follower))
		time.AfterFunc(cutFor, n.heal)
		c.record.say("%s is cut off from the other core machines", coreName(follower))
	}
	if err := c.order(ctx, "POST", "/evacuate/"+zone, follower, other, leader); err != nil {
		return "", err
	}
	time.Sleep(time.Until(began.Add(backAt)))
	if err := c.order(ctx, "DELETE", "/evacuate/"+zone, other, leader); err != nil {
		return "", err
	}
	c.record.say("the evacuation is taken back, and that is acknowledged")
	time.Sleep(time.Until(began.Add(cutFor)))
	c.record.say("the cut has healed")
	time.Sleep(6 * time.Second) // Twice contact_ms: the core is stable, and all machines are in touch.
	second := newID()
	accepted, err := c.submit(ctx, "/pule252/", second, key(0), map[string]any{"spec": "x", "steps": []any{step}})
	if err != nil {
		return "", err
	}
	if started(second, patient) {
		c.record.say("the job has started %.2f s after its ack", begun[second].Sub(accepted).Seconds())
		return "", nil
	}
	_, state := c.state(ctx, "/pule252/", second, key(0))
	return fmt.Sprintf("LOST: a job whose workers are all in the zone is %s and has not started %.0f s after its ack, though the evacuation was taken back and the workers are idle", state, patient.Seconds()), nil
}

// order sends an order of the operator to core machines in turn until one acknowledges it.
func (c *cluster) order(ctx context.Context, method, path string, machines ...int) error {
	for sent := time.Now(); time.Since(sent) < 4*time.Second; { // ack_ms
		for _, i := range machines {
			status, _ := request(ctx, method, "http://"+c.address(netCore, i, portControl)+path, "", nil, nil, time.Second)
			c.record.say("operator: %s %s at %s -> %d", method, path, coreName(i), status)
			if status/100 == 2 {
				return nil
			}
		}
	}
	return fmt.Errorf("%s %s was not acknowledged", method, path)
}

var leadership = regexp.MustCompile(`event=leadership_began host=\S+ term=(\d+)`)

// leader returns the index of the core machine whose log tells of the newest leadership.
func (c *cluster) leader() (int, error) {
	best, at := 0, -1
	for i := range coreCount {
		data, err := os.ReadFile(filepath.Join(c.folder, coreName(i)+".log"))
		if err != nil {
			return 0, err
		}
		for line := range strings.Lines(string(bytes.ToValidUTF8(data, nil))) {
			if m := leadership.FindStringSubmatch(line); m != nil {
				term := 0
				fmt.Sscan(m[1], &term)
				if term > best {
					best, at = term, i
				}
			}
		}
	}
	if at < 0 {
		return 0, fmt.Errorf("no log tells of a leader")
	}
	return at, nil
}
