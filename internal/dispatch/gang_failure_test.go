package dispatch_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
)

var _ = Describe("a leader whose gangs fail", func() {
	DescribeTable("runs a gang again whose members have failed together, until its runs are used up", func(failedRuns int, want domain.JobState, succession bool) {
		// Guards against a leader that counts each member of a failed run, also if the members' ends reach different leaders.
		w := newWorld(5, 4)
		w.submit(domain.JobSpec{ID: "j", MaxAttempts: 3, Payload: fmt.Sprintf("work=300 gang=3 fail_runs=%d", failedRuns), Steps: []domain.Step{gang(3, 8)}})
		if succession {
			for t := 30 * time.Millisecond; t < 6*time.Second; t += 90 * time.Millisecond {
				w.at(t, w.elect)
			}
		}
		w.run(25 * time.Second)
		Expect(w.state("j")).To(Equal(want))
		Expect(w.stateMachine.Job("j").Task(domain.TaskID{Job: "j"}).Failures).To(Equal(failedRuns))
		Expect(w.violations).To(BeEmpty())
	},
		Entry("of which one is left", 2, domain.JobCompleted, false),
		Entry("of which one is left, with many changes of the leader", 2, domain.JobCompleted, true),
		Entry("of which none is left", 3, domain.JobFailed, false),
	)

	It("counts a failed run of a gang once against a worker, however many of its members fail there", func() {
		// Guards against a worker that is kept from all work for 10 s because four members of one gang failed on it together.
		w := newWorld(1, 1)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", MaxAttempts: 3, Payload: "work=300 gang=4 fail_runs=1", Steps: []domain.Step{gang(4, 1)}})
		w.run(5 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
	})
})

// completedAfter returns how long a job takes to complete from now on, at most limit.
func (w *world) completedAfter(id domain.JobID, limit time.Duration) time.Duration {
	began := w.now
	for w.now < began+limit && w.state(id) != domain.JobCompleted {
		w.run(w.now + 10*time.Millisecond)
	}
	return w.now - began
}

var _ = Describe("a worker on which one event ends several attempts", func() {
	// The pause after one failure is 2.5 s, after three it is 10 s.
	const onePause = 4 * time.Second

	It("is avoided once for each of two gangs whose members fail there by turns", func() {
		// Guards against a leader that takes each change from one gang to the other for a further failure.
		w := newWorld(1, 1)
		w.run(time.Second)
		for _, id := range []domain.JobID{"a", "b"} {
			w.submit(domain.JobSpec{ID: id, MaxAttempts: 3, Payload: "work=300 gang=4 fail_runs=1", Steps: []domain.Step{gang(4, 1)}})
		}
		w.changeAnswer = func(_ dispatch.Call, r *dispatch.Reply) {
			slices.SortStableFunc(r.Ended, func(x, y dispatch.EndedTask) int { return cmp.Compare(x.Task.Index, y.Task.Index) })
		}
		w.run(1200 * time.Millisecond)
		Expect(w.completedAfter("a", 20*time.Second)).To(BeNumerically("<", 7*time.Second))
	})

	DescribeTable("is avoided for the shortest pause after tasks that last have failed there", func(jobs, tasks int, apart time.Duration) {
		// Guards against tasks that start again after 10 s, because three of one step, or of several jobs, have failed on their worker.
		w := newWorld(1, 1)
		for i := range jobs {
			w.run(time.Second + time.Duration(i)*apart)
			lasting := step(tasks, 1)
			lasting.LongRunning = true
			w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprint("j", i)), Payload: "work=1000000 fail_runs=1", Steps: []domain.Step{lasting}})
			began := w.now
			if i < jobs-1 && apart == 0 {
				continue
			}
			w.run(w.now + 100*time.Millisecond)
			for w.starts < 2*tasks*(i+1) && w.now < began+20*time.Second {
				w.run(w.now + 10*time.Millisecond)
			}
			Expect(w.now-began).To(BeNumerically("<", onePause), "job %d", i)
		}
	},
		Entry("three of one step at once", 1, 3, time.Duration(0)),
		Entry("one of each of three jobs at once", 3, 1, time.Duration(0)),
		Entry("one of each of five jobs, one job after the other", 5, 1, 30*time.Second),
	)

	It("is avoided again if a task fails there that has failed nowhere else", func() {
		// Guards against some hundred starts a second of a task that always fails, on the only worker that it fits.
		w := newWorld(1, 1)
		lasting := step(1, 1)
		lasting.LongRunning = true
		w.submit(domain.JobSpec{ID: "j", Payload: "fail=true", Steps: []domain.Step{lasting}})
		w.run(21 * time.Second)
		Expect(w.starts).To(BeNumerically("~", 8, 1))
	})

	It("is avoided once for a gang that stands still there, however many of its members run there", func() {
		// Guards against a leader that avoids the worker once for each member.
		w := newWorld(1, 1)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "hang=true gang=4", Steps: []domain.Step{gang(4, 1)}})
		stopped := false
		w.log = func(event string, _ ...any) { stopped = stopped || event == "attempt_ended" }
		for !stopped && w.now < 30*time.Second {
			w.run(w.now + 10*time.Millisecond)
		}
		w.commit(&domain.Command{Cancel: &domain.CancelJob{Job: "j"}})
		w.submit(domain.JobSpec{ID: "next", Payload: "work=300", Steps: []domain.Step{step(1, 1)}})
		w.run(w.now + 50*time.Millisecond)
		Expect(w.completedAfter("next", 20*time.Second)).To(BeNumerically("<", onePause))
	})

	It("is avoided once if it refuses the starts of one plan as unhealthy", func() {
		// Guards against a leader that avoids the worker once for each start.
		w := newWorld(1, 1)
		w.run(time.Second)
		healthyAt := 1500 * time.Millisecond
		w.unhealthy = func(c dispatch.Call) bool { return c.Kind == dispatch.CallStart && w.now < healthyAt }
		w.submit(domain.JobSpec{ID: "j", Payload: "work=300", Steps: []domain.Step{step(4, 1)}})
		w.run(healthyAt)
		Expect(w.completedAfter("j", 20*time.Second)).To(BeNumerically("<", onePause))
	})
})
