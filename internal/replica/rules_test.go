package replica_test

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

func foundingMember(host string, disk bool) replica.Member {
	return replica.Member{Host: host, Incarnation: replica.FoundingIncarnation, Disk: disk}
}

var (
	memberA     = foundingMember("a", true)
	memberB     = foundingMember("b", true)
	memberC     = foundingMember("c", true)
	staleB      = replica.Member{Host: "b", Incarnation: 99, Disk: true}
	threeVoters = []replica.Member{memberA, memberB, memberC}
)

// testReplica is a replica that a test drives message by message.
type testReplica struct {
	core *replica.Replica
	now  time.Duration
	self replica.Member
	sent []replica.Message // Messages that the last call of step, tick or drain returned.
}

// newTestReplica returns a replica that has restored the given voters and entries. Its term is that of the last entry.
func newTestReplica(self replica.Member, voters []replica.Member, entries ...replica.Entry) *testReplica {
	r := &testReplica{now: time.Hour, self: self}
	term := uint64(0)
	for _, e := range entries {
		term = e.Term
	}
	disk := &replica.Restored{
		HardState: replica.HardState{Term: term},
		Snapshot:  &replica.Snapshot{Config: replica.Config{Voters: voters}},
		Entries:   entries,
	}
	r.core = replica.New(replica.Options{
		Group:         "g",
		Self:          self,
		DesiredVoters: []replica.Member{{Host: "a", Disk: true}, {Host: "b", Disk: true}, {Host: "c", Disk: true}},
		Timing:        replica.DefaultTiming,
		Random:        func(int64) int64 { return 0 },
	}, disk, r.now)
	return r
}

// step passes a message to the replica and syncs all resulting records. It returns the resulting messages.
func (r *testReplica) step(m replica.Message) []replica.Message {
	m.Group, m.To = "g", r.self.Host
	r.core.Step(r.now, m)
	return r.drain()
}

// tick advances the time by d. Otherwise it works like step.
func (r *testReplica) tick(d time.Duration) []replica.Message {
	r.now += d
	r.core.Tick(r.now)
	return r.drain()
}

// drain takes output and syncs the records until there are none. It returns the messages.
func (r *testReplica) drain() []replica.Message {
	r.sent = nil
	for {
		out := r.core.Take()
		r.sent = append(r.sent, out.Messages...)
		if out.Mark == 0 {
			return r.sent
		}
		r.core.Synced(out.Mark)
	}
}

// last returns the last message of a kind that the last call of step, tick or drain returned.
func (r *testReplica) last(kind replica.MessageKind) replica.Message {
	var found replica.Message
	for _, m := range r.sent {
		if m.Kind == kind {
			found = m
		}
	}
	return found
}

// reply returns the reply of a member that accepts a request.
func reply(request replica.Message, kind replica.MessageKind, from replica.Member) replica.Message {
	return replica.Message{
		Kind:  kind,
		From:  from,
		Term:  request.Term,
		Round: request.Round,
		Index: request.Index + uint64(len(request.Entries)),
	}
}

// newCandidate returns a replica that has won its pre-vote and has requested votes.
func newCandidate(self replica.Member, voters []replica.Member, entries ...replica.Entry) *testReplica {
	r := newTestReplica(self, voters, entries...)
	r.tick(2 * time.Second)
	for _, v := range voters {
		if r.core.Term() == r.last(replica.MsgPreVote).Term-1 && v != self {
			r.step(reply(r.last(replica.MsgPreVote), replica.MsgPreVoteReply, v))
			break
		}
	}
	return r
}

// newLeader returns a replica that won an election with the vote of the first other voter. Its first append is in sent.
func newLeader(self replica.Member, voters []replica.Member, entries ...replica.Entry) *testReplica {
	r := newCandidate(self, voters, entries...)
	for _, v := range voters {
		if v != self {
			r.step(reply(r.last(replica.MsgVote), replica.MsgVoteReply, v))
			break
		}
	}
	Expect(r.core.Status().Role).To(Equal(replica.Leader))
	return r
}

func configEntry(index, term uint64, voters ...replica.Member) replica.Entry {
	data, err := cbor.Marshal(replica.Config{Voters: voters})
	Expect(err).NotTo(HaveOccurred())
	return replica.Entry{Index: index, Term: term, Kind: replica.EntryConfig, Data: data}
}

// appendFrom returns a MsgAppend of a leader. prev is the index of the entry before the given ones, prevTerm its term.
func appendFrom(from replica.Member, term, prev, prevTerm uint64, entries ...replica.Entry) replica.Message {
	return replica.Message{
		Kind: replica.MsgAppend, From: from, Term: term, Index: prev, LogTerm: prevTerm, Entries: entries,
	}
}

