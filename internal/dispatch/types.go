// Package dispatch is the part of the leader of a scheduling domain that is not replicated: it grants leases to
// workers, calls them to start and stop attempts as committed, collects the ends of attempts, and declares the attempts
// of silent workers lost once their leases are over.
//
// Leader does no I/O. Its caller (package corehost) passes replies and ticks in, sends the calls, and proposes the
// commands. The state of a Leader is lost with its leadership; a new one rebuilds it from the domain and from the
// workers' answers.
package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/share"
)

// Time is one reading of both clocks.
type Time struct {
	Mono   time.Duration // Monotonic; includes the time for which the host is suspended.
	WallMS int64         // Unix milliseconds.
}

// Options are the settings of a Leader: its term, the bounds of the deployment, and where it logs and counts.
type Options struct {
	FencingToken  uint64        // The leader's term, which its calls carry as a fencing token.
	LeaseDuration time.Duration // Duration of the leases, on the worker's clock. At most what workers accept.
	GangWait      time.Duration // How long the members of a gang wait for each other on their workers.
	ReportPeriod  time.Duration // Period of the workers' reports.
	Retention     time.Duration // How long ended jobs are kept.
	RestoreTime   time.Duration // Time that an attempt needs to continue from a checkpoint.
	LongPolls     int           // How many holds may wait at workers at the same time, 0 for any number.
	EarlyStart    time.Duration // How much before its due time an occurrence may start.
	UpkeepTime    time.Duration // How long a machine is down for its upkeep.
	// MachineLease is how long after one host's last order for a machine another host must wait before it sends its own.
	MachineLease time.Duration
	// ExcessAllowance is by how much workspaces may exceed their weights before their jobs count as excess.
	ExcessAllowance share.Allowance
	WorkerSpeeds    bool     // Estimate the speeds of workers and use them for the placement.
	Interference    bool     // Estimate which images slow each other down, and keep them apart.
	Observer        Observer // Nil for none.
	// Stopwatch reads a monotonic clock, to measure how long plans take; nil if that is not to be measured.
	Stopwatch func() time.Duration
	Log       func(event string, keysAndValues ...any)
}

// CallKind tells what a call asks a worker to do.
type CallKind uint8

// Kinds of calls.
const (
	CallHold  CallKind = iota + 1 // Renews the lease, acknowledges ends, returns the running and ended attempts.
	CallStart                     // Starts an attempt. May be repeated.
	CallStop                      // Stops an attempt, or makes the worker reject any later start of it.
	CallPace                      // Sets the share of its time for which a best-effort attempt works.
)

// Call is a request to a worker.
type Call struct {
	ID           uint64
	Kind         CallKind
	Worker       domain.WorkerIncarnation
	Address      string
	FencingToken uint64
	UntilMS      int64         // End of the lease on the worker's clock, 0 to leave it unchanged.
	Cursor       int64         // CallHold: ends up to this number are committed.
	Wait         time.Duration // CallHold: how long the worker may delay its answer while no attempt ends.
	Task         domain.TaskID
	Attempt      int
	Payload      string // CallStart: the payload of the job.
	Checkpoint   string // CallStart: the checkpoint to continue from, empty to start from the beginning.
	Ticket       string // CallStart: the ticket that the queue's policy issued for this worker, empty without a policy.
	Percent      int    // CallPace: the pace.
}

// Status tells how a call ended.
type Status uint8

// Statuses of a reply.
const (
	NoAnswer          Status = iota // The worker may carry the call out at any later time.
	OK                              // Carried out, now or before.
	RejectedFence                   // The worker has seen the fencing token of a newer leader.
	RejectedEnded                   // The attempt was stopped or has ended on the worker.
	RejectedLeaseOver               // The lease in the call is over on the worker's clock.
	RejectedCapacity                // Not enough free capacity.
	Unhealthy                       // The worker carries out no calls at present.
	OtherIncarnation                // Another incarnation of a worker answers at this address.
	RejectedTicket                  // The ticket is not valid for the start, or no longer.
	BadCall                         // The worker did not understand the call.
	NotListening                    // Nothing listens at the worker's address; the call was not delivered.
	Unreachable                     // There was no connection to the worker; the call was not delivered.
	NotSent                         // This host made too many calls at once. It tells nothing about the worker.
)

var statusNames = [...]string{"no_answer", "ok", "fence", "old", "late", "room", "unhealthy", "other_life", "ticket", "bad_call", "not_listening", "unreachable", "not_sent"}

// String returns the name for logs.
func (s Status) String() string { return statusNames[s] }

// RunningTask is an attempt that a worker lists as running.
type RunningTask struct {
	Task       domain.TaskID
	Attempt    int
	Checkpoint string // Newest checkpoint, empty if there is none.
	Percent    int    // Progress.
	// Load is the tail latency [ms] of the last half second if the task has a latency target, else the processor time
	// that it has used in that time.
	Load int64
}

// EndedTask is the end of an attempt that a worker lists.
type EndedTask struct {
	Number int64 // Number of the end in the worker's list; Call.Cursor refers to it.
	domain.AttemptEnd
}

// Reply is the answer to a call.
type Reply struct {
	Status   Status
	ClockMS  int64 // The worker's clock, 0 if the answer does not contain it.
	BornMS   int64 // Start of the worker's incarnation, 0 if the answer does not contain it.
	HasLists bool  // Running and Ended are filled.
	Running  []RunningTask
	Ended    []EndedTask
}

// Output is what the caller of a Leader has to do: propose the commands and make the calls.
type Output struct {
	Commands []*domain.Command // To propose.
	Calls    []Call
	Advice   []AdviceCall
	Upkeeps  []UpkeepCall
}

var callNames = [...]string{"", "hold", "start", "stop", "pace"}

// String returns the name for logs.
func (k CallKind) String() string { return callNames[k] }
