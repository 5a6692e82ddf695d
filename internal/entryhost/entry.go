// Package entryhost runs an entry host, which takes requests of callers. It stores no state of the domain: it locates
// the leader among the core hosts and forwards requests to it. Without a leader, a request waits for a short time, or
// is answered at once if there has been no leader for longer.
package entryhost

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// Intervals and limits of locating the leader and of forwarding requests.
const (
	locateEvery   = 400 * time.Millisecond
	locateTimeout = 700 * time.Millisecond
	// leaderExpiry is how long a host counts as the leader after it has last confirmed that it leads. It allows for one
	// lost answer; the leader lease is 0.6 s.
	leaderExpiry = 1200 * time.Millisecond
	// attemptTimeout bounds one attempt to forward a request. A commit takes about 20 ms.
	attemptTimeout = 1200 * time.Millisecond
	// leaderWaitLimit is how long a request waits for a leader: the time of an election in which no message is lost.
	leaderWaitLimit = 600 * time.Millisecond
	retryDelay      = 50 * time.Millisecond // Pause between two attempts to forward a request.
	// retryAfter is the shortest time after which a rejected caller should retry. A random time up to the same length
	// is added, so that callers do not all retry at once. An election takes up to two seconds.
	retryAfter = time.Second
)

// Settings are the settings of an entry host.
type Settings struct {
	PeerPort int      // Port at which the core hosts serve calls of other hosts.
	Seeds    []string // Addresses, without port, of the core hosts to contact first.
}

// Host is an entry host.
type Host struct {
	settings Settings
	log      logr.Logger
	metrics  *Metrics
	client   *http.Client

	mu            sync.Mutex
	clients       map[string]rpc.Domain
	knownHosts    []string
	leader        string
	leaderHeard   time.Time // When the last probe was sent that a host answered as the leader.
	epoch         uint64    // Newest retention epoch that a leader has named, 0 if none has.
	stopping      bool
	ready         bool          // As logged last.
	leaderChanged chan struct{} // Closed and replaced when another host becomes known as the leader.
}

// New returns a host. Run must be called next.
func New(settings Settings, m *Metrics, log logr.Logger) *Host {
	return &Host{
		settings: settings, log: log, metrics: m, client: rpc.NewHTTPClient(0), clients: map[string]rpc.Domain{},
		knownHosts: slices.Clone(settings.Seeds), leaderChanged: make(chan struct{}),
	}
}

// SetSeeds replaces the seeds after the settings have changed.
func (h *Host) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settings.Seeds = seeds
	h.setKnownHosts(h.knownHosts)
}

// Run locates the leader periodically until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	ticker := time.NewTicker(locateEvery)
	defer ticker.Stop()
	for {
		h.locate(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// locate asks the known leader whether it still leads. If it does not confirm that, or is not known, locate asks all
// known core hosts.
func (h *Host) locate(ctx context.Context) {
	h.mu.Lock()
	leader := h.leader
	h.mu.Unlock()
	if leader == "" || !h.probe(ctx, leader) {
		h.probeAll(ctx)
	}
	h.updateReadiness()
}

// probeAll asks all known core hosts in parallel whether they lead.
func (h *Host) probeAll(ctx context.Context) {
	h.mu.Lock()
	hosts := slices.Clone(h.knownHosts)
	h.mu.Unlock()
	var all sync.WaitGroup
	for _, host := range hosts {
		all.Go(func() { h.probe(ctx, host) })
	}
	all.Wait()
}

// probe asks a core host whether it leads. It returns true, and takes the host as the leader, if the host confirms
// that.
func (h *Host) probe(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	sent := time.Now()
	r, err := h.domain(host).Locate(ctx, &rpc.LocateRequest{})
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		if h.leader == host {
			h.leader = ""
			h.log.Info("leader_lost", "host", host, "cause", err.Error(), "silent_ms", time.Since(h.leaderHeard).Milliseconds())
		}
		return false
	}
	if !r.Leads {
		h.setKnownHosts(append(slices.Clone(h.knownHosts), r.Hosts...))
		if h.leader == host {
			h.leader = ""
			h.log.Info("leader_lost", "host", host, "cause", "it no longer leads", "names", r.Leader)
		}
		return false
	}
	h.setKnownHosts(r.Hosts)
	h.setLeader(host, sent)
	h.epoch = max(h.epoch, r.RetentionEpoch)
	return true
}

// setLeader takes a host as the leader. Its confirmation counts from when the probe was sent, not from when its
// answer arrived.
func (h *Host) setLeader(host string, sent time.Time) {
	if h.leader != host {
		h.log.Info("leader_found", "host", host, "before", h.leader)
		h.leader = host
		close(h.leaderChanged)
		h.leaderChanged = make(chan struct{})
	}
	if sent.After(h.leaderHeard) {
		h.leaderHeard = sent
	}
}

// setKnownHosts sets the known core hosts to the given ones and the seeds. Callers replace the known hosts by those
// that the leader names, and only add those that other hosts name, because these may be out of date.
func (h *Host) setKnownHosts(hosts []string) {
	knownHosts := append(slices.Clone(h.settings.Seeds), hosts...)
	slices.Sort(knownHosts)
	h.knownHosts = slices.Compact(knownHosts)
}

// Ready reports whether new callers should be sent to this host: a host has lately confirmed that it leads, and no
// planned stop has begun.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.readyLocked()
}

