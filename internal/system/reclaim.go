package system

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// claim is the place of a guaranteed job that waits for preempted attempts to stop. Its capacity is held back from
// other work.
type claim struct {
	job        *table.Job
	allocation *allocation
	needs      []workerCapacity
	victims    []string
	cost       time.Duration // Accelerator time lost by the preemptions.
}

// restartCost is added to the run time of a preempted attempt, because its start is lost too.
const restartCost = 10 * time.Second

// reclaim claims the candidate place whose preemptions lose the least work, and preempts the attempts there. If that
// place is a single unused gang reservation, the reservation is first bound to other workers where less work is lost,
// if there are such workers.
func (p *Policy) reclaim(now time.Duration, j *table.Job, candidates [][]*gangReservation) bool {
	best, reservations := p.cheapestClaim(now, j, candidates)
	if best == nil {
		return false
	}
	if best.cost > 0 && len(reservations) == 1 && reservations[0].jobCount == 0 &&
		p.relocate(now, reservations[0], j, best.cost) {
		if moved, _ := p.cheapestClaim(now, j, [][]*gangReservation{reservations}); moved != nil {
			best = moved
		} else if best, _ = p.cheapestClaim(now, j, candidates); best == nil {
			return false
		}
	}
	for _, id := range best.victims {
		p.preempt(now, id, j.ID)
	}
	p.holdClaim(best)
	return true
}

// cheapestClaim returns the claim that loses the least work, and its gang reservations.
func (p *Policy) cheapestClaim(now time.Duration, j *table.Job,
	candidates [][]*gangReservation) (*claim, []*gangReservation) {
	var best *claim
	var bestReservations []*gangReservation
	for _, reservations := range candidates {
		c := p.prepareClaim(j, reservations)
		if c == nil {
			continue
		}
		victims, ok := p.victims(now, c.needs)
		if !ok {
			continue
		}
		for _, a := range victims {
			c.cost += p.lostWork(now, a)
			c.victims = append(c.victims, a.ID)
		}
		if best == nil || c.cost < best.cost {
			best, bestReservations = c, reservations
		}
	}
	return best, bestReservations
}

// prepareClaim allocates parts of the gang reservations to a job, including those that other jobs borrow. It returns
// nil if the job does not fit.
func (p *Policy) prepareClaim(j *table.Job, reservations []*gangReservation) *claim {
	alloc := p.allocate(j, reservations, false)
	if alloc == nil {
		return nil
	}
	alloc.claimed = true
	c := &claim{job: j, allocation: alloc}
	for _, part := range alloc.parts {
		w := p.tables.Worker(part.worker)
		i := slices.IndexFunc(c.needs, func(h workerCapacity) bool { return h.worker == w })
		if i < 0 {
			c.needs = append(c.needs, workerCapacity{worker: w})
			i = len(c.needs) - 1
		}
		c.needs[i].accelerators += part.capacity.accelerators
		c.needs[i].slots += part.capacity.slots
	}
	return c
}

func (p *Policy) holdClaim(c *claim) {
	for _, h := range c.needs {
		p.tables.Hold(h.worker, h.accelerators, h.slots)
	}
	p.addAllocation(c.job.ID, c.allocation)
	p.claims = append(p.claims, c)
}

func (p *Policy) releaseClaim(c *claim) {
	for _, h := range c.needs {
		p.tables.Hold(h.worker, -h.accelerators, -h.slots)
	}
	p.releaseAllocation(c.job.ID)
	p.claims = slices.DeleteFunc(p.claims, func(o *claim) bool { return o == c })
}

func (p *Policy) dropClaims() {
	for _, c := range slices.Clone(p.claims) {
		p.releaseClaim(c)
	}
}

// dropStaleClaims releases claims on workers that are gone or no longer usable.
func (p *Policy) dropStaleClaims() {
	for _, c := range slices.Clone(p.claims) {
		if slices.ContainsFunc(c.needs, func(h workerCapacity) bool {
			return p.tables.Worker(h.worker.ID) != h.worker || !h.worker.Usable()
		}) {
			p.releaseClaim(c)
		}
	}
}

