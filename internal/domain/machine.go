package domain

import (
	"cmp"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Result is the effect of a command on the state.
type Result uint8

// Results of commands.
const (
	Applied    Result = iota
	NotChanged        // The command repeats an earlier one, or a later change has made it obsolete.
	NotFound          // The job, worker or machine that the command names does not exist.
	Superseded        // The command follows a state that is not the present one.
	Expired           // The submission is so old that the end of its job may have been forgotten.
)

// StateMachine is the replicated state machine. It is not safe for concurrent use.
type StateMachine struct {
	state state
	index configIndex
	open  map[JobID]*Job // Derived from the state: jobs that have not ended.
	// endedWithAttempts is derived from the state: ended jobs of which attempts may still be present on workers.
	endedWithAttempts      map[JobID]*Job
	inUse                  map[string]Resources // Derived from the tasks, see InUse.
	registrationBytes      int                  // Derived from the state, see RegistrationBytes.
	jobBytes               int                  // Derived from the state, see JobBytes.
	speedsUnreadable       bool                 // See SpeedsUnreadable.
	interferenceUnreadable bool                 // See InterferenceUnreadable.
}

// state is the content of a snapshot.
type state struct {
	Config   *Config            `cbor:"1,keyasint,omitempty"`
	ZonesOut map[string]bool    `cbor:"2,keyasint,omitempty"`
	Jobs     map[JobID]*Job     `cbor:"3,keyasint,omitempty"`
	Workers  map[string]*Worker `cbor:"4,keyasint,omitempty"`
	Sequence uint64             `cbor:"5,keyasint,omitempty"` // Job.Sequence of the job accepted last.
	RunTimes map[string]int64   `cbor:"6,keyasint,omitempty"` // Milliseconds by queue, see RunTime.
	Waves    map[int64]*Wave    `cbor:"7,keyasint,omitempty"`
	// Cancellations of jobs that were not known, by cancellationKey.
	Cancellations map[string]cancellation `cbor:"8,keyasint,omitempty"`
	ZoneOrders    uint64                  `cbor:"9,keyasint,omitempty"`  // Executed orders for zones that had a revision.
	Purges        uint64                  `cbor:"10,keyasint,omitempty"` // Retention epochs that are over.
	Speeds        speedRecords            `cbor:"11,keyasint,omitempty"` // By Worker.SpeedKey.
	Interference  interferenceRecords     `cbor:"12,keyasint,omitempty"`
}

// New returns a state machine with an empty state.
func New() *StateMachine {
	m := &StateMachine{}
	m.load(state{})
	return m
}

// Restore replaces the state by that of a snapshot.
func (m *StateMachine) Restore(snapshot []byte) error {
	var s state
	if err := decoder.Unmarshal(snapshot, &s); err != nil {
		return eris.Wrap(err, "decoding a snapshot of the domain")
	}
	if err := s.check(); err != nil {
		return eris.Wrap(err, "checking a snapshot of the domain")
	}
	m.load(s)
	return nil
}

// Snapshot returns the encoded state.
func (m *StateMachine) Snapshot() []byte {
	data, err := cbor.Marshal(m.state)
	if err != nil {
		panic(eris.Wrap(err, "encoding a snapshot of the domain"))
	}
	return data
}

// load replaces the state and derives the lookup tables from it.
func (m *StateMachine) load(s state) {
	if s.ZonesOut == nil {
		s.ZonesOut = map[string]bool{}
	}
	if s.Jobs == nil {
		s.Jobs = map[JobID]*Job{}
	}
	if s.Workers == nil {
		s.Workers = map[string]*Worker{}
	}
	if s.RunTimes == nil {
		s.RunTimes = map[string]int64{}
	}
	if s.Waves == nil {
		s.Waves = map[int64]*Wave{}
	}
	if s.Cancellations == nil {
		s.Cancellations = map[string]cancellation{}
	}
	if s.Speeds == nil {
		s.Speeds = speedRecords{}
	}
	m.state = s
	m.loadSpeeds()
	m.loadInterference()
	m.open = map[JobID]*Job{}
	m.endedWithAttempts = map[JobID]*Job{}
	m.inUse = map[string]Resources{}
	m.indexConfig()
	m.registrationBytes, m.jobBytes = 0, 0
	for _, w := range s.Workers {
		w.attempts = map[TaskID]int{}
		m.registrationBytes += w.RegistrationBytes()
	}
	for key := range s.Cancellations {
		m.jobBytes += cancellationBytes(key)
	}
	for id, j := range s.Jobs {
		m.jobBytes += j.bytes()
		j.skipDone()
		if !j.State.Final() {
			m.open[id] = j
		}
		m.indexAttempts(id, j)
	}
}

// indexAttempts adds the attempts of a job to their workers. An ended job that has attempts is added to
// endedWithAttempts.
func (m *StateMachine) indexAttempts(id JobID, j *Job) {
	for k, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				t := &o.Steps[s][i]
				if !t.Assigned() {
					continue
				}
				m.addToWorker(TaskID{id, k, s, i}, j, t)
				if j.State.Final() {
					m.endedWithAttempts[id] = j
				}
			}
		}
	}
}

