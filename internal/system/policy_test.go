package system_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

var oneAccelerator = shape(1, 1, table.SameZone)

var _ = Describe("Guarantees", func() {
	rack16 := guarantee(1, 2, 8, table.SameRack)

	It("reclaims the guarantee of a rack gang when all capacity is borrowed, and preempts no more than needed", func() {
		z := newZone(2, 2, workspace("owner", 0, rack16), workspace("other", 1))
		z.submitAndTick("other", table.Bulk, shape(1, 4, table.SameZone), 8)
		Expect(z.tables.RunningAccelerators("other")).To(Equal(32))
		j := z.submit("owner", table.Standard, rack16.Shape)
		plan := z.tick(time.Millisecond)
		Expect(plan.Preemptions).To(HaveLen(4))
		Expect(plan.Preemptions[0].Grace).To(Equal(3 * time.Second))
		Expect(z.stopPreempted()).To(Equal(4))
		z.tick(time.Millisecond)
		Expect(isRunning(z, j)).To(BeTrue())
		Expect(z.tables.RunningAccelerators("other")).To(Equal(16))
	})

	It("places no new borrowed jobs on capacity that is being reclaimed", func() {
		z := newZone(1, 2, workspace("owner", 0, rack16), workspace("other", 1))
		jobs := z.submitAndTick("other", table.Bulk, shape(1, 4, table.SameZone), 5)
		z.submit("owner", table.Standard, rack16.Shape)
		z.tick(time.Millisecond)
		z.end(jobs[0], table.JobEnded, true, false)
		z.tick(time.Millisecond)
		Expect(isRunning(z, jobs[4])).To(BeFalse())
	})

	It("uses free workers instead of preempting borrowed attempts on the reserved ones", func() {
		z := newZone(2, 2, workspace("owner", 0, rack16), workspace("other", 1))
		jobs := z.submitAndTick("other", table.Bulk, shape(1, 8, table.SameWorker), 4)
		unreservedJobs := []int{}
		for i, j := range jobs {
			if w := z.tables.Attempt(j.Attempt).Members[0].Worker; z.tables.Worker(w).Reserved() == 0 {
				unreservedJobs = append(unreservedJobs, i)
			}
		}
		for _, i := range unreservedJobs {
			z.end(jobs[i], table.JobEnded, true, false)
		}
		j := z.submit("owner", table.Standard, rack16.Shape)
		Expect(z.tick(time.Millisecond).Preemptions).To(BeEmpty())
		Expect(isRunning(z, j)).To(BeTrue())
	})

	It("never preempts attempts inside a guarantee, even after a new leader took over", func() {
		z := newZone(1, 2, workspace("owner", 0, guarantee(1, 1, 8, table.SameWorker)),
			workspace("other", 1, guarantee(2, 1, 4, table.SameZone)))
		z.submitAndTick("other", table.Bulk, shape(1, 4, table.SameZone), 4)
		z.policy = system.NewPolicy(z.tables, system.Options{})
		z.submit("owner", table.Urgent, shape(1, 8, table.SameWorker))
		plan := z.tick(time.Millisecond)
		Expect(plan.Preemptions).To(HaveLen(2))
		for _, p := range plan.Preemptions {
			Expect(z.tables.Attempt(p.Attempt).Borrowed).To(BeTrue())
		}
	})

	It("does not place jobs that must not be repeated on capacity that a guarantee may have to reclaim", func() {
		z := newZone(1, 2, workspace("owner", 0, guarantee(1, 1, 8, table.SameWorker)), workspace("other", 1))
		for range 16 {
			z.submit("other", table.Bulk, oneAccelerator).NoRepeat = true
		}
		z.tick(time.Millisecond)
		Expect(z.tables.RunningAccelerators("other")).To(Equal(8))
		j := z.submit("owner", table.Urgent, shape(1, 8, table.SameWorker))
		Expect(z.tick(time.Millisecond).Preemptions).To(BeEmpty())
		Expect(isRunning(z, j)).To(BeTrue())
	})

	It("vacates the worker of a guaranteed gang that small jobs of the same workspace occupied during a burst", func() {
		z := newZone(1, 3, workspace("owner", 0, guarantee(1, 1, 8, table.SameWorker), guarantee(4, 1, 1, table.SameZone)))
		jobs := z.submitAndTick("owner", table.Urgent, oneAccelerator, 8)
		for _, j := range jobs[:4] {
			z.end(j, table.JobEnded, true, false)
		}
		gang := z.submit("owner", table.Standard, shape(1, 8, table.SameWorker))
		z.tick(time.Millisecond)
		Expect(isRunning(z, gang)).To(BeTrue())
	})

	It("moves an unused gang reservation off a lost worker, even if only the flag of the worker was set", func() {
		z := newZone(1, 3, workspace("owner", 0, rack16), workspace("other", 1))
		z.tick(time.Millisecond)
		for _, w := range z.tables.Workers() {
			if w.Reserved() > 0 {
				w.Lost = true
				break
			}
		}
		z.tick(2 * time.Second)
		j := z.submit("owner", table.Standard, rack16.Shape)
		z.tick(time.Millisecond)
		Expect(isRunning(z, j)).To(BeTrue())
	})
})

