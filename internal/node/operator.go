package node

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/deployment"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

func (n *Node) handleOperatorOperation(now time.Duration, c *openRequest) {
	r := c.request
	switch {
	case r.ApplyContract != nil:
		a := r.ApplyContract
		n.changeContract(now, c, deployment.Request{DryRun: a.DryRun, Apply: &deployment.Apply{
			CommandID: a.CommandID, Workspace: a.Workspace, ExpectedRevision: a.ExpectedRevision, YAML: a.YAML, File: a.File}})
	case r.DeleteContract != nil:
		d := r.DeleteContract
		n.changeContract(now, c, deployment.Request{DryRun: d.DryRun, Delete: &deployment.Delete{
			CommandID: d.CommandID, Workspace: d.Workspace, ExpectedRevision: d.ExpectedRevision}})
	case r.GetContract != nil:
		n.listContracts(now, c, r.GetContract.Workspace)
	case r.ListContracts != nil:
		n.listContracts(now, c, "")
	case r.SetZone != nil:
		n.setZone(now, c)
	case r.Zones != nil:
		n.listZones(now, c)
	case r.Hosts != nil:
		n.respond(c.id, Response{Body: n.listHosts(now)})
	case r.Drain != nil:
		n.drainHost(now, c)
	case r.Workers != nil:
		n.listWorkers(now, c)
	case r.Revisions != nil:
		n.listRevisions(now, c)
	case r.Dump != nil:
		n.respond(c.id, Response{Body: n.dump(now)})
	default:
		n.respondError(c.id, &api.Error{Status: http.StatusBadRequest, Code: api.CodeInvalid,
			Message: "the request is empty"})
	}
}

func (n *Node) changeContract(now time.Duration, c *openRequest, r deployment.Request) {
	n.requestDeployment(now, r, func(_ time.Duration, resp *deployment.Response) {
		switch {
		case n.gone(c.id):
		case resp == nil:
			n.respondError(c.id, unavailable("the deployment"))
		case resp.Error != nil:
			n.respondError(c.id, resp.Error)
		default:
			n.respond(c.id, Response{Body: resp.Contract})
		}
	})
}

// listContracts reads the contracts from the deployment leader, so that every acknowledged change is seen, or from this
// host's copy if no leader can be reached.
func (n *Node) listContracts(now time.Duration, c *openRequest, workspace string) {
	r := deployment.Request{List: &deployment.ListRequest{Workspace: workspace}}
	n.requestDeployment(now, r, func(_ time.Duration, resp *deployment.Response) {
		if n.gone(c.id) {
			return
		}
		list := n.deployment.Contracts(workspace)
		if resp != nil && resp.Error != nil {
			n.respondError(c.id, resp.Error)
			return
		}
		if resp != nil {
			list = resp.List
		}
		if workspace == "" {
			n.respond(c.id, Response{Body: list})
			return
		}
		if len(list.Contracts) == 0 {
			n.respondError(c.id, notFound("the contract of workspace "+workspace))
			return
		}
		n.respond(c.id, Response{Body: &list.Contracts[0]})
	})
}

// setZone passes the command to the zone's cell, which owns the service state. If the cell cannot be reached, the
// command is stored as an intent in the deployment log.
func (n *Node) setZone(now time.Duration, c *openRequest) {
	r := c.request.SetZone
	if !n.hasZone(r.Zone) {
		n.respondError(c.id, notFound("zone "+r.Zone))
		return
	}
	serviceRequest := cell.Request{Service: &cell.ServiceRequest{CommandID: r.CommandID,
		ExpectedRevision: r.ExpectedRevision, Out: r.Out}}
	n.requestCell(now, r.Zone, serviceRequest, 0, requestTimeout, func(now time.Duration, resp *cell.Response) {
		switch {
		case n.gone(c.id):
		case resp == nil:
			n.storeIntent(now, c)
		case resp.Error != nil:
			n.respondError(c.id, resp.Error)
		case resp.Zone == nil:
			n.respondError(c.id, unavailable("zone "+r.Zone))
		default:
			n.confirmZone(now, c, resp.Zone)
		}
	})
}

