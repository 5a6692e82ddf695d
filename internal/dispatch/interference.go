package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/interference"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

const (
	// fitInterferenceEvery is the shortest time between two fits, and between two commands with pairs.
	fitInterferenceEvery = time.Second
	// latencyWindow is the time over which workers measure what they list. A sample is taken only if nothing has started, ended
	// or changed its pace on the worker for as long.
	latencyWindow = 500 * time.Millisecond
	// leastSampleTime is the shortest time between two samples of an attempt: latencies of overlapping windows are not
	// independent. One over fullSampleTime has the weight 1.
	leastSampleTime = 250 * time.Millisecond
	fullSampleTime  = time.Second
	// leastGained is the progress between two samples of an ordinary attempt, in percent. Progress comes in whole percents, so
	// that the error is 10 % at most.
	leastGained = 10
	// exactSpeed is the standard error up to which the speed of a worker is known well enough to compare its attempts with those
	// on others: less than the deviation of siblings, 0.27.
	exactSpeed = 0.2
	// Pairs with less harm start at paceFull, and lower paces are multiples of paceStep.
	leastPacedFactor = 1.2
)

// interferences is what the leader knows about images that slow each other down. It is nil if Options.Interference is not set.
type interferences struct {
	estimator *interference.Estimator
	estimates map[interference.Pair]interference.Estimate
	harmful   map[string]map[string]float64 // Factors of the pairs that are known to be harmful, by suffering image.
	harms     placement.Interference        // The same for the placement, nil if there are none.
	suspected map[interference.Pair]bool    // Pairs that the last fit has shown to be harmful.
	sampled   bool                          // Samples were added since the last fit.
	nextFitAt time.Duration
	inFlight  bool // A command with pairs is proposed and not applied yet.
}

// neighbourSample is the state of the samples of an attempt that suffers, or may.
type neighbourSample struct {
	at         time.Duration // When the last one was taken.
	speedLog   *float64      // Logarithm of the worker's speed as known at the first one, 0 if it was not.
	clockMS    int64         // The worker's clock when the progress of an ordinary attempt was noted,
	percent    int           // that progress,
	neighbours []interference.Neighbour
}

// inheritInterference begins with the records of earlier leaders.
func (l *Leader) inheritInterference() {
	if !l.options.Interference {
		return
	}
	l.interference = &interferences{estimator: interference.New(), harmful: map[string]map[string]float64{}}
	if l.state.InterferenceUnreadable() {
		l.options.Log("interference_unreadable")
	}
	for _, r := range l.state.Interference() {
		pair := interference.Pair{Suffers: r.Suffers, Beside: r.Beside}
		l.interference.estimator.Prior(pair, recordedPair(r))
		if r.Harmful {
			l.interference.setHarmful(pair, float64(r.Thousands)/1000)
		}
	}
	l.fitInterference(l.beganWallMS, true)
}

func recordedPair(r domain.InterferenceRecord) interference.Estimate {
	return interference.Estimate{Factor: float64(r.Thousands) / 1000, Samples: float64(r.Hundreds) / 100, AtMS: r.AtMS}
}

// noteImages notes whether any open job has a step with an image. If none has, no samples are taken, and the placement does
// not look at images.
func (l *Leader) noteImages() {
	l.hasImages = false
	if l.interference == nil {
		return
	}
	for _, j := range l.state.OpenJobs() {
		for i := range j.Spec.Steps {
			if j.Spec.Steps[i].Image != "" {
				l.hasImages = true
				return
			}
		}
	}
}

// imagesOn counts the attempts on a worker by image, nil if there are none.
func (l *Leader) imagesOn(w *domain.Worker) map[string]int {
	if !l.hasImages {
		return nil
	}
	var out map[string]int
	for id := range w.Attempts() {
		if image := l.state.Job(id.Job).Spec.Steps[id.Step].Image; image != "" {
			if out == nil {
				out = map[string]int{}
			}
			out[image]++
		}
	}
	return out
}

