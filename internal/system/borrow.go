package system

import (
	"container/heap"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/share"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// workspaceQueue holds the queued jobs of one workspace and class that remain to be tried in a tick.
type workspaceQueue struct {
	ws          *table.Workspace
	groups      []*groupCursor
	surplusUsed float64 // Borrowed accelerators divided by the surplus share; set only for borrowing.
}

// groupCursor iterates over the jobs of a group within one tick.
type groupCursor struct {
	group *table.Group
	next  int
}

// surplusHeap is a heap of workspaces, ordered by the surplus in use relative to the share, lowest first, then by the
// age of the oldest job, oldest first.
type surplusHeap []*workspaceQueue

func (b surplusHeap) Len() int      { return len(b) }
func (b surplusHeap) Swap(i, j int) { b[i], b[j] = b[j], b[i] }
func (b surplusHeap) Less(i, j int) bool {
	return share.Compare(b[i].claim(), b[j].claim()) < 0
}

// Push implements heap.Interface.
func (b *surplusHeap) Push(x any) { *b = append(*b, x.(*workspaceQueue)) }

// Pop implements heap.Interface.
func (b *surplusHeap) Pop() any {
	old := *b
	last := old[len(old)-1]
	*b = old[:len(old)-1]
	return last
}

func (b *workspaceQueue) claim() share.Claim {
	return share.Claim{Use: b.surplusUsed, Oldest: b.oldest()}
}

// oldest returns the sequence of the oldest remaining job, which is in the first group.
func (b *workspaceQueue) oldest() uint64 { return b.groups[0].job().Sequence }

func (c *groupCursor) job() *table.Job { return c.group.Jobs()[c.next] }

// skipUnplaceable advances to the next job that may be placed. It returns false at the end of the group.
func (c *groupCursor) skipUnplaceable(p *Policy) bool {
	for ; c.next < len(c.group.Jobs()); c.next++ {
		if p.placeable(c.job()) {
			return true
		}
	}
	return false
}

// placeBorrowed places queued jobs beyond the guarantees of their workspaces, ordered by class, then by the surplus
// that the workspace uses relative to its share, then by age.
func (p *Policy) placeBorrowed(now time.Duration) {
	clear(p.unplaceableShapes)
	p.blockedGroups = p.blockedGroups[:0]
	p.placeReservedJob()
	p.holdBackfillReservation()
	for c := table.Class(0); c < table.ClassCount; c++ {
		queue := p.borrowers(c)
		heap.Init(&queue)
		for len(queue) > 0 {
			if p.placeNext(queue[0]) {
				heap.Fix(&queue, 0)
				continue
			}
			heap.Pop(&queue)
		}
	}
}

// borrowers returns the queues of the workspaces with jobs of a class that may borrow. Groups that have no place are
// recorded as blocked.
func (p *Policy) borrowers(c table.Class) surplusHeap {
	var out surplusHeap
	for _, name := range p.tables.QueuedWorkspaces() {
		ws := p.tables.Workspace(name)
		if ws == nil || ws.SurplusShare == 0 {
			continue
		}
		b := &workspaceQueue{ws: ws, surplusUsed: p.surplusUsed(ws)}
		for _, g := range p.tables.Groups(name, c) {
			if p.hasNoPlace(g.Shape) {
				p.addBlocked(g)
				continue
			}
			if cur := (&groupCursor{group: g}); cur.skipUnplaceable(p) {
				b.groups = append(b.groups, cur)
			}
		}
		b.moveOldestFirst()
		if len(b.groups) > 0 {
			out = append(out, b)
		}
	}
	return out
}

func (p *Policy) surplusUsed(ws *table.Workspace) float64 {
	return share.Relative(float64(p.tables.BorrowedAccelerators(ws.Name)+p.plannedBorrowed[ws.Name]), float64(ws.SurplusShare))
}

// moveOldestFirst moves the group with the oldest job to the front.
func (b *workspaceQueue) moveOldestFirst() {
	for i := range b.groups {
		if b.groups[i].job().Sequence < b.groups[0].job().Sequence {
			b.groups[0], b.groups[i] = b.groups[i], b.groups[0]
		}
	}
}

// removeFirstGroup removes the first group. The order of the others changes.
func (b *workspaceQueue) removeFirstGroup() {
	b.groups[0] = b.groups[len(b.groups)-1]
	b.groups = b.groups[:len(b.groups)-1]
}

// placeNext places the oldest job of the queue that fits. It returns false if no job is left to try.
func (p *Policy) placeNext(b *workspaceQueue) bool {
	for len(b.groups) > 0 {
		cur := b.groups[0]
		j := cur.job()
		placed := p.placeBorrowedJob(b.ws, j)
		cur.next++
		// If a job finds no place, another job of the same shape finds one only if the failed workers or the no-repeat
		// flag of the first one restricted its places.
		if !placed && len(j.FailedWorkers) == 0 && !j.NoRepeat || !cur.skipUnplaceable(p) {
			if !placed {
				p.addBlocked(cur.group)
			}
			b.removeFirstGroup()
		}
		b.moveOldestFirst()
		if placed {
			b.surplusUsed = p.surplusUsed(b.ws)
			return len(b.groups) > 0
		}
	}
	return false
}

// addBlocked records a group whose jobs wait for capacity beyond the guarantee.
func (p *Policy) addBlocked(g *table.Group) { p.blockedGroups = append(p.blockedGroups, g) }

// hasNoPlace tells whether a shape certainly has no place. To be cheap it looks only at totals of the index, so false
// does not mean that there is a place.
func (p *Policy) hasNoPlace(s table.Shape) bool {
	x := p.tables.Index()
	most := x.MaxAvailable()
	if s.Gang == 1 || s.Adjacency == table.SameWorker {
		return most < s.Total()
	}
	return most < s.Accelerators || x.MaxMembers(s.Accelerators) < s.Gang
}

// placeBorrowedJob places a job on capacity beyond its workspace's guarantee. It returns false if there is none.
func (p *Policy) placeBorrowedJob(ws *table.Workspace, j *table.Job) bool {
	if p.unplaceableShapes[j.Shape] || !p.withinLimits(ws, j.Shape.Total()) {
		return false
	}
	members := p.search(j.Shape, p.workersToAvoid(j), p.noRepeatFilter(j))
	if members == nil && j.NoRepeat {
		members = p.clearForNoRepeat(j)
	}
	if members == nil {
		p.unplaceableShapes[j.Shape] = len(j.FailedWorkers) == 0 && !j.NoRepeat
		return false
	}
	p.addPlacement(j, members, Placement{Borrowed: true})
	return true
}

// noRepeatFilter returns a filter that keeps jobs that must not be repeated, and so cannot be preempted, off reserved
// capacity. It returns nil for other jobs.
func (p *Policy) noRepeatFilter(j *table.Job) filter {
	if !j.NoRepeat {
		return nil
	}
	return func(w *table.Worker, accelerators, slots int) bool {
		l := p.loads[w.ID]
		if l == nil {
			return true
		}
		return l.reserved.accelerators+l.pinned.accelerators+accelerators <= w.Accelerators &&
			l.reserved.slots+l.pinned.slots+slots <= w.Slots
	}
}

// clearForNoRepeat moves unused gang reservations off free workers, so that a job that cannot be preempted may be
// placed there. It returns the worker of each member, or nil if the reservations have no other place.
func (p *Policy) clearForNoRepeat(j *table.Job) []*table.Worker {
	if p.moveSearches >= maxMoveSearches {
		return nil
	}
	p.countMoveSearch()
	target := p.search(j.Shape, p.workersToAvoid(j), nil)
	if target == nil {
		return nil
	}
	need := map[string]capacity{}
	for _, w := range target {
		n := need[w.ID]
		need[w.ID] = capacity{n.accelerators + j.Shape.Accelerators, n.slots + 1}
	}
	displaced := p.conflictingReservations(nil, need)
	moved := displaced != nil && p.rebindElsewhere(displaced, need)
	p.updateLoads()
	if !moved {
		return nil
	}
	return target
}
