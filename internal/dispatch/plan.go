package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

// Pauses between two plans. Events make one at once, but for a pause that gathers those that come together; while work
// waits, time itself changes what may be done.
const (
	planEvery = 100 * time.Millisecond
	planPause = 10 * time.Millisecond // About one sync of the disk.
)

// hopelessFactor: a job earns nothing after this many times its objective (RULES, "Credit").
const hopelessFactor = 3

// plan starts what can start and makes room for urgent work. One plan is under way at a time, so that no capacity is
// given away twice.
func (l *Leader) plan(now Time) {
	if l.planning || (!l.dirty && now.Mono < l.planAt) || now.Mono < l.planned+planPause {
		return
	}
	l.dirty = false
	l.planned = now.Mono
	l.planAt = now.Mono + planEvery
	units := l.units(now)
	if len(units) == 0 {
		return
	}
	l.watchSharing()
	v := &placement.View{NowMS: now.WallMS, Units: units, Workers: l.workers(now), PerWorker: l.perWorker}
	l.askAdvice(now, units, v.Workers)
	v.Tasks = func(w *placement.Worker) []placement.Running { return l.running(now, w.Life.ID) }
	p := placement.Decide(v)
	for _, s := range p.Stops {
		if x := l.orders[s.Task]; x != nil && !x.stop {
			l.o.Observer.AttemptReclaimed(l.m.Job(s.Task.Job).Spec.Priority)
			l.o.Log("attempt_reclaimed", "job", s.Task.Job, "task", s.Task.String(), "attempt", x.attempt, "worker", x.life.ID,
				"for_job", s.For.Job)
			l.abandon(x, "reclaimed for "+string(s.For.Job))
		}
	}
	if len(p.Starts) == 0 {
		return
	}
	l.planning = true
	var all domain.StartAttempts
	for _, s := range p.Starts {
		all.Assignments = append(all.Assignments, s.Assignments...)
	}
	l.propose(now, domain.Command{Start: &all})
}

