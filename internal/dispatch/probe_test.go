package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

var _ = Describe("work for workers that have just been cut off", func() {
	// The load: many workers become unreachable at once while urgent gangs arrive. A start that is lost there blocks its
	// gang until the lease of the worker is over.
	DescribeTable("starts elsewhere without waiting for their leases", func(s domain.Step, payload string) {
		w := newWorld(1, 16)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "busy", Priority: 1, Payload: "work=60000", Steps: []domain.Step{step(8, 5)}})
		w.run(4 * time.Second)
		cut := 0
		for _, x := range w.workers {
			if x.Running() > 0 && cut < 4 {
				w.cutOff[x.Incarnation.ID] = true
				cut++
			}
		}
		Expect(cut).To(Equal(4))
		w.submit(domain.JobSpec{ID: "urgent", Payload: payload, Steps: []domain.Step{s}}) // Placed on the fullest workers first.
		w.run(5500 * time.Millisecond)
		Expect(w.state("urgent")).To(Equal(domain.JobCompleted))
		Expect(w.violations).To(BeEmpty())
	},
		Entry("a gang", gang(6, 3), "work=1000 gang=6"),
		Entry("independent tasks", step(6, 3), "work=1000"),
	)

	It("starts although plans take so long that answers are old at the next one", func() {
		// The load: a fleet so large and so full that a plan takes a good part of a second.
		w := newWorld(1, 30)
		w.planTime = 150 * time.Millisecond
		w.elect()
		w.run(4 * time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=60000", Steps: []domain.Step{step(60, 4)}})
		w.run(6 * time.Second)
		Expect(w.starts).To(Equal(60))
	})

	It("goes to workers whose reports are late if they answer", func() {
		// The load: the host that a fifth of the workers report to has ended.
		w := newWorld(1, 2)
		w.run(4 * time.Second)
		w.reportsLost = true
		w.run(8 * time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=500", Steps: []domain.Step{step(2, 8)}})
		w.run(9 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
	})

	It("preempts on workers that answer", func() {
		w := newWorld(1, 4)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "busy", Priority: 2, Payload: "work=60000", Steps: []domain.Step{step(8, 4)}})
		w.run(4 * time.Second)
		w.cutOff["i-000"] = true
		w.submit(domain.JobSpec{ID: "urgent", Payload: "work=1000 gang=2", Steps: []domain.Step{gang(2, 4)}})
		w.run(6 * time.Second)
		Expect(w.state("urgent")).To(Equal(domain.JobCompleted))
		Expect(w.violations).To(BeEmpty())
	})
})
