package dispatch

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

// Times between two plans. An event leads to a plan after at most planPause, so that events at nearly the same time
// share one. While work waits, a plan is made at least every planEvery, since the passing of time changes what may be
// placed.
const (
	planEvery = 100 * time.Millisecond
	planPause = 10 * time.Millisecond // About the time of one disk sync.
	// planRestFactor is how many times the duration of a plan the next one waits. Plans then take half of the processor at
	// most, and answers of workers and the messages of the log are handled in between.
	planRestFactor = 1
)

// expiryFactor is the multiple of its objective after which the completion of a job has no value any more.
const expiryFactor = 3

// plan proposes the starts of tasks that can start and stops attempts to make room for urgent work. While a command
// with starts is not applied, no further plan is made, so that no capacity is allocated twice.
func (l *Leader) plan(now Time) {
	if l.startInFlight || (!l.dirty && now.Mono < l.nextPlanAt) || now.Mono < l.lastPlanAt+max(planPause, (1+planRestFactor)*l.planTook) {
		return
	}
	if watch := l.options.Stopwatch; watch != nil {
		began := watch()
		defer func() { l.planTook = watch() - began }()
	}
	l.dirty = false
	l.lastPlanAt = now.Mono
	l.nextPlanAt = now.Mono + planEvery
	units := l.units(now)
	if len(units) == 0 {
		return
	}
	v := l.view(now, units)
	l.noteAtMax(now, units)
	l.askAdvice(now, units, v.Workers)
	p := placement.Decide(v)
	l.confirmReachable(now, &p)
	for _, s := range p.Preemptions {
		if a := l.attempts[s.Task]; a != nil && !a.stopWanted {
			for range l.endTogether(a) {
				l.options.Observer.AttemptPreempted(l.state.Job(s.Task.Job).Spec.Priority)
			}
			l.options.Log("attempt_reclaimed", "job", s.Task.Job, "task", s.Task.String(), "attempt", a.number, "worker", a.incarnation.ID,
				"for_job", s.For.Job, "priority", l.state.Job(s.Task.Job).Spec.Priority)
			if l.state.Job(s.Task.Job).Spec.Priority == 0 {
				l.noteUrgentStopped(now, a)
			}
			l.abandon(a, "reclaimed for "+string(s.For.Job))
		}
	}
	if len(p.Starts) == 0 {
		return
	}
	l.startInFlight = true
	all := domain.StartAttempts{Unconfirmed: true}
	for _, s := range p.Starts {
		all.Assignments = append(all.Assignments, s.Assignments...)
	}
	l.propose(now, domain.Command{Start: &all})
}

// view returns the input of a decision about some units.
func (l *Leader) view(now Time, units []*placement.Unit) *placement.View {
	l.noteBestEffort()
	l.noteImages()
	return &placement.View{
		NowMS: now.WallMS, Units: units, Workers: l.workers(now), StepTasksOn: l.stepTasksOn, Workspaces: l.workspaces(now),
		FleetUneven: l.fleetUneven(), Interference: l.harms(),
		AttemptsOn: func(w *placement.Worker) []placement.RunningAttempt { return l.attemptsOn(now, w.Incarnation.ID) },
	}
}

// openJobs iterates over the jobs that have not ended, and the previewed one.
func (l *Leader) openJobs() iter.Seq[*domain.Job] {
	return func(yield func(*domain.Job) bool) {
		for _, j := range l.state.OpenJobs() {
			if !yield(j) {
				return
			}
		}
		if l.preview != nil {
			yield(l.preview.job)
		}
	}
}

