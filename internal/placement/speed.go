package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// The rules of this file place work by the speed of workers. They take effect only if View.FleetUneven is set.

const (
	// speedSpread is the standard deviation of the log of the speeds on an uneven fleet, whose speeds are 0.6, 1.0 and 1.6.
	// A recorded speed is shrunk towards 1.0 by its error relative to it; it is the error of an unknown speed.
	speedSpread = 0.4
	// speedConfidence is the number of standard errors within which the speed of a worker is assumed to lie. With 1, five
	// of six workers that are taken to be too slow are so.
	speedConfidence = 1.0
	// recordedError is the error up to which a worker counts as having a record. It is that of two samples, whose
	// residual standard deviation is 0.27.
	recordedError = 0.2
	// lengthMargin multiplies the expected run time, since a gang is as long as its longest member and the start itself
	// takes time. Without it, a worker of speed 0.6 misses an objective of stretch 1.5 by 1 % only.
	lengthMargin = 1.2
	// slowSpeed and fastSpeed divide the workers into bands. A worker below slowSpeed misses an objective of stretch 1.5
	// once the length margin is included; fastSpeed is as far above 1.0.
	slowSpeed = 0.8
	fastSpeed = 1.25
	// urgentSpeedWaitMS is for how long guaranteed work waits for a worker that is fast enough. Such work must begin within
	// 2.7 s, of which a stop takes up to 0.9 s, before or after the wait.
	urgentSpeedWaitMS = 1000
	// speedWaitShare is for how long other work waits, as a share of its run time: less than a slow worker would add.
	speedWaitShare = 0.5
	// learningShare is the share of the tasks of a unit that run on workers without a record although others fit better.
	learningShare = 0.25
	// learningEmptyShare is the share of the workers that must be empty for more than one of them to get a task of the same
	// unit just to be measured. It exceeds emptyReserveShare, so that urgent work and large gangs still find empty ones.
	learningEmptyShare = 0.5
)

// speedBand is a coarse class of the expected speed of a worker.
type speedBand int8

const (
	slowBand speedBand = iota
	middleBand
	fastBand
)

// speedRank orders the workers for a unit, the best first. Ranks below rankUncertain are speed bands of workers that meet
// the unit's objective.
type speedRank int8

const (
	rankUncertain = speedRank(fastBand) + 1 + iota // The worker may or may not meet the objective.
	rankMisses                                     // The worker misses the objective with confidence.
)

// speedEstimate is what a decision assumes about the speed of a worker.
type speedEstimate struct {
	low, high float32 // Bounds of the speed.
	band      speedBand
	recorded  bool
}

// estimateSpeed shrinks the recorded speed of a worker towards 1.0 by its error. A record that cannot be valid counts as
// unknown.
func estimateSpeed(w *Worker) speedEstimate {
	expected, deviation, recorded := 0.0, speedSpread, false
	if w.Speed > 0 && !math.IsInf(w.Speed, 1) && w.SpeedError >= 0 && !math.IsInf(w.SpeedError, 1) {
		prior, err := speedSpread*speedSpread, w.SpeedError*w.SpeedError
		expected = math.Log(w.Speed) * prior / (prior + err)
		deviation = math.Sqrt(prior * err / (prior + err))
		recorded = w.SpeedError <= recordedError
	}
	e := speedEstimate{
		low: float32(math.Exp(expected - speedConfidence*deviation)), high: float32(math.Exp(expected + speedConfidence*deviation)),
		band: middleBand, recorded: recorded,
	}
	switch speed := math.Exp(expected); {
	case speed < slowSpeed:
		e.band = slowBand
	case speed > fastSpeed:
		e.band = fastBand
	}
	return e
}

// fleetSpeed is what a decision knows of the speeds of all usable workers.
type fleetSpeed struct {
	slowestHigh float32 // The lowest upper bound.
	fastestHigh float32 // The highest upper bound.
}

// prepareSpeeds estimates the speeds of all workers. Slow empty workers are not kept for urgent work, which would miss
// its objective there, as long as there are enough other workers for the reserve.
func (d *decision) prepareSpeeds() {
	if !d.view.FleetUneven {
		return
	}
	d.speeds.slowestHigh = float32(math.Inf(1))
	others := 0
	for _, s := range d.slots {
		s.speed = estimateSpeed(s.Worker)
		d.speeds.slowestHigh = min(d.speeds.slowestHigh, s.speed.high)
		d.speeds.fastestHigh = max(d.speeds.fastestHigh, s.speed.high)
		if s.speed.band != slowBand {
			others++
		}
	}
	if others < d.emptyReserve {
		return
	}
	for _, s := range d.slots {
		if s.speed.band == slowBand {
			s.outsideReserve = true
			if s.empty() {
				d.emptyWorkers--
			}
		}
	}
}

