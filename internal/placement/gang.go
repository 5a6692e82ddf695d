package placement

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// placeGang places all members or none. A gang that prefers one rack, or the rack of its data, waits for it as long as
// that is faster than running spread.
func (d *decision) placeGang(u *Unit) {
	if slots := d.gangSlots(u); slots != nil {
		d.startGang(u, slots)
		return
	}
	if u.MayReclaim {
		d.makeRoomForGang(u)
	} else if d.holds(u) {
		d.holdRoom(u)
	}
}

// Limits of the room that is held for gangs.
const (
	// heldShare bounds the workers that are held, as a share of all: the rest of the work goes on.
	heldShare = 0.7
	// holdAfterShare is the share of its expected run time that a gang waits before room is held for it. Until then, what ends by
	// itself may make room; afterwards each gap that small work of lower priority fills delays the gang by another task.
	holdAfterShare = 0.5
)

// holds tells whether room is held for a gang that does not fit.
func (d *decision) holds(u *Unit) bool {
	waited := float64(u.WaitedMS) > holdAfterShare*float64(u.RunMS)
	return !u.Hopeless && !d.released && (waited || d.pressed(u))
}

// holdRoom keeps the workers that are closest to having room for the members of a gang from work that comes later in the
// order. Small work would otherwise fill each gap before the gang fits.
func (d *decision) holdRoom(u *Unit) {
	demand := u.step().Demand()
	for _, slots := range d.holdGroups(u) {
		chosen := d.closest(u, slots, demand)
		if chosen == nil || float64(len(d.held)+len(chosen)) > heldShare*float64(len(d.slots)) {
			continue
		}
		for _, s := range chosen {
			d.take(u, s, demand)
			d.held = append(d.held, hold{u, s})
		}
		return
	}
}

// hold is a place that is held for a member of a gang.
type hold struct {
	unit *Unit
	slot *slot
}

// releaseHolds gives the held places up for work that has waited for too long while most of the capacity is idle.
func (d *decision) releaseHolds(units []*Unit) {
	var late []*Unit
	for _, u := range units {
		if u.WaitedMS >= idleWaitMS && !d.started[u] {
			late = append(late, u)
		}
	}
	if !d.idle || len(late) == 0 || len(d.held) == 0 {
		return
	}
	d.released = true
	for _, h := range d.held {
		d.giveBack(h.unit, h.slot, h.unit.step().Demand())
	}
	for _, u := range late {
		d.place(u)
	}
}

// holdGroups returns the groups of workers that a gang may wait for, the one with the most free accelerators first.
func (d *decision) holdGroups(u *Unit) [][]*slot {
	if !u.step().SameRack || !d.someRackCouldHold(u) {
		return [][]*slot{d.slots}
	}
	var groups [][]*slot
	for _, rack := range d.rackNames() {
		groups = append(groups, d.racks[rack])
	}
	slices.SortStableFunc(groups, func(a, b []*slot) int { return cmp.Compare(freeAccelerators(b), freeAccelerators(a)) })
	return groups
}

func freeAccelerators(slots []*slot) int64 {
	free := int64(0)
	for _, s := range slots {
		free += max(0, s.future.Accelerators)
	}
	return free
}

// closest returns the workers that lack least for a member, one place for each member, or nil.
func (d *decision) closest(u *Unit, slots []*slot, demand domain.Resources) []*slot {
	sorted := slices.Clone(slots)
	slices.SortStableFunc(sorted, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(shortage(demand, a), shortage(demand, b)),
			cmp.Compare(b.future.Accelerators, a.future.Accelerators), cmp.Compare(a.Life.ID, b.Life.ID))
	})
	var out []*slot
	for _, s := range sorted {
		if !d.allowed(u, s) {
			continue
		}
		room := min(demand.Copies(s.Total), d.roomByLimit(u, s))
		for ; room > 0 && len(out) < len(u.Indexes); room-- {
			out = append(out, s)
		}
	}
	if len(out) < len(u.Indexes) {
		return nil
	}
	return out
}

