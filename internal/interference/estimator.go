// Package interference estimates how much longer tasks of one image take beside tasks of another one on the same worker.
//
// A sample is the tail latency of a serving task, or the run time of another task, with the images that worked beside it. For
// each suffering image the logarithm of these values is fitted as the sum of a level, an effect of the group of the sample, and
// an effect of each neighbouring image times how much it worked. The effects of neighbours are not negative.
//
// The package does no I/O and reads no clock. Times are Unix milliseconds.
package interference

import (
	"math"
	"slices"
)

// Bounds of what is held.
const (
	MaxPairs = 256
	// maxPairsPerImage bounds the cost of a fit, which grows with its third power. 64 pairs take 0.3 million operations.
	maxPairsPerImage = 64
	maxSamples       = 4096 // With 7,400, a fit takes 5 ms for four images beside six others.
	maxNeighbours    = 12   // Images beside one task. The cost of a sample grows with their square.
	// keepMS is how long a sample is kept. By then it has lost 7/8 of its weight.
	keepMS = 3 * halfLifeMS
	// maxCarried bounds the weight of an estimate whose samples have been dropped.
	maxCarried = 10
)

// Pair is an ordered pair of images.
type Pair struct{ Suffers, Beside string }

// Neighbour is an image that works beside a task.
type Neighbour struct {
	Image string
	Tasks float64 // Tasks of the image, each counted with the share of its time for which it works.
}

// Sample is one measurement of a task.
type Sample struct {
	Image string
	// Serving tells that Log is a tail latency; otherwise it is a run time. Samples of an image are all of the kind of the newest
	// one.
	Serving bool
	// Group names the samples that share a level: those of one serving task, whose load and worker differ from those of others,
	// or those of one step of a job, whose amount of work does.
	Group      string
	Neighbours []Neighbour
	Log        float64
	Weight     float64 // 1 for a measurement over a second.
	AtMS       int64
}

// Estimate is what is known of a pair.
type Estimate struct {
	Factor  float64 // How many times as long it takes beside one task of the other image that works all the time; at least 1.
	Error   float64 // Standard error of the logarithm of Factor.
	Samples float64 // Weight of the samples, which falls with their age.
	AtMS    int64   // Time of the newest sample.
}

// Conditions for a pair to count as harmful.
const (
	// harmfulFactor is the factor that the true one must exceed: less is lost in the variation of the load.
	harmfulFactor = 1.1
	// confidence is by how many standard errors: one in a hundred pairs without an effect is beyond it. With one in twenty, 3 of
	// 200 fleets were found to have a harmful image although a fifth of their latencies jumped without a cause.
	confidence = 2.33
	// leastSamples is the least weight of the samples.
	leastSamples = 1.0
	// A pair that was harmful remains so with keptSamples and without regard to the error.
	keptSamples = leastSamples / 2
)

// Harmful reports whether the estimate shows harm with confidence. was tells whether it did before.
func (e Estimate) Harmful(was bool) bool {
	if e.Samples >= leastSamples && math.Log(e.Factor)-confidence*e.Error > math.Log(harmfulFactor) {
		return true
	}
	return was && e.Samples >= keptSamples && e.Factor > harmfulFactor
}

// Known reports whether the samples are enough to record the estimate.
func (e Estimate) Known() bool { return e.Samples >= leastSamples }

// WeightAt returns the weight of the samples of a stored estimate at a later time.
func (e Estimate) WeightAt(nowMS int64) float64 { return e.Samples * aged(nowMS-e.AtMS) }

// Usable reports whether an estimate that was stored has values that make sense.
func (e Estimate) Usable() bool {
	return e.Samples > 0 && e.Samples < 1e6 && e.Factor >= 1 && e.Factor <= 2*math.Exp(maxEffect)
}

// pair is the state of a pair.
type pair struct {
	key     Pair
	effect  float64 // Logarithm of the factor.
	info    float64 // Weight of its samples, less what the uncertainty of the other effects takes.
	err     float64
	atMS    int64
	dropped bool // It is not among Estimator.pairs any more.
	index   int  // In a fit.
	// carried is the estimate of an earlier leader, or of samples that may have been dropped since.
	carried struct {
		effect, weight float64
		atMS           int64
	}
}

// gap returns by how much the carried evidence exceeds that of the samples.
func (p *pair) gap(nowMS int64, info float64) float64 {
	return max(0, p.carried.weight*aged(nowMS-p.carried.atMS)-info)
}

// image is the state of a suffering image.
type image struct {
	serving bool
	samples []sample // In the order of arrival.
	pairs   int      // How many of the pairs have it as the suffering image.
	sigma   float64
}

type sample struct {
	group     string
	exposures []exposure
	y         float64
	weight    float64
	atMS      int64
}

type exposure struct {
	pair  *pair
	tasks float64
}

