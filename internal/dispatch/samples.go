package dispatch

import (
	"math"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/speed"
)

// Conditions for samples of the speed of a worker.
const (
	leastSiblings = 4 // Tasks of the step, at least.
	// gangWeight is the weight of a sample of a gang's member, in samples of independent tasks. The members have the same amount
	// of work and list their own progress, although they end together: on a measured day their samples deviated by some percent,
	// those of independent tasks by 27 %.
	gangWeight = 16
	// leastGangPercent is the progress from which on that of a gang's member lets expect a run time. The rounding is an error of
	// 5 % at most.
	leastGangPercent = 10
	// leastPercent is the progress from which on it lets expect a run time. Progress comes in whole percents, so the error is
	// 5 % at most.
	leastPercent = 20
	// progressEvery is the shortest time between two looks at the progress of an attempt.
	progressEvery = 500 * time.Millisecond
	// leastProgressWeight is the weight of the sample of an attempt whose progress has just begun. That of a complete one is 1.
	leastProgressWeight = 0.5
	// An attempt stands still if it makes not even one percent in stallBase and in stillShare of its expected run time: a worker
	// that is ten times slower than expected makes more.
	stillShare = 0.1
	// slowdown is by how much the expected run time may rise from one sample of an attempt to the next. If it rises more, either
	// the attempt has stood still or its worker has become slower, and the next list tells which.
	slowdown = 1.5
	// unevenPace is by how much the pace of an attempt may change from one list to the next. If it changes more, the attempt has
	// stood still for a part of the time. A worker that has changed its speed shows in the attempts that begin then.
	unevenPace = 2.0
	// unevenGangPace is the same for a gang's member, whose progress is even on a sound worker.
	unevenGangPace = 1.1
	// lateEndShare is the share of the run time by which the time of an end may be unknown.
	lateEndShare = 0.15
	// waitedLeast is how long a worker must have held a call back, by its clock, for its answer to mark the time of an end.
	waitedLeast = 100 * time.Millisecond
	// clockRateError and clockSlack bound how much the time by the clock of a worker may differ from that by this host's. An
	// answer that arrives later than that tells nothing, since a clock that runs slowly looks the same.
	clockRateError = 0.1
	clockSlack     = 100 * time.Millisecond
)

// attemptSample is what is known about the run time of an attempt. The times are on the clock of the worker, so that answers that
// arrive late, or after others were lost, do not make it seem slow or fast.
type attemptSample struct {
	sentAt, answeredAt time.Duration // Of the start, here.
	startMS            int64         // When the worker carried the start out; 0 if that is not known.
	restored           bool          // It continues from a checkpoint.
	listedMS           int64         // When the worker last listed it as running.
	percent            int           // Progress when it last changed, and the run time until then.
	percentAfter       time.Duration
	expected           float64 // Run time that was taken as a sample, in milliseconds.
	doubtful           bool    // Its expected run time has risen by more than slowdown.
	confirmed          bool    // A later sample agreed with the first one.
	over               bool    // No further sample is taken.
}

// sampleStart notes the answer to the start of an attempt. An answer to a repeated start may tell of the first one, and an
// attempt that an earlier leader has started may have been running for a long time.
func (a *attemptState) sampleStart(now Time, s *session, p pendingCall, r Reply) {
	if a.inherited || a.tries != 1 || a.sample.startMS != 0 {
		return
	}
	startMS := r.ClockMS
	if startMS == 0 && s.clock.known() { // The answer does not contain the clock.
		startMS = s.clock.ms + (now.Mono - s.clock.at).Milliseconds()
	}
	a.sample = attemptSample{
		sentAt: p.sentAt, answeredAt: now.Mono, startMS: startMS, listedMS: startMS, restored: p.call.Checkpoint != "", over: a.sample.over,
	}
}

// tellsSpeed reports whether the run time of an attempt depends on the speed of its worker as those of its siblings do.
func (l *Leader) tellsSpeed(a *attemptState, w *domain.Worker) bool {
	if a.sample.over || a.sample.startMS == 0 || a.sample.restored || a.stopWanted || a.pace < paceFull || l.state.Job(a.task.Job) == nil {
		return false
	}
	step := l.stepOf(a)
	switch {
	case step.Count < leastSiblings, step.BestEffort, step.LatencyTargetMS > 0, step.LongRunning:
		return false
	case step.SameRack && !step.Gang: // Its tasks are slow if they are spread over several racks, those of a gang all alike.
		return false
	}
	return step.DataRack == "" || step.DataRack == w.Rack // Elsewhere it takes about three times as long.
}

