package cell

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

const (
	stopRetryDelay       = 500 * time.Millisecond // Delay before a stop without a confirmation is sent again.
	checkpointRetryDelay = 250 * time.Millisecond
)

// abort stops all members of an attempt that has not ended. A member whose stop is not confirmed counts as ended when
// its lease has expired: from now on no heartbeat reply renews the lease, and the endpoint refuses a start under way
// once the reservation has expired.
func (d *dispatcher) abort(now time.Duration, r *trackedAttempt, stopReason string) {
	if r.phase >= phaseStop {
		return
	}
	r.phase, r.stopReason = phaseStop, stopReason
	r.attempt.Stopping = true
	bound := d.cell.options.Timing.Lease + d.cell.options.Timing.LeaseMargin
	if !r.runningProposed {
		bound += d.cell.options.Timing.Reservation
	}
	for i := range r.members {
		r.members[i].retryAt = 0
	}
	d.timers.add(now+bound, func(now time.Duration) { d.leasesExpired(now, r) })
	d.step(now, r)
}

// fence stops an attempt that an earlier leader placed and whose start may still have been under way.
func (d *dispatcher) fence(now time.Duration, r *trackedAttempt) {
	d.abort(now, r, "the leader changed during the start")
}

func (d *dispatcher) leasesExpired(now time.Duration, r *trackedAttempt) {
	if d.attempts[r.attempt.ID] != r || r.phase != phaseStop {
		return
	}
	for i := range r.members {
		m := &r.members[i]
		if !m.stopConfirmed && m.result == nil {
			m.lost = true
		}
	}
	d.step(now, r)
}

// stepStop sends the stops that are due, and proposes the end of the attempt when all members have ended.
func (d *dispatcher) stepStop(now time.Duration, r *trackedAttempt) {
	allEnded := true
	for i := range r.members {
		m := &r.members[i]
		if m.ended(now, d.cell.options.Timing.CallTimeout) {
			continue
		}
		allEnded = false
		inFlight := m.callID != 0 && m.callOp == endpoint.OpStop
		if m.stopConfirmed || inFlight || now < m.retryAt {
			continue
		}
		d.sendCall(r, i, endpoint.Call{Op: endpoint.OpStop})
	}
	if allEnded {
		d.proposeEnd(r)
	}
}

// ended reports whether the member has certainly ended. After the stop of a member that ran, its result is awaited for
// resultDelay, because the task may have ended by itself before the stop.
func (m *member) ended(now, resultDelay time.Duration) bool {
	if !m.mayHoldAttempt || m.lost || m.result != nil {
		return true
	}
	return m.stopConfirmed && (!m.everRan || now >= m.stopConfirmedAt+resultDelay)
}

func (d *dispatcher) stopDone(now time.Duration, r *trackedAttempt, i int, reply *endpoint.Reply) {
	m := &r.members[i]
	switch {
	case reply != nil && reply.Code == endpoint.CodeWrongIncarnation:
		m.lost = true // The endpoint restarted without the tasks of its earlier incarnation.
	case reply == nil || !reply.OK || reply.Phase == endpoint.PhaseRunning:
		d.retryLater(now, r, i, stopRetryDelay)
		return
	default:
		m.stopConfirmed, m.everRan, m.stopConfirmedAt = true, reply.EverRan, now
		if m.everRan {
			d.stepAt(now+d.cell.options.Timing.CallTimeout, r)
		}
	}
	d.step(now, r)
}

// stepRunning proposes the end of an attempt whose members have all succeeded, and stops the attempt when a member was
// lost or did not succeed.
func (d *dispatcher) stepRunning(now time.Duration, r *trackedAttempt) {
	allEnded := true
	for i := range r.members {
		m := &r.members[i]
		switch {
		case m.lost:
			d.abort(now, r, "worker "+r.attempt.Members[i].Worker+" was lost")
			return
		case m.result == nil:
			allEnded = false
		case m.result.Outcome != endpoint.OutcomeSucceeded:
			d.abort(now, r, "a member on worker "+r.attempt.Members[i].Worker+" "+string(m.result.Outcome))
			return
		}
	}
	if allEnded {
		d.proposeEnd(r)
	}
}

// preempt lets an attempt on borrowed accelerators write a checkpoint, and stops it when the grace period is over.
//
// A no-repeat job that runs is never run a second time, not even from a checkpoint: if it does not end by itself
// within the grace period, its outcome is unknown. A scheduler that lets it borrow guaranteed capacity does so only on
// this condition, because the guaranteed shape must be reclaimable. system.Policy never preempts such a job: it lets
// the job borrow only capacity that is not reserved.
func (d *dispatcher) preempt(now time.Duration, p system.Preemption) {
	r := d.attempts[p.Attempt]
	if r == nil || r.phase >= phaseGrace {
		return
	}
	if r.phase != phaseRunning {
		d.abort(now, r, "preempted")
		return
	}
	r.phase, r.attempt.Stopping = phaseGrace, true
	r.graceEnd = now + d.gracePeriod(r, p.Grace)
	d.timers.add(r.graceEnd, func(now time.Duration) {
		if d.attempts[r.attempt.ID] == r {
			d.abort(now, r, "preempted")
		}
	})
	d.step(now, r)
}