// inReserve tells whether a worker is empty and counts among those kept for urgent work.
func (s *slot) inReserve() bool { return s.empty() && !s.outsideReserve }

// speedNeed is what the unit that is being placed needs of the speed of workers.
type speedNeed struct {
	applies  bool    // The speed of workers matters for the unit.
	speed    float32 // Speed with which it meets its objective.
	urgent   bool
	hopeless bool // It misses its objective on every worker, so that slow workers are as good as others.
	waits    bool // It does not use workers on which it misses its objective.
}

// speedNeedOf returns what a unit needs. Tasks that last have no run time, and best-effort tasks use what is idle, so
// that the rules do not apply to them.
func (d *decision) speedNeedOf(u *Unit) speedNeed {
	step := u.step()
	if !d.view.FleetUneven || step.LongRunning || step.BestEffort || u.RunMS <= 0 {
		return speedNeed{}
	}
	left := float64(u.DueMS - d.view.NowMS - laterStepsMS(u))
	n := speedNeed{applies: true, urgent: u.Job.Spec.Priority == 0, speed: float32(lengthMargin * float64(u.RunMS) / left)}
	n.hopeless = left <= 0 || n.speed > lengthMargin*d.speeds.fastestHigh
	return n
}

// laterStepsMS returns the expected run time of the longest chain of steps after that of a unit, on workers of speed 1.0.
// Declared run times are scaled like that of the unit's own step.
func laterStepsMS(u *Unit) int64 {
	steps := u.Job.Spec.Steps
	if u.Step == len(steps)-1 || u.step().EstimateMS <= 0 {
		return 0
	}
	ends := make([]int64, len(steps))
	longest := int64(0)
	for i := u.Step + 1; i < len(steps); i++ {
		after := false
		for _, dep := range steps[i].DependsOn {
			if dep == u.Step || ends[dep] > 0 {
				after, ends[i] = true, max(ends[i], ends[dep])
			}
		}
		if after {
			ends[i] += max(1, steps[i].EstimateMS)
			longest = max(longest, ends[i])
		}
	}
	return int64(float64(longest) * float64(u.RunMS) / float64(u.step().EstimateMS))
}

// considerSpeed makes a unit the one whose need decides which workers are eligible and preferred. A unit waits for
// workers on which it meets its objective only if it would fit on them, on its preferred rack if it has one: off that
// rack it takes longer than on a slow worker.
func (d *decision) considerSpeed(u *Unit) {
	d.need = d.speedNeedOf(u)
	n := &d.need
	if !n.applies || n.hopeless || n.speed <= d.speeds.slowestHigh || n.speed > d.speeds.fastestHigh || u.WaitedMS >= d.speedWaitMS(u) {
		return
	}
	n.waits = true // So that eligible accepts only workers that are fast enough.
	step := u.step()
	if step.DataRack != "" && len(d.racks[step.DataRack]) > 0 {
		n.waits = d.fitsSomewhere(u, d.racks[step.DataRack])
		return
	}
	if step.Gang && step.SameRack && !d.someRackFitsWhenEmpty(u) {
		n.waits = false
		if d.someRackFitsWhenEmpty(u) {
			return
		}
		n.waits = true
	}
	n.waits = d.fitsSomewhere(u, d.slots)
}

// fitsSomewhere tells whether a whole gang, or one independent task, would fit on some workers if nothing else ran there.
func (d *decision) fitsSomewhere(u *Unit, slots []*slot) bool {
	if u.step().Gang {
		return d.fitsWhenEmpty(u, slots)
	}
	demand := u.step().Demand()
	return slices.ContainsFunc(slots, func(s *slot) bool { return demand.Fits(s.Total) && d.eligible(u, s) })
}

// speedWaitMS returns for how long a unit waits for workers on which it meets its objective.
func (d *decision) speedWaitMS(u *Unit) int64 {
	if u.Guaranteed {
		return urgentSpeedWaitMS
	}
	wait := int64(speedWaitShare * float64(u.RunMS))
	if d.lightLoad {
		wait = min(wait, lightLoadWaitMS)
	}
	return wait
}

// tooSlow tells whether the unit that is being placed waits rather than use a worker.
func (d *decision) tooSlow(s *slot) bool {
	return d.need.waits && s.speed.high < d.need.speed
}

