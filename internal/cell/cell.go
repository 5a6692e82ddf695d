package cell

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Retention bounds that apply where Options have none.
const (
	defaultRetainedJobs  = 10000
	defaultRetainedBytes = 8 << 20
)

// maxProposalBytes bounds the estimated size of one proposal. A single larger command is a proposal of its own.
const maxProposalBytes = 512 << 10

// Cell is one host's replica of the scheduler state of an availability zone. While the host leads the zone's log, it
// also runs the dispatcher.
type Cell struct {
	options       Options
	state         *stateMachine
	dispatcher    *dispatcher // Nil while this host does not lead.
	output        Output
	pending       []Command // Commands to propose; held while suspended.
	replies       []Reply   // Held while suspended.
	lastCallID    uint64
	otherZones    []ZoneView
	contracts     zoneContracts
	isolated      bool
	isolatedSince time.Duration // Start of the present isolation; valid while isolated.
	appliedIndex  uint64
}

// zoneContracts are the contracts of the newest deployment revision that SetContracts passed, as far as they concern
// the zone.
type zoneContracts struct {
	revision   uint64
	workspaces []*table.Workspace
}

// New returns an empty cell.
func New(options Options, _ time.Duration) *Cell {
	if options.RetainedJobs == 0 {
		options.RetainedJobs = defaultRetainedJobs
	}
	if options.RetainedBytes == 0 {
		options.RetainedBytes = defaultRetainedBytes
	}
	return &Cell{options: options, state: newStateMachine(options.Zone)}
}

// Apply applies one committed entry. Data that cannot be decoded has no effect on any replica.
func (c *Cell) Apply(now time.Duration, index uint64, data []byte) {
	c.appliedIndex = index
	var b Batch
	if err := decoder.Unmarshal(data, &b); err != nil {
		return
	}
	for i := range b.Commands {
		e := c.state.apply(now, index, &b.Commands[i])
		c.recordEffect(&e)
		if c.dispatcher != nil {
			c.dispatcher.applied(now, e)
		}
	}
	if c.dispatcher != nil {
		c.dispatcher.schedule(now)
	}
}

// Snapshot returns the encoded replicated state.
func (c *Cell) Snapshot() []byte { return c.state.snapshot() }

// Restore replaces the replicated state by a snapshot. The host does not lead afterwards.
func (c *Cell) Restore(now time.Duration, data []byte) error {
	c.Follow(now)
	return c.state.restore(now, data)
}

// Tables returns the tables, which the caller must not change.
func (c *Cell) Tables() *table.Tables { return c.state.tables }

// ServiceRevision returns the revision of the zone's service state.
func (c *Cell) ServiceRevision() uint64 { return c.state.tables.Service.Revision }

// OutOfService reports whether the zone is out of service.
func (c *Cell) OutOfService() bool { return c.state.tables.Service.Out }

// AdoptedRevision returns the deployment revision whose contracts are in force in the zone.
func (c *Cell) AdoptedRevision() uint64 { return c.state.tables.Revision }

// Lead tells the cell that this host leads the zone's log with the given epoch and holds the leader lease. It begins
// the dispatcher's work, or resumes it after Suspend. All entries of earlier epochs must have been applied.
func (c *Cell) Lead(now time.Duration, epoch uint64) {
	if c.dispatcher != nil && c.dispatcher.epoch == epoch {
		c.dispatcher.resume(now)
		return
	}
	c.Follow(now)
	c.dispatcher = newDispatcher(c, epoch)
	c.recordLeaseGranted()
	// Recorded again because an earlier leader may have crashed between the commit of an adoption and its event.
	c.recordEvent(history.Event{Kind: history.RevisionAdopted, Zone: c.options.Zone, Revision: c.state.tables.Revision})
	c.dispatcher.rebuild(now)
}

func (c *Cell) recordLeaseGranted() {
	c.recordEvent(history.Event{Kind: history.LeaseGranted, Group: c.groupName(), Epoch: c.dispatcher.epoch})
}

// Suspend tells the cell that the host does not hold the leader lease. Until Lead is called, the cell sends no calls,
// replies or hand-overs and proposes nothing. leaseEnded is when the lease ended.
func (c *Cell) Suspend(leaseEnded time.Duration) {
	if c.dispatcher == nil || c.dispatcher.suspended {
		return
	}
	c.dispatcher.suspended = true
	for _, call := range c.output.Calls {
		c.dispatcher.unsentCalls = append(c.dispatcher.unsentCalls, call.ID)
	}
	c.output.Calls, c.output.HandOvers = nil, nil
	c.recordLeaseEnded(leaseEnded)
}

func (c *Cell) recordLeaseEnded(at time.Duration) {
	c.recordEvent(history.Event{Time: int64(at), Kind: history.LeaseEnded, Group: c.groupName(), Epoch: c.dispatcher.epoch})
}

// Follow tells the cell that the host has lost the leadership. Waiting requests are dropped without a reply. leaseEnded
// is when the lease ended.
func (c *Cell) Follow(leaseEnded time.Duration) {
	if c.dispatcher == nil {
		return
	}
	if !c.dispatcher.suspended {
		c.recordLeaseEnded(leaseEnded)
	}
	c.dispatcher = nil
	c.pending, c.replies = nil, nil
	c.output.Proposals, c.output.Calls, c.output.HandOvers, c.output.Replies = nil, nil, nil, nil
	for _, w := range c.state.tables.Workers() {
		c.state.tables.RemoveWorker(w.ID)
	}
}

// Tick runs the leader's due timers, its retention, its hand-overs and a scheduling pass if one is due.
func (c *Cell) Tick(now time.Duration) {
	if c.dispatcher != nil {
		c.dispatcher.tick(now)
	}
}

