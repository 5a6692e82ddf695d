package cell

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

const (
	// unlistedHeartbeatsLimit is the number of consecutive heartbeats that do not list a running attempt after which
	// the endpoint is asked for the attempt's state.
	unlistedHeartbeatsLimit = 3
	// maxIncarnations bounds the incarnations of each endpoint that are kept in order to refuse late announcements.
	maxIncarnations = 4
	// lostRetention is how long a lost worker stays in the tables, so that operators see it.
	lostRetention = 10 * time.Minute
)

// endpointKey identifies one incarnation of an endpoint.
type endpointKey struct{ Worker, Incarnation string }

// endpointState is the state that the leader keeps of one incarnation of an endpoint.
type endpointState struct {
	lastSeen       time.Duration
	lastGrant      time.Duration            // Latest time at which a start granted, or may have granted, a lease.
	startsInFlight map[uint64]time.Duration // By call: time until which a start in flight may arrive.
	lost           bool
	attempts       map[string]*trackedAttempt
}

// lastLeaseStart returns the latest time at which a lease that the endpoint may hold began.
func (e *endpointState) lastLeaseStart() time.Duration {
	from := max(e.lastSeen, e.lastGrant)
	for _, until := range e.startsInFlight {
		from = max(from, until)
	}
	return from
}

// recordStartReply records when the lease that a start grants begins. A start whose reply is lost may arrive until its
// reservation ends.
func (e *endpointState) recordStartReply(now time.Duration, id uint64, reply *endpoint.Reply) {
	switch {
	case reply == nil:
		e.lastGrant = max(e.lastGrant, e.startsInFlight[id])
	case reply.OK:
		e.lastGrant = max(e.lastGrant, now)
	}
	delete(e.startsInFlight, id)
}

// endpointOf returns the state of an endpoint. A new one counts as seen now, so that a full lease passes before it
// counts as silent.
func (d *dispatcher) endpointOf(now time.Duration, key endpointKey) *endpointState {
	e := d.endpoints[key]
	if e == nil {
		e = &endpointState{lastSeen: now, attempts: map[string]*trackedAttempt{}, startsInFlight: map[uint64]time.Duration{}}
		d.endpoints[key] = e
		d.watchLeases(key, e)
	}
	return e
}

// watchLeases calls endpointSilent when the leases of an endpoint end without having been renewed.
func (d *dispatcher) watchLeases(key endpointKey, e *endpointState) {
	d.timers.add(e.lastLeaseStart()+d.cell.options.Timing.Lease, func(now time.Duration) {
		if d.endpoints[key] != e {
			return
		}
		if now < e.lastLeaseStart()+d.cell.options.Timing.Lease {
			d.watchLeases(key, e)
			return
		}
		d.endpointSilent(now, key, e)
	})
}

// endpointSilent stops the gangs with a member on an endpoint whose leases have expired, so that the leases of their
// other members expire too. After LeaseMargin the endpoint counts as lost.
func (d *dispatcher) endpointSilent(now time.Duration, key endpointKey, e *endpointState) {
	for _, id := range sortedKeys(e.attempts) {
		if r := e.attempts[id]; len(r.members) > 1 {
			d.abort(now, r, "worker "+key.Worker+" was lost")
		}
	}
	from := e.lastLeaseStart()
	d.timers.add(from+d.cell.options.Timing.Lease+d.cell.options.Timing.LeaseMargin, func(now time.Duration) {
		switch {
		case d.endpoints[key] != e:
		case e.lastLeaseStart() != from:
			d.watchLeases(key, e)
		default:
			d.loseEndpoint(now, key, e)
		}
	})
}

// loseEndpoint marks an endpoint as lost whose tasks have certainly ended, and stops the attempts with members there.
func (d *dispatcher) loseEndpoint(now time.Duration, key endpointKey, e *endpointState) {
	e.lost = true
	if w := d.tables.Worker(key.Worker); w != nil && w.Incarnation == key.Incarnation {
		w.Lost = true
		d.timers.add(now+lostRetention, func(time.Duration) { d.removeLostWorker(key, e) })
	}
	for _, id := range sortedKeys(e.attempts) {
		r := e.attempts[id]
		for i, m := range r.attempt.Members {
			if m.Worker == key.Worker && m.Incarnation == key.Incarnation {
				r.members[i].lost = true
			}
		}
		d.abort(now, r, "worker "+key.Worker+" was lost")
		d.step(now, r)
	}
	d.pruneEndpoint(key, e)
}

func (d *dispatcher) removeLostWorker(key endpointKey, e *endpointState) {
	if d.endpoints[key] != e || !e.lost || len(e.attempts) > 0 {
		return
	}
	d.tables.RemoveWorker(key.Worker)
	d.pruneEndpoint(key, e)
}

// pruneEndpoint removes the state of an incarnation that has no attempts and is not the worker's current one.
func (d *dispatcher) pruneEndpoint(key endpointKey, e *endpointState) {
	w := d.tables.Worker(key.Worker)
	if len(e.attempts) == 0 && (w == nil || w.Incarnation != key.Incarnation) {
		delete(d.endpoints, key)
	}
}

// suspect marks the worker of an endpoint that did not accept a call as leaving, if the endpoint says so, or as lost
// until its next heartbeat. This keeps the scheduler from choosing it again at once.
func (d *dispatcher) suspect(p table.MemberPlacement, reply *endpoint.Reply) {
	w := d.tables.Worker(p.Worker)
	if w == nil || w.Incarnation != p.Incarnation {
		return
	}
	switch {
	case reply != nil && reply.Code == endpoint.CodeLeaving:
		w.Leaving = true
	case reply == nil || reply.Code == endpoint.CodeNoCapacity || reply.Code == endpoint.CodeWrongIncarnation:
		w.Lost = true
	}
}

