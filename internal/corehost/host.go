// Package corehost is the shell of a host that keeps the state of a scheduling domain: it drives the replicated log and
// its disk, exchanges messages with the other hosts, and, while it leads, carries the orders of the leader out.
package corehost

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/membership"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/suspend"
	"github.com/mustardwalk/mustardwalk/internal/wal"
)

// groupName is the name of the replicated log.
const groupName replica.GroupID = "domain"

// Settings of a host.
type Settings struct {
	Address    string // IP number of this host; identifies it among the hosts.
	Zone       string
	PeerPort   int // Same on all hosts.
	DataFolder string
	Founding   bool     // The deployment starts for the first time, with empty disks.
	Seeds      []string // Addresses, without port, of hosts to start from.
	Losses     int      // How many hosts with a disk may be lost at once.
	Dispatch   dispatch.Options
}

// WorkerCaller carries orders to workers out.
type WorkerCaller interface {
	Call(ctx context.Context, c dispatch.Call) dispatch.Reply
}

// ServiceCaller calls services outside the deployment.
type ServiceCaller interface {
	Advise(ctx context.Context, c dispatch.AdviceCall) dispatch.AdviceReply
	Upkeep(ctx context.Context, c dispatch.UpkeepCall) dispatch.UpkeepStatus
}

// Callers carry out what the leader orders outside the deployment.
type Callers struct {
	Workers  WorkerCaller
	Services ServiceCaller
}

// Timing of the replicated log. A lost leader is replaced within two seconds, so that reports and calls, which are
// repeated every second or two, find a new one at their first repetition.
var timing = replica.Timing{
	Heartbeat:   100 * time.Millisecond,
	Lease:       600 * time.Millisecond,
	ElectionMin: 800 * time.Millisecond,
	ElectionMax: 1400 * time.Millisecond,
}

// Periods of the shell.
const (
	tickEvery          = 25 * time.Millisecond // Several times per heartbeat.
	batchDelay         = 2 * time.Millisecond  // Events that come together are handled together.
	voterCheckInterval = 500 * time.Millisecond
	voterSilence       = 2500 * time.Millisecond // Silence after which another host may take a voter's place.
	snapshotEntries    = 3000
)

// Host is a running host.
type Host struct {
	settings Settings
	log      logr.Logger
	clock    *suspend.Clock
	outbound Callers
	metrics  *Metrics
	store    *store

	mu               sync.Mutex
	replica          *replica.Replica
	machine          *domain.Machine
	leader           *dispatch.Leader
	leaderTerm       uint64
	pendingProposals map[uint64]pendingProposal // By index of the log.
	lastVoterCheck   time.Duration
	knownHosts       []string // Hosts that keep the state, as far as known here.
	stopping         bool
	failed           error             // The state could not follow the log; the host must end.
	zones            map[string]string // By host; founding members do not know each other's.

	wakeup chan struct{}
	disk   *diskQueue
	peers  *peers
}

// pendingProposal is a proposal whose result somebody waits for.
type pendingProposal struct {
	term   uint64
	result chan proposalResult
}

type proposalResult struct {
	result    domain.Result
	committed bool // False: another entry took the place; the command is never applied.
}

// Open reads the data folder and builds the host. Run must be called next.
func Open(settings Settings, outbound Callers, m *Metrics, log logr.Logger) (*Host, error) {
	file, state, err := wal.Open(settings.DataFolder)
	if err != nil {
		return nil, eris.Wrap(err, "opening the data folder")
	}
	h := &Host{
		settings: settings, log: log, clock: suspend.New(), outbound: outbound, metrics: m, store: newStore(settings.DataFolder, file, log),
		machine: domain.New(), pendingProposals: map[uint64]pendingProposal{}, zones: map[string]string{settings.Address: settings.Zone}, wakeup: make(chan struct{}, 1), disk: newDiskQueue(),
	}
	m.registerGauges(h)
	h.settings.Dispatch.Observer = m
	h.settings.Dispatch.Log = func(event string, kv ...any) { log.Info(event, kv...) }
	incarnation := state.Incarnation
	if incarnation == 0 {
		if incarnation, err = h.assignIncarnation(file); err != nil {
			return nil, errors.Join(err, file.Close())
		}
	}
	founding := replica.Config{}
	for _, seed := range settings.Seeds {
		founding.Voters = append(founding.Voters, replica.Member{Host: seed, Incarnation: replica.FoundingIncarnation, Disk: true})
	}
	self := replica.Member{Host: settings.Address, Incarnation: incarnation, Disk: true, Zone: settings.Zone}
	h.replica = replica.New(replica.Options{
		Group: groupName, Self: self, Founding: founding, Desired: founding.Voters, Contacts: settings.Seeds, Timing: timing,
		SnapshotEntries: snapshotEntries, Random: rand.Int64N,
	}, state.Groups[groupName], h.clock.Now())
	h.peers = newPeers(settings.PeerPort, settings.Address, log)
	h.updateKnownHosts(h.replica.Status().Config, nil)
	log.Info("state_opened", "incarnation", incarnation, "founding", settings.Founding, "last_index", h.replica.Status().LastIndex,
		"seeds", settings.Seeds)
	return h, nil
}

