package dispatch_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/simworker"
)

var _ = Describe("a queue with a policy", func() {
	advised := func(s domain.Step) domain.JobSpec {
		return domain.JobSpec{ID: "j", Queue: "advised", Payload: "work=1000", Steps: []domain.Step{s}}
	}
	// only makes the policy allow just some workers, and all workers require tickets.
	only := func(w *world, ids ...string) {
		w.allowed = map[string]bool{}
		for _, id := range ids {
			w.allowed[id] = true
		}
		for _, s := range w.workers {
			s.RequiredTicket = "ticket"
		}
	}

	// Guards against starts without a ticket, which workers reject, so that no task of the queue ever runs.
	It("runs its tasks on the workers that the policy allows, with their tickets", func() {
		w := newWorld(1, 8)
		w.run(time.Second)
		only(w, "i-003", "i-005")
		var on []string
		w.gangs.OnEvent = func(e simworker.Event) {
			if e.Start {
				on = append(on, e.Worker.ID)
			}
			w.observe(e)
		}
		w.submit(advised(step(4, 4)))
		w.run(4 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(on).To(ConsistOf("i-003", "i-003", "i-005", "i-005"))
		Expect(w.adviceCalls).To(HaveLen(1))
	})

	It("places gangs on allowed workers only", func() {
		w := newWorld(1, 8)
		w.run(time.Second)
		only(w, "i-001", "i-002", "i-006")
		spec := advised(gang(3, 8))
		spec.Payload += " gang=3"
		w.submit(spec)
		w.run(4 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.gangTimeouts).To(BeZero())
	})

	It("asks about at most thirty workers at once, and about others if none of these may run it", func() {
		w := newWorld(1, 64)
		w.run(time.Second)
		only(w, "i-063")
		w.submit(advised(step(1, 1)))
		w.run(5 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(len(w.adviceCalls)).To(Equal(3))
		for _, c := range w.adviceCalls {
			Expect(len(c.Workers)).To(BeNumerically("<=", 30))
		}
	})

	It("asks again once a ticket has expired, and never again about a worker that may not run the step", func() {
		w := newWorld(1, 2)
		w.run(time.Second)
		only(w, "i-001")
		w.submit(domain.JobSpec{ID: "first", Payload: "work=6000", Steps: []domain.Step{step(2, 8)}})
		for _, s := range w.workers {
			s.RequiredTicket = ""
		}
		w.run(1500 * time.Millisecond)
		only(w, "i-001")
		spec := advised(step(3, 8))
		w.submit(spec)
		w.run(20 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		named := map[string]int{}
		for _, c := range w.adviceCalls {
			for _, id := range c.Workers {
				named[id]++
			}
		}
		Expect(named["i-000"]).To(BeNumerically("<=", 1))
	})

	It("has its policy service asked again by a new leader", func() {
		w := newWorld(1, 4)
		w.run(time.Second)
		only(w, "i-001")
		w.submit(advised(step(6, 8)))
		w.run(2500 * time.Millisecond)
		w.elect()
		w.run(20 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.violations).To(BeEmpty())
	})
})

var _ = Describe("best-effort work", func() {
	// serve starts a task with a latency target of 50 ms, whose tail latency is 30 ms without best-effort work beside it.
	serve := func(w *world) {
		serving := step(1, 1)
		serving.LongRunning, serving.LatencyTargetMS = true, 50
		w.submit(domain.JobSpec{ID: "serving", Payload: "serve=30", Steps: []domain.Step{serving}})
		w.run(2 * time.Second)
	}

	// Guards against tail latencies that stay over their target because of best-effort work on the same worker.
	It("is slowed down while a tail latency nears its target, and sped up afterwards", func() {
		w := newWorld(1, 1)
		w.run(time.Second)
		serve(w)
		bestEffort := step(4, 0)
		bestEffort.BestEffort = true
		w.submit(domain.JobSpec{ID: "filling", Payload: "work=4000 fill=true", Steps: []domain.Step{bestEffort}})
		w.run(6 * time.Second)
		id := domain.TaskID{Job: "serving"}
		over := 0
		for range 40 {
			w.run(w.now + 100*time.Millisecond)
			if w.workers[0].TailLatencies()[id] > 50 {
				over++
			}
		}
		Expect(over).To(BeNumerically("<", 10), "tenths of a second over the target, of 40")
	})

	DescribeTable("changes its pace", func(pace int, worst float64, want int) {
		Expect(dispatch.NextPace(pace, worst)).To(Equal(want))
	},
		Entry("over the target: stopped", 100, 1.1, 0),
		Entry("near the target: halved", 100, 0.9, 50),
		Entry("near the target at a low pace: stopped", 12, 0.9, 0),
		Entry("well below the target: raised", 40, 0.3, 50),
		Entry("well below the target at full pace: unchanged", 100, 0.3, 100),
		Entry("between the thresholds: unchanged", 40, 0.7, 40),
	)

	It("is placed on workers without tasks that have a latency target", func() {
		w := newWorld(1, 2)
		w.run(time.Second)
		serve(w)
		bestEffort := step(2, 0)
		bestEffort.BestEffort = true
		w.submit(domain.JobSpec{ID: "filling", Payload: "work=4000 fill=true", Steps: []domain.Step{bestEffort}})
		w.run(3 * time.Second)
		on := w.running[domain.TaskID{Job: "serving"}].Worker.ID
		for i := range 2 {
			Expect(w.running[domain.TaskID{Job: "filling", Index: i}].Worker.ID).NotTo(Equal(on))
		}
	})
})

var _ = Describe("a wave of upkeep", func() {
	machines := func(n int) []string {
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf("m%d", i))
		}
		return out
	}
	start := func(w *world, n, maxDown int, within time.Duration) {
		w.commit(&domain.Command{Wave: &domain.Wave{Number: 1, Machines: machines(n), MaxDown: maxDown, WithinMS: within.Milliseconds()}})
	}
	completed := func(w *world) bool { return w.stateMachine.Waves()[1].Completed() }

	It("takes each machine down once, in time, and no more at once than allowed", func() {
		w := newWorld(1, 6)
		w.run(2 * time.Second)
		start(w, 6, 2, 20*time.Second)
		w.run(22 * time.Second)
		Expect(completed(w)).To(BeTrue())
		Expect(w.upkeepCalls).To(HaveLen(6))
		Expect(w.maxMachinesDown).To(BeNumerically("<=", 2))
		Expect(w.violations).To(BeEmpty())
	})

	It("lets work finish that ends in time, so that no task is started again", func() {
		w := newWorld(1, 4)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=3000", Steps: []domain.Step{step(4, 8)}})
		w.run(2 * time.Second)
		start(w, 2, 1, 30*time.Second)
		w.run(30 * time.Second)
		Expect(completed(w)).To(BeTrue())
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.starts).To(Equal(4), "no task had to start again")
	})

	It("stops work that would make the wave late", func() {
		w := newWorld(1, 4)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=60000", Steps: []domain.Step{step(3, 8)}})
		w.run(2 * time.Second)
		start(w, 3, 1, 18*time.Second)
		w.run(20 * time.Second)
		Expect(completed(w)).To(BeTrue())
		Expect(w.maxMachinesDown).To(Equal(1))
	})

	It("continues under a new leader, and takes no machine down twice or two at once", func() {
		w := newWorld(1, 4)
		w.run(2 * time.Second)
		start(w, 4, 1, 40*time.Second)
		for i := range 8 {
			w.run(time.Duration(3000+1700*i) * time.Millisecond)
			w.elect()
		}
		w.run(80 * time.Second)
		Expect(completed(w)).To(BeTrue())
		Expect(w.upkeepCalls).To(HaveLen(4))
		Expect(w.maxMachinesDown).To(Equal(1))
	})

	It("skips a machine that is gone, and retries one that is busy", func() {
		w := newWorld(1, 4)
		w.run(2 * time.Second)
		busy := 3
		w.refuseUpkeep = func(c dispatch.UpkeepCall) dispatch.UpkeepStatus {
			switch {
			case c.Machine == "m0":
				return dispatch.UpkeepNoMachine
			case c.Machine == "m1" && busy > 0:
				busy--
				return dispatch.UpkeepBusy
			}
			return dispatch.UpkeepDone
		}
		start(w, 3, 1, 40*time.Second)
		w.run(40 * time.Second)
		Expect(completed(w)).To(BeTrue())
		Expect(w.upkeepCalls).To(HaveLen(2))
	})

	It("keeps the long-running tasks of a step working, except for as many as may be away", func() {
		// Guards against stopping the task on the next machine before the task of the last one works again, which would
		// leave fewer tasks than the step needs.
		w := newWorld(1, 6)
		w.run(time.Second)
		longRunning := step(4, 8)
		longRunning.LongRunning, longRunning.MaxUnavailable, longRunning.PerWorkerLimit = true, 1, 1
		w.submit(domain.JobSpec{ID: "j", Payload: "serve=10", Steps: []domain.Step{longRunning}})
		w.run(5 * time.Second)
		Expect(w.running).To(HaveLen(4))
		start(w, 6, 3, 30*time.Second)
		fewest := 4
		for range 400 {
			w.run(w.now + 100*time.Millisecond)
			fewest = min(fewest, len(w.running))
		}
		Expect(completed(w)).To(BeTrue())
		Expect(fewest).To(Equal(3))
	})
})

