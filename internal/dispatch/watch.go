package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Limits of the checks for gangs that do not start and attempts that make no progress.
const (
	// gangStartShare is the share of Options.GangWait after which an incomplete gang is stopped, before its members on the
	// workers give up and end with domain.OutcomeGangTimeout.
	gangStartShare = 0.5
	// An attempt may show no progress for stallBase and stallShare of its expected run time, at most for stallLimit, unless a
	// percent of it takes longer, see stallLimits. Holds
	// are answered every two seconds and show progress in whole percents, so a short attempt that stands still shows it
	// in the second list, and a long one on a worker that is ten times slower still makes a percent in time.
	stallBase  = 1200 * time.Millisecond
	stallShare = 0.3
	stallLimit = 5 * time.Second
	// maxStallDoublings is how many times the limits of a task double: once for each stop after the first. A task whose run
	// time was declared much too short could never end otherwise.
	maxStallDoublings = 8
	// nearlyDone is the progress in percent from which on only stallLimit counts: the work is done, or will be within the
	// time until the next list.
	nearlyDone = 98
)

// watchGangs stops gangs of which a member has not started in time.
func (l *Leader) watchGangs(now Time) {
	limit := time.Duration(float64(l.options.GangWait) * gangStartShare)
	for id, a := range l.unsettled {
		if a.startConfirmed || a.stopWanted || now.Mono-a.adoptedAt < limit {
			continue
		}
		if s := l.sessions[a.incarnation.ID]; a.inherited && (s == nil || !s.everAnswered) {
			continue // Its worker may be running it but has not answered yet. If the worker stays silent, the lease ends.
		}
		j := l.state.Job(id.Job)
		if j != nil && j.Spec.Steps[id.Step].Gang {
			l.abandon(a, "a member did not start in time")
		}
	}
}

// members returns the attempts of the step of a task.
func (l *Leader) members(id domain.TaskID) []*attemptState {
	j := l.state.Job(id.Job)
	if j == nil {
		return nil
	}
	var out []*attemptState
	for id.Index = range j.Spec.Steps[id.Step].Count {
		if a := l.attempts[id]; a != nil {
			out = append(out, a)
		}
	}
	return out
}

// endTogether returns the attempts that end if one does: all members of its gang, or itself.
func (l *Leader) endTogether(a *attemptState) []*attemptState {
	if l.isGang(a.task) {
		return l.members(a.task)
	}
	return []*attemptState{a}
}

// gangKey returns the identifier under which the members of a gang are counted together: that of the first one.
func (l *Leader) gangKey(id domain.TaskID) domain.TaskID {
	if l.isGang(id) {
		id.Index = 0
	}
	return id
}

// stallLimits returns for how long the lists of a worker may show no progress of an attempt, and for how long at most
// nothing may be seen of its progress.
func (l *Leader) stallLimits(a *attemptState) (listed, unseen time.Duration) {
	j := l.state.Job(a.task.Job)
	if j == nil {
		return stallLimit, stallLimit
	}
	step := &j.Spec.Steps[a.task.Step]
	run := milliseconds(l.runTimeMS(j, step))
	// The next percent of a long attempt takes longer than any fixed limit. Its queue may know short run times only.
	percent := max(a.timePerPercent, max(run, milliseconds(step.EstimateMS))/100)
	factor := time.Duration(1) << min(max(0, l.stalls[l.gangKey(a.task)]-1), maxStallDoublings)
	listed = max(min(stallLimit, stallBase+time.Duration(stallShare*float64(run))), 2*percent) * factor
	unseen = max(stallLimit, 2*percent+holdWaitMax) * factor
	return listed, unseen
}

// stalled reports whether an attempt shows no progress, and no other member of its gang does, although all of them run.
// The lists of a worker show it, or nothing has been seen of it for a longer time.
func (l *Leader) stalled(now Time, a *attemptState) bool {
	if now.Mono-a.progressAt < stallBase {
		return false
	}
	limit, unseen := l.stallLimits(a)
	if now.Mono-a.progressAt >= unseen {
		return !l.isGang(a.task) || !slices.ContainsFunc(l.members(a.task), func(m *attemptState) bool {
			return now.Mono-m.progressAt < unseen
		})
	}
	if a.pace < paceFull || a.percent >= nearlyDone {
		return false
	}
	if a.listedAt-a.progressAt < limit {
		return false
	}
	if !l.isGang(a.task) {
		return true
	}
	for _, m := range l.members(a.task) { // One whose share of the work is done waits for the others.
		if !m.startConfirmed || a.listedAt-m.confirmedAt < limit || m.listedAt-m.progressAt < limit {
			return false
		}
	}
	return true
}

