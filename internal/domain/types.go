// Package domain is the replicated state of a scheduling domain: configuration, jobs with steps of tasks, workers and
// the attempts that run on them. A domain may span several availability zones.
//
// The package has no I/O and reads no clock. State changes only through Machine.Apply, in the order of the log, so that
// all replicas hold the same tables. Times are Unix milliseconds stamped by the leader that proposed a command.
package domain

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// JobID identifies a job. Callers choose it.
type JobID string

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        JobID `cbor:"1,keyasint"`
	Occurrence int   `cbor:"2,keyasint,omitempty"`
	Step       int   `cbor:"3,keyasint,omitempty"`
	Index      int   `cbor:"4,keyasint,omitempty"`
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step),
		cmp.Compare(t.Index, o.Index))
}

// ParseTaskID reads the form that String writes.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, eris.Errorf("task %q does not have four parts", s)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, eris.Errorf("task %q: part %d is not a number", s, i+2)
		}
		numbers[i] = n
	}
	return TaskID{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Resources is an amount of what a worker has.
type Resources struct {
	CPU          int64 `cbor:"1,keyasint,omitempty"` // Thousandths of a core.
	MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference. It may be negative where a worker was overcommitted.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits tells whether this amount can be taken from the free amount.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Copies returns how many times this amount can be taken from the free amount, at most maxCopies.
func (r Resources) Copies(free Resources) int {
	n := int64(maxCopies)
	if r.CPU > 0 {
		n = min(n, free.CPU/r.CPU)
	}
	if r.MemoryMB > 0 {
		n = min(n, free.MemoryMB/r.MemoryMB)
	}
	if r.Accelerators > 0 {
		n = min(n, free.Accelerators/r.Accelerators)
	}
	return int(max(0, n))
}

// maxCopies bounds Copies for tasks that take nothing; above the tasks of any job.
const maxCopies = 1 << 20

// Step describes equal tasks of a job.
type Step struct {
	Count          int       `cbor:"1,keyasint"`
	Task           Resources `cbor:"2,keyasint"`
	EstimateMS     int64     `cbor:"3,keyasint,omitempty"` // Declared run time of a task; often far off.
	DependsOn      []int     `cbor:"4,keyasint,omitempty"` // Earlier steps that must be done first.
	Checkpointable bool      `cbor:"5,keyasint,omitempty"`
	Gang           bool      `cbor:"6,keyasint,omitempty"` // All tasks run together or not at all.
	SameRack       bool      `cbor:"7,keyasint,omitempty"` // Slow when spread over racks.
	Label          string    `cbor:"8,keyasint,omitempty"` // Label that the worker must have.
	DataRack       string    `cbor:"9,keyasint,omitempty"` // Rack that holds the data; other racks are slow.
	PerWorkerLimit int       `cbor:"10,keyasint,omitempty"`
	Speculative    bool      `cbor:"11,keyasint,omitempty"` // Copies may run in parallel.
	LongRunning    bool      `cbor:"12,keyasint,omitempty"` // Runs until the job is cancelled.
	Image          string    `cbor:"13,keyasint,omitempty"`
	TargetMS       int64     `cbor:"14,keyasint,omitempty"` // Latency target of a task that serves requests.
	Fills          bool      `cbor:"15,keyasint,omitempty"` // Its processor time is not counted against the worker.
	MayMiss        int       `cbor:"16,keyasint,omitempty"` // Tasks that may be away at once through planned work.
}

// Demand returns what a task takes from the capacity of a worker.
func (s *Step) Demand() Resources {
	if s.Fills {
		return Resources{MemoryMB: s.Task.MemoryMB, Accelerators: s.Task.Accelerators}
	}
	return s.Task
}

// JobSpec is what a caller submits, with the values of its queue at that time.
type JobSpec struct {
	ID          JobID   `cbor:"1,keyasint"`
	Queue       string  `cbor:"2,keyasint"`
	Pool        string  `cbor:"3,keyasint"` // Service whose workers run the tasks.
	Workspace   string  `cbor:"4,keyasint,omitempty"`
	Priority    int     `cbor:"5,keyasint,omitempty"` // 0 goes first and may preempt others.
	MaxAttempts int     `cbor:"6,keyasint"`
	Stretch     float64 `cbor:"7,keyasint,omitempty"` // Objective: Stretch times the longest chain, plus TargetMS.
	TargetMS    int64   `cbor:"8,keyasint,omitempty"`
	Payload     string  `cbor:"9,keyasint,omitempty"`
	Steps       []Step  `cbor:"10,keyasint"`
	RepeatCount int     `cbor:"11,keyasint,omitempty"` // 0 without a schedule.
	StartAtMS   int64   `cbor:"12,keyasint,omitempty"`
	IntervalMS  int64   `cbor:"13,keyasint,omitempty"`
}

// Shape describes the steps for logs, for example "5g8a@r1-2" for a gang of 5 tasks with 8 accelerators each near a rack,
// "16t1a" for 16 independent tasks.
func (s *JobSpec) Shape() string {
	var b strings.Builder
	for i, step := range s.Steps {
		if i > 0 {
			b.WriteByte('+')
		}
		b.WriteString(strconv.Itoa(step.Count))
		if step.Gang {
			b.WriteByte('g')
		} else {
			b.WriteByte('t')
		}
		b.WriteString(strconv.FormatInt(step.Task.Accelerators, 10) + "a")
		if step.SameRack {
			b.WriteByte('=')
		}
		if step.DataRack != "" {
			b.WriteString("@" + step.DataRack)
		}
		b.WriteString("~" + strconv.FormatInt(step.EstimateMS, 10))
	}
	if s.RepeatCount > 0 {
		b.WriteString("x" + strconv.Itoa(s.RepeatCount))
	}
	return b.String()
}

// Occurrences returns how many times the steps run.
func (s *JobSpec) Occurrences() int { return max(1, s.RepeatCount) }

// DueMS returns when an occurrence is due, 0 without a schedule.
func (s *JobSpec) DueMS(k int) int64 {
	if s.RepeatCount == 0 {
		return 0
	}
	return s.StartAtMS + int64(k)*s.IntervalMS
}

// JobState is where a job stands.
type JobState uint8

// States of a job. The last three are final.
const (
	JobPending JobState = iota // No task has started.
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

var jobStateNames = [...]string{"pending", "running", "completed", "failed", "cancelled"}

// String returns the name for callers and logs.
func (s JobState) String() string { return jobStateNames[s] }

// Final tells whether a job has ended.
func (s JobState) Final() bool { return s >= JobCompleted }

// Task is one task of an occurrence.
type Task struct {
	Done    bool       `cbor:"1,keyasint,omitempty"`
	Attempt int        `cbor:"2,keyasint,omitempty"` // Number of the newest attempt; the members of a gang share it.
	Worker  WorkerLife `cbor:"3,keyasint,omitempty"` // Set while the newest attempt may be present on a worker.
	Saved   string     `cbor:"4,keyasint,omitempty"` // Newest known checkpoint; of a gang in its first task.
	Failed  int        `cbor:"5,keyasint,omitempty"` // Attempts that ended as failed; of a gang in its first task.
	Started int64      `cbor:"6,keyasint,omitempty"` // When the newest attempt was committed, Unix milliseconds.
	// FailedOn lists the workers on which attempts failed.
	FailedOn []string `cbor:"7,keyasint,omitempty"`
	// SavedAtStop is the attempt whose stop made Saved, which no periodic checkpoint of that attempt is newer than.
	SavedAtStop int `cbor:"8,keyasint,omitempty"`
	// Lost lists the newest attempts that were given up because their worker was silent. One of them may still be listed as done.
	Lost []int `cbor:"9,keyasint,omitempty"`
}

// Occupied tells whether an attempt of the task may be present on a worker.
func (t *Task) Occupied() bool { return t.Worker.ID != "" }

// Occurrence is one round of the steps of a job.
type Occurrence struct {
	Steps [][]Task `cbor:"1,keyasint"`
	Done  bool     `cbor:"2,keyasint,omitempty"`
}

// Job is an accepted job.
type Job struct {
	Spec        JobSpec       `cbor:"1,keyasint"`
	State       JobState      `cbor:"2,keyasint"`
	AcceptedMS  int64         `cbor:"3,keyasint"`
	EndedMS     int64         `cbor:"4,keyasint,omitempty"`
	Sequence    uint64        `cbor:"5,keyasint"` // Order of acceptance.
	Occurrences []*Occurrence `cbor:"6,keyasint"` // Those that have become due.
}

// Task returns a task, nil if it does not exist or is not due yet.
func (j *Job) Task(id TaskID) *Task {
	if id.Occurrence >= len(j.Occurrences) || id.Step >= len(j.Spec.Steps) {
		return nil
	}
	tasks := j.Occurrences[id.Occurrence].Steps[id.Step]
	if id.Index >= len(tasks) {
		return nil
	}
	return &tasks[id.Index]
}

// StepDone tells whether all tasks of a step are done.
func (o *Occurrence) StepDone(step int) bool {
	for i := range o.Steps[step] {
		if !o.Steps[step][i].Done {
			return false
		}
	}
	return true
}

// Ready tells whether all steps that a step depends on are done.
func (j *Job) Ready(o *Occurrence, step int) bool {
	for _, d := range j.Spec.Steps[step].DependsOn {
		if !o.StepDone(d) {
			return false
		}
	}
	return true
}

// WorkerLife identifies one lifetime of a worker. A worker that starts again under its identifier holds nothing of
// before.
type WorkerLife struct {
	ID     string `cbor:"1,keyasint,omitempty"`
	BornMS int64  `cbor:"2,keyasint,omitempty"` // Unix milliseconds of its start.
}

// Worker is a registered worker.
type Worker struct {
	Life     WorkerLife `cbor:"1,keyasint"`
	Pool     string     `cbor:"2,keyasint"`
	Address  string     `cbor:"3,keyasint"`
	Zone     string     `cbor:"4,keyasint"`
	Rack     string     `cbor:"5,keyasint,omitempty"`
	Labels   []string   `cbor:"6,keyasint,omitempty"`
	Capacity Resources  `cbor:"7,keyasint"`
	Draining bool       `cbor:"8,keyasint,omitempty"`
	Cursor   int64      `cbor:"9,keyasint,omitempty"` // Newest end of an attempt that is committed.
	Machine  string     `cbor:"10,keyasint,omitempty"`

	attempts map[TaskID]int // Derived: attempts that may be present, with their numbers.
	used     Resources      // Derived: what they take.
}

// Free returns the capacity that no attempt takes.
func (w *Worker) Free() Resources { return w.Capacity.Minus(w.used) }

// Attempts returns the attempts that may be present. The map must not be changed.
func (w *Worker) Attempts() map[TaskID]int { return w.attempts }

// HasLabel tells whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Outcome tells how an attempt ended.
type Outcome uint8

// Outcomes. Only OutcomeFailed counts against the attempt budget of a task.
const (
	OutcomeDone    Outcome = iota + 1
	OutcomeFailed          // Through its own fault or the worker's.
	OutcomeStopped         // By an order.
	OutcomeLapsed          // The lease expired.
	OutcomeBroken          // Another member of the gang ended.
	OutcomeAlone           // The other members did not come in time.
	OutcomeAbsent          // The worker never ran it and will reject it.
	OutcomeLost            // The worker's lifetime is over, or its lease has expired unheard.
)

var outcomeNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "absent", "lost"}

// String returns the name for logs.
func (o Outcome) String() string { return outcomeNames[o] }
