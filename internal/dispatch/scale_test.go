package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// submitFleetLoad submits the mix of a large fleet for some seconds: per 1,000 workers and second, two long gangs of
// medium priority, two sets of many small tasks of low priority, and twelve urgent gangs.
func (w *world) submitFleetLoad(workers int, duration time.Duration) {
	submit := func(name string, perSecond float64, spec func(i int) domain.JobSpec) {
		n := int(perSecond * float64(workers) / 1000 * duration.Seconds())
		for i := range n {
			at := time.Second + time.Duration(float64(duration)*float64(i)/float64(n))
			w.at(at, func() {
				s := spec(i)
				s.ID = domain.JobID(fmt.Sprintf("%s-%d", name, i))
				w.submit(s)
			})
		}
	}
	submit("long", 2, func(i int) domain.JobSpec {
		s := gang(26, int64(1+i%3))
		s.SameRack, s.Checkpointable = i%2 == 0, true
		return domain.JobSpec{Priority: 1, Payload: "work=11000 gang=26", Steps: []domain.Step{s}}
	})
	submit("many", 2, func(int) domain.JobSpec {
		s := step(78, 1)
		s.Checkpointable = true
		return domain.JobSpec{Priority: 2, Payload: "work=9500", Steps: []domain.Step{s}}
	})
	submit("urgent", 12, func(i int) domain.JobSpec {
		return domain.JobSpec{Priority: 0, Payload: "work=2500 gang=8", Steps: []domain.Step{gang(8, int64(1+i%4))}}
	})
}

// BenchmarkFleet runs ten simulated seconds of a fleet under load. Most of its time is spent in the model of the workers;
// tick-ms is the time of the leader's decisions, longest-tick-ms that of the longest step.
func BenchmarkFleet(b *testing.B) {
	for _, workers := range []int{350, 1100, 2000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			var ticks, longest time.Duration
			for b.Loop() {
				w := newWorld(1, workers)
				w.submitFleetLoad(workers, 9*time.Second)
				w.run(10 * time.Second)
				if len(w.violations) > 0 {
					b.Fatal(w.violations)
				}
				ticks, longest = ticks+w.tickTime, max(longest, w.longestTick)
			}
			b.ReportMetric(float64(ticks.Milliseconds())/float64(b.N), "tick-ms")
			b.ReportMetric(float64(longest.Microseconds())/1000, "longest-tick-ms")
		})
	}
}

var _ = Describe("a new leader of a large fleet", func() {
	It("calls the workers a part at a time, those with attempts first, and all of them within a second", func() {
		// The load: a leader that has just begun over 600 workers. If it calls all of them at once, its own heartbeats wait
		// behind these calls, and it loses the leadership that it has just won.
		w := newWorld(1, 600)
		w.run(time.Second)
		w.submit(domain.JobSpec{ID: "j", Payload: "work=60000", Steps: []domain.Step{step(100, 8)}})
		w.run(3 * time.Second)
		w.elect()
		leader, sent := w.leader, map[string]bool{}
		began := w.now
		var first []dispatch.Call
		for len(sent) < 600 && w.now < began+time.Second {
			before := len(w.calls)
			w.run(w.now + tickEvery)
			for _, c := range w.calls[before:] {
				sent[c.Worker.ID] = true
			}
			if first == nil {
				first = slices.Clone(w.calls[before:])
			}
		}
		Expect(w.leader).To(BeIdenticalTo(leader))
		Expect(len(first)).To(And(BeNumerically(">=", 100), BeNumerically("<=", 128)))
		busy := 0
		for _, c := range first {
			if len(w.stateMachine.Worker(c.Worker.ID).Attempts()) > 0 {
				busy++
			}
		}
		Expect(busy).To(Equal(100))
		Expect(sent).To(HaveLen(600))
	})
})
