package history_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	h "github.com/mustardwalk/mustardwalk/internal/history"
)

// at returns an event of a kind at a time in seconds, with the other fields of e.
func at(seconds float64, kind h.Kind, e h.Event) h.Event {
	e.Time, e.Kind = int64(seconds*float64(time.Second)), kind
	return e
}

func started(seconds float64, attempt string, member, gang int) h.Event {
	job, _, _ := strings.Cut(attempt, "/")
	return at(seconds, h.Started, h.Event{Job: job, Attempt: attempt, Member: member, GangSize: gang, Zone: "z", Worker: "w", Host: "w/1"})
}

func stopped(seconds float64, attempt string, member int, outcome string) h.Event {
	return at(seconds, h.Stopped, h.Event{Attempt: attempt, Member: member, Outcome: outcome})
}

func submitted(seconds float64, call, key string, once bool) h.Event {
	return at(seconds, h.Submitted, h.Event{Call: call, Workspace: "s", Key: key, NoRepeat: once})
}

func accepted(seconds float64, call, job string) h.Event {
	return at(seconds, h.Accepted, h.Event{Call: call, Job: job})
}

func notRun(seconds float64, call string) h.Event {
	return at(seconds, h.Refused, h.Event{Call: call, NotRun: "true"})
}

func committed(seconds float64, job, key string, once bool) h.Event {
	return at(seconds, h.Committed, h.Event{Job: job, Workspace: "s", Key: key, NoRepeat: once, Zone: "z"})
}

func answer(kind h.Kind, seconds float64, job, call, attempt, digest string) h.Event {
	return at(seconds, kind, h.Event{Job: job, Call: call, Attempt: attempt, Digest: digest, Outcome: "succeeded", Workspace: "s"})
}

func adopt(seconds float64, host string, revision uint64) h.Event {
	return at(seconds, h.RevisionAdopted, h.Event{Zone: "z", Host: host, Revision: revision})
}

func changed(seconds float64, revision uint64) h.Event {
	return at(seconds, h.CommandAnswered, h.Event{Call: "c", Revision: revision})
}

func fault(seconds float64, message string) h.Event {
	return at(seconds, h.Fault, h.Event{Zone: "z", Host: "a", Message: message})
}

func lease(kind h.Kind, seconds float64, host string, epoch uint64) h.Event {
	return at(seconds, kind, h.Event{Group: "g", Host: host, Epoch: epoch})
}

func out(seconds float64, kind h.Kind, isOut bool, revision uint64) h.Event {
	return at(seconds, kind, h.Event{Zone: "z", Out: isOut, Revision: revision})
}

// end is the last event of a history: the checkers check only the bounds that end before it.
var end = at(100, h.HostStopped, h.Event{})

var guaranteed = at(0, h.Submitted, h.Event{Call: "c", Message: h.MarkGuaranteed})

