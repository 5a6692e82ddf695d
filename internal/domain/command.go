package domain

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Command is one change of the replicated state. Exactly one of the pointers is set.
type Command struct {
	AtMS     int64               `cbor:"1,keyasint"` // Wall clock of the proposing leader, Unix milliseconds.
	Config   *Config             `cbor:"2,keyasint,omitempty"`
	Zone     *SetZone            `cbor:"3,keyasint,omitempty"`
	Submit   *JobSpec            `cbor:"4,keyasint,omitempty"`
	Cancel   *CancelJob          `cbor:"5,keyasint,omitempty"`
	Register *Worker             `cbor:"6,keyasint,omitempty"`
	Forget   *ForgetWorker       `cbor:"7,keyasint,omitempty"`
	Start    *StartAttempts      `cbor:"8,keyasint,omitempty"`
	End      *EndAttempts        `cbor:"9,keyasint,omitempty"`
	Release  *ReleaseOccurrences `cbor:"10,keyasint,omitempty"`
	Purge    *PurgeEndedJobs     `cbor:"11,keyasint,omitempty"`
	Wave     *Wave               `cbor:"12,keyasint,omitempty"` // Creates a wave; AcceptedMS and Progress are not set.
	Upkeep   *UpkeepProgress     `cbor:"13,keyasint,omitempty"`
	// RetentionEpoch is the epoch that was known when the submission was received, see StateMachine.RetentionEpoch. Entries of
	// earlier versions have none.
	RetentionEpoch uint64              `cbor:"14,keyasint,omitempty"`
	Begun          *JobsBegun          `cbor:"15,keyasint,omitempty"`
	Speeds         *RecordSpeeds       `cbor:"16,keyasint,omitempty"`
	Interference   *RecordInterference `cbor:"17,keyasint,omitempty"`
	// NoTakeover refuses a registration that would take the address or the identifier of another one, see
	// StateMachine.ConflictOf. Entries of earlier versions lack it, and remove the other one with what runs there.
	NoTakeover bool `cbor:"18,keyasint,omitempty"`
}

// SetZone takes an availability zone out of service, or puts it back into service.
type SetZone struct {
	Zone string `cbor:"1,keyasint"`
	Out  bool   `cbor:"2,keyasint,omitempty"`
	// Revision is the revision of the zones that the order follows. If another order has been executed since, it has no
	// effect. Entries of earlier versions have none and are always executed.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
}

// CancelJob cancels a job that has not ended. If the job is not known, its cancellation is stored, for a submission that
// arrives later.
type CancelJob struct {
	Job JobID `cbor:"1,keyasint"`
	// Workspace is the one whose job is meant, empty for a job of any workspace.
	Workspace string `cbor:"2,keyasint,omitempty"`
}

// ForgetWorker removes one incarnation of a worker, on which nothing runs any more.
type ForgetWorker struct {
	Incarnation WorkerIncarnation `cbor:"1,keyasint"`
}

// Assignment assigns a task to the worker that is to run it.
type Assignment struct {
	Task   TaskID            `cbor:"1,keyasint"`
	Worker WorkerIncarnation `cbor:"2,keyasint"`
}

// StartAttempts begins attempts. It must be committed before a start is sent to a worker. All members of a gang are
// started by one command.
type StartAttempts struct {
	Assignments []Assignment `cbor:"1,keyasint"`
	// Unconfirmed leaves a pending job pending: its worker may reject the start. Entries of earlier versions lack it; their jobs
	// run from the commit on, as they did on the hosts whose snapshots include them.
	Unconfirmed bool `cbor:"2,keyasint,omitempty"`
}

// JobsBegun records that workers have confirmed attempts of pending jobs.
type JobsBegun struct {
	Jobs []JobID `cbor:"1,keyasint"`
}

// AttemptEnd is the end of one attempt.
type AttemptEnd struct {
	Task       TaskID  `cbor:"1,keyasint"`
	Attempt    int     `cbor:"2,keyasint"`
	Outcome    Outcome `cbor:"3,keyasint"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"` // Newest checkpoint of the attempt, empty for none.
}

// EndAttempts records the ends of attempts on one worker. Cursor is the number of the newest end in the worker's list
// that the command covers, 0 if the ends do not come from such a list. The command must be committed before the cursor
// is sent to the worker as an acknowledgement.
type EndAttempts struct {
	Worker WorkerIncarnation `cbor:"1,keyasint"`
	Cursor int64             `cbor:"2,keyasint,omitempty"`
	Ends   []AttemptEnd      `cbor:"3,keyasint,omitempty"`
	// OncePerRun counts a failed run of a gang once, however many of its members failed. Entries of earlier versions lack it and
	// count each member: a host that replays the log must hold the state that is in the snapshots of other hosts.
	OncePerRun bool `cbor:"4,keyasint,omitempty"`
	// WithinRuns takes the present run for counted if the gang has as many failures as runs: an earlier version, which counts
	// each member, has counted it then. Entries of earlier versions lack it.
	WithinRuns bool `cbor:"5,keyasint,omitempty"`
}

// ReleaseOccurrences makes further occurrences of a scheduled job due, until Count of them are.
type ReleaseOccurrences struct {
	Job   JobID `cbor:"1,keyasint"`
	Count int   `cbor:"2,keyasint"`
}

// PurgeEndedJobs deletes jobs that ended before a time. If NewEpoch is set, it begins a retention epoch and keeps the jobs
// that ended in the last ones; entries of earlier versions do neither.
type PurgeEndedJobs struct {
	BeforeMS int64 `cbor:"1,keyasint"`
	NewEpoch bool  `cbor:"2,keyasint,omitempty"`
}

// Encode returns the command in CBOR, as it is stored in the log.
func (c *Command) Encode() []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic(eris.Wrap(err, "encoding a command"))
	}
	return data
}
