// Package corehost runs a core host, which stores a replica of the state of a scheduling domain. It does the I/O around
// the replicated log (package replica) and the leader's decisions (package dispatch): it writes the log to disk,
// exchanges messages with the other core hosts, serves calls, and, while it leads, makes the calls that the leader
// decides on.
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
	"golang.org/x/time/rate"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/membership"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/suspend"
	"github.com/mustardwalk/mustardwalk/internal/wal"
)

// groupName names the replicated log.
const groupName replica.GroupID = "domain"

// Settings are the settings of a core host.
type Settings struct {
	Address        string // IP address of this host; identifies it among the core hosts.
	Zone           string
	PeerPort       int // Port for calls between hosts; the same on all hosts.
	DataFolder     string
	Founding       bool     // The deployment is started for the first time, with empty disks.
	Seeds          []string // Addresses, without port, of core hosts to contact first; when founding, the first voters.
	FaultTolerance int      // How many core hosts with a disk may be lost at once.
	Dispatch       dispatch.Options
	// JobBytes is how many bytes the stored jobs may take, 0 for any number. Further jobs are refused for the time being. A
	// snapshot of them is several times in memory while it is written.
	JobBytes int
}

// WorkerClient makes calls to workers.
type WorkerClient interface {
	Call(ctx context.Context, c dispatch.Call) dispatch.Reply
}

// ServiceClient makes calls to services outside the deployment.
type ServiceClient interface {
	Advise(ctx context.Context, c dispatch.AdviceCall) dispatch.AdviceReply
	Upkeep(ctx context.Context, c dispatch.UpkeepCall) dispatch.UpkeepStatus
}

// Clients holds the clients for the calls that the leader makes to workers and to outside services.
type Clients struct {
	Workers  WorkerClient
	Services ServiceClient
}

// timing is the timing of the replicated log. A failed leader is replaced within two seconds, so that workers' reports
// and calls, which are repeated every second or two, reach the new leader at their first repetition.
var timing = replica.Timing{
	Heartbeat:   100 * time.Millisecond,
	Lease:       600 * time.Millisecond,
	ElectionMin: 800 * time.Millisecond,
	ElectionMax: 1400 * time.Millisecond,
}

// Intervals and limits of the run loop.
const (
	tickEvery          = 25 * time.Millisecond // Several ticks in each heartbeat interval of the log.
	batchDelay         = 2 * time.Millisecond  // Events that arrive together are handled in one step.
	voterCheckInterval = 500 * time.Millisecond
	voterSilence       = 2500 * time.Millisecond // Silence after which a voter may be replaced.
	snapshotEntries    = 3000                    // Applied entries after which the log is compacted.
	snapshotBytes      = 16 << 20                // The same by their size: an eighth of the smallest disk (128 MB).
)

// Host is a core host. It implements the services Peer and Domain of package rpc.
type Host struct {
	settings Settings
	log      logr.Logger
	clock    *suspend.Clock
	outbound Clients
	metrics  *Metrics
	store    *store

	mu           sync.Mutex
	replica      *replica.Replica
	stateMachine *domain.StateMachine
	leader       *dispatch.Leader
	previews     previewGate
	// leaderTerm is the term of the last leadership that began here. restartLeadership sets it to 0, so that another
	// leadership may begin in the same term.
	leaderTerm uint64
	// appliedBefore has the ends and cancels that were applied since this host was elected, before its leadership began.
	appliedBefore    []*domain.Command
	pendingProposals map[uint64]pendingProposal // By log index.
	lastVoterCheck   time.Duration
	knownHosts       []string // Addresses of the core hosts that are known here.
	stopping         bool
	jobsWereFull     bool
	// registrationsFull tells whether the last change of a registration found no room, see maxRegistrations.
	registrationsFull bool
	contradictions    *rate.Limiter     // Of log lines about reports that a registered worker contradicts.
	received          *receivedState    // Of a snapshot in the messages that are handled just now, else nil.
	failed            error             // An output of the replica was not executed in full; the host must exit.
	zones             map[string]string // Zones by host; the founding configuration does not name them.

	wakeup chan struct{}
	disk   *diskQueue
	peers  *peers
}

