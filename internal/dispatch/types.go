// Package dispatch is what the leader of a scheduling domain does beyond the replicated state: it grants leases to
// workers, orders the starts and stops that are committed, collects ends, and concludes that silent workers run nothing
// any more.
//
// Leader has no I/O. The shell passes replies and ticks in, carries calls out, and proposes commands. What a Leader holds
// is lost with its leadership; a new one rebuilds it from the domain and from the workers' answers.
package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Time is one reading of both clocks.
type Time struct {
	Mono   time.Duration // Counts suspension of the host.
	WallMS int64         // Unix milliseconds.
}

// Options are the bounds of a deployment.
type Options struct {
	Fence     uint64        // The leader's term.
	Lease     time.Duration // Lease of attempts, on the worker's clock. Not above what workers grant.
	GangWait  time.Duration // How long members of a gang wait for each other on workers.
	Report    time.Duration // Period of the workers' reports.
	Retention time.Duration // How long ended jobs are kept.
	Restore   time.Duration // What an attempt needs to continue from a checkpoint.
	Early     time.Duration // How much before its due time an occurrence may start.
	Upkeep    time.Duration // How long a machine is down for its upkeep.
	// MachineLease is how long after one host's orders for a machine another host must wait with its own.
	MachineLease time.Duration
	Observer     Observer // Nil for none.
	Log          func(event string, keysAndValues ...any)
}

// CallKind tells what a call to a worker asks.
type CallKind uint8

// Kinds of calls.
const (
	CallHold  CallKind = iota + 1 // Renews the lease, acknowledges ends, returns what runs.
	CallStart                     // Starts an attempt. May be repeated.
	CallStop                      // Stops an attempt, or makes the worker reject it for good.
	CallPace                      // Sets the share of its time that an attempt works.
)

// Call is an order to a worker.
type Call struct {
	ID      uint64
	Kind    CallKind
	Worker  domain.WorkerLife
	Address string
	Fence   uint64
	UntilMS int64 // End of the lease on the worker's clock, 0 to leave it.
	Cursor  int64 // CallHold: ends up to here are committed.
	Wait    time.Duration
	Task    domain.TaskID
	Attempt int
	Payload string
	Saved   string
	Ticket  string // CallStart: what the policy of the queue gave for this worker, empty without a policy.
	Percent int    // CallPace.
}

// Status tells how a call ended.
type Status uint8

// Statuses of a reply.
const (
	NoAnswer       Status = iota // The call may be carried out at any later time.
	OK                           // Carried out, now or before.
	RejectedFence                // The worker has seen a newer leader.
	RejectedOld                  // The attempt was stopped or has ended there.
	RejectedLate                 // The lease in the order is over on the worker's clock.
	RejectedRoom                 // Not enough free capacity.
	Unhealthy                    // The worker does nothing at present.
	OtherLife                    // Another lifetime answers at this address.
	RejectedTicket               // The queue's policy does not allow it, or no longer.
	BadCall                      // The worker did not understand the call.
)

var statusNames = [...]string{"no_answer", "ok", "fence", "old", "late", "room", "unhealthy", "other_life", "ticket", "bad_call"}

// String returns the name for logs.
func (s Status) String() string { return statusNames[s] }

// RunningTask is an attempt that a worker says it runs.
type RunningTask struct {
	Task    domain.TaskID
	Attempt int
	Saved   string
	Percent int
	Load    int64 // Of the last half second: the tail of a task that serves [ms], or the processor time in use.
}

// EndedTask is an end that a worker lists.
type EndedTask struct {
	Number int64
	domain.AttemptEnd
}

// Reply is the answer to a call.
type Reply struct {
	Status  Status
	ClockMS int64 // The worker's clock; 0 if it was not told.
	BornMS  int64 // 0 if it was not told.
	Lists   bool  // Running and Ended hold the worker's lists.
	Running []RunningTask
	Ended   []EndedTask
}

// Output is what the shell has to do.
type Output struct {
	Commands []*domain.Command // To propose.
	Calls    []Call
	Advice   []AdviceCall
	Upkeeps  []UpkeepCall
}

var callNames = [...]string{"", "hold", "start", "stop", "pace"}

// String returns the name for logs.
func (k CallKind) String() string { return callNames[k] }