// confirmZone answers that the zone has committed its service state, and removes a pending intent of the same command.
func (n *Node) confirmZone(now time.Duration, c *openRequest, z *api.ZoneStatus) {
	r := c.request.SetZone
	n.record(history.Event{Kind: history.ZoneStateAnswered, Zone: r.Zone, Revision: z.Revision, Out: r.Out,
		CommandID: r.CommandID})
	n.respond(c.id, Response{Body: n.listUnmetGuarantees(z)})
	if i, pending := n.deployment.Intent(r.Zone); pending && i.CommandID == r.CommandID {
		n.removeIntent(now, r.Zone, i.CommandID)
	}
}

// storeIntent stores the command as a pending intent in the deployment log, and answers that the zone has not
// confirmed it.
func (n *Node) storeIntent(now time.Duration, c *openRequest) {
	r := c.request.SetZone
	intent := &deployment.Intent{CommandID: r.CommandID, Zone: r.Zone, ExpectedRevision: r.ExpectedRevision, Out: r.Out}
	n.requestDeployment(now, deployment.Request{Intent: intent}, func(_ time.Duration, resp *deployment.Response) {
		switch {
		case n.gone(c.id):
		case resp == nil || resp.Error != nil:
			n.respondError(c.id, unavailable("zone "+r.Zone+" and of the deployment"))
		default:
			n.respond(c.id, Response{Body: &api.ZoneStatus{
				Zone: r.Zone, State: pendingState(r.Out), Repeated: resp.Repeated, Unconfirmed: []string{r.Zone}}})
		}
	})
}

func pendingState(out bool) string {
	if out {
		return api.ZonePendingOut
	}
	return api.ZonePendingIn
}

// intentRetryDelay is the delay before a pending intent is delivered to its cell again.
const intentRetryDelay = time.Second

// deliverIntent passes a pending intent for a zone to the zone's cell, which this host leads, and removes it from the
// deployment log once the cell has accepted or refused it. It runs before the cell schedules, so that nothing starts
// after an intent to take the zone out of service has arrived here.
func (n *Node) deliverIntent(now time.Duration, g *group) {
	i, pending := n.deployment.Intent(g.zone)
	if !pending || now < g.intentRetryAt {
		return
	}
	g.intentRetryAt = now + intentRetryDelay
	r := cell.Request{Service: &cell.ServiceRequest{CommandID: i.CommandID, ExpectedRevision: i.ExpectedRevision,
		Out: i.Out}}
	n.requestCell(now, g.zone, r, 0, requestTimeout, func(now time.Duration, resp *cell.Response) {
		if resp != nil && (resp.Error == nil || resp.Error.Code == api.CodeConflict) {
			n.removeIntent(now, g.zone, i.CommandID)
		}
	})
}

func (n *Node) removeIntent(now time.Duration, zone, command string) {
	r := deployment.Request{RemoveIntent: &deployment.RemoveIntent{Zone: zone, CommandID: command}}
	n.requestDeployment(now, r, func(time.Duration, *deployment.Response) {})
}

func (n *Node) listZones(now time.Duration, c *openRequest) {
	found := map[string]*api.ZoneStatus{}
	n.requestAllCells(now, cell.Request{Status: &cell.StatusRequest{}}, func(zone string, resp *cell.Response) {
		if resp != nil && resp.Zone != nil {
			found[zone] = resp.Zone
		}
	}, func(now time.Duration) {
		if n.gone(c.id) {
			return
		}
		list := &api.ZoneList{}
		for _, zone := range n.zones {
			list.Zones = append(list.Zones, n.zoneStatus(zone, found[zone]))
		}
		n.respond(c.id, Response{Body: list})
	})
}

func (n *Node) zoneStatus(zone string, z *api.ZoneStatus) api.ZoneStatus {
	if z == nil {
		z = &api.ZoneStatus{Zone: zone, State: api.ZoneUnknown, Unconfirmed: []string{zone}}
	}
	z = n.listUnmetGuarantees(z)
	if i, pending := n.deployment.Intent(zone); pending {
		z.State = pendingState(i.Out)
	}
	return *z
}

