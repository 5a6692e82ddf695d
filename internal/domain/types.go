// Package domain is the replicated state machine of a scheduling domain. Its state is the configuration, the jobs with
// their steps and tasks, the workers, and the attempts to run tasks on them. A domain may span several availability
// zones.
//
// The package does no I/O and reads no clock. State changes only through StateMachine.Apply, in the order of the log,
// so that all replicas hold the same state. Times are Unix milliseconds, set by the leader that proposed a command.
package domain

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// JobID identifies a job. Callers choose it.
type JobID string

// TaskID identifies one task of one occurrence of a job.
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

// StepName identifies the step of the task, in the form JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step),
		cmp.Compare(t.Index, o.Index))
}

// ParseTaskID parses the form that String returns.
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

// Resources is an amount of processor time, memory and accelerators.
type Resources struct {
	CPU          int64 `cbor:"1,keyasint,omitempty"` // Thousandths of a core.
	MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference of two amounts. It is negative where a worker is overcommitted.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns the amount multiplied by a number.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.MemoryMB * int64(n), r.Accelerators * int64(n)}
}

// Fits reports whether this amount can be taken from the free amount.
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

// maxCopies bounds the result of Copies for tasks that take nothing. It is higher than the number of tasks of any job.
const maxCopies = 1 << 20

