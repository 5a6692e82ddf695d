package dispatch

import (
	"maps"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// order is an attempt that may be present on a worker.
type order struct {
	task    domain.TaskID
	attempt int
	life    domain.WorkerLife
	begun   time.Duration // When this leader took the order over.
	// inherited marks an order of an earlier leader, which the worker may run for long already.
	inherited bool
	calls     int           // Starts or stops under way.
	tries     int           // Starts sent.
	next      time.Duration // Earliest time of the next start or stop.
	started   bool          // The worker has confirmed the start, or lists the attempt.
	ackedAt   time.Duration // When the worker confirmed the start or the stop.
	stop      bool          // The attempt is to end.
	why       string
	stopped   bool // The worker has confirmed the stop, or that it will not run the attempt.
	percent   int
	progress  time.Duration // When percent last rose.
	saved     string
	load      int64 // As listed last, see RunningTask.
	pace      int   // Percent that was ordered last.
	paceSent  int   // Percent that the worker has confirmed.
	pacing    bool  // An order of pace is under way.
}

// stepKey names a step of an occurrence.
type stepKey struct {
	job        domain.JobID
	occurrence int
	step       int
}

func keyOf(t domain.TaskID) stepKey { return stepKey{t.Job, t.Occurrence, t.Step} }

// Leader gives the orders of one leadership. It is not safe for concurrent use.
type Leader struct {
	o        Options
	m        *domain.Machine
	sessions map[string]*session
	orders   map[domain.TaskID]*order
	// active holds the orders that are not settled: not started yet, or to be stopped.
	active   map[domain.TaskID]*order
	sorted   []string // Identifiers of the workers.
	resort   bool     // The workers have changed.
	calls    map[uint64]pending
	lastCall uint64
	ready    map[stepKey]int64 // When a step was first seen ready, Unix milliseconds.
	chains   map[domain.JobID]int64
	ended    map[domain.JobID]bool // Jobs whose end was noted.
	planning bool                  // A command with starts is under way.
	filling  bool                  // An open job has work that fills.
	dirty    bool
	planAt   time.Duration
	planned  time.Duration
	purgeAt  time.Duration
	watchAt  time.Duration
	deposed  bool
	out      Output
	adviser  adviser
	upkeeps  map[string]*upkeepState // By machine.
	upkeepAt time.Duration
	// When this leadership began.
	began       time.Duration
	beganWallMS int64
}

// pending is a call under way.
type pending struct {
	call Call
	sent time.Duration
}

// New begins a leadership over the applied state.
func New(m *domain.Machine, o Options, now Time) *Leader {
	if o.Observer == nil {
		o.Observer = unobserved{}
	}
	l := &Leader{
		o:        o,
		m:        m,
		sessions: map[string]*session{},
		orders:   map[domain.TaskID]*order{},
		active:   map[domain.TaskID]*order{},
		calls:    map[uint64]pending{},
		ready:    map[stepKey]int64{},
		chains:   map[domain.JobID]int64{},
		ended:    map[domain.JobID]bool{},
		dirty:    true,
		// A leadership may begin anew within one term. Answers to calls of the one before must not pass for answers to its own.
		lastCall: uint64(now.Mono),
		adviser:  newAdviser(uint64(now.Mono)),
		upkeeps:  map[string]*upkeepState{},
		began:    now.Mono, beganWallMS: now.WallMS,
	}
	for _, w := range m.Workers() {
		s := l.session(w.Life, now) // Also of idle workers: they are asked for their clocks at once.
		for id, attempt := range w.Attempts() {
			l.adopt(id, attempt, w.Life, now).inherited = true
			s.look, s.inherited = true, true
		}
	}
	return l
}

func (l *Leader) adopt(id domain.TaskID, attempt int, life domain.WorkerLife, now Time) *order {
	x := &order{task: id, attempt: attempt, life: life, begun: now.Mono, progress: now.Mono, percent: -1, pace: paceFull, paceSent: paceFull}
	l.orders[id] = x
	l.active[id] = x
	return x
}

// drop forgets an order that is over.
func (l *Leader) drop(id domain.TaskID) {
	delete(l.orders, id)
	delete(l.active, id)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// settle takes an order off the list of those that need attention.
func (l *Leader) settle(x *order) {
	if x.started && !x.stop {
		delete(l.active, x.task)
	}
}

func (l *Leader) session(life domain.WorkerLife, now Time) *session {
	s := l.sessions[life.ID]
	if s == nil || s.life != life {
		s = &session{life: life, created: now.Mono, heard: now.Mono, reported: now.Mono}
		l.sessions[life.ID] = s
	}
	return s
}

// Deposed tells whether a worker has refused an order of this leader in favour of a newer one.
func (l *Leader) Deposed() bool { return l.deposed }

// Reported notes a report of a worker that is registered.
func (l *Leader) Reported(now Time, life domain.WorkerLife, clockMS int64) {
	s := l.session(life, now)
	s.reported = now.Mono
	s.learnClock(now.Mono, clockMS)
}

// Applied follows a command that has been applied.
func (l *Leader) Applied(now Time, c *domain.Command, r domain.Result) {
	l.dirty = true
	switch {
	case c.Start != nil:
		l.planning = false
		for _, a := range c.Start.Assignments {
			l.begin(now, a)
		}
	case c.End != nil:
		if s := l.sessions[c.End.Worker.ID]; s != nil && s.life == c.End.Worker {
			s.ending, s.lapsing = false, false
			s.nextHold = now.Mono
		}
		for _, e := range c.End.Ends {
			l.conclude(now, e)
		}
		l.noteEnded(c)
	case c.Cancel != nil:
		l.stopJob(c.Cancel.Job, "cancelled")
		if r == domain.Applied {
			l.jobEnded(l.m.Job(c.Cancel.Job))
		}
	case c.Register != nil, c.Forget != nil:
		l.sweep()
	case c.Upkeep != nil:
		l.upkeepApplied(c.Upkeep)
	case c.Purge != nil:
		maps.DeleteFunc(l.ended, func(id domain.JobID, _ bool) bool { return l.m.Job(id) == nil })
	}
}

// begin takes a committed start over.
func (l *Leader) begin(now Time, a domain.Assignment) {
	j := l.m.Job(a.Task.Job)
	t := j.Task(a.Task)
	if t.Worker != a.Worker || l.orders[a.Task] != nil {
		return
	}
	l.adopt(a.Task, t.Attempt, a.Worker, now)
	l.o.Observer.AttemptBegun(j.Spec.Priority, milliseconds(l.WaitedMS(now, j, a.Task.Occurrence, a.Task.Step)))
	l.o.Log("attempt_begun", "job", a.Task.Job, "task", a.Task.String(), "attempt", t.Attempt, "worker", a.Worker.ID,
		"waited_ms", now.WallMS-j.AcceptedMS, "failed_before", t.Failed)
}

// conclude drops the order of a task that is on no worker any more, and stops what is left of a job that has ended, or of
// a task that an earlier attempt has done.
func (l *Leader) conclude(now Time, e domain.AttemptEnd) {
	id := e.Task
	j := l.m.Job(id.Job)
	if j == nil || !j.Task(id).Occupied() {
		l.drop(id)
	}
	if j == nil {
		return
	}
	if x := l.orders[id]; x != nil && e.Outcome == domain.OutcomeDone && e.Attempt < x.attempt {
		l.o.Log("attempt_not_needed", "job", id.Job, "task", id.String(), "attempt", x.attempt, "worker", x.life.ID, "done_by", e.Attempt)
		l.abandon(x, "an earlier attempt is done")
	}
	if j.State.Final() {
		if j.State != domain.JobCompleted { // The members of a gang that is done end by themselves.
			l.stopJob(id.Job, j.State.String())
		}
	} else if t := j.Task(id); !t.Occupied() && !t.Done {
		l.ready[keyOf(id)] = now.WallMS
	}
}

// noteEnded notes the jobs that a command with ends has ended. Ends of attempts that a job leaves behind come later.
func (l *Leader) noteEnded(c *domain.Command) {
	for _, e := range c.End.Ends {
		if j := l.m.Job(e.Task.Job); j != nil && j.State.Final() {
			l.jobEnded(j)
		}
	}
}

func (l *Leader) jobEnded(j *domain.Job) {
	if l.ended[j.Spec.ID] {
		return
	}
	l.ended[j.Spec.ID] = true
	age := j.EndedMS - j.AcceptedMS
	l.o.Observer.JobEnded(j.State, milliseconds(age))
	l.o.Log("job_ended", "job", j.Spec.ID, "state", j.State.String(), "age_ms", age)
	l.forgetJob(j)
}

func (l *Leader) forgetJob(j *domain.Job) {
	delete(l.chains, j.Spec.ID)
	l.adviser.forget(j)
	for k := range j.Occurrences {
		for s := range j.Spec.Steps {
			delete(l.ready, stepKey{j.Spec.ID, k, s})
		}
	}
}

func (l *Leader) stopJob(id domain.JobID, why string) {
	for t, x := range l.orders {
		if t.Job == id {
			l.want(x, why)
		}
	}
}

// want asks for the end of an attempt.
func (l *Leader) want(x *order, why string) {
	if !x.stop {
		x.stop = true
		x.why = why
		x.next = 0
		x.tries = 0
		l.active[x.task] = x
	}
}

// sweep drops orders and sessions of lifetimes that are over.
func (l *Leader) sweep() {
	for id, x := range l.orders {
		j := l.m.Job(id.Job)
		if j == nil || !j.Task(id).Occupied() || j.Task(id).Worker != x.life {
			l.drop(id)
		}
	}
	l.resort = true
	for id, s := range l.sessions {
		if w := l.m.Worker(id); w == nil || w.Life != s.life {
			delete(l.sessions, id)
		}
	}
}

// watchEvery is the period of the searches for what has not happened in time.
const watchEvery = 50 * time.Millisecond

// Tick advances the orders and returns what is to be done.
func (l *Leader) Tick(now Time) Output {
	if now.Mono >= l.watchAt {
		l.watchAt = now.Mono + watchEvery
		l.watchGangs(now)
		l.watchProgress(now)
		l.lapse(now)
		l.release(now)
		l.housekeeping(now)
	}
	l.upkeep(now)
	l.plan(now)
	l.sendOrders(now)
	l.sendHolds(now)
	out := l.out
	l.out = Output{}
	return out
}

func (l *Leader) propose(now Time, c domain.Command) {
	c.AtMS = now.WallMS
	l.out.Commands = append(l.out.Commands, &c)
}

func (l *Leader) call(now Time, w *domain.Worker, c Call) {
	l.lastCall++
	c.ID = l.lastCall
	c.Worker = w.Life
	c.Address = w.Address
	c.Fence = l.o.Fence
	l.calls[c.ID] = pending{c, now.Mono}
	l.out.Calls = append(l.out.Calls, c)
}