// readyLocked is Ready for callers that hold h.mu.
func (h *Host) readyLocked() bool {
	return !h.stopping && h.leader != "" && time.Since(h.leaderHeard) < leaderExpiry
}

// updateReadiness logs changes of the readiness.
func (h *Host) updateReadiness() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ready := h.readyLocked(); ready != h.ready {
		h.ready = ready
		h.log.Info("readiness_changed", "ready", ready, "leader", h.leader, "heard_ms", time.Since(h.leaderHeard).Milliseconds(),
			"stopping", h.stopping)
	}
}

// PrepareStop begins a planned stop: the host is no longer ready. Requests are still answered.
func (h *Host) PrepareStop() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.updateReadiness()
}

// domain returns the client for the service rpc.Domain of a core host.
func (h *Host) domain(host string) rpc.Domain {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.clients[host]
	if c == nil {
		c = rpc.NewDomainProtobufClient("http://"+net.JoinHostPort(host, strconv.Itoa(h.settings.PeerPort)), h.client)
		h.clients[host] = c
	}
	return c
}

// Answer forwards a request to the leader and returns the leader's answer. The deadline of ctx is the caller's.
// Submissions are repeated like other requests, because they are idempotent: a job is accepted only once.
func (h *Host) Answer(ctx context.Context, req service.Request) service.Answer {
	began := time.Now()
	// Callers may send any bytes as a key or an identifier; messages between hosts hold valid UTF-8 only. No configuration has
	// a key of other bytes, so that such a caller has none.
	key, requestID := req.Key, strings.ToValidUTF8(req.RequestID, "\uFFFD")
	if !utf8.ValidString(key) {
		key = ""
	}
	in := &rpc.CallRequest{
		Kind: uint32(req.Kind), Host: req.Host, Path: req.Path, Queue: req.Queue, Job: req.Job, Key: key, Trace: requestID,
		RetentionEpoch: h.retentionEpoch(),
	}
	if req.Document != nil {
		data, err := cbor.Marshal(req.Document)
		if err != nil {
			h.log.Error(err, "document_not_encoded", "request", req.RequestID)
			return service.Answer{Verdict: service.Invalid}
		}
		in.Document = data
	}
	a, tries, leader := service.Answer{Verdict: service.Invalid}, 0, ""
	if req.Readable() {
		a, tries, leader = h.forward(ctx, in)
	}
	if a.Verdict == service.Unavailable || a.Verdict == service.Overloaded {
		a.RetryAfter = max(a.RetryAfter, retryAfter+rand.N(retryAfter))
	}
	h.metrics.answered(req.Kind, a.Verdict, time.Since(began))
	h.log.Info("request", "request", req.RequestID, "kind", req.Kind.String(), "verdict", a.Verdict.String(), "leader", leader,
		"tries", tries, "ms", time.Since(began).Milliseconds())
	return a
}