func (d *dispatcher) gracePeriod(r *trackedAttempt, asked time.Duration) time.Duration {
	if asked > 0 {
		return asked
	}
	if w := d.tables.Workspace(d.tables.Job(r.attempt.Job).Workspace); w != nil && w.GraceMillis > 0 {
		return time.Duration(w.GraceMillis) * time.Millisecond
	}
	return d.cell.options.Timing.Grace
}

// stepGrace requests checkpoints until every member has confirmed one or ended, and then stops the attempt.
func (d *dispatcher) stepGrace(now time.Duration, r *trackedAttempt) {
	waiting := false
	for i := range r.members {
		m := &r.members[i]
		if m.lost || (m.result != nil && m.result.Outcome != endpoint.OutcomeSucceeded) {
			d.abort(now, r, "preempted")
			return
		}
		if m.checkpointed || m.result != nil {
			continue
		}
		waiting = true
		if m.callID == 0 && now >= m.retryAt {
			left := max(r.graceEnd-now, 0).Milliseconds()
			d.sendCall(r, i, endpoint.Call{Op: endpoint.OpCheckpoint, GraceMillis: left})
		}
	}
	if !waiting {
		d.abort(now, r, "preempted")
	}
}

// checkpointDone handles the reply to a checkpoint call, which is OK once the checkpoint is written.
func (d *dispatcher) checkpointDone(now time.Duration, r *trackedAttempt, i int, reply *endpoint.Reply) {
	if reply != nil && reply.OK {
		r.members[i].checkpointed = true
	} else if r.phase == phaseGrace {
		d.retryLater(now, r, i, checkpointRetryDelay)
		return
	}
	d.step(now, r)
}

// proposeEnd proposes the end of an attempt whose members have all ended.
func (d *dispatcher) proposeEnd(r *trackedAttempt) {
	r.phase = phaseEnded
	e := &EndAttempt{Attempt: r.attempt.ID, Outcome: endpoint.OutcomeNeverRan, Message: r.stopReason, Checkpointed: true}
	var failed []string
	for i := range r.members {
		m := &r.members[i]
		e.MayHaveRun = e.MayHaveRun || m.mayHaveRun()
		e.Checkpointed = e.Checkpointed && m.checkpointed
		if m.result != nil && m.result.Outcome == endpoint.OutcomeFailed {
			if len(failed) == 0 {
				e.Message = m.result.Message
			}
			failed = append(failed, r.attempt.Members[i].Worker)
		}
	}
	e.FailedWorkers, e.AlsoFailed = countFailure(d.tables.Job(r.attempt.Job), failed)
	first := r.members[0].result
	switch {
	case len(e.FailedWorkers) > 0:
		e.Outcome, e.Checkpointed = endpoint.OutcomeFailed, false
	case first != nil && first.Outcome == endpoint.OutcomeSucceeded:
		e.Outcome, e.Checkpointed, e.Message = endpoint.OutcomeSucceeded, false, first.Message
	case e.MayHaveRun:
		e.Outcome = endpoint.OutcomeStopped
	}
	if first != nil && first.Outcome == e.Outcome {
		e.Body, e.SHA256 = first.Body, first.SHA256
	}
	d.cell.propose(Command{EndAttempt: e})
}

// countFailure chooses, of the workers on which members of an attempt failed, the one that the failure counts against, and
// returns the others. An attempt counts against one further worker, also if several members of its gang failed.
func countFailure(j *table.Job, failed []string) (counted, others []string) {
	if len(failed) == 0 {
		return nil, nil
	}
	i := max(0, slices.IndexFunc(failed, func(w string) bool { return !slices.Contains(j.FailedWorkers, w) }))
	for _, w := range failed {
		if w != failed[i] && !slices.Contains(others, w) {
			others = append(others, w)
		}
	}
	return failed[i : i+1], others
}

// mayHaveRun reports whether the member may have passed its gate.
func (m *member) mayHaveRun() bool {
	switch {
	case m.opened:
		return true
	case m.result != nil:
		return m.result.Outcome != endpoint.OutcomeNeverRan
	case m.stopConfirmed:
		return m.everRan
	default:
		return m.gateOpenSent
	}
}

// cancelled handles an applied cancellation: it stops the job's attempt and answers the requesters.
func (d *dispatcher) cancelled(now time.Duration, id string) {
	j := d.tables.Job(id)
	if j != nil && j.Cancelled {
		if r := d.attempts[j.Attempt]; r != nil {
			d.abort(now, r, "cancelled")
		}
	}
	for _, request := range d.cancelWaiters[id] {
		d.reply(request, d.jobResponse(id, ""))
	}
	delete(d.cancelWaiters, id)
}
