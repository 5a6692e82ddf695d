package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// dispatcher is the part of a cell that runs only on the leader of the zone's log. It schedules jobs, calls endpoints
// and answers requests. Its state is kept in memory and lasts for one epoch.
type dispatcher struct {
	cell      *Cell
	tables    *table.Tables
	epoch     uint64
	suspended bool
	scheduler system.Scheduler
	timers    timers

	deferredEffects []effect                   // Effects of commands applied while suspended.
	heldRequests    []heldRequest              // Requests received while suspended.
	deferredSteps   []string                   // Attempts on which step is called after the suspension.
	unsentCalls     []uint64                   // Calls that the suspension discarded; they count as lost.
	openRequests    map[uint64]bool            // Requests without a reply whose requester still waits.
	attempts        map[string]*trackedAttempt // Live attempts by identifier.
	calls           map[uint64]*call           // Calls to endpoints in flight, by identifier.
	endpoints       map[endpointKey]*endpointState
	incarnations    map[string][]string // Endpoint incarnations by worker, the current one last.

	submitWaiters    map[string][]submitWaiter // By identifier of the job whose Submit is proposed.
	submittingByKey  map[string]string         // Job whose Submit is proposed, by workspace and key.
	submittingCount  map[string]int            // Number of proposed Submits by workspace.
	refusalWaiters   map[string][]submitWaiter // By identifier of the job whose Refuse is proposed.
	cancelWaiters    map[string][]uint64       // Requests by identifier of the job whose Cancel is proposed.
	serviceWaiters   map[string][]uint64       // Requests by CommandID of the proposed SetService.
	leavingWaiters   map[Leaving][]uint64      // Requests by the proposed Leaving.
	getWaiters       map[string][]uint64       // Requests that wait for the end of a job, by job.
	handOvers        map[string]*handOverState // By job.
	refusedBy        map[string][]string       // Zones that refused a hand-over, by job.
	handOverCounts   map[string]int            // Number of jobs handed over to each zone in this epoch.
	nextHandOverScan time.Duration             // Time of the next search for jobs to hand over.
	planned          map[string]bool           // Attempts and jobs for which the current plan's commands are proposed.
	nextPlan         time.Duration             // Time of the next scheduling pass.
	adoptingRevision uint64                    // Deployment revision of the last proposed Adopt.
	forgetting       bool                      // A Forget is proposed.
	planNow          bool                      // A submission was applied: the next scheduling pass is due at once.
}

type heldRequest struct {
	id      uint64
	request Request
}

// call is a call in flight to a member of an attempt.
type call struct {
	attempt  string
	member   int
	op       endpoint.Op
	gateOpen bool // The call is a start with the gate open.
	target   endpointKey
}

func newDispatcher(cell *Cell, epoch uint64) *dispatcher {
	d := &dispatcher{cell: cell, tables: cell.state.tables, epoch: epoch}
	d.scheduler = cell.options.NewScheduler(cell.state.tables)
	d.openRequests = map[uint64]bool{}
	d.attempts = map[string]*trackedAttempt{}
	d.calls = map[uint64]*call{}
	d.endpoints = map[endpointKey]*endpointState{}
	d.incarnations = map[string][]string{}
	d.submitWaiters = map[string][]submitWaiter{}
	d.submittingByKey = map[string]string{}
	d.submittingCount = map[string]int{}
	d.refusalWaiters = map[string][]submitWaiter{}
	d.cancelWaiters = map[string][]uint64{}
	d.serviceWaiters = map[string][]uint64{}
	d.leavingWaiters = map[Leaving][]uint64{}
	d.getWaiters = map[string][]uint64{}
	d.handOvers = map[string]*handOverState{}
	d.refusedBy = map[string][]string{}
	d.handOverCounts = map[string]int{}
	d.planned = map[string]bool{}
	return d
}