// Estimator holds the samples and the result of the last fit. It is not safe for concurrent use.
type Estimator struct {
	images map[string]*image
	pairs  map[Pair]*pair
	count  int // Samples of all images.
}

// New returns an estimator without samples.
func New() *Estimator { return &Estimator{images: map[string]*image{}, pairs: map[Pair]*pair{}} }

// aged returns the share of its weight that evidence has at an age in milliseconds.
func aged(ms int64) float64 { return math.Exp2(-float64(max(0, ms)) / halfLifeMS) }

// Add adds a sample. It returns false if the sample cannot be used.
func (e *Estimator) Add(s Sample) bool {
	if s.Image == "" || !(math.Abs(s.Log) < maxLog && s.Weight > 0 && s.Weight <= 1) || len(s.Neighbours) > maxNeighbours { // Also refuses what is not a number.
		return false
	}
	im := e.images[s.Image]
	if im == nil {
		im = &image{sigma: usualSigma}
		e.images[s.Image] = im
	}
	if im.serving != s.Serving {
		e.count -= len(im.samples)
		im.serving, im.samples = s.Serving, nil
	}
	x := sample{group: s.Group, y: s.Log, weight: s.Weight, atMS: s.AtMS}
	for _, n := range s.Neighbours {
		if n.Image == "" || !(n.Tasks > 0) {
			continue
		}
		p := e.pair(Pair{s.Image, n.Image}, s.AtMS)
		x.exposures = append(x.exposures, exposure{p, min(n.Tasks, maxTasks)})
	}
	im.samples = append(im.samples, x)
	if e.count++; e.count > maxSamples {
		e.shortenLongest()
	}
	return true
}

// pair returns the state of a pair that is being updated. For a new one it drops the least recently updated one if there are
// too many.
func (e *Estimator) pair(key Pair, atMS int64) *pair {
	p := e.pairs[key]
	if p == nil {
		if im := e.images[key.Suffers]; im != nil && im.pairs >= maxPairsPerImage {
			e.dropOldest(func(p *pair) bool { return p.key.Suffers == key.Suffers })
		} else if len(e.pairs) >= MaxPairs {
			e.dropOldest(func(*pair) bool { return true })
		}
		p = &pair{key: key}
		e.pairs[key] = p
		if e.images[key.Suffers] == nil {
			e.images[key.Suffers] = &image{sigma: usualSigma}
		}
		e.images[key.Suffers].pairs++
	}
	p.atMS = max(p.atMS, atMS)
	return p
}

// dropOldest drops the least recently updated of some pairs. The pair counts as harmless in the samples that have it.
func (e *Estimator) dropOldest(among func(*pair) bool) {
	var oldest *pair
	for _, p := range e.pairs {
		if among(p) && (oldest == nil || p.atMS < oldest.atMS || (p.atMS == oldest.atMS && p.key.less(oldest.key))) {
			oldest = p
		}
	}
	e.drop(oldest)
}

func (e *Estimator) drop(p *pair) {
	p.dropped = true
	delete(e.pairs, p.key)
	e.images[p.key.Suffers].pairs--
}

func (k Pair) less(o Pair) bool {
	return k.Suffers < o.Suffers || (k.Suffers == o.Suffers && k.Beside < o.Beside)
}

// shortenLongest drops the older half of the samples of the image that has the most.
func (e *Estimator) shortenLongest() {
	var longest *image
	for _, im := range e.images {
		if longest == nil || len(im.samples) > len(longest.samples) {
			longest = im
		}
	}
	n := len(longest.samples) / 2
	longest.samples = slices.Delete(longest.samples, 0, n)
	e.count -= n
}

// Prior makes an estimate of an earlier leader the starting point for a pair.
func (e *Estimator) Prior(key Pair, p Estimate) {
	if !p.Usable() || key.Suffers == "" || key.Beside == "" {
		return
	}
	x := e.pair(key, p.AtMS)
	x.carry(math.Log(p.Factor), p.Samples, p.AtMS)
}

// carry keeps an estimate. It was drawn to 0, as the next one will be; the mean of its samples was further away.
func (p *pair) carry(effect, info float64, atMS int64) {
	p.carried.effect = min(maxEffect, effect*(info+ridge)/info)
	p.carried.weight, p.carried.atMS = min(info, maxCarried), atMS
}

// Len returns how many samples and pairs are held.
func (e *Estimator) Len() (samples, pairs int) { return e.count, len(e.pairs) }

// Estimates returns the results for all pairs, as of the last fit.
func (e *Estimator) Estimates() map[Pair]Estimate {
	out := make(map[Pair]Estimate, len(e.pairs))
	for key, p := range e.pairs {
		if p.info > 0 {
			out[key] = Estimate{Factor: math.Exp(p.effect), Error: p.err, Samples: p.info, AtMS: p.atMS}
		}
	}
	return out
}
