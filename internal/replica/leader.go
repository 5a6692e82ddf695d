package replica

import (
	"slices"
	"time"
)

// observerTimeout is how long the leader sends the log to an observer after the observer last asked for it.
const observerTimeout = 5 * time.Second

// snapshotResendAfter is how long the leader waits for the reply to a snapshot before it may send a snapshot again.
const snapshotResendAfter = 4 * time.Second

// leadership is the state of a leader in one term.
type leadership struct {
	noopIndex       uint64        // Index of the no-op entry of this term.
	since           time.Duration // Start of the leadership.
	round           uint64        // Newest heartbeat round.
	rounds          []roundStart  // Recent rounds, whose replies may still renew the lease or show contact.
	nextHeartbeatAt time.Duration
	progress        []*progress // Voters and observers, in a fixed order, so that a run is reproducible.
	transfer        *transfer   // Current leadership transfer, nil without one.
	// leaseReleased is set once MsgTimeoutNow was sent. The message may arrive late, so that the election that it
	// allows may happen at any later time. The lease is therefore not valid again in this term.
	leaseReleased bool
	nextHandoffAt time.Duration // Time of the next attempt of a witness to transfer leadership.
}

// roundStart is a heartbeat round with its start time. No message of the round was sent before that time.
type roundStart struct {
	round uint64
	at    time.Duration
}

// transfer is a leadership transfer that has begun and not ended.
type transfer struct {
	target   memberID
	deadline time.Duration
}

// becomeLeader starts the leadership of the current term with a heartbeat round and a no-op entry, whose commit also
// commits the entries of earlier terms.
func (r *Replica) becomeLeader() {
	r.campaign = nil
	r.role = Leader
	r.leader = r.options.Self
	emptyLog := r.log.lastIndex() == 0
	r.lead = &leadership{since: r.now, noopIndex: r.log.lastIndex() + 1, nextHeartbeatAt: r.now + r.options.Timing.Heartbeat}
	r.beginRound()
	r.syncProgress()
	r.appendAsLeader(EntryNoop, nil)
	if emptyLog {
		// Members that join later learn the founding configuration from the log.
		config, _ := r.log.config()
		r.appendAsLeader(EntryConfig, encodeConfig(config))
	}
}

// appendAsLeader appends one entry of the current term to the log and returns its index.
func (r *Replica) appendAsLeader(kind EntryKind, data []byte) uint64 {
	index := r.log.lastIndex() + 1
	r.appendEntries(Entry{Index: index, Term: r.hardState.Term, Kind: kind, Data: data})
	return index
}

// tickLeader steps down if no quorum has been in contact for ElectionMin. Otherwise it does the leader's periodic work.
func (r *Replica) tickLeader() {
	if r.now-r.lastQuorumContact() > r.options.Timing.ElectionMin {
		r.becomeFollower(Member{})
		return
	}
	r.tickTransfer()
	if r.role != Leader || r.now < r.lead.nextHeartbeatAt {
		return
	}
	r.lead.nextHeartbeatAt = r.now + r.options.Timing.Heartbeat
	r.dropSilentObservers()
	r.sendHeartbeats()
	r.reconfigure()
	r.handOffFromWitness()
}

// beginRound starts a heartbeat round and forgets the rounds that are too old to renew the lease or to show contact.
func (r *Replica) beginRound() {
	l := r.lead
	l.round++
	l.rounds = append(l.rounds, roundStart{round: l.round, at: r.now})
	oldest := r.now - max(2*r.options.Timing.ElectionMax, recentContact)
	n := 0
	for l.rounds[n].at < oldest {
		n++
	}
	l.rounds = l.rounds[n:]
}

// sendHeartbeats sends a heartbeat round. An observer that has nothing to receive or to answer gets a heartbeat only
// once per followPeriod.
func (r *Replica) sendHeartbeats() {
	r.beginRound()
	for _, p := range r.lead.progress {
		if p.snapshot != 0 && r.now-p.snapshotSentAt >= snapshotResendAfter {
			p.snapshot = 0
			p.next = p.match + 1
		}
		r.dropCompactedInflight(p)
		idle := p.sentCommit >= r.commit && !p.paused && len(p.inflight) == 0
		if !p.voter && idle && r.now-p.heartbeatSentAt < followPeriod {
			continue
		}
		r.sendHeartbeat(p)
	}
}

