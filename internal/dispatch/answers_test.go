package dispatch_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// badWorker is the worker whose answers are changed.
const badWorker = "i-000"

// changeHolds changes the lists in the answers of badWorker.
func (w *world) changeHolds(change func(dispatch.Call, *dispatch.Reply)) {
	w.changeAnswer = func(c dispatch.Call, r *dispatch.Reply) {
		if c.Worker.ID == badWorker && c.Kind == dispatch.CallHold && r.Status == dispatch.OK {
			change(c, r)
		}
	}
}

// addEnds adds ends to each list of badWorker that has some, under the number of the newest.
func (w *world) addEnds(ends ...dispatch.EndedTask) {
	w.changeHolds(func(_ dispatch.Call, r *dispatch.Reply) {
		if len(r.Ended) == 0 {
			return
		}
		newest := r.Ended[len(r.Ended)-1].Number
		for _, e := range ends {
			e.Number = newest
			r.Ended = append(r.Ended, e)
		}
	})
}

// ended returns the end of an attempt without its number.
func ended(task domain.TaskID, attempt int, outcome domain.Outcome) dispatch.EndedTask {
	return dispatch.EndedTask{AttemptEnd: domain.AttemptEnd{Task: task, Attempt: attempt, Outcome: outcome}}
}

var _ = Describe("a worker that lists what is not there", func() {
	// Guards against a leader that ends because of an end of a task that its job does not have.
	DescribeTable("ends no leader and keeps no job from completing", func(listed ...dispatch.EndedTask) {
		w := newWorld(1, 3)
		w.run(3 * time.Second)
		w.addEnds(listed...)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=1000", Steps: []domain.Step{step(12, 1), step(12, 1)}})
		w.run(30 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.violations).To(BeEmpty())
	},
		Entry("an index that the step does not have", ended(domain.TaskID{Job: "j", Index: 12}, 1, domain.OutcomeDone)),
		Entry("a step that the job does not have", ended(domain.TaskID{Job: "j", Step: 2}, 1, domain.OutcomeFailed)),
		Entry("an occurrence that is not due", ended(domain.TaskID{Job: "j", Occurrence: 1}, 1, domain.OutcomeStopped)),
		Entry("a job that does not exist", ended(domain.TaskID{Job: "none"}, 1, domain.OutcomeDone)),
		Entry("attempts that have not begun", ended(domain.TaskID{Job: "j", Index: 1}, math.MaxInt, domain.OutcomeDone),
			ended(domain.TaskID{Job: "j", Index: 2}, 0, domain.OutcomeDone), ended(domain.TaskID{Job: "j", Index: 3}, -1, domain.OutcomeFailed)),
	)

	It("ends no leader if such an end is in the log", func() {
		w := newWorld(1, 3)
		w.run(3 * time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=1000", Steps: []domain.Step{step(1, 1)}})
		w.run(3500 * time.Millisecond)
		for _, task := range []domain.TaskID{{Job: "j", Index: 1}, {Job: "j", Step: 1}, {Job: "j", Occurrence: 1}, {Job: "none"},
			{Job: "j", Index: -1}, {Job: "j", Step: -1}, {Job: "j", Occurrence: -1}} {
			w.commit(&domain.Command{End: &domain.EndAttempts{Worker: w.worker(badWorker).Incarnation,
				Ends: []domain.AttemptEnd{{Task: task, Attempt: 1, Outcome: domain.OutcomeDone}}}})
		}
		w.run(10 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.violations).To(BeEmpty())
	})

	It("fills the log with nothing but the number of the end", func() {
		w := newWorld(1, 3)
		w.run(3 * time.Second)
		e := ended(domain.TaskID{Job: "none"}, 1, domain.OutcomeStopped)
		e.Checkpoint = "0123456789abcdef"
		w.addEnds(slices.Repeat([]dispatch.EndedTask{e}, 100)...)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=1000", Steps: []domain.Step{step(12, 1)}})
		w.run(10 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.ends).To(Equal(12))
	})
})

// Guards against tasks that start again after their end because its number was not above that of an earlier one.
var _ = DescribeTable("the numbers of ends that a worker lists", func(number func(int64) int64) {
	w := newWorld(1, 1)
	w.run(3 * time.Second)
	w.changeHolds(func(_ dispatch.Call, r *dispatch.Reply) {
		r.Ended = slices.Clone(r.Ended)
		for i := range r.Ended {
			r.Ended[i].Number = number(r.Ended[i].Number)
		}
	})
	for i := range 4 {
		w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprint("j", i)), Payload: "work=1000", Steps: []domain.Step{step(8, 1)}})
		w.run(w.now + 2*time.Second)
	}
	w.run(30 * time.Second)
	for i := range 4 {
		Expect(w.state(domain.JobID(fmt.Sprint("j", i)))).To(Equal(domain.JobCompleted))
	}
	Expect(w.starts).To(Equal(32))
	Expect(w.violations).To(BeEmpty())
},
	Entry("may be the same", func(int64) int64 { return 1 }),
	Entry("may go back", func(n int64) int64 { return max(1, 20-n) }),
	Entry("may jump to the highest one", func(n int64) int64 {
		if n == 5 {
			return math.MaxInt64
		}
		return n
	}),
	Entry("may be negative", func(n int64) int64 { return -n }),
)

