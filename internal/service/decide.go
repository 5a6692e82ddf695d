package service

import (
	"strings"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Decide returns the answer to a caller's request, from the applied state. If it also returns a command, the command
// must be committed before the answer may be given.
func Decide(m *domain.StateMachine, req Request) (Answer, *domain.Command) {
	if m.Config() == nil {
		return Answer{Verdict: Unavailable}, nil
	}
	q, id, ok := findJob(m, req)
	if !ok {
		return Answer{Verdict: NoQueue}, nil
	}
	workspace, known := m.WorkspaceOf(req.Key)
	if !known && !q.Public {
		return Answer{Verdict: Unauthorized}, nil
	}
	if id == "" {
		if req.Kind != GetState {
			return Answer{Verdict: Invalid}, nil
		}
		return Answer{Verdict: QueueLength, Waiting: m.Waiting(q.Name)}, nil
	}
	j := m.Job(id)
	if j != nil && !q.Public && j.Spec.Workspace != workspace {
		// To this caller, jobs of other workspaces look as if they did not exist.
		if req.Kind == Submit {
			return Answer{Verdict: Invalid}, nil
		}
		return Answer{Verdict: NoJob}, nil
	}
	switch {
	case req.Kind == Submit:
		return submit(m, q, workspace, id, req)
	case req.Kind == Cancel:
		return cancel(q, workspace, id, j)
	case j == nil:
		return Answer{Verdict: NoJob}, nil
	}
	return Answer{Verdict: Found, State: j.State}, nil
}

// cancel cancels a job. The cancelling of a job that is not known is committed too: its submission may be on the way, or be
// in the log already, and the job must not run once the caller has the answer.
func cancel(q domain.Queue, workspace string, id domain.JobID, j *domain.Job) (Answer, *domain.Command) {
	c := &domain.CancelJob{Job: id, Workspace: workspace}
	if q.Public {
		c.Workspace = ""
	}
	switch {
	case j == nil && !validName(id):
		return Answer{Verdict: NoJob}, nil // No such job can be submitted.
	case j == nil:
		return Answer{Verdict: NoJob}, &domain.Command{Cancel: c}
	case j.State.Final():
		return Answer{Verdict: Cancelled}, nil
	}
	return Answer{Verdict: Cancelled}, &domain.Command{Cancel: c}
}

// findJob returns the queue and the job that a request names, false if there is no such queue.
func findJob(m *domain.StateMachine, req Request) (domain.Queue, domain.JobID, bool) {
	if req.Queue != "" {
		q, ok := m.QueueNamed(req.Queue)
		return q, domain.JobID(req.Job), ok
	}
	q, ok := m.QueueFor(req.Host, req.Path)
	return q, domain.JobID(strings.TrimPrefix(req.Path, q.PathPrefix)), ok
}

// submit accepts a job. It gives the same answer, without a command, if the job was accepted before.
func submit(m *domain.StateMachine, q domain.Queue, workspace string, id domain.JobID, req Request) (Answer, *domain.Command) {
	if m.Job(id) != nil {
		return Answer{Verdict: Accepted}, nil
	}
	if !validDocument(req.Document) || !validName(id) {
		return Answer{Verdict: Invalid}, nil
	}
	spec := *req.Document
	spec.ID, spec.Queue, spec.Pool, spec.Workspace = id, q.Name, q.Pool, workspace
	spec.Priority, spec.MaxAttempts, spec.Stretch, spec.CompletionTargetMS = q.Priority, max(1, q.MaxAttempts), q.Stretch, q.CompletionTargetMS
	return Answer{Verdict: Accepted}, &domain.Command{Submit: &spec, RetentionEpoch: req.RetentionEpoch}
}