// Step describes a set of identical tasks of a job.
type Step struct {
	Count           int       `cbor:"1,keyasint"`
	Task            Resources `cbor:"2,keyasint"`
	EstimateMS      int64     `cbor:"3,keyasint,omitempty"` // Run time of a task as declared; often far off.
	DependsOn       []int     `cbor:"4,keyasint,omitempty"` // Indexes of earlier steps that must be done first.
	Checkpointable  bool      `cbor:"5,keyasint,omitempty"`
	Gang            bool      `cbor:"6,keyasint,omitempty"`  // All tasks run at the same time, or none does.
	SameRack        bool      `cbor:"7,keyasint,omitempty"`  // Tasks are slow when spread over several racks.
	Label           string    `cbor:"8,keyasint,omitempty"`  // Label that the worker must have, empty for any worker.
	DataRack        string    `cbor:"9,keyasint,omitempty"`  // Rack that holds the data; tasks are slow in others.
	PerWorkerLimit  int       `cbor:"10,keyasint,omitempty"` // Most tasks of the step on one worker, 0 for no limit.
	Speculative     bool      `cbor:"11,keyasint,omitempty"` // Speculative copies of a task may run in parallel.
	LongRunning     bool      `cbor:"12,keyasint,omitempty"` // Runs until the job is cancelled.
	Image           string    `cbor:"13,keyasint,omitempty"`
	LatencyTargetMS int64     `cbor:"14,keyasint,omitempty"` // Latency target of tasks that serve requests; 0 for others.
	BestEffort      bool      `cbor:"15,keyasint,omitempty"` // Uses only processor time that is idle, see Demand.
	// MaxUnavailable limits the planned stops of long-running tasks: they must not leave more than this many tasks of the
	// step not working at once. 0 for no limit.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Demand returns what a task of the step takes from the capacity of a worker. Processor time that is used only while it
// is idle is not counted.
func (s *Step) Demand() Resources {
	if s.BestEffort {
		return Resources{MemoryMB: s.Task.MemoryMB, Accelerators: s.Task.Accelerators}
	}
	return s.Task
}

// JobSpec is a job as submitted by a caller, with the scheduling parameters that its queue had at that time.
type JobSpec struct {
	ID          JobID  `cbor:"1,keyasint"`
	Queue       string `cbor:"2,keyasint"`
	Pool        string `cbor:"3,keyasint"` // Service whose workers run the tasks.
	Workspace   string `cbor:"4,keyasint,omitempty"`
	Priority    int    `cbor:"5,keyasint,omitempty"` // 0 is the most urgent; its jobs may preempt others.
	MaxAttempts int    `cbor:"6,keyasint"`
	// Stretch and CompletionTargetMS define the time within which the job should complete, its objective: Stretch times
	// the longest chain of steps, plus CompletionTargetMS.
	Stretch            float64 `cbor:"7,keyasint,omitempty"`
	CompletionTargetMS int64   `cbor:"8,keyasint,omitempty"`
	Payload            string  `cbor:"9,keyasint,omitempty"`
	Steps              []Step  `cbor:"10,keyasint"`
	RepeatCount        int     `cbor:"11,keyasint,omitempty"` // Number of scheduled occurrences, 0 without a schedule.
	StartAtMS          int64   `cbor:"12,keyasint,omitempty"` // When the first occurrence is due, Unix milliseconds.
	IntervalMS         int64   `cbor:"13,keyasint,omitempty"` // Time from one occurrence to the next.
}

// Shape summarizes the steps for logs. "5g8a@r1-2~0" is a gang of 5 tasks with 8 accelerators each, whose data are in
// rack r1-2; "16t1a~0" is 16 independent tasks with 1 accelerator each. "=" marks a step that should run in one rack,
// "~" comes before the declared run time in milliseconds, "+" separates steps, and "x" comes before the number of
// occurrences.
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

// Occurrences returns how many times the steps are run in all.
func (s *JobSpec) Occurrences() int { return max(1, s.RepeatCount) }

// DueMS returns when occurrence k is due, 0 for a job without a schedule.
func (s *JobSpec) DueMS(k int) int64 {
	if s.RepeatCount == 0 {
		return 0
	}
	return s.StartAtMS + int64(k)*s.IntervalMS
}

// DueOccurrences returns how many occurrences of a schedule are due at a time, in Unix milliseconds.
func (s *JobSpec) DueOccurrences(atMS int64) int {
	switch {
	case s.RepeatCount == 0 || atMS < s.StartAtMS:
		return 0
	case s.IntervalMS <= 0:
		return s.RepeatCount
	}
	return int(min((uint64(atMS)-uint64(s.StartAtMS))/uint64(s.IntervalMS), uint64(s.RepeatCount)-1)) + 1
}

// JobState is the state of a job.
type JobState uint8

// States of a job. The last three are final.
const (
	JobPending JobState = iota // No attempt of any task is known to have begun on a worker.
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

var jobStateNames = [...]string{"pending", "running", "completed", "failed", "cancelled"}

// String returns the name that callers and logs get.
func (s JobState) String() string { return nameOf(jobStateNames[:], int(s)) }

// Final reports whether a job in this state has ended.
func (s JobState) Final() bool { return s >= JobCompleted }

// Task is the state of one task of an occurrence. The checkpoint and the failures of a gang are kept in its first task.
type Task struct {
	Done       bool              `cbor:"1,keyasint,omitempty"`
	Attempt    int               `cbor:"2,keyasint,omitempty"` // Number of the newest attempt; the same for a whole gang.
	Worker     WorkerIncarnation `cbor:"3,keyasint,omitempty"` // Set while the newest attempt may be present on a worker.
	Checkpoint string            `cbor:"4,keyasint,omitempty"` // Newest known checkpoint; of a gang in its first task.
	Failures   int               `cbor:"5,keyasint,omitempty"` // Failed attempts; failed runs of a gang in its first task.
	StartedMS  int64             `cbor:"6,keyasint,omitempty"` // When the newest attempt was committed, Unix milliseconds.
	// FailedRun is the newest run of a gang that has failed; set in the first task. Members that fail in the same run are
	// reported one by one, and the run counts once in Failures.
	FailedRun int `cbor:"11,keyasint,omitempty"`
	// FailedOn lists the workers on which attempts failed; of a gang in its first task.
	FailedOn []string `cbor:"7,keyasint,omitempty"`
	// StopCheckpointAttempt is the newest attempt of which a stop has made a checkpoint, 0 for none. No periodic
	// checkpoint of the same attempt is newer, so that none may replace it in Checkpoint.
	StopCheckpointAttempt int `cbor:"8,keyasint,omitempty"`
	// LostAttempts lists the newest attempts that ended with OutcomeLost. Their worker may answer again later, and then
	// report one of them as done.
	LostAttempts []int `cbor:"9,keyasint,omitempty"`
	// Moved is set if the newest attempt began on an earlier incarnation of its worker. A late start could still begin it
	// on the present one, which is to reject it before the task may start elsewhere.
	Moved bool `cbor:"10,keyasint,omitempty"`
}

// Assigned reports whether an attempt of the task may be present on a worker.
func (t *Task) Assigned() bool { return t.Worker.ID != "" }

// Occurrence is one run of all steps of a job. A job without a schedule has one.
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
	Sequence    uint64        `cbor:"5,keyasint"`           // Position in the order of acceptance.
	Occurrences []*Occurrence `cbor:"6,keyasint"`           // Those that have become due so far.
	EndedEpoch  uint64        `cbor:"7,keyasint,omitempty"` // Retention epoch in which it ended.

	firstOpen int // Derived: how many occurrences are done before the first one that is not.
}

// FirstOpen returns the index of the first occurrence that is not done, or how many there are.
func (j *Job) FirstOpen() int { return j.firstOpen }

// skipDone brings firstOpen up to date.
func (j *Job) skipDone() {
	for j.firstOpen < len(j.Occurrences) && j.Occurrences[j.firstOpen].Done {
		j.firstOpen++
	}
}

// Task returns the state of a task, nil if the task does not exist or its occurrence is not due yet.
func (j *Job) Task(id TaskID) *Task {
	if !within(id.Occurrence, len(j.Occurrences)) || !within(id.Step, len(j.Spec.Steps)) {
		return nil
	}
	tasks := j.Occurrences[id.Occurrence].Steps[id.Step]
	if !within(id.Index, len(tasks)) {
		return nil
	}
	return &tasks[id.Index]
}

// FailedRuns returns how often the task, or the gang, of the job that has failed most often has failed.
func (j *Job) FailedRuns() int {
	most := 0
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				most = max(most, o.Steps[s][i].Failures)
			}
		}
	}
	return most
}

