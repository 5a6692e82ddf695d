package replica

import (
	"time"
)

// followPeriod is the period at which an observer sends MsgFollow, and the leader sends heartbeats to an idle observer.
const followPeriod = time.Second

// observerLeaderTimeout is the time without a message from the leader after which an observer no longer reports it as
// the leader.
const observerLeaderTimeout = 3 * followPeriod

// pendingMessage is a message that waits for the next Take, and until the write with requiredMark is synced if it
// depends on one. Otherwise requiredMark is 0.
type pendingMessage struct {
	message      Message
	requiredMark uint64
}

// pendingWrite is a write that Take returned and that Synced has not yet reported. Once it is synced, the log is
// durable up to index.
type pendingWrite struct {
	mark  uint64
	index uint64
}

// Replica is one member of a replicated log, or an observer of it. It is not safe for concurrent use.
type Replica struct {
	options   Options
	log       *entryLog
	hardState HardState
	commit    uint64 // Last committed index.
	applied   uint64 // Last committed index that Take has returned or that a loaded snapshot covers.
	// appliedBytes is the size of the entries after the snapshot up to applied.
	appliedBytes int
	now          time.Duration // The latest time passed in by the caller.

	role             Role
	leader           Member        // Leader of the current term, zero when unknown.
	leaderContactAt  time.Duration // When a message of a leader was last accepted, or the start of this replica.
	electionDeadline time.Duration
	nextFollowAt     time.Duration
	campaign         *campaign   // State of a candidate, nil in other roles.
	lead             *leadership // State of the leader, nil in other roles.

	messages        []pendingMessage
	hardStateDirty  bool           // The hard state goes into the record of the next Take.
	unsavedSnapshot *Snapshot      // Goes into the record of the next Take.
	snapshotToLoad  *Snapshot      // The next Take returns it for the state machine to load.
	firstUnsaved    uint64         // First index that Take has not yet returned in a record.
	pendingWrites   []pendingWrite // By ascending mark.
	lastMark        uint64         // Mark of the newest write.
	syncedMark      uint64         // Mark of the newest write that is synced.
	hardStateMark   uint64         // Mark of the write, past or next, with the current hard state.
	logMark         uint64         // Mark of the write, past or next, with the current log.
	syncedIndex     uint64         // Last index that is durable on this host.
}

// New returns a replica that continues from the state read from the disk. restored may be nil.
func New(options Options, restored *Restored, now time.Duration) *Replica {
	r := &Replica{options: options, now: now, leaderContactAt: now, nextFollowAt: now}
	if restored.empty() {
		r.bootstrap()
	} else {
		r.restore(restored)
	}
	r.applied = r.log.snapshot.Index
	r.commit = r.applied
	r.firstUnsaved = r.log.lastIndex() + 1
	r.syncedIndex = r.log.lastIndex()
	r.becomeFollower(Member{})
	return r
}

// bootstrap starts a replica that has no restored state. A founding member records the founding configuration as a
// snapshot at index 0, so that settings changed later do not change the configuration at a restart.
func (r *Replica) bootstrap() {
	s := Snapshot{}
	_, member := r.options.Founding.find(identity(r.options.Self))
	if r.options.Self.Incarnation == FoundingIncarnation && member {
		s.Config = r.options.Founding
		r.unsavedSnapshot = &s
		r.logMark = r.lastMark + 1
	}
	r.log = newEntryLog(s)
}

// restore takes over the state read from the disk, and has the state machine load its snapshot.
func (r *Replica) restore(restored *Restored) {
	s := Snapshot{}
	if restored.Snapshot != nil {
		s = *restored.Snapshot
	}
	r.hardState = restored.HardState
	r.log = newEntryLog(s)
	r.log.append(restored.Entries...)
	if s.Index > 0 {
		r.snapshotToLoad = &s
	}
}

// Step handles a message. Messages of another group, for another host or from this host are ignored, and those that cannot
// come from a member.
func (r *Replica) Step(now time.Duration, m Message) {
	r.now = now
	if m.Group != r.options.Group || m.To != r.options.Self.Host || m.From.Host == r.options.Self.Host || !r.plausible(m) {
		return
	}
	switch m.Kind {
	case MsgPreVote:
		r.onPreVote(m)
	case MsgPreVoteReply:
		r.onPreVoteReply(m)
	case MsgVote:
		r.onVote(m)
	case MsgVoteReply:
		r.onVoteReply(m)
	case MsgAppend:
		r.onAppend(m)
	case MsgAppendReply:
		r.onAppendReply(m)
	case MsgSnapshot:
		r.onSnapshot(m)
	case MsgFollow:
		r.onFollow(m)
	case MsgTimeoutNow:
		r.onTimeoutNow(m)
	}
}

