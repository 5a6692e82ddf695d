// Package endpoint declares the HTTP/JSON protocol between hosts and endpoints.
//
// An endpoint is the HTTP server of one worker: it announces the worker to the hosts of its zone and runs tasks on it.
// Calls from a cell leader carry the leader's epoch; an endpoint refuses a call whose epoch is lower than the highest
// it has seen (status 409, code "stale_epoch").
package endpoint

// Paths that an endpoint serves. All are POST with a JSON body.
const (
	PathReserve    = "/reserve"
	PathStart      = "/start"
	PathStop       = "/stop"
	PathCheckpoint = "/checkpoint"
	PathThrottle   = "/throttle"
	PathStatus     = "/status"
)

// Paths that a host serves for endpoints. All are POST with a JSON body.
const (
	PathAnnounce  = "/v1/endpoint/announce"
	PathHeartbeat = "/v1/endpoint/heartbeat"
	PathLeaving   = "/v1/endpoint/leaving"
	PathResult    = "/v1/endpoint/result"
)

// Limits of the protocol.
const (
	// ReservationMillis is how long a start is accepted after its reservation was granted, on the endpoint's monotonic
	// clock.
	ReservationMillis = 2000
	// MaxAnswerBytes bounds the body of a job's answer.
	MaxAnswerBytes = 256 << 10
)

// Announcement registers an endpoint and its worker with the cell. It is sent when the endpoint starts and whenever a
// heartbeat is answered with Known false.
type Announcement struct {
	Worker       string `json:"worker" cbor:"1,keyasint"`
	Incarnation  string `json:"incarnation" cbor:"2,keyasint"` // Changes with every start of the endpoint.
	Zone         string `json:"zone" cbor:"3,keyasint"`
	Rack         string `json:"rack" cbor:"4,keyasint"`
	Address      string `json:"address" cbor:"5,keyasint"` // host:port of the endpoint's HTTP server.
	Accelerators int    `json:"accelerators" cbor:"6,keyasint"`
	Slots        int    `json:"slots" cbor:"7,keyasint"` // Tasks that it can run at the same time.
	Cores        int    `json:"cores" cbor:"8,keyasint"`
	MemoryMB     int    `json:"memory_mb" cbor:"9,keyasint"`
	Connections  int    `json:"connections" cbor:"10,keyasint"`
	// Leaving repeats the notice of the message Leaving for a leader that has not received it.
	Leaving bool `json:"leaving,omitempty" cbor:"11,keyasint,omitempty"`
}

// TaskPhase is the phase of a task as its endpoint sees it.
type TaskPhase string

// Phases of a task.
const (
	PhaseUnknown  TaskPhase = "unknown"  // The endpoint holds nothing for the attempt.
	PhaseReserved TaskPhase = "reserved" // Capacity is reserved for the task.
	PhaseReady    TaskPhase = "ready"    // Set up, but not running: a start with GateOpen has not arrived yet.
	PhaseRunning  TaskPhase = "running"
	PhaseEnded    TaskPhase = "ended"
)

// AttemptStatus reports one attempt in a heartbeat.
type AttemptStatus struct {
	Attempt string    `json:"attempt" cbor:"1,keyasint"`
	Phase   TaskPhase `json:"phase" cbor:"2,keyasint"`
	// Usage is the mean utilization of the attempt's accelerators, from 0 to 1, reported one heartbeat late.
	Usage float64 `json:"usage,omitempty" cbor:"3,keyasint,omitempty"`
}

// Heartbeat is sent every heartbeat period. Its reply renews the leases of the attempts it lists.
type Heartbeat struct {
	Worker      string          `json:"worker" cbor:"1,keyasint"`
	Incarnation string          `json:"incarnation" cbor:"2,keyasint"`
	Attempts    []AttemptStatus `json:"held,omitempty" cbor:"3,keyasint,omitempty"`
}

// HeartbeatReply answers an announcement or a heartbeat. The endpoint renews the leases of all attempts that it listed,
// except those in StopAttempts; the new leases count from the time at which it sent the heartbeat.
type HeartbeatReply struct {
	Known        bool     `json:"known" cbor:"1,keyasint"` // False asks the endpoint to announce itself again.
	Epoch        uint64   `json:"epoch" cbor:"2,keyasint"`
	LeaseMillis  int64    `json:"lease_ms" cbor:"3,keyasint"`
	PeriodMillis int64    `json:"period_ms" cbor:"4,keyasint"`                // Of heartbeats.
	StopAttempts []string `json:"stop,omitempty" cbor:"5,keyasint,omitempty"` // Attempts to stop.
}

// Leaving announces that the endpoint is about to shut down. It gets no new work once the notice is acknowledged.
type Leaving struct {
	Worker      string `json:"worker" cbor:"1,keyasint"`
	Incarnation string `json:"incarnation" cbor:"2,keyasint"`
}

