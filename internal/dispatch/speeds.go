package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/speed"
)

// Times of the records of speeds.
const (
	// fitSpeedsEvery is the shortest time between two fits, and between two commands with speeds.
	fitSpeedsEvery = time.Second
	// maxRecordsPerCommand bounds a command with speeds to about 30 kB. Further ones follow in the next.
	maxRecordsPerCommand = 500
	// A record is replaced if the speed has changed by more than recordChange, or if it has samples for recordGain times the
	// weight that the record still has, or for less than half of it: samples may turn out not to tell a speed.
	recordChange = 0.1
	recordGain   = 1.5
	// leastRecorded is the weight from which on a speed is recorded, in samples.
	leastRecorded = 1.0
	mostRecorded  = 100.0 // Beyond it, more samples make the estimate no better than the noise of the steps allows.
)

// Results of samples, as counted in metrics.
const (
	sampleTaken    = "taken"
	sampleStalled  = "stalled"   // The attempt stood still, for all that is known.
	sampleNoClock  = "clock"     // The clocks do not tell how long it ran.
	sampleLateEnd  = "late_end"  // The end was listed so late that the run time is not known.
	sampleNotTaken = "not_taken" // The window of samples is full.
	sampleCrowded  = "crowded"   // A neighbour is known to slow the attempt down.
)

// speeds is what the leader knows about the speeds of workers. It is nil if Options.WorkerSpeeds is not set.
type speeds struct {
	estimator *speed.Estimator
	byWorker  map[string]workerSpeed
	slow      map[string]bool // Workers that were logged as slow, by identifier.
	uneven    bool
	nextFitAt time.Duration
	inFlight  bool // A command with speeds is proposed and not applied yet.
}

// workerSpeed is the speed of one incarnation.
type workerSpeed struct {
	incarnation domain.WorkerIncarnation
	speed.Estimate
}

// inheritSpeeds begins with the records of earlier leaders.
func (l *Leader) inheritSpeeds() {
	if !l.options.WorkerSpeeds {
		return
	}
	l.speeds = &speeds{estimator: speed.New(), byWorker: map[string]workerSpeed{}, slow: map[string]bool{}}
	if l.state.SpeedsUnreadable() {
		l.options.Log("speeds_unreadable")
	}
	for key, r := range l.state.Speeds() {
		l.speeds.estimator.Prior(key, recorded(r))
	}
	l.fitSpeeds(l.beganWallMS)
}

func recorded(r domain.SpeedRecord) speed.Estimate {
	return speed.Estimate{Speed: float64(r.Thousands) / 1000, Samples: float64(r.Hundreds) / 100, AtMS: r.AtMS}
}

// updateSpeeds fits the speeds at most once a second and proposes to record those that have changed.
func (l *Leader) updateSpeeds(now Time) {
	if l.speeds == nil || now.Mono < l.speeds.nextFitAt {
		return
	}
	l.speeds.nextFitAt = now.Mono + fitSpeedsEvery
	if l.fitSpeeds(l.steadyMS(now)); !l.speeds.inFlight {
		l.recordSpeeds(now)
	}
}

// steadyMS returns the wall clock as of the beginning of the leadership, advanced by the monotonic clock: samples do not age
// when the wall clock is set.
func (l *Leader) steadyMS(now Time) int64 {
	return l.beganWallMS + (now.Mono - l.beganAt).Milliseconds()
}

// fitSpeeds brings the speeds of all workers up to date.
func (l *Leader) fitSpeeds(nowMS int64) {
	x := l.speeds
	live := make(map[string]bool, len(l.state.Workers()))
	for _, w := range l.state.Workers() {
		live[w.SpeedKey()] = true
	}
	x.estimator.Retain(func(key string) bool { return live[key] })
	x.estimator.Fit(nowMS)
	clear(x.byWorker)
	all := make([]speed.Estimate, 0, len(live))
	for id, w := range l.state.Workers() {
		if e := x.estimator.Estimate(w.SpeedKey()); e.Known() {
			x.byWorker[id] = workerSpeed{w.Incarnation, e}
			all = append(all, e)
		}
	}
	stretch := l.leastStretch()
	was := x.uneven
	x.uneven = stretch > 0 && speed.Uneven(all, stretch, was)
	if x.uneven != was {
		l.options.Log("fleet_uneven", "uneven", x.uneven, "known", len(all), "workers", len(l.state.Workers()), "stretch", stretch)
	}
	l.logSlow(cmp.Or(stretch, usualStretch))
}

// usualStretch is the stretch by which workers are logged as slow if no queue of priority 0 is configured.
const usualStretch = 1.5

