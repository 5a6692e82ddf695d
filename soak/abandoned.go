package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// Times of callers that leave.
const (
	fastestLeave  = 20 * time.Millisecond // Callers leave after this at the earliest.
	slowestLeave  = 800 * time.Millisecond
	abandonPeriod = 250 * time.Millisecond // Between two such callers.
	cancelLimit   = 20 * time.Second       // How long they try to cancel their jobs.
)

// firstAbandoned is above the numbers of all other jobs of a run.
const firstAbandoned = 1 << 48

// abandonJobs submits jobs whose callers leave if they have no answer yet, and cancel the job at another host, until ctx ends.
func (c *checker) abandonJobs(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.parent.options.Seed, 13))
	var all sync.WaitGroup
	for n := uint64(1); ctx.Err() == nil; n++ {
		id := domain.JobID(fmt.Sprintf("%016x", firstAbandoned+n<<16|c.parent.options.Seed&0xffff))
		path := queues[0].Prefix + string(id)
		c.mu.Lock()
		c.jobs[id] = &job{path: path, demand: domain.Resources{CPU: 100, Accelerators: 1}}
		c.mu.Unlock()
		front, patience := random.IntN(len(c.parent.entries)), between(random, fastestLeave, slowestLeave)
		all.Go(func() { c.abandon(id, path, front, patience) })
		time.Sleep(abandonPeriod)
	}
	all.Wait()
}

// abandon submits a job and leaves after a while. If there was no answer until then, it cancels the job.
func (c *checker) abandon(id domain.JobID, path string, front int, patience time.Duration) {
	k := c.newCaller(front)
	ctx, leave := context.WithTimeout(context.Background(), patience)
	defer leave()
	body := fleet.JobBody("work=200", fleet.Step{"count": 1, "cpu": 100, "gpus": 1, "est_runtime_ms": 200})
	if status, _ := k.client.Once(ctx, front, http.MethodPost, path, body); status != 0 {
		return
	}
	for end := time.Now().Add(cancelLimit); time.Now().Before(end); time.Sleep(submitRetry) {
		k.front++
		switch status, _ := k.once(http.MethodDelete, path, nil); status {
		case http.StatusOK:
			return
		case http.StatusGone:
			c.mu.Lock()
			defer c.mu.Unlock()
			c.jobs[id].unknownWhenCancelled = true
			c.parent.logEvent("cancelled_unknown job=%s", id)
			return
		}
	}
}

// checkAbandoned checks that no job has run of which a caller who cancelled it was told that it does not exist.
func (c *checker) checkAbandoned(limit time.Duration) {
	open := map[domain.JobID]string{} // Paths.
	c.mu.Lock()
	for id, j := range c.jobs {
		if j.unknownWhenCancelled {
			open[id] = j.path
		}
	}
	c.mu.Unlock()
	k := c.newCaller(0)
	for end := time.Now().Add(limit); len(open) > 0 && time.Now().Before(end); time.Sleep(statePeriod / 2) {
		for id, path := range open {
			status, data := k.once(http.MethodGet, path, nil)
			var answer struct {
				State string `json:"state"`
			}
			if status != http.StatusGone && (status != http.StatusOK || json.Unmarshal(data, &answer) != nil) {
				continue
			}
			delete(open, id)
			if status == http.StatusOK && answer.State != domain.JobCancelled.String() {
				c.addViolation("UNASKED job %s is shown as %s, though its caller was told that it does not exist when cancelling it", id, answer.State)
			}
		}
	}
	for id := range open {
		c.addViolation("the state of job %s is not known %v after the faults", id, limit)
	}
}
