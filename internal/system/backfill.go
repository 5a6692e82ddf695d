package system

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// backfillReservation keeps workers for the oldest large job that waits for capacity beyond its guarantee. Without it,
// small jobs would take every accelerator that becomes free there.
type backfillReservation struct {
	job       *table.Job
	needs     []workerCapacity // Capacity that the job needs on its target workers.
	held      bool             // needs are held back in the tables.
	notBefore time.Duration    // The job is not expected to start before this time.
	chosenAt  time.Duration    // When the target workers were last chosen or confirmed.
}

const (
	// retargetInterval is the time after which the target of a backfill reservation is chosen again.
	retargetInterval = 20 * time.Second
	// unknownRemaining is the remaining run time assumed for attempts about whose run time nothing is known.
	unknownRemaining = 10 * time.Minute
)

// placeReservedJob places the job of the backfill reservation if it now fits anywhere. The reservation is dropped if
// the job was placed or may no longer be placed.
func (p *Policy) placeReservedJob() {
	r := p.backfillReservation
	if r == nil {
		return
	}
	ws := p.tables.Workspace(r.job.Workspace)
	if ws == nil || ws.SurplusShare == 0 || p.tables.Job(r.job.ID) != r.job || !p.placeable(r.job) ||
		!p.withinLimits(ws, r.job.Shape.Total()) || p.placeBorrowedJob(ws, r.job) {
		p.dropBackfillReservation()
		return
	}
	clear(p.unplaceableShapes)
}

func (p *Policy) releaseBackfillReservation() {
	r := p.backfillReservation
	if r == nil || !r.held {
		return
	}
	r.held = false
	for _, h := range r.needs {
		p.tables.Hold(h.worker, -h.accelerators, -h.slots)
	}
}

func (p *Policy) holdBackfillReservation() {
	r := p.backfillReservation
	if r == nil || r.held {
		return
	}
	r.held = true
	for _, h := range r.needs {
		p.tables.Hold(h.worker, h.accelerators, h.slots)
	}
}

func (p *Policy) dropBackfillReservation() {
	p.releaseBackfillReservation()
	p.backfillReservation = nil
}

// backfill renews the backfill reservation, and places blocked jobs on its capacity if they are expected to end in
// time.
func (p *Policy) backfill(now time.Duration) {
	if !p.lending {
		p.dropBackfillReservation()
		return
	}
	p.releaseBackfillReservation()
	p.renewBackfillReservation(now)
	r := p.backfillReservation
	if r == nil {
		return
	}
	p.wakeAt(r.chosenAt + retargetInterval)
	clear(p.unplaceableShapes)
	for _, g := range p.blockedGroups {
		if !p.hasNoPlace(g.Shape) {
			p.backfillGroup(now, r, g)
		}
	}
	p.holdBackfillReservation()
}

// backfillGroup places blocked jobs of a group if they are expected to end before the reserved capacity is needed.
func (p *Policy) backfillGroup(now time.Duration, r *backfillReservation, g *table.Group) {
	ws := p.tables.Workspace(g.Workspace)
	run, known := p.runtimes.upperEstimate(g.Workspace, g.Class)
	if !known || now+run > r.notBefore {
		return
	}
	for _, j := range g.Jobs() {
		if j == r.job || !p.placeable(j) {
			continue
		}
		if !p.placeBorrowedJob(ws, j) {
			return
		}
	}
}

// renewBackfillReservation chooses the job and the workers of the backfill reservation. The target changes only if
// another one is expected to be free in less than half the time, because a target that moves with every event never
// drains.
func (p *Policy) renewBackfillReservation(now time.Duration) {
	r := p.backfillReservation
	if r != nil && !p.targetUsable(r) {
		r = nil
	}
	if r != nil && now-r.chosenAt < retargetInterval {
		r.notBefore = p.earliestRelease(now, r)
		return
	}
	j := p.oldestLargeJob()
	if p.backfillReservation != nil {
		j = p.backfillReservation.job
	}
	if j == nil {
		return
	}
	target, at := p.earliestFit(now, j, nil, medianQuantile)
	if r != nil {
		_, current := p.earliestFit(now, j, r.workers(), medianQuantile)
		r.chosenAt = now
		if target == nil || 2*(at-now) > current-now {
			r.notBefore = p.earliestRelease(now, r)
			return
		}
	}
	p.backfillReservation = nil
	if target != nil {
		p.backfillReservation = newBackfillReservation(now, j, target)
		p.backfillReservation.notBefore = p.earliestRelease(now, p.backfillReservation)
	}
}

func newBackfillReservation(now time.Duration, j *table.Job, target []*table.Worker) *backfillReservation {
	r := &backfillReservation{job: j, chosenAt: now}
	for _, w := range target {
		i := slices.IndexFunc(r.needs, func(h workerCapacity) bool { return h.worker == w })
		if i < 0 {
			r.needs = append(r.needs, workerCapacity{worker: w})
			i = len(r.needs) - 1
		}
		r.needs[i].accelerators += j.Shape.Accelerators
		r.needs[i].slots++
	}
	return r
}

func (r *backfillReservation) workers() map[*table.Worker]bool {
	out := map[*table.Worker]bool{}
	for _, h := range r.needs {
		out[h.worker] = true
	}
	return out
}

func (p *Policy) targetUsable(r *backfillReservation) bool {
	return !slices.ContainsFunc(r.needs, func(h workerCapacity) bool {
		return p.tables.Worker(h.worker.ID) != h.worker || !h.worker.Usable()
	})
}

