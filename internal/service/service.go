// Package service defines the requests that callers, operators and workers make to a scheduling domain, and the
// answers, independently of any wire format.
package service

import (
	"time"
	"unicode/utf8"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// RequestKind is the kind of a caller's request.
type RequestKind uint32

// Kinds of callers' requests.
const (
	Submit   RequestKind = iota + 1
	GetState             // Returns the state of a job, or the length of a queue if no job is named.
	Cancel
)

var kindNames = [...]string{"", "submit", "state", "cancel"}

// String returns the name for logs and metrics.
func (k RequestKind) String() string {
	if int(k) >= len(kindNames) {
		return "invalid_kind"
	}
	return kindNames[k]
}

// Request is a request of a caller. It names either Queue and Job, or Host and Path, in which case the queue is the one
// whose path prefix matches, and the job is the rest of the path.
type Request struct {
	Kind      RequestKind
	Host      string
	Path      string
	Queue     string
	Job       string          // Empty for a request about the queue itself.
	Key       string          // API key of the caller.
	Document  *domain.JobSpec // Submit: the job, without its identifier and the parameters of its queue.
	RequestID string          // Identifies the request in logs.
	// Submit: the retention epoch of the domain that was known when the request was received, 0 if it has just been received
	// by the leader.
	RetentionEpoch uint64
}

// Readable reports whether the texts that name the queue and the job are valid UTF-8. Others cannot be passed on to another
// host or stored.
func (r Request) Readable() bool {
	for _, text := range []string{r.Host, r.Path, r.Queue, r.Job} {
		if !utf8.ValidString(text) {
			return false
		}
	}
	return true
}

// Verdict is the kind of an answer to a caller.
type Verdict uint32

// Verdicts. For those marked "not run", the request has changed nothing, and will not change anything later.
const (
	Unknown      Verdict = iota // The request may have been executed.
	Accepted                    // The job is stored.
	Found                       // Answer.State is set.
	QueueLength                 // Answer.Waiting is set.
	Cancelled                   // The job is cancelled, by this or an earlier request, or had ended before.
	NoQueue                     // Not run: no such queue.
	Unauthorized                // Not run: the API key is not known.
	NoJob                       // No such job.
	Invalid                     // Not run: the request or its job is not valid.
	Overloaded                  // Not run: may be sent again after Answer.RetryAfter.
	Unavailable                 // Not run: no leader, or no configuration yet.
	NotLeader                   // Not run: another host leads.
)

var verdictNames = [...]string{"unknown", "accepted", "found", "counted", "cancelled", "no_queue", "unauthorized", "no_job",
	"invalid", "overloaded", "unavailable", "not_leader"}

// String returns the name for logs and metrics.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "invalid_verdict"
	}
	return verdictNames[v]
}

// Answer is the answer to a Request.
type Answer struct {
	Verdict    Verdict
	State      domain.JobState
	Waiting    int // Jobs of the queue that have not started.
	RetryAfter time.Duration
	Leader     string // NotLeader: address of the leader, empty if it is not known.
}

// OperationKind is the kind of an operation.
type OperationKind uint32

// Kinds of operations of operators and workers.
const (
	PutConfig OperationKind = iota + 1
	GetConfig
	TakeZoneOut
	BringZoneIn
	Register   // A worker's report about itself; the first one adds the worker.
	Deregister // A worker is about to end.
	StartWave  // An operator's request for the upkeep of a wave of machines.
	GetWave
	RegisterMany // Reports of several workers, which another host has received.
	GetZoneRevision
	GetIncarnation // Returns the registered incarnation of a worker.
)

var operationNames = [...]string{"", "put_config", "get_config", "zone_out", "zone_in", "register", "deregister", "start_wave", "get_wave", "register_many", "get_zone_revision", "get_incarnation"}

// String returns the name for logs and metrics.
func (k OperationKind) String() string {
	if int(k) >= len(operationNames) {
		return "invalid_kind"
	}
	return operationNames[k]
}

// Operation is a request of an operator or a worker.
type Operation struct {
	Kind   OperationKind
	Config *domain.Config // PutConfig.
	Zone   string         // TakeZoneOut, BringZoneIn.
	// TakeZoneOut, BringZoneIn: the order is only executed if the zones still have this revision; 0 for the present one.
	ZoneRevision uint64
	Worker       *domain.Worker // Register, Deregister; GetIncarnation: only its identifier is set.
	Wave         *domain.Wave   // StartWave; GetWave: only Number is set.
	ClockMS      int64          // Register: the worker's clock.
	Reports      []Report       // RegisterMany.
}

// Report is a worker's report about itself.
type Report struct {
	Worker  *domain.Worker `cbor:"1,keyasint"`
	ClockMS int64          `cbor:"2,keyasint,omitempty"` // Reading of the worker's clock.
}

// Outcome is how an operation ended.
type Outcome uint32

// Outcomes of operations.
const (
	OutcomeUnknown Outcome = iota // The operation may have been executed; it is safe to send it again.
	Done
	NotServing // Not executed: no leader is known here, or there is no configuration.
	Redirect   // Not executed: Result.Leader leads.
	NotFound   // What the operation asks for does not exist.
	Refused    // Not executed: the operation has a value that cannot be stored.
	Superseded // Not executed: another order for a zone was executed after Operation.ZoneRevision.
)

var outcomeNames = [...]string{"unclear", "done", "not_serving", "elsewhere", "missing", "refused", "superseded"}

// String returns the name for logs and metrics.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid_outcome"
	}
	return outcomeNames[o]
}

// Result is the answer to an Operation.
type Result struct {
	Outcome Outcome
	// GetConfig: as the operator sent it. GetWave: one byte, 1 if the wave is completed. RegisterMany: one byte for each
	// report, its Outcome.
	Document []byte
	Leader   string // Redirect: address of the leader.
	BornMS   int64  // GetIncarnation: its start, Unix milliseconds.
	// GetZoneRevision: the number of the newest order for a zone that was executed.
	ZoneRevision uint64
}
