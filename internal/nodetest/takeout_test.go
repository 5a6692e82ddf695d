package nodetest_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/nodetest"
)

// submitBacklog submits more tasks to a zone than it can run at once, so that tasks start all the time.
func submitBacklog(w *nodetest.World, zone string, jobs int) []*nodetest.Job {
	var out []*nodetest.Job
	for i := range jobs {
		r := api.JobRequest{Zone: zone, Body: nodetest.Body(time.Second, fmt.Sprint("backlog", i))}
		if i%5 == 0 {
			r.Gang, r.Accelerators, r.Adjacency = 2, 4, "rack"
		}
		out = append(out, w.Submit(nodetest.SmallWorkspace, r, zone))
	}
	return out
}

func setZone(w *nodetest.World, h *nodetest.Host, zone string, out bool, command string) *api.ZoneStatus {
	for range 20 {
		resp := w.CallAsOperator(h, node.Request{SetZone: &node.SetZone{Zone: zone, Out: out, CommandID: command}})
		if resp != nil && resp.Error == nil {
			if z := resp.Body.(*api.ZoneStatus); z.State == api.ZoneOut || z.State == api.ZoneIn {
				return z
			}
		}
		w.Run(200 * time.Millisecond)
	}
	return nil
}

var _ = Describe("A zone that is taken out with a backlog", func() {
	cases := []struct {
		name  string
		fault func(w *nodetest.World, leader *nodetest.Host)
	}{
		{"without a fault", func(*nodetest.World, *nodetest.Host) {}},
		{"and whose leader is killed", func(w *nodetest.World, leader *nodetest.Host) {
			w.After(500*time.Millisecond, leader.Crash)
			w.After(3*time.Second, leader.Start)
		}},
		{"and whose leader is frozen before and thaws after", func(w *nodetest.World, leader *nodetest.Host) {
			leader.Freeze()
			w.After(6*time.Second, leader.Thaw)
		}},
		{"by a host inside it while it is cut off", func(w *nodetest.World, _ *nodetest.Host) {
			w.CutZone("a")
			w.After(8*time.Second, w.Heal)
		}},
	}
	for _, c := range cases {
		for seed := uint64(1); seed <= 3; seed++ {
			// Guards against starts after the answer that the zone is out, and against jobs that do not start once it
			// is in again.
			It(fmt.Sprintf("starts nothing more until it is back, %s, seed %d", c.name, seed), func() {
				w := newWorld(seed)
				jobs := submitBacklog(w, "a", 200)
				w.Run(time.Second)
				c.fault(w, w.LeaderOf("cell/a"))
				Expect(setZone(w, w.PickHost("a"), "a", true, "out")).To(HaveField("State", api.ZoneOut))
				w.Run(12 * time.Second)
				jobs = append(jobs, submitBacklog(w, "a", 5)...)
				w.Run(time.Second)
				started := countStarts(w)
				Expect(setZone(w, w.PickHost("b"), "a", false, "in")).To(HaveField("State", api.ZoneIn))
				w.RunUntil(w.Now()+time.Minute, func() bool { return countStarts(w) > started+50 })
				w.RecordEnd()
				Expect(violationTexts(history.CheckTakeOut(w.History, history.DefaultBounds))).To(BeEmpty())
				Expect(countStarts(w)).To(BeNumerically(">", started+50), "starts after the zone came back")
				Expect(w.Problems).To(BeEmpty())
				Expect(jobs[0].Refusal).To(BeNil())
			})
		}
	}
})

// countStarts returns the number of tasks that passed their gates.
func countStarts(w *nodetest.World) int {
	n := 0
	for _, e := range w.History {
		if e.Kind == history.Started {
			n++
		}
	}
	return n
}
