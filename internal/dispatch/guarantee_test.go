package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/simworker"
)

// reclaimBound is the time after its acceptance within which a job within its workspace's guarantee must begin.
const reclaimBound = 3400 * time.Millisecond

// guarantee puts a configuration in force in which workspace w1 has a guarantee and w2 has none.
func (w *world) guarantee(accelerators int64) {
	c := *w.stateMachine.Config()
	c.Version++
	c.Workspaces = []domain.Workspace{{Name: "w1", Keys: []string{"k1"}, GuaranteedAccelerators: accelerators}, {Name: "w2", Keys: []string{"k2"}}}
	w.apply(domain.Command{Config: &c})
}

// submitFor submits a job of a workspace.
func (w *world) submitFor(workspace string, spec domain.JobSpec) {
	spec.Pool, spec.Queue, spec.Workspace, spec.MaxAttempts, spec.Stretch = "pool", "q", workspace, 3, 3
	w.commit(&domain.Command{Submit: &spec})
}

// began returns whether all tasks of a job have begun.
func (w *world) began(id domain.JobID) bool {
	j := w.stateMachine.Job(id)
	for i := range j.Spec.Steps[0].Count {
		if t := j.Task(domain.TaskID{Job: id, Index: i}); !t.Done && w.running[domain.TaskID{Job: id, Index: i}].Attempt != t.Attempt {
			return false
		}
	}
	return j.State != domain.JobPending
}

// Guards against a guarantee that cannot be reclaimed while urgent work of a workspace without one has all workers.
var _ = Describe("urgent work of a workspace without a guarantee", func() {
	lasting := func(count int) domain.Step {
		s := step(count, 8)
		s.LongRunning = true
		return s
	}
	// fill returns a world with eight workers on which work of w2 runs, and where 16 accelerators are guaranteed to w1.
	fill := func(payload string, s domain.Step) *world {
		w := newWorld(1, 8)
		w.guarantee(16)
		w.run(time.Second)
		w.submitFor("w2", domain.JobSpec{ID: "other", Payload: payload, Steps: []domain.Step{s}})
		w.run(5 * time.Second)
		return w
	}

	DescribeTable("yields to work within a guarantee in time", func(payload string, s, guaranteed domain.Step, newLeader bool) {
		w := fill(payload, s)
		Expect(w.running).To(HaveLen(s.Count))
		if newLeader {
			w.elect()
			w.run(w.now + 2*time.Second)
		}
		w.submitFor("w1", domain.JobSpec{ID: "j", Payload: "work=2500", Steps: []domain.Step{guaranteed}})
		w.run(w.now + reclaimBound)
		Expect(w.began("j")).To(BeTrue())
		w.run(w.now + 10*time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.running).To(HaveLen(s.Count), "what was stopped runs again")
		Expect(w.violations).To(BeEmpty())
	},
		Entry("tasks that last, to independent tasks", "serve=10", lasting(8), step(2, 8), false),
		Entry("tasks that last, to a gang", "serve=10", lasting(8), gang(2, 8), false),
		Entry("long tasks", "work=300000", step(8, 8), step(2, 8), false),
		Entry("a gang", "work=300000 gang=8", gang(8, 8), step(2, 8), false),
		Entry("tasks that last, under the next leader", "serve=10", lasting(8), step(2, 8), true),
	)

	DescribeTable("is shown by a preview as stopped", func(guaranteed domain.Step) {
		w := fill("serve=10", lasting(8))
		p := w.leader.Preview(w.time(), &domain.JobSpec{ID: "j", Queue: "q", Pool: "pool", Workspace: "w1", MaxAttempts: 3, Stretch: 3, Steps: []domain.Step{guaranteed}})
		Expect(p.Steps[0].Stops).To(HaveLen(2))
		Expect(p.Steps[0].Stops[0].Task.Job).To(Equal(domain.JobID("other")))
	},
		Entry("for independent tasks", step(2, 8)),
		Entry("for a gang", gang(2, 8)),
	)

	DescribeTable("is not stopped again and again by a stream of such work", func(guaranteed domain.Step, period time.Duration, maxStops, maxOfOneTask int) {
		w := fill("serve=10", lasting(8))
		stops := map[int]int{}
		w.gangs.OnEvent = func(e simworker.Event) {
			if !e.Start && e.Task.Job == "other" && e.Outcome == domain.OutcomeStopped {
				stops[e.Task.Index]++
			}
			w.observe(e)
		}
		for i := range 12 {
			id := domain.JobID(fmt.Sprint("j", i))
			w.submitFor("w1", domain.JobSpec{ID: id, Payload: "work=2000", Steps: []domain.Step{guaranteed}})
			next := w.now + max(period, reclaimBound)
			w.run(w.now + reclaimBound)
			Expect(w.began(id)).To(BeTrue(), string(id))
			w.run(next)
		}
		all := 0
		for index, n := range stops {
			all += n
			Expect(n).To(BeNumerically("<=", maxOfOneTask), "task %d", index)
		}
		Expect(all).To(BeNumerically("<=", maxStops))
		Expect(w.violations).To(BeEmpty())
	},
		Entry("that comes before its room has been idle for long", step(2, 8), reclaimBound, 2, 1),
		Entry("of gangs that come before their room has been idle for long", gang(2, 8), reclaimBound, 2, 1),
		Entry("that comes after that", step(2, 8), 8*time.Second, 24, 4),
	)
})
