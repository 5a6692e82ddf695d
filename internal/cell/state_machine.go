package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Bounds of the replicated state; the oldest entries are dropped.
const (
	maxServiceResults = 1000  // Results of SetService commands.
	maxTombstones     = 20000 // Job identifiers that are never accepted again.
)

// decoder accepts strings with invalid UTF-8, which callers and endpoints may send: a replica must not fail to decode
// an entry that was committed.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // Only types of this package are encoded, and all of them can be.
	}
	return data
}

// stateMachine is the replicated state. It depends only on the applied entries, except for the times that each replica
// keeps for itself.
type stateMachine struct {
	zone   string
	tables *table.Tables

	serviceResults     map[string]serviceResult
	serviceResultOrder []string
	tombstones         map[string]tombstone
	tombstoneOrder     []string
	ended              []string // Ended jobs and completed hand-overs, oldest first.
	endedBytes         int      // Sum of retainedBytes over ended.
}

// serviceResult is the result of the first application of a SetService command.
type serviceResult struct {
	Command  string `cbor:"1,keyasint"`
	Conflict bool   `cbor:"2,keyasint,omitempty"`
	Out      bool   `cbor:"3,keyasint,omitempty"`
	Revision uint64 `cbor:"4,keyasint"`
}

// tombstone marks a job identifier that is never accepted again: it was refused, or it belonged to a no-repeat job that
// was removed after its end.
type tombstone struct {
	Job     string `cbor:"1,keyasint"`
	Refused bool   `cbor:"2,keyasint,omitempty"`
}

func newStateMachine(zone string) *stateMachine {
	return &stateMachine{zone: zone, tables: table.New(zone), serviceResults: map[string]serviceResult{},
		tombstones: map[string]tombstone{}}
}

// effect tells the dispatcher what an applied command did. The dispatcher's handlers look up jobs and attempts again,
// because further entries may have been applied in the meantime.
type effect struct {
	command   *Command
	changed   bool     // The command changed the tables.
	endedJobs []string // Jobs that it ended.
	attempt   *table.Attempt
	job       *table.Job
}

// apply applies one command of the entry with the given log index.
func (m *stateMachine) apply(now time.Duration, index uint64, c *Command) effect {
	e := effect{command: c}
	switch {
	case c.Submit != nil:
		m.applySubmit(now, index, c.Submit, &e)
	case c.Refuse != nil:
		m.applyRefuse(c.Refuse, &e)
	case c.PlaceAttempt != nil:
		m.applyPlace(now, c.PlaceAttempt, &e)
	case c.MarkRunning != nil:
		m.applyRunning(now, c.MarkRunning, &e)
	case c.EndAttempt != nil:
		m.applyEndAttempt(now, c.EndAttempt, &e)
	case c.FinishQueued != nil:
		m.applyFinishQueued(now, c.FinishQueued, &e)
	case c.Cancel != nil:
		m.applyCancel(now, c.Cancel, &e)
	case c.SetService != nil:
		m.applySetService(c.SetService, &e)
	case c.Adopt != nil:
		m.applyAdopt(now, c.Adopt, &e)
	case c.Leaving != nil:
		m.applyLeaving(c.Leaving, &e)
	case c.UpdateHandOver != nil:
		m.applyUpdateHandOver(now, c.UpdateHandOver, &e)
	case c.Forget != nil:
		m.applyForget(c.Forget, &e)
	}
	return e
}

// snapshot is the encoded form of the stateMachine.
type snapshot struct {
	Service    table.Service     `cbor:"1,keyasint"`
	Revision   uint64            `cbor:"2,keyasint"`
	Workspaces []table.Workspace `cbor:"3,keyasint,omitempty"`
	Jobs       []table.Job       `cbor:"4,keyasint,omitempty"`
	Attempts   []table.Attempt   `cbor:"5,keyasint,omitempty"`
	Leaving    []Leaving         `cbor:"6,keyasint,omitempty"`
	Commands   []serviceResult   `cbor:"7,keyasint,omitempty"`
	Tombstones []tombstone       `cbor:"8,keyasint,omitempty"`
	Ended      []string          `cbor:"9,keyasint,omitempty"`
}

