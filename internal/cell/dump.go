package cell

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Dump is the state of the whole cell for operators. It contains no bodies and no token digests.
type Dump struct {
	Zone       string          `json:"zone"`
	Applied    uint64          `json:"applied"`
	Service    table.Service   `json:"service"`
	Revision   uint64          `json:"adopted_revision"`
	Isolated   bool            `json:"isolated"`
	Workspaces []WorkspaceDump `json:"workspaces"`
	Jobs       []JobDump       `json:"jobs"`
	Attempts   []AttemptDump   `json:"attempts"`
	Workers    []WorkerDump    `json:"workers"`
	Leaving    []Leaving       `json:"leaving,omitempty"`
	Ended      int             `json:"ended_jobs"`
	EndedBytes int             `json:"ended_bytes"`
	Tombstones int             `json:"never_accepted"`
	Commands   int             `json:"command_results"`
	Zones      []ZoneView      `json:"zones,omitempty"`
	Dispatcher *DispatcherDump `json:"dispatcher,omitempty"`
}

// WorkspaceDump shows a workspace with its queues.
type WorkspaceDump struct {
	Name         string            `json:"name"`
	Revision     uint64            `json:"revision"`
	Guarantees   []table.Guarantee `json:"guarantees,omitempty"`
	SurplusShare int               `json:"surplus_share"`
	Limits       table.Limits      `json:"limits"`
	Queued       []string          `json:"queued,omitempty"` // Job identifiers by class, oldest first.
	Running      int               `json:"running_accelerators"`
	Borrowed     int               `json:"borrowed_accelerators"`
}

// JobDump shows a job.
type JobDump struct {
	ID            string   `json:"id"`
	Workspace     string   `json:"workspace"`
	State         string   `json:"state"`
	Attempt       string   `json:"attempt,omitempty"`
	Attempts      int      `json:"attempts"`
	Sequence      uint64   `json:"sequence"`
	NoRepeat      bool     `json:"no_repeat,omitempty"`
	MayHaveRun    bool     `json:"may_have_run,omitempty"`
	Cancelled     bool     `json:"cancelled,omitempty"`
	FailedWorkers []string `json:"failed_workers,omitempty"`
	AlsoFailed    []string `json:"also_failed_workers,omitempty"`
	HandedTo      string   `json:"handed_to,omitempty"`
	Outcome       string   `json:"outcome,omitempty"`
}

// AttemptDump shows a live attempt, and on the leader the state of its members.
type AttemptDump struct {
	ID       string       `json:"id"`
	Epoch    uint64       `json:"epoch"`
	Running  bool         `json:"running"`
	Borrowed bool         `json:"borrowed,omitempty"`
	Phase    string       `json:"phase,omitempty"`
	Reason   string       `json:"reason,omitempty"`
	Members  []MemberDump `json:"members"`
}

// MemberDump shows a member of an attempt.
type MemberDump struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	Reserved    bool   `json:"reserved,omitempty"`
	Ready       bool   `json:"ready,omitempty"`
	Opened      bool   `json:"opened,omitempty"`
	Result      string `json:"result,omitempty"`
	Stopped     bool   `json:"stopped,omitempty"`
	Lost        bool   `json:"lost,omitempty"`
	Calling     string `json:"calling,omitempty"`
}

// WorkerDump shows a worker.
type WorkerDump struct {
	ID          string        `json:"id"`
	Incarnation string        `json:"incarnation"`
	Rack        string        `json:"rack"`
	Address     string        `json:"address"`
	State       string        `json:"state"`
	LastSeen    time.Duration `json:"last_seen_ns"`
	Free        int           `json:"free_accelerators"`
	Attempts    []string      `json:"attempts,omitempty"`
}

// DispatcherDump shows the sizes of the dispatcher's tables on the leader.
type DispatcherDump struct {
	Epoch     uint64   `json:"epoch"`
	Suspended bool     `json:"suspended"`
	Requests  int      `json:"waiting_requests"`
	Calls     int      `json:"calls_in_flight"`
	Proposals int      `json:"commands_to_propose"`
	Timers    int      `json:"timers"`
	Planned   []string `json:"planned,omitempty"`
	HandOvers []string `json:"hand_overs,omitempty"`
}

var phaseNames = [...]string{phaseReserve: "reserve", phaseReady: "ready", phaseOpen: "open", phaseRunning: "running",
	phaseGrace: "grace", phaseStop: "stop", phaseEnded: "ended"}

