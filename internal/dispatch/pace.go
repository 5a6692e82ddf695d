package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Tasks that fill get what the others on their worker leave unused, and disturb those that serve by amounts that are known
// only from the tails that the worker lists. They are paced down as a whole as soon as a tail nears its target, and let
// up again step by step.
const (
	// sharedHoldWait is the wait of the holds at workers on which work that fills runs beside work that serves. The figures of a
	// worker are those of the last half second.
	sharedHoldWait = 600 * time.Millisecond
	tailHigh       = 0.85 // Share of its target from which on a tail counts as too long.
	tailLow        = 0.6  // Share of its target up to which work that fills is let up.
	paceFull       = 100  // Percent; the pace of an attempt when it starts.
	paceStep       = 10   // Percent by which work that fills is let up at each look.
	paceMin        = 10   // Below it, work that fills stands still: a tail that stays long is over its target already.
)

// bestEffort and serves tell what an attempt does on its worker.
func (l *Leader) bestEffort(a *attemptState) bool { return l.stepOf(a).Fills }
func (l *Leader) serving(a *attemptState) bool    { return l.stepOf(a).TargetMS > 0 }

// stepOf returns the step of an order, an empty one if its job is gone.
func (l *Leader) stepOf(a *attemptState) *domain.Step {
	if j := l.state.Job(a.task.Job); j != nil {
		return &j.Spec.Steps[a.task.Step]
	}
	return &domain.Step{}
}

// shared tells whether work that fills and work that serves run on a worker.
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

// noteBestEffort notes whether any work that fills is open. Without it, nothing of this file costs time.
func (l *Leader) noteBestEffort() {
	l.hasBestEffort = false
	for _, j := range l.state.Open() {
		for i := range j.Spec.Steps {
			l.hasBestEffort = l.hasBestEffort || j.Spec.Steps[i].Fills
		}
	}
}

// sharing returns how many tasks on a worker serve, and the processor time that tasks which fill ask for.
func (l *Leader) sharing(w *domain.Worker) (serving int, bestEffortCPU int64) {
	if !l.hasBestEffort {
		return 0, 0
	}
	for id := range w.Attempts() {
		step := &l.state.Job(id.Job).Spec.Steps[id.Step]
		if step.TargetMS > 0 {
			serving++
		}
		if step.Fills {
			bestEffortCPU += step.Task.CPU
		}
	}
	return serving, bestEffortCPU
}

// adjustPace sets the adjustPace of the work that fills on a worker after a look at it.
func (l *Leader) adjustPace(now Time, w *domain.Worker) {
	if !l.hasBestEffort {
		return
	}
	worst := 0.0
	var filling []*attemptState
	for id := range w.Attempts() {
		a := l.attempts[id]
		switch {
		case a == nil || !a.startConfirmed || a.stopWanted:
		case l.bestEffort(a):
			filling = append(filling, a)
		case l.serving(a):
			worst = max(worst, float64(a.load)/float64(l.stepOf(a).TargetMS))
		}
	}
	for _, a := range filling {
		if next := nextPace(a.pace, worst); next != a.pace || a.paceConfirmed != a.pace {
			l.setPace(now, w, a, next)
		}
	}
}

// nextPace returns the pace of work that fills beside work whose tails are at most a share of their targets.
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

// setPace orders a pace. One order for an attempt is under way at a time; one without an answer is repeated at the next look.
func (l *Leader) setPace(now Time, w *domain.Worker, a *attemptState, pace int) {
	if a.paceInFlight {
		return
	}
	if (pace == 0) != (a.pace == 0) {
		l.options.Log("attempt_paced", "job", a.task.Job, "task", a.task.String(), "attempt", a.number, "worker", w.Life.ID,
			"percent", pace, "before", a.pace)
	}
	a.pace, a.paceInFlight = pace, true
	l.sendCall(now, w, Call{Kind: CallPace, Task: a.task, Attempt: a.number, Percent: pace})
}

// paceAnswered takes the answer to an order of pace.
func (l *Leader) paceAnswered(a *attemptState, p pendingCall, r Reply) {
	a.paceInFlight = false
	if r.Status == OK {
		a.paceConfirmed = p.call.Percent
	}
}
