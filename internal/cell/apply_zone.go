package cell

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// applySetService changes the service state. Each accepted command increments the revision, so that of two commands
// with the same expected revision the second gets a conflict.
func (m *stateMachine) applySetService(c *SetService, e *effect) {
	if _, known := m.serviceResults[c.CommandID]; known {
		return
	}
	s := &m.tables.Service
	r := serviceResult{Command: c.CommandID}
	if c.ExpectedRevision != nil && *c.ExpectedRevision != s.Revision {
		r.Conflict = true
	} else {
		s.Out = c.Out
		s.Revision++
		e.changed = true
	}
	r.Out, r.Revision = s.Out, s.Revision
	m.addServiceResult(r)
}

func (m *stateMachine) applyAdopt(now time.Duration, c *Adopt, e *effect) {
	if c.Revision <= m.tables.Revision {
		return
	}
	m.tables.Revision = c.Revision
	e.changed = true
	for i := range c.Put {
		w := c.Put[i]
		m.tables.PutWorkspace(&w)
	}
	for _, name := range c.Remove {
		m.tables.RemoveWorkspace(name)
		m.cancelQueued(now, name, e)
	}
}

// cancelQueued ends the queued jobs of a deleted workspace as cancelled. The dispatcher stops the running ones.
func (m *stateMachine) cancelQueued(now time.Duration, workspace string, e *effect) {
	for class := range table.ClassCount {
		for _, j := range slices.Clone(m.tables.Queued(workspace, class)) {
			m.endJob(now, j, &table.Answer{Outcome: table.JobCancelled, Message: workspaceDeleted}, e)
		}
	}
}

func (m *stateMachine) applyLeaving(c *Leaving, e *effect) {
	if m.tables.Leaving()[c.Worker] == c.Incarnation {
		return
	}
	m.tables.SetLeaving(c.Worker, c.Incarnation)
	e.changed = true
}
