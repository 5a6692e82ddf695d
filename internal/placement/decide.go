package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Limits of how long a unit waits for its preferred rack (that of its data, or for a gang any single rack) before it
// runs elsewhere, and before it preempts. Off that rack a task takes offRackFactor times as long, so waiting for up to
// offRackFactor-1 run times is still faster.
const (
	// offRackFactor is the run time off the preferred rack, as a multiple of that on it. It is the same on all
	// deployments.
	offRackFactor    = 3
	urgentRackWaitMS = 2000 // Urgent work must begin within 3.4 s; the remaining 1.4 s are left for a preemption.
	// PreemptAfterWaitMS is how long a gang waits before it preempts.
	PreemptAfterWaitMS = 60 // Urgent gangs preempt nearly at once, since a stop takes up to 0.9 s.
)

// emptyReserveShare is the share of the workers that is kept empty for urgent work, as long as other work is not at
// risk of missing its objective. Without empty workers urgent work waits for a preemption, which takes up to 0.9 s,
// about a third of the run time of an urgent task.
const emptyReserveShare = 0.35

// slot is a worker with what one decision has allocated on it so far.
type slot struct {
	*Worker
	free               domain.Resources // Capacity on which tasks can start now.
	future             domain.Resources // free, plus the capacity of attempts that are being stopped.
	placed             map[*Unit]int    // Number of tasks that this decision places on the worker, by unit.
	addedBestEffortCPU int64            // Processor time that best-effort tasks placed by this decision ask for.
	attempts           []RunningAttempt // Ordered by the cost of their stop.
	attemptsKnown      bool             // attempts has been filled.
	speed              speedEstimate
	rank               speedRank    // For the unit that is being placed, once it was found to have room.
	harm               int32        // Likewise, see decision.harm.
	images             []imageCount // With a known harmful pair.
	outsideReserve     bool         // Not kept for urgent work, because it is slow.
}

// decision is the state of one call of Decide.
type decision struct {
	view                 *View
	emptyWorkers         int            // Number of usable workers on which nothing runs.
	lightLoad            bool           // Less than lightLoadShare of the capacity is in use.
	reserved             []reservation  // Room reserved for members of gangs that do not fit yet.
	reservationsReleased bool           // The reservations were given up.
	started              map[*Unit]bool // Units of which at least one task starts.
	emptyReserve         int            // How many empty workers are kept for urgent work.
	slots                []*slot
	racks                map[string][]*slot
	rackNames            []string // Of racks, sorted.
	limitedDisruption    bool     // Some attempt that was looked at has a limited disruption budget.
	// emptyInRack counts the usable workers on which nothing runs, by rack.
	emptyInRack map[string]int
	plan        Plan
	stopsUrgent bool                   // Urgent attempts that are beyond the guarantees of their workspaces may be stopped, too.
	quotas      *quotas                // Nil if no workspace has a maximum.
	preempted   map[domain.TaskID]bool // Attempts that this decision stops, or considers stopping.
	speeds      fleetSpeed
	need        speedNeed // Of the unit that is being placed.
	apart       *apart    // Nil if no harm is known.
	harmful     []int32   // The row of apart.harm of the unit that is being placed, nil if it has none.
	candidates  []*slot   // Buffers of pack, reused.
	grouped     []*slot
}

// Decide returns the starts and preemptions for a view. Each pool is decided by itself: its load and its empty workers say
// nothing about the work of another one.
func Decide(v *View) Plan {
	var plan Plan
	quotas, pools := newQuotas(v), byPool(v)
	quotas.urgentPoolsFirst(pools)
	for _, pool := range pools {
		p := decidePool(pool, quotas)
		plan.Starts = append(plan.Starts, p.Starts...)
		plan.Preemptions = append(plan.Preemptions, p.Preemptions...)
	}
	return plan
}

