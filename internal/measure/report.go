package measure

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Figure is one quantity that is reported of every run.
type Figure struct {
	Name  string
	Unit  string
	Value func(*Metrics) float64
}

// Figures returns all quantities that are reported of every run.
func Figures() []Figure {
	var out []Figure
	add := func(name, unit string, of func(*Metrics) float64) { out = append(out, Figure{name, unit, of}) }
	quantiles := []float64{0.5, 0.95, 0.99}
	for k := Kind(0); k < KindCount; k++ {
		for _, q := range quantiles {
			add(fmt.Sprintf("completion of %s p%g", k, q*100), "s",
				func(m *Metrics) float64 { return percentile(m.completion[k], q) })
		}
		add(fmt.Sprintf("slowdown of %s p95", k), "x", func(m *Metrics) float64 { return percentile(m.slowdown[k], 0.95) })
	}
	add("wait of screenings p99", "s", func(m *Metrics) float64 { return percentile(m.startWait[Screening], 0.99) })
	add("wait of gangs p50", "s", func(m *Metrics) float64 { return percentile(m.startWait[Gang], 0.5) })
	add("wait of gangs p95", "s", func(m *Metrics) float64 { return percentile(m.startWait[Gang], 0.95) })
	add("wait of the largest gangs p50", "s", func(m *Metrics) float64 { return percentile(m.largeWait, 0.5) })
	add("wait of the largest gangs p95", "s", func(m *Metrics) float64 { return percentile(m.largeWait, 0.95) })
	add("free accelerators unusable for the largest waiting shape", "%", func(m *Metrics) float64 {
		return 100 * m.unusable / max(1, m.free)
	})
	add("start of a request inside a guarantee, longest", "s", func(m *Metrics) float64 { return percentile(m.guaranteedWait, 1) })
	add("accelerator time used", "%", (*Metrics).utilization)
	add("work lost to preemption", "% of work", func(m *Metrics) float64 { return 100 * m.lost / max(1, m.worked) })
	add("preemptions", "", func(m *Metrics) float64 { return float64(m.preemptions) })
	add("jobs succeeded", "", func(m *Metrics) float64 { return float64(m.outcomes[table.JobSucceeded]) })
	add("starts while a zone is out", "", func(m *Metrics) float64 { return float64(m.startsDuringOutage) })
	add("starts in the zone that is out", "", func(m *Metrics) float64 { return float64(m.startsInOutZone) })
	add("starts in the zone in ten minutes after its return", "", func(m *Metrics) float64 { return float64(m.startsAfterReturn) })
	add("decisions a second of tick time", "/s", func(m *Metrics) float64 { return float64(m.decisions) / m.tickTotal.Seconds() })
	add("tick p50", "us", func(m *Metrics) float64 { return 1e6 * percentile(m.ticks, 0.5) })
	add("tick p99", "us", func(m *Metrics) float64 { return 1e6 * percentile(m.ticks, 0.99) })
	add("core share of all zones", "%", func(m *Metrics) float64 { return 100 * m.tickTotal.Seconds() / m.workload.Length.Seconds() })
	return out
}

// utilization returns the share of the accelerator time, in percent, in which attempts ran.
func (m *Metrics) utilization() float64 {
	total := 0
	for _, z := range m.workload.Zones {
		for _, w := range z.Workers {
			total += w.Accelerators
		}
	}
	return 100 * m.worked / (float64(total) * m.workload.Length.Seconds())
}

// Candidate is a scheduler that is measured.
type Candidate struct {
	Name         string
	NewScheduler SchedulerFactory
}

// Result holds the runs of one candidate, in order of the seeds.
type Result struct {
	Name string
	Runs []*Metrics
}

// Spread is the median and the range of a figure over all seeds.
type Spread struct{ Median, Low, High float64 }

// Spread returns the median and the range of a figure over the runs.
func (r Result) Spread(f Figure) Spread {
	var values []float64
	for _, m := range r.Runs {
		values = append(values, f.Value(m))
	}
	return Spread{percentile(values, 0.5), slices.Min(values), slices.Max(values)}
}

// Print writes the figures of all results side by side, as a Markdown table.
func Print(w io.Writer, results []Result) {
	fmt.Fprint(w, "| figure, median (lowest to highest) |")
	for _, r := range results {
		fmt.Fprintf(w, " %s |", r.Name)
	}
	fmt.Fprint(w, "\n| --- |")
	for range results {
		fmt.Fprint(w, " ---: |")
	}
	fmt.Fprintln(w)
	for _, f := range Figures() {
		fmt.Fprintf(w, "| %s [%s] |", f.Name, f.Unit)
		for _, r := range results {
			s := r.Spread(f)
			fmt.Fprintf(w, " %s (%s to %s) |", formatValue(s.Median), formatValue(s.Low), formatValue(s.High))
		}
		fmt.Fprintln(w)
	}
}

// formatValue formats a value with fewer decimals the larger it is.
func formatValue(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3f", v)
}

// reclaimBound bounds the wait for a start within a guarantee: the grace of the contracts, the default lease of tasks and
// a margin of 2 s (docs/design.md section 1.1).
const reclaimBound = 5*time.Second + 10*time.Second + 2*time.Second

// TargetCheck is one target and whether the results meet it.
type TargetCheck struct {
	Name string
	Met  bool
	Text string
}

// CheckTargets checks the first result against its targets. Targets of a factor compare it with the best of the others.
func CheckTargets(results []Result) []TargetCheck {
	policy, baselines := results[0], results[1:]
	figure := func(name string) Figure {
		all := Figures()
		return all[slices.IndexFunc(all, func(f Figure) bool { return f.Name == name })]
	}
	ratio := func(name string, factor float64) TargetCheck {
		f := figure(name)
		best := baselines[0].Spread(f).Median
		for _, o := range baselines[1:] {
			best = min(best, o.Spread(f).Median)
		}
		policyMedian := policy.Spread(f).Median
		return TargetCheck{name, policyMedian*factor <= best, fmt.Sprintf("%s against %s, target a factor of %g, is %s",
			formatValue(policyMedian), formatValue(best), factor, formatValue(best/max(policyMedian, 1e-9)))}
	}
	reclaim := policy.Spread(figure("start of a request inside a guarantee, longest"))
	return []TargetCheck{
		ratio("completion of screenings p99", 5),
		ratio("wait of the largest gangs p95", 2),
		ratio("free accelerators unusable for the largest waiting shape", 2),
		{"guarantees reclaimed in every seed", reclaim.High <= reclaimBound.Seconds(),
			fmt.Sprintf("longest %s s in any seed, bound %s", formatValue(reclaim.High), reclaimBound)},
	}
}