// sampleLists takes samples from the lists of a worker.
func (l *Leader) sampleLists(now Time, w *domain.Worker, p pendingCall, r Reply) {
	if l.speeds == nil || r.ClockMS == 0 {
		return
	}
	for _, t := range r.Running {
		a := l.listedCurrent(w, t.Task, t.Attempt)
		if a == nil {
			continue
		}
		if !a.sample.over && l.crowded(a, w) {
			l.options.Observer.SpeedSample(sampleCrowded)
			l.dropSample(a)
		}
		if l.tellsSpeed(a, w) {
			l.sampleProgress(now, w, a, r, t.Percent)
		}
	}
	for _, e := range r.Ended {
		if a := l.listedCurrent(w, e.Task, e.Attempt); a != nil && a.endListedAt == 0 {
			switch {
			case e.Outcome == domain.OutcomeFailed:
				l.dropSample(a)
			case e.Outcome != domain.OutcomeDone:
				l.endSamples(a)
			case l.isGang(a.task): // Its members end together, whatever each has done. What their progress has shown stays.
			case l.tellsSpeed(a, w):
				l.sampleEnd(now, w, a, p, r)
			}
			a.sample.over = true
		}
	}
}

// listedCurrent returns the current attempt that an entry of a worker's list means, nil if there is none.
func (l *Leader) listedCurrent(w *domain.Worker, id domain.TaskID, number int) *attemptState {
	if a := l.attempts[id]; a != nil && a.number == number && a.incarnation == w.Incarnation {
		return a
	}
	return nil
}

// ran returns how long an attempt had run when its worker answered a call, false if the clocks of the worker and of this host
// do not agree about it.
func (x *attemptSample) ran(now Time, r Reply) (time.Duration, bool) {
	ran := milliseconds(r.ClockMS - x.startMS)
	most, here := now.Mono-x.sentAt, now.Mono-x.answeredAt
	return ran, ran > 0 && float64(ran) <= float64(most)*(1+clockRateError)+float64(clockSlack) &&
		float64(ran) >= float64(here)*(1-clockRateError)-float64(clockSlack)
}

// waitedForGang returns for how long an attempt has waited for the members of its gang, which work only together. It returns
// false if the beginning of some member is not known.
func (l *Leader) waitedForGang(a *attemptState) (time.Duration, bool) {
	if !l.isGang(a.task) {
		return 0, true
	}
	members := l.members(a.task)
	last := a.sample.answeredAt
	for _, m := range members {
		if m.number != a.number || m.sample.startMS == 0 {
			return 0, false
		}
		last = max(last, m.sample.answeredAt)
	}
	return last - a.sample.answeredAt, len(members) == l.stepOf(a).Count
}

// sampleProgress takes a sample from the progress of an attempt.
func (l *Leader) sampleProgress(now Time, w *domain.Worker, a *attemptState, r Reply, percent int) {
	x := &a.sample
	ran, ok := x.ran(now, r)
	switch {
	case !ok:
		l.options.Observer.SpeedSample(sampleNoClock)
		l.dropSample(a)
		return
	case r.ClockMS < x.listedMS:
		return // An earlier answer than one that has arrived before.
	}
	x.listedMS = r.ClockMS
	gang := l.isGang(a.task)
	if gang && percent >= nearlyDone {
		return // A member whose work is done shows no further progress until the others are done.
	}
	waited, together := l.waitedForGang(a)
	if ran -= waited; !together || ran <= 0 {
		return
	}
	if percent <= x.percent {
		if still := ran - x.percentAfter; x.percent < nearlyDone && still >= max(stallBase, time.Duration(stillShare*float64(l.expectedRun(a)))) {
			l.options.Observer.SpeedSample(sampleStalled)
			l.dropSample(a)
		}
		return
	}
	if ran-x.percentAfter < progressEvery {
		return // Whole percents tell little about so short a time.
	}
	if x.resumed(percent, ran, gang) {
		l.options.Observer.SpeedSample(sampleStalled)
		l.dropSample(a)
		return
	}
	since, gained := ran-x.percentAfter, percent-x.percent
	x.percent, x.percentAfter = percent, ran
	least, full := leastPercent, 1.0
	if gang {
		least, full = leastGangPercent, gangWeight
	}
	if percent < least || percent > 100 {
		return
	}
	expected := float64(ran.Milliseconds()) * 100 / float64(percent)
	if x.expected > 0 && expected > slowdown*x.expected {
		switch recent := float64(since.Milliseconds()) * 100 / float64(gained); {
		case !x.doubtful:
			x.doubtful = true
			return
		case recent <= slowdown*x.expected: // It runs as before, so it has stood still in between.
			l.options.Observer.SpeedSample(sampleStalled)
			l.dropSample(a)
			return
		}
	}
	weight := full * (leastProgressWeight + (1-leastProgressWeight)*float64(percent)/100)
	l.takeSample(now, w, a, speed.Sample{LogRun: math.Log(expected), Weight: weight, Tentative: x.expected == 0})
}