// byPool splits a view by the pools that have workers and units.
func byPool(v *View) []*View {
	units := map[string][]*Unit{}
	for _, u := range v.Units {
		units[u.Job.Spec.Pool] = append(units[u.Job.Spec.Pool], u)
	}
	workers := map[string][]*Worker{}
	for _, w := range v.Workers {
		if units[w.Pool] != nil {
			workers[w.Pool] = append(workers[w.Pool], w)
		}
	}
	var out []*View
	for _, pool := range slices.Sorted(maps.Keys(workers)) {
		part := *v
		part.Workers, part.Units = workers[pool], units[pool]
		out = append(out, &part)
	}
	return out
}

func decidePool(v *View, quotas *quotas) Plan {
	d := &decision{view: v, racks: map[string][]*slot{}, emptyInRack: map[string]int{}, preempted: map[domain.TaskID]bool{}, started: map[*Unit]bool{}, quotas: quotas}
	for _, w := range v.Workers {
		if !w.Usable {
			continue
		}
		s := &slot{Worker: w, free: w.Free, future: w.Free.Plus(w.Stopping)}
		if s.empty() {
			d.emptyWorkers++
			d.emptyInRack[s.Rack]++
		}
		d.slots = append(d.slots, s)
		d.racks[w.Rack] = append(d.racks[w.Rack], s)
	}
	d.rackNames = slices.Sorted(maps.Keys(d.racks))
	d.emptyReserve = int(emptyReserveShare * float64(len(d.slots)))
	d.lightLoad = lightLoad(d.slots)
	d.prepareSpeeds()
	d.prepareApart()
	units := slices.Clone(v.Units)
	slices.SortStableFunc(units, CompareUnits)
	units = d.byShares(units)
	for _, u := range units {
		d.place(u)
	}
	d.releaseReservations(units)
	return d.plan
}

func (d *decision) place(u *Unit) {
	d.dropHold(u)
	d.considerSpeed(u)
	d.considerApart(u)
	if u.step().Gang {
		d.placeGang(u)
	} else {
		d.placeTasks(u)
	}
}

// start adds the assignments of a unit to the plan.
func (d *decision) start(u *Unit, s domain.StartAttempts) {
	d.started[u] = true
	d.countStarted(u, len(s.Assignments))
	d.plan.Starts = append(d.plan.Starts, s)
}

// CompareUnits orders units for placement: guaranteed units first, those beyond the share of their workspace and expired ones
// last; within these ranks by priority, then by the time at which the objective passes, then in the order of acceptance.
func CompareUnits(a, b *Unit) int {
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(a.Job.Spec.Priority, b.Job.Spec.Priority),
		cmp.Compare(a.DueMS, b.DueMS),
		cmp.Compare(a.Job.Sequence, b.Job.Sequence),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
	)
}

// While less than lightLoadShare of the capacity is in use, work that fits must run within 3 s. It therefore waits for
// at most lightLoadWaitMS, even if the room is kept for urgent work, is reserved for a gang, or is not on the preferred
// rack.
const (
	lightLoadShare  = 0.5
	lightLoadWaitMS = 2000 // Leaves time of the 3 s for the commit and the call to the worker.
)

// lightLoad tells whether less than lightLoadShare of the accelerators and less than that of the processors is in use.
func lightLoad(slots []*slot) bool {
	var total, free domain.Resources
	for _, s := range slots {
		total, free = total.Plus(s.Total), free.Plus(s.Free)
	}
	mostlyFree := func(free, total int64) bool { return float64(free) > (1-lightLoadShare)*float64(total) || total == 0 }
	return mostlyFree(free.CPU, total.CPU) && mostlyFree(free.Accelerators, total.Accelerators)
}

// preferredRackWaitMS returns for how long a unit waits for the rack that it prefers.
func (d *decision) preferredRackWaitMS(u *Unit) int64 {
	wait := int64((offRackFactor - 1) * u.RunMS)
	if u.Guaranteed {
		wait = urgentRackWaitMS
	}
	if d.lightLoad {
		wait = min(wait, lightLoadWaitMS)
	}
	return wait
}

// empty tells whether nothing runs on a worker.
func (s *slot) empty() bool { return s.free == s.Total }

