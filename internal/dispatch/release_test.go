package dispatch_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// schedules submits jobs whose step runs 20,000 times, all due at 2 s.
func (w *world) schedules(jobs int, spec func(i int) domain.JobSpec) {
	for i := range jobs {
		s := spec(i)
		s.ID, s.RepeatCount, s.StartAtMS = domain.JobID(fmt.Sprint("s", i)), 20000, wallStart+2000
		w.submit(s)
	}
}

// waitingSteps returns how many steps of scheduled jobs wait, and the least number of occurrences of a job that are not done.
func (w *world) waitingSteps() (waiting, least int) {
	least = 1 << 30
	for _, j := range w.stateMachine.OpenJobs() {
		open := 0
		for _, o := range j.Occurrences {
			for _, tasks := range o.Steps {
				if slices.ContainsFunc(tasks, func(t domain.Task) bool { return !t.Done && !t.Assigned() }) {
					waiting++
				}
			}
			if !o.Done {
				open++
			}
		}
		least = min(least, open)
	}
	return waiting, least
}

var _ = Describe("schedules whose occurrences are all due at once", func() {
	short := func(int) domain.JobSpec {
		return domain.JobSpec{Payload: "work=1000", Steps: []domain.Step{step(1, 1)}}
	}

	// Guards against plans over so many units that the leader loses its lease while it makes one, again and again.
	DescribeTable("leave few steps to each plan, at least one of each job", func(jobs, bound int) {
		w := newWorld(1, 6)
		w.run(time.Second)
		w.schedules(jobs, short)
		for at := 2 * time.Second; at <= 8*time.Second; at += 500 * time.Millisecond {
			w.run(at + 250*time.Millisecond)
			waiting, least := w.waitingSteps()
			Expect(waiting).To(BeNumerically("<=", bound))
			Expect(least).To(BeNumerically(">=", 1))
			if at == 4*time.Second {
				w.elect()
			}
		}
		Expect(w.violations).To(BeEmpty())
		Expect(w.starts).To(BeNumerically(">=", 48*3), "all workers are in use")
	},
		Entry("with 40 jobs", 40, 2000+48),
		Entry("with more jobs than steps", 2500, 2500+48),
	)

	It("are released as far as there is room, at once", func() {
		w := newWorld(1, 400)
		w.run(time.Second)
		w.schedules(40, func(i int) domain.JobSpec {
			s := step(1, 1)
			if i > 0 {
				s.Label = "none" // Only the first one can start.
			}
			return domain.JobSpec{Priority: 1, Payload: "work=60000", Steps: []domain.Step{s}}
		})
		w.run(2150 * time.Millisecond) // A watch, two commits and a plan.
		Expect(w.stateMachine.Job("s0").Occurrences).To(HaveLen(400 * 8))
	})

	It("are released as far as urgent ones could start by preemption", func() {
		w := newWorld(1, 400)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "low", Priority: 2, Payload: "work=60000", Steps: []domain.Step{step(400*8, 1)}})
		w.schedules(40, func(i int) domain.JobSpec {
			s := step(1, 8)
			if i > 0 {
				s.Label = "none"
			}
			return domain.JobSpec{Priority: 0, Payload: "work=60000", Steps: []domain.Step{s}}
		})
		w.run(2150 * time.Millisecond)
		Expect(len(w.stateMachine.Job("s0").Occurrences)).To(BeNumerically(">=", 400))
	})

	It("are released while others wait for a worker for their next step", func() {
		w := newWorld(1, 6)
		w.run(time.Second)
		second := step(1, 1)
		second.Label, second.DependsOn = "none", []int{0}
		w.schedules(40, func(int) domain.JobSpec {
			return domain.JobSpec{Payload: "work=100", Steps: []domain.Step{step(1, 1), second}}
		})
		w.run(8 * time.Second)
		waiting, _ := w.waitingSteps()
		Expect(waiting).To(BeNumerically(">", 2000))
		starts := w.starts
		w.run(9 * time.Second)
		Expect(w.starts-starts).To(BeNumerically(">=", 2*48), "all workers are in use")
	})

	It("are all run in the end", func() {
		w := newWorld(1, 8)
		w.run(time.Second)
		for i := range 3 {
			w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprint("s", i)), Payload: "work=10", Steps: []domain.Step{step(1, 1), step(1, 1)}, RepeatCount: 1500, StartAtMS: wallStart + 2000})
		}
		w.run(40 * time.Second)
		Expect(w.open()).To(BeEmpty())
		Expect(w.starts).To(Equal(3 * 1500 * 2))
		Expect(w.leader.PlanningEntries()).To(BeZero())
		Expect(w.violations).To(BeEmpty())
	})
})
