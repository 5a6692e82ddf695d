package cell_test

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

var _ = Describe("A result", func() {
	var w *world
	var good endpoint.Result

	BeforeEach(func() {
		w = newWorld(2)
		for _, e := range w.endpoints {
			e.runFor = time.Hour
		}
		w.ask(submit(job("j", 2)))
		w.run(time.Second)
		Expect(w.get("j").State).To(Equal("running"))
		good = endpoint.Result{Worker: "w0", Incarnation: "1", Attempt: "j/1", Epoch: 1,
			Outcome: endpoint.OutcomeSucceeded, Body: []byte("a"), Length: 1,
			SHA256: "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"}
	})

	ack := func(r endpoint.Result) *endpoint.Ack { return w.ask(cell.Request{Report: cellReport(&r)}).Ack }

	// Guards against an answer that is committed for another request, or that is incomplete.
	DescribeTable("that does not match is refused without effect", func(change func(*endpoint.Result), retry bool) {
		change(&good)
		a := ack(good)
		Expect(a.Accepted).To(BeFalse())
		Expect(a.Retry).To(Equal(retry))
		w.run(time.Second)
		Expect(w.get("j").State).To(Equal("running"))
	},
		Entry("of another member", func(r *endpoint.Result) { r.Member = 1 }, false),
		Entry("of no member", func(r *endpoint.Result) { r.Member = 2 }, false),
		Entry("of another incarnation", func(r *endpoint.Result) { r.Incarnation = "0" }, false),
		Entry("of another epoch", func(r *endpoint.Result) { r.Epoch = 2 }, false),
		Entry("of another worker", func(r *endpoint.Result) { r.Worker = "w1" }, false),
		Entry("of a later attempt", func(r *endpoint.Result) { r.Attempt = "j/2" }, false),
		Entry("of an unknown job", func(r *endpoint.Result) { r.Attempt = "k/1" }, false),
		Entry("of a name that is no attempt", func(r *endpoint.Result) { r.Attempt = "j" }, false),
		Entry("that is truncated", func(r *endpoint.Result) { r.Body = nil }, true),
		Entry("that is altered", func(r *endpoint.Result) { r.Body = []byte("b") }, true),
	)

	It("is acknowledged only after the commit; of several the first one counts, and late ones are acknowledged", func() {
		second := good
		second.Body, second.Outcome = nil, endpoint.OutcomeFailed
		second.Length, second.SHA256 = 0, ""
		other := endpoint.Result{Worker: "w1", Incarnation: "1", Attempt: "j/1", Epoch: 1, Member: 1,
			Outcome: endpoint.OutcomeSucceeded}
		w.holdLog = true
		a := w.request(cell.Request{Report: cellReport(&good)})
		b := w.request(cell.Request{Report: cellReport(&second)})
		c := w.request(cell.Request{Report: cellReport(&other)})
		w.process()
		Expect(w.replies[a].Ack).To(Equal(&endpoint.Ack{Retry: true, Reason: "sent again"}))
		Expect(w.replies).NotTo(HaveKey(b))
		Expect(w.replies).NotTo(HaveKey(c))
		w.releaseProposals()
		Expect(w.replies[b].Ack.Accepted).To(BeTrue())
		Expect(w.replies[c].Ack.Accepted).To(BeTrue())
		Expect(string(w.get("j").Answer.Body)).To(Equal("a"))
		Expect(ack(second).Accepted).To(BeTrue())
		Expect(w.get("j").Answer.Outcome).To(Equal("succeeded"))
		Expect(w.answers("j")).To(Equal(1))
	})

	It("of one member waits for the others; until then the endpoint is asked to send it again", func() {
		id := w.request(cell.Request{Report: cellReport(&good)})
		w.run(3 * time.Second)
		Expect(w.replies[id].Ack.Retry).To(BeTrue())
		Expect(w.get("j").State).To(Equal("running"))
	})

	// Guards against an answer that is lost because the leader that received the result crashes.
	It("is sent again to the next leader when the commit was lost", func() {
		w.endpoints["w0"].runFor, w.endpoints["w1"].runFor = 0, 0
		for _, e := range w.endpoints {
			e.tasks["j/1"].endAt = w.now
		}
		w.killAt = w.step + 1 // The leader crashes when it proposes the end of the attempt.
		w.run(6 * time.Second)
		Expect(w.step).To(BeNumerically(">", w.killAt))
		Expect(w.get("j").Answer.Outcome).To(Equal("succeeded"))
		Expect(w.starts).To(HaveLen(2))
	})

	It("whose body arrives truncated is asked for again", func() {
		w.endpoints["w0"].truncateResults = 2
		for _, e := range w.endpoints {
			e.tasks["j/1"].endAt = w.now
		}
		w.run(3 * time.Second)
		Expect(string(w.get("j").Answer.Body)).To(Equal("answer of j/1"))
	})

	// Guards against a gang of which some members go on running after one has failed.
	It("of a failure stops the other members, and the job is retried until it has failed on three workers", func() {
		w = newWorld(5)
		for _, e := range w.endpoints {
			e.runFor = time.Hour
		}
		w.endpoints["w0"].runFor, w.endpoints["w0"].outcome = time.Second, endpoint.OutcomeFailed
		w.ask(submit(job("j", 2)))
		w.run(1400 * time.Millisecond)
		Expect(w.endpoints["w1"].tasks["j/1"].phase).To(Equal(endpoint.PhaseEnded))
		Expect(w.tables().Job("j").FailedWorkers).To(Equal([]string{"w0"}))
		Expect(w.reports[0].FailedWorkers).To(Equal([]string{"w0"}))
		for _, next := range []string{"w1", "w2"} {
			w.endpoints[next].outcome, w.endpoints[next].runFor = endpoint.OutcomeFailed, 100*time.Millisecond
		}
		w.run(20 * time.Second)
		Expect(w.get("j").Answer.Outcome).To(Equal("failed"))
	})

	// Guards against a job that is given up after one run of its gang, because each member that failed was counted.
	It("of a failure of all members of a gang counts as one failed run", func() {
		w = newWorld(3)
		for _, e := range w.endpoints {
			e.outcome = endpoint.OutcomeFailed
		}
		w.ask(submit(job("j", 3)))
		Eventually(func() int { w.run(25 * time.Millisecond); return len(w.reports) }).Should(Equal(1))
		Expect(w.tables().Job("j").State).NotTo(Equal(table.JobEnded))
		Expect(w.tables().Job("j").FailedWorkers).To(HaveLen(1))
		Expect(w.reports[0].FailedWorkers).To(ConsistOf("w0", "w1", "w2"), "each counts against its worker")
		w.run(20 * time.Second)
		Expect(w.get("j").Answer.Outcome).To(Equal("failed"))
		Expect(w.tables().Job("j").AttemptCount).To(Equal(3))
		Expect(w.tables().Job("j").FailedWorkers).To(ConsistOf("w0", "w1", "w2"))
	})

	It("of a failure that an earlier version has logged with all its workers is applied as before", func() {
		w = newWorld(3)
		for _, e := range w.endpoints {
			e.runFor = time.Hour
		}
		w.ask(submit(job("j", 3)))
		w.run(time.Second)
		end := &cell.EndAttempt{Attempt: "j/1", Outcome: endpoint.OutcomeFailed, FailedWorkers: []string{"w0", "w1", "w2"}, MayHaveRun: true}
		entry, err := cbor.Marshal(cell.Batch{Commands: []cell.Command{{EndAttempt: end}}})
		Expect(err).NotTo(HaveOccurred())
		w.commit(entry)
		Expect(w.tables().Job("j").FailedWorkers).To(Equal([]string{"w0", "w1", "w2"}))
		Expect(w.tables().Job("j").Answer.Outcome).To(Equal(table.JobFailed))
	})

	It("of a failure ends a no-repeat job", func() {
		w = newWorld(2)
		w.endpoints["w1"].outcome = endpoint.OutcomeFailed
		w.ask(submit(noRepeat("j", 2)))
		w.run(5 * time.Second)
		Expect(w.get("j").Answer.Outcome).To(Equal("failed"))
		Expect(w.get("j").Answer.NeverRan).To(BeFalse())
		Expect(w.starts).To(HaveLen(2))
	})
})
