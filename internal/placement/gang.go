package placement

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// placeGang places all members or none. A gang that prefers one rack, or the rack of its data, waits for it as long as
// that is faster than running elsewhere or spread over racks.
func (d *decision) placeGang(u *Unit) {
	if d.atMax(u, 0, len(u.Indexes)) {
		d.waitForMax(u, u.Indexes)
		return
	}
	if slots := d.gangSlots(u); slots != nil {
		d.startGang(u, slots)
		return
	}
	if u.MayPreempt {
		d.preemptForGang(u)
	} else if d.shouldReserve(u) {
		d.reserveRoom(u)
	}
}

// Limits of the room that is reserved for gangs.
const (
	// maxReservedShare bounds the reserved places, as a share of the number of workers, so that other work still runs.
	maxReservedShare = 0.7
	// reserveAfterShare is the share of its expected run time that a gang waits before room is reserved for it. Until
	// then, attempts that end by themselves may make room; afterwards each gap that small work of lower priority fills
	// delays the gang by the run time of another task.
	reserveAfterShare = 0.5
)

// shouldReserve tells whether room is reserved for a gang that does not fit now.
func (d *decision) shouldReserve(u *Unit) bool {
	waited := float64(u.WaitedMS) > reserveAfterShare*float64(u.RunMS)
	return !u.Expired && !d.reservationsReleased && (waited || d.atRisk(u))
}

// reserveRoom withholds the workers that are closest to having room for the members of a gang from units that come
// later in the order. Otherwise small work would fill each gap before the gang fits.
func (d *decision) reserveRoom(u *Unit) {
	if float64(len(d.reserved)+len(u.Indexes)) > maxReservedShare*float64(len(d.slots)) {
		return
	}
	demand := u.step().Demand()
	for _, slots := range d.reservationGroups(u) {
		chosen := d.closestToFit(u, slots, demand)
		if chosen == nil {
			continue
		}
		for _, s := range chosen {
			d.allocate(u, s, demand)
			d.reserved = append(d.reserved, reservation{u, s})
		}
		return
	}
}

// reservation is room on a worker that is reserved for a member of a gang, within one decision.
type reservation struct {
	unit *Unit
	slot *slot
}

// releaseReservations gives up the reservations for work that has waited for lightLoadWaitMS under light load, and
// places that work again.
func (d *decision) releaseReservations(units []*Unit) {
	var late []*Unit
	for _, u := range units {
		if u.WaitedMS >= lightLoadWaitMS && !d.started[u] {
			late = append(late, u)
		}
	}
	if !d.lightLoad || len(late) == 0 || len(d.reserved) == 0 {
		return
	}
	d.reservationsReleased = true
	for _, r := range d.reserved {
		d.release(r.unit, r.slot, r.unit.step().Demand())
	}
	for _, u := range late {
		d.place(u)
	}
}

// reservationGroups returns the groups of workers on which room may be reserved for a gang: single racks if it prefers
// one rack and fits in one when empty, the one with the most free accelerators first; otherwise all workers.
func (d *decision) reservationGroups(u *Unit) [][]*slot {
	if !u.step().SameRack || !d.someRackFitsWhenEmpty(u) {
		return [][]*slot{d.slots}
	}
	var groups [][]*slot
	for _, rack := range d.rackNames {
		groups = append(groups, d.racks[rack])
	}
	slices.SortStableFunc(groups, func(a, b []*slot) int { return cmp.Compare(freeAccelerators(b), freeAccelerators(a)) })
	return groups
}

// freeAccelerators returns the free accelerators of some workers, those of attempts that are being stopped included.
func freeAccelerators(slots []*slot) int64 {
	free := int64(0)
	for _, s := range slots {
		free += max(0, s.future.Accelerators)
	}
	return free
}

// closestToFit returns a worker for each member, those with the smallest shortage first, or nil if not all members
// would fit even on empty workers.
func (d *decision) closestToFit(u *Unit, slots []*slot, demand domain.Resources) []*slot {
	type candidate struct {
		*slot
		shortage float64
		room     int
	}
	var candidates []candidate
	total := 0
	for _, s := range slots {
		if room := min(demand.Copies(s.Total), d.roomBySpreadLimit(u, s)); room > 0 && d.eligible(u, s) {
			candidates = append(candidates, candidate{s, shortage(demand, s), room})
			total += room
		}
	}
	if total < len(u.Indexes) {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.shortage, b.shortage),
			cmp.Compare(b.future.Accelerators, a.future.Accelerators), cmp.Compare(a.Incarnation.ID, b.Incarnation.ID))
	})
	var out []*slot
	for _, c := range candidates {
		for ; c.room > 0 && len(out) < len(u.Indexes); c.room-- {
			out = append(out, c.slot)
		}
	}
	return out
}

