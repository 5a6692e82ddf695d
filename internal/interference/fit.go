package interference

import (
	"math"
	"slices"
)

// Parameters of the fit.
const (
	// halfLifeMS is the time in which the weight of evidence halves.
	halfLifeMS = 60_000
	// Interference changes within seconds. So a sample counts recentWeight times more while it is new, which halves every
	// recentHalfLifeMS.
	recentWeight     = 9.0
	recentHalfLifeMS = 5_000
	// ridge is the weight, in samples, with which an effect is drawn to none.
	ridge = 0.5
	// servingSigma is the expected deviation of the logarithms of the tail latencies of different tasks of one image: the speeds
	// 0.6 to 1.6 of their workers may not be known. A task whose neighbours never change tells little about them. With half of
	// it, a seventh of the harmless pairs of such a fleet were taken for harmful.
	servingSigma = 0.4
	// stepSigma is that of the run times of different steps, whose amounts of work have nothing in common.
	stepSigma = 3.0
	// usualSigma is the expected deviation of the logarithm of a measurement, which counts as usualSigmaWeight residuals, so that
	// few samples that agree by chance do not seem exact.
	usualSigma       = 0.3
	usualSigmaWeight = 20
	leastSigma       = 0.1
	mostSigma        = 1.0
	// medianDeviation is the median of the absolute deviations of a normal distribution, in standard deviations.
	medianDeviation = 0.674
	// clip is the deviation, in multiples of sigma, beyond which the weight of a sample falls with the square of the deviation.
	// Latencies may jump to many times their level, and would still decide with a weight that falls more slowly.
	clip = 2.0
	// passes is how often the weights of deviating samples are set anew, sweeps how often the effects are solved in turn.
	passes = 4
	sweeps = 100
	// levelQuantile is the quantile of the samples from which the fit of the level begins. Interference only lengthens.
	levelQuantile = 0.25
	maxEffect     = 3.0 // A factor of 20.
	maxTasks      = 4.0 // More tasks of one image count as this many.
	maxLog        = 30.0
	maxInfo       = 500.0 // More evidence counts as this much, which fits into a record.
)

// Fit brings the estimates up to date.
func (e *Estimator) Fit(nowMS int64) {
	for _, p := range e.pairs {
		g := p.gap(nowMS, 0)
		if p.info = g; g < 0.01 && nowMS-p.atMS > keepMS {
			e.drop(p)
			continue
		}
		p.effect, p.err = p.carried.effect*g/(g+ridge), usualSigma/math.Sqrt(g+ridge)
	}
	for name, im := range e.images {
		e.count -= im.shorten(nowMS)
		if len(im.samples) > 0 {
			im.fit(nowMS)
		} else if im.pairs == 0 {
			delete(e.images, name)
		}
	}
}

// shorten drops the samples that are too old and returns how many.
func (im *image) shorten(nowMS int64) int {
	before := len(im.samples)
	im.samples = slices.DeleteFunc(im.samples, func(x sample) bool { return nowMS-x.atMS > keepMS })
	return before - len(im.samples)
}

// group sums up the samples of a group in a fit.
type group struct {
	weight, y float64
	v         []float64 // Weighted sums of the columns of its samples.
	effect    float64
}

// fitting is the state of one fit of an image. Column 0 is the level, the others are pairs.
type fitting struct {
	im      *image
	pairs   []*pair
	weights []float64 // Of the samples by age.
	clipped []float64 // Further factors, for samples that deviate.
	groups  map[string]*group
	matrix  [][]float64 // Normal equations without the ridge.
	right   []float64
	solved  []float64
	base    float64 // Subtracted from all values.
}

// fit fits the effects of an image's neighbours.
func (im *image) fit(nowMS int64) {
	f := &fitting{im: im, weights: make([]float64, len(im.samples)), clipped: make([]float64, len(im.samples))}
	ys := make([]float64, 0, len(im.samples))
	for _, x := range im.samples {
		ys = append(ys, x.y)
		for _, b := range x.exposures {
			b.pair.index = 0
		}
	}
	slices.Sort(ys)
	f.base = ys[int(levelQuantile*float64(len(ys)))]
	for i, x := range im.samples {
		age := nowMS - x.atMS
		f.weights[i] = x.weight * aged(age) * (1 + recentWeight*math.Exp2(-float64(max(0, age))/recentHalfLifeMS)) / (1 + recentWeight)
		f.clipped[i] = 1
		for _, b := range x.exposures {
			if !b.pair.dropped && b.pair.index == 0 {
				f.pairs = append(f.pairs, b.pair)
				b.pair.index = len(f.pairs)
			}
		}
	}
	f.solved = make([]float64, len(f.pairs)+1)
	for j, p := range f.pairs {
		f.solved[j+1] = p.effect
	}
	for range passes {
		f.accumulate()
		f.solve(nowMS)
		f.clip()
	}
	f.store(nowMS)
}

// groupWeight returns the weight, in samples, with which the effect of a group is drawn to none.
func (im *image) groupWeight() float64 {
	s := im.sigma / stepSigma
	if im.serving {
		s = im.sigma / servingSigma
	}
	return s * s
}

