package history_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	h "github.com/mustardwalk/mustardwalk/internal/history"
)

// change returns the events of one change of the contract of workspace s, or of the service state of a zone: it is sent at
// from and answered at to, or never answered if to is 0.
func change(from, to float64, call, command string, expected, revision uint64, code string, set ...func(*h.Event)) []h.Event {
	sent := h.Event{Call: call, CommandID: command, Workspace: "s", ExpectedRevision: expected}
	for _, f := range set {
		f(&sent)
	}
	events := []h.Event{at(from, h.CommandSent, sent)}
	if to > 0 {
		events = append(events, at(to, h.CommandAnswered, h.Event{Call: call, CommandID: command, Revision: revision, Code: code}))
	}
	return events
}

func ofZone(isOut bool) func(*h.Event) {
	return func(e *h.Event) { e.Zone, e.Workspace, e.Out = "z", "", isOut }
}

func ofWorkspace(name string) func(*h.Event) { return func(e *h.Event) { e.Workspace = name } }

// Guards against a deployment log that loses, repeats or reorders the changes of operators.
var _ = DescribeTable("changes of operators", func(legal bool, changes ...[]h.Event) {
	found := h.CheckOperations(h.Merge(changes...), h.DefaultBounds)
	Expect(found).To(HaveLen(map[bool]int{true: 0, false: 1}[legal]), "%v", found)
},
	Entry("one after the other", true, change(0, 1, "a", "x", 0, 1, ""), change(2, 3, "b", "y", 1, 2, "")),
	Entry("a revision is given twice", false, change(0, 1, "a", "x", 0, 1, ""), change(0, 1, "b", "y", 0, 1, "")),
	Entry("a race with one winner", true, change(0, 1, "a", "x", 0, 1, ""), change(2, 4, "b", "y", 1, 2, ""), change(2, 4, "c", "z", 1, 2, "conflict")),
	Entry("a race with two winners", false, change(0, 1, "a", "x", 0, 1, ""), change(2, 4, "b", "y", 1, 2, ""), change(2, 4, "c", "z", 1, 3, "")),
	Entry("a conflict without a rival", false, change(0, 1, "a", "x", 0, 1, ""), change(2, 3, "b", "y", 1, 1, "conflict")),
	Entry("the conflict of a stale revision", true, change(0, 1, "a", "x", 0, 1, ""), change(2, 3, "b", "y", 7, 1, "conflict")),
	Entry("a resend returns the first result", true, change(0, 1, "a", "x", 0, 1, ""), change(2, 3, "b", "y", 1, 2, ""), change(4, 5, "c", "x", 0, 1, "")),
	Entry("a resend is carried out again", false, change(0, 1, "a", "x", 0, 1, ""), change(2, 3, "b", "x", 0, 2, "")),
	Entry("an unanswered change took effect", true, change(0, 0, "a", "x", 0, 0, ""), change(2, 3, "b", "y", 0, 2, "")),
	Entry("an unanswered change took no effect", true, change(0, 1, "a", "x", 0, 0, "unavailable"), change(2, 3, "b", "y", 0, 1, "")),
	Entry("one unanswered change took effect twice", false, change(0, 0, "a", "x", 0, 0, ""), change(2, 3, "b", "y", 0, 3, "")),
	Entry("a change reverted", false, change(0, 1, "a", "x", 0, 1, ""), change(2, 3, "b", "y", 1, 2, ""), change(4, 5, "c", "z", 1, 3, "")),
	Entry("workspaces share the revision of the deployment", true, change(0, 1, "a", "x", 0, 1, ""),
		change(2, 3, "b", "y", 0, 2, "", ofWorkspace("r")), change(4, 5, "c", "z", 1, 3, "")),
	Entry("zones have revisions of their own", true, change(0, 1, "a", "x", 0, 1, ""), change(2, 3, "b", "y", 0, 1, "", ofZone(true))),
	Entry("a zone that is out already", true, change(0, 1, "a", "x", 0, 1, "", ofZone(true)), change(2, 3, "b", "y", 0, 1, "", ofZone(true))),
	Entry("a zone whose change is lost", false, change(0, 1, "a", "x", 0, 1, "", ofZone(true)), change(2, 3, "b", "y", 0, 1, "", ofZone(false))),
)