// shortage returns how much a worker lacks for a demand: the missing shares of its capacity, summed over all resources.
func shortage(demand domain.Resources, s *slot) float64 {
	missingShare := func(need, free, total int64) float64 {
		if need <= free || total == 0 {
			return 0
		}
		return float64(need-free) / float64(total)
	}
	return missingShare(demand.CPU, s.future.CPU, s.Total.CPU) + missingShare(demand.MemoryMB, s.future.MemoryMB, s.Total.MemoryMB) +
		missingShare(demand.Accelerators, s.future.Accelerators, s.Total.Accelerators)
}

// startGang starts each member on the worker chosen for it.
func (d *decision) startGang(u *Unit, slots []*slot) {
	demand := u.step().Demand()
	var start domain.StartAttempts
	for i, index := range u.Indexes {
		d.allocate(u, slots[i], demand)
		start.Assignments = append(start.Assignments, domain.Assignment{Task: u.task(index), Worker: slots[i].Incarnation})
	}
	d.start(u, start)
}

// gangSlots returns a worker for each member, or nil if the gang does not fit now or waits for its preferred rack.
func (d *decision) gangSlots(u *Unit) []*slot {
	step := u.step()
	failedOn := u.Job.Task(u.task(0)).FailedOn
	if step.DataRack != "" {
		if slots := d.pack(u, d.racks[step.DataRack], failedOn); slots != nil {
			return slots
		}
		if u.WaitedMS < d.preferredRackWaitMS(u) && d.fitsWhenEmpty(u, d.racks[step.DataRack]) {
			return nil
		}
	}
	if step.SameRack {
		if slots := d.packOneRack(u, failedOn); slots != nil {
			return slots
		}
		if u.WaitedMS < d.preferredRackWaitMS(u) && d.someRackFitsWhenEmpty(u) {
			return nil
		}
	}
	return d.pack(u, d.slots, failedOn)
}

// packOneRack returns a worker for each member in the rack with the fewest free accelerators in which the gang fits, or
// nil. Racks in which the slowest worker has a better speed rank come first.
func (d *decision) packOneRack(u *Unit, failedOn []string) []*slot {
	var best []*slot
	var bestFree int64
	var bestRank speedRank
	bestHarm := 0
	for _, rack := range d.rackNames {
		slots := d.pack(u, d.racks[rack], failedOn)
		if slots == nil {
			continue
		}
		free := int64(0)
		for _, s := range d.racks[rack] {
			free += s.free.Accelerators
		}
		rank := slowestRank(slots)
		harm := totalHarm(slots)
		if best == nil || cmp.Or(cmp.Compare(rank, bestRank), cmp.Compare(harm, bestHarm), cmp.Compare(free, bestFree)) < 0 {
			best, bestFree, bestRank, bestHarm = slots, free, rank, harm
		}
	}
	return best
}

// pack returns one of the given workers for each member, the fullest workers first, or nil if the members do not all
// fit.
func (d *decision) pack(u *Unit, slots []*slot, failedOn []string) []*slot {
	demand := u.step().Demand()
	sorted := d.candidates[:0]
	room := 0
	for _, s := range slots {
		if n := min(demand.Copies(s.free), d.roomBySpreadLimit(u, s)); n > 0 && d.eligible(u, s) {
			s.rank, s.harm = d.speedRank(s), d.harm(s)
			sorted = append(sorted, s)
			room += n
		}
	}
	d.candidates = sorted
	if room < len(u.Indexes) {
		return nil
	}
	sorted = d.groupByRank(sorted)
	slices.SortStableFunc(sorted, func(a, b *slot) int {
		if d.tighterFit(a, b, failedOn) {
			return -1
		}
		return 1
	})
	d.slowWorkersFirst(u, sorted, failedOn)
	var out []*slot
	emptyWorkers := d.emptyWorkers
	for _, s := range sorted {
		if len(out) == len(u.Indexes) {
			break
		}
		if d.keptForUrgent(u, s, emptyWorkers) {
			continue
		}
		if s.inReserve() {
			emptyWorkers--
		}
		for n := min(demand.Copies(s.free), d.roomBySpreadLimit(u, s)); n > 0 && len(out) < len(u.Indexes); n-- {
			out = append(out, s)
		}
	}
	if len(out) < len(u.Indexes) {
		return nil
	}
	return out
}

// fitsWhenEmpty tells whether a whole gang would fit on some workers if nothing else ran there.
func (d *decision) fitsWhenEmpty(u *Unit, slots []*slot) bool {
	demand := u.step().Demand()
	n := 0
	for _, s := range slots {
		if d.eligible(u, s) {
			n += min(demand.Copies(s.Total), cmp.Or(u.step().PerWorkerLimit, 1<<20))
		}
		if n >= len(u.Indexes) {
			return true
		}
	}
	return false
}

// someRackFitsWhenEmpty tells whether a whole gang would fit in some rack if nothing else ran there.
func (d *decision) someRackFitsWhenEmpty(u *Unit) bool {
	for _, slots := range d.racks {
		if d.fitsWhenEmpty(u, slots) {
			return true
		}
	}
	return false
}
