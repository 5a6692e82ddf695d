// Package simworker models a worker of a fleet for tests: fencing, leases on a clock of its own, attempts, ends by cursor
// and gangs. It has no I/O and no clock; the caller passes the time in.
//
// What an attempt does is told by its payload, a list of key=value pairs: work=MS, fail=true (ends as failed),
// hang=true (makes no progress), gang=N (members that must be present), serve=MS (never ends; MS is its tail when nothing
// fills beside it), fill=true (disturbs those that serve on its worker).
package simworker

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Bounds of the model, those of the deployments.
const (
	GangWait  = 3 * time.Second
	MaxLease  = 10 * time.Second
	saveEvery = 2000 * time.Millisecond
)

// Program is what a payload tells an attempt to do.
type Program struct {
	Work time.Duration
	Fail bool
	Hang bool
	Gang int
	// Serve is the tail of a task that serves, 0 for other tasks.
	Serve int64
	Fill  bool
}

// ParseProgram reads a payload. Unknown words are ignored.
func ParseProgram(payload string) Program {
	p := Program{Gang: 1}
	for _, word := range strings.Fields(payload) {
		key, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value) // Not a number: 0, as for an absent word.
		switch key {
		case "work":
			p.Work = time.Duration(n) * time.Millisecond
		case "fail":
			p.Fail = value == "true"
		case "hang":
			p.Hang = value == "true"
		case "serve":
			p.Serve = int64(n)
		case "fill":
			p.Fill = value == "true"
		case "gang":
			p.Gang = n
		}
	}
	return p
}

// Event is something that a checker wants to know.
type Event struct {
	At      time.Duration
	Worker  domain.WorkerLife
	Task    domain.TaskID
	Attempt int
	Start   bool
	Outcome domain.Outcome
	Until   time.Duration // Start: when the lease ends at the latest.
}

// Gangs joins the members of gangs that run on different workers.
type Gangs struct {
	groups map[gangKey]*gang
	Events func(Event)
}

type gangKey struct {
	job              domain.JobID
	occurrence, step int
	attempt          int
}

type gang struct {
	members  map[int]*attempt
	complete bool
	ended    bool
}

// NewGangs returns an empty registry.
func NewGangs() *Gangs { return &Gangs{groups: map[gangKey]*gang{}, Events: func(Event) {}} }

type attempt struct {
	worker  *Worker
	task    domain.TaskID
	number  int
	program Program
	began   time.Duration // When it came, or when its gang was complete.
	came    time.Duration
	base    time.Duration // Work that its checkpoint covers.
	pace    int           // Percent.
}

// Worker is one lifetime of a worker.
type Worker struct {
	Life     domain.WorkerLife
	Capacity domain.Resources
	Rate     float64 // Of its clock, against true time.
	Broken   bool    // All attempts fail at once.
	Stuck    bool    // Attempts make no progress.
	Ticket   string  // What starts must carry, empty for none.
	crashed  bool
	gangs    *Gangs
	born     time.Duration
	fence    uint64
	untilMS  int64
	running  map[domain.TaskID]*attempt
	highest  map[domain.TaskID]int // Highest attempt stopped or ended.
	ended    []dispatch.EndedTask
	next     int64
}

// New starts a lifetime.
func New(life domain.WorkerLife, capacity domain.Resources, rate float64, gangs *Gangs, now time.Duration) *Worker {
	return &Worker{
		Life: life, Capacity: capacity, Rate: rate, gangs: gangs, born: now, next: 1,
		running: map[domain.TaskID]*attempt{}, highest: map[domain.TaskID]int{},
	}
}

// Clock returns the worker's clock in milliseconds.
func (w *Worker) Clock(now time.Duration) int64 {
	return 1000 + int64(float64((now-w.born).Milliseconds())*w.Rate)
}

// Advance ends what ends by itself up to now.
func (w *Worker) Advance(now time.Duration) {
	if len(w.running) > 0 && w.Clock(now) > w.untilMS {
		for _, a := range w.list() {
			w.end(now, a, domain.OutcomeLapsed)
		}
	}
	for _, a := range w.list() {
		if w.running[a.task] == a {
			w.advance(now, a)
		}
	}
}

