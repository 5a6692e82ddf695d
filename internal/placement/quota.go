package placement

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Workspace is a workspace with a weight or a maximum.
type Workspace struct {
	Weight   float64          // Share of the capacity when not all work fits; 0 if it has none, and then counts as 1.
	Max      domain.Resources // What it may have running across all workers. 0 stands for no limit.
	Used     domain.Resources // What counts against Max, including attempts that are being stopped.
	Stopping domain.Resources // The part of Used that is taken by attempts that are being stopped.
}

// Counted is what an attempt counts against the maximum of its workspace. Attempts hold a pointer, since they are copied and
// compared in great numbers.
type Counted struct {
	Workspace string
	Amount    domain.Resources
}

// quota is a workspace that has a maximum, with what one decision has done so far.
type quota struct {
	*Workspace
	taken    domain.Resources // Used, plus what was allocated to its units or is withheld for them.
	started  domain.Resources // What the starts of the decision take.
	stopping domain.Resources // The part of Used that becomes free: Stopping, and what the decision preempts.
	victims  []quotaVictim    // Attempts of the workspace, see victimsOf.
	known    bool             // victims has been filled.
}

// quotaVictim is an attempt that may be stopped for urgent work of its own workspace.
type quotaVictim struct {
	RunningAttempt
	worker *Worker
}

// quotas holds the workspaces that have a maximum. The pools of a view share it, since a maximum applies to all workers.
type quotas struct {
	byWorkspace map[string]*quota
	held        map[*Unit]domain.Resources // Parts of quota.taken that are withheld from other units for one that waits.
	stopped     map[domain.TaskID]bool     // Preempted attempts, by firstMember.
	view        *View                      // With the workers of all pools.
}

// newQuotas returns the workspaces of a view that have a maximum, nil if none has.
func newQuotas(v *View) *quotas {
	var q *quotas
	for name, w := range v.Workspaces {
		if w.Max == (domain.Resources{}) {
			continue
		}
		if q == nil {
			q = &quotas{byWorkspace: map[string]*quota{}, held: map[*Unit]domain.Resources{}, stopped: map[domain.TaskID]bool{}, view: v}
		}
		q.byWorkspace[name] = &quota{Workspace: w, taken: w.Used, stopping: w.Stopping}
	}
	return q
}

// urgentPoolsFirst orders the pools by their first unit, and withholds what guaranteed units of all pools need. Otherwise a
// pool that is decided earlier would take what is left of a maximum, in each plan, before the urgent work of another pool.
func (q *quotas) urgentPoolsFirst(pools []*View) {
	if q == nil || len(pools) < 2 {
		return
	}
	first := func(v *View) *Unit { return slices.MinFunc(v.Units, CompareUnits) }
	slices.SortStableFunc(pools, func(a, b *View) int { return CompareUnits(first(a), first(b)) })
	for _, v := range pools {
		for _, u := range v.Units {
			if w := q.byWorkspace[u.Job.Spec.Workspace]; w != nil && u.Guaranteed {
				q.hold(w, u, len(u.Indexes))
			}
		}
	}
}

// quotaOf returns the workspace of a unit, nil if it has no maximum.
func (d *decision) quotaOf(u *Unit) *quota {
	if d.quotas == nil {
		return nil
	}
	return d.quotas.byWorkspace[u.Job.Spec.Workspace]
}

// hold withholds the need of some tasks of a unit from other units of its workspace, as far as something is left.
func (q *quotas) hold(w *quota, u *Unit, tasks int) {
	need := u.step().Counted().Times(tasks)
	left := func(need, taken, limit int64) int64 {
		if limit <= 0 {
			return 0
		}
		return max(0, min(need, limit-taken))
	}
	part := domain.Resources{
		CPU: left(need.CPU, w.taken.CPU, w.Max.CPU), MemoryMB: left(need.MemoryMB, w.taken.MemoryMB, w.Max.MemoryMB),
		Accelerators: left(need.Accelerators, w.taken.Accelerators, w.Max.Accelerators),
	}
	w.taken = w.taken.Plus(part)
	q.held[u] = q.held[u].Plus(part)
}

// dropHold ends what is withheld for a unit, before it is placed.
func (d *decision) dropHold(u *Unit) {
	if w := d.quotaOf(u); w != nil {
		w.taken = w.taken.Minus(d.quotas.held[u])
		delete(d.quotas.held, u)
	}
}

