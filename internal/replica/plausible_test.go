package replica_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

var _ = Describe("a message that no member of the group can have sent", func() {
	entry := func(index, term uint64, kind replica.EntryKind, data []byte) replica.Entry {
		return replica.Entry{Index: index, Term: term, Kind: kind, Data: data}
	}
	appendOf := func(index, logTerm uint64, entries ...replica.Entry) replica.Message {
		return replica.Message{Kind: replica.MsgAppend, From: memberB, Term: 3, Index: index, LogTerm: logTerm, Entries: entries}
	}
	voters := replica.Config{Voters: threeVoters}

	// Guards against one message after which a replica forgets its vote, or the group never has a leader again.
	DescribeTable("changes nothing, and the next leader is followed", func(m replica.Message) {
		r := newTestReplica(memberA, threeVoters, entry(1, 2, replica.EntryCommand, []byte("x")))
		Expect(r.step(m)).To(BeEmpty())
		st := r.core.Status()
		Expect(st.Term).To(Equal(uint64(2)))
		Expect(st.LastIndex).To(Equal(uint64(1)))
		Expect(st.Config.Voters).To(Equal(threeVoters))
		Expect(r.step(appendOf(1, 2, entry(2, 3, replica.EntryCommand, []byte("y"))))).NotTo(BeEmpty())
		Expect(r.core.Status().Term).To(Equal(uint64(3)))
	},
		Entry("a term at the end of the numbers", replica.Message{Kind: replica.MsgAppend, From: memberB, Term: math.MaxUint64}),
		Entry("the term of a reply that no election has reached", replica.Message{Kind: replica.MsgVoteReply, From: memberB, Term: 1 << 40, Reject: true}),
		Entry("the term of a request for a vote", replica.Message{Kind: replica.MsgVote, From: memberB, Term: math.MaxUint64 - 1, Index: 9, LogTerm: 9, Transfer: true}),
		Entry("the term of a reply of a follower", replica.Message{Kind: replica.MsgAppendReply, From: memberB, Term: math.MaxUint64}),
		Entry("an index at the end of the numbers", appendOf(math.MaxUint64, 2, entry(0, 3, replica.EntryCommand, nil))),
		Entry("an entry of a term after that of its leader", appendOf(1, 2, entry(2, 4, replica.EntryCommand, nil))),
		Entry("entries of falling terms", appendOf(1, 2, entry(2, 3, replica.EntryCommand, nil), entry(3, 2, replica.EntryCommand, nil))),
		Entry("a gap between entries", appendOf(1, 2, entry(2, 3, replica.EntryCommand, nil), entry(4, 3, replica.EntryCommand, nil))),
		Entry("a configuration that cannot be decoded", appendOf(1, 2, entry(2, 3, replica.EntryConfig, []byte{0xff}))),
		Entry("null for a configuration", appendOf(1, 2, entry(2, 3, replica.EntryConfig, []byte{0xf6}))),
		Entry("a configuration without voters", appendOf(1, 2, entry(2, 3, replica.EntryConfig, []byte{0xa0}))),
		Entry("no snapshot", replica.Message{Kind: replica.MsgSnapshot, From: memberB, Term: 3}),
		Entry("a snapshot without voters", replica.Message{Kind: replica.MsgSnapshot, From: memberB, Term: 3, Snapshot: &replica.Snapshot{Index: 9, Term: 3}}),
		Entry("a snapshot at the end of the numbers",
			replica.Message{Kind: replica.MsgSnapshot, From: memberB, Term: 3, Snapshot: &replica.Snapshot{Index: math.MaxUint64, Term: 3, Config: voters}}),
		Entry("a snapshot of a term after that of its leader",
			replica.Message{Kind: replica.MsgSnapshot, From: memberB, Term: 3, Snapshot: &replica.Snapshot{Index: 9, Term: 4, Config: voters}}),
	)

	It("is not one of a leader that many elections have followed", func() {
		r := newTestReplica(memberA, threeVoters, entry(1, 2, replica.EntryCommand, []byte("x")))
		r.step(replica.Message{Kind: replica.MsgAppend, From: memberB, Term: 1_000_000, Index: 1, LogTerm: 2})
		Expect(r.core.Status().Term).To(Equal(uint64(1_000_000)))
	})
})