var _ = Describe("Borrowing", func() {
	It("places nothing beyond the guarantee for a workspace without a surplus share, or while lending is off", func() {
		z := newZone(1, 1, workspace("none", 0, guarantee(1, 1, 2, table.SameZone)), workspace("some", 1))
		z.policy.SetLending(false)
		z.submitAndTick("none", table.Bulk, oneAccelerator, 4)
		z.submitAndTick("some", table.Bulk, oneAccelerator, 4)
		Expect(z.tables.RunningAccelerators("none")).To(Equal(2))
		Expect(z.tables.RunningAccelerators("some")).To(Equal(0))
		z.policy.SetLending(true)
		z.tick(time.Millisecond)
		Expect(z.tables.RunningAccelerators("some")).To(Equal(4))
	})

	It("divides the surplus by share, and starts urgent jobs of any workspace first", func() {
		z := newZone(1, 2, workspace("a", 3), workspace("b", 1))
		for range 16 {
			z.submit("b", table.Bulk, oneAccelerator)
			z.submit("a", table.Bulk, oneAccelerator)
		}
		urgent := z.submit("b", table.Urgent, oneAccelerator)
		z.tick(time.Millisecond)
		Expect(isRunning(z, urgent)).To(BeTrue())
		Expect(z.tables.RunningAccelerators("a")).To(Equal(12))
	})

	It("respects the limit of running accelerators", func() {
		ws := workspace("a", 1, guarantee(1, 1, 4, table.SameZone))
		ws.Limits.Running = 6
		z := newZone(1, 2, ws)
		z.submitAndTick("a", table.Standard, oneAccelerator, 10)
		Expect(z.tables.RunningAccelerators("a")).To(Equal(6))
	})

	It("does not let small jobs starve a large one, but backfills those that are expected to end in time", func() {
		z := newZone(1, 1, workspace("a", 1), workspace("quick", 1))
		for range 8 {
			j := z.submit("quick", table.Urgent, oneAccelerator)
			z.tick(0)
			z.now += time.Second
			z.end(j, table.JobEnded, true, false)
		}
		// Observe run times of 30 minutes for bulk jobs of workspace a.
		for range 8 {
			j := z.submit("a", table.Bulk, oneAccelerator)
			z.tick(0)
			z.now += 30 * time.Minute
			z.end(j, table.JobEnded, true, false)
		}
		running := z.submitAndTick("a", table.Bulk, oneAccelerator, 8)
		large := z.submit("a", table.Standard, shape(1, 8, table.SameWorker))
		z.tick(time.Millisecond)
		z.end(running[0], table.JobEnded, true, false)
		late, quick := z.submit("a", table.Bulk, oneAccelerator), z.submit("quick", table.Urgent, oneAccelerator)
		z.tick(time.Millisecond)
		Expect(isRunning(z, late)).To(BeFalse())
		Expect(isRunning(z, quick)).To(BeTrue())
		Expect(z.policy.ExplainWait(z.now, large)).To(ContainSubstring("Workers are reserved for the job"))
		z.end(quick, table.JobEnded, true, false)
		for _, j := range running[1:] {
			z.end(j, table.JobEnded, true, false)
		}
		z.tick(time.Millisecond)
		Expect(isRunning(z, large)).To(BeTrue())
	})
})