// dropCompactedInflight forgets the unacknowledged messages to a member that is in contact again, if the log no longer
// holds the entries that follow them. The previous index of heartbeats is then 0, which every log matches, so that no
// reject would clear these messages, and the member would never get the snapshot.
func (r *Replica) dropCompactedInflight(p *progress) {
	if len(p.inflight) > 0 && p.next <= r.log.base && r.answeredWithin(p, recentContact) {
		p.inflight = nil
	}
}

// roundTime returns the start time of a round, and false for a round that beginRound has forgotten.
func (l *leadership) roundTime(round uint64) (time.Duration, bool) {
	for _, x := range l.rounds {
		if x.round == round {
			return x.at, true
		}
	}
	return 0, false
}

// quorumRoundTime returns the start time of the newest round that a majority of the voters answered, and false if that
// round is forgotten.
func (r *Replica) quorumRoundTime() (time.Duration, bool) {
	config, _ := r.log.config()
	var rounds []uint64
	for _, v := range config.Voters {
		rounds = append(rounds, r.answeredRound(identity(v)))
	}
	if len(rounds) == 0 {
		return 0, false
	}
	slices.Sort(rounds)
	return r.lead.roundTime(rounds[len(rounds)-config.majority()])
}

// answeredRound returns the newest round that a voter answered, 0 for none. The leader answers its own rounds at once.
func (r *Replica) answeredRound(id memberID) uint64 {
	if id == identity(r.options.Self) {
		return r.lead.round
	}
	if p := r.lead.find(id); p != nil {
		return p.round
	}
	return 0
}

// lastQuorumContact returns the latest time at which a quorum is known to have followed this leader, at least the start
// of the leadership.
func (r *Replica) lastQuorumContact() time.Duration {
	at, ok := r.quorumRoundTime()
	if !ok {
		return r.lead.since
	}
	return max(at, r.lead.since)
}

// LeadsUnderLease reports whether this replica is the leader, holds its lease and has committed an entry of its own
// term. Then no other replica leads, and the log holds all committed entries.
func (r *Replica) LeadsUnderLease(now time.Duration) bool { return now < r.LeaseEnd() }

// LeaseEnd returns the time at which the lease of this leader expires or has expired, and 0 without a lease.
func (r *Replica) LeaseEnd() time.Duration {
	if r.role != Leader || r.lead.leaseReleased || r.commit < r.lead.noopIndex {
		return 0
	}
	at, ok := r.quorumRoundTime()
	if !ok {
		return 0
	}
	return at + r.options.Timing.Lease
}

// matchIndex returns the index up to which a voter is known to hold the log durably.
func (r *Replica) matchIndex(id memberID) uint64 {
	if id == identity(r.options.Self) {
		return r.syncedIndex
	}
	if p := r.lead.find(id); p != nil {
		return p.match
	}
	return 0
}

// advanceCommit commits the entries that a quorum holds, if the last of them is of this term. A leader that has
// committed a configuration without itself steps down.
func (r *Replica) advanceCommit() {
	index := r.quorumIndex()
	if index <= r.commit {
		return
	}
	if term, ok := r.log.term(index); !ok || term != r.hardState.Term {
		return
	}
	r.commit = index
	if _, at := r.log.config(); at <= r.commit && !r.isVoter() {
		r.becomeFollower(Member{})
	}
}

// quorumIndex returns the last index that a quorum holds durably: a majority of the voters and, if any voter has a
// disk, at least one with a disk.
func (r *Replica) quorumIndex() uint64 {
	config, _ := r.log.config()
	var all []uint64
	onDisk := uint64(0)
	disks := false
	for _, v := range config.Voters {
		match := r.matchIndex(identity(v))
		all = append(all, match)
		if v.Disk {
			disks = true
			onDisk = max(onDisk, match)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	index := all[len(all)-config.majority()]
	if disks {
		index = min(index, onDisk)
	}
	return index
}