// claimedAccelerators returns the accelerators that claims of a workspace hold.
func (p *Policy) claimedAccelerators(workspace string) int {
	n := 0
	for _, c := range p.claims {
		if c.job.Workspace == workspace {
			n += c.job.Shape.Total()
		}
	}
	return n
}

// placeClaimedJobs places the jobs of claims whose capacity has become free, there or elsewhere in the guarantee, and
// releases the claims of jobs that may no longer be placed. For the remaining claims, preemptions are repeated when
// due.
func (p *Policy) placeClaimedJobs(now time.Duration) {
	for _, c := range slices.Clone(p.claims) {
		alloc := c.allocation
		p.releaseClaim(c)
		ws := p.tables.Workspace(c.job.Workspace)
		if ws == nil || p.tables.Job(c.job.ID) != c.job || !p.placeable(c.job) || !p.withinLimits(ws, c.job.Shape.Total()) {
			continue
		}
		if p.isFree(c.needs) {
			alloc.claimed = false
			p.placeAllocation(c.job, alloc)
			continue
		}
		if p.placeFree(c.job, p.candidates(c.job, false)) {
			continue
		}
		p.holdClaim(c)
		p.retryPreemptions(now, c)
	}
}

// isFree tells whether the needed capacity is free. Capacity held for other claims counts as free: the first claim that
// finds its capacity takes it, because the attempts preempted for the other claim still have capacity to release.
func (p *Policy) isFree(needs []workerCapacity) bool {
	for _, h := range needs {
		on := p.plannedByWorker[h.worker]
		if !h.worker.Usable() || h.worker.FreeAccelerators()-on.accelerators < h.accelerators ||
			h.worker.FreeSlots()-on.slots < h.slots {
			return false
		}
	}
	return true
}

func (p *Policy) preempt(now time.Duration, attempt, job string) {
	a := p.tables.Attempt(attempt)
	p.preemptRequestedAt[attempt] = now
	grace := p.grace(p.tables.Job(a.Job).Workspace)
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{Attempt: attempt, ForJob: job, Grace: grace})
	p.wakeAt(now + preemptRetryInterval)
}

// retryPreemptions repeats preemptions that had no effect, for example because the dispatcher lost them.
func (p *Policy) retryPreemptions(now time.Duration, c *claim) {
	for _, id := range c.victims {
		a := p.tables.Attempt(id)
		if a == nil || a.Stopping {
			continue
		}
		if at := p.preemptRequestedAt[id]; now-at < preemptRetryInterval {
			p.wakeAt(at + preemptRetryInterval)
			continue
		}
		p.preempt(now, id, c.job.ID)
	}
}

// victims chooses preemptible attempts whose end frees the needed capacity and loses little work. It returns false if
// the capacity cannot be freed.
func (p *Policy) victims(now time.Duration, needs []workerCapacity) ([]*table.Attempt, bool) {
	short := p.shortage(needs)
	var chosen []*table.Attempt
	for {
		i := slices.IndexFunc(short, func(h workerCapacity) bool { return h.accelerators > 0 || h.slots > 0 })
		if i < 0 {
			return dropUnneededVictims(p.shortage(needs), chosen), true
		}
		a := p.cheapestVictim(now, short, short[i].worker, chosen)
		if a == nil {
			return nil, false
		}
		chosen = append(chosen, a)
		subtractFreed(short, a)
	}
}

// shortage returns the capacity that is missing on each worker once the attempts that are being stopped have ended.
func (p *Policy) shortage(needs []workerCapacity) []workerCapacity {
	short := make([]workerCapacity, 0, len(needs))
	for _, h := range needs {
		accelerators, slots := h.worker.Available()
		for _, id := range h.worker.Attempts() {
			if a := p.tables.Attempt(id); p.isStopping(a) {
				n := membersOn(a, h.worker.ID)
				accelerators += n * a.Accelerators
				slots += n
			}
		}
		short = append(short, workerCapacity{h.worker, capacity{h.accelerators - accelerators, h.slots - slots}})
	}
	return short
}