// units returns the work that waits.
func (l *Leader) units(now Time) []*placement.Unit {
	var out []*placement.Unit
	for _, j := range l.m.Open() {
		for k, o := range j.Occurrences {
			if o.Done {
				continue
			}
			for s := range o.Steps {
				if u := l.unit(now, j, k, s); u != nil {
					out = append(out, u)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b *placement.Unit) int {
		return cmp.Or(cmp.Compare(a.Job.Sequence, b.Job.Sequence), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	l.coverByGuarantees(out)
	return out
}

// unit returns the waiting tasks of a step, nil if none can start.
func (l *Leader) unit(now Time, j *domain.Job, k, s int) *placement.Unit {
	o := j.Occurrences[k]
	step := &j.Spec.Steps[s]
	var waiting []int
	for i := range o.Steps[s] {
		t := &o.Steps[s][i]
		if !t.Done && !t.Occupied() {
			waiting = append(waiting, i)
		}
	}
	if len(waiting) == 0 || (step.Gang && len(waiting) < step.Count) || !j.Ready(o, s) {
		return nil
	}
	key := stepKey{j.Spec.ID, k, s}
	since, seen := l.ready[key]
	if !seen {
		since = now.WallMS
		l.ready[key] = since
	}
	base := l.base(j, k)
	objective := l.objective(j)
	return &placement.Unit{
		Job: j, Occurrence: k, Step: s, Indexes: waiting,
		RunMS:    l.runTime(j, step),
		WaitedMS: now.WallMS - since,
		DueMS:    base + objective,
		Hopeless: now.WallMS > base+hopelessFactor*objective,
		Advised:  l.advised(now, j, key),
	}
}

// base returns from when the time of an occurrence counts, Unix milliseconds.
func (l *Leader) base(j *domain.Job, occurrence int) int64 {
	if j.Spec.RepeatCount > 0 {
		return j.Spec.DueMS(occurrence)
	}
	return j.AcceptedMS
}

// objective returns within which time a job should be done, in milliseconds.
func (l *Leader) objective(j *domain.Job) int64 {
	return int64(j.Spec.Stretch*float64(l.chain(j))) + j.Spec.TargetMS
}

// runTimeRange is how far a declared run time may take the expected one from the average of the queue.
const runTimeRange = 2

// runTime returns the expected run time of a task, in milliseconds.
func (l *Leader) runTime(j *domain.Job, step *domain.Step) int64 {
	average := l.m.RunTime(j.Spec.Queue)
	if average == 0 {
		return step.EstimateMS
	}
	return min(max(step.EstimateMS, average/runTimeRange), average*runTimeRange)
}

// chain returns the longest chain of expected run times of a job, in milliseconds.
func (l *Leader) chain(j *domain.Job) int64 {
	if c, known := l.chains[j.Spec.ID]; known {
		return c
	}
	average := l.m.RunTime(j.Spec.Queue)
	ends := make([]int64, len(j.Spec.Steps))
	longest := int64(0)
	for i, s := range j.Spec.Steps {
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += l.runTime(j, &j.Spec.Steps[i])
		longest = max(longest, ends[i])
	}
	if average > 0 {
		l.chains[j.Spec.ID] = longest
	}
	return longest
}

// coverByGuarantees marks the urgent units, which may reclaim capacity, and among them those of workspaces whose jobs fit
// into the guarantee, in the order of acceptance.
func (l *Leader) coverByGuarantees(units []*placement.Unit) {
	need := map[string]int64{}
	covered := map[domain.JobID]bool{}
	var urgent []*domain.Job
	for _, j := range l.m.Open() {
		if j.Spec.Priority == 0 && len(j.Occurrences) > 0 {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *domain.Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, j := range urgent {
		need[j.Spec.Workspace] += accelerators(j)
		covered[j.Spec.ID] = need[j.Spec.Workspace] <= l.m.Guarantee(j.Spec.Workspace)
	}
	for _, u := range units {
		u.Guaranteed = covered[u.Job.Spec.ID]
		// Hopeless work comes last in the order: what it ended would start again before it.
		u.MayReclaim = u.Job.Spec.Priority == 0 && (u.Guaranteed || !u.Hopeless)
	}
}

// accelerators returns what a job needs at once if all its steps ran together, a bound of its real need.
func accelerators(j *domain.Job) int64 {
	var n int64
	for i := range j.Spec.Steps {
		n += int64(j.Spec.Steps[i].Count) * j.Spec.Steps[i].Task.Accelerators
	}
	return n
}

// perWorker counts the tasks of a unit's step on a worker.
func (l *Leader) perWorker(u *placement.Unit, w *placement.Worker) int {
	x := l.m.Worker(w.Life.ID)
	if x == nil {
		return 0
	}
	return l.countStep(x, stepKey{u.Job.Spec.ID, u.Occurrence, u.Step})
}

func (l *Leader) countStep(w *domain.Worker, key stepKey) int {
	n := 0
	for id := range w.Attempts() {
		if keyOf(id) == key {
			n++
		}
	}
	return n
}

// workers returns the workers in a fixed order.
func (l *Leader) workers(now Time) []*placement.Worker {
	if len(l.sorted) != len(l.m.Workers()) || l.resort {
		l.sorted = l.sorted[:0]
		for id := range l.m.Workers() {
			l.sorted = append(l.sorted, id)
		}
		slices.Sort(l.sorted)
		l.resort = false
	}
	stopping := l.stopping()
	doubtful := l.doubtfulZones(now)
	all := make([]placement.Worker, len(l.sorted))
	out := make([]*placement.Worker, len(l.sorted))
	for i, id := range l.sorted {
		w := l.m.Worker(id)
		all[i] = placement.Worker{
			Life: w.Life, Pool: w.Pool, Zone: w.Zone, Rack: w.Rack, Labels: w.Labels, Free: w.Free(), Usable: l.usable(now, w) && !doubtful[w.Zone],
			Total: w.Capacity, Stopping: stopping[id],
		}
		all[i].Serving, all[i].FillCPU = l.sharing(w)
		out[i] = &all[i]
	}
	return out
}

// stopping returns by worker what attempts take that have been told to stop.
func (l *Leader) stopping() map[string]domain.Resources {
	out := map[string]domain.Resources{}
	for id, x := range l.active {
		if j := l.m.Job(id.Job); x.stop && j != nil {
			out[x.life.ID] = out[x.life.ID].Plus(j.Spec.Steps[id.Step].Demand())
		}
	}
	return out
}

// Limits on what is known of a worker that gets new attempts.
const (
	// reportSlack is how late a report may be.
	reportSlack = 700 * time.Millisecond
	// zoneFailures is how many workers of a zone must leave calls unanswered for the zone to count as cut off, if they are
	// more than those that have answered within zoneRecent.
	zoneFailures = 3
	zoneRecent   = time.Second
)

// doubtfulZones returns the zones that seem to be cut off. Their workers get nothing new, since what is lost with an
// unanswered start waits for the end of a lease.
func (l *Leader) doubtfulZones(now Time) map[string]bool {
	failing, answering := map[string]int{}, map[string]int{}
	for id, s := range l.sessions {
		w := l.m.Worker(id)
		switch {
		case w == nil:
		case s.failures > 0:
			failing[w.Zone]++
		case s.everHeard && now.Mono-s.heard < zoneRecent:
			answering[w.Zone]++
		}
	}
	out := map[string]bool{}
	for zone, n := range failing {
		out[zone] = n >= zoneFailures && n > answering[zone]
	}
	return out
}

// usable tells whether new attempts may go to a worker.
func (l *Leader) usable(now Time, w *domain.Worker) bool {
	s := l.sessions[w.Life.ID]
	return s != nil && s.life == w.Life && !s.released && !w.Draining && !l.inUpkeep(w) && !l.m.ZoneOut(w.Zone) &&
		s.hasClock && s.failures == 0 && now.Mono >= s.avoidUntil &&
		now.Mono-max(s.heard, s.reported) < l.o.Report+reportSlack
}

func (l *Leader) running(now Time, worker string) []placement.Running {
	w := l.m.Worker(worker)
	out := make([]placement.Running, 0, len(w.Attempts()))
	for id := range w.Attempts() {
		j := l.m.Job(id.Job)
		x := l.orders[id]
		step := &j.Spec.Steps[id.Step]
		unsaved := now.WallMS - j.Task(id).Started
		if step.Checkpointable {
			unsaved = min(unsaved, l.o.Restore.Milliseconds())
		}
		members := 1
		if step.Gang {
			members = step.Count
		}
		out = append(out, placement.Running{
			Task: id, Demand: step.Demand(), Priority: j.Spec.Priority, Members: members,
			Stopping: x == nil || x.stop, UnsavedMS: unsaved,
			MayStop: l.mayStop(id),
			Pressed: now.WallMS+2*l.runTime(j, step) > l.base(j, id.Occurrence)+l.objective(j),
		})
	}
	slices.SortFunc(out, func(a, b placement.Running) int { return a.Task.Compare(b.Task) })
	return out
}
