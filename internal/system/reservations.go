package system

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/system/packing"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// gangReservation is the capacity reserved for one guaranteed gang, on workers that satisfy its adjacency. Only jobs
// inside the guarantee count against it; other jobs may borrow the accelerators and can be preempted. The reserved
// shares on a worker never exceed its capacity, so guaranteed capacity is either free or reclaimable.
type gangReservation struct {
	workspace    string
	shape        table.Shape
	workerShares []workerShare // Empty while the reservation is not bound to workers.
	jobCount     int           // Number of jobs that use or claim a part of the reservation.
}

// workerShare is the part of a gang reservation on one worker.
type workerShare struct {
	worker string
	total  capacity
	used   capacity
}

// allocation is the capacity of gang reservations that one job uses.
type allocation struct {
	attempt string // Empty until the placement is applied.
	claimed bool   // Waits for preempted attempts to stop.
	parts   []allocationPart
}

// allocationPart is the capacity of a gang reservation that one member of a job uses.
type allocationPart struct {
	reservation *gangReservation
	worker      string
	capacity    capacity
}

func (res *gangReservation) shareOn(worker string) *workerShare {
	for i := range res.workerShares {
		if res.workerShares[i].worker == worker {
			return &res.workerShares[i]
		}
	}
	return nil
}

// addAllocation counts a job against the gang reservations that it uses.
func (p *Policy) addAllocation(job string, alloc *allocation) {
	p.allocations[job] = alloc
	for _, part := range alloc.parts {
		delete(p.settledQueueVersion, part.reservation.workspace)
	}
	seen := map[*gangReservation]bool{}
	for _, part := range alloc.parts {
		if s := part.reservation.shareOn(part.worker); s != nil {
			s.used.accelerators += part.capacity.accelerators
			s.used.slots += part.capacity.slots
		}
		if !seen[part.reservation] {
			seen[part.reservation] = true
			part.reservation.jobCount++
		}
	}
}

func (p *Policy) releaseAllocation(job string) {
	alloc := p.allocations[job]
	if alloc == nil {
		return
	}
	delete(p.allocations, job)
	for _, part := range alloc.parts {
		delete(p.settledQueueVersion, part.reservation.workspace)
	}
	seen := map[*gangReservation]bool{}
	for _, part := range alloc.parts {
		if s := part.reservation.shareOn(part.worker); s != nil {
			s.used.accelerators -= part.capacity.accelerators
			s.used.slots -= part.capacity.slots
		}
		if !seen[part.reservation] {
			seen[part.reservation] = true
			part.reservation.jobCount--
		}
		p.rebindNeeded = p.rebindNeeded || part.reservation.jobCount == 0 && !p.allWorkersUsable(part.reservation)
	}
}

// allWorkersUsable tells whether a gang reservation is bound and all its workers are usable.
func (p *Policy) allWorkersUsable(res *gangReservation) bool {
	for _, s := range res.workerShares {
		if w := p.tables.Worker(s.worker); w == nil || !w.Usable() {
			return false
		}
	}
	return len(res.workerShares) > 0
}

// bindReservations matches the gang reservations with the contracts and binds them to usable workers. Reservations in
// use normally stay where they are, so that running work keeps its guarantee.
func (p *Policy) bindReservations() {
	p.rebindNeeded = false
	clear(p.settledQueueVersion)
	p.dropStaleClaims()
	p.matchContracts()
	var unbound, idle []*gangReservation
	for _, res := range p.allReservations() {
		switch {
		case res.jobCount > 0:
			p.repairInUse(res)
		case !p.allWorkersUsable(res):
			res.workerShares = nil
			unbound = append(unbound, res)
		default:
			idle = append(idle, res)
		}
	}
	p.unboundCount = p.bindAll(unbound, nil)
	if p.unboundCount > 0 && len(idle) > 0 {
		p.unboundCount = p.bindAll(append(unbound, idle...), idle)
	}
	if p.unboundCount > 0 {
		p.moveInUse(append(unbound, idle...))
	}
	p.updateLoads()
}

