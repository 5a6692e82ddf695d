package system

import (
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// moveInUse moves one gang reservation that is in use to other workers if more guarantees then have a place. It is
// needed after the loss of workers: a small guarantee that runs in the only rack left for a large one would otherwise
// keep the large one from being reclaimed. The attempts in the moved reservation continue like borrowed ones; if one is
// preempted, its job reclaims the new place of the reservation.
func (p *Policy) moveInUse(unbound []*gangReservation) {
	tries := 0
	for _, res := range p.allReservations() {
		if res.jobCount == 0 || tries == maxMoveSearches || !p.movableInUse(res) {
			continue
		}
		tries++
		before := slices.Clone(res.workerShares)
		failed := p.bindAll(append([]*gangReservation{res}, unbound...), []*gangReservation{res})
		if failed >= p.unboundCount {
			continue
		}
		p.unboundCount = failed
		after := res.workerShares
		res.workerShares = before
		p.detachJobs(res)
		res.workerShares = after
		return
	}
}

// movableInUse tells whether all jobs in a gang reservation are running and may be stopped and repeated.
func (p *Policy) movableInUse(res *gangReservation) bool {
	for id, alloc := range p.allocations {
		if !alloc.uses(res) {
			continue
		}
		a := p.tables.Attempt(alloc.attempt)
		if a == nil || a.State != table.AttemptRunning || p.tables.Job(id).NoRepeat {
			return false
		}
	}
	return true
}

// detachJobs releases the allocations of the jobs in a gang reservation; their attempts continue without it.
func (p *Policy) detachJobs(res *gangReservation) {
	var jobs []string
	for id, alloc := range p.allocations {
		if alloc.uses(res) {
			jobs = append(jobs, id)
		}
	}
	slices.Sort(jobs)
	for _, id := range jobs {
		p.detachedAttempts[p.allocations[id].attempt] = true
		p.releaseAllocation(id)
	}
}

func (alloc *allocation) uses(res *gangReservation) bool {
	return slices.ContainsFunc(alloc.parts, func(part allocationPart) bool { return part.reservation == res })
}
