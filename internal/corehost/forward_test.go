package corehost

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// heldCalls lets a host serve calls of other hosts, and holds those after the first pass ones until they are released, as
// a network partition does.
type heldCalls struct {
	released chan struct{}
	held     sync.WaitGroup

	mu   sync.Mutex
	pass int
	over bool // The calls have been released.
}

// holds tells whether a call is to be held, and counts it in held if so.
func (c *heldCalls) holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pass--
	if c.pass >= 0 || c.over {
		return false
	}
	c.held.Add(1)
	return true
}

// release executes the calls that were held, and waits until that is done.
func (c *heldCalls) release() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	close(c.released)
	c.held.Wait()
}

// serve serves the calls for a host and returns the port.
func (c *heldCalls) serve(h *Host) int {
	server := rpc.NewDomainServer(h)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.holds() {
			defer c.held.Done()
			<-c.released
			r = r.WithContext(context.WithoutCancel(r.Context())) // The end of the sender's connection may arrive later.
		}
		server.ServeHTTP(w, r)
	})}
	go func() { _ = s.Serve(l) }() // Ends when the server is closed.
	DeferCleanup(s.Close)
	return l.Addr().(*net.TCPAddr).Port
}

// follow returns a forwarder on a host that follows a leader.
func follow(leader string, port int) *Forwarder {
	const address = "127.0.0.2"
	h := openAs(GinkgoT().TempDir(), address, []string{leader, address})
	h.settings.PeerPort = port
	DeferCleanup(func() { Expect(h.store.close()).To(Succeed()) })
	from := replica.Member{Host: leader, Incarnation: replica.FoundingIncarnation, Disk: true}
	Expect(deliverFrom(from, h, replica.Message{Kind: replica.MsgAppend, Term: 1})).To(Succeed())
	Expect(h.operate(context.Background(), service.Operation{Kind: service.GetConfig}).Outcome).To(Equal(service.Redirect))
	return NewForwarder(h)
}

// Guards against a worker that has restarted under its identifier and is taken for leaving: its tasks are stopped, because the
// notice of its earlier incarnation, which does not name it, arrives when a cut heals.
var _ = DescribeTable("a notice that a worker leaves, held up between hosts, does not concern its next incarnation", func(ctx SpecContext, pass int) {
	leader := startAloneWith(Clients{Workers: silentWorkers{}})
	calls := &heldCalls{pass: pass, released: make(chan struct{})}
	follower, atLeader := follow("127.0.0.1", calls.serve(leader)), NewForwarder(leader)
	register := func(born int64) service.Outcome {
		w := &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: "i-1", BornMS: born}, Pool: "p", Address: "10.0.0.1:80", Capacity: domain.Resources{Accelerators: 8}}
		return atLeader.Operate(ctx, service.Operation{Kind: service.Register, Worker: w}).Outcome
	}
	Expect(register(1)).To(Equal(service.Done))
	notice := service.Operation{Kind: service.Deregister, Worker: &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: "i-1"}}}
	Expect(follower.Operate(ctx, notice).Outcome).To(BeElementOf(service.OutcomeUnknown, service.NotServing))
	Expect(register(2)).To(Equal(service.Done))
	calls.release()
	Consistently(func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		w := leader.stateMachine.Worker("i-1")
		return w != nil && w.Incarnation.BornMS == 2
	}, time.Second).Should(BeTrue())
	Expect(atLeader.Operate(ctx, notice).Outcome).To(Equal(service.Done), "the notice of the present incarnation does")
	leader.mu.Lock()
	defer leader.mu.Unlock()
	Expect(leader.stateMachine.Worker("i-1")).To(BeNil())
},
	Entry("the first call", SpecTimeout(20*time.Second), 0),
	Entry("the second call", SpecTimeout(20*time.Second), 1),
)

var _ = Describe("an order for a zone", func() {
	order := func(ctx context.Context, f *Forwarder, kind service.OperationKind) service.Outcome {
		return f.Operate(ctx, service.Operation{Kind: kind, Zone: "z2"}).Outcome
	}
	out := func(h *Host) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.stateMachine.ZoneOut("z2")
	}

	// Guards against an order that comes back when a cut heals, after a later one was acknowledged: a zone stayed out of service
	// for good, or its workers got tasks although it had been taken out.
	DescribeTable("that was held up between hosts is not executed after a later one", func(ctx SpecContext, pass int, held, later service.OperationKind, repeated bool) {
		leader := startAloneWith(Clients{Workers: silentWorkers{}})
		calls := &heldCalls{pass: pass, released: make(chan struct{})}
		follower, atLeader := follow("127.0.0.1", calls.serve(leader)), NewForwarder(leader)
		Expect(order(ctx, atLeader, later)).To(Equal(service.Done))
		Expect(order(ctx, follower, held)).To(BeElementOf(service.OutcomeUnknown, service.NotServing))
		if repeated {
			Expect(order(ctx, atLeader, held)).To(Equal(service.Done))
		}
		Expect(order(ctx, atLeader, later)).To(Equal(service.Done))
		calls.release()
		Expect(out(leader)).To(Equal(later == service.TakeZoneOut))
	},
		Entry("taken out, then brought in", SpecTimeout(20*time.Second), 0, service.TakeZoneOut, service.BringZoneIn, true),
		Entry("taken out, then brought in, the second call held up", SpecTimeout(20*time.Second), 1, service.TakeZoneOut, service.BringZoneIn, true),
		Entry("taken out, brought in without a further order", SpecTimeout(20*time.Second), 1, service.TakeZoneOut, service.BringZoneIn, false),
		Entry("brought in, then taken out", SpecTimeout(20*time.Second), 1, service.BringZoneIn, service.TakeZoneOut, true),
	)

	It("is executed once the caller waits, whichever host receives it", func(ctx SpecContext) {
		leader := startAloneWith(Clients{Workers: silentWorkers{}})
		calls := &heldCalls{pass: 1000}
		follower := follow("127.0.0.1", calls.serve(leader))
		var all sync.WaitGroup
		for i := range 8 { // At once, so that they overtake each other between the two calls of each.
			all.Go(func() {
				defer GinkgoRecover()
				kind := []service.OperationKind{service.TakeZoneOut, service.BringZoneIn}[i%2]
				Expect(order(ctx, follower, kind)).To(Equal(service.Done))
			})
		}
		all.Wait()
		Expect(order(ctx, follower, service.TakeZoneOut)).To(Equal(service.Done))
		Expect(out(leader)).To(BeTrue())
		Expect(order(ctx, follower, service.BringZoneIn)).To(Equal(service.Done))
		Expect(out(leader)).To(BeFalse())
	}, SpecTimeout(20*time.Second))

	DescribeTable("is not executed if its caller has left, also if that shows a moment later", func(ctx SpecContext, after time.Duration) {
		leader := startAloneWith(Clients{Workers: silentWorkers{}})
		for _, f := range []*Forwarder{NewForwarder(leader), follow("127.0.0.1", (&heldCalls{pass: 1000}).serve(leader))} {
			left, leave := context.WithTimeout(ctx, after)
			defer leave()
			Expect(order(left, f, service.TakeZoneOut)).To(Equal(service.NotServing))
			Expect(out(leader)).To(BeFalse())
		}
	},
		Entry("at once", SpecTimeout(20*time.Second), time.Duration(0)),
		Entry("a round trip later", SpecTimeout(20*time.Second), 20*time.Millisecond),
	)
})
