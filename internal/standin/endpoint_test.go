package standin_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

const ms = time.Millisecond

func newEndpoint(faults standin.Faults) *standin.Endpoint {
	return standin.New(standin.Options{Faults: faults, Announcement: endpoint.Announcement{
		Worker: "w", Incarnation: "1", Zone: "z", Accelerators: 8, Slots: 4}})
}

func call(op endpoint.Op, attempt string, change ...func(*endpoint.Call)) endpoint.Call {
	c := endpoint.Call{Op: op, Incarnation: "1", Epoch: 5, Attempt: attempt, Job: "j-" + attempt, GangSize: 1,
		Accelerators: 2, LeaseMillis: 10000, GraceMillis: 5000, GateOpen: true, Body: []byte(`{"run_ms":50,"echo":"e"}`)}
	for _, f := range change {
		f(&c)
	}
	return c
}

func gateClosed(c *endpoint.Call) { c.GateOpen = false }
func runLong(c *endpoint.Call)    { c.Body = []byte(`{"run_ms":60000}`) }

func epoch(n uint64) func(*endpoint.Call) { return func(c *endpoint.Call) { c.Epoch = n } }

// reserveAndStart reserves and starts an attempt.
func reserveAndStart(e *standin.Endpoint, now time.Duration, attempt string, change ...func(*endpoint.Call)) {
	GinkgoHelper()
	Expect(e.Handle(now, call(endpoint.OpReserve, attempt, change...)).OK).To(BeTrue())
	Expect(e.Handle(now, call(endpoint.OpStart, attempt, change...)).OK).To(BeTrue())
}

// tickAndReply calls Tick, answers heartbeats and announcements with b, and returns the results and events.
func tickAndReply(e *standin.Endpoint, now time.Duration, b endpoint.HeartbeatReply) (rs []standin.Report, es []history.Kind) {
	for _, a := range e.Tick(now) {
		switch {
		case a.Event != nil:
			es = append(es, a.Event.Kind)
		case a.Report.Result != nil:
			rs = append(rs, *a.Report)
		case a.Report.Heartbeat != nil || a.Report.Announcement != nil:
			e.HandleReply(now, standin.ReportReply{ID: a.Report.ID, HeartbeatReply: &b})
		}
	}
	return rs, es
}

var known = endpoint.HeartbeatReply{Known: true, Epoch: 5, LeaseMillis: 10000, PeriodMillis: 3000}