// addToWorker adds the newest attempt of a task to those on its worker, and takes its demand from the free capacity.
func (m *StateMachine) addToWorker(id TaskID, j *Job, t *Task) {
	if w := m.state.Workers[t.Worker.ID]; w != nil && w.Incarnation == t.Worker {
		w.attempts[id] = t.Attempt
		w.used = w.used.Plus(j.Spec.Steps[id.Step].Demand())
		m.countAttempt(id, j)
	}
}

// removeFromWorker removes the newest attempt of a task from those on its worker, and frees its demand
// and its part of the quota.
func (m *StateMachine) removeFromWorker(id TaskID, j *Job, t *Task) {
	if w := m.state.Workers[t.Worker.ID]; w != nil && w.Incarnation == t.Worker {
		if _, present := w.attempts[id]; present {
			delete(w.attempts, id)
			w.used = w.used.Minus(j.Spec.Steps[id.Step].Demand())
			m.discountAttempt(id, j)
		}
	}
	t.Worker, t.Moved = WorkerIncarnation{}, false
}

// indexConfig builds the lookup tables of the configuration in force.
func (m *StateMachine) indexConfig() {
	x := configIndex{
		byKey:      map[string]string{},
		byHost:     map[string][]Queue{},
		queues:     map[string]Queue{},
		pools:      map[string]Pool{},
		workspaces: map[string]Workspace{},
	}
	if c := m.state.Config; c != nil {
		for _, q := range c.Queues {
			x.byHost[q.Host] = append(x.byHost[q.Host], q)
			x.queues[q.Name] = q
		}
		for _, list := range x.byHost {
			slices.SortFunc(list, func(a, b Queue) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
		}
		for _, p := range c.Pools {
			x.pools[p.Name] = p
		}
		for _, w := range c.Workspaces {
			x.workspaces[w.Name] = w
			for _, k := range w.Keys {
				x.byKey[k] = w.Name
			}
		}
	}
	m.index = x
}

// Apply executes a committed command.
func (m *StateMachine) Apply(c *Command) Result {
	switch {
	case c.Config != nil:
		return m.applyConfig(c.Config)
	case c.Zone != nil:
		return m.applyZone(c.Zone)
	case c.Submit != nil:
		return m.applySubmit(c.Submit, c.RetentionEpoch, c.AtMS)
	case c.Cancel != nil:
		return m.applyCancel(c.Cancel, c.AtMS)
	case c.Register != nil:
		return m.applyRegister(c.Register, c.NoTakeover)
	case c.Forget != nil:
		return m.applyForget(c.Forget.Incarnation, c.AtMS)
	case c.Start != nil:
		return m.applyStart(c.Start, c.AtMS)
	case c.End != nil:
		return m.applyEnds(c.End, c.AtMS)
	case c.Release != nil:
		return m.applyRelease(c.Release)
	case c.Purge != nil:
		return m.applyPurge(c.Purge)
	case c.Wave != nil:
		return m.applyWave(c.Wave, c.AtMS)
	case c.Upkeep != nil:
		return m.applyUpkeep(c.Upkeep, c.AtMS)
	case c.Begun != nil:
		return m.applyBegun(c.Begun)
	case c.Speeds != nil:
		return m.applySpeeds(c.Speeds, c.AtMS)
	case c.Interference != nil:
		return m.applyInterference(c.Interference, c.AtMS)
	}
	return NotChanged
}

func (m *StateMachine) applyConfig(c *Config) Result {
	if m.state.Config != nil && c.Version <= m.state.Config.Version {
		return NotChanged
	}
	m.state.Config = c
	m.indexConfig()
	return Applied
}

func (m *StateMachine) applyZone(z *SetZone) Result {
	if z.Revision != 0 {
		if z.Revision != m.ZoneRevision() {
			return Superseded
		}
		m.state.ZoneOrders++ // Also for an order that changes nothing: an older one must not be executed after it.
	}
	if m.state.ZonesOut[z.Zone] == z.Out {
		return NotChanged
	}
	if z.Out {
		m.state.ZonesOut[z.Zone] = true
	} else {
		delete(m.state.ZonesOut, z.Zone)
	}
	return Applied
}

// Config returns the configuration in force, nil if there is none yet.
func (m *StateMachine) Config() *Config { return m.state.Config }

// QueueFor returns the queue of the host whose path prefix is the longest one that matches the path.
func (m *StateMachine) QueueFor(host, path string) (Queue, bool) {
	for _, q := range m.index.byHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) {
			return q, true
		}
	}
	return Queue{}, false
}

