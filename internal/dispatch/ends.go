package dispatch

import (
	"cmp"
	"maps"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// newEnds returns the listed ends that are not committed yet and matter to the domain, in the worker's order. It adds the
// ended attempts to listed, so that they do not count as absent. The end of an attempt counts whatever its number is: a worker
// whose numbers repeat or go back would otherwise seem to have lost what it has done.
func (l *Leader) newEnds(now Time, w *domain.Worker, s *session, r Reply, listed map[listedAttempt]bool) []domain.AttemptEnd {
	var ends []domain.AttemptEnd
	for _, e := range r.Ended {
		if a := l.attempts[e.Task]; a != nil && a.number == e.Attempt && a.incarnation == s.incarnation {
			listed[listedAttempt{e.Task, e.Attempt}] = true
			l.noteOutcome(now, s, a, e)
		} else if e.Number > w.Cursor {
			l.options.Log("end_not_current", "job", e.Task.Job, "task", e.Task.String(), "attempt", e.Attempt, "worker", s.incarnation.ID,
				"outcome", e.Outcome.String(), "number", e.Number)
		} else {
			continue
		}
		if l.state.EndMatters(s.incarnation, e.AttemptEnd) {
			ends = append(ends, e.AttemptEnd)
		}
	}
	return ends
}

// noteOutcome handles the end of an attempt when it is first listed. After a failure the worker is avoided for a while.
func (l *Leader) noteOutcome(now Time, s *session, a *attemptState, e EndedTask) {
	if a.endListedAt != 0 {
		return
	}
	a.endListedAt = now.Mono
	switch e.Outcome {
	case domain.OutcomeDone:
		s.failedInARow, s.avoidUntil, s.doneAt = 0, 0, now.Mono
		clear(s.failedGangs)
	case domain.OutcomeFailed:
		l.attemptFailed(now, s, a)
	}
}

// absentAttempts returns the ends of attempts that the worker does not list although it confirmed their start or stop
// before the call was sent: they are over. A worker that has confirmed a start and shows nothing of it is avoided for a while.
func (l *Leader) absentAttempts(now Time, w *domain.Worker, s *session, p pendingCall, listed map[listedAttempt]bool) []domain.AttemptEnd {
	var out []domain.AttemptEnd
	vanished, begun := false, false
	for id, attempt := range w.Attempts() {
		a := l.attempts[id]
		if a == nil || listed[listedAttempt{id, attempt}] || !(a.startConfirmed || a.stopConfirmed) || a.confirmedAt >= p.sentAt || (a.stopWanted && !a.stopConfirmed) {
			continue
		}
		out = append(out, domain.AttemptEnd{Task: id, Attempt: attempt, Outcome: domain.OutcomeAbsent, Checkpoint: a.checkpoint})
		vanished = vanished || (a.startConfirmed && !a.stopWanted)
		begun = begun || a.startConfirmed
	}
	if begun && !s.endsInFlight {
		l.reportBegun(now)
	}
	if vanished && !s.endsInFlight {
		s.avoid(now.Mono)
	}
	return out
}

// noteCommittedEnd logs and counts the end of an attempt. It is counted when it is committed and not when it is listed: an
// end may be listed several times, and to several leaders, until then.
func (l *Leader) noteCommittedEnd(now Time, incarnation domain.WorkerIncarnation, e domain.AttemptEnd) {
	a := l.attempts[e.Task]
	if a == nil || a.number != e.Attempt || a.incarnation != incarnation {
		return
	}
	l.noteVacatedUse(now, a)
	l.logEnd(l.state.Job(e.Task.Job), incarnation, e, cmp.Or(a.endListedAt, now.Mono)-a.adoptedAt, a.reason)
}

// logEnd logs and counts the end of an attempt.
func (l *Leader) logEnd(j *domain.Job, incarnation domain.WorkerIncarnation, e domain.AttemptEnd, ran time.Duration, reason string) {
	l.options.Observer.AttemptEnded(e.Outcome, ran)
	if e.Outcome == domain.OutcomeLost {
		return // Logged by noteLost, with the cause.
	}
	l.options.Log("attempt_ended", "job", e.Task.Job, "task", e.Task.String(), "attempt", e.Attempt, "worker", incarnation.ID,
		"outcome", e.Outcome.String(), "ran_ms", ran.Milliseconds(), "failed_runs", j.Task(l.gangKey(e.Task)).Failures, "max_attempts", j.Spec.MaxAttempts,
		"reason", reason)
}

// attemptEnded handles the committed end of an attempt. It drops the state of a task that is on no worker any more, and
// stops the remaining attempts of a job that has ended, or of a task that an earlier attempt has completed.
func (l *Leader) attemptEnded(now Time, e domain.AttemptEnd) {
	id := e.Task
	j := l.state.Job(id.Job)
	if j == nil || j.Task(id) == nil { // An entry of the log may name any task.
		l.forgetAttempt(id)
		return
	}
	if !j.Task(id).Assigned() {
		l.forgetAttempt(id)
	}
	if a := l.attempts[id]; a != nil && e.Outcome == domain.OutcomeDone && e.Attempt < a.number && j.Task(id).Done {
		l.options.Log("attempt_not_needed", "job", id.Job, "task", id.String(), "attempt", a.number, "worker", a.incarnation.ID, "done_by", e.Attempt)
		l.abandon(a, reasonDone)
	}
	if j.State.Final() {
		if j.State != domain.JobCompleted { // The members of a completed gang end by themselves.
			l.stopJob(id.Job, j.State.String())
		}
	} else if t := j.Task(id); !t.Assigned() && !t.Done {
		l.readySinceMS[keyOf(id)] = now.WallMS
	}
}

// AppliedBefore logs and counts what a command has ended that was applied after the host was elected and before this
// leadership began. The leader that proposed it may have ended before it was committed.
func (l *Leader) AppliedBefore(c *domain.Command) {
	switch {
	case c.End != nil:
		for _, e := range c.End.Ends {
			j := l.state.Job(e.Task.Job)
			if j == nil {
				continue
			}
			if t := j.Task(e.Task); t != nil && t.Attempt == e.Attempt && !t.Assigned() {
				l.logEnd(j, c.End.Worker, e, milliseconds(c.AtMS-t.StartedMS), "")
			}
			l.noteEndedJob(c, e.Task.Job)
		}
	case c.Cancel != nil:
		l.noteEndedJob(c, c.Cancel.Job)
	}
}

// noteEndedJob logs and counts the end of a job, once, if it was this command that ended it. Attempts of the job may end later.
func (l *Leader) noteEndedJob(c *domain.Command, id domain.JobID) {
	j := l.state.Job(id)
	if j == nil || !j.State.Final() || j.EndedMS != c.AtMS || l.endedJobs[id] {
		return
	}
	l.endedJobs[id] = true
	age := j.EndedMS - j.AcceptedMS
	l.options.Observer.JobEnded(j.State, milliseconds(age))
	l.options.Log("job_ended", "job", j.Spec.ID, "state", j.State.String(), "age_ms", age, "failed_runs", j.FailedRuns(), "max_attempts", j.Spec.MaxAttempts)
	l.forgetJob(j)
}

// forgetJob drops what is kept for the planning of a job.
func (l *Leader) forgetJob(j *domain.Job) {
	delete(l.criticalPathsMS, j.Spec.ID)
	delete(l.excess.jobs, j.Spec.ID)
	l.adviceCache.forget(j)
	maps.DeleteFunc(l.stalls, func(id domain.TaskID, _ int) bool { return id.Job == j.Spec.ID })
	maps.DeleteFunc(l.reclaims, func(id domain.TaskID, _ int) bool { return id.Job == j.Spec.ID })
	for k := range j.Occurrences {
		for s := range j.Spec.Steps {
			delete(l.readySinceMS, stepKey{j.Spec.ID, k, s})
		}
	}
}

// noteLost logs an attempt whose task is taken back without an answer from its worker.
func (l *Leader) noteLost(now Time, a *attemptState, cause string) {
	l.options.Log("attempt_lost", "job", a.task.Job, "task", a.task.String(), "attempt", a.number, "worker", a.incarnation.ID, "cause", cause,
		"confirmed", a.startConfirmed, "adopted_ms", (now.Mono - a.adoptedAt).Milliseconds())
}
