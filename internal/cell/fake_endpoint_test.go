package cell_test

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
)

// fakeTask is one member of an attempt at a fake endpoint.
type fakeTask struct {
	member                              int
	epoch                               uint64
	phase                               endpoint.TaskPhase
	reservedAt, leaseEnd, endAt, sentAt time.Duration // endAt: end of the run; sentAt: last sending of the result.
	ran, acked                          bool
	stoppedFirst                        bool // The stop arrived before any reservation or start.
	result                              *endpoint.Result
}

// fakeEndpoint follows the protocol of package endpoint and counts the tasks that pass their gate.
type fakeEndpoint struct {
	w                                    *world
	worker, incarnation                  string
	capacity, truncateResults            int // truncateResults: number of results still to be truncated in transit.
	runFor, nextHeartbeat                time.Duration
	outcome                              endpoint.Outcome
	checkpoints, silent, withholdResults bool // silent: it sends and receives nothing.
	epoch                                uint64
	tasks                                map[string]*fakeTask
}

func (e *fakeEndpoint) handle(c endpoint.Call) *endpoint.Reply {
	if c.Incarnation != e.incarnation {
		return &endpoint.Reply{Code: endpoint.CodeWrongIncarnation}
	}
	if c.Epoch < e.epoch {
		return &endpoint.Reply{Code: endpoint.CodeStaleEpoch}
	}
	e.epoch = c.Epoch
	t := e.tasks[c.Attempt]
	switch c.Op {
	case endpoint.OpReserve:
		return e.reserve(c, t)
	case endpoint.OpStart:
		return e.start(c, t)
	case endpoint.OpStop:
		if t == nil {
			t = &fakeTask{stoppedFirst: true, acked: true}
			e.tasks[c.Attempt] = t
		}
		e.end(c.Attempt, t, endpoint.OutcomeStopped)
	case endpoint.OpCheckpoint:
		return &endpoint.Reply{OK: e.checkpoints && t != nil && t.phase == endpoint.PhaseRunning}
	}
	if t == nil {
		return &endpoint.Reply{OK: true, Phase: endpoint.PhaseUnknown}
	}
	return &endpoint.Reply{OK: true, Phase: t.phase, EverRan: t.ran}
}

func (e *fakeEndpoint) reserve(c endpoint.Call, t *fakeTask) *endpoint.Reply {
	if t == nil {
		if e.used()+c.Accelerators > e.capacity {
			return &endpoint.Reply{Code: endpoint.CodeNoCapacity}
		}
		t = &fakeTask{member: c.Member, epoch: c.Epoch, phase: endpoint.PhaseReserved, reservedAt: e.w.now}
		e.tasks[c.Attempt] = t
	}
	if t.stoppedFirst || t.phase == endpoint.PhaseEnded {
		return &endpoint.Reply{Code: endpoint.CodeNoReservation}
	}
	return &endpoint.Reply{OK: true, Phase: t.phase}
}

func (e *fakeEndpoint) used() int {
	n := 0
	for _, t := range e.tasks {
		if t.phase != endpoint.PhaseEnded && !t.stoppedFirst {
			n++
		}
	}
	return n
}

func (e *fakeEndpoint) start(c endpoint.Call, t *fakeTask) *endpoint.Reply {
	if t == nil || t.stoppedFirst || (t.phase == endpoint.PhaseEnded && !t.ran) {
		return &endpoint.Reply{Code: endpoint.CodeNoReservation}
	}
	if t.phase == endpoint.PhaseReserved || t.phase == endpoint.PhaseReady {
		if e.w.now > t.reservedAt+endpoint.ReservationMillis*time.Millisecond {
			return &endpoint.Reply{Code: endpoint.CodeNoReservation}
		}
		t.phase = endpoint.PhaseReady
		t.leaseEnd = e.w.now + time.Duration(c.LeaseMillis)*time.Millisecond
	}
	if c.GateOpen && t.phase == endpoint.PhaseReady {
		t.phase, t.ran, t.endAt = endpoint.PhaseRunning, true, e.w.now+e.runFor
		e.w.taskStarted(c)
	}
	return &endpoint.Reply{OK: true, Phase: t.phase}
}