func (w *Worker) advance(now time.Duration, a *attempt) {
	g := w.gangs.groups[a.key()]
	switch {
	case a.program.Gang > 1 && !g.complete:
		if now-a.came >= GangWait {
			w.end(now, a, domain.OutcomeAlone)
		}
	case a.program.Fail || w.Broken:
		w.end(now, a, domain.OutcomeFailed)
	case a.program.Hang || w.Stuck || a.program.Serve > 0:
	case a.base+now-a.began >= a.program.Work:
		w.end(now, a, domain.OutcomeDone)
	}
}

func (a *attempt) key() gangKey {
	return gangKey{a.task.Job, a.task.Occurrence, a.task.Step, a.number}
}

// list returns the running attempts in a fixed order.
func (w *Worker) list() []*attempt {
	var out []*attempt
	for _, a := range w.running {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return a.task.Compare(b.task) })
	return out
}

// Call carries an order out.
func (w *Worker) Call(now time.Duration, c dispatch.Call) dispatch.Reply {
	w.Advance(now)
	r := dispatch.Reply{Status: dispatch.OK, ClockMS: w.Clock(now), BornMS: w.Life.BornMS}
	if c.Worker.ID != w.Life.ID {
		return dispatch.Reply{Status: dispatch.OtherLife, BornMS: w.Life.BornMS}
	}
	if c.Fence < w.fence {
		r.Status = dispatch.RejectedFence
		return r
	}
	w.fence = c.Fence
	switch c.Kind {
	case dispatch.CallHold:
		w.extend(now, c.UntilMS)
		w.ended = slices.DeleteFunc(w.ended, func(e dispatch.EndedTask) bool { return e.Number <= c.Cursor })
		w.lists(now, &r)
	case dispatch.CallStart:
		r.Status = w.start(now, c)
	case dispatch.CallPace:
		if a := w.running[c.Task]; a != nil && a.number == c.Attempt {
			a.pace = c.Percent
		}
	case dispatch.CallStop:
		w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
		if a := w.running[c.Task]; a != nil && a.number <= c.Attempt {
			w.end(now, a, domain.OutcomeStopped)
		}
	}
	return r
}

func (w *Worker) extend(now time.Duration, untilMS int64) {
	w.untilMS = max(w.untilMS, min(untilMS, w.Clock(now)+MaxLease.Milliseconds()))
}

func (w *Worker) start(now time.Duration, c dispatch.Call) dispatch.Status {
	if a := w.running[c.Task]; a != nil && a.number == c.Attempt {
		w.extend(now, c.UntilMS)
		return dispatch.OK
	}
	if c.Attempt <= w.highest[c.Task] || w.running[c.Task] != nil {
		w.extend(now, c.UntilMS)
		return dispatch.RejectedOld
	}
	if c.UntilMS <= w.Clock(now) {
		return dispatch.RejectedLate
	}
	if c.Ticket != w.Ticket {
		return dispatch.RejectedTicket
	}
	w.extend(now, c.UntilMS)
	a := &attempt{worker: w, task: c.Task, number: c.Attempt, program: ParseProgram(c.Payload), began: now, came: now, pace: 100}
	if ms, err := strconv.Atoi(c.Saved); err == nil {
		a.base = time.Duration(ms) * time.Millisecond
	}
	w.running[c.Task] = a
	a.join(now)
	w.gangs.Events(Event{At: now, Worker: w.Life, Task: c.Task, Attempt: c.Attempt, Start: true})
	w.Advance(now)
	return dispatch.OK
}

// join enters the attempt into its gang.
func (a *attempt) join(now time.Duration) {
	g := a.worker.gangs.groups[a.key()]
	if g == nil {
		g = &gang{members: map[int]*attempt{}}
		a.worker.gangs.groups[a.key()] = g
	}
	g.members[a.task.Index] = a
	if len(g.members) < a.program.Gang || g.complete {
		return
	}
	g.complete = true
	for _, m := range g.members {
		m.began = now
	}
}

