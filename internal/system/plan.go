// Package system contains the scheduling systems of one availability zone: admission, expiry of deadlines, quarantine,
// placement inside guarantees, borrowing and backfill. They run over the tables in every tick and return a plan, which
// the zone's cell commits. The package does no I/O; the time is passed in.
//
// A guaranteed gang has a gang reservation: capacity of workers that fits its adjacency. Jobs beyond the guarantee of
// their workspace borrow free capacity, reserved capacity included, and are preempted when the guarantee needs it.
package system

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Placement asks to place a queued job. Members lists the worker of each member, in member order.
type Placement struct {
	Job      string
	Members  []string
	Borrowed bool // Uses more than the workspace's own guarantee; may be preempted unless the job must not be repeated.
	Probe    bool // Runs on a quarantined worker to test it.
}

// Preemption asks to stop a preemptible attempt, so that a guaranteed job can be placed.
type Preemption struct {
	Attempt string
	ForJob  string        // Job that needs the capacity.
	Grace   time.Duration // Time for a checkpoint before the stop.
}

// JobEnd asks to end a queued job without running it.
type JobEnd struct {
	Job     string
	Outcome table.JobOutcome
	Reason  string
}

// Plan is the result of one tick: the placements, preemptions and job ends to commit.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	JobEnds     []JobEnd
}

// RefusalCode is the reason for which a submission is refused. The values are stable.
type RefusalCode string

// Reasons for a refusal.
const (
	RefusedUnknownWorkspace RefusalCode = "unknown_workspace"
	RefusedQueueFull        RefusalCode = "queue_full"
	RefusedRate             RefusalCode = "rate_limited"
	RefusedClass            RefusalCode = "class_not_allowed"
	RefusedNeverFits        RefusalCode = "never_fits" // Larger than the empty zone, or than the workspace may ever run.
	RefusedNoWorkers        RefusalCode = "no_workers" // The zone has no workers at the moment.
	RefusedZoneOut          RefusalCode = "zone_out"
)

// Refusal says why a job is not accepted, and when to try again (0: never with this request).
type Refusal struct {
	Code       RefusalCode
	Message    string
	RetryAfter time.Duration
}

// AttemptReport tells how an attempt ended. The systems derive run time distributions and the failure records of
// workers from it.
type AttemptReport struct {
	Job           *table.Job
	Workers       []string
	FailedWorkers []string // Workers whose member failed; empty if the attempt succeeded.
	Succeeded     bool
	RunTime       time.Duration
}

// Scheduler is implemented by Policy and by the baselines that it is measured against.
type Scheduler interface {
	// Admit checks a new job against the workspace's limits and the zone. It returns nil to accept. The limits of the queue
	// and of the rate of requests concern a job where it is accepted first, not where it is handed over to.
	Admit(now time.Duration, j *table.Job, handedOver bool) *Refusal
	// Tick runs all systems once. It must not change replicated fields of the tables.
	Tick(now time.Duration) Plan
	// AttemptEnded records the end of an attempt.
	AttemptEnded(now time.Duration, r AttemptReport)
	// ExplainWait explains in one sentence what a queued job waits for.
	ExplainWait(now time.Duration, j *table.Job) string
}
