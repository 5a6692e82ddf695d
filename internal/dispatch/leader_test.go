package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/simworker"
)

// step returns a step of identical, independent tasks.
func step(count int, accelerators int64) domain.Step {
	return domain.Step{Count: count, Task: domain.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: accelerators}, EstimateMS: 2000}
}

// gang returns a step whose tasks form a gang.
func gang(count int, accelerators int64) domain.Step {
	s := step(count, accelerators)
	s.Gang = true
	return s
}

var _ = Describe("a leader", func() {
	It("runs steps in the order of their dependencies and completes the job", func() {
		w := newWorld(1, 8)
		w.run(time.Second)
		second := step(2, 1)
		second.DependsOn = []int{0}
		w.submit(domain.JobSpec{ID: "j", Payload: "work=1000", Steps: []domain.Step{step(4, 1), second}})
		w.run(2900 * time.Millisecond)
		Expect(w.state("j")).To(Equal(domain.JobRunning))
		w.run(4 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.starts).To(Equal(6))
		Expect(w.violations).To(BeEmpty())
	})

	It("runs the occurrences of a schedule when they are due, not before", func() {
		w := newWorld(1, 8)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=100", Steps: []domain.Step{step(1, 1)},
			RepeatCount: 3, StartAtMS: wallStart + 2000, IntervalMS: 1000})
		w.run(1990 * time.Millisecond)
		Expect(w.starts).To(Equal(0))
		w.run(3500 * time.Millisecond)
		Expect(w.starts).To(Equal(2))
		w.run(5 * time.Second)
		Expect(w.starts).To(Equal(3))
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
	})

	// Guards against a log that fills with copies of a command while its commit is slow, and against memory that grows
	// with every scheduled job.
	It("proposes occurrences that are due at once one time, and keeps nothing of an ended job", func() {
		w := newWorld(1, 8)
		w.run(time.Second)
		w.commitDelay = 400 * time.Millisecond
		w.submit(domain.JobSpec{ID: "j", Payload: "work=100", Steps: []domain.Step{step(1, 1)},
			RepeatCount: 6, StartAtMS: wallStart + 500, IntervalMS: 300})
		w.run(4 * time.Second)
		w.commitDelay = usualCommitDelay
		w.run(8 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.starts).To(Equal(6))
		Expect(w.releases).To(Equal(3), "occurrences 0 to 3 at 1.4 s, 4 at 1.8 s, 5 at 2.2 s")
		Expect(w.leader.PlanningEntries()).To(BeZero())
	})

	// Guards against one schedule whose occurrences are all due and take more memory than the hosts have, at each start again.
	It("holds occurrences that are due back while tasks of earlier ones wait, and runs them all", func() {
		w := newWorld(1, 8)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "large", Payload: "work=100", Steps: []domain.Step{step(15000, 9), step(5000, 9)}, RepeatCount: 20})
		w.submit(domain.JobSpec{ID: "small", Payload: "work=10", Steps: []domain.Step{step(8, 0)}, RepeatCount: 50})
		w.submit(domain.JobSpec{ID: "next", Payload: "work=10", Steps: []domain.Step{step(10001, 0)}, RepeatCount: 2})
		w.run(1200 * time.Millisecond)
		Expect(w.stateMachine.Job("large").Occurrences).To(HaveLen(1))
		Expect(w.stateMachine.Job("small").Occurrences).To(HaveLen(50), "all that are due")
		Expect(w.stateMachine.Job("next").Occurrences).To(HaveLen(1))
		w.run(20 * time.Second)
		Expect(w.state("small")).To(Equal(domain.JobCompleted))
		Expect(w.state("next")).To(Equal(domain.JobCompleted))
	})

	It("fails a job whose task has used up its attempts, and counts a gang once", func() {
		w := newWorld(1, 8)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", MaxAttempts: 2, Payload: "work=500 fail=true gang=4", Steps: []domain.Step{gang(4, 1)}})
		w.run(20 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobFailed))
		Expect(w.stateMachine.Job("j").Occurrences[0].Steps[0][0].Failures).To(Equal(2))
	})

	It("places work on idle workers as soon as it leads, not when they report next", func() {
		// Guards against urgent work that waits for up to one report period after each change of leadership.
		w := newWorld(1, 8)
		w.run(1100 * time.Millisecond)
		w.elect()
		w.submit(domain.JobSpec{ID: "urgent", Payload: "work=2000 gang=4", Steps: []domain.Step{gang(4, 8)}})
		w.run(1200 * time.Millisecond)
		Expect(w.running).To(HaveLen(4))
		Expect(w.violations).To(BeEmpty())
	})

	It("does not take the answer to a call of an earlier leadership for one to its own", func() {
		// After a refused proposal a host can lead again in the same term. If call identifiers began at 1 again, an
		// answer to a call of the earlier leadership would pass for the answer to a call of the new one.
		w := newWorld(1, 2)
		w.run(time.Second)
		old := w.callsOfNewJob()
		w.run(2 * time.Second)
		w.term--
		w.elect()
		w.callIDs = nil
		Expect(old).NotTo(BeEmpty())
		Expect(w.callsOfNewJob()).NotTo(ContainElement(BeElementOf(old)))
	})

	It("logs the end of a job once, also of a cancelled one", func() {
		// Guards against an end of the job that is logged again for each attempt that ends after it, and against a
		// cancelled job whose end is not logged.
		w := newWorld(1, 8)
		noted := map[string]int{}
		w.log = func(event string, kv ...any) {
			if event == "job_ended" {
				noted[fmt.Sprint(kv[1], " ", kv[3])]++
			}
		}
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "gang", Payload: "work=500 gang=6", Steps: []domain.Step{gang(6, 8)}})
		w.submit(domain.JobSpec{ID: "lasting", Payload: "work=60000", Steps: []domain.Step{step(2, 1)}})
		w.run(4 * time.Second)
		w.commit(&domain.Command{Cancel: &domain.CancelJob{Job: "lasting"}})
		w.commit(&domain.Command{Cancel: &domain.CancelJob{Job: "lasting"}})
		w.run(8 * time.Second)
		Expect(noted).To(Equal(map[string]int{"gang completed": 1, "lasting cancelled": 1}))
	})

	It("stops the tasks of a cancelled job and starts none later", func() {
		w := newWorld(1, 2)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=60000", Steps: []domain.Step{step(40, 1)}})
		w.run(2 * time.Second)
		started := w.starts
		w.commit(&domain.Command{Cancel: &domain.CancelJob{Job: "j"}})
		w.run(4 * time.Second)
		Expect(w.starts).To(Equal(started))
		Expect(w.running).To(BeEmpty())
		Expect(w.state("j")).To(Equal(domain.JobCancelled))
	})

	It("starts nothing in a zone that is out of service, and uses the zone again once it is back", func() {
		w := newWorld(1, 9)
		w.run(time.Second)
		for _, z := range []string{"z0", "z1", "z2"} {
			w.commit(&domain.Command{Zone: &domain.SetZone{Zone: z, Out: true}})
		}
		w.run(1100 * time.Millisecond)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=100", Steps: []domain.Step{step(3, 1)}})
		w.run(3 * time.Second)
		Expect(w.starts).To(Equal(0))
		w.commit(&domain.Command{Zone: &domain.SetZone{Zone: "z1"}})
		w.run(4 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
	})

	It("restarts the tasks of an unreachable worker only after its lease is over", func() {
		w := newWorld(1, 2)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=30000", Steps: []domain.Step{step(1, 1)}})
		w.run(5 * time.Second)
		victim := w.running[domain.TaskID{Job: "j"}].Worker.ID
		w.cutOff[victim] = true
		w.run(12900 * time.Millisecond)
		Expect(w.starts).To(Equal(1), "the lease was renewed at 3 s or later and may still hold")
		w.run(20 * time.Second)
		Expect(w.starts).To(Equal(2))
		Expect(w.violations).To(BeEmpty())
	})

	It("preempts checkpointable work, even if it has run for longer", func() {
		// A stop saves a checkpoint. Guards against counting the work since the last checkpoint as discarded.
		w := newWorld(1, 2)
		w.run(time.Second)
		saving := step(1, 8)
		saving.Checkpointable = true
		w.submit(domain.JobSpec{ID: "saving", Priority: 2, Stretch: 100, Payload: "work=60000", Steps: []domain.Step{saving}})
		w.run(6 * time.Second)
		w.submit(domain.JobSpec{ID: "plain", Priority: 2, Stretch: 100, Payload: "work=60000", Steps: []domain.Step{step(1, 8)}})
		w.run(7 * time.Second)
		w.submit(domain.JobSpec{ID: "urgent", Payload: "work=60000", Steps: []domain.Step{step(1, 8)}})
		w.run(8 * time.Second)
		Expect(w.running).To(HaveKey(domain.TaskID{Job: "urgent"}))
		Expect(w.running).To(HaveKey(domain.TaskID{Job: "plain"}))
	})

	It("blocks a task whose first start is lost for the short first lease only", func() {
		w := newWorld(1, 2)
		w.run(time.Second)
		// The start reaches a worker that is cut off before it can answer.
		w.submit(domain.JobSpec{ID: "j", Payload: "work=30000", Steps: []domain.Step{step(1, 1)}})
		cutAfterStart(w, 1)
		w.run(6 * time.Second)
		Expect(w.starts).To(Equal(2), "3 s of lease, not 10 s")
		Expect(w.violations).To(BeEmpty())
	})

	It("starts no task elsewhere while its worker still holds the lease of an earlier leader", func() {
		// A worker keeps its lease while it is idle, and a shorter one does not replace it.
		w := newWorld(1, 2)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "before", Payload: "work=500", Steps: []domain.Step{step(2, 8)}})
		w.run(2 * time.Second)
		Expect(w.state("before")).To(Equal(domain.JobCompleted))
		w.elect()
		w.run(2500 * time.Millisecond)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=30000", Steps: []domain.Step{step(1, 8)}})
		cutAfterStart(w, 3)
		w.run(20 * time.Second)
		Expect(w.starts).To(Equal(4), "started again once the lease is over")
		Expect(w.violations).To(BeEmpty())
	})

	It("accepts the end of an attempt on a worker that was cut off, and stops the attempt that replaced it", func() {
		// The attempt completes while its worker is cut off, and is listed as done after its leases were taken to be
		// over and the task was started again. Found with deploy/days/cut-then-idle.toml on sodnasled-prod-grown, seed
		// 391764568752.
		w := newWorld(1, 2)
		w.run(time.Second)
		second := step(1, 1)
		second.DependsOn = []int{0}
		w.submit(domain.JobSpec{ID: "j", Payload: "work=9000", Steps: []domain.Step{step(1, 1), second}})
		w.run(2 * time.Second)
		first := domain.TaskID{Job: "j"}
		victim := w.running[first].Worker.ID
		w.cutOff[victim] = true
		w.run(14 * time.Second)
		Expect(w.running[first].Attempt).To(Equal(2))
		w.heal(victim)
		w.run(16 * time.Second)
		Expect(w.running).NotTo(HaveKey(first))
		Expect(w.running).To(HaveKey(domain.TaskID{Job: "j", Step: 1}))
		w.run(30 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
	})

	It("repeats no start of an attempt whose loss is being committed", func() {
		// The worker answers again while the command that declares the attempt lost is not applied yet. If the start
		// were then sent once more, the task would run there and elsewhere.
		w := newWorld(1, 2)
		w.run(time.Second)
		var victim string
		w.gangs.OnEvent = func(e simworker.Event) {
			if e.Start && victim == "" {
				victim = e.Worker.ID // It will be cut off while it holds a lease, so that a second start to it is lost.
			}
			w.observe(e)
		}
		w.submit(domain.JobSpec{ID: "first", Payload: "work=60000", Steps: []domain.Step{step(1, 1)}})
		w.run(1500 * time.Millisecond)
		w.cutOff[victim] = true
		w.submit(domain.JobSpec{ID: "second", Payload: "work=60000", Steps: []domain.Step{step(1, 1)}})
		w.run(2 * time.Second)
		w.commitDelay = 700 * time.Millisecond
		w.onLoss = func() {
			w.heal(victim)
			// Makes the task start on the other worker.
			w.commit(&domain.Command{Zone: &domain.SetZone{Zone: w.stateMachine.Worker(victim).Zone, Out: true}})
		}
		w.run(30 * time.Second)
		Expect(w.starts).To(BeNumerically(">", 2))
		Expect(w.violations).To(BeEmpty())
	})

	It("uses a worker again after it was cut off, even if it runs nothing", func() {
		// Guards against a worker that gets no calls because it runs nothing, and so stays excluded for its unanswered
		// calls.
		w := newWorld(1, 4)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "first", Payload: "work=60000 gang=4", Steps: []domain.Step{gang(4, 8)}})
		w.run(2 * time.Second)
		w.cutOff["i-001"] = true
		w.run(15 * time.Second)
		w.commit(&domain.Command{Cancel: &domain.CancelJob{Job: "first"}})
		delete(w.cutOff, "i-001")
		w.run(18 * time.Second)
		w.submit(domain.JobSpec{ID: "second", Payload: "work=1000 gang=4", Steps: []domain.Step{gang(4, 8)}})
		w.run(22 * time.Second)
		Expect(w.state("second")).To(Equal(domain.JobCompleted))
		Expect(w.violations).To(BeEmpty())
	})

	It("continues a task from its checkpoint on another worker", func() {
		w := newWorld(1, 2)
		w.run(time.Second)
		s := step(1, 1)
		s.Checkpointable = true
		w.submit(domain.JobSpec{ID: "j", Payload: "work=12000", Steps: []domain.Step{s}})
		w.run(10 * time.Second) // The checkpoint covers eight seconds.
		w.cutOff[w.running[domain.TaskID{Job: "j"}].Worker.ID] = true
		w.run(26 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted), "the rest takes 4 s after the lease is over")
	})

	It("moves a task that makes no progress to another worker", func() {
		w := newWorld(1, 2)
		w.workers[0].StallAttempts = true
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=1000", Steps: []domain.Step{step(4, 4)}})
		w.run(12 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
	})

	It("moves a short gang that stands still before twice its run time is over, and to other workers", func() {
		w := newWorld(1, 8)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=2500 gang=4", Steps: []domain.Step{gang(4, 8)}})
		w.run(1200 * time.Millisecond)
		for _, s := range w.workers {
			s.StallAttempts = s.Running() > 0
		}
		w.run(8 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.violations).To(BeEmpty())
	})

	It("does not take a member that waits for the rest of its gang for one that stands still", func() {
		// A member whose share of the work is done shows no further progress until the gang ends.
		w := newWorld(1, 2)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=12000 gang=2", Steps: []domain.Step{gang(2, 8)}})
		w.run(2 * time.Second)
		w.shownPercent = 99 // From now on, the worker i-000 shows no other progress.
		w.run(16 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.starts).To(Equal(2))
	})

	It("does not let a worker that fails everything use up the attempts of many jobs", func() {
		w := newWorld(1, 6)
		w.workers[0].FailAttempts = true
		w.run(time.Second)
		for i := range 20 {
			w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprintf("j%d", i)), MaxAttempts: 2, Payload: "work=700",
				Steps: []domain.Step{step(2, 1)}})
			w.run(w.now + 200*time.Millisecond)
		}
		w.run(20 * time.Second)
		Expect(w.open()).To(BeEmpty())
		for i := range 20 {
			Expect(w.state(domain.JobID(fmt.Sprintf("j%d", i)))).To(Equal(domain.JobCompleted))
		}
	})

	It("adopts what an earlier leader has started", func() {
		w := newWorld(1, 6)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=6000 gang=6", Steps: []domain.Step{gang(6, 8)}})
		w.run(3 * time.Second)
		w.elect()
		w.run(8 * time.Second)
		Expect(w.starts).To(Equal(6))
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
	})

	It("does not stop a running gang when a new leader cannot reach one member at once", func() {
		// Guards against a new leader that stops such a gang after 1.5 s, although it is running.
		w := newWorld(1, 6)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=9000 gang=6", Steps: []domain.Step{gang(6, 8)}})
		w.run(3 * time.Second)
		w.cutOff["i-003"] = true
		w.elect()
		w.run(7 * time.Second)
		w.cutOff["i-003"] = false
		w.run(12 * time.Second)
		Expect(w.starts).To(Equal(6))
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
	})

	It("makes room for urgent work within the bound of a guarantee", func() {
		w := newWorld(1, 8)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "low", Priority: 2, Payload: "work=60000", Steps: []domain.Step{step(64, 1)}})
		w.run(4 * time.Second)
		// Work that has waited for a long time may use all workers, including those kept empty for urgent work.
		w.submit(domain.JobSpec{ID: "urgent", Payload: "work=1000 gang=4", Steps: []domain.Step{gang(4, 8)}})
		w.run(4*time.Second + 3400*time.Millisecond)
		Expect(w.state("urgent")).To(BeElementOf(domain.JobRunning, domain.JobCompleted))
		Expect(w.violations).To(BeEmpty())
	})

	It("does not stop and start the same work again and again for expired urgent work", func() {
		// Expired urgent work is placed last. Guards against preempting for it the work that was placed just before it.
		w := newWorld(1, 3)
		w.run(time.Second)
		for i := range 30 {
			w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprintf("low%d", i)), Priority: 2, Payload: "work=4000",
				Steps: []domain.Step{step(4, 1)}})
		}
		for i := range 6 {
			w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprintf("urgent%d", i)), Payload: "work=2000 gang=3", Stretch: 0.1,
				Steps: []domain.Step{gang(3, 8)}})
		}
		w.run(60 * time.Second)
		Expect(w.starts).To(BeNumerically("<", 3*(30*4+6*3)), "each task starts once, or a few times")
	})
})

