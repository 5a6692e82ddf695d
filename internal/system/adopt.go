package system

import (
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/system/packing"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// adopt matches the attempts in the tables with gang reservations. It runs when a new leader creates the policy, so
// that attempts inside a guarantee are not treated as borrowed and their capacity is not promised twice.
func (p *Policy) adopt() {
	p.matchContracts()
	rest := map[string][]*table.Attempt{}
	for _, a := range p.tables.Attempts() {
		switch {
		case a.Borrowed:
			p.addPinned(a, 1)
		case !p.adoptGang(a):
			ws := p.tables.Job(a.Job).Workspace
			rest[ws] = append(rest[ws], a)
			p.addPinned(a, 1)
		}
	}
	for _, ws := range p.tables.Workspaces() {
		p.adoptRest(ws.Name, rest[ws.Name])
	}
	p.rebindNeeded = true
}

// adoptGang binds an unbound gang reservation of the attempt's shape to the attempt's workers. It returns false if
// there is none.
func (p *Policy) adoptGang(a *table.Attempt) bool {
	j := p.tables.Job(a.Job)
	for _, res := range p.gangReservations[j.Workspace] {
		if len(res.workerShares) > 0 || res.shape != j.Shape {
			continue
		}
		workers := p.attemptWorkers(a)
		if workers == nil {
			return false
		}
		alloc := &allocation{attempt: a.ID}
		for i, m := range a.Members {
			res.addMember(workers[i])
			alloc.parts = append(alloc.parts, allocationPart{res, m.Worker, capacity{a.Accelerators, 1}})
		}
		p.addAllocation(a.Job, alloc)
		return true
	}
	return false
}

// attemptWorkers returns the workers of an attempt, or nil if one of them is not in the tables.
func (p *Policy) attemptWorkers(a *table.Attempt) []*table.Worker {
	var out []*table.Worker
	for _, m := range a.Members {
		w := p.tables.Worker(m.Worker)
		if w == nil {
			return nil
		}
		out = append(out, w)
	}
	return out
}

// adoptRest binds the remaining gang reservations of a workspace to the workers or the racks of its remaining attempts
// where possible, and allocates them to these attempts. Attempts that do not fit the reservations are pinned.
func (p *Policy) adoptRest(workspace string, attempts []*table.Attempt) {
	if len(attempts) == 0 {
		return
	}
	for _, a := range attempts {
		p.addPinned(a, -1)
	}
	workers, racks := footprint(p.tables, attempts)
	for _, res := range p.gangReservations[workspace] {
		if len(res.workerShares) > 0 {
			continue
		}
		if !p.bindNear(res, func(w *table.Worker) bool { return workers[w.ID] }) {
			p.bindNear(res, func(w *table.Worker) bool { return racks[w.Rack] })
		}
	}
	for _, a := range attempts {
		if !p.allocateExisting(workspace, a) {
			p.addPinned(a, 1)
		}
	}
}

// footprint returns the workers and the racks on which attempts have members.
func footprint(t *table.Tables, attempts []*table.Attempt) (workers, racks map[string]bool) {
	workers, racks = map[string]bool{}, map[string]bool{}
	for _, a := range attempts {
		for _, m := range a.Members {
			workers[m.Worker] = true
			if w := t.Worker(m.Worker); w != nil {
				racks[w.Rack] = true
			}
		}
	}
	return workers, racks
}

// bindNear binds a gang reservation to workers that satisfy the predicate, if it fits there.
func (p *Policy) bindNear(res *gangReservation, near func(*table.Worker) bool) bool {
	p.sumLoadsExcept(nil)
	bins, workers := p.unreservedBins(nil)
	for i, w := range workers {
		if !near(w) {
			bins[i].Free = 0
		}
	}
	members := packing.Place(bins, res.shape)
	for _, m := range members {
		res.addMember(workers[m])
	}
	return members != nil
}

// allocateExisting allocates unused shares of its workspace on the attempt's workers to an attempt. It returns false if
// they do not cover all members.
func (p *Policy) allocateExisting(workspace string, a *table.Attempt) bool {
	alloc := &allocation{attempt: a.ID}
	taken := map[*workerShare]capacity{}
	for _, m := range a.Members {
		i := slices.IndexFunc(p.gangReservations[workspace], func(res *gangReservation) bool {
			s := res.shareOn(m.Worker)
			return s != nil && s.unused(taken[s]).accelerators >= a.Accelerators && s.unused(taken[s]).slots >= 1
		})
		if i < 0 {
			return false
		}
		res := p.gangReservations[workspace][i]
		s := res.shareOn(m.Worker)
		taken[s] = capacity{taken[s].accelerators + a.Accelerators, taken[s].slots + 1}
		alloc.parts = append(alloc.parts, allocationPart{res, m.Worker, capacity{a.Accelerators, 1}})
	}
	p.addAllocation(a.Job, alloc)
	return true
}

// unused returns the unused capacity of a share, less the capacity that is already taken.
func (s *workerShare) unused(taken capacity) capacity {
	return capacity{
		accelerators: s.total.accelerators - s.used.accelerators - taken.accelerators,
		slots:        s.total.slots - s.used.slots - taken.slots,
	}
}