var _ = Describe("a zone of which workers leave calls unanswered", func() {
	// Guards against idle workers that get no attempts for as long as others of their zone, which have ended unseen, are
	// registered.
	It("gets new attempts once the workers that do not answer have stopped reporting too", func() {
		w := newWorld(1, 12)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "before", Payload: "work=1500", Steps: []domain.Step{step(12, 8)}})
		w.run(2 * time.Second)
		gone := []string{"i-000", "i-003", "i-006"} // All but one of the zone.
		for _, id := range gone {
			w.crash(w.worker(id))
		}
		w.run(10 * time.Second)
		w.submit(domain.JobSpec{ID: "after", Payload: "work=1000", Steps: []domain.Step{step(9, 8)}})
		w.run(w.now + 500*time.Millisecond)
		for _, id := range gone {
			Expect(w.stateMachine.Worker(id)).NotTo(BeNil())
		}
		var on []string
		for _, e := range w.running {
			on = append(on, e.Worker.ID)
		}
		Expect(on).To(ContainElement("i-009"), "the worker that is left in the zone")
	})

	// Guards against starts on idle workers of a zone that is cut off as a whole, which are lost: each of its workers was
	// heard from last at another time.
	It("gets no more attempts from the first second of a partition on", func() {
		for seed := range uint64(4) {
			w := newWorld(seed, 0)
			for i := range 48 {
				w.addWorker(fmt.Sprintf("i-%03d", i), i)
				w.run(w.now + reportEvery/48)
			}
			cutAt := 10 * time.Second
			begunLate := 0
			w.log = func(event string, kv ...any) {
				if i := slices.Index(kv, "worker"); event == "attempt_begun" && w.now > cutAt+time.Second && w.cutOff[kv[i+1].(string)] {
					begunLate++
				}
			}
			for n := 0; w.now < 16*time.Second; n++ {
				w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprint("j", n)), Payload: "work=2000", Steps: []domain.Step{step(1, int64(1+n%3))}})
				w.run(w.now + 20*time.Millisecond)
				if w.now >= cutAt {
					for i := 0; i < 48; i += 3 {
						w.cutOff[fmt.Sprintf("i-%03d", i)] = true
					}
				}
			}
			Expect(begunLate).To(BeZero())
		}
	})
})
