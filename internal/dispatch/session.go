package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// slowestClockRate is the rate of the slowest clock that a worker is allowed to have, as a share of true time.
const slowestClockRate = 0.98

// leaseSlack covers the rounding of clocks to milliseconds: a lease counts as over only this much after its end.
const leaseSlack = 50 * time.Millisecond

// session is what the leader knows about one incarnation of a worker.
type session struct {
	incarnation domain.WorkerIncarnation
	createdAt   time.Duration
	// clock bounds the leases. It is the reading of an answer, or another one that an answer to a later call has confirmed.
	clock clockReading
	// nextClock replaces clock once an answer to a later call confirms it. While the two are equal, clock is not confirmed.
	nextClock    clockReading
	leaseUntilMS int64 // Latest end of a lease that this leader has sent.
	// unconfirmedLeaseEnd is when the leases are over that were granted by a clock that is not confirmed.
	unconfirmedLeaseEnd time.Duration
	// answeredAt is when the worker last answered a call, reportedAt when its last report arrived.
	answeredAt     time.Duration
	reportedAt     time.Duration
	listedAt       time.Duration // When it last listed what runs there.
	refusedAt      time.Duration // When it last answered a hold without usable lists, 0 if it has listed since.
	everAnswered   bool
	failures       int // Calls without an answer, or holds refused, since the last answer.
	holdsInFlight  int
	nextHoldAt     time.Duration             // Earliest time of the next hold.
	endsInFlight   bool                      // A command with ends of this worker is proposed and not applied yet.
	lossInFlight   bool                      // That command declares all its attempts lost: none may be started, and no lease renewed.
	ackedCursor    int64                     // Highest cursor that the worker has received.
	holdNow        bool                      // A hold that is answered at once is to be sent.
	probing        bool                      // A hold shows whether the worker can be reached; work waits for its answer.
	probedAt       time.Duration             // When that was asked for.
	doneAt         time.Duration             // When an attempt on it last ended as done.
	failedInARow   int                       // Consecutive failures that count against the worker.
	failedGangs    map[stepKey]time.Duration // Gangs that have failed there lately, and when, see gangFailed.
	hastyInARow    int                       // Holds answered too early in a row, see pauseIfHasty.
	rejectedInARow int                       // Starts rejected since the last confirmed one.
	avoidUntil     time.Duration             // Until then, the worker gets no new attempts.
	listClockMS    int64                     // The worker's clock at its newest lists.
	changedAt      time.Duration             // When it last listed the end of an attempt.
	// unknown counts the attempts in its newest lists that the domain does not place there. While there are any, the
	// worker gets no starts.
	unknown      int
	unknownStops int                    // Stops of such attempts in flight.
	unknownNoted map[listedAttempt]bool // Such attempts that were counted and are still listed, see noteUnknown.
	// earlierLeaseEnd is when all leases are over that were granted to the incarnation before this session.
	earlierLeaseEnd time.Duration
	// unfenced is set until the worker has answered its first hold, which makes it reject the starts of earlier leaders, and shows
	// what runs there.
	unfenced       bool
	unidentified   bool          // See noteClockRegress.
	regressedAt    time.Duration // When the last such answer arrived.
	fenced         bool          // It has refused the fencing token of this leader, and is not called again.
	replaced       bool          // Another incarnation with its identifier has answered.
	leaving        bool          // The worker has announced its end; it is forgotten once it has no attempts.
	gone           bool          // It has announced its end, and then nothing listened at its address: it runs nothing any more.
	leavesAt       time.Duration // Earliest end of a draining worker, as it has reported; 0 if it has not.
	vacatedUntil   time.Duration // Until then only guaranteed work starts there, see vacatedFor; 0 if it is not kept.
	verifying      bool          // A verification is in flight, see Leader.Verify.
	verifications  int           // How many were sent.
	verifiedAt     time.Duration // When the last one was sent that the worker has answered, 0 if there is none.
	verifySentAt   time.Duration // When the last one was sent.
	nextVerifyAt   time.Duration // Earliest time of the next one.
	forgetInFlight bool          // A command that forgets this incarnation is proposed and not applied yet.
}

// clockReading is a reading of a worker's clock.
type clockReading struct {
	ms int64         // 0 if there is none.
	at time.Duration // When it arrived here.
}

// known tells whether there is a reading.
func (r clockReading) known() bool { return r.ms != 0 }

// leastAdvance returns by how much the clock is ahead of the reading at least at a later time: at the slowest allowed rate.
func (r clockReading) leastAdvance(at time.Duration) int64 {
	return int64(float64((at - r.at).Milliseconds()) * slowestClockRate)
}

// lowerBound returns a lower bound of the clock at a time after the reading.
func (r clockReading) lowerBound(at time.Duration) int64 { return r.ms + r.leastAdvance(at) }

// disprovedBy tells whether the answer to a call contradicts the reading. The answer to a call that was sent before the
// reading arrived may show an earlier time.
func (r clockReading) disprovedBy(clockMS int64, sentAt time.Duration) bool {
	return r.known() && sentAt >= r.at && clockMS-r.ms < r.leastAdvance(sentAt)
}

