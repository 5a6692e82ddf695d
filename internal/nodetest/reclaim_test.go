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

// contractGrace is the grace in the contracts of the workspaces.
const contractGrace = 2 * time.Second

// borrowAll makes one workspace borrow all accelerators of all zones for long tasks, and waits until the tasks run.
func borrowAll(w *nodetest.World) {
	for i := range 3 * 4 * 8 {
		zone := string("abc"[i%3])
		w.Submit(nodetest.SmallWorkspace, api.JobRequest{Zone: zone, Class: "bulk", Body: nodetest.Body(time.Hour, fmt.Sprint("fill", i))}, zone)
	}
	ExpectWithOffset(1, w.RunUntil(w.Now()+20*time.Second, func() bool { return w.FreeAccelerators() == 0 })).To(BeTrue(),
		"every accelerator is borrowed")
}

var _ = Describe("A guaranteed shape", func() {
	cases := []struct {
		name  string
		fault func(w *nodetest.World)
	}{
		{"with tasks that write checkpoints", func(*nodetest.World) {}},
		{"with endpoints that ignore checkpoints", func(w *nodetest.World) {
			for _, id := range w.Workers {
				w.Endpoints[id].Standin.SetFaults(standin.Faults{IgnoreCheckpoint: true})
			}
		}},
		{"with an endpoint of each zone cut off", func(w *nodetest.World) {
			for _, zone := range w.Zones() {
				w.Endpoints[zone+"-w0"].Standin.SetFaults(standin.Faults{Freeze: true})
			}
		}},
	}
	for _, c := range cases {
		for seed := uint64(1); seed <= 3; seed++ {
			// Guards against borrowers that keep the capacity of a guarantee from the workspace that has the guarantee.
			It(fmt.Sprintf("runs within grace, lease and margin while every accelerator is borrowed, %s, seed %d", c.name, seed), func() {
				w := newWorld(seed)
				borrowAll(w)
				c.fault(w)
				w.Run(time.Second)
				var jobs []*nodetest.Job
				for _, zone := range w.Zones() {
					r := api.JobRequest{Zone: zone, Gang: 2, Accelerators: 8, Adjacency: "rack", Class: "standard",
						Body: nodetest.Body(300*time.Millisecond, "guaranteed")}
					jobs = append(jobs, w.SubmitGuaranteed(nodetest.LargeWorkspace, r, zone))
				}
				bounds := history.Bounds{TaskLease: w.Lease(), Grace: contractGrace}
				w.Run(bounds.Grace + bounds.TaskLease + 5*time.Second)
				w.RecordEnd()
				Expect(violationTexts(history.CheckReclaim(w.History, bounds))).To(BeEmpty())
				for _, j := range jobs {
					Expect(j.Answer).NotTo(BeNil(), "job %s", w.Explain(j))
					Expect(j.Answer.Outcome).To(Equal("succeeded"))
				}
				Expect(w.Problems).To(BeEmpty())
			})
		}
	}
})
