package main

import (
	"fmt"
	"time"
)

// guaranteedJob hands in a gang of priority 0 that needs just what is guaranteed to its tenant, after a large job of another tenant
// has come, whose tasks last. All its tasks have to begin within reclaim_ms.
func guaranteedJob(c *cluster, trouble bool) error {
	workers, err := c.startWorkers(8, 2)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const id, large = "5c0e7a21d94b36f8", "77a1e07b21d94b36"
	if trouble {
		step := map[string]any{"count": len(workers), "cpu": 13000, "mem_mb": 4096, "gpus": 8, "est_runtime_ms": 900, "long_running": true, "may_miss": 1}
		if err := c.submitWith(otherKey, leastUrge, large, step, specLasting); err != nil {
			return err
		}
		if !await(15*time.Second, func() bool { return busy(workers) == len(workers) }) {
			c.record.note("%d of %d tasks of the large job run", busy(workers), len(workers))
		}
	}
	time.Sleep(5 * time.Second) // Longer than contact_ms.
	step := map[string]any{"count": 2, "cpu": 13000, "mem_mb": 4096, "gpus": guaranteedGPUs / 2, "est_runtime_ms": 2500, "gang": true}
	if err := c.submit(urgent, id, step, specGang+"2 "+specWork+"2500"); err != nil {
		return err
	}
	return c.checkReclaim(id, []string{id + ".0.0.0", id + ".0.0.1"})
}

// checkReclaim returns an error if the tasks of a job that has just been accepted have not all begun within reclaim_ms.
func (c *cluster) checkReclaim(id string, tasks []string) error {
	acked := c.record.at()
	const reclaim = 3400 * time.Millisecond
	for c.record.at() < acked+40*time.Second && begun(c, tasks) < len(tasks) {
		time.Sleep(20 * time.Millisecond)
	}
	last := time.Duration(0)
	for _, task := range tasks {
		if runs := c.record.runsOf(task); len(runs) > 0 {
			last = max(last, runs[0].from)
		}
	}
	n := begun(c, tasks)
	c.record.note("%d of %d tasks have begun; state of the job: %s", n, len(tasks), c.state(urgent, id))
	if n < len(tasks) {
		return fmt.Errorf("%w: RECLAIM: %d of %d tasks of a job within the guarantee have begun 40 s after its ack", errBroken, n, len(tasks))
	}
	if last > acked+reclaim {
		return fmt.Errorf("%w: RECLAIM: the last task of a job within the guarantee has begun %.3f s after its ack", errBroken, (last - acked).Seconds())
	}
	return nil
}

// begun returns how many of some tasks have begun.
func begun(c *cluster, tasks []string) int {
	n := 0
	for _, task := range tasks {
		if len(c.record.runsOf(task)) > 0 {
			n++
		}
	}
	return n
}
