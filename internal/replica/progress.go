package replica

import (
	"slices"
	"time"
)

// Limits of replication to one voter or observer.
const (
	maxAppendBytes = 256 << 10 // Bytes of entries in one message.
	maxInflight    = 8         // Messages with entries that are sent and not yet acknowledged.
	entryOverhead  = 16        // Bytes counted for an encoded entry in addition to its data.
)

// progress is what the leader knows about the log of a voter or observer.
type progress struct {
	member Member
	voter  bool
	match  uint64 // Last index known to match the leader's log and to be durable at the member.
	next   uint64 // Index of the next entry to send.
	// probing is true until a reply shows where the logs match. Until then, only one message with entries is sent per
	// reply or heartbeat.
	probing  bool
	paused   bool     // While probing: entries were sent, and no reply or heartbeat followed yet.
	inflight []uint64 // Last index of each message with entries that was sent and not yet acknowledged.
	// snapshot is the index of the snapshot that was sent and not yet acknowledged, 0 without one.
	snapshot        uint64
	snapshotSentAt  time.Duration
	round           uint64        // Newest heartbeat round that the member answered.
	followedAt      time.Duration // When an observer last asked for the log.
	heartbeatSentAt time.Duration // When the last heartbeat was sent.
	sentCommit      uint64        // Commit index in the last message with entries or heartbeat.
}

func newProgress(m Member, next uint64) *progress {
	return &progress{member: m, next: next, probing: true}
}

// canSend reports whether entries may be sent to the member now.
func (p *progress) canSend() bool {
	switch {
	case p.snapshot != 0:
		return false
	case p.probing:
		return !p.paused
	default:
		return len(p.inflight) < maxInflight
	}
}

// recordSent records that a message with entries up to last was sent.
func (p *progress) recordSent(last uint64) {
	p.next = last + 1
	p.inflight = append(p.inflight, last)
	p.paused = p.probing
}

// acknowledge records that the member's log matches up to an index.
func (p *progress) acknowledge(index uint64) {
	if p.probing && index+1 >= p.next {
		p.probing = false
		p.paused = false
	}
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= p.match })
	if p.snapshot != 0 && p.match >= p.snapshot {
		p.snapshot = 0
		p.probing = false
		p.paused = false
	}
}

// backtrack moves next back after a reject, because the logs match at most up to hint. It ignores a late reject with a
// hint before the match index, further rejects of messages that were sent before the first reject arrived, and all
// rejects until the reply to a snapshot.
func (p *progress) backtrack(hint uint64) {
	next := max(p.match+1, min(hint+1, p.next))
	if p.snapshot != 0 || hint < p.match || (p.probing && p.paused && next == p.next) {
		return
	}
	p.probing = true
	p.paused = false
	p.next = next
	p.inflight = nil
}

// find returns the progress of a member, nil for one that is neither a voter nor an observer.
func (l *leadership) find(id memberID) *progress {
	for _, p := range l.progress {
		if identity(p.member) == id {
			return p
		}
	}
	return nil
}

// replicate sends the entries that voters and observers lack, as far as the limits allow, or a snapshot where the log
// no longer holds these entries.
func (r *Replica) replicate() {
	for _, p := range r.lead.progress {
		for p.next <= r.log.lastIndex() && p.canSend() {
			if p.next <= r.log.base {
				if r.inContact(p) {
					r.sendSnapshot(p)
				}
				break
			}
			r.sendEntries(p)
		}
	}
}

func (r *Replica) sendEntries(p *progress) {
	entries := r.log.batch(p.next, maxAppendBytes)
	m := r.appendMessage(p, p.next-1)
	m.Entries = entries
	r.send(m)
	p.sentCommit = r.commit
	p.recordSent(entries[len(entries)-1].Index)
}

// inContact reports whether a member answered, or as an observer asked for the log, within recentContact. A snapshot is
// too large to be sent to a host that may be down.
func (r *Replica) inContact(p *progress) bool {
	asked := !p.voter && r.now-p.followedAt <= recentContact
	return asked || r.answeredWithin(p, recentContact)
}

func (r *Replica) sendSnapshot(p *progress) {
	s := r.log.snapshot
	p.snapshot = s.Index
	p.snapshotSentAt = r.now
	p.next = s.Index + 1
	p.inflight = nil
	r.send(Message{Kind: MsgSnapshot, To: p.member.Host, Term: r.hardState.Term, Round: r.lead.round, Snapshot: &s})
}

// appendMessage returns a MsgAppend without entries whose previous index is prev.
func (r *Replica) appendMessage(p *progress, prev uint64) Message {
	term, _ := r.log.term(prev)
	return Message{
		Kind:    MsgAppend,
		To:      p.member.Host,
		Term:    r.hardState.Term,
		Index:   prev,
		LogTerm: term,
		Commit:  r.commit,
		Round:   r.lead.round,
	}
}

// sendHeartbeat sends a MsgAppend without entries. Its previous index is the last index sent, so that the member
// rejects it if a message with entries was lost.
func (r *Replica) sendHeartbeat(p *progress) {
	prev := p.next - 1
	if p.snapshot != 0 || prev < r.log.base {
		prev = 0
	}
	r.send(r.appendMessage(p, prev))
	p.paused = false
	p.heartbeatSentAt = r.now
	p.sentCommit = r.commit
}

// onAppendReply handles the reply to entries, a heartbeat or a snapshot. It ignores a reply of another incarnation of
// the host, which has no progress, and a reply of an older term. A newer term ends the leadership.
func (r *Replica) onAppendReply(m Message) {
	if m.Term > r.hardState.Term {
		r.adoptTerm(m.Term)
		return
	}
	if r.role != Leader || m.Term < r.hardState.Term || m.Round > r.lead.round || m.Index > r.log.lastIndex() {
		return
	}
	p := r.lead.find(identity(m.From))
	if p == nil {
		return
	}
	p.round = max(p.round, m.Round)
	if m.Reject {
		p.backtrack(m.Index)
		return
	}
	p.acknowledge(m.Index)
	r.advanceCommit()
}

// onFollow handles the request of an observer for the log: the leader adds the observer, or keeps it. An observer with
// a newer term would refuse every message of this leader, so the leader steps down.
func (r *Replica) onFollow(m Message) {
	if r.role != Leader {
		return
	}
	if m.Term > r.hardState.Term {
		r.adoptTerm(m.Term)
		return
	}
	p := r.lead.find(identity(m.From))
	if p == nil {
		p = newProgress(m.From, min(m.Index, r.log.lastIndex())+1)
		r.lead.progress = append(r.lead.progress, p)
	}
	p.followedAt = r.now
}

// matchByHost returns the match index of each host, the highest one if several incarnations of a host are known.
func (r *Replica) matchByHost() map[string]uint64 {
	out := map[string]uint64{}
	for _, p := range r.lead.progress {
		out[p.member.Host] = max(out[p.member.Host], p.match)
	}
	out[r.options.Self.Host] = r.syncedIndex
	return out
}