// matchContracts creates a gang reservation for each guaranteed gang, and drops those that are no longer guaranteed.
func (p *Policy) matchContracts() {
	old := p.gangReservations
	p.gangReservations = map[string][]*gangReservation{}
	for _, ws := range p.tables.Workspaces() {
		have := old[ws.Name]
		// Reservations in use are kept in preference to unused ones.
		slices.SortStableFunc(have, func(a, b *gangReservation) int { return cmp.Compare(b.jobCount, a.jobCount) })
		for _, g := range ws.Guarantees {
			for range g.Gangs {
				i := slices.IndexFunc(have, func(res *gangReservation) bool { return res.shape == g.Shape })
				res := &gangReservation{workspace: ws.Name, shape: g.Shape}
				if i >= 0 {
					res = have[i]
					have = slices.Delete(have, i, i+1)
				}
				p.gangReservations[ws.Name] = append(p.gangReservations[ws.Name], res)
			}
		}
	}
}

// allReservations returns the gang reservations in a fixed order, so that two leaders with the same tables bind them
// alike.
func (p *Policy) allReservations() []*gangReservation {
	var out []*gangReservation
	for _, ws := range p.tables.Workspaces() {
		out = append(out, p.gangReservations[ws.Name]...)
	}
	return out
}

// repairInUse moves the unused shares of a gang reservation in use from unusable workers to others of the same rack or
// zone.
func (p *Policy) repairInUse(res *gangReservation) {
	if res.shape.Adjacency == table.SameWorker || p.allWorkersUsable(res) {
		return
	}
	rack := ""
	for _, s := range res.workerShares {
		if w := p.tables.Worker(s.worker); w != nil && res.shape.Adjacency == table.SameRack {
			rack = w.Rack
		}
	}
	p.updateLoads()
	for i := 0; i < len(res.workerShares); i++ {
		s := &res.workerShares[i]
		w := p.tables.Worker(s.worker)
		if w != nil && w.Usable() || s.used.slots > 0 {
			continue
		}
		if p.moveShare(res, i, rack) {
			i--
		}
	}
}

// moveShare moves an unused share as a whole to workers with unreserved capacity, in the given rack if it is not empty.
// It returns whether it moved the share.
func (p *Policy) moveShare(res *gangReservation, i int, rack string) bool {
	bins, workers := p.unreservedBins(nil)
	if rack != "" {
		for b, w := range workers {
			if w.Rack != rack {
				bins[b].Free = 0
			}
		}
	}
	gang := res.workerShares[i].total.accelerators / res.shape.Accelerators
	shape := table.Shape{Gang: gang, Accelerators: res.shape.Accelerators}
	members := packing.Place(bins, shape)
	if members == nil {
		return false
	}
	res.workerShares = slices.Delete(res.workerShares, i, i+1)
	for _, m := range members {
		res.addMember(workers[m])
		member := memberCapacity(workers[m], shape.Accelerators)
		l := p.loadOf(workers[m].ID)
		l.reserved.accelerators += member.accelerators
		l.reserved.slots += member.slots
	}
	return true
}

// addMember reserves capacity for one more member of the gang on a worker.
func (res *gangReservation) addMember(w *table.Worker) {
	s := res.shareOn(w.ID)
	if s == nil {
		res.workerShares = append(res.workerShares, workerShare{worker: w.ID})
		s = &res.workerShares[len(res.workerShares)-1]
	}
	member := memberCapacity(w, res.shape.Accelerators)
	s.total.accelerators += member.accelerators
	s.total.slots += member.slots
}

// memberCapacity returns the capacity that a gang reservation holds for one member. If the worker has enough slots, it
// includes one slot for each accelerator, so that jobs with one accelerator can use the whole share.
func memberCapacity(w *table.Worker, accelerators int) capacity {
	if w.Slots < w.Accelerators {
		return capacity{accelerators, 1}
	}
	return capacity{accelerators, accelerators}
}

