// Package placement decides which waiting tasks start on which workers, and which running attempts are preempted for
// them.
//
// Decide is a function of a view of the domain and does no I/O. The view holds the waiting units of work and the free
// capacity of each worker; the plan holds the starts that the leader is to commit and the attempts that it is to stop.
package placement

import "github.com/mustardwalk/mustardwalk/internal/domain"

// Worker is a worker as the placement policy sees it.
type Worker struct {
	Incarnation domain.WorkerIncarnation
	Pool        string
	Zone        string
	Rack        string
	Labels      []string
	Free        domain.Resources // Capacity that no attempt takes; an attempt that is being stopped still takes its part.
	Usable      bool             // In service, in contact, not draining, not quarantined.
	Vacated     bool             // Work was stopped there for a guarantee a short time ago: only guaranteed units may use it.
	// Total is the whole capacity, Stopping the part of it that is taken by attempts that are being stopped.
	Total         domain.Resources
	Stopping      domain.Resources
	ServingTasks  int     // Number of tasks with a latency target on the worker.
	BestEffortCPU int64   // Thousandths of a core that best-effort tasks (Step.BestEffort) ask for; Free ignores them.
	Speed         float64 // Relative to the median of the fleet, which is 1.0; 0 if unknown.
	SpeedError    float64 // Standard error of the log of Speed.
	// Images counts the attempts by image. It is filled only if some open job has a step with an image.
	Images map[string]int
}

// RunningAttempt is an attempt on a worker, considered for preemption.
type RunningAttempt struct {
	Task     domain.TaskID
	Demand   domain.Resources
	Priority int
	Members  int  // How many attempts end if it is stopped: all members of its gang, or 1.
	Stopping bool // It is being stopped already; its capacity becomes free soon.
	// UnsavedMS is the work that a stop discards, including the start-up. A stop saves a checkpoint, so a checkpointable
	// attempt loses only the time of its restore.
	UnsavedMS        int64
	AtRisk           bool     // Its job misses its objective if the attempt has to start again.
	Guaranteed       bool     // Urgent and within the guarantee of its workspace.
	Reclaims         int      // How often its task, or its gang, was stopped although it was urgent, see decision.stopsUrgent.
	Counted          *Counted // Nil if its workspace has no maximum.
	DisruptionBudget int      // How many more tasks of its step may be stopped now, or Unlimited.
}

// Unlimited is the value of RunningAttempt.DisruptionBudget without a limit.
const Unlimited = -1

// Unit is the waiting work of one step: a gang, which starts as a whole, or the identical, independent tasks of the
// step.
type Unit struct {
	Job        *domain.Job
	Occurrence int             // Index in Job.Occurrences.
	Step       int             // Index in Job.Spec.Steps.
	Indexes    []int           // Indexes of the waiting tasks in the step.
	RunMS      int64           // Expected run time of one task.
	WaitedMS   int64           // Time since its dependencies were met, or since an attempt last ended.
	DueMS      int64           // When the job's completion objective passes, Unix milliseconds.
	Allowed    map[string]bool // Workers that the queue's policy allows; nil if the queue has no policy.
	Expired    bool            // Three times the objective has passed: completing the job has no value any more.
	Excess     bool            // Submitted beyond the weight of its workspace: placed after all work within.
	MayPreempt bool            // May preempt work of lower priority.
	Guaranteed bool            // Urgent and within its workspace's guarantee: must start within a bound.
}

func (u *Unit) step() *domain.Step { return &u.Job.Spec.Steps[u.Step] }

func (u *Unit) task(index int) domain.TaskID {
	return domain.TaskID{Job: u.Job.Spec.ID, Occurrence: u.Occurrence, Step: u.Step, Index: index}
}

// View is the input of Decide.
type View struct {
	NowMS   int64
	Workers []*Worker // In a fixed order, so that equal views give equal plans.
	Units   []*Unit
	// FleetUneven is set if some workers are too slow for the objective of some queue. Only then do the speeds of workers
	// affect the plan.
	FleetUneven bool
	// Interference holds the pairs of images that are known to harm each other. Nil if there are none.
	Interference Interference
	// StepTasksOn returns how many tasks of a unit's step a worker has already.
	StepTasksOn func(u *Unit, w *Worker) int
	// AttemptsOn returns the attempts on a worker. It is called only where preemption is considered.
	AttemptsOn func(w *Worker) []RunningAttempt
	// Workspaces holds the workspaces with a weight or a maximum, by name.
	Workspaces map[string]*Workspace
}

// Plan is the output of Decide.
type Plan struct {
	Starts      []domain.StartAttempts // One entry for each unit that starts, so that a gang starts as a whole.
	Preemptions []Preemption
}

// Preemption names an attempt to stop and the task that gets its room.
type Preemption struct {
	Task domain.TaskID
	For  domain.TaskID
}
