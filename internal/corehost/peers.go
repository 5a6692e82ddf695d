package corehost

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
)

// Limits of the message exchange with another host.
const (
	// peerQueue is how many messages are queued for one host at most. A full queue drops its older half; the log resends.
	peerQueue   = 256
	peerTimeout = 1500 * time.Millisecond // A batch without a receipt by then is lost, and its connection closed.
)

// peers sends messages to the other core hosts, one batch at a time, over one connection each.
type peers struct {
	port   int
	self   string
	log    logr.Logger
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	senders map[string]*sender
}

// sender holds the queue of messages to one host.
type sender struct {
	mu          sync.Mutex
	queue       []replica.Message
	notify      chan struct{}
	unreachable bool // The last batch was not delivered.
}

func newPeers(port int, self string, log logr.Logger) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	return &peers{
		port: port, self: self, log: log, client: rpc.NewHTTPClient(peerTimeout), ctx: ctx, cancel: cancel,
		senders: map[string]*sender{},
	}
}

func (p *peers) close() { p.cancel() }

// send queues messages to their hosts. It does not wait for their delivery.
func (p *peers) send(messages []replica.Message) {
	for _, m := range messages {
		s := p.sender(m.To)
		s.mu.Lock()
		if len(s.queue) >= peerQueue {
			s.queue = slices.Delete(s.queue, 0, peerQueue/2)
		}
		s.queue = append(s.queue, m)
		s.mu.Unlock()
		select {
		case s.notify <- struct{}{}:
		default:
		}
	}
}

// sender returns the sender to a host, and starts it if there is none.
func (p *peers) sender(host string) *sender {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.senders[host]
	if s == nil {
		s = &sender{notify: make(chan struct{}, 1)}
		p.senders[host] = s
		go p.run(host, s)
	}
	return s
}

// run delivers the queued messages to a host in batches, until the peers are closed.
func (p *peers) run(host string, s *sender) {
	client := rpc.NewPeerProtobufClient("http://"+peerAddress(host, p.port), p.client)
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-s.notify:
		}
		s.mu.Lock()
		batch := s.queue
		s.queue = nil
		s.mu.Unlock()
		if len(batch) > 0 {
			p.deliver(client, host, s, batch)
		}
	}
}

// deliver sends a batch, and logs when the host becomes unreachable or reachable again.
func (p *peers) deliver(client rpc.Peer, host string, s *sender, batch []replica.Message) {
	b := &rpc.Batch{From: p.self}
	for i := range batch {
		data, err := cbor.Marshal(&batch[i])
		if err != nil {
			p.log.Error(err, "peer_message_not_encoded", "to", host)
			continue
		}
		b.Payloads = append(b.Payloads, data)
	}
	ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
	defer cancel()
	_, err := client.Deliver(ctx, b)
	if (err != nil) == s.unreachable || p.ctx.Err() != nil {
		return
	}
	s.unreachable = err != nil
	if s.unreachable {
		p.log.Info("peer_lost", "host", host, "cause", err.Error())
	} else {
		p.log.Info("peer_regained", "host", host)
	}
}

// stepReplica passes a message to the replica. After a panic in it, from which the server of a call recovers, the replica may
// be half changed, so the host must end.
func (h *Host) stepReplica(now dispatch.Time, m replica.Message) {
	done := false
	defer func() {
		if !done {
			h.fail(errOutputLost)
		}
	}()
	h.replica.Step(now.Mono, m)
	done = true
}

// Deliver implements rpc.Peer: it receives messages of another host.
func (h *Host) Deliver(_ context.Context, b *rpc.Batch) (*rpc.Receipt, error) {
	if len(b.Payloads) > peerQueue {
		return nil, twirp.InvalidArgumentError("payloads", "more than a host queues")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	unreadable := 0
	for _, payload := range b.Payloads {
		var m replica.Message
		if err := cbor.Unmarshal(payload, &m); err != nil {
			if unreadable++; unreadable == 1 { // One line for a batch.
				h.log.Info("peer_message_unreadable", "from", b.From, "messages", len(b.Payloads), "cause", err.Error())
			}
			continue
		}
		if m.From.Zone != "" {
			h.zones[m.From.Host] = m.From.Zone
		}
		if h.readSnapshot(m) {
			h.stepReplica(now, m)
		}
	}
	defer func() { h.received = nil }()
	if err := h.processOutput(now); err != nil {
		return nil, err
	}
	h.wake()
	return &rpc.Receipt{}, nil
}