// Guards against tasks that hang on a worker that confirms their starts and stops but never shows what has become of them.
var _ = DescribeTable("a worker whose lists cannot be used", func(change func(*dispatch.Reply)) {
	w := newWorld(1, 3)
	w.run(3 * time.Second)
	w.submit(domain.JobSpec{ID: "j", Payload: "work=3000", Steps: []domain.Step{step(24, 1)}})
	w.run(4 * time.Second)
	w.changeHolds(func(_ dispatch.Call, r *dispatch.Reply) { change(r) })
	w.run(40 * time.Second)
	Expect(w.state("j")).To(Equal(domain.JobCompleted))
	Expect(w.violations).To(BeEmpty())
},
	Entry("because a row is unreadable", func(r *dispatch.Reply) { r.HasLists, r.Running, r.Ended = false, nil, nil }),
	Entry("because it is unhealthy", func(r *dispatch.Reply) {
		*r = dispatch.Reply{Status: dispatch.Unhealthy, ClockMS: r.ClockMS}
	}),
	Entry("because it does not know the call", func(r *dispatch.Reply) {
		*r = dispatch.Reply{Status: dispatch.BadCall, ClockMS: r.ClockMS}
	}),
)

var _ = Describe("a worker that refuses the fencing token", func() {
	It("loses its attempts when its lease is over, and others run the tasks", func() {
		w := newWorld(1, 3)
		w.run(3 * time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=3000", Steps: []domain.Step{step(24, 1)}})
		w.run(4 * time.Second)
		w.changeAnswer = func(c dispatch.Call, r *dispatch.Reply) {
			if c.Worker.ID == badWorker {
				*r = dispatch.Reply{Status: dispatch.RejectedFence, ClockMS: r.ClockMS}
			}
		}
		w.run(6 * time.Second)
		w.calls = nil
		w.run(40 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.violations).To(BeEmpty())
		Expect(w.calls).NotTo(ContainElement(HaveField("Worker.ID", badWorker)), "it is not called again with the same token")
	})
})

// Guards against tasks that are bound to a worker that never begins them, and against calls without a pause.
var _ = DescribeTable("a worker that rejects each start", func(status dispatch.Status, clockMS func(int64) int64) {
	w := newWorld(1, 3)
	w.run(3 * time.Second)
	isStart := func(c dispatch.Call) bool { return c.Worker.ID == badWorker && c.Kind == dispatch.CallStart }
	w.refuse = func(c dispatch.Call) dispatch.Status {
		if isStart(c) {
			return status
		}
		return dispatch.OK
	}
	w.changeAnswer = func(c dispatch.Call, r *dispatch.Reply) {
		if isStart(c) {
			r.ClockMS = clockMS(r.ClockMS)
		}
	}
	w.submit(domain.JobSpec{ID: "j", Payload: "work=1000", Steps: []domain.Step{step(24, 1)}})
	w.run(20 * time.Second)
	Expect(w.state("j")).To(Equal(domain.JobCompleted))
	starts := 0
	for _, c := range w.calls {
		if c.Worker.ID == badWorker && c.Kind == dispatch.CallStart {
			starts++
		}
	}
	Expect(starts).To(And(BeNumerically(">", 0), BeNumerically("<=", 100)))
	Expect(w.violations).To(BeEmpty())
},
	Entry("as late", dispatch.RejectedLeaseOver, func(c int64) int64 { return c }),
	Entry("as late, by a clock that goes back", dispatch.RejectedLeaseOver, func(int64) int64 { return 1 }),
	Entry("as late, by a clock that is ahead", dispatch.RejectedLeaseOver, func(c int64) int64 { return c + 1e9 }),
	Entry("as late, without a clock", dispatch.RejectedLeaseOver, func(int64) int64 { return 0 }),
	Entry("for want of room", dispatch.RejectedCapacity, func(c int64) int64 { return c }),
	Entry("for want of a ticket", dispatch.RejectedTicket, func(c int64) int64 { return c }),
	Entry("as not understood", dispatch.BadCall, func(c int64) int64 { return c }),
	Entry("as ended", dispatch.RejectedEnded, func(c int64) int64 { return c }),
)

var _ = Describe("a worker that lists very many attempts as running", func() {
	// Guards against a host that makes, and keeps in memory, one call for each row.
	It("gets few calls, and none of its rows keeps a job from completing", func() {
		w := newWorld(1, 3)
		w.run(3 * time.Second)
		w.changeHolds(func(_ dispatch.Call, r *dispatch.Reply) {
			r.Running = slices.Clone(r.Running)
			for i := range 20000 {
				r.Running = append(r.Running, dispatch.RunningTask{Task: domain.TaskID{Job: "none", Index: i}, Attempt: 1})
			}
		})
		w.submit(domain.JobSpec{ID: "j", Payload: "work=1000", Steps: []domain.Step{step(24, 1)}})
		w.run(3200 * time.Millisecond)
		for range 20 {
			before := len(w.calls)
			w.run(w.now + 100*time.Millisecond)
			Expect(len(w.calls) - before).To(BeNumerically("<", 2000))
		}
		w.run(20 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		Expect(w.violations).To(BeEmpty())
	})
})

// Guards against tasks that hang on a worker that is taken for replaced, when nothing registers in its place.
var _ = Describe("one answer of another life", func() {
	It("does not keep the tasks of a worker for ever", func() {
		w := newWorld(1, 3)
		w.run(3 * time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=3000", Steps: []domain.Step{step(24, 1)}})
		w.run(4 * time.Second)
		changed := false
		w.changeHolds(func(c dispatch.Call, r *dispatch.Reply) {
			if !changed {
				changed, r.BornMS = true, c.Worker.BornMS+1
			}
		})
		w.run(60 * time.Second)
		Expect(changed).To(BeTrue())
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		w.calls = nil
		w.submit(domain.JobSpec{ID: "k", Payload: "work=1000", Steps: []domain.Step{step(24, 1)}})
		w.run(w.now + 3*time.Second)
		Expect(w.calls).To(ContainElement(And(HaveField("Worker.ID", badWorker), HaveField("Kind", dispatch.CallStart))), "it registers again")
		Expect(w.violations).To(BeEmpty())
	})
})

// Guards against one worker that takes the processor of the leader, by answers that come at once.
var _ = DescribeTable("a worker that does not wait for an end", func(change func(*dispatch.Reply)) {
	w := newWorld(1, 3)
	w.run(3 * time.Second)
	w.hasty = badWorker
	w.changeHolds(func(_ dispatch.Call, r *dispatch.Reply) { change(r) })
	w.submit(domain.JobSpec{ID: "j", Payload: "work=6000", Steps: []domain.Step{step(24, 1)}})
	w.run(5 * time.Second)
	w.calls = nil
	w.run(8 * time.Second)
	holds := 0
	for _, c := range w.calls {
		if c.Worker.ID == badWorker && c.Kind == dispatch.CallHold {
			holds++
		}
	}
	Expect(holds).To(And(BeNumerically(">", 0), BeNumerically("<=", 20)))
	w.run(11 * time.Second)
	Expect(w.state("j")).To(Equal(domain.JobCompleted))
	Expect(w.violations).To(BeEmpty())
},
	Entry("and lists none", func(*dispatch.Reply) {}),
	Entry("and lists an old one", func(r *dispatch.Reply) {
		r.Ended = append(slices.Clone(r.Ended), ended(domain.TaskID{Job: "none"}, 1, domain.OutcomeDone))
	}),
)

// Guards against tasks that go to a worker again and again that confirms their starts and never runs them.
var _ = Describe("a worker that confirms starts and lists nothing", func() {
	It("does not keep the tasks", func() {
		w := newWorld(1, 3)
		w.run(3 * time.Second)
		w.refuse = func(c dispatch.Call) dispatch.Status {
			if c.Worker.ID == badWorker && c.Kind == dispatch.CallStart {
				return dispatch.Unhealthy
			}
			return dispatch.OK
		}
		w.changeAnswer = func(c dispatch.Call, r *dispatch.Reply) {
			if c.Worker.ID == badWorker && c.Kind == dispatch.CallStart {
				r.Status = dispatch.OK
			}
		}
		w.submit(domain.JobSpec{ID: "j", Payload: "work=1000", Steps: []domain.Step{step(24, 1)}})
		w.run(8 * time.Second)
		Expect(w.state("j")).To(Equal(domain.JobCompleted))
		starts := 0
		for _, c := range w.calls {
			if c.Worker.ID == badWorker && c.Kind == dispatch.CallStart {
				starts++
			}
		}
		Expect(starts).To(And(BeNumerically(">", 0), BeNumerically("<=", 50)))
		Expect(w.violations).To(BeEmpty())
	})
})

// Guards against a worker that gets no work for long because of one plan whose starts all came too early.
var _ = It("a worker that rejects one burst of starts is used again soon", func() {
	w := newWorld(1, 1)
	w.run(3 * time.Second)
	rejectUntil := 3200 * time.Millisecond
	w.refuse = func(c dispatch.Call) dispatch.Status {
		if c.Kind == dispatch.CallStart && w.now < rejectUntil {
			return dispatch.RejectedCapacity
		}
		return dispatch.OK
	}
	w.submit(domain.JobSpec{ID: "j", Payload: "work=1000", Steps: []domain.Step{step(8, 1)}})
	w.run(8 * time.Second)
	Expect(w.state("j")).To(Equal(domain.JobCompleted))
	Expect(w.violations).To(BeEmpty())
})
