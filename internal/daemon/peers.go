package daemon

import (
	"context"
	"crypto/x509"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
)

// Bounds of the traffic to one peer.
const (
	peerQueueMessages  = 2048
	peerQueueBytes     = 8 << 20
	peerBatchBytes     = 1 << 20     // A larger payload, which holds a snapshot, is a batch of its own.
	peerBodyBytes      = 64 << 20    // Largest request body accepted from a peer.
	peerTimeout        = time.Second // Timeout of a batch, plus the time for its size at minPeerBytesPerSec.
	minPeerBytesPerSec = 8 << 20     // Rate of the slowest connection that the timeout of a batch allows for.
	peerBackoffMin     = 50 * time.Millisecond
	peerBackoffMax     = 500 * time.Millisecond
	peerLogPeriod      = 10 * time.Second
	flushPollPeriod    = 5 * time.Millisecond
)

// peerSenders sends payloads to the other hosts. Each host has a goroutine and a queue of its own, so that one that is
// down or slow delays no other.
type peerSenders struct {
	from    string // Identifier of this host.
	connect func() *peerClient
	scheme  string
	log     logr.Logger
	metrics *metrics
	group   *errgroup.Group
	ctx     context.Context
	mu      sync.Mutex
	byHost  map[string]*peerSender
}

func newPeerSenders(ctx context.Context, g *errgroup.Group, from string, connect func() *peerClient, scheme string, log logr.Logger, m *metrics) *peerSenders {
	return &peerSenders{from: from, connect: connect, scheme: scheme, log: log, metrics: m, group: g, ctx: ctx, byHost: map[string]*peerSender{}}
}

// send queues a payload. Only the event loop calls it.
func (p *peerSenders) send(s node.Send) {
	p.mu.Lock()
	sender := p.byHost[s.To]
	if sender == nil {
		sender = &peerSender{parent: p, host: s.To, client: p.connect(), notEmpty: make(chan struct{}, 1)}
		p.byHost[s.To] = sender
		p.group.Go(func() error { sender.run(p.ctx); return nil })
	}
	p.mu.Unlock()
	sender.put(s)
}

// queueLengths returns the number of queued payloads by host.
func (p *peerSenders) queueLengths() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for host, s := range p.byHost {
		s.mu.Lock()
		out[host] = len(s.queue)
		s.mu.Unlock()
	}
	return out
}

// flush waits until no message for a reachable host is queued or being delivered, at most for limit.
func (p *peerSenders) flush(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && p.busy() {
		time.Sleep(flushPollPeriod)
	}
}

func (p *peerSenders) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byHost {
		if s.busy() {
			return true
		}
	}
	return false
}

// peerSender sends to one host.
type peerSender struct {
	parent     *peerSenders
	host       string
	client     *peerClient
	notEmpty   chan struct{} // Wakes run after a put.
	mu         sync.Mutex
	queue      [][]byte
	bytes      int // Total size of the queue.
	address    string
	sending    bool      // A batch is being delivered.
	down       bool      // The last batch failed.
	lastLogged time.Time // When a failure was last logged.
}

// busy reports whether messages wait, or are being delivered, while the host is reachable.
func (s *peerSender) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down && (s.sending || len(s.queue) > 0)
}

// put appends a payload. It drops the oldest ones while the queue exceeds its bounds, but never the new one.
func (s *peerSender) put(m node.Send) {
	s.mu.Lock()
	s.address = m.Address
	s.queue = append(s.queue, m.Payload)
	s.bytes += len(m.Payload)
	dropped := 0
	for len(s.queue) > 1 && (len(s.queue) > peerQueueMessages || s.bytes > peerQueueBytes) {
		s.bytes -= len(s.queue[0])
		s.queue[0] = nil
		s.queue = s.queue[1:]
		dropped++
	}
	s.mu.Unlock()
	s.parent.metrics.peerDropped(s.host, dropped)
	select {
	case s.notEmpty <- struct{}{}:
	default:
	}
}

// takeBatch removes the payloads of the next batch from the queue. It returns them with the address of the host and
// their total size.
func (s *peerSender) takeBatch() (address string, payloads [][]byte, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.queue) && (n == 0 || bytes+len(s.queue[n]) <= peerBatchBytes) {
		bytes += len(s.queue[n])
		n++
	}
	payloads = s.queue[:n:n]
	s.queue = s.queue[n:]
	s.bytes -= bytes
	s.sending = n > 0
	return s.address, payloads, bytes
}