var _ = Describe("Calls", func() {
	// Each entry guards against a start or a refusal that the protocol does not allow.
	DescribeTable("the last call after earlier ones",
		func(earlier []endpoint.Call, at time.Duration, last endpoint.Call, code string, phase endpoint.TaskPhase, ran bool) {
			e := newEndpoint(standin.Faults{})
			for _, c := range earlier {
				Expect(e.Handle(0, c).OK).To(BeTrue())
			}
			reply := e.Handle(at, last)
			Expect(reply).To(Equal(endpoint.Reply{OK: code == "", Code: code, Phase: phase, EverRan: ran}))
		},
		Entry("start without reservation", nil, 0*ms, call(endpoint.OpStart, "a"),
			endpoint.CodeNoReservation, endpoint.PhaseUnknown, false),
		Entry("start in time", []endpoint.Call{call(endpoint.OpReserve, "a")}, 1999*ms, call(endpoint.OpStart, "a"),
			"", endpoint.PhaseRunning, true),
		Entry("start 2 s after the reservation", []endpoint.Call{call(endpoint.OpReserve, "a")}, 2000*ms,
			call(endpoint.OpStart, "a"), endpoint.CodeNoReservation, endpoint.PhaseUnknown, false),
		Entry("start of a newer epoch than the reservation", []endpoint.Call{call(endpoint.OpReserve, "a")}, 0*ms,
			call(endpoint.OpStart, "a", epoch(6)), endpoint.CodeNoReservation, endpoint.PhaseReserved, false),
		Entry("stale epoch", []endpoint.Call{call(endpoint.OpStatus, "x", epoch(6))}, 0*ms,
			call(endpoint.OpReserve, "a"), endpoint.CodeStaleEpoch, endpoint.TaskPhase(""), false),
		Entry("wrong incarnation", nil, 0*ms, call(endpoint.OpReserve, "a", func(c *endpoint.Call) { c.Incarnation = "0" }),
			endpoint.CodeWrongIncarnation, endpoint.TaskPhase(""), false),
		Entry("closed gate", []endpoint.Call{call(endpoint.OpReserve, "a")}, 0*ms, call(endpoint.OpStart, "a", gateClosed),
			"", endpoint.PhaseReady, false),
		Entry("gate opened late after a repeated reservation", []endpoint.Call{call(endpoint.OpReserve, "a"),
			call(endpoint.OpStart, "a", gateClosed), call(endpoint.OpReserve, "a")}, 2000*ms, call(endpoint.OpStart, "a"),
			endpoint.CodeNoReservation, endpoint.PhaseEnded, false),
		Entry("start repeated", []endpoint.Call{call(endpoint.OpReserve, "a"), call(endpoint.OpStart, "a")}, 10*ms,
			call(endpoint.OpStart, "a"), "", endpoint.PhaseRunning, true),
		Entry("start repeated after the end", []endpoint.Call{call(endpoint.OpReserve, "a"), call(endpoint.OpStart, "a")},
			100*ms, call(endpoint.OpStart, "a"), endpoint.CodeNoReservation, endpoint.PhaseEnded, true),
		Entry("reserve after the stop of an unknown attempt", []endpoint.Call{call(endpoint.OpStop, "a")}, 0*ms,
			call(endpoint.OpReserve, "a"), endpoint.CodeNoReservation, endpoint.PhaseEnded, false),
		Entry("start after the stop of a reserved attempt", []endpoint.Call{call(endpoint.OpReserve, "a"),
			call(endpoint.OpStop, "a")}, 0*ms, call(endpoint.OpStart, "a"), endpoint.CodeNoReservation, endpoint.PhaseEnded, false),
		Entry("stop of a running attempt", []endpoint.Call{call(endpoint.OpReserve, "a"), call(endpoint.OpStart, "a")},
			10*ms, call(endpoint.OpStop, "a"), "", endpoint.PhaseEnded, true),
		Entry("status long after the end", []endpoint.Call{call(endpoint.OpReserve, "a"), call(endpoint.OpStart, "a")},
			time.Hour, call(endpoint.OpStatus, "a"), "", endpoint.PhaseEnded, true),
		Entry("more accelerators than are free", []endpoint.Call{call(endpoint.OpReserve, "a")}, 0*ms,
			call(endpoint.OpReserve, "b", func(c *endpoint.Call) { c.Accelerators = 7 }),
			endpoint.CodeNoCapacity, endpoint.PhaseUnknown, false),
		Entry("more tasks than slots", []endpoint.Call{call(endpoint.OpReserve, "a", func(c *endpoint.Call) { c.Accelerators = 0 }),
			call(endpoint.OpReserve, "b"), call(endpoint.OpReserve, "c"), call(endpoint.OpReserve, "d")}, 0*ms,
			call(endpoint.OpReserve, "e", func(c *endpoint.Call) { c.Accelerators = 0 }),
			endpoint.CodeNoCapacity, endpoint.PhaseUnknown, false),
		Entry("capacity of an expired reservation", []endpoint.Call{call(endpoint.OpReserve, "a", func(c *endpoint.Call) { c.Accelerators = 8 })},
			2000*ms, call(endpoint.OpReserve, "b"), "", endpoint.PhaseReserved, false),
	)

	It("refuses calls of an epoch older than a heartbeat reply named", func() {
		e := newEndpoint(standin.Faults{})
		tickAndReply(e, 0, endpoint.HeartbeatReply{Known: true, Epoch: 9})
		Expect(e.Handle(0, call(endpoint.OpReserve, "a")).Code).To(Equal(endpoint.CodeStaleEpoch))
	})

	It("takes no new work once it leaves, unless the fault switch says so", func() {
		for _, accepts := range []bool{false, true} {
			e := newEndpoint(standin.Faults{AcceptsWhileLeaving: accepts})
			e.Leave()
			Expect(e.Handle(0, call(endpoint.OpReserve, "a")).OK).To(Equal(accepts))
		}
	})
})