// nameOf returns the name of a value that may have been decoded, and be one of a later version.
func nameOf(names []string, value int) string {
	if !within(value, len(names)) {
		return "invalid"
	}
	return names[value]
}

// within reports whether a number that was decoded is an index of a list of n elements.
func within(index, n int) bool { return index >= 0 && index < n }

// StepDone reports whether all tasks of a step are done.
func (o *Occurrence) StepDone(step int) bool {
	for i := range o.Steps[step] {
		if !o.Steps[step][i].Done {
			return false
		}
	}
	return true
}

// StepReady reports whether all steps that a step depends on are done.
func (j *Job) StepReady(o *Occurrence, step int) bool {
	for _, d := range j.Spec.Steps[step].DependsOn {
		if !o.StepDone(d) {
			return false
		}
	}
	return true
}

// WorkerIncarnation identifies one incarnation of a worker. A worker that restarts under the same identifier is another
// incarnation, which runs none of the earlier attempts.
type WorkerIncarnation struct {
	ID     string `cbor:"1,keyasint,omitempty"`
	BornMS int64  `cbor:"2,keyasint,omitempty"` // When the incarnation started, Unix milliseconds.
}

// Worker is a registered worker.
type Worker struct {
	Incarnation WorkerIncarnation `cbor:"1,keyasint"`
	Pool        string            `cbor:"2,keyasint"`
	Address     string            `cbor:"3,keyasint"`
	Zone        string            `cbor:"4,keyasint"`
	Rack        string            `cbor:"5,keyasint,omitempty"`
	Labels      []string          `cbor:"6,keyasint,omitempty"`
	Capacity    Resources         `cbor:"7,keyasint"`
	Draining    bool              `cbor:"8,keyasint,omitempty"`
	Cursor      int64             `cbor:"9,keyasint,omitempty"`  // Number of the last committed end in the worker's list.
	Machine     string            `cbor:"10,keyasint,omitempty"` // Machine that it runs on, empty if not reported.
	// LeavesInMS is the shortest time until a draining worker ends, as of the report; 0 if it is not stated. A report that
	// changes nothing else is not stored.
	LeavesInMS int64 `cbor:"11,keyasint,omitempty"`

	// Derived from the tasks, not part of a snapshot.
	attempts map[TaskID]int // Numbers of the attempts that may be present on the worker.
	used     Resources      // What these attempts take from the capacity.
}

// Free returns the capacity that is not taken by attempts.
func (w *Worker) Free() Resources { return w.Capacity.Minus(w.used) }

// Attempts returns the numbers of the attempts that may be present on the worker, by task. The map must not be changed.
func (w *Worker) Attempts() map[TaskID]int { return w.attempts }

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of attempts. Only OutcomeFailed counts against the attempts that a job allows for a task.
const (
	OutcomeDone         Outcome = iota + 1
	OutcomeFailed               // The task or its worker failed.
	OutcomeStopped              // Stopped by the leader.
	OutcomeLeaseExpired         // The worker ended it when its lease expired.
	OutcomeGangBroken           // The worker ended it because another member of the gang had ended.
	OutcomeGangTimeout          // The worker ended it because the other members of the gang did not start in time.
	OutcomeAbsent               // The worker lists it neither as running nor as ended, and will not start it.
	OutcomeLost                 // The worker's incarnation has ended, or its lease has expired without an answer from it.
)

var outcomeNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "absent", "lost"}

// String returns the name for logs.
func (o Outcome) String() string { return nameOf(outcomeNames[:], int(o)) }
