package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// place applies a placement and starts its attempt after startDelay, the time that the two phases of a start (reserve and
// start) take.
func (z *zoneRun) place(p system.Placement) {
	j := z.run.jobs[p.Job]
	job := j.job
	job.AttemptCount++
	a := &table.Attempt{
		ID: fmt.Sprintf("%s/%d", job.ID, job.AttemptCount), Job: job.ID, Accelerators: job.Shape.Accelerators,
		Borrowed: p.Borrowed, PlacedAt: z.run.now,
	}
	for _, m := range p.Members {
		a.Members = append(a.Members, table.MemberPlacement{Worker: m, Incarnation: "1"})
	}
	job.Attempt = a.ID
	z.tables.SetJobState(job, table.JobPlaced)
	z.tables.AddAttempt(a)
	z.run.after(startDelay, func() { z.start(j, a) })
}

// start starts an attempt unless it has ended, and schedules its end.
func (z *zoneRun) start(j *jobRun, a *table.Attempt) {
	if z.tables.Attempt(a.ID) != a {
		return
	}
	a.State, a.RunningAt = table.AttemptRunning, z.run.now
	z.tables.SetJobState(j.job, table.JobRunning)
	if !j.started {
		j.started, j.startedAt = true, z.run.now
	}
	z.run.metrics.start(z.run.now, j, z)
	t := j.task
	for _, m := range a.Members {
		if z.spec.Faulty[m.Worker] {
			z.run.after(faultyWorkerDelay, func() { z.failed(j, a, m.Worker) })
			return
		}
	}
	if t.Poisoned {
		z.run.after(t.FailsAfter, func() { z.failed(j, a, a.Members[0].Worker) })
		return
	}
	z.run.after(t.RunTime-j.progress, func() { z.succeeded(j, a) })
}

// close removes an attempt and reports its end to the scheduler. It returns false if the attempt has ended already.
func (z *zoneRun) close(j *jobRun, a *table.Attempt, succeeded bool, failed []string) bool {
	if z.tables.Attempt(a.ID) != a {
		return false
	}
	r := system.AttemptReport{Job: j.job, Succeeded: succeeded, FailedWorkers: failed}
	if a.State == table.AttemptRunning {
		r.RunTime = z.run.now - a.RunningAt
		z.run.metrics.worked += r.RunTime.Seconds() * float64(a.Accelerators*len(a.Members))
	}
	for _, m := range a.Members {
		if !slices.Contains(r.Workers, m.Worker) {
			r.Workers = append(r.Workers, m.Worker)
		}
	}
	z.tables.RemoveAttempt(a.ID)
	z.scheduler.AttemptEnded(z.run.now, r)
	z.requestTick()
	return true
}

func (z *zoneRun) succeeded(j *jobRun, a *table.Attempt) {
	if z.close(j, a, true, nil) {
		z.finish(j, table.JobSucceeded)
	}
}

// failed ends an attempt as the cell does: the job is tried again on other workers, unless it failed on maxFailedWorkers
// distinct ones or must not be repeated.
func (z *zoneRun) failed(j *jobRun, a *table.Attempt, worker string) {
	if !z.close(j, a, false, []string{worker}) {
		return
	}
	if !slices.Contains(j.job.FailedWorkers, worker) {
		j.job.FailedWorkers = append(slices.Clone(j.job.FailedWorkers), worker)
	}
	switch {
	case j.task.NoRepeat:
		z.finish(j, table.JobUnknown)
	case len(j.job.FailedWorkers) >= maxFailedWorkers:
		z.finish(j, table.JobFailed)
	default:
		z.requeue(j)
	}
}

// requeue puts a job back into the queue, or hands it over to another zone if this one is out of service.
func (z *zoneRun) requeue(j *jobRun) {
	z.tables.SetJobState(j.job, table.JobQueued)
	if z.tables.Service.Out {
		z.tables.SetJobState(j.job, table.JobHandedOver)
		z.tables.RemoveJob(j.job.ID)
		z.run.submit(j)
	}
}

// preempt stops an attempt after its task's StopTime or at the end of the grace, whichever comes first.
func (z *zoneRun) preempt(p system.Preemption) {
	a := z.tables.Attempt(p.Attempt)
	if a == nil || a.Stopping {
		return
	}
	a.Stopping = true
	j := z.run.jobs[a.Job]
	z.run.metrics.preemptions++
	z.run.after(min(p.Grace, j.task.StopTime), func() { z.stopped(a.ID, j.task.Checkpoint) })
}

// stopped ends an attempt that was preempted or cancelled. With a checkpoint, the run time of a preempted attempt is kept
// as progress; without one it is lost.
func (z *zoneRun) stopped(attempt string, checkpoint bool) {
	a := z.tables.Attempt(attempt)
	if a == nil {
		return
	}
	j := z.run.jobs[a.Job]
	ran := time.Duration(0)
	if a.State == table.AttemptRunning {
		ran = z.run.now - a.RunningAt
	}
	z.close(j, a, false, nil)
	switch {
	case j.job.Cancelled:
		z.finish(j, table.JobCancelled)
		return
	case checkpoint:
		j.progress += ran
	default:
		z.run.metrics.lost += ran.Seconds() * float64(a.Accelerators*len(a.Members))
	}
	if j.task.NoRepeat && ran > 0 {
		z.finish(j, table.JobUnknown)
		return
	}
	z.requeue(j)
}

// finish ends a job with an outcome.
func (z *zoneRun) finish(j *jobRun, o table.JobOutcome) {
	z.tables.SetJobState(j.job, table.JobEnded)
	z.tables.RemoveJob(j.job.ID)
	j.ended = true
	z.run.metrics.finish(z.run.now, j, o)
	z.requestTick()
}
