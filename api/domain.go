package api

// JobDocument is a job of steps to be run by a scheduling domain. The queue and the job identifier are not part of it;
// they are in the request path.
type JobDocument struct {
	// Payload is passed to the workers with each task; at most 4,000 bytes.
	Payload string    `json:"payload,omitempty"`
	Steps   []JobStep `json:"steps"`
	// Schedule makes the steps run repeatedly; nil for a job that runs once and is due at once.
	Schedule *JobSchedule `json:"schedule,omitempty"`
}

// JobSchedule runs the steps of a job Count times. Each run is an occurrence: occurrence K, counted from 0, is due at
// StartAtMS + K x IntervalMS.
type JobSchedule struct {
	Count      int   `json:"count"`
	StartAtMS  int64 `json:"start_at_ms"` // Unix milliseconds.
	IntervalMS int64 `json:"interval_ms"`
}

// JobStep describes a step of a job: Count tasks with the same requirements.
type JobStep struct {
	Count          int    `json:"count"`
	CPUMillis      int64  `json:"cpu_millis,omitempty"` // Thousandths of a core, per task.
	MemoryMB       int64  `json:"memory_mb,omitempty"`
	Accelerators   int64  `json:"accelerators,omitempty"`
	EstimateMS     int64  `json:"estimate_ms,omitempty"`    // Expected run time of a task; only a hint.
	DependsOn      []int  `json:"depends_on,omitempty"`     // Indexes (from 0) of earlier steps that must be done first.
	Checkpointable bool   `json:"checkpointable,omitempty"` // A task that was stopped continues from its checkpoint.
	Gang           bool   `json:"gang,omitempty"`           // All tasks run together or not at all.
	SameRack       bool   `json:"same_rack,omitempty"`      // The tasks run slowly when they are spread over racks.
	Label          string `json:"label,omitempty"`          // Label that a worker must have to run the tasks.
	DataRack       string `json:"data_rack,omitempty"`      // Rack that holds the data; the tasks run slowly in other racks.
	PerWorker      int    `json:"per_worker,omitempty"`     // Most tasks of the step on one worker; 0 for no limit.
	LongRunning    bool   `json:"long_running,omitempty"`   // The tasks run until the job is cancelled.
	MayMiss        int    `json:"may_miss,omitempty"`       // Most long-running tasks that planned work may keep away at once; 0 for no limit.
	Image          string `json:"image,omitempty"`          // Identifies what the tasks run; tasks with the same image behave alike.
	TargetMS       int64  `json:"target_ms,omitempty"`      // Latency target of tasks that serve requests.
	Fills          bool   `json:"fills,omitempty"`          // The tasks are best-effort: they use only processor time that other tasks leave unused.
}

// QueueJob describes a job of a scheduling domain to its caller.
type QueueJob struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	State string `json:"state"` // "accepted", "pending", "running", "completed", "failed" or "cancelled".
}

// QueueStatus tells how long a queue is.
type QueueStatus struct {
	Queue   string `json:"queue"`
	Waiting int    `json:"waiting"` // Number of accepted jobs of which no task has started.
}

// DomainStatus is the state of a scheduling domain, as known to one of the hosts that keep it.
type DomainStatus struct {
	Host          string       `json:"host"`   // Host that answers.
	Leader        string       `json:"leader"` // Empty if unknown.
	Term          uint64       `json:"term"`
	Voters        []string     `json:"voters"`
	KnownHosts    []string     `json:"known_hosts"`
	ConfigVersion int64        `json:"config_version"` // Configuration in force on the host that answers; 0 for none.
	ZonesOut      []string     `json:"zones_out,omitempty"`
	OpenJobs      int          `json:"open_jobs"`
	Workers       int          `json:"workers"`
	Attempts      int          `json:"attempts"`
	Waves         []WaveStatus `json:"waves,omitempty"`
}

// WaveStatus is the progress of a wave of upkeep, which is an operator's request to maintain a set of machines, a few at a
// time.
type WaveStatus struct {
	Number    int64 `json:"number"`
	Machines  int   `json:"machines"`
	Over      int   `json:"over"`      // Machines whose upkeep is over: they are back, or will not come back.
	Down      int   `json:"down"`      // Machines that are in upkeep, or may be.
	Completed bool  `json:"completed"` // The upkeep of all machines is over.
}

