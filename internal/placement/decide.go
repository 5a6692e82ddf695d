package placement

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// How long a unit insists on the rack of its data, or a gang on one rack, before it takes the slow way. Away from its
// data a task takes FarFactor times as long, so that waiting up to twice its run time is still faster.
const (
	farFactor          = 3    // How many times as long work takes away from its data, on all deployments.
	urgentRackWaitMS   = 2000 // Of the 3.4 s within which urgent work must begin, so that a stop still fits.
	reclaimAfterWaitMS = 60   // Urgent work reclaims nearly at once; a stop takes up to 0.9 s.
)

// spareShare is the share of the workers that is kept whole for urgent work, as long as other work has time: a stop that
// makes room takes up to 0.9 s, about a third of an urgent task.
const spareShare = 0.35

// slot is the mutable side of a worker during one decision.
type slot struct {
	*Worker
	free   domain.Resources // What can be started on now.
	future domain.Resources // free, plus what is being stopped.
	placed map[*Unit]int
	filled int64 // Processor time that tasks placed by this decision fill.
	tasks  []Running
	asked  bool // tasks holds.
}

type decision struct {
	view     *View
	whole    int            // Usable workers on which nothing runs.
	idle     bool           // Less than idleShare of the capacity is in use.
	held     []hold         // For members of large gangs.
	released bool           // The held places were given up.
	started  map[*Unit]bool // Units of which something starts.
	spare    int            // How many of them are kept for urgent work.
	slots    []*slot
	racks    map[string][]*slot
	// wholeIn counts by rack the usable workers on which nothing runs.
	wholeIn map[string]int
	plan    Plan
	gone    map[domain.TaskID]bool // Attempts that this plan stops.
}

// Decide returns what to start and stop.
func Decide(v *View) Plan {
	d := &decision{view: v, racks: map[string][]*slot{}, wholeIn: map[string]int{}, gone: map[domain.TaskID]bool{}, started: map[*Unit]bool{}}
	for _, w := range v.Workers {
		if !w.Usable {
			continue
		}
		s := &slot{Worker: w, free: w.Free, future: w.Free.Plus(w.Stopping)}
		if s.empty() {
			d.whole++
			d.wholeIn[s.Rack]++
		}
		d.slots = append(d.slots, s)
		d.racks[w.Rack] = append(d.racks[w.Rack], s)
	}
	d.spare = int(spareShare * float64(len(d.slots)))
	d.idle = idle(d.slots)
	units := slices.Clone(v.Units)
	slices.SortStableFunc(units, Order)
	for _, u := range units {
		d.place(u)
	}
	d.releaseHolds(units)
	return d.plan
}

func (d *decision) place(u *Unit) {
	if u.step().Gang {
		d.placeGang(u)
	} else {
		d.placeTasks(u)
	}
}

// start adds assignments to the plan.
func (d *decision) start(u *Unit, s domain.StartAttempts) {
	d.started[u] = true
	d.plan.Starts = append(d.plan.Starts, s)
}

