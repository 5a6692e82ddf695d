package node

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/deployment"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// maxPasses bounds the passes over the groups in one call of Handle. Remaining work is done at the next input.
const maxPasses = 16

// offerInterval is the interval at which contracts are offered again to a cell that has not adopted them.
const offerInterval = time.Second

// processGroups passes proposals, committed entries, messages and replies on until no group has any left, in at most
// maxPasses passes.
func (n *Node) processGroups(now time.Duration) {
	for range maxPasses {
		progress := false
		for _, g := range n.groupOrder {
			progress = n.processGroup(now, g) || progress
		}
		if !progress {
			return
		}
	}
}

// processGroup passes on the output of one group's replica and state machine, and reports whether there was any.
func (n *Node) processGroup(now time.Duration, g *group) bool {
	n.syncGroup(now, g)
	progress := n.propose(now, g)
	progress = n.processReplicaOutput(now, g) || progress
	n.syncGroup(now, g)
	return n.processInactiveEvents(now, g) || progress
}

// syncLeadership updates every state machine on whether this host leads its log with a valid lease.
func (n *Node) syncLeadership(now time.Duration) {
	for _, g := range n.groupOrder {
		n.syncGroup(now, g)
	}
}

// syncGroup activates the state machine of a group while this host leads with a valid lease, suspends the cell while
// the lease does not hold but the leadership lasts, and deactivates the state machine once the leadership is lost.
func (n *Node) syncGroup(now time.Duration, g *group) {
	leads := g.replica.LeadsUnderLease(now)
	ended := g.leaseEnded(now)
	n.recordLease(g, leads, ended)
	if leads {
		n.activate(now, g, g.replica.Term(), ended)
		// At least now, so that a host which took an expired lease as valid records the time at which it last did so.
		g.leaseEnd = max(now, g.replica.LeaseEnd())
		return
	}
	if g.epoch == 0 {
		return
	}
	if g.replica.Status().Role == replica.Leader && g.replica.Term() == g.epoch {
		if g.cell != nil {
			g.cell.Suspend(ended)
		}
		return
	}
	n.deactivate(now, g, ended)
}

// leaseEnded returns when the lease that this host held last ended, if it is lost now. That is not the time at which the
// host notices the loss: a host that gets no processor for a while notices late. Replies that arrived after the last
// synchronization may have extended the lease.
func (g *group) leaseEnded(now time.Duration) time.Duration {
	return min(now, max(g.leaseEnd, g.replica.LeaseEnd()))
}

// recordLease records events when the leader lease of the deployment log begins and ends. Cells record their own.
func (n *Node) recordLease(g *group, leads bool, ended time.Duration) {
	if g.cell != nil {
		return
	}
	term := g.replica.Term()
	if g.leaseTerm != 0 && (!leads || g.leaseTerm != term) {
		n.record(history.Event{Time: int64(ended), Kind: history.LeaseEnded, Group: string(g.id), Epoch: g.leaseTerm})
		g.leaseTerm = 0
	}
	if leads && g.leaseTerm == 0 {
		n.record(history.Event{Kind: history.LeaseGranted, Group: string(g.id), Epoch: term})
		g.leaseTerm = term
	}
}

// activate makes this host act as the group's leader for a term, once everything that was committed when the lease
// began is applied: a leader that acts on an older state could start a job twice or put an old revision in force. ended
// is when the lease of an earlier term ended.
func (n *Node) activate(now time.Duration, g *group, term uint64, ended time.Duration) {
	if g.epoch != term {
		if g.epoch != 0 {
			n.deactivate(now, g, ended)
		}
		if g.applied < g.replica.CommitIndex() {
			return
		}
		g.epoch, g.epochBeganAt = term, now
	}
	if g.cell == nil {
		return
	}
	g.cell.Lead(now, term)
	n.offerContracts(now, g)
}

