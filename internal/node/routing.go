package node

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/deployment"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// Durations and limits of routed requests.
const (
	// requestTimeout is long enough for an election, so that the failure of a leader delays a request instead of
	// failing it.
	requestTimeout = 4 * time.Second
	// resendDelay is how long a leader may take to answer before the request is sent again, if need be to another host.
	resendDelay = 500 * time.Millisecond
	// noLeaderDelay is the delay before a retry if no host could be tried, or the host that was tried does not lead the
	// group and named no other leader to follow.
	noLeaderDelay = 100 * time.Millisecond
	// maxLeaderHints is how many leader hints in a row a request follows without delay, so that two hosts that name
	// each other do not cause a loop.
	maxLeaderHints = 3
)

// routedReply is the reply to a routed request. Both fields are nil if no leader answered in time.
type routedReply struct {
	cell       *cell.Response
	deployment *deployment.Response
}

// routedRequest is a request that this host sends to the leader of a group and that is not answered yet. All requests
// are idempotent, so it is sent again until it is answered or its deadline has passed.
type routedRequest struct {
	id          uint64
	group       replica.GroupID
	cell        *cell.Request
	deployment  *deployment.Request
	deadline    time.Duration
	longPoll    time.Duration // How long the leader may wait before it answers, on top of the usual time.
	resendAt    time.Duration
	leaderHints int    // Leader hints followed in a row without delay.
	hostIndex   int    // Next position in the group's list of hosts, which are tried in turn.
	target      string // Host that the request was last sent to; empty if there was none.
	done        func(now time.Duration, r routedReply)
}

// origin identifies where a request that this host serves as a leader came from.
type origin struct {
	group replica.GroupID
	host  string // Empty for a routed request of this host.
	id    uint64 // Identifier of the routed request at its host.
}

// requestCell sends a request to the leader of a zone's cell. done is called exactly once, unless the node halts first;
// its response is nil if no leader answered in time.
func (n *Node) requestCell(
	now time.Duration, zone string, r cell.Request, longPoll, timeout time.Duration,
	done func(time.Duration, *cell.Response),
) {
	n.startRequest(now, &routedRequest{
		group:    CellGroup(zone),
		cell:     &r,
		longPoll: longPoll,
		deadline: now + timeout,
		done:     func(now time.Duration, r routedReply) { done(now, r.cell) },
	})
}

// requestDeployment sends a request to the leader of the deployment log. done is called in the same way as by
// requestCell.
func (n *Node) requestDeployment(
	now time.Duration, r deployment.Request, done func(time.Duration, *deployment.Response),
) {
	n.startRequest(now, &routedRequest{
		group:      DeploymentGroup,
		deployment: &r,
		deadline:   now + requestTimeout,
		done:       func(now time.Duration, r routedReply) { done(now, r.deployment) },
	})
}

func (n *Node) startRequest(now time.Duration, request *routedRequest) {
	request.id = n.newID()
	n.routedRequests[request.id] = request
	n.sendRequest(now, request, n.knownLeader(now, request.group))
}

// sendRequest serves a routed request here if this host leads the group, and otherwise sends it to a host. If the host
// is empty or this one, the next connected host of the group is taken in turn.
func (n *Node) sendRequest(now time.Duration, request *routedRequest, host string) {
	g := n.groups[request.group]
	if g != nil && g.epoch != 0 && g.replica.LeadsUnderLease(now) {
		request.resendAt = now + request.longPoll + requestTimeout
		request.target = n.settings.Self.ID
		n.serve(now, g, origin{group: request.group, id: request.id}, request.cell, request.deployment)
		return
	}
	if host == "" || host == n.settings.Self.ID {
		host = n.nextHost(now, request)
	}
	request.target = host
	request.resendAt = now + request.longPoll + resendDelay
	if host == "" {
		request.resendAt = now + noLeaderDelay
		return
	}
	n.send(host, envelope{Forward: &forward{ID: request.id, Group: request.group, Cell: request.cell,
		Deployment: request.deployment}})
}

// knownLeader returns the connected host that leads a group as far as this host knows, or "".
func (n *Node) knownLeader(now time.Duration, id replica.GroupID) string {
	if g := n.groups[id]; g != nil {
		if leader := g.replica.Leader(); leader != "" && n.connected(now, leader) {
			return leader
		}
	}
	for _, p := range n.settings.Peers {
		if status := n.peerStatuses[p.ID]; status != nil && n.connected(now, p.ID) && slices.Contains(status.ledGroups, id) {
			return p.ID
		}
	}
	return ""
}