// end ends a task and creates its result, which is sent until it is acknowledged.
func (e *fakeEndpoint) end(attempt string, t *fakeTask, o endpoint.Outcome) {
	if t.phase == endpoint.PhaseEnded || t.stoppedFirst {
		return
	}
	t.phase = endpoint.PhaseEnded
	if !t.ran {
		o = endpoint.OutcomeNeverRan
	}
	r := &endpoint.Result{Worker: e.worker, Incarnation: e.incarnation, Attempt: attempt, Epoch: t.epoch,
		Member: t.member, Outcome: o}
	if t.member == 0 && o == endpoint.OutcomeSucceeded {
		r.Body = []byte("answer of " + attempt)
		sum := sha256.Sum256(r.Body)
		r.Length, r.SHA256 = len(r.Body), hex.EncodeToString(sum[:])
	}
	t.result, t.sentAt = r, -time.Hour
}

// tick ends the tasks that are due and sends heartbeats and results.
func (e *fakeEndpoint) tick() {
	for _, id := range slices.Sorted(maps.Keys(e.tasks)) {
		t := e.tasks[id]
		switch {
		case t.phase == endpoint.PhaseRunning && e.w.now >= t.endAt:
			e.end(id, t, e.outcome)
		case t.phase == endpoint.PhaseRunning && e.w.now >= t.leaseEnd:
			e.end(id, t, endpoint.OutcomeStopped)
		case t.phase == endpoint.PhaseReady && e.w.now > t.reservedAt+endpoint.ReservationMillis*time.Millisecond:
			e.end(id, t, endpoint.OutcomeNeverRan)
		}
		if t.result != nil && !t.acked && !e.silent && !e.withholdResults && e.w.now >= t.sentAt+500*time.Millisecond {
			t.sentAt = e.w.now
			e.sendResult(t)
		}
	}
	if !e.silent && e.w.now >= e.nextHeartbeat {
		e.nextHeartbeat = e.w.now + 3*time.Second
		e.sendHeartbeat()
	}
}

func (e *fakeEndpoint) sendResult(t *fakeTask) {
	r := *t.result
	if e.truncateResults > 0 && len(r.Body) > 0 {
		e.truncateResults--
		r.Body = r.Body[:len(r.Body)-1]
	}
	e.w.report(cellReport(&r), func(a *endpoint.Ack, _ *endpoint.HeartbeatReply) {
		if a != nil && !a.Retry {
			t.acked = true
		}
	})
}

func (e *fakeEndpoint) sendHeartbeat() {
	sent := e.w.now
	h := &endpoint.Heartbeat{Worker: e.worker, Incarnation: e.incarnation}
	for _, id := range slices.Sorted(maps.Keys(e.tasks)) {
		if t := e.tasks[id]; !t.stoppedFirst && !t.acked {
			h.Attempts = append(h.Attempts, endpoint.AttemptStatus{Attempt: id, Phase: t.phase})
		}
	}
	e.w.report(cellReport(h), func(_ *endpoint.Ack, b *endpoint.HeartbeatReply) {
		switch {
		case b == nil || h.Incarnation != e.incarnation:
		case !b.Known:
			e.announce()
		default:
			e.renew(sent, h, b)
		}
	})
}

func (e *fakeEndpoint) renew(sent time.Duration, h *endpoint.Heartbeat, b *endpoint.HeartbeatReply) {
	for _, held := range h.Attempts {
		t := e.tasks[held.Attempt]
		if slices.Contains(b.StopAttempts, held.Attempt) {
			e.end(held.Attempt, t, endpoint.OutcomeStopped)
			continue
		}
		t.leaseEnd = sent + time.Duration(b.LeaseMillis)*time.Millisecond
	}
}

func (e *fakeEndpoint) announce() {
	e.w.report(cellReport(&endpoint.Announcement{Worker: e.worker, Incarnation: e.incarnation, Zone: "z", Rack: "r",
		Address: e.worker, Accelerators: e.capacity, Slots: e.capacity}), nil)
}

// restart drops all state, as a new process does, and announces the new incarnation.
func (e *fakeEndpoint) restart(incarnation string) {
	e.incarnation, e.epoch, e.tasks, e.silent = incarnation, 0, map[string]*fakeTask{}, false
	e.announce()
}
