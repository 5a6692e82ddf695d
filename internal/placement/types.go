// Package placement decides which waiting tasks start on which workers, and which running ones make room for them.
//
// Decide is a function of a view of the domain and does no I/O. The view holds the waiting units of work and what is free
// on each worker; the plan holds the starts and stops that the leader is to commit and order.
package placement

import "github.com/mustardwalk/mustardwalk/internal/domain"

// Worker is a worker as the policy sees it.
type Worker struct {
	Life   domain.WorkerLife
	Pool   string
	Zone   string
	Rack   string
	Labels []string
	Free   domain.Resources // Not taken by any attempt, stopping ones included.
	Usable bool             // In service, in contact, not draining, not quarantined.
	// Total is the capacity, Stopping the part of it that attempts take which have been told to stop.
	Total    domain.Resources
	Stopping domain.Resources
	Serving  int   // Tasks with a latency target.
	FillCPU  int64 // Processor time that tasks which fill ask for, in thousandths of a core.
}

// Running is an attempt on a worker.
type Running struct {
	Task     domain.TaskID
	Demand   domain.Resources
	Priority int
	Members  int  // How many attempts end with it: the members of a gang, or 1.
	Stopping bool // Its capacity becomes free soon.
	// UnsavedMS is the work that a stop throws away, the start-up included. A stop saves a checkpoint, so that an attempt that
	// can save loses the time of its restore only.
	UnsavedMS int64
	Pressed   bool // Its job becomes late if it has to start again.
	MayStop   int  // How many more tasks of its step may be stopped now.
}

// Unlimited is the value of Running.MayStop without a limit.
const Unlimited = -1

// Unit is work that starts together: a gang, or the waiting tasks of a step that are equal and independent.
type Unit struct {
	Job        *domain.Job
	Occurrence int
	Step       int
	Indexes    []int           // Waiting tasks.
	RunMS      int64           // Expected run time of a task.
	WaitedMS   int64           // Since its dependencies were met.
	DueMS      int64           // When the job's objective passes, Unix milliseconds.
	Advised    map[string]bool // If set, the workers that the queue's policy allows.
	Hopeless   bool            // Nothing is left to earn: three times the objective has passed.
	MayReclaim bool            // May end work of lower priority.
	Guaranteed bool            // Within its workspace's guarantee: must start within a bound.
}

func (u *Unit) step() *domain.Step { return &u.Job.Spec.Steps[u.Step] }

func (u *Unit) task(index int) domain.TaskID {
	return domain.TaskID{Job: u.Job.Spec.ID, Occurrence: u.Occurrence, Step: u.Step, Index: index}
}

// View is the input of Decide.
type View struct {
	NowMS   int64
	Workers []*Worker // In a fixed order.
	Units   []*Unit
	// PerWorker returns how many tasks of a unit's step are on a worker already.
	PerWorker func(u *Unit, w *Worker) int
	// Tasks returns the attempts on a worker. It is asked only where room has to be made.
	Tasks func(w *Worker) []Running
}

// Plan is the output of Decide.
type Plan struct {
	Starts []domain.StartAttempts // One for each unit, so that a gang is whole.
	Stops  []Stop
}

// Stop is an attempt that makes room for a unit.
type Stop struct {
	Task domain.TaskID
	For  domain.TaskID
}
