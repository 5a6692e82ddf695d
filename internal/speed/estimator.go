// Package speed estimates the relative speeds of workers from the run times of sibling tasks.
//
// The tasks of one step are alike, but the steps of different jobs are not, and the siblings of a task run on slow and fast
// workers too. So the logarithm of the run time is fitted as the sum of an effect of the step and an effect of the worker.
//
// The package does no I/O and reads no clock. Times are Unix milliseconds.
package speed

import (
	"math"
	"slices"
)

// Bounds of the window of samples.
const (
	// maxSamples bounds the samples of the window. A fleet of 2,000 workers runs 7,700 tasks at a time.
	maxSamples = 8192
	// maxUnfitted is how many samples may be held between two fits. Further ones are not taken.
	maxUnfitted = maxSamples * 5 / 4
	// maxStepSamples bounds the samples of one step.
	maxStepSamples = 256
	// keepMS is how long a step stays in the window after its last sample. By then a sample has lost 7/8 of its weight.
	keepMS = 3 * halfLifeMS
)

// Parameters of the fit.
const (
	halfLifeMS = 60_000 // In this time the weight of a sample halves, since machines change.
	// minStepSamples is how many tasks of a step must have a sample: fewer do not tell what the step takes.
	minStepSamples = 3
	// ridge is the weight, in samples, with which the estimate of a worker is drawn to the speed 1.0.
	ridge = 1.0
	// usualSigma is the expected deviation of the logarithm of a run time from the fit. 0.27 was measured; siblings differ by
	// 30 %. It counts as usualSigmaWeight residuals, so that few samples that agree by chance do not seem exact.
	usualSigma       = 0.3
	usualSigmaWeight = 20
	leastSigma       = 0.15
	mostSigma        = 1.0
	// clip is the deviation, in multiples of sigma, beyond which the weight of a sample falls.
	clip = 2.5
	// passes is how many times the effects of workers and steps are fitted in turn.
	passes = 6
	// changedBy is how much the two newest samples of a worker must deviate from the earlier ones, in multiples of sigma, for
	// the worker to count as changed. The earlier ones then have changedWeight of their weight.
	changedBy     = 3.0
	changedWeight = 0.1
	// maxCarried bounds the weight of the samples that have left the window.
	maxCarried = 20
	// maxWeight bounds the weight of a sample.
	maxWeight = 16
	// maxEffect bounds the effect of a worker: a factor of 20.
	maxEffect = 3.0
)

// StepKey names a step of an occurrence of a job.
type StepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// Sample is the run time of one attempt of an independent task.
type Sample struct {
	Worker string // Key of the worker.
	Step   StepKey
	Index  int     // Index of the task in the step. A later sample of the same task replaces the earlier one.
	LogRun float64 // Logarithm of the run time, or of the one that the progress so far lets expect.
	Weight float64 // 1 for an independent task that is done; more for one whose amount of work is known to be that of its siblings.
	AtMS   int64
}

// Estimate is what is known of the speed of a worker.
type Estimate struct {
	Speed   float64 // Relative to the median of the fleet, 1.0: a worker of speed 0.5 takes twice as long.
	Error   float64 // Standard error of the logarithm of Speed.
	Samples float64 // Weight of the samples, which falls with their age.
	AtMS    int64   // Time of the newest sample.
}

// worker is the state of a worker in the fit.
type worker struct {
	effect  float64 // Logarithm of its run time relative to the fleet.
	info    float64 // Weight of its samples, less what the uncertainty of their steps takes.
	atMS    int64
	carried carried
	entries []entry // Its samples in the present fit.
}

// carried sums up samples that have left the window, or that an earlier leader has seen.
type carried struct {
	weight float64
	effect float64 // Their mean.
	atMS   int64
}

// at returns the weight at a time.
func (c carried) at(nowMS int64) float64 { return c.weight * aged(nowMS-c.atMS) }

// step is the state of a step.
type step struct {
	samples []sample
	effect  float64 // Logarithm of the run time of its tasks on a worker of the speed 1.0.
	fitted  bool
	atMS    int64
	trust   float64 // In a fit: how much the samples tell about the effect.
}

type sample struct {
	worker *worker
	index  int
	y      float64
	weight float64
	atMS   int64
	aged   float64 // The weight at the time of the fit.
}

// entry is a sample as seen from its worker.
type entry struct {
	step   *step
	sample int
	factor float64 // changedWeight if the worker has changed since, otherwise 1.
}

