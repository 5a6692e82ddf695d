package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Pauses between repeated orders. An order without an answer may have been carried out, and repeating it is harmless.
const (
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
)

// sendOrders repeats starts until they are confirmed, and stops until they are.
func (l *Leader) sendOrders(now Time) {
	for id, x := range l.active {
		w := l.m.Worker(x.life.ID)
		if w == nil || w.Life != x.life || x.calls > 0 || now.Mono < x.next {
			continue
		}
		s := l.session(x.life, now)
		switch {
		case s.lapsing: // A start that is repeated now could run while the task starts elsewhere.
		case x.stop && !x.stopped:
			x.calls++
			l.call(now, w, Call{Kind: CallStop, Task: id, Attempt: x.attempt})
		case !x.stop && !x.started && s.hasClock && !s.silent(now.Mono):
			l.sendStart(now, w, s, x)
		}
	}
}

func (l *Leader) sendStart(now Time, w *domain.Worker, s *session, x *order) {
	j := l.m.Job(x.task.Job)
	ticket := l.adviser.ticket(now.Mono, x.task, x.life)
	if ticket == "" && l.m.AdviceFor(j.Spec.Queue) != nil {
		l.abandon(x, "no valid ticket")
		return
	}
	x.calls++
	x.tries++
	lease := l.o.Lease
	if !l.confirmedOn(w) {
		lease = min(lease, startLease)
	}
	l.call(now, w, Call{
		Kind: CallStart, Task: x.task, Attempt: x.attempt, UntilMS: l.extend(now, s, lease),
		Payload: j.Spec.Payload, Saved: l.savedFor(j, x.task), Ticket: ticket,
	})
}

// savedFor returns the checkpoint that an attempt continues from. All members of a gang carry the same one.
func (l *Leader) savedFor(j *domain.Job, id domain.TaskID) string {
	if j.Spec.Steps[id.Step].Gang {
		id.Index = 0
	}
	return j.Task(id).Saved
}

// confirmedOn tells whether a worker has confirmed an attempt, so that its lease is renewed.
func (l *Leader) confirmedOn(w *domain.Worker) bool {
	for id := range w.Attempts() {
		if x := l.orders[id]; x != nil && (x.started || x.inherited) {
			return true
		}
	}
	return false
}

// startLease is the lease of a first attempt on a worker until the worker has confirmed it. A start that is lost with its
// worker then blocks its task for a short time only; the hold that follows the confirmation grants the whole lease.
const startLease = 3 * time.Second

// extend returns the end of a lease that begins now, on the worker's clock.
func (l *Leader) extend(now Time, s *session, lease time.Duration) int64 {
	s.untilMS = max(s.untilMS, s.clock(now.Mono)+lease.Milliseconds())
	return s.untilMS
}

// holdWait is how long a worker holds an answer back when nothing ends. It is the longest wait that workers allow.
const holdWait = 2 * time.Second

// sendHolds keeps one hold under way at each worker that runs something, and acknowledges the last ends of the others.
func (l *Leader) sendHolds(now Time) {
	for _, s := range l.sessions {
		w := l.m.Worker(s.life.ID)
		if w == nil || w.Life != s.life || s.ending {
			continue
		}
		busy := len(w.Attempts()) > 0
		unacked := w.Cursor > s.ackedUpTo
		switch {
		case s.look && s.holds < 2 && (busy || unacked) && now.Mono >= s.nextHold:
			s.look = false
			l.hold(now, w, s, 0)
		case s.holds > 0 || now.Mono < s.nextHold:
		case !busy && !s.hasClock && s.failures == 0:
			l.hold(now, w, s, 0) // A new leader need not wait for its report.
		case busy && !s.hasClock:
			l.hold(now, w, s, 0)
		case busy && l.shared(w):
			l.hold(now, w, s, sharedLook)
		case busy:
			l.hold(now, w, s, holdWait)
		case unacked:
			l.hold(now, w, s, 0)
		case s.failures > 0 && now.Mono-s.reported < l.o.Report+reportSlack:
			l.hold(now, w, s, 0) // It reports; whether it can be called again shows only by a call.
		}
	}
}

