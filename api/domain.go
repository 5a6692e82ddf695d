package api

// JobDocument asks a scheduling domain to run a job of steps. The queue and the identifier are in the path.
type JobDocument struct {
	// Payload is passed to the workers with each task, at most 4,000 bytes.
	Payload string    `json:"payload,omitempty"`
	Steps   []JobStep `json:"steps"`
	// Schedule repeats the steps; absent for a job that runs once, now.
	Schedule *JobSchedule `json:"schedule,omitempty"`
}

// JobSchedule repeats the steps of a job. Occurrence K, from 0, is due at StartAtMS + K x IntervalMS.
type JobSchedule struct {
	Count      int   `json:"count"`
	StartAtMS  int64 `json:"start_at_ms"` // Unix milliseconds.
	IntervalMS int64 `json:"interval_ms"`
}

// JobStep describes equal tasks of a job.
type JobStep struct {
	Count          int    `json:"count"`
	CPUMillis      int64  `json:"cpu_millis,omitempty"` // Thousandths of a core, per task.
	MemoryMB       int64  `json:"memory_mb,omitempty"`
	Accelerators   int64  `json:"accelerators,omitempty"`
	EstimateMS     int64  `json:"estimate_ms,omitempty"`    // Expected run time of a task, a hint only.
	DependsOn      []int  `json:"depends_on,omitempty"`     // Earlier steps, from 0, that must be done first.
	Checkpointable bool   `json:"checkpointable,omitempty"` // Tasks continue from their checkpoints.
	Gang           bool   `json:"gang,omitempty"`           // All tasks run together or not at all.
	SameRack       bool   `json:"same_rack,omitempty"`      // Slow when spread over racks.
	Label          string `json:"label,omitempty"`          // Label that the worker must have.
	DataRack       string `json:"data_rack,omitempty"`      // Rack that holds the data; other racks are slow.
	PerWorker      int    `json:"per_worker,omitempty"`     // Most tasks of the step on one worker, 0 for any number.
	LongRunning    bool   `json:"long_running,omitempty"`   // Runs until the job is cancelled.
	MayMiss        int    `json:"may_miss,omitempty"`       // Lasting tasks that planned work may keep away at once.
	Image          string `json:"image,omitempty"`          // Names what the tasks run; tasks of one image behave alike.
	TargetMS       int64  `json:"target_ms,omitempty"`      // Latency target of tasks that serve.
	Fills          bool   `json:"fills,omitempty"`          // Takes the processor time that other tasks leave unused.
}

// QueueJob is a job of a scheduling domain as its caller sees it.
type QueueJob struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	State string `json:"state"` // accepted, pending, running, completed, failed or cancelled.
}

// QueueStatus is the length of a queue.
type QueueStatus struct {
	Queue   string `json:"queue"`
	Waiting int    `json:"waiting"` // Accepted jobs of which no task has started.
}

// DomainStatus is a scheduling domain as one of its hosts sees it.
type DomainStatus struct {
	Host          string       `json:"host"`
	Leader        string       `json:"leader"` // Empty if unknown.
	Term          uint64       `json:"term"`
	Voters        []string     `json:"voters"`
	KnownHosts    []string     `json:"known_hosts"`
	ConfigVersion int64        `json:"config_version"` // In force on this host, 0 for none.
	ZonesOut      []string     `json:"zones_out,omitempty"`
	OpenJobs      int          `json:"open_jobs"`
	Workers       int          `json:"workers"`
	Attempts      int          `json:"attempts"`
	Waves         []WaveStatus `json:"waves,omitempty"`
}

// WaveStatus is how far a wave of upkeep is.
type WaveStatus struct {
	Number    int64 `json:"number"`
	Machines  int   `json:"machines"`
	Over      int   `json:"over"` // Machines that have had their upkeep.
	Down      int   `json:"down"`
	Completed bool  `json:"completed"`
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

// DomainWorkers lists workers.
type DomainWorkers struct {
	Workers []DomainWorker `json:"workers"`
}

// JobExplanation tells where a job of a domain stands and what it waits for.
type JobExplanation struct {
	ID         string            `json:"id"`
	Queue      string            `json:"queue"`
	Workspace  string            `json:"workspace"`
	State      string            `json:"state"`
	Priority   int               `json:"priority"`
	AcceptedMS int64             `json:"accepted_ms"` // Unix milliseconds.
	EndedMS    int64             `json:"ended_ms,omitempty"`
	Host       string            `json:"host"`  // Whose state this is.
	Leads      bool              `json:"leads"` // Only the leader knows what keeps tasks from workers.
	Steps      []StepExplanation `json:"steps"`
	Attempts   []AttemptState    `json:"attempts,omitempty"`
}

// StepExplanation tells where a step of an occurrence stands.
type StepExplanation struct {
	Occurrence int   `json:"occurrence"`
	Step       int   `json:"step"`
	Tasks      int   `json:"tasks"`
	Done       int   `json:"done"`
	Placed     int   `json:"placed"` // Tasks with an attempt on a worker.
	Failed     int   `json:"failed_attempts"`
	Blocked    []int `json:"blocked_by,omitempty"` // Steps that must be done first.
	WaitedMS   int64 `json:"waited_ms,omitempty"`
	// Workers counts the workers by what keeps a task of the step from them.
	Workers map[string]int `json:"workers,omitempty"`
}

// AttemptState is an attempt that may be present on a worker.
type AttemptState struct {
	Task      string `json:"task"`
	Attempt   int    `json:"attempt"`
	Worker    string `json:"worker"`
	StartedMS int64  `json:"started_ms"` // Unix milliseconds.
}
