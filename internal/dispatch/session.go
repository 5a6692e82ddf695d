package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// slowestClock is the share of true time that the slowest allowed clock of a worker advances (PROTOCOL, "Running tasks").
const slowestClock = 0.98

// leaseSlack covers the rounding of clocks to milliseconds when a lease is taken to be over.
const leaseSlack = 50 * time.Millisecond

// session is what the leader knows about one lifetime of a worker.
type session struct {
	life    domain.WorkerLife
	created time.Duration
	// The newest reading of the worker's clock, and when it arrived here.
	clockMS  int64
	clockAt  time.Duration
	hasClock bool
	untilMS  int64 // Latest end of a lease that this leader has sent.
	// heard is when the worker last answered a call, reported when it last reported by itself.
	heard      time.Duration
	reported   time.Duration
	everHeard  bool
	failures   int // Calls without an answer since the last answer.
	holds      int // Holds under way.
	nextHold   time.Duration
	ending     bool  // A command with ends of this worker is under way.
	lapsing    bool  // That command says that all its attempts are lost: none may be ordered or renewed any more.
	ackedUpTo  int64 // Newest cursor that the worker has confirmed.
	look       bool  // A hold without a wait is needed now.
	failed     int   // Consecutive failed attempts.
	avoidUntil time.Duration
	inherited  bool // Attempts of an earlier leader may run, under a lease that it granted.
	released   bool // A command that forgets this lifetime is under way.
}

// clock returns a lower bound of the worker's clock.
func (s *session) clock(now time.Duration) int64 {
	return s.clockMS + int64(float64((now-s.clockAt).Milliseconds())*slowestClock)
}

// learnClock takes a reading of the worker's clock over. An older one that arrives late would be a weaker bound.
func (s *session) learnClock(now time.Duration, clockMS int64) {
	if clockMS == 0 || (s.hasClock && clockMS < s.clock(now)) {
		return
	}
	s.clockMS, s.clockAt, s.hasClock = clockMS, now, true
}

// leaseOver returns when all leases on the worker are over for certain, those of earlier leaders included.
func (s *session) leaseOver(lease time.Duration) time.Duration {
	over := time.Duration(0)
	if s.inherited {
		over = s.created + time.Duration(float64(lease)/slowestClock)
	}
	if s.hasClock && s.untilMS > 0 {
		left := float64(s.untilMS-s.clockMS) / slowestClock
		over = max(over, s.clockAt+time.Duration(left*float64(time.Millisecond)))
	}
	return over + leaseSlack
}

// silentAfter is how long a worker may leave calls unanswered before its lease is no longer extended.
const silentAfter = 1200 * time.Millisecond

// silent tells whether the worker has stopped answering. Its lease is not extended then, so that it ends.
func (s *session) silent(now time.Duration) bool {
	return s.failures > 0 && now-max(s.heard, s.created) > silentAfter
}
