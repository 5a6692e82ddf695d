package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// holdWaitMax is how long a worker delays its answer to a hold while no attempt ends. It is the longest wait that
// workers allow.
const holdWaitMax = 2 * time.Second

// holdWait returns the wait of a hold. If more workers are busy than holds may wait at the same time, the wait is
// shorter, so that each worker has its turn within about holdWaitMax.
func (l *Leader) holdWait() time.Duration {
	if l.options.LongPolls == 0 || l.busyWorkers <= l.options.LongPolls {
		return holdWaitMax
	}
	return holdWaitMax * time.Duration(l.options.LongPolls) / time.Duration(l.busyWorkers)
}

// maxContactsInFlight bounds the holds in flight to workers that have not answered this leader yet. If a leader that has
// just begun called all workers at once, its heartbeats would wait behind these calls until its leadership is lost again.
// With a quarter of 1,100 workers not answering for 0.6 s, all have been called after 1.3 s.
const maxContactsInFlight = 128

// maxRepeatedContacts bounds the repeated ones among them, and how many of these begin in watchEvery: a fleet of 1,100 workers
// is asked again within a second, and entries that never answer do not delay the first call to a worker.
const maxRepeatedContacts = maxContactsInFlight / 2

// mayNeedHold notes that a session has changed in a way that may require a hold.
func (l *Leader) mayNeedHold(s *session) { l.toHold[s] = struct{}{} }

// watchHolds notes all sessions, for what becomes due by the passing of time alone, and counts the busy workers.
func (l *Leader) watchHolds() {
	l.busyWorkers, l.contactsRepeated, l.neverAnswered = 0, 0, 0
	for _, s := range l.sessions {
		l.mayNeedHold(s)
		if !s.everAnswered && s.failures > 0 {
			l.neverAnswered++
		}
		if w := l.state.Worker(s.incarnation.ID); w != nil && len(w.Attempts()) > 0 {
			l.busyWorkers++
		}
	}
}

// trusted tells whether work may be placed on a worker as far as its answers go. A worker that has not been called yet is
// probed when work is placed on it. Once a registration has left its first call unanswered, only workers that have answered get
// work, and all others are called: there may be many such registrations, and work cannot wait for a probe of each.
func (l *Leader) trusted(s *session) bool { return s.everAnswered || l.neverAnswered == 0 }

// sendHolds keeps one hold in flight to each worker with attempts, acknowledges the last ends of the other workers, and
// probes those that have not been heard from or have left calls unanswered.
func (l *Leader) sendHolds(now Time) {
	var first, repeated []*session // Contacts to idle workers.
	for s := range l.toHold {
		switch {
		case s.everAnswered || l.isBusy(s):
			l.sendHoldIfDue(now, s)
		case s.failures == 0:
			first = append(first, s)
		default:
			repeated = append(repeated, s)
		}
	}
	for _, s := range first {
		l.sendHoldIfDue(now, s)
	}
	for _, s := range repeated {
		if l.contactsInFlight >= maxRepeatedContacts || l.contactsRepeated >= maxRepeatedContacts {
			break
		}
		if l.sendHoldIfDue(now, s) {
			l.contactsRepeated++
		}
	}
}

// isBusy reports whether a worker has attempts.
func (l *Leader) isBusy(s *session) bool {
	w := l.state.Worker(s.incarnation.ID)
	return w != nil && w.Incarnation == s.incarnation && len(w.Attempts()) > 0
}

// sendHoldIfDue sends the hold that a session needs now, if any. It returns whether it has sent one.
func (l *Leader) sendHoldIfDue(now Time, s *session) bool {
	if !s.everAnswered && l.contactsInFlight >= maxContactsInFlight {
		return false
	}
	if now.Mono >= s.nextHoldAt {
		delete(l.toHold, s)
	}
	w := l.state.Worker(s.incarnation.ID)
	if w == nil || w.Incarnation != s.incarnation || s.endsInFlight || s.replaced || s.fenced || l.foreign(w) {
		return false
	}
	busy := len(w.Attempts()) > 0
	unacked := w.Cursor > s.ackedCursor
	switch {
	case s.holdNow && s.holdsInFlight < 2 && (busy || unacked || s.unknown > 0 || s.probing || s.unidentified) && now.Mono >= s.nextHoldAt:
		s.holdNow = false
		l.sendHold(now, w, s, 0)
	case s.holdsInFlight > 0 || now.Mono < s.nextHoldAt:
		return false
	case !busy && (s.needsClock() || s.unfenced || !l.trusted(s)) && s.failures == 0:
		l.sendHold(now, w, s, 0) // The answer contains the clock, so a new leader need not wait for the worker's report.
	case busy && (!s.hasClock() || s.unfenced):
		l.sendHold(now, w, s, 0)
	case busy && s.refusedAt > 0: // Its lease may be about to end, and is extended again once it lists.
		l.sendHold(now, w, s, 0)
	case busy && (l.shared(w) || l.comparesLatencies(w)):
		l.sendHold(now, w, s, sharedHoldWait)
	case busy, s.unknown > 0: // It is answered when an attempt ends.
		l.sendHold(now, w, s, l.holdWait())
	case unacked:
		l.sendHold(now, w, s, 0)
	case s.failures == 0 && l.unheard(now, s) > l.options.ReportPeriod+reportSlack/2:
		l.sendHold(now, w, s, 0) // The host that it reports to may have ended; a call shows whether it can be reached.
	case s.failures > 0 && now.Mono-s.reportedAt < l.options.ReportPeriod+reportSlack:
		l.sendHold(now, w, s, 0) // It reports, but only a call shows whether it can be reached again.
	default:
		return false
	}
	return true
}

// hastyPause is the time between the holds at a worker that answers them long before it has to although no attempt ends.
const hastyPause = 200 * time.Millisecond

// pauseIfHasty delays the next hold at a worker that has answered more than one in a row long before it had to, without a new
// end. One such answer may follow an end that another answer has shown before.
func (s *session) pauseIfHasty(now time.Duration, p pendingCall) {
	if p.call.Wait == 0 {
		return
	}
	if now-p.sentAt >= p.call.Wait/2 {
		s.hastyInARow = 0
	} else if s.hastyInARow++; s.hastyInARow > 1 {
		s.nextHoldAt = now + hastyPause
	}
}

// sendHold sends a hold. It renews the lease if the worker has a confirmed attempt and is not silent.
func (l *Leader) sendHold(now Time, w *domain.Worker, s *session, wait time.Duration) {
	c := Call{Kind: CallHold, Wait: wait}
	// Another incarnation may have taken the place of one that has not answered lately. The cursor of the earlier one
	// would acknowledge ends of the later one that nobody has read. For the same reason, a cursor is sent only until the
	// worker has received it.
	if s.everAnswered && s.failures == 0 && !s.unidentified && w.Cursor > s.ackedCursor {
		c.Cursor = w.Cursor
	}
	if s.hasClock() && !s.silent(now.Mono, l.options.LeaseDuration) && !s.leaving && l.hasConfirmedAttempt(w) {
		c.UntilMS = l.extendLease(now, s, l.options.LeaseDuration)
	}
	s.holdsInFlight++
	l.holdsInFlight[w.Incarnation.ID]++
	l.sendCall(now, w, c)
}
