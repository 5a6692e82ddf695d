package dispatch

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Limits of the search for attempts that do not get going or stand still.
const (
	// gangStartLimit is the share of the members' wait for each other after which a gang that is not complete is
	// stopped, so that the others do not end as alone.
	gangStartLimit = 0.5
	// stallLimit is how long an attempt may show no progress. Looks come every two seconds and show whole percents.
	stallLimit = 5 * time.Second
)

// watchGangs stops the gangs of which a member did not start in time.
func (l *Leader) watchGangs(now Time) {
	limit := time.Duration(float64(l.o.GangWait) * gangStartLimit)
	for id, x := range l.active {
		if x.started || x.stop || now.Mono-x.begun < limit {
			continue
		}
		if s := l.sessions[x.life.ID]; x.inherited && (s == nil || !s.everHeard) {
			continue // Its worker has not told yet; the lease decides about one that is silent.
		}
		j := l.m.Job(id.Job)
		if j != nil && j.Spec.Steps[id.Step].Gang {
			l.stopGang(id, "a member did not start in time")
		}
	}
}

// stopGang asks for the end of all members of an attempt.
func (l *Leader) stopGang(id domain.TaskID, why string) {
	for t, x := range l.orders {
		if keyOf(t) == keyOf(id) {
			l.want(x, why)
		}
	}
}

// watchProgress stops attempts that stand still. A gang ends as a whole.
func (l *Leader) watchProgress(now Time) {
	for id, x := range l.orders {
		if !x.started || x.stop || now.Mono-x.progress < stallLimit {
			continue
		}
		s := l.sessions[x.life.ID]
		if s == nil || now.Mono-s.heard > stallLimit/2 {
			x.progress = now.Mono // Not observed; the lease decides about a silent worker.
			continue
		}
		j := l.m.Job(id.Job)
		if j == nil || j.Spec.Steps[id.Step].LongRunning {
			continue
		}
		if x.pace < paceFull {
			l.abandon(x, "paced down") // Another worker may have room for it.
			continue
		}
		s.blame(now.Mono)
		l.abandon(x, "no progress")
	}
}

// Times for which a worker is avoided after failures.
const (
	avoidFirst = 2500 * time.Millisecond // About one short task.
	avoidMost  = 10 * time.Second
)

// blame avoids a worker for a while, twice as long after each further failure.
func (s *session) blame(now time.Duration) {
	s.failed++
	s.avoidUntil = now + min(avoidMost, avoidFirst<<min(s.failed-1, 4))
}

// lapse concludes that a worker runs nothing any more once all leases that it can hold are over.
func (l *Leader) lapse(now Time) {
	for _, s := range l.sessions {
		w := l.m.Worker(s.life.ID)
		if w == nil || w.Life != s.life || len(w.Attempts()) == 0 || s.ending || !s.silent(now.Mono) {
			continue
		}
		if now.Mono < s.leaseOver(l.o.Lease) {
			continue
		}
		var ends []domain.AttemptEnd
		for id, attempt := range w.Attempts() {
			e := domain.AttemptEnd{Task: id, Attempt: attempt, Outcome: domain.OutcomeLost}
			if x := l.orders[id]; x != nil {
				e.Saved = x.saved
			}
			ends = append(ends, e)
		}
		slices.SortFunc(ends, func(a, b domain.AttemptEnd) int { return a.Task.Compare(b.Task) })
		s.ending, s.lapsing = true, true
		l.o.Log("leases_over", "worker", s.life.ID, "attempts", len(ends), "silent_ms", (now.Mono - s.heard).Milliseconds())
		l.propose(now, domain.Command{End: &domain.EndAttempts{Worker: s.life, Ends: ends}})
	}
}

// release makes occurrences due.
func (l *Leader) release(now Time) {
	for id, j := range l.m.Open() {
		n := len(j.Occurrences)
		if j.Spec.RepeatCount == 0 || n >= j.Spec.Occurrences() {
			continue
		}
		limit := now.WallMS + l.o.Early.Milliseconds()
		due := n
		for due < j.Spec.Occurrences() && j.Spec.DueMS(due) <= limit {
			due++
		}
		if due > n && !l.releasing(id) {
			l.ready[stepKey{id, -1, due}] = now.WallMS
			l.propose(now, domain.Command{Release: &domain.ReleaseOccur{Job: id, Count: due}})
		}
	}
}

// releasing tells whether a command for the next occurrences may still be under way. Its key marks it in ready.
func (l *Leader) releasing(id domain.JobID) bool {
	j := l.m.Job(id)
	_, marked := l.ready[stepKey{id, -1, len(j.Occurrences) + 1}]
	return marked
}

// forgetAfter is how long a worker without attempts may be silent before it is forgotten: it then registers anew.
const forgetAfter = 30 * time.Second

// purgeEvery is the period of dropping ended jobs.
const purgeEvery = 15 * time.Second

func (l *Leader) housekeeping(now Time) {
	for id, s := range l.sessions {
		w := l.m.Worker(id)
		quiet := now.Mono-max(s.heard, s.reported) > forgetAfter
		if w != nil && w.Life == s.life && quiet && len(w.Attempts()) == 0 && !s.released {
			s.released = true
			l.propose(now, domain.Command{Forget: &domain.ForgetWorker{Life: s.life}})
		}
	}
	if now.Mono >= l.purgeAt {
		l.purgeAt = now.Mono + purgeEvery
		l.propose(now, domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: now.WallMS - l.o.Retention.Milliseconds()}})
	}
}