func (l *Leader) hold(now Time, w *domain.Worker, s *session, wait time.Duration) {
	c := Call{Kind: CallHold, Cursor: w.Cursor, Wait: wait}
	if s.hasClock && !s.silent(now.Mono) && l.confirmedOn(w) {
		c.UntilMS = l.extend(now, s, l.o.Lease)
	}
	s.holds++
	l.call(now, w, c)
}

// Reply takes the answer to a call.
func (l *Leader) Reply(now Time, id uint64, r Reply) {
	p, known := l.calls[id]
	if !known {
		return
	}
	delete(l.calls, id)
	s := l.sessions[p.call.Worker.ID]
	if s == nil || s.life != p.call.Worker {
		return
	}
	if p.call.Kind == CallHold {
		s.holds--
	}
	x := l.orders[p.call.Task]
	switch {
	case p.call.Kind == CallHold || x == nil || x.attempt != p.call.Attempt || x.life != s.life:
		x = nil
	case p.call.Kind == CallPace:
		l.paced(x, p, r)
		x = nil // It says nothing about the attempt's start or stop.
	default:
		x.calls--
	}
	if r.Status == OtherLife || (r.BornMS != 0 && s.life.BornMS != 0 && r.BornMS != s.life.BornMS) {
		l.lifeOver(now, s)
		return
	}
	if r.Status == NoAnswer {
		l.unanswered(now, s, x)
		return
	}
	s.heard, s.everHeard, s.failures = now.Mono, true, 0
	s.learnClock(now.Mono, r.ClockMS)
	if r.Status == RejectedFence {
		l.deposed = true
		return
	}
	if p.call.Kind == CallHold {
		l.held(now, s, p, r)
	} else if x != nil {
		l.answered(now, s, x, p, r)
	}
	l.dirty = true
}

// lifeOver forgets a lifetime in whose place another one answers.
func (l *Leader) lifeOver(now Time, s *session) {
	if s.released {
		return
	}
	s.released = true
	l.o.Log("worker_life_over", "worker", s.life.ID, "born_ms", s.life.BornMS)
	l.propose(now, domain.Command{Forget: &domain.ForgetWorker{Life: s.life}})
}

func (l *Leader) unanswered(now Time, s *session, x *order) {
	s.failures++
	s.nextHold = now.Mono + min(retryMost, retryFirst<<min(s.failures, 4))
	if x != nil {
		x.next = now.Mono + min(retryMost, retryFirst<<min(x.tries, 4))
	}
}

// answered takes the answer to a start or a stop.
func (l *Leader) answered(now Time, s *session, x *order, p pending, r Reply) {
	if p.call.Kind == CallStop {
		if r.Status == OK || r.Status == RejectedOld {
			x.stopped, x.ackedAt, s.look = true, now.Mono, true
			return
		}
		x.tries++
		x.next = now.Mono + min(retryMost, retryFirst<<min(x.tries, 4))
		return
	}
	switch r.Status {
	case OK:
		s.look = s.look || !l.confirmedOn(l.m.Worker(s.life.ID))
		x.started, x.ackedAt, x.progress = true, now.Mono, now.Mono
		l.settle(x)
	case RejectedOld:
		// It ended or was stopped there: the next lists tell.
		l.want(x, "the worker says that it has ended")
		x.stopped, x.ackedAt, s.look = true, now.Mono, true
	case RejectedLate:
		x.next = now.Mono
	default:
		l.o.Observer.StartRejected(r.Status)
		l.o.Log("start_rejected", "job", x.task.Job, "task", x.task.String(), "attempt", x.attempt, "worker", s.life.ID,
			"reason", r.Status.String())
		switch r.Status {
		case Unhealthy:
			s.blame(now.Mono)
		case RejectedTicket:
			l.adviser.drop(x.task, x.life)
		}
		l.abandon(x, r.Status.String())
	}
}

// abandon ends an attempt that a worker did not take. The stop makes sure that a late copy of the order is not carried
// out. The members of a gang end together.
func (l *Leader) abandon(x *order, why string) {
	j := l.m.Job(x.task.Job)
	if j != nil && j.Spec.Steps[x.task.Step].Gang {
		l.stopGang(x.task, why)
		return
	}
	l.want(x, why)
}

// fullPage is how many ends a worker lists at once (PROTOCOL, "Running tasks").
const fullPage = 500