// Request passes a request to the leader. Reads are answered from the entries that the leader of this epoch has
// applied; requests that change something are answered once the change is applied.
func (c *Cell) Request(now time.Duration, id uint64, r Request) {
	if c.dispatcher != nil {
		c.dispatcher.receive(now, id, r)
	}
}

// RequesterGone tells the cell that nobody waits for the reply to a request any more. The request still takes effect.
func (c *Cell) RequesterGone(id uint64) {
	if c.dispatcher != nil {
		delete(c.dispatcher.openRequests, id)
	}
}

// CallDone passes the reply to an EndpointCall, or nil if none arrived in time.
func (c *Cell) CallDone(now time.Duration, id uint64, reply *endpoint.Reply) {
	if c.dispatcher != nil {
		c.dispatcher.callDone(now, id, reply)
	}
}

// SetContracts passes a deployment revision and its contracts for this zone, which the caller must not change later.
// The leader proposes to adopt the revision if it is above the adopted one.
func (c *Cell) SetContracts(_ time.Duration, revision uint64, workspaces []*table.Workspace) {
	if revision > c.contracts.revision {
		c.contracts = zoneContracts{revision: revision, workspaces: workspaces}
	}
	if c.dispatcher != nil {
		c.dispatcher.proposeAdoption()
	}
}

// HandOverReplied passes the other zone's reply to a HandOver: accepted if that zone has committed the job, refused if
// it has durably refused it, neither if the outcome is not known.
func (c *Cell) HandOverReplied(_ time.Duration, job, zone string, accepted, refused bool) {
	if c.dispatcher != nil {
		c.dispatcher.handOverReplied(job, zone, accepted, refused)
	}
}

// SetZones passes the last known states of the other zones.
func (c *Cell) SetZones(otherZones []ZoneView) { c.otherZones = otherZones }

// SetIsolated tells the cell whether the host is isolated, that is, without contact to the deployment's leader.
func (c *Cell) SetIsolated(now time.Duration, isolated bool) {
	if isolated && !c.isolated {
		c.isolatedSince = now
	}
	c.isolated = isolated
}

// Take returns the output since the previous call. Proposals and replies are held back while the cell is suspended.
func (c *Cell) Take() Output {
	output := c.output
	c.output = Output{}
	if c.dispatcher == nil || c.dispatcher.suspended {
		return output
	}
	output.Proposals = c.encodePending()
	output.Replies = append(output.Replies, c.replies...)
	c.replies = nil
	return output
}

// TakeEvents returns the events since the previous call and leaves all other output for Take.
func (c *Cell) TakeEvents() []history.Event {
	events := c.output.Events
	c.output.Events = nil
	return events
}

// encodePending encodes the pending commands in batches of bounded size.
func (c *Cell) encodePending() [][]byte {
	var proposals [][]byte
	var b Batch
	size := 0
	for i := range c.pending {
		n := commandBytes(&c.pending[i])
		if size > 0 && size+n > maxProposalBytes {
			proposals = append(proposals, encode(b))
			b, size = Batch{}, 0
		}
		b.Commands = append(b.Commands, c.pending[i])
		size += n
	}
	if len(b.Commands) > 0 {
		proposals = append(proposals, encode(b))
	}
	c.pending = nil
	return proposals
}

// commandBytes estimates the encoded size of a command from the parts of variable size.
func commandBytes(c *Command) int {
	const fixed = 512
	switch {
	case c.Submit != nil:
		return fixed + len(c.Submit.Job.Body)
	case c.EndAttempt != nil:
		return fixed + len(c.EndAttempt.Body)
	case c.PlaceAttempt != nil:
		return fixed + 64*len(c.PlaceAttempt.Attempt.Members)
	}
	return fixed
}

func (c *Cell) propose(cmd Command) { c.pending = append(c.pending, cmd) }

func (c *Cell) recordEvent(e history.Event) { c.output.Events = append(c.output.Events, e) }

func (c *Cell) groupName() string { return "cell/" + c.options.Zone }

// recordEffect writes the history events of an applied command. Every replica records what happened to jobs, because a
// leader may crash between the commit of an answer and its own event. The revision in force is recorded by the leader
// only, because a replica that restarts applies old entries again.
func (c *Cell) recordEffect(e *effect) {
	if !e.changed {
		return
	}
	cmd := e.command
	switch {
	case cmd.Submit != nil:
		c.recordEvent(history.Event{Kind: history.Committed, Job: e.job.ID, Workspace: e.job.Workspace, Key: e.job.Key,
			NoRepeat: e.job.NoRepeat, Zone: c.options.Zone})
	case cmd.PlaceAttempt != nil:
		c.recordEvent(history.Event{Kind: history.Placed, Job: e.job.ID, Attempt: e.attempt.ID, Epoch: e.attempt.Epoch,
			Zone: c.options.Zone, Members: workersOf(e.attempt)})
	case cmd.SetService != nil:
		s := c.state.tables.Service
		c.recordEvent(history.Event{Kind: history.ServiceState, Zone: c.options.Zone, Out: s.Out, Revision: s.Revision})
	case cmd.Adopt != nil && c.dispatcher != nil:
		c.recordEvent(history.Event{Kind: history.RevisionAdopted, Zone: c.options.Zone, Revision: cmd.Adopt.Revision})
	}
	for _, id := range e.endedJobs {
		a := c.state.tables.Job(id).Answer
		c.recordEvent(history.Event{Kind: history.AnswerCommitted, Job: id, Attempt: a.Attempt, Outcome: string(a.Outcome),
			Digest: a.SHA256})
	}
}

func workersOf(a *table.Attempt) []string {
	out := make([]string, len(a.Members))
	for i, p := range a.Members {
		out[i] = p.Worker
	}
	return out
}