// run delivers batches until ctx ends. A failed batch is dropped, and the next one waits for a backoff.
func (s *peerSender) run(ctx context.Context) {
	defer s.client.reset()
	backoff := peerBackoffMin
	for {
		address, payloads, bytes := s.takeBatch()
		if len(payloads) == 0 {
			if !pause(ctx, s.notEmpty, 0) {
				return
			}
			continue
		}
		err := s.deliver(ctx, address, payloads, bytes)
		s.report(err, len(payloads), bytes)
		if err == nil {
			backoff = peerBackoffMin
			continue
		}
		if !pause(ctx, nil, backoff) {
			return
		}
		backoff = min(2*backoff, peerBackoffMax)
	}
}

// pause waits for a signal, or for d when it is positive. It returns false when ctx ends.
func pause(ctx context.Context, signal <-chan struct{}, d time.Duration) bool {
	var timeout <-chan time.Time
	if d > 0 {
		timeout = time.After(d)
	}
	select {
	case <-ctx.Done():
		return false
	case <-signal:
	case <-timeout:
	}
	return true
}

func (s *peerSender) deliver(ctx context.Context, address string, payloads [][]byte, bytes int) error {
	timeout := peerTimeout + time.Duration(float64(bytes)/minPeerBytesPerSec*float64(time.Second))
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	client := rpc.NewPeerProtobufClient(s.parent.scheme+"://"+address, s.client.Client)
	_, err := client.Deliver(ctx, &rpc.Batch{From: s.parent.from, Payloads: payloads})
	if err != nil {
		s.client.reset()
	}
	return err
}

// report counts a batch. It logs when the host becomes unreachable or reachable again, and every peerLogPeriod while it
// stays unreachable.
func (s *peerSender) report(err error, payloads, bytes int) {
	s.parent.metrics.peerBatch(s.host, err == nil, payloads, bytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending = false
	if err == nil {
		if s.down {
			s.parent.log.Info("peer is reachable", "event", "peer_up", "peer", s.host)
		}
		s.down = false
		return
	}
	if !s.down || time.Since(s.lastLogged) > peerLogPeriod {
		s.lastLogged = time.Now()
		s.parent.log.Info("peer is not reachable", "event", "peer_down", "peer", s.host, "cause", err.Error())
	}
	s.down = true
}

// peerServer receives batches of the other hosts.
type peerServer struct {
	peerIPs map[string]string // By host identifier.
	push    func(context.Context, node.Input) error
	metrics *metrics
}

// Deliver implements rpc.Peer. It refuses a sender that is not in the settings, or whose certificate is for another
// address.
func (s *peerServer) Deliver(ctx context.Context, b *rpc.Batch) (*rpc.Receipt, error) {
	ip, isKnown := s.peerIPs[b.From]
	if !isKnown {
		return nil, twirp.NewError(twirp.PermissionDenied, "the sender is not in the settings of this host")
	}
	if leaf, given := ctx.Value(leafKey{}).(*x509.Certificate); given && leaf.VerifyHostname(ip) != nil {
		return nil, twirp.NewError(twirp.PermissionDenied, "the certificate is not the sender's")
	}
	for _, payload := range b.Payloads {
		if err := s.push(ctx, node.PeerMessage{From: b.From, Payload: payload}); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, "this host is overloaded or has stopped")
		}
	}
	s.metrics.peerReceived(b.From, len(b.Payloads))
	return &rpc.Receipt{}, nil
}

// leafKey is the context key of the verified certificate of a client. Deliver compares it with the sender that the
// batch names: the certificate must be for the address of that host, because an endpoint may hold a certificate of the
// same authority.
type leafKey struct{}

// peerAuthenticator serves rpc.Peer to clients that have a token of the peers, if there are any, and with mutualTLS a
// verified certificate.
type peerAuthenticator struct {
	inner     http.Handler
	tokens    tokens
	mutualTLS bool // Clients must have a certificate of the deployment's authority.
}

func newPeerAuthenticator(s *peerServer, t tokens, mutualTLS bool) *peerAuthenticator {
	return &peerAuthenticator{inner: rpc.NewPeerServer(s), tokens: t, mutualTLS: mutualTLS}
}

// ServeHTTP implements http.Handler.
func (p *peerAuthenticator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.mutualTLS && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0) {
		http.Error(w, "a client certificate is required", http.StatusUnauthorized)
		return
	}
	if p.mutualTLS {
		r = r.WithContext(context.WithValue(r.Context(), leafKey{}, r.TLS.VerifiedChains[0][0]))
	}
	if len(p.tokens) > 0 && !p.tokens.accepts(r.Header.Get("Authorization")) {
		http.Error(w, "missing or wrong token", http.StatusUnauthorized)
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, peerBodyBytes)
	p.inner.ServeHTTP(w, r)
}