var _ = Describe("Placement", func() {
	It("places nothing in a zone that is out of service", func() {
		z := newZone(1, 1, workspace("a", 1, guarantee(1, 1, 1, table.SameZone)))
		z.tables.Service.Out = true
		Expect(z.policy.Admit(z.now, &table.Job{Workspace: "a", Shape: oneAccelerator}, false).Code).To(Equal(system.RefusedZoneOut))
		z.submit("a", table.Urgent, oneAccelerator)
		Expect(z.tick(time.Millisecond)).To(Equal(system.Plan{}))
		z.tables.Service.Out = false
		Expect(z.tick(time.Millisecond).Placements).To(HaveLen(1))
	})

	It("skips cancelled jobs, jobs with a live attempt and jobs that failed on three workers", func() {
		z := newZone(1, 1, workspace("a", 1))
		z.submit("a", table.Urgent, oneAccelerator).Cancelled = true
		z.submit("a", table.Urgent, oneAccelerator).FailedWorkers = []string{"x", "y", "z"}
		pending := z.submit("a", table.Urgent, oneAccelerator)
		z.tick(time.Millisecond)
		Expect(isRunning(z, pending)).To(BeTrue())
		z.tables.SetJobState(pending, table.JobQueued)
		Expect(z.tick(time.Millisecond).Placements).To(BeEmpty())
	})

	It("ends a job whose deadline passed while it was queued exactly once", func() {
		z := newZone(1, 1, workspace("a", 0, guarantee(1, 1, 1, table.SameZone)))
		z.submitAndTick("a", table.Urgent, oneAccelerator, 1)
		late := z.submit("a", table.Urgent, oneAccelerator)
		late.DeadlineMillis = 1000
		z.tables.SetJobState(late, table.JobRunning)
		z.tables.SetJobState(late, table.JobQueued)
		Expect(z.tick(900 * time.Millisecond).JobEnds).To(BeEmpty())
		Expect(z.tick(200 * time.Millisecond).JobEnds).To(ConsistOf(HaveField("Outcome", table.JobExpired)))
		Expect(z.tick(time.Second).JobEnds).To(BeEmpty())
	})

	// Guards against a deadline that ends a job which started in time and waits for its next attempt.
	It("does not end a job whose deadline passes after an attempt may have run", func() {
		z := newZone(1, 1, workspace("a", 1))
		j := z.submit("a", table.Urgent, oneAccelerator)
		j.DeadlineMillis = 1000
		z.tables.SetJobState(j, table.JobRunning)
		z.tables.SetJobState(j, table.JobQueued) // The table takes the deadline over when the job is queued.
		z.tick(100 * time.Millisecond)
		Expect(isRunning(z, j)).To(BeTrue())
		j.MayHaveRun = true
		z.tables.Service.Out = true
		z.end(j, table.JobQueued, false, false)
		Expect(z.tick(2 * time.Second).JobEnds).To(BeEmpty())
		Expect(tickAllocs(z)).To(BeZero(), "its deadline makes no further tick due")
		z.tables.Service.Out = false
		z.tick(time.Millisecond)
		Expect(isRunning(z, j)).To(BeTrue())
	})

	It("retries a job on another worker than it failed on, and allocates no memory in a tick without changes", func() {
		z := newZone(1, 2, workspace("a", 1))
		j := z.submitAndTick("a", table.Urgent, oneAccelerator, 1)[0]
		first := z.tables.Attempt(j.Attempt).Members[0].Worker
		z.end(j, table.JobQueued, false, true)
		z.tick(time.Millisecond)
		Expect(z.tables.Attempt(j.Attempt).Members[0].Worker).NotTo(Equal(first))
		Expect(tickAllocs(z)).To(BeZero())
	})
})

