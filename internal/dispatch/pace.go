package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Tasks that fill get what the others on their worker leave unused, and disturb those that serve by amounts that are known
// only from the tails that the worker lists. They are paced down as a whole as soon as a tail nears its target, and let
// up again step by step.
const (
	// sharedLook is the wait of the holds at workers on which work that fills runs beside work that serves. The figures of a
	// worker are those of the last half second.
	sharedLook = 600 * time.Millisecond
	tailHigh   = 0.85 // Share of its target from which on a tail counts as too long.
	tailLow    = 0.6  // Share of its target up to which work that fills is let up.
	paceFull   = 100  // Percent; the pace of an attempt when it starts.
	paceUp     = 10   // Percent by which work that fills is let up at each look.
	paceLeast  = 10   // Below it, work that fills stands still: a tail that stays long is over its target already.
)

// fills and serves tell what an attempt does on its worker.
func (l *Leader) fills(x *order) bool  { return l.stepOf(x).Fills }
func (l *Leader) serves(x *order) bool { return l.stepOf(x).TargetMS > 0 }

// stepOf returns the step of an order, an empty one if its job is gone.
func (l *Leader) stepOf(x *order) *domain.Step {
	if j := l.m.Job(x.task.Job); j != nil {
		return &j.Spec.Steps[x.task.Step]
	}
	return &domain.Step{}
}

// shared tells whether work that fills and work that serves run on a worker.
func (l *Leader) shared(w *domain.Worker) bool {
	if !l.filling {
		return false
	}
	fills, serves := false, false
	for id := range w.Attempts() {
		if x := l.orders[id]; x != nil {
			fills = fills || l.fills(x)
			serves = serves || l.serves(x)
		}
	}
	return fills && serves
}

// watchSharing notes whether any work that fills is open. Without it, nothing of this file costs time.
func (l *Leader) watchSharing() {
	l.filling = false
	for _, j := range l.m.Open() {
		for i := range j.Spec.Steps {
			l.filling = l.filling || j.Spec.Steps[i].Fills
		}
	}
}

// sharing returns how many tasks on a worker serve, and the processor time that tasks which fill ask for.
func (l *Leader) sharing(w *domain.Worker) (serving int, fillCPU int64) {
	if !l.filling {
		return 0, 0
	}
	for id := range w.Attempts() {
		step := &l.m.Job(id.Job).Spec.Steps[id.Step]
		if step.TargetMS > 0 {
			serving++
		}
		if step.Fills {
			fillCPU += step.Task.CPU
		}
	}
	return serving, fillCPU
}

// pace sets the pace of the work that fills on a worker after a look at it.
func (l *Leader) pace(now Time, w *domain.Worker) {
	if !l.filling {
		return
	}
	worst := 0.0
	var filling []*order
	for id := range w.Attempts() {
		x := l.orders[id]
		switch {
		case x == nil || !x.started || x.stop:
		case l.fills(x):
			filling = append(filling, x)
		case l.serves(x):
			worst = max(worst, float64(x.load)/float64(l.stepOf(x).TargetMS))
		}
	}
	for _, x := range filling {
		if next := nextPace(x.pace, worst); next != x.pace || x.paceSent != x.pace {
			l.setPace(now, w, x, next)
		}
	}
}

// nextPace returns the pace of work that fills beside work whose tails are at most a share of their targets.
func nextPace(pace int, worst float64) int {
	switch {
	case worst > 1:
		return 0
	case worst > tailHigh && pace/2 < paceLeast:
		return 0
	case worst > tailHigh:
		return pace / 2
	case worst < tailLow:
		return min(paceFull, pace+paceUp)
	}
	return pace
}

// setPace orders a pace. One order for an attempt is under way at a time; one without an answer is repeated at the next look.
func (l *Leader) setPace(now Time, w *domain.Worker, x *order, pace int) {
	if x.pacing {
		return
	}
	if (pace == 0) != (x.pace == 0) {
		l.o.Log("attempt_paced", "job", x.task.Job, "task", x.task.String(), "attempt", x.attempt, "worker", w.Life.ID,
			"percent", pace, "before", x.pace)
	}
	x.pace, x.pacing = pace, true
	l.call(now, w, Call{Kind: CallPace, Task: x.task, Attempt: x.attempt, Percent: pace})
}

// paced takes the answer to an order of pace.
func (l *Leader) paced(x *order, p pending, r Reply) {
	x.pacing = false
	if r.Status == OK {
		x.paceSent = p.call.Percent
	}
}
