package measure

import (
	"container/heap"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Periods, delays and limits of a run.
const (
	minTickPeriod = 50 * time.Millisecond // Shortest time between two ticks of a zone, as in the cell.
	// idleTickPeriod is the time between ticks while nothing happens. The ticks in between, which are left out, would do
	// nothing; Cost.coreShare adds their cost.
	idleTickPeriod    = time.Second
	samplePeriod      = 10 * time.Second
	startDelay        = 200 * time.Millisecond // From the placement of an attempt to its start.
	cancelDelay       = 200 * time.Millisecond // From the cancellation of a job to the end of its attempt.
	faultyWorkerDelay = 3 * time.Second        // From the start of an attempt to its failure on a faulty worker.
	maxFailedWorkers  = 3                      // A job fails after failures on this many distinct workers, as in the cell.
)

// SchedulerFactory returns a new scheduler for the tables of one zone.
type SchedulerFactory func(*table.Tables) system.Scheduler

// runner simulates one workload with one scheduler per zone.
type runner struct {
	workload Workload
	now      time.Duration
	events   events
	order    uint64 // Of the last event that was added.
	zones    []*zoneRun
	jobs     map[string]*jobRun
	nextZone int // Index of the zone that the next job is offered to first, modulo the number of zones.
	metrics  *Metrics
}

// zoneRun is one zone of the run, with its own tables and scheduler.
type zoneRun struct {
	run       *runner
	spec      Zone
	tables    *table.Tables
	scheduler system.Scheduler
	sequence  uint64
	lastTick  time.Duration
	nextTick  time.Duration // Time of the requested tick; 0 if none is requested.
}

// jobRun is the state of one task in the run.
type jobRun struct {
	task            *Task
	zone            *zoneRun
	job             *table.Job
	progress        time.Duration // Run time of earlier attempts that checkpoints have kept.
	started         bool
	startedAt       time.Duration // Time of the first start.
	guaranteedSince time.Duration // Arrival in this zone, if within the guarantee then and not started yet; else negative.
	ended           bool
}

// event is a function to call at a time. Events of the same time are called in the order in which they were added.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// Run simulates the workload to its end and returns what was measured. Jobs still queued at the end count with the time
// they have waited so far, so that a scheduler gains nothing by not starting them.
func Run(workload Workload, newScheduler SchedulerFactory) *Metrics {
	r := &runner{workload: workload, jobs: map[string]*jobRun{}, metrics: newMetrics(workload)}
	for i := range workload.Zones {
		r.zones = append(r.zones, newZoneRun(r, workload.Zones[i], newScheduler))
	}
	for i := range workload.Tasks {
		t := &workload.Tasks[i]
		r.at(t.Arrives, func() { r.arrive(t) })
		if t.CancelAt > 0 {
			r.at(t.CancelAt, func() { r.cancel(t) })
		}
	}
	if workload.OutAt > 0 {
		r.at(workload.OutAt, func() { r.setOutOfService(r.zones[workload.OutZone], true) })
		r.at(workload.BackAt, func() { r.setOutOfService(r.zones[workload.OutZone], false) })
	}
	for at := samplePeriod; at < workload.Length && !workload.CostOnly; at += samplePeriod {
		r.at(at, r.sample)
	}
	for len(r.events) > 0 && r.events[0].at <= workload.Length {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.now = workload.Length
	for i := range workload.Tasks {
		if j := r.jobs[workload.Tasks[i].ID]; j != nil && !j.ended {
			r.metrics.open(r.now, j)
		}
	}
	for _, z := range r.zones {
		for _, a := range z.tables.Attempts() {
			if a.State == table.AttemptRunning {
				r.metrics.worked += (r.now - a.RunningAt).Seconds() * float64(a.Accelerators*len(a.Members))
			}
		}
	}
	return r.metrics
}

func newZoneRun(run *runner, spec Zone, newScheduler SchedulerFactory) *zoneRun {
	z := &zoneRun{run: run, spec: spec, tables: table.New(spec.Name), lastTick: -minTickPeriod}
	for _, w := range spec.Workers {
		worker := w
		z.tables.PutWorker(&worker)
	}
	for _, ws := range run.workload.Workspaces {
		contract := ws
		z.tables.PutWorkspace(&contract)
	}
	z.scheduler = newScheduler(z.tables)
	run.at(0, z.tickPeriodically)
	return z
}

func (r *runner) at(at time.Duration, do func()) {
	r.order++
	heap.Push(&r.events, event{at, r.order, do})
}

func (r *runner) after(d time.Duration, do func()) { r.at(r.now+d, do) }

// tickPeriodically ticks every idleTickPeriod even when nothing happens.
func (z *zoneRun) tickPeriodically() {
	z.tick()
	z.run.after(idleTickPeriod, z.tickPeriodically)
}

// requestTick schedules a tick as soon as minTickPeriod has passed since the last one, unless one is scheduled already.
func (z *zoneRun) requestTick() {
	at := max(z.run.now, z.lastTick+minTickPeriod)
	if z.nextTick >= z.run.now && z.nextTick > 0 {
		return
	}
	z.nextTick = at
	z.run.at(at, func() {
		z.nextTick = 0
		z.tick()
	})
}

// tick runs the scheduler once and carries out its plan.
func (z *zoneRun) tick() {
	z.lastTick = z.run.now
	start := time.Now()
	plan := z.scheduler.Tick(z.run.now)
	z.run.metrics.tick(time.Since(start), plan)
	for _, p := range plan.Placements {
		z.place(p)
	}
	for _, p := range plan.Preemptions {
		z.preempt(p)
	}
	for _, e := range plan.JobEnds {
		z.finish(z.run.jobs[e.Job], e.Outcome)
	}
	if len(plan.Placements)+len(plan.Preemptions) > 0 {
		z.requestTick()
	}
}

// arrive submits a task when it arrives.
func (r *runner) arrive(t *Task) {
	j := &jobRun{task: t}
	r.jobs[t.ID] = j
	r.submit(j)
}

// submit offers a job to the zones in service, starting with the one after that of the last submission, until one
// accepts it. It counts the job as refused if none does.
func (r *runner) submit(j *jobRun) {
	for range r.zones {
		z := r.zones[r.nextZone%len(r.zones)]
		r.nextZone++
		if !z.tables.Service.Out && z.accept(j) {
			return
		}
	}
	r.metrics.refused++
	j.ended = true
}

// accept queues a job in the zone. It returns false if the scheduler does not admit it.
func (z *zoneRun) accept(j *jobRun) bool {
	t := j.task
	job := &table.Job{
		ID: t.ID, Workspace: t.Workspace, Class: t.Class, Shape: t.Shape, NoRepeat: t.NoRepeat,
		DeclaredRunMillis: t.DeclaredRunTime.Milliseconds(), AppliedAt: z.run.now,
	}
	if j.job != nil {
		job.FailedWorkers = j.job.FailedWorkers
	}
	if z.scheduler.Admit(z.run.now, job, j.job != nil) != nil {
		return false
	}
	z.sequence++
	job.Sequence = z.sequence
	j.zone, j.job, j.guaranteedSince = z, job, -1
	z.tables.AddJob(job)
	if z.withinGuarantee(j) {
		j.guaranteedSince = z.run.now
	}
	z.requestTick()
	return true
}

// withinGuarantee tells whether a queued job, together with all other jobs of its workspace that are queued or placed
// without borrowing, needs no more than the workspace's guarantees: its shape is a guaranteed one, and no shape has more
// of these jobs than gangs are guaranteed of it (none of a shape without a guarantee).
func (z *zoneRun) withinGuarantee(j *jobRun) bool {
	ws := z.tables.Workspace(j.task.Workspace)
	requested := map[table.Shape]int{}
	for c := table.Class(0); c < table.ClassCount; c++ {
		for _, g := range z.tables.Groups(ws.Name, c) {
			requested[g.Shape] += len(g.Jobs())
		}
	}
	for _, a := range z.tables.Attempts() {
		if o := z.tables.Job(a.Job); o.Workspace == ws.Name && !a.Borrowed {
			requested[o.Shape]++
		}
	}
	guaranteed := map[table.Shape]int{}
	for _, g := range ws.Guarantees {
		guaranteed[g.Shape] = g.Gangs
	}
	for s, n := range requested {
		if n > guaranteed[s] {
			return false
		}
	}
	return guaranteed[j.task.Shape] > 0
}

// setOutOfService takes a zone out of service and hands its queued jobs over to other zones, or puts it back in service.
func (r *runner) setOutOfService(z *zoneRun, out bool) {
	z.tables.Service.Out = out
	z.requestTick()
	if !out {
		return
	}
	for _, name := range z.tables.QueuedWorkspaces() {
		for c := table.Class(0); c < table.ClassCount; c++ {
			for _, job := range append([]*table.Job(nil), z.tables.Queued(name, c)...) {
				z.tables.SetJobState(job, table.JobHandedOver)
				z.tables.RemoveJob(job.ID)
				r.submit(r.jobs[job.ID])
			}
		}
	}
}

// sample measures, in each zone in service, how much free capacity the largest waiting shape cannot use.
func (r *runner) sample() {
	for _, z := range r.zones {
		if !z.tables.Service.Out {
			r.metrics.sample(z.tables)
		}
	}
}

// cancel cancels a task: at once while it is queued, otherwise by stopping its attempt. Ended tasks stay as they are.
func (r *runner) cancel(t *Task) {
	j := r.jobs[t.ID]
	if j == nil || j.ended {
		return
	}
	j.job.Cancelled = true
	z := j.zone
	if j.job.State == table.JobQueued {
		z.finish(j, table.JobCancelled)
		return
	}
	attempt := j.job.Attempt
	z.tables.Attempt(attempt).Stopping = true
	r.after(cancelDelay, func() { z.stopped(attempt, false) })
}
