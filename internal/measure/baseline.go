package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// baseline is the common part of both baselines: the search over all workers, retries on other workers than those that
// a job failed on, and the quarantine of a worker after failures of three distinct jobs.
type baseline struct {
	tables              *table.Tables
	plannedAccelerators map[string]int      // Accelerators planned in this tick, by worker.
	bestFit             bool                // Otherwise first fit.
	failedJobs          map[string][]string // Distinct jobs that failed since the last success, by worker.
	lastVersion         uint64              // Version of the tables at the last tick that was not skipped.
}

func newBaseline(tables *table.Tables, bestFit bool) baseline {
	return baseline{tables: tables, plannedAccelerators: map[string]int{}, bestFit: bestFit, failedJobs: map[string][]string{}}
}

// Admit refuses jobs only while the zone is out of service. The baselines have no request rates and no queue limits.
func (b *baseline) Admit(time.Duration, *table.Job, bool) *system.Refusal {
	if b.tables.Service.Out {
		return &system.Refusal{Code: system.RefusedZoneOut}
	}
	return nil
}

// Ended quarantines a worker after failures of three distinct jobs without a success in between.
func (b *baseline) AttemptEnded(_ time.Duration, r system.AttemptReport) {
	if r.Succeeded {
		for _, w := range r.Workers {
			delete(b.failedJobs, w)
		}
		return
	}
	for _, id := range r.FailedWorkers {
		if !slices.Contains(b.failedJobs[id], r.Job.ID) {
			b.failedJobs[id] = append(b.failedJobs[id], r.Job.ID)
		}
		if w := b.tables.Worker(id); w != nil && len(b.failedJobs[id]) >= 3 {
			w.Quarantined = true
			b.tables.ReindexWorker(w)
		}
	}
}

// Why returns no explanation, because explanations are not measured.
func (b *baseline) ExplainWait(time.Duration, *table.Job) string { return "" }

// skipTick clears the capacity planned in the last tick, and tells whether this tick has nothing to do: the zone is out
// of service, or the tables have not changed since the last tick.
func (b *baseline) skipTick() bool {
	clear(b.plannedAccelerators)
	if b.tables.Version() == b.lastVersion || b.tables.Service.Out {
		return true
	}
	b.lastVersion = b.tables.Version()
	return false
}

// free returns the accelerators of a worker that are free and not planned in this tick.
func (b *baseline) free(w *table.Worker) int {
	if !w.Usable() {
		return 0
	}
	return w.FreeAccelerators() - b.plannedAccelerators[w.ID]
}

// find returns a worker for each member of the job, or nil if it fits nowhere. It tries each worker, each rack or the
// whole zone, depending on the job's adjacency, and takes the first that fits, or with bestFit the one with the fewest
// free accelerators.
func (b *baseline) find(j *table.Job) []string {
	s := j.Shape
	var best []string
	bestFree := 0
	try := func(workers []*table.Worker) bool {
		members, free := b.fill(workers, j)
		if members == nil || best != nil && free >= bestFree {
			return false
		}
		best, bestFree = members, free
		return !b.bestFit
	}
	switch {
	case s.Gang == 1 || s.Adjacency == table.SameWorker:
		for _, w := range b.tables.Workers() {
			if try([]*table.Worker{w}) {
				break
			}
		}
	case s.Adjacency == table.SameRack:
		for _, r := range b.tables.Racks() {
			if try(b.tables.Rack(r)) {
				break
			}
		}
	default:
		try(b.tables.Workers())
	}
	return best
}

// fill assigns the members of the job to the workers in order, with bestFit to those with the fewest free accelerators
// first. It returns the worker of each member and the number of free accelerators on all these workers, or nil if the
// job does not fit.
func (b *baseline) fill(workers []*table.Worker, j *table.Job) ([]string, int) {
	order := workers
	if b.bestFit {
		order = slices.Clone(workers)
		slices.SortStableFunc(order, func(x, y *table.Worker) int { return cmp.Compare(b.free(x), b.free(y)) })
	}
	var members []string
	free := 0
	for _, w := range order {
		free += b.free(w)
		if slices.Contains(j.FailedWorkers, w.ID) {
			continue
		}
		for n := b.free(w) / j.Shape.Accelerators; n > 0 && len(members) < j.Shape.Gang; n-- {
			members = append(members, w.ID)
		}
	}
	if len(members) < j.Shape.Gang {
		return nil, 0
	}
	return members, free
}

