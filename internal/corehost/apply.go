package corehost

import (
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// errOutputLost is the failure of a host that has taken an output of the replica and has not executed all of it.
var errOutputLost = eris.New("an output of the replicated log was not executed in full")

// processOutput takes the output of the replica: it restores a received snapshot, applies committed entries, queues
// records to be written, and sends messages. Messages that depend on a write are sent after its sync.
//
// The replica gives each output once. If one is not executed in full, by an error or by a panic, which the server of a
// call recovers from, the host takes no other: it would write entries after a gap, and acknowledge what it does not have.
func (h *Host) processOutput(now dispatch.Time) error {
	if h.failed != nil {
		return h.failed
	}
	failure := errOutputLost
	defer func() {
		if failure != nil {
			h.fail(failure)
		}
	}()
	failure = h.executeOutput(now, h.replica.Take())
	return failure
}

func (h *Host) executeOutput(now dispatch.Time, out replica.Output) error {
	if out.Snapshot != nil {
		if len(out.Snapshot.Data) > 0 {
			if err := h.restore(out.Snapshot); err != nil {
				return err
			}
		}
		h.updateKnownHosts(out.Snapshot.Config, nil)
	}
	for _, e := range out.Committed {
		h.apply(now, e)
	}
	messages := out.Messages
	if out.Mark != 0 {
		messages = h.sendAppendsBeforeSync(out)
		h.disk.put(diskWrite{records: out.Records, messages: messages, mark: out.Mark})
		return nil
	}
	h.peers.send(messages)
	return nil
}

// receivedState is the decoded state of a snapshot that has arrived.
type receivedState struct {
	index, term uint64
	state       *domain.StateMachine
}

// readSnapshot decodes the snapshot of a message and keeps the state for restore. It returns false if it cannot be
// decoded: such a message counts as lost, because the log must not move to a state that this host does not have.
func (h *Host) readSnapshot(m replica.Message) bool {
	s := m.Snapshot
	if s == nil || s.Index <= h.replica.CommitIndex() {
		return true // The replica makes no use of it.
	}
	state := domain.New()
	if err := state.Restore(s.Data); err != nil {
		h.log.Info("snapshot_unreadable", "from", m.From.Host, "index", s.Index, "term", s.Term, "bytes", len(s.Data), "cause", err.Error())
		return false
	}
	h.received = &receivedState{s.Index, s.Term, state}
	return true
}

// restore loads a snapshot that the replica has taken over from a message or from the disk.
func (h *Host) restore(s *replica.Snapshot) error {
	if r := h.received; r != nil && r.index == s.Index && r.term == s.Term {
		*h.stateMachine = *r.state
		return nil
	}
	return h.stateMachine.Restore(s.Data)
}

// sendAppendsBeforeSync sends append messages at once, so that the followers write the entries while this host syncs
// its own disk. This is safe if the term is durable already, that is, if no record has a new hard state. It returns the
// messages that must wait for the sync.
func (h *Host) sendAppendsBeforeSync(out replica.Output) []replica.Message {
	for _, r := range out.Records {
		if r.HardState != nil {
			return out.Messages
		}
	}
	var early, late []replica.Message
	for _, m := range out.Messages {
		if m.Kind == replica.MsgAppend {
			early = append(early, m)
		} else {
			late = append(late, m)
		}
	}
	h.peers.send(early)
	return late
}

// apply executes one committed entry and passes the result to the call that waits for it.
func (h *Host) apply(now dispatch.Time, e replica.Entry) {
	w, waited := h.pendingProposals[e.Index]
	delete(h.pendingProposals, e.Index)
	decoded, effect := true, domain.Applied
	switch e.Kind {
	case replica.EntryCommand:
		effect, decoded = h.applyCommand(now, e)
	case replica.EntryConfig:
		c := h.replica.Status().Config
		h.updateKnownHosts(c, h.replica.Observers())
		h.metrics.voters.Inc()
		h.log.Info("voters_changed", "voters", hostsOf(c), "index", e.Index)
	}
	h.metrics.applied.Inc()
	if !waited {
		return
	}
	result := proposalResult{}
	if decoded && w.term == e.Term {
		result = proposalResult{applied: true, effect: effect}
	}
	w.result <- result
}

// applyCommand applies a command to the domain. It skips one that cannot be decoded and returns false: all hosts with
// this version skip it, and if they ended instead, they would end again at each start.
func (h *Host) applyCommand(now dispatch.Time, e replica.Entry) (domain.Result, bool) {
	c, err := domain.DecodeCommand(e.Data)
	if err != nil {
		h.metrics.skipped.Inc()
		h.log.Error(err, "entry_skipped", "index", e.Index, "term", e.Term, "bytes", len(e.Data))
		return domain.NotChanged, false
	}
	result := h.stateMachine.Apply(c)
	switch {
	case h.leader != nil:
		h.leader.Applied(now, c, result)
	case result == domain.Applied && h.replica.Role() == replica.Leader && (c.End != nil || c.Cancel != nil):
		h.appliedBefore = append(h.appliedBefore, c)
	}
	h.logApplied(c, result, e.Index)
	return result, true
}

// logApplied logs applied changes of the configuration, zones, waves and, on the leader, workers.
func (h *Host) logApplied(c *domain.Command, r domain.Result, index uint64) {
	switch {
	case c.Config != nil:
		if r == domain.Applied {
			h.metrics.configs.Inc()
		}
		h.log.Info("config_applied", "version", c.Config.Version, "changed", r == domain.Applied, "index", index)
	case c.Zone != nil:
		h.log.Info("zone_applied", "zone", c.Zone.Zone, "out", c.Zone.Out, "changed", r == domain.Applied, "superseded", r == domain.Superseded,
			"revision", c.Zone.Revision, "index", index)
	case c.Wave != nil:
		h.log.Info("wave_applied", "wave", c.Wave.Number, "machines", len(c.Wave.Machines), "max_down", c.Wave.MaxDown,
			"within_ms", c.Wave.WithinMS, "changed", r == domain.Applied, "index", index)
	case c.Submit != nil && r == domain.Applied && h.stateMachine.Job(c.Submit.ID).State == domain.JobCancelled:
		h.log.Info("job_cancelled_before", "job", c.Submit.ID, "queue", c.Submit.Queue, "workspace", c.Submit.Workspace, "index", index)
	case c.Register != nil && r == domain.Applied && h.leader != nil:
		h.log.Info("worker_registered", "worker", c.Register.Incarnation.ID, "born_ms", c.Register.Incarnation.BornMS,
			"address", c.Register.Address, "zone", c.Register.Zone, "draining", c.Register.Draining, "index", index)
	case c.Forget != nil && r == domain.Applied && h.leader != nil:
		h.log.Info("worker_forgotten", "worker", c.Forget.Incarnation.ID, "born_ms", c.Forget.Incarnation.BornMS, "index", index)
	}
}

// compact replaces the applied entries by a snapshot once the log is long enough.
func (h *Host) compact() error {
	if !h.replica.NeedsSnapshot() {
		return nil
	}
	h.replica.Compact(h.replica.AppliedIndex(), h.stateMachine.Snapshot())
	h.disk.replace(h.replica.FullRecord())
	return nil
}
