package node

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/contract"
	"github.com/mustardwalk/mustardwalk/internal/deployment"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Limits on the ended jobs that a cell retains.
const (
	retainedJobs  = 20_000
	retainedBytes = 16 << 20
)

// isolationAfter is how long a host hears nothing from the deployment leader before it treats its zone as isolated.
const isolationAfter = 10 * time.Second

// Node is the logic of one host, without I/O. It is not safe for concurrent use.
type Node struct {
	settings Settings
	peers    map[string]Peer
	zones    []string

	groups           map[replica.GroupID]*group
	groupOrder       []*group // The deployment group first, then the cells by zone.
	deployment       *deployment.StateMachine
	deploymentLeader *deployment.Leader

	persistSeq  uint64 // Seq of the newest Persist output.
	syncedSeq   uint64 // Seq of the newest Persisted input.
	syncWaiters []syncWaiter

	routedRequests map[uint64]*routedRequest // Requests that this host sent to leaders and that are not answered yet.
	serving        map[uint64]origin         // Requests that this host serves as a leader, by its own ID for them.
	callers        map[uint64]bool           // Open caller requests by ID; true once the caller has disconnected.
	calls          map[uint64]cellCall       // Open endpoint calls of the cells, by the ID of the CallEndpoint output.
	nextID         uint64
	peerStatuses   map[string]*peerStatus
	zoneReports    map[string]*zoneReport // Newest report of each zone's leader.

	nextHello         time.Duration
	lastHello         time.Duration
	deploymentHeardAt time.Duration // When the deployment leader was last heard from.
	stopping          bool
	stopDeadline      time.Duration // The latest end of a planned stop.
	listenUntil       time.Duration // Until when a planned stop keeps the host listening.
	halted            bool
	outputs           []Output
	metrics           Metrics
}

// group is this host's replica of one log, with its state machine: a cell, or the deployment state.
type group struct {
	id              replica.GroupID
	zone            string // Empty for the deployment group.
	replica         *replica.Replica
	cell            *cell.Cell
	desired         bool          // According to the settings, this host is to be a voter.
	applied         uint64        // Index of the last applied entry.
	epoch           uint64        // Term for which this host acts as the group's leader (see activate), or 0.
	epochBeganAt    time.Duration // When this host began to act for epoch.
	leaseTerm       uint64        // Deployment group only: term for which this host holds the leader lease, or 0.
	leaseEnd        time.Duration // When the lease that this host holds, or held last, expires.
	lastPersistSeq  uint64        // Seq of the newest Persist output with records of this group.
	offeredRevision uint64        // Deployment revision last offered to the cell in this epoch.
	nextOfferAt     time.Duration // When offeredRevision may be offered again.
	intentRetryAt   time.Duration // When delivery of a pending zone intent is retried.
	reportedWorkers int           // Number of workers in the zone when the next hello was last brought forward.
	backlog         [][]byte      // Proposals that are not appended to the log yet.
}

// syncWaiter waits until the Persist output seq is synced. Then message is sent, or without a message the replica of
// the group is told that its write mark is synced.
type syncWaiter struct {
	seq     uint64
	group   *group
	mark    uint64 // replica.Output.Mark of the records; only without message.
	message *replica.Message
}

// cellCall is an open endpoint call of a cell; id is the cell's identifier of the call.
type cellCall struct {
	group *group
	id    uint64
}

