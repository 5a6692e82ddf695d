package node

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/contract"
	"github.com/mustardwalk/mustardwalk/internal/deployment"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Timing of the hellos between hosts.
const (
	// helloPerPeer is the hello period divided by the number of hosts of the deployment, so that the rate at which a
	// host sends hellos does not grow with the deployment.
	helloPerPeer = 150 * time.Millisecond
	// minHelloPeriod is the shortest hello period.
	minHelloPeriod = time.Second
	// helloSpacing is the shortest time between two hellos when the next one is brought forward.
	helloSpacing = 100 * time.Millisecond
	// missedHellos is the number of hello periods without a hello after which another host counts as not connected.
	missedHellos = 3
)

// envelope is a message between hosts. Exactly one field is set.
type envelope struct {
	Replica *replica.Message `cbor:"1,keyasint,omitempty"`
	Forward *forward         `cbor:"2,keyasint,omitempty"`
	Reply   *forwardReply    `cbor:"3,keyasint,omitempty"`
	Hello   *hello           `cbor:"4,keyasint,omitempty"`
	Drain   *drain           `cbor:"5,keyasint,omitempty"`
}

// forward passes a request to a host that leads, or may lead, a group.
type forward struct {
	ID         uint64              `cbor:"1,keyasint"`
	Group      replica.GroupID     `cbor:"2,keyasint"`
	Cell       *cell.Request       `cbor:"3,keyasint,omitempty"`
	Deployment *deployment.Request `cbor:"4,keyasint,omitempty"`
}

// forwardReply answers a forward. With NotLeader the request was not served, or was dropped when the leadership was
// lost; Leader then names the host to try instead, if one is known.
type forwardReply struct {
	ID         uint64               `cbor:"1,keyasint"`
	Cell       *cell.Response       `cbor:"2,keyasint,omitempty"`
	Deployment *deployment.Response `cbor:"3,keyasint,omitempty"`
	NotLeader  bool                 `cbor:"4,keyasint,omitempty"`
	Leader     string               `cbor:"5,keyasint,omitempty"`
}

// hello tells the other hosts periodically that this host is up, which groups it leads, and what those cells report of
// their zones.
type hello struct {
	Incarnation uint64            `cbor:"1,keyasint"`
	Leads       []replica.GroupID `cbor:"2,keyasint,omitempty"`
	Zones       []zoneReport      `cbor:"3,keyasint,omitempty"` // Zones of the cells that it leads.
	Stopping    bool              `cbor:"4,keyasint,omitempty"`
}

// zoneReport is a report on a zone by the leader of its cell.
type zoneReport struct {
	View cell.ZoneView `cbor:"1,keyasint"`
	Term uint64        `cbor:"2,keyasint"`
	// Topology is sent to the deployment leader only.
	Topology *contract.Topology `cbor:"3,keyasint,omitempty"`
	Leader   string             `cbor:"-"`
	SeenAt   time.Duration      `cbor:"-"`

	topologyAt time.Duration // When Topology was reported.
}

// drain asks a host to begin a planned stop.
type drain struct{}

// peerStatus is what this host learned of another host from its newest hello.
type peerStatus struct {
	seenAt      time.Duration
	incarnation uint64
	ledGroups   []replica.GroupID
	stopping    bool
}

func (n *Node) sendReplica(m *replica.Message) {
	n.send(m.To, envelope{Replica: m})
}

func (n *Node) send(host string, e envelope) {
	peer, known := n.peers[host]
	if !known || host == n.settings.Self.ID {
		return
	}
	data, err := cbor.Marshal(e)
	if err != nil {
		panic(eris.Wrap(err, "encode a peer message"))
	}
	n.metrics.MessagesSent++
	n.metrics.BytesSent += uint64(len(data))
	n.emit(Send{To: host, Address: peer.Address, Payload: data})
}

func (n *Node) receive(now time.Duration, in PeerMessage) {
	if _, known := n.peers[in.From]; !known {
		n.metrics.MessagesRefused++
		return
	}
	var e envelope
	if err := cbor.Unmarshal(in.Payload, &e); err != nil {
		n.metrics.MessagesRefused++
		return
	}
	n.metrics.MessagesReceived++
	n.metrics.BytesReceived += uint64(len(in.Payload))
	switch {
	case e.Replica != nil:
		n.receiveReplica(now, in.From, e.Replica)
	case e.Forward != nil:
		n.receiveForward(now, in.From, e.Forward)
	case e.Reply != nil:
		n.receiveReply(now, e.Reply)
	case e.Hello != nil:
		n.receiveHello(now, in.From, e.Hello)
	case e.Drain != nil:
		n.beginStop(now)
	}
}

func (n *Node) receiveReplica(now time.Duration, from string, m *replica.Message) {
	g := n.groups[m.Group]
	if g == nil || m.From.Host != from || m.To != n.settings.Self.ID {
		return
	}
	g.replica.Step(now, *m)
	if g.cell == nil && m.Kind == replica.MsgAppend && g.replica.Leader() == from {
		n.deploymentHeardAt = now
	}
}