var _ = Describe("Quarantine", func() {
	It("quarantines a worker on which three jobs failed, until a probe with one job succeeds there", func() {
		z := newZone(1, 1, workspace("a", 1))
		w := z.tables.Worker("r0-w0")
		for range 3 {
			j := z.submitAndTick("a", table.Bulk, oneAccelerator, 1)[0]
			z.end(j, table.JobEnded, false, true)
		}
		Expect(w.Quarantined).To(BeTrue())
		waiting := []*table.Job{z.submit("a", table.Bulk, oneAccelerator), z.submit("a", table.Bulk, oneAccelerator)}
		Expect(z.tick(time.Second).Placements).To(BeEmpty())
		plan := z.tick(time.Minute)
		Expect(plan.Placements).To(HaveLen(1))
		Expect(plan.Placements[0].Probe).To(BeTrue())
		Expect(z.tick(10 * time.Minute).Placements).To(BeEmpty())
		z.end(waiting[0], table.JobEnded, true, false)
		Expect(w.Quarantined).To(BeFalse())
		z.tick(time.Millisecond)
		Expect(isRunning(z, waiting[1])).To(BeTrue())
	})

	// Guards against probes that are delayed twice as long because two members of the probing gang failed on the worker.
	It("counts a failed probe once, also if several members of its gang failed on the worker", func() {
		z := newZone(1, 1, workspace("a", 1))
		for range 3 {
			z.end(z.submitAndTick("a", table.Bulk, oneAccelerator, 1)[0], table.JobEnded, false, true)
		}
		j := z.submit("a", table.Bulk, oneAccelerator)
		probes := func() bool { return len(z.tick(time.Second).Placements) > 0 }
		for !probes() {
		}
		z.policy.AttemptEnded(z.now, system.AttemptReport{Job: j, Workers: []string{"r0-w0"}, FailedWorkers: []string{"r0-w0", "r0-w0"}})
		z.tables.RemoveAttempt(j.Attempt)
		z.tables.SetJobState(j, table.JobEnded)
		z.submit("a", table.Bulk, oneAccelerator)
		failedAt := z.now
		for !probes() {
		}
		Expect(z.now-failedAt).To(BeNumerically("~", time.Minute, 2*time.Second), "twice the first interval")
	})

	It("does not probe with a job that must not be repeated or has only one try left", func() {
		z := newZone(1, 1, workspace("a", 1))
		for range 3 {
			z.end(z.submitAndTick("a", table.Bulk, oneAccelerator, 1)[0], table.JobEnded, false, true)
		}
		z.submit("a", table.Bulk, oneAccelerator).NoRepeat = true
		z.submit("a", table.Bulk, oneAccelerator).FailedWorkers = []string{"x", "y"}
		Expect(z.tick(time.Hour).Placements).To(BeEmpty())
	})
})

var _ = Describe("A job that failed", func() {
	// Guards against a job that waits forever because it failed on the only workers that can run it.
	It("is retried on the same workers if the zone has no others for it", func() {
		z := newZone(1, 2, workspace("a", 1))
		gang := table.Shape{Gang: 2, Accelerators: 8, Adjacency: table.SameRack}
		j := z.submit("a", table.Bulk, gang)
		j.FailedWorkers = []string{"r0-w0"}
		Expect(z.tick(time.Second).Placements).To(HaveLen(1))
	})

	It("is retried on another worker if there is one", func() {
		z := newZone(1, 2, workspace("a", 1))
		j := z.submit("a", table.Bulk, oneAccelerator)
		j.FailedWorkers = []string{"r0-w0"}
		plan := z.tick(time.Second)
		Expect(plan.Placements).To(HaveLen(1))
		Expect(plan.Placements[0].Members).To(Equal([]string{"r0-w1"}))
	})
})

