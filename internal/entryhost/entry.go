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
	// leaderFresh is how long the last word of the leader counts. The leader's lease is 0.6 s; one lost answer is allowed.
	leaderFresh = 1200 * time.Millisecond
	// attemptTimeout bounds one try of a request. A commit takes some 20 ms.
	attemptTimeout = 1200 * time.Millisecond
	// leaderWait is how long a request waits for a leader: as long as an election takes when nothing is lost.
	leaderWait = 600 * time.Millisecond
	retryPause = 50 * time.Millisecond
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
	s       Settings
	log     logr.Logger
	metrics *Metrics
	client  *http.Client

	mu       sync.Mutex
	clients  map[string]rpc.Domain
	known    []string
	leader   string
	heard    time.Time // When the leader last said that it leads.
	stopping bool
	ready    bool
	changed  chan struct{} // Closed when a leader becomes known.
}

// New returns a host.
func New(s Settings, m *Metrics, log logr.Logger) *Host {
	return &Host{
		s: s, log: log, metrics: m, client: rpc.NewClient(0), clients: map[string]rpc.Domain{},
		known: slices.Clone(s.Seeds), changed: make(chan struct{}),
	}
}

// SetSeeds takes changed settings over.
func (h *Host) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.s.Seeds = seeds
	h.learn(h.known)
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
	if leader == "" || !h.ask(ctx, leader) {
		h.askAll(ctx)
	}
	h.noteReadiness()
}

// askAll asks all known hosts at once.
func (h *Host) askAll(ctx context.Context) {
	h.mu.Lock()
	hosts := slices.Clone(h.known)
	h.mu.Unlock()
	var all sync.WaitGroup
	for _, host := range hosts {
		all.Go(func() { h.ask(ctx, host) })
	}
	all.Wait()
}

// ask asks a host whether it leads.
func (h *Host) ask(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	sent := time.Now()
	r, err := h.domain(host).Locate(ctx, &rpc.LocateRequest{})
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		if h.leader == host {
			h.leader = ""
			h.log.Info("leader_lost", "host", host, "cause", err.Error(), "silent_ms", time.Since(h.heard).Milliseconds())
		}
		return false
	}
	if !r.Leads {
		h.learn(append(slices.Clone(h.known), r.Hosts...))
		if h.leader == host {
			h.leader = ""
			h.log.Info("leader_lost", "host", host, "cause", "it no longer leads", "names", r.Leader)
		}
		return false
	}
	h.learn(r.Hosts)
	h.follow(host, sent)
	return true
}

// follow takes a leader over. Heard counts from when the question was sent.
func (h *Host) follow(host string, sent time.Time) {
	if h.leader != host {
		h.log.Info("leader_found", "host", host, "before", h.leader)
		h.leader = host
		close(h.changed)
		h.changed = make(chan struct{})
	}
	if sent.After(h.heard) {
		h.heard = sent
	}
}

// learn keeps the hosts that keep the state, and the seeds. The leader's word replaces what was known; that of other hosts,
// which may be out of date, adds to it.
func (h *Host) learn(hosts []string) {
	known := append(slices.Clone(h.s.Seeds), hosts...)
	slices.Sort(known)
	h.known = slices.Compact(known)
}

// Ready tells whether new callers should come here: a leader was heard lately, and no stop is planned.
func (h *Host) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.readyLocked()
}

func (h *Host) readyLocked() bool {
	return !h.stopping && h.leader != "" && time.Since(h.heard) < leaderFresh
}

func (h *Host) noteReadiness() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ready := h.readyLocked(); ready != h.ready {
		h.ready = ready
		h.log.Info("readiness_changed", "ready", ready, "leader", h.leader, "heard_ms", time.Since(h.heard).Milliseconds(),
			"stopping", h.stopping)
	}
}

// Stop makes the host report not ready. Calls are still answered.
func (h *Host) Stop() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.noteReadiness()
}

func (h *Host) domain(host string) rpc.Domain {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.clients[host]
	if c == nil {
		c = rpc.NewDomainProtobufClient("http://"+net.JoinHostPort(host, strconv.Itoa(h.s.PeerPort)), h.client)
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
	a, tries, leader := h.pass(ctx, in)
	if a.Verdict == service.Unavailable || a.Verdict == service.Overloaded {
		a.RetryAfter = max(a.RetryAfter, retryAfter+rand.N(retryAfter))
	}
	h.metrics.answered(req.Kind, a.Verdict, time.Since(began))
	h.log.Info("request", "request", req.Trace, "kind", req.Kind.String(), "verdict", a.Verdict.String(), "leader", leader,
		"tries", tries, "ms", time.Since(began).Milliseconds())
	return a
}

// pass tries until there is an answer, no leader, or no time. What may have been carried out is never called "not run".
func (h *Host) pass(ctx context.Context, in *rpc.CallRequest) (a service.Answer, tries int, leader string) {
	ambiguous := false
	for {
		leader = h.awaitLeader(ctx)
		if leader == "" {
			break
		}
		tries++
		a, certain := h.try(ctx, leader, in)
		if certain {
			if ambiguous && notRun(a.Verdict) && service.Kind(in.Kind) == service.Submit {
				a.Verdict = service.Unknown
			}
			return a, tries, leader
		}
		ambiguous = ambiguous || a.Verdict == service.Unknown
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
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

// try sends a request to a host. Certain is false if it has to be sent again.
func (h *Host) try(ctx context.Context, host string, in *rpc.CallRequest) (a service.Answer, certain bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	out, err := h.domain(host).Call(ctx, in)
	if err != nil {
		h.log.Info("request_not_passed_on", "request", in.Trace, "host", host, "cause", err.Error())
		h.distrust(host)
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

// distrust makes the next try look for the leader anew.
func (h *Host) distrust(host string) {
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
	deadline := time.Now().Add(leaderWait)
	for {
		h.mu.Lock()
		leader, changed, heard := h.leader, h.changed, h.heard
		h.mu.Unlock()
		if leader != "" || time.Since(heard) > leaderFresh+leaderWait {
			return leader
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ""
		case <-time.After(time.Until(deadline)):
			return ""
		}
	}
}