// Each entry is a short history. An entry with violations guards against a checker that misses the fault, one without
// against a checker that reports what is allowed.
var _ = DescribeTable("checkers", func(check h.Checker, violations int, events ...h.Event) {
	found := check(h.Merge(events), h.DefaultBounds)
	Expect(found).To(HaveLen(violations), "%v", found)
},
	Entry("gang: whole", h.Checker(h.CheckGangs), 0, started(0, "j/1", 0, 2), started(3, "j/1", 1, 2), end),
	Entry("gang: one member missing", h.Checker(h.CheckGangs), 1, started(0, "j/1", 0, 2), end),
	Entry("gang: one member late", h.Checker(h.CheckGangs), 2, started(0, "j/1", 0, 2), started(3.1, "j/1", 1, 2), end),
	Entry("gang: members of two attempts", h.Checker(h.CheckGangs), 2, started(0, "j/1", 0, 2), started(0, "j/2", 1, 2), end),
	Entry("gang: one member missing, stopped in time", h.Checker(h.CheckGangs), 0,
		started(0, "j/1", 0, 2), stopped(14, "j/1", 0, "stopped"), end),
	Entry("gang: one member missing, stopped late", h.Checker(h.CheckGangs), 1,
		started(0, "j/1", 0, 2), stopped(14.1, "j/1", 0, "stopped"), end),
	Entry("gang: runs on after the loss of a member", h.Checker(h.CheckGangs), 1,
		started(0, "j/1", 0, 2), started(0, "j/1", 1, 2), stopped(20, "j/1", 1, "stopped"), end),
	Entry("gang: the history ends before the window", h.Checker(h.CheckGangs), 0, started(0, "j/1", 0, 2), started(2, "k/1", 0, 1)),

	Entry("out: start in time", h.Checker(h.CheckTakeOut), 0, out(1, h.ZoneStateAnswered, true, 1), started(4, "j/1", 0, 1)),
	Entry("out: start late", h.Checker(h.CheckTakeOut), 1, out(1, h.ZoneStateAnswered, true, 1), started(4.1, "j/1", 0, 1)),
	Entry("out: start in another zone", h.Checker(h.CheckTakeOut), 0,
		at(1, h.ZoneStateAnswered, h.Event{Zone: "y", Out: true, Revision: 1}), started(9, "j/1", 0, 1)),
	Entry("out: in again", h.Checker(h.CheckTakeOut), 0,
		out(1, h.ZoneStateAnswered, true, 1), out(5, h.ServiceState, false, 2), started(9, "j/1", 0, 1)),
	Entry("out: the older state in does not count", h.Checker(h.CheckTakeOut), 1,
		out(1, h.ZoneStateAnswered, true, 3), out(5, h.ServiceState, false, 2), started(9, "j/1", 0, 1)),
	Entry("out: a late answer to an overtaken command", h.Checker(h.CheckTakeOut), 0,
		out(1, h.ServiceState, false, 2), out(2, h.ZoneStateAnswered, true, 1), started(9, "j/1", 0, 1)),

	Entry("leaving: work in time", h.Checker(h.CheckLeaving), 0,
		at(0, h.LeavingSent, h.Event{Worker: "w", Host: "w/1"}), started(3, "j/1", 0, 1)),
	Entry("leaving: start late", h.Checker(h.CheckLeaving), 1,
		at(0, h.LeavingSent, h.Event{Worker: "w", Host: "w/1"}), started(3.1, "j/1", 0, 1)),
	Entry("leaving: reservation late", h.Checker(h.CheckLeaving), 1,
		at(0, h.LeavingSent, h.Event{Worker: "w", Host: "w/1"}), at(3.1, h.Reserved, h.Event{Worker: "w", Host: "w/1"})),
	Entry("leaving: the next incarnation", h.Checker(h.CheckLeaving), 0,
		at(0, h.LeavingSent, h.Event{Worker: "w", Host: "w/0"}), started(9, "j/1", 0, 1)),

	Entry("reclaim: in time", h.Checker(h.CheckReclaim), 0, guaranteed, accepted(0, "c", "j"),
		started(16, "j/1", 0, 2), started(17, "j/1", 1, 2), end),
	Entry("reclaim: one member late", h.Checker(h.CheckReclaim), 1, guaranteed, accepted(0, "c", "j"),
		started(16, "j/1", 0, 2), started(17.1, "j/1", 1, 2), end),
	Entry("reclaim: never", h.Checker(h.CheckReclaim), 1, guaranteed, accepted(0, "c", "j"), end),
	Entry("reclaim: not guaranteed", h.Checker(h.CheckReclaim), 0, submitted(0, "c", "", false), accepted(0, "c", "j"), end),

	Entry("answers: delivered to two calls", h.Checker(h.CheckAnswers), 0, submitted(0, "c", "k", false), accepted(1, "c", "j"),
		answer(h.AnswerCommitted, 2, "j", "", "j/1", "d"), answer(h.AnswerDelivered, 3, "j", "c", "", "d"), answer(h.AnswerDelivered, 3, "j", "e", "", "d")),
	Entry("answers: recorded by two replicas", h.Checker(h.CheckAnswers), 0,
		answer(h.AnswerCommitted, 2, "j", "", "j/1", "d"), answer(h.AnswerCommitted, 3, "j", "", "j/1", "d")),
	Entry("answers: two", h.Checker(h.CheckAnswers), 1,
		answer(h.AnswerCommitted, 2, "j", "", "j/1", "d"), answer(h.AnswerCommitted, 3, "j", "", "j/2", "d")),
	Entry("answers: one attempt answers twice", h.Checker(h.CheckAnswers), 1,
		answer(h.AnswerCommitted, 2, "j", "", "j/1", "d"), answer(h.AnswerCommitted, 3, "j", "", "j/1", "e")),
	Entry("answers: truncated on delivery", h.Checker(h.CheckAnswers), 1,
		answer(h.AnswerCommitted, 2, "j", "", "j/1", "d"), answer(h.AnswerDelivered, 3, "j", "c", "", "e")),
	Entry("answers: delivered before commit", h.Checker(h.CheckAnswers), 1, answer(h.AnswerDelivered, 3, "j", "c", "", "d")),
	Entry("answers: crossed between calls", h.Checker(h.CheckAnswers), 1, submitted(0, "c", "k", false), accepted(1, "c", "i"),
		answer(h.AnswerCommitted, 2, "j", "", "j/1", "d"), answer(h.AnswerDelivered, 3, "j", "c", "", "d")),
	Entry("answers: crossed between workspaces", h.Checker(h.CheckAnswers), 1, at(0, h.Committed, h.Event{Job: "j", Workspace: "r"}),
		answer(h.AnswerCommitted, 2, "j", "", "j/1", "d"), answer(h.AnswerDelivered, 3, "j", "c", "", "d")),
	Entry("answers: crossed between attempts", h.Checker(h.CheckAnswers), 1, started(0, "i/1", 0, 1),
		answer(h.AnswerCommitted, 2, "j", "", "i/1", "d")),
	Entry("answers: not what the endpoint produced", h.Checker(h.CheckAnswers), 1,
		at(1, h.Stopped, h.Event{Attempt: "j/1", Digest: "d"}), answer(h.AnswerCommitted, 2, "j", "", "j/1", "e")),

	Entry("not run: true", h.Checker(h.CheckNotRun), 0, submitted(0, "c", "k", false), notRun(1, "c"), started(2, "j/1", 0, 1)),
	Entry("not run: its job starts later", h.Checker(h.CheckNotRun), 1,
		submitted(0, "c", "k", false), notRun(1, "c"), committed(2, "j", "k", false), started(9, "j/1", 0, 1)),
	Entry("not run: the job of an earlier call runs", h.Checker(h.CheckNotRun), 1, submitted(0, "b", "k", false),
		accepted(1, "b", "j"), submitted(2, "c", "k", false), notRun(3, "c"), started(9, "j/1", 0, 1)),
	Entry("not run: the job of a later call runs", h.Checker(h.CheckNotRun), 0, submitted(0, "c", "k", false), notRun(1, "c"),
		submitted(2, "d", "k", false), committed(3, "j", "k", false), accepted(4, "d", "j"), started(9, "j/1", 0, 1)),
	Entry("not run: an earlier call without an answer created the job", h.Checker(h.CheckNotRun), 1, submitted(0, "b", "k", false),
		submitted(1, "c", "k", false), notRun(2, "c"), committed(3, "j", "k", false), started(9, "j/1", 0, 1)),
	Entry("not run: committed before the later call", h.Checker(h.CheckNotRun), 1, submitted(0, "c", "k", false), notRun(1, "c"),
		committed(2, "j", "k", false), submitted(3, "d", "k", false), accepted(4, "d", "j"), started(9, "j/1", 0, 1)),
	Entry("not run: a caller that does not know its workspace", h.Checker(h.CheckNotRun), 1,
		at(0, h.Submitted, h.Event{Call: "c", Key: "k"}), notRun(1, "c"), committed(2, "j", "k", false), started(9, "j/1", 0, 1)),
	Entry("not run: the refusal names the job", h.Checker(h.CheckNotRun), 1, submitted(0, "c", "", false),
		at(1, h.Refused, h.Event{Call: "c", NotRun: "true", Job: "j"}), started(9, "j/1", 0, 1)),

	Entry("no repeat: a gang", h.Checker(h.CheckNoRepeat), 0, committed(0, "j", "k", true), started(1, "j/1", 0, 2), started(1, "j/1", 1, 2)),
	Entry("no repeat: two attempts", h.Checker(h.CheckNoRepeat), 1, committed(0, "j", "", true), started(1, "j/1", 0, 1), started(2, "j/2", 0, 1)),
	Entry("no repeat: two jobs of one key", h.Checker(h.CheckNoRepeat), 1, submitted(0, "c", "k", true), accepted(0, "c", "i"),
		at(0, h.Claimed, h.Event{Workspace: "s", Key: "k", Job: "j"}), started(1, "i/1", 0, 1), started(2, "j/1", 0, 1)),
	Entry("no repeat: may be repeated", h.Checker(h.CheckNoRepeat), 0, committed(0, "j", "k", false), started(1, "j/1", 0, 1), started(2, "j/2", 0, 1)),

	Entry("lost: answered", h.Checker(h.CheckNothingLost), 0, submitted(0, "c", "", false), accepted(0, "c", "j"), answer(h.AnswerCommitted, 1, "j", "", "", "")),
	Entry("lost: no answer", h.Checker(h.CheckNothingLost), 1, submitted(0, "c", "", false), accepted(0, "c", "j"), end),
	Entry("lost: an interrupted call", h.Checker(h.CheckNothingLost), 1, submitted(0, "c", "", false), end),
	Entry("lost: a call interrupted by a fault", h.Checker(h.CheckNothingLost), 0, submitted(0, "c", "", false), fault(0, "kill")),

	Entry("revisions: in time", h.Checker(h.CheckRevisions), 0, adopt(0, "a", 1), changed(1, 2), adopt(7, "a", 3), end),
	Entry("revisions: late", h.Checker(h.CheckRevisions), 1, adopt(0, "a", 1), changed(1, 2), adopt(7.1, "a", 3), end),
	Entry("revisions: never", h.Checker(h.CheckRevisions), 1, adopt(0, "a", 1), changed(1, 2), end),
	Entry("revisions: decreasing", h.Checker(h.CheckRevisions), 1, adopt(0, "a", 2), adopt(1, "a", 1), end),
	Entry("revisions: a follower is behind", h.Checker(h.CheckRevisions), 0, adopt(0, "a", 2), adopt(1, "b", 1), end),
	Entry("revisions: disconnected", h.Checker(h.CheckRevisions), 0, adopt(0, "a", 1), fault(0.5, h.FaultDisconnect), changed(1, 2), end),
	Entry("revisions: in time after connection", h.Checker(h.CheckRevisions), 0, adopt(0, "a", 1), fault(3, h.FaultDisconnect),
		changed(1, 2), fault(9, h.FaultConnect), adopt(15, "a", 2), end),
	Entry("revisions: late after connection", h.Checker(h.CheckRevisions), 1, adopt(0, "a", 1), fault(3, h.FaultDisconnect),
		changed(1, 2), fault(9, h.FaultConnect), adopt(15.1, "a", 2), end),
	Entry("revisions: disconnected after the bound", h.Checker(h.CheckRevisions), 1, adopt(0, "a", 1), changed(1, 2),
		fault(7.1, h.FaultDisconnect), end),

	Entry("leases: one after the other", h.Checker(h.CheckLeases), 0, lease(h.LeaseGranted, 0, "a", 1), lease(h.LeaseGranted, 1, "a", 1),
		lease(h.LeaseEnded, 2, "a", 1), lease(h.LeaseGranted, 2, "b", 2)),
	Entry("leases: overlap", h.Checker(h.CheckLeases), 1, lease(h.LeaseGranted, 0, "a", 1), lease(h.LeaseGranted, 1.9, "b", 2),
		lease(h.LeaseEnded, 2, "a", 1)),
	Entry("leases: two hosts in one epoch", h.Checker(h.CheckLeases), 1, lease(h.LeaseGranted, 0, "a", 1), lease(h.LeaseGranted, 1, "b", 1)),
	Entry("leases: the end of a frozen host is its expiry", h.Checker(h.CheckLeases), 0, lease(h.LeaseGranted, 0, "a", 1), fault(1, h.FaultFreeze),
		lease(h.LeaseEnded, 1.6, "a", 1), lease(h.LeaseGranted, 1.6, "b", 2)),
	Entry("leases: a frozen host records the end too late", h.Checker(h.CheckLeases), 1, lease(h.LeaseGranted, 0, "a", 1), fault(1, h.FaultFreeze),
		lease(h.LeaseGranted, 1.6, "b", 2), lease(h.LeaseEnded, 5, "a", 1)),
	Entry("leases: taken too early from a frozen host", h.Checker(h.CheckLeases), 1, lease(h.LeaseGranted, 0, "a", 1), fault(1, h.FaultFreeze),
		lease(h.LeaseGranted, 1.5, "b", 2), lease(h.LeaseEnded, 1.6, "a", 1)),
)

var _ = It("reads a history whose last line was truncated by a kill, and rejects one with a damaged line before the last", func() {
	events, err := h.Read(strings.NewReader("{\"t\":2,\"kind\":\"started\"}\n\n{\"t\":3,\"ki"))
	Expect(err).NotTo(HaveOccurred())
	Expect(h.Merge(events, []h.Event{{Time: 1}})).To(Equal([]h.Event{{Time: 1}, {Time: 2, Kind: h.Started}}))
	_, err = h.Read(strings.NewReader("{\"t\":2,\n{}\n"))
	Expect(err).To(MatchError(ContainSubstring("line 1")))
})

var _ = It("applies every checker", func() {
	Expect(h.CheckAll([]h.Event{started(0, "j/1", 0, 2), fault(20, ""), adopt(30, "a", 2), adopt(31, "a", 1)}, h.DefaultBounds)).
		To(ConsistOf(HaveField("Rule", h.RuleGang), HaveField("Rule", h.RuleRevisions)))
})
