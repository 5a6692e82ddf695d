package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

const (
	// failedWorkersLimit is the number of distinct workers with a failure at which the job is not tried again.
	failedWorkersLimit = 3
	// attemptsLimit is the number of attempts at which a failed job is not tried again, so that a job that keeps
	// failing also ends in a zone with fewer workers than failedWorkersLimit.
	attemptsLimit = 20

	workspaceDeleted = "the workspace was deleted"
)

// attemptID returns the identifier of the next attempt of a job.
func attemptID(j *table.Job) string { return fmt.Sprintf("%s/%d", j.ID, j.AttemptCount+1) }

func (m *stateMachine) applyPlace(now time.Duration, c *PlaceAttempt, e *effect) {
	a := c.Attempt
	j := m.tables.Job(a.Job)
	if j == nil || j.State != table.JobQueued || m.tables.Service.Out || a.ID != attemptID(j) || len(a.Members) == 0 {
		return
	}
	for _, p := range a.Members {
		if m.tables.Leaving()[p.Worker] == p.Incarnation {
			return
		}
	}
	a.State, a.PlacedAt = table.AttemptPlaced, now
	j.Attempt = a.ID
	j.AttemptCount++
	m.tables.SetJobState(j, table.JobPlaced)
	m.tables.AddAttempt(&a)
	e.changed, e.job, e.attempt = true, j, &a
}

func (m *stateMachine) applyRunning(now time.Duration, c *MarkRunning, e *effect) {
	a := m.tables.Attempt(c.Attempt)
	if a == nil || a.State == table.AttemptRunning {
		return
	}
	j := m.tables.Job(a.Job)
	a.State, a.RunningAt = table.AttemptRunning, now
	j.MayHaveRun = true
	m.tables.SetJobState(j, table.JobRunning)
	e.changed, e.job, e.attempt = true, j, a
}

// applyEndAttempt ends an attempt. The job gets its answer, or returns to the queue if it may run again.
func (m *stateMachine) applyEndAttempt(now time.Duration, c *EndAttempt, e *effect) {
	a := m.tables.Attempt(c.Attempt)
	if a == nil {
		return
	}
	j := m.tables.Job(a.Job)
	m.tables.RemoveAttempt(a.ID)
	e.changed, e.job, e.attempt = true, j, a
	j.MayHaveRun = j.MayHaveRun || c.MayHaveRun
	for _, w := range c.FailedWorkers {
		if !slices.Contains(j.FailedWorkers, w) {
			j.FailedWorkers = append(j.FailedWorkers, w)
		}
	}
	for _, w := range c.AlsoFailed {
		if !slices.Contains(j.AlsoFailedWorkers, w) {
			j.AlsoFailedWorkers = append(j.AlsoFailedWorkers, w)
		}
	}
	if c.Checkpointed {
		j.ResumeFrom = a.ID
	}
	if answer := m.finalAnswer(j, c); answer != nil {
		m.endJob(now, j, answer, e)
		return
	}
	m.tables.SetJobState(j, table.JobQueued)
}

// finalAnswer returns the answer that the end of an attempt gives to its job, or nil if the job may run again.
func (m *stateMachine) finalAnswer(j *table.Job, c *EndAttempt) *table.Answer {
	failed := c.Outcome == endpoint.OutcomeFailed
	limitReached := len(j.FailedWorkers) >= failedWorkersLimit || j.AttemptCount >= attemptsLimit
	mustNotRepeat := j.NoRepeat && j.MayHaveRun
	switch {
	case c.Outcome == endpoint.OutcomeSucceeded:
		return &table.Answer{Outcome: table.JobSucceeded, Message: c.Message, Body: c.Body, SHA256: c.SHA256}
	case m.tables.Workspace(j.Workspace) == nil:
		return &table.Answer{Outcome: table.JobCancelled, Message: workspaceDeleted}
	case j.Cancelled:
		return &table.Answer{Outcome: table.JobCancelled, Message: c.Message}
	case failed && (mustNotRepeat || limitReached):
		return &table.Answer{Outcome: table.JobFailed, Message: c.Message, Body: c.Body, SHA256: c.SHA256}
	case mustNotRepeat:
		return &table.Answer{Outcome: table.JobUnknown, Message: c.Message}
	}
	return nil
}
