package replica

import (
	"slices"
	"time"
)

// campaign is the pre-vote or the election that a candidate runs.
type campaign struct {
	preVote bool
	term    uint64
	// nonce is a random number that each reply returns. Without it, a late reply to an older incarnation of this host
	// in the same term would count as a vote for this one.
	nonce   uint64
	granted []memberID // Members that granted their vote, this replica included.
}

// becomeFollower makes this replica a follower in the current term, or an observer if its incarnation is not in the
// configuration. A zero leader means that the leader is not known.
func (r *Replica) becomeFollower(leader Member) {
	r.campaign = nil
	r.lead = nil
	r.leader = leader
	r.resetElectionTimeout()
	r.role = Observer
	if r.isVoter() {
		r.role = Follower
	}
}

// adoptTerm moves to a newer term whose leader is not known.
func (r *Replica) adoptTerm(term uint64) {
	r.setHardState(HardState{Term: term})
	r.becomeFollower(Member{})
}

// updateRole changes between observer and follower after a change of the configuration.
func (r *Replica) updateRole() {
	voter := r.isVoter()
	switch {
	case r.role == Observer && voter:
		r.role = Follower
		r.resetElectionTimeout()
	case (r.role == Follower || r.role == Candidate) && !voter:
		r.campaign = nil
		r.role = Observer
	}
}

// resetElectionTimeout draws a random election timeout. A witness waits ElectionMax longer, so that a local voter is
// elected first.
func (r *Replica) resetElectionTimeout() {
	t := r.options.Timing
	wait := t.ElectionMin
	if spread := t.ElectionMax - t.ElectionMin; spread > 0 {
		wait += time.Duration(r.options.Random(int64(spread)))
	}
	if r.options.Self.Witness {
		wait += t.ElectionMax
	}
	r.electionDeadline = r.now + wait
}

// resetCandidateTimeout draws the random time until the next attempt of a candidate. It is shorter than an election
// timeout, because after a split vote there is no leader to wait for, and the group must have a leader within 3 s after
// it lost one.
func (r *Replica) resetCandidateTimeout() {
	wait := 2 * r.options.Timing.ElectionMin / 5
	wait += time.Duration(r.options.Random(int64(wait) + 1))
	if r.options.Self.Witness {
		wait += r.options.Timing.ElectionMax
	}
	r.electionDeadline = r.now + wait
}

// startPreVote asks the voters whether they would vote for this replica in the next term. It does not change the term.
func (r *Replica) startPreVote() {
	r.startCampaign(true, r.hardState.Term+1)
	r.requestVotes(MsgPreVote, false)
	r.countVotes()
}

// startElection starts an election in the next term.
func (r *Replica) startElection(transfer bool) {
	r.setHardState(HardState{Term: r.hardState.Term + 1, Vote: r.options.Self})
	r.startCampaign(false, r.hardState.Term)
	r.requestVotes(MsgVote, transfer)
	r.countVotes()
}

func (r *Replica) startCampaign(preVote bool, term uint64) {
	r.role = Candidate
	r.leader = Member{}
	r.resetCandidateTimeout()
	r.campaign = &campaign{
		preVote: preVote,
		term:    term,
		nonce:   uint64(r.options.Random(1<<62)) + 1,
		granted: []memberID{identity(r.options.Self)},
	}
}

// requestVotes sends the vote or pre-vote requests. They carry the configuration, because a voter that was just added
// may not yet hold the entry that adds it. Without the vote of such a voter, a group of three could not replace a
// leader that is lost at this moment.
func (r *Replica) requestVotes(kind MessageKind, transfer bool) {
	config, index := r.log.config()
	for _, v := range config.Voters {
		if identity(v) == identity(r.options.Self) {
			continue
		}
		r.send(Message{
			Kind:     kind,
			To:       v.Host,
			Term:     r.campaign.term,
			Index:    r.log.lastIndex(),
			LogTerm:  r.log.lastTerm(),
			Round:    r.campaign.nonce,
			Transfer: transfer,
			Entries:  []Entry{{Index: index, Kind: EntryConfig, Data: encodeConfig(config)}},
		})
	}
}

