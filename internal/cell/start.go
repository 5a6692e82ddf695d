package cell

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// startMarginDivisor sets the safety margin of starts: in the last 1/startMarginDivisor of the reservation time no
// start is sent, which leaves time for the transmission of the call.
const startMarginDivisor = 8

// startRetryDelay is the delay before a start without a reply is sent again.
const startRetryDelay = 50 * time.Millisecond

// phase is the state of an attempt at the leader. A gang starts in three phases, each of which all members must pass
// before the next one: a reservation, a start with the gate closed, which sets the task up and lets it wait, and a
// start with the gate open, which lets it run. A single member skips the start with the gate closed.
type phase uint8

const (
	phaseReserve phase = iota // Reservations are being made.
	phaseReady                // Starts with the gate closed are under way.
	phaseOpen                 // Starts with the gate open are under way.
	phaseRunning
	phaseGrace // The attempt is preempted and has time to write a checkpoint.
	phaseStop  // The members are being stopped.
	phaseEnded // The end is proposed.
)

// trackedAttempt is a live attempt with the state that the dispatcher keeps of it.
type trackedAttempt struct {
	attempt         *table.Attempt
	phase           phase
	members         []member
	placedInEpoch   bool          // Placed in this epoch, so that all calls sent to its members are known.
	reserveSentAt   time.Duration // Time at which the first reserve was sent.
	reserveSent     bool          // A reserve was sent.
	runningProposed bool          // A MarkRunning command is proposed or committed.
	stopReason      string        // Reason for the stop.
	graceEnd        time.Duration // End of phaseGrace.
}

// member is one member of a tracked attempt.
type member struct {
	callID             uint64        // Call in flight; 0 for none.
	callOp             endpoint.Op   // Operation of the call in flight.
	unlistedHeartbeats int           // Consecutive heartbeats that did not list the running attempt.
	retryAt            time.Duration // No reserve, start, stop or checkpoint call is sent before this time.
	mayHoldAttempt     bool          // The endpoint may hold a reservation or a task of the attempt.
	reserved           bool          // The endpoint granted the reservation.
	ready              bool          // The endpoint confirmed a start, with the gate closed or open.
	opened             bool          // The endpoint confirmed a start with the gate open, or the attempt is known to run.
	gateOpenSent       bool          // A start with the gate open was, or may have been, sent.
	checkpointed       bool
	stopConfirmed      bool // The endpoint confirmed the stop.
	everRan            bool // The task passed its gate, according to the confirmation of the stop.
	stopConfirmedAt    time.Duration
	lost               bool // The task has ended: its lease expired, or its endpoint restarted or does not know it.
	result             *endpoint.Result
	waiters            []uint64 // Requests with the member's result that wait for the commit of the attempt's end.
}

// trackAttempt begins to track a live attempt, also at the endpoints of its members.
func (d *dispatcher) trackAttempt(now time.Duration, attempt *table.Attempt) *trackedAttempt {
	r := &trackedAttempt{attempt: attempt, members: make([]member, len(attempt.Members)),
		placedInEpoch: attempt.Epoch == d.epoch}
	if attempt.State == table.AttemptRunning {
		r.phase, r.runningProposed = phaseRunning, true
	}
	for i, p := range attempt.Members {
		if !r.placedInEpoch {
			m := &r.members[i]
			m.mayHoldAttempt, m.gateOpenSent = true, true
			m.opened = r.runningProposed
		}
		e := d.endpointOf(now, endpointKey{p.Worker, p.Incarnation})
		e.attempts[attempt.ID] = r
		if !r.placedInEpoch && !r.runningProposed {
			e.lastGrant = now + d.cell.options.Timing.Reservation
		}
	}
	d.attempts[attempt.ID] = r
	return r
}

// untrackAttempt ends the tracking of an attempt that has ended.
func (d *dispatcher) untrackAttempt(r *trackedAttempt) {
	delete(d.attempts, r.attempt.ID)
	r.phase = phaseEnded
	for _, p := range r.attempt.Members {
		key := endpointKey{p.Worker, p.Incarnation}
		e := d.endpoints[key]
		if e == nil {
			continue
		}
		delete(e.attempts, r.attempt.ID)
		d.pruneEndpoint(key, e)
	}
}

