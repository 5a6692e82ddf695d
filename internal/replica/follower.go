package replica

// acceptLeader checks the term of a message that only the leader of that term sends, and follows that leader. It
// returns false if the message must be ignored.
func (r *Replica) acceptLeader(m Message) bool {
	if m.Term < r.hardState.Term {
		// Tells a deposed leader the newer term. The reply has no round, so that it renews no lease.
		r.send(Message{Kind: MsgAppendReply, To: m.From.Host, Term: r.hardState.Term, Reject: true})
		return false
	}
	if r.role == Leader && m.Term == r.hardState.Term {
		return false
	}
	if m.Term > r.hardState.Term {
		r.setHardState(HardState{Term: m.Term})
	}
	r.becomeFollower(m.From)
	r.leaderContactAt = r.now
	return true
}

// onAppend handles entries or a heartbeat from the leader.
func (r *Replica) onAppend(m Message) {
	if !r.acceptLeader(m) {
		return
	}
	reply := Message{Kind: MsgAppendReply, To: m.From.Host, Term: r.hardState.Term, Round: m.Round}
	if m.Index > r.commit && !r.log.matchesTerm(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Index = r.matchHint(m.Index)
		r.send(reply)
		return
	}
	r.mergeEntries(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, reply.Index))
	if len(m.Entries) > 0 {
		r.sendAfterLog(reply)
		return
	}
	// The reply to a heartbeat does not wait for the write of the log, so that a slow disk does not end the leader's
	// lease. It acknowledges only the durable entries.
	reply.Index = min(reply.Index, r.syncedIndex)
	r.send(reply)
}

// matchHint returns the last index at which the log may match the leader's log, after they did not match at prev. It
// skips all entries of the term of the conflicting entry, down to the commit index.
func (r *Replica) matchHint(prev uint64) uint64 {
	if prev > r.log.lastIndex() {
		return r.log.lastIndex()
	}
	conflict, _ := r.log.term(prev)
	hint := prev - 1
	for hint > r.commit {
		if t, _ := r.log.term(hint); t != conflict {
			break
		}
		hint--
	}
	return hint
}

// mergeEntries appends the entries that the log does not hold, and overwrites conflicting entries, which have another
// term. Committed entries are the same in the leader's log and are skipped.
func (r *Replica) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if e.Index <= r.commit || r.log.matchesTerm(e.Index, e.Term) {
			continue
		}
		if e.Index <= r.log.lastIndex() {
			r.truncate(e.Index)
		}
		r.appendEntries(entries[i:]...)
		break
	}
	r.updateRole()
}

// onSnapshot replaces the log by a snapshot from the leader, unless the log already holds the entry at its index.
func (r *Replica) onSnapshot(m Message) {
	s := m.Snapshot
	if !r.acceptLeader(m) {
		return
	}
	reply := Message{Kind: MsgAppendReply, To: m.From.Host, Term: r.hardState.Term, Round: m.Round}
	switch {
	case s.Index <= r.commit:
		reply.Index = r.commit
	case r.log.matchesTerm(s.Index, s.Term):
		r.commit = s.Index
		reply.Index = s.Index
	default:
		r.installSnapshot(*s)
		reply.Index = s.Index
	}
	r.sendAfterLog(reply)
}

// installSnapshot drops the whole log, continues after the snapshot and has the state machine load it.
func (r *Replica) installSnapshot(s Snapshot) {
	r.limitDurable(r.commit)
	r.log = newEntryLog(s)
	r.commit = s.Index
	r.applied, r.appliedBytes = s.Index, 0
	r.firstUnsaved = s.Index + 1
	r.unsavedSnapshot = &s
	r.snapshotToLoad = &s
	r.logMark = r.lastMark + 1
	r.updateRole()
}

// sendFollowRequests asks the leader for the log; an observer calls it once per followPeriod. It asks the contacts only
// if no leader is known or the leader was not heard recently, to keep idle traffic low. A voter that has heard no
// leader for three times ElectionMax asks too, because it may have been removed from the configuration.
func (r *Replica) sendFollowRequests() {
	sinceContact := r.now - r.leaderContactAt
	if r.role != Observer && sinceContact < 3*r.options.Timing.ElectionMax {
		return
	}
	asked := ""
	if r.leader.Host != "" {
		asked = r.leader.Host
		r.sendFollow(asked)
	}
	if r.leader.Host != "" && sinceContact < 2*followPeriod {
		return
	}
	for _, host := range r.options.Contacts {
		if host != asked && host != r.options.Self.Host {
			r.sendFollow(host)
		}
	}
}

func (r *Replica) sendFollow(host string) {
	r.send(Message{Kind: MsgFollow, To: host, Term: r.hardState.Term, Index: r.log.lastIndex()})
}
