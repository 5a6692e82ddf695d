// Package service holds the requests that callers, operators and workers make to a scheduling domain, and the answers,
// apart from any wire format.
package service

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Kind tells what a caller asks.
type Kind uint32

// Kinds of requests of callers.
const (
	Submit Kind = iota + 1
	State       // Of a job, or the length of a queue if the path names no job.
	Cancel
)

var kindNames = [...]string{"", "submit", "state", "cancel"}

// String returns the name for logs.
func (k Kind) String() string { return kindNames[k] }

// Request is a request of a caller. It names the queue and the job, or a path: the queue by its prefix, and the job by what
// follows it.
type Request struct {
	Kind     Kind
	Host     string
	Path     string
	Queue    string
	Job      string // Empty for the queue itself.
	Key      string
	Document *domain.JobSpec // Submit: without identifier and values of the queue.
	Trace    string          // Identifies the request in logs.
}

// Verdict is the kind of an answer.
type Verdict uint32

// Verdicts. Those marked "not run" promise that the request has changed nothing and never will.
const (
	Unknown      Verdict = iota // The request may have been carried out.
	Accepted                    // The job is stored.
	Found                       // Answer.State holds.
	Counted                     // Answer.Waiting holds.
	Cancelled                   // The job is cancelled, now or before.
	NoQueue                     // Not run: no such queue.
	Unauthorized                // Not run: unknown key.
	NoJob                       // No such job.
	Invalid                     // Not run: the document makes no sense.
	Overloaded                  // Not run: to be sent again after Answer.RetryAfter.
	Unavailable                 // Not run: no leader, or no configuration yet.
	NotLeader                   // Not run: another host leads.
)

var verdictNames = [...]string{"unknown", "accepted", "found", "counted", "cancelled", "no_queue", "unauthorized", "no_job",
	"invalid", "overloaded", "unavailable", "not_leader"}

// String returns the name for logs.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "invalid_verdict"
	}
	return verdictNames[v]
}

// Answer answers a request.
type Answer struct {
	Verdict    Verdict
	State      domain.JobState
	Waiting    int
	RetryAfter time.Duration
	Leader     string // NotLeader: the host that leads, empty if unknown.
}

// OperationKind tells what an operator or a worker asks.
type OperationKind uint32

// Kinds of operations.
const (
	PutConfig OperationKind = iota + 1
	GetConfig
	TakeZoneOut
	BringZoneIn
	Register   // A worker's report about itself.
	Deregister // A worker has ended.
	StartWave  // An operator's request for the upkeep of machines.
	GetWave
)

var operationNames = [...]string{"", "put_config", "get_config", "zone_out", "zone_in", "register", "deregister", "start_wave", "get_wave"}

// String returns the name for logs.
func (k OperationKind) String() string { return operationNames[k] }

// Operation is a call of an operator or a worker.
type Operation struct {
	Kind    OperationKind
	Config  *domain.Config
	Zone    string
	Worker  *domain.Worker
	Wave    *domain.Wave // GetWave: only its number.
	ClockMS int64        // Register: the worker's clock.
}

// Outcome tells what became of an operation.
type Outcome uint32

// Outcomes.
const (
	Unclear Outcome = iota // It may have been carried out; it is safe to send it again.
	Done
	NotServing // Not carried out: no leader is known here, or there is no configuration.
	Elsewhere  // Not carried out: Result.Leader leads.
	Missing    // There is no such thing.
)

var outcomeNames = [...]string{"unclear", "done", "not_serving", "elsewhere", "missing"}

// String returns the name for logs and metrics.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "invalid_outcome"
	}
	return outcomeNames[o]
}

// Result answers an operation.
type Result struct {
	Outcome  Outcome
	Document []byte // GetConfig: as the operator sent it. GetWave: one byte, 1 if the wave is completed.
	Leader   string
}
