package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Pauses between repeated orders. An order without an answer may have been carried out, and repeating it is harmless.
const (
	retryFirst = 100 * time.Millisecond
	retryMax   = time.Second
)

// sendStartsAndStops repeats starts until they are confirmed, and stops until they are.
func (l *Leader) sendStartsAndStops(now Time) {
	for id, a := range l.unsettled {
		w := l.state.Worker(a.life.ID)
		if w == nil || w.Life != a.life || a.callsInFlight > 0 || now.Mono < a.nextTryAt {
			continue
		}
		s := l.session(a.life, now)
		switch {
		case s.lossInFlight: // A start that is repeated now could run while the task starts elsewhere.
		case a.stopWanted && !a.stopConfirmed:
			a.callsInFlight++
			l.sendCall(now, w, Call{Kind: CallStop, Task: id, Attempt: a.number})
		case !a.stopWanted && !a.startConfirmed && s.hasClock && !s.silent(now.Mono):
			l.sendStart(now, w, s, a)
		}
	}
}

func (l *Leader) sendStart(now Time, w *domain.Worker, s *session, a *attemptState) {
	j := l.state.Job(a.task.Job)
	ticket := l.adviceCache.ticket(now.Mono, a.task, a.life)
	if ticket == "" && l.state.AdviceFor(j.Spec.Queue) != nil {
		l.abandon(a, "no valid ticket")
		return
	}
	a.callsInFlight++
	a.tries++
	lease := l.options.Lease
	if !l.hasConfirmedAttempt(w) {
		lease = min(lease, firstLease)
	}
	l.sendCall(now, w, Call{
		Kind: CallStart, Task: a.task, Attempt: a.number, UntilMS: l.extendLease(now, s, lease),
		Payload: j.Spec.Payload, Saved: l.checkpointFor(j, a.task), Ticket: ticket,
	})
}

// checkpointFor returns the checkpoint that an attempt continues from. All members of a gang carry the same one.
func (l *Leader) checkpointFor(j *domain.Job, id domain.TaskID) string {
	if j.Spec.Steps[id.Step].Gang {
		id.Index = 0
	}
	return j.Task(id).Saved
}

// hasConfirmedAttempt tells whether a worker has confirmed an attempt, so that its lease is renewed.
func (l *Leader) hasConfirmedAttempt(w *domain.Worker) bool {
	for id := range w.Attempts() {
		if a := l.attempts[id]; a != nil && (a.startConfirmed || a.inherited) {
			return true
		}
	}
	return false
}

// firstLease is the lease of a first attempt on a worker until the worker has confirmed it. A start that is lost with its
// worker then blocks its task for a short time only; the hold that follows the confirmation grants the whole lease.
const firstLease = 3 * time.Second

// extendLease returns the end of a lease that begins now, on the worker's clock.
func (l *Leader) extendLease(now Time, s *session, lease time.Duration) int64 {
	s.leaseUntilMS = max(s.leaseUntilMS, s.clockLowerBound(now.Mono)+lease.Milliseconds())
	return s.leaseUntilMS
}

// holdWait is how long a worker holds an answer back when nothing ends. It is the longest wait that workers allow.
const holdWait = 2 * time.Second

// sendHolds keeps one hold under way at each worker that runs something, and acknowledges the last ends of the others.
func (l *Leader) sendHolds(now Time) {
	for _, s := range l.sessions {
		w := l.state.Worker(s.life.ID)
		if w == nil || w.Life != s.life || s.endsInFlight {
			continue
		}
		busy := len(w.Attempts()) > 0
		unacked := w.Cursor > s.ackedCursor
		switch {
		case s.holdNow && s.holdsInFlight < 2 && (busy || unacked) && now.Mono >= s.nextHoldAt:
			s.holdNow = false
			l.sendHold(now, w, s, 0)
		case s.holdsInFlight > 0 || now.Mono < s.nextHoldAt:
		case !busy && !s.hasClock && s.failures == 0:
			l.sendHold(now, w, s, 0) // A new leader need not wait for its report.
		case busy && !s.hasClock:
			l.sendHold(now, w, s, 0)
		case busy && l.shared(w):
			l.sendHold(now, w, s, sharedHoldWait)
		case busy:
			l.sendHold(now, w, s, holdWait)
		case unacked:
			l.sendHold(now, w, s, 0)
		case s.failures > 0 && now.Mono-s.reportedAt < l.options.Report+reportSlack:
			l.sendHold(now, w, s, 0) // It reports; whether it can be called again shows only by a call.
		}
	}
}

