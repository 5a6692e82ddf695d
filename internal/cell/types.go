// Package cell implements the scheduler state of one availability zone: a deterministic state machine that every
// replica of the zone's log applies, and a dispatcher that the leader of the log runs. It performs no I/O.
package cell

import (
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Batch is the data of one entry of the zone's log. Its commands are applied in order.
type Batch struct {
	Commands []Command `cbor:"1,keyasint"`
}

// Command is one change of the replicated tables. Exactly one field is set.
type Command struct {
	Submit         *Submit         `cbor:"1,keyasint,omitempty"`
	PlaceAttempt   *PlaceAttempt   `cbor:"2,keyasint,omitempty"`
	MarkRunning    *MarkRunning    `cbor:"3,keyasint,omitempty"`
	EndAttempt     *EndAttempt     `cbor:"4,keyasint,omitempty"`
	FinishQueued   *FinishQueued   `cbor:"5,keyasint,omitempty"`
	Cancel         *Cancel         `cbor:"6,keyasint,omitempty"`
	SetService     *SetService     `cbor:"7,keyasint,omitempty"`
	Adopt          *Adopt          `cbor:"8,keyasint,omitempty"`
	Leaving        *Leaving        `cbor:"9,keyasint,omitempty"`
	UpdateHandOver *UpdateHandOver `cbor:"10,keyasint,omitempty"`
	Forget         *Forget         `cbor:"11,keyasint,omitempty"`
	Refuse         *Refuse         `cbor:"12,keyasint,omitempty"`
}

// Submit accepts a job. It has no effect if the job, or another job with its key, is known already, or if the
// identifier was durably refused.
type Submit struct {
	Job table.Job `cbor:"1,keyasint"`
}

// Refuse records that a job identifier will never be accepted in this zone.
type Refuse struct {
	Job string `cbor:"1,keyasint"`
}

// PlaceAttempt creates an attempt for a queued job. It has no effect if the job is not queued, the zone is out of
// service, or an endpoint of the attempt is leaving.
type PlaceAttempt struct {
	Attempt table.Attempt `cbor:"1,keyasint"`
}

// MarkRunning records that all members of an attempt have passed their start gates.
type MarkRunning struct {
	Attempt string `cbor:"1,keyasint"`
}

// EndAttempt ends a live attempt. Depending on the outcome the job gets its answer or goes back to the queue.
type EndAttempt struct {
	Attempt string           `cbor:"1,keyasint"`
	Outcome endpoint.Outcome `cbor:"2,keyasint"`
	Message string           `cbor:"3,keyasint,omitempty"`
	Body    []byte           `cbor:"4,keyasint,omitempty"`
	SHA256  string           `cbor:"5,keyasint,omitempty"`
	// MayHaveRun is false only if it is certain that no member passed its start gate.
	MayHaveRun bool `cbor:"6,keyasint,omitempty"`
	// FailedWorkers holds the worker that the failure counts against. Entries of earlier versions hold all workers whose
	// members failed.
	FailedWorkers []string `cbor:"7,keyasint,omitempty"`
	// Checkpointed is set if all members wrote a checkpoint, from which the next attempt can resume.
	Checkpointed bool `cbor:"8,keyasint,omitempty"`
	// AlsoFailed lists the other workers whose members failed.
	AlsoFailed []string `cbor:"9,keyasint,omitempty"`
}

// FinishQueued ends a queued job with an answer, without running it.
type FinishQueued struct {
	Job     string           `cbor:"1,keyasint"`
	Outcome table.JobOutcome `cbor:"2,keyasint"`
	Message string           `cbor:"3,keyasint,omitempty"`
}

// Cancel asks to cancel a job. A queued job ends at once; a running one is stopped by the dispatcher.
type Cancel struct {
	Job string `cbor:"1,keyasint"`
}

// SetService takes the zone out of service or back in. It has no effect if ExpectedRevision is set and is not the
// current service revision. A command with the CommandID of an earlier one returns the first result.
type SetService struct {
	CommandID        string  `cbor:"1,keyasint"`
	ExpectedRevision *uint64 `cbor:"2,keyasint,omitempty"`
	Out              bool    `cbor:"3,keyasint,omitempty"`
}

// Adopt puts a deployment revision in force. It has no effect if Revision is not above the adopted one.
type Adopt struct {
	Revision uint64            `cbor:"1,keyasint"`
	Put      []table.Workspace `cbor:"2,keyasint,omitempty"`
	Remove   []string          `cbor:"3,keyasint,omitempty"`
}

// Leaving records that one incarnation of an endpoint is leaving the zone: it gets no new attempts.
type Leaving struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// UpdateHandOver hands a queued job over to another zone (with neither flag set), records that the other zone has
// committed it (Accepted), or returns it to the queue after the other zone durably refused it (Refused).
type UpdateHandOver struct {
	Job      string `cbor:"1,keyasint"`
	Zone     string `cbor:"2,keyasint"`
	Accepted bool   `cbor:"3,keyasint,omitempty"`
	Refused  bool   `cbor:"4,keyasint,omitempty"`
}

// Forget removes ended jobs, and jobs that another zone has taken over, that are no longer retained.
type Forget struct {
	Jobs []string `cbor:"1,keyasint"`
}

// Request is a request of any host to the leader of a zone. Exactly one field is set. All requests are safe to retry.
type Request struct {
	Submit  *SubmitRequest  `cbor:"1,keyasint,omitempty"`
	Get     *GetRequest     `cbor:"2,keyasint,omitempty"`
	Cancel  *JobRef         `cbor:"3,keyasint,omitempty"`
	Why     *JobRef         `cbor:"4,keyasint,omitempty"`
	List    *ListRequest    `cbor:"5,keyasint,omitempty"`
	Service *ServiceRequest `cbor:"6,keyasint,omitempty"`
	Status  *StatusRequest  `cbor:"7,keyasint,omitempty"`
	Workers *WorkersRequest `cbor:"8,keyasint,omitempty"`
	Report  *Report         `cbor:"9,keyasint,omitempty"`
}

// SubmitRequest submits a job. The host that received the job from the caller has generated its identifier.
type SubmitRequest struct {
	Job table.Job `cbor:"1,keyasint"`
	// HandedOver marks a job that another zone hands over: rate and queue limits do not apply, and a refusal is
	// committed before the reply is sent.
	HandedOver bool `cbor:"2,keyasint,omitempty"`
	// KeyClaimed marks a job whose idempotency key is claimed in the deployment log: a refusal is committed before the
	// reply is sent.
	KeyClaimed bool `cbor:"3,keyasint,omitempty"`
}

// JobRef identifies a job. Workspace is empty for operators; otherwise a job of another workspace is not found.
type JobRef struct {
	Job       string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint,omitempty"`
}

// GetRequest asks for a job, and waits up to WaitMillis for its end.
type GetRequest struct {
	JobRef
	WaitMillis int64 `cbor:"3,keyasint,omitempty"`
}

// ListRequest asks for the jobs of a workspace, or of all workspaces if Workspace is empty.
type ListRequest struct {
	Workspace string `cbor:"1,keyasint,omitempty"`
}

// ServiceRequest is an operator's command to take the zone out of service or to bring it back in.
type ServiceRequest struct {
	CommandID        string  `cbor:"1,keyasint"`
	ExpectedRevision *uint64 `cbor:"2,keyasint,omitempty"`
	Out              bool    `cbor:"3,keyasint,omitempty"`
}

// StatusRequest asks for the zone's status.
type StatusRequest struct{}

// WorkersRequest asks for the zone's workers.
type WorkersRequest struct{}

// Report is a message from an endpoint, forwarded by the host that received it. Exactly one field is set.
type Report struct {
	Announcement *endpoint.Announcement `cbor:"1,keyasint,omitempty"`
	Heartbeat    *endpoint.Heartbeat    `cbor:"2,keyasint,omitempty"`
	Leaving      *endpoint.Leaving      `cbor:"3,keyasint,omitempty"`
	Result       *endpoint.Result       `cbor:"4,keyasint,omitempty"`
}

// Response is the response to a Request. With Error, no other field but Refused is set.
type Response struct {
	Error   *api.Error      `cbor:"1,keyasint,omitempty"`
	Job     *api.Job        `cbor:"2,keyasint,omitempty"`
	Jobs    []api.Job       `cbor:"3,keyasint,omitempty"`
	Why     *api.Why        `cbor:"4,keyasint,omitempty"`
	Zone    *api.ZoneStatus `cbor:"5,keyasint,omitempty"`
	Workers []api.Worker    `cbor:"6,keyasint,omitempty"`
	// HeartbeatReply is the reply to an announcement or a heartbeat, Ack to the other reports.
	HeartbeatReply *endpoint.HeartbeatReply `cbor:"7,keyasint,omitempty"`
	Ack            *endpoint.Ack            `cbor:"8,keyasint,omitempty"`
	// MovedTo names the zone that has taken the job over and answers requests about it.
	MovedTo string `cbor:"9,keyasint,omitempty"`
	// Refused is set if the submission was durably refused, so that another zone may be tried.
	Refused bool `cbor:"10,keyasint,omitempty"`
}

// Reply is the response to the request that was passed to Cell.Request with the same ID.
type Reply struct {
	ID       uint64
	Response Response
}

// EndpointCall is a call to send to an endpoint. Its result comes back through Cell.CallDone with the same ID.
type EndpointCall struct {
	ID      uint64
	Address string
	Call    endpoint.Call
}

// HandOver asks the node to submit a job to another zone. It is produced again until the reply of that zone is known:
// that it has committed or durably refused the job.
type HandOver struct {
	Zone string
	Job  table.Job
}

// ZoneView is the last known state of another zone, by which the dispatcher chooses where to hand jobs over to.
type ZoneView struct {
	Zone         string
	Out          bool
	Reachable    bool
	Accelerators int // Accelerators of the usable workers.
	LargestGang  int // Accelerators of the largest rack: an upper bound for jobs with rack or worker adjacency.
}

// Timing holds the timeouts and periods of a cell.
type Timing struct {
	Lease          time.Duration // Lease of a task, granted by its start and renewed by heartbeats of its endpoint.
	Heartbeat      time.Duration // Heartbeat period that endpoints are told to keep.
	LeaseMargin    time.Duration // Added to the lease before the tasks of a silent endpoint count as ended.
	Reservation    time.Duration // Age up to which an endpoint accepts a start on a reservation.
	CallTimeout    time.Duration // Time after which a call to an endpoint counts as lost.
	Grace          time.Duration // Time for the checkpoint of a preempted attempt, if the contract states none.
	Retention      time.Duration // Time for which answers of ended jobs are kept.
	ScheduleEvery  time.Duration // Period of scheduling passes while jobs are queued.
	IsolationLimit time.Duration // Time of isolation after which no attempt is placed on borrowed accelerators.
}

// DefaultTiming suits deployments of about 50 workers.
var DefaultTiming = Timing{
	Lease:          10 * time.Second,
	Heartbeat:      3 * time.Second,
	LeaseMargin:    time.Second,
	Reservation:    endpoint.ReservationMillis * time.Millisecond,
	CallTimeout:    time.Second,
	Grace:          5 * time.Second,
	Retention:      time.Hour,
	ScheduleEvery:  50 * time.Millisecond,
	IsolationLimit: 5 * time.Minute,
}

// Options configure a cell.
type Options struct {
	Zone         string
	Host         string
	Timing       Timing
	NewScheduler func(*table.Tables) system.Scheduler
	// RetainedJobs bounds the number of ended jobs that are kept, RetainedBytes the bytes of their requests and answers.
	RetainedJobs  int
	RetainedBytes int
}

// Output is what a cell has produced since the previous Cell.Take.
type Output struct {
	Proposals [][]byte // CBOR-encoded batches to append to the zone's log, in this order.
	Calls     []EndpointCall
	Replies   []Reply
	HandOvers []HandOver
	Events    []history.Event // Time and Host are set by the node.
}