var _ = Describe("Leases", func() {
	It("ends a task at its lease although the leader never calls again", func() {
		e := newEndpoint(standin.Faults{})
		reserveAndStart(e, 0, "a", runLong)
		_, es := tickAndReply(e, 9999*ms, endpoint.HeartbeatReply{Known: false})
		Expect(es).NotTo(ContainElement(history.Stopped))
		rs, es := tickAndReply(e, 10000*ms, endpoint.HeartbeatReply{Known: false})
		Expect(es).To(ContainElement(history.Stopped))
		Expect(rs[0].Result.Outcome).To(Equal(endpoint.OutcomeStopped))
	})

	It("renews a lease from the time the heartbeat was sent, not from its reply", func() {
		e := newEndpoint(standin.Faults{})
		reserveAndStart(e, 0, "a", runLong)
		tickAndReply(e, 0, known)
		actions := e.Tick(1000 * ms)
		Expect(actions[0].Report.Heartbeat.Attempts).To(HaveLen(1))
		e.HandleReply(3000*ms, standin.ReportReply{ID: actions[0].Report.ID, HeartbeatReply: &known})
		Expect(e.Handle(10999*ms, call(endpoint.OpStatus, "a")).Phase).To(Equal(endpoint.PhaseRunning))
		Expect(e.Handle(11000*ms, call(endpoint.OpStatus, "a")).Phase).To(Equal(endpoint.PhaseEnded))
	})

	It("does not renew from the reply of an older leader, and stops what the reply names", func() {
		e := newEndpoint(standin.Faults{})
		reserveAndStart(e, 0, "a", runLong, epoch(6))
		reserveAndStart(e, 0, "b", runLong, epoch(6))
		tickAndReply(e, 0, endpoint.HeartbeatReply{Known: true, Epoch: 6})
		tickAndReply(e, 5000*ms, known)
		Expect(e.Handle(10000*ms, call(endpoint.OpStatus, "a", epoch(6))).Phase).To(Equal(endpoint.PhaseEnded))
		reserveAndStart(e, 10000*ms, "c", runLong, epoch(6))
		tickAndReply(e, 15000*ms, endpoint.HeartbeatReply{Known: true, Epoch: 6, StopAttempts: []string{"c"}})
		Expect(e.Handle(15000*ms, call(endpoint.OpReserve, "c", epoch(6))).OK).To(BeFalse())
	})
})

var _ = Describe("Results", func() {
	decode := func(r standin.Report) standin.Answer {
		var a standin.Answer
		Expect(json.Unmarshal(r.Result.Body, &a)).To(Succeed())
		return a
	}

	It("resends a result until it is acknowledged", func() {
		e := newEndpoint(standin.Faults{})
		reserveAndStart(e, 0, "a")
		rs, _ := tickAndReply(e, 60*ms, known)
		Expect(rs).To(HaveLen(1))
		Expect(decode(rs[0])).To(Equal(standin.Answer{Job: "j-a", Attempt: "a", Echo: "e", Request: standin.Digest([]byte(`{"run_ms":50,"echo":"e"}`))}))
		e.HandleReply(70*ms, standin.ReportReply{ID: rs[0].ID})
		rs, _ = tickAndReply(e, 1000*ms, known)
		Expect(rs).To(HaveLen(1))
		rs, _ = tickAndReply(e, 4000*ms, known) // No reply within ReportTimeout.
		Expect(rs).To(HaveLen(1))
		e.HandleReply(4000*ms, standin.ReportReply{ID: rs[0].ID, Ack: &endpoint.Ack{Accepted: true}})
		Expect(e.Idle()).To(BeTrue())
	})

	DescribeTable("faulty answers carry the length and digest of the true one, and a resend is whole",
		func(f standin.Faults) {
			e := newEndpoint(f)
			reserveAndStart(e, 0, "a")
			rs, _ := tickAndReply(e, 60*ms, known)
			Expect(rs[0].Result.SHA256).NotTo(Equal(standin.Digest(rs[0].Result.Body)))
			e.HandleReply(60*ms, standin.ReportReply{ID: rs[0].ID, Ack: &endpoint.Ack{Retry: true}})
			rs, _ = tickAndReply(e, 1000*ms, known)
			Expect(rs[0].Result.SHA256).To(Equal(standin.Digest(rs[0].Result.Body)))
			Expect(decode(rs[0]).Job).To(Equal("j-a"))
		},
		Entry("crossed", standin.Faults{CrossAnswers: true}),
		Entry("truncated", standin.Faults{TruncateAnswers: true}),
	)

	DescribeTable("fault switches of results", func(f standin.Faults, at time.Duration, sends int) {
		e := newEndpoint(f)
		reserveAndStart(e, 0, "a")
		total := 0
		for now := 10 * ms; now <= at; now += 10 * ms {
			rs, _ := tickAndReply(e, now, known)
			total += len(rs)
			for _, r := range rs {
				e.HandleReply(now, standin.ReportReply{ID: r.ID, Ack: &endpoint.Ack{Accepted: true}})
			}
		}
		Expect(total).To(Equal(sends))
	},
		Entry("none", standin.Faults{}, 2000*ms, 1),
		Entry("dropped", standin.Faults{DropResults: true}, 2000*ms, 0),
		Entry("doubled", standin.Faults{DoubleResults: true}, 2000*ms, 2),
		Entry("late, before", standin.Faults{LateMillis: 500}, 500*ms, 0),
		Entry("late, after", standin.Faults{LateMillis: 500}, 700*ms, 1),
		Entry("frozen", standin.Faults{}, 40*ms, 0),
	)

	It("fails a task whose request says so", func() {
		e := newEndpoint(standin.Faults{})
		reserveAndStart(e, 0, "a", func(c *endpoint.Call) { c.Body = []byte(`{"fail":true}`) })
		rs, _ := tickAndReply(e, 60*ms, known)
		Expect(rs[0].Result.Outcome).To(Equal(endpoint.OutcomeFailed))
	})

	It("ends a task whose gate is closed 2 s after the reservation, and reports that it never ran", func() {
		e := newEndpoint(standin.Faults{})
		reserveAndStart(e, 0, "a", gateClosed)
		rs, es := tickAndReply(e, 2000*ms, known)
		Expect(rs[0].Result.Outcome).To(Equal(endpoint.OutcomeNeverRan))
		Expect(es).NotTo(ContainElement(history.Started))
	})
})

