package dispatch

import (
	"maps"
	"slices"
	"time"
)

// Bounds of the time for which a worker gets no new attempts after a failure.
const (
	avoidFirst = 2500 * time.Millisecond // About the run time of a short task.
	avoidMax   = 10 * time.Second
)

// avoid keeps new attempts from a worker for a while, twice as long after each further failure.
func (s *session) avoid(now time.Duration) {
	s.failedInARow++
	s.avoidUntil = now + min(avoidMax, avoidFirst<<min(s.failedInARow-1, 4))
}

// attemptFailed keeps new attempts from a worker on which an attempt has failed, unless its task has failed on another one
// too: then the task is the likelier cause.
func (l *Leader) attemptFailed(now Time, s *session, a *attemptState) {
	j := l.state.Job(a.task.Job)
	if j == nil {
		return
	}
	elsewhere := func(worker string) bool { return worker != s.incarnation.ID }
	if slices.ContainsFunc(j.Task(l.gangKey(a.task)).FailedOn, elsewhere) {
		return
	}
	switch step := l.stepOf(a); {
	case step.LongRunning: // It may fail at any time by its own fault and has to be back soon, so its failures do not add up.
		s.avoidUntil = max(s.avoidUntil, now.Mono+avoidFirst)
	case step.Gang:
		s.gangFailed(now.Mono, keyOf(a.task))
	default:
		s.avoid(now.Mono)
	}
}

// gangFailed counts the failure of a gang. Its members on the worker fail together and are reported one by one.
func (s *session) gangFailed(now time.Duration, gang stepKey) {
	maps.DeleteFunc(s.failedGangs, func(_ stepKey, at time.Duration) bool { return now-at > avoidFirst })
	if _, counted := s.failedGangs[gang]; !counted {
		s.failedGangs[gang] = now
		s.avoid(now)
	}
}

// avoidMembers avoids the workers of an attempt, or of all members of its gang, that have completed nothing since it
// began. Which of them keeps the gang from working is not known.
func (l *Leader) avoidMembers(now Time, a *attemptState) {
	avoided := map[*session]bool{} // A worker may run several members.
	for _, m := range l.endTogether(a) {
		if s := l.sessions[m.incarnation.ID]; s != nil && s.incarnation == m.incarnation && s.doneAt < m.adoptedAt && !avoided[s] {
			avoided[s] = true
			s.avoid(now.Mono)
		}
	}
}
