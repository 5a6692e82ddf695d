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

// Names on the wire.
const (
	service  = "svc"
	hostName = "svc.example"
	key      = "key1"
	prefix   = "/q/"
)

// configApply is how long after an acknowledgement an older configuration may still be read (DEPLOY, config_apply_ms).
const configApply = 2 * time.Second

// checker plays the callers and operators, and notes what breaks a promise.
type checker struct {
	r *run

	mu        sync.Mutex
	broken    []string
	jobs      map[string]jobFate
	running   map[domain.TaskID]simworker.Event
	completed map[domain.JobID]bool // Shown as completed to a caller.
	acked     []ackedConfig
}

// jobFate is what a caller was told.
type jobFate int

const (
	fateUnknown  jobFate = iota
	fateAccepted         // Must end as completed.
	fateRefused          // Must never start.
)

type ackedConfig struct {
	version int64
	at      time.Time
}

func newChecker(r *run) *checker {
	return &checker{r: r, jobs: map[string]jobFate{}, running: map[domain.TaskID]simworker.Event{}, completed: map[domain.JobID]bool{}}
}

func (c *checker) violate(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violateLocked(format, args...)
}

func (c *checker) violateLocked(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%.3f: ", time.Since(c.r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (c *checker) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.broken)
}

func (c *checker) accepted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, f := range c.jobs {
		if f == fateAccepted {
			n++
		}
	}
	return n
}

// observe checks each start on a worker.
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
		c.violateLocked("task %s attempt %d began on %s while attempt %d runs on %s", e.Task, e.Attempt, e.Worker.ID, r.Attempt, r.Worker.ID)
	}
	if c.jobs[string(e.Task.Job)] == fateRefused {
		c.violateLocked("task %s began, though its job was refused", e.Task)
	}
	if c.completed[e.Task.Job] {
		c.violateLocked("task %s began after its job was shown as completed", e.Task)
	}
	c.running[e.Task] = e
}

// callers submit jobs and ask for them.
func (c *checker) callers(ctx context.Context) {
	client := c.client()
	var all sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", uint64(n+1)<<16|c.r.o.Seed)
		steps := 1 + n%4
		spec := fmt.Sprintf("work=%d gang=%d", 200+n%7*400, steps)
		body := fleet.Job(spec, fleet.Step{"count": steps, "cpu": 1000, "mem_mb": 100, "gpus": 1 + n%3, "gang": steps > 1, "est_runtime_ms": 1000})
		all.Go(func() { c.submit(ctx, client, n, id, body) })
		time.Sleep(150 * time.Millisecond)
	}
	all.Wait()
}

func (c *checker) client() *fleet.Client {
	return &fleet.Client{Fronts: c.r.fronts(), Host: hostName, Key: key}
}

// submit hands a job in, up to four times. It is refused only if each try was answered so.
func (c *checker) submit(ctx context.Context, client *fleet.Client, n int, id string, body []byte) {
	fate := fateRefused
	for try := range 4 {
		status, _ := client.Once(context.WithoutCancel(ctx), n+try, http.MethodPost, prefix+id, body)
		switch status {
		case http.StatusOK:
			fate = fateAccepted
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		case http.StatusNotFound, http.StatusUnauthorized:
			c.violate("job %s was answered %d though its queue and key are in force", id, status)
		default:
			fate = fateUnknown
		}
		if fate == fateAccepted {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.mu.Lock()
	c.jobs[id] = fate
	c.mu.Unlock()
}

// operators change and read the configuration.
func (c *checker) operators(ctx context.Context) {
	op := &fleet.Operator{Control: c.r.control()}
	for version := int64(1); ctx.Err() == nil; version++ {
		body := fleet.Config(version, hostName, service, []fleet.Queue{{Prefix: prefix, Priority: 1, Attempts: 20}}, key)
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
		c.violate("host %d answered a configuration that cannot be read: %v", host, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.acked {
		if sent.Sub(a.at) > configApply && read.Version < a.version {
			c.violateLocked("host %d answered version %d, %v after version %d was acknowledged", host, read.Version, sent.Sub(a.at), a.version)
			return
		}
	}
}

// settle waits until all accepted jobs are completed, and reports those that are not.
func (c *checker) settle(limit time.Duration) {
	client := c.client()
	deadline := time.Now().Add(limit)
	open := map[string]string{}
	c.mu.Lock()
	for id, f := range c.jobs {
		if f == fateAccepted {
			open[id] = "not asked"
		}
	}
	c.mu.Unlock()
	for n := 0; len(open) > 0 && time.Now().Before(deadline); n++ {
		for id := range open {
			status, state := client.State(context.Background(), n, prefix+id)
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
		c.violate("accepted job %s is not completed %v after the faults: %s", id, limit, last)
	}
}
