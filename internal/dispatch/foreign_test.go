package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// addForeign registers entries of another writer, three in each zone, whose pool the configuration does not name. They are
// reported again and again, and nothing answers at their addresses.
func (w *world) addForeign() { w.addEntries(9, "other") }

// addEntries registers entries of a pool in all zones, as addForeign does.
func (w *world) addEntries(n int, pool string) {
	for i := range n {
		x := &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: fmt.Sprint("foreign-", i), BornMS: wallStart + 1}, Pool: pool,
			Address: fmt.Sprint("10.9.", i/250, ".", i%250, ":80"), Zone: fmt.Sprint("z", i%3),
			Capacity: domain.Resources{CPU: 32000, MemoryMB: 65536, Accelerators: 8}}
		w.commit(&domain.Command{Register: x})
		var report func()
		report = func() {
			w.leader.WorkerReported(w.time(), x.Incarnation, 1000+w.now.Milliseconds())
			w.at(w.now+2*reportEvery, report)
		}
		w.at(w.now+100*time.Millisecond, report)
	}
}

var _ = Describe("entries of another writer", func() {
	// Guards against zones that are taken for cut off because of entries that name no worker.
	DescribeTable("keep no work from the workers", func(newLeader bool) {
		w := newWorld(1, 6)
		w.addForeign()
		w.run(3 * time.Second)
		if newLeader {
			w.elect()
		}
		w.run(10 * time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=1000", Steps: []domain.Step{step(2, 1)}})
		w.run(12 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.calls).NotTo(ContainElement(HaveField("Worker.ID", HavePrefix("foreign-"))), "and are not called")
	},
		Entry("that the leader knows", false),
		Entry("after a change of the leader", true),
	)

	// Guards against work that waits until each such entry has been tried, and against zones that are taken for cut off for good.
	DescribeTable("that name a configured pool and do not answer keep no work from the workers for long", func(entries int, called, newLeader bool) {
		w := newWorld(1, 6)
		complete := func(id domain.JobID, tasks int) {
			w.submit(domain.JobSpec{ID: id, Payload: "work=500", Steps: []domain.Step{step(tasks, 8)}})
			w.run(w.now + 2*time.Second)
			Expect(w.state(id)).To(Equal(domain.JobCompleted))
		}
		w.run(time.Second)
		if called {
			complete("all", 6)
		}
		w.addEntries(entries, "pool")
		w.run(w.now + time.Second)
		if newLeader {
			w.elect()
			w.run(w.now + 20*time.Second)
		}
		for i := range 3 {
			complete(domain.JobID(fmt.Sprint("j", i)), 2)
		}
		w.addWorker("new", 7)
		w.run(w.now + time.Second)
		Expect(w.calls).To(ContainElement(HaveField("Worker.ID", "new")), "a new worker is asked at once")
	},
		Entry("9 of them, the workers were not called before", 9, false, false),
		Entry("9 of them, the workers were called", 9, true, false),
		Entry("9 of them, after a change of the leader", 9, true, true),
		Entry("1,000 of them, the workers were not called before", 1000, false, false),
		Entry("1,000 of them, the workers were called", 1000, true, false),
		Entry("1,000 of them, the workers were not called before, after a change of the leader", 1000, false, true),
		Entry("1,000 of them, after a change of the leader", 1000, true, true),
	)

	// Guards against entries of a pool that a configuration has dropped, which would stay as long as somebody reports them.
	It("are forgotten although they are reported again and again", func() {
		w := newWorld(1, 2)
		w.addForeign()
		w.run(10 * time.Second)
		Expect(w.stateMachine.Workers()).To(HaveLen(11))
		w.run(35 * time.Second)
		Expect(w.stateMachine.Workers()).To(HaveLen(2))
	})

	It("are called once the configuration names their pool", func() {
		w := newWorld(1, 1)
		w.addForeign()
		w.run(2 * time.Second)
		config := *w.stateMachine.Config()
		config.Version, config.Pools = 2, []domain.Pool{{Name: "pool"}, {Name: "other"}}
		w.commit(&domain.Command{Config: &config})
		w.elect()
		w.run(4 * time.Second)
		Expect(w.calls).To(ContainElement(And(HaveField("Worker.ID", HavePrefix("foreign-")), HaveField("Kind", dispatch.CallHold))))
	})
})