// assignIncarnation draws the incarnation of an empty folder. Only the hosts that the deployment starts from are founding members:
// a disk that was lost later must not pass for one that never held anything.
func (h *Host) assignIncarnation(file *wal.Log) (uint64, error) {
	incarnation := rand.Uint64() | 2
	if h.settings.Founding && slices.Contains(h.settings.Seeds, h.settings.Address) {
		incarnation = replica.FoundingIncarnation
	}
	return incarnation, eris.Wrap(file.Begin(incarnation), "writing the incarnation")
}

// Run drives the host until ctx ends, and returns early if the disk fails.
func (h *Host) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.runLoop(ctx) })
	g.Go(func() error { return h.writeRecords(ctx) })
	g.Go(func() error { return h.discoverHosts(ctx) })
	err := g.Wait()
	h.peers.close()
	if closed := h.store.close(); err == nil || errors.Is(err, context.Canceled) {
		err = closed
	}
	return err
}

// now reads both clocks.
func (h *Host) now() dispatch.Time {
	return dispatch.Time{Mono: h.clock.Now(), WallMS: time.Now().UnixMilli()}
}

// wake makes the driving goroutine look for work.
func (h *Host) wake() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

func (h *Host) runLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-h.wakeup:
			time.Sleep(batchDelay)
		}
		if err := h.step(); err != nil {
			return err
		}
	}
}

// step advances the log and, on the leader, the orders.
func (h *Host) step() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failed != nil {
		return h.failed
	}
	now := h.now()
	h.replica.Tick(now.Mono)
	if err := h.processOutput(now); err != nil {
		return err
	}
	h.runLeader(now)
	if err := h.processOutput(now); err != nil {
		return err
	}
	return h.compact()
}

// fail makes the driving goroutine end the host.
func (h *Host) fail(err error) {
	h.failed = err
	h.wake()
}

// runLeader gives the orders of a leader, as long as its lease holds.
func (h *Host) runLeader(now dispatch.Time) {
	h.checkLeadership(now)
	if h.leader == nil || h.stopping || !h.replica.Leads(now.Mono) {
		return
	}
	h.adjustVoters(now)
	began := time.Now()
	out := h.leader.Tick(now)
	h.metrics.ticks.Observe(time.Since(began).Seconds())
	for _, c := range out.Commands {
		if _, _, ok := h.replica.Propose(now.Mono, c.Encode()); !ok {
			h.restartLeadership()
			return
		}
	}
	for _, c := range out.Calls {
		go h.callWorker(c)
	}
	for _, c := range out.Advice {
		go h.askAdvice(c, h.leaderTerm)
	}
	for _, c := range out.Upkeeps {
		go h.orderUpkeep(c)
	}
}

// checkLeadership begins a leadership once this host leads under a lease with all entries applied, and ends it with the
// term.
func (h *Host) checkLeadership(now dispatch.Time) {
	st := h.replica.Role()
	if h.leader != nil && (st != replica.Leader || h.replica.Term() != h.leaderTerm || h.leader.Deposed()) {
		h.log.Info("leadership_ended", "term", h.leaderTerm, "new_term", h.replica.Term(), "deposed_by_worker", h.leader.Deposed())
		h.leader = nil
		h.dropPendingProposals()
	}
	if h.leader == nil && st == replica.Leader && h.replica.Leads(now.Mono) && h.leaderTerm != h.replica.Term() {
		h.leaderTerm = h.replica.Term()
		o := h.settings.Dispatch
		o.Fence = h.leaderTerm
		h.leader = dispatch.New(h.machine, o, now)
		h.metrics.leaderships.Inc()
		h.log.Info("leadership_began", "term", h.leaderTerm, "index", h.replica.Commit(), "open_jobs", len(h.machine.Open()),
			"workers", len(h.machine.Workers()))
	}
}

