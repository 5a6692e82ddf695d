// Package entryhost is the shell of a host that takes calls of callers. It holds no state of the domain: it finds the
// leader, passes requests on to it, and answers at once when there is none.
package entryhost

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// Periods and limits of the search for the leader.
const (
	locateEvery   = 400 * time.Millisecond
	locateTimeout = 700 * time.Millisecond
	// leaderExpiry is how long the last word of the leader counts. The leader's lease is 0.6 s; one lost answer is allowed.
	leaderExpiry = 1200 * time.Millisecond
	// attemptTimeout bounds one try of a request. A commit takes some 20 ms.
	attemptTimeout = 1200 * time.Millisecond
	// leaderWaitLimit is how long a request waits for a leader: as long as an election takes when nothing is lost.
	leaderWaitLimit = 600 * time.Millisecond
	retryDelay      = 50 * time.Millisecond
	// retryAfter is the shortest time after which a refused caller should return; up to as much again is added, so that
	// callers do not return together. An election takes up to two seconds.
	retryAfter = time.Second
)

// Settings of a host.
type Settings struct {
	PeerPort int
	Seeds    []string // Addresses, without port, of hosts that keep the state.
}

// Host is a running entry host.
type Host struct {
	settings Settings
	log      logr.Logger
	metrics  *Metrics
	client   *http.Client

	mu            sync.Mutex
	clients       map[string]rpc.Domain
	knownHosts    []string
	leader        string
	leaderHeard   time.Time // When the leader last said that it leads.
	stopping      bool
	ready         bool
	leaderChanged chan struct{} // Closed when a leader becomes known.
}

// New returns a host.
func New(settings Settings, m *Metrics, log logr.Logger) *Host {
	return &Host{
		settings: settings, log: log, metrics: m, client: rpc.NewClient(0), clients: map[string]rpc.Domain{},
		knownHosts: slices.Clone(settings.Seeds), leaderChanged: make(chan struct{}),
	}
}

// SetSeeds takes changed settings over.
func (h *Host) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settings.Seeds = seeds
	h.setKnownHosts(h.knownHosts)
}

// Run follows the leader until ctx ends.
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

// locate asks the known leader, or all known hosts if it does not answer.
func (h *Host) locate(ctx context.Context) {
	h.mu.Lock()
	leader := h.leader
	h.mu.Unlock()
	if leader == "" || !h.probe(ctx, leader) {
		h.probeAll(ctx)
	}
	h.updateReadiness()
}

// probeAll asks all known hosts at once.
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

// probe asks a host whether it leads.
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
	return true
}

// setLeader takes a leader over. Heard counts from when the question was sent.
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

// setKnownHosts keeps the hosts that keep the state, and the seeds. The leader's word replaces what was known; that of other hosts,
// which may be out of date, adds to it.
func (h *Host) setKnownHosts(hosts []string) {
	knownHosts := append(slices.Clone(h.settings.Seeds), hosts...)
	slices.Sort(knownHosts)
	h.knownHosts = slices.Compact(knownHosts)
}

// Ready tells whether new callers should come here: a leader was heard lately, and no stop is planned.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.readyLocked()
}

func (h *Host) readyLocked() bool {
	return !h.stopping && h.leader != "" && time.Since(h.leaderHeard) < leaderExpiry
}

func (h *Host) updateReadiness() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ready := h.readyLocked(); ready != h.ready {
		h.ready = ready
		h.log.Info("readiness_changed", "ready", ready, "leader", h.leader, "heard_ms", time.Since(h.leaderHeard).Milliseconds(),
			"stopping", h.stopping)
	}
}

// Stop makes the host report not ready. Calls are still answered.
func (h *Host) Stop() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.updateReadiness()
}

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

// Answer passes a request on to the leader and returns its answer. The deadline of ctx is the caller's. A submission may
// be repeated, since a job is accepted once however often it is sent.
func (h *Host) Answer(ctx context.Context, req service.Request) service.Answer {
	began := time.Now()
	in := &rpc.CallRequest{Kind: uint32(req.Kind), Host: req.Host, Path: req.Path, Queue: req.Queue, Job: req.Job, Key: req.Key, Trace: req.Trace}
	if req.Document != nil {
		data, err := cbor.Marshal(req.Document)
		if err != nil {
			h.log.Error(err, "document_not_encoded", "request", req.Trace)
			return service.Answer{Verdict: service.Invalid}
		}
		in.Document = data
	}
	a, tries, leader := h.forward(ctx, in)
	if a.Verdict == service.Unavailable || a.Verdict == service.Overloaded {
		a.RetryAfter = max(a.RetryAfter, retryAfter+rand.N(retryAfter))
	}
	h.metrics.answered(req.Kind, a.Verdict, time.Since(began))
	h.log.Info("request", "request", req.Trace, "kind", req.Kind.String(), "verdict", a.Verdict.String(), "leader", leader,
		"tries", tries, "ms", time.Since(began).Milliseconds())
	return a
}

// forward tries until there is an answer, no leader, or no time. What may have been carried out is never called "not run".
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
			if ambiguous && notRun(a.Verdict) && service.Kind(in.Kind) == service.Submit {
				a.Verdict = service.Unknown
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

func notRun(v service.Verdict) bool { return v == service.Overloaded || v == service.Unavailable }

// sendTo sends a request to a host. Certain is false if it has to be sent again.
func (h *Host) sendTo(ctx context.Context, host string, in *rpc.CallRequest) (a service.Answer, certain bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	out, err := h.domain(host).Call(ctx, in)
	if err != nil {
		h.log.Info("request_not_passed_on", "request", in.Trace, "host", host, "cause", err.Error())
		h.dropLeader(host)
		return service.Answer{Verdict: service.Unknown}, false
	}
	a = service.Answer{
		Verdict: service.Verdict(out.Verdict), State: domain.JobState(out.State), Waiting: int(out.Waiting),
		RetryAfter: time.Duration(out.RetryAfterMs) * time.Millisecond,
	}
	switch a.Verdict {
	case service.NotLeader:
		h.redirect(host, out.Leader)
		return a, false
	case service.Unknown:
		return a, false
	}
	return a, true
}

// dropLeader makes the next try look for the leader anew.
func (h *Host) dropLeader(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leader == host {
		h.leader = ""
		h.log.Info("leader_lost", "host", host, "cause", "a request was not answered")
	}
}

// redirect follows the word of a host that does not lead. Whether the named host leads shows at the next try.
func (h *Host) redirect(from, to string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leader == from {
		h.leader = to
		h.log.Info("leader_moved", "from", from, "to", to)
	}
}

// awaitLeader returns the leader. It waits a moment for one, unless none has been heard for long.
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
