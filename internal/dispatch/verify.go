package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// maxFencedVerifications bounds the verifications of a worker that refuses the fencing token of this leader: it is not to be
// called again and again.
const maxFencedVerifications = 3

// Verify calls a registered worker because a report claims its address or its identifier for another incarnation. A report alone
// does not show that the worker has ended: it may come from another writer, or name a wrong address, while the worker runs on. An
// answer of another incarnation at its address does, and removes it. The call extends no lease and acknowledges no end, so it
// harms neither incarnation.
func (l *Leader) Verify(now Time, incarnation domain.WorkerIncarnation) {
	w := l.state.Worker(incarnation.ID)
	if w == nil || w.Incarnation != incarnation {
		return
	}
	s := l.session(incarnation, now)
	if s.verifying || s.forgetInFlight || now.Mono < s.nextVerifyAt || (s.fenced && s.verifications >= maxFencedVerifications) {
		return
	}
	s.verifying, s.verifySentAt = true, now.Mono
	s.verifications++
	s.holdsInFlight++
	l.holdsInFlight[incarnation.ID]++
	l.sendCall(now, w, Call{Kind: CallHold})
	p := l.callsInFlight[l.lastCallID]
	p.verifies = true
	l.callsInFlight[l.lastCallID] = p
}

// verified notes the answer to a verification.
func (l *Leader) verified(now Time, s *session, p pendingCall, r Reply) {
	s.verifying, s.nextVerifyAt = false, now.Mono+retryFirst
	if r.Status == OK && r.HasLists && (r.BornMS == 0 || s.incarnation.BornMS == 0 || r.BornMS == s.incarnation.BornMS) {
		s.verifiedAt = p.sentAt
	}
}

// claimedSilent tells whether the address or the identifier of a worker is claimed for another incarnation, while the worker
// itself neither answers nor reports.
func (l *Leader) claimedSilent(now Time, s *session) bool {
	return s.verifications > 0 && now.Mono-s.verifySentAt < 2*l.options.ReportPeriod && s.failures > 0 && l.unheard(now, s) > l.reportLimit()
}

// VerifiedSince reports whether a worker has answered a verification that was sent at a time or later: then it has not ended.
func (l *Leader) VerifiedSince(incarnation domain.WorkerIncarnation, since time.Duration) bool {
	s := l.sessions[incarnation.ID]
	return s != nil && s.incarnation == incarnation && s.verifiedAt > 0 && s.verifiedAt >= since
}
