package node

import (
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
)

// Durations of a planned stop.
const (
	// stopTimeout bounds a planned stop. It covers the waits of 30 s that the command line asks for. Callers may ask for
	// longer ones (up to httpapi.MaxWait); the node does not answer those that are still open then.
	stopTimeout = 35 * time.Second
	// stopListenPeriod is how long the host keeps listening after a stop has begun, so that the load balancer sees
	// that it is not ready before its port closes.
	stopListenPeriod = 500 * time.Millisecond
)

// beginStop begins a planned stop: the host refuses new caller requests, transfers its leaderships to other hosts, and
// answers the open requests.
func (n *Node) beginStop(now time.Duration) {
	if n.stopping {
		return
	}
	n.stopping = true
	n.stopDeadline = now + stopTimeout
	n.nextHello = now
	n.listenUntil = now + stopListenPeriod
}

// continueStop transfers leaderships, and halts the node when nothing is left to do or stopTimeout is over.
func (n *Node) continueStop(now time.Duration) {
	if !n.stopping {
		return
	}
	leading := n.transferLeaderships(now)
	if now < n.listenUntil {
		return
	}
	idle := len(n.callers) == 0 && len(n.serving) == 0 && len(n.routedRequests) == 0
	if now >= n.stopDeadline || (idle && !leading) {
		n.halt(true, "planned stop")
	}
}

// transferLeaderships begins a transfer of each led group to another voter, and reports whether any group is still led
// that can be transferred. A host that is stopping is no candidate, because hosts that stop together would pass
// leaderships back and forth.
func (n *Node) transferLeaderships(now time.Duration) bool {
	leading := false
	for _, g := range n.groupOrder {
		if g.epoch == 0 {
			continue
		}
		successor, any := n.successor(now, g)
		if !any {
			continue
		}
		leading = true
		g.replica.TransferLeadership(now, successor)
	}
	return leading
}

// successor returns the host of the voter to which a led group is transferred, and whether there is one: a connected
// voter that is not stopping, and a witness only if there is no other such voter.
func (n *Node) successor(now time.Duration, g *group) (string, bool) {
	candidate, otherVoters := "", 0
	for _, v := range g.replica.Status().Config.Voters {
		if n.isSelf(v) {
			continue
		}
		otherVoters++
		if status := n.peerStatuses[v.Host]; status == nil || status.stopping || !n.connected(now, v.Host) {
			continue
		}
		if candidate == "" || !v.Witness {
			candidate = v.Host
		}
	}
	return candidate, otherVoters > 0 && candidate != ""
}

// stoppingError returns the error for a request to a stopping host. If the request has an idempotency key (keyed), the
// error does not say that nothing ran, because the job of an earlier request with the key may have run.
func stoppingError(keyed bool) *api.Error {
	e := &api.Error{Status: http.StatusServiceUnavailable, Code: api.CodeStopping, NotRun: api.NotRunTrue,
		Message: "the host is stopping; use another one", RetryAfterSeconds: 1}
	if keyed {
		e.NotRun = api.NotRunUnknown
	}
	return e
}