// listUnmetGuarantees adds to the status of a zone that is out of service the guarantees that cannot be met meanwhile.
func (n *Node) listUnmetGuarantees(z *api.ZoneStatus) *api.ZoneStatus {
	if z.State != api.ZoneOut {
		return z
	}
	z.NoHome = nil
	for _, w := range n.deployment.Workspaces(z.Zone) {
		for _, g := range w.Guarantees {
			z.NoHome = append(z.NoHome, describeGuarantee(w.Name, g))
		}
	}
	return z
}

func describeGuarantee(workspace string, g table.Guarantee) string {
	places := [...]string{table.SameZone: "zone", table.SameRack: "rack", table.SameWorker: "worker"}
	return fmt.Sprintf("%s: %d gangs of %d members with %d accelerators, same %s",
		workspace, g.Gangs, g.Shape.Gang, g.Shape.Accelerators, places[g.Shape.Adjacency])
}

func (n *Node) listWorkers(now time.Duration, c *openRequest) {
	list := &api.WorkerList{Workers: []api.Worker{}}
	n.requestAllCells(now, cell.Request{Workers: &cell.WorkersRequest{}}, func(zone string, resp *cell.Response) {
		if resp == nil || resp.Error != nil {
			list.Unreachable = append(list.Unreachable, zone)
			return
		}
		list.Workers = append(list.Workers, resp.Workers...)
	}, func(time.Duration) {
		if !n.gone(c.id) {
			n.respond(c.id, Response{Body: list})
		}
	})
}

func (n *Node) listRevisions(now time.Duration, c *openRequest) {
	out := &api.Revisions{Deployment: n.deployment.Revision(), Zones: map[string]uint64{}}
	n.requestAllCells(now, cell.Request{Status: &cell.StatusRequest{}}, func(zone string, resp *cell.Response) {
		out.Zones[zone] = 0
		if resp != nil && resp.Zone != nil {
			out.Zones[zone] = resp.Zone.AdoptedRevision
		}
	}, func(time.Duration) {
		if !n.gone(c.id) {
			n.respond(c.id, Response{Body: out})
		}
	})
}

// listHosts lists all hosts, as far as this host knows their state.
func (n *Node) listHosts(now time.Duration) *api.HostList {
	list := &api.HostList{}
	for _, p := range n.settings.Peers {
		h := api.Host{ID: p.ID, Zone: p.Zone, Address: p.Address, Disk: p.Disk, Connected: n.connected(now, p.ID)}
		if p.ID == n.settings.Self.ID {
			h.Incarnation, h.Stopping, h.Leads = n.settings.Incarnation, n.stopping, n.ledGroups(now)
		} else if status := n.peerStatuses[p.ID]; status != nil {
			h.Incarnation, h.Stopping = status.incarnation, status.stopping
			for _, id := range status.ledGroups {
				h.Leads = append(h.Leads, string(id))
			}
		}
		list.Hosts = append(list.Hosts, h)
	}
	return list
}

// ledGroups returns the groups that this host leads with a valid lease.
func (n *Node) ledGroups(now time.Duration) []string {
	var out []string
	for _, g := range n.groupOrder {
		if g.replica.LeadsUnderLease(now) {
			out = append(out, string(g.id))
		}
	}
	return out
}

// drainHost begins a planned stop of this or another host.
func (n *Node) drainHost(now time.Duration, c *openRequest) {
	host := c.request.Drain.Host
	if _, known := n.peers[host]; !known {
		n.respondError(c.id, notFound("host "+host))
		return
	}
	if host != n.settings.Self.ID && !n.connected(now, host) {
		n.respondError(c.id, unavailable("host "+host))
		return
	}
	for _, h := range n.listHosts(now).Hosts {
		if h.ID == host {
			h.Stopping = true
			n.respond(c.id, Response{Body: &h})
		}
	}
	if host == n.settings.Self.ID {
		n.beginStop(now)
		return
	}
	n.send(host, envelope{Drain: &drain{}})
}

func (n *Node) peerIDs() string {
	ids := make([]string, len(n.settings.Peers))
	for i, p := range n.settings.Peers {
		ids[i] = p.ID
	}
	return strings.Join(ids, ",")
}
