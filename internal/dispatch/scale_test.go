package dispatch_test

import (
	"fmt"
	"testing"
	"time"

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
