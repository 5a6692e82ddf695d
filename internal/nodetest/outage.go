package nodetest

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// outageCheckPeriod is the period at which the run looks for zones that lack a quorum.
const outageCheckPeriod = 50 * time.Millisecond

// outages tracks the zones that are cut off or lack a quorum, so that the checkers apply the bound for a change to be in
// force to connected zones only.
type outages struct {
	cut  map[string]int  // Number of cuts by zone.
	down map[string]bool // Zones that a change could not reach at the last check.
}

// watchOutages records when zones become disconnected and connected again.
func (w *World) watchOutages() {
	for _, zone := range w.Zones() {
		down := w.outages.cut[zone] > 0 || w.lacksQuorum(zone)
		if down == w.outages.down[zone] {
			continue
		}
		w.outages.down[zone] = down
		e := history.Event{Kind: history.Fault, Zone: zone, Message: history.FaultConnect}
		if down {
			e.Message = history.FaultDisconnect
		}
		w.record(e)
	}
	w.After(outageCheckPeriod, w.watchOutages)
}

// lacksQuorum tells whether more than one voter of the zone's log or of the deployment log is missing. One missing
// voter must not delay a change beyond its bound.
func (w *World) lacksQuorum(zone string) bool {
	return w.missingVoters(node.DeploymentVoters(w.options.Hosts), node.DeploymentGroup) > 1 ||
		w.missingVoters(node.CellVoters(w.options.Hosts, zone), node.CellGroup(zone)) > 1
}

func (w *World) missingVoters(voters []replica.Member, group replica.GroupID) int {
	n := 0
	for _, v := range voters {
		h := w.Hosts[v.Host]
		if !h.up || h.frozen || w.outages.cut[h.Peer.Zone] > 0 || !h.votesIn(group) {
			n++
		}
	}
	return n
}

func (h *Host) votesIn(group replica.GroupID) bool {
	for _, g := range h.Node.Metrics(h.world.now).Groups {
		if g.Group == string(group) {
			return g.Votes
		}
	}
	return false
}

// countCut counts a cut of a zone until the returned function is called.
func (w *World) countCut(zone string) func() {
	w.outages.cut[zone]++
	return func() { w.outages.cut[zone]-- }
}

// Zones returns the zones of the run, in the order of the hosts.
func (w *World) Zones() []string {
	var out []string
	seen := map[string]bool{}
	for _, id := range w.HostIDs {
		if zone := w.Hosts[id].Peer.Zone; !seen[zone] {
			seen[zone] = true
			out = append(out, zone)
		}
	}
	return out
}
