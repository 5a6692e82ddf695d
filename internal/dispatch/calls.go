package dispatch

import (
	"maps"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Bounds of the exponential backoff between retries of a call. A call without an answer may have been carried out;
// repeating it is harmless.
const (
	retryFirst = 100 * time.Millisecond
	retryMax   = time.Second
)

// refusedHoldRetry is the longest time until a busy worker that has refused a hold gets the next one. It has answered, and its
// lease, which is only some of these times long, is running out.
const refusedHoldRetry = 500 * time.Millisecond

// sendStartsAndStops sends and retries starts and stops until the workers confirm them. A worker gets starts only after its
// first list, which shows what earlier leaders have started there.
func (l *Leader) sendStartsAndStops(now Time) {
	confirmed := map[string]bool{} // Whether a worker has a confirmed attempt: it may get many starts at once.
	for id, a := range l.unsettled {
		w := l.state.Worker(a.incarnation.ID)
		if w == nil || w.Incarnation != a.incarnation || a.callsInFlight > 0 || now.Mono < a.nextTryAt {
			continue
		}
		s := l.session(a.incarnation, now)
		switch {
		case s.fenced:
		case s.lossInFlight || s.forgetInFlight: // An attempt that is started now could run while its task starts elsewhere.
		case a.stopWanted && !a.stopConfirmed:
			a.callsInFlight++
			l.sendCall(now, w, Call{Kind: CallStop, Task: id, Attempt: a.number})
		case !a.stopWanted && !a.startConfirmed && s.hasClock() && !s.unfenced && !s.unidentified && s.unknown == 0 && len(l.toReject(now, s)) == 0 && !s.silent(now.Mono, l.options.LeaseDuration):
			if _, known := confirmed[w.Incarnation.ID]; !known {
				confirmed[w.Incarnation.ID] = l.hasConfirmedAttempt(w)
			}
			l.sendStart(now, w, s, a, confirmed[w.Incarnation.ID])
		}
	}
}

// reasonOutOfService is why attempts are stopped that have not begun on a worker that takes no new work.
const reasonOutOfService = "its worker takes no new work"

// sendStart sends the start of an attempt. It abandons the attempt if its worker drains or is in a zone out of service, if
// its workspace is above its maximum, or if the queue has a policy and no valid ticket is left. confirmed tells whether the worker has a confirmed attempt.
func (l *Leader) sendStart(now Time, w *domain.Worker, s *session, a *attemptState, confirmed bool) {
	if outOfService := w.Draining || l.state.ZoneOut(w.Zone); outOfService || l.overMax(a) {
		reason := reasonOverMax
		if outOfService {
			reason = reasonOutOfService
		}
		// The start was committed before. One that was sent may be running, until the worker answers without listing it.
		if a.tries == 0 || s.answeredAt > a.nextTryAt {
			l.abandon(a, reason)
		}
		return
	}
	j := l.state.Job(a.task.Job)
	ticket := l.adviceCache.ticket(now.Mono, a.task, a.incarnation)
	if ticket == "" && l.state.AdviceFor(j.Spec.Queue) != nil {
		l.abandon(a, "no valid ticket")
		return
	}
	a.callsInFlight++
	a.tries++
	lease := l.options.LeaseDuration
	if !confirmed {
		lease = min(lease, firstLease)
	}
	l.sendCall(now, w, Call{
		Kind: CallStart, Task: a.task, Attempt: a.number, UntilMS: l.extendLease(now, s, lease),
		Payload: j.Spec.Payload, Checkpoint: l.checkpointFor(j, a.task), Ticket: ticket,
	})
}

// checkpointFor returns the checkpoint that an attempt continues from. All members of a gang continue from the same
// one.
func (l *Leader) checkpointFor(j *domain.Job, id domain.TaskID) string {
	if j.Spec.Steps[id.Step].Gang {
		id.Index = 0
	}
	return j.Task(id).Checkpoint
}

// hasConfirmedAttempt tells whether a worker has confirmed an attempt, or has one of an earlier leader: only then its
// lease is renewed.
func (l *Leader) hasConfirmedAttempt(w *domain.Worker) bool {
	for id := range w.Attempts() {
		if a := l.attempts[id]; a != nil && (a.startConfirmed || a.inherited) {
			return true
		}
	}
	return false
}

// firstLease is the lease that a start grants while the worker has confirmed no attempt. If the worker is lost with the
// start, the task is blocked for this short time only, unless the worker still holds a longer lease. The hold that
// follows the confirmation grants the whole lease.
const firstLease = 3 * time.Second

// extendLease returns the end of a lease that begins now, on the worker's clock. It is never before the end of an
// earlier one, and is computed from a lower bound of the clock. Workers shorten a lease to the longest one.
func (l *Leader) extendLease(now Time, s *session, lease time.Duration) int64 {
	s.leaseUntilMS = max(s.leaseUntilMS, s.clock.lowerBound(now.Mono)+lease.Milliseconds())
	if s.clock == s.nextClock {
		s.unconfirmedLeaseEnd = lateLeaseEnd(now.Mono, l.options.LeaseDuration)
	}
	return s.leaseUntilMS
}

// Reply handles the answer to a call.
func (l *Leader) Reply(now Time, id uint64, r Reply) {
	p, known := l.callsInFlight[id]
	if !known {
		return
	}
	delete(l.callsInFlight, id)
	if p.contact {
		l.contactsInFlight--
	}
	s := l.sessions[p.call.Worker.ID]
	if s != nil {
		l.mayNeedHold(s)
		// Only then can the answer change whether the worker gets new attempts. Ends that it lists count once committed.
		l.dirty = l.dirty || s.unknown > 0 || s.failures > 0 || !s.hasClock() || !s.everAnswered || s.unfenced || s.incarnation != p.call.Worker || s.probing || r.Status != OK
		s.probing = false // It has answered, or its failure keeps work away from it.
	}
	switch {
	case p.call.Kind == CallHold:
		l.holdEnded(p.call.Worker.ID)
		if r.Status == NoAnswer {
			l.noteLateAck(p)
		}
	case p.call.Kind == CallStart && r.Status == NoAnswer:
		l.noteLateStart(p)
	case p.call.Kind == CallStop:
		l.stopAnswered(now, s, p.call, r.Status)
	}
	if s == nil || s != p.session {
		return // The worker was forgotten meanwhile. If it has registered again, it may be at another address.
	}
	if p.call.Kind == CallHold {
		s.holdsInFlight--
	}
	if p.verifies {
		l.verified(now, s, p, r)
	}
	if p.unknown {
		s.unknownStops--
	}
	a := l.attempts[p.call.Task]
	switch {
	case p.call.Kind == CallHold || a == nil || a.number != p.call.Attempt || a.incarnation != s.incarnation:
		a = nil
	case p.call.Kind == CallPace:
		l.paceAnswered(now, a, p, r)
		a = nil // The answer tells nothing about the attempt's start or stop.
	default:
		a.callsInFlight--
	}
	if r.Status == OtherIncarnation {
		l.incarnationOver(now, s)
		return
	}
	if r.BornMS != 0 && s.incarnation.BornMS != 0 && r.BornMS != s.incarnation.BornMS {
		l.incarnationReplaced(now, s)
		l.unanswered(now, s, a)
		return
	}
	if r.Status == NotSent {
		s.nextHoldAt = now.Mono + retryFirst
		if a != nil {
			a.nextTryAt = now.Mono + retryFirst
		}
		return
	}
	if r.Status == NoAnswer || r.Status == NotListening || r.Status == Unreachable {
		// Without a notice the worker may only have closed its listener for a while.
		s.gone = s.gone || (s.leaving && r.Status == NotListening)
		l.unanswered(now, s, a)
		return
	}
	s.noteClockRegress(now.Mono, p.sentAt, r.ClockMS)
	s.clockAnswered(now.Mono, p.sentAt, r.ClockMS, l.options.LeaseDuration)
	if r.Status == RejectedFence {
		l.refusedFence(s)
		return
	}
	if p.call.Kind == CallHold && (r.Status != OK || !r.HasLists) {
		s.refusedAt = now.Mono
		l.unanswered(now, s, nil) // Nothing shows what runs there, so it gets no new work.
		if l.isBusy(s) {
			s.nextHoldAt = min(s.nextHoldAt, now.Mono+refusedHoldRetry)
		} else {
			s.nextHoldAt = now.Mono + retryMax
		}
		return
	}
	s.answeredAt, s.everAnswered, s.failures = now.Mono, true, 0
	if p.call.Wait == 0 {
		l.roundTrip = now.Mono - p.sentAt
	}
	if p.call.Kind == CallHold {
		l.holdAnswered(now, s, p, r)
	} else if a != nil {
		l.startOrStopAnswered(now, s, a, p, r)
	}
}

// refusedFence handles the answer of a worker that has seen a higher fencing token. If a newer leader has sent it, the leader
// lease of this host is over and nothing is sent any more. Otherwise the token is of no leader of this domain: the worker is
// not called again in this leadership, and its attempts are lost when its leases end.
func (l *Leader) refusedFence(s *session) {
	if !s.fenced {
		s.fenced = true
		l.dirty = true
		l.options.Log("worker_refuses_fence", "worker", s.incarnation.ID, "fencing_token", l.options.FencingToken)
	}
}

// incarnationOver proposes to forget a worker's incarnation after another one has answered at its address.
func (l *Leader) incarnationOver(now Time, s *session) {
	if !s.forgetInFlight {
		l.options.Log("worker_life_over", "worker", s.incarnation.ID, "born_ms", s.incarnation.BornMS)
	}
	l.forget(now, s)
}

// holdEnded counts a hold that is not in flight any more.
func (l *Leader) holdEnded(worker string) {
	if l.holdsInFlight[worker]--; l.holdsInFlight[worker] == 0 {
		delete(l.holdsInFlight, worker)
	}
}

// earlierHold tells whether a hold meant for an earlier incarnation of a worker is in flight. Its cursor would make the
// worker forget ends that nobody has read.
func (l *Leader) earlierHold(s *session) bool {
	return l.holdsInFlight[s.incarnation.ID] > s.holdsInFlight
}

// incarnationReplaced handles an answer of another incarnation with the same identifier. It could also carry out starts
// that were meant for this one, so the attempts are kept until that one registers, and stopped there.
func (l *Leader) incarnationReplaced(now Time, s *session) {
	if w := l.state.Worker(s.incarnation.ID); w == nil || len(w.Attempts()) == 0 {
		l.incarnationOver(now, s)
		return
	}
	if !s.replaced {
		s.replaced = true
		l.options.Log("worker_life_over", "worker", s.incarnation.ID, "born_ms", s.incarnation.BornMS)
	}
	for _, a := range l.attempts {
		if a.incarnation == s.incarnation {
			l.abandon(a, reasonRestarted)
		}
	}
}

// unanswered schedules the retry of a call that was not answered.
func (l *Leader) unanswered(now Time, s *session, a *attemptState) {
	s.failures++
	s.nextHoldAt = now.Mono + min(retryMax, retryFirst<<min(s.failures, 4))
	if a != nil {
		a.nextTryAt = now.Mono + min(retryMax, retryFirst<<min(a.tries, 4))
	}
}

// startOrStopAnswered handles the answer to a start or a stop.
func (l *Leader) startOrStopAnswered(now Time, s *session, a *attemptState, p pendingCall, r Reply) {
	if p.call.Kind == CallStop {
		if r.Status == OK || r.Status == RejectedEnded {
			a.stopConfirmed, a.confirmedAt, s.holdNow = true, now.Mono, true
			return
		}
		a.tries++
		a.nextTryAt = now.Mono + min(retryMax, retryFirst<<min(a.tries, 4))
		return
	}
	if r.Status == OK {
		s.rejectedInARow = 0
	} else if s.rejectedInARow++; (s.rejectedInARow > maxRejectedInARow || r.Status == BadCall || r.Status == Unhealthy) && now.Mono >= s.avoidUntil {
		s.avoid(now.Mono) // Once for all starts of one plan.
	}
	switch r.Status {
	case OK:
		s.holdNow = s.holdNow || !l.hasConfirmedAttempt(l.state.Worker(s.incarnation.ID))
		a.startConfirmed, a.confirmedAt, a.progressAt = true, now.Mono, now.Mono
		a.sampleStart(now, s, p, r)
		l.paceFromStart(now, l.state.Worker(s.incarnation.ID), a)
		l.settle(a)
	case RejectedEnded:
		// It has ended or was stopped on the worker, whose next lists tell how.
		l.requestStop(a, "the worker lists it as ended or stopped")
		a.stopConfirmed, a.confirmedAt, s.holdNow = true, now.Mono, true
	case RejectedLeaseOver:
		if a.nextTryAt = now.Mono; a.tries >= maxLateTries { // Its clock does not agree with what it reports.
			l.abandon(a, r.Status.String())
		}
	default:
		l.options.Observer.StartRejected(r.Status)
		l.options.Log("start_rejected", "job", a.task.Job, "task", a.task.String(), "attempt", a.number, "worker", s.incarnation.ID,
			"reason", r.Status.String())
		if r.Status == RejectedTicket {
			l.adviceCache.dropTicket(a.task, a.incarnation)
		}
		l.abandon(a, r.Status.String())
	}
}

// Limits for workers that reject starts.
const (
	// maxRejectedInARow is how many starts a worker may reject, without one that it confirms, before it is avoided for a while.
	// Some may be rejected since the capacity of what has ended there is not free yet.
	maxRejectedInARow = 4
	// maxLateTries is how often an attempt is started whose lease the worker takes for over. Each rejection contains the clock.
	maxLateTries = 3
)

// abandon stops an attempt. The stop also keeps a worker that has not started it from carrying out a start that arrives
// late. The members of a gang are stopped together.
func (l *Leader) abandon(a *attemptState, reason string) {
	for _, m := range l.endTogether(a) {
		l.requestStop(m, reason)
	}
}

// listedAttempt is an attempt in the lists of a worker. They may show several of one task.
type listedAttempt struct {
	task   domain.TaskID
	number int
}

// endsPerPage is how many ends a worker lists at most in one answer.
const endsPerPage = 500

// holdAnswered handles the lists of a worker: it confirms the running attempts and proposes to commit the ends.
func (l *Leader) holdAnswered(now Time, s *session, p pendingCall, r Reply) {
	s.nextHoldAt = now.Mono
	if !s.hasClock() {
		s.nextHoldAt = now.Mono + retryMax
	}
	s.listedAt, s.refusedAt = now.Mono, 0
	s.ackedCursor = max(s.ackedCursor, p.call.Cursor)
	s.unfenced = false
	s.noteLists(p.sentAt)
	w := l.state.Worker(s.incarnation.ID)
	if w == nil || w.Incarnation != s.incarnation {
		return
	}
	listed := map[listedAttempt]bool{}
	unknown := 0
	overtaken := r.ClockMS != 0 && r.ClockMS < s.listClockMS // Attempts in it may have ended, and the ends be committed.
	for _, t := range r.Running {
		listed[listedAttempt{t.Task, t.Attempt}] = true
		if !l.sawRunning(now, s, t) && !overtaken {
			unknown++
			l.stopUnknown(now, w, s, t)
		}
	}
	if !overtaken {
		s.listClockMS, s.unknown = r.ClockMS, unknown
		maps.DeleteFunc(s.unknownNoted, func(x listedAttempt, _ bool) bool { return !listed[x] })
	}
	l.handOver(now, s, w)
	if !overtaken {
		l.sampleNeighbours(now, s, w, r)
	}
	l.adjustPace(now, w)
	if !overtaken {
		l.sampleLists(now, w, p, r)
	}
	ends := l.newEnds(now, w, s, r, listed)
	cursor := w.Cursor
	for _, e := range r.Ended {
		cursor = max(cursor, e.Number)
	}
	if len(r.Ended) < endsPerPage { // Otherwise the end of an attempt may be on a later page.
		ends = append(ends, l.absentAttempts(now, w, s, p, listed)...)
	}
	if s.endsInFlight {
		return
	}
	if cursor == w.Cursor && len(ends) == 0 {
		s.pauseIfHasty(now.Mono, p)
		return
	}
	s.endsInFlight, s.hastyInARow = true, 0
	l.propose(now, domain.Command{End: &domain.EndAttempts{Worker: s.incarnation, Cursor: cursor, Ends: ends, OncePerRun: true, WithinRuns: true}})
}

// sawRunning updates an attempt that a worker lists as running. It returns false if the domain has no such attempt on
// this worker.
func (l *Leader) sawRunning(now Time, s *session, t RunningTask) bool {
	a := l.attempts[t.Task]
	if a == nil || a.number != t.Attempt || a.incarnation != s.incarnation {
		return false
	}
	if !a.startConfirmed {
		a.startConfirmed, a.confirmedAt = true, now.Mono
		l.settle(a)
	}
	a.listedAt = now.Mono
	a.load = t.Load
	l.noteProgress(now, a, t)
	return true
}

// maxUnknownStops is how many stops of unknown attempts may be in flight to one worker. The others follow after its next lists.
const maxUnknownStops = 32

// maxUnknownNoted bounds session.unknownNoted: a worker may list any number of attempts. Further ones are not counted.
const maxUnknownNoted = 1000

// stopUnknown stops an attempt that a worker lists as running although the domain does not place it there.
func (l *Leader) stopUnknown(now Time, w *domain.Worker, s *session, t RunningTask) {
	if s.unknownStops >= maxUnknownStops {
		return
	}
	s.unknownStops++
	l.noteUnknown(s, t)
	l.sendCall(now, w, Call{Kind: CallStop, Task: t.Task, Attempt: t.Attempt})
	p := l.callsInFlight[l.lastCallID]
	p.unknown = true
	l.callsInFlight[l.lastCallID] = p
}

// noteUnknown logs and counts an attempt that a worker lists as running although the domain does not place it there, once
// until a list no longer shows it.
func (l *Leader) noteUnknown(s *session, t RunningTask) {
	x := listedAttempt{t.Task, t.Attempt}
	if s.unknownNoted[x] || len(s.unknownNoted) >= maxUnknownNoted {
		return
	}
	s.unknownNoted[x] = true
	var current domain.Task
	if j := l.state.Job(t.Task.Job); j != nil {
		if task := j.Task(t.Task); task != nil {
			current = *task
		}
	}
	l.options.Observer.UnknownAttempt()
	l.options.Log("attempt_unknown", "job", t.Task.Job, "task", t.Task.String(), "attempt", t.Attempt, "worker", s.incarnation.ID,
		"current_attempt", current.Attempt, "current_worker", current.Worker.ID, "done", current.Done)
}