// tooCostly tells whether stops discard too much work for a unit that waits for fast workers: more than the work of its
// tasks, weighed like that of a job that misses its objective. It then waits for room without stops.
func (d *decision) tooCostly(u *Unit, cost int64, count int) bool {
	return d.need.waits && cost > atRiskWeight*u.RunMS*cores(u.step().Demand())*int64(count)
}

// speedRank ranks a worker for the unit that is being placed. Among workers on which the unit meets its objective, slow
// ones come first; for work that is not urgent, fast ones come last.
func (d *decision) speedRank(s *slot) speedRank {
	n := &d.need
	switch {
	case !n.applies:
		return 0
	case n.hopeless:
		return speedRank(s.speed.band)
	case s.speed.low >= n.speed:
		if n.urgent {
			return speedRank(min(s.speed.band, middleBand))
		}
		return speedRank(s.speed.band)
	case s.speed.high < n.speed:
		return rankMisses
	}
	return rankUncertain
}

// groupByRank returns workers in the order of their ranks, otherwise in the given order. Workers are mostly given in the
// order of fit already, in which a sort takes half the time.
func (d *decision) groupByRank(slots []*slot) []*slot {
	if !d.need.applies {
		return slots
	}
	var next [rankMisses + 2]int // Index of the next worker of a rank, stored one rank higher while counting.
	for _, s := range slots {
		next[s.rank+1]++
	}
	for r := range rankMisses + 1 {
		next[r+1] += next[r]
	}
	out := slices.Grow(d.grouped[:0], len(slots))[:len(slots)]
	d.grouped = out
	for _, s := range slots {
		out[next[s.rank]] = s
		next[s.rank]++
	}
	return out
}

// slowWorkersFirst reverses the order of the ranks of sorted workers if a gang does not fit without a worker on which it
// misses its objective. One such worker makes the whole gang miss it, so that the fast ones are left to other work.
func (d *decision) slowWorkersFirst(u *Unit, sorted []*slot, failedOn []string) {
	if !d.need.applies || d.need.hopeless || d.need.speed <= d.speeds.slowestHigh {
		return
	}
	demand, members := u.step().Demand(), 0
	for _, s := range sorted {
		if s.rank == rankMisses {
			break
		}
		if members += min(demand.Copies(s.free), d.roomBySpreadLimit(u, s)); members >= len(u.Indexes) {
			return
		}
	}
	slices.SortStableFunc(sorted, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(failedBefore(failedOn, a), failedBefore(failedOn, b)), cmp.Compare(b.rank, a.rank))
	})
}

// slowestRank returns the rank of the slowest of a gang's workers, without the differences between workers on which it
// meets its objective.
func slowestRank(slots []*slot) speedRank {
	slowest := speedRank(0)
	for _, s := range slots {
		if s.rank >= rankUncertain {
			slowest = max(slowest, s.rank)
		}
	}
	return slowest
}

// learningSlots returns workers without a record that get one task of a unit each, so that its tasks can be compared:
// for all tasks if no worker with a record fits better, otherwise for a share of them. The unit meets its objective on
// them, as far as is known.
func (d *decision) learningSlots(u *Unit, demand domain.Resources) []*slot {
	if !d.need.applies || d.need.urgent || d.need.hopeless || len(u.Indexes) < 2 || u.step().DataRack != "" {
		return nil
	}
	best := d.bestSlot(u, nil, demand)
	if best == nil {
		return nil
	}
	emptyLeft := d.emptyWorkers - int(learningEmptyShare*float64(len(d.slots)))
	var candidates []*slot
	for _, s := range d.slots {
		if s.speed.recorded || !d.accepts(u, s, demand) {
			continue
		}
		if s.rank = d.speedRank(s); s.rank >= rankUncertain || d.harm(s) > 0 {
			continue
		}
		if s.empty() {
			if emptyLeft <= 0 {
				continue
			}
			emptyLeft--
		}
		if len(candidates) > 0 {
			if c := compareFit(s, candidates[0]); c > 0 {
				continue
			} else if c < 0 {
				candidates = candidates[:0]
			}
		}
		candidates = append(candidates, s)
	}
	limit := len(u.Indexes)
	if len(candidates) > 0 && compareFit(best, candidates[0]) < 0 {
		limit = int(math.Ceil(learningShare * float64(limit)))
	}
	return candidates[:min(limit, len(candidates))]
}

// compareFit compares the fit of two workers by speed rank and free accelerators.
func compareFit(a, b *slot) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.free.Accelerators, b.free.Accelerators))
}