func (w *Worker) lists(now time.Duration, r *dispatch.Reply) {
	r.Lists = true
	for _, a := range w.list() {
		r.Running = append(r.Running, dispatch.RunningTask{Task: a.task, Attempt: a.number, Percent: a.percent(now), Saved: a.saved(now), Load: a.load()})
	}
	r.Ended = slices.Clone(w.ended)
}

func (a *attempt) done(now time.Duration) time.Duration {
	if a.program.Hang || a.worker.Stuck || (a.program.Gang > 1 && !a.worker.gangs.groups[a.key()].complete) {
		return a.base
	}
	return a.base + now - a.began
}

// fillDisturbs is by how much an attempt that fills at full pace lengthens the tails on its worker, in milliseconds.
const fillDisturbs = 40

// load returns the tail of an attempt that serves.
func (a *attempt) load() int64 {
	if a.program.Serve == 0 {
		return 0
	}
	tail := a.program.Serve
	for _, other := range a.worker.running {
		if other.program.Fill {
			tail += int64(fillDisturbs * other.pace / 100)
		}
	}
	return tail
}

// Tails returns the tails of the attempts that serve.
func (w *Worker) Tails() map[domain.TaskID]int64 {
	out := map[domain.TaskID]int64{}
	for id, a := range w.running {
		if a.program.Serve > 0 {
			out[id] = a.load()
		}
	}
	return out
}

func (a *attempt) percent(now time.Duration) int {
	if a.program.Serve > 0 {
		return 100
	}
	if a.program.Work == 0 {
		return 0
	}
	return int(100 * a.done(now) / a.program.Work)
}

func (a *attempt) saved(now time.Duration) string {
	whole := a.done(now) / saveEvery * saveEvery
	if whole == 0 {
		return ""
	}
	return strconv.FormatInt(whole.Milliseconds(), 10)
}

// end lists an end. The end of one member of a gang ends the others.
func (w *Worker) end(now time.Duration, a *attempt, how domain.Outcome) {
	delete(w.running, a.task)
	w.highest[a.task] = max(w.highest[a.task], a.number)
	w.ended = append(w.ended, dispatch.EndedTask{Number: w.next, AttemptEnd: domain.AttemptEnd{
		Task: a.task, Attempt: a.number, Outcome: how, Saved: a.saved(now),
	}})
	w.next++
	w.gangs.Events(Event{At: now, Worker: w.Life, Task: a.task, Attempt: a.number, Outcome: how})
	g := w.gangs.groups[a.key()]
	if g.ended || a.program.Gang <= 1 || how == domain.OutcomeAlone {
		return
	}
	g.ended = true
	others := domain.OutcomeBroken
	if how == domain.OutcomeDone {
		others = domain.OutcomeDone
	}
	for _, m := range g.members {
		if m != a && m.worker.running[m.task] == m {
			m.worker.end(now, m, others)
		}
	}
}

// Crash ends everything without a trace.
func (w *Worker) Crash(now time.Duration) {
	w.crashed = true
	for _, a := range w.list() {
		delete(w.running, a.task)
		w.gangs.Events(Event{At: now, Worker: w.Life, Task: a.task, Attempt: a.number, Outcome: domain.OutcomeLost})
	}
}

// Crashed tells whether the lifetime is over. It must not be called any more.
func (w *Worker) Crashed() bool { return w.crashed }

// Running returns how many attempts run.
func (w *Worker) Running() int { return len(w.running) }

// Used returns what the running attempts take, given the demand of a task.
func (w *Worker) Used(demand func(domain.TaskID) domain.Resources) domain.Resources {
	var r domain.Resources
	for id := range w.running {
		r = r.Plus(demand(id))
	}
	return r
}

// HasEnds tells whether ends beyond a cursor are listed, which a waiting hold answers at once.
func (w *Worker) HasEnds(cursor int64) bool {
	return slices.ContainsFunc(w.ended, func(e dispatch.EndedTask) bool { return e.Number > cursor })
}