// held takes the lists of a worker.
func (l *Leader) held(now Time, s *session, p pending, r Reply) {
	s.nextHold = now.Mono
	if r.Status != OK || !r.Lists {
		s.failures++
		s.nextHold = now.Mono + retryMost
		return
	}
	s.ackedUpTo = max(s.ackedUpTo, p.call.Cursor)
	w := l.m.Worker(s.life.ID)
	if w == nil || w.Life != s.life {
		return
	}
	listed := map[domain.TaskID]int{}
	for _, t := range r.Running {
		listed[t.Task] = t.Attempt
		l.sawRunning(now, w, s, t)
	}
	l.pace(now, w)
	ends := l.newEnds(now, w, s, r, listed)
	cursor := w.Cursor
	for _, e := range r.Ended {
		cursor = max(cursor, e.Number)
	}
	if len(r.Ended) < fullPage { // Otherwise an attempt may be on a later page.
		ends = append(ends, l.absent(w, p, listed)...)
	}
	if s.ending || (cursor == w.Cursor && len(ends) == 0) {
		return
	}
	s.ending = true
	l.propose(now, domain.Command{End: &domain.EndAttempts{Worker: s.life, Cursor: cursor, Ends: ends}})
}

// sawRunning confirms an attempt, or stops one that the domain does not hold on this worker.
func (l *Leader) sawRunning(now Time, w *domain.Worker, s *session, t RunningTask) {
	x := l.orders[t.Task]
	if x == nil || x.attempt != t.Attempt || x.life != s.life {
		l.call(now, w, Call{Kind: CallStop, Task: t.Task, Attempt: t.Attempt})
		return
	}
	if !x.started {
		x.started, x.ackedAt = true, now.Mono
		l.settle(x)
	}
	if t.Percent != x.percent {
		x.percent, x.progress = t.Percent, now.Mono
	}
	x.load = t.Load
	if t.Saved != "" {
		x.saved = t.Saved
	}
}

// newEnds returns the ends that are not committed yet, in the worker's order.
func (l *Leader) newEnds(now Time, w *domain.Worker, s *session, r Reply, listed map[domain.TaskID]int) []domain.AttemptEnd {
	var ends []domain.AttemptEnd
	for _, e := range r.Ended {
		if e.Number <= w.Cursor {
			continue
		}
		if x := l.orders[e.Task]; x != nil && x.attempt == e.Attempt {
			listed[e.Task] = e.Attempt
			l.judge(now, s, x, e)
		}
		ends = append(ends, e.AttemptEnd)
	}
	return ends
}

// judge learns about the worker from an end.
func (l *Leader) judge(now Time, s *session, x *order, e EndedTask) {
	l.o.Observer.AttemptEnded(e.Outcome, now.Mono-x.begun)
	l.o.Log("attempt_ended", "job", e.Task.Job, "task", e.Task.String(), "attempt", e.Attempt, "worker", s.life.ID,
		"outcome", e.Outcome.String(), "ran_ms", (now.Mono - x.begun).Milliseconds(), "reason", x.why)
	switch e.Outcome {
	case domain.OutcomeDone:
		s.failed, s.avoidUntil = 0, 0
	case domain.OutcomeFailed:
		j := l.m.Job(e.Task.Job)
		if j == nil {
			return
		}
		holder := e.Task
		if j.Spec.Steps[e.Task.Step].Gang {
			holder.Index = 0
		}
		if t := j.Task(holder); len(t.FailedOn) == 0 { // A task that failed elsewhere too is the likelier cause.
			s.blame(now.Mono)
		}
	}
}

// absent returns the attempts that the worker confirmed before the call was sent, or that it will reject, and that it
// does not list: they are over.
func (l *Leader) absent(w *domain.Worker, p pending, listed map[domain.TaskID]int) []domain.AttemptEnd {
	var out []domain.AttemptEnd
	for id, attempt := range w.Attempts() {
		x := l.orders[id]
		if x == nil || listed[id] == attempt || !(x.started || x.stopped) || x.ackedAt >= p.sent || (x.stop && !x.stopped) {
			continue
		}
		out = append(out, domain.AttemptEnd{Task: id, Attempt: attempt, Outcome: domain.OutcomeAbsent, Saved: x.saved})
	}
	return out
}