// comparesLatencies tells whether the latencies of a worker are to be compared with those beside best-effort tasks: it has a
// serving attempt with an image, and best-effort tasks come and go. In the time of an ordinary hold they come again before the
// latencies without them have been listed.
func (l *Leader) comparesLatencies(w *domain.Worker) bool {
	if !l.hasImages || !l.hasBestEffort {
		return false
	}
	for id := range w.Attempts() {
		if a := l.attempts[id]; a != nil && l.serving(a) && l.stepOf(a).Image != "" {
			return true
		}
	}
	return false
}

// harms returns the pairs that are known to be harmful, for the placement.
func (l *Leader) harms() placement.Interference {
	if l.interference == nil || !l.hasImages {
		return nil
	}
	return l.interference.harms
}

// updateInterference fits the effects at most once a second and proposes to record those that have changed.
func (l *Leader) updateInterference(now Time) {
	x := l.interference
	if x == nil || now.Mono < x.nextFitAt {
		return
	}
	x.nextFitAt = now.Mono + fitInterferenceEvery
	if !x.sampled && len(x.estimates) == 0 {
		return
	}
	x.sampled = false
	if l.fitInterference(l.steadyMS(now), false); !x.inFlight {
		l.recordInterference(now)
	}
}

// fitInterference brings the estimates up to date and logs the pairs that are found to be harmful: those that two fits in a row
// show to be so, or that an earlier leader has found. With one fit, latencies that jump made a harmless image seem harmful in
// one of eight fleets.
func (l *Leader) fitInterference(nowMS int64, inherited bool) {
	x := l.interference
	x.estimator.Fit(nowMS)
	x.estimates = x.estimator.Estimates()
	before, suspected := x.harmful, x.suspected
	x.harmful, x.harms, x.suspected = map[string]map[string]float64{}, nil, map[interference.Pair]bool{}
	for pair, e := range x.estimates {
		was := before[pair.Suffers][pair.Beside] > 0
		if !e.Harmful(was) {
			continue
		}
		x.suspected[pair] = true
		if !was && !suspected[pair] {
			continue
		}
		if !was || inherited {
			l.options.Log("interference_found", "suffers", pair.Suffers, "beside", pair.Beside, "factor", math.Round(100*e.Factor)/100,
				"samples", math.Round(10*e.Samples)/10)
		}
		x.setHarmful(pair, e.Factor)
		if x.harms == nil {
			x.harms = placement.Interference{}
		}
		x.harms.Add(pair.Suffers, pair.Beside, e.Factor)
	}
}

func (x *interferences) setHarmful(pair interference.Pair, factor float64) {
	if x.harmful[pair.Suffers] == nil {
		x.harmful[pair.Suffers] = map[string]float64{}
	}
	x.harmful[pair.Suffers][pair.Beside] = factor
}

// recordInterference proposes to record the pairs that differ from their records, those with the most samples first.
func (l *Leader) recordInterference(now Time) {
	records := map[interference.Pair]domain.InterferenceRecord{}
	for _, r := range l.state.Interference() {
		records[interference.Pair{Suffers: r.Suffers, Beside: r.Beside}] = r
	}
	var out []domain.ImagePair
	for pair, e := range l.interference.estimates {
		harmful := l.interference.harmful[pair.Suffers][pair.Beside] > 0
		r, exists := records[pair]
		if same := exists && r.Harmful == harmful && !pairDiffers(recordedPair(r), e, l.steadyMS(now)); same || !(e.Known() || (exists && r.Harmful)) {
			continue
		}
		out = append(out, domain.ImagePair{
			Suffers: pair.Suffers, Beside: pair.Beside, Thousands: int64(math.Round(1000 * e.Factor)), Hundreds: max(1, int64(math.Round(100*e.Samples))),
			Harmful: harmful,
		})
	}
	if len(out) == 0 {
		return
	}
	slices.SortFunc(out, func(a, b domain.ImagePair) int {
		return cmp.Or(cmp.Compare(b.Hundreds, a.Hundreds), cmp.Compare(a.Suffers, b.Suffers), cmp.Compare(a.Beside, b.Beside))
	})
	l.interference.inFlight = true
	l.propose(now, domain.Command{Interference: &domain.RecordInterference{Pairs: out}})
}

// pairDiffers reports whether an estimate says something else than a record, or is much surer.
func pairDiffers(r, e interference.Estimate, nowMS int64) bool {
	return math.Abs(math.Log(e.Factor/r.Factor)) > math.Log(1+recordChange) || e.Samples > recordGain*r.WeightAt(nowMS)
}