// cutAfterStart cuts off the worker of the n-th start of the run before it can answer.
func cutAfterStart(w *world, n int) {
	w.gangs.OnEvent = func(e simworker.Event) {
		if e.Start && w.starts == n-1 {
			w.cutOff[e.Worker.ID] = true
		}
		w.observe(e)
	}
}

var _ = DescribeTable("a random run with faults", func(seed int) {
	w := newWorld(uint64(seed), 12)
	w.lateShare = 0.05
	w.run(time.Second)
	for i := range 60 {
		id := domain.JobID(fmt.Sprintf("j%d", i))
		work := 300 + w.random.IntN(4000)
		n := 1 + w.random.IntN(6)
		spec := domain.JobSpec{ID: id, Priority: w.random.IntN(3), MaxAttempts: 50}
		if w.random.IntN(2) == 0 {
			spec.Payload = fmt.Sprintf("work=%d gang=%d", work, n)
			spec.Steps = []domain.Step{gang(n, int64(1+w.random.IntN(8)))}
		} else {
			spec.Payload = fmt.Sprintf("work=%d", work)
			spec.Steps = []domain.Step{step(n, int64(1+w.random.IntN(8)))}
		}
		w.submit(spec)
		w.run(w.now + time.Duration(w.random.IntN(500))*time.Millisecond)
		w.injectFault(i)
	}
	w.lateShare = 0
	clear(w.cutOff)
	w.run(w.now + 120*time.Second)
	Expect(w.violations).To(BeEmpty())
	Expect(w.open()).To(BeEmpty())
}, seeds(1, 40))

