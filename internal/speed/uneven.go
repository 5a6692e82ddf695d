package speed

import "math"

// Conditions for a fleet to count as uneven.
const (
	// unevenShare is the share of the workers of known speed that must be too slow, and unevenLeast how many at least.
	unevenShare = 1.0 / 20
	unevenLeast = 2
	// confidence is by how many standard errors a worker must be beyond the limit to count as too slow.
	confidence = 0.84
	// Workers that are beyond the limit by manyConfidence standard errors are enough if they are manyLeast or more: chance
	// rarely moves so many. With the first rule alone, a third of the fleets of 350 workers, a third of them too slow, were
	// found within 30 s, with both rules all of them.
	manyConfidence = 0.3
	manyLeast      = 6
	// leastStretch is the lowest stretch that counts: below it, the noise of the samples alone would make workers seem too slow.
	leastStretch = 1.25
	// leastSamples is how many samples a worker must have for its speed to count as known.
	leastSamples = 1.0
	// A worker that was too slow counts as such while it is beyond keptStretch of the limit, on the logarithmic scale. A fleet
	// remains uneven until such workers are less than keptShare of those of known speed.
	keptStretch = 0.8
	keptShare   = unevenShare / 2
)

// Known reports whether the samples are enough for the speed to count as known.
func (p Estimate) Known() bool { return p.Samples >= leastSamples && p.Speed > 0 }

// beyond reports whether a worker is too slow for a stretch by a number of standard errors.
func (p Estimate) beyond(stretch, errors float64) bool {
	return p.Known() && -math.Log(p.Speed)-errors*p.Error > math.Log(max(stretch, leastStretch))
}

// TooSlow reports whether a worker is, with confidence, too slow for jobs that may take stretch times as long as at the speed 1.0.
func (p Estimate) TooSlow(stretch float64) bool { return p.beyond(stretch, confidence) }

// StillSlow reports whether a worker that was too slow still counts as such.
func (p Estimate) StillSlow(stretch float64) bool {
	return p.Known() && -math.Log(p.Speed) > keptStretch*math.Log(max(stretch, leastStretch))
}

// Uneven reports whether a fleet has workers that are too slow for a stretch. was tells whether it had them before.
func Uneven(all []Estimate, stretch float64, was bool) bool {
	known, slow, many, still := 0, 0, 0, 0
	for _, p := range all {
		if !p.Known() {
			continue
		}
		known++
		if p.TooSlow(stretch) {
			slow++
		}
		if p.beyond(stretch, manyConfidence) {
			many++
		}
		if p.StillSlow(stretch) {
			still++
		}
	}
	enough := func(n, least int, share float64) bool { return n >= least && float64(n) >= share*float64(known) }
	if was {
		return enough(still, unevenLeast, keptShare)
	}
	return enough(slow, unevenLeast, unevenShare) || enough(many, manyLeast, unevenShare)
}