// pendingProposal is a proposal whose result a call waits for.
type pendingProposal struct {
	term   uint64
	result chan proposalResult
	job    domain.JobID // Submissions: the job.
	// What the state will grow by once it is applied. Proposals with the same record let it grow once.
	record            string
	jobBytes          int
	registrationBytes int
}

type proposalResult struct {
	applied bool          // False: another entry was committed at the index, or the entry could not be decoded.
	effect  domain.Result // Of an applied command.
}

// Open reads the data folder and returns the host. Run must be called next.
func Open(settings Settings, outbound Clients, m *Metrics, log logr.Logger) (*Host, error) {
	file, state, err := wal.Open(settings.DataFolder)
	if err != nil {
		return nil, eris.Wrap(err, "opening the data folder")
	}
	h := &Host{
		settings: settings, log: log, clock: suspend.New(), outbound: outbound, metrics: m, store: newStore(settings.DataFolder, file, log),
		stateMachine: domain.New(), pendingProposals: map[uint64]pendingProposal{}, zones: map[string]string{settings.Address: settings.Zone}, wakeup: make(chan struct{}, 1), disk: newDiskQueue(),
		contradictions: rate.NewLimiter(rate.Every(contradictionLogInterval), 5),
	}
	m.registerGauges(h)
	h.settings.Dispatch.Observer = m
	h.settings.Dispatch.Stopwatch = h.clock.Now
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
		Group: groupName, Self: self, Founding: founding, DesiredVoters: founding.Voters, Contacts: settings.Seeds, Timing: timing,
		SnapshotEntries: snapshotEntries, SnapshotBytes: snapshotBytes, Random: rand.Int64N,
	}, state.Groups[groupName], h.clock.Now())
	h.peers = newPeers(settings.PeerPort, settings.Address, log)
	h.updateKnownHosts(h.replica.Status().Config, nil)
	log.Info("state_opened", "incarnation", incarnation, "founding", settings.Founding, "last_index", h.replica.Status().LastIndex,
		"seeds", settings.Seeds)
	return h, nil
}

// assignIncarnation chooses the incarnation of a host with an empty data folder and stores it. Only a seed of a
// deployment that is started for the first time gets the founding incarnation, which makes it a voter at once. All
// others get a random one, because a host that lost its disk later must not count as a voter that never acknowledged
// anything. A random one is at least 2: 0 means that there is none, and 1 is the founding incarnation.
func (h *Host) assignIncarnation(file *wal.Log) (uint64, error) {
	incarnation := rand.Uint64() | 2
	if h.settings.Founding && slices.Contains(h.settings.Seeds, h.settings.Address) {
		incarnation = replica.FoundingIncarnation
	}
	return incarnation, eris.Wrap(file.WriteIdentity(incarnation), "writing the incarnation")
}

// Run runs the host until ctx ends. It returns earlier if the disk fails or the state cannot be applied.
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

// now reads the monotonic clock and the wall clock.
func (h *Host) now() dispatch.Time {
	return dispatch.Time{Mono: h.clock.Now(), WallMS: time.Now().UnixMilli()}
}

// wake makes runLoop execute a step soon.
func (h *Host) wake() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

// runLoop executes a step at each tick and after each wakeup.
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

// step advances the replicated log and, on the leader, the scheduling decisions.
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

// fail makes runLoop return an error, which ends the host.
func (h *Host) fail(err error) {
	h.failed = err
	h.wake()
}