// Order puts urgent work first, then what can still earn, by the time at which its objective passes.
func Order(a, b *Unit) int {
	rank := func(u *Unit) int {
		switch {
		case u.Guaranteed:
			return 0
		case u.Hopeless:
			return 2
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		cmp.Compare(a.Job.Spec.Priority, b.Job.Spec.Priority),
		cmp.Compare(a.DueMS, b.DueMS),
		cmp.Compare(a.Job.Sequence, b.Job.Sequence),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
	)
}

// While less than idleShare of the capacity is in use, no work that fits waits for longer than idleWaitMS, whatever room is
// kept, held or preferred: within 3 s it must run (RULES, "LOST").
const (
	idleShare  = 0.5
	idleWaitMS = 2000 // Of the 3 s, so that the commit and the call to the worker still fit.
)

// idle tells whether less than idleShare of the accelerators and of the processors is in use.
func idle(slots []*slot) bool {
	var total, free domain.Resources
	for _, s := range slots {
		total, free = total.Plus(s.Total), free.Plus(s.Free)
	}
	most := func(free, total int64) bool { return float64(free) > (1-idleShare)*float64(total) || total == 0 }
	return most(free.CPU, total.CPU) && most(free.Accelerators, total.Accelerators)
}

// patience returns how long a unit waits for the rack that it prefers.
func (d *decision) patience(u *Unit) int64 {
	wait := int64((farFactor - 1) * u.RunMS)
	if u.Guaranteed {
		wait = urgentRackWaitMS
	}
	if d.idle {
		wait = min(wait, idleWaitMS)
	}
	return wait
}

// empty tells whether nothing runs on a worker.
func (s *slot) empty() bool { return s.free == s.Total }

// pressed tells whether a unit becomes late if it waits for longer.
func (d *decision) pressed(u *Unit) bool {
	return d.view.NowMS+2*u.RunMS > u.DueMS
}

// kept tells whether a worker is kept from a unit for urgent work that may come, while a number of workers is whole.
func (d *decision) kept(u *Unit, s *slot, whole int) bool {
	if d.idle && u.WaitedMS >= idleWaitMS {
		return false
	}
	return u.Job.Spec.Priority > 0 && s.empty() && whole <= d.spare && !d.pressed(u)
}

// allowed tells whether a worker may run tasks of a unit at all.
func (d *decision) allowed(u *Unit, s *slot) bool {
	step := u.step()
	if d.kept(u, s, d.whole) {
		return false
	}
	if u.Advised != nil && !u.Advised[s.Life.ID] {
		return false
	}
	if s.Pool != u.Job.Spec.Pool || (step.Label != "" && !slices.Contains(s.Labels, step.Label)) {
		return false
	}
	return true
}

// roomByLimit returns how many more tasks of a unit the spread limit allows on a worker.
func (d *decision) roomByLimit(u *Unit, s *slot) int {
	limit := u.step().PerWorkerLimit
	if limit == 0 {
		return len(u.Indexes)
	}
	return limit - d.view.PerWorker(u, s.Worker) - s.placed[u]
}

func (d *decision) take(u *Unit, s *slot, demand domain.Resources) {
	if s.empty() {
		d.whole--
		d.wholeIn[s.Rack]--
	}
	s.free = s.free.Minus(demand)
	s.future = s.future.Minus(demand)
	if u.step().Fills {
		s.filled += u.step().Task.CPU
	}
	if s.placed == nil {
		s.placed = map[*Unit]int{}
	}
	s.placed[u]++
}

// giveBack undoes take.
func (d *decision) giveBack(u *Unit, s *slot, demand domain.Resources) {
	s.free = s.free.Plus(demand)
	s.future = s.future.Plus(demand)
	s.placed[u]--
	if u.step().Fills {
		s.filled -= u.step().Task.CPU
	}
	if s.empty() {
		d.whole++
		d.wholeIn[s.Rack]++
	}
}

// placeTasks places independent tasks one by one.
func (d *decision) placeTasks(u *Unit) {
	demand := u.step().Demand()
	var start domain.StartAttempts
	for n, index := range u.Indexes {
		s := d.bestSlot(u, index, demand)
		if s == nil {
			d.makeRoom(u, u.Indexes[n:], demand)
			break
		}
		d.take(u, s, demand)
		start.Assignments = append(start.Assignments, domain.Assignment{Task: u.task(index), Worker: s.Life})
	}
	if len(start.Assignments) > 0 {
		d.start(u, start)
	}
}

// bestSlot returns the worker that fits a task most tightly, near its data as long as waiting for that pays.
func (d *decision) bestSlot(u *Unit, index int, demand domain.Resources) *slot {
	step := u.step()
	failedOn := u.Job.Task(u.task(index)).FailedOn
	if step.DataRack != "" {
		if s := d.tightest(u, d.racks[step.DataRack], demand, failedOn); s != nil || u.WaitedMS < d.patience(u) {
			return s
		}
	}
	return d.tightest(u, d.slots, demand, failedOn)
}

func (d *decision) tightest(u *Unit, slots []*slot, demand domain.Resources, failedOn []string) *slot {
	var best *slot
	for _, s := range slots {
		if !demand.Fits(s.free) || !d.allowed(u, s) || d.roomByLimit(u, s) <= 0 {
			continue
		}
		if best == nil || d.prefers(u, s, best, failedOn) {
			best = s
		}
	}
	return best
}

// prefers compares two workers with room for a task.
func (d *decision) prefers(u *Unit, a, b *slot, failedOn []string) bool {
	if u.step().Fills {
		return calmer(a, b, failedOn)
	}
	return d.tighter(a, b, failedOn)
}

// calmer prefers workers without tasks that serve, which work that fills would disturb, then those that leave most
// processor time unused.
func calmer(a, b *slot, failedOn []string) bool {
	return cmp.Or(
		cmp.Compare(failures(failedOn, a), failures(failedOn, b)),
		cmp.Compare(a.Serving, b.Serving),
		cmp.Compare(b.unused(), a.unused()),
		cmp.Compare(a.Life.ID, b.Life.ID),
	) < 0
}

// unused returns the processor time that neither ordinary tasks nor those that fill are expected to use.
func (s *slot) unused() int64 { return s.free.CPU - s.FillCPU - s.filled }

// tighter prefers workers on which the task has not failed, then those with the least free capacity, so that whole
// workers stay free for large gangs, and of whole workers those in racks with few, so that they stay together.
func (d *decision) tighter(a, b *slot, failedOn []string) bool {
	return cmp.Or(
		cmp.Compare(failures(failedOn, a), failures(failedOn, b)),
		cmp.Compare(a.free.Accelerators, b.free.Accelerators),
		cmp.Compare(d.wholeIn[a.Rack], d.wholeIn[b.Rack]),
		cmp.Compare(a.free.MemoryMB, b.free.MemoryMB),
		cmp.Compare(a.Life.ID, b.Life.ID),
	) < 0
}

func failures(failedOn []string, s *slot) int {
	if slices.Contains(failedOn, s.Life.ID) {
		return 1
	}
	return 0
}
