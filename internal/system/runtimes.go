package system

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

const (
	maxRunSamples  = 64   // Run times kept for each workspace and class.
	minRunSamples  = 8    // With fewer samples, run times are treated as unknown.
	upperQuantile  = 0.95 // For the run time of jobs to backfill.
	earlyQuantile  = 0.25 // For the time before which running attempts are not expected to end.
	medianQuantile = 0.5  // For the choice of the target of a backfill reservation.
)

// runKey identifies a distribution of run times.
type runKey struct {
	workspace string
	class     table.Class
}

// runtimes holds the most recent run times of successful attempts, by workspace and class.
type runtimes map[runKey]*runSamples

type runSamples struct {
	samples []time.Duration // Ring buffer.
	next    int             // Index of the oldest sample once the ring is full.
	sorted  []time.Duration // Cached copy of samples in ascending order; outdated while stale is set.
	stale   bool
}

func (r runtimes) observe(j *table.Job, ran time.Duration) {
	key := runKey{j.Workspace, j.Class}
	d := r[key]
	if d == nil {
		d = &runSamples{}
		r[key] = d
	}
	d.stale = true
	if len(d.samples) < maxRunSamples {
		d.samples = append(d.samples, ran)
		return
	}
	d.samples[d.next] = ran
	d.next = (d.next + 1) % maxRunSamples
}

// ascending returns the run times in ascending order.
func (d *runSamples) ascending() []time.Duration {
	if d.stale {
		d.sorted = append(d.sorted[:0], d.samples...)
		slices.Sort(d.sorted)
		d.stale = false
	}
	return d.sorted
}

// upperEstimate returns a run time that few jobs of the workspace and class exceed (upperQuantile), or false if there
// are too few samples.
func (r runtimes) upperEstimate(workspace string, c table.Class) (time.Duration, bool) {
	d := r[runKey{workspace, c}]
	if d == nil || len(d.samples) < minRunSamples {
		return 0, false
	}
	return quantile(d.ascending(), upperQuantile), true
}

// remaining estimates how much longer an attempt runs that has run for the given time: the quantile q of the observed
// run times that are longer. It returns false if there are too few samples or none is longer.
func (r runtimes) remaining(j *table.Job, ran time.Duration, q float64) (time.Duration, bool) {
	d := r[runKey{j.Workspace, j.Class}]
	if d == nil || len(d.samples) < minRunSamples {
		return 0, false
	}
	order := d.ascending()
	i, _ := slices.BinarySearch(order, ran+1)
	if i == len(order) {
		return 0, false
	}
	return quantile(order[i:], q) - ran, true
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}
