package system

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// relocationTarget is a set of workers to which an unused gang reservation could be bound, and the cost of stopping the
// attempts there.
type relocationTarget struct {
	workers []*table.Worker // Worker of each member.
	cost    time.Duration
}

// maxRelocationTargets bounds the targets that are tried for one reclaim.
const maxRelocationTargets = 4

// relocate binds an unused gang reservation to workers where reclaiming it loses less work than the given cost. It
// returns whether it moved the reservation.
func (p *Policy) relocate(now time.Duration, res *gangReservation, j *table.Job, cost time.Duration) bool {
	tried := 0
	for _, s := range p.relocationTargets(now, res, p.workersToAvoid(j)) {
		if s.cost >= cost || tried == maxRelocationTargets || p.moveSearches >= maxMoveSearches {
			return false
		}
		tried++
		p.countMoveSearch()
		if p.rebindTo(res, s.workers) {
			return true
		}
	}
	return false
}

// relocationTargets returns the targets for a gang reservation, the cheapest first. Depending on its shape there is one
// target for each worker, one for each rack or one for the zone.
func (p *Policy) relocationTargets(now time.Duration, res *gangReservation, avoid []string) []relocationTarget {
	fixed := p.immovableLoads(res)
	var out []relocationTarget
	add := func(options []workerOption) {
		if s, ok := cheapestTarget(options, res.shape.Gang); ok {
			out = append(out, s)
		}
	}
	var all []workerOption
	for _, r := range p.tables.Index().Racks() {
		options := p.workerOptions(now, r.Workers(), res.shape, avoid, fixed)
		switch {
		case res.shape.Gang == 1 || res.shape.Adjacency == table.SameWorker:
			for i := range options {
				add(options[i : i+1])
			}
		case res.shape.Adjacency == table.SameRack:
			add(options)
		default:
			all = append(all, options...)
		}
	}
	add(all)
	slices.SortStableFunc(out, func(a, b relocationTarget) int { return cmp.Compare(a.cost, b.cost) })
	return out
}

// workerOption is a worker that could be part of a relocation target: the number of members that it can take, and the
// cost of the attempts to stop for that.
type workerOption struct {
	worker  *table.Worker
	members int
	cost    time.Duration
}

// workerOptions returns the options of the given workers. fixed is the capacity on each worker that cannot be moved
// away. Workers that are not usable, are to be avoided or cannot free enough capacity are left out.
func (p *Policy) workerOptions(now time.Duration, workers []*table.Worker, s table.Shape, avoid []string,
	fixed map[string]capacity) []workerOption {
	var out []workerOption
	for _, w := range workers {
		if !w.Usable() || slices.Contains(avoid, w.ID) {
			continue
		}
		f := fixed[w.ID]
		n := min(s.Gang, (w.Accelerators-f.accelerators)/s.Accelerators, w.Slots-f.slots)
		if s.Adjacency == table.SameWorker && n < s.Gang || n <= 0 {
			continue
		}
		victims, ok := p.victims(now, []workerCapacity{{w, capacity{n * s.Accelerators, n}}})
		if !ok {
			continue
		}
		o := workerOption{worker: w, members: n}
		for _, a := range victims {
			o.cost += p.lostWork(now, a)
		}
		out = append(out, o)
	}
	return out
}

// cheapestTarget takes the workers with the lowest cost for each member until the gang is complete.
func cheapestTarget(options []workerOption, gang int) (relocationTarget, bool) {
	order := slices.Clone(options)
	slices.SortStableFunc(order, func(a, b workerOption) int {
		return cmp.Compare(a.cost/time.Duration(a.members), b.cost/time.Duration(b.members))
	})
	var s relocationTarget
	for _, o := range order {
		for n := o.members; n > 0 && len(s.workers) < gang; n-- {
			s.workers = append(s.workers, o.worker)
		}
		s.cost += o.cost
		if len(s.workers) == gang {
			return s, true
		}
	}
	return relocationTarget{}, false
}

// immovableLoads returns, by worker, the capacity that cannot be moved away: shares of gang reservations in use, other
// than the given one, and pinned capacity.
func (p *Policy) immovableLoads(except *gangReservation) map[string]capacity {
	out := map[string]capacity{}
	for id, l := range p.loads {
		if l.pinned != (capacity{}) {
			out[id] = l.pinned
		}
	}
	for _, reservations := range p.gangReservations {
		for _, res := range reservations {
			if res == except || res.jobCount == 0 {
				continue
			}
			for _, s := range res.workerShares {
				c := out[s.worker]
				out[s.worker] = capacity{c.accelerators + s.total.accelerators, c.slots + s.total.slots}
			}
		}
	}
	return out
}