// offerContracts passes the contracts to a cell that has adopted an older revision than the deployment's.
func (n *Node) offerContracts(now time.Duration, g *group) {
	revision := n.deployment.Revision()
	if revision <= g.cell.AdoptedRevision() {
		return
	}
	if g.offeredRevision == revision && now < g.nextOfferAt {
		return
	}
	g.offeredRevision, g.nextOfferAt = revision, now+offerInterval
	g.cell.SetContracts(now, revision, n.deployment.Workspaces(g.zone))
}

// deactivate returns the state machine of a group that this host no longer leads to the follower role, and drops the
// group's open requests.
func (n *Node) deactivate(now time.Duration, g *group, ended time.Duration) {
	g.epoch, g.offeredRevision, g.nextOfferAt, g.intentRetryAt = 0, 0, 0, 0
	g.backlog = nil
	if g.cell != nil {
		g.cell.Follow(ended)
	} else {
		n.deploymentLeader.Reset()
	}
	n.dropServing(now, g.id)
}

// propose appends the proposals of the group's state machine to the log, and reports whether the state machine produced
// anything.
func (n *Node) propose(now time.Duration, g *group) bool {
	if g.epoch == 0 || !g.replica.LeadsUnderLease(now) {
		return false
	}
	progress := n.processStateMachineOutput(now, g)
	for len(g.backlog) > 0 {
		index, _, ok := g.replica.Propose(now, g.backlog[0])
		if !ok {
			// A leadership transfer is under way. The proposals wait until it has ended or the leadership is lost.
			return progress
		}
		g.backlog = g.backlog[1:]
		if g.cell == nil {
			n.deploymentLeader.Proposed(index)
		}
	}
	return progress
}

// processStateMachineOutput adds the proposals of a led group's state machine to the backlog, passes its other outputs
// on, and reports whether there was any output.
func (n *Node) processStateMachineOutput(now time.Duration, g *group) bool {
	if g.cell == nil {
		proposals, replies := n.deploymentLeader.Take()
		g.backlog = append(g.backlog, proposals...)
		n.sendDeploymentReplies(now, replies)
		return len(proposals)+len(replies) > 0
	}
	out := g.cell.Take()
	g.backlog = append(g.backlog, out.Proposals...)
	n.processCellOutput(now, g, out)
	return len(out.Proposals)+len(out.Replies)+len(out.Calls)+len(out.HandOvers) > 0
}

// processInactiveEvents passes on the events of a cell that may not act now, because the leader lease does not hold or
// another host leads. It always returns false: events do not call for another pass.
func (n *Node) processInactiveEvents(now time.Duration, g *group) bool {
	if g.cell != nil && (g.epoch == 0 || !g.replica.LeadsUnderLease(now)) {
		n.processCellOutput(now, g, cell.Output{Events: g.cell.TakeEvents()})
	}
	return false
}

// processReplicaOutput persists, restores, applies and compacts as the replica's output demands, and reports whether
// there was any output.
func (n *Node) processReplicaOutput(now time.Duration, g *group) bool {
	out := g.replica.Take()
	n.store(g, out)
	if out.Snapshot != nil {
		n.restore(now, g, out.Snapshot)
	}
	for _, e := range out.Committed {
		n.apply(now, g, e)
	}
	if g.replica.NeedsSnapshot() && g.applied > 0 {
		n.snapshot(g)
	}
	return out.Mark != 0 || len(out.Messages) > 0 || len(out.Committed) > 0
}

// store emits the records of a group. It holds the group's messages back until these and all earlier records of the
// group are synced, because a later message may depend on state in an earlier record.
func (n *Node) store(g *group, out replica.Output) {
	if len(out.Records) > 0 {
		n.persistSeq++
		g.lastPersistSeq = n.persistSeq
		n.emit(Persist{Seq: n.persistSeq, Records: out.Records})
		n.syncWaiters = append(n.syncWaiters, syncWaiter{seq: g.lastPersistSeq, group: g, mark: out.Mark})
	}
	for i := range out.Messages {
		if g.lastPersistSeq <= n.syncedSeq {
			n.sendReplica(&out.Messages[i])
			continue
		}
		n.syncWaiters = append(n.syncWaiters, syncWaiter{seq: g.lastPersistSeq, group: g, message: &out.Messages[i]})
	}
}