// announce adds an endpoint to the tables. A new incarnation proves that all attempts of the earlier ones have ended.
func (d *dispatcher) announce(now time.Duration, a *endpoint.Announcement) *endpoint.HeartbeatReply {
	incarnations := d.incarnations[a.Worker]
	if a.Zone != d.cell.options.Zone ||
		(slices.Contains(incarnations, a.Incarnation) && incarnations[len(incarnations)-1] != a.Incarnation) {
		return d.heartbeatReply(false)
	}
	key := endpointKey{a.Worker, a.Incarnation}
	old := d.tables.Worker(a.Worker)
	w := &table.Worker{ID: a.Worker, Incarnation: a.Incarnation, Rack: a.Rack, Address: a.Address,
		Accelerators: a.Accelerators, Slots: a.Slots, Cores: a.Cores, MemoryMB: a.MemoryMB,
		Connections: a.Connections, LastSeen: now}
	if old != nil && old.Incarnation == a.Incarnation {
		// The flags of another incarnation are not taken over: its recorded failures are dropped, and a flag without
		// recorded failures would never be cleared.
		w.Quarantined, w.Probing = old.Quarantined, old.Probing
	}
	d.tables.PutWorker(w)
	if a.Leaving && !w.Leaving {
		w.Leaving = true
		d.cell.propose(Command{Leaving: &Leaving{Worker: a.Worker, Incarnation: a.Incarnation}})
	}
	d.recordContact(now, key)
	if len(incarnations) == 0 || incarnations[len(incarnations)-1] != a.Incarnation {
		incarnations = append(incarnations, a.Incarnation)
		d.incarnations[a.Worker] = incarnations[max(0, len(incarnations)-maxIncarnations):]
		d.loseOtherIncarnations(now, key)
	}
	d.planSoon(now)
	return d.heartbeatReply(true)
}

// loseOtherIncarnations marks all other incarnations of an endpoint as lost.
func (d *dispatcher) loseOtherIncarnations(now time.Duration, current endpointKey) {
	var others []string
	for key := range d.endpoints {
		if key.Worker == current.Worker && key.Incarnation != current.Incarnation {
			others = append(others, key.Incarnation)
		}
	}
	slices.Sort(others)
	for _, incarnation := range others {
		key := endpointKey{current.Worker, incarnation}
		d.loseEndpoint(now, key, d.endpoints[key])
	}
}

// recordContact records that an endpoint was heard from.
func (d *dispatcher) recordContact(now time.Duration, key endpointKey) *endpointState {
	e := d.endpointOf(now, key)
	e.lastSeen = now
	if e.lost {
		e.lost = false
		d.watchLeases(key, e)
	}
	if w := d.tables.Worker(key.Worker); w != nil {
		w.LastSeen, w.Lost = now, false
	}
	return e
}

// heartbeat renews the leases of the attempts that an endpoint holds, except those that it tells the endpoint to stop.
func (d *dispatcher) heartbeat(now time.Duration, h *endpoint.Heartbeat) *endpoint.HeartbeatReply {
	w := d.tables.Worker(h.Worker)
	if w == nil || w.Incarnation != h.Incarnation {
		return d.heartbeatReply(false)
	}
	e := d.recordContact(now, endpointKey{h.Worker, h.Incarnation})
	reply := d.heartbeatReply(true)
	held := make(map[string]bool, len(h.Attempts))
	for _, a := range h.Attempts {
		held[a.Attempt] = true
		if r := e.attempts[a.Attempt]; r == nil || r.phase == phaseStop {
			reply.StopAttempts = append(reply.StopAttempts, a.Attempt)
		}
	}
	for _, id := range sortedKeys(e.attempts) {
		d.countUnlisted(e.attempts[id], h, held[id])
	}
	return reply
}

// countUnlisted counts the heartbeats of an endpoint that do not list a running attempt. From
// unlistedHeartbeatsLimit on it asks the endpoint for the state of the attempt.
func (d *dispatcher) countUnlisted(r *trackedAttempt, h *endpoint.Heartbeat, held bool) {
	if r.phase != phaseRunning {
		return
	}
	for i, place := range r.attempt.Members {
		m := &r.members[i]
		if place.Worker != h.Worker || m.result != nil {
			continue
		}
		if held {
			m.unlistedHeartbeats = 0
			continue
		}
		m.unlistedHeartbeats++
		if m.unlistedHeartbeats >= unlistedHeartbeatsLimit && m.callID == 0 {
			d.sendCall(r, i, endpoint.Call{Op: endpoint.OpStatus})
		}
	}
}

// statusDone handles the reply to a status call. A member that is unknown to its endpoint counts as lost.
func (d *dispatcher) statusDone(now time.Duration, r *trackedAttempt, i int, reply *endpoint.Reply) {
	if reply != nil && reply.OK && reply.Phase == endpoint.PhaseUnknown && r.phase == phaseRunning {
		r.members[i].lost = true
	}
	d.step(now, r)
}

func (d *dispatcher) heartbeatReply(known bool) *endpoint.HeartbeatReply {
	t := d.cell.options.Timing
	return &endpoint.HeartbeatReply{Known: known, Epoch: d.epoch, LeaseMillis: t.Lease.Milliseconds(),
		PeriodMillis: t.Heartbeat.Milliseconds()}
}
