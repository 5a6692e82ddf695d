package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// Names in the configuration and in the requests of clients.
const (
	service  = "svc"
	hostName = "svc.example"
	apiKey   = "key1"
)

// queues are the queues of each configuration: jobs of the first may preempt those of the second.
var queues = []fleet.QueueRoute{{Prefix: "/p/", Priority: 0, Attempts: 20}, {Prefix: "/q/", Priority: 1, Attempts: 20}}

// Jobs whose gang fails as a whole before it completes. Their queue allows one failed run more.
var failingQueue = fleet.QueueRoute{Prefix: "/f/", Priority: 1, Attempts: failedRuns + 1}

const (
	failedRuns   = 2
	failingShare = 0.1 // Of the gangs.
)

// Numbers and periods of callers and operators.
const (
	callers        = 20 // Each keeps its connection until the host closes it or leaves a request unanswered.
	operators      = 2
	submitTries    = 4
	submitRetry    = 300 * time.Millisecond
	statePeriod    = 400 * time.Millisecond
	configPeriod   = 700 * time.Millisecond
	fastestArrival = 150 * time.Millisecond // Between two jobs; the seed draws the period of a run.
	slowestArrival = 450 * time.Millisecond
	shortestWork   = 200 * time.Millisecond
	usualWork      = 3 * time.Second
	longestWork    = 9 * time.Second // Long enough for an attempt to outlive the first lease of its worker.
	longShare      = 0.25            // Share of jobs that take longer than usualWork.
	cancelShare    = 0.1
	cancelAfter    = 2 * time.Second // Longest time until a job is cancelled.
)

// caller sends requests to one entry host, and changes to another one when a request was not answered.
type caller struct {
	client *fleet.Client
	front  int
	mu     sync.Mutex // A caller has one connection.
}

func (c *checker) newCaller(front int) *caller {
	return &caller{front: front, client: &fleet.Client{
		FrontAddresses: c.parent.frontAddresses(), Host: hostName, Key: apiKey, Transport: &http.Transport{MaxIdleConnsPerHost: 1},
	}}
}

func (k *caller) once(method, path string, body []byte) (int, []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	status, data := k.client.Once(context.Background(), k.front, method, path, body)
	if status == 0 || status == http.StatusServiceUnavailable {
		k.front++
	}
	return status, data
}

// submitJobs submits jobs until ctx ends, and waits until all callers are done with theirs.
func (c *checker) submitJobs(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.parent.options.Seed, 11))
	failing := rand.New(rand.NewPCG(c.parent.options.Seed, 12))
	period := between(random, fastestArrival, slowestArrival)
	var list []*caller
	for i := range callers {
		list = append(list, c.newCaller(i))
	}
	var all sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		id := domain.JobID(fmt.Sprintf("%016x", uint64(n+1)<<16|c.parent.options.Seed&0xffff))
		tasks := 1 + random.IntN(4)
		demand := domain.Resources{CPU: 1000, MemoryMB: 100, Accelerators: 1 + random.Int64N(3)}
		work := between(random, shortestWork, usualWork)
		if random.Float64() < longShare {
			work = between(random, usualWork, longestWork)
		}
		payload := fmt.Sprintf("work=%d gang=%d", work.Milliseconds(), tasks)
		fails := c.parent.options.GangFailures && tasks > 1 && failing.Float64() < failingShare
		if fails {
			payload += fmt.Sprintf(" fail_runs=%d", failedRuns)
		}
		body := fleet.JobBody(payload, fleet.Step{
			"count": tasks, "cpu": demand.CPU, "mem_mb": demand.MemoryMB, "gpus": demand.Accelerators, "gang": tasks > 1, "est_runtime_ms": 1500,
			"checkpointable": random.IntN(2) == 0,
		})
		prefix := queues[min(1, random.IntN(3))].Prefix
		if fails {
			prefix = failingQueue.Prefix
		}
		path := prefix + string(id)
		cancelIn := time.Duration(0)
		if random.Float64() < cancelShare {
			cancelIn = between(random, time.Millisecond, cancelAfter)
		}
		c.mu.Lock()
		c.jobs[id] = &job{path: path, demand: demand, gang: tasks > 1}
		c.mu.Unlock()
		all.Go(func() { c.follow(ctx, list[n%callers], id, body, cancelIn) })
		time.Sleep(period)
	}
	all.Wait()
}

