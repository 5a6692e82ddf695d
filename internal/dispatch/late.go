package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// lateStart is a start that was not answered. The worker, or a later incarnation with its identifier, may still carry it
// out, until lateCallLimit is over.
type lateStart struct {
	incarnation domain.WorkerIncarnation
	task        domain.TaskID
	attempt     int
	sentAt      time.Duration
	lost        bool                     // The attempt was declared lost, so nothing else makes its worker reject the start.
	rejectedBy  domain.WorkerIncarnation // Incarnation that has confirmed to reject it. A later one knows nothing of that.
	inFlight    bool                     // A stop that makes it rejected is in flight.
	nextTryAt   time.Duration            // Earliest time of the next stop.
}

// noteLateStart notes a start that was not answered.
func (l *Leader) noteLateStart(p pendingCall) {
	id := p.call.Worker.ID
	l.lateStarts[id] = append(l.lateStarts[id], &lateStart{incarnation: p.call.Worker, task: p.call.Task, attempt: p.call.Attempt, sentAt: p.sentAt})
}

// toReject returns the late starts that an incarnation of a worker is to reject before it gets new attempts.
func (l *Leader) toReject(now Time, s *session) []*lateStart {
	var out []*lateStart
	for _, x := range l.lateStarts[s.incarnation.ID] {
		if now.Mono < x.sentAt+lateCallLimit && x.rejectedBy != s.incarnation && !l.guarded(s, x) {
			out = append(out, x)
		}
	}
	return out
}

// guarded tells whether something else keeps an incarnation from carrying out a late start: its attempt is tracked there,
// or the start was meant for the same incarnation, which remembers the attempts that have ended on it.
func (l *Leader) guarded(s *session, x *lateStart) bool {
	a := l.attempts[x.task]
	tracked := a != nil && a.number == x.attempt && a.incarnation == s.incarnation
	return tracked || (x.incarnation == s.incarnation && !x.lost)
}

// rejectLateStarts sends stops for late starts to the workers that answer: a worker rejects a start after its stop.
func (l *Leader) rejectLateStarts(now Time) {
	for id := range l.lateStarts {
		w, s := l.state.Worker(id), l.sessions[id]
		if w == nil || s == nil || s.incarnation != w.Incarnation || s.failures > 0 || s.fenced || s.lossInFlight || s.forgetInFlight {
			continue
		}
		for _, x := range l.toReject(now, s) {
			if !x.inFlight && now.Mono >= x.nextTryAt {
				x.inFlight = true
				l.sendCall(now, w, Call{Kind: CallStop, Task: x.task, Attempt: x.attempt})
			}
		}
	}
}

// stopAnswered notes that a worker has confirmed to reject a late start. The next list of the worker tells whether it
// was carried out before that.
func (l *Leader) stopAnswered(now Time, s *session, c Call, status Status) {
	for _, x := range l.lateStarts[c.Worker.ID] {
		if !x.inFlight || x.task != c.Task || x.attempt != c.Attempt {
			continue
		}
		x.inFlight, x.nextTryAt = false, now.Mono+retryFirst
		if s != nil && s.incarnation == c.Worker && (status == OK || status == RejectedEnded) {
			x.rejectedBy = s.incarnation
			s.unknown, s.holdNow = max(1, s.unknown), true // It may run there already, until a list shows that it does not.
		}
	}
}

// dropLateStarts drops the late starts that are not carried out any more.
func (l *Leader) dropLateStarts(now Time) {
	for id, all := range l.lateStarts {
		all = slices.DeleteFunc(all, func(x *lateStart) bool { return now.Mono >= x.sentAt+lateCallLimit && !x.inFlight })
		if l.lateStarts[id] = all; len(all) == 0 {
			delete(l.lateStarts, id)
		}
	}
}

// lateAck is a hold with a cursor that was not answered. A later incarnation with the worker's identifier may still carry
// it out, and then forgets ends that nobody has read.
type lateAck struct {
	incarnation domain.WorkerIncarnation
	sentAt      time.Duration
}

// noteLateAck notes a hold that was not answered, if it has a cursor.
func (l *Leader) noteLateAck(p pendingCall) {
	if p.call.Cursor > 0 && p.sentAt >= l.lateAcks[p.call.Worker.ID].sentAt {
		l.lateAcks[p.call.Worker.ID] = lateAck{p.call.Worker, p.sentAt}
	}
}

// mayLoseEnds tells whether a late hold that was meant for an earlier incarnation may still reach this one.
func (l *Leader) mayLoseEnds(now Time, s *session) bool {
	x, late := l.lateAcks[s.incarnation.ID]
	return late && x.incarnation != s.incarnation && now.Mono < x.sentAt+lateCallLimit
}

// dropLateAcks drops the late holds that are not carried out any more.
func (l *Leader) dropLateAcks(now Time) {
	maps.DeleteFunc(l.lateAcks, func(_ string, x lateAck) bool { return now.Mono >= x.sentAt+lateCallLimit })
}
