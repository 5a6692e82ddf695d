package table

import (
	"cmp"
	"slices"
	"sort"
)

// Tables holds the entities of one zone.
type Tables struct {
	Zone     string
	Service  Service
	Revision uint64 // Deployment revision adopted by the zone.

	workspaces           map[string]*Workspace
	jobs                 map[string]*Job
	attempts             map[string]*Attempt
	workers              map[string]*Worker
	workersByRack        map[string][]*Worker
	leavingIncarnations  map[string]string // Leaving endpoint incarnation by worker; replicated.
	jobsByKey            map[string]string // Job identifier by workspace and idempotency key; see jobKey.
	queues               map[string]*Queue // By workspace.
	runningAccelerators  map[string]int    // Accelerators held by live attempts, by workspace.
	borrowedAccelerators map[string]int    // Of these, accelerators held by borrowed attempts.
	openJobs             map[string]int    // Number of jobs neither ended nor handed over, by workspace.
	index                Index
	deadlines            deadlines
	queuedCount          int // Number of queued jobs of all workspaces.
	observer             Observer
	version              uint64

	queuedNames []string // Cached names of workspaces with queued jobs; nil if it must be computed again.
}

// New returns empty tables for a zone.
func New(zone string) *Tables {
	return &Tables{
		Zone:                 zone,
		workspaces:           map[string]*Workspace{},
		jobs:                 map[string]*Job{},
		attempts:             map[string]*Attempt{},
		workers:              map[string]*Worker{},
		workersByRack:        map[string][]*Worker{},
		leavingIncarnations:  map[string]string{},
		jobsByKey:            map[string]string{},
		queues:               map[string]*Queue{},
		runningAccelerators:  map[string]int{},
		borrowedAccelerators: map[string]int{},
		openJobs:             map[string]int{},
	}
}

// Workspace returns a workspace, or nil.
func (t *Tables) Workspace(name string) *Workspace { return t.workspaces[name] }

// Workspaces returns all workspaces, ordered by name.
func (t *Tables) Workspaces() []*Workspace {
	return sortedByID(t.workspaces, func(w *Workspace) string { return w.Name })
}

// PutWorkspace adds or replaces a workspace.
func (t *Tables) PutWorkspace(w *Workspace) {
	t.workspaces[w.Name] = w
	t.workspaceChanged(w.Name)
}

// RemoveWorkspace removes a workspace. Its jobs stay.
func (t *Tables) RemoveWorkspace(name string) {
	delete(t.workspaces, name)
	t.workspaceChanged(name)
}

// Job returns a job, or nil.
func (t *Tables) Job(id string) *Job { return t.jobs[id] }

// Jobs returns all jobs, ordered by sequence.
func (t *Tables) Jobs() []*Job {
	out := make([]*Job, 0, len(t.jobs))
	for _, j := range t.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, bySequence)
	return out
}

// JobCount returns the number of jobs in the table, ended ones included.
func (t *Tables) JobCount() int { return len(t.jobs) }

// OpenJobs returns the number of jobs of a workspace that have not ended and were not handed over.
func (t *Tables) OpenJobs(workspace string) int { return t.openJobs[workspace] }

// JobByKey returns the job that holds an idempotency key of a workspace, or nil.
func (t *Tables) JobByKey(workspace, key string) *Job {
	if key == "" {
		return nil
	}
	return t.jobs[t.jobsByKey[jobKey(workspace, key)]]
}

// AddJob inserts a job in the state that it has, and indexes it.
func (t *Tables) AddJob(j *Job) {
	t.version++
	t.jobs[j.ID] = j
	if j.Key != "" {
		t.jobsByKey[jobKey(j.Workspace, j.Key)] = j.ID
	}
	if isOpen(j.State) {
		t.openJobs[j.Workspace]++
	}
	if j.State == JobQueued {
		t.enqueue(j)
	}
}