// hasClock tells whether leases can be granted.
func (s *session) hasClock() bool { return s.clock.known() }

// needsClock tells whether a hold is to ask for the clock before work is placed on the worker. After a report, it need not:
// the worker is probed anyway.
func (s *session) needsClock() bool {
	return !s.hasClock() && (s.everAnswered || !s.nextClock.known())
}

// clockReported stores the reading of a report while no answer has shown the clock. It bounds no lease until an answer
// confirms it.
func (s *session) clockReported(now time.Duration, clockMS int64) {
	if clockMS != 0 && !s.hasClock() {
		s.nextClock = clockReading{clockMS, now}
	}
}

// noteClockRegress handles the clock in the answer to a call that was sent at sentAt, if it is behind what an earlier answer has
// shown: the worker may have restarted under its identifier. Only lists tell the incarnation. Until the next ones, the worker
// gets no starts, and no cursor of the earlier incarnation, which would acknowledge ends that nobody has read.
func (s *session) noteClockRegress(now, sentAt time.Duration, clockMS int64) {
	if clockMS != 0 && s.clock.disprovedBy(clockMS, sentAt) {
		s.unidentified, s.regressedAt, s.holdNow = true, now, true
	}
}

// noteLists handles lists that answer a call that was sent at sentAt. Those that were asked for before the clock regressed may be
// of an earlier incarnation, delayed by a cut.
func (s *session) noteLists(sentAt time.Duration) {
	if sentAt >= s.regressedAt {
		s.unidentified = false
	}
}

// clockAnswered handles the reading in the answer to a call that was sent at sentAt. A reading that is too high would let a
// call that is carried out late grant a lease beyond the end that is reckoned with. Of two readings that contradict each other
// the lower one therefore counts, and until lateCallLimit is over, late calls may grant the longest lease.
func (s *session) clockAnswered(now, sentAt time.Duration, clockMS int64, longestLease time.Duration) {
	r := clockReading{clockMS, now}
	switch {
	case !r.known():
	case s.clock.disprovedBy(clockMS, sentAt):
		s.clock, s.nextClock, s.leaseUntilMS = r, r, 0
		s.earlierLeaseEnd = max(s.earlierLeaseEnd, lateLeaseEnd(now, longestLease))
	case s.nextClock.disprovedBy(clockMS, sentAt) && s.hasClock():
		s.nextClock = r
	case s.nextClock.known() && sentAt >= s.nextClock.at && !s.nextClock.disprovedBy(clockMS, sentAt):
		if !s.hasClock() || s.nextClock.ms >= s.clock.lowerBound(s.nextClock.at) {
			s.clock, s.unconfirmedLeaseEnd = s.nextClock, 0
		}
		s.nextClock = r
	case !s.hasClock():
		s.clock, s.nextClock = r, r
	}
}

// leaseEnd returns when all leases on the worker are certainly over, including those that earlier leaders granted.
func (s *session) leaseEnd() time.Duration {
	over := s.earlierLeaseEnd
	if s.hasClock() && s.leaseUntilMS > 0 {
		left := float64(s.leaseUntilMS-s.clock.ms) / slowestClockRate
		over = max(over, s.unconfirmedLeaseEnd, s.clock.at+time.Duration(left*float64(time.Millisecond)))
	}
	return over + leaseSlack
}

// longest returns how long a lease takes at most, on a monotonic clock here.
func longest(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) / slowestClockRate)
}

// lateCallLimit is how late a worker may carry out a call that was not answered.
const lateCallLimit = 12 * time.Second

// lateLeaseEnd returns when a lease is over at the latest that a call grants, if it is sent now and carried out late.
func lateLeaseEnd(now, lease time.Duration) time.Duration {
	return now + lateCallLimit + longest(lease)
}

// mayGetLateStarts notes that the worker may until then carry out starts that were meant for an earlier incarnation with
// its identifier, under leases that they grant.
func (s *session) mayGetLateStarts(now, lease time.Duration) {
	s.earlierLeaseEnd = max(s.earlierLeaseEnd, lateLeaseEnd(now, lease))
}

// silentAfter is for how long a worker may leave calls unanswered before its lease is no longer extended.
const silentAfter = 1200 * time.Millisecond

// unlistedShare is for which share of a lease a worker may answer holds without usable lists before its lease is no longer
// extended. A healthy answer within it renews the lease in time.
const unlistedShare = 0.5

// silent tells whether the worker has stopped answering, or to list what runs there. Its lease is then not extended, so that it
// ends and the tasks can start elsewhere.
func (s *session) silent(now, lease time.Duration) bool {
	unanswered := (s.failures > 0 || s.fenced || s.replaced) && now-max(s.answeredAt, s.refusedAt, s.createdAt) > silentAfter
	unlisted := s.refusedAt > 0 && now-max(s.listedAt, s.createdAt) > time.Duration(unlistedShare*float64(lease))
	return unanswered || unlisted
}

// ending tells whether the incarnation has ended, is about to end or takes no calls of this leader.
func (s *session) ending() bool { return s.forgetInFlight || s.leaving || s.replaced || s.fenced }
