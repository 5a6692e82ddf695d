package measure

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/system/packing"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Metrics holds what was measured in one run of one scheduler.
type Metrics struct {
	workload           Workload
	largestTotal       int                  // Accelerators of the largest job; gangs with as many are the largest.
	completion         [KindCount][]float64 // Seconds from arrival to success; jobs queued at the end count with their age.
	slowdown           [KindCount][]float64
	startWait          [KindCount][]float64 // Seconds from arrival to the first start.
	largeWait          []float64            // As startWait, of the largest gangs only.
	guaranteedWait     []float64            // Seconds from the arrival of a job within its workspace's guarantee to its start.
	unusable           float64              // Free accelerators unusable for the largest waiting shape, summed over samples.
	free               float64              // Free accelerators, summed over samples.
	worked             float64              // Accelerator seconds of attempts that ran.
	lost               float64              // Accelerator seconds of preempted attempts without a checkpoint.
	preemptions        int
	refused            int // Jobs that no zone accepted.
	outcomes           map[table.JobOutcome]int
	openJobs           int
	startsDuringOutage int       // In all zones, while one is out.
	startsAfterReturn  int       // In the zone that was out, in the ten minutes after its return (returnWindow).
	startsInOutZone    int       // In the zone that is out, later than startDelay after it was taken out.
	startsPerMinute    []int     // By minute of the run.
	decisions          int       // Placements, preemptions and job ends in all plans.
	ticks              []float64 // Seconds of each tick.
	tickTotal          time.Duration
	tickCount          int
}

// slowdownFloor is the shortest run time that a completion time is divided by, so that the slowdown of very short jobs
// stays meaningful.
const slowdownFloor = 10 * time.Second

// returnWindow is the time after a zone's return to service in which its starts are counted.
const returnWindow = 10 * time.Minute

func newMetrics(workload Workload) *Metrics {
	m := &Metrics{workload: workload, outcomes: map[table.JobOutcome]int{},
		startsPerMinute: make([]int, int(workload.Length.Minutes())+1)}
	for i := range workload.Tasks {
		m.largestTotal = max(m.largestTotal, workload.Tasks[i].Shape.Total())
	}
	return m
}

// tick records the duration of a tick and the number of decisions in its plan.
func (m *Metrics) tick(took time.Duration, plan system.Plan) {
	m.tickTotal += took
	m.tickCount++
	m.ticks = append(m.ticks, took.Seconds())
	m.decisions += len(plan.Placements) + len(plan.Preemptions) + len(plan.JobEnds)
}

// start records a start of a job in a zone.
func (m *Metrics) start(now time.Duration, j *jobRun, z *zoneRun) {
	m.startsPerMinute[int(now.Minutes())]++
	if m.workload.OutAt > 0 && now >= m.workload.OutAt && now < m.workload.BackAt {
		m.startsDuringOutage++
		if z == z.run.zones[m.workload.OutZone] && now > m.workload.OutAt+startDelay {
			m.startsInOutZone++
		}
	}
	if m.workload.OutAt > 0 && now >= m.workload.BackAt && now < m.workload.BackAt+returnWindow &&
		z == z.run.zones[m.workload.OutZone] {
		m.startsAfterReturn++
	}
	if j.guaranteedSince >= 0 {
		m.guaranteedWait = append(m.guaranteedWait, (now - j.guaranteedSince).Seconds())
		j.guaranteedSince = -1
	}
	if j.startedAt == now {
		m.wait(now, j)
	}
}

// wait records the time that a job has waited for its first start.
func (m *Metrics) wait(now time.Duration, j *jobRun) {
	wait := (now - j.task.Arrives).Seconds()
	m.startWait[j.task.Kind] = append(m.startWait[j.task.Kind], wait)
	if j.task.Shape.Total() >= m.largestTotal {
		m.largeWait = append(m.largeWait, wait)
	}
}

// finish records the outcome of a job.
func (m *Metrics) finish(now time.Duration, j *jobRun, o table.JobOutcome) {
	m.outcomes[o]++
	if o == table.JobSucceeded {
		m.completed(now, j)
	}
}

// completed records the completion time and the slowdown of a job, as of now.
func (m *Metrics) completed(now time.Duration, j *jobRun) {
	took := now - j.task.Arrives
	k := j.task.Kind
	m.completion[k] = append(m.completion[k], took.Seconds())
	m.slowdown[k] = append(m.slowdown[k], max(1, took.Seconds()/max(j.task.RunTime, slowdownFloor).Seconds()))
}

// open records a job that has not ended when the run ends. The age of a queued job is a lower bound of its completion
// time and counts as that. Jobs that run are left out of completion times, because long ones are open at the end under
// any scheduler.
func (m *Metrics) open(now time.Duration, j *jobRun) {
	m.openJobs++
	if j.guaranteedSince >= 0 {
		m.guaranteedWait = append(m.guaranteedWait, (now - j.guaranteedSince).Seconds())
	}
	if j.job.State != table.JobQueued {
		return
	}
	m.completed(now, j)
	if !j.started {
		m.wait(now, j)
	}
}

// sample adds up the free accelerators of a zone, and those of them that the largest waiting shape cannot use. While no
// job waits, none counts as unusable.
func (m *Metrics) sample(t *table.Tables) {
	var bins []packing.Bin
	free := 0
	for i, r := range t.Racks() {
		for _, w := range t.Rack(r) {
			if w.Usable() {
				bins = append(bins, packing.Bin{Rack: i, Free: w.FreeAccelerators(), Slots: w.FreeSlots()})
				free += w.FreeAccelerators()
			}
		}
	}
	m.free += float64(free)
	s, waits := largestWaiting(t)
	if !waits || free == 0 {
		return
	}
	usable := 0
	for packing.Place(bins, s) != nil {
		usable += s.Total()
	}
	m.unusable += float64(free - usable)
}

// largestWaiting returns the queued shape with the most accelerators, or false if nothing is queued.
func largestWaiting(t *table.Tables) (table.Shape, bool) {
	var largest table.Shape
	for _, ws := range t.QueuedWorkspaces() {
		for c := table.Class(0); c < table.ClassCount; c++ {
			for _, g := range t.Groups(ws, c) {
				if g.Shape.Total() > largest.Total() {
					largest = g.Shape
				}
			}
		}
	}
	return largest, largest.Gang > 0
}

// percentile returns a quantile of the values, or 0 without values.
func percentile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
