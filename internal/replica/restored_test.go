package replica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// entriesOf returns entries with the given terms and consecutive indexes.
func entriesOf(from uint64, terms ...uint64) []replica.Entry {
	var out []replica.Entry
	for i, term := range terms {
		out = append(out, replica.Entry{Index: from + uint64(i), Term: term})
	}
	return out
}

// Guards against a restart that restores overwritten entries or leaves a gap in the log.
var _ = DescribeTable("a record applied to entries 1 to 4 of term 1",
	func(rec replica.Record, want []replica.Entry) {
		x := &replica.Restored{}
		x.Apply(replica.Record{Entries: entriesOf(1, 1, 1, 1, 1)})
		for range 2 {
			x.Apply(rec)
			Expect(x.Entries).To(HaveLen(len(want)))
			for i := range want {
				Expect(x.Entries[i]).To(Equal(want[i]))
			}
		}
	},
	Entry("more entries", replica.Record{Entries: entriesOf(5, 2)}, entriesOf(1, 1, 1, 1, 1, 2)),
	Entry("entries that overwrite", replica.Record{Entries: entriesOf(3, 2)}, entriesOf(1, 1, 1, 2)),
	Entry("the same entries", replica.Record{Entries: entriesOf(1, 1, 1, 1, 1)}, entriesOf(1, 1, 1, 1, 1)),
	Entry("snapshot that matches the log", replica.Record{Snapshot: &replica.Snapshot{Index: 2, Term: 1}}, entriesOf(3, 1, 1)),
	Entry("snapshot that conflicts with the log", replica.Record{Snapshot: &replica.Snapshot{Index: 2, Term: 2}}, nil),
	Entry("snapshot ahead of the log", replica.Record{Snapshot: &replica.Snapshot{Index: 9, Term: 1}}, nil),
	Entry("snapshot and entries", replica.Record{Snapshot: &replica.Snapshot{Index: 9, Term: 2}, Entries: entriesOf(10, 3)},
		entriesOf(10, 3)),
	Entry("snapshot and entries that it covers partly",
		replica.Record{Snapshot: &replica.Snapshot{Index: 2, Term: 1}, Entries: entriesOf(1, 1, 1, 5)}, entriesOf(3, 5)),
)
