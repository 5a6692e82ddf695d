package nodetest_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/nodetest"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

var _ = Describe("A gang that loses a member", func() {
	cases := []struct {
		name string
		lose func(w *nodetest.World, e *nodetest.Endpoint)
	}{
		{"because its endpoint restarts", func(_ *nodetest.World, e *nodetest.Endpoint) { e.Restart() }},
		{"because its endpoint is silent", func(_ *nodetest.World, e *nodetest.Endpoint) {
			e.Standin.SetFaults(standin.Faults{Freeze: true})
		}},
		{"while the leader is killed", func(w *nodetest.World, e *nodetest.Endpoint) {
			w.LeaderOf("cell/a").Crash()
			e.Restart()
		}},
	}
	for _, c := range cases {
		for seed := uint64(1); seed <= 3; seed++ {
			// Guards against members that continue to run without the others.
			It(fmt.Sprintf("is stopped as a whole, %s, seed %d", c.name, seed), func() {
				w := newWorld(seed)
				for i := range 2 {
					w.Submit(nodetest.LargeWorkspace, api.JobRequest{Zone: "a", Gang: 2, Accelerators: 8, Adjacency: "rack",
						Body: nodetest.Body(time.Hour, fmt.Sprint(i))}, "a")
				}
				Expect(w.RunUntil(w.Now()+10*time.Second, func() bool { return countStarts(w) == 4 })).To(BeTrue())
				c.lose(w, w.Endpoints["a-w1"])
				w.Run(20 * time.Second)
				w.RecordEnd()
				bounds := history.Bounds{TaskLease: w.Lease(), Grace: contractGrace}
				Expect(violationTexts(history.CheckGangs(w.History, bounds))).To(BeEmpty())
				Expect(w.Problems).To(BeEmpty())
			})
		}
	}
})