// persisted releases the messages and write marks that waited for Persist outputs up to seq.
func (n *Node) persisted(seq uint64) {
	if seq <= n.syncedSeq {
		return
	}
	n.syncedSeq = seq
	kept := n.syncWaiters[:0]
	for _, waiter := range n.syncWaiters {
		if waiter.seq > seq {
			kept = append(kept, waiter)
			continue
		}
		if waiter.message != nil {
			n.sendReplica(waiter.message)
			continue
		}
		waiter.group.replica.Synced(waiter.mark)
	}
	clear(n.syncWaiters[len(kept):])
	n.syncWaiters = kept
}

// compact emits the whole state of all groups as the new content of the record file.
func (n *Node) compact() {
	var records []replica.Record
	for _, g := range n.groupOrder {
		records = append(records, g.replica.FullRecord())
	}
	n.persistSeq++
	n.emit(Persist{Seq: n.persistSeq, Records: records, Replace: true})
}

func (n *Node) restore(now time.Duration, g *group, s *replica.Snapshot) {
	var err error
	if g.cell != nil {
		err = g.cell.Restore(now, s.Data)
	} else {
		err = n.deployment.Restore(s.Data)
	}
	if err != nil {
		n.halt(false, eris.Wrapf(err, "restore group %s", g.id).Error())
		return
	}
	g.applied = s.Index
}

func (n *Node) apply(now time.Duration, g *group, e replica.Entry) {
	g.applied = e.Index
	n.metrics.Applied++
	if e.Kind != replica.EntryCommand {
		return
	}
	if g.cell != nil {
		g.cell.Apply(now, e.Index, e.Data)
		return
	}
	before := n.deployment.Revision()
	resp := n.deployment.Apply(e.Data)
	if after := n.deployment.Revision(); after != before {
		n.record(history.Event{Kind: history.RevisionKnown, Revision: after})
	}
	n.deploymentLeader.Applied(e.Index, resp)
}

func (n *Node) snapshot(g *group) {
	data := n.stateMachineSnapshot(g)
	g.replica.Compact(g.applied, data)
	n.metrics.Snapshots++
}

func (n *Node) stateMachineSnapshot(g *group) []byte {
	if g.cell != nil {
		return g.cell.Snapshot()
	}
	return n.deployment.Snapshot()
}

// processCellOutput passes on the events, calls, replies and hand-overs of a cell. Events go first, because a reply may
// cause an event that must be recorded after them.
func (n *Node) processCellOutput(now time.Duration, g *group, out cell.Output) {
	for _, e := range out.Events {
		n.record(e)
	}
	for _, c := range out.Calls {
		id := n.newID()
		n.calls[id] = cellCall{group: g, id: c.ID}
		n.emit(CallEndpoint{ID: id, Address: c.Address, Timeout: n.settings.Cell.CallTimeout, Call: c.Call})
	}
	for i := range out.Replies {
		n.reply(now, out.Replies[i].ID, routedReply{cell: &out.Replies[i].Response})
	}
	for _, h := range out.HandOvers {
		n.handOver(now, g, h)
	}
}

func (n *Node) sendDeploymentReplies(now time.Duration, replies []deployment.Reply) {
	for i := range replies {
		n.reply(now, replies[i].ID, routedReply{deployment: &replies[i].Response})
	}
}

func (n *Node) callDone(now time.Duration, in CallDone) {
	c, ok := n.calls[in.ID]
	if !ok {
		return
	}
	delete(n.calls, in.ID)
	if c.group.epoch != 0 {
		// Also while the lease does not hold; otherwise the cell would wait forever for the end of the call.
		c.group.cell.CallDone(now, c.id, in.Reply)
	}
}
