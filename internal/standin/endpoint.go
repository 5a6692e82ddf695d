// Package standin implements a stand-in endpoint: the endpoint side of the protocol with tasks that take time but do no
// work, and with switches that inject faults.
//
// Endpoint is a state machine without I/O, goroutines or wall clock. Server runs it as a process.
package standin

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/history"
)

// Durations of the endpoint.
const (
	// Reservation is how long a granted reservation admits a start, and how long the gate of a started task may stay
	// closed: a start that does not open the gate only sets the task up.
	Reservation = endpoint.ReservationMillis * time.Millisecond
	// DefaultLease and DefaultPeriod (of heartbeats) apply until a heartbeat reply names others.
	DefaultLease  = 10 * time.Second
	DefaultPeriod = 3 * time.Second
	// CheckpointTime is how long writing a checkpoint takes, unless the grace is shorter.
	CheckpointTime = 100 * time.Millisecond
	// RetryPeriod is the time between attempts to send a report that was not acknowledged.
	RetryPeriod = 500 * time.Millisecond
	// ReportTimeout is the time after which a report without a reply counts as lost.
	ReportTimeout = 3 * time.Second
)

// CheckpointMessage is the message of the result of a task that wrote a checkpoint and ended at the end of its grace,
// because no stop came before. The outcome of the result is stopped.
const CheckpointMessage = "checkpointed"

// CodeSilent is the code of a reply that must not be sent, because the endpoint is frozen or has vanished.
const CodeSilent = "silent"

// CodeNotWritten is the code of the reply to a checkpoint call as long as the checkpoint is not written.
const CodeNotWritten = "checkpoint_not_written"

// maxAttemptRecords bounds the attempts that an endpoint remembers, also after their end. An attempt that was forgotten
// cannot start any more, because its reservation is too old by then.
const maxAttemptRecords = 1 << 16

// Options describe an endpoint and the worker behind it.
type Options struct {
	Announcement endpoint.Announcement
	Faults       Faults
	Checkpoints  *Checkpoints // May be shared; nil for a store of its own.
}

// Endpoint is the state machine of a stand-in endpoint. It is not safe for concurrent use.
type Endpoint struct {
	announcement endpoint.Announcement
	faults       Faults
	checkpoints  *Checkpoints

	epoch         uint64
	tasks         []*task                   // In order of reservation.
	attemptRecord map[string]*attemptRecord // By identifier of the attempt.
	attemptOrder  []string                  // Keys of attemptRecord, oldest first.
	lease         time.Duration
	period        time.Duration

	vanished        bool
	leaving         bool
	leavingAcked    bool
	leavingRecorded bool // The event LeavingSent was recorded.
	known           bool // The leader knows the endpoint, as the newest reply to an announcement or a heartbeat says.

	reports
	events []history.Event
}

// attemptRecord is what an endpoint remembers about an attempt, also after its end.
type attemptRecord struct {
	everRan bool
	blocked bool // No member of the attempt can be reserved or started any more.
}

// New returns an endpoint that has not announced itself yet.
func New(o Options) *Endpoint {
	e := &Endpoint{announcement: o.Announcement, faults: o.Faults, checkpoints: o.Checkpoints}
	if e.checkpoints == nil {
		e.checkpoints = NewCheckpoints()
	}
	e.reset()
	return e
}

func (e *Endpoint) reset() {
	e.epoch, e.tasks, e.attemptOrder = 0, nil, nil
	e.attemptRecord = map[string]*attemptRecord{}
	e.lease, e.period = DefaultLease, DefaultPeriod
	e.vanished, e.leaving, e.leavingAcked, e.leavingRecorded, e.known = false, false, false, false, false
	e.reports = reports{sentReport: map[uint64]*sentReport{}, nextID: e.nextID}
}

// About returns the announcement of the endpoint.
func (e *Endpoint) About() endpoint.Announcement { return e.announcement }

// SetFaults replaces the fault switches.
func (e *Endpoint) SetFaults(f Faults) { e.faults = f }

// Faults returns the fault switches.
func (e *Endpoint) Faults() Faults { return e.faults }

// ReplyDelay is how long the caller of Handle must delay each reply.
func (e *Endpoint) ReplyDelay() time.Duration {
	return time.Duration(e.faults.SlowMillis) * time.Millisecond
}

// Silent tells whether the endpoint neither answers calls nor sends reports.
func (e *Endpoint) Silent() bool { return e.vanished || e.faults.Freeze }

// Leave makes the endpoint give notice that it leaves. Running tasks continue.
func (e *Endpoint) Leave() { e.leaving = true }

// Idle tells whether the endpoint has neither a task nor an unacknowledged result.
func (e *Endpoint) Idle() bool { return len(e.tasks) == 0 && len(e.results) == 0 }

// Left tells whether the notice that the endpoint leaves was acknowledged, and the endpoint is idle.
func (e *Endpoint) Left() bool { return e.leavingAcked && e.Idle() }