// interferenceApplied notes that a command with pairs is applied.
func (l *Leader) interferenceApplied() {
	if l.interference != nil {
		l.interference.inFlight = false
	}
}

// sampleNeighbours takes samples from the lists of a worker: of the tail latencies of serving attempts and of the progress of
// ordinary ones. It must be called before the lists change paces.
func (l *Leader) sampleNeighbours(now Time, s *session, w *domain.Worker, r Reply) {
	if l.interference == nil || !l.hasImages {
		return
	}
	if len(r.Ended) > 0 {
		s.changedAt = now.Mono
	}
	tasks, ok := l.working(now, s, w)
	if !ok {
		return
	}
	for _, t := range r.Running {
		a := l.listedCurrent(w, t.Task, t.Attempt)
		if a == nil {
			continue
		}
		step := l.stepOf(a)
		switch {
		case pairImage(step) == "" || step.BestEffort:
		case step.LatencyTargetMS > 0:
			l.sampleLatency(now, w, a, t.Load, without(tasks, step.Image))
		case !step.LongRunning && r.ClockMS != 0:
			l.sampleRunTime(now, w, a, r.ClockMS, t.Percent, without(tasks, step.Image))
		}
	}
}

// working returns how many tasks of each image work on a worker, each counted with its pace. It returns false if that has
// changed within latencyWindow, or is not known.
func (l *Leader) working(now Time, s *session, w *domain.Worker) (map[string]float64, bool) {
	since := now.Mono - latencyWindow
	if s.changedAt > 0 && s.changedAt > since {
		return nil, false
	}
	out := map[string]float64{}
	for id := range w.Attempts() {
		a := l.attempts[id]
		if a == nil || a.endListedAt != 0 {
			continue
		}
		if !a.startConfirmed || a.stopWanted || a.confirmedAt > since {
			return nil, false
		}
		step := l.stepOf(a)
		pace := paceFull
		if step.BestEffort {
			if pace = a.paceConfirmed; a.paceInFlight || pace != a.pace || a.pacedAt > since {
				return nil, false
			}
		}
		if image := pairImage(step); image != "" {
			out[image] += float64(pace) / paceFull
		}
	}
	return out, true
}

// pairImage returns the image of a step, empty if it cannot be recorded: a command with a name that is not UTF-8 is refused.
func pairImage(step *domain.Step) string {
	if len(step.Image) > domain.MaxPairImage || !utf8.ValidString(step.Image) {
		return ""
	}
	return step.Image
}

// without returns the neighbours of one task of an image.
func without(tasks map[string]float64, image string) []interference.Neighbour {
	out := make([]interference.Neighbour, 0, len(tasks))
	for other, n := range tasks {
		if other == image {
			n--
		}
		if n > 0 {
			out = append(out, interference.Neighbour{Image: other, Tasks: n})
		}
	}
	slices.SortFunc(out, func(a, b interference.Neighbour) int { return cmp.Compare(a.Image, b.Image) })
	return out
}

// relativeSpeed returns the logarithm of the speed of a worker, false if it is not known well enough to compare run times.
// Without an estimate of speeds, all workers count as equal.
func (l *Leader) relativeSpeed(w *domain.Worker) (float64, bool) {
	if l.speeds == nil {
		return 0, true
	}
	relative, standardError := l.speedOf(w)
	if relative <= 0 || standardError > exactSpeed {
		return 0, false
	}
	return math.Log(relative), true
}

// sampleLatency takes a sample of the tail latency of a serving attempt. One whose worker's speed is not known is compared with
// itself at other times above all.
func (l *Leader) sampleLatency(now Time, w *domain.Worker, a *attemptState, tailMS int64, beside []interference.Neighbour) {
	x := &a.neighbours
	elapsed := now.Mono - max(x.at, a.confirmedAt)
	if tailMS <= 0 || elapsed < leastSampleTime {
		return
	}
	x.at = now.Mono
	if x.speedLog == nil { // It stays, so that a speed that becomes known later does not seem to be a change of the latency.
		speedLog, _ := l.relativeSpeed(w)
		x.speedLog = &speedLog
	}
	l.addNeighbourSample(interference.Sample{
		Image: l.stepOf(a).Image, Serving: true, Group: a.task.String(), Neighbours: beside, Log: math.Log(float64(tailMS)) + *x.speedLog,
		Weight: min(1, elapsed.Seconds()/fullSampleTime.Seconds()), AtMS: l.steadyMS(now),
	})
}

