package main

import (
	"fmt"
	"net/http"
	"time"
)

// lastingTasks is the number of tasks of the step.
const lastingTasks = 4

// upkeepOfKilled lets a worker crash and its machine come back with a new life at another port, and then asks for the upkeep of
// that machine. A step whose tasks last, and of which one may be missing, runs there.
func upkeepOfKilled(c *cluster, trouble bool) error {
	workers, err := c.startWorkers(8, 2)
	if err != nil {
		return err
	}
	cloud, err := c.startCloud(workers)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		old := workers[7]
		old.crash()
		time.Sleep(3 * time.Second)
		o := old.workerOptions
		o.id, o.port = "i-00", workerPort+1
		back, err := c.startWorker(o)
		if err != nil {
			return err
		}
		cloud.replace(back)
	}
	time.Sleep(6 * time.Second)
	const id = "77a1e07b21d94b36"
	serving := map[string]any{
		"count": lastingTasks, "cpu": 2000, "mem_mb": 1024, "gpus": 1, "est_runtime_ms": 60000, "long_running": true, "may_miss": 1, "constraints": workers[7].rack,
	}
	if err := c.submit(ordinary, id, serving, specLasting); err != nil {
		return err
	}
	var tasks []string
	for i := range lastingTasks {
		tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", id, i))
	}
	if !await(10*time.Second, func() bool { return len(c.workersWith(tasks[0])) == 1 }) {
		return fmt.Errorf("the tasks do not run")
	}
	time.Sleep(3 * time.Second)
	on := c.workersWith(tasks[0])
	if len(on) != 1 || on[0].load() != lastingTasks {
		return fmt.Errorf("the tasks are not on one worker")
	}
	if trouble && on[0].id != "i-00" {
		return fmt.Errorf("the tasks are on %s, not on the life that came back", on[0].id)
	}
	watch := newAvailability(c, tasks, 1)
	wave := map[string]any{"wave": 1, "machines": []string{on[0].machine}, "within_s": 20, "max_count": 1}
	if err := c.order(http.MethodPost, "/wave-start", wave); err != nil {
		return err
	}
	done := false
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && !done; time.Sleep(500 * time.Millisecond) {
		_, data := c.call(http.MethodGet, "http://"+c.controls()[0]+"/wave-get/1", nil, nil)
		done = string(data) == "{\"state\":\"completed\"}\n" || string(data) == "{\"state\":\"completed\"}"
	}
	c.record.note("the wave is completed: %v", done)
	time.Sleep(time.Second)
	return watch.check()
}
