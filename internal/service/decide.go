package service

import (
	"strings"
	"unicode"

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
		j = nil // To this caller, jobs of other workspaces look as if they did not exist.
		if req.Kind == Submit {
			return Answer{Verdict: Invalid}, nil
		}
	}
	switch {
	case req.Kind == Submit:
		return submit(m, q, workspace, id, req)
	case j == nil:
		return Answer{Verdict: NoJob}, nil
	case req.Kind == Cancel && !j.State.Final():
		return Answer{Verdict: Cancelled}, &domain.Command{Cancel: &domain.CancelJob{Job: id}}
	case req.Kind == Cancel:
		return Answer{Verdict: Cancelled}, nil
	}
	return Answer{Verdict: Found, State: j.State}, nil
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
	return Answer{Verdict: Accepted}, &domain.Command{Submit: &spec}
}

// Limits of a job document.
const (
	maxPayloadBytes = 4000 // Largest payload that workers accept.
	maxTextBytes    = 64 << 10
	maxNameBytes    = 64 // Of the job. Each of its tasks has the name.
	maxSteps        = 256
	maxTasks        = 20000 // Of all steps together.
	maxOccurrences  = 100000
	maxAllTasks     = 100000 // Of all occurrences together. They are kept in memory until the job has ended.
	// maxAmount bounds resources, in their units, and durations, in milliseconds, so that no sum over a job or a fleet overflows:
	// a billion cores, 34 years.
	maxAmount = 1 << 40
	maxTimeMS = 1<<53 - 1 // Of a point in time, Unix milliseconds.
)

// validName reports whether a name can be that of a job: the names of its tasks are made of it, with dots.
func validName(id domain.JobID) bool {
	return len(id) <= maxNameBytes && !strings.ContainsAny(string(id), "./") && !strings.ContainsFunc(string(id), unicode.IsControl)
}

// validDocument reports whether a job document is within the limits and its steps depend on earlier steps only.
func validDocument(s *domain.JobSpec) bool {
	if s == nil || len(s.Steps) == 0 || len(s.Steps) > maxSteps || len(s.Payload) > maxPayloadBytes || !validSchedule(s) {
		return false
	}
	tasks, texts := 0, 0
	for i := range s.Steps {
		step := &s.Steps[i]
		if !validStep(i, step) {
			return false
		}
		tasks += step.Count
		texts += len(step.Label) + len(step.DataRack) + len(step.Image)
	}
	return tasks <= maxTasks && tasks*s.Occurrences() <= maxAllTasks && texts <= maxTextBytes
}

func validSchedule(s *domain.JobSpec) bool {
	return s.RepeatCount >= 0 && s.RepeatCount <= maxOccurrences && validAmounts(s.IntervalMS) && s.StartAtMS >= 0 && s.StartAtMS <= maxTimeMS
}

func validStep(i int, s *domain.Step) bool {
	if s.Count <= 0 || s.Count > maxTasks || s.PerWorkerLimit < 0 || s.MaxUnavailable < 0 || len(s.DependsOn) > maxSteps {
		return false
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= i {
			return false
		}
	}
	return validAmounts(s.Task.CPU, s.Task.MemoryMB, s.Task.Accelerators, s.EstimateMS, s.LatencyTargetMS)
}

func validAmounts(values ...int64) bool {
	for _, v := range values {
		if v < 0 || v > maxAmount {
			return false
		}
	}
	return true
}