func (l *Leader) sendHold(now Time, w *domain.Worker, s *session, wait time.Duration) {
	c := Call{Kind: CallHold, Cursor: w.Cursor, Wait: wait}
	if s.hasClock && !s.silent(now.Mono) && l.hasConfirmedAttempt(w) {
		c.UntilMS = l.extendLease(now, s, l.options.Lease)
	}
	s.holdsInFlight++
	l.sendCall(now, w, c)
}

// Reply takes the answer to a call.
func (l *Leader) Reply(now Time, id uint64, r Reply) {
	p, known := l.callsInFlight[id]
	if !known {
		return
	}
	delete(l.callsInFlight, id)
	s := l.sessions[p.call.Worker.ID]
	if s == nil || s.life != p.call.Worker {
		return
	}
	if p.call.Kind == CallHold {
		s.holdsInFlight--
	}
	a := l.attempts[p.call.Task]
	switch {
	case p.call.Kind == CallHold || a == nil || a.number != p.call.Attempt || a.life != s.life:
		a = nil
	case p.call.Kind == CallPace:
		l.paceAnswered(a, p, r)
		a = nil // It says nothing about the attempt's start or stop.
	default:
		a.callsInFlight--
	}
	if r.Status == OtherLife || (r.BornMS != 0 && s.life.BornMS != 0 && r.BornMS != s.life.BornMS) {
		l.lifetimeOver(now, s)
		return
	}
	if r.Status == NoAnswer {
		l.unanswered(now, s, a)
		return
	}
	s.answeredAt, s.everAnswered, s.failures = now.Mono, true, 0
	s.learnClock(now.Mono, r.ClockMS)
	if r.Status == RejectedFence {
		l.deposed = true
		return
	}
	if p.call.Kind == CallHold {
		l.holdAnswered(now, s, p, r)
	} else if a != nil {
		l.startOrStopAnswered(now, s, a, p, r)
	}
	l.dirty = true
}

// lifetimeOver forgets a lifetime in whose place another one answers.
func (l *Leader) lifetimeOver(now Time, s *session) {
	if s.forgetInFlight {
		return
	}
	s.forgetInFlight = true
	l.options.Log("worker_life_over", "worker", s.life.ID, "born_ms", s.life.BornMS)
	l.propose(now, domain.Command{Forget: &domain.ForgetWorker{Life: s.life}})
}

func (l *Leader) unanswered(now Time, s *session, a *attemptState) {
	s.failures++
	s.nextHoldAt = now.Mono + min(retryMax, retryFirst<<min(s.failures, 4))
	if a != nil {
		a.nextTryAt = now.Mono + min(retryMax, retryFirst<<min(a.tries, 4))
	}
}

// startOrStopAnswered takes the answer to a start or a stop.
func (l *Leader) startOrStopAnswered(now Time, s *session, a *attemptState, p pendingCall, r Reply) {
	if p.call.Kind == CallStop {
		if r.Status == OK || r.Status == RejectedOld {
			a.stopConfirmed, a.confirmedAt, s.holdNow = true, now.Mono, true
			return
		}
		a.tries++
		a.nextTryAt = now.Mono + min(retryMax, retryFirst<<min(a.tries, 4))
		return
	}
	switch r.Status {
	case OK:
		s.holdNow = s.holdNow || !l.hasConfirmedAttempt(l.state.Worker(s.life.ID))
		a.startConfirmed, a.confirmedAt, a.progressAt = true, now.Mono, now.Mono
		l.settle(a)
	case RejectedOld:
		// It ended or was stopped there: the next lists tell.
		l.requestStop(a, "the worker says that it has ended")
		a.stopConfirmed, a.confirmedAt, s.holdNow = true, now.Mono, true
	case RejectedLate:
		a.nextTryAt = now.Mono
	default:
		l.options.Observer.StartRejected(r.Status)
		l.options.Log("start_rejected", "job", a.task.Job, "task", a.task.String(), "attempt", a.number, "worker", s.life.ID,
			"reason", r.Status.String())
		switch r.Status {
		case Unhealthy:
			s.avoid(now.Mono)
		case RejectedTicket:
			l.adviceCache.dropTicket(a.task, a.life)
		}
		l.abandon(a, r.Status.String())
	}
}

// abandon ends an attempt that a worker did not take. The stop makes sure that a late copy of the order is not carried
// out. The members of a gang end together.
func (l *Leader) abandon(a *attemptState, reason string) {
	j := l.state.Job(a.task.Job)
	if j != nil && j.Spec.Steps[a.task.Step].Gang {
		l.stopGang(a.task, reason)
		return
	}
	l.requestStop(a, reason)
}

