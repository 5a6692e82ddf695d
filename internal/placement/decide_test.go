package placement_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

const now = 1_000_000

// fixture builds views whose racks have four workers with 8 accelerators each.
type fixture struct {
	view         placement.View
	tasks        map[string][]placement.RunningAttempt // Attempts by worker.
	lastSequence uint64
}

func newFixture(workers int) *fixture {
	f := &fixture{tasks: map[string][]placement.RunningAttempt{}}
	total := domain.Resources{CPU: 32000, MemoryMB: 64000, Accelerators: 8}
	for i := range workers {
		rack := fmt.Sprintf("r%d", i/4)
		f.view.Workers = append(f.view.Workers, &placement.Worker{
			Incarnation: domain.WorkerIncarnation{ID: fmt.Sprintf("w%02d", i)}, Pool: "p", Zone: "z", Rack: rack, Labels: []string{"a", rack},
			Free: total, Total: total, Usable: true,
		})
	}
	f.view.NowMS = now
	f.view.StepTasksOn = func(*placement.Unit, *placement.Worker) int { return 0 }
	f.view.AttemptsOn = func(w *placement.Worker) []placement.RunningAttempt { return f.tasks[w.Incarnation.ID] }
	return f
}

func demand(accelerators int64) domain.Resources {
	return domain.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: accelerators}
}

// occupy adds an attempt to a worker and returns its task.
func (f *fixture) occupy(worker int, accelerators int64, priority int) domain.TaskID {
	w := f.view.Workers[worker]
	id := domain.TaskID{Job: domain.JobID(fmt.Sprintf("on-%d-%d", worker, len(f.tasks[w.Incarnation.ID])))}
	f.tasks[w.Incarnation.ID] = append(f.tasks[w.Incarnation.ID], placement.RunningAttempt{Task: id, Demand: demand(accelerators), Priority: priority, Members: 1, UnsavedMS: 3000, DisruptionBudget: placement.Unlimited})
	w.Free = w.Free.Minus(demand(accelerators))
	return id
}

// unit adds a unit of waiting work, a job with one step.
func (f *fixture) unit(name string, priority int, s domain.Step) *placement.Unit {
	f.lastSequence++
	s.EstimateMS = 2000
	j := &domain.Job{Sequence: f.lastSequence, Spec: domain.JobSpec{ID: domain.JobID(name), Pool: "p", Priority: priority, Steps: []domain.Step{s}},
		Occurrences: []*domain.Occurrence{{Steps: [][]domain.Task{make([]domain.Task, s.Count)}}}}
	u := &placement.Unit{Job: j, RunMS: 2000, WaitedMS: 100, DueMS: now + 10000, MayPreempt: priority == 0, Guaranteed: priority == 0}
	for i := range s.Count {
		u.Indexes = append(u.Indexes, i)
	}
	f.view.Units = append(f.view.Units, u)
	return u
}

// placed returns the workers on which a plan starts the tasks of each job.
func placed(p placement.Plan) map[string][]string {
	out := map[string][]string{}
	for _, s := range p.Starts {
		for _, a := range s.Assignments {
			out[string(a.Task.Job)] = append(out[string(a.Task.Job)], a.Worker.ID)
		}
	}
	return out
}

func tasks(count int, accelerators int64) domain.Step {
	return domain.Step{Count: count, Task: demand(accelerators)}
}

func gang(count int, accelerators int64) domain.Step {
	return domain.Step{Count: count, Task: demand(accelerators), Gang: true}
}

