package placement

import (
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/share"
)

// byShares orders units that CompareUnits has ordered by the shares of their workspaces, if some workspace has a weight. Units of
// one rank and priority that do not all fit are placed in rounds: first the work within the shares, then that within twice
// the shares, and so on. Within a round the order by due time stays, so that work which is due first is not late for the sake
// of small differences of use, and each workspace gets at least its share. Guaranteed units stay first in their order.
func (d *decision) byShares(units []*Unit) []*Unit {
	if !weighted(d.view) {
		return units
	}
	var free, total domain.Resources
	for _, s := range d.slots {
		free, total = free.Plus(s.Free), total.Plus(s.Total)
	}
	weights := sumOfWeights(d.view)
	added := map[string]domain.Resources{} // By workspace: the units that come earlier in the order.
	for from, to := 0, 0; from < len(units); from = to {
		var all domain.Resources
		for to = from; to < len(units) && sameClass(units[from], units[to]); to++ {
			need := units[to].step().Counted()
			if units[to].step().BestEffort {
				need.CPU = 0
			}
			all = all.Plus(need.Times(len(units[to].Indexes)))
		}
		orderClass(d.view, units[from:to], added, total, weights, !units[from].Guaranteed && !all.Fits(free))
		free = free.Minus(all)
	}
	return units
}

// orderClass adds the units of one rank and priority to what their workspaces have, and orders them by their rounds if they
// do not all fit.
func orderClass(v *View, units []*Unit, added map[string]domain.Resources, total domain.Resources, weights float64, order bool) {
	type entry struct {
		unit  *Unit
		claim share.Claim
	}
	entries := make([]entry, len(units))
	for i, u := range units {
		name := u.Job.Spec.Workspace
		w := v.Workspaces[name]
		if w == nil {
			w = &Workspace{}
		}
		has := w.Used.Plus(added[name])
		entries[i] = entry{u, share.Claim{Use: share.Rounds(largestShare(has, total), w.Weight, weights), Oldest: uint64(i)}}
		added[name] = added[name].Plus(u.step().Counted().Times(len(u.Indexes)))
	}
	if !order {
		return
	}
	slices.SortFunc(entries, func(a, b entry) int { return share.Compare(a.claim, b.claim) })
	for i := range entries {
		units[i] = entries[i].unit
	}
}

// weighted tells whether a workspace has a weight.
func weighted(v *View) bool {
	for _, w := range v.Workspaces {
		if w.Weight > 0 {
			return true
		}
	}
	return false
}

// sumOfWeights returns the sum of the weights of the workspaces that use or wait for something.
func sumOfWeights(v *View) float64 {
	active := map[string]bool{}
	for name, w := range v.Workspaces {
		if w.Used != (domain.Resources{}) {
			active[name] = true
		}
	}
	for _, u := range v.Units {
		active[u.Job.Spec.Workspace] = true
	}
	sum := 0.0
	for name := range active {
		weight := 0.0
		if w := v.Workspaces[name]; w != nil {
			weight = w.Weight
		}
		sum += share.Weight(weight)
	}
	return sum
}

// largestShare returns the largest share of the capacity that an amount takes, over all resources.
func largestShare(r, total domain.Resources) float64 {
	of := func(amount, total int64) float64 {
		if total <= 0 {
			return 0
		}
		return float64(amount) / float64(total)
	}
	return max(of(r.CPU, total.CPU), of(r.MemoryMB, total.MemoryMB), of(r.Accelerators, total.Accelerators))
}

// sameClass tells whether two units have the same rank and priority.
func sameClass(a, b *Unit) bool {
	return rank(a) == rank(b) && a.Job.Spec.Priority == b.Job.Spec.Priority
}

// rank is the first part of the order of units, see CompareUnits.
func rank(u *Unit) int {
	switch {
	case u.Guaranteed:
		return 0
	case u.Expired:
		return 3
	case u.Excess:
		return 2
	}
	return 1
}
