package dispatch

import (
	"maps"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// attemptState is what the leader knows about an attempt that may be present on a worker.
type attemptState struct {
	task        domain.TaskID
	number      int
	incarnation domain.WorkerIncarnation
	adoptedAt   time.Duration // When this leader began to track the attempt.
	// inherited marks an attempt that an earlier leader started; its worker may have been running it for a long time.
	inherited      bool
	callsInFlight  int             // Start or stop calls in flight.
	tries          int             // Starts sent, or stops not confirmed; sets the backoff.
	nextTryAt      time.Duration   // Earliest time of the next start or stop.
	startConfirmed bool            // The worker has confirmed the start, or lists the attempt.
	confirmedAt    time.Duration   // When the worker confirmed the start or the stop.
	stopWanted     bool            // The attempt is to end.
	reason         string          // Why it is to be stopped.
	stopConfirmed  bool            // The worker has confirmed the stop, or that it will not run the attempt.
	percent        int             // Progress that the worker listed last, -1 before the first list.
	progressAt     time.Duration   // When progress was last seen.
	timePerPercent time.Duration   // How long the last percent took, 0 if that is not known.
	listedAt       time.Duration   // When the worker last listed it.
	checkpoint     string          // Newest checkpoint that the worker has listed.
	load           int64           // As the worker listed it last, see RunningTask.Load.
	endListedAt    time.Duration   // When the worker first listed its end, 0 before.
	pace           int             // Pace that was sent last, in percent.
	paceConfirmed  int             // Pace that the worker has confirmed, in percent.
	paceInFlight   bool            // A CallPace is in flight.
	sample         attemptSample   // What its run time tells about the speed of its worker.
	pacedAt        time.Duration   // When the worker confirmed a pace last.
	neighbours     neighbourSample // What it tells about the images beside it.
	guaranteed     bool            // Its job was within the guarantee of its workspace when it began.
}

// stepKey names a step of an occurrence.
type stepKey struct {
	job        domain.JobID
	occurrence int
	step       int
}

func keyOf(t domain.TaskID) stepKey { return stepKey{t.Job, t.Occurrence, t.Step} }

// Leader decides for one leadership which calls go to workers and which commands are proposed. It is not safe for
// concurrent use.
type Leader struct {
	options  Options
	state    *domain.StateMachine
	sessions map[string]*session
	attempts map[domain.TaskID]*attemptState
	// unsettled holds the attempts that still need calls: their start is not confirmed, or they are to be stopped.
	unsettled      map[domain.TaskID]*attemptState
	workerIDs      []string // Identifiers of the workers, sorted.
	workersChanged bool     // workerIDs must be built anew.
	callsInFlight  map[uint64]pendingCall
	lastCallID     uint64
	lateStarts     map[string][]*lateStart // By worker.
	lateAcks       map[string]lateAck      // By worker.
	// toHold has the sessions that may need a hold now. The others are looked at every watchEvery only.
	toHold           map[*session]struct{}
	leaving          map[*session]struct{} // Sessions of workers that have announced their end.
	contactsInFlight int                   // Holds in flight to workers that have not answered yet.
	contactsRepeated int                   // Repeated ones that were sent since the last watch.
	neverAnswered    int                   // Sessions that have left all calls unanswered, as counted at the last watch.
	busyWorkers      int                   // Workers with attempts, as counted at the last watch.
	holdsInFlight    map[string]int        // Holds in flight by worker, also those meant for an earlier incarnation.
	// leaseEnds holds when the leases of workers are over whose sessions were dropped. A worker that was forgotten may
	// still run, and registers again.
	leaseEnds       map[domain.WorkerIncarnation]time.Duration
	readySinceMS    map[stepKey]int64 // Since when tasks of a step could start, Unix milliseconds.
	criticalPathsMS map[domain.JobID]int64
	stalls          map[domain.TaskID]int // How often a task, or a gang, was stopped for want of progress; see gangKey.
	reclaims        map[domain.TaskID]int // How often an urgent task, or a gang, was stopped for a guarantee; see gangKey.
	guaranteed      map[domain.JobID]bool // Urgent jobs within the guarantee of their workspace, as of the last plan.
	releasing       map[domain.JobID]int  // Occurrences that a job will have once a command that adds some is applied.
	endedJobs       map[domain.JobID]bool // Jobs whose end was logged and counted.
	startInFlight   bool                  // A command with starts is proposed and not applied yet.
	hasBestEffort   bool                  // An open job has best-effort tasks.
	hasImages       bool                  // An open job has a step with an image, and interference is estimated.
	dirty           bool                  // Something has changed since the last plan.
	nextPlanAt      time.Duration
	lastPlanAt      time.Duration
	planTook        time.Duration // How long the last plan took, by Options.Stopwatch.
	roundTrip       time.Duration // From the last call that was answered at once to its answer, as handled here.
	nextPurgeAt     time.Duration
	nextWatchAt     time.Duration
	out             Output // Collected for the next return of Tick.
	adviceCache     adviceCache
	upkeeps         map[string]*upkeepState // By machine.
	nextUpkeepAt    time.Duration
	nextBegunAt     time.Duration // When the begun jobs are reported next.
	quota           quotaState
	excess          excess
	begunInFlight   map[domain.JobID]bool // Jobs that a command reports as begun that is not applied yet.
	speeds          *speeds               // Nil if speeds are not estimated.
	interference    *interferences        // Nil if interference is not estimated.
	preview         *preview              // Nil except in the copy that Preview works on.
	// When this leadership began, on both clocks.
	beganAt     time.Duration
	beganWallMS int64
	// succeedsOthers tells whether earlier leaders may have sent starts: there were jobs when this leadership began.
	succeedsOthers bool
}

// pendingCall is a call in flight.
type pendingCall struct {
	call    Call
	session *session // Of the worker's incarnation when the call was sent.
	sentAt  time.Duration
	contact bool // A hold to a worker that has not answered this leader yet.
	unknown bool // A stop of an attempt that the domain does not place there.
	// verifies marks a hold that shows whether the worker is still there, see Leader.Verify.
	verifies bool
}

// New begins a leadership over the applied state.
func New(state *domain.StateMachine, options Options, now Time) *Leader {
	if options.Observer == nil {
		options.Observer = unobserved{}
	}
	l := &Leader{
		options:         options,
		state:           state,
		sessions:        map[string]*session{},
		attempts:        map[domain.TaskID]*attemptState{},
		unsettled:       map[domain.TaskID]*attemptState{},
		callsInFlight:   map[uint64]pendingCall{},
		lateStarts:      map[string][]*lateStart{},
		lateAcks:        map[string]lateAck{},
		toHold:          map[*session]struct{}{},
		leaving:         map[*session]struct{}{},
		holdsInFlight:   map[string]int{},
		leaseEnds:       map[domain.WorkerIncarnation]time.Duration{},
		readySinceMS:    map[stepKey]int64{},
		criticalPathsMS: map[domain.JobID]int64{},
		stalls:          map[domain.TaskID]int{},
		reclaims:        map[domain.TaskID]int{},
		releasing:       map[domain.JobID]int{},
		endedJobs:       map[domain.JobID]bool{},
		begunInFlight:   map[domain.JobID]bool{},
		dirty:           true,
		// A host may lead again within one term. Identifiers that begin at the clock keep it from taking the answers to
		// calls of its earlier leadership for answers to its own.
		lastCallID:  uint64(now.Mono),
		adviceCache: newAdviceCache(uint64(now.Mono)),
		upkeeps:     map[string]*upkeepState{},
		beganAt:     now.Mono, beganWallMS: now.WallMS, succeedsOthers: state.JobCount() > 0,
	}
	for _, w := range state.Workers() {
		s := l.session(w.Incarnation, now)                            // Idle workers get a session too, so that they are asked for their clocks at once.
		s.earlierLeaseEnd = now.Mono + longest(options.LeaseDuration) // A worker keeps its lease while it is idle.
		for id, attempt := range w.Attempts() {
			l.adopt(id, attempt, w.Incarnation, now).inherited = true
			s.holdNow = true
		}
	}
	l.excess = newExcess(state, options.ExcessAllowance)
	l.stopNotNeeded(now)
	l.inheritPaces()
	l.inheritSpeeds()
	l.inheritInterference()
	l.noteImages()
	return l
}

// stopNotNeeded requests the stops that an earlier leader may not have sent before it ended: of attempts whose job has
// ended, whose task an earlier attempt has completed, or whose worker has started again.
func (l *Leader) stopNotNeeded(now Time) {
	for id, a := range l.attempts {
		j := l.state.Job(id.Job)
		t := j.Task(id)
		if t.Moved {
			l.session(a.incarnation, now).mayGetLateStarts(now.Mono, l.options.LeaseDuration)
		}
		switch {
		case j.State.Final():
			l.requestStop(a, j.State.String())
		case t.Moved:
			l.abandon(a, reasonRestarted)
		case t.Done:
			l.abandon(a, reasonDone)
		}
	}
}

// adopt begins to track an attempt.
func (l *Leader) adopt(id domain.TaskID, number int, incarnation domain.WorkerIncarnation, now Time) *attemptState {
	a := &attemptState{task: id, number: number, incarnation: incarnation, adoptedAt: now.Mono, progressAt: now.Mono, percent: -1, pace: paceFull, paceConfirmed: paceFull}
	l.attempts[id] = a
	l.unsettled[id] = a
	return a
}

// forgetAttempt drops the state of an attempt that is over.
func (l *Leader) forgetAttempt(id domain.TaskID) {
	l.endSamples(l.attempts[id])
	delete(l.attempts, id)
	delete(l.unsettled, id)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// settle removes an attempt from unsettled if its start is confirmed and it is not to be stopped.
func (l *Leader) settle(a *attemptState) {
	if a.startConfirmed && !a.stopWanted {
		delete(l.unsettled, a.task)
	}
}

// session returns the session of a worker's incarnation, a new one if there is none.
func (l *Leader) session(incarnation domain.WorkerIncarnation, now Time) *session {
	s := l.sessions[incarnation.ID]
	if s == nil || s.incarnation != incarnation {
		s = &session{
			incarnation: incarnation, createdAt: now.Mono, answeredAt: now.Mono, reportedAt: now.Mono, earlierLeaseEnd: l.leaseEnds[incarnation],
			unknownNoted: map[listedAttempt]bool{}, failedGangs: map[stepKey]time.Duration{},
		}
		if incarnation.BornMS <= l.beganWallMS { // An earlier leader may have granted it a lease and forgotten it.
			s.earlierLeaseEnd = max(s.earlierLeaseEnd, l.beganAt+longest(l.options.LeaseDuration))
		}
		// One that was forgotten may still run what it was told to start, until its leases are over.
		s.unfenced = l.succeedsOthers && now.Mono < l.beganAt+lateCallLimit || now.Mono < l.leaseEnds[incarnation]
		l.sessions[incarnation.ID] = s
		l.mayNeedHold(s)
	}
	return s
}

// WorkerReported handles a report of a registered worker.
func (l *Leader) WorkerReported(now Time, incarnation domain.WorkerIncarnation, clockMS int64) {
	s := l.session(incarnation, now)
	if l.unheard(now, s) >= l.reportLimit() || s.needsClock() {
		l.dirty = true // It may become usable.
	}
	s.reportedAt = now.Mono
	s.clockReported(now.Mono, clockMS)
}

// WorkerLeaves handles a worker's notice that it is about to end. The worker may run on for some time after the notice,
// so its attempts are stopped, and it is forgotten only when none is left.
func (l *Leader) WorkerLeaves(now Time, incarnation domain.WorkerIncarnation) {
	s := l.session(incarnation, now)
	if s.leaving {
		return
	}
	s.leaving = true
	l.leaving[s] = struct{}{}
	l.options.Log("worker_leaving", "worker", incarnation.ID, "born_ms", incarnation.BornMS,
		"attempts", len(l.state.Worker(incarnation.ID).Attempts()))
	for _, a := range l.attempts {
		if a.incarnation == incarnation {
			l.abandon(a, reasonLeaving)
		}
	}
}

// reasonLeaving is why attempts on a leaving worker are stopped.
const reasonLeaving = "its worker leaves"

// forgetLeaving proposes to forget the leaving workers that run nothing any more: those that have no attempts, and those
// that have ended. Ends that such a worker has listed are committed first.
func (l *Leader) forgetLeaving(now Time) {
	for s := range l.leaving {
		w := l.state.Worker(s.incarnation.ID)
		if w == nil || w.Incarnation != s.incarnation {
			delete(l.leaving, s)
			continue
		}
		if s.endsInFlight {
			continue
		}
		if len(w.Attempts()) == 0 || (s.gone && s.holdsInFlight == 0) {
			l.forget(now, s)
		}
	}
}

// forget proposes to forget a worker's incarnation. Until that is applied, it gets no starts.
func (l *Leader) forget(now Time, s *session) {
	if s.forgetInFlight {
		return
	}
	s.forgetInFlight = true
	l.reportBegun(now)
	l.propose(now, domain.Command{Forget: &domain.ForgetWorker{Incarnation: s.incarnation}})
}

// Applied updates the leader after a command has been applied to the domain.
func (l *Leader) Applied(now Time, c *domain.Command, r domain.Result) {
	l.dirty = l.dirty || (c.Begun == nil && c.Speeds == nil && c.Interference == nil)
	switch {
	case c.Submit != nil && r == domain.Applied:
		l.excess.accepted(l.state, l.state.Job(c.Submit.ID))
	case c.Start != nil:
		l.startInFlight = false
		for _, a := range c.Start.Assignments {
			l.beginAttempt(now, a)
		}
	case c.End != nil:
		if s := l.sessions[c.End.Worker.ID]; s != nil && s.incarnation == c.End.Worker {
			s.endsInFlight, s.lossInFlight = false, false
			s.nextHoldAt = now.Mono
			l.mayNeedHold(s)
		}
		for _, e := range c.End.Ends {
			l.noteCommittedEnd(now, c.End.Worker, e)
			l.attemptEnded(now, e)
		}
		for _, e := range c.End.Ends {
			l.noteEndedJob(c, e.Task.Job)
		}
	case c.Cancel != nil:
		if r != domain.NotFound { // Otherwise the job, if there is one, belongs to another workspace.
			l.stopJob(c.Cancel.Job, "cancelled")
		}
		l.noteEndedJob(c, c.Cancel.Job)
	case c.Register != nil, c.Forget != nil:
		l.dropStale(now)
	case c.Release != nil:
		l.releaseApplied(c.Release)
	case c.Upkeep != nil:
		l.upkeepApplied(c.Upkeep)
	case c.Begun != nil:
		l.begunApplied(c.Begun)
	case c.Speeds != nil:
		l.speedsApplied(c.Speeds)
	case c.Interference != nil:
		l.interferenceApplied()
	case c.Purge != nil:
		maps.DeleteFunc(l.endedJobs, func(id domain.JobID, _ bool) bool { return l.state.Job(id) == nil })
	}
}

// beginAttempt begins to track an attempt whose start is committed.
func (l *Leader) beginAttempt(now Time, a domain.Assignment) {
	j := l.state.Job(a.Task.Job)
	t := j.Task(a.Task)
	if t.Worker != a.Worker || l.attempts[a.Task] != nil {
		return
	}
	tracked := l.adopt(a.Task, t.Attempt, a.Worker, now)
	tracked.guaranteed = l.guaranteed[a.Task.Job]
	l.noteVacatedUse(now, tracked)
	l.mayNeedHold(l.session(a.Worker, now))
	if l.session(a.Worker, now).leaving { // The notice came while the start was being committed.
		l.abandon(tracked, reasonLeaving)
	}
	l.options.Observer.AttemptBegun(j.Spec.Priority, milliseconds(l.WaitedMS(now, j, a.Task.Occurrence, a.Task.Step)))
	l.options.Observer.PlacedBySpeed(l.speedClass(a.Worker.ID))
	if result := l.placedApart(l.state.Worker(a.Worker.ID), a.Task); result != "" {
		l.options.Observer.PlacedApart(result)
	}
	l.options.Log("attempt_begun", "job", a.Task.Job, "task", a.Task.String(), "attempt", t.Attempt, "worker", a.Worker.ID,
		"waited_ms", now.WallMS-j.AcceptedMS, "failed_before", j.Task(l.gangKey(a.Task)).Failures)
}

// stopJob requests the stop of all attempts of a job.
func (l *Leader) stopJob(id domain.JobID, reason string) {
	j := l.state.Job(id)
	if j == nil {
		return
	}
	for k := range j.Occurrences {
		for s := range j.Spec.Steps {
			for _, a := range l.members(domain.TaskID{Job: id, Occurrence: k, Step: s}) {
				l.requestStop(a, reason)
			}
		}
	}
}

// requestStop marks an attempt to be stopped. The first reason stays.
func (l *Leader) requestStop(a *attemptState, reason string) {
	if !a.stopWanted {
		l.endSamples(a)
		a.stopWanted = true
		if a.endListedAt == 0 { // Otherwise it has ended for another reason.
			a.reason = reason
		}
		a.nextTryAt = 0
		a.tries = 0
		l.unsettled[a.task] = a
	}
}

// reasonDone is why attempts are stopped whose task an earlier attempt has completed.
const reasonDone = "an earlier attempt is done"

// reasonRestarted is why attempts are stopped that began on an earlier incarnation of their worker.
const reasonRestarted = "its worker has started again"

// dropStale drops the attempts and sessions of incarnations of workers that have ended. Attempts that the domain has
// moved to a later incarnation are stopped there.
func (l *Leader) dropStale(now Time) {
	var moved []*attemptState
	for id, a := range l.attempts {
		j := l.state.Job(id.Job)
		if j != nil && j.Task(id).Worker == a.incarnation {
			continue
		}
		l.noteLost(now, a, "worker_gone")
		l.forgetAttempt(id)
		if j != nil && j.Task(id).Moved && j.Task(id).Attempt == a.number {
			m := l.adopt(id, a.number, j.Task(id).Worker, now)
			m.adoptedAt, m.checkpoint = a.adoptedAt, a.checkpoint
			moved = append(moved, m)
			l.session(m.incarnation, now).mayGetLateStarts(now.Mono, l.options.LeaseDuration)
			continue // It ends when that incarnation has confirmed that it will not run it.
		}
		l.options.Observer.AttemptEnded(domain.OutcomeLost, now.Mono-a.adoptedAt)
	}
	for _, a := range moved {
		l.abandon(a, reasonRestarted)
	}
	l.workersChanged = true
	for id, s := range l.sessions {
		if w := l.state.Worker(id); w == nil || w.Incarnation != s.incarnation {
			l.leaseEnds[s.incarnation] = s.leaseEnd()
			delete(l.sessions, id)
			delete(l.toHold, s)
		}
	}
}

// watchEvery is the period of the checks for gangs that do not start, attempts without progress, leases that are over
// and occurrences that are due.
const watchEvery = 50 * time.Millisecond

// Tick does the work that is due and returns the commands to propose and the calls to make.
func (l *Leader) Tick(now Time) Output {
	if now.Mono >= l.nextWatchAt {
		l.nextWatchAt = now.Mono + watchEvery
		l.watchGangs(now)
		l.watchProgress(now)
		l.expireLeases(now)
		l.releaseDueOccurrences(now)
		if now.Mono >= l.nextBegunAt {
			l.nextBegunAt = now.Mono + reportBegunEvery
			l.reportBegun(now)
		}
		l.housekeeping(now)
		l.watchHolds()
		l.updateSpeeds(now)
		l.updateInterference(now)
	}
	l.forgetLeaving(now)
	l.advanceWaves(now)
	l.plan(now)
	l.rejectLateStarts(now)
	l.sendStartsAndStops(now)
	l.sendHolds(now)
	out := l.out
	l.out = Output{}
	return out
}

// propose stamps a command with the time and adds it to the output.
func (l *Leader) propose(now Time, c domain.Command) {
	c.AtMS = now.WallMS
	l.out.Commands = append(l.out.Commands, &c)
}

// sendCall completes a call, notes it as in flight and adds it to the output.
func (l *Leader) sendCall(now Time, w *domain.Worker, c Call) {
	l.lastCallID++
	c.ID = l.lastCallID
	c.Worker = w.Incarnation
	c.Address = w.Address
	c.FencingToken = l.options.FencingToken
	s := l.sessions[c.Worker.ID]
	contact := c.Kind == CallHold && s != nil && !s.everAnswered
	if contact {
		l.contactsInFlight++
	}
	l.callsInFlight[c.ID] = pendingCall{call: c, session: s, sentAt: now.Mono, contact: contact}
	l.out.Calls = append(l.out.Calls, c)
}
