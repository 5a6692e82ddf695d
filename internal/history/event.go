// Package history declares the events that processes record, and checks merged histories of events against the
// requirements.
package history

// Kind of an event.
type Kind string

// Kinds of events. Each comment names the fields that are set besides Time, Host and Kind, and when the event is recorded.
const (
	Submitted         Kind = "submitted"      // Call, Workspace, Key, NoRepeat: a caller sent a submission.
	Accepted          Kind = "accepted"       // Call, Job: the caller got the acceptance.
	Refused           Kind = "refused"        // Call, NotRun, Code: the caller got a refusal.
	Committed         Kind = "committed"      // Job, Workspace, Key, NoRepeat, Zone: a cell committed the job.
	Claimed           Kind = "claimed"        // Workspace, Key, Job, Zone: the key was claimed for the job.
	Placed            Kind = "placed"         // Job, Attempt, Epoch, Zone, Members: the attempt was placed.
	Reserved          Kind = "reserved"       // Attempt, Worker, Epoch: the endpoint granted a reservation.
	Started           Kind = "started"        // Job, Attempt, Member, GangSize, Worker, Zone, Epoch: a task passed its gate.
	Stopped           Kind = "stopped"        // Job, Attempt, Member, Worker, Outcome: a task ended at its endpoint.
	LeaseGranted      Kind = "lease_granted"  // Group, Epoch: Host got the leader lease of the group.
	LeaseEnded        Kind = "lease_ended"    // Group, Epoch: Host holds the leader lease no longer.
	AnswerCommitted   Kind = "answered"       // Job, Attempt, Outcome, Digest: the answer was committed.
	AnswerDelivered   Kind = "delivered"      // Job, Call, Workspace, Outcome, Digest: a caller received the answer.
	CommandSent       Kind = "command_sent"   // Call, CommandID, ExpectedRevision: an operator sent a change.
	CommandAnswered   Kind = "command_done"   // Call, CommandID, Revision, Code: the operator got its answer.
	RevisionAdopted   Kind = "revision_adopt" // Zone, Revision: the revision is in force in the zone, as Host sees it.
	RevisionKnown     Kind = "revision_known" // Revision: the deployment state of Host reached it.
	ServiceState      Kind = "service_state"  // Zone, Out, Revision: the cell committed the service state of the zone.
	ZoneStateAnswered Kind = "out_answered"   // Zone, Revision, Out: the operator got the answer that the zone is out, or in.
	LeavingSent       Kind = "leaving_sent"   // Worker: its endpoint sent the notice that it leaves.
	HostStopping      Kind = "host_stopping"  // A planned stop began.
	HostStopped       Kind = "host_stopped"   // A planned stop was completed.
	RunEnded          Kind = "run_ended"      // The run was observed until then; bounds that end later are not checked.
	Fault             Kind = "fault"          // Message: a fault was injected.
)

// Event is one record of a history.
type Event struct {
	Time             int64    `json:"t"` // Nanoseconds on the clock of the run.
	Host             string   `json:"host,omitempty"`
	Kind             Kind     `json:"kind"`
	Call             string   `json:"call,omitempty"`
	CommandID        string   `json:"command,omitempty"`
	Workspace        string   `json:"workspace,omitempty"`
	Key              string   `json:"key,omitempty"`
	NoRepeat         bool     `json:"no_repeat,omitempty"`
	Job              string   `json:"job,omitempty"`
	Attempt          string   `json:"attempt,omitempty"`
	Member           int      `json:"member,omitempty"`
	GangSize         int      `json:"gang,omitempty"`
	Members          []string `json:"members,omitempty"`
	Worker           string   `json:"worker,omitempty"`
	Zone             string   `json:"zone,omitempty"`
	Group            string   `json:"group,omitempty"`
	Epoch            uint64   `json:"epoch,omitempty"`
	Revision         uint64   `json:"revision,omitempty"`
	ExpectedRevision uint64   `json:"expected,omitempty"`
	Out              bool     `json:"out,omitempty"`
	Outcome          string   `json:"outcome,omitempty"`
	NotRun           string   `json:"not_run,omitempty"`
	Code             string   `json:"code,omitempty"`
	Digest           string   `json:"digest,omitempty"`
	Message          string   `json:"message,omitempty"`
}
