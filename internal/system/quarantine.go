package system

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/system/packing"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

const (
	// maxFailedWorkers is the number of distinct workers after which the job itself, not the workers, is considered
	// faulty.
	maxFailedWorkers = 3
	// maxFailedJobs is the number of distinct jobs that must fail on a worker, without a success there, for it to be
	// quarantined.
	maxFailedJobs = 3
	// probeUrgentAfter is how long a due probe waits for a job that is not urgent.
	probeUrgentAfter = 5 * time.Minute
)

// failureRecords holds, by worker, the failures since its last success.
type failureRecords map[string]*failureRecord

type failureRecord struct {
	incarnation  string
	jobs         []string // Distinct jobs that failed, at most maxFailedJobs.
	quarantined  bool
	probeJob     string        // Job that currently probes the worker; empty if none.
	probedAt     time.Duration // When the last probe started, or the quarantine if there was none.
	failedProbes int           // Number of failed probes.
}

// AttemptEnded records the end of an attempt.
func (p *Policy) AttemptEnded(now time.Duration, r AttemptReport) {
	if r.Succeeded {
		p.runtimes.observe(r.Job, r.RunTime)
		for _, id := range r.Workers {
			p.recordSuccess(id)
		}
		return
	}
	for _, id := range slices.Compact(slices.Sorted(slices.Values(r.FailedWorkers))) { // Several members may run on one worker.
		p.recordFailure(now, id, r.Job.ID)
	}
	for _, id := range r.Workers {
		p.endProbe(id, r.Job.ID)
	}
}

func (p *Policy) recordSuccess(worker string) {
	rec := p.failures[worker]
	if rec == nil {
		return
	}
	delete(p.failures, worker)
	if w := p.tables.Worker(worker); w != nil && rec.quarantined {
		w.Quarantined, w.Probing = false, false
		p.tables.ReindexWorker(w)
	}
}

func (p *Policy) recordFailure(now time.Duration, worker, job string) {
	w := p.tables.Worker(worker)
	if w == nil {
		return
	}
	rec := p.failures[worker]
	if rec == nil || rec.incarnation != w.Incarnation {
		rec = &failureRecord{incarnation: w.Incarnation}
		p.failures[worker] = rec
	}
	if rec.probeJob == job {
		rec.failedProbes++
	}
	if !slices.Contains(rec.jobs, job) && len(rec.jobs) < maxFailedJobs {
		rec.jobs = append(rec.jobs, job)
	}
	if len(rec.jobs) >= maxFailedJobs && !rec.quarantined {
		rec.quarantined, rec.probedAt = true, now
		w.Quarantined = true
		p.tables.ReindexWorker(w)
	}
	p.forceTick = true
}

func (p *Policy) endProbe(worker, job string) {
	rec := p.failures[worker]
	if rec == nil || rec.probeJob != job {
		return
	}
	rec.probeJob = ""
	if w := p.tables.Worker(worker); w != nil {
		w.Probing = false
	}
	p.forceTick = true
}

// applyFlags sets the quarantine flags of a worker from its failure record, if the record is of the same incarnation. A
// worker that is put into the tables again does not have them yet.
func (e failureRecords) applyFlags(w *table.Worker) {
	rec := e[w.ID]
	if rec == nil || rec.incarnation != w.Incarnation {
		return
	}
	w.Quarantined = rec.quarantined
	w.Probing = rec.probeJob != ""
}

// applyFailureRecords sets the flags of all workers from their records after some workers changed, and removes the
// records of earlier incarnations.
func (p *Policy) applyFailureRecords() {
	for id, rec := range p.failures {
		w := p.tables.Worker(id)
		if w == nil || w.Incarnation != rec.incarnation {
			delete(p.failures, id)
			continue
		}
		p.failures.applyFlags(w)
		p.tables.ReindexWorker(w)
	}
}

// probe places a job on a quarantined worker to find out whether the worker works again. At most one probe of the zone
// runs at a time.
func (p *Policy) probe(now time.Duration) {
	id := p.nextProbe(now)
	if id == "" {
		return
	}
	w, rec := p.tables.Worker(id), p.failures[id]
	j, members := p.chooseProbeJob(w, now-p.probeDue(rec) > probeUrgentAfter)
	if j == nil {
		p.wakeAt(p.probeDue(rec) + probeUrgentAfter + 1)
		return
	}
	rec.probeJob, rec.probedAt = j.ID, now
	w.Probing = true
	p.addPlacement(j, members, Placement{Borrowed: true, Probe: true})
}

