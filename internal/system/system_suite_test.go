package system_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

func TestSystem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "System")
}

// zone applies plans to the tables as the zone's cell does. Preempted attempts stop only when stopPreempted or end is
// called.
type zone struct {
	tables       *table.Tables
	policy       *system.Policy
	now          time.Duration
	lastSequence uint64
}

// newZone returns a zone with the given racks, each with the given number of workers with 8 accelerators.
func newZone(racks, workers int, contracts ...*table.Workspace) *zone {
	z := &zone{tables: table.New("west"), now: time.Second}
	for r := range racks {
		for w := range workers {
			z.addWorker(fmt.Sprintf("r%d-w%d", r, w), fmt.Sprintf("r%d", r))
		}
	}
	for _, ws := range contracts {
		z.tables.PutWorkspace(ws)
	}
	z.policy = system.NewPolicy(z.tables, system.Options{})
	return z
}

func (z *zone) addWorker(id, rack string) {
	z.tables.PutWorker(&table.Worker{ID: id, Incarnation: "1", Rack: rack, Accelerators: 8, Slots: 8})
}

func workspace(name string, share int, guarantees ...table.Guarantee) *table.Workspace {
	return &table.Workspace{Name: name, SurplusShare: share, Guarantees: guarantees, GraceMillis: 3000}
}

func guarantee(gangs, gang, accelerators int, a table.Adjacency) table.Guarantee {
	return table.Guarantee{Gangs: gangs, Shape: shape(gang, accelerators, a)}
}

func shape(gang, accelerators int, a table.Adjacency) table.Shape {
	return table.Shape{Gang: gang, Accelerators: accelerators, Adjacency: a}
}

// submit queues a job without a tick.
func (z *zone) submit(ws string, c table.Class, s table.Shape) *table.Job {
	z.lastSequence++
	j := &table.Job{ID: fmt.Sprintf("j%05d", z.lastSequence), Workspace: ws, Class: c, Shape: s, Sequence: z.lastSequence,
		AppliedAt: z.now}
	z.tables.AddJob(j)
	return j
}

// tick advances the time, runs the systems and applies the placements and ends of the plan.
func (z *zone) tick(d time.Duration) system.Plan {
	z.now += d
	plan := z.policy.Tick(z.now)
	for _, pl := range plan.Placements {
		j := z.tables.Job(pl.Job)
		j.AttemptCount++
		a := &table.Attempt{ID: fmt.Sprintf("%s/%d", j.ID, j.AttemptCount), Job: j.ID, Accelerators: j.Shape.Accelerators,
			Borrowed: pl.Borrowed, PlacedAt: z.now, RunningAt: z.now, State: table.AttemptRunning}
		for _, w := range pl.Members {
			a.Members = append(a.Members, table.MemberPlacement{Worker: w})
		}
		j.Attempt = a.ID
		z.tables.SetJobState(j, table.JobRunning)
		z.tables.AddAttempt(a)
	}
	for _, pr := range plan.Preemptions {
		z.tables.Attempt(pr.Attempt).Stopping = true
	}
	for _, e := range plan.JobEnds {
		z.tables.SetJobState(z.tables.Job(e.Job), table.JobEnded)
	}
	return plan
}

// end ends the attempt of a job and sets the state of the job. With failed set, the failure is reported for the
// attempt's first worker.
func (z *zone) end(j *table.Job, s table.JobState, succeeded, failed bool) {
	a := z.tables.Attempt(j.Attempt)
	r := system.AttemptReport{Job: j, Succeeded: succeeded, RunTime: z.now - a.RunningAt}
	for _, m := range a.Members {
		r.Workers = append(r.Workers, m.Worker)
	}
	if failed {
		r.FailedWorkers = r.Workers[:1]
		j.FailedWorkers = append(j.FailedWorkers, r.Workers[0])
	}
	z.tables.RemoveAttempt(a.ID)
	z.tables.SetJobState(j, s)
	z.policy.AttemptEnded(z.now, r)
}

// stopPreempted ends all attempts whose preemption was requested, and returns their number. Their jobs return to the
// queue.
func (z *zone) stopPreempted() int {
	n := 0
	for _, a := range z.tables.Attempts() {
		if a.Stopping {
			z.end(z.tables.Job(a.Job), table.JobQueued, false, false)
			n++
		}
	}
	return n
}

// submitAndTick queues the given number of jobs of a shape, runs one tick and returns the jobs.
func (z *zone) submitAndTick(ws string, c table.Class, s table.Shape, jobs int) []*table.Job {
	var out []*table.Job
	for range jobs {
		out = append(out, z.submit(ws, c, s))
	}
	z.tick(time.Millisecond)
	return out
}

func isRunning(z *zone, j *table.Job) bool {
	return z.tables.Attempt(j.Attempt) != nil && j.State == table.JobRunning
}
