package placement

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// acceleratorCores is the price of an accelerator in cores, by which the costs of preemptions are compared.
const acceleratorCores = 8

// Weights of the cost of a stop.
const (
	atRiskWeight     = 3  // The job of the attempt misses its objective because of the stop.
	urgentStopWeight = 10 // The attempt is urgent.
)

// StopUrgentAfterMS is how long guaranteed work waits before it stops urgent work that is beyond the guarantee of its own
// workspace. Most of that is short and ends by itself, and a stop and a start still fit into the bound of a guarantee.
const StopUrgentAfterMS = 1000

// mayStop tells whether an attempt may be stopped for a unit: work of lower priority for any unit, urgent work only for
// a guarantee.
func (d *decision) mayStop(u *Unit, t *RunningAttempt) bool {
	return t.Priority > u.Job.Spec.Priority || (d.stopsUrgent && !t.Guaranteed)
}

// alsoStoppingUrgent calls preempt, and if it does not make all the room for a guaranteed unit, calls it again with urgent
// attempts among those that may be stopped.
func (d *decision) alsoStoppingUrgent(u *Unit, preempt func() bool) bool {
	if preempt() {
		return true
	}
	if d.stopsUrgent || !u.Guaranteed || u.WaitedMS < StopUrgentAfterMS {
		return false
	}
	d.stopsUrgent = true
	defer func() { d.stopsUrgent = false }()
	return preempt()
}

// preemptForTasks stops attempts to make room for tasks that have none, if their unit may preempt. The capacity that is
// being freed is withheld from units that come later in the order.
func (d *decision) preemptForTasks(u *Unit, indexes []int, demand domain.Resources) {
	if !u.MayPreempt {
		return
	}
	first := indexes[0] // It was checked before against the maximum of its workspace.
	d.alsoStoppingUrgent(u, func() bool {
		search := d.newVacancySearch(u, d.preemptionSlots(u), demand)
		for ; len(indexes) > 0; indexes = indexes[1:] {
			if indexes[0] != first && d.atMax(u, 0, 1) {
				return true // Stops make no room below the maximum.
			}
			i := search.cheapest()
			if i < 0 || d.tooCostly(u, search.prices[i], 1) {
				return false
			}
			s := search.slots[i]
			d.preempt(u.task(indexes[0]), s, d.victims(u, s, demand))
			d.allocate(u, s, demand)
			search.changed(i)
		}
		return true
	})
}

// preemptForGang stops attempts to make room for all members.
func (d *decision) preemptForGang(u *Unit) {
	if u.MayPreempt && u.WaitedMS >= PreemptAfterWaitMS {
		d.alsoStoppingUrgent(u, func() bool { return d.preemptForMembers(u) })
	}
}

// preemptForMembers stops attempts to make room for all members of a gang, or stops none and returns false. A gang that still
// waits for one rack gets the rack in which that discards the least work.
func (d *decision) preemptForMembers(u *Unit) bool {
	groups := [][]*slot{d.preemptionSlots(u)}
	if u.step().SameRack && u.WaitedMS < d.preferredRackWaitMS(u) && d.someRackFitsWhenEmpty(u) {
		groups = groups[:0]
		for _, rack := range d.rackNames {
			groups = append(groups, d.racks[rack])
		}
	}
	var best []vacancy
	var bestCost int64
	for _, slots := range groups {
		vacancies, cost := d.vacanciesForGang(u, slots)
		if vacancies != nil && (best == nil || cost < bestCost) {
			best, bestCost = vacancies, cost
		}
	}
	if best == nil || d.tooCostly(u, bestCost, len(u.Indexes)) {
		return false
	}
	demand := u.step().Demand()
	for i, r := range best {
		d.preempt(u.task(u.Indexes[i]), r.slot, r.victims)
		d.allocate(u, r.slot, demand)
	}
	return true
}

// preemptionSlots returns the workers on which a unit may preempt: those in the rack of its data as long as waiting for
// that rack is faster than running elsewhere, then all.
func (d *decision) preemptionSlots(u *Unit) []*slot {
	if rack := u.step().DataRack; rack != "" && u.WaitedMS < d.preferredRackWaitMS(u) && len(d.racks[rack]) > 0 {
		return d.racks[rack]
	}
	return d.slots
}

// vacancy is a worker that has room for one task once the victims on it have ended.
type vacancy struct {
	slot    *slot
	victims []RunningAttempt
}

// vacanciesForGang returns a vacancy for each member and the cost of all stops, or nil if there is none for some
// member. It changes slots and preempted while it searches, and restores them.
func (d *decision) vacanciesForGang(u *Unit, slots []*slot) ([]vacancy, int64) {
	demand := u.step().Demand()
	var vacancies []vacancy
	var cost int64
	defer func() {
		for _, r := range vacancies {
			for _, v := range r.victims {
				delete(d.preempted, v.Task)
				r.slot.future = r.slot.future.Minus(v.Demand)
			}
			d.release(u, r.slot, demand)
		}
	}()
	search := d.newVacancySearch(u, slots, demand)
	for range u.Indexes {
		i := search.cheapest()
		if i < 0 {
			return nil, 0
		}
		s := search.slots[i]
		victims := d.victims(u, s, demand)
		for _, v := range victims {
			d.preempted[v.Task] = true
			s.future = s.future.Plus(v.Demand)
			cost += v.cost()
		}
		d.allocate(u, s, demand)
		vacancies = append(vacancies, vacancy{s, victims})
		search.changed(i)
	}
	return slices.Clone(vacancies), cost
}

