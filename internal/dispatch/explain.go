package dispatch

import (
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Reasons why a task of a step does not start on a worker, as counted by Blockers.
const (
	ReasonOtherPool   = "other_pool"
	ReasonLabel       = "label_missing"
	ReasonNotAdvised  = "not_advised"
	ReasonDraining    = "draining"
	ReasonZoneOut     = "zone_out"
	ReasonUpkeep      = "upkeep"
	ReasonSilent      = "silent"  // The worker does not answer or does not report.
	ReasonAvoided     = "avoided" // Attempts failed there recently.
	ReasonTooSmall    = "too_small"
	ReasonQuota       = "quota" // The maximum of the workspace keeps the step from running.
	ReasonNoRoom      = "no_room"
	ReasonSpread      = "spread_limit"
	ReasonVacated     = "kept_for_guarantee" // Work was stopped there for a guarantee a short time ago.
	ReasonHasRoom     = "has_room"           // Kept for urgent work, reserved for a gang, or too little for a whole gang.
	ReasonSuspectZone = "zone_seems_cut_off" // More workers of its zone fail to answer than answer.
)

// Blockers counts the workers by the reason why a task of a step does not start on them.
//
// Steps of a preview are judged as they are after the starts of its plan.
func (l *Leader) Blockers(now Time, j *domain.Job, occurrence, step int) map[string]int {
	out := map[string]int{}
	key := stepKey{j.Spec.ID, occurrence, step}
	allowed := l.allowed(now, j, key)
	suspect := l.suspectZones(now)
	for _, w := range l.state.Workers() {
		out[l.blocker(now, j, key, w, allowed, suspect)]++
	}
	return out
}

// blocker returns the reason why a task of a step does not start on a worker.
func (l *Leader) blocker(now Time, j *domain.Job, key stepKey, w *domain.Worker, allowed, suspect map[string]bool) string {
	step := &j.Spec.Steps[key.step]
	s := l.sessions[w.Incarnation.ID]
	switch {
	case w.Pool != j.Spec.Pool:
		return ReasonOtherPool
	case step.Label != "" && !slices.Contains(w.Labels, step.Label):
		return ReasonLabel
	case !step.Demand().Fits(w.Capacity):
		return ReasonTooSmall
	case w.Draining:
		return ReasonDraining
	case l.state.ZoneOut(w.Zone):
		return ReasonZoneOut
	case l.inUpkeep(w):
		return ReasonUpkeep
	case s != nil && now.Mono < s.avoidUntil:
		return ReasonAvoided
	case !l.usable(now, w):
		return ReasonSilent
	case suspect[w.Zone]:
		return ReasonSuspectZone
	case allowed != nil && !allowed[w.Incarnation.ID]:
		return ReasonNotAdvised
	case l.atMax(j, key.step):
		return ReasonQuota
	case !step.Demand().Fits(w.Free().Minus(l.preview.startsOn(w.Incarnation.ID))):
		return ReasonNoRoom
	case l.vacated(now, w.Incarnation.ID) && !l.guaranteed[j.Spec.ID]:
		return ReasonVacated
	case step.PerWorkerLimit > 0 && l.countStep(w, key)+l.preview.tasksOn(key, w.Incarnation.ID) >= step.PerWorkerLimit:
		return ReasonSpread
	}
	return ReasonHasRoom
}

// WaitedMS returns for how long the tasks of a step have waited for workers, 0 if they do not wait.
func (l *Leader) WaitedMS(now Time, j *domain.Job, occurrence, step int) int64 {
	since, waiting := l.readySinceMS[stepKey{j.Spec.ID, occurrence, step}]
	if !waiting {
		return 0
	}
	return now.WallMS - since
}