// take counts tasks of a unit that were allocated; a negative number undoes it.
func (d *decision) take(u *Unit, tasks int) {
	if w := d.quotaOf(u); w != nil {
		w.taken = w.taken.Plus(u.step().Counted().Times(tasks))
	}
}

// countStarted counts the starts of a unit.
func (d *decision) countStarted(u *Unit, tasks int) {
	if w := d.quotaOf(u); w != nil {
		w.started = w.started.Plus(u.step().Counted().Times(tasks))
	}
}

// atMax tells whether the maximum of its workspace keeps more tasks of a unit from running, besides those that were placed.
// What is withheld for other units of the workspace counts, unless the work has waited for lightLoadWaitMS under light load
// and less than lightLoadShare of the maximum is in use.
func (d *decision) atMax(u *Unit, placed, more int) bool {
	w := d.quotaOf(u)
	if w == nil {
		return false
	}
	need := u.step().Counted()
	if need.Times(more).FitsMax(w.taken, w.Max) {
		return false
	}
	if !d.lightLoad || u.WaitedMS < lightLoadWaitMS {
		return true
	}
	running := w.Used.Plus(w.started).Plus(need.Times(placed))
	light := func(used, limit int64) bool { return limit <= 0 || float64(used) < lightLoadShare*float64(limit) }
	return !light(running.CPU, w.Max.CPU) || !light(running.MemoryMB, w.Max.MemoryMB) || !light(running.Accelerators, w.Max.Accelerators) ||
		!need.Times(more).FitsMax(running, w.Max)
}

// waitForMax handles tasks of a unit that its workspace's maximum keeps from running. Urgent work preempts lower-priority work
// of its own workspace. For other work that would get room reserved, a part of the maximum is withheld from units that come
// later in the order; otherwise small tasks would take each part that becomes free before a gang fits. No room is withheld
// from other workspaces for work that cannot run.
func (d *decision) waitForMax(u *Unit, indexes []int) {
	w := d.quotaOf(u)
	tasks := 1
	if u.step().Gang {
		tasks = len(indexes)
	}
	if !u.step().Counted().Times(tasks).FitsMax(domain.Resources{}, w.Max) {
		return // It can never run under this maximum.
	}
	switch {
	case u.MayPreempt && u.WaitedMS >= PreemptAfterWaitMS:
		if u.step().Gang {
			d.alsoStoppingUrgent(u, func() bool { return d.preemptInWorkspace(w, u, indexes) })
			return
		}
		for n := range indexes {
			if !d.alsoStoppingUrgent(u, func() bool { return d.preemptInWorkspace(w, u, indexes[n:n+1]) }) {
				return
			}
		}
	case u.MayPreempt || d.shouldReserve(u):
		d.holdIfFits(w, u, tasks)
	}
}

// holdIfFits withholds a part of the maximum for tasks that would fit on empty workers.
func (d *decision) holdIfFits(w *quota, u *Unit, tasks int) {
	demand := u.step().Demand()
	if u.step().Gang && d.fitsWhenEmpty(u, d.slots) ||
		!u.step().Gang && slices.ContainsFunc(d.slots, func(s *slot) bool { return demand.Fits(s.Total) && d.eligible(u, s) }) {
		d.quotas.hold(w, u, tasks)
	}
}

// preemptInWorkspace finds room for tasks of an urgent unit and stops attempts of its workspace that may be stopped for it, so
// that the tasks can run there once these have ended. It returns false if the stops would not suffice, or there is no room.
func (d *decision) preemptInWorkspace(w *quota, u *Unit, indexes []int) bool {
	d.dropHold(u) // Of a try before.
	need := u.step().Counted().Times(len(indexes))
	if !d.canFree(w, u, need) {
		d.holdIfFits(w, u, len(indexes))
		return false
	}
	before, demand := w.taken, u.step().Demand()
	if u.step().Gang {
		if slots := d.gangSlots(u); slots == nil {
			d.preemptForGang(u)
		} else {
			for _, s := range slots {
				d.allocate(u, s, demand)
			}
		}
	} else if s := d.bestSlot(u, u.Job.Task(u.task(indexes[0])).FailedOn, demand); s == nil {
		d.preemptForTasks(u, indexes, demand)
	} else {
		d.allocate(u, s, demand)
	}
	if w.taken == before {
		return false
	}
	for i := range w.victims {
		v := &w.victims[i]
		short := w.shortage(need)
		if short == (domain.Resources{}) {
			break
		}
		if d.stoppable(u, v) && v.frees(short) {
			d.preemptAnywhere(u.task(indexes[0]), v)
		}
	}
	return true
}