// DomainWorker is a worker of a scheduling domain.
type DomainWorker struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Address      string `json:"address"`
	Draining     bool   `json:"draining,omitempty"`
	Accelerators int64  `json:"accelerators"`
	Free         int64  `json:"free_accelerators"`
	Attempts     int    `json:"attempts"`
}

// DomainWorkers is a list of workers of a scheduling domain.
type DomainWorkers struct {
	Workers []DomainWorker `json:"workers"`
}

// JobExplanation describes the progress of a job of a scheduling domain and what it waits for.
type JobExplanation struct {
	ID         string            `json:"id"`
	Queue      string            `json:"queue"`
	Workspace  string            `json:"workspace"`
	State      string            `json:"state"`
	Priority   int               `json:"priority"`    // 0 goes first.
	AcceptedMS int64             `json:"accepted_ms"` // Unix milliseconds.
	EndedMS    int64             `json:"ended_ms,omitempty"`
	Host       string            `json:"host"`  // Host that answers, and whose state this is.
	Leads      bool              `json:"leads"` // Host is the leader. Only the leader knows what keeps tasks from workers.
	Steps      []StepExplanation `json:"steps"`
	Attempts   []AttemptState    `json:"attempts,omitempty"`
}

// StepExplanation describes the progress of a step in one occurrence of the job.
type StepExplanation struct {
	Occurrence int   `json:"occurrence"`
	Step       int   `json:"step"`
	Tasks      int   `json:"tasks"`
	Done       int   `json:"done"`
	Placed     int   `json:"placed"`               // Tasks with an attempt that may be present on a worker.
	Failed     int   `json:"failed_attempts"`      // Failed attempts of its tasks.
	Blocked    []int `json:"blocked_by,omitempty"` // Indexes of steps that must be done first and are not.
	// WaitedMS is how long the tasks of the step have waited for workers; 0 if they do not wait. Only the leader knows it.
	WaitedMS int64 `json:"waited_ms,omitempty"`
	// Workers counts the workers by the reason that keeps tasks of the step from them. Only the leader knows it.
	Workers map[string]int `json:"workers,omitempty"`
}

// AttemptState describes an attempt to run a task. The attempt may be present on the worker.
type AttemptState struct {
	Task      string `json:"task"`
	Attempt   int    `json:"attempt"`
	Worker    string `json:"worker"`
	StartedMS int64  `json:"started_ms"` // Unix milliseconds.
}

// PlacementExplanation tells what would happen to a job if it were submitted now.
type PlacementExplanation struct {
	Host   string `json:"host"`             // Host that answers.
	Leads  bool   `json:"leads"`            // Host is the leader. Otherwise the further fields but Leader are empty.
	Leader string `json:"leader,omitempty"` // Empty if unknown.
	Queue  string `json:"queue,omitempty"`
	// Workspace is that of the token, empty for a public queue without a token.
	Workspace string `json:"workspace,omitempty"`
	Priority  int    `json:"priority"` // 0 goes first.
	// Refused is why a submission would be refused at present: "quota" if a step is larger than the maximum of the workspace,
	// "jobs_full" if there is no room for further jobs. Steps describes the placement without the refusal.
	Refused     string          `json:"refused,omitempty"`
	FleetUneven bool            `json:"fleet_uneven"` // The speeds of workers affect the decision.
	Steps       []StepPlacement `json:"steps,omitempty"`
}

// StepPlacement tells what would happen to a step of a job that is submitted now. A schedule counts as due.
type StepPlacement struct {
	Step    int             `json:"step"`
	Tasks   int             `json:"tasks"`
	Blocked []int           `json:"blocked_by,omitempty"` // Indexes of steps that must be done first.
	Workers []ChosenWorker  `json:"workers,omitempty"`    // On which tasks would start.
	Stops   []AttemptToStop `json:"stops,omitempty"`      // Attempts that would be stopped to make room.
	Waiting int             `json:"waiting,omitempty"`    // Tasks that would not start at once.
	// Reasons counts the workers by the reason that keeps waiting tasks from them, after the starts of the same decision. It is
	// given for the first 16 steps with waiting tasks.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// ChosenWorker is a worker on which tasks of a step would start.
type ChosenWorker struct {
	Worker string  `json:"worker"`
	Zone   string  `json:"zone"`
	Rack   string  `json:"rack"`
	Tasks  int     `json:"tasks"`
	Speed  float64 `json:"speed,omitempty"` // Relative to the median of the fleet; 0 if unknown.
}

// AttemptToStop is an attempt that would be stopped.
type AttemptToStop struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
}