// retentionEpoch returns the newest retention epoch that a leader has named. A submission must get it when it is received, and
// keep it when it is repeated: the leader refuses it once what has become of its job since then may have been forgotten.
func (h *Host) retentionEpoch() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch
}

// forward sends a request to the leader, repeatedly if needed, until there is a final answer, no leader is found, or
// ctx ends. A submission that may have been executed in an earlier attempt is never answered with a verdict that means
// "not run".
func (h *Host) forward(ctx context.Context, in *rpc.CallRequest) (a service.Answer, tries int, leader string) {
	ambiguous := false
	for {
		leader = h.awaitLeader(ctx)
		if leader == "" {
			break
		}
		tries++
		a, certain := h.sendTo(ctx, leader, in)
		if certain {
			if ambiguous && a.Verdict != service.Accepted && service.RequestKind(in.Kind) == service.Submit {
				a.Verdict = service.Unknown // Whatever the answer says of this attempt, an earlier one may have been executed.
			}
			return a, tries, leader
		}
		ambiguous = ambiguous || a.Verdict == service.Unknown
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
		if ctx.Err() != nil {
			break
		}
	}
	if ambiguous {
		return service.Answer{Verdict: service.Unknown}, tries, leader
	}
	return service.Answer{Verdict: service.Unavailable}, tries, leader
}

// sendTo sends a request to a host. Certain is false if there is no final answer, so that the request must be sent
// again.
func (h *Host) sendTo(ctx context.Context, host string, in *rpc.CallRequest) (a service.Answer, certain bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	sent := time.Now()
	out, err := h.domain(host).Call(ctx, in)
	if err != nil {
		h.log.Info("request_not_passed_on", "request", in.Trace, "host", host, "cause", err.Error())
		h.dropLeader(host, sent)
		return service.Answer{Verdict: service.Unknown}, false
	}
	a = service.Answer{
		Verdict: service.Verdict(out.Verdict), State: domain.JobState(out.State), Waiting: int(out.Waiting),
		RetryAfter: time.Duration(out.RetryAfterMs) * time.Millisecond,
	}
	switch a.Verdict {
	case service.NotLeader:
		h.redirect(host, out.Leader, sent)
		return a, false
	case service.Unknown:
		return a, false
	}
	return a, true
}

// dropLeader forgets the leader if it is the given host, so that it is located again. It keeps a leader that has confirmed
// that it leads since the failed request was sent: else each request that was under way in an outage would end the
// readiness once more after it.
func (h *Host) dropLeader(host string, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leader == host && !h.leaderHeard.After(sent) {
		h.leader = ""
		h.log.Info("leader_lost", "host", host, "cause", "a request was not answered")
	}
}

// redirect replaces the leader by the host that the former leader names, unless the former leader has confirmed that it
// leads since the request was sent. The next attempt shows whether that host leads.
func (h *Host) redirect(from, to string, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leader == from && !h.leaderHeard.After(sent) {
		h.leader = to
		h.log.Info("leader_moved", "from", from, "to", to)
	}
}

// awaitLeader returns the leader, or an empty string if there is none. If the leader was lost a short time ago, it
// waits up to leaderWaitLimit for a new one.
func (h *Host) awaitLeader(ctx context.Context) string {
	deadline := time.Now().Add(leaderWaitLimit)
	for {
		h.mu.Lock()
		leader, leaderChanged, leaderHeard := h.leader, h.leaderChanged, h.leaderHeard
		h.mu.Unlock()
		if leader != "" || time.Since(leaderHeard) > leaderExpiry+leaderWaitLimit {
			return leader
		}
		select {
		case <-leaderChanged:
		case <-ctx.Done():
			return ""
		case <-time.After(time.Until(deadline)):
			return ""
		}
	}
}
