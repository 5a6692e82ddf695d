package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Fit brings the estimates up to date. It takes a few milliseconds with a full window.
func (e *Estimator) Fit(nowMS int64) {
	e.changed = false
	e.shorten(nowMS)
	steps := e.prepare(nowMS)
	for pass := range passes {
		for _, w := range e.workers {
			w.fit(nowMS, e.sigma)
		}
		for _, st := range steps {
			st.fit(e.sigma)
		}
		if pass == passes/2 {
			for _, w := range e.workers {
				w.discountBeforeChange(nowMS, e.sigma)
			}
		}
	}
	e.measureInfo(nowMS, steps)
	e.measureSigma(steps)
	e.center(steps)
}

// shorten makes the oldest steps leave the window. What they tell about their workers is kept as a sum.
func (e *Estimator) shorten(nowMS int64) {
	for key, st := range e.steps {
		if nowMS-st.atMS > keepMS {
			e.carry(nowMS, key, st)
		}
	}
	if e.count <= maxSamples {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(e.steps), func(a, b StepKey) int {
		return cmp.Or(cmp.Compare(e.steps[a].atMS, e.steps[b].atMS), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step))
	})
	for _, key := range oldest {
		if e.count <= maxSamples*7/8 {
			return
		}
		e.carry(nowMS, key, e.steps[key])
	}
}

// carry removes a step from the window.
func (e *Estimator) carry(nowMS int64, key StepKey, st *step) {
	e.count -= len(st.samples)
	delete(e.steps, key)
	if !st.fitted {
		return
	}
	for _, x := range st.samples {
		c, w := &x.worker.carried, x.weight*aged(nowMS-x.atMS)
		before := c.at(nowMS)
		r := max(-maxEffect, min(maxEffect, x.y-st.effect))
		c.effect = (before*c.effect + w*r) / (before + w)
		c.weight, c.atMS = min(maxCarried, before+w), nowMS
	}
}

// prepare ages the samples, sorts them by worker, and returns the steps that take part in the fit.
func (e *Estimator) prepare(nowMS int64) []*step {
	for _, w := range e.workers {
		w.entries, w.atMS = w.entries[:0], w.carried.atMS
	}
	var out []*step
	var ys []float64
	for _, st := range e.steps {
		if st.fitted = st.tells(); !st.fitted {
			continue
		}
		ys = ys[:0]
		for i := range st.samples {
			x := &st.samples[i]
			x.aged = x.weight * aged(nowMS-x.atMS)
			x.worker.entries = append(x.worker.entries, entry{st, i, 1})
			x.worker.atMS = max(x.worker.atMS, x.atMS)
			ys = append(ys, x.y-x.worker.effect)
		}
		slices.Sort(ys)
		st.effect = ys[len(ys)/2]
		out = append(out, st)
	}
	for _, w := range e.workers {
		slices.SortFunc(w.entries, func(a, b entry) int { return cmp.Compare(a.get().atMS, b.get().atMS) })
	}
	return out
}

// tells reports whether the samples of a step compare workers.
func (st *step) tells() bool {
	return len(st.samples) >= minStepSamples &&
		slices.ContainsFunc(st.samples, func(x sample) bool { return x.worker != st.samples[0].worker })
}

func (x entry) get() *sample { return &x.step.samples[x.sample] }

// residual returns how much longer the attempt took than its step lets expect.
func (x entry) residual() float64 {
	return max(-maxEffect, min(maxEffect, x.get().y-x.step.effect))
}

// clipped returns the weight of a sample that deviates from the fit by d.
func clipped(d, sigma float64) float64 {
	if d = math.Abs(d); d > clip*sigma {
		return clip * sigma / d
	}
	return 1
}

// fit fits the effect of a worker to its samples.
func (w *worker) fit(nowMS int64, sigma float64) {
	c := w.carried.at(nowMS)
	weight, sum := ridge+c, c*w.carried.effect
	for _, x := range w.entries {
		r := x.residual()
		u := x.get().aged * x.factor * clipped((r-w.effect)*math.Sqrt(x.get().weight), sigma)
		weight, sum = weight+u, sum+u*r
	}
	w.effect = sum / weight
}