// Estimator holds the samples and the result of the last fit. It is not safe for concurrent use.
type Estimator struct {
	workers map[string]*worker
	steps   map[StepKey]*step
	count   int // Samples of all steps.
	sigma   float64
	changed bool // Samples were added since the last fit.
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{workers: map[string]*worker{}, steps: map[StepKey]*step{}, sigma: usualSigma}
}

// aged returns the share of its weight that a sample has at an age in milliseconds.
func aged(ms int64) float64 { return math.Exp2(-float64(max(0, ms)) / halfLifeMS) }

func (e *Estimator) worker(key string) *worker {
	w := e.workers[key]
	if w == nil {
		w = &worker{}
		e.workers[key] = w
	}
	return w
}

// Add adds a sample, or replaces the earlier one of the same task. It returns false if the sample cannot be used.
func (e *Estimator) Add(s Sample) bool {
	if !(math.Abs(s.LogRun) < 100 && s.Weight > 0 && s.Weight <= maxWeight) { // Also refuses what is not a number.
		return false
	}
	st := e.steps[s.Step]
	i := -1
	if st != nil {
		i = st.find(s.Index)
	}
	if i < 0 && (e.count >= maxUnfitted || (st != nil && len(st.samples) >= maxStepSamples)) {
		return false
	}
	if st == nil {
		st = &step{}
		e.steps[s.Step] = st
	}
	x := sample{worker: e.worker(s.Worker), index: s.Index, y: s.LogRun, weight: s.Weight, atMS: s.AtMS}
	if i >= 0 {
		st.samples[i] = x
	} else {
		st.samples = append(st.samples, x)
		e.count++
	}
	st.atMS = max(st.atMS, s.AtMS)
	e.changed = true
	return true
}

func (st *step) find(index int) int {
	return slices.IndexFunc(st.samples, func(x sample) bool { return x.index == index })
}

// Drop removes the sample of a task, if there is one: its attempt has turned out not to tell its worker's speed.
func (e *Estimator) Drop(key StepKey, index int) {
	st := e.steps[key]
	if st == nil {
		return
	}
	if i := st.find(index); i >= 0 {
		st.samples = slices.Delete(st.samples, i, i+1)
		e.count--
		e.changed = true
	}
	if len(st.samples) == 0 {
		delete(e.steps, key)
	}
}

// Prior makes an estimate of an earlier leader the starting point for a worker.
func (e *Estimator) Prior(key string, p Estimate) {
	if !p.Usable() {
		return
	}
	w := e.worker(key)
	// The estimate was drawn to 1.0, as the next one will be. The mean of its samples was further away.
	mean := -math.Log(p.Speed) * (p.Samples + ridge) / p.Samples
	w.carried = carried{weight: min(p.Samples, maxCarried), effect: max(-maxEffect, min(maxEffect, mean)), atMS: p.AtMS}
	e.changed = true
}

// Usable reports whether an estimate that was stored has values that make sense.
func (p Estimate) Usable() bool {
	return p.Samples > 0 && p.Samples < 1e6 && p.Speed >= math.Exp(-maxEffect)/2 && p.Speed <= 2*math.Exp(maxEffect)
}

// Changed reports whether samples were added since the last fit.
func (e *Estimator) Changed() bool { return e.changed }

// Retain drops what is known of workers that are not in service any more. Their samples stay in the window: the effects of the
// steps depend on them.
func (e *Estimator) Retain(known func(key string) bool) {
	used := map[*worker]bool{}
	for _, st := range e.steps {
		for _, x := range st.samples {
			used[x.worker] = true
		}
	}
	for key, w := range e.workers {
		if known(key) {
			continue
		}
		w.carried = carried{}
		if !used[w] {
			delete(e.workers, key)
		}
	}
}

// Len returns how many samples and workers are held.
func (e *Estimator) Len() (samples, workers int) { return e.count, len(e.workers) }

// Sigma returns the standard deviation of the logarithm of a run time from the last fit.
func (e *Estimator) Sigma() float64 { return e.sigma }

// Estimate returns the result for a worker at a time, as of the last fit. Without samples its Speed is 0.
func (e *Estimator) Estimate(key string) Estimate {
	w := e.workers[key]
	if w == nil || w.info <= 0 {
		return Estimate{}
	}
	return Estimate{Speed: math.Exp(-w.effect), Error: e.sigma / math.Sqrt(w.info+ridge), Samples: w.info, AtMS: w.atMS}
}

// WeightAt returns the weight of the samples of a stored estimate at a later time.
func (p Estimate) WeightAt(nowMS int64) float64 { return p.Samples * aged(nowMS-p.AtMS) }
