package cell_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// loseFirstMatch returns an intercept function that loses the first matching call, or only its reply if deliver is set.
func loseFirstMatch(op endpoint.Op, open, deliver bool) func(cell.EndpointCall) (bool, bool) {
	done := false
	return func(c cell.EndpointCall) (bool, bool) {
		if done || c.Call.Op != op || c.Call.GateOpen != open {
			return true, true
		}
		done = true
		return deliver, false
	}
}

var _ = Describe("A start", func() {
	// expectSuccessDespiteLoss guards against a job that is lost, repeated or blocked because one message of its start
	// is lost.
	expectSuccessDespiteLoss := func(gang int, j table.Job, op endpoint.Op, open, deliver bool) {
		w := newWorld(4)
		w.intercept = loseFirstMatch(op, open, deliver)
		runJob(w, j)
		expectOutcomeAfterFault(w, j, string(op))
		Expect(w.get("j").Answer.Outcome).To(Equal("succeeded"))
		Expect(w.starts).To(HaveLen(gang))
	}
	DescribeTable("leads from a submission to its answer", func(gang int) {
		w := newWorld(3)
		r := w.ask(submit(job("j", gang)))
		Expect(r.Error).To(BeNil())
		Expect(r.Job.ID).To(Equal("j"))
		w.run(500 * time.Millisecond)
		Expect(w.get("j").State).To(Equal("running"))
		w.run(2 * time.Second)
		j := w.get("j")
		Expect(j.State).To(Equal("ended"))
		Expect(j.Answer.Outcome).To(Equal("succeeded"))
		Expect(string(j.Answer.Body)).To(Equal("answer of j/1"))
		Expect(w.starts).To(HaveLen(gang))
		Expect(w.answers("j")).To(Equal(1))
		Expect(w.tables().AttemptCount()).To(BeZero())
	}, Entry("single", 1), Entry("gang", 3))

	entries := []TableEntry{}
	for _, deliver := range []bool{false, true} {
		for _, gang := range []int{1, 3} {
			entries = append(entries, Entry(nil, gang, endpoint.OpReserve, false, deliver),
				Entry(nil, gang, endpoint.OpStart, true, deliver))
		}
		entries = append(entries, Entry(nil, 3, endpoint.OpStart, false, deliver))
	}
	DescribeTable("survives the loss of one call or reply", func(gang int, op endpoint.Op, open, deliver bool) {
		expectSuccessDespiteLoss(gang, job("j", gang), op, open, deliver)
		expectSuccessDespiteLoss(gang, noRepeat("j", gang), op, open, deliver)
	}, entries)

	It("opens no gate before all members are ready, and starts none before all are reserved", func() {
		w := newWorld(3)
		counts := map[string]int{}
		w.intercept = func(c cell.EndpointCall) (bool, bool) {
			kind := string(c.Call.Op)
			if c.Call.GateOpen {
				kind = "open"
				Expect(counts["start"]).To(Equal(3))
			}
			if kind == "start" {
				Expect(counts["reserve"]).To(Equal(3))
			}
			counts[kind]++
			return true, true
		}
		w.ask(submit(job("j", 3)))
		w.run(time.Second)
		Expect(counts).To(Equal(map[string]int{"reserve": 3, "start": 3, "open": 3}))
	})

	// Guards against a start that is sent so late that it reaches the endpoint after another leader has fenced the
	// attempt.
	It("sends no start or gate opening later than the reservation allows, and requeues", func() {
		w := newWorld(4)
		reserved := map[string]time.Duration{}
		refuse := true
		w.intercept = func(c cell.EndpointCall) (bool, bool) {
			switch c.Call.Op {
			case endpoint.OpReserve:
				reserved[c.Call.Attempt] = w.now
			case endpoint.OpStart:
				Expect(w.now - reserved[c.Call.Attempt]).To(BeNumerically("<=", 1750*time.Millisecond))
				return !refuse, !refuse
			}
			return true, true
		}
		w.ask(submit(noRepeat("j", 3)))
		w.run(3 * time.Second)
		Expect(w.starts).To(BeEmpty())
		Expect(w.tables().Job("j").MayHaveRun).To(BeFalse())
		refuse = false
		w.run(5 * time.Second)
		Expect(w.get("j").Answer.Outcome).To(Equal("succeeded"))
		Expect(w.get("j").Attempts).To(BeNumerically(">", 1))
	})

	It("frees the other members when one refuses its reservation, which is no failure of the job", func() {
		w := newWorld(3)
		w.endpoints["w2"].capacity = 0
		w.ask(submit(job("j", 3)))
		w.run(500 * time.Millisecond)
		for _, id := range []string{"w0", "w1"} {
			Expect(w.endpoints[id].used()).To(BeZero())
		}
		Expect(w.tables().Job("j").MayHaveRun).To(BeFalse())
		Expect(w.tables().Job("j").FailedWorkers).To(BeEmpty())
		Expect(w.tables().Job("j").AttemptCount).To(BeNumerically("<=", 2), "the job must not be placed again at once")
		Expect(w.tables().Worker("w0").FreeAccelerators()).To(Equal(2))
		w.endpoints["w2"].capacity = 2
		w.run(5 * time.Second)
		Expect(w.get("j").Answer.Outcome).To(Equal("succeeded"))
	})

	// Guards against starts in a zone that was taken out, at each point of a start.
	DescribeTable("does not open its gate once the zone is out", func(op endpoint.Op, j table.Job) {
		w := newWorld(3)
		w.intercept = func(c cell.EndpointCall) (bool, bool) {
			if c.Call.Op == op && !w.tables().Service.Out && !c.Call.GateOpen {
				w.request(cell.Request{Service: &cell.ServiceRequest{CommandID: "out", Out: true}})
				for _, p := range w.cell().Take().Proposals {
					w.commit(p)
				}
			}
			Expect(w.tables().Service.Out && c.Call.Op != endpoint.OpStop && w.now > w.outAt).To(BeFalse())
			return true, true
		}
		w.ask(submit(j))
		w.run(3 * time.Second)
		Expect(w.tables().Service.Out).To(BeTrue())
		Expect(w.starts).To(BeEmpty())
		Expect(w.get("j").State).To(Equal("queued"))
		Expect(w.tables().Job("j").MayHaveRun).To(BeFalse())
		w.intercept = nil
		w.ask(cell.Request{Service: &cell.ServiceRequest{CommandID: "in"}})
		w.run(3 * time.Second)
		Expect(w.get("j").Answer.Outcome).To(Equal("succeeded"))
	},
		Entry("while it reserves", endpoint.OpReserve, job("j", 3)),
		Entry("while its members get ready", endpoint.OpStart, noRepeat("j", 3)),
		Entry("while a single job reserves", endpoint.OpReserve, noRepeat("j", 1)),
	)

	It("is not placed when the zone went out before its commit", func() {
		w := newWorld(1)
		w.holdLog = true
		w.request(submit(job("j", 1)))
		w.process()
		w.request(cell.Request{Service: &cell.ServiceRequest{CommandID: "out", Out: true}})
		w.process()
		w.releaseProposals()
		w.run(time.Second)
		Expect(w.starts).To(BeEmpty())
		Expect(w.get("j").Attempts).To(BeZero())
	})

	// Guards against new work on an endpoint whose notice has been acknowledged.
	It("sends only stops to an endpoint after its notice of leaving", func() {
		w := newWorld(1)
		w.endpoints["w0"].runFor = 4 * time.Second
		w.ask(submit(job("runs", 1)))
		w.run(time.Second)
		w.intercept = func(c cell.EndpointCall) (bool, bool) {
			left := w.tables().Leaving()["w0"] == c.Call.Incarnation
			if !left && c.Call.Op == endpoint.OpReserve {
				w.request(cell.Request{Report: cellReport(&endpoint.Leaving{Worker: "w0", Incarnation: "1"})})
				for _, p := range w.cell().Take().Proposals {
					w.commit(p)
				}
			}
			Expect(left && c.Call.Op != endpoint.OpStop).To(BeFalse())
			return true, true
		}
		w.ask(submit(job("j", 1)))
		w.run(6 * time.Second)
		Expect(w.get("runs").Answer.Outcome).To(Equal("succeeded"))
		Expect(w.get("j").State).To(Equal("queued"))
		Expect(w.tables().Worker("w0").Leaving).To(BeTrue())
		w.intercept = nil
		w.endpoints["w0"].restart("2")
		w.run(6 * time.Second)
		Expect(w.get("j").Answer.Outcome).To(Equal("succeeded"))
	})
})
