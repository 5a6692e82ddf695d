package node

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// Metrics are counters and gauges of the node. Counters start at 0 with the process.
type Metrics struct {
	Applied          uint64 // Entries applied, all groups.
	Snapshots        uint64 // Snapshots taken.
	MessagesSent     uint64
	MessagesReceived uint64
	MessagesRefused  uint64 // Messages that could not be decoded or came from an unknown host.
	BytesSent        uint64
	BytesReceived    uint64
	Retries          uint64 // Routed requests that were sent again.

	Asks     int // Requests routed by this host that wait for an answer.
	Serving  int // Requests that this host serves as a leader.
	Callers  int // Open caller and operator requests.
	Held     int // Messages and write marks held back until their records are synced.
	Groups   []GroupMetrics
	Revision uint64 // Deployment revision known to this host.
	Isolated bool   // The deployment leader was not heard from for isolationAfter.
}

// GroupMetrics are gauges of one group on this host.
type GroupMetrics struct {
	Group   string
	Leads   bool
	Desired bool // According to the settings, this host is to be a voter.
	Votes   bool // This incarnation of the host is a voter.
	Term    uint64
	Commit  uint64
	Applied uint64
	Jobs    int // Cells only: jobs in the table, ended ones included.
	Live    int // Cells only: live attempts.
	Workers int // Cells only, at the leader.
}

// Metrics returns the current counters and gauges.
func (n *Node) Metrics(now time.Duration) Metrics {
	m := n.metrics
	m.Asks, m.Serving, m.Callers, m.Held = len(n.routedRequests), len(n.serving), len(n.callers), len(n.syncWaiters)
	m.Revision = n.deployment.Revision()
	m.Isolated = n.isolated(now)
	for _, g := range n.groupOrder {
		s := g.replica.Status()
		gm := GroupMetrics{Group: string(g.id), Leads: g.replica.LeadsUnderLease(now), Term: s.Term,
			Commit: s.Commit, Applied: g.applied}
		gm.Desired, gm.Votes = g.desired, slices.ContainsFunc(s.Config.Voters, n.isThisIncarnation)
		if g.cell != nil {
			t := g.cell.Tables()
			gm.Jobs, gm.Live, gm.Workers = t.JobCount(), t.AttemptCount(), t.WorkerCount()
		}
		m.Groups = append(m.Groups, gm)
	}
	return m
}

// HostDump is a dump of a host's state. It holds no bodies of jobs and no token digests.
type HostDump struct {
	Host        string              `json:"host"`
	Zone        string              `json:"zone"`
	Region      string              `json:"region"`
	Incarnation uint64              `json:"incarnation"`
	Stopping    bool                `json:"stopping"`
	Isolated    bool                `json:"isolated"`
	Peers       string              `json:"peers"`
	Revision    uint64              `json:"revision"`
	Groups      []GroupDump         `json:"groups"`
	Asks        []RoutedRequestDump `json:"asks"`
	Zones       []api.ZoneStatus    `json:"zones"`
	Hosts       []api.Host          `json:"hosts"`
	Metrics     Metrics             `json:"metrics"`
	Intents     map[string]string   `json:"pending_zone_intents"`
}

// GroupDump describes a group on this host.
type GroupDump struct {
	Status  replica.Status `json:"status"`
	Leads   bool           `json:"leads_under_lease"`
	Applied uint64         `json:"applied"`
	Cell    any            `json:"cell,omitempty"`
}

// RoutedRequestDump describes a request routed by this host that waits for an answer.
type RoutedRequestDump struct {
	Group    string `json:"group"`
	Target   string `json:"target"`
	LeftMS   int64  `json:"left_ms"`
	ResendMS int64  `json:"resend_ms"`
}

func (n *Node) dump(now time.Duration) *HostDump {
	d := &HostDump{
		Host:        n.settings.Self.ID,
		Zone:        n.settings.Self.Zone,
		Region:      n.settings.Self.Region,
		Incarnation: n.settings.Incarnation,
		Stopping:    n.stopping,
		Isolated:    n.isolated(now),
		Peers:       n.peerIDs(),
		Revision:    n.deployment.Revision(),
		Hosts:       n.listHosts(now).Hosts,
		Metrics:     n.Metrics(now),
		Intents:     map[string]string{},
	}
	for _, g := range n.groupOrder {
		gd := GroupDump{Status: g.replica.Status(), Leads: g.replica.LeadsUnderLease(now), Applied: g.applied}
		if g.cell != nil {
			gd.Cell = g.cell.Dump()
		}
		d.Groups = append(d.Groups, gd)
	}
	for _, id := range sortedKeys(n.routedRequests) {
		request := n.routedRequests[id]
		d.Asks = append(d.Asks, RoutedRequestDump{Group: string(request.group), Target: request.target,
			LeftMS: (request.deadline - now).Milliseconds(), ResendMS: (request.resendAt - now).Milliseconds()})
	}
	for _, zone := range n.zones {
		if i, pending := n.deployment.Intent(zone); pending {
			d.Intents[zone] = pendingState(i.Out)
		}
		if report := n.zoneReports[zone]; report != nil {
			d.Zones = append(d.Zones, api.ZoneStatus{Zone: zone, Leader: report.Leader, Accelerators: report.View.Accelerators})
		}
	}
	return d
}