// injectFault injects one fault, or none.
func (w *world) injectFault(i int) {
	victim := w.workers[w.random.IntN(len(w.workers))]
	switch w.random.IntN(6) {
	case 0:
		id := victim.Incarnation.ID
		w.cutOff[id] = true
		w.at(w.now+time.Duration(w.random.IntN(14000))*time.Millisecond, func() { w.heal(id) })
	case 1:
		w.elect()
	case 2:
		w.replaceWorker(victim, i)
	}
}

// replaceWorker crashes a worker and adds another incarnation under the same identifier two seconds later.
func (w *world) replaceWorker(victim *simworker.Worker, _ int) {
	victim.Crash(w.now)
	for i, s := range w.workers {
		if s == victim {
			w.workers = append(w.workers[:i], w.workers[i+1:]...)
			break
		}
	}
	var n int
	_, err := fmt.Sscanf(victim.Incarnation.ID, "i-%d", &n)
	Expect(err).NotTo(HaveOccurred())
	w.at(w.now+2*time.Second, func() { w.addWorker(victim.Incarnation.ID, n) })
}

// seeds returns table entries for the seeds from a first to a last one.
func seeds(from, to int) []TableEntry {
	var out []TableEntry
	for s := from; s <= to; s++ {
		out = append(out, Entry(fmt.Sprintf("seed %d", s), s))
	}
	return out
}