var (
	firstEntry     = replica.Entry{Index: 1, Term: 1}
	voteRequest    = replica.Message{Kind: replica.MsgVote, From: memberB, Term: 2, Index: 1, LogTerm: 1, Round: 5}
	preVoteRequest = replica.Message{Kind: replica.MsgPreVote, From: memberB, Term: 2, Index: 1, LogTerm: 1, Round: 5}
	heartbeatOfC   = appendFrom(memberC, 1, 1, 1)
)

func modified(m replica.Message, change func(*replica.Message)) replica.Message {
	change(&m)
	return m
}

var _ = Describe("a vote", func() {
	DescribeTable("is granted only if the term, the log, earlier votes and a possible lease allow it",
		func(wait time.Duration, before []replica.Message, request replica.Message, granted bool) {
			r := newTestReplica(memberA, threeVoters, firstEntry)
			r.now += wait
			for _, m := range before {
				r.step(m)
			}
			r.now += 10 * time.Millisecond
			sent := r.step(request)
			Expect(len(sent) == 1 && !sent[0].Reject && sent[0].Round == request.Round).To(Equal(granted))
		},
		Entry("vote", time.Second, nil, voteRequest, true),
		Entry("pre-vote", time.Second, nil, preVoteRequest, true),
		Entry("vote soon after the start", 900*time.Millisecond, nil, voteRequest, false),
		Entry("pre-vote soon after the start", 900*time.Millisecond, nil, preVoteRequest, false),
		Entry("vote after a leader was heard", time.Second, []replica.Message{heartbeatOfC}, voteRequest, false),
		Entry("pre-vote after a leader was heard", time.Second, []replica.Message{heartbeatOfC}, preVoteRequest, false),
		Entry("vote of a transfer", time.Second, []replica.Message{heartbeatOfC},
			modified(voteRequest, func(m *replica.Message) { m.Transfer = true }), true),
		Entry("shorter log", time.Second, nil, modified(voteRequest, func(m *replica.Message) { m.Index = 0 }), false),
		Entry("older log", time.Second, nil, modified(voteRequest, func(m *replica.Message) { m.LogTerm = 0 }), false),
		Entry("pre-vote with a shorter log", time.Second, nil, modified(preVoteRequest, func(m *replica.Message) { m.Index = 0 }), false),
		Entry("old term", time.Second, nil, modified(voteRequest, func(m *replica.Message) { m.Term = 0 }), false),
		Entry("second candidate", time.Second, []replica.Message{voteRequest},
			modified(voteRequest, func(m *replica.Message) { m.From = memberC }), false),
		Entry("older incarnation of the candidate", time.Second, []replica.Message{voteRequest},
			modified(voteRequest, func(m *replica.Message) { m.From = staleB }), false),
	)

	DescribeTable("is not granted by an incarnation that is in no configuration",
		func(voters []replica.Member, granted bool) {
			r := newTestReplica(replica.Member{Host: "a", Incarnation: 7}, threeVoters, firstEntry)
			r.now += time.Second
			m := voteRequest
			m.Entries = []replica.Entry{configEntry(1, 0, voters...)}
			Expect(r.step(m)).To(HaveLen(map[bool]int{true: 1}[granted]))
			r.tick(10 * time.Second)
			Expect(r.last(replica.MsgPreVote).Kind).To(BeZero())
		},
		Entry("not in the candidate's either", threeVoters, false),
		Entry("in the candidate's newer one", []replica.Member{{Host: "a", Incarnation: 7}, memberB}, true),
	)

	DescribeTable("counts only as a reply of a voter to the current request", func(change func(*replica.Message), elected bool) {
		r := newCandidate(memberA, threeVoters)
		r.step(modified(reply(r.last(replica.MsgVote), replica.MsgVoteReply, memberB), change))
		Expect(r.core.Status().Role == replica.Leader).To(Equal(elected))
	},
		Entry("as asked", func(*replica.Message) {}, true),
		Entry("other incarnation", func(m *replica.Message) { m.From = staleB }, false),
		Entry("no voter", func(m *replica.Message) { m.From = foundingMember("z", true) }, false),
		Entry("earlier term", func(m *replica.Message) { m.Term = 0 }, false),
		Entry("request of an older incarnation", func(m *replica.Message) { m.Round++ }, false),
		Entry("rejected", func(m *replica.Message) { m.Reject = true }, false),
		Entry("pre-vote", func(m *replica.Message) { m.Kind = replica.MsgPreVoteReply }, false),
	)

	It("is requested later by a witness than by a local voter", func() {
		w := memberA
		w.Witness = true
		r := newTestReplica(w, []replica.Member{w, memberB, memberC})
		r.tick(2900 * time.Millisecond)
		Expect(r.last(replica.MsgPreVote).Kind).To(BeZero())
		r.tick(200 * time.Millisecond)
		Expect(r.last(replica.MsgPreVote).Kind).NotTo(BeZero())
	})
})