// nextProbe returns the quarantined worker whose probe has been due longest, or an empty string if none is due or a
// probe is running.
func (p *Policy) nextProbe(now time.Duration) string {
	best := ""
	for id, rec := range p.failures {
		w := p.tables.Worker(id)
		if !rec.quarantined || w == nil || w.Lost || w.Leaving {
			continue
		}
		if rec.probeJob != "" {
			if p.probeRunning(rec) {
				return ""
			}
			rec.probeJob, w.Probing = "", false
		}
		due := p.probeDue(rec)
		if due > now {
			p.wakeAt(due)
			continue
		}
		if best == "" || due < p.probeDue(p.failures[best]) || due == p.probeDue(p.failures[best]) && id < best {
			best = id
		}
	}
	return best
}

func (p *Policy) probeRunning(rec *failureRecord) bool {
	j := p.tables.Job(rec.probeJob)
	return j != nil && (j.State == table.JobPlaced || j.State == table.JobRunning) && p.tables.Attempt(j.Attempt) != nil
}

// maxProbeShift is the maximum number of times that the interval between probes doubles.
const maxProbeShift = 5

// probeDue returns when a worker is to be probed next. The interval doubles with each failed probe, because a failed
// probe costs a caller's job one attempt.
func (p *Policy) probeDue(rec *failureRecord) time.Duration {
	return rec.probedAt + p.options.ProbeEvery<<min(rec.failedProbes, maxProbeShift)
}

// chooseProbeJob returns a queued job for a probe, and the workers of its members. The job may be repeated, has more
// than one try left, may borrow and fits the worker. Urgent jobs are used only if urgent is set.
func (p *Policy) chooseProbeJob(w *table.Worker, urgent bool) (*table.Job, []*table.Worker) {
	first := table.Standard
	if urgent {
		first = table.Urgent
	}
	for c := first; c < table.ClassCount; c++ {
		for _, name := range p.tables.QueuedWorkspaces() {
			ws := p.tables.Workspace(name)
			if ws == nil || ws.SurplusShare == 0 || !p.lending {
				continue
			}
			for _, g := range p.tables.Groups(name, c) {
				if j, members := p.probeFromGroup(ws, w, g); j != nil {
					return j, members
				}
			}
		}
	}
	return nil, nil
}

func (p *Policy) probeFromGroup(ws *table.Workspace, w *table.Worker, g *table.Group) (*table.Job, []*table.Worker) {
	if !p.withinLimits(ws, g.Shape.Total()) {
		return nil, nil
	}
	members := p.probeMembers(w, g.Shape)
	if members == nil {
		return nil, nil
	}
	for _, j := range g.Jobs() {
		if p.placeable(j) && !j.NoRepeat && len(j.FailedWorkers) < maxFailedWorkers-1 && !failedOnAny(j, members) {
			return j, members
		}
	}
	return nil, nil
}

// probeMembers returns free workers for a shape that include the quarantined worker, or nil. A gang may probe too: if
// only large gangs are queued, the worker would otherwise stay in quarantine forever and the gangs would stay queued.
func (p *Policy) probeMembers(w *table.Worker, s table.Shape) []*table.Worker {
	if s.Accelerators > w.FreeAccelerators() || w.FreeSlots() < 1 {
		return nil
	}
	if s.Gang == 1 {
		return []*table.Worker{w}
	}
	var bins []packing.Bin
	var workers []*table.Worker
	for i, r := range p.tables.Index().Racks() {
		for _, o := range r.Workers() {
			accelerators, slots := o.Available()
			if o == w {
				accelerators, slots = w.FreeAccelerators(), w.FreeSlots()
			}
			bins = append(bins, packing.Bin{Rack: i, Free: accelerators, Slots: slots})
			workers = append(workers, o)
		}
	}
	var members []*table.Worker
	for _, m := range packing.Place(bins, s) {
		members = append(members, workers[m])
	}
	if !slices.Contains(members, w) {
		return nil
	}
	return members
}

func failedOnAny(j *table.Job, members []*table.Worker) bool {
	return slices.ContainsFunc(members, func(w *table.Worker) bool {
		return slices.Contains(j.FailedWorkers, w.ID) || slices.Contains(j.AlsoFailedWorkers, w.ID)
	})
}