// bindAll packs gang reservations into the capacity that is neither reserved by others nor pinned. If moved is not nil
// and the new packing leaves no fewer reservations unbound than before, nothing is changed. It returns the number of
// reservations left without a place.
func (p *Policy) bindAll(reservations, moved []*gangReservation) int {
	if len(reservations) == 0 {
		return 0
	}
	skip := map[*gangReservation]bool{}
	for _, res := range reservations {
		skip[res] = true
	}
	p.sumLoadsExcept(skip)
	bins, workers := p.unreservedBins(nil)
	shapes := make([]table.Shape, len(reservations))
	for i, res := range reservations {
		shapes[i] = res.shape
	}
	result := packing.Pack(bins, shapes)
	if moved != nil && result.UnplacedGangs >= p.unboundCount {
		return p.unboundCount
	}
	for i, res := range reservations {
		res.workerShares = nil
		for _, m := range result.Members[i] {
			res.addMember(workers[m])
		}
	}
	return result.UnplacedGangs
}

// unreservedBins returns the usable workers with the capacity that is neither reserved nor pinned, less the capacity in
// without.
func (p *Policy) unreservedBins(without map[string]capacity) ([]packing.Bin, []*table.Worker) {
	bins := make([]packing.Bin, 0, p.tables.WorkerCount())
	workers := make([]*table.Worker, 0, p.tables.WorkerCount())
	for i, r := range p.tables.Index().Racks() {
		for _, w := range r.Workers() {
			if !w.Usable() {
				continue
			}
			b := packing.Bin{Rack: i, Free: w.Accelerators, Slots: w.Slots}
			if l := p.loads[w.ID]; l != nil {
				b.Free -= l.reserved.accelerators + l.pinned.accelerators
				b.Slots -= l.reserved.slots + l.pinned.slots
			}
			if less, ok := without[w.ID]; ok {
				b.Free -= less.accelerators
				b.Slots -= less.slots
			}
			bins = append(bins, b)
			workers = append(workers, w)
		}
	}
	return bins, workers
}

func (p *Policy) loadOf(worker string) *workerLoad {
	l := p.loads[worker]
	if l == nil {
		l = &workerLoad{}
		p.loads[worker] = l
	}
	return l
}

// updateLoads sums the reserved capacity by worker and passes it to the index.
func (p *Policy) updateLoads() {
	p.sumLoadsExcept(nil)
	for _, r := range p.tables.Index().Racks() {
		for _, w := range slices.Clone(r.Workers()) {
			n := 0
			if l := p.loads[w.ID]; l != nil {
				n = l.reserved.accelerators
			}
			p.tables.SetReserved(w, n)
		}
	}
}

// sumLoadsExcept sums the reserved capacity by worker, leaving out some gang reservations. The index is not changed.
func (p *Policy) sumLoadsExcept(skip map[*gangReservation]bool) {
	for id, l := range p.loads {
		l.reserved = capacity{}
		if l.pinned == (capacity{}) && p.tables.Worker(id) == nil {
			delete(p.loads, id)
		}
	}
	for _, reservations := range p.gangReservations {
		for _, res := range reservations {
			if skip[res] {
				continue
			}
			for _, s := range res.workerShares {
				l := p.loadOf(s.worker)
				l.reserved.accelerators += s.total.accelerators
				l.reserved.slots += s.total.slots
			}
		}
	}
}

// addPinned adds the capacity of a pinned attempt to the loads of its workers, or subtracts it if sign is -1.
func (p *Policy) addPinned(a *table.Attempt, sign int) {
	if !p.isPinned(a) {
		return
	}
	for _, m := range a.Members {
		l := p.loadOf(m.Worker)
		l.pinned.accelerators += sign * a.Accelerators
		l.pinned.slots += sign
	}
}

// isPinned tells whether an attempt cannot be preempted although it uses no gang reservation: borrowed work that must
// not be repeated, and work that was inside a guarantee when it was placed but is matched with no reservation.
func (p *Policy) isPinned(a *table.Attempt) bool {
	if a.Borrowed {
		return p.tables.Job(a.Job).NoRepeat
	}
	return p.allocations[a.Job] == nil && !p.detachedAttempts[a.ID]
}