// New returns a node. restored holds the state of each group that was read from the disk; it may be nil.
func New(s Settings, restored map[replica.GroupID]*replica.Restored, now time.Duration) *Node {
	n := &Node{
		settings:          s,
		peers:             map[string]Peer{},
		zones:             zonesOf(s.Peers),
		groups:            map[replica.GroupID]*group{},
		deployment:        deployment.NewStateMachine(),
		routedRequests:    map[uint64]*routedRequest{},
		serving:           map[uint64]origin{},
		callers:           map[uint64]bool{},
		calls:             map[uint64]cellCall{},
		peerStatuses:      map[string]*peerStatus{},
		zoneReports:       map[string]*zoneReport{},
		deploymentHeardAt: now,
		nextHello:         now,
		// Random, so that a late reply to a request sent before a restart of this host does not match a new request.
		nextID: uint64(s.Random(1 << 62)),
	}
	for _, p := range s.Peers {
		n.peers[p.ID] = p
	}
	n.deploymentLeader = deployment.NewLeader(n.deployment, n.zones, n.topologies)
	n.addGroup(DeploymentGroup, "", DeploymentVoters(s.Peers), restored, now)
	for _, zone := range n.zones {
		voters := CellVoters(s.Peers, zone)
		if zone == s.Self.Zone || slices.ContainsFunc(voters, n.isSelf) || restored[CellGroup(zone)] != nil {
			n.addGroup(CellGroup(zone), zone, voters, restored, now)
		}
	}
	return n
}

func (n *Node) isSelf(m replica.Member) bool { return m.Host == n.settings.Self.ID }

// isThisIncarnation reports whether a member is the current incarnation of this host.
func (n *Node) isThisIncarnation(m replica.Member) bool {
	return n.isSelf(m) && m.Incarnation == n.settings.Incarnation
}

func (n *Node) addGroup(
	id replica.GroupID, zone string, desired []replica.Member, restored map[replica.GroupID]*replica.Restored,
	now time.Duration,
) {
	self := replica.Member{Host: n.settings.Self.ID, Incarnation: n.settings.Incarnation, Disk: n.settings.Self.Disk}
	self.Witness = zone != "" && zone != n.settings.Self.Zone
	g := &group{id: id, zone: zone, desired: slices.ContainsFunc(desired, n.isSelf)}
	g.replica = replica.New(replica.Options{
		Group:           id,
		Self:            self,
		DesiredVoters:   desired,
		Founding:        initialConfig(desired),
		Contacts:        contacts(desired, self.Host),
		Timing:          timingOf(zone, n.settings.Replica),
		SnapshotEntries: n.settings.SnapshotEntries,
		Random:          n.settings.Random,
	}, restored[id], now)
	if zone != "" {
		g.cell = cell.New(cell.Options{
			Zone:          zone,
			Host:          self.Host,
			Timing:        n.settings.Cell,
			NewScheduler:  newPolicy,
			RetainedJobs:  retainedJobs,
			RetainedBytes: retainedBytes,
		}, now)
	}
	n.groups[id] = g
	n.groupOrder = append(n.groupOrder, g)
}

// deploymentHeartbeat is the heartbeat period of the deployment log. It can be longer than that of the cells, because
// the deployment leader grants no starts and sends new entries at once: a change is in force at most one period later.
const deploymentHeartbeat = 250 * time.Millisecond

// timingOf returns the timing of a zone's group, or of the deployment group if the zone is empty. The heartbeat period
// of the deployment group is raised to deploymentHeartbeat, but at most to half the lease, so that one lost round of
// heartbeats does not end the lease.
func timingOf(zone string, t replica.Timing) replica.Timing {
	if zone == "" {
		t.Heartbeat = max(t.Heartbeat, min(deploymentHeartbeat, t.Lease/2))
	}
	return t
}

func newPolicy(t *table.Tables) system.Scheduler { return system.NewPolicy(t, system.Options{}) }

// contacts returns the hosts of the desired members other than this one.
func contacts(desired []replica.Member, self string) []string {
	var out []string
	for _, m := range desired {
		if m.Host != self {
			out = append(out, m.Host)
		}
	}
	return out
}

