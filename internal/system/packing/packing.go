// Package packing places gangs on workers so that their adjacency holds. The validation of contracts and the
// scheduler's reservations use the same search, so guarantees that are accepted for a zone can also be reserved there.
package packing

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Bin is the capacity of one worker as a bin of the packing problem.
type Bin struct {
	Rack  int // Index of its rack.
	Free  int // Free accelerators.
	Slots int // Number of members that it can take.
}

// Result is a packing. Members[g] holds the index of the bin of each member of gang g, or is nil if the gang does not
// fit.
type Result struct {
	Members       [][]int
	UnplacedGangs int // Number of gangs that do not fit.
}

// Pack places the gangs on the bins greedily, in each of a few orders, and returns the packing that leaves out the
// fewest gangs. An exact search is not affordable, because the problem contains bin packing. The result is
// deterministic.
func Pack(bins []Bin, gangs []table.Shape) Result {
	var best Result
	for i, order := range packingOrders {
		r := packInOrder(bins, gangs, order)
		if i == 0 || r.UnplacedGangs < best.UnplacedGangs {
			best = r
		}
		if best.UnplacedGangs == 0 {
			break
		}
	}
	return best
}

// packingOrders are the orders of gangs that Pack tries: by adjacency (the most restrictive first) and then size, by
// the accelerators that one worker must have free, and by size alone. The most demanding gangs come first.
var packingOrders = []func(a, b table.Shape) int{
	func(a, b table.Shape) int {
		return cmp.Or(cmp.Compare(b.Adjacency, a.Adjacency), cmp.Compare(b.Total(), a.Total()),
			cmp.Compare(b.Accelerators, a.Accelerators))
	},
	func(a, b table.Shape) int {
		return cmp.Or(cmp.Compare(minPerWorker(b), minPerWorker(a)), cmp.Compare(b.Adjacency, a.Adjacency),
			cmp.Compare(b.Total(), a.Total()))
	},
	func(a, b table.Shape) int { return cmp.Compare(b.Total(), a.Total()) },
}

// minPerWorker returns the accelerators that one worker must have free for the gang.
func minPerWorker(s table.Shape) int {
	if s.Adjacency == table.SameWorker {
		return s.Total()
	}
	return s.Accelerators
}

// packInOrder places the gangs one after another in the given order, each as Place does.
func packInOrder(bins []Bin, gangs []table.Shape, order func(a, b table.Shape) int) Result {
	work := slices.Clone(bins)
	index := make([]int, len(gangs))
	for i := range index {
		index[i] = i
	}
	slices.SortStableFunc(index, func(a, b int) int { return order(gangs[a], gangs[b]) })
	r := Result{Members: make([][]int, len(gangs))}
	failed := map[table.Shape]bool{}
	for _, g := range index {
		// Free capacity only shrinks, so a shape that found no place finds none later either.
		if !failed[gangs[g]] {
			r.Members[g] = Place(work, gangs[g])
		}
		if r.Members[g] == nil {
			failed[gangs[g]] = true
			r.UnplacedGangs++
		}
	}
	return r
}

// Place places one gang on the bins and subtracts its capacity from them. It returns the index of the bin of each
// member, or nil if there is no place.
func Place(bins []Bin, s table.Shape) []int {
	if s.Gang < 1 || s.Accelerators < 1 {
		return nil
	}
	var members []int
	switch s.Adjacency {
	case table.SameWorker:
		members = placeOnWorker(bins, s)
	case table.SameRack:
		members = placeInRack(bins, s)
	default:
		members = placeInOrder(bins, fullestFirst(bins, -1), s)
	}
	for _, b := range members {
		bins[b].Free -= s.Accelerators
		bins[b].Slots--
	}
	return members
}

// placeOnWorker places the gang on one bin: the one with the fewest free accelerators that takes the whole gang.
func placeOnWorker(bins []Bin, s table.Shape) []int {
	best := -1
	for i, b := range bins {
		if b.fittingMembers(s.Accelerators) >= s.Gang && (best < 0 || b.Free < bins[best].Free) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return slices.Repeat([]int{best}, s.Gang)
}

// placeInRack places the gang in a rack: of those that can take the whole gang, the one that can take the fewest
// members of this size.
func placeInRack(bins []Bin, s table.Shape) []int {
	var membersByRack []int
	for _, b := range bins {
		for len(membersByRack) <= b.Rack {
			membersByRack = append(membersByRack, 0)
		}
		membersByRack[b.Rack] += b.fittingMembers(s.Accelerators)
	}
	best := -1
	for rack, n := range membersByRack {
		if n >= s.Gang && (best < 0 || n < membersByRack[best]) {
			best = rack
		}
	}
	if best < 0 {
		return nil
	}
	return placeInOrder(bins, fullestFirst(bins, best), s)
}

// placeInOrder places the members on the bins that index lists, in that order. It returns nil if not all members fit.
func placeInOrder(bins []Bin, index []int, s table.Shape) []int {
	members := make([]int, 0, s.Gang)
	for _, i := range index {
		for n := bins[i].fittingMembers(s.Accelerators); n > 0 && len(members) < s.Gang; n-- {
			members = append(members, i)
		}
	}
	if len(members) < s.Gang {
		return nil
	}
	return members
}

// fullestFirst returns the indexes of the bins of a rack, or of all racks (-1), ordered by free accelerators, fewest
// first, so that empty workers stay available for large gangs.
func fullestFirst(bins []Bin, rack int) []int {
	var index []int
	for i, b := range bins {
		if rack < 0 || b.Rack == rack {
			index = append(index, i)
		}
	}
	slices.SortStableFunc(index, func(a, b int) int { return cmp.Compare(bins[a].Free, bins[b].Free) })
	return index
}

// fittingMembers returns how many members, each with the given accelerators, fit the bin.
func (b Bin) fittingMembers(accelerators int) int { return max(0, min(b.Free/accelerators, b.Slots)) }