// SetJobState changes the state of a job and updates the queues and counts accordingly.
func (t *Tables) SetJobState(j *Job, s JobState) {
	if j.State == s {
		return
	}
	t.version++
	if j.State == JobQueued {
		t.dequeue(j)
	}
	if isOpen(j.State) && !isOpen(s) {
		t.openJobs[j.Workspace]--
	}
	if !isOpen(j.State) && isOpen(s) {
		t.openJobs[j.Workspace]++
	}
	j.State = s
	if s == JobQueued {
		t.enqueue(j)
	}
}

// RemoveJob removes a job that has ended or was handed over, together with its idempotency key. Other jobs stay.
func (t *Tables) RemoveJob(id string) {
	j := t.jobs[id]
	if j == nil || isOpen(j.State) {
		return
	}
	delete(t.jobs, id)
	if j.Key != "" && t.jobsByKey[jobKey(j.Workspace, j.Key)] == id {
		delete(t.jobsByKey, jobKey(j.Workspace, j.Key))
	}
}

// Attempt returns a live attempt, or nil.
func (t *Tables) Attempt(id string) *Attempt { return t.attempts[id] }

// Attempts returns all live attempts, ordered by identifier.
func (t *Tables) Attempts() []*Attempt {
	return sortedByID(t.attempts, func(a *Attempt) string { return a.ID })
}

// AttemptCount returns the number of live attempts.
func (t *Tables) AttemptCount() int { return len(t.attempts) }

// AddAttempt inserts an attempt and allocates its capacity. The attempt's job must be in the table.
func (t *Tables) AddAttempt(a *Attempt) {
	t.version++
	t.attempts[a.ID] = a
	ws := t.jobs[a.Job].Workspace
	total := a.Accelerators * len(a.Members)
	t.runningAccelerators[ws] += total
	if a.Borrowed {
		t.borrowedAccelerators[ws] += total
	}
	for _, m := range a.Members {
		if w := t.workers[m.Worker]; w != nil {
			w.allocate(a)
			t.index.update(w)
		}
	}
	if t.observer != nil {
		t.observer.AttemptAdded(a)
	}
}

// RemoveAttempt removes an attempt and releases its capacity.
func (t *Tables) RemoveAttempt(id string) {
	a := t.attempts[id]
	if a == nil {
		return
	}
	t.version++
	delete(t.attempts, id)
	ws := t.jobs[a.Job].Workspace
	total := a.Accelerators * len(a.Members)
	t.runningAccelerators[ws] -= total
	if a.Borrowed {
		t.borrowedAccelerators[ws] -= total
	}
	for _, m := range a.Members {
		if w := t.workers[m.Worker]; w != nil {
			w.release(a)
			t.index.update(w)
		}
	}
	if t.observer != nil {
		t.observer.AttemptRemoved(a)
	}
}

// RunningAccelerators returns the accelerators that live attempts of a workspace hold.
func (t *Tables) RunningAccelerators(workspace string) int { return t.runningAccelerators[workspace] }

// BorrowedAccelerators returns the accelerators that borrowed attempts of a workspace hold.
func (t *Tables) BorrowedAccelerators(workspace string) int { return t.borrowedAccelerators[workspace] }

// Worker returns a worker, or nil.
func (t *Tables) Worker(id string) *Worker { return t.workers[id] }

// Workers returns all workers, ordered by identifier.
func (t *Tables) Workers() []*Worker {
	return sortedByID(t.workers, func(w *Worker) string { return w.ID })
}

// WorkerCount returns the number of workers.
func (t *Tables) WorkerCount() int { return len(t.workers) }

// Racks returns the names of all racks in ascending order.
func (t *Tables) Racks() []string {
	out := make([]string, 0, len(t.workersByRack))
	for r := range t.workersByRack {
		out = append(out, r)
	}
	sort.Strings(out)
	return out
}

// Rack returns the workers of a rack, ordered by identifier. The slice must not be changed.
func (t *Tables) Rack(name string) []*Worker { return t.workersByRack[name] }