// Tick advances the time and runs what is due: heartbeats, elections, requests of an observer. The caller calls it
// several times per heartbeat period.
func (r *Replica) Tick(now time.Duration) {
	r.now = now
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.isVoter() && now >= r.electionDeadline {
		r.startPreVote()
	}
	if r.role == Observer && now-r.leaderContactAt > observerLeaderTimeout {
		r.leader = Member{}
	}
	if now >= r.nextFollowAt {
		r.nextFollowAt = now + followPeriod
		r.sendFollowRequests()
	}
}

// Propose appends a command to the log of the leader. It returns false when this replica is not the leader or is
// transferring leadership. The command is committed only once Take returns an entry with this index and term in
// Output.Committed.
func (r *Replica) Propose(now time.Duration, data []byte) (index, term uint64, ok bool) {
	r.now = now
	if r.role != Leader || r.lead.transfer != nil {
		return 0, 0, false
	}
	return r.appendAsLeader(EntryCommand, data), r.hardState.Term, true
}

// Take returns the output since the last Take. A message that depends on an earlier write is held back until Synced has
// reported that write.
func (r *Replica) Take() Output {
	if r.role == Leader {
		r.replicate()
	}
	var out Output
	if rec, dirty := r.takeRecord(); dirty {
		r.lastMark++
		out.Records = []Record{rec}
		out.Mark = r.lastMark
		r.pendingWrites = append(r.pendingWrites, pendingWrite{mark: r.lastMark, index: r.log.lastIndex()})
	}
	out.Messages = r.releaseMessages(out.Mark)
	out.Snapshot, r.snapshotToLoad = r.snapshotToLoad, nil
	if r.commit > r.applied {
		out.Committed = r.log.slice(r.applied+1, r.commit)
		r.applied = r.commit
		r.appliedBytes += sizeOf(out.Committed)
	}
	return out
}

// takeRecord returns the unsaved changes as one record and marks them as saved. It returns false if there are none.
func (r *Replica) takeRecord() (Record, bool) {
	rec := Record{Group: r.options.Group, Snapshot: r.unsavedSnapshot}
	if r.hardStateDirty {
		hardState := r.hardState
		rec.HardState = &hardState
	}
	if r.firstUnsaved <= r.log.lastIndex() {
		rec.Entries = r.log.slice(r.firstUnsaved, r.log.lastIndex())
	}
	dirty := rec.HardState != nil || rec.Snapshot != nil || len(rec.Entries) > 0
	r.hardStateDirty = false
	r.unsavedSnapshot = nil
	r.firstUnsaved = r.log.lastIndex() + 1
	return rec, dirty
}

// releaseMessages returns the messages that depend on no write, on a synced write, or on the write of this Take, which
// the caller syncs before it sends them. The other messages stay queued.
func (r *Replica) releaseMessages(mark uint64) []Message {
	var out []Message
	kept := r.messages[:0]
	for _, q := range r.messages {
		if q.requiredMark <= r.syncedMark || q.requiredMark == mark {
			out = append(out, q.message)
		} else {
			kept = append(kept, q)
		}
	}
	clear(r.messages[len(kept):]) // Entries of messages already returned must not stay reachable in memory.
	r.messages = kept
	return out
}

// Synced reports that the records of the Take with this mark, and of all earlier ones, are durable.
func (r *Replica) Synced(mark uint64) {
	if mark <= r.syncedMark || mark > r.lastMark {
		return
	}
	r.syncedMark = mark
	n := 0
	for n < len(r.pendingWrites) && r.pendingWrites[n].mark <= mark {
		r.syncedIndex = max(r.syncedIndex, r.pendingWrites[n].index)
		n++
	}
	r.pendingWrites = append([]pendingWrite(nil), r.pendingWrites[n:]...)
	if r.role == Leader {
		r.advanceCommit()
	}
}

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.Term }

// CommitIndex returns the last committed index. It is cheaper than Status.
func (r *Replica) CommitIndex() uint64 { return r.commit }

