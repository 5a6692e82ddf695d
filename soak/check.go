package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/simworker"
	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// configApplyLimit is how long after the acknowledgement of a configuration a host may still answer with an older one.
// All hosts must have applied the configuration by then.
const configApplyLimit = 2 * time.Second

// checker observes workers, callers and operators, and collects the violations of the requirements.
type checker struct {
	parent *run

	mu            sync.Mutex
	violationList []string
	starts        int
	jobs          map[domain.JobID]*job
	running       map[domain.TaskID][]simworker.Event                   // Starts of the attempts that run, by task.
	onWorker      map[domain.WorkerIncarnation]map[simworker.Event]bool // Starts of the attempts that run, by worker.
	done          map[domain.TaskID][]*doneEnd                          // By doneKey.
	zonesOut      map[string]bool                                       // The state of each zone as it was acknowledged last.
	acked         []ackedConfig                                         // Configurations that a host acknowledged.
}

// job is what the callers know of a job.
type job struct {
	path      string
	demand    domain.Resources // Of each task.
	gang      bool
	result    submitResult
	cancelled bool // A caller has asked to cancel it.
	completed bool // A caller saw it as completed.
	// A caller that cancelled it was told that it does not exist.
	unknownWhenCancelled bool
}

// submitResult is what a caller knows of a job after it submitted it.
type submitResult int

const (
	submitUnknown  submitResult = iota
	submitAccepted              // The job must complete.
	submitRefused               // The job must never start.
)

// doneEnd is the end of an attempt, or of all members of one attempt of a gang, as done.
type doneEnd struct {
	end          simworker.Event
	acknowledged bool
	later        []simworker.Event // Starts of the task, or of its gang, after that.
}

type ackedConfig struct {
	version int64
	at      time.Time
}

func newChecker(parent *run) *checker {
	return &checker{
		parent: parent, jobs: map[domain.JobID]*job{}, running: map[domain.TaskID][]simworker.Event{},
		onWorker: map[domain.WorkerIncarnation]map[simworker.Event]bool{}, done: map[domain.TaskID][]*doneEnd{},
		zonesOut: map[string]bool{},
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

func (c *checker) addViolationLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violationList = append(c.violationList, fmt.Sprintf("%.3f: ", time.Since(c.parent.start).Seconds())+text)
	c.parent.logEvent("VIOLATION %s", text)
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
	for _, j := range c.jobs {
		if j.result == submitAccepted {
			n++
		}
	}
	return n
}

// doneKey returns the task under which the ends of a task as done are kept: for the tasks of a gang it is the same, since
// the end of one represents all.
func (c *checker) doneKey(id domain.TaskID) domain.TaskID {
	if j := c.jobs[id.Job]; j != nil && j.gang {
		id.Index = 0
	}
	return id
}

// observe checks the start or the end of an attempt.
func (c *checker) observe(e simworker.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Start {
		c.parent.logEvent("start worker=%s task=%s attempt=%d", e.Worker.ID, e.Task, e.Attempt)
		c.starts++
		c.checkStart(e)
		return
	}
	c.parent.logEvent("end worker=%s task=%s attempt=%d outcome=%s", e.Worker.ID, e.Task, e.Attempt, e.Outcome)
	c.running[e.Task] = slices.DeleteFunc(c.running[e.Task], func(r simworker.Event) bool { return sameAttempt(r, e) })
	for r := range c.onWorker[e.Worker] {
		if sameAttempt(r, e) {
			delete(c.onWorker[e.Worker], r)
		}
	}
	if e.Outcome == domain.OutcomeDone {
		key := c.doneKey(e.Task)
		if !slices.ContainsFunc(c.done[key], func(d *doneEnd) bool { return c.sameRun(d.end, e) }) {
			c.done[key] = append(c.done[key], &doneEnd{end: e})
		}
	}
}

// sameRun tells whether two ends are of one run: of a gang, the ends of any members. An attempt that two incarnations of a
// worker have carried out was run twice, and the end of the second says nothing of the first.
func (c *checker) sameRun(a, b simworker.Event) bool {
	j := c.jobs[a.Task.Job]
	return a.Attempt == b.Attempt && (a.Worker == b.Worker || (j != nil && j.gang))
}

func sameAttempt(a, b simworker.Event) bool {
	return a.Worker == b.Worker && a.Task == b.Task && a.Attempt == b.Attempt
}

// checkStart checks that an attempt neither overlaps another one of its task nor follows the end of one as done, that its
// job is neither refused nor completed, and that its worker has room for it. What a worker is stopping still takes room.
func (c *checker) checkStart(e simworker.Event) {
	for _, r := range c.running[e.Task] {
		c.addViolationLocked("TWICE task %s attempt %d started on %s while attempt %d runs on %s", e.Task, e.Attempt, e.Worker.ID, r.Attempt, r.Worker.ID)
	}
	for _, d := range c.done[c.doneKey(e.Task)] {
		d.later = append(d.later, e)
		if d.acknowledged {
			c.addStartAfterDone(e, d.end)
		}
	}
	j := c.jobs[e.Task.Job]
	switch {
	case j == nil:
		c.addViolationLocked("task %s started, though no caller has submitted its job", e.Task)
		return
	case j.result == submitRefused:
		c.addViolationLocked("task %s started, though its job was refused", e.Task)
	case j.completed:
		c.addViolationLocked("task %s started after its job was reported as completed", e.Task)
	}
	if c.onWorker[e.Worker] == nil {
		c.onWorker[e.Worker] = map[simworker.Event]bool{}
	}
	c.onWorker[e.Worker][e] = true
	c.running[e.Task] = append(c.running[e.Task], e)
	var used domain.Resources
	for r := range c.onWorker[e.Worker] {
		used = used.Plus(c.jobs[r.Task.Job].demand)
	}
	if !used.Fits(fleet.Capacity) {
		c.addViolationLocked("LIMIT worker %s holds %+v since the start of task %s attempt %d", e.Worker.ID, used, e.Task, e.Attempt)
	}
}

func (c *checker) addStartAfterDone(start, end simworker.Event) {
	c.addViolationLocked("TWICE task %s attempt %d started on %s at %.3f, though attempt %d ended as done on %s at %.3f, which was acknowledged",
		start.Task, start.Attempt, start.Worker.ID, start.At.Seconds(), end.Attempt, end.Worker.ID, end.At.Seconds())
}

// acknowledged notes that the end of an attempt was acknowledged to its worker. No attempt of a task may start after an
// end as done that is acknowledged then or later.
func (c *checker) acknowledged(e simworker.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parent.logEvent("ack worker=%s task=%s attempt=%d outcome=%s", e.Worker.ID, e.Task, e.Attempt, e.Outcome)
	for _, d := range c.done[c.doneKey(e.Task)] {
		if !c.sameRun(d.end, e) || d.acknowledged {
			continue
		}
		d.acknowledged = true
		for _, start := range d.later {
			c.addStartAfterDone(start, d.end)
		}
	}
}

// duplicate notes the start of a second attempt of a task on the worker on which a lower one still runs.
func (c *checker) duplicate(e simworker.Event) {
	c.addViolation("TWICE task %s attempt %d was to start on %s, where a lower attempt still runs", e.Task, e.Attempt, e.Worker.ID)
}