// shortage returns by how much the workspace would be above its maximum after all stops, of what a need takes.
func (w *quota) shortage(need domain.Resources) domain.Resources {
	short := func(need, taken, stopping, limit int64) int64 {
		if limit <= 0 || need == 0 {
			return 0
		}
		return max(0, taken-stopping-limit)
	}
	return domain.Resources{
		CPU: short(need.CPU, w.taken.CPU, w.stopping.CPU, w.Max.CPU), MemoryMB: short(need.MemoryMB, w.taken.MemoryMB, w.stopping.MemoryMB, w.Max.MemoryMB),
		Accelerators: short(need.Accelerators, w.taken.Accelerators, w.stopping.Accelerators, w.Max.Accelerators),
	}
}

// canFree tells whether stops of attempts that may be stopped, together with those that are under way, make room for a need below
// the maximum of a workspace.
func (d *decision) canFree(w *quota, u *Unit, need domain.Resources) bool {
	later := w.taken.Minus(w.stopping)
	if need.FitsMax(later, w.Max) {
		return true
	}
	counted := map[domain.TaskID]bool{}
	for i := range d.victimsOf(w, u.Job.Spec.Workspace) {
		v := &w.victims[i]
		if !d.stoppable(u, v) || counted[v.firstMember()] {
			continue
		}
		counted[v.firstMember()] = true
		if later = later.Minus(v.counted()); need.FitsMax(later, w.Max) {
			return true
		}
	}
	return false
}

// victimsOf returns the attempts of a workspace on all workers, the cheapest to stop first. Those on workers that may not answer
// come last, since a stop there may take until the lease is over.
func (d *decision) victimsOf(w *quota, workspace string) []quotaVictim {
	if w.known {
		return w.victims
	}
	w.known = true
	for _, worker := range d.quotas.view.Workers {
		for _, t := range d.quotas.view.AttemptsOn(worker) {
			if t.Counted != nil && t.Counted.Workspace == workspace {
				w.victims = append(w.victims, quotaVictim{t, worker})
			}
		}
	}
	unusable := func(v *quotaVictim) int {
		if v.worker.Usable {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(w.victims, func(a, b quotaVictim) int {
		return cmp.Or(cmp.Compare(unusable(&a), unusable(&b)), cmp.Compare(a.cost(), b.cost()))
	})
	return w.victims
}

// stoppable tells whether an attempt may be stopped for a unit of its workspace.
func (d *decision) stoppable(u *Unit, v *quotaVictim) bool {
	return d.mayStop(u, &v.RunningAttempt) && !v.Stopping && !d.quotas.stopped[v.firstMember()] && d.withinDisruptionBudget(v.RunningAttempt)
}

// preemptAnywhere stops an attempt that may be on a worker of another pool, or on one that takes no new work.
func (d *decision) preemptAnywhere(by domain.TaskID, v *quotaVictim) {
	for _, s := range d.slots {
		if s.Worker == v.worker {
			d.preempt(by, s, []RunningAttempt{v.RunningAttempt})
			return
		}
	}
	d.preempted[v.Task] = true
	d.countPreempted(v.RunningAttempt)
	d.plan.Preemptions = append(d.plan.Preemptions, Preemption{Task: v.Task, For: by})
}

// countPreempted counts what the stop of an attempt frees of the maximum of its workspace, with all members of its gang.
func (d *decision) countPreempted(t RunningAttempt) {
	if d.quotas == nil || t.Counted == nil || d.quotas.stopped[t.firstMember()] {
		return
	}
	d.quotas.stopped[t.firstMember()] = true
	if w := d.quotas.byWorkspace[t.Counted.Workspace]; w != nil {
		w.stopping = w.stopping.Plus(t.counted())
	}
}

// counted returns what the stop of an attempt frees of the maximum of its workspace, with all members of its gang.
func (r *RunningAttempt) counted() domain.Resources { return r.Counted.Amount.Times(max(1, r.Members)) }

// firstMember identifies the attempts that end together.
func (r *RunningAttempt) firstMember() domain.TaskID {
	id := r.Task
	if r.Members > 1 {
		id.Index = 0
	}
	return id
}

// frees tells whether the stop of an attempt reduces a shortage.
func (r *RunningAttempt) frees(short domain.Resources) bool {
	c := r.Counted.Amount
	return (short.CPU > 0 && c.CPU > 0) || (short.MemoryMB > 0 && c.MemoryMB > 0) || (short.Accelerators > 0 && c.Accelerators > 0)
}