// Leader returns the host of the leader of the current term, empty when unknown.
func (r *Replica) Leader() string { return r.leader.Host }

// Status returns the state of the replica for dumps, metrics and routing.
func (r *Replica) Status() Status {
	config, _ := r.log.config()
	s := Status{
		Group:      r.options.Group,
		Role:       r.role,
		Term:       r.hardState.Term,
		Leader:     r.leader.Host,
		LastIndex:  r.log.lastIndex(),
		Commit:     r.commit,
		FirstIndex: r.log.firstIndex(),
		Config:     config,
	}
	if r.role == Leader {
		s.Match = r.matchByHost()
	}
	return s
}

// NeedsSnapshot reports whether at least Options.SnapshotEntries entries, or entries of Options.SnapshotBytes, were applied
// since the last snapshot. The caller then passes a snapshot to Compact. Entries smaller than the last snapshot do not
// need one for their size, so that a large state is not written again and again.
func (r *Replica) NeedsSnapshot() bool {
	if n := r.options.SnapshotEntries; n > 0 && r.applied-r.log.snapshot.Index >= uint64(n) {
		return true
	}
	n := r.options.SnapshotBytes
	return n > 0 && r.appliedBytes >= max(n, len(r.log.snapshot.Data))
}

// Compact replaces the log up to an index by a snapshot, whose data is the state of the state machine at exactly this
// index. Take must already have returned the entry at this index. A call for an index that is not applied, or that a
// snapshot covers already, is ignored.
func (r *Replica) Compact(index uint64, data []byte) {
	if index <= r.log.snapshot.Index || index > r.applied {
		return
	}
	term, ok := r.log.term(index)
	if !ok {
		return
	}
	s := Snapshot{Index: index, Term: term, Config: r.log.configUpTo(index), Data: data}
	r.appliedBytes = sizeOf(r.log.slice(index+1, r.applied))
	r.log.compact(s)
	r.unsavedSnapshot = &s
	r.logMark = r.lastMark + 1
}

// FullRecord returns the hard state, the snapshot and the entries after it as one record. On the disk, this record may
// replace all records that Take returned so far.
func (r *Replica) FullRecord() Record {
	hardState := r.hardState
	rec := Record{Group: r.options.Group, HardState: &hardState, Entries: r.log.afterSnapshot()}
	if s := r.log.snapshot; s.Index > 0 || len(s.Config.Voters) > 0 {
		rec.Snapshot = &s
	}
	return rec
}

// send queues a message that depends on the current hard state.
func (r *Replica) send(m Message) {
	m.Group = r.options.Group
	m.From = r.options.Self
	r.messages = append(r.messages, pendingMessage{message: m, requiredMark: r.hardStateMark})
}

// sendAfterLog queues a message that depends on the current hard state and on the current log.
func (r *Replica) sendAfterLog(m Message) {
	m.Group = r.options.Group
	m.From = r.options.Self
	r.messages = append(r.messages, pendingMessage{message: m, requiredMark: max(r.hardStateMark, r.logMark)})
}

// setHardState changes the term or the vote.
func (r *Replica) setHardState(h HardState) {
	r.hardState = h
	r.hardStateDirty = true
	r.hardStateMark = r.lastMark + 1
}

// appendEntries adds entries after the last one.
func (r *Replica) appendEntries(entries ...Entry) {
	r.log.append(entries...)
	r.logMark = r.lastMark + 1
}

// truncate drops the entries from an index on. Pending writes of the dropped entries then no longer count as making
// these positions durable.
func (r *Replica) truncate(from uint64) {
	if from <= r.commit {
		panic("replica: a committed entry would be overwritten")
	}
	r.log.truncate(from)
	r.limitDurable(from - 1)
	r.firstUnsaved = min(r.firstUnsaved, from)
}

// limitDurable lowers the index up to which synced and pending writes make the log durable.
func (r *Replica) limitDurable(index uint64) {
	r.syncedIndex = min(r.syncedIndex, index)
	for i := range r.pendingWrites {
		r.pendingWrites[i].index = min(r.pendingWrites[i].index, index)
	}
}

// isVoter reports whether this incarnation is in the newest configuration, committed or not.
func (r *Replica) isVoter() bool {
	config, _ := r.log.config()
	_, ok := config.find(identity(r.options.Self))
	return ok
}