// step takes the next action that the attempt's phase and the state of its members call for.
func (d *dispatcher) step(now time.Duration, r *trackedAttempt) {
	if d.suspended {
		d.deferredSteps = append(d.deferredSteps, r.attempt.ID)
		return
	}
	switch r.phase {
	case phaseReserve, phaseReady, phaseOpen:
		d.stepStart(now, r)
	case phaseRunning:
		d.stepRunning(now, r)
	case phaseGrace:
		d.stepGrace(now, r)
	case phaseStop:
		d.stepStop(now, r)
	}
}

// stepStart calls each member that has not passed the current phase. If all have, it enters the next phase.
func (d *dispatcher) stepStart(now time.Duration, r *trackedAttempt) {
	waiting := false
	for i := range r.members {
		m := &r.members[i]
		if m.passed(r.phase) {
			continue
		}
		waiting = true
		if m.callID != 0 || now < m.retryAt {
			continue
		}
		if why := d.reasonNotToStart(now, r); why != "" {
			d.abort(now, r, why)
			return
		}
		d.sendStart(now, r, i)
	}
	if waiting {
		return
	}
	d.nextPhase(now, r)
}

func (m *member) passed(p phase) bool {
	switch p {
	case phaseReserve:
		return m.reserved
	case phaseReady:
		return m.ready
	default:
		return m.opened || m.result != nil
	}
}

// nextPhase advances an attempt whose members have all passed the current phase. A single member needs no start with
// the gate closed.
func (d *dispatcher) nextPhase(now time.Duration, r *trackedAttempt) {
	switch {
	case r.phase == phaseReserve && len(r.members) == 1:
		r.phase = phaseOpen
	case r.phase == phaseOpen:
		r.phase = phaseRunning
		r.runningProposed = true
		d.cell.propose(Command{MarkRunning: &MarkRunning{Attempt: r.attempt.ID}})
	default:
		r.phase++
	}
	d.step(now, r)
}

// reasonNotToStart returns why no reserve or start may be sent for an attempt now, or "" if it may be sent.
func (d *dispatcher) reasonNotToStart(now time.Duration, r *trackedAttempt) string {
	if d.tables.Service.Out {
		return "the zone was taken out"
	}
	limit := d.cell.options.Timing.Reservation - d.cell.options.Timing.Reservation/startMarginDivisor
	if r.reserveSent && now-r.reserveSentAt > limit {
		return "the start took longer than its reservation"
	}
	for _, p := range r.attempt.Members {
		if d.tables.Leaving()[p.Worker] == p.Incarnation {
			return "an endpoint is leaving"
		}
	}
	return ""
}

func (d *dispatcher) sendStart(now time.Duration, r *trackedAttempt, i int) {
	m := &r.members[i]
	j := d.tables.Job(r.attempt.Job)
	c := endpoint.Call{Op: endpoint.OpStart, LeaseMillis: d.cell.options.Timing.Lease.Milliseconds()}
	switch r.phase {
	case phaseReserve:
		c.Op = endpoint.OpReserve
		if !r.reserveSent {
			r.reserveSent, r.reserveSentAt = true, now
		}
	case phaseReady:
		c.Body, c.ResumeAttempt = j.Body, j.ResumeFrom
	case phaseOpen:
		c.GateOpen = true
		m.gateOpenSent = true
		if len(r.members) == 1 { // A gang has received its body with the gate closed.
			c.Body, c.ResumeAttempt = j.Body, j.ResumeFrom
		}
	}
	m.mayHoldAttempt = true
	d.sendCall(r, i, c)
	if c.Op == endpoint.OpStart {
		d.endpoints[d.calls[m.callID].target].startsInFlight[m.callID] = now + d.cell.options.Timing.Reservation
	}
}

