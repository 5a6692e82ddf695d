package system

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Options configure the policy. Zero fields take their defaults.
type Options struct {
	// DefaultGrace is the time for checkpoints of preempted tasks in workspaces whose contract states none.
	DefaultGrace time.Duration
	// ProbeEvery is the minimum time between two probes of one quarantined worker.
	ProbeEvery time.Duration
	// LargeGang is the number of accelerators from which a waiting job may get the backfill reservation.
	LargeGang int
}

// Defaults and periods of the policy.
const (
	defaultGrace         = 5 * time.Second
	defaultProbeEvery    = 30 * time.Second
	defaultLargeGang     = 4
	auditInterval        = time.Second     // Period of audit: worker flags may be set without a call to the tables.
	preemptRetryInterval = 5 * time.Second // Time after which a preemption without effect is requested again.
)

// Policy is the scheduler of one availability zone. It is not safe for concurrent use.
type Policy struct {
	tables  *table.Tables
	options Options
	lending bool // New borrowed placements are allowed.

	gangReservations map[string][]*gangReservation // By workspace.
	allocations      map[string]*allocation        // Gang reservation capacity in use or claimed, by job.
	claims           []*claim                      // Oldest first.
	loads            map[string]*workerLoad        // By worker.
	rebindNeeded     bool                          // Gang reservations must be matched with contracts and workers again.
	unboundCount     int                           // Gang reservations for which no place was found.
	awaited          map[*gangReservation]bool     // Gang reservations that an older job of the workspace waits for.
	// settledQueueVersion holds, by workspace, the version of its queue after a pass that left nothing to do inside its
	// guarantee. The pass is skipped until the version changes or the entry is deleted, at the latest by the next audit.
	settledQueueVersion map[string]uint64
	moveSearches        int                        // Searches for another place of a gang reservation in this tick.
	preemptRequestedAt  map[string]time.Duration   // Time of the last preemption request, by attempt.
	detachedAttempts    map[string]bool            // Attempts whose gang reservation was moved away, by identifier.
	plannedCapacity     []workerCapacity           // Capacity held back for placements of this tick.
	plannedByWorker     map[*table.Worker]capacity // plannedCapacity, summed by worker.
	plannedRunning      map[string]int             // Accelerators placed in this tick, by workspace.
	plannedBorrowed     map[string]int             // Borrowed accelerators placed in this tick, by workspace.
	plannedJobs         map[string]bool            // Jobs that this tick places or ends.
	// plannedPinned is the capacity of placements of this tick that cannot be preempted.
	plannedPinned     []workerCapacity
	blockedGroups     []*table.Group       // Queued jobs that wait for capacity beyond their guarantees.
	unplaceableShapes map[table.Shape]bool // Shapes for which no place is left in this tick.

	runtimes            runtimes
	failures            failureRecords
	backfillReservation *backfillReservation
	rateLimits          map[string]*workspaceRate
	fitsEmptyZone       map[table.Shape]bool // Whether a shape fits the empty zone.

	plan           Plan
	lastVersion    uint64 // Version of the tables after the last full tick.
	lastServiceOut bool   // Service.Out in the last full tick.
	forceTick      bool   // Run a full tick even if the tables did not change.
	lastAudit      time.Duration
	nextWake       time.Duration // Earliest time for which a full tick was requested; valid with hasWake.
	hasWake        bool
}

// capacity is an amount of accelerators and slots.
type capacity struct{ accelerators, slots int }

// workerCapacity is capacity on one worker that is held back, needed or missing.
type workerCapacity struct {
	worker *table.Worker
	capacity
}

// workerLoad is the capacity of one worker that is committed.
type workerLoad struct {
	reserved capacity // By gang reservations.
	pinned   capacity // Held by attempts that cannot be preempted and use no gang reservation.
}

// workspaceRate limits the request rate of one workspace.
type workspaceRate struct {
	limit   float64
	limiter *rate.Limiter
}

