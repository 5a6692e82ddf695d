// Package table holds the entities of one availability zone in tables with indexes. It makes no scheduling decisions.
//
// Replicated fields change only when an entry of the zone's log is applied. Fields marked local are observations of
// this replica; they are neither replicated nor stored and are lost at a restart.
package table

import "time"

// Class is the urgency class of a job. Jobs of a numerically lower class are served first.
type Class uint8

// Classes of jobs, the most urgent first.
const (
	Urgent Class = iota
	Standard
	Bulk
	ClassCount // Number of classes.
)

// Adjacency tells how close together the members of one gang must be placed.
type Adjacency uint8

// Adjacency values, from the least to the most restrictive.
const (
	SameZone Adjacency = iota
	SameRack
	SameWorker
)

// Shape is the capacity that a job needs: Gang members, each with Accelerators accelerators on one worker. The JSON
// dump of a cell shows its fields under their Go names.
type Shape struct {
	Gang         int       `cbor:"1,keyasint"`
	Accelerators int       `cbor:"2,keyasint"` // Per member.
	Adjacency    Adjacency `cbor:"3,keyasint,omitempty"`
}

// Total returns the accelerators of the whole gang.
func (s Shape) Total() int { return s.Gang * s.Accelerators }

// JobState is the state of a job in this zone.
type JobState uint8

// States of a job.
const (
	JobQueued     JobState = iota
	JobPlaced              // Its current attempt is placed, but not yet known to run.
	JobRunning             // Its current attempt is running.
	JobEnded               // It has ended, and Answer is set.
	JobHandedOver          // It now belongs to zone HandedTo and is never started here again.
)

// JobOutcome is the final outcome of a job.
type JobOutcome string

// Outcomes of a job.
const (
	JobSucceeded JobOutcome = "succeeded"
	JobFailed    JobOutcome = "failed"
	JobCancelled JobOutcome = "cancelled"
	JobExpired   JobOutcome = "expired" // Its deadline passed while it was queued, before any attempt may have run.
	JobUnknown   JobOutcome = "unknown" // The job must not be repeated, and whether it completed cannot be determined.
)

// Answer is the final answer of a job. A job has exactly one.
type Answer struct {
	Outcome JobOutcome `cbor:"1,keyasint"`
	Message string     `cbor:"2,keyasint,omitempty"`
	Body    []byte     `cbor:"3,keyasint,omitempty"`
	SHA256  string     `cbor:"4,keyasint,omitempty"`
	Attempt string     `cbor:"5,keyasint,omitempty"`
	// NeverRan tells that no attempt of the job ever started.
	NeverRan bool `cbor:"6,keyasint,omitempty"`
}

// Job is one accepted request.
type Job struct {
	ID                string   `cbor:"1,keyasint"` // "<zone>-<random>" with the zone that first accepted the job.
	Workspace         string   `cbor:"2,keyasint"`
	Class             Class    `cbor:"3,keyasint,omitempty"`
	Shape             Shape    `cbor:"4,keyasint"`
	NoRepeat          bool     `cbor:"5,keyasint,omitempty"`
	Key               string   `cbor:"6,keyasint,omitempty"` // Idempotency key, scoped to the workspace.
	Body              []byte   `cbor:"7,keyasint,omitempty"`
	DeadlineMillis    int64    `cbor:"8,keyasint,omitempty"` // Counted from acceptance; 0 for none.
	DeclaredRunMillis int64    `cbor:"9,keyasint,omitempty"` // Run time declared by the caller; a hint only.
	Sequence          uint64   `cbor:"10,keyasint"`          // Log index of the acceptance; lower for older jobs.
	State             JobState `cbor:"11,keyasint,omitempty"`
	Attempt           string   `cbor:"12,keyasint,omitempty"` // Identifier of the current or last attempt.
	AttemptCount      int      `cbor:"13,keyasint,omitempty"`
	FailedWorkers     []string `cbor:"14,keyasint,omitempty"` // Distinct workers on which an attempt failed, one for each attempt.
	Cancelled         bool     `cbor:"15,keyasint,omitempty"` // Cancellation was requested.
	ResumeFrom        string   `cbor:"16,keyasint,omitempty"` // Attempt from whose checkpoint the next attempt resumes.
	Answer            *Answer  `cbor:"17,keyasint,omitempty"`
	HandedTo          string   `cbor:"18,keyasint,omitempty"`
	HandOverCommitted bool     `cbor:"19,keyasint,omitempty"` // The other zone has committed the job.
	// MayHaveRun tells that a member of some attempt may have passed its start gate, after which its task runs.
	MayHaveRun bool `cbor:"20,keyasint,omitempty"`
	// Zone restricts the job to one availability zone; empty for any.
	Zone string `cbor:"21,keyasint,omitempty"`
	// AlsoFailedWorkers lists workers on which further members of a failed gang failed. They are avoided and not counted.
	AlsoFailedWorkers []string `cbor:"22,keyasint,omitempty"`

	AppliedAt time.Duration `cbor:"-"` // Local: when this replica applied the entry that accepted the job.
	EndedAt   time.Duration `cbor:"-"` // Local: when this replica applied the entry that ended the job.
}