var _ = Describe("placement", func() {
	It("fills the fullest worker first, so that empty workers stay empty", func() {
		f := newFixture(4)
		f.occupy(2, 4, 1)
		f.unit("j", 1, tasks(4, 1))
		Expect(placed(placement.Decide(&f.view))["j"]).To(Equal([]string{"w02", "w02", "w02", "w02"}))
	})

	It("uses empty workers in racks that have few of them, so that gangs for one rack find room", func() {
		// Guards against empty workers that are scattered over the racks: urgent gangs then have to wait for preemptions.
		f := newFixture(12)
		for _, i := range []int{4, 5, 6} {
			f.occupy(i, 8, 1)
		}
		f.unit("j", 1, tasks(1, 8))
		Expect(placed(placement.Decide(&f.view))["j"]).To(Equal([]string{"w07"}))
	})

	It("starts a gang as a whole or not at all", func() {
		f := newFixture(4)
		f.occupy(0, 1, 1)
		f.occupy(1, 1, 1)
		f.unit("whole", 1, gang(3, 8)).DueMS = now
		Expect(placed(placement.Decide(&f.view))).To(BeEmpty())
		f.view.Workers[0].Free = f.view.Workers[0].Total
		Expect(placed(placement.Decide(&f.view))["whole"]).To(HaveLen(3))
	})

	It("puts a gang that prefers one rack into one, the fullest in which it fits", func() {
		f := newFixture(8)
		f.occupy(4, 8, 1)
		s := gang(3, 8)
		s.SameRack = true
		f.unit("j", 0, s)
		Expect(placed(placement.Decide(&f.view))["j"]).To(ConsistOf("w05", "w06", "w07"))
	})

	It("waits for the rack of the data while that is faster, and then runs elsewhere", func() {
		f := newFixture(8)
		for i := range 4 {
			f.occupy(i, 8, 0)
		}
		s := tasks(1, 1)
		s.DataRack = "r0"
		u := f.unit("j", 1, s)
		Expect(placed(placement.Decide(&f.view))).To(BeEmpty())
		u.WaitedMS = 2*2000 + 1
		Expect(placed(placement.Decide(&f.view))["j"]).To(HaveLen(1))
	})

	It("keeps to labels, spread limits and pools", func() {
		f := newFixture(4)
		f.view.Workers[1].Labels = []string{"b", "r0"}
		s := tasks(3, 1)
		s.Label = "b"
		s.PerWorkerLimit = 2
		f.unit("j", 0, s)
		f.unit("other", 0, tasks(1, 1)).Job.Spec.Pool = "q"
		p := placed(placement.Decide(&f.view))
		Expect(p["j"]).To(Equal([]string{"w01", "w01"}))
		Expect(p["other"]).To(BeEmpty())
	})

	It("uses no worker that is not usable", func() {
		f := newFixture(2)
		f.view.Workers[0].Usable, f.view.Workers[1].Usable = false, false
		f.unit("j", 0, tasks(1, 1))
		Expect(placed(placement.Decide(&f.view))).To(BeEmpty())
	})

	It("tries a worker on which the task has failed only after all others", func() {
		f := newFixture(2)
		u := f.unit("j", 0, tasks(1, 1))
		u.Job.Occurrences[0].Steps[0][0].FailedOn = []string{"w00"}
		f.occupy(0, 4, 1) // Fuller, but the task has failed there.
		Expect(placed(placement.Decide(&f.view))["j"]).To(Equal([]string{"w01"}))
	})

	Context("when urgent work has no room", func() {
		It("stops the cheapest work of lower priority, and nothing of its own priority", func() {
			f := newFixture(2)
			f.occupy(0, 8, 0)
			low := f.occupy(1, 1, 2)
			f.occupy(1, 7, 0)
			f.unit("j", 0, tasks(1, 1))
			p := placement.Decide(&f.view)
			Expect(p.Starts).To(BeEmpty())
			Expect(p.Preemptions).To(HaveLen(1))
			Expect(p.Preemptions[0].Task).To(Equal(low))
		})

		It("counts the stop of a gang's member as the stop of the whole gang", func() {
			f := newFixture(2)
			f.occupy(0, 8, 2)
			single := f.occupy(1, 8, 2)
			f.tasks["w00"][0].Members = 8
			f.tasks["w00"][0].UnsavedMS = 1000
			f.unit("j", 0, tasks(1, 8))
			p := placement.Decide(&f.view)
			Expect(p.Preemptions).To(HaveLen(1))
			Expect(p.Preemptions[0].Task).To(Equal(single))
		})

		It("withholds capacity that is being freed from later work, and stops nothing twice", func() {
			f := newFixture(1)
			f.occupy(0, 8, 2)
			f.tasks["w00"][0].Stopping = true
			f.view.Workers[0].Stopping = demand(8)
			f.unit("urgent", 0, tasks(1, 8))
			f.unit("small", 1, tasks(1, 0)).DueMS = now
			p := placement.Decide(&f.view)
			Expect(p.Preemptions).To(BeEmpty())
			Expect(placed(p)["urgent"]).To(BeEmpty())
		})

		It("makes room for a gang in one rack", func() {
			f := newFixture(8)
			for i := range 8 {
				f.occupy(i, 1, 2)
			}
			f.tasks["w01"][0].UnsavedMS = 100_000
			s := gang(3, 8)
			s.SameRack = true
			u := f.unit("j", 0, s)
			p := placement.Decide(&f.view)
			Expect(p.Preemptions).To(HaveLen(3))
			for _, stop := range p.Preemptions {
				Expect(stop.Task.Job).NotTo(Equal(f.tasks["w01"][0].Task.Job))
				Expect(stop.For.Job).To(Equal(u.Job.Spec.ID))
			}
		})

		It("stops nothing for a gang that still could not start", func() {
			f := newFixture(2)
			f.occupy(0, 1, 2)
			f.occupy(1, 1, 0)
			f.unit("j", 0, gang(2, 8))
			Expect(placement.Decide(&f.view).Preemptions).To(BeEmpty())
		})
	})

	It("keeps workers empty for urgent work by pool, whatever runs in the others", func() {
		// Guards against a busy service whose load withholds the idle workers of another one.
		f := newFixture(8)
		for i := range 6 {
			f.occupy(i, 8, 2)
		}
		f.view.Workers[6].Pool, f.view.Workers[7].Pool = "q", "q"
		u := f.unit("j", 2, tasks(1, 1))
		u.Job.Spec.Pool = "q"
		Expect(placed(placement.Decide(&f.view))["j"]).To(HaveLen(1))
	})

	It("keeps no worker empty that a task which lasts could use", func() {
		// Guards against a task that has no run beside idle workers: its objective is far away, so that it is never at risk.
		f := newFixture(10)
		for i := range 7 {
			f.occupy(i, 8, 2)
		}
		s := tasks(1, 8)
		s.LongRunning = true
		f.unit("j", 2, s)
		f.unit("other", 2, tasks(1, 8))
		s.MaxUnavailable = 1
		f.unit("limited", 2, s)
		Expect(placed(placement.Decide(&f.view))).To(HaveKey("j"))
		Expect(placed(placement.Decide(&f.view))).NotTo(HaveKey("other"))
		Expect(placed(placement.Decide(&f.view))).NotTo(HaveKey("limited"), "urgent work could not get the worker back")
	})

	It("keeps a share of the workers empty for urgent work, unless other work is at risk of missing its objective", func() {
		f := newFixture(8)
		u := f.unit("j", 1, tasks(8, 8))
		Expect(placed(placement.Decide(&f.view))["j"]).To(HaveLen(6), "2 of 8 stay empty")
		u.DueMS = now + 3000
		Expect(placed(placement.Decide(&f.view))["j"]).To(HaveLen(8))
	})

	Context("while most of the capacity is idle", func() {
		// Guards against work that waits although there is room for it: because empty workers are kept for urgent work, or
		// because it prefers the rack of its data.
		It("gives empty workers to work that has waited for two seconds", func() {
			f := newFixture(4)
			for i := range 3 {
				f.occupy(i, 4, 1)
			}
			u := f.unit("j", 2, tasks(1, 5))
			Expect(placed(placement.Decide(&f.view))).To(BeEmpty(), "the last empty worker is kept at first")
			u.WaitedMS = 2000
			Expect(placed(placement.Decide(&f.view))["j"]).To(Equal([]string{"w03"}))
		})

		It("gives up the room reserved for a gang for work that has waited for two seconds", func() {
			f := newFixture(12)
			for i := 3; i < 12; i++ {
				f.occupy(i, 4, 1)
			}
			f.unit("large", 1, gang(4, 8)).DueMS = now + 1000
			u := f.unit("small", 2, tasks(1, 5))
			Expect(placed(placement.Decide(&f.view))).To(BeEmpty())
			u.WaitedMS = 2000
			Expect(placed(placement.Decide(&f.view))).To(HaveKey("small"))
		})

		It("waits for the rack of the data for two seconds only", func() {
			f := newFixture(12)
			for i := range 4 {
				f.occupy(i, 8, 0)
			}
			s := tasks(1, 1)
			s.DataRack = "r0"
			u := f.unit("j", 1, s)
			u.RunMS = 9000
			Expect(placed(placement.Decide(&f.view))).To(BeEmpty())
			u.WaitedMS = 2000
			Expect(placed(placement.Decide(&f.view))["j"]).To(HaveLen(1))
			for i := 4; i < 8; i++ {
				f.occupy(i, 8, 0)
			}
			Expect(placed(placement.Decide(&f.view))).To(BeEmpty(), "most of the capacity is in use")
		})
	})

	It("reserves room for a large gang that is at risk of missing its objective, against a stream of small work", func() {
		// Guards against small work that fills each gap before the gang fits.
		f := newFixture(8)
		for i := range 8 {
			f.occupy(i, 1, 1)
		}
		f.unit("large", 1, gang(3, 8)).DueMS = now + 1000
		f.unit("small", 2, tasks(80, 1)).DueMS = now + 1000
		p := placed(placement.Decide(&f.view))
		Expect(p["large"]).To(BeEmpty())
		used := map[string]bool{}
		for _, w := range p["small"] {
			used[w] = true
		}
		Expect(used).To(HaveLen(5))
	})

	It("reserves room for a gang that has waited for half its run time, against small work of lower priority", func() {
		// Without the reservation, a backlog of small work made gangs wait for 20 to 50 s while all small work was in time.
		f := newFixture(8)
		for i := range 8 {
			f.occupy(i, 1, 1)
		}
		u := f.unit("gang", 1, gang(3, 8))
		u.DueMS = now + 60_000
		f.unit("small", 2, tasks(80, 1)).DueMS = now + 1000
		spread := func() int {
			used := map[string]bool{}
			for _, w := range placed(placement.Decide(&f.view))["small"] {
				used[w] = true
			}
			return len(used)
		}
		Expect(spread()).To(Equal(8))
		u.WaitedMS = 1001
		Expect(spread()).To(Equal(5))
	})

	It("reserves the workers with the smallest shortage of all resources of a gang, not only of accelerators", func() {
		f := newFixture(6)
		for i := range 6 {
			f.occupy(i, 2, 1)
		}
		for i := range 3 {
			f.view.Workers[i].Free.Accelerators = 8 // But hardly any memory is free.
			f.view.Workers[i].Free.MemoryMB = 100
		}
		s := gang(3, 7)
		s.Task.MemoryMB = 40000
		f.unit("gang", 1, s).WaitedMS = 1001
		f.unit("small", 2, domain.Step{Count: 60, Task: domain.Resources{CPU: 100, MemoryMB: 10, Accelerators: 1}})
		used := map[string]bool{}
		for _, w := range placed(placement.Decide(&f.view))["small"] {
			used[w] = true
		}
		Expect(used).To(HaveKey("w00"))
		Expect(used).NotTo(HaveKey("w03"))
	})

	It("places expired work after the rest", func() {
		f := newFixture(1)
		u := f.unit("hopeless", 1, tasks(1, 8))
		u.Expired, u.DueMS = true, now-100000
		f.unit("j", 2, tasks(1, 8))
		Expect(placed(placement.Decide(&f.view))).To(HaveKey("j"))
	})
})
