package corehost

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Status returns the state of the domain as this replica has it.
func (h *Host) Status() api.DomainStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := h.replica.Status()
	out := api.DomainStatus{
		Host: h.settings.Address, Leader: st.Leader, Term: st.Term, Voters: hostsOf(st.Config), KnownHosts: slices.Clone(h.knownHosts),
		ConfigVersion: h.configVersion(), ZonesOut: h.stateMachine.ZonesOut(), OpenJobs: len(h.stateMachine.OpenJobs()), Workers: len(h.stateMachine.Workers()),
	}
	for _, w := range h.stateMachine.Workers() {
		out.Attempts += len(w.Attempts())
	}
	for _, w := range h.stateMachine.Waves() {
		status := api.WaveStatus{Number: w.Number, Machines: len(w.Progress), Down: w.Down(), Completed: w.Completed()}
		for _, u := range w.Progress {
			if u.Stage == domain.UpkeepOver {
				status.Over++
			}
		}
		out.Waves = append(out.Waves, status)
	}
	slices.SortFunc(out.Waves, func(a, b api.WaveStatus) int { return cmp.Compare(a.Number, b.Number) })
	return out
}

// Workers returns the workers of the domain, sorted by identifier.
func (h *Host) Workers() api.DomainWorkers {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := api.DomainWorkers{Workers: []api.DomainWorker{}}
	for id, w := range h.stateMachine.Workers() {
		out.Workers = append(out.Workers, api.DomainWorker{
			ID: id, Zone: w.Zone, Rack: w.Rack, Address: w.Address, Draining: w.Draining,
			Accelerators: w.Capacity.Accelerators, Free: w.Free().Accelerators, Attempts: len(w.Attempts()),
		})
	}
	slices.SortFunc(out.Workers, func(a, b api.DomainWorker) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Explain returns the state of a job, its steps and its attempts, false if the job is not known here.
func (h *Host) Explain(id string) (api.JobExplanation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.stateMachine.Job(domain.JobID(id))
	if j == nil {
		return api.JobExplanation{}, false
	}
	out := api.JobExplanation{
		ID: id, Queue: j.Spec.Queue, Workspace: j.Spec.Workspace, State: j.State.String(), Priority: j.Spec.Priority,
		AcceptedMS: j.AcceptedMS, EndedMS: j.EndedMS, Host: h.settings.Address, Leads: h.leads(h.now()), Steps: []api.StepExplanation{},
	}
	for k, o := range j.Occurrences {
		for s := range o.Steps {
			out.Steps = append(out.Steps, h.explainStep(j, k, s))
			out.Attempts = append(out.Attempts, attempts(j, k, s)...)
		}
	}
	return out, true
}

// explainStep returns the state of a step. For a step that waits for workers, the leader adds for how long, and how
// many workers each reason excludes.
func (h *Host) explainStep(j *domain.Job, occurrence, step int) api.StepExplanation {
	o := j.Occurrences[occurrence]
	out := api.StepExplanation{Occurrence: occurrence, Step: step, Tasks: len(o.Steps[step])}
	for i := range o.Steps[step] {
		t := &o.Steps[step][i]
		out.Failed += t.Failures
		switch {
		case t.Done:
			out.Done++
		case t.Assigned():
			out.Placed++
		}
	}
	for _, d := range j.Spec.Steps[step].DependsOn {
		if !o.StepDone(d) {
			out.Blocked = append(out.Blocked, d)
		}
	}
	if waits := out.Done+out.Placed < out.Tasks; waits && h.leader != nil && len(out.Blocked) == 0 && !j.State.Final() {
		out.WaitedMS = h.leader.WaitedMS(h.now(), j, occurrence, step)
		out.Workers = h.leader.Blockers(h.now(), j, occurrence, step)
	}
	return out
}

// attempts returns the attempts of a step that may be present on workers.
func attempts(j *domain.Job, occurrence, step int) []api.AttemptState {
	var out []api.AttemptState
	tasks := j.Occurrences[occurrence].Steps[step]
	for i := range tasks {
		if tasks[i].Assigned() {
			id := domain.TaskID{Job: j.Spec.ID, Occurrence: occurrence, Step: step, Index: i}
			out = append(out, api.AttemptState{
				Task: id.String(), Attempt: tasks[i].Attempt, Worker: tasks[i].Worker.ID, StartedMS: tasks[i].StartedMS,
			})
		}
	}
	return out
}
