package dispatch

import (
	"maps"
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

// failTogether tells whether the attempts of a step that fail on one worker have failed of one cause.
func (l *Leader) failTogether(a *attemptState) bool {
	step := l.stepOf(a)
	return step.Gang || step.LongRunning
}

// failedBefore tells whether a failure of a step on the worker was counted within the shortest pause. Otherwise it notes one.
func (s *session) failedBefore(now time.Duration, key stepKey) bool {
	maps.DeleteFunc(s.failedSteps, func(_ stepKey, at time.Duration) bool { return now-at > avoidFirst })
	if _, failed := s.failedSteps[key]; failed {
		return true
	}
	s.failedSteps[key] = now
	return false
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
