package dispatch

import (
	"math"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// reasonDraining is why attempts are stopped that would be cut short by the end of their worker.
const reasonDraining = "its worker ends before it"

// WorkerDrains handles the report of a draining worker that ends in a certain time at the earliest. The next lists of the
// worker show what cannot finish by then.
func (l *Leader) WorkerDrains(now Time, incarnation domain.WorkerIncarnation, left time.Duration) {
	s := l.session(incarnation, now)
	s.leavesAt, s.holdNow = now.Mono+left, true
	l.mayNeedHold(s)
}

// handOver stops the attempts on a draining worker that cannot finish there, so that they continue elsewhere from a
// checkpoint. Otherwise they would end with the worker, and if the worker cannot say that it has ended, their tasks would
// wait for the end of its lease.
func (l *Leader) handOver(now Time, s *session, w *domain.Worker) {
	if s.leavesAt == 0 {
		return
	}
	for id := range w.Attempts() {
		if a := l.attempts[id]; a != nil && a.startConfirmed && !a.stopWanted && l.remaining(now, a) > s.leavesAt-now.Mono {
			l.abandon(a, reasonDraining)
		}
	}
}

// minProgress is the progress in percent from which on it tells the run time of an attempt. Below, it gives a lower bound.
const minProgress = 10

// remaining estimates how much longer an attempt runs whose progress was just listed.
func (l *Leader) remaining(now Time, a *attemptState) time.Duration {
	j := l.state.Job(a.task.Job)
	if j == nil {
		return 0
	}
	step := &j.Spec.Steps[a.task.Step]
	if step.LongRunning {
		return math.MaxInt64
	}
	byQueue := milliseconds(l.runTimeMS(j, step) + j.Task(a.task).StartedMS - now.WallMS)
	if a.inherited {
		return byQueue // The progress includes that of an earlier leadership.
	}
	byProgress := (now.Mono - a.adoptedAt) * time.Duration(100-a.percent) / time.Duration(max(a.percent, minProgress))
	if a.percent >= minProgress {
		return byProgress
	}
	return max(byQueue, byProgress)
}
