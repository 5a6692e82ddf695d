package nodetest_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/nodetest"
)

var _ = Describe("A valid contract", func() {
	for seed := uint64(1); seed <= 10; seed++ {
		// Guards against a new leader of the deployment that takes the few workers which a new leader of a zone knows for
		// all workers of the zone.
		It(fmt.Sprintf("is not refused for good after the leaders of the deployment and of a zone changed, seed %d", seed), func() {
			w := newWorld(seed)
			for _, group := range []string{string(node.DeploymentGroup), string(node.CellGroup("b"))} {
				if h := w.LeaderOf(group); h != nil { // Nil if the same host led both groups.
					h.Freeze()
					w.After(4*time.Second, h.Thaw)
				}
			}
			entry := w.Hosts["c1"]
			if entry.Frozen() {
				entry = w.Hosts["c2"]
			}
			accepted, sent := 0, 0
			for end := w.Now() + 20*time.Second; w.Now() < end; w.Run(50 * time.Millisecond) {
				sent++
				resp := w.CallAsOperator(entry, node.Request{ApplyContract: &node.ApplyContract{
					Workspace: nodetest.SmallWorkspace, YAML: nodetest.Contract(nodetest.SmallWorkspace, 1, 4, "worker", 1+sent%5),
					File: "small.yaml", CommandID: fmt.Sprint("change-", sent)}})
				switch {
				case resp == nil:
				case resp.Error == nil:
					accepted++
				default:
					Expect(resp.Error.Code).To(Equal(api.CodeUnavailable), "at %v: %v", w.Now(), resp.Error.Findings)
				}
			}
			Expect(accepted).To(BeNumerically(">", 0), "accepted changes")
		})
	}
})
