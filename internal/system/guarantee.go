package system

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/system/packing"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// placeGuaranteed places queued jobs inside the guarantees of their workspaces: on free capacity if there is any,
// otherwise by preempting borrowed attempts. Jobs of exactly a guaranteed shape come first and keep the gang
// reservations that they wait for, because a stream of smaller jobs would otherwise occupy these forever.
func (p *Policy) placeGuaranteed(now time.Duration) {
	p.moveSearches = 0
	for _, name := range p.tables.QueuedWorkspaces() {
		ws := p.tables.Workspace(name)
		version := p.tables.QueueVersion(name)
		if at, settled := p.settledQueueVersion[name]; settled && at == version || ws == nil || p.unusedGuarantee(name) == 0 {
			continue
		}
		clear(p.awaited)
		for _, exact := range []bool{true, false} {
			for c := table.Class(0); c < table.ClassCount; c++ {
				p.placeGuaranteedClass(now, ws, c, exact)
			}
		}
		if p.moveSearches < maxMoveSearches {
			p.settledQueueVersion[name] = version
		}
	}
	clear(p.awaited)
}

// placeGuaranteedClass places the jobs of one class, the oldest first. With exact set, it places only jobs in gang
// reservations of exactly their shape.
func (p *Policy) placeGuaranteedClass(now time.Duration, ws *table.Workspace, c table.Class, exact bool) {
	var b workspaceQueue
	for _, g := range p.tables.Groups(ws.Name, c) {
		if exact && !p.hasReservation(ws.Name, g.Shape) || p.unusedGuarantee(ws.Name) < g.Shape.Total() && !exact {
			continue
		}
		if cur := (&groupCursor{group: g}); cur.skipUnplaceable(p) {
			b.groups = append(b.groups, cur)
		}
	}
	for b.moveOldestFirst(); len(b.groups) > 0; b.moveOldestFirst() {
		cur := b.groups[0]
		j := cur.job()
		cur.next++
		done := p.withinLimits(ws, j.Shape.Total()) && p.placeInGuarantee(now, j, exact)
		if !done {
			done = p.awaitReservation(now, j, exact)
		}
		// If a job finds no place, another job of the same shape finds one only if the failed workers of the first one
		// restricted its places.
		if !done && len(j.FailedWorkers) == 0 || !cur.skipUnplaceable(p) {
			b.removeFirstGroup()
		}
	}
}

func (p *Policy) hasReservation(workspace string, s table.Shape) bool {
	return slices.ContainsFunc(p.gangReservations[workspace], func(res *gangReservation) bool { return res.shape == s })
}

// awaitReservation chooses a gang reservation for a job that found no place, and keeps it from younger and smaller jobs
// of the workspace: of the reservations that are large enough, it takes the one with the most unused accelerators. With
// exact set, only reservations of exactly the job's shape count, and one that is in use is vacated if possible. It
// returns true only if it vacated the reservation and then placed the job.
func (p *Policy) awaitReservation(now time.Duration, j *table.Job, exact bool) bool {
	var best *gangReservation
	for _, res := range p.gangReservations[j.Workspace] {
		if p.awaited[res] || exact && res.shape != j.Shape || res.totalAccelerators() < j.Shape.Total() {
			continue
		}
		if best == nil || res.unusedAccelerators() > best.unusedAccelerators() {
			best = res
		}
	}
	if best == nil || p.allocations[j.ID] != nil {
		return false
	}
	if exact && best.jobCount > 0 && p.vacate(now, best, j) {
		return p.placeInGuarantee(now, j, true)
	}
	p.awaited[best] = true
	return false
}

// unusedGuarantee returns the accelerators of all gang reservations of a workspace that its own jobs do not use.
func (p *Policy) unusedGuarantee(workspace string) int {
	n := 0
	for _, res := range p.gangReservations[workspace] {
		n += res.unusedAccelerators()
	}
	return n
}

func (res *gangReservation) totalAccelerators() int {
	n := 0
	for _, s := range res.workerShares {
		n += s.total.accelerators
	}
	return n
}

func (res *gangReservation) unusedAccelerators() int {
	n := 0
	for _, s := range res.workerShares {
		n += s.total.accelerators - s.used.accelerators
	}
	return n
}