// noteProgress notes what a worker lists of an attempt. A new checkpoint shows progress as well as a higher percentage.
func (l *Leader) noteProgress(now Time, a *attemptState, t RunningTask) {
	if t.Percent != a.percent {
		switch j := l.state.Job(a.task.Job); {
		case a.percent >= 0 && t.Percent > a.percent:
			a.timePerPercent = (now.Mono - a.progressAt) / time.Duration(t.Percent-a.percent)
		case a.percent < 0 && a.inherited && t.Percent > 0 && j != nil:
			a.timePerPercent = milliseconds(now.WallMS-j.Task(a.task).StartedMS) / time.Duration(t.Percent)
		}
		a.percent, a.progressAt = t.Percent, now.Mono
	}
	if t.Checkpoint != "" && t.Checkpoint != a.checkpoint {
		a.checkpoint, a.progressAt = t.Checkpoint, now.Mono
	}
}

// watchProgress stops attempts that make no progress. A gang is stopped as a whole.
func (l *Leader) watchProgress(now Time) {
	for id, a := range l.attempts {
		if !a.startConfirmed || a.stopWanted || !l.stalled(now, a) {
			continue
		}
		s := l.sessions[a.incarnation.ID]
		if s == nil || now.Mono-s.answeredAt > stallLimit/2 {
			a.progressAt = now.Mono // Progress cannot be observed. If the worker stays silent, the lease ends.
			continue
		}
		j := l.state.Job(id.Job)
		if j == nil || j.Spec.Steps[id.Step].LongRunning {
			continue
		}
		if a.pace < paceFull {
			l.abandon(a, "no progress at a reduced pace") // Another worker may have more unused processor time for it.
			continue
		}
		l.avoidMembers(now, a)
		l.stalls[l.gangKey(id)]++
		l.abandon(a, "no progress")
	}
}

// expireLeases declares all attempts on a silent worker lost once all leases that the worker can hold are over.
func (l *Leader) expireLeases(now Time) {
	for _, s := range l.sessions {
		w := l.state.Worker(s.incarnation.ID)
		if w == nil || w.Incarnation != s.incarnation || len(w.Attempts()) == 0 || s.endsInFlight || !s.silent(now.Mono, l.options.LeaseDuration) {
			continue
		}
		if now.Mono < s.leaseEnd() {
			continue
		}
		var ends []domain.AttemptEnd
		for id, attempt := range w.Attempts() {
			e := domain.AttemptEnd{Task: id, Attempt: attempt, Outcome: domain.OutcomeLost}
			if tracked := l.attempts[id]; tracked != nil {
				e.Checkpoint = tracked.checkpoint
				l.noteLost(now, tracked, "lease_over")
			}
			for _, x := range l.lateStarts[s.incarnation.ID] {
				x.lost = x.lost || (x.task == id && x.attempt == attempt)
			}
			ends = append(ends, e)
		}
		slices.SortFunc(ends, func(a, b domain.AttemptEnd) int { return a.Task.Compare(b.Task) })
		s.endsInFlight, s.lossInFlight = true, true
		l.reportBegun(now)
		l.options.Log("leases_over", "worker", s.incarnation.ID, "attempts", len(ends), "silent_ms", (now.Mono - s.answeredAt).Milliseconds(),
			"lease_until_ms", s.leaseUntilMS, "clock_ms", s.clock.lowerBound(now.Mono), "leads_ms", (now.Mono - l.beganAt).Milliseconds())
		l.propose(now, domain.Command{End: &domain.EndAttempts{Worker: s.incarnation, Ends: ends, OncePerRun: true, WithinRuns: true}})
	}
}

// forgetAfter is for how long a worker without attempts may neither answer nor report before it is forgotten. If it
// comes back, it registers anew. A report of a foreign entry counts for nothing: it is not called, so it cannot answer.
const forgetAfter = 30 * time.Second

// purgeEvery is the period at which ended jobs older than the retention are dropped.
const purgeEvery = 15 * time.Second

// housekeeping proposes to forget silent and replaced workers without attempts and to drop old ended jobs.
func (l *Leader) housekeeping(now Time) {
	for id, s := range l.sessions {
		w := l.state.Worker(id)
		if w == nil || w.Incarnation != s.incarnation || len(w.Attempts()) > 0 {
			continue
		}
		heard := max(s.answeredAt, s.reportedAt)
		if l.foreign(w) {
			heard = s.answeredAt
		}
		if now.Mono-heard > forgetAfter || s.replaced || l.claimedSilent(now, s) {
			l.forget(now, s)
		}
	}
	l.dropLateStarts(now)
	l.dropLateAcks(now)
	maps.DeleteFunc(l.leaseEnds, func(_ domain.WorkerIncarnation, end time.Duration) bool { return end <= now.Mono })
	if now.Mono >= l.nextPurgeAt {
		l.nextPurgeAt = now.Mono + purgeEvery
		l.propose(now, domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: now.WallMS - l.options.Retention.Milliseconds(), NewEpoch: true}})
	}
}