// restartLeadership gives up what the leader holds in memory, since it waits for commands that were not taken. It begins
// anew from the applied state once the log takes commands again.
func (h *Host) restartLeadership() {
	h.log.Info("proposal_refused", "term", h.leaderTerm)
	h.leader, h.leaderTerm = nil, 0
	h.dropPendingProposals()
}

// dropPendingProposals tells those who wait that the result is not known.
func (h *Host) dropPendingProposals() {
	for index, w := range h.pendingProposals {
		close(w.result)
		delete(h.pendingProposals, index)
	}
}

// callWorker carries one order out and passes the answer on.
func (h *Host) callWorker(c dispatch.Call) {
	reply := h.outbound.Workers.Call(context.Background(), c)
	h.metrics.workerCall(c.Kind, reply.Status)
	h.mu.Lock()
	if h.leader != nil && h.leaderTerm == c.Fence {
		h.leader.Reply(h.now(), c.ID, reply)
	}
	h.mu.Unlock()
	h.wake()
}

// askAdvice carries a call for advice out and passes the answer on, unless another leadership has begun.
func (h *Host) askAdvice(c dispatch.AdviceCall, term uint64) {
	reply := h.outbound.Services.Advise(context.Background(), c)
	h.mu.Lock()
	if h.leader != nil && h.leaderTerm == term {
		h.leader.Advised(h.now(), c.ID, reply)
	}
	h.mu.Unlock()
	h.wake()
}

// orderUpkeep carries an order for a machine out and passes the answer on.
func (h *Host) orderUpkeep(c dispatch.UpkeepCall) {
	status := h.outbound.Services.Upkeep(context.Background(), c)
	h.mu.Lock()
	if h.leader != nil && h.leaderTerm == c.Fence {
		h.leader.UpkeepReply(h.now(), c, status)
	}
	h.mu.Unlock()
	h.wake()
}

// adjustVoters adjusts the voters to the hosts that are there.
func (h *Host) adjustVoters(now dispatch.Time) {
	if now.Mono-h.lastVoterCheck < voterCheckInterval {
		return
	}
	h.lastVoterCheck = now.Mono
	st := h.replica.Status()
	voters := slices.Clone(st.Config.Voters)
	for i := range voters {
		voters[i].Zone = h.zones[voters[i].Host]
	}
	v := membership.View{
		Self: h.settings.Address, Voters: voters, Observers: h.replica.Observers(),
		Silent: h.replica.SilentVoters(voterSilence), Target: membership.Target(h.settings.Losses),
	}
	desired := membership.Desired(v)
	h.replica.SetDesired(desired)
	h.updateKnownHosts(st.Config, v.Observers)
}

// hostsOf names the voters of a configuration.
func hostsOf(c replica.Config) []string {
	var out []string
	for _, v := range c.Voters {
		out = append(out, v.Host)
	}
	return out
}

// updateKnownHosts keeps the addresses of the hosts, because the seeds of the settings may all be gone one day.
func (h *Host) updateKnownHosts(c replica.Config, observers []replica.ObserverView) {
	known := slices.Clone(h.settings.Seeds)
	for _, m := range c.Voters {
		known = append(known, m.Host)
	}
	for _, o := range observers {
		known = append(known, o.Member.Host)
	}
	h.setKnownHosts(known)
}

func (h *Host) setKnownHosts(knownHosts []string) {
	slices.Sort(knownHosts)
	knownHosts = slices.Compact(knownHosts)
	if !slices.Equal(knownHosts, h.knownHosts) {
		h.log.Info("known_hosts_changed", "hosts", knownHosts)
	}
	h.knownHosts = knownHosts
	h.replica.SetContacts(knownHosts)
}

// SetSeeds takes changed settings over.
func (h *Host) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settings.Seeds = seeds
	h.updateKnownHosts(h.replica.Status().Config, h.replica.Observers())
}

// peerAddress returns where a host listens for the other hosts.
func peerAddress(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