// mayVote reports whether this incarnation is a voter in its own configuration or in the one that the candidate sent.
func (r *Replica) mayVote(m Message) bool {
	if r.isVoter() {
		return true
	}
	if len(m.Entries) != 1 || m.Entries[0].Kind != EntryConfig {
		return false
	}
	config, err := decodeConfig(m.Entries[0].Data)
	if err != nil {
		return false
	}
	_, ok := config.find(identity(r.options.Self))
	return ok
}

// leaderMayHoldLease reports whether a leader may still hold a lease that replies of this replica renewed. It is always
// true on a leader, which steps down by its own quorum check and not because a candidate asks for votes.
func (r *Replica) leaderMayHoldLease() bool {
	return r.role == Leader || r.now-r.leaderContactAt < r.options.Timing.ElectionMin
}

// onPreVote answers a pre-vote request. It grants the pre-vote if the candidate's term is newer and its log is up to
// date. It sends no reply while a leader may hold a lease.
func (r *Replica) onPreVote(m Message) {
	if !r.mayVote(m) || r.leaderMayHoldLease() {
		return
	}
	grant := m.Term > r.hardState.Term && r.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MsgPreVoteReply, To: m.From.Host, Term: m.Term, Round: m.Round}
	if !grant {
		reply.Reject = true
		reply.Term = r.hardState.Term
	}
	r.send(reply)
}

// onVote answers a vote request. It sends no reply while a leader may hold a lease, unless that leader transfers its
// leadership to the candidate.
func (r *Replica) onVote(m Message) {
	if !r.mayVote(m) {
		return
	}
	if m.Term < r.hardState.Term {
		r.send(Message{Kind: MsgVoteReply, To: m.From.Host, Term: r.hardState.Term, Round: m.Round, Reject: true})
		return
	}
	if r.leaderMayHoldLease() && !m.Transfer {
		return
	}
	if m.Term > r.hardState.Term {
		r.adoptTerm(m.Term)
	}
	notVotedForOther := r.hardState.Vote == Member{} || identity(r.hardState.Vote) == identity(m.From)
	grant := notVotedForOther && r.role != Leader && r.log.upToDate(m.Index, m.LogTerm)
	if grant {
		r.grantVote(m.From)
	}
	r.send(Message{Kind: MsgVoteReply, To: m.From.Host, Term: r.hardState.Term, Round: m.Round, Reject: !grant})
}

func (r *Replica) grantVote(candidate Member) {
	r.resetElectionTimeout()
	if r.hardState.Vote == (Member{}) {
		r.setHardState(HardState{Term: r.hardState.Term, Vote: candidate})
	}
}

func (r *Replica) onPreVoteReply(m Message) {
	if m.Reject {
		r.onRejectedVote(m)
		return
	}
	r.recordVote(m, true)
}

func (r *Replica) onVoteReply(m Message) {
	if m.Reject {
		r.onRejectedVote(m)
		return
	}
	r.recordVote(m, false)
}

func (r *Replica) onRejectedVote(m Message) {
	if m.Term > r.hardState.Term {
		r.adoptTerm(m.Term)
	}
}

// recordVote adds a granted vote or pre-vote to the current campaign. It ignores a reply to another request.
func (r *Replica) recordVote(m Message, preVote bool) {
	c := r.campaign
	if c == nil || c.preVote != preVote || c.term != m.Term || c.nonce != m.Round {
		return
	}
	id := identity(m.From)
	if slices.Contains(c.granted, id) {
		return
	}
	c.granted = append(c.granted, id)
	r.countVotes()
}

// countVotes moves from a pre-vote to an election, or from an election to leadership, once a majority of the voters of
// the configuration has granted its vote.
func (r *Replica) countVotes() {
	config, _ := r.log.config()
	votes := 0
	for _, id := range r.campaign.granted {
		if _, ok := config.find(id); ok {
			votes++
		}
	}
	if votes < config.majority() {
		return
	}
	if r.campaign.preVote {
		r.startElection(false)
		return
	}
	r.becomeLeader()
}

// onTimeoutNow starts an election at once, without a pre-vote, because the leader of the current term transfers its
// leadership to this replica.
func (r *Replica) onTimeoutNow(m Message) {
	if m.Term != r.hardState.Term || identity(m.From) != identity(r.leader) || r.role != Follower {
		return
	}
	r.startElection(true)
}
