package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

// inputRecorder keeps the inputs that parts of the shell push to the event loop.
type inputRecorder struct {
	mu   sync.Mutex
	list []node.Input
}

func (s *inputRecorder) push(_ context.Context, in node.Input) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, in)
	return nil
}

func (s *inputRecorder) all() []node.Input {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]node.Input(nil), s.list...)
}

// group returns an errgroup whose context is cancelled at the end of the spec.
func group() (context.Context, *errgroup.Group) {
	ctx, stop := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	DeferCleanup(func() {
		stop()
		Expect(g.Wait()).To(Succeed())
	})
	return ctx, g
}

// relay forwards a connection to an address.
func relay(c net.Conn, address string) {
	defer c.Close()
	server, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer server.Close()
	go func() { _, _ = io.Copy(server, c) }()
	_, _ = io.Copy(c, server)
}

var _ = Describe("Connections to hosts", func() {
	var received *inputRecorder
	var senders *peerSenders
	var requests atomic.Int64

	// receiver starts a server for the messages of host a1, which waits for a delay before each request, and returns
	// its address.
	receiver := func(delay time.Duration) string {
		handler := newPeerAuthenticator(&peerServer{peerIPs: map[string]string{"a1": "127.0.0.1"}, push: received.push, metrics: newMetrics()}, tokens{"old", "peer-token"}, false)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			time.Sleep(delay)
			handler.ServeHTTP(w, r)
		}))
		server.Config.Protocols = protocols(true)
		server.Start()
		DeferCleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}

	newSenders := func(from, token string) *peerSenders {
		ctx, g := group()
		connect := func() *peerClient { return newPeerClient(nil, token) }
		return newPeerSenders(ctx, g, from, connect, "http", logr.Discard(), newMetrics())
	}

	BeforeEach(func() {
		received = &inputRecorder{}
		requests.Store(0)
		senders = newSenders("a1", "peer-token")
	})

	It("deliver in order and combine the messages that wait into batches", func() {
		address := receiver(50 * time.Millisecond)
		for i := range 100 {
			senders.send(node.Send{To: "b1", Address: address, Payload: fmt.Append(nil, i)})
		}
		Eventually(func() int { return len(received.all()) }, "5s").Should(Equal(100))
		for i, in := range received.all() {
			Expect(in).To(Equal(node.PeerMessage{From: "a1", Payload: fmt.Append(nil, i)}))
		}
		Expect(requests.Load()).To(BeNumerically("<=", 3))
	})

	// Guards against a host that does not answer and thereby delays the others or fills the memory.
	It("are independent: a host that does not answer loses its oldest messages and delays no other", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0") // Never accepts a request.
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		payload := make([]byte, 1<<16)
		start := time.Now()
		for range 400 {
			senders.send(node.Send{To: "dead", Address: l.Addr().String(), Payload: payload})
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		address := receiver(0)
		senders.send(node.Send{To: "b1", Address: address, Payload: []byte("x")})
		Eventually(received.all, "1s").Should(HaveLen(1))
		dead := senders.byHost["dead"]
		dead.mu.Lock()
		defer dead.mu.Unlock()
		Expect(dead.bytes).To(BeNumerically("<=", peerQueueBytes))
		Expect(len(dead.queue)).To(BeNumerically(">", 100))
	})

	It("resume with a host that comes back at another address", func() {
		senders.send(node.Send{To: "b1", Address: freeAddress(), Payload: []byte("lost")})
		Eventually(func() bool { return !senders.busy() }, "2s").Should(BeTrue())
		address := receiver(0)
		Eventually(func() int {
			senders.send(node.Send{To: "b1", Address: address, Payload: []byte("x")})
			return len(received.all())
		}, "3s", "50ms").ShouldNot(BeZero())
	})

	// Guards against messages that are delayed after a network partition. HTTP/2 keeps a connection open after a
	// request has timed out, and messages on it would wait for the next retransmission of TCP, long after the partition
	// has healed.
	It("replace a connection on which the host no longer answers", func() {
		address := receiver(0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		var connections atomic.Int64
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if connections.Add(1) == 1 {
					defer c.Close() // Open until the end, and never answered.
					continue
				}
				go relay(c, address)
			}
		}()
		senders.send(node.Send{To: "b1", Address: l.Addr().String(), Payload: []byte("lost")})
		Eventually(connections.Load, "1s").Should(BeNumerically("==", 1))
		Eventually(func() int {
			senders.send(node.Send{To: "b1", Address: l.Addr().String(), Payload: []byte("x")})
			return len(received.all())
		}, "3s", "50ms").ShouldNot(BeZero())
	})

	It("use HTTP/2, whose headers are small", func() {
		var version atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			version.Store(int64(r.ProtoMajor))
		}))
		server.Config.Protocols = protocols(true)
		server.Start()
		DeferCleanup(server.Close)
		senders.send(node.Send{To: "b1", Address: server.Listener.Addr().String(), Payload: []byte("x")})
		Eventually(version.Load, "1s").Should(BeNumerically("==", 2))
	})

	DescribeTable("accept only known hosts with a token", func(from, token string) {
		newSenders(from, token).send(node.Send{To: "b1", Address: receiver(0), Payload: []byte("x")})
		Eventually(requests.Load, "2s").Should(BeNumerically(">", 0))
		Consistently(received.all, "100ms").Should(BeEmpty())
	},
		Entry("unknown host", "x9", "peer-token"),
		Entry("wrong token", "a1", "wrong"),
		Entry("no token", "a1", ""),
	)
})

