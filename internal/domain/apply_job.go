package domain

func (m *StateMachine) applySubmit(spec *JobSpec, epoch uint64, at int64) Result {
	if m.state.Jobs[spec.ID] != nil {
		return NotChanged
	}
	if epoch != 0 && m.forgotten(epoch) {
		return Expired
	}
	m.state.Sequence++
	j := &Job{Spec: *spec, AcceptedMS: at, Sequence: m.state.Sequence}
	if spec.RepeatCount == 0 {
		j.Occurrences = []*Occurrence{newOccurrence(spec)}
	}
	m.state.Jobs[spec.ID] = j
	m.jobBytes += j.bytes()
	if m.cancelledBefore(spec) {
		j.State, j.EndedMS, j.EndedEpoch = JobCancelled, at, m.RetentionEpoch()
		return Applied
	}
	m.open[spec.ID] = j
	return Applied
}

// Preview returns a job as it would be stored if it were accepted after all others at a time, in Unix milliseconds, with its
// first occurrence due. The state does not change.
func (m *StateMachine) Preview(spec *JobSpec, at int64) *Job {
	return &Job{Spec: *spec, AcceptedMS: at, Sequence: m.state.Sequence + 1, Occurrences: []*Occurrence{newOccurrence(spec)}}
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
		m.jobBytes += j.Spec.occurrenceBytes()
	}
	return Applied
}

func (m *StateMachine) applyCancel(c *CancelJob, at int64) Result {
	j := m.state.Jobs[c.Job]
	switch {
	case j == nil:
		m.storeCancellation(c, at)
		return NotFound
	case c.Workspace != "" && j.Spec.Workspace != c.Workspace:
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
	j.EndedMS, j.EndedEpoch = at, m.RetentionEpoch()
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
	j.skipDone()
	if j.firstOpen == j.Spec.Occurrences() {
		m.endJob(j, JobCompleted, at)
	}
}

// retentionEpochs is how many epochs an ended job is kept at least. Submissions that were received as many epochs ago are
// refused. It is a part of the format of the log: hosts with different values would hold different states.
const retentionEpochs = 4

// RetentionEpoch returns the present retention epoch. It is never 0, and increases with each purge of ended jobs.
//
// A job, or a cancellation, that is recorded in an epoch is kept for retentionEpochs. A submission that was received in an
// epoch is accepted only as long: all that has become of its job since then is still known. Epochs are used for this and not
// times, because the clocks of leaders may differ and jump.
func (m *StateMachine) RetentionEpoch() uint64 { return m.state.Purges + 1 }

// forgotten reports whether records of an epoch may have been deleted.
func (m *StateMachine) forgotten(epoch uint64) bool {
	return m.RetentionEpoch() >= epoch+retentionEpochs
}

// applyPurge deletes ended jobs, except those of which attempts may still be present on workers, and cancellations.
func (m *StateMachine) applyPurge(p *PurgeEndedJobs) Result {
	if p.NewEpoch {
		m.state.Purges++
	}
	expired := func(atMS int64, epoch uint64) bool { return atMS < p.BeforeMS && (!p.NewEpoch || m.forgotten(epoch)) }
	purged := NotChanged
	for id, j := range m.state.Jobs {
		if j.State.Final() && expired(j.EndedMS, j.EndedEpoch) && m.endedWithAttempts[id] == nil {
			m.jobBytes -= j.bytes()
			delete(m.state.Jobs, id)
			purged = Applied
		}
	}
	for key, c := range m.state.Cancellations {
		if expired(c.AtMS, c.Epoch) {
			m.jobBytes -= cancellationBytes(key)
			delete(m.state.Cancellations, key)
			purged = Applied
		}
	}
	return purged
}

// Shares of the size of a job, in bytes: about what its parts take in a snapshot, in the log and in memory.
const (
	jobOverhead  = 512
	stepOverhead = 256
	taskBytes    = 64
)

// Bytes returns about how many bytes a job takes with one occurrence.
func (s *JobSpec) Bytes() int { return s.ownBytes() + s.occurrenceBytes() }

// ownBytes returns about how many bytes a job takes beside its occurrences.
func (s *JobSpec) ownBytes() int {
	n := jobOverhead + len(s.ID) + len(s.Queue) + len(s.Workspace) + len(s.Payload)
	for i := range s.Steps {
		step := &s.Steps[i]
		n += stepOverhead + len(step.Label) + len(step.DataRack) + len(step.Image) + 8*len(step.DependsOn)
	}
	return n
}

// occurrenceBytes returns about how many bytes the tasks of an occurrence take.
func (s *JobSpec) occurrenceBytes() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count * taskBytes
	}
	return n
}

// bytes returns about how many bytes a job takes with the occurrences that are due.
func (j *Job) bytes() int { return j.Spec.ownBytes() + len(j.Occurrences)*j.Spec.occurrenceBytes() }

// JobBytes returns about how many bytes all stored jobs take.
func (m *StateMachine) JobBytes() int { return m.jobBytes }
