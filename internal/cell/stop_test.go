package cell_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// newWorldRunning returns a world in which a job runs for an hour.
func newWorldRunning(j table.Job) *world {
	w := newWorld(4)
	w.borrow = true
	for _, e := range w.endpoints {
		e.runFor = time.Hour
	}
	w.ask(submit(j))
	w.run(time.Second)
	Expect(w.get(j.ID).State).To(Equal("running"))
	return w
}

// blockPlacement makes all endpoints refuse further reservations.
func blockPlacement(w *world) {
	for _, e := range w.endpoints {
		e.capacity = 0
	}
}

var _ = Describe("A running attempt", func() {
	// Guards against a gang of which some members run on after one is lost, and against a second attempt that runs at
	// the same time as the first.
	DescribeTable("ends as a whole when an endpoint is lost", func(once bool, lose func(*world)) {
		j := job("j", 3)
		if once {
			j = noRepeat("j", 3)
		}
		w := newWorldRunning(j)
		lose(w)
		w.run(13 * time.Second)
		for _, id := range []string{"w0", "w2"} {
			if t := w.endpoints[id].tasks["j/1"]; t != nil {
				Expect(t.phase).To(Equal(endpoint.PhaseEnded))
			}
		}
		if once {
			Expect(w.get("j").Answer.Outcome).To(Equal("unknown"))
			Expect(w.starts).To(HaveLen(3))
			return
		}
		w.run(5 * time.Second)
		Expect(w.get("j").State).To(Equal("running"))
		Expect(w.get("j").Attempts).To(BeNumerically(">", 1))
	},
		Entry("silent, repeatable", false, func(w *world) { w.endpoints["w1"].silent = true }),
		Entry("silent, no repeat", true, func(w *world) { w.endpoints["w1"].silent = true }),
		Entry("restarted, repeatable", false, func(w *world) { w.endpoints["w1"].restart("2") }),
		Entry("restarted, no repeat", true, func(w *world) { w.endpoints["w1"].restart("2") }),
		Entry("forgot the task, repeatable", false, func(w *world) { delete(w.endpoints["w1"].tasks, "j/1") }),
	)

	It("renews no lease of a gang once one member's endpoint has been silent for longer than its lease", func() {
		w := newWorldRunning(job("j", 2))
		w.endpoints["w1"].silent = true
		w.intercept = func(c cell.EndpointCall) (bool, bool) { return c.Call.Op != endpoint.OpStop, false }
		seen := w.tables().Worker("w1").LastSeen
		w.run(seen + 10*time.Second + 100*time.Millisecond - w.now)
		id := w.request(cell.Request{Report: cellReport(&endpoint.Heartbeat{Worker: "w0", Incarnation: "1",
			Attempts: []endpoint.AttemptStatus{{Attempt: "j/1", Phase: endpoint.PhaseRunning}}})})
		w.process()
		Expect(w.replies[id].HeartbeatReply.StopAttempts).To(Equal([]string{"j/1"}))
	})

	// Guards against a second attempt while the first still runs under the lease that its start granted.
	DescribeTable("is not repeated before the lease of its start is over", func(replyLost bool) {
		w := newWorld(2)
		for _, e := range w.endpoints {
			e.runFor = time.Hour
		}
		w.run(w.endpoints["w0"].nextHeartbeat - w.now - 100*time.Millisecond)
		w.intercept = func(c cell.EndpointCall) (bool, bool) {
			if c.Call.GateOpen && c.Address == "w0" {
				w.endpoints["w0"].silent = replyLost // In both cases it is silent after this call.
				w.endpoints["w0"].handle(c.Call)
				w.silenceAfterCall = "w0"
			}
			return true, true
		}
		w.ask(submit(job("j", 1)))
		w.run(20 * time.Second)
		Expect(w.starts).To(HaveLen(2))
		Expect(w.get("j").State).To(Equal("running"))
	}, Entry("and its reply arrives", false), Entry("and its reply is lost", true))

	It("keeps its lease through a late announcement of an earlier incarnation", func() {
		w := newWorld(1)
		w.endpoints["w0"].runFor = time.Hour
		w.endpoints["w0"].restart("2")
		w.ask(submit(job("j", 1)))
		w.run(time.Second)
		r := w.ask(cell.Request{Report: cellReport(&endpoint.Announcement{Worker: "w0", Incarnation: "1", Zone: "z"})})
		Expect(r.HeartbeatReply.Known).To(BeFalse())
		w.run(12 * time.Second)
		Expect(w.get("j").State).To(Equal("running"))
	})

	// Guards against a guaranteed shape that a borrower occupies for longer than grace period and lease.
	DescribeTable("that is preempted ends within grace period and lease", func(j table.Job, checkpoints, silent bool,
		within time.Duration, outcome, resume string) {
		w := newWorldRunning(j)
		for _, e := range w.endpoints {
			e.checkpoints = checkpoints
		}
		blockPlacement(w)
		w.endpoints["w0"].silent = silent
		w.schedulers[0].preempt = []system.Preemption{{Attempt: "j/1", ForJob: "other", Grace: 2 * time.Second}}
		w.run(100 * time.Millisecond)
		a := w.tables().Attempt("j/1")
		Expect(a == nil || a.Stopping).To(BeTrue())
		w.run(within)
		Expect(w.tables().Attempt("j/1")).To(BeNil())
		Expect(w.tables().Job("j").ResumeFrom).To(Equal(resume))
		if outcome == "" {
			Expect(w.get("j").State).To(BeElementOf("queued", "placed"))
			return
		}
		Expect(w.get("j").Answer.Outcome).To(Equal(outcome))
	},
		Entry("with a checkpoint, without waiting", job("j", 2), true, false, 1500*time.Millisecond, "", "j/1"),
		Entry("without a checkpoint", job("j", 2), false, false, 3500*time.Millisecond, "", ""),
		Entry("on a silent endpoint", job("j", 1), false, true, 14*time.Second, "", ""),
		Entry("no repeat", noRepeat("j", 2), false, false, 3500*time.Millisecond, "unknown", ""),
		Entry("no repeat, with a checkpoint", noRepeat("j", 1), true, false, 3500*time.Millisecond, "unknown", "j/1"),
	)

	It("resumes from its checkpoint", func() {
		w := newWorldRunning(job("j", 1))
		w.endpoints["w0"].checkpoints = true
		resumed := ""
		w.intercept = func(c cell.EndpointCall) (bool, bool) { resumed += c.Call.ResumeAttempt; return true, true }
		w.schedulers[0].preempt = []system.Preemption{{Attempt: "j/1", Grace: time.Second}}
		w.run(5 * time.Second)
		Expect(resumed).To(Equal("j/1"))
	})

	It("ends as cancelled once its stops are confirmed, though some are lost", func() {
		w := newWorldRunning(noRepeat("j", 3))
		lost := 0
		w.intercept = func(c cell.EndpointCall) (bool, bool) { lost++; return lost > 4, true }
		cancel := cell.Request{Cancel: &cell.JobRef{Job: "j", Workspace: "ws"}}
		Expect(w.ask(cancel).Job.State).To(Equal("running"))
		w.run(3 * time.Second)
		Expect(w.get("j").Answer.Outcome).To(Equal("cancelled"))
		Expect(w.get("j").Answer.NeverRan).To(BeFalse())
		Expect(w.ask(cancel).Job.State).To(Equal("ended"))
	})

	// Guards against capacity that is never freed because an endpoint does not confirm the stop.
	It("ends with its lease when no stop is confirmed", func() {
		w := newWorldRunning(noRepeat("j", 1))
		w.endpoints["w0"].withholdResults = true
		w.intercept = func(cell.EndpointCall) (bool, bool) { return false, false }
		w.request(cell.Request{Cancel: &cell.JobRef{Job: "j"}})
		w.run(10 * time.Second)
		Expect(w.get("j").State).To(Equal("running"))
		w.run(1500 * time.Millisecond)
		Expect(w.get("j").Answer.Outcome).To(Equal("cancelled"))
	})

	It("succeeds if its success is committed before the cancellation", func() {
		w := newWorldRunning(job("j", 1))
		w.holdLog = true
		w.endpoints["w0"].tasks["j/1"].endAt = w.now
		w.run(100 * time.Millisecond)
		id := w.request(cell.Request{Cancel: &cell.JobRef{Job: "j"}})
		w.process()
		w.releaseProposals()
		Expect(w.replies[id].Job.Answer.Outcome).To(Equal("succeeded"))
	})

	It("is stopped when its workspace is deleted, and queued jobs are cancelled", func() {
		w := newWorldRunning(job("j", 1))
		blockPlacement(w)
		w.cell().SetIsolated(w.now-time.Hour, true) // The queued job would borrow.
		w.ask(submit(job("queued", 1)))
		w.cell().SetContracts(w.now, 2, nil)
		w.run(2 * time.Second)
		for _, id := range []string{"j", "queued"} {
			Expect(w.get(id).Answer.Outcome).To(Equal("cancelled"), id)
			Expect(w.get(id).Answer.Message).To(ContainSubstring("deleted"))
			Expect(w.get(id).Answer.NeverRan).To(Equal(id == "queued"))
		}
		Expect(w.ask(submit(job("late", 1))).Error.Code).To(Equal("unknown_workspace"))
	})

	It("is not placed on borrowed accelerators after five minutes of isolation", func() {
		w := newWorld(1)
		w.borrow = true
		w.cell().SetIsolated(w.now, true)
		w.run(5 * time.Minute)
		w.ask(submit(job("j", 1)))
		w.run(time.Second)
		Expect(w.get("j").State).To(Equal("queued"))
		w.cell().SetIsolated(w.now, false)
		w.run(time.Second)
		Expect(w.get("j").State).To(Equal("running"))
	})

	// Guards against cost per cancellation that grows with the number of running jobs.
	It("is sent one stop per member when many jobs are cancelled at once", func() {
		w := newWorld(20)
		for _, e := range w.endpoints {
			e.runFor = time.Hour
		}
		for i := range 40 {
			w.request(submit(job(fmt.Sprint("j", i), 1)))
		}
		w.run(2 * time.Second)
		Expect(w.starts).To(HaveLen(40))
		w.sentCalls = nil
		for i := range 40 {
			w.request(cell.Request{Cancel: &cell.JobRef{Job: fmt.Sprint("j", i)}})
		}
		w.run(3 * time.Second)
		Expect(w.sentCalls).To(HaveLen(40))
		Expect(w.tables().AttemptCount()).To(BeZero())
	})
})