// follow submits a job, cancels it if cancelIn is not 0, and asks for its state until it has completed or ctx ends.
func (c *checker) follow(ctx context.Context, k *caller, id domain.JobID, body []byte, cancelIn time.Duration) {
	c.mu.Lock()
	path := c.jobs[id].path
	c.mu.Unlock()
	result := c.submit(k, path, body)
	c.mu.Lock()
	c.jobs[id].result = result
	c.mu.Unlock()
	if result != submitAccepted {
		return
	}
	if cancelIn > 0 {
		time.Sleep(cancelIn)
		c.mu.Lock()
		c.jobs[id].cancelled = true
		c.mu.Unlock()
		k.once(http.MethodDelete, path, nil)
		return
	}
	for ctx.Err() == nil && !c.askState(k, id, path) {
		time.Sleep(statePeriod)
	}
}

// submit submits a job several times. The job counts as refused only if each try was answered with a refusal; after any
// other answer, or none, it may have been accepted.
func (c *checker) submit(k *caller, path string, body []byte) submitResult {
	result := submitRefused
	for range submitTries {
		status, _ := k.once(http.MethodPost, path, body)
		switch status {
		case http.StatusOK:
			return submitAccepted
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		case http.StatusNotFound, http.StatusUnauthorized:
			c.addViolation("job %s was answered with status %d though its queue and key are in force", path, status)
		default:
			result = submitUnknown
		}
		time.Sleep(submitRetry)
	}
	return result
}

// askState asks for the state of a job and returns whether it has completed.
func (c *checker) askState(k *caller, id domain.JobID, path string) bool {
	status, data := k.once(http.MethodGet, path, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusGone {
		c.addViolation("accepted job %s is not known", id)
		return true
	}
	if status != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return false
	}
	if answer.State == "failed" || answer.State == "cancelled" {
		c.addViolation("job %s is shown as %s without a cause", id, answer.State)
		return true
	}
	if answer.State != "completed" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].completed = true
	return true
}

// changeConfigs changes the configuration until ctx ends, and reads it from each host after each change. The operators
// send their changes at the same time, so that a version may arrive after a higher one.
func (c *checker) changeConfigs(ctx context.Context, operator int) {
	op := &fleet.Operator{ControlAddresses: c.parent.controlAddresses()}
	for version := int64(2 + operator); ctx.Err() == nil; version += operators {
		c.sendConfig(ctx, version)
		for i := range coreHosts {
			c.readConfig(ctx, op, i)
		}
		time.Sleep(configPeriod)
	}
}

// extraQueue is the queue that a version of the configuration has besides queues.
func extraQueue(version int64) fleet.QueueRoute {
	return fleet.QueueRoute{Prefix: fmt.Sprintf("/extra%d/", version%3), Priority: 1, Attempts: 20}
}

func configBody(version int64) []byte {
	return fleet.ConfigBody(version, hostName, service, append(slices.Clone(queues), failingQueue, extraQueue(version)), apiKey)
}

// sendConfig sends a configuration until it is acknowledged or ctx ends.
func (c *checker) sendConfig(ctx context.Context, version int64) {
	op := &fleet.Operator{ControlAddresses: c.parent.controlAddresses()}
	if op.Send(ctx, http.MethodPut, "/config", configBody(version)) == http.StatusOK {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.acked = append(c.acked, ackedConfig{version, time.Now()})
	}
}

func (c *checker) readConfig(ctx context.Context, op *fleet.Operator, host int) {
	sent := time.Now()
	status, data := op.Once(ctx, host, http.MethodGet, "/config", nil)
	if status != http.StatusOK {
		return
	}
	var read struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(data, &read); err != nil {
		c.addViolation("host %d answered with a configuration that cannot be decoded: %v", host, err)
		return
	}
	if read.Version >= firstMalformed || bytes.Contains(data, []byte(malformedMarker)) {
		c.addViolation("CONFIG host %d answered with a malformed configuration: %.1500q", host, data)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.acked {
		if sent.Sub(a.at) > configApplyLimit && read.Version < a.version {
			c.addViolationLocked("host %d answered with version %d, %v after version %d was acknowledged", host, read.Version, sent.Sub(a.at), a.version)
			return
		}
	}
}

// awaitCompletion waits until all accepted jobs are completed that no caller has asked to cancel, and adds a violation
// for each that is not completed within the limit.
func (c *checker) awaitCompletion(limit time.Duration) {
	k := c.newCaller(0)
	deadline := time.Now().Add(limit)
	open := map[domain.JobID]string{} // Paths.
	c.mu.Lock()
	for id, j := range c.jobs {
		if j.result == submitAccepted && !j.cancelled && !j.completed {
			open[id] = j.path
		}
	}
	c.mu.Unlock()
	for len(open) > 0 && time.Now().Before(deadline) {
		maps.DeleteFunc(open, func(id domain.JobID, path string) bool { return c.askState(k, id, path) })
		time.Sleep(statePeriod / 2)
	}
	for id := range open {
		c.addViolation("accepted job %s is not completed %v after the faults", id, limit)
	}
}
