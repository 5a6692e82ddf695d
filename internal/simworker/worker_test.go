package simworker_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/simworker"
)

func TestSimworker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Simworker")
}

// ends runs one attempt of a gang of three, each member on a worker of its own, and returns how and when they end.
func ends(payload string, run int) map[int]simworker.Event {
	out := map[int]simworker.Event{}
	gangs := simworker.NewGangs()
	gangs.OnEvent = func(e simworker.Event) {
		if !e.Start {
			out[e.Task.Index] = e
		}
	}
	var workers []*simworker.Worker
	for i := range 3 {
		w := simworker.New(domain.WorkerIncarnation{ID: string(rune('a' + i))}, domain.Resources{}, 1, gangs, 0)
		workers = append(workers, w)
		reply := w.Call(0, dispatch.Call{
			Kind: dispatch.CallStart, Worker: w.Incarnation, UntilMS: w.Clock(simworker.MaxLease), Payload: payload,
			Task: domain.TaskID{Job: "j", Index: i}, Attempt: run,
		})
		Expect(reply.Status).To(Equal(dispatch.OK))
	}
	for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
		for _, w := range workers {
			w.Advance(now)
		}
	}
	return out
}

var _ = Describe("a gang whose members are to fail", func() {
	DescribeTable("ends", func(payload string, run int, outcomes [3]domain.Outcome, times [3]time.Duration) {
		seen := ends(payload, run)
		Expect(seen).To(HaveLen(3))
		for i, e := range seen {
			Expect(e.Outcome).To(Equal(outcomes[i]), "member %d", i)
			Expect(e.At).To(Equal(times[i]), "member %d", i)
		}
	},
		Entry("together", "gang=3 work=90 fail_runs=1", 1,
			[3]domain.Outcome{domain.OutcomeFailed, domain.OutcomeFailed, domain.OutcomeFailed}, [3]time.Duration{}),
		Entry("one after the other", "gang=3 work=90 fail_runs=1 fail_gap_ms=40", 1,
			[3]domain.Outcome{domain.OutcomeFailed, domain.OutcomeFailed, domain.OutcomeFailed}, [3]time.Duration{0, 40 * time.Millisecond, 80 * time.Millisecond}),
		Entry("as done in a later run", "gang=3 work=90 fail_runs=1 fail_gap_ms=40", 2,
			[3]domain.Outcome{domain.OutcomeDone, domain.OutcomeDone, domain.OutcomeDone}, [3]time.Duration{90 * time.Millisecond, 90 * time.Millisecond, 90 * time.Millisecond}),
		Entry("with the first before the others are present", "gang=3 work=90 fail_runs=1 fail_early=true", 1,
			[3]domain.Outcome{domain.OutcomeFailed, domain.OutcomeGangTimeout, domain.OutcomeGangTimeout}, [3]time.Duration{0, simworker.GangWait, simworker.GangWait}),
	)
})
