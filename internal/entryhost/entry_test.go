package entryhost

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

func TestEntryhost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Entryhost")
}

// scriptedLeader is a core host that leads. The first call is carried out and not answered, or not known to be; all others get a
// fixed verdict.
type scriptedLeader struct {
	calls  atomic.Int64
	silent bool // The first call gets no answer at all.
	then   service.Verdict
	epoch  atomic.Uint64 // Present retention epoch, less one.
	named  [2]uint64     // Epochs that the first two calls named.
}

func (s *scriptedLeader) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateReply, error) {
	return &rpc.LocateReply{Leads: true, Hosts: []string{"127.0.0.1"}, RetentionEpoch: s.epoch.Load() + 1}, nil
}

func (s *scriptedLeader) Call(ctx context.Context, in *rpc.CallRequest) (*rpc.CallReply, error) {
	n := s.calls.Add(1)
	if n <= int64(len(s.named)) {
		s.named[n-1] = in.RetentionEpoch
	}
	if n > 1 {
		return &rpc.CallReply{Verdict: uint32(s.then)}, nil
	}
	if s.silent {
		<-ctx.Done()
	}
	return &rpc.CallReply{Verdict: uint32(service.Unknown)}, nil
}

func (s *scriptedLeader) Operate(context.Context, *rpc.OperateRequest) (*rpc.OperateReply, error) {
	return &rpc.OperateReply{}, nil
}

// hostWith returns an entry host that has located a leader.
func hostWith(l *scriptedLeader) *Host {
	s := httptest.NewServer(http.Handler(rpc.NewDomainServer(l)))
	DeferCleanup(s.CloseClientConnections)
	_, port, err := net.SplitHostPort(s.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	number, err := strconv.Atoi(port)
	Expect(err).NotTo(HaveOccurred())
	h := New(Settings{PeerPort: number, Seeds: []string{"127.0.0.1"}}, NewMetrics(), logr.Discard())
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = h.Run(ctx) }()
	Eventually(h.Ready, 3*time.Second).Should(BeTrue())
	return h
}

func submit(h *Host) service.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return h.Answer(ctx, service.Request{Kind: service.Submit, Path: "/q/01", Document: &domain.JobSpec{}}).Verdict
}

var _ = Describe("a submission whose first attempt may have been executed", func() {
	// Guards against a job that is stored and starts though its caller was told that it never will.
	DescribeTable("is never answered as not run", func(silent bool, then, want service.Verdict) {
		Expect(submit(hostWith(&scriptedLeader{silent: silent, then: then}))).To(Equal(want))
	},
		Entry("after no answer, when the queue has been removed", true, service.NoQueue, service.Unknown),
		Entry("when the queue has been removed", false, service.NoQueue, service.Unknown),
		Entry("when the key has been withdrawn", false, service.Unauthorized, service.Unknown),
		Entry("when it is refused as invalid", false, service.Invalid, service.Unknown),
		Entry("when the leader is overloaded", false, service.Overloaded, service.Unknown),
		Entry("when it is accepted", false, service.Accepted, service.Accepted),
	)

	It("names the retention epoch in which it was received, also when it is repeated", func() {
		// Guards against a submission that seems new whenever it is repeated.
		l := &scriptedLeader{silent: true, then: service.Accepted}
		l.epoch.Store(6)
		h := hostWith(l)
		go func() {
			defer GinkgoRecover()
			Eventually(l.calls.Load).Should(Equal(int64(1)))
			l.epoch.Store(8)
		}()
		Expect(submit(h)).To(Equal(service.Accepted))
		Eventually(h.retentionEpoch, 3*time.Second).Should(Equal(uint64(9)))
		Expect(l.named).To(Equal([2]uint64{7, 7}))
	})

	It("is answered with the verdict of the only attempt otherwise", func() {
		l := &scriptedLeader{then: service.NoQueue}
		l.calls.Store(1)
		Expect(submit(hostWith(l))).To(Equal(service.NoQueue))
	})
})

var _ = Describe("a leader that has answered since", func() {
	// Guards against entry hosts that are not ready again and again, because of each request that was under way in one outage.
	It("is not given up for a request that was sent before", func() {
		l := &scriptedLeader{silent: true, then: service.Accepted}
		h := hostWith(l)
		answered := make(chan service.Verdict, 1)
		go func() { answered <- submit(h) }()
		Consistently(h.Ready, 2*attemptTimeout, 5*time.Millisecond).Should(BeTrue())
		Expect(answered).To(Receive(Equal(service.Accepted)))
	})

	It("is given up for a request that was sent later", func() {
		h := New(Settings{}, NewMetrics(), logr.Discard())
		now := time.Now()
		h.setLeader("10.0.0.1", now)
		h.redirect("10.0.0.1", "10.0.0.2", now.Add(-time.Millisecond))
		h.dropLeader("10.0.0.1", now.Add(-time.Millisecond))
		Expect(h.leader).To(Equal("10.0.0.1"))
		h.redirect("10.0.0.1", "10.0.0.2", now.Add(time.Millisecond))
		Expect(h.leader).To(Equal("10.0.0.2"))
		h.dropLeader("10.0.0.2", now.Add(2*time.Millisecond))
		Expect(h.leader).To(BeEmpty())
	})
})
