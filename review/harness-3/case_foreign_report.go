package main

import (
	"fmt"
	"net/http"
	"time"
)

// foreignReport runs two tasks, and lets another writer send one status report that names the address of the worker of the first
// one and lacks fields. Such a report "names no worker to use; the others hold".
func foreignReport(c *cluster, trouble bool) error {
	if _, err := c.startWorkers(8, 2); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const id = "5c0e7a21d94b36f8"
	step := map[string]any{"count": 2, "cpu": 13000, "mem_mb": 4096, "gpus": 8, "est_runtime_ms": 12000}
	if err := c.submit(ordinary, id, step, specWork+"12000"); err != nil {
		return err
	}
	tasks := []string{id + ".0.0.0", id + ".0.0.1"}
	if !await(8*time.Second, func() bool { return len(c.workersWith(tasks[0])) == 1 && len(c.workersWith(tasks[1])) == 1 }) {
		return fmt.Errorf("the tasks do not run")
	}
	time.Sleep(3 * time.Second)
	victims := c.workersWith(tasks[0])
	if len(victims) != 1 {
		return fmt.Errorf("%d workers run the first task", len(victims))
	}
	if trouble {
		// Without version, slots, cold_left_ms, labels, clock_ms and machine.
		report := map[string]any{
			"service": service, "address": victims[0].address, "zone": victims[0].zone, "state": "ready",
			"capacity": map[string]any{"cpu": 32000, "mem_mb": 65536, "gpus": 8}, "sequence": 1, "born": time.Now().UnixMilli(),
		}
		status, _ := c.call(http.MethodPut, "http://"+c.controls()[0]+"/instances/i-other", nil, report)
		c.record.note("another writer: PUT /instances/i-other with the address of %s, without version, slots, cold_left_ms, labels, clock_ms, machine: %d", victims[0].id, status)
		if status == 0 {
			return fmt.Errorf("the report was not answered")
		}
	}
	if !await(40*time.Second, func() bool { return c.state(ordinary, id) == "completed" }) {
		return fmt.Errorf("the job has not completed")
	}
	for _, task := range tasks {
		if a, b, twice := c.record.atOnce(task); twice {
			return fmt.Errorf("%w: TWICE: run %d on %s (%.3f s to %.3f s, %s) and run %d on %s (from %.3f s) of %s run at the same time",
				errBroken, a.run, a.worker, a.from.Seconds(), a.to.Seconds(), a.how, b.run, b.worker, b.from.Seconds(), task)
		}
	}
	return nil
}

// atOnce returns two runs of a task that were at the same time, if there are any.
func (r *recorder) atOnce(task string) (a, b span, twice bool) {
	runs := r.runsOf(task)
	for i := range runs {
		for _, later := range runs[i+1:] {
			if runs[i].to == 0 || later.from < runs[i].to {
				return runs[i], later, true
			}
		}
	}
	return span{}, span{}, false
}