// NewPolicy returns the policy for the tables of a zone, and becomes their observer. Attempts that are already in the
// tables are matched with the guarantees under which they run.
func NewPolicy(t *table.Tables, o Options) *Policy {
	if o.DefaultGrace == 0 {
		o.DefaultGrace = defaultGrace
	}
	if o.ProbeEvery == 0 {
		o.ProbeEvery = defaultProbeEvery
	}
	if o.LargeGang == 0 {
		o.LargeGang = defaultLargeGang
	}
	p := &Policy{
		tables:              t,
		options:             o,
		lending:             true,
		gangReservations:    map[string][]*gangReservation{},
		allocations:         map[string]*allocation{},
		loads:               map[string]*workerLoad{},
		preemptRequestedAt:  map[string]time.Duration{},
		detachedAttempts:    map[string]bool{},
		plannedByWorker:     map[*table.Worker]capacity{},
		plannedRunning:      map[string]int{},
		plannedBorrowed:     map[string]int{},
		plannedJobs:         map[string]bool{},
		settledQueueVersion: map[string]uint64{},
		unplaceableShapes:   map[table.Shape]bool{},
		awaited:             map[*gangReservation]bool{},
		runtimes:            runtimes{},
		failures:            failureRecords{},
		rateLimits:          map[string]*workspaceRate{},
		fitsEmptyZone:       map[table.Shape]bool{},
		forceTick:           true,
	}
	t.Observe(p)
	p.adopt()
	return p
}

// SetLending allows or forbids new borrowed placements. A zone that has been isolated for long makes no new ones;
// guaranteed work still starts.
func (p *Policy) SetLending(lending bool) {
	p.forceTick = p.forceTick || p.lending != lending
	p.lending = lending
}

// Tick runs all systems once. It returns an empty plan at once if nothing has changed and no time has been reached.
func (p *Policy) Tick(now time.Duration) Plan {
	p.clearPlanned()
	if !p.due(now) {
		return Plan{}
	}
	p.audit(now)
	if !p.changed() && !p.timeReached(now) {
		return Plan{}
	}
	p.forceTick, p.hasWake = false, false
	p.plan = Plan{}
	p.expire(now)
	if p.tables.Service.Out {
		p.dropClaims()
		p.dropBackfillReservation()
	} else {
		p.schedule(now)
	}
	p.lastVersion, p.lastServiceOut = p.tables.Version(), p.tables.Service.Out
	return p.plan
}

func (p *Policy) schedule(now time.Duration) {
	if p.rebindNeeded {
		p.applyFailureRecords()
		p.bindReservations()
	}
	p.releaseBackfillReservation()
	p.probe(now)
	p.placeClaimedJobs(now)
	p.placeGuaranteed(now)
	if p.lending {
		p.placeBorrowed(now)
	}
	p.backfill(now)
}

// due tells at little cost whether a tick may have anything to do.
func (p *Policy) due(now time.Duration) bool {
	return p.changed() || p.timeReached(now) || now-p.lastAudit >= auditInterval
}

func (p *Policy) changed() bool {
	return p.forceTick || p.tables.Version() != p.lastVersion || p.tables.Service.Out != p.lastServiceOut
}

func (p *Policy) timeReached(now time.Duration) bool {
	if at, ok := p.tables.NextDeadline(); ok && at <= now {
		return true
	}
	return p.hasWake && p.nextWake <= now
}

// wakeAt requests a full tick at a time, even if nothing changes.
func (p *Policy) wakeAt(at time.Duration) {
	if !p.hasWake || at < p.nextWake {
		p.nextWake, p.hasWake = at, true
	}
}

// audit sets the flags of all workers from their failure records and updates the index where flags were set without a
// call to the tables, once per auditInterval. It also clears settledQueueVersion, so that no queue is skipped for
// longer than that.
func (p *Policy) audit(now time.Duration) {
	if now-p.lastAudit < auditInterval && p.lastAudit > 0 {
		return
	}
	p.lastAudit = now
	clear(p.settledQueueVersion)
	for _, r := range p.tables.Index().Racks() {
		for _, w := range r.Workers() {
			p.failures.applyFlags(w)
			p.tables.ReindexWorker(w)
		}
	}
}