// QueueNamed returns a queue by its name.
func (m *StateMachine) QueueNamed(name string) (Queue, bool) {
	q, ok := m.index.queues[name]
	return q, ok
}

// AdviceFor returns the parameters of calls for advice about a queue's jobs, nil if the queue needs no advice.
func (m *StateMachine) AdviceFor(queue string) *Advice { return m.index.queues[queue].Advice }

// HasPool reports whether the configuration in force names a pool.
func (m *StateMachine) HasPool(name string) bool {
	_, ok := m.index.pools[name]
	return ok
}

// WorkspaceOf returns the name of the workspace that an API key belongs to. A caller without a key belongs to none, also if
// a configuration that an earlier version stored has an empty key.
func (m *StateMachine) WorkspaceOf(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	w, ok := m.index.byKey[key]
	return w, ok
}

// Guarantee returns the accelerators that are guaranteed to a workspace for jobs of priority 0, if necessary by
// preemption.
func (m *StateMachine) Guarantee(workspace string) int64 {
	return m.index.workspaces[workspace].GuaranteedAccelerators
}

// ZoneOut reports whether a zone is out of service.
func (m *StateMachine) ZoneOut(zone string) bool { return m.state.ZonesOut[zone] }

// ZoneRevision returns the revision of the zones, which each executed order for a zone increases. It is never 0.
func (m *StateMachine) ZoneRevision() uint64 { return m.state.ZoneOrders + 1 }

// ZonesOut returns the zones that are out of service, sorted.
func (m *StateMachine) ZonesOut() []string {
	var out []string
	for z := range m.state.ZonesOut {
		out = append(out, z)
	}
	slices.Sort(out)
	return out
}

// Job returns an accepted job, nil if there is none.
func (m *StateMachine) Job(id JobID) *Job { return m.state.Jobs[id] }

// JobCount returns the number of stored jobs, including those that have ended.
func (m *StateMachine) JobCount() int { return len(m.state.Jobs) }

// Jobs returns all stored jobs by identifier, including those that have ended. The map must not be changed.
func (m *StateMachine) Jobs() map[JobID]*Job { return m.state.Jobs }

// OpenJobs returns the jobs that have not ended, by identifier. The map must not be changed.
func (m *StateMachine) OpenJobs() map[JobID]*Job { return m.open }

// EndedWithAttempts returns the ended jobs of which attempts may still be present on workers. The map must not be
// changed.
func (m *StateMachine) EndedWithAttempts() map[JobID]*Job { return m.endedWithAttempts }

// Worker returns a worker by identifier, nil if there is none.
func (m *StateMachine) Worker(id string) *Worker { return m.state.Workers[id] }

// Workers returns the workers by identifier. The map must not be changed.
func (m *StateMachine) Workers() map[string]*Worker { return m.state.Workers }

// RunTime returns the moving average of the measured run times of a queue's tasks, in milliseconds, 0 if no task is
// done yet. It is kept because declared run times are off by an order of magnitude.
func (m *StateMachine) RunTime(queue string) int64 { return m.state.RunTimes[queue] }

// Waiting returns the number of open jobs of a queue of which no attempt is known to have begun on a worker.
func (m *StateMachine) Waiting(queue string) int {
	n := 0
	for _, j := range m.open {
		if j.Spec.Queue == queue && j.State == JobPending {
			n++
		}
	}
	return n
}