// helloPeriod returns the period of hellos. It grows with the number of hosts, so that the bytes that a host sends per
// second stay bounded.
func (n *Node) helloPeriod() time.Duration {
	return max(minHelloPeriod, time.Duration(len(n.peers))*helloPerPeer)
}

func (n *Node) sendHello(now time.Duration) {
	n.nextHello, n.lastHello = now+n.helloPeriod(), now
	h := hello{Incarnation: n.settings.Incarnation, Stopping: n.stopping}
	for _, g := range n.groupOrder {
		if !g.replica.LeadsUnderLease(now) {
			continue
		}
		h.Leads = append(h.Leads, g.id)
		if g.cell != nil {
			h.Zones = append(h.Zones, n.reportZone(now, g))
		}
	}
	deploymentLeaderHost := n.groups[DeploymentGroup].replica.Leader()
	for _, p := range n.settings.Peers {
		n.send(p.ID, envelope{Hello: h.withoutTopology(p.ID != deploymentLeaderHost)})
	}
}

// withoutTopology returns a copy of the hello, without topologies if strip is set.
func (h hello) withoutTopology(strip bool) *hello {
	if !strip {
		return &h
	}
	h.Zones = append([]zoneReport(nil), h.Zones...)
	for i := range h.Zones {
		h.Zones[i].Topology = nil
	}
	return &h
}

// reportZone returns a report on the zone of a cell that this host leads, and stores it as the newest report.
func (n *Node) reportZone(now time.Duration, g *group) zoneReport {
	t := g.cell.Tables()
	topology := topologyOf(t)
	topology.Partial = now-g.epochBeganAt < n.announceLimit()
	z := zoneReport{Term: g.epoch, Topology: &topology, Leader: n.settings.Self.ID, SeenAt: now}
	z.View = cell.ZoneView{Zone: g.zone, Out: t.Service.Out}
	for _, w := range t.Workers() {
		if w.Usable() {
			z.View.Accelerators += w.Accelerators
		}
	}
	for _, rack := range topology.Racks {
		z.View.LargestGang = max(z.View.LargestGang, sum(rack.Workers))
	}
	n.storeZoneReport(now, &z)
	return z
}

// storeZoneReport stores a report on a zone, unless one from a leader of a later term is stored.
func (n *Node) storeZoneReport(now time.Duration, z *zoneReport) {
	stored := n.zoneReports[z.View.Zone]
	if stored != nil && stored.Term > z.Term {
		return
	}
	z.topologyAt = now
	if stored != nil && n.keepsTopology(now, stored, z) {
		z.Topology, z.topologyAt = stored.Topology, stored.topologyAt
	}
	n.zoneReports[z.View.Zone] = z
}

// keepsTopology reports whether the stored topology stays in use instead of the newly reported one. A new leader knows
// only the workers that have announced themselves to it. Until a lease with its margin has passed since the stored
// topology was reported, the other workers count as present, so that contracts are not refused meanwhile.
func (n *Node) keepsTopology(now time.Duration, stored, z *zoneReport) bool {
	switch {
	case stored.Topology == nil:
		return false
	case z.Topology == nil:
		return true
	}
	recent := now-stored.topologyAt < n.announceLimit()
	return recent && accelerators(z.Topology) < accelerators(stored.Topology)
}

// announceLimit is the time in which all workers of a zone have announced themselves to a new leader of its cell, or are
// lost.
func (n *Node) announceLimit() time.Duration {
	return n.settings.Cell.Lease + n.settings.Cell.LeaseMargin
}

func accelerators(t *contract.Topology) int {
	total := 0
	for _, r := range t.Racks {
		total += sum(r.Workers)
	}
	return total
}

func (n *Node) receiveHello(now time.Duration, from string, h *hello) {
	n.peerStatuses[from] = &peerStatus{seenAt: now, incarnation: h.Incarnation, ledGroups: h.Leads, stopping: h.Stopping}
	for i := range h.Zones {
		z := h.Zones[i]
		z.Leader, z.SeenAt = from, now
		n.storeZoneReport(now, &z)
	}
}

// connected reports whether a hello of a host arrived within the last missedHellos periods. This host counts as
// connected.
func (n *Node) connected(now time.Duration, host string) bool {
	if host == n.settings.Self.ID {
		return true
	}
	status := n.peerStatuses[host]
	return status != nil && now-status.seenAt <= missedHellos*n.helloPeriod()
}

// zoneViews returns the newest reports on all zones but one, as the cells use them.
func (n *Node) zoneViews(now time.Duration, except string) []cell.ZoneView {
	var out []cell.ZoneView
	for _, zone := range n.zones {
		report := n.zoneReports[zone]
		if zone == except || report == nil {
			continue
		}
		view := report.View
		view.Reachable = now-report.SeenAt <= missedHellos*n.helloPeriod()
		out = append(out, view)
	}
	return out
}

func topologyOf(t *table.Tables) contract.Topology {
	topology := contract.Topology{Zone: t.Zone}
	for _, name := range t.Racks() {
		rack := contract.Rack{Name: name}
		for _, w := range t.Rack(name) {
			rack.Workers = append(rack.Workers, w.Accelerators)
		}
		topology.Racks = append(topology.Racks, rack)
	}
	return topology
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