// place returns a placement and counts its accelerators as planned in this tick.
func (b *baseline) place(j *table.Job, members []string, borrowed bool) system.Placement {
	for _, m := range members {
		b.plannedAccelerators[m] += j.Shape.Accelerators
	}
	return system.Placement{Job: j.ID, Members: members, Borrowed: borrowed}
}

// placeable tells whether a queued job is not cancelled and its last attempt, if any, has ended.
func (b *baseline) placeable(j *table.Job) bool {
	return !j.Cancelled && (j.Attempt == "" || b.tables.Attempt(j.Attempt) == nil)
}

// FirstFit is the first baseline: jobs are placed strictly in order of age, each on the first workers that fit.
type FirstFit struct{ baseline }

// NewFirstFit returns the first baseline.
func NewFirstFit(t *table.Tables) *FirstFit { return &FirstFit{newBaseline(t, false)} }

// Tick places the oldest jobs until one does not fit.
func (f *FirstFit) Tick(time.Duration) system.Plan {
	var plan system.Plan
	if f.skipTick() {
		return plan
	}
	next := oldestFirst(f.tables)
	for j := next(); j != nil; j = next() {
		if !f.placeable(j) {
			continue
		}
		members := f.find(j)
		if members == nil {
			break
		}
		plan.Placements = append(plan.Placements, f.place(j, members, false))
	}
	return plan
}

// oldestFirst returns a function that returns all queued jobs one by one, oldest first, then nil.
func oldestFirst(t *table.Tables) func() *table.Job {
	var queues [][]*table.Job
	for _, ws := range t.QueuedWorkspaces() {
		for c := table.Class(0); c < table.ClassCount; c++ {
			queues = append(queues, t.Queued(ws, c))
		}
	}
	return func() *table.Job {
		best := -1
		for i, q := range queues {
			if len(q) > 0 && (best < 0 || q[0].Sequence < queues[best][0].Sequence) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		j := queues[best][0]
		queues[best] = queues[best][1:]
		return j
	}
}

// QuotaBackfill is the second baseline. It orders jobs by class, then those within their workspace's quota before the
// others, then by age, and places them by best fit. Jobs that fit are placed ahead of older ones that do not. Quotas are
// numbers of accelerators, and no attempt is preempted.
type QuotaBackfill struct{ baseline }

// NewQuotaBackfill returns the second baseline.
func NewQuotaBackfill(t *table.Tables) *QuotaBackfill { return &QuotaBackfill{newBaseline(t, true)} }

// Tick places every job that fits.
func (q *QuotaBackfill) Tick(time.Duration) system.Plan {
	var plan system.Plan
	if q.skipTick() {
		return plan
	}
	used := map[string]int{}
	withoutPlace := map[table.Shape]bool{}
	for c := table.Class(0); c < table.ClassCount; c++ {
		for _, within := range []bool{true, false} {
			for _, j := range queuedByAge(q.tables, c) {
				if !q.placeable(j) || planned(plan, j) || withoutPlace[j.Shape] && len(j.FailedWorkers) == 0 {
					continue
				}
				ws := q.tables.Workspace(j.Workspace)
				if within != (q.tables.RunningAccelerators(ws.Name)+used[ws.Name]+j.Shape.Total() <= quota(ws)) {
					continue
				}
				members := q.find(j)
				if members == nil {
					withoutPlace[j.Shape] = withoutPlace[j.Shape] || len(j.FailedWorkers) == 0
					continue
				}
				used[ws.Name] += j.Shape.Total()
				plan.Placements = append(plan.Placements, q.place(j, members, !within))
			}
		}
	}
	return plan
}

// planned tells whether the plan places the job.
func planned(plan system.Plan, j *table.Job) bool {
	return slices.ContainsFunc(plan.Placements, func(p system.Placement) bool { return p.Job == j.ID })
}

// quota returns the accelerators of all guarantees of a workspace.
func quota(ws *table.Workspace) int {
	n := 0
	for _, g := range ws.Guarantees {
		n += g.Gangs * g.Shape.Total()
	}
	return n
}

// queuedByAge returns the queued jobs of the given classes, oldest first.
func queuedByAge(t *table.Tables, classes ...table.Class) []*table.Job {
	var out []*table.Job
	for _, ws := range t.QueuedWorkspaces() {
		for _, c := range classes {
			out = append(out, t.Queued(ws, c)...)
		}
	}
	slices.SortFunc(out, func(a, b *table.Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return out
}