// Dump returns a *Dump, which can be encoded as JSON.
func (c *Cell) Dump() any {
	tables := c.state.tables
	v := &Dump{Zone: c.options.Zone, Applied: c.appliedIndex, Service: tables.Service, Revision: tables.Revision,
		Isolated: c.isolated, Ended: len(c.state.ended), EndedBytes: c.state.endedBytes,
		Tombstones: len(c.state.tombstones), Commands: len(c.state.serviceResults), Zones: c.otherZones}
	for _, w := range tables.Workspaces() {
		v.Workspaces = append(v.Workspaces, c.dumpWorkspace(w))
	}
	for _, j := range tables.Jobs() {
		v.Jobs = append(v.Jobs, dumpJob(j))
	}
	for _, a := range tables.Attempts() {
		v.Attempts = append(v.Attempts, c.dumpAttempt(a))
	}
	for _, w := range tables.Workers() {
		v.Workers = append(v.Workers, WorkerDump{ID: w.ID, Incarnation: w.Incarnation, Rack: w.Rack,
			Address: w.Address, State: workerState(w), LastSeen: w.LastSeen, Free: w.FreeAccelerators(),
			Attempts: w.Attempts()})
	}
	for _, worker := range sortedKeys(tables.Leaving()) {
		v.Leaving = append(v.Leaving, Leaving{Worker: worker, Incarnation: tables.Leaving()[worker]})
	}
	if dispatcher := c.dispatcher; dispatcher != nil {
		v.Dispatcher = &DispatcherDump{Epoch: dispatcher.epoch, Suspended: dispatcher.suspended,
			Requests: len(dispatcher.openRequests), Calls: len(dispatcher.calls), Proposals: len(c.pending),
			Timers: dispatcher.timers.Len(), Planned: sortedKeys(dispatcher.planned),
			HandOvers: sortedKeys(dispatcher.handOvers)}
	}
	return v
}

func (c *Cell) dumpWorkspace(w *table.Workspace) WorkspaceDump {
	v := WorkspaceDump{Name: w.Name, Revision: w.Revision, Guarantees: w.Guarantees, SurplusShare: w.SurplusShare,
		Limits: w.Limits, Running: c.state.tables.RunningAccelerators(w.Name),
		Borrowed: c.state.tables.BorrowedAccelerators(w.Name)}
	for class := range table.ClassCount {
		for _, j := range c.state.tables.Queued(w.Name, class) {
			v.Queued = append(v.Queued, j.ID)
		}
	}
	return v
}

func dumpJob(j *table.Job) JobDump {
	v := JobDump{ID: j.ID, Workspace: j.Workspace, State: nameOf(stateNames[:], j.State), Attempt: j.Attempt,
		Attempts: j.AttemptCount, Sequence: j.Sequence, NoRepeat: j.NoRepeat, MayHaveRun: j.MayHaveRun,
		Cancelled: j.Cancelled, FailedWorkers: j.FailedWorkers, AlsoFailed: j.AlsoFailedWorkers, HandedTo: j.HandedTo}
	if j.State == table.JobHandedOver {
		v.State = "handed_over"
	}
	if j.Answer != nil {
		v.Outcome = string(j.Answer.Outcome)
	}
	return v
}

func (c *Cell) dumpAttempt(a *table.Attempt) AttemptDump {
	v := AttemptDump{ID: a.ID, Epoch: a.Epoch, Running: a.State == table.AttemptRunning, Borrowed: a.Borrowed}
	var r *trackedAttempt
	if c.dispatcher != nil {
		r = c.dispatcher.attempts[a.ID]
	}
	if r != nil {
		v.Phase, v.Reason = nameOf(phaseNames[:], r.phase), r.stopReason
	}
	for i, p := range a.Members {
		m := MemberDump{Worker: p.Worker, Incarnation: p.Incarnation}
		if r != nil {
			r.members[i].dump(&m)
		}
		v.Members = append(v.Members, m)
	}
	return v
}

func (m *member) dump(v *MemberDump) {
	v.Reserved, v.Ready, v.Opened = m.reserved, m.ready, m.opened
	v.Stopped, v.Lost = m.stopConfirmed, m.lost
	if m.result != nil {
		v.Result = string(m.result.Outcome)
	}
	if m.callID != 0 {
		v.Calling = string(m.callOp)
	}
}
