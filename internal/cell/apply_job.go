package cell

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// applySubmit accepts a job. A job that this zone has handed over is accepted again only from a later hand-over: each
// hand-over counts as an attempt, so a resent message of an earlier hand-over has a lower number of attempts.
func (m *stateMachine) applySubmit(now time.Duration, index uint64, c *Submit, e *effect) {
	j := c.Job
	if _, refused := m.tombstones[j.ID]; refused || m.tables.Workspace(j.Workspace) == nil {
		return
	}
	old := m.tables.Job(j.ID)
	if other := m.tables.JobByKey(j.Workspace, j.Key); other != nil && other != old {
		return
	}
	if old != nil {
		if old.State != table.JobHandedOver || j.AttemptCount <= old.AttemptCount {
			return
		}
		if old.HandOverCommitted {
			m.removeEnded(old)
		}
		j.HandedTo = old.HandedTo // The zone that the job was last handed to; see handBackDelay.
		m.tables.RemoveJob(old.ID)
	} else {
		j.HandedTo = ""
	}
	j.State, j.Sequence, j.AppliedAt = table.JobQueued, index, now
	j.Attempt, j.Answer, j.Cancelled, j.HandOverCommitted = "", nil, false, false
	m.tables.AddJob(&j)
	e.changed, e.job = true, &j
}

func (m *stateMachine) applyRefuse(c *Refuse, e *effect) {
	if j := m.tables.Job(c.Job); j != nil && j.State != table.JobHandedOver {
		return
	}
	m.addTombstone(tombstone{Job: c.Job, Refused: true})
	e.changed = true
}

func (m *stateMachine) applyFinishQueued(now time.Duration, c *FinishQueued, e *effect) {
	j := m.tables.Job(c.Job)
	if j == nil || j.State != table.JobQueued {
		return
	}
	m.endJob(now, j, &table.Answer{Outcome: c.Outcome, Message: c.Message}, e)
}

func (m *stateMachine) applyCancel(now time.Duration, c *Cancel, e *effect) {
	j := m.tables.Job(c.Job)
	if j == nil {
		return
	}
	switch j.State {
	case table.JobQueued:
		m.endJob(now, j, &table.Answer{Outcome: table.JobCancelled}, e)
	case table.JobPlaced, table.JobRunning:
		j.Cancelled = true
		e.changed, e.job = true, j
	}
}

// endJob ends a job that has no live attempt.
func (m *stateMachine) endJob(now time.Duration, j *table.Job, a *table.Answer, e *effect) {
	a.Attempt = j.Attempt
	a.NeverRan = !j.MayHaveRun
	j.Answer, j.EndedAt = a, now
	m.tables.SetJobState(j, table.JobEnded)
	m.addEnded(j)
	e.changed, e.job = true, j
	e.endedJobs = append(e.endedJobs, j.ID)
}

func (m *stateMachine) applyUpdateHandOver(now time.Duration, c *UpdateHandOver, e *effect) {
	j := m.tables.Job(c.Job)
	if j == nil {
		return
	}
	if !c.Accepted && !c.Refused {
		m.beginHandOver(j, c, e)
		return
	}
	if j.State != table.JobHandedOver || j.HandOverCommitted || j.HandedTo != c.Zone {
		return
	}
	e.changed, e.job = true, j
	if c.Accepted {
		j.HandOverCommitted, j.EndedAt = true, now
		m.addEnded(j)
		return
	}
	m.tables.SetJobState(j, table.JobQueued)
	if m.tables.Workspace(j.Workspace) == nil {
		m.endJob(now, j, &table.Answer{Outcome: table.JobCancelled, Message: workspaceDeleted}, e)
	}
}

// beginHandOver marks a queued job as handed over. The hand-over counts as an attempt, which keeps attempt identifiers
// distinct across zones.
func (m *stateMachine) beginHandOver(j *table.Job, c *UpdateHandOver, e *effect) {
	if j.State != table.JobQueued || (j.NoRepeat && j.MayHaveRun) || j.Zone == m.zone {
		return
	}
	j.AttemptCount++
	j.HandedTo, j.HandOverCommitted = c.Zone, false
	m.tables.SetJobState(j, table.JobHandedOver)
	e.changed, e.job = true, j
}

func (m *stateMachine) applyForget(c *Forget, e *effect) {
	e.changed = true
	for _, id := range c.Jobs {
		j := m.tables.Job(id)
		if j == nil || (j.State != table.JobEnded && !(j.State == table.JobHandedOver && j.HandOverCommitted)) {
			continue
		}
		m.removeEnded(j)
		m.tables.RemoveJob(id)
		if j.NoRepeat {
			m.addTombstone(tombstone{Job: id})
		}
	}
}