// atRisk tells whether a unit may miss its objective if it waits longer: fewer than two run times are left.
func (d *decision) atRisk(u *Unit) bool {
	return d.view.NowMS+2*u.RunMS > u.DueMS
}

// keptForUrgent tells whether an empty worker is withheld from a unit of lower priority so that urgent work finds room,
// given how many workers are empty. Work that is at risk may use it, and so may work that has waited under light load, and
// long-running tasks, unless their planned stops are limited: urgent work could not get the worker back.
func (d *decision) keptForUrgent(u *Unit, s *slot, emptyWorkers int) bool {
	if d.lightLoad && u.WaitedMS >= lightLoadWaitMS {
		return false
	}
	return u.Job.Spec.Priority > 0 && s.inReserve() && emptyWorkers <= d.emptyReserve && !d.atRisk(u) &&
		!(u.step().LongRunning && u.step().MaxUnavailable == 0)
}

// eligible tells whether a worker may run tasks of a unit, regardless of its free capacity and of the spread limit.
func (d *decision) eligible(u *Unit, s *slot) bool {
	step := u.step()
	if d.keptForUrgent(u, s, d.emptyWorkers) || d.tooSlow(s) || (s.Vacated && !u.Guaranteed) {
		return false
	}
	if u.Allowed != nil && !u.Allowed[s.Incarnation.ID] {
		return false
	}
	if s.Pool != u.Job.Spec.Pool || (step.Label != "" && !slices.Contains(s.Labels, step.Label)) {
		return false
	}
	return true
}

// roomBySpreadLimit returns how many more tasks of a unit the spread limit allows on a worker.
func (d *decision) roomBySpreadLimit(u *Unit, s *slot) int {
	limit := u.step().PerWorkerLimit
	if limit == 0 {
		return len(u.Indexes)
	}
	return limit - d.view.StepTasksOn(u, s.Worker) - s.placed[u]
}

// allocate takes the demand of one task from the capacity of a worker.
func (d *decision) allocate(u *Unit, s *slot, demand domain.Resources) {
	if s.inReserve() {
		d.emptyWorkers--
	}
	if s.empty() {
		d.emptyInRack[s.Rack]--
	}
	s.free = s.free.Minus(demand)
	s.future = s.future.Minus(demand)
	if u.step().BestEffort {
		s.addedBestEffortCPU += u.step().Task.CPU
	}
	if s.placed == nil {
		s.placed = map[*Unit]int{}
	}
	s.placed[u]++
	d.take(u, 1)
	if d.apart != nil {
		d.countImage(s, u.step().Image, 1)
	}
}

// release undoes allocate.
func (d *decision) release(u *Unit, s *slot, demand domain.Resources) {
	s.free = s.free.Plus(demand)
	s.future = s.future.Plus(demand)
	s.placed[u]--
	d.take(u, -1)
	if d.apart != nil {
		d.countImage(s, u.step().Image, -1)
	}
	if u.step().BestEffort {
		s.addedBestEffortCPU -= u.step().Task.CPU
	}
	if s.inReserve() {
		d.emptyWorkers++
	}
	if s.empty() {
		d.emptyInRack[s.Rack]++
	}
}

// placeTasks places independent tasks one by one, and preempts for those that have no room.
func (d *decision) placeTasks(u *Unit) {
	demand := u.step().Demand()
	var start domain.StartAttempts
	var last *slot // Where the task before was placed, if it had no failures.
	learn := d.learningSlots(u, demand)
	for n, index := range u.Indexes {
		if d.atMax(u, n, 1) {
			d.waitForMax(u, u.Indexes[n:])
			break
		}
		failedOn := u.Job.Task(u.task(index)).FailedOn
		s := last
		learning := len(learn) > 0 && len(failedOn) == 0
		if learning {
			s, learn = learn[0], learn[1:]
		}
		if s == nil || len(failedOn) > 0 || !d.accepts(u, s, demand) || (!learning && d.harm(s) != s.harm) {
			s = d.bestSlot(u, failedOn, demand)
		}
		last = nil
		if len(failedOn) == 0 && !u.step().BestEffort && !learning {
			last = s // It has become the tightest fit for an equal task, as long as that fits.
		}
		if s == nil {
			d.preemptForTasks(u, u.Indexes[n:], demand)
			break
		}
		d.allocate(u, s, demand)
		start.Assignments = append(start.Assignments, domain.Assignment{Task: u.task(index), Worker: s.Incarnation})
	}
	if len(start.Assignments) > 0 {
		d.start(u, start)
	}
}