// accumulate computes the normal equations. The effects of groups are eliminated from them.
func (f *fitting) accumulate() {
	n := len(f.solved)
	f.right, f.matrix, f.groups = make([]float64, n), make([][]float64, n), map[string]*group{}
	for j := range f.matrix {
		f.matrix[j] = make([]float64, n)
	}
	for i, x := range f.im.samples {
		g := f.groups[x.group]
		if g == nil {
			g = &group{v: make([]float64, n)}
			f.groups[x.group] = g
		}
		u, y := f.weights[i]*f.clipped[i], x.y-f.base
		g.weight, g.y = g.weight+u, g.y+u*y
		each(x, func(j int, a float64) {
			g.v[j] += u * a
			f.right[j] += u * a * y
			each(x, func(k int, b float64) { f.matrix[j][k] += u * a * b })
		})
	}
	for _, g := range f.groups {
		s := 1 / (f.im.groupWeight() + g.weight)
		for j, a := range g.v {
			if a == 0 {
				continue
			}
			f.right[j] -= a * g.y * s
			for k, b := range g.v {
				f.matrix[j][k] -= a * b * s
			}
		}
	}
	f.matrix[0][0] += 1e-6 // With groups of a free level, that of the image is not determined.
}

// each calls a function for the columns of a sample.
func each(x sample, do func(column int, value float64)) {
	do(0, 1)
	for _, b := range x.exposures {
		if !b.pair.dropped {
			do(b.pair.index, b.tasks)
		}
	}
}

// solve solves the normal equations by turns, with effects that are not negative, the largest known one first: it explains
// what several neighbours may have caused.
func (f *fitting) solve(nowMS int64) {
	order := make([]int, len(f.pairs))
	for i := range order {
		order[i] = i + 1
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case f.solved[a] > f.solved[b]:
			return -1
		case f.solved[a] < f.solved[b]:
			return 1
		}
		return 0
	})
	rest := func(j int) float64 { // The right side without what the other effects explain.
		sum := f.right[j]
		for k, v := range f.matrix[j] {
			if k != j {
				sum -= v * f.solved[k]
			}
		}
		return sum
	}
	for range sweeps {
		f.solved[0] = rest(0) / f.matrix[0][0]
		moved := 0.0
		for _, j := range order {
			p := f.pairs[j-1]
			g := p.gap(nowMS, f.matrix[j][j])
			next := max(0, min(maxEffect, (rest(j)+g*p.carried.effect)/(f.matrix[j][j]+ridge+g)))
			moved = max(moved, math.Abs(next-f.solved[j]))
			f.solved[j] = next
		}
		if moved < 1e-4 {
			return
		}
	}
}

// clip measures the deviation of the samples and lowers the weight of those that deviate most.
func (f *fitting) clip() {
	residuals := make([]float64, len(f.im.samples))
	for _, g := range f.groups {
		fitted := 0.0
		for j, a := range g.v {
			fitted += a * f.solved[j]
		}
		g.effect = (g.y - fitted) / (f.im.groupWeight() + g.weight)
	}
	for i, x := range f.im.samples {
		r := x.y - f.base - f.groups[x.group].effect
		each(x, func(j int, a float64) { r -= a * f.solved[j] })
		residuals[i] = math.Abs(r)
	}
	sorted := slices.Sorted(slices.Values(residuals))
	// Each group has taken a degree of freedom.
	n := max(1, float64(len(sorted)-len(f.groups)-len(f.pairs)))
	measured := sorted[len(sorted)/2] / medianDeviation * math.Sqrt(float64(len(sorted))/n)
	f.im.sigma = min(mostSigma, max(leastSigma, math.Sqrt((n*measured*measured+usualSigmaWeight*usualSigma*usualSigma)/(n+usualSigmaWeight))))
	for i, r := range residuals {
		near := min(1, clip*f.im.sigma/max(r, 1e-9))
		f.clipped[i] = near * near
	}
}

// store stores the results with their errors.
func (f *fitting) store(nowMS int64) {
	m := make([][]float64, len(f.solved))
	for j := range m {
		m[j] = slices.Clone(f.matrix[j])
		if j > 0 {
			m[j][j] += ridge + f.pairs[j-1].gap(nowMS, f.matrix[j][j])
		}
	}
	variances := inverseDiagonal(m)
	for j, p := range f.pairs {
		info := 1 / max(variances[j+1], 1e-9)
		p.effect, p.info, p.err = f.solved[j+1], min(maxInfo, max(0, info-ridge)), f.im.sigma/math.Sqrt(info)
		fromSamples := p.info - p.gap(nowMS, f.matrix[j+1][j+1])
		if fromSamples > 0 && fromSamples >= p.carried.weight*aged(nowMS-p.carried.atMS) {
			p.carry(p.effect, p.info, nowMS)
		}
	}
}

// inverseDiagonal returns the diagonal of the inverse of a positive definite matrix, which it changes.
func inverseDiagonal(m [][]float64) []float64 {
	n := len(m)
	inverse := make([][]float64, n)
	for i := range inverse {
		inverse[i] = make([]float64, n)
		inverse[i][i] = 1
	}
	for i := range n {
		pivot := max(m[i][i], 1e-9)
		for j := range n {
			m[i][j], inverse[i][j] = m[i][j]/pivot, inverse[i][j]/pivot
		}
		for k := range n {
			if factor := m[k][i]; k != i && factor != 0 {
				for j := range n {
					m[k][j] -= factor * m[i][j]
					inverse[k][j] -= factor * inverse[i][j]
				}
			}
		}
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = inverse[i][i]
	}
	return out
}
