package placement

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// acceleratorCores is what an accelerator counts against a core when work thrown away is compared (RULES, "Prices").
const acceleratorCores = 8

// pressedWeight is how much more ending work counts whose job becomes late by it.
const pressedWeight = 3

// makeRoom reclaims capacity for tasks that have no place, if their workspace's guarantee covers them. Capacity that is
// being freed is kept from work that comes later in the order.
func (d *decision) makeRoom(u *Unit, indexes []int, demand domain.Resources) {
	if !u.MayReclaim {
		return
	}
	for _, index := range indexes {
		s, victims := d.cheapestRoom(u, d.reclaimable(u), demand)
		if s == nil {
			return
		}
		d.evict(u.task(index), s, victims)
		d.take(u, s, demand)
	}
}

// makeRoomForGang reclaims capacity for all members, in the rack where that throws away least.
func (d *decision) makeRoomForGang(u *Unit) {
	if !u.MayReclaim || u.WaitedMS < reclaimAfterWaitMS {
		return
	}
	groups := [][]*slot{d.reclaimable(u)}
	if u.step().SameRack && u.WaitedMS < d.patience(u) && d.someRackCouldHold(u) {
		groups = groups[:0]
		for _, rack := range d.rackNames() {
			groups = append(groups, d.racks[rack])
		}
	}
	var best []room
	var bestCost int64
	for _, slots := range groups {
		rooms, cost := d.roomForAll(u, slots)
		if rooms != nil && (best == nil || cost < bestCost) {
			best, bestCost = rooms, cost
		}
	}
	demand := u.step().Demand()
	for i, r := range best {
		d.evict(u.task(u.Indexes[i]), r.slot, r.victims)
		d.take(u, r.slot, demand)
	}
}

// reclaimable returns the workers on which a unit may take room: those near its data as long as that pays.
func (d *decision) reclaimable(u *Unit) []*slot {
	if rack := u.step().DataRack; rack != "" && u.WaitedMS < d.patience(u) && len(d.racks[rack]) > 0 {
		return d.racks[rack]
	}
	return d.slots
}

// room is a place that is free once victims have ended.
type room struct {
	slot    *slot
	victims []Running
}

// roomForAll finds a place for each member. The slots are left as they were.
func (d *decision) roomForAll(u *Unit, slots []*slot) ([]room, int64) {
	demand := u.step().Demand()
	var rooms []room
	var cost int64
	defer func() {
		for _, r := range rooms {
			for _, v := range r.victims {
				delete(d.gone, v.Task)
				r.slot.future = r.slot.future.Minus(v.Demand)
			}
			d.giveBack(u, r.slot, demand)
		}
	}()
	for range u.Indexes {
		s, victims := d.cheapestRoom(u, slots, demand)
		if s == nil {
			return nil, 0
		}
		for _, v := range victims {
			d.gone[v.Task] = true
			s.future = s.future.Plus(v.Demand)
			cost += v.cost()
		}
		d.take(u, s, demand)
		rooms = append(rooms, room{s, victims})
	}
	return slices.Clone(rooms), cost
}

// cheapestRoom returns the worker on which the least work is thrown away for a task to fit, with what must be stopped.
func (d *decision) cheapestRoom(u *Unit, slots []*slot, demand domain.Resources) (*slot, []Running) {
	var best *slot
	var bestVictims []Running
	var bestCost int64
	for _, s := range slots {
		if !d.allowed(u, s) || d.roomByLimit(u, s) <= 0 {
			continue
		}
		victims, cost, ok := d.victims(u, s, demand)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = s, victims, cost
		}
	}
	return best, bestVictims
}

// victims returns the cheapest attempts of lower priority whose end makes a demand fit.
func (d *decision) victims(u *Unit, s *slot, demand domain.Resources) ([]Running, int64, bool) {
	future := s.future
	if demand.Fits(future) {
		return nil, 0, true
	}
	var candidates []Running
	for _, t := range d.tasks(s) {
		if t.Priority > u.Job.Spec.Priority && !t.Stopping && !d.gone[t.Task] && d.mayStop(t) {
			candidates = append(candidates, t)
		}
	}
	slices.SortStableFunc(candidates, func(a, b Running) int { return cmp.Compare(a.cost(), b.cost()) })
	var out []Running
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

// mayStop tells whether the step of an attempt bears the loss of one more task.
func (d *decision) mayStop(t Running) bool {
	if t.MayStop == Unlimited {
		return true
	}
	stopped := 0
	for id := range d.gone {
		if id.Job == t.Task.Job && id.Occurrence == t.Task.Occurrence && id.Step == t.Task.Step {
			stopped++
		}
	}
	return stopped < t.MayStop
}

// tasks returns the attempts on a worker.
func (d *decision) tasks(s *slot) []Running {
	if !s.asked {
		s.tasks, s.asked = d.view.Tasks(s.Worker), true
	}
	return s.tasks
}

// stopMS is what a stop costs besides the work that is not saved: the capacity stands idle until the next attempt begins.
const stopMS = 400

// cost returns the core-milliseconds that a stop throws away, at least a little, so that fewer stops are better. The rest
// of a gang ends with its member.
func (r Running) cost() int64 {
	cores := r.Demand.CPU/1000 + acceleratorCores*r.Demand.Accelerators + 1
	c := (r.UnsavedMS + stopMS) * cores * int64(max(1, r.Members))
	if r.Pressed {
		c *= pressedWeight
	}
	return c
}

// evict plans the end of attempts on a worker. What they free is kept for the unit.
func (d *decision) evict(by domain.TaskID, s *slot, victims []Running) {
	for _, v := range victims {
		d.gone[v.Task] = true
		s.future = s.future.Plus(v.Demand)
		d.plan.Stops = append(d.plan.Stops, Stop{Task: v.Task, For: by})
	}
}
