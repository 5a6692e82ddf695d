package main

import (
	"fmt"
	"time"
)

// otherUrgent hands in a job of priority 0 that needs just what is guaranteed to its tenant, after urgent work of a tenant without a
// guarantee has come, which lasts. All its tasks have to begin within reclaim_ms.
func otherUrgent(c *cluster, trouble bool) error {
	workers, err := c.startWorkers(8, 2)
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // Longer than contact_ms.
	const id, other = "5c0e7a21d94b36f8", "77a1e07b21d94b36"
	if trouble {
		step := map[string]any{"count": len(workers), "cpu": 13000, "mem_mb": 4096, "gpus": 8, "est_runtime_ms": 60000, "long_running": true}
		if err := c.submitWith(otherKey, urgent, other, step, specLasting); err != nil {
			return err
		}
		if !await(5*time.Second, func() bool { return busy(workers) == len(workers) }) {
			return fmt.Errorf("%d of %d tasks of the other tenant run", busy(workers), len(workers))
		}
	}
	time.Sleep(3 * time.Second)
	step := map[string]any{"count": 2, "cpu": 13000, "mem_mb": 4096, "gpus": guaranteedGPUs / 2, "est_runtime_ms": 2500}
	if err := c.submit(urgent, id, step, specWork+"2500"); err != nil {
		return err
	}
	return c.checkReclaim(id, []string{id + ".0.0.0", id + ".0.0.1"})
}