func (m *stateMachine) snapshot() []byte {
	s := snapshot{Service: m.tables.Service, Revision: m.tables.Revision, Ended: m.ended}
	for _, w := range m.tables.Workspaces() {
		s.Workspaces = append(s.Workspaces, *w)
	}
	for _, j := range m.tables.Jobs() {
		s.Jobs = append(s.Jobs, *j)
	}
	for _, a := range m.tables.Attempts() {
		s.Attempts = append(s.Attempts, *a)
	}
	for worker, incarnation := range m.tables.Leaving() {
		s.Leaving = append(s.Leaving, Leaving{Worker: worker, Incarnation: incarnation})
	}
	slices.SortFunc(s.Leaving, func(a, b Leaving) int { return strings.Compare(a.Worker, b.Worker) })
	for _, id := range m.serviceResultOrder {
		s.Commands = append(s.Commands, m.serviceResults[id])
	}
	for _, id := range m.tombstoneOrder {
		s.Tombstones = append(s.Tombstones, m.tombstones[id])
	}
	return encode(s)
}

// restore replaces the replicated state by a snapshot. The deadlines and retention times of the jobs start again at
// now.
func (m *stateMachine) restore(now time.Duration, data []byte) error {
	var s snapshot
	if err := decoder.Unmarshal(data, &s); err != nil {
		return eris.Wrap(err, "decode the cell's snapshot")
	}
	fresh := newStateMachine(m.zone)
	fresh.tables.Service, fresh.tables.Revision = s.Service, s.Revision
	for i := range s.Workspaces {
		fresh.tables.PutWorkspace(&s.Workspaces[i])
	}
	for _, j := range s.Jobs {
		j.AppliedAt, j.EndedAt = now, now
		fresh.tables.AddJob(&j)
	}
	for _, a := range s.Attempts {
		if fresh.tables.Job(a.Job) == nil {
			return eris.Errorf("snapshot: attempt %s has no job", a.ID)
		}
		a.PlacedAt, a.RunningAt = now, now
		fresh.tables.AddAttempt(&a)
	}
	for _, l := range s.Leaving {
		fresh.tables.SetLeaving(l.Worker, l.Incarnation)
	}
	for _, r := range s.Commands {
		fresh.addServiceResult(r)
	}
	for _, t := range s.Tombstones {
		fresh.addTombstone(t)
	}
	for _, id := range s.Ended {
		fresh.addEnded(fresh.tables.Job(id))
	}
	*m.tables = *fresh.tables // In place, because others hold a pointer to the tables.
	fresh.tables = m.tables
	*m = *fresh
	return nil
}

func (m *stateMachine) addServiceResult(r serviceResult) {
	m.serviceResults[r.Command] = r
	m.serviceResultOrder = append(m.serviceResultOrder, r.Command)
	if len(m.serviceResultOrder) > maxServiceResults {
		delete(m.serviceResults, m.serviceResultOrder[0])
		m.serviceResultOrder = m.serviceResultOrder[1:]
	}
}

func (m *stateMachine) addTombstone(t tombstone) {
	if _, known := m.tombstones[t.Job]; known {
		return
	}
	m.tombstones[t.Job] = t
	m.tombstoneOrder = append(m.tombstoneOrder, t.Job)
	if len(m.tombstoneOrder) > maxTombstones {
		delete(m.tombstones, m.tombstoneOrder[0])
		m.tombstoneOrder = m.tombstoneOrder[1:]
	}
}

// addEnded appends a job that has ended or that another zone has taken over to the retained ones.
func (m *stateMachine) addEnded(j *table.Job) {
	if j == nil {
		return
	}
	m.ended = append(m.ended, j.ID)
	m.endedBytes += retainedBytes(j)
}

// removeEnded removes a job from the retained ones. The jobs of a Forget are the oldest ones, which the search finds at
// once.
func (m *stateMachine) removeEnded(j *table.Job) {
	i := slices.Index(m.ended, j.ID)
	switch {
	case i < 0:
		return
	case i == 0:
		m.ended = m.ended[1:]
	default:
		m.ended = slices.Delete(m.ended, i, i+1)
	}
	m.endedBytes -= retainedBytes(j)
}

// retainedBytes returns what a retained job counts against Options.RetainedBytes: its request and its answer.
func retainedBytes(j *table.Job) int {
	n := len(j.Body)
	if j.Answer != nil {
		n += len(j.Answer.Body) + len(j.Answer.Message)
	}
	return n
}
