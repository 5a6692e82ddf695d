// Package measure runs schedulers on seeded workloads with a simulated clock, and compares them side by side. There is
// no network and no model of the cluster beyond the tables of each zone.
package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Kind is a kind of jobs that is reported separately.
type Kind int

// Kinds of jobs.
const (
	Screening Kind = iota // Urgent, run for seconds on one accelerator.
	Review                // Bulk, run for minutes to an hour.
	Gang                  // Long runs on adjacent accelerators.
	KindCount             // Number of kinds.
)

// String returns the name of the kind in reports.
func (k Kind) String() string { return [...]string{"screenings", "reviews", "gangs"}[k] }

// Task is one job of a workload. It includes what the scheduler must not know, such as the actual run time.
type Task struct {
	ID              string
	Kind            Kind
	Workspace       string
	Class           table.Class
	Shape           table.Shape
	Arrives         time.Duration
	DeclaredRunTime time.Duration
	RunTime         time.Duration // Actual run time on workers that are not faulty.
	Poisoned        bool          // Fails on every worker, FailsAfter its start.
	FailsAfter      time.Duration
	NoRepeat        bool
	Checkpoint      bool          // Keeps its progress when it is preempted.
	StopTime        time.Duration // From preemption to end of the attempt, for a checkpoint; limited by the grace.
	CancelAt        time.Duration // 0 for never.
}

// Zone holds the workers of one zone.
type Zone struct {
	Name    string
	Workers []table.Worker
	Faulty  map[string]bool // Workers on which every attempt fails.
}

// Workload is everything that happens in one run.
type Workload struct {
	Seed       uint64
	Length     time.Duration
	Zones      []Zone
	Workspaces []table.Workspace // The same in each zone.
	Tasks      []Task            // In order of arrival.
	OutZone    int               // Index of the zone that is taken out.
	OutAt      time.Duration     // When OutZone is taken out of service; 0 for never.
	BackAt     time.Duration     // When OutZone is put back in service.
	// CostOnly leaves out the samples of free capacity, which take more time than the scheduler at the target size.
	CostOnly bool
}

const (
	poisonedShare    = 0.02
	faultyShare      = 0.05
	noRepeatShare    = 0.05
	runTimeFactorMin = 0.2 // Actual run times lie between these multiples of the declared ones.
	runTimeFactorMax = 5.0
)

// runTimeFactorMean is the mean of the log-uniform distribution between runTimeFactorMin and runTimeFactorMax.
var runTimeFactorMean = (runTimeFactorMax - runTimeFactorMin) / math.Log(runTimeFactorMax/runTimeFactorMin)

// CurrentWorkload returns a workload of the size of the deployments that run now: 50 workers with 8 accelerators each, in
// racks of 8 workers and three zones, and 4 workspaces. The load is the offered share of all accelerators.
func CurrentWorkload(seed uint64, length time.Duration, load float64) Workload {
	r := rand.New(rand.NewPCG(seed, 1))
	w := Workload{Seed: seed, Length: length, Workspaces: currentWorkspaces()}
	for i, n := range []int{17, 17, 16} {
		w.Zones = append(w.Zones, newZone(r, fmt.Sprintf("zone-%d", i+1), n, 8, 8))
	}
	g := &generator{r: r, length: length, accelerators: 400}
	g.screenings("debtors", 0.02*load)
	g.screenings("tenants", 0.02*load)
	g.reviews("debtors", 0.12*load)
	g.reviews("tenants", 0.12*load)
	g.reviews("archive", 0.20*load)
	g.gangs("plans", 0.32*load, planGangs)
	g.gangs("tenants", 0.12*load, tenantGangs)
	g.gangs("debtors", 0.08*load, debtorGangs)
	g.cancellations()
	w.Tasks = g.finish()
	w.OutZone = r.IntN(len(w.Zones))
	w.OutAt = length / 2
	w.BackAt = w.OutAt + 10*time.Minute
	return w
}

var (
	planGangs   = []table.Shape{{Gang: 4, Accelerators: 8, Adjacency: table.SameRack}, {Gang: 2, Accelerators: 8, Adjacency: table.SameRack}}
	tenantGangs = []table.Shape{{Gang: 16, Accelerators: 1, Adjacency: table.SameRack}, {Gang: 24, Accelerators: 1, Adjacency: table.SameRack}}
	debtorGangs = []table.Shape{{Gang: 8, Accelerators: 1, Adjacency: table.SameWorker}, {Gang: 2, Accelerators: 4, Adjacency: table.SameWorker}}
)

func currentWorkspaces() []table.Workspace {
	one := table.Shape{Gang: 1, Accelerators: 1}
	two := table.Shape{Gang: 1, Accelerators: 2}
	return []table.Workspace{
		{Name: "debtors", SurplusShare: 3, GraceMillis: 5000, Guarantees: []table.Guarantee{
			{Gangs: 12, Shape: one}, {Gangs: 1, Shape: debtorGangs[0]}}},
		{Name: "tenants", SurplusShare: 3, GraceMillis: 5000, Guarantees: []table.Guarantee{
			{Gangs: 12, Shape: one}, {Gangs: 1, Shape: tenantGangs[0]}}},
		{Name: "archive", SurplusShare: 1, GraceMillis: 5000, Guarantees: []table.Guarantee{{Gangs: 4, Shape: two}}},
		{Name: "plans", SurplusShare: 3, GraceMillis: 5000, Guarantees: []table.Guarantee{{Gangs: 1, Shape: planGangs[0]}}},
	}
}