// endsPerPage is how many ends a worker lists at once (PROTOCOL, "Running tasks").
const endsPerPage = 500

// holdAnswered takes the lists of a worker.
func (l *Leader) holdAnswered(now Time, s *session, p pendingCall, r Reply) {
	s.nextHoldAt = now.Mono
	if r.Status != OK || !r.Lists {
		s.failures++
		s.nextHoldAt = now.Mono + retryMax
		return
	}
	s.ackedCursor = max(s.ackedCursor, p.call.Cursor)
	w := l.state.Worker(s.life.ID)
	if w == nil || w.Life != s.life {
		return
	}
	listed := map[domain.TaskID]int{}
	for _, t := range r.Running {
		listed[t.Task] = t.Attempt
		l.sawRunning(now, w, s, t)
	}
	l.adjustPace(now, w)
	ends := l.newEnds(now, w, s, r, listed)
	cursor := w.Cursor
	for _, e := range r.Ended {
		cursor = max(cursor, e.Number)
	}
	if len(r.Ended) < endsPerPage { // Otherwise an attempt may be on a later page.
		ends = append(ends, l.absentAttempts(w, p, listed)...)
	}
	if s.endsInFlight || (cursor == w.Cursor && len(ends) == 0) {
		return
	}
	s.endsInFlight = true
	l.propose(now, domain.Command{End: &domain.EndAttempts{Worker: s.life, Cursor: cursor, Ends: ends}})
}

// sawRunning confirms an attempt, or stops one that the domain does not hold on this worker.
func (l *Leader) sawRunning(now Time, w *domain.Worker, s *session, t RunningTask) {
	a := l.attempts[t.Task]
	if a == nil || a.number != t.Attempt || a.life != s.life {
		l.sendCall(now, w, Call{Kind: CallStop, Task: t.Task, Attempt: t.Attempt})
		return
	}
	if !a.startConfirmed {
		a.startConfirmed, a.confirmedAt = true, now.Mono
		l.settle(a)
	}
	if t.Percent != a.percent {
		a.percent, a.progressAt = t.Percent, now.Mono
	}
	a.load = t.Load
	if t.Saved != "" {
		a.checkpoint = t.Saved
	}
}

// newEnds returns the ends that are not committed yet, in the worker's order.
func (l *Leader) newEnds(now Time, w *domain.Worker, s *session, r Reply, listed map[domain.TaskID]int) []domain.AttemptEnd {
	var ends []domain.AttemptEnd
	for _, e := range r.Ended {
		if e.Number <= w.Cursor {
			continue
		}
		if a := l.attempts[e.Task]; a != nil && a.number == e.Attempt {
			listed[e.Task] = e.Attempt
			l.noteOutcome(now, s, a, e)
		}
		ends = append(ends, e.AttemptEnd)
	}
	return ends
}

// noteOutcome learns about the worker from an end.
func (l *Leader) noteOutcome(now Time, s *session, a *attemptState, e EndedTask) {
	l.options.Observer.AttemptEnded(e.Outcome, now.Mono-a.adoptedAt)
	l.options.Log("attempt_ended", "job", e.Task.Job, "task", e.Task.String(), "attempt", e.Attempt, "worker", s.life.ID,
		"outcome", e.Outcome.String(), "ran_ms", (now.Mono - a.adoptedAt).Milliseconds(), "reason", a.reason)
	switch e.Outcome {
	case domain.OutcomeDone:
		s.failedInARow, s.avoidUntil = 0, 0
	case domain.OutcomeFailed:
		j := l.state.Job(e.Task.Job)
		if j == nil {
			return
		}
		holder := e.Task
		if j.Spec.Steps[e.Task.Step].Gang {
			holder.Index = 0
		}
		if t := j.Task(holder); len(t.FailedOn) == 0 { // A task that failed elsewhere too is the likelier cause.
			s.avoid(now.Mono)
		}
	}
}

// absentAttempts returns the attempts that the worker confirmed before the call was sent, or that it will reject, and that it
// does not list: they are over.
func (l *Leader) absentAttempts(w *domain.Worker, p pendingCall, listed map[domain.TaskID]int) []domain.AttemptEnd {
	var out []domain.AttemptEnd
	for id, attempt := range w.Attempts() {
		a := l.attempts[id]
		if a == nil || listed[id] == attempt || !(a.startConfirmed || a.stopConfirmed) || a.confirmedAt >= p.sentAt || (a.stopWanted && !a.stopConfirmed) {
			continue
		}
		out = append(out, domain.AttemptEnd{Task: id, Attempt: attempt, Outcome: domain.OutcomeAbsent, Saved: a.checkpoint})
	}
	return out
}
