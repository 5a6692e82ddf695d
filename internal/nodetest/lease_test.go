package nodetest_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

var _ = Describe("The record of a leader lease", func() {
	// Guards against a record that ends when the host notices that the lease has expired: a busy machine can stop a
	// process for longer than its lease, and no test announces that.
	for _, group := range []string{string(node.DeploymentGroup), string(node.CellGroup("a"))} {
		for seed := range uint64(5) {
			It(fmt.Sprintf("of %s ends when the lease expires if the process gets no processor, seed %d", group, seed), func() {
				w := newWorld(seed + 1)
				leader := w.LeaderOf(group)
				Expect(leader).NotTo(BeNil())
				from := w.Now()
				leader.Freeze()
				w.Run(3 * time.Second)
				Expect(w.LeaderOf(group)).NotTo(Equal(leader))
				leader.Thaw()
				w.Run(time.Second)
				w.RecordEnd()
				Expect(violationTexts(history.CheckLeases(w.History, history.DefaultBounds))).To(BeEmpty())
				var end time.Duration
				for _, e := range w.History {
					if e.Kind == history.LeaseEnded && e.Group == group && e.Host == leader.Peer.ID {
						end = time.Duration(e.Time)
					}
				}
				Expect(end).To(And(BeNumerically(">", from), BeNumerically("<=", from+history.LeaderLease)))
			})
		}
	}
})
