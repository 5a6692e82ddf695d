package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// slowestClockRate is the share of true time that the slowest allowed clock of a worker advances (PROTOCOL, "Running tasks").
const slowestClockRate = 0.98

// leaseSlack covers the rounding of clocks to milliseconds when a lease is taken to be over.
const leaseSlack = 50 * time.Millisecond

// session is what the leader knows about one lifetime of a worker.
type session struct {
	life      domain.WorkerLife
	createdAt time.Duration
	// The newest reading of the worker's clock, and when it arrived here.
	clockMS      int64
	clockAt      time.Duration
	hasClock     bool
	leaseUntilMS int64 // Latest end of a lease that this leader has sent.
	// answeredAt is when the worker last answered a call, reported when it last reported by itself.
	answeredAt     time.Duration
	reportedAt     time.Duration
	everAnswered   bool
	failures       int // Calls without an answer since the last answer.
	holdsInFlight  int // Holds under way.
	nextHoldAt     time.Duration
	endsInFlight   bool  // A command with ends of this worker is under way.
	lossInFlight   bool  // That command says that all its attempts are lost: none may be ordered or renewed any more.
	ackedCursor    int64 // Newest cursor that the worker has confirmed.
	holdNow        bool  // A hold without a wait is needed now.
	failedInARow   int   // Consecutive failed attempts.
	avoidUntil     time.Duration
	inherited      bool // Attempts of an earlier leader may run, under a lease that it granted.
	forgetInFlight bool // A command that forgets this lifetime is under way.
}

// clockLowerBound returns a lower bound of the worker's clockLowerBound.
func (s *session) clockLowerBound(now time.Duration) int64 {
	return s.clockMS + int64(float64((now-s.clockAt).Milliseconds())*slowestClockRate)
}

// learnClock takes a reading of the worker's clock over. An older one that arrives late would be a weaker bound.
func (s *session) learnClock(now time.Duration, clockMS int64) {
	if clockMS == 0 || (s.hasClock && clockMS < s.clockLowerBound(now)) {
		return
	}
	s.clockMS, s.clockAt, s.hasClock = clockMS, now, true
}

// leaseEnd returns when all leases on the worker are over for certain, those of earlier leaders included.
func (s *session) leaseEnd(lease time.Duration) time.Duration {
	over := time.Duration(0)
	if s.inherited {
		over = s.createdAt + time.Duration(float64(lease)/slowestClockRate)
	}
	if s.hasClock && s.leaseUntilMS > 0 {
		left := float64(s.leaseUntilMS-s.clockMS) / slowestClockRate
		over = max(over, s.clockAt+time.Duration(left*float64(time.Millisecond)))
	}
	return over + leaseSlack
}

// silentAfter is how long a worker may leave calls unanswered before its lease is no longer extended.
const silentAfter = 1200 * time.Millisecond

// silent tells whether the worker has stopped answering. Its lease is not extended then, so that it ends.
func (s *session) silent(now time.Duration) bool {
	return s.failures > 0 && now-max(s.answeredAt, s.createdAt) > silentAfter
}
