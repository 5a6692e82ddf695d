package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

var _ = DescribeTable("a worker that was forgotten and registers again still holds its earlier lease", func(newLeader bool) {
	w := newWorld(1, 2)
	w.run(time.Second)
	w.submit(domain.JobSpec{ID: "before", Payload: "work=500", Steps: []domain.Step{step(2, 8)}})
	w.run(2 * time.Second)
	Expect(w.state("before")).To(Equal(domain.JobCompleted))
	for _, s := range w.workers {
		w.leader.WorkerLeaves(w.time(), s.Incarnation)
	}
	w.run(2100 * time.Millisecond)
	Expect(w.stateMachine.Workers()).To(BeEmpty())
	if newLeader {
		w.elect()
	}
	w.run(4 * time.Second) // A report registers each again.
	Expect(w.stateMachine.Workers()).To(HaveLen(2))
	w.submit(domain.JobSpec{ID: "j", Payload: "work=30000", Steps: []domain.Step{step(1, 8)}})
	cutAfterStart(w, 3)
	w.run(20 * time.Second)
	Expect(w.starts).To(Equal(4), "started again once the lease is over")
	Expect(w.violations).To(BeEmpty())
},
	Entry("under the same leader", false),
	Entry("under the next leader", true),
)