// bestSlot returns the best worker with room for a task, or nil. As long as waiting is faster than running elsewhere,
// it considers only the rack of the task's data.
func (d *decision) bestSlot(u *Unit, failedOn []string, demand domain.Resources) *slot {
	step := u.step()
	if step.DataRack != "" {
		if s := d.bestOf(u, d.racks[step.DataRack], demand, failedOn); s != nil || u.WaitedMS < d.preferredRackWaitMS(u) {
			return s
		}
	}
	return d.bestOf(u, d.slots, demand, failedOn)
}

// bestOf returns the best of some workers with room for a task, or nil.
func (d *decision) bestOf(u *Unit, slots []*slot, demand domain.Resources, failedOn []string) *slot {
	var best *slot
	for _, s := range slots {
		if !d.accepts(u, s, demand) {
			continue
		}
		s.rank, s.harm = d.speedRank(s), d.harm(s)
		if best == nil || d.prefers(u, s, best, failedOn) {
			best = s
		}
	}
	return best
}

// accepts tells whether a worker has room for one more task of a unit now.
func (d *decision) accepts(u *Unit, s *slot, demand domain.Resources) bool {
	return demand.Fits(s.free) && d.eligible(u, s) && d.roomBySpreadLimit(u, s) > 0
}

// prefers tells whether, of two workers with room for a task, the first is the better one.
func (d *decision) prefers(u *Unit, a, b *slot, failedOn []string) bool {
	if u.step().BestEffort {
		return betterForBestEffort(a, b, failedOn)
	}
	return d.tighterFit(a, b, failedOn)
}

// betterForBestEffort prefers workers on which the task has not failed, then those with the least known harm, then those with
// the fewest tasks with a latency target, whose latency best-effort work increases, then those with the most unused processor
// time.
func betterForBestEffort(a, b *slot, failedOn []string) bool {
	return cmp.Or(
		cmp.Compare(failedBefore(failedOn, a), failedBefore(failedOn, b)),
		cmp.Compare(a.harm, b.harm),
		cmp.Compare(a.ServingTasks, b.ServingTasks),
		cmp.Compare(b.unusedCPU(), a.unusedCPU()),
		cmp.Compare(a.Incarnation.ID, b.Incarnation.ID),
	) < 0
}

// unusedCPU returns the processor time that neither ordinary nor best-effort tasks ask for.
func (s *slot) unusedCPU() int64 { return s.free.CPU - s.BestEffortCPU - s.addedBestEffortCPU }

// tighterFit prefers workers on which the task has not failed, then those with the least known harm, then those of the better
// speed rank, then those with the fewest free accelerators, so that empty workers stay free for large gangs. Of empty workers
// it prefers those in racks with few of them, so that the remaining empty workers share racks.
func (d *decision) tighterFit(a, b *slot, failedOn []string) bool {
	if c := cmp.Or(
		cmp.Compare(failedBefore(failedOn, a), failedBefore(failedOn, b)),
		compareApart(a, b),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.free.Accelerators, b.free.Accelerators),
	); c != 0 {
		return c < 0
	}
	return cmp.Or(
		cmp.Compare(d.emptyInRack[a.Rack], d.emptyInRack[b.Rack]),
		cmp.Compare(a.free.MemoryMB, b.free.MemoryMB),
		cmp.Compare(a.Incarnation.ID, b.Incarnation.ID),
	) < 0
}

// failedBefore returns 1 if the task has failed on a worker, 0 otherwise.
func failedBefore(failedOn []string, s *slot) int {
	if slices.Contains(failedOn, s.Incarnation.ID) {
		return 1
	}
	return 0
}
