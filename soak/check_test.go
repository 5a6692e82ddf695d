package soak

import (
	"bufio"
	"io"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/simworker"
	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// The specs guard against a checker that overlooks violations, or reports some where there are none.
var _ = ginkgo.Describe("the checker", func() {
	var checks *checker
	var gangs *simworker.Gangs
	task := domain.TaskID{Job: "00000000000000aa"}
	second := domain.TaskID{Job: "00000000000000aa", Index: 1}

	newWorker := func(id string) *simworker.Worker {
		w := simworker.New(domain.WorkerIncarnation{ID: id, BornMS: 1}, fleet.Capacity, 1, gangs, 0)
		w.StopTime = func() time.Duration { return stopGrace }
		return w
	}
	start := func(w *simworker.Worker, at time.Duration, id domain.TaskID, attempt int, payload string) {
		r := w.Call(at, dispatch.Call{
			Kind: dispatch.CallStart, Worker: w.Incarnation, Task: id, Attempt: attempt, Payload: payload, UntilMS: w.Clock(at) + 5000,
		})
		Expect(r.Status).To(Equal(dispatch.OK))
	}
	acknowledge := func(w *simworker.Worker, at time.Duration) {
		w.Call(at, dispatch.Call{Kind: dispatch.CallHold, Worker: w.Incarnation, Cursor: 100})
	}
	submit := func(accelerators int64, gang bool) {
		checks.jobs[task.Job] = &job{demand: domain.Resources{Accelerators: accelerators}, gang: gang}
	}

	ginkgo.BeforeEach(func() {
		checks = newChecker(&run{start: time.Now(), events: bufio.NewWriter(io.Discard)})
		gangs = simworker.NewGangs()
		gangs.OnEvent, gangs.OnAcknowledged, gangs.OnDuplicate = checks.observe, checks.acknowledged, checks.duplicate
		submit(1, false)
	})

	ginkgo.It("reports two runs of a task at once on workers that are up", func() {
		a, b := newWorker("a"), newWorker("b")
		start(a, 0, task, 1, "work=1000")
		start(b, 0, task, 2, "work=1000")
		Expect(checks.violations()).To(ConsistOf(ContainSubstring("TWICE")))
	})

	ginkgo.It("takes the acknowledged end of a run for that run only, not for one of an earlier incarnation", func() {
		a, b := newWorker("a"), simworker.New(domain.WorkerIncarnation{ID: "a", BornMS: 2}, fleet.Capacity, 1, gangs, 0)
		start(a, 0, task, 1, "work=1")
		a.Advance(10 * time.Millisecond)
		a.Crash(20 * time.Millisecond) // Nobody has read the end.
		start(b, 30*time.Millisecond, task, 1, "work=1")
		b.Advance(50 * time.Millisecond)
		acknowledge(b, 60*time.Millisecond)
		Expect(checks.violations()).To(BeEmpty())
		start(b, 70*time.Millisecond, task, 2, "work=1")
		Expect(checks.violations()).To(ConsistOf(ContainSubstring("TWICE")))
	})

	ginkgo.It("reports no overlap with a run on a worker that has crashed", func() {
		a, b := newWorker("a"), newWorker("b")
		start(a, 0, task, 1, "work=1000")
		a.Crash(time.Millisecond)
		start(b, time.Millisecond, task, 2, "work=1000")
		Expect(checks.violations()).To(BeEmpty())
	})

	ginkgo.It("reports a second start on the worker that still runs the task", func() {
		a := newWorker("a")
		start(a, 0, task, 1, "work=1000")
		a.Call(0, dispatch.Call{Kind: dispatch.CallStart, Worker: a.Incarnation, Task: task, Attempt: 2, UntilMS: 5000})
		Expect(checks.violations()).To(ConsistOf(ContainSubstring("TWICE")))
	})

	ginkgo.It("reports a start after an end as done that is acknowledged later", func() {
		a, b := newWorker("a"), newWorker("b")
		start(a, 0, task, 1, "work=10")
		a.Advance(time.Second)
		start(b, time.Second, task, 2, "work=10")
		Expect(checks.violations()).To(BeEmpty())
		acknowledge(a, 2*time.Second)
		Expect(checks.violations()).To(ConsistOf(ContainSubstring("TWICE")))
	})

	ginkgo.It("reports a start of another member after the acknowledged end of a gang", func() {
		submit(1, true)
		a, b := newWorker("a"), newWorker("b")
		start(a, 0, task, 1, "work=10 gang=2")
		start(b, 0, second, 1, "work=10 gang=2")
		a.Advance(time.Second)
		acknowledge(a, time.Second)
		start(a, time.Second, second, 2, "work=10 gang=2")
		Expect(checks.violations()).To(ConsistOf(ContainSubstring("TWICE")))
	})

	ginkgo.It("accepts a start after an end as done that is acknowledged once the lease was over", func() {
		a, b := newWorker("a"), newWorker("b")
		start(a, 0, task, 1, "work=10")
		a.Advance(time.Second)
		start(b, 6*time.Second, task, 2, "work=10")
		acknowledge(a, 6*time.Second)
		Expect(checks.violations()).To(BeEmpty())
	})

	ginkgo.It("reports a worker that holds more than its capacity, including what it is stopping", func() {
		submit(5, false)
		a := newWorker("a")
		start(a, 0, task, 1, "work=9000")
		a.Call(0, dispatch.Call{Kind: dispatch.CallStop, Worker: a.Incarnation, Task: task, Attempt: 1})
		start(a, stopGrace-time.Millisecond, second, 1, "work=9000")
		Expect(checks.violations()).To(ConsistOf(ContainSubstring("LIMIT")))
	})

	ginkgo.It("accepts a start in the room of an attempt that has stopped", func() {
		submit(5, false)
		a := newWorker("a")
		start(a, 0, task, 1, "work=9000")
		a.Call(0, dispatch.Call{Kind: dispatch.CallStop, Worker: a.Incarnation, Task: task, Attempt: 1})
		start(a, stopGrace, second, 1, "work=9000")
		Expect(checks.violations()).To(BeEmpty())
	})
})
