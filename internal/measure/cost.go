package measure

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Bounds of the cost at the target size. A daemon may spend at most 1.1% of a core on control (docs/design.md section
// 1.4).
const (
	tickBound      = 5 * time.Millisecond // For the 99th percentile of the ticks with work.
	coreShareBound = 1.1                  // Percent.
)

// Cost holds what scheduling one workload costs.
type Cost struct {
	Name        string
	Metrics     *Metrics
	IdleTick    time.Duration // Duration of a tick when nothing has changed.
	Allocations float64       // Per tick, including those of the simulation itself.
}

// MeasureCost runs one workload and measures its cost. No other run may go on at the same time, because the allocations
// of the whole process are counted.
func MeasureCost(name string, w Workload, newScheduler SchedulerFactory) Cost {
	var before, after runtime.MemStats
	var last system.Scheduler
	runtime.ReadMemStats(&before)
	m := Run(w, func(t *table.Tables) system.Scheduler {
		last = newScheduler(t)
		return last
	})
	runtime.ReadMemStats(&after)
	c := Cost{Name: name, Metrics: m, Allocations: float64(after.Mallocs-before.Mallocs) / float64(m.tickCount)}
	const ticks = 10000
	last.Tick(w.Length)
	start := time.Now()
	for range ticks {
		last.Tick(w.Length)
	}
	c.IdleTick = time.Since(start) / ticks
	return c
}

// coreShare returns the share of a core, in percent, that the schedulers of all zones use. It adds the cost of one idle
// tick per zone every minTickPeriod, because the runner leaves out the ticks between events.
func (c Cost) coreShare() float64 {
	idle := c.IdleTick.Seconds() / minTickPeriod.Seconds() * float64(len(c.Metrics.workload.Zones))
	return 100 * (idle + c.Metrics.tickTotal.Seconds()/c.Metrics.workload.Length.Seconds())
}

// busy returns the durations, in seconds, of the ticks that took more than twice as long as an idle one.
func (c Cost) busy() []float64 {
	var out []float64
	for _, t := range c.Metrics.ticks {
		if t > 2*c.IdleTick.Seconds() {
			out = append(out, t)
		}
	}
	return out
}

// PrintCosts writes the costs as a Markdown table, and whether they meet the bounds.
func PrintCosts(w io.Writer, costs []Cost) {
	fmt.Fprintln(w, "| workload | ticks with work | p50 [us] | p99 [us] | longest [us] | idle tick [ns] | core share [%] |"+
		" decisions | allocations per tick | met |")
	fmt.Fprintln(w, "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |")
	for _, c := range costs {
		busy := c.busy()
		p99 := percentile(busy, 0.99)
		met := p99 < tickBound.Seconds() && c.coreShare() < coreShareBound
		fmt.Fprintf(w, "| %s | %d | %.0f | %.0f | %.0f | %d | %.3f | %d | %.0f | %t |\n", c.Name, len(busy),
			1e6*percentile(busy, 0.5), 1e6*p99, 1e6*percentile(busy, 1), c.IdleTick.Nanoseconds(), c.coreShare(),
			c.Metrics.decisions, c.Allocations, met)
	}
}