// Outcome is how a task ended.
type Outcome string

// Outcomes of a task.
const (
	OutcomeSucceeded Outcome = "succeeded"
	OutcomeFailed    Outcome = "failed"
	OutcomeStopped   Outcome = "stopped"   // Stopped by the system, or because its lease expired.
	OutcomeNeverRan  Outcome = "never_ran" // Ended before it began to run.
)

// Result reports the end of one member of an attempt. Member 0 carries the answer of the job.
type Result struct {
	Worker      string  `json:"worker" cbor:"1,keyasint"`
	Incarnation string  `json:"incarnation" cbor:"2,keyasint"`
	Attempt     string  `json:"attempt" cbor:"3,keyasint"`
	Epoch       uint64  `json:"epoch" cbor:"4,keyasint"`
	Member      int     `json:"member" cbor:"5,keyasint"`
	Outcome     Outcome `json:"outcome" cbor:"6,keyasint"`
	Message     string  `json:"message,omitempty" cbor:"7,keyasint,omitempty"`
	Body        []byte  `json:"body,omitempty" cbor:"8,keyasint,omitempty"`
	Length      int     `json:"length" cbor:"9,keyasint"` // Of Body, in bytes.
	SHA256      string  `json:"sha256,omitempty" cbor:"10,keyasint,omitempty"`
}

// Ack answers Leaving and Result. If Accepted is false, Retry true asks the endpoint to send the message again, and
// Retry false allows it to drop the result.
type Ack struct {
	Accepted bool   `json:"accepted" cbor:"1,keyasint"`
	Retry    bool   `json:"retry,omitempty" cbor:"2,keyasint,omitempty"`
	Reason   string `json:"reason,omitempty" cbor:"3,keyasint,omitempty"`
}

// Op is the kind of a call from a cell leader to an endpoint.
type Op string

// Calls to an endpoint.
const (
	OpReserve    Op = "reserve"
	OpStart      Op = "start"
	OpStop       Op = "stop"
	OpCheckpoint Op = "checkpoint"
	OpThrottle   Op = "throttle"
	OpStatus     Op = "status"
)

// Call is the body of every call to an endpoint. Fields that the operation does not use are empty.
type Call struct {
	Op           Op     `json:"op" cbor:"1,keyasint"`
	Incarnation  string `json:"incarnation" cbor:"2,keyasint"` // Of the endpoint that the call is meant for.
	Epoch        uint64 `json:"epoch" cbor:"3,keyasint"`
	Attempt      string `json:"attempt" cbor:"4,keyasint"`
	Job          string `json:"job,omitempty" cbor:"5,keyasint,omitempty"`
	Member       int    `json:"member" cbor:"6,keyasint"`
	GangSize     int    `json:"gang" cbor:"7,keyasint"` // Members of the gang.
	Accelerators int    `json:"accelerators" cbor:"8,keyasint"`
	// GateOpen lets a started task run. A start without it only sets the task up: the leader sends that start to all
	// members of a gang first, and a start with GateOpen once all of them are ready. A job with one member gets a start
	// with GateOpen at once.
	GateOpen      bool    `json:"gate_open" cbor:"9,keyasint,omitempty"`
	LeaseMillis   int64   `json:"lease_ms,omitempty" cbor:"10,keyasint,omitempty"`
	GraceMillis   int64   `json:"grace_ms,omitempty" cbor:"11,keyasint,omitempty"` // Checkpoint: time until the stop.
	SpeedShare    float64 `json:"share,omitempty" cbor:"12,keyasint,omitempty"`    // Throttle: share of normal speed, 0 to 1.
	Body          []byte  `json:"body,omitempty" cbor:"13,keyasint,omitempty"`     // Start: the request body.
	ResumeAttempt string  `json:"resume,omitempty" cbor:"14,keyasint,omitempty"`   // Start: attempt whose checkpoint to resume.
}

// Codes of a refused call.
const (
	CodeStaleEpoch       = "stale_epoch"
	CodeNoCapacity       = "no_capacity"
	CodeNoReservation    = "no_reservation" // Never reserved, or the reservation is too old.
	CodeWrongIncarnation = "wrong_incarnation"
	CodeLeaving          = "leaving"
)

// Reply is the body of every reply of an endpoint.
type Reply struct {
	OK    bool      `json:"ok" cbor:"1,keyasint"`
	Code  string    `json:"code,omitempty" cbor:"2,keyasint,omitempty"`
	Phase TaskPhase `json:"phase,omitempty" cbor:"3,keyasint,omitempty"`
	// EverRan reports, for stop and status, whether any task of the attempt was ever allowed to run on this endpoint
	// (by a start with GateOpen). An endpoint that is asked to stop an attempt it does not know also refuses that
	// attempt from then on.
	EverRan bool `json:"ever_ran,omitempty" cbor:"4,keyasint,omitempty"`
}