var _ = Describe("A gang of which several members failed together", func() {
	It("is retried on other workers than all of theirs", func() {
		z := newZone(1, 3, workspace("a", 1))
		j := z.submit("a", table.Bulk, oneAccelerator)
		j.FailedWorkers, j.AlsoFailedWorkers = []string{"r0-w0"}, []string{"r0-w1"}
		Expect(z.tick(time.Second).Placements).To(ConsistOf(HaveField("Members", Equal([]string{"r0-w2"}))))
	})

	It("is retried on others than the one that was counted if the zone has no more", func() {
		z := newZone(1, 3, workspace("a", 1))
		j := z.submit("a", table.Bulk, table.Shape{Gang: 2, Accelerators: 8, Adjacency: table.SameRack})
		j.FailedWorkers, j.AlsoFailedWorkers = []string{"r0-w0"}, []string{"r0-w1"}
		Expect(z.tick(time.Second).Placements).To(ConsistOf(HaveField("Members", ConsistOf("r0-w1", "r0-w2"))))
	})
})

var _ = Describe("Admit", func() {
	DescribeTable("a submission is refused with the reason",
		func(change func(ws *table.Workspace, j *table.Job), code system.RefusalCode) {
			ws := workspace("a", 0, guarantee(1, 1, 8, table.SameWorker))
			ws.MaxClass = table.Standard
			j := &table.Job{ID: "j", Workspace: "a", Class: table.Standard, Shape: oneAccelerator}
			change(ws, j)
			z := newZone(1, 1, ws)
			z.submit("a", table.Bulk, oneAccelerator)
			z.policy.Admit(z.now, j, false)
			Expect(z.policy.Admit(z.now, j, false)).To(HaveField("Code", code))
		},
		Entry("unknown workspace", func(_ *table.Workspace, j *table.Job) { j.Workspace = "b" },
			system.RefusedUnknownWorkspace),
		Entry("class more urgent than the contract allows", func(_ *table.Workspace, j *table.Job) { j.Class = table.Urgent },
			system.RefusedClass),
		Entry("larger than the zone", func(_ *table.Workspace, j *table.Job) { j.Shape.Gang = 9 }, system.RefusedNeverFits),
		Entry("larger than the guarantee, without a surplus share", func(ws *table.Workspace, j *table.Job) {
			ws.Guarantees[0].Shape.Accelerators, j.Shape.Accelerators = 4, 5
		}, system.RefusedNeverFits),
		Entry("queue full", func(ws *table.Workspace, _ *table.Job) { ws.Limits.Queued = 1 }, system.RefusedQueueFull),
		Entry("too many requests", func(ws *table.Workspace, _ *table.Job) { ws.Limits.RequestsPerSecond = 1 },
			system.RefusedRate),
	)
	// Guards against callers who are refused for the rate of requests of jobs that another zone has handed over.
	It("counts a job against the limits of its workspace once, in the zone that accepts it first", func() {
		ws := workspace("a", 1)
		ws.Limits = table.Limits{RequestsPerSecond: 1, Queued: 2}
		z := newZone(1, 1, ws)
		j := &table.Job{ID: "j", Workspace: "a", Shape: oneAccelerator}
		for range 3 {
			Expect(z.policy.Admit(z.now, j, true)).To(BeNil())
		}
		Expect(z.policy.Admit(z.now, j, false)).To(BeNil())
		Expect(z.policy.Admit(z.now, j, false)).To(HaveField("Code", system.RefusedRate))
	})
})
