package system

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// filter tells whether a worker may take the given additional accelerators and slots of a job.
type filter func(w *table.Worker, accelerators, slots int) bool

// search returns a worker with available capacity for each member of a shape, or nil. It is a best-fit search: it takes
// the workers or the rack with the least capacity that suffices, so that larger capacity stays free for larger shapes.
func (p *Policy) search(s table.Shape, avoid []string, ok filter) []*table.Worker {
	switch {
	case s.Gang == 1 || s.Adjacency == table.SameWorker:
		return p.searchWorker(s, avoid, ok)
	case s.Adjacency == table.SameRack:
		return p.searchRack(s, avoid, ok)
	}
	return p.searchZone(s, avoid, ok)
}

// maxScanned bounds the number of suitable workers with equal available accelerators that are compared for one job.
const maxScanned = 64

// searchWorker takes a worker with the fewest available accelerators that suffice and, among equal ones, one in the
// fullest rack, so that other racks stay free for large gangs.
func (p *Policy) searchWorker(s table.Shape, avoid []string, ok filter) []*table.Worker {
	x := p.tables.Index()
	for n := s.Total(); n <= x.MaxAvailable(); n++ {
		var best *table.Worker
		scanned := 0
		for _, w := range x.WithAvailable(n) {
			if membersFor(w, s.Accelerators, s.Gang, avoid, ok) < s.Gang {
				continue
			}
			if best == nil || w.RackAvailable() < best.RackAvailable() {
				best = w
			}
			if scanned++; scanned == maxScanned {
				break
			}
		}
		if best != nil {
			return slices.Repeat([]*table.Worker{best}, s.Gang)
		}
	}
	return nil
}

func (p *Policy) searchRack(s table.Shape, avoid []string, ok filter) []*table.Worker {
	type candidate struct {
		rack       *table.RackCapacity
		maxMembers int
	}
	var candidates []candidate
	for _, r := range p.tables.Index().Racks() {
		if members := r.MaxMembers(s.Accelerators); members >= s.Gang {
			candidates = append(candidates, candidate{r, members})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.maxMembers, b.maxMembers) })
	for _, c := range candidates {
		workers := slices.Clone(c.rack.Workers())
		slices.SortStableFunc(workers, leastAvailableFirst)
		if members := placeAll(workers, s, avoid, ok); members != nil {
			return members
		}
	}
	return nil
}

func (p *Policy) searchZone(s table.Shape, avoid []string, ok filter) []*table.Worker {
	x := p.tables.Index()
	if x.MaxMembers(s.Accelerators) < s.Gang {
		return nil
	}
	var members []*table.Worker
	for n := s.Accelerators; n <= x.MaxAvailable(); n++ {
		rest := s
		rest.Gang -= len(members)
		members = append(members, placeUpTo(x.WithAvailable(n), rest, avoid, ok)...)
		if len(members) == s.Gang {
			return members
		}
	}
	return nil
}

// placeAll places all members on the workers, in order, or returns nil.
func placeAll(workers []*table.Worker, s table.Shape, avoid []string, ok filter) []*table.Worker {
	members := placeUpTo(workers, s, avoid, ok)
	if len(members) < s.Gang {
		return nil
	}
	return members
}

// placeUpTo places as many members of the shape as fit on the workers, in order.
func placeUpTo(workers []*table.Worker, s table.Shape, avoid []string, ok filter) []*table.Worker {
	var members []*table.Worker
	for _, w := range workers {
		if len(members) == s.Gang {
			break
		}
		n := membersFor(w, s.Accelerators, s.Gang-len(members), avoid, ok)
		for range n {
			members = append(members, w)
		}
	}
	return members
}

// membersFor returns how many members a worker can take, up to a limit. Workers to avoid can take none.
func membersFor(w *table.Worker, accelerators, limit int, avoid []string, ok filter) int {
	n := min(limit, w.FittingMembers(accelerators))
	if n <= 0 || slices.Contains(avoid, w.ID) {
		return 0
	}
	for ok != nil && n > 0 && !ok(w, n*accelerators, n) {
		n--
	}
	return n
}

func leastAvailableFirst(a, b *table.Worker) int {
	x, _ := a.Available()
	y, _ := b.Available()
	return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.Reserved(), b.Reserved()))
}
