package domain

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Command is one change of the state. Exactly one of the pointers is set.
type Command struct {
	AtMS     int64           `cbor:"1,keyasint"` // Time of day of the leader, Unix milliseconds.
	Config   *Config         `cbor:"2,keyasint,omitempty"`
	Zone     *SetZone        `cbor:"3,keyasint,omitempty"`
	Submit   *JobSpec        `cbor:"4,keyasint,omitempty"`
	Cancel   *CancelJob      `cbor:"5,keyasint,omitempty"`
	Register *Worker         `cbor:"6,keyasint,omitempty"`
	Forget   *ForgetWorker   `cbor:"7,keyasint,omitempty"`
	Start    *StartAttempts  `cbor:"8,keyasint,omitempty"`
	End      *EndAttempts    `cbor:"9,keyasint,omitempty"`
	Release  *ReleaseOccur   `cbor:"10,keyasint,omitempty"`
	Purge    *PurgeEndedJobs `cbor:"11,keyasint,omitempty"`
	Wave     *Wave           `cbor:"12,keyasint,omitempty"` // Asks for a new wave: its progress is not set.
	Upkeep   *UpkeepProgress `cbor:"13,keyasint,omitempty"`
}

// SetZone takes an availability zone out of service or back.
type SetZone struct {
	Zone string `cbor:"1,keyasint"`
	Out  bool   `cbor:"2,keyasint,omitempty"`
}

// CancelJob cancels a job that has not ended.
type CancelJob struct {
	Job JobID `cbor:"1,keyasint"`
}

// ForgetWorker ends a lifetime of a worker: nothing runs on it any more.
type ForgetWorker struct {
	Life WorkerLife `cbor:"1,keyasint"`
}

// Assignment is a task with the worker that is to run it.
type Assignment struct {
	Task   TaskID     `cbor:"1,keyasint"`
	Worker WorkerLife `cbor:"2,keyasint"`
}

// StartAttempts begins attempts. It must be committed before a worker is told. The members of a gang are in one command.
type StartAttempts struct {
	Assignments []Assignment `cbor:"1,keyasint"`
}

// AttemptEnd is the end of one attempt.
type AttemptEnd struct {
	Task    TaskID  `cbor:"1,keyasint"`
	Attempt int     `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	Saved   string  `cbor:"4,keyasint,omitempty"`
}

// EndAttempts records ends on one worker. Cursor is the newest end listed by the worker that it covers, 0 if the ends
// were concluded otherwise. It must be committed before the cursor is sent to the worker.
type EndAttempts struct {
	Worker WorkerLife   `cbor:"1,keyasint"`
	Cursor int64        `cbor:"2,keyasint,omitempty"`
	Ends   []AttemptEnd `cbor:"3,keyasint,omitempty"`
}

// ReleaseOccur makes the next occurrences of a scheduled job due, up to a count.
type ReleaseOccur struct {
	Job   JobID `cbor:"1,keyasint"`
	Count int   `cbor:"2,keyasint"`
}

// PurgeEndedJobs drops jobs that ended before a time.
type PurgeEndedJobs struct {
	BeforeMS int64 `cbor:"1,keyasint"`
}

// Encode returns the form of a command in the log.
func (c *Command) Encode() []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic(eris.Wrap(err, "encoding a command"))
	}
	return data
}

// DecodeCommand reads the form in the log.
func DecodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, eris.Wrap(err, "decoding a command")
	}
	return &c, nil
}