var _ = Describe("output", func() {
	It("holds back messages that depend on a write that is not synced", func() {
		r := newTestReplica(memberA, threeVoters)
		r.now += time.Second
		for _, m := range []replica.Message{
			modified(voteRequest, func(m *replica.Message) { m.Term = 1 }),
			appendFrom(memberB, 1, 0, 0, firstEntry),
		} {
			m.Group, m.To = "g", "a"
			r.core.Step(r.now, m)
			first := r.core.Take()
			Expect(first.Records).To(HaveLen(1))
			Expect(first.Messages).To(HaveLen(1))
			r.core.Step(r.now, m)
			Expect(r.core.Take().Messages).To(BeEmpty(), "the reply to a repeated message precedes the sync")
			r.core.Synced(first.Mark)
			Expect(r.core.Take().Messages).To(HaveLen(1))
		}
	})

	It("answers a heartbeat during a slow write, and acknowledges only synced entries", func() {
		r := newTestReplica(memberA, threeVoters, firstEntry)
		r.core.Step(r.now, modified(appendFrom(memberB, 1, 1, 1, replica.Entry{Index: 2, Term: 1}), func(m *replica.Message) { m.Group, m.To = "g", "a" }))
		write := r.core.Take()
		r.step(appendFrom(memberB, 1, 2, 1))
		Expect(r.last(replica.MsgAppendReply)).To(HaveField("Index", uint64(1)))
		r.core.Synced(write.Mark)
		r.step(appendFrom(memberB, 1, 2, 1))
		Expect(r.last(replica.MsgAppendReply)).To(HaveField("Index", uint64(2)))
	})

	It("does not count an overwritten entry as durable when its pending write is synced", func() {
		r := newTestReplica(memberA, threeVoters, firstEntry)
		stepAndTake := func(m replica.Message) replica.Output {
			m.Group, m.To = "g", "a"
			r.core.Step(r.now, m)
			return r.core.Take()
		}
		first := stepAndTake(appendFrom(memberB, 1, 1, 1, replica.Entry{Index: 2, Term: 1}, replica.Entry{Index: 3, Term: 1}))
		second := stepAndTake(appendFrom(memberC, 2, 1, 1, replica.Entry{Index: 2, Term: 2}))
		Expect(first.Records[0].Entries[0].Term).To(Equal(uint64(1)), "a record changed after it was taken")
		r.core.Synced(first.Mark)
		Expect(stepAndTake(appendFrom(memberC, 2, 2, 2)).Messages).To(BeEmpty(), "the new term is not synced")
		r.core.Synced(second.Mark)
		Expect(r.core.Take().Messages).To(ConsistOf(HaveField("Index", uint64(1))))
	})

	It("counts the leader's own entries for the commit only once they are synced", func() {
		r := newLeader(memberA, threeVoters)
		r.step(reply(r.last(replica.MsgAppend), replica.MsgAppendReply, memberB))
		before := r.core.Status().Commit
		index, term, _ := r.core.Propose(r.now, []byte("x"))
		out := r.core.Take()
		answer := func(from replica.Member) {
			m := replica.Message{Group: "g", Kind: replica.MsgAppendReply, From: from, To: "a", Term: term, Index: index}
			r.core.Step(r.now, m)
		}
		answer(memberB)
		Expect(r.core.Status().Commit).To(Equal(before))
		r.core.Synced(out.Mark)
		Expect(r.core.Status().Commit).To(Equal(index))
	})
})