// sendCall calls a member's endpoint.
func (d *dispatcher) sendCall(r *trackedAttempt, i int, c endpoint.Call) {
	place := r.attempt.Members[i]
	c.Incarnation, c.Epoch, c.Attempt, c.Job = place.Incarnation, d.epoch, r.attempt.ID, r.attempt.Job
	c.Member, c.GangSize, c.Accelerators = i, len(r.members), r.attempt.Accelerators
	d.cell.lastCallID++
	id := d.cell.lastCallID
	r.members[i].callID, r.members[i].callOp = id, c.Op
	key := endpointKey{place.Worker, place.Incarnation}
	d.calls[id] = &call{attempt: r.attempt.ID, member: i, target: key, op: c.Op, gateOpen: c.GateOpen}
	address := place.Address
	if w := d.tables.Worker(place.Worker); w != nil && w.Incarnation == place.Incarnation {
		address = w.Address
	}
	d.cell.output.Calls = append(d.cell.output.Calls, EndpointCall{ID: id, Address: address, Call: c})
}

// callDone handles the reply of an endpoint to a call; the reply is nil if none arrived.
func (d *dispatcher) callDone(now time.Duration, id uint64, reply *endpoint.Reply) {
	c := d.calls[id]
	delete(d.calls, id)
	if c == nil {
		return
	}
	if e := d.endpoints[c.target]; e != nil && c.op == endpoint.OpStart {
		e.recordStartReply(now, id, reply)
	}
	if d.attempts[c.attempt] == nil {
		return
	}
	r := d.attempts[c.attempt]
	m := &r.members[c.member]
	if m.callID == id {
		m.callID = 0
	}
	switch c.op {
	case endpoint.OpReserve:
		d.reserveDone(now, r, c.member, reply)
	case endpoint.OpStart:
		d.startDone(now, r, c, reply)
	case endpoint.OpStop:
		d.stopDone(now, r, c.member, reply)
	case endpoint.OpCheckpoint:
		d.checkpointDone(now, r, c.member, reply)
	case endpoint.OpStatus:
		d.statusDone(now, r, c.member, reply)
	}
}

func (d *dispatcher) reserveDone(now time.Duration, r *trackedAttempt, i int, reply *endpoint.Reply) {
	if r.phase != phaseReserve {
		d.step(now, r)
		return
	}
	if reply == nil || !reply.OK {
		d.suspect(r.attempt.Members[i], reply)
		d.abort(now, r, "worker "+r.attempt.Members[i].Worker+" granted no reservation")
		return
	}
	r.members[i].reserved = true
	d.step(now, r)
}

// startDone handles the reply to a start. A start is idempotent at the endpoint; if its reply is lost, it is sent again
// for as long as reasonNotToStart allows it.
func (d *dispatcher) startDone(now time.Duration, r *trackedAttempt, c *call, reply *endpoint.Reply) {
	m := &r.members[c.member]
	place := r.attempt.Members[c.member]
	if reply != nil && reply.OK && c.gateOpen {
		m.opened = true
	}
	switch {
	case r.phase != phaseReady && r.phase != phaseOpen:
		d.step(now, r)
	case reply == nil || (reply.OK && reply.Phase == endpoint.PhaseReserved):
		d.retryLater(now, r, c.member, startRetryDelay)
	case !reply.OK:
		d.suspect(place, reply)
		d.abort(now, r, "worker "+place.Worker+" refused the start: "+reply.Code)
	default:
		m.ready = true
		d.step(now, r)
	}
}

// retryLater delays a member's next call.
func (d *dispatcher) retryLater(now time.Duration, r *trackedAttempt, i int, pause time.Duration) {
	r.members[i].retryAt = now + pause
	d.stepAt(now+pause, r)
}

// stepAt calls step on an attempt at the given time, if the attempt is still tracked then.
func (d *dispatcher) stepAt(at time.Duration, r *trackedAttempt) {
	id := r.attempt.ID
	d.timers.add(at, func(now time.Duration) {
		if d.attempts[id] == r {
			d.step(now, r)
		}
	})
}

// runningApplied handles the commit of MarkRunning.
func (d *dispatcher) runningApplied(now time.Duration, id string) {
	if r := d.attempts[id]; r != nil {
		r.runningProposed = true
		d.step(now, r)
	}
}