// units returns the waiting work in the order of acceptance.
func (l *Leader) units(now Time) []*placement.Unit {
	var out []*placement.Unit
	for j := range l.openJobs() {
		for k := j.FirstOpen(); k < len(j.Occurrences); k++ {
			o := j.Occurrences[k]
			if o.Done {
				continue
			}
			for s := range o.Steps {
				if u := l.unit(now, j, k, s); u != nil {
					out = append(out, u)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b *placement.Unit) int {
		return cmp.Or(cmp.Compare(a.Job.Sequence, b.Job.Sequence), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	l.markGuaranteed(out)
	return out
}

// unit returns the waiting tasks of a step, or nil if none can start.
func (l *Leader) unit(now Time, j *domain.Job, occurrence, stepIndex int) *placement.Unit {
	o := j.Occurrences[occurrence]
	step := &j.Spec.Steps[stepIndex]
	var waiting []int
	for i := range o.Steps[stepIndex] {
		t := &o.Steps[stepIndex][i]
		if !t.Done && !t.Assigned() {
			waiting = append(waiting, i)
		}
	}
	if len(waiting) == 0 || (step.Gang && len(waiting) < step.Count) || !j.StepReady(o, stepIndex) {
		return nil
	}
	key := stepKey{j.Spec.ID, occurrence, stepIndex}
	since, seen := l.readySinceMS[key]
	if !seen {
		since = now.WallMS
		l.readySinceMS[key] = since
	}
	objectiveStart := l.objectiveStart(j, occurrence)
	objective := l.objective(j)
	return &placement.Unit{
		Job: j, Occurrence: occurrence, Step: stepIndex, Indexes: waiting,
		RunMS:    l.runTimeMS(j, step),
		WaitedMS: now.WallMS - since,
		DueMS:    objectiveStart + objective,
		Expired:  now.WallMS > objectiveStart+expiryFactor*objective,
		Allowed:  l.allowed(now, j, key),
	}
}

// objectiveStart returns when the objective of an occurrence begins to count, in Unix milliseconds: when it is due, or
// when a job without a schedule was accepted.
func (l *Leader) objectiveStart(j *domain.Job, occurrence int) int64 {
	if j.Spec.RepeatCount > 0 {
		return j.Spec.DueMS(occurrence)
	}
	return j.AcceptedMS
}

// objective returns the time within which a job should complete, in milliseconds.
func (l *Leader) objective(j *domain.Job) int64 {
	return int64(j.Spec.Stretch*float64(l.criticalPathMS(j))) + j.Spec.CompletionTargetMS
}

// runTimeRange limits how far a declared run time is believed: the expected run time of a task lies between the average
// of its queue divided by this factor and the average multiplied by it.
const runTimeRange = 2

// runTimeMS returns the expected run time of a task, in milliseconds: the declared one, within runTimeRange of the
// average of its queue.
func (l *Leader) runTimeMS(j *domain.Job, step *domain.Step) int64 {
	average := l.state.RunTime(j.Spec.Queue)
	if average == 0 {
		return step.EstimateMS
	}
	return min(max(step.EstimateMS, average/runTimeRange), average*runTimeRange)
}

// criticalPathMS returns the length of a job's critical path: the longest sum of expected run times along a chain of
// dependent steps, in milliseconds. It is cached once the average of the queue is known.
func (l *Leader) criticalPathMS(j *domain.Job) int64 {
	if c, known := l.criticalPathsMS[j.Spec.ID]; known {
		return c
	}
	average := l.state.RunTime(j.Spec.Queue)
	ends := make([]int64, len(j.Spec.Steps))
	longest := int64(0)
	for i, s := range j.Spec.Steps {
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += l.runTimeMS(j, &j.Spec.Steps[i])
		longest = max(longest, ends[i])
	}
	if average > 0 {
		l.criticalPathsMS[j.Spec.ID] = longest
	}
	return longest
}

// stepTasksOn counts the tasks of a unit's step on a worker.
func (l *Leader) stepTasksOn(u *placement.Unit, w *placement.Worker) int {
	worker := l.state.Worker(w.Incarnation.ID)
	if worker == nil {
		return 0
	}
	return l.countStep(worker, stepKey{u.Job.Spec.ID, u.Occurrence, u.Step})
}

// countStep counts the attempts of a step on a worker.
func (l *Leader) countStep(w *domain.Worker, key stepKey) int {
	n := 0
	for id := range w.Attempts() {
		if keyOf(id) == key {
			n++
		}
	}
	return n
}

// workers returns the workers for the placement, ordered by identifier.
func (l *Leader) workers(now Time) []*placement.Worker {
	if len(l.workerIDs) != len(l.state.Workers()) || l.workersChanged {
		l.workerIDs = l.workerIDs[:0]
		for id := range l.state.Workers() {
			l.workerIDs = append(l.workerIDs, id)
		}
		slices.Sort(l.workerIDs)
		l.workersChanged = false
	}
	stopping := l.stopping()
	suspect := l.suspectZones(now)
	all := make([]placement.Worker, len(l.workerIDs))
	out := make([]*placement.Worker, len(l.workerIDs))
	for i, id := range l.workerIDs {
		w := l.state.Worker(id)
		all[i] = placement.Worker{
			Incarnation: w.Incarnation, Pool: w.Pool, Zone: w.Zone, Rack: w.Rack, Labels: w.Labels, Free: w.Free(), Usable: l.usable(now, w) && !suspect[w.Zone],
			Total: w.Capacity, Stopping: stopping[id], Vacated: l.vacated(now, id),
		}
		all[i].ServingTasks, all[i].BestEffortCPU = l.sharing(w)
		all[i].Speed, all[i].SpeedError = l.speedOf(w)
		all[i].Images = l.imagesOn(w)
		out[i] = &all[i]
	}
	return out
}

// stopping returns the capacity that is taken by attempts that are to be stopped, by worker.
func (l *Leader) stopping() map[string]domain.Resources {
	out := map[string]domain.Resources{}
	for id, a := range l.unsettled {
		if j := l.state.Job(id.Job); a.stopWanted && j != nil {
			out[a.incarnation.ID] = out[a.incarnation.ID].Plus(j.Spec.Steps[id.Step].Demand())
		}
	}
	return out
}

// Limits for the workers that get new attempts.
const (
	// reportSlack is how late a report may be before its worker gets no new attempts.
	reportSlack = 700 * time.Millisecond
	// suspectZoneFailures is how many workers of a zone must leave calls unanswered for the zone to be suspected of
	// being cut off. They must also be more than those that have answered within recentAnswer.
	suspectZoneFailures = 3
	recentAnswer        = time.Second
	// evidencePeriods is how many times the limit for late reports a worker that leaves calls unanswered counts after it
	// was heard from last. With two, its zone stays suspected until every worker of a zone that was cut off as a whole is
	// late with its report. A worker that has ended must not count for longer: the idle ones beside it are not called, so
	// they cannot show that they answer.
	evidencePeriods = 2
)

// suspectZones returns the zones that seem to be cut off. Their workers get no new attempts, since a task whose start
// is not answered is blocked until the lease is over.
func (l *Leader) suspectZones(now Time) map[string]bool {
	failing, answering := map[string]int{}, map[string]int{}
	for id, s := range l.sessions {
		w := l.state.Worker(id)
		switch {
		case w == nil || l.foreign(w) || l.unheard(now, s) >= evidencePeriods*l.reportLimit():
		case !s.everAnswered && (s.createdAt > l.beganAt || now.Mono-s.createdAt >= evidencePeriods*l.reportLimit()):
			// It is not known to be a worker. Those that an earlier leader knew count until they had time to answer.
		case s.failures > 0:
			failing[w.Zone]++
		case s.everAnswered && now.Mono-s.answeredAt < recentAnswer:
			answering[w.Zone]++
		}
	}
	out := map[string]bool{}
	for zone, n := range failing {
		out[zone] = n >= suspectZoneFailures && n > answering[zone]
	}
	return out
}

// foreign tells whether an entry names no worker to use: no configured pool has it, and nothing runs there.
func (l *Leader) foreign(w *domain.Worker) bool {
	return !l.state.HasPool(w.Pool) && len(w.Attempts()) == 0
}

// usable tells whether new attempts may go to a worker.
func (l *Leader) usable(now Time, w *domain.Worker) bool {
	s := l.sessions[w.Incarnation.ID]
	return s != nil && s.incarnation == w.Incarnation && l.trusted(s) && !w.Draining && !l.inUpkeep(w) && !l.state.ZoneOut(w.Zone) &&
		!s.ending() && !s.unfenced && !s.unidentified && s.unknown == 0 && !l.earlierHold(s) && !l.mayLoseEnds(now, s) && len(l.toReject(now, s)) == 0 && !s.needsClock() && s.failures == 0 && !l.probeUnanswered(now, s) &&
		now.Mono >= s.avoidUntil && l.unheard(now, s) < l.reportLimit()
}

// reportLimit is for how long a worker may be unheard before it gets no new attempts.
func (l *Leader) reportLimit() time.Duration { return l.options.ReportPeriod + reportSlack }

// unheard returns for how long a worker has neither answered nor reported.
func (l *Leader) unheard(now Time, s *session) time.Duration {
	return now.Mono - max(s.answeredAt, s.reportedAt)
}

// attemptsOn returns the attempts on a worker, with what the placement needs to choose among them for preemption.
func (l *Leader) attemptsOn(now Time, worker string) []placement.RunningAttempt {
	w := l.state.Worker(worker)
	out := make([]placement.RunningAttempt, 0, len(w.Attempts()))
	for id := range w.Attempts() {
		j := l.state.Job(id.Job)
		tracked := l.attempts[id]
		step := &j.Spec.Steps[id.Step]
		unsaved := now.WallMS - j.Task(id).StartedMS
		if step.Checkpointable || (step.LongRunning && j.Spec.Priority == 0) { // Urgent tasks that last produce no result that is lost.
			unsaved = min(unsaved, l.options.RestoreTime.Milliseconds())
		}
		members := 1
		if step.Gang {
			members = step.Count
		}
		out = append(out, placement.RunningAttempt{
			Task: id, Demand: step.Demand(), Priority: j.Spec.Priority, Members: members,
			Stopping: tracked == nil || tracked.stopWanted, UnsavedMS: unsaved,
			Guaranteed: l.guaranteed[id.Job], Reclaims: l.reclaims[l.gangKey(id)], DisruptionBudget: l.disruptionBudget(id), Counted: l.counted(j, step),
			AtRisk: now.WallMS+2*l.runTimeMS(j, step) > l.objectiveStart(j, id.Occurrence)+l.objective(j),
		})
	}
	slices.SortFunc(out, func(a, b placement.RunningAttempt) int { return a.Task.Compare(b.Task) })
	return out
}