var _ = Describe("Calls to endpoints", func() {
	var done *inputRecorder
	var calls *endpointCaller

	BeforeEach(func() {
		done = &inputRecorder{}
		ctx, g := group()
		t := newTransport(nil, maxCallsPerAddress)
		DeferCleanup(t.CloseIdleConnections)
		calls = newEndpointCaller(ctx, g, newClient(t, "endpoint-token"), "http", done.push, newMetrics())
	})

	serve := func(h http.HandlerFunc) string {
		s := httptest.NewServer(h)
		DeferCleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}

	call := func(id uint64, address string, timeout time.Duration) bool {
		return calls.start(node.CallEndpoint{ID: id, Address: address, Timeout: timeout,
			Call: endpoint.Call{Op: endpoint.OpReserve, Epoch: 3, Attempt: "j/1"}})
	}

	result := func() node.CallDone {
		Eventually(done.all, "3s").Should(HaveLen(1))
		return done.all()[0].(node.CallDone)
	}

	DescribeTable("decode replies strictly", func(status int, body string, want *endpoint.Reply, cause string) {
		address := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != endpoint.PathReserve || r.Header.Get("Authorization") != "Bearer endpoint-token" {
				status = http.StatusTeapot
			}
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		})
		call(5, address, time.Second)
		got := result()
		Expect(got.ID).To(BeEquivalentTo(5))
		Expect(got.Reply).To(Equal(want))
		Expect(got.Cause).To(ContainSubstring(cause))
		Expect(got.Cause == "").To(Equal(want != nil))
	},
		Entry("granted", 200, `{"ok":true,"phase":"reserved"}`, &endpoint.Reply{OK: true, Phase: endpoint.PhaseReserved}, ""),
		Entry("refused", 409, `{"ok":false,"code":"stale_epoch"}`, &endpoint.Reply{Code: endpoint.CodeStaleEpoch}, ""),
		Entry("refused, yet ok", 409, `{"ok":true,"code":"stale_epoch"}`, &endpoint.Reply{Code: endpoint.CodeStaleEpoch}, ""),
		Entry("no code", 500, `{"ok":true}`, nil, "status 500 without a code"),
		Entry("no JSON", 502, `bad gateway`, nil, "status 502 without a code"),
		Entry("unknown field", 200, `{"ok":true,"okay":1}`, nil, "okay unknown field"),
		Entry("truncated", 200, `{"ok":tr`, nil, "the reply is not valid"),
		Entry("empty", 200, ``, nil, "the JSON ends too early"),
		Entry("too large", 200, `{"ok":true}`+strings.Repeat(" ", maxEndpointReplyBytes), nil, "too large"),
		Entry("redirect", 307, ``, nil, "status 307 without a code"),
	)

	It("end after their timeout when the endpoint hangs", func() {
		release := make(chan struct{})
		address := serve(func(http.ResponseWriter, *http.Request) { <-release })
		DeferCleanup(func() { close(release) })
		start := time.Now()
		call(1, address, 100*time.Millisecond)
		Expect(result().Cause).To(ContainSubstring("deadline exceeded"))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})

	// Guards against one hung endpoint that uses up the connections for all others.
	It("are bounded per address and overall, and a hung endpoint delays no other", func() {
		release := make(chan struct{})
		var inside atomic.Int64
		var exceeded atomic.Bool
		hung := serve(func(http.ResponseWriter, *http.Request) {
			if inside.Add(1) > maxCallsPerAddress {
				exceeded.Store(true)
			}
			<-release
			inside.Add(-1)
		})
		DeferCleanup(func() { close(release) })
		for i := range maxOpenCalls {
			Expect(call(uint64(i), hung, 10*time.Second)).To(BeTrue())
		}
		Expect(call(1, hung, time.Second)).To(BeFalse(), "too many calls wait")
		Eventually(inside.Load, "3s").Should(BeEquivalentTo(maxCallsPerAddress))
		calls.mu.Lock()
		calls.open -= 1 // Room for one more call.
		calls.mu.Unlock()
		other := serve(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"ok":true}`) })
		Expect(call(9999, other, time.Second)).To(BeTrue())
		Expect(result()).To(Equal(node.CallDone{ID: 9999, Reply: &endpoint.Reply{OK: true}}))
		Expect(exceeded.Load()).To(BeFalse())
	})
})

var _ = Describe("Listeners", func() {
	It("are shared by interfaces with the same address", func() {
		plan := planListeners(&Settings{PeerListen: "p", CallerListen: "x", OperatorListen: "x", EndpointListen: "p"})
		Expect(plan).To(HaveLen(2))
		Expect(plan[0].peers && plan[0].interfaces.Endpoints && !plan[0].interfaces.Operators).To(BeTrue())
		Expect(plan[1].interfaces.Callers && plan[1].interfaces.Operators && !plan[1].peers).To(BeTrue())
	})

	It("do not accept connections beyond the limit until one is closed", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := newLimitListener(inner, 1)
		accepted := make(chan net.Conn, 2)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					close(accepted)
					return
				}
				accepted <- c
			}
		}()
		for range 2 {
			c, err := net.Dial("tcp", inner.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer c.Close()
		}
		var first net.Conn
		Eventually(accepted).Should(Receive(&first))
		Consistently(accepted, "50ms").ShouldNot(Receive())
		Expect(first.Close()).To(Succeed())
		Eventually(accepted).Should(Receive())
		Expect(l.Close()).To(Succeed())
		Eventually(accepted).Should(BeClosed())
	})
})
