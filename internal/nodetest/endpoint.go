package nodetest

import (
	"fmt"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// endpointTick is the period at which Tick of each endpoint is called.
const endpointTick = 20 * time.Millisecond

// Endpoint is a stand-in endpoint of the run.
type Endpoint struct {
	Standin *standin.Endpoint // The state machine.
	Spec    WorkerSpec

	world        *World
	incarnations int
}

func newEndpoint(w *World, s WorkerSpec) *Endpoint {
	e := &Endpoint{Spec: s, world: w}
	e.Standin = standin.New(standin.Options{Announcement: endpoint.Announcement{
		Worker: s.ID, Incarnation: e.nextIncarnation(), Zone: s.Zone, Rack: s.Rack, Address: s.ID,
		Accelerators: s.Accelerators, Slots: 8, Cores: 30, MemoryMB: 64 << 10, Connections: 64,
	}, Checkpoints: w.checkpoints})
	return e
}

func (e *Endpoint) nextIncarnation() string {
	e.incarnations++
	return fmt.Sprintf("%s#%d", e.Spec.ID, e.incarnations)
}

// Restart restarts the endpoint at the same address with a new incarnation.
func (e *Endpoint) Restart() { e.Standin.Restart(e.world.now, e.nextIncarnation()) }

func (e *Endpoint) start() {
	e.world.After(time.Duration(e.world.random.Int64N(int64(endpointTick))), e.tick)
}

func (e *Endpoint) tick() {
	for _, a := range e.Standin.Tick(e.world.now) {
		if a.Event != nil {
			e.world.History = append(e.world.History, *a.Event)
			continue
		}
		e.report(a.Report)
	}
	e.world.After(endpointTick, e.tick)
}

// report sends a report to a random host of the zone. If the host is down, the endpoint learns after delayWithinZone that
// the connection was refused.
func (e *Endpoint) report(r *standin.Report) {
	w := e.world
	h := w.randomHost(e.Spec.Zone)
	if h == nil || w.cuts[link{e.Spec.ID, h.Peer.ID}] {
		return
	}
	if !h.up {
		w.After(delayWithinZone, func() { e.Standin.HandleReply(w.now, standin.ReportReply{ID: r.ID}) })
		return
	}
	report := cell.Report{Announcement: r.Announcement, Heartbeat: r.Heartbeat, Leaving: r.Leaving, Result: r.Result}
	w.After(w.jitter(delayWithinZone), func() {
		h.runUnlessKilled(h.generation, func() {
			h.nextID++
			h.reports[h.nextID] = func(o node.RespondEndpoint) { e.replied(h, r.ID, o) }
			h.Input(node.EndpointReport{ID: h.nextID, Report: report})
		})
	})
}

func (e *Endpoint) replied(h *Host, id uint64, o node.RespondEndpoint) {
	w := e.world
	if w.cuts[link{h.Peer.ID, e.Spec.ID}] {
		return
	}
	w.After(w.jitter(delayWithinZone), func() {
		reply := standin.ReportReply{ID: id}
		if o.Error == nil {
			reply.HeartbeatReply, reply.Ack = o.HeartbeatReply, o.Ack
		}
		e.Standin.HandleReply(w.now, reply)
	})
}

// call sends one call of a host to the endpoint, and calls done with the reply unless the call or the reply is lost.
func (e *Endpoint) call(from *Host, c endpoint.Call, done func(*endpoint.Reply)) {
	w := e.world
	if w.cuts[link{from.Peer.ID, e.Spec.ID}] || w.random.Float64() < w.options.Loss {
		return
	}
	w.After(w.jitter(delayWithinZone), func() {
		reply := e.Standin.Handle(w.now, c)
		if reply.Code == standin.CodeSilent || w.cuts[link{e.Spec.ID, from.Peer.ID}] || w.random.Float64() < w.options.Loss {
			return
		}
		w.After(w.jitter(delayWithinZone)+e.Standin.ReplyDelay(), func() { done(&reply) })
	})
}

// randomHost returns a random host of a zone, or nil if the zone has none.
func (w *World) randomHost(zone string) *Host {
	var in []*Host
	for _, id := range w.HostIDs {
		if w.Hosts[id].Peer.Zone == zone {
			in = append(in, w.Hosts[id])
		}
	}
	if len(in) == 0 {
		return nil
	}
	return in[w.random.IntN(len(in))]
}
