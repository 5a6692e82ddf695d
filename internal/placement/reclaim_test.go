package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

// stoppedBy returns the tasks that a plan preempts.
func stoppedBy(f *fixture) []domain.TaskID {
	var out []domain.TaskID
	for _, x := range placement.Decide(&f.view).Preemptions {
		out = append(out, x.Task)
	}
	return out
}

// Guards against a guarantee that cannot be reclaimed, because urgent work of other workspaces, which is beyond theirs, was never
// stopped for it.
var _ = Describe("a unit within the guarantee of its workspace, on a fleet that is full of urgent work", func() {
	const waited = 1500 // Longer than urgent work is given to end by itself.

	// full returns a fixture with urgent work that is beyond the guarantees of its workspaces on all workers.
	full := func(workers int) (*fixture, []domain.TaskID) {
		f := newFixture(workers)
		var ids []domain.TaskID
		for i := range workers {
			ids = append(ids, f.occupy(i, 8, 0))
		}
		return f, ids
	}
	attempt := func(f *fixture, worker int) *placement.RunningAttempt {
		return &f.tasks[f.view.Workers[worker].Incarnation.ID][0]
	}

	DescribeTable("stops that which costs least", func(s domain.Step) {
		f, ids := full(3)
		attempt(f, 0).UnsavedMS = 9000
		f.unit("j", 0, s).WaitedMS = waited
		Expect(stoppedBy(f)).To(ConsistOf(ids[1], ids[2]))
	},
		Entry("for independent tasks", tasks(2, 8)),
		Entry("for a gang", gang(2, 8)),
		Entry("for tasks that need a part of a worker", domain.Step{Count: 2, Task: demand(5)}),
	)

	It("does not stop what has been stopped for guarantees before, as long as there is other work", func() {
		f, ids := full(3)
		attempt(f, 1).Reclaims = 1
		f.unit("j", 0, tasks(1, 8)).WaitedMS = waited
		attempt(f, 2).Reclaims = 2
		Expect(stoppedBy(f)).To(Equal(ids[:1]))
	})

	It("stops work of lower priority first, at once", func() {
		f, _ := full(3)
		low := f.occupy(2, 0, 1)
		f.tasks["w02"] = f.tasks["w02"][1:] // Only the work of lower priority.
		f.tasks["w02"][0].Demand = demand(8)
		f.tasks["w02"][0].UnsavedMS = 100_000
		f.unit("j", 0, tasks(1, 8))
		Expect(stoppedBy(f)).To(Equal([]domain.TaskID{low}))
	})

	DescribeTable("stops nothing", func(change func(f *fixture, u *placement.Unit)) {
		f, _ := full(2)
		u := f.unit("j", 0, tasks(1, 8))
		u.WaitedMS = waited
		change(f, u)
		Expect(stoppedBy(f)).To(BeEmpty())
	},
		Entry("that is within a guarantee itself", func(f *fixture, _ *placement.Unit) {
			attempt(f, 0).Guaranteed, attempt(f, 1).Guaranteed = true, true
		}),
		Entry("if it is beyond the guarantee", func(_ *fixture, u *placement.Unit) { u.Guaranteed = false }),
		Entry("that may end by itself in time", func(_ *fixture, u *placement.Unit) { u.WaitedMS = 500 }),
		Entry("that more others of its step are away than it allows", func(f *fixture, _ *placement.Unit) {
			attempt(f, 0).DisruptionBudget, attempt(f, 1).DisruptionBudget = 0, 0
		}),
	)

	It("stops work of its own workspace that is beyond the guarantee, if that is at its maximum", func() {
		f, _ := full(3)
		f.view.Workspaces = map[string]*placement.Workspace{"w": {Max: domain.Resources{Accelerators: 8}, Used: domain.Resources{Accelerators: 8}}}
		attempt(f, 2).Counted = &placement.Counted{Workspace: "w", Amount: demand(8)}
		u := f.unit("j", 0, tasks(1, 8))
		u.Job.Spec.Workspace, u.WaitedMS = "w", waited
		Expect(stoppedBy(f)).To(ContainElement(HaveField("Job", attempt(f, 2).Task.Job)))
	})

	It("alone gets the worker that was vacated for a guarantee", func() {
		f := newFixture(1)
		f.view.Workers[0].Vacated = true
		f.unit("other", 0, tasks(1, 8)).Guaranteed = false
		Expect(placed(placement.Decide(&f.view))).To(BeEmpty())
		f.unit("j", 0, tasks(1, 8))
		Expect(placed(placement.Decide(&f.view))).To(HaveKey("j"))
	})
})