// rebuild builds the dispatcher's state from the tables: running attempts are tracked, unfinished starts are stopped.
func (d *dispatcher) rebuild(now time.Duration) {
	for _, a := range d.tables.Attempts() {
		a.Stopping = false
		r := d.trackAttempt(now, a)
		j := d.tables.Job(a.Job)
		switch {
		case a.State == table.AttemptPlaced:
			d.fence(now, r)
		case j.Cancelled:
			d.abort(now, r, "cancelled")
		case d.tables.Workspace(j.Workspace) == nil:
			d.abort(now, r, workspaceDeleted)
		}
	}
	d.proposeAdoption()
	for _, j := range d.tables.Jobs() {
		switch {
		case j.State == table.JobHandedOver && !j.HandOverCommitted:
			d.startHandOver(now, j)
		case j.State != table.JobEnded && j.State != table.JobHandedOver:
			d.watchDeadline(j)
		}
	}
}

// resume ends a suspension. It handles the lost calls, the commands that were applied in the meantime, the deferred
// steps and then the held requests.
func (d *dispatcher) resume(now time.Duration) {
	if !d.suspended {
		return
	}
	d.suspended = false
	d.cell.recordLeaseGranted()
	effects, held, steps, unsent := d.deferredEffects, d.heldRequests, d.deferredSteps, d.unsentCalls
	d.deferredEffects, d.heldRequests, d.deferredSteps, d.unsentCalls = nil, nil, nil, nil
	for _, id := range unsent {
		d.callDone(now, id, nil)
	}
	for _, e := range effects {
		d.applied(now, e)
	}
	for _, id := range steps {
		if r := d.attempts[id]; r != nil {
			d.step(now, r)
		}
	}
	for _, h := range held {
		if d.openRequests[h.id] {
			d.serve(now, h.id, h.request)
		}
	}
}

func (d *dispatcher) tick(now time.Duration) {
	if d.suspended {
		return
	}
	d.timers.fire(now)
	d.proposeForget(now)
	d.proposeHandOvers(now)
	d.schedule(now)
}

// applied carries out the consequences of an applied command, or defers them while suspended.
func (d *dispatcher) applied(now time.Duration, e effect) {
	if d.suspended {
		d.deferredEffects = append(d.deferredEffects, e)
		return
	}
	c := e.command
	switch {
	case c.Submit != nil:
		d.submitApplied(c.Submit.Job.ID, e)
	case c.Refuse != nil:
		d.answerRefusals(c.Refuse.Job)
	case c.PlaceAttempt != nil:
		d.attemptPlaced(now, c.PlaceAttempt.Attempt.ID)
	case c.MarkRunning != nil:
		d.runningApplied(now, c.MarkRunning.Attempt)
	case c.EndAttempt != nil:
		d.attemptEnded(now, e)
	case c.FinishQueued != nil:
		delete(d.planned, c.FinishQueued.Job)
	case c.Cancel != nil:
		d.cancelled(now, c.Cancel.Job)
	case c.SetService != nil:
		d.serviceChanged(now, c.SetService.CommandID)
	case c.Adopt != nil:
		d.adopted(now, c.Adopt)
	case c.Leaving != nil:
		d.endpointLeft(now, *c.Leaving)
	case c.UpdateHandOver != nil:
		d.handOverApplied(now, c.UpdateHandOver)
	case c.Forget != nil:
		d.forgetting = false
	}
	for _, id := range e.endedJobs {
		d.answerGets(id)
		delete(d.refusedBy, id)
	}
}

// proposeForget proposes to remove the oldest ended jobs that exceed the retention time or bounds.
func (d *dispatcher) proposeForget(now time.Duration) {
	const maxJobs = 256
	state, options := d.cell.state, d.cell.options
	if d.forgetting || len(state.ended) == 0 {
		return
	}
	count, bytes := len(state.ended), state.endedBytes
	var jobs []string
	for _, id := range state.ended {
		j := d.tables.Job(id)
		old := now-j.EndedAt >= options.Timing.Retention
		if len(jobs) == maxJobs || !(old || count > options.RetainedJobs || bytes > options.RetainedBytes) {
			break
		}
		jobs = append(jobs, id)
		count--
		bytes -= retainedBytes(j)
	}
	if len(jobs) > 0 {
		d.forgetting = true
		d.cell.propose(Command{Forget: &Forget{Jobs: jobs}})
	}
}