// placeInGuarantee places one job inside its guarantee, or claims capacity there and preempts the attempts on it. It
// returns false if the guarantee has no capacity for the job.
func (p *Policy) placeInGuarantee(now time.Duration, j *table.Job, exact bool) bool {
	candidates := p.candidates(j, exact)
	if p.placeFree(j, candidates) {
		return true
	}
	for _, reservations := range candidates {
		if len(reservations) == 1 && reservations[0].jobCount == 0 {
			if p.moveReservation(reservations[0], j) {
				return true
			}
			break
		}
	}
	return p.reclaim(now, j, candidates)
}

// candidates returns the sets of gang reservations in which a job may be placed: each of the reservations returned by
// tightestReservations alone or, if there is none and exact is not set, all reservations together that no older job
// waits for.
func (p *Policy) candidates(j *table.Job, exact bool) [][]*gangReservation {
	out := p.tightestReservations(j, exact)
	if len(out) > 0 || exact {
		return out
	}
	var all []*gangReservation
	for _, res := range p.gangReservations[j.Workspace] {
		if !p.awaited[res] {
			all = append(all, res)
		}
	}
	return [][]*gangReservation{all}
}

// placeFree places a job in the first candidate whose capacity is free. A reservation with more unused capacity than
// the candidates is not used, even if it is free: that would break up the larger shape for later work of the workspace.
func (p *Policy) placeFree(j *table.Job, candidates [][]*gangReservation) bool {
	for _, reservations := range candidates {
		if alloc := p.allocate(j, reservations, true); alloc != nil {
			p.placeAllocation(j, alloc)
			return true
		}
	}
	return false
}

func (p *Policy) placeAllocation(j *table.Job, alloc *allocation) {
	p.addAllocation(j.ID, alloc)
	p.addPlacement(j, p.allocationWorkers(alloc), Placement{})
}

// tightestReservations returns the gang reservations that can take the job alone and have the fewest unused
// accelerators.
func (p *Policy) tightestReservations(j *table.Job, exact bool) [][]*gangReservation {
	var out [][]*gangReservation
	least := 0
	for _, res := range p.gangReservations[j.Workspace] {
		if p.awaited[res] || exact && res.shape != j.Shape {
			continue
		}
		left := res.unusedAccelerators()
		if left < j.Shape.Total() || len(out) > 0 && left > least {
			continue
		}
		one := []*gangReservation{res}
		if p.allocate(j, one, false) == nil {
			continue
		}
		if left < least || len(out) == 0 {
			least, out = left, out[:0]
		}
		out = append(out, one)
	}
	return out
}

// allocate finds parts of the gang reservations for all members of a job, or returns nil. With free set, only capacity
// that is now free counts.
func (p *Policy) allocate(j *table.Job, reservations []*gangReservation, free bool) *allocation {
	var bins []packing.Bin
	var parts []allocationPart
	racks := map[string]int{}
	avoid := p.workersToAvoid(j)
	for _, res := range reservations {
		for i := range res.workerShares {
			s := &res.workerShares[i]
			w := p.tables.Worker(s.worker)
			if w == nil || !w.Usable() || slices.Contains(avoid, w.ID) {
				continue
			}
			left := s.unused(capacity{})
			if free {
				accelerators, slots := w.Available()
				left = capacity{min(left.accelerators, accelerators), min(left.slots, slots)}
			}
			if left.accelerators < j.Shape.Accelerators || left.slots < 1 {
				continue
			}
			if _, ok := racks[w.Rack]; !ok {
				racks[w.Rack] = len(racks)
			}
			bins = append(bins, packing.Bin{Rack: racks[w.Rack], Free: left.accelerators, Slots: left.slots})
			parts = append(parts, allocationPart{res, w.ID, capacity{j.Shape.Accelerators, 1}})
		}
	}
	members := packing.Place(bins, j.Shape)
	if members == nil || free && !p.fitTogether(members, parts) {
		return nil
	}
	alloc := &allocation{}
	for _, m := range members {
		alloc.parts = append(alloc.parts, parts[m])
	}
	return alloc
}

// fitTogether tells whether the members fit the available capacity where several gang reservations share a worker.
func (p *Policy) fitTogether(members []int, parts []allocationPart) bool {
	need := map[string]capacity{}
	for _, m := range members {
		n := need[parts[m].worker]
		need[parts[m].worker] = capacity{n.accelerators + parts[m].capacity.accelerators, n.slots + 1}
	}
	for id, n := range need {
		accelerators, slots := p.tables.Worker(id).Available()
		if accelerators < n.accelerators || slots < n.slots {
			return false
		}
	}
	return true
}