// runLeader lets the leader decide, proposes its commands and makes its calls, as long as its leader lease is valid.
func (h *Host) runLeader(now dispatch.Time) {
	h.checkLeadership(now)
	if h.leader == nil || h.stopping || !h.replica.LeadsUnderLease(now.Mono) {
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

// checkLeadership begins a leadership once this host leads with a valid leader lease and has applied all entries before
// its term. It ends the leadership when the role or the term changes.
func (h *Host) checkLeadership(now dispatch.Time) {
	role := h.replica.Role()
	if h.leader != nil && (role != replica.Leader || h.replica.Term() != h.leaderTerm) {
		h.log.Info("leadership_ended", "term", h.leaderTerm, "new_term", h.replica.Term())
		h.leader = nil
		h.dropPendingProposals()
	}
	if h.leader == nil && role == replica.Leader && h.replica.LeadsUnderLease(now.Mono) && h.leaderTerm != h.replica.Term() {
		h.leaderTerm = h.replica.Term()
		o := h.settings.Dispatch
		o.FencingToken = h.leaderTerm
		h.leader = dispatch.New(h.stateMachine, o, now)
		h.metrics.leaderships.Inc()
		h.log.Info("leadership_began", "term", h.leaderTerm, "index", h.replica.CommitIndex(), "open_jobs", len(h.stateMachine.OpenJobs()),
			"workers", len(h.stateMachine.Workers()))
		for _, c := range h.appliedBefore {
			h.leader.AppliedBefore(c)
		}
	}
	if role != replica.Leader || h.leader != nil {
		h.appliedBefore = nil
	}
}

// restartLeadership discards the leader's state in memory after the log has refused a proposal, because the leader
// would wait for commands that are never applied. A new leadership begins from the applied state once the log accepts
// commands again.
func (h *Host) restartLeadership() {
	h.log.Info("proposal_refused", "term", h.leaderTerm)
	h.leader, h.leaderTerm = nil, 0
	h.dropPendingProposals()
}

// dropPendingProposals ends the waits of all pending proposals. Their outcome is not known.
func (h *Host) dropPendingProposals() {
	for index, w := range h.pendingProposals {
		close(w.result)
		delete(h.pendingProposals, index)
	}
}

// callWorker makes a call to a worker and passes the reply to the leader, unless this host no longer leads in that
// term.
func (h *Host) callWorker(c dispatch.Call) {
	reply := h.outbound.Workers.Call(context.Background(), c)
	h.metrics.workerCall(c.Kind, reply.Status)
	h.mu.Lock()
	if h.leader != nil && h.leaderTerm == c.FencingToken {
		h.leader.Reply(h.now(), c.ID, reply)
	}
	h.mu.Unlock()
	h.wake()
}

// askAdvice makes a call for advice and passes the reply to the leader, unless this host no longer leads in that term.
func (h *Host) askAdvice(c dispatch.AdviceCall, term uint64) {
	reply := h.outbound.Services.Advise(context.Background(), c)
	h.mu.Lock()
	if h.leader != nil && h.leaderTerm == term {
		h.leader.AdviceReply(h.now(), c.ID, reply)
	}
	h.mu.Unlock()
	h.wake()
}

// orderUpkeep makes a call for the upkeep of a machine and passes the status to the leader, unless this host no longer
// leads in that term.
func (h *Host) orderUpkeep(c dispatch.UpkeepCall) {
	status := h.outbound.Services.Upkeep(context.Background(), c)
	h.mu.Lock()
	if h.leader != nil && h.leaderTerm == c.FencingToken {
		h.leader.UpkeepReply(h.now(), c, status)
	}
	h.mu.Unlock()
	h.wake()
}

// adjustVoters sets the desired voters of the log according to what the leader observes, see package membership.
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
		Silent: h.replica.SilentVoters(voterSilence), Target: membership.Target(h.settings.FaultTolerance),
	}
	desired := membership.Desired(v)
	h.replica.SetDesiredVoters(desired)
	h.updateKnownHosts(st.Config, v.Observers)
}

// hostsOf returns the host addresses of the voters of a configuration.
func hostsOf(c replica.Config) []string {
	var out []string
	for _, v := range c.Voters {
		out = append(out, v.Host)
	}
	return out
}

// updateKnownHosts sets the known hosts to the seeds, the voters and the observers. The seeds alone are not enough,
// because other hosts may have replaced all of them in the course of time.
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

// setKnownHosts replaces the known hosts. An observer asks them for the log.
func (h *Host) setKnownHosts(knownHosts []string) {
	slices.Sort(knownHosts)
	knownHosts = slices.Compact(knownHosts)
	if !slices.Equal(knownHosts, h.knownHosts) {
		h.log.Info("known_hosts_changed", "hosts", knownHosts)
	}
	h.knownHosts = knownHosts
	h.replica.SetContacts(knownHosts)
}

// SetSeeds replaces the seeds after the settings have changed.
func (h *Host) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settings.Seeds = seeds
	h.updateKnownHosts(h.replica.Status().Config, h.replica.Observers())
}

// peerAddress returns the address, with port, at which a host listens for calls of other hosts.
func peerAddress(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
