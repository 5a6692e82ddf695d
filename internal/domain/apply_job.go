package domain

func (m *StateMachine) applySubmit(spec *JobSpec, at int64) Result {
	if m.state.Jobs[spec.ID] != nil {
		return NotChanged
	}
	m.state.Sequence++
	j := &Job{Spec: *spec, AcceptedMS: at, Sequence: m.state.Sequence}
	if spec.RepeatCount == 0 {
		j.Occurrences = []*Occurrence{newOccurrence(spec)}
	}
	m.state.Jobs[spec.ID] = j
	m.open[spec.ID] = j
	return Applied
}

func newOccurrence(spec *JobSpec) *Occurrence {
	o := &Occurrence{}
	for i := range spec.Steps {
		o.Steps = append(o.Steps, make([]Task, spec.Steps[i].Count))
	}
	return o
}

// applyRelease appends occurrences until there are r.Count of them, or as many as the job has in all.
func (m *StateMachine) applyRelease(r *ReleaseOccurrences) Result {
	j := m.open[r.Job]
	if j == nil || r.Count <= len(j.Occurrences) {
		return NotChanged
	}
	for len(j.Occurrences) < min(r.Count, j.Spec.Occurrences()) {
		j.Occurrences = append(j.Occurrences, newOccurrence(&j.Spec))
	}
	return Applied
}

func (m *StateMachine) applyCancel(id JobID, at int64) Result {
	j := m.state.Jobs[id]
	switch {
	case j == nil:
		return NotFound
	case j.State.Final():
		return NotChanged
	}
	m.endJob(j, JobCancelled, at)
	return Applied
}

// endJob moves a job to a final state. The leader stops the attempts that are still present on workers.
func (m *StateMachine) endJob(j *Job, state JobState, at int64) {
	j.State = state
	j.EndedMS = at
	delete(m.open, j.Spec.ID)
	if j.hasAttempts() {
		m.endedWithAttempts[j.Spec.ID] = j
	}
}

// hasAttempts reports whether an attempt of the job may be present on a worker.
func (j *Job) hasAttempts() bool {
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				if o.Steps[s][i].Assigned() {
					return true
				}
			}
		}
	}
	return false
}

// completeIfDone marks an occurrence as done if all its steps are, and completes the job if all its occurrences are
// done.
func (m *StateMachine) completeIfDone(j *Job, occurrence int, at int64) {
	o := j.Occurrences[occurrence]
	if o.Done {
		return
	}
	for s := range o.Steps {
		if !o.StepDone(s) {
			return
		}
	}
	o.Done = true
	if len(j.Occurrences) < j.Spec.Occurrences() {
		return
	}
	for _, other := range j.Occurrences {
		if !other.Done {
			return
		}
	}
	m.endJob(j, JobCompleted, at)
}

// applyPurge deletes ended jobs, except those of which attempts may still be present on workers.
func (m *StateMachine) applyPurge(before int64) Result {
	purged := NotChanged
	for id, j := range m.state.Jobs {
		if j.State.Final() && j.EndedMS < before && m.endedWithAttempts[id] == nil {
			delete(m.state.Jobs, id)
			purged = Applied
		}
	}
	return purged
}
