package domain

// applyBegun moves pending jobs to JobRunning.
func (m *StateMachine) applyBegun(b *JobsBegun) Result {
	result := NotChanged
	for _, id := range b.Jobs {
		if j := m.open[id]; j != nil && j.begin() {
			result = Applied
		}
	}
	return result
}

// begin moves a pending job to JobRunning. It returns false for one that was not pending.
func (j *Job) begin() bool {
	if j.State != JobPending {
		return false
	}
	j.State = JobRunning
	return true
}

// showsBegin reports whether an end shows that the attempt had begun on its worker. An attempt that is absent or lost may have
// been rejected or never have arrived; if its start was confirmed, JobsBegun tells.
func (o Outcome) showsBegin() bool { return o != OutcomeAbsent && o != OutcomeLost }
