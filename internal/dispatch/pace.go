package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Best-effort tasks (Step.BestEffort) use the processor time that the other tasks on their worker leave unused. They
// slow down tasks with a latency target, by how much is known only from the tail latencies that the worker lists. All
// best-effort tasks on a worker are slowed down as soon as a tail latency nears its target, and sped up again step by
// step. The pace of a task is the percentage of its time for which it works.
const (
	// sharedHoldWait is the wait of the holds at workers on which best-effort tasks run beside tasks with a latency
	// target. The latencies that a worker lists are those of the last half second.
	sharedHoldWait = 600 * time.Millisecond
	tailHigh       = 0.85 // Share of its target above which a tail latency counts as too long.
	tailLow        = 0.6  // Share of their targets below which all tail latencies must be for the pace to rise.
	paceFull       = 100  // Percent. The pace of an attempt when it starts.
	paceStep       = 10   // Percent by which the pace rises after a hold.
	// paceUnknown is the confirmed pace of an attempt that an earlier leader has started.
	paceUnknown = -1
	// paceInherited is the pace from which such an attempt goes on beside tasks with a latency target: the earlier leader may
	// have had reason to slow it down.
	paceInherited = paceFull / 2
	// paceMin is the lowest pace above 0, in percent. A pace that would be lower becomes 0, since a tail latency that is
	// still too long then is treated like one over its target.
	paceMin = 10
)

// bestEffort and serving tell whether an attempt is a best-effort one, and whether it has a latency target.
func (l *Leader) bestEffort(a *attemptState) bool { return l.stepOf(a).BestEffort }
func (l *Leader) serving(a *attemptState) bool    { return l.stepOf(a).LatencyTargetMS > 0 }

// stepOf returns the step of an attempt, an empty one if its job is gone.
func (l *Leader) stepOf(a *attemptState) *domain.Step {
	if j := l.state.Job(a.task.Job); j != nil {
		return &j.Spec.Steps[a.task.Step]
	}
	return &domain.Step{}
}

// shared tells whether a worker has both best-effort attempts and attempts with a latency target.
func (l *Leader) shared(w *domain.Worker) bool {
	if !l.hasBestEffort {
		return false
	}
	bestEffort, serving := false, false
	for id := range w.Attempts() {
		if a := l.attempts[id]; a != nil {
			bestEffort = bestEffort || l.bestEffort(a)
			serving = serving || l.serving(a)
		}
	}
	return bestEffort && serving
}

// noteBestEffort notes whether any open job has best-effort tasks, at the beginning of a leadership and when work waits. If
// none has, shared, sharing and adjustPace return at once.
func (l *Leader) noteBestEffort() {
	l.hasBestEffort = false
	for j := range l.openJobs() {
		for i := range j.Spec.Steps {
			l.hasBestEffort = l.hasBestEffort || j.Spec.Steps[i].BestEffort
		}
	}
}

// sharing returns how many tasks on a worker have a latency target, and the processor time that its best-effort tasks
// ask for.
func (l *Leader) sharing(w *domain.Worker) (serving int, bestEffortCPU int64) {
	if !l.hasBestEffort {
		return 0, 0
	}
	for id := range w.Attempts() {
		step := &l.state.Job(id.Job).Spec.Steps[id.Step]
		if step.LatencyTargetMS > 0 {
			serving++
		}
		if step.BestEffort {
			bestEffortCPU += step.Task.CPU
		}
	}
	return serving, bestEffortCPU
}

// inheritPaces prepares the best-effort attempts that earlier leaders have started. Workers do not list paces, so each gets
// one with the next list of its worker.
func (l *Leader) inheritPaces() {
	l.noteBestEffort()
	for _, w := range l.state.Workers() {
		serving, _ := l.sharing(w)
		for id := range w.Attempts() {
			a := l.attempts[id]
			if !l.bestEffort(a) {
				continue
			}
			a.paceConfirmed = paceUnknown
			if serving > 0 {
				a.pace = paceInherited
			}
		}
	}
}

// adjustPace sets the pace of the best-effort attempts on a worker after a hold has listed its latencies.
func (l *Leader) adjustPace(now Time, w *domain.Worker) {
	if !l.hasBestEffort {
		return
	}
	worst := 0.0
	var bestEffort []*attemptState
	for id := range w.Attempts() {
		a := l.attempts[id]
		switch {
		case a == nil || !a.startConfirmed || a.stopWanted:
		case l.bestEffort(a):
			bestEffort = append(bestEffort, a)
		case l.serving(a):
			worst = max(worst, float64(a.load)/float64(l.stepOf(a).LatencyTargetMS))
		}
	}
	for _, a := range bestEffort {
		if next := nextPace(a.pace, worst); next != a.pace || a.paceConfirmed != a.pace {
			l.setPace(now, w, a, next)
		}
	}
}

// nextPace returns the next pace of best-effort attempts, given the highest tail latency on their worker as a share of
// its target.
func nextPace(pace int, worst float64) int {
	switch {
	case worst > 1:
		return 0
	case worst > tailHigh && pace/2 < paceMin:
		return 0
	case worst > tailHigh:
		return pace / 2
	case worst < tailLow:
		return min(paceFull, pace+paceStep)
	}
	return pace
}

// setPace sends a pace to an attempt. One such call is in flight for an attempt at a time; one that the worker did not
// confirm is repeated after the next hold.
func (l *Leader) setPace(now Time, w *domain.Worker, a *attemptState, pace int) {
	if a.paceInFlight {
		return
	}
	if (pace == 0) != (a.pace == 0) {
		l.options.Log("attempt_paced", "job", a.task.Job, "task", a.task.String(), "attempt", a.number, "worker", w.Incarnation.ID,
			"percent", pace, "before", a.pace)
	}
	a.pace, a.paceInFlight = pace, true
	l.sendCall(now, w, Call{Kind: CallPace, Task: a.task, Attempt: a.number, Percent: pace})
}

// paceAnswered handles the answer to a CallPace.
func (l *Leader) paceAnswered(now Time, a *attemptState, p pendingCall, r Reply) {
	a.paceInFlight = false
	if r.Status == OK {
		if a.paceConfirmed != p.call.Percent {
			a.pacedAt = now.Mono
		}
		a.paceConfirmed = p.call.Percent
	}
}
