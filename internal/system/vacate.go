package system

import (
	"math"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// vacate empties a gang reservation that a job of exactly its shape waits for, if the jobs in it now fit unused smaller
// reservations of the workspace. The smaller reservations are bound to the workers where these jobs run, and the
// emptied one to other workers. Without this, jobs that were placed in a larger reservation during a burst keep the
// larger guarantee from being reclaimed.
func (p *Policy) vacate(now time.Duration, res *gangReservation, j *table.Job) bool {
	if p.moveSearches >= maxMoveSearches {
		return false
	}
	p.countMoveSearch()
	found := p.substitutes(res)
	if found == nil {
		return false
	}
	rebindBefore := p.rebindNeeded
	defer func() { p.rebindNeeded = rebindBefore }()
	before := map[*gangReservation][]workerShare{res: res.workerShares}
	for _, h := range found {
		before[h.reservation] = h.reservation.workerShares
		p.moveAllocation(h.job, h.reservation)
	}
	res.workerShares = nil
	p.updateLoads()
	if p.relocate(now, res, j, math.MaxInt64) {
		return true
	}
	for _, h := range found {
		p.moveAllocation(h.job, res)
	}
	for o, shares := range before {
		o.workerShares = shares
	}
	p.recountUsed(before)
	p.updateLoads()
	return false
}

// substitute is an unused gang reservation for a job that now uses another one.
type substitute struct {
	job         string
	reservation *gangReservation
}

// substitutes finds an unused gang reservation for each job in a reservation, or returns nil if there is none for one
// of them.
func (p *Policy) substitutes(res *gangReservation) []substitute {
	var jobs []string
	for id, alloc := range p.allocations {
		if slices.ContainsFunc(alloc.parts, func(part allocationPart) bool { return part.reservation == res }) {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	var out []substitute
	for _, id := range jobs {
		d := p.substituteFor(id, res, out)
		if d == nil {
			return nil
		}
		out = append(out, substitute{id, d})
	}
	return out
}

func (p *Policy) substituteFor(job string, from *gangReservation, taken []substitute) *gangReservation {
	alloc := p.allocations[job]
	if alloc.claimed || alloc.attempt == "" ||
		slices.ContainsFunc(alloc.parts, func(part allocationPart) bool { return part.reservation != from }) {
		return nil
	}
	s := p.tables.Job(job).Shape
	for _, d := range p.gangReservations[from.workspace] {
		if d == from || d.jobCount > 0 || d.shape.Gang != s.Gang || d.shape.Accelerators != s.Accelerators {
			continue
		}
		if s.Gang > 1 && d.shape != s || slices.ContainsFunc(taken, func(h substitute) bool { return h.reservation == d }) {
			continue
		}
		return d
	}
	return nil
}

// moveAllocation allocates a gang reservation to a running job in place of the one it used, and binds the reservation
// to the job's workers.
func (p *Policy) moveAllocation(job string, to *gangReservation) {
	alloc := p.allocations[job]
	p.releaseAllocation(job)
	to.workerShares = nil
	next := &allocation{attempt: alloc.attempt}
	for _, part := range alloc.parts {
		if w := p.tables.Worker(part.worker); w != nil {
			to.addMember(w)
		}
		next.parts = append(next.parts, allocationPart{to, part.worker, part.capacity})
	}
	p.addAllocation(job, next)
}

// recountUsed computes the used capacity of gang reservations again after their earlier shares were restored.
func (p *Policy) recountUsed(reservations map[*gangReservation][]workerShare) {
	for res := range reservations {
		for i := range res.workerShares {
			res.workerShares[i].used = capacity{}
		}
	}
	for _, alloc := range p.allocations {
		for _, part := range alloc.parts {
			if _, ok := reservations[part.reservation]; !ok {
				continue
			}
			if s := part.reservation.shareOn(part.worker); s != nil {
				s.used.accelerators += part.capacity.accelerators
				s.used.slots += part.capacity.slots
			}
		}
	}
}