// proposeAdoption proposes to adopt the newest offered deployment revision, with the contracts that changed. Only one
// adoption is in flight at a time, because the changes are determined by comparison with the tables.
func (d *dispatcher) proposeAdoption() {
	o := &d.cell.contracts
	if o.revision <= d.tables.Revision || d.adoptingRevision > d.tables.Revision {
		return
	}
	a := &Adopt{Revision: o.revision}
	names := map[string]bool{}
	for _, w := range o.workspaces {
		names[w.Name] = true
		if old := d.tables.Workspace(w.Name); old == nil || !equalWorkspaces(old, w) {
			a.Put = append(a.Put, *w)
		}
	}
	for _, w := range d.tables.Workspaces() {
		if !names[w.Name] {
			a.Remove = append(a.Remove, w.Name)
		}
	}
	d.adoptingRevision = o.revision
	d.cell.propose(Command{Adopt: a})
}

func equalWorkspaces(a, b *table.Workspace) bool {
	return slices.Equal(encode(a), encode(b))
}

// adopted handles an applied adoption: it stops the running jobs of deleted workspaces and proposes the next revision.
func (d *dispatcher) adopted(now time.Duration, a *Adopt) {
	d.planSoon(now)
	d.proposeAdoption()
	if len(a.Remove) == 0 {
		return
	}
	for _, at := range d.tables.Attempts() {
		if r := d.attempts[at.ID]; r != nil && d.tables.Workspace(d.tables.Job(at.Job).Workspace) == nil {
			d.abort(now, r, workspaceDeleted)
		}
	}
}

// serviceChanged answers the command. If the zone is out of service, it stops all starts that have not begun to open
// their gates.
func (d *dispatcher) serviceChanged(now time.Duration, command string) {
	if d.tables.Service.Out {
		for _, id := range sortedKeys(d.attempts) {
			if r := d.attempts[id]; r.phase < phaseOpen {
				d.abort(now, r, "the zone was taken out")
			}
		}
	}
	for _, id := range d.serviceWaiters[command] {
		d.reply(id, d.serviceResponse(command))
	}
	delete(d.serviceWaiters, command)
	d.nextHandOverScan = 0
	d.planSoon(now)
}

// endpointLeft stops the starts on a leaving endpoint that have not begun to open their gates, and acknowledges the
// endpoint's notice.
func (d *dispatcher) endpointLeft(now time.Duration, l Leaving) {
	if e := d.endpoints[endpointKey(l)]; e != nil {
		for _, id := range sortedKeys(e.attempts) {
			if r := e.attempts[id]; r.phase < phaseOpen {
				d.abort(now, r, "an endpoint is leaving")
			}
		}
	}
	for _, id := range d.leavingWaiters[l] {
		d.reply(id, ackOf(endpoint.Ack{Accepted: true}))
	}
	delete(d.leavingWaiters, l)
}

// watchDeadline ends the job as expired if its deadline passes before any attempt may have run.
func (d *dispatcher) watchDeadline(j *table.Job) {
	if j.DeadlineMillis <= 0 {
		return
	}
	id := j.ID
	d.timers.add(j.AppliedAt+time.Duration(j.DeadlineMillis)*time.Millisecond, func(time.Duration) { d.expire(id) })
}

func (d *dispatcher) expire(id string) {
	if j := d.tables.Job(id); j != nil && j.State == table.JobQueued && !j.MayHaveRun {
		d.cell.propose(Command{FinishQueued: &FinishQueued{Job: id, Outcome: table.JobExpired, Message: deadlinePassed}})
	}
}

const deadlinePassed = "the deadline passed before the job started"

// reply answers a request if its requester still waits.
func (d *dispatcher) reply(id uint64, r Response) {
	if !d.openRequests[id] {
		return
	}
	delete(d.openRequests, id)
	d.cell.replies = append(d.cell.replies, Reply{ID: id, Response: r})
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
