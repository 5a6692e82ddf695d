package dispatch

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Limits of the search for attempts that do not get going or stand still.
const (
	// gangStartShare is the share of the members' wait for each other after which a gang that is not complete is
	// stopped, so that the others do not end as alone.
	gangStartShare = 0.5
	// stallLimit is how long an attempt may show no progress. Looks come every two seconds and show whole percents.
	stallLimit = 5 * time.Second
)

// watchGangs stops the gangs of which a member did not start in time.
func (l *Leader) watchGangs(now Time) {
	limit := time.Duration(float64(l.options.GangWait) * gangStartShare)
	for id, a := range l.unsettled {
		if a.startConfirmed || a.stopWanted || now.Mono-a.adoptedAt < limit {
			continue
		}
		if s := l.sessions[a.life.ID]; a.inherited && (s == nil || !s.everAnswered) {
			continue // Its worker has not told yet; the lease decides about one that is silent.
		}
		j := l.state.Job(id.Job)
		if j != nil && j.Spec.Steps[id.Step].Gang {
			l.stopGang(id, "a member did not start in time")
		}
	}
}

// stopGang asks for the end of all members of an attempt.
func (l *Leader) stopGang(id domain.TaskID, reason string) {
	for t, a := range l.attempts {
		if keyOf(t) == keyOf(id) {
			l.requestStop(a, reason)
		}
	}
}

// watchProgress stops attempts that stand still. A gang ends as a whole.
func (l *Leader) watchProgress(now Time) {
	for id, a := range l.attempts {
		if !a.startConfirmed || a.stopWanted || now.Mono-a.progressAt < stallLimit {
			continue
		}
		s := l.sessions[a.life.ID]
		if s == nil || now.Mono-s.answeredAt > stallLimit/2 {
			a.progressAt = now.Mono // Not observed; the lease decides about a silent worker.
			continue
		}
		j := l.state.Job(id.Job)
		if j == nil || j.Spec.Steps[id.Step].LongRunning {
			continue
		}
		if a.pace < paceFull {
			l.abandon(a, "paced down") // Another worker may have room for it.
			continue
		}
		s.avoid(now.Mono)
		l.abandon(a, "no progress")
	}
}

// Times for which a worker is avoided after failures.
const (
	avoidFirst = 2500 * time.Millisecond // About one short task.
	avoidMax   = 10 * time.Second
)

// avoid avoids a worker for a while, twice as long after each further failure.
func (s *session) avoid(now time.Duration) {
	s.failedInARow++
	s.avoidUntil = now + min(avoidMax, avoidFirst<<min(s.failedInARow-1, 4))
}

// expireLeases concludes that a worker runs nothing any more once all leases that it can hold are over.
func (l *Leader) expireLeases(now Time) {
	for _, s := range l.sessions {
		w := l.state.Worker(s.life.ID)
		if w == nil || w.Life != s.life || len(w.Attempts()) == 0 || s.endsInFlight || !s.silent(now.Mono) {
			continue
		}
		if now.Mono < s.leaseEnd(l.options.Lease) {
			continue
		}
		var ends []domain.AttemptEnd
		for id, attempt := range w.Attempts() {
			e := domain.AttemptEnd{Task: id, Attempt: attempt, Outcome: domain.OutcomeLost}
			if tracked := l.attempts[id]; tracked != nil {
				e.Saved = tracked.checkpoint
			}
			ends = append(ends, e)
		}
		slices.SortFunc(ends, func(a, b domain.AttemptEnd) int { return a.Task.Compare(b.Task) })
		s.endsInFlight, s.lossInFlight = true, true
		l.options.Log("leases_over", "worker", s.life.ID, "attempts", len(ends), "silent_ms", (now.Mono - s.answeredAt).Milliseconds())
		l.propose(now, domain.Command{End: &domain.EndAttempts{Worker: s.life, Ends: ends}})
	}
}

// releaseDueOccurrences makes occurrences due.
func (l *Leader) releaseDueOccurrences(now Time) {
	for id, j := range l.state.Open() {
		n := len(j.Occurrences)
		if j.Spec.RepeatCount == 0 || n >= j.Spec.Occurrences() {
			continue
		}
		limit := now.WallMS + l.options.Early.Milliseconds()
		due := n
		for due < j.Spec.Occurrences() && j.Spec.DueMS(due) <= limit {
			due++
		}
		if due > n && !l.releaseInFlight(id) {
			l.readySinceMS[stepKey{id, -1, due}] = now.WallMS
			l.propose(now, domain.Command{Release: &domain.ReleaseOccur{Job: id, Count: due}})
		}
	}
}

// releaseInFlight tells whether a command for the next occurrences may still be under way. Its key marks it in ready.
func (l *Leader) releaseInFlight(id domain.JobID) bool {
	j := l.state.Job(id)
	_, marked := l.readySinceMS[stepKey{id, -1, len(j.Occurrences) + 1}]
	return marked
}

// forgetAfter is how long a worker without attempts may be silent before it is forgotten: it then registers anew.
const forgetAfter = 30 * time.Second

// purgeEvery is the period of dropping ended jobs.
const purgeEvery = 15 * time.Second

func (l *Leader) housekeeping(now Time) {
	for id, s := range l.sessions {
		w := l.state.Worker(id)
		quiet := now.Mono-max(s.answeredAt, s.reportedAt) > forgetAfter
		if w != nil && w.Life == s.life && quiet && len(w.Attempts()) == 0 && !s.forgetInFlight {
			s.forgetInFlight = true
			l.propose(now, domain.Command{Forget: &domain.ForgetWorker{Life: s.life}})
		}
	}
	if now.Mono >= l.nextPurgeAt {
		l.nextPurgeAt = now.Mono + purgeEvery
		l.propose(now, domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: now.WallMS - l.options.Retention.Milliseconds()}})
	}
}