// vacancySearch finds the workers on which the least work is discarded for the tasks of a unit, one after the other. It
// keeps the price of each worker, which changes only where a task is placed.
type vacancySearch struct {
	decision *decision
	unit     *Unit
	slots    []*slot
	demand   domain.Resources
	prices   []int64 // By slot, noVacancy if no attempts can make room.
}

// noVacancy is the price of a worker on which no stops make room.
const noVacancy = -1

func (d *decision) newVacancySearch(u *Unit, slots []*slot, demand domain.Resources) *vacancySearch {
	v := &vacancySearch{d, u, slots, demand, make([]int64, len(slots))}
	for i := range slots {
		v.prices[i] = v.price(i)
	}
	return v
}

// price returns the cost of the stops that make room for one task on a worker, or noVacancy.
func (v *vacancySearch) price(i int) int64 {
	s := v.slots[i]
	if !v.demand.Fits(s.Total) || !v.decision.eligible(v.unit, s) || v.decision.roomBySpreadLimit(v.unit, s) <= 0 {
		return noVacancy
	}
	cost := int64(0)
	if !v.decision.eachVictim(v.unit, s, v.demand, func(t *RunningAttempt) { cost += t.cost() }) {
		return noVacancy
	}
	return cost
}

// cheapest returns the index of the worker with the lowest price, -1 if none has a vacancy.
func (v *vacancySearch) cheapest() int {
	best := -1
	for i, p := range v.prices {
		if p != noVacancy && (best < 0 || p < v.prices[best]) {
			best = i
		}
	}
	return best
}

// changed updates the prices after a task was placed on a worker. A limited disruption budget, or a unit for which empty
// workers are withheld, ties the prices of all workers together.
func (v *vacancySearch) changed(i int) {
	if !v.decision.limitedDisruption && v.unit.Job.Spec.Priority == 0 {
		v.prices[i] = v.price(i)
		return
	}
	for i := range v.slots {
		v.prices[i] = v.price(i)
	}
}

// eachVictim calls do for the cheapest attempts on a worker that may be stopped for a unit, in the order of cost, until their
// end makes a demand fit. It returns false if that never happens.
func (d *decision) eachVictim(u *Unit, s *slot, demand domain.Resources, do func(*RunningAttempt)) bool {
	future := s.future
	if demand.Fits(future) {
		return true
	}
	attempts := d.attempts(s)
	for i := range attempts {
		t := &attempts[i]
		if !d.mayStop(u, t) || t.Stopping || d.preempted[t.Task] || !d.withinDisruptionBudget(*t) {
			continue
		}
		do(t)
		future = future.Plus(t.Demand)
		if demand.Fits(future) {
			return true
		}
	}
	return false
}

// victims returns the attempts to stop on a worker so that a demand fits.
func (d *decision) victims(u *Unit, s *slot, demand domain.Resources) []RunningAttempt {
	var out []RunningAttempt
	d.eachVictim(u, s, demand, func(t *RunningAttempt) { out = append(out, *t) })
	return out
}

// withinDisruptionBudget tells whether one more task of an attempt's step may be stopped, besides those stopped so far.
func (d *decision) withinDisruptionBudget(t RunningAttempt) bool {
	if t.DisruptionBudget == Unlimited {
		return true
	}
	stopped := 0
	for id := range d.preempted {
		if id.Job == t.Task.Job && id.Occurrence == t.Task.Occurrence && id.Step == t.Task.Step {
			stopped++
		}
	}
	return stopped < t.DisruptionBudget
}

// attempts returns the attempts on a worker, the cheapest to stop first. It asks the view only once for each worker.
func (d *decision) attempts(s *slot) []RunningAttempt {
	if !s.attemptsKnown {
		s.attempts, s.attemptsKnown = slices.Clone(d.view.AttemptsOn(s.Worker)), true
		slices.SortStableFunc(s.attempts, func(a, b RunningAttempt) int { return cmp.Compare(a.cost(), b.cost()) })
		for i := range s.attempts {
			d.limitedDisruption = d.limitedDisruption || s.attempts[i].DisruptionBudget != Unlimited
		}
	}
	return s.attempts
}

// preemptionIdleMS is the time that a stop costs besides the unsaved work: the capacity is idle until the next attempt
// begins.
const preemptionIdleMS = 400

// cost returns the core-milliseconds that a stop discards. It is never 0, so that fewer stops are better. The other
// members of a gang count too, since they end with the stopped one.
func (r RunningAttempt) cost() int64 {
	c := (r.UnsavedMS + preemptionIdleMS) * cores(r.Demand) * int64(max(1, r.Members))
	if r.AtRisk {
		c *= atRiskWeight
	}
	if r.Priority == 0 {
		c *= urgentStopWeight
	}
	return c * int64(1+r.Reclaims) // Otherwise work that has just started again would be stopped each time.
}

// cores returns the cores that a demand counts as when costs are compared.
func cores(r domain.Resources) int64 { return r.CPU/1000 + acceleratorCores*r.Accelerators + 1 }

// preempt adds the stops of the victims to the plan and counts what they free as future capacity of the worker, which
// the caller then allocates to its unit.
func (d *decision) preempt(by domain.TaskID, s *slot, victims []RunningAttempt) {
	for _, v := range victims {
		d.preempted[v.Task] = true
		d.countPreempted(v)
		s.future = s.future.Plus(v.Demand)
		d.plan.Preemptions = append(d.plan.Preemptions, Preemption{Task: v.Task, For: by})
	}
}