// clearPlanned releases the capacity held back for the previous plan, which has been applied by now. Allocations of
// jobs whose placement was not applied are released too.
func (p *Policy) clearPlanned() {
	if len(p.plannedJobs) == 0 {
		return
	}
	for _, h := range p.plannedCapacity {
		p.tables.Hold(h.worker, -h.accelerators, -h.slots)
	}
	p.plannedCapacity = p.plannedCapacity[:0]
	for id := range p.plannedJobs {
		if alloc := p.allocations[id]; alloc != nil && alloc.attempt == "" && !alloc.claimed {
			p.releaseAllocation(id)
			p.forceTick = true
		}
	}
	clear(p.plannedJobs)
	clear(p.plannedByWorker)
	clear(p.plannedRunning)
	clear(p.plannedBorrowed)
	for _, h := range p.plannedPinned {
		l := p.loadOf(h.worker.ID)
		l.pinned = capacity{l.pinned.accelerators - h.accelerators, l.pinned.slots - h.slots}
	}
	p.plannedPinned = p.plannedPinned[:0]
}

// addPlacement adds a placement to the plan and holds its capacity back until the plan is applied.
func (p *Policy) addPlacement(j *table.Job, members []*table.Worker, pl Placement) {
	pl.Job = j.ID
	for _, w := range members {
		pl.Members = append(pl.Members, w.ID)
		h := workerCapacity{w, capacity{j.Shape.Accelerators, 1}}
		p.tables.Hold(w, h.accelerators, h.slots)
		p.plannedCapacity = append(p.plannedCapacity, h)
		on := p.plannedByWorker[w]
		p.plannedByWorker[w] = capacity{on.accelerators + h.accelerators, on.slots + 1}
		if pl.Borrowed && j.NoRepeat {
			p.plannedPinned = append(p.plannedPinned, h)
			l := p.loadOf(w.ID)
			l.pinned = capacity{l.pinned.accelerators + h.accelerators, l.pinned.slots + 1}
		}
	}
	p.plannedJobs[j.ID] = true
	p.plannedRunning[j.Workspace] += j.Shape.Total()
	if pl.Borrowed {
		p.plannedBorrowed[j.Workspace] += j.Shape.Total()
	}
	p.plan.Placements = append(p.plan.Placements, pl)
}

// placeable tells whether a queued job may be placed, whatever the free capacity.
func (p *Policy) placeable(j *table.Job) bool {
	if j.State != table.JobQueued || j.Cancelled || len(j.FailedWorkers) >= maxFailedWorkers {
		return false
	}
	if p.plannedJobs[j.ID] || p.allocations[j.ID] != nil {
		return false
	}
	return j.Attempt == "" || p.tables.Attempt(j.Attempt) == nil
}

// withinLimits tells whether a workspace may run the given number of additional accelerators.
func (p *Policy) withinLimits(ws *table.Workspace, more int) bool {
	limit := ws.Limits.Running
	return limit == 0 ||
		p.tables.RunningAccelerators(ws.Name)+p.plannedRunning[ws.Name]+p.claimedAccelerators(ws.Name)+more <= limit
}

func (p *Policy) grace(workspace string) time.Duration {
	ws := p.tables.Workspace(workspace)
	if ws == nil || ws.GraceMillis == 0 {
		return p.options.DefaultGrace
	}
	return time.Duration(ws.GraceMillis) * time.Millisecond
}

// AttemptAdded implements table.Observer.
func (p *Policy) AttemptAdded(a *table.Attempt) {
	if alloc := p.allocations[a.Job]; alloc != nil {
		alloc.attempt = a.ID
	}
	p.addPinned(a, 1)
}

// AttemptRemoved implements table.Observer.
func (p *Policy) AttemptRemoved(a *table.Attempt) {
	delete(p.preemptRequestedAt, a.ID)
	p.addPinned(a, -1)
	delete(p.detachedAttempts, a.ID)
	if alloc := p.allocations[a.Job]; alloc != nil && alloc.attempt == a.ID {
		p.releaseAllocation(a.Job)
	}
	p.rebindNeeded = p.rebindNeeded || p.unboundCount > 0
}

// WorkerChanged implements table.Observer.
func (p *Policy) WorkerChanged(string) {
	p.rebindNeeded = true
	clear(p.fitsEmptyZone)
}

// WorkspaceChanged implements table.Observer.
func (p *Policy) WorkspaceChanged(string) { p.rebindNeeded = true }
