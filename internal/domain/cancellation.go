package domain

// cancellation records that the cancelling of a job was acknowledged although the job was not known. Its submission may have
// been delayed on the way and arrive later; the job must not run then.
type cancellation struct {
	AtMS  int64  `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint,omitempty"` // Retention epoch.
}

// cancellationKey identifies a job by its identifier and the workspace that cancelled it, empty for a job of any workspace.
func cancellationKey(id JobID, workspace string) string { return string(id) + "/" + workspace }

// cancellationOverhead is about what a cancellation takes beside its key, in bytes.
const cancellationOverhead = 64

func cancellationBytes(key string) int { return cancellationOverhead + len(key) }

// Bytes returns about how many bytes the cancellation takes if the job is not known.
func (c *CancelJob) Bytes() int { return cancellationBytes(cancellationKey(c.Job, c.Workspace)) }

func (m *StateMachine) storeCancellation(c *CancelJob, at int64) {
	key := cancellationKey(c.Job, c.Workspace)
	if _, stored := m.state.Cancellations[key]; !stored {
		m.jobBytes += cancellationBytes(key)
	}
	m.state.Cancellations[key] = cancellation{AtMS: at, Epoch: m.RetentionEpoch()}
}

// cancelledBefore reports whether a job was cancelled before its submission arrived.
func (m *StateMachine) cancelledBefore(spec *JobSpec) bool {
	_, inWorkspace := m.state.Cancellations[cancellationKey(spec.ID, spec.Workspace)]
	_, inAny := m.state.Cancellations[cancellationKey(spec.ID, "")]
	return inWorkspace || inAny
}