// fit fits the effect of a step to its samples.
func (st *step) fit(sigma float64) {
	weight, sum := 0.0, 0.0
	for i := range st.samples {
		x := &st.samples[i]
		r := x.y - x.worker.effect
		u := x.aged * clipped((r-st.effect)*math.Sqrt(x.weight), sigma)
		weight, sum = weight+u, sum+u*r
	}
	if weight > 0 {
		st.effect = sum / weight
	}
}

// discountBeforeChange lowers the weight of the earlier samples of a worker if the two newest ones agree that it has become
// much slower or faster since.
func (w *worker) discountBeforeChange(nowMS int64, sigma float64) {
	n := len(w.entries) - 2
	if n < 0 || (n == 0 && w.carried.weight == 0) {
		return
	}
	c := w.carried.at(nowMS)
	weight, sum := c, c*w.carried.effect
	for _, x := range w.entries[:n] {
		u := x.get().aged
		weight, sum = weight+u, sum+u*x.residual()
	}
	if weight == 0 {
		return
	}
	before := sum / weight
	a, b := w.entries[n].residual()-before, w.entries[n+1].residual()-before
	if a*b < 0 || min(math.Abs(a), math.Abs(b)) < changedBy*sigma {
		return
	}
	w.carried.weight *= changedWeight
	for i := range w.entries[:n] {
		w.entries[i].factor = changedWeight
	}
}

// measureInfo computes how many samples of a step whose effect is known exactly those of each worker are worth. The effect of a
// step is known from the siblings, each of which runs on a worker whose speed is not known exactly either.
func (e *Estimator) measureInfo(nowMS int64, steps []*step) {
	for _, w := range e.workers {
		w.info = w.carried.at(nowMS)
		for _, x := range w.entries {
			w.info += x.get().aged * x.factor
		}
	}
	for _, st := range steps {
		st.trust = 0
		for _, x := range st.samples {
			st.trust += x.tells()
		}
	}
	for _, w := range e.workers {
		info := w.carried.at(nowMS)
		for _, x := range w.entries {
			siblings := x.step.trust - x.get().tells()
			info += x.get().aged * x.factor * siblings / (siblings + 1)
		}
		w.entries, w.info = w.entries[:0], info
	}
}

// tells returns how much a sample tells about the effect of its step, in samples of a worker whose speed is known exactly.
func (x *sample) tells() float64 {
	others := max(0, x.worker.info-x.aged) + ridge
	return x.aged * others / (others + 1)
}

// measureSigma estimates the deviation of the samples from the fit by the median.
func (e *Estimator) measureSigma(steps []*step) {
	var deviations []float64
	for _, st := range steps {
		for _, x := range st.samples {
			deviations = append(deviations, math.Abs(x.y-st.effect-x.worker.effect)*math.Sqrt(x.weight))
		}
	}
	if len(deviations) == 0 {
		e.sigma = usualSigma
		return
	}
	free := float64(len(deviations) - len(steps)) // Less one for each parameter of the fit.
	for _, w := range e.workers {
		free -= w.info / (w.info + ridge)
	}
	free = max(free, 1)
	slices.Sort(deviations)
	const ofMedian = 1.4826 // The standard deviation of normal values is this multiple of their median deviation.
	s := ofMedian * deviations[len(deviations)/2] * math.Sqrt(float64(len(deviations))/free)
	e.sigma = max(leastSigma, min(mostSigma, math.Sqrt((usualSigmaWeight*usualSigma*usualSigma+free*s*s)/(usualSigmaWeight+free))))
}

// center shifts the effects so that the median worker has the speed 1.0.
func (e *Estimator) center(steps []*step) {
	type weighted struct{ effect, weight float64 }
	var all []weighted
	total := 0.0
	for _, w := range e.workers {
		if w.info > 0 {
			share := w.info / (w.info + ridge)
			all, total = append(all, weighted{w.effect, share}), total+share
		}
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(a.effect, b.effect) })
	below, median := 0.0, 0.0
	for _, x := range all {
		if below += x.weight; 2*below >= total {
			median = x.effect
			break
		}
	}
	for _, w := range e.workers {
		w.effect -= median
	}
	for _, st := range steps {
		st.effect += median
	}
}