// resumed reports whether an attempt has become much faster since its progress changed last. Progress is a whole number of
// percents, so each difference may be one percent too large or too small.
func (x *attemptSample) resumed(percent int, ran time.Duration, gang bool) bool {
	limit := unevenPace
	if gang {
		limit = unevenGangPace
	}
	before := x.percentAfter.Seconds() / float64(x.percent+1)
	since := (ran - x.percentAfter).Seconds() / float64(percent-x.percent-1)
	return x.percent > 0 && percent-x.percent > 1 && before > limit*since
}

// slowed reports whether an attempt has become much slower since its progress changed last.
func (x *attemptSample) slowed(percent int, ran time.Duration) bool {
	before := x.percentAfter.Seconds() / float64(x.percent-1)
	since := (ran - x.percentAfter).Seconds() / float64(percent-x.percent+1)
	return x.percent > 1 && since > unevenPace*before
}

// expectedRun returns the expected run time of an attempt of a job that is known.
func (l *Leader) expectedRun(a *attemptState) time.Duration {
	return milliseconds(l.runTimeMS(l.state.Job(a.task.Job), l.stepOf(a)))
}

// sampleEnd takes a sample from the end of an attempt as done.
func (l *Leader) sampleEnd(now Time, w *domain.Worker, a *attemptState, p pendingCall, r Reply) {
	x := &a.sample
	ran, ok := x.ran(now, r)
	if !ok {
		l.options.Observer.SpeedSample(sampleNoClock)
		l.dropSample(a)
		return
	}
	// It ended after the worker listed it as running. If the worker has held this call back, it ended just now.
	sentMS := x.startMS + (p.sentAt - x.answeredAt).Milliseconds()
	if waited := p.call.Wait > 0 && milliseconds(r.ClockMS-sentMS) >= waitedLeast; !waited {
		unknown := milliseconds(r.ClockMS - x.listedMS)
		if float64(unknown) > lateEndShare*float64(ran) {
			l.options.Observer.SpeedSample(sampleLateEnd) // The sample of its progress stays.
			return
		}
		ran -= unknown / 2
	}
	expected := float64(ran.Milliseconds())
	if x.resumed(100, ran, false) || x.slowed(100, ran) || (x.expected > 0 && expected > slowdown*x.expected) {
		l.options.Observer.SpeedSample(sampleStalled)
		l.dropSample(a)
		return
	}
	l.takeSample(now, w, a, speed.Sample{LogRun: math.Log(expected), Weight: 1})
}

// takeSample adds a sample, or replaces the earlier one of the attempt.
func (l *Leader) takeSample(now Time, w *domain.Worker, a *attemptState, s speed.Sample) {
	a.sample.confirmed = a.sample.expected > 0
	a.sample.expected, a.sample.doubtful = math.Exp(s.LogRun), false
	s.Worker, s.Step, s.Index, s.AtMS = w.SpeedKey(), speedStep(a.task), a.task.Index, l.steadyMS(now)
	result := sampleTaken
	if !l.speeds.estimator.Add(s) {
		result = sampleNotTaken
	}
	l.options.Observer.SpeedSample(result)
}

// dropSample removes the sample of an attempt that does not end as done, or has stood still, and takes no further one.
func (l *Leader) dropSample(a *attemptState) {
	if l.speeds != nil && a.sample.expected > 0 {
		l.speeds.estimator.Drop(speedStep(a.task), a.task.Index)
	}
	a.sample.expected, a.sample.over = 0, true
}

// endSamples drops the sample of an attempt that does not end as done. That of a gang's member stays if a later one agreed with
// it: gangs are stopped for reasons that have nothing to do with most of their members.
func (l *Leader) endSamples(a *attemptState) {
	if a != nil && a.endListedAt == 0 && !a.sample.over && !(a.sample.confirmed && l.isGang(a.task)) {
		l.dropSample(a)
	}
}

func speedStep(id domain.TaskID) speed.StepKey {
	return speed.StepKey{Job: string(id.Job), Occurrence: id.Occurrence, Step: id.Step}
}