// shortage returns what a worker lacks for a demand, as a share of its capacity, over all resources.
func shortage(demand domain.Resources, s *slot) float64 {
	lack := func(need, free, total int64) float64 {
		if need <= free || total == 0 {
			return 0
		}
		return float64(need-free) / float64(total)
	}
	return lack(demand.CPU, s.future.CPU, s.Total.CPU) + lack(demand.MemoryMB, s.future.MemoryMB, s.Total.MemoryMB) +
		lack(demand.Accelerators, s.future.Accelerators, s.Total.Accelerators)
}

func (d *decision) startGang(u *Unit, slots []*slot) {
	demand := u.step().Demand()
	var start domain.StartAttempts
	for i, index := range u.Indexes {
		d.take(u, slots[i], demand)
		start.Assignments = append(start.Assignments, domain.Assignment{Task: u.task(index), Worker: slots[i].Life})
	}
	d.start(u, start)
}

// gangSlots returns a worker for each member, nil if they do not fit now.
func (d *decision) gangSlots(u *Unit) []*slot {
	step := u.step()
	failedOn := u.Job.Task(u.task(0)).FailedOn
	if step.DataRack != "" {
		if slots := d.pack(u, d.racks[step.DataRack], failedOn); slots != nil {
			return slots
		}
		if u.WaitedMS < d.patience(u) && d.couldHold(u, d.racks[step.DataRack]) {
			return nil
		}
	}
	if step.SameRack {
		if slots := d.packOneRack(u, failedOn); slots != nil {
			return slots
		}
		if u.WaitedMS < d.patience(u) && d.someRackCouldHold(u) {
			return nil
		}
	}
	return d.pack(u, d.slots, failedOn)
}

// packOneRack returns places in the rack that the gang fills most.
func (d *decision) packOneRack(u *Unit, failedOn []string) []*slot {
	var best []*slot
	var bestFree int64
	for _, rack := range d.rackNames() {
		slots := d.pack(u, d.racks[rack], failedOn)
		if slots == nil {
			continue
		}
		free := int64(0)
		for _, s := range d.racks[rack] {
			free += s.free.Accelerators
		}
		if best == nil || free < bestFree {
			best, bestFree = slots, free
		}
	}
	return best
}

func (d *decision) rackNames() []string {
	names := make([]string, 0, len(d.racks))
	for r := range d.racks {
		names = append(names, r)
	}
	slices.Sort(names)
	return names
}

// pack returns places for all members on the given workers, the fullest ones first, or nil.
func (d *decision) pack(u *Unit, slots []*slot, failedOn []string) []*slot {
	demand := u.step().Demand()
	sorted := slices.Clone(slots)
	slices.SortStableFunc(sorted, func(a, b *slot) int {
		if d.tighter(a, b, failedOn) {
			return -1
		}
		return 1
	})
	var out []*slot
	whole := d.whole
	for _, s := range sorted {
		if !d.allowed(u, s) || d.kept(u, s, whole) {
			continue
		}
		if s.empty() {
			whole--
		}
		room := min(demand.Copies(s.free), d.roomByLimit(u, s))
		for ; room > 0 && len(out) < len(u.Indexes); room-- {
			out = append(out, s)
		}
	}
	if len(out) < len(u.Indexes) {
		return nil
	}
	return out
}

// couldHold tells whether workers could hold a whole gang if nothing else ran there.
func (d *decision) couldHold(u *Unit, slots []*slot) bool {
	demand := u.step().Demand()
	n := 0
	for _, s := range slots {
		if d.allowed(u, s) {
			n += min(demand.Copies(s.Total), cmp.Or(u.step().PerWorkerLimit, 1<<20))
		}
	}
	return n >= len(u.Indexes)
}

func (d *decision) someRackCouldHold(u *Unit) bool {
	for _, slots := range d.racks {
		if d.couldHold(u, slots) {
			return true
		}
	}
	return false
}