// Handle processes one input and returns the outputs that follow from it. now must not decrease between calls.
func (n *Node) Handle(now time.Duration, in Input) []Output {
	if n.halted {
		return nil
	}
	n.syncLeadership(now)
	switch in := in.(type) {
	case Tick:
		n.tick(now)
	case Persisted:
		n.persisted(in.Seq)
	case PersistFailed:
		n.halt(false, "write of the record file failed: "+in.Cause)
	case Compact:
		n.compact()
	case PeerMessage:
		n.receive(now, in)
	case CallerRequest:
		n.callerRequest(now, in)
	case CallerGone:
		n.callerGone(in.ID)
	case EndpointReport:
		n.endpointReport(now, in)
	case CallDone:
		n.callDone(now, in)
	case Stop:
		n.beginStop(now)
	}
	n.processGroups(now)
	out := n.outputs
	n.outputs = nil
	return out
}

// Ready reports whether the host can serve callers, and if not, why.
func (n *Node) Ready() (bool, string) {
	if n.stopping || n.halted {
		return false, "the host is stopping"
	}
	if n.groups[DeploymentGroup].replica.CommitIndex() == 0 {
		return false, "the deployment state is not known yet"
	}
	if n.groups[CellGroup(n.settings.Self.Zone)].replica.Leader() == "" {
		return false, "the zone has no leader"
	}
	return true, ""
}

func (n *Node) tick(now time.Duration) {
	for _, g := range n.groupOrder {
		g.replica.Tick(now)
	}
	n.syncLeadership(now)
	for _, g := range n.groupOrder {
		if g.cell != nil && g.epoch != 0 && g.replica.LeadsUnderLease(now) {
			n.tickCell(now, g)
		}
	}
	n.retryRequests(now)
	if now >= n.nextHello {
		n.sendHello(now)
	}
	n.continueStop(now)
}

// tickCell runs the periodic work of a cell that this host leads.
func (n *Node) tickCell(now time.Duration, g *group) {
	n.advanceHello(now, g)
	g.cell.SetZones(n.zoneViews(now, g.zone))
	g.cell.SetIsolated(now, n.isolated(now))
	n.deliverIntent(now, g)
	g.cell.Tick(now)
}

// advanceHello brings the next hello forward when the number of workers of a led zone has changed, so that the
// deployment leader checks contracts against the current workers.
func (n *Node) advanceHello(now time.Duration, g *group) {
	count := g.cell.Tables().WorkerCount()
	if count == g.reportedWorkers {
		return
	}
	g.reportedWorkers = count
	n.nextHello = min(n.nextHello, max(now, n.lastHello+helloSpacing))
}

// isolated reports whether the host has heard nothing from the deployment leader for more than isolationAfter. It is
// false on the deployment leader.
func (n *Node) isolated(now time.Duration) bool {
	if n.groups[DeploymentGroup].replica.LeadsUnderLease(now) {
		return false
	}
	return now-n.deploymentHeardAt > isolationAfter
}

// topologies returns the reported topologies of the zones; zones whose topology is not known are left out.
func (n *Node) topologies() []contract.Topology {
	out := []contract.Topology{}
	for _, zone := range n.zones {
		if report := n.zoneReports[zone]; report != nil && report.Topology != nil {
			out = append(out, *report.Topology)
		}
	}
	return out
}

func (n *Node) emit(o Output) { n.outputs = append(n.outputs, o) }

func (n *Node) record(e history.Event) {
	e.Host = n.settings.Self.ID
	n.emit(RecordEvent{Event: e})
}

func (n *Node) halt(planned bool, cause string) {
	n.halted = true
	n.emit(Halt{Planned: planned, Cause: cause})
}

func (n *Node) newID() uint64 {
	n.nextID++
	return n.nextID
}

// respond answers an open caller request. Nothing is sent if the caller has disconnected.
func (n *Node) respond(id uint64, r Response) {
	gone, open := n.callers[id]
	if !open {
		return
	}
	delete(n.callers, id)
	if !gone {
		n.emit(Respond{ID: id, Response: r})
	}
}

func (n *Node) respondError(id uint64, e *api.Error) { n.respond(id, Response{Error: e}) }