// Vanish makes the endpoint disappear without notice: all tasks end and the endpoint is silent until Restart.
func (e *Endpoint) Vanish(now time.Duration) {
	for _, t := range e.tasks {
		if t.everRan {
			e.recordStop(now, t, endpoint.OutcomeStopped, "")
		}
	}
	e.tasks, e.vanished = nil, true
}

// Restart makes the endpoint come back at the same address with a new incarnation, which remembers nothing.
func (e *Endpoint) Restart(now time.Duration, incarnation string) {
	e.Vanish(now)
	e.reset()
	e.announcement.Incarnation = incarnation
}

// Handle executes one call. While the endpoint is silent it does nothing, and the reply must not be sent.
func (e *Endpoint) Handle(now time.Duration, c endpoint.Call) endpoint.Reply {
	e.expire(now)
	switch {
	case e.Silent():
		return endpoint.Reply{Code: CodeSilent}
	case c.Incarnation != e.announcement.Incarnation:
		return endpoint.Reply{Code: endpoint.CodeWrongIncarnation}
	case c.Epoch < e.epoch:
		return endpoint.Reply{Code: endpoint.CodeStaleEpoch}
	}
	e.epoch = c.Epoch
	switch c.Op {
	case endpoint.OpReserve:
		return e.reserve(now, c)
	case endpoint.OpStart:
		return e.start(now, c)
	case endpoint.OpStop:
		return e.stop(now, c.Attempt)
	case endpoint.OpCheckpoint:
		return e.checkpoint(now, c)
	case endpoint.OpThrottle:
		return e.throttle(now, c)
	}
	return e.statusReply(c.Attempt)
}

func (e *Endpoint) reserve(now time.Duration, c endpoint.Call) endpoint.Reply {
	t := e.task(c.Attempt, c.Member)
	switch {
	case t != nil && t.phase != endpoint.PhaseReserved:
		return e.statusReply(c.Attempt)
	case e.blocked(c.Attempt):
		return e.refuse(endpoint.CodeNoReservation, c.Attempt)
	case e.leaving && !e.faults.AcceptsWhileLeaving:
		return e.refuse(endpoint.CodeLeaving, c.Attempt)
	case t == nil && !e.hasCapacity(c.Accelerators):
		return e.refuse(endpoint.CodeNoCapacity, c.Attempt)
	case t == nil:
		t = &task{attempt: c.Attempt, member: c.Member, phase: endpoint.PhaseReserved}
		e.tasks = append(e.tasks, t)
	}
	t.job, t.gangSize, t.accelerators = c.Job, c.GangSize, c.Accelerators
	t.epoch, t.reservedAt = c.Epoch, now
	e.record(now, history.Event{Kind: history.Reserved, Attempt: c.Attempt, Member: c.Member, Epoch: c.Epoch})
	return e.statusReply(c.Attempt)
}

// start prepares a task, and runs it if the call opens the gate. Handle has called expire before, which removes
// reservations that are too old.
func (e *Endpoint) start(now time.Duration, c endpoint.Call) endpoint.Reply {
	t := e.task(c.Attempt, c.Member)
	switch {
	case t == nil:
		return e.refuse(endpoint.CodeNoReservation, c.Attempt)
	case t.phase == endpoint.PhaseRunning:
		return e.statusReply(c.Attempt)
	case t.epoch != c.Epoch:
		return e.refuse(endpoint.CodeNoReservation, c.Attempt)
	}
	if t.phase == endpoint.PhaseReserved {
		e.prepareTask(now, t, c)
	}
	if c.GateOpen {
		e.openGate(now, t)
	}
	return endpoint.Reply{OK: true, Phase: t.phase, EverRan: e.everRan(c.Attempt)}
}

func (e *Endpoint) prepareTask(now time.Duration, t *task, c endpoint.Call) {
	t.phase = endpoint.PhaseReady
	t.body, t.request = c.Body, parseRequest(c.Body)
	t.remaining, t.share = t.request.runTime(), 1
	if remaining, ok := e.checkpoints.load(c.ResumeAttempt, c.Member); ok {
		t.remaining = remaining
	}
	lease := e.lease
	if c.LeaseMillis > 0 {
		lease = time.Duration(c.LeaseMillis) * time.Millisecond
	}
	t.leaseUntil = now + lease
}

func (e *Endpoint) openGate(now time.Duration, t *task) {
	t.phase, t.everRan, t.since = endpoint.PhaseRunning, true, now
	e.attemptRecordOf(t.attempt).everRan = true
	e.record(now, history.Event{Kind: history.Started, Job: t.job, Attempt: t.attempt, Member: t.member,
		GangSize: t.gangSize, Epoch: t.epoch})
}

// stop ends all members of an attempt. After that no member of the attempt can be reserved or started.
func (e *Endpoint) stop(now time.Duration, attempt string) endpoint.Reply {
	for _, t := range e.members(attempt) {
		e.finish(now, t, endpoint.OutcomeStopped, "stopped on request", nil)
	}
	e.attemptRecordOf(attempt).blocked = true
	return e.statusReply(attempt)
}

