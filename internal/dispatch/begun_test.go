package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
)

var _ = Describe("the number of waiting jobs", func() {
	const jobs = 4
	submit := func(w *world) {
		w.run(3 * time.Second)
		for i := range jobs {
			w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprint("j", i)), Payload: "work=60000", Steps: []domain.Step{step(1, 1)}})
		}
	}

	// Guards against jobs that count as begun although every worker rejects their starts.
	DescribeTable("includes those whose starts are rejected", func(status dispatch.Status, elect bool) {
		w := newWorld(1, 2)
		submit(w)
		rejected, over := 0, false
		w.refuse = func(c dispatch.Call) dispatch.Status {
			if c.Kind != dispatch.CallStart || over {
				return dispatch.OK
			}
			rejected++
			return status
		}
		for at := w.now + 100*time.Millisecond; at < 10*time.Second; at += 50 * time.Millisecond {
			w.run(at)
			Expect(w.stateMachine.Waiting("q")).To(Equal(jobs))
			Expect(w.state("j0")).To(Equal(domain.JobPending))
			if elect && at%(2*time.Second) == 0 {
				w.elect()
			}
		}
		Expect(rejected).To(BeNumerically(">", jobs))
		over = true
		w.run(w.now + 6*time.Second)
		Expect(w.running).To(HaveLen(jobs))
		Expect(w.stateMachine.Waiting("q")).To(BeZero())
		Expect(w.state("j0")).To(Equal(domain.JobRunning))
		Expect(w.violations).To(BeEmpty())
	},
		Entry("as unhealthy", dispatch.Unhealthy, false),
		Entry("for want of room", dispatch.RejectedCapacity, false),
		Entry("while leaders change", dispatch.Unhealthy, true),
	)

	It("is reported once, however many workers are lost at once", func() {
		// Guards against an entry of the log for each of them, with all jobs that have begun lately.
		w := newWorld(1, 12)
		w.run(3 * time.Second)
		reports, most := map[time.Duration]int{}, 0
		w.beforeApply = func(c *domain.Command) {
			if c.Begun != nil {
				reports[w.now]++
				most = max(most, reports[w.now])
			}
		}
		w.submit(domain.JobSpec{ID: "long", Payload: "work=600000", Steps: []domain.Step{step(12, 6)}})
		w.run(5 * time.Second)
		for i := range 10 {
			w.cutOff[fmt.Sprintf("i-%03d", i)] = true
		}
		for i := range 300 {
			w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprint("short", i)), Payload: "work=100", Steps: []domain.Step{step(1, 1)}})
			w.run(w.now + 50*time.Millisecond)
		}
		Expect(reports).NotTo(BeEmpty())
		Expect(most).To(Equal(1))
	})

	It("excludes those that run, within 2 s, and after a change of the leader at once", func() {
		w := newWorld(1, 2)
		submit(w)
		w.run(w.now + 2*time.Second)
		Expect(w.running).To(HaveLen(jobs))
		Expect(w.stateMachine.Waiting("q")).To(BeZero())
		w.elect()
		Expect(w.stateMachine.Waiting("q")).To(BeZero())
	})

	It("excludes those whose start an earlier leader did not report, once the worker has listed them", func() {
		w := newWorld(1, 2)
		submit(w)
		for len(w.running) < jobs {
			w.run(w.now + tickEvery)
		}
		w.elect()
		w.run(w.now + 2*time.Second)
		Expect(w.starts).To(Equal(jobs))
		Expect(w.stateMachine.Waiting("q")).To(BeZero())
	})

	It("excludes those that have run on a worker that is lost", func() {
		w := newWorld(1, 1)
		submit(w)
		for len(w.running) < jobs {
			w.run(w.now + tickEvery)
		}
		w.run(w.now + 10*time.Millisecond) // The starts are confirmed.
		w.crash(w.worker("i-000"))
		w.run(w.now + 40*time.Second)
		Expect(w.stateMachine.Workers()).To(BeEmpty())
		Expect(w.stateMachine.Waiting("q")).To(BeZero())
	})
})
