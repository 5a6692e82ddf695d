package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

// vacatedFor is how long a worker on which urgent work was stopped for a guarantee is kept for guaranteed work, after the stop and
// after each guaranteed attempt that ends there. Otherwise what was stopped would start there and be stopped again for the next
// job within the guarantee. Work may not wait for 3 s beside room for it.
const vacatedFor = 2 * time.Second

// markGuaranteed marks the units of urgent jobs that fit into the guarantee of their workspace, counted in the order of
// acceptance, and the units that may preempt.
func (l *Leader) markGuaranteed(units []*placement.Unit) {
	need := map[string]int64{}
	l.guaranteed = map[domain.JobID]bool{}
	var urgent []*domain.Job
	for j := range l.openJobs() {
		if j.Spec.Priority == 0 && len(j.Occurrences) > 0 {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *domain.Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, j := range urgent {
		need[j.Spec.Workspace] += acceleratorNeed(j)
		l.guaranteed[j.Spec.ID] = need[j.Spec.Workspace] <= l.state.Guarantee(j.Spec.Workspace)
	}
	for _, u := range units {
		u.Guaranteed = l.guaranteed[u.Job.Spec.ID]
		u.Excess = l.excess.jobs[u.Job.Spec.ID]
		// Expired work and excess are placed last: the work that they preempted would start again before them.
		u.MayPreempt = u.Job.Spec.Priority == 0 && (u.Guaranteed || !u.Expired && !u.Excess)
	}
}

// acceleratorNeed returns the accelerators that a job would take if all its steps ran at once, an upper bound of its
// need.
func acceleratorNeed(j *domain.Job) int64 {
	var n int64
	for i := range j.Spec.Steps {
		n += int64(j.Spec.Steps[i].Count) * j.Spec.Steps[i].Task.Accelerators
	}
	return n
}

// noteUrgentStopped notes that an urgent attempt is stopped for a guarantee.
func (l *Leader) noteUrgentStopped(now Time, a *attemptState) {
	l.reclaims[l.gangKey(a.task)]++
	l.session(a.incarnation, now).vacatedUntil = now.Mono + vacatedFor
}

// noteVacatedUse notes that an attempt begins or ends on a worker that was vacated for a guarantee. The worker stays so for as
// long as guaranteed work uses it.
func (l *Leader) noteVacatedUse(now Time, a *attemptState) {
	s := l.sessions[a.incarnation.ID]
	if s == nil || s.vacatedUntil == 0 {
		return
	}
	if a.guaranteed {
		s.vacatedUntil = now.Mono + vacatedFor
	} else if now.Mono >= s.vacatedUntil {
		s.vacatedUntil = 0
	}
}

// vacated tells whether only guaranteed work may start on a worker.
func (l *Leader) vacated(now Time, worker string) bool {
	s := l.sessions[worker]
	return s != nil && now.Mono < s.vacatedUntil
}