func (p *Policy) isStopping(a *table.Attempt) bool {
	_, asked := p.preemptRequestedAt[a.ID]
	return asked || a.Stopping
}

// cheapestVictim returns the preemptible attempt on a worker that loses the least work for each missing accelerator
// that it frees. Urgent attempts are chosen last, because a person waits for them.
func (p *Policy) cheapestVictim(now time.Duration, short []workerCapacity, w *table.Worker,
	chosen []*table.Attempt) *table.Attempt {
	var best *table.Attempt
	bestUrgent, bestCost := false, 0.0
	for _, id := range w.Attempts() {
		a := p.tables.Attempt(id)
		if !p.preemptible(a) || slices.Contains(chosen, a) {
			continue
		}
		urgent := p.tables.Job(a.Job).Class == table.Urgent
		cost := p.lostWork(now, a).Seconds() / float64(usefulAccelerators(short, a))
		if best == nil || !urgent && bestUrgent || urgent == bestUrgent && cost < bestCost {
			best, bestUrgent, bestCost = a, urgent, cost
		}
	}
	return best
}

// preemptible tells whether an attempt may be stopped for a guarantee. Its job must be repeatable, and the attempt must
// be borrowed, or its gang reservation was moved to other workers, or its workspace runs more inside its guarantee than
// the contract now grants.
func (p *Policy) preemptible(a *table.Attempt) bool {
	j := p.tables.Job(a.Job)
	if p.isStopping(a) || j.NoRepeat {
		return false
	}
	return a.Borrowed || p.detachedAttempts[a.ID] ||
		p.tables.RunningAccelerators(j.Workspace)-p.tables.BorrowedAccelerators(j.Workspace) >
			p.guaranteedAccelerators(j.Workspace)
}

// guaranteedAccelerators returns the accelerators that the contract guarantees to a workspace.
func (p *Policy) guaranteedAccelerators(workspace string) int {
	n := 0
	if ws := p.tables.Workspace(workspace); ws != nil {
		for _, g := range ws.Guarantees {
			n += g.Gangs * g.Shape.Total()
		}
	}
	return n
}

// lostWork returns the accelerator time that is lost if an attempt is stopped.
func (p *Policy) lostWork(now time.Duration, a *table.Attempt) time.Duration {
	ran := restartCost
	if a.State == table.AttemptRunning {
		ran += now - a.RunningAt
	}
	return ran * time.Duration(a.Accelerators*len(a.Members))
}

// usefulAccelerators returns how many of the missing accelerators an attempt frees, but at least 1.
func usefulAccelerators(short []workerCapacity, a *table.Attempt) int {
	n := 0
	for _, h := range short {
		n += max(0, min(h.accelerators, membersOn(a, h.worker.ID)*a.Accelerators))
	}
	return max(1, n)
}

// subtractFreed subtracts the capacity that the end of an attempt frees from the shortage.
func subtractFreed(short []workerCapacity, a *table.Attempt) {
	for i, h := range short {
		n := membersOn(a, h.worker.ID)
		short[i].accelerators -= n * a.Accelerators
		short[i].slots -= n
	}
}

// dropUnneededVictims removes attempts that need not be stopped because the others free enough. They are tried in the
// order in which they were chosen.
func dropUnneededVictims(short []workerCapacity, chosen []*table.Attempt) []*table.Attempt {
	for _, a := range chosen {
		subtractFreed(short, a)
	}
	return slices.DeleteFunc(chosen, func(a *table.Attempt) bool {
		for _, h := range short {
			n := membersOn(a, h.worker.ID)
			if h.accelerators+n*a.Accelerators > 0 || h.slots+n > 0 {
				return false
			}
		}
		for i, h := range short {
			n := membersOn(a, h.worker.ID)
			short[i].accelerators, short[i].slots = h.accelerators+n*a.Accelerators, h.slots+n
		}
		return true
	})
}

func membersOn(a *table.Attempt, worker string) int {
	n := 0
	for _, m := range a.Members {
		if m.Worker == worker {
			n++
		}
	}
	return n
}