// PutWorker adds a worker, or replaces the one with the same identifier. The capacity of live attempts that are placed
// on it is allocated again.
func (t *Tables) PutWorker(w *Worker) {
	t.RemoveWorker(w.ID)
	w.membersByAttempt = map[string]int{}
	w.usedAccelerators, w.usedSlots = 0, 0
	w.heldAccelerators, w.heldSlots, w.reserved = 0, 0, 0
	w.Leaving = t.leavingIncarnations[w.ID] == w.Incarnation
	t.workers[w.ID] = w
	rack := append(t.workersByRack[w.Rack], w)
	slices.SortFunc(rack, func(a, b *Worker) int { return cmp.Compare(a.ID, b.ID) })
	t.workersByRack[w.Rack] = rack
	for _, a := range t.attempts {
		for _, m := range a.Members {
			if m.Worker == w.ID {
				w.allocate(a)
			}
		}
	}
	t.index.addWorker(w)
	t.version++
	t.workerChanged(w.ID)
}

// RemoveWorker removes a worker. Attempts placed on it stay in the table until they are removed.
func (t *Tables) RemoveWorker(id string) {
	w := t.workers[id]
	if w == nil {
		return
	}
	t.version++
	t.index.removeWorker(w)
	delete(t.workers, id)
	defer t.workerChanged(id)
	rack := slices.DeleteFunc(slices.Clone(t.workersByRack[w.Rack]), func(o *Worker) bool { return o == w })
	if len(rack) == 0 {
		delete(t.workersByRack, w.Rack)
		return
	}
	t.workersByRack[w.Rack] = rack
}

// SetLeaving records that an incarnation of a worker's endpoint is leaving and takes no new work.
func (t *Tables) SetLeaving(worker, incarnation string) {
	t.leavingIncarnations[worker] = incarnation
	if w := t.workers[worker]; w != nil && w.Incarnation == incarnation {
		w.Leaving = true
		t.ReindexWorker(w)
	}
}

// Leaving returns the leaving endpoint incarnations by worker.
func (t *Tables) Leaving() map[string]string { return t.leavingIncarnations }

// FreeAccelerators returns the accelerators of a worker that no live attempt holds.
func (w *Worker) FreeAccelerators() int { return w.Accelerators - w.usedAccelerators }

// FreeSlots returns the task slots of a worker that no live attempt holds.
func (w *Worker) FreeSlots() int { return w.Slots - w.usedSlots }

// Usable tells whether new work may be placed on the worker.
func (w *Worker) Usable() bool { return !w.Lost && !w.Leaving && !w.Quarantined }

// Attempts returns the identifiers of the live attempts with a member on the worker, in ascending order.
func (w *Worker) Attempts() []string {
	out := make([]string, 0, len(w.membersByAttempt))
	for id := range w.membersByAttempt {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

func (w *Worker) allocate(a *Attempt) {
	w.usedAccelerators += a.Accelerators
	w.usedSlots++
	w.membersByAttempt[a.ID]++
}

func (w *Worker) release(a *Attempt) {
	if w.membersByAttempt[a.ID] == 0 {
		return
	}
	w.usedAccelerators -= a.Accelerators
	w.usedSlots--
	w.membersByAttempt[a.ID]--
	if w.membersByAttempt[a.ID] == 0 {
		delete(w.membersByAttempt, a.ID)
	}
}

func isOpen(s JobState) bool { return s != JobEnded && s != JobHandedOver }

func jobKey(workspace, key string) string { return workspace + "\x00" + key }

func sortedByID[T any](m map[string]T, id func(T) string) []T {
	out := make([]T, 0, len(m))
	for _, v := range m {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(id(a), id(b)) })
	return out
}

func (t *Tables) workspaceChanged(name string) {
	t.version++
	if t.observer != nil {
		t.observer.WorkspaceChanged(name)
	}
}