// oldestLargeJob returns the oldest blocked job that is large (Options.LargeGang) and within the limits of its
// workspace.
func (p *Policy) oldestLargeJob() *table.Job {
	var oldest *table.Job
	for _, g := range p.blockedGroups {
		if g.Shape.Total() < p.options.LargeGang || !p.withinLimits(p.tables.Workspace(g.Workspace), g.Shape.Total()) {
			continue
		}
		for _, j := range g.Jobs() {
			if oldest != nil && j.Sequence > oldest.Sequence {
				break
			}
			if p.placeable(j) {
				oldest = j
				break
			}
		}
	}
	return oldest
}

// earliestRelease returns the time before which the target of a backfill reservation is not expected to be free. It
// returns now if there is no such time.
func (p *Policy) earliestRelease(now time.Duration, r *backfillReservation) time.Duration {
	target, at := p.earliestFit(now, r.job, r.workers(), earlyQuantile)
	if target == nil {
		return now
	}
	return at
}

// expectedRelease is the capacity that the expected end of an attempt frees on one worker.
type expectedRelease struct {
	at     time.Duration
	worker *table.Worker
	capacity
}

// earliestFit returns the workers on which a job is expected to fit first, and when. The ends of running attempts are
// estimated at the quantile q of the run times. If only is not nil, no other workers are considered.
func (p *Policy) earliestFit(now time.Duration, j *table.Job, only map[*table.Worker]bool,
	q float64) ([]*table.Worker, time.Duration) {
	var best []*table.Worker
	var bestAt time.Duration
	try := func(workers []*table.Worker) {
		target, at := p.earliestFitOn(now, j, workers, q)
		if target != nil && (best == nil || at < bestAt) {
			best, bestAt = target, at
		}
	}
	var all []*table.Worker
	for _, r := range p.tables.Index().Racks() {
		workers := p.eligibleWorkers(r.Workers(), j, only)
		switch {
		case j.Shape.Gang == 1 || j.Shape.Adjacency == table.SameWorker:
			for i := range workers {
				try(workers[i : i+1])
			}
		case j.Shape.Adjacency == table.SameRack:
			try(workers)
		default:
			all = append(all, workers...)
		}
	}
	if len(all) > 0 {
		try(all)
	}
	return best, bestAt
}

func (p *Policy) eligibleWorkers(workers []*table.Worker, j *table.Job, only map[*table.Worker]bool) []*table.Worker {
	var out []*table.Worker
	avoid := p.workersToAvoid(j)
	for _, w := range workers {
		if w.Usable() && (only == nil || only[w]) && !slices.Contains(avoid, w.ID) {
			out = append(out, w)
		}
	}
	return out
}

// earliestFitOn releases the capacity of the attempts on the given workers in the order of their expected ends until
// the job fits. It returns the worker of each member and the time, or nil if the job never fits.
func (p *Policy) earliestFitOn(now time.Duration, j *table.Job, workers []*table.Worker,
	q float64) ([]*table.Worker, time.Duration) {
	s := j.Shape
	most := 0
	for _, w := range workers {
		most += min(w.Accelerators/s.Accelerators, w.Slots)
	}
	if most < s.Gang {
		return nil, 0
	}
	free := make(map[*table.Worker]capacity, len(workers))
	ready := make([]*table.Worker, 0, len(workers))
	total := 0
	var ends []expectedRelease
	for _, w := range workers {
		accelerators, slots := w.Available()
		free[w] = capacity{accelerators, slots}
		if n := free[w].fittingMembers(s.Accelerators); n > 0 {
			total += n
			ready = append(ready, w)
		}
		ends = p.expectedReleases(now, w, q, ends)
	}
	at := now
	slices.SortStableFunc(ends, func(a, b expectedRelease) int { return cmp.Compare(a.at, b.at) })
	for i := 0; total < s.Gang; i++ {
		if i == len(ends) {
			return nil, 0
		}
		e := ends[i]
		before := free[e.worker]
		after := capacity{before.accelerators + e.accelerators, before.slots + e.slots}
		free[e.worker] = after
		total += after.fittingMembers(s.Accelerators) - before.fittingMembers(s.Accelerators)
		if before.fittingMembers(s.Accelerators) == 0 && after.fittingMembers(s.Accelerators) > 0 {
			ready = append(ready, e.worker)
		}
		at = e.at
	}
	var members []*table.Worker
	for _, w := range ready {
		for n := free[w].fittingMembers(s.Accelerators); n > 0 && len(members) < s.Gang; n-- {
			members = append(members, w)
		}
	}
	return members, at
}

func (c capacity) fittingMembers(accelerators int) int {
	return max(0, min(c.accelerators/accelerators, c.slots))
}

// expectedReleases appends the expected releases of the attempts on a worker to out.
func (p *Policy) expectedReleases(now time.Duration, w *table.Worker, q float64,
	out []expectedRelease) []expectedRelease {
	for _, id := range w.Attempts() {
		a := p.tables.Attempt(id)
		n := membersOn(a, w.ID)
		out = append(out, expectedRelease{now + p.remaining(now, a, q), w, capacity{n * a.Accelerators, n}})
	}
	return out
}

// remaining estimates how much longer an attempt holds its capacity. Without observed run times, the estimate at
// earlyQuantile is zero, so that nothing is backfilled; the declared run time is only a hint for the choice of the
// target.
func (p *Policy) remaining(now time.Duration, a *table.Attempt, q float64) time.Duration {
	j := p.tables.Job(a.Job)
	ran := time.Duration(0)
	if a.State == table.AttemptRunning {
		ran = now - a.RunningAt
	}
	if left, known := p.runtimes.remaining(j, ran, q); known {
		return left
	}
	if q == earlyQuantile {
		return 0
	}
	declared := time.Duration(j.DeclaredRunMillis) * time.Millisecond
	if declared > ran {
		return declared - ran
	}
	return max(ran/2, unknownRemaining)
}