// leastStretch returns the smallest stretch of the configured queues with priority 0, 0 if there is none.
func (l *Leader) leastStretch() float64 {
	least := 0.0
	if c := l.state.Config(); c != nil {
		for _, q := range c.Queues {
			if q.Priority == 0 && q.Stretch > 0 && (least == 0 || q.Stretch < least) {
				least = q.Stretch
			}
		}
	}
	return least
}

// logSlow logs the workers that are known to be slow now, and those that no longer are.
func (l *Leader) logSlow(stretch float64) {
	x := l.speeds
	known := make(map[string]bool, len(x.slow))
	for id, w := range x.byWorker {
		was := x.slow[id]
		is := w.TooSlow(stretch) || (was && w.StillSlow(stretch))
		if is != was {
			l.options.Log("worker_speed", "worker", id, "slow", is, "speed", math.Round(100*w.Speed)/100, "samples", math.Round(10*w.Samples)/10)
		}
		if is {
			known[id] = true
		}
	}
	x.slow = known
}

// recordSpeeds proposes to record the speeds that differ from their records, those with the most samples first.
func (l *Leader) recordSpeeds(now Time) {
	var out []domain.WorkerSpeed
	proposed := map[string]bool{} // Several workers may share a machine.
	for _, w := range l.state.Workers() {
		key := w.SpeedKey()
		if proposed[key] {
			continue
		}
		e := l.speeds.estimator.Estimate(key)
		e.Samples = min(e.Samples, mostRecorded)
		switch r, exists := l.state.Speeds()[key]; {
		case exists && !differs(recorded(r), e, l.steadyMS(now)):
			continue
		case !exists && e.Samples < leastRecorded:
			continue
		}
		proposed[key] = true
		out = append(out, domain.WorkerSpeed{
			Worker: w.Incarnation, Thousands: int64(math.Round(1000 * cmp.Or(e.Speed, 1))), Hundreds: max(1, int64(math.Round(100*e.Samples))),
		})
	}
	if len(out) == 0 {
		return
	}
	slices.SortFunc(out, func(a, b domain.WorkerSpeed) int {
		return cmp.Or(cmp.Compare(b.Hundreds, a.Hundreds), cmp.Compare(a.Worker.ID, b.Worker.ID))
	})
	l.speeds.inFlight = true
	l.propose(now, domain.Command{Speeds: &domain.RecordSpeeds{Speeds: out[:min(len(out), maxRecordsPerCommand)]}})
}

// differs reports whether an estimate says something else than a record, or is much surer or less sure.
func differs(r, e speed.Estimate, nowMS int64) bool {
	weight := r.WeightAt(nowMS)
	if weight < leastRecorded && e.Samples < leastRecorded {
		return false // Neither says anything.
	}
	return math.Abs(math.Log(cmp.Or(e.Speed, 1)/r.Speed)) > math.Log(1+recordChange) || e.Samples > recordGain*weight || e.Samples < weight/2
}

// speedsApplied counts the records of an applied command.
func (l *Leader) speedsApplied(c *domain.RecordSpeeds) {
	if l.speeds == nil {
		return
	}
	l.speeds.inFlight = false
	for _, s := range c.Speeds {
		l.options.Observer.SpeedRecorded(float64(s.Thousands) / 1000)
	}
}

// speedOf returns the speed of a worker, 0 if it is not known, and the standard error of its logarithm.
func (l *Leader) speedOf(w *domain.Worker) (relative, standardError float64) {
	if l.speeds == nil {
		return 0, 0
	}
	if s, known := l.speeds.byWorker[w.Incarnation.ID]; known && s.incarnation == w.Incarnation {
		return s.Speed, s.Error
	}
	return 0, 0
}

// fleetUneven tells whether workers are known to be too slow for the most urgent queues.
func (l *Leader) fleetUneven() bool { return l.speeds != nil && l.speeds.uneven }

// speedClass returns the class of a worker's speed, as counted in metrics.
func (l *Leader) speedClass(id string) string {
	if l.speeds == nil {
		return "unknown"
	}
	switch s, known := l.speeds.byWorker[id]; {
	case !known:
		return "unknown"
	case l.speeds.slow[id]:
		return "slow"
	case s.Speed > 1/speedClassStep:
		return "fast"
	case s.Speed < speedClassStep:
		return "below"
	default:
		return "usual"
	}
}

// speedClassStep is the speed below which a worker that is not slow counts as below the usual one. Its inverse is where a
// fast one begins.
const speedClassStep = 0.8