// sampleRunTime takes a sample of the run time per percent of an ordinary attempt since its neighbours last changed, compared
// with those of its siblings on workers of known speed.
func (l *Leader) sampleRunTime(now Time, w *domain.Worker, a *attemptState, clockMS int64, percent int, beside []interference.Neighbour) {
	x := &a.neighbours
	if a.sample.restored || percent <= 0 || percent >= nearlyDone {
		return
	}
	gained, ran := percent-x.percent, clockMS-x.clockMS
	if x.clockMS == 0 || gained < 0 || ran <= 0 || !slices.Equal(x.neighbours, beside) {
		x.clockMS, x.percent, x.neighbours = clockMS, percent, beside
		return
	}
	if gained < leastGained {
		return
	}
	x.clockMS, x.percent = clockMS, percent
	speedLog, known := l.relativeSpeed(w)
	if !known || l.stepOf(a).Count < leastSiblings {
		return
	}
	l.addNeighbourSample(interference.Sample{
		Image: l.stepOf(a).Image, Group: a.task.StepName(), Neighbours: beside, Log: math.Log(float64(ran)/float64(gained)) + speedLog,
		Weight: min(1, float64(gained)/100+0.1), AtMS: l.steadyMS(now),
	})
}

func (l *Leader) addNeighbourSample(s interference.Sample) {
	if l.interference.estimator.Add(s) {
		l.interference.sampled = true
	}
}

// harmBeside returns the highest factor by which an image is known to suffer beside the others on a worker, and that by which
// it makes one of them suffer.
func (l *Leader) harmBeside(w *domain.Worker, self domain.TaskID, image string) (suffers, causes float64) {
	if l.interference == nil || len(l.interference.harmful) == 0 || image == "" {
		return 0, 0
	}
	for id := range w.Attempts() {
		j := l.state.Job(id.Job)
		if id == self || j == nil {
			continue
		}
		other := j.Spec.Steps[id.Step].Image
		suffers = max(suffers, l.interference.harmful[image][other])
		causes = max(causes, l.interference.harmful[other][image])
	}
	return suffers, causes
}

// crowded tells whether an attempt has a neighbour that is known to slow it down.
func (l *Leader) crowded(a *attemptState, w *domain.Worker) bool {
	suffers, _ := l.harmBeside(w, a.task, l.stepOf(a).Image)
	return suffers > 0
}

// paceFromStart lowers the pace of a best-effort attempt that has just started beside a serving one that it is known to slow
// down: to the share of its time with which it does about the harm of a factor of leastPacedFactor. The latencies that the
// worker lists afterwards adjust the pace.
func (l *Leader) paceFromStart(now Time, w *domain.Worker, a *attemptState) {
	if l.interference == nil || len(l.interference.harmful) == 0 || !l.bestEffort(a) || a.stopWanted {
		return
	}
	worst := 0.0
	for id := range w.Attempts() {
		if b := l.attempts[id]; b != nil && l.serving(b) {
			worst = max(worst, l.interference.harmful[l.stepOf(b).Image][l.stepOf(a).Image])
		}
	}
	if worst <= leastPacedFactor {
		return
	}
	share := math.Log(leastPacedFactor) / math.Log(worst)
	l.setPace(now, w, a, max(paceMin, int(share*paceFull)/paceStep*paceStep))
}

// placedApart returns how an attempt was placed for the metric: beside an image with which it is known to do or to suffer harm,
// or apart from all such images. It is empty for an image of which no harm is known.
func (l *Leader) placedApart(w *domain.Worker, id domain.TaskID) string {
	if l.interference == nil || w == nil {
		return ""
	}
	image := l.state.Job(id.Job).Spec.Steps[id.Step].Image
	if len(l.interference.harms[image]) == 0 {
		return ""
	}
	if suffers, causes := l.harmBeside(w, id, image); suffers > 0 || causes > 0 {
		return "beside"
	}
	return "apart"
}