// checkpoint begins to write the checkpoint of one member. The reply is OK once it is written; until then the caller
// repeats the call. After the checkpoint is written the member makes no progress, and it ends when it is stopped or
// when its grace is over.
func (e *Endpoint) checkpoint(now time.Duration, c endpoint.Call) endpoint.Reply {
	t := e.task(c.Attempt, c.Member)
	if t == nil || t.phase != endpoint.PhaseRunning {
		return e.refuse(endpoint.CodeNoReservation, c.Attempt)
	}
	if t.checkpointWritten {
		return e.statusReply(c.Attempt)
	}
	if t.checkpointAt == 0 && !e.faults.IgnoreCheckpoint {
		grace := time.Duration(c.GraceMillis) * time.Millisecond
		t.checkpointAt, t.graceEnd = now+min(CheckpointTime, grace), now+grace
	}
	return e.refuse(CodeNotWritten, c.Attempt)
}

func (e *Endpoint) throttle(now time.Duration, c endpoint.Call) endpoint.Reply {
	for _, t := range e.members(c.Attempt) {
		if t.phase == endpoint.PhaseRunning {
			t.updateRemaining(now)
		}
		if !t.checkpointWritten {
			t.share = max(0, min(1, c.SpeedShare))
		}
	}
	return e.statusReply(c.Attempt)
}

func (e *Endpoint) refuse(code, attempt string) endpoint.Reply {
	return endpoint.Reply{Code: code, Phase: e.phase(attempt), EverRan: e.everRan(attempt)}
}

func (e *Endpoint) statusReply(attempt string) endpoint.Reply {
	return endpoint.Reply{OK: true, Phase: e.phase(attempt), EverRan: e.everRan(attempt)}
}

func (e *Endpoint) hasCapacity(accelerators int) bool {
	used := 0
	for _, t := range e.tasks {
		used += t.accelerators
	}
	return used+accelerators <= e.announcement.Accelerators && len(e.tasks) < e.announcement.Slots
}

func (e *Endpoint) task(attempt string, member int) *task {
	for _, t := range e.tasks {
		if t.attempt == attempt && t.member == member {
			return t
		}
	}
	return nil
}

func (e *Endpoint) members(attempt string) []*task {
	var found []*task
	for _, t := range e.tasks {
		if t.attempt == attempt {
			found = append(found, t)
		}
	}
	return found
}

// phase returns the least advanced phase among the members of an attempt that hold capacity here.
func (e *Endpoint) phase(attempt string) endpoint.TaskPhase {
	rank := map[endpoint.TaskPhase]int{endpoint.PhaseReserved: 1, endpoint.PhaseReady: 2, endpoint.PhaseRunning: 3}
	lowest := endpoint.PhaseUnknown
	for _, t := range e.members(attempt) {
		if lowest == endpoint.PhaseUnknown || rank[t.phase] < rank[lowest] {
			lowest = t.phase
		}
	}
	if p := e.attemptRecord[attempt]; lowest == endpoint.PhaseUnknown && p != nil && p.blocked {
		return endpoint.PhaseEnded
	}
	return lowest
}

func (e *Endpoint) everRan(attempt string) bool {
	p := e.attemptRecord[attempt]
	return p != nil && p.everRan
}

func (e *Endpoint) blocked(attempt string) bool {
	p := e.attemptRecord[attempt]
	return p != nil && p.blocked
}

// attemptRecordOf returns the record of an attempt. If there is none, it adds one and, at the limit, forgets the
// oldest.
func (e *Endpoint) attemptRecordOf(attempt string) *attemptRecord {
	if p := e.attemptRecord[attempt]; p != nil {
		return p
	}
	if len(e.attemptOrder) >= maxAttemptRecords {
		delete(e.attemptRecord, e.attemptOrder[0])
		e.attemptOrder = e.attemptOrder[1:]
	}
	p := &attemptRecord{}
	e.attemptRecord[attempt] = p
	e.attemptOrder = append(e.attemptOrder, attempt)
	return p
}

// record keeps an event until the next Tick returns it. Its Host includes the incarnation, because a worker may have
// several incarnations in one run.
func (e *Endpoint) record(now time.Duration, v history.Event) {
	v.Time = int64(now)
	v.Worker, v.Zone = e.announcement.Worker, e.announcement.Zone
	v.Host = e.announcement.Worker + "/" + e.announcement.Incarnation
	e.events = append(e.events, v)
}

func (e *Endpoint) recordStop(now time.Duration, t *task, o endpoint.Outcome, digest string) {
	e.record(now, history.Event{Kind: history.Stopped, Job: t.job, Attempt: t.attempt, Member: t.member,
		GangSize: t.gangSize, Outcome: string(o), Digest: digest})
}