var _ = Describe("Checkpoints and incarnations", func() {
	It("confirms a checkpoint once it is written, makes no progress after that, and resumes the remaining work elsewhere", func() {
		store := standin.NewCheckpoints()
		about := endpoint.Announcement{Worker: "w", Incarnation: "1", Accelerators: 8, Slots: 8}
		first := standin.New(standin.Options{Announcement: about, Checkpoints: store})
		second := standin.New(standin.Options{Announcement: about, Checkpoints: store})
		body := func(c *endpoint.Call) { c.Body = []byte(`{"run_ms":1000}`) }
		reserveAndStart(first, 0, "a", body)
		Expect(first.Handle(500*ms, call(endpoint.OpCheckpoint, "a")).Code).To(Equal(standin.CodeNotWritten))
		Expect(first.Handle(599*ms, call(endpoint.OpCheckpoint, "a")).OK).To(BeFalse())
		Expect(first.Handle(600*ms, call(endpoint.OpCheckpoint, "a"))).To(Equal(endpoint.Reply{OK: true, Phase: endpoint.PhaseRunning, EverRan: true}))
		Expect(first.Handle(5499*ms, call(endpoint.OpStatus, "a")).Phase).To(Equal(endpoint.PhaseRunning))
		rs, _ := tickAndReply(first, 5500*ms, known)
		Expect(rs[0].Result).To(And(HaveField("Outcome", endpoint.OutcomeStopped), HaveField("Message", standin.CheckpointMessage)))
		reserveAndStart(second, 0, "b", body, func(c *endpoint.Call) { c.ResumeAttempt = "a" })
		Expect(second.Handle(399*ms, call(endpoint.OpStatus, "b")).Phase).To(Equal(endpoint.PhaseRunning))
		Expect(second.Handle(400*ms, call(endpoint.OpStatus, "b")).Phase).To(Equal(endpoint.PhaseEnded))
	})

	It("continues to run and confirms no checkpoint with the fault switch IgnoreCheckpoint", func() {
		e := newEndpoint(standin.Faults{IgnoreCheckpoint: true})
		reserveAndStart(e, 0, "a", runLong)
		for _, now := range []time.Duration{0, 6000 * ms} {
			Expect(e.Handle(now, call(endpoint.OpCheckpoint, "a"))).To(And(HaveField("OK", false), HaveField("Phase", endpoint.PhaseRunning)))
		}
	})

	It("confirms no checkpoint of a task that does not run", func() {
		e := newEndpoint(standin.Faults{})
		Expect(e.Handle(0, call(endpoint.OpCheckpoint, "a")).OK).To(BeFalse())
		reserveAndStart(e, 0, "a", gateClosed)
		Expect(e.Handle(0, call(endpoint.OpCheckpoint, "a")).OK).To(BeFalse())
	})

	It("slows a throttled task down", func() {
		e := newEndpoint(standin.Faults{})
		reserveAndStart(e, 0, "a")
		e.Handle(25*ms, call(endpoint.OpThrottle, "a", func(c *endpoint.Call) { c.SpeedShare = 0.5 }))
		Expect(e.Handle(74*ms, call(endpoint.OpStatus, "a")).Phase).To(Equal(endpoint.PhaseRunning))
		Expect(e.Handle(75*ms, call(endpoint.OpStatus, "a")).Phase).To(Equal(endpoint.PhaseEnded))
	})

	It("is silent while frozen, and comes back without its tasks after a restart", func() {
		e := newEndpoint(standin.Faults{Freeze: true})
		Expect(e.Handle(0, call(endpoint.OpReserve, "a")).Code).To(Equal(standin.CodeSilent))
		Expect(e.Tick(0)).To(BeEmpty())
		e.SetFaults(standin.Faults{})
		reserveAndStart(e, 0, "a", runLong)
		e.Restart(10*ms, "2")
		Expect(e.Handle(10*ms, call(endpoint.OpStatus, "a")).Code).To(Equal(endpoint.CodeWrongIncarnation))
		actions := e.Tick(10 * ms)
		Expect(actions[0].Report.Announcement.Incarnation).To(Equal("2"))
		Expect(e.Idle()).To(BeTrue())
	})
})
