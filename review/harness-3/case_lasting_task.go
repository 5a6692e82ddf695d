package main

import (
	"fmt"
	"time"
)

// lastingTask lets a task that lasts end by its own fault while six of eight workers are full and two are empty. It has to run
// again: "the tasks run until the job is cancelled, and must be restarted however they end".
func lastingTask(c *cluster, trouble bool) error {
	workers, err := c.startWorkers(8, 2)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const id, others = "77a1e07b21d94b36", "5c0e7a21d94b36f8"
	serving := map[string]any{"count": 1, "cpu": 2000, "mem_mb": 1024, "gpus": 1, "est_runtime_ms": 600000, "long_running": true, "may_miss": 1}
	if err := c.submit(ordinary, id, serving, specLasting); err != nil {
		return err
	}
	task := id + ".0.0.0"
	if !await(8*time.Second, func() bool { return len(c.workersWith(task)) == 1 }) {
		return fmt.Errorf("the task does not run")
	}
	filling := map[string]any{"count": 6, "cpu": 13000, "mem_mb": 4096, "gpus": 8, "est_runtime_ms": 600000, "long_running": true}
	if err := c.submit(leastUrge, others, filling, specLasting); err != nil {
		return err
	}
	if !await(10*time.Second, func() bool { return busy(workers) == 7 }) {
		return fmt.Errorf("%d workers are busy, not 7", busy(workers))
	}
	time.Sleep(5 * time.Second)
	if trouble {
		on := c.workersWith(task)
		if len(on) != 1 || !on[0].fail(task) {
			return fmt.Errorf("the task cannot fail, it runs on %d workers", len(on))
		}
	}
	ended := c.record.at()
	// From 6 s after its last run on, it may be without a run for 3 s.
	const allowed = 9 * time.Second
	for c.record.at() < ended+40*time.Second {
		time.Sleep(20 * time.Millisecond)
		if len(c.workersWith(task)) > 0 && trouble {
			c.record.note("the task runs again %.3f s after its end", (c.record.at() - ended).Seconds())
			break
		}
		if n := busy(workers); n != 6 && trouble {
			return fmt.Errorf("%d workers are busy, not 6: there is another room than was planned", n)
		}
	}
	runs := c.record.runsOf(task)
	last := runs[len(runs)-1]
	c.record.note("state of the job: %s; runs of its task: %d", c.state(ordinary, id), len(runs))
	if last.to == 0 && last.from < ended+allowed {
		return nil
	}
	until := c.record.at()
	if last.to == 0 {
		until = last.from
	}
	if until-ended <= allowed {
		return nil
	}
	return fmt.Errorf("%w: LOST: the task that lasts was without a run for %.1f s, while two workers of 32 cores and 8 GPUs were empty", errBroken, (until - ended).Seconds())
}

// busy returns how many workers run something.
func busy(workers []*worker) int {
	n := 0
	for _, w := range workers {
		if w.load() > 0 {
			n++
		}
	}
	return n
}
