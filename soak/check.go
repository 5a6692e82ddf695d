package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/simworker"
	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// Names in the configuration and in the requests of clients.
const (
	service    = "svc"
	hostName   = "svc.example"
	apiKey     = "key1"
	pathPrefix = "/q/"
)

// configApplyLimit is how long after the acknowledgement of a configuration a host may still answer with an older one.
// All hosts must have applied the configuration by then.
const configApplyLimit = 2 * time.Second

// checker sends the requests of callers and operators, and collects the violations of the requirements.
type checker struct {
	parent *run

	mu            sync.Mutex
	violationList []string
	jobs          map[string]submitResult           // By job identifier.
	running       map[domain.TaskID]simworker.Event // Start of the attempt that runs, by task.
	completed     map[domain.JobID]bool             // Jobs that a caller saw as completed.
	acked         []ackedConfig                     // Configurations that a host acknowledged.
}

// submitResult is what a caller knows of a job after it submitted it.
type submitResult int

const (
	submitUnknown  submitResult = iota
	submitAccepted              // The job must complete.
	submitRefused               // The job must never start.
)

type ackedConfig struct {
	version int64
	at      time.Time
}

func newChecker(parent *run) *checker {
	return &checker{parent: parent, jobs: map[string]submitResult{}, running: map[domain.TaskID]simworker.Event{}, completed: map[domain.JobID]bool{}}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

func (c *checker) addViolationLocked(format string, args ...any) {
	c.violationList = append(c.violationList, fmt.Sprintf("%.3f: ", time.Since(c.parent.start).Seconds())+fmt.Sprintf(format, args...))
}

func (c *checker) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violationList)
}

func (c *checker) accepted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, result := range c.jobs {
		if result == submitAccepted {
			n++
		}
	}
	return n
}

// observe checks an event of a worker: a start must not overlap another attempt of the task, and its job must be
// neither refused nor completed.
func (c *checker) observe(e simworker.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !e.Start {
		if r, runs := c.running[e.Task]; runs && r.Worker == e.Worker && r.Attempt == e.Attempt {
			delete(c.running, e.Task)
		}
		return
	}
	if r, runs := c.running[e.Task]; runs {
		c.addViolationLocked("task %s attempt %d started on %s while attempt %d runs on %s", e.Task, e.Attempt, e.Worker.ID, r.Attempt, r.Worker.ID)
	}
	if c.jobs[string(e.Task.Job)] == submitRefused {
		c.addViolationLocked("task %s started, though its job was refused", e.Task)
	}
	if c.completed[e.Task.Job] {
		c.addViolationLocked("task %s started after its job was reported as completed", e.Task)
	}
	c.running[e.Task] = e
}

// submitJobs submits a job every 150 ms until ctx ends, and waits until all submissions have ended.
func (c *checker) submitJobs(ctx context.Context) {
	client := c.client()
	var all sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", uint64(n+1)<<16|c.parent.options.Seed)
		tasks := 1 + n%4
		spec := fmt.Sprintf("work=%d gang=%d", 200+n%7*400, tasks)
		body := fleet.JobBody(spec, fleet.Step{"count": tasks, "cpu": 1000, "mem_mb": 100, "gpus": 1 + n%3, "gang": tasks > 1, "est_runtime_ms": 1000})
		all.Go(func() { c.submit(ctx, client, n, id, body) })
		time.Sleep(150 * time.Millisecond)
	}
	all.Wait()
}

func (c *checker) client() *fleet.Client {
	return &fleet.Client{FrontAddresses: c.parent.frontAddresses(), Host: hostName, Key: apiKey}
}

// submit submits a job up to four times. The job counts as refused only if each try was answered with a refusal; after
// any other answer, or none, it may have been accepted.
func (c *checker) submit(ctx context.Context, client *fleet.Client, n int, id string, body []byte) {
	result := submitRefused
	for try := range 4 {
		status, _ := client.Once(context.WithoutCancel(ctx), n+try, http.MethodPost, pathPrefix+id, body)
		switch status {
		case http.StatusOK:
			result = submitAccepted
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		case http.StatusNotFound, http.StatusUnauthorized:
			c.addViolation("job %s was answered with status %d though its queue and key are in force", id, status)
		default:
			result = submitUnknown
		}
		if result == submitAccepted {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.mu.Lock()
	c.jobs[id] = result
	c.mu.Unlock()
}

// changeConfigs changes the configuration until ctx ends, and reads it from each host after each change.
func (c *checker) changeConfigs(ctx context.Context) {
	op := &fleet.Operator{ControlAddresses: c.parent.controlAddresses()}
	for version := int64(1); ctx.Err() == nil; version++ {
		body := fleet.ConfigBody(version, hostName, service, []fleet.QueueRoute{{Prefix: pathPrefix, Priority: 1, Attempts: 20}}, apiKey)
		if op.Send(ctx, http.MethodPut, "/config", body) == http.StatusOK {
			c.mu.Lock()
			c.acked = append(c.acked, ackedConfig{version, time.Now()})
			c.mu.Unlock()
		}
		for i := range 3 {
			c.readConfig(ctx, op, i)
		}
		time.Sleep(700 * time.Millisecond)
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
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.acked {
		if sent.Sub(a.at) > configApplyLimit && read.Version < a.version {
			c.addViolationLocked("host %d answered with version %d, %v after version %d was acknowledged", host, read.Version, sent.Sub(a.at), a.version)
			return
		}
	}
}

// awaitCompletion waits until all accepted jobs are completed, and adds a violation for each that is not completed
// within the limit.
func (c *checker) awaitCompletion(limit time.Duration) {
	client := c.client()
	deadline := time.Now().Add(limit)
	open := map[string]string{}
	c.mu.Lock()
	for id, result := range c.jobs {
		if result == submitAccepted {
			open[id] = "not asked"
		}
	}
	c.mu.Unlock()
	for n := 0; len(open) > 0 && time.Now().Before(deadline); n++ {
		for id := range open {
			status, state := client.JobState(context.Background(), n, pathPrefix+id)
			open[id] = fmt.Sprintf("%d %s", status, state)
			if state == "completed" {
				delete(open, id)
				c.mu.Lock()
				c.completed[domain.JobID(id)] = true
				c.mu.Unlock()
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	for id, last := range open {
		c.addViolation("accepted job %s is not completed %v after the faults: %s", id, limit, last)
	}
}