var _ = Describe("commit", func() {
	DescribeTable("needs a reply of the current term and incarnation", func(change func(*replica.Message), commits bool) {
		r := newLeader(memberA, threeVoters)
		m := reply(r.last(replica.MsgAppend), replica.MsgAppendReply, memberB)
		r.step(modified(m, change))
		Expect(r.core.Status().Commit > 0).To(Equal(commits))
		Expect(r.core.LeadsUnderLease(r.now)).To(Equal(commits))
	},
		Entry("as sent", func(*replica.Message) {}, true),
		Entry("older incarnation", func(m *replica.Message) { m.From = staleB }, false),
		Entry("earlier term", func(m *replica.Message) { m.Term = 0 }, false),
		Entry("rejected", func(m *replica.Message) { m.Reject = true }, false),
		Entry("earlier position", func(m *replica.Message) { m.Index = 0 }, false),
	)

	It("does not count copies of entries of an earlier term", func() {
		r := newLeader(memberA, threeVoters, firstEntry)
		m := reply(r.last(replica.MsgAppend), replica.MsgAppendReply, memberB)
		m.Index = 1
		r.step(m)
		Expect(r.core.Status().Commit).To(BeZero())
		m.Index = 2
		r.step(m)
		Expect(r.core.Status().Commit).To(Equal(uint64(2)))
	})

	It("needs a voter with a disk", func() {
		voters := []replica.Member{foundingMember("a", false), foundingMember("b", false), memberC}
		r := newLeader(voters[0], voters)
		m := r.last(replica.MsgAppend)
		r.step(reply(m, replica.MsgAppendReply, voters[1]))
		Expect(r.core.Status().Commit).To(BeZero())
		r.step(reply(m, replica.MsgAppendReply, memberC))
		Expect(r.core.Status().Commit).NotTo(BeZero())
	})
})

var _ = Describe("a reply that arrives several times", func() {
	It("counts once in a pre-vote, an election, a commit and the lease", func() {
		five := []replica.Member{memberA, memberB, memberC, foundingMember("d", true), foundingMember("e", true)}
		r := newTestReplica(memberA, five)
		repeat := func(request replica.Message, kind replica.MessageKind, from replica.Member) {
			for range 4 {
				r.step(reply(request, kind, from))
			}
		}
		r.tick(2 * time.Second)
		preVote := r.last(replica.MsgPreVote)
		repeat(preVote, replica.MsgPreVoteReply, memberB)
		Expect(r.core.Term()).To(BeZero())
		r.step(reply(preVote, replica.MsgPreVoteReply, memberC))
		Expect(r.core.Term()).To(Equal(uint64(1)))
		vote := r.last(replica.MsgVote)
		repeat(vote, replica.MsgVoteReply, memberB)
		Expect(r.core.Status().Role).To(Equal(replica.Candidate))
		r.step(reply(vote, replica.MsgVoteReply, memberC))
		Expect(r.core.Status().Role).To(Equal(replica.Leader))
		entries := r.last(replica.MsgAppend)
		repeat(entries, replica.MsgAppendReply, memberB)
		Expect(r.core.Status().Commit).To(BeZero())
		Expect(r.core.LeadsUnderLease(r.now)).To(BeFalse())
		repeat(entries, replica.MsgAppendReply, memberC)
		Expect(r.core.Status().Commit).NotTo(BeZero())
		Expect(r.core.LeadsUnderLease(r.now)).To(BeTrue())
	})
})

var _ = Describe("the lease", func() {
	It("runs from the send time of the answered round", func() {
		r := newLeader(memberA, threeVoters)
		sent := r.now
		m := reply(r.last(replica.MsgAppend), replica.MsgAppendReply, memberB)
		r.tick(500 * time.Millisecond)
		r.step(m)
		Expect(r.core.LeadsUnderLease(sent + 599*time.Millisecond)).To(BeTrue())
		Expect(r.core.LeadsUnderLease(sent + 600*time.Millisecond)).To(BeFalse())
		r.step(modified(reply(r.last(replica.MsgAppend), replica.MsgAppendReply, staleB), func(m *replica.Message) { m.Round = 2 }))
		Expect(r.core.LeadsUnderLease(sent + 600*time.Millisecond)).To(BeFalse())
	})

	It("is not valid again in the term after the leader allowed an election", func() {
		r := newLeader(memberA, threeVoters)
		r.step(reply(r.last(replica.MsgAppend), replica.MsgAppendReply, memberB))
		r.core.TransferLeadership(r.now, "")
		r.drain()
		Expect(r.last(replica.MsgTimeoutNow).To).To(Equal("b"))
		for range 9 {
			Expect(r.core.LeadsUnderLease(r.now)).To(BeFalse())
			r.tick(100 * time.Millisecond)
			r.step(reply(r.last(replica.MsgAppend), replica.MsgAppendReply, memberB))
		}
		r.tick(200 * time.Millisecond)
		Expect(r.core.Status().Role).To(Equal(replica.Follower))
	})

	It("is followed by a step down if no quorum answers", func() {
		r := newLeader(memberA, threeVoters)
		r.tick(time.Second)
		Expect(r.core.Status().Role).To(Equal(replica.Leader))
		r.tick(time.Millisecond)
		Expect(r.core.Status().Role).To(Equal(replica.Follower))
	})
})