// AttemptState is the state of an attempt.
type AttemptState uint8

// States of an attempt. There is none for ended attempts: they are removed from the table.
const (
	AttemptPlaced AttemptState = iota
	AttemptRunning
)

// MemberPlacement is the endpoint on which one member of an attempt is placed.
type MemberPlacement struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"` // Incarnation of the endpoint.
	Address     string `cbor:"3,keyasint"`
}

// Attempt is one try to run a job on chosen workers. It is committed to the log before any endpoint is called.
type Attempt struct {
	ID           string            `cbor:"1,keyasint"` // "<job>/<number>".
	Job          string            `cbor:"2,keyasint"`
	Epoch        uint64            `cbor:"3,keyasint"` // Term of the leader that placed it.
	Members      []MemberPlacement `cbor:"4,keyasint"`
	Accelerators int               `cbor:"5,keyasint"` // Per member.
	Borrowed     bool              `cbor:"6,keyasint,omitempty"`
	State        AttemptState      `cbor:"7,keyasint,omitempty"`

	PlacedAt  time.Duration `cbor:"-"` // Local.
	RunningAt time.Duration `cbor:"-"` // Local.
	Stopping  bool          `cbor:"-"` // Local: a stop or a checkpoint is under way; set by the dispatcher.
}

// Guarantee grants a workspace capacity for Gangs gangs of Shape at the same time in this zone. The JSON dump of a cell
// shows its fields under their Go names.
type Guarantee struct {
	Gangs int   `cbor:"1,keyasint"`
	Shape Shape `cbor:"2,keyasint"`
}

// Limits are the limits of a workspace in this zone. Zero means no limit. The JSON dump of a cell shows the fields
// under their Go names.
type Limits struct {
	Queued            int     `cbor:"1,keyasint,omitempty"`
	Running           int     `cbor:"2,keyasint,omitempty"` // Accelerators in use at the same time.
	RequestsPerSecond float64 `cbor:"3,keyasint,omitempty"`
}

// Workspace is the part of a contract that concerns this zone.
type Workspace struct {
	Name         string      `cbor:"1,keyasint"`
	Revision     uint64      `cbor:"2,keyasint"` // Deployment revision of its last change.
	Guarantees   []Guarantee `cbor:"3,keyasint,omitempty"`
	SurplusShare int         `cbor:"4,keyasint,omitempty"` // Weight in the division of the surplus; 0: it never borrows.
	Limits       Limits      `cbor:"5,keyasint"`
	GraceMillis  int64       `cbor:"6,keyasint,omitempty"` // Time for its preempted tasks to write a checkpoint.
	MaxClass     Class       `cbor:"7,keyasint,omitempty"` // The most urgent class it may use.
	TokenSHA256  []string    `cbor:"8,keyasint,omitempty"` // Hex digests of its caller tokens.
}

// Service tells whether the zone is in service. The JSON dump of a cell shows its fields under their Go names.
type Service struct {
	Out      bool   `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint"` // Incremented by every accepted change.
}

// Worker is one worker of the zone, as its endpoint announced it. The entity is local to the leader of the zone's cell,
// except for Leaving, which is replicated by worker and incarnation (see Tables.SetLeaving).
type Worker struct {
	ID           string
	Incarnation  string
	Rack         string
	Address      string
	Accelerators int
	Slots        int
	Cores        int
	MemoryMB     int
	Connections  int

	LastSeen    time.Duration
	Lost        bool // Not heard from for longer than its leases last, or since it did not accept a call.
	Leaving     bool
	Quarantined bool
	Probing     bool // Quarantined, and the zone's probe job is placed on it.

	usedAccelerators int
	usedSlots        int
	membersByAttempt map[string]int // Number of members on the worker, by attempt.

	rackCapacity     *RackCapacity
	indexBucket      int // Bucket of the index that holds the worker; 0 for none.
	indexedUsable    bool
	reserved         int
	heldAccelerators int
	heldSlots        int
}