func (p *Policy) allocationWorkers(alloc *allocation) []*table.Worker {
	out := make([]*table.Worker, 0, len(alloc.parts))
	for _, part := range alloc.parts {
		out = append(out, p.tables.Worker(part.worker))
	}
	return out
}

// maxMoveSearches bounds the searches for another place of a gang reservation in one tick, each of which is a pass over
// all workers.
const maxMoveSearches = 8

// workersPerMoveSearch is the number of workers from which one search counts as more than one.
const workersPerMoveSearch = 500

// countMoveSearch counts one search for another place of a gang reservation. A search costs more in a large zone, so it
// counts once more for every workersPerMoveSearch workers.
func (p *Policy) countMoveSearch() { p.moveSearches += 1 + p.tables.WorkerCount()/workersPerMoveSearch }

// moveReservation binds an unused gang reservation to workers that are now free and places the job there, so that
// nothing has to be preempted. Unused reservations of other gangs in the way are bound elsewhere; if one of them has no
// other place, nothing is moved.
func (p *Policy) moveReservation(res *gangReservation, j *table.Job) bool {
	if p.moveSearches >= maxMoveSearches {
		return false
	}
	p.countMoveSearch()
	target := p.search(res.shape, p.workersToAvoid(j), nil)
	if target == nil {
		return false
	}
	if !p.rebindTo(res, target) {
		return false
	}
	alloc := p.allocate(j, []*gangReservation{res}, true)
	if alloc == nil {
		return false
	}
	p.placeAllocation(j, alloc)
	return true
}

// rebindTo binds an unused gang reservation to workers. It changes nothing and returns false if a reservation in the
// way has no other place.
func (p *Policy) rebindTo(res *gangReservation, target []*table.Worker) bool {
	need := map[string]capacity{}
	for _, w := range target {
		n := need[w.ID]
		member := memberCapacity(w, res.shape.Accelerators)
		need[w.ID] = capacity{n.accelerators + member.accelerators, n.slots + member.slots}
	}
	displaced := p.conflictingReservations(res, need)
	if displaced == nil || !p.rebindElsewhere(displaced, need) {
		p.updateLoads()
		return false
	}
	res.workerShares = nil
	for _, w := range target {
		res.addMember(w)
	}
	p.updateLoads()
	return true
}

// conflictingReservations returns the unused gang reservations that must move for the need to fit. The result is empty
// but not nil if none must move, and nil if a reservation in use or pinned capacity is in the way. Afterwards the loads
// count neither res nor the returned reservations.
func (p *Policy) conflictingReservations(res *gangReservation, need map[string]capacity) []*gangReservation {
	out := []*gangReservation{}
	p.sumLoadsExcept(map[*gangReservation]bool{res: true})
	for _, o := range p.allReservations() {
		if o == res || o.jobCount > 0 ||
			!slices.ContainsFunc(o.workerShares, func(s workerShare) bool { return p.overcommits(s.worker, need) }) {
			continue
		}
		out = append(out, o)
		for _, s := range o.workerShares {
			l := p.loadOf(s.worker)
			l.reserved.accelerators -= s.total.accelerators
			l.reserved.slots -= s.total.slots
		}
	}
	for id := range need {
		if p.overcommits(id, need) {
			return nil
		}
	}
	return out
}

// overcommits tells whether the committed load of a worker and the need together exceed its capacity.
func (p *Policy) overcommits(worker string, need map[string]capacity) bool {
	n, ok := need[worker]
	w := p.tables.Worker(worker)
	if !ok || w == nil {
		return false
	}
	l := p.loadOf(worker)
	return l.reserved.accelerators+l.pinned.accelerators+n.accelerators > w.Accelerators ||
		l.reserved.slots+l.pinned.slots+n.slots > w.Slots
}

// rebindElsewhere binds gang reservations to workers with capacity beyond the need. It changes nothing and returns
// false if one of them has no place.
func (p *Policy) rebindElsewhere(reservations []*gangReservation, need map[string]capacity) bool {
	bins, workers := p.unreservedBins(need)
	shapes := make([]table.Shape, 0, len(reservations))
	for _, res := range reservations {
		shapes = append(shapes, res.shape)
	}
	result := packing.Pack(bins, shapes)
	if result.UnplacedGangs > 0 {
		return false
	}
	for i, res := range reservations {
		res.workerShares = nil
		for _, m := range result.Members[i] {
			res.addMember(workers[m])
		}
	}
	return true
}
