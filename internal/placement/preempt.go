package placement

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// acceleratorCores is the price of an accelerator in cores, by which the costs of preemptions are compared.
const acceleratorCores = 8

// atRiskWeight multiplies the cost of stopping an attempt whose job misses its objective because of the stop.
const atRiskWeight = 3

// preemptForTasks stops attempts to make room for tasks that have none, if their unit may preempt. The capacity that is
// being freed is withheld from units that come later in the order.
func (d *decision) preemptForTasks(u *Unit, indexes []int, demand domain.Resources) {
	if !u.MayPreempt {
		return
	}
	for _, index := range indexes {
		s, victims := d.cheapestVacancy(u, d.preemptionSlots(u), demand)
		if s == nil {
			return
		}
		d.preempt(u.task(index), s, victims)
		d.allocate(u, s, demand)
	}
}

// preemptForGang stops attempts to make room for all members. A gang that still waits for one rack gets the rack in
// which that discards the least work.
func (d *decision) preemptForGang(u *Unit) {
	if !u.MayPreempt || u.WaitedMS < preemptAfterWaitMS {
		return
	}
	groups := [][]*slot{d.preemptionSlots(u)}
	if u.step().SameRack && u.WaitedMS < d.preferredRackWaitMS(u) && d.someRackFitsWhenEmpty(u) {
		groups = groups[:0]
		for _, rack := range d.rackNames() {
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
	demand := u.step().Demand()
	for i, r := range best {
		d.preempt(u.task(u.Indexes[i]), r.slot, r.victims)
		d.allocate(u, r.slot, demand)
	}
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
	for range u.Indexes {
		s, victims := d.cheapestVacancy(u, slots, demand)
		if s == nil {
			return nil, 0
		}
		for _, v := range victims {
			d.preempted[v.Task] = true
			s.future = s.future.Plus(v.Demand)
			cost += v.cost()
		}
		d.allocate(u, s, demand)
		vacancies = append(vacancies, vacancy{s, victims})
	}
	return slices.Clone(vacancies), cost
}

// cheapestVacancy returns the worker on which the least work is discarded for a task to fit, with the attempts to stop,
// or nil if there is none.
func (d *decision) cheapestVacancy(u *Unit, slots []*slot, demand domain.Resources) (*slot, []RunningAttempt) {
	var best *slot
	var bestVictims []RunningAttempt
	var bestCost int64
	for _, s := range slots {
		if !d.eligible(u, s) || d.roomBySpreadLimit(u, s) <= 0 {
			continue
		}
		victims, cost, ok := d.victims(u, s, demand)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = s, victims, cost
		}
	}
	return best, bestVictims
}

// victims returns the cheapest attempts of lower priority on a worker whose end makes a demand fit, and their cost.
// It takes them in the order of cost until the demand fits, and reports false if it never does.
func (d *decision) victims(u *Unit, s *slot, demand domain.Resources) ([]RunningAttempt, int64, bool) {
	future := s.future
	if demand.Fits(future) {
		return nil, 0, true
	}
	var candidates []RunningAttempt
	for _, t := range d.attempts(s) {
		if t.Priority > u.Job.Spec.Priority && !t.Stopping && !d.preempted[t.Task] && d.withinDisruptionBudget(t) {
			candidates = append(candidates, t)
		}
	}
	slices.SortStableFunc(candidates, func(a, b RunningAttempt) int { return cmp.Compare(a.cost(), b.cost()) })
	var out []RunningAttempt
	var cost int64
	for _, t := range candidates {
		out = append(out, t)
		cost += t.cost()
		future = future.Plus(t.Demand)
		if demand.Fits(future) {
			return out, cost, true
		}
	}
	return nil, 0, false
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

// attempts returns the attempts on a worker. It asks the view only once for each worker.
func (d *decision) attempts(s *slot) []RunningAttempt {
	if !s.attemptsKnown {
		s.attempts, s.attemptsKnown = d.view.AttemptsOn(s.Worker), true
	}
	return s.attempts
}

// preemptionIdleMS is the time that a stop costs besides the unsaved work: the capacity is idle until the next attempt
// begins.
const preemptionIdleMS = 400

// cost returns the core-milliseconds that a stop discards. It is never 0, so that fewer stops are better. The other
// members of a gang count too, since they end with the stopped one.
func (r RunningAttempt) cost() int64 {
	cores := r.Demand.CPU/1000 + acceleratorCores*r.Demand.Accelerators + 1
	c := (r.UnsavedMS + preemptionIdleMS) * cores * int64(max(1, r.Members))
	if r.AtRisk {
		c *= atRiskWeight
	}
	return c
}

// preempt adds the stops of the victims to the plan and counts what they free as future capacity of the worker, which
// the caller then allocates to its unit.
func (d *decision) preempt(by domain.TaskID, s *slot, victims []RunningAttempt) {
	for _, v := range victims {
		d.preempted[v.Task] = true
		s.future = s.future.Plus(v.Demand)
		d.plan.Preemptions = append(d.plan.Preemptions, Preemption{Task: v.Task, For: by})
	}
}
