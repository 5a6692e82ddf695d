package cell

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// idlePlanInterval is the period of scheduling passes while no job is queued.
const idlePlanInterval = time.Second

// schedule runs a scheduling pass if one is due and no command of an earlier plan is in flight.
func (d *dispatcher) schedule(now time.Duration) {
	if d.suspended || len(d.planned) > 0 {
		return
	}
	if !d.planNow && now < d.nextPlan {
		return
	}
	d.planNow = false
	d.nextPlan = now + d.cell.options.Timing.ScheduleEvery
	plan := d.scheduler.Tick(now)
	for _, e := range plan.JobEnds {
		d.finishQueued(e)
	}
	for _, p := range plan.Placements {
		d.place(now, p)
	}
	for _, p := range plan.Preemptions {
		d.preempt(now, p)
	}
	if len(d.planned) == 0 && len(d.tables.QueuedWorkspaces()) == 0 {
		d.nextPlan = now + idlePlanInterval
	}
}

// planSoon makes the next scheduling pass due within ScheduleEvery, also while no job is queued.
func (d *dispatcher) planSoon(now time.Duration) {
	d.nextPlan = min(d.nextPlan, now+d.cell.options.Timing.ScheduleEvery)
}

func (d *dispatcher) finishQueued(e system.JobEnd) {
	if j := d.tables.Job(e.Job); j == nil || j.State != table.JobQueued || d.planned[e.Job] {
		return
	}
	d.planned[e.Job] = true
	d.cell.propose(Command{FinishQueued: &FinishQueued{Job: e.Job, Outcome: e.Outcome, Message: e.Reason}})
}

// place proposes an attempt. Once the host has been isolated for IsolationLimit, no attempt is placed on borrowed
// accelerators.
func (d *dispatcher) place(now time.Duration, p system.Placement) {
	j := d.tables.Job(p.Job)
	if j == nil || j.State != table.JobQueued || d.tables.Service.Out || len(p.Members) != j.Shape.Gang {
		return
	}
	if p.Borrowed && d.cell.isolated && now-d.cell.isolatedSince >= d.cell.options.Timing.IsolationLimit {
		return
	}
	a := table.Attempt{ID: attemptID(j), Job: j.ID, Epoch: d.epoch, Accelerators: j.Shape.Accelerators,
		Borrowed: p.Borrowed}
	for _, id := range p.Members {
		w := d.tables.Worker(id)
		if w == nil || w.Lost || w.Leaving || (w.Quarantined && !p.Probe) {
			return
		}
		a.Members = append(a.Members, table.MemberPlacement{Worker: w.ID, Incarnation: w.Incarnation, Address: w.Address})
	}
	if d.planned[a.ID] || d.planned[j.ID] {
		return
	}
	d.planned[a.ID] = true
	d.cell.propose(Command{PlaceAttempt: &PlaceAttempt{Attempt: a}})
}

// attemptPlaced begins to start an attempt whose placement is committed. An attempt of an earlier epoch is stopped.
func (d *dispatcher) attemptPlaced(now time.Duration, id string) {
	delete(d.planned, id)
	a := d.tables.Attempt(id)
	if a == nil || d.attempts[id] != nil {
		return
	}
	r := d.trackAttempt(now, a)
	if a.Epoch != d.epoch {
		d.fence(now, r)
		return
	}
	if d.tables.Job(a.Job).Cancelled {
		d.abort(now, r, "cancelled")
		return
	}
	d.step(now, r)
}

// attemptEnded acknowledges the results of an attempt whose end is committed, and reports the end to the scheduler.
func (d *dispatcher) attemptEnded(now time.Duration, e effect) {
	if !e.changed {
		return
	}
	if r := d.attempts[e.attempt.ID]; r != nil {
		d.untrackAttempt(r)
		for i := range r.members {
			for _, id := range r.members[i].waiters {
				d.reply(id, ackOf(endpoint.Ack{Accepted: true}))
			}
		}
	}
	c := e.command.EndAttempt
	report := system.AttemptReport{Job: e.job, Workers: workersOf(e.attempt), FailedWorkers: slices.Concat(c.FailedWorkers, c.AlsoFailed),
		Succeeded: c.Outcome == endpoint.OutcomeSucceeded}
	if e.attempt.State == table.AttemptRunning {
		report.RunTime = now - e.attempt.RunningAt
	}
	d.scheduler.AttemptEnded(now, report)
	if j := d.tables.Job(e.job.ID); j != nil && j.State == table.JobQueued {
		d.watchDeadline(j)
	}
	d.planSoon(now)
}