// nextHost returns the next connected host, other than this one, that may hold the group's log, or "".
func (n *Node) nextHost(now time.Duration, request *routedRequest) string {
	hosts := n.groupHosts(request.group)
	for range hosts {
		host := hosts[request.hostIndex%len(hosts)]
		request.hostIndex++
		if host != n.settings.Self.ID && n.connected(now, host) {
			return host
		}
	}
	return ""
}

// groupHosts returns the hosts that hold a group's log according to the settings.
func (n *Node) groupHosts(id replica.GroupID) []string {
	var out []string
	for _, p := range n.settings.Peers {
		if id == DeploymentGroup || CellGroup(p.Zone) == id {
			out = append(out, p.ID)
		}
	}
	if id == DeploymentGroup {
		return out
	}
	for _, zone := range n.zones {
		if CellGroup(zone) != id {
			continue
		}
		for _, m := range CellVoters(n.settings.Peers, zone) {
			if !slices.Contains(out, m.Host) {
				out = append(out, m.Host)
			}
		}
	}
	return out
}

// retryRequests sends overdue routed requests again and finishes those whose deadline has passed without a reply.
func (n *Node) retryRequests(now time.Duration) {
	for _, id := range sortedKeys(n.routedRequests) {
		request := n.routedRequests[id]
		switch {
		case request == nil:
		case now >= request.deadline:
			n.finishRequest(now, request, routedReply{})
		case now >= request.resendAt:
			n.metrics.Retries++
			n.sendRequest(now, request, n.retryTarget(now, request))
		}
	}
}

// retryTarget returns the known leader, or "" if that is the host that has just not answered.
func (n *Node) retryTarget(now time.Duration, request *routedRequest) string {
	leader := n.knownLeader(now, request.group)
	if leader == request.target {
		return ""
	}
	return leader
}

func (n *Node) finishRequest(now time.Duration, request *routedRequest, r routedReply) {
	if n.routedRequests[request.id] == nil {
		return
	}
	delete(n.routedRequests, request.id)
	request.done(now, r)
}

// serve passes a request to the state machine of a group that this host leads.
func (n *Node) serve(now time.Duration, g *group, from origin, c *cell.Request, d *deployment.Request) {
	id := n.newID()
	n.serving[id] = from
	switch {
	case g.cell != nil && c != nil:
		g.cell.Request(now, id, *c)
	case g.cell == nil && d != nil:
		n.deploymentLeader.Request(id, *d)
	default:
		delete(n.serving, id)
	}
}

// reply passes the reply of a state machine to the origin of the request.
func (n *Node) reply(now time.Duration, id uint64, r routedReply) {
	from, ok := n.serving[id]
	if !ok {
		return
	}
	delete(n.serving, id)
	if from.host != "" {
		n.send(from.host, envelope{Reply: &forwardReply{ID: from.id, Cell: r.cell, Deployment: r.deployment}})
		return
	}
	if request := n.routedRequests[from.id]; request != nil {
		n.finishRequest(now, request, r)
	}
}

// dropServing drops the requests of a group whose leadership this host has lost, and lets their origins retry elsewhere
// at once.
func (n *Node) dropServing(now time.Duration, id replica.GroupID) {
	for _, key := range sortedKeys(n.serving) {
		from := n.serving[key]
		if from.group != id {
			continue
		}
		delete(n.serving, key)
		if from.host != "" {
			n.send(from.host, envelope{Reply: &forwardReply{ID: from.id, NotLeader: true}})
			continue
		}
		if request := n.routedRequests[from.id]; request != nil {
			request.resendAt = now
		}
	}
}

func (n *Node) receiveForward(now time.Duration, from string, f *forward) {
	g := n.groups[f.Group]
	if g != nil && g.epoch != 0 && g.replica.LeadsUnderLease(now) {
		n.serve(now, g, origin{group: f.Group, host: from, id: f.ID}, f.Cell, f.Deployment)
		return
	}
	leader := n.knownLeader(now, f.Group)
	if leader == n.settings.Self.ID {
		leader = ""
	}
	n.send(from, envelope{Reply: &forwardReply{ID: f.ID, NotLeader: true, Leader: leader}})
}

func (n *Node) receiveReply(now time.Duration, r *forwardReply) {
	request := n.routedRequests[r.ID]
	if request == nil {
		return
	}
	if !r.NotLeader {
		n.finishRequest(now, request, routedReply{cell: r.Cell, deployment: r.Deployment})
		return
	}
	if r.Leader != "" && r.Leader != request.target && request.leaderHints < maxLeaderHints {
		request.leaderHints++
		n.sendRequest(now, request, r.Leader)
		return
	}
	request.leaderHints = 0
	request.resendAt = now + noLeaderDelay
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