// newZone returns a zone of equal workers, with as many to a rack as given. A faultyShare of them, drawn at random, is
// faulty.
func newZone(r *rand.Rand, name string, workers, accelerators, workersPerRack int) Zone {
	z := Zone{Name: name, Faulty: map[string]bool{}}
	for i := range workers {
		id := fmt.Sprintf("%s-w%04d", name, i)
		z.Workers = append(z.Workers, table.Worker{
			ID: id, Incarnation: "1", Rack: fmt.Sprintf("%s-r%03d", name, i/workersPerRack),
			Accelerators: accelerators, Slots: 8, Cores: 30, MemoryMB: 64 << 10, Connections: 64,
		})
		if r.Float64() < faultyShare {
			z.Faulty[id] = true
		}
	}
	return z
}

// generator draws the tasks of a workload at random.
type generator struct {
	r            *rand.Rand
	length       time.Duration
	accelerators int // Of all zones together.
	tasks        []Task
}

// logUniform draws a duration between low and high seconds from a log-uniform distribution.
func (g *generator) logUniform(low, high float64) time.Duration {
	s := low * math.Exp(g.r.Float64()*math.Log(high/low))
	return time.Duration(s * float64(time.Second))
}

// add completes a task with random properties that the scheduler does not know, and adds it.
func (g *generator) add(t Task) {
	// The number of seconds drawn is the factor between the declared and the actual run time.
	t.RunTime = time.Duration(float64(t.DeclaredRunTime) * g.logUniform(runTimeFactorMin, runTimeFactorMax).Seconds())
	t.Poisoned = g.r.Float64() < poisonedShare
	t.FailsAfter = g.logUniform(1, 30)
	t.NoRepeat = g.r.Float64() < noRepeatShare
	t.Checkpoint = g.r.Float64() < 0.5
	t.StopTime = g.logUniform(0.2, 5)
	g.tasks = append(g.tasks, t)
}

// arrivals calls draw at the times of a Poisson process, at the rate that offers the given share of all accelerators when
// one draw adds tasks of mean accelerator seconds on average.
func (g *generator) arrivals(share, mean float64, draw func(at time.Duration)) {
	gap := mean / (share * float64(g.accelerators))
	for at := g.r.ExpFloat64() * gap; at < g.length.Seconds(); at += g.r.ExpFloat64() * gap {
		draw(time.Duration(at * float64(time.Second)))
	}
}

// screenings draws screenings: half of the share as single ones, half in bursts of 20 to 120 (70 on average) within one
// second.
func (g *generator) screenings(workspace string, share float64) {
	const low, high = 1.0, 5.0
	mean := (high - low) / math.Log(high/low) * runTimeFactorMean
	one := func(at time.Duration) {
		g.add(Task{Kind: Screening, Workspace: workspace, Class: table.Urgent, Shape: table.Shape{Gang: 1, Accelerators: 1},
			Arrives: at, DeclaredRunTime: g.logUniform(low, high)})
	}
	g.arrivals(share/2, mean, one)
	g.arrivals(share/2, mean*70, func(at time.Duration) {
		for range 20 + g.r.IntN(101) {
			one(at + time.Duration(g.r.Float64()*float64(time.Second)))
		}
	})
}

// reviews draws batches of 1 to 15 reviews (8 on average) of 1 or 4 accelerators (1.75 on average).
func (g *generator) reviews(workspace string, share float64) {
	const low, high = 120.0, 1800.0
	mean := (high - low) / math.Log(high/low) * runTimeFactorMean
	g.arrivals(share, mean*1.75*8, func(at time.Duration) {
		for range 1 + g.r.IntN(15) {
			n := []int{1, 1, 1, 4}[g.r.IntN(4)]
			g.add(Task{Kind: Review, Workspace: workspace, Class: table.Bulk, Arrives: at,
				Shape: table.Shape{Gang: 1, Accelerators: n}, DeclaredRunTime: g.logUniform(low, high)})
		}
	})
}

// gangs draws gangs of the shapes, each shape with the same probability.
func (g *generator) gangs(workspace string, share float64, shapes []table.Shape) {
	const low, high = 600.0, 3600.0
	total := 0
	for _, s := range shapes {
		total += s.Total()
	}
	mean := (high - low) / math.Log(high/low) * runTimeFactorMean * float64(total) / float64(len(shapes))
	g.arrivals(share, mean, func(at time.Duration) {
		s := shapes[g.r.IntN(len(shapes))]
		g.add(Task{Kind: Gang, Workspace: workspace, Class: table.Standard, Shape: s, Arrives: at,
			DeclaredRunTime: g.logUniform(low, high)})
	})
}

// cancellations cancels two fifths of the jobs of one workspace that arrived in the last half hour, at three times; the
// workspace is drawn anew each time.
func (g *generator) cancellations() {
	for wave := 1; wave <= 3; wave++ {
		at := g.length * time.Duration(wave) / 4
		workspace := g.tasks[g.r.IntN(len(g.tasks))].Workspace
		for i := range g.tasks {
			t := &g.tasks[i]
			if t.Workspace == workspace && t.Arrives < at && t.Arrives > at-30*time.Minute && g.r.Float64() < 0.4 {
				t.CancelAt = at
			}
		}
	}
}

// finish orders the tasks by arrival and names them.
func (g *generator) finish() []Task {
	sortTasks(g.tasks)
	for i := range g.tasks {
		g.tasks[i].ID = fmt.Sprintf("t%06d", i)
	}
	return g.tasks
}
