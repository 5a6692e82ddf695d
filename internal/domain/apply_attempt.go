package domain

import "slices"

// Maximum lengths of the lists in Task.
const (
	maxFailedOn     = 8 // Entries of Task.FailedOn.
	maxLostAttempts = 8 // Entries of Task.LostAttempts.
)

// applyStart begins attempts. It skips an assignment whose task or worker has changed since the plan was made, or whose
// worker has too little free capacity left, or whose workspace would exceed its maximum. If one member of a gang is skipped,
// all members are. The check is made here, and not only by the planner, so that no worker is overcommitted and no maximum
// exceeded even if two plans were made independently, or on an earlier configuration.
func (m *StateMachine) applyStart(s *StartAttempts, at int64) Result {
	dropped := m.findDropped(s.Assignments)
	result := NotChanged
	for i, a := range s.Assignments {
		j := m.open[a.Task.Job]
		if dropped.assignments[i] || !m.startable(a) || (j.Spec.Steps[a.Task.Step].Gang && dropped.steps[firstTask(a.Task)]) {
			continue
		}
		t := j.Task(a.Task)
		t.Attempt = m.nextAttempt(j, a.Task)
		t.Worker = a.Worker
		t.StartedMS = at
		m.addToWorker(a.Task, j, t)
		if !s.Unconfirmed {
			j.begin()
		}
		result = Applied
	}
	return result
}

// droppedAssignments holds the assignments of a command that cannot begin, by position, and their steps, by firstTask.
type droppedAssignments struct {
	assignments map[int]bool
	steps       map[TaskID]bool
}

// findDropped returns the assignments that cannot begin. Earlier assignments of the list reduce the free capacity that
// later ones on the same worker find, and what is left of the maximum of their workspace.
func (m *StateMachine) findDropped(assignments []Assignment) droppedAssignments {
	out := droppedAssignments{map[int]bool{}, map[TaskID]bool{}}
	free := map[string]Resources{}
	quota := quotaCheck{m: m}
	for i, a := range assignments {
		fits := m.startable(a)
		if fits {
			room, known := free[a.Worker.ID]
			if !known {
				room = m.state.Workers[a.Worker.ID].Free()
			}
			demand := m.open[a.Task.Job].Spec.Steps[a.Task.Step].Demand()
			if fits = demand.Fits(room) && quota.admit(a); fits {
				free[a.Worker.ID] = room.Minus(demand)
			}
		}
		if !fits {
			out.assignments[i] = true
			out.steps[firstTask(a.Task)] = true
		}
	}
	return out
}

// firstTask returns the identifier of the first task of the same step, which holds the values that a gang's members
// share.
func firstTask(id TaskID) TaskID {
	id.Index = 0
	return id
}

// nextAttempt returns the number of the attempt that begins. All members of a gang get the same number: the first
// member to begin gets the highest number so far plus one, the others get the number of the members that have begun.
func (m *StateMachine) nextAttempt(j *Job, id TaskID) int {
	tasks := j.Occurrences[id.Occurrence].Steps[id.Step]
	if !j.Spec.Steps[id.Step].Gang {
		return tasks[id.Index].Attempt + 1
	}
	highest, present := 0, 0
	for i := range tasks {
		highest = max(highest, tasks[i].Attempt)
		if tasks[i].Assigned() {
			present = max(present, tasks[i].Attempt)
		}
	}
	if present > 0 {
		return present
	}
	return highest + 1
}

// startable reports whether a task may start on a worker, apart from the free capacity.
func (m *StateMachine) startable(a Assignment) bool {
	j := m.open[a.Task.Job]
	if j == nil {
		return false
	}
	t := j.Task(a.Task)
	w := m.state.Workers[a.Worker.ID]
	return t != nil && !t.Done && !t.Assigned() && w != nil && w.Incarnation == a.Worker && !w.Draining &&
		!m.state.ZonesOut[w.Zone] && j.StepReady(j.Occurrences[a.Task.Occurrence], a.Task.Step)
}

func (m *StateMachine) applyEnds(e *EndAttempts, at int64) Result {
	w := m.state.Workers[e.Worker.ID]
	if w == nil || w.Incarnation != e.Worker {
		return NotFound
	}
	w.Cursor = max(w.Cursor, e.Cursor)
	for _, x := range e.Ends {
		m.endAttempt(e, x, at)
	}
	return Applied
}

// EndMatters reports whether an end that a worker lists changes the state: of an attempt that may be present there, or of one
// that was recorded as lost and is done.
func (m *StateMachine) EndMatters(incarnation WorkerIncarnation, x AttemptEnd) bool {
	j := m.state.Jobs[x.Task.Job]
	if j == nil {
		return false
	}
	t := j.Task(x.Task)
	return t != nil && ((t.Attempt == x.Attempt && t.Worker == incarnation) ||
		(x.Outcome == OutcomeDone && slices.Contains(t.LostAttempts, x.Attempt)))
}

// endAttempt records one of the ends of a command.
func (m *StateMachine) endAttempt(e *EndAttempts, x AttemptEnd, at int64) {
	j := m.state.Jobs[x.Task.Job]
	if j == nil {
		return
	}
	t := j.Task(x.Task)
	if t == nil {
		return
	}
	if t.Attempt != x.Attempt || t.Worker != e.Worker {
		m.endOldAttempt(j, t, x, at)
		return
	}
	m.removeFromWorker(x.Task, j, t)
	recordCheckpoint(j, x)
	if x.Outcome.showsBegin() {
		j.begin()
	}
	defer m.dropIfNoAttempts(j)
	if j.State.Final() || t.Done {
		return
	}
	switch x.Outcome {
	case OutcomeLost:
		t.LostAttempts = append(t.LostAttempts, x.Attempt)
		t.LostAttempts = t.LostAttempts[max(0, len(t.LostAttempts)-maxLostAttempts):]
	case OutcomeDone:
		if j.Spec.Steps[x.Task.Step].LongRunning {
			return // It starts again, until its job is cancelled.
		}
		m.updateRunTime(j.Spec.Queue, at-t.StartedMS)
		m.finishTask(j, x.Task)
		m.completeIfDone(j, x.Task.Occurrence, at)
	case OutcomeFailed:
		m.failTask(j, x, e, at)
	}
}

// recordCheckpoint stores the checkpoint that was reported with the end of an attempt. A checkpoint of any member of a
// gang is valid for the whole gang. The ends of the members arrive in any order, and a member that ended with
// OutcomeGangBroken may report an older checkpoint than the member that was stopped; so the checkpoint of a stop is
// kept against others of its attempt.
func recordCheckpoint(j *Job, x AttemptEnd) {
	id := x.Task
	if j.Spec.Steps[id.Step].Gang {
		id = firstTask(id)
	}
	t := j.Task(id)
	stopped := x.Outcome == OutcomeStopped
	if x.Checkpoint == "" || (!stopped && t.StopCheckpointAttempt == x.Attempt) {
		return
	}
	t.Checkpoint = x.Checkpoint
	if stopped {
		t.StopCheckpointAttempt = x.Attempt
	}
}

// endOldAttempt handles the end of an attempt that is not the current one. If the attempt was recorded as lost and is
// now reported as done, its task is done and needs no other attempt; the leader stops one that has begun meanwhile. All
// other ends are ignored.
func (m *StateMachine) endOldAttempt(j *Job, t *Task, x AttemptEnd, at int64) {
	if x.Outcome != OutcomeDone || !slices.Contains(t.LostAttempts, x.Attempt) || t.Done || j.State.Final() ||
		j.Spec.Steps[x.Task.Step].LongRunning {
		return
	}
	j.begin()
	m.finishTask(j, x.Task)
	m.completeIfDone(j, x.Task.Occurrence, at)
}

// Parameters of the moving average of run times.
const (
	runTimeWindow   = 16 // A new run time enters with a weight of 1/runTimeWindow.
	runTimeMaxRatio = 4  // A longer run time counts as this multiple of the average.
)

// updateRunTime adds the run time of a task that is done, in milliseconds, to the moving average of its queue.
func (m *StateMachine) updateRunTime(queue string, ran int64) {
	average := m.state.RunTimes[queue]
	if average == 0 {
		m.state.RunTimes[queue] = max(1, ran)
		return
	}
	m.state.RunTimes[queue] = max(1, average+(min(ran, runTimeMaxRatio*average)-average)/runTimeWindow)
}

// dropIfNoAttempts removes an ended job from endedWithAttempts once none of its attempts is present on a worker.
func (m *StateMachine) dropIfNoAttempts(j *Job) {
	if j.State.Final() && m.endedWithAttempts[j.Spec.ID] != nil && !j.hasAttempts() {
		delete(m.endedWithAttempts, j.Spec.ID)
	}
}

// finishTask marks a task as done. When one member of a gang is done, all members are; each of the others keeps its
// capacity on its worker until the worker reports its end.
func (m *StateMachine) finishTask(j *Job, id TaskID) {
	tasks := j.Occurrences[id.Occurrence].Steps[id.Step]
	if !j.Spec.Steps[id.Step].Gang {
		tasks[id.Index].Done = true
		return
	}
	for i := range tasks {
		tasks[i].Done = true
	}
}

// failTask counts a failed attempt. The job fails when a task, or a gang as a whole, has failed MaxAttempts times.
// Long-running tasks have no such limit.
func (m *StateMachine) failTask(j *Job, x AttemptEnd, e *EndAttempts, at int64) {
	step := &j.Spec.Steps[x.Task.Step]
	tasks := j.Occurrences[x.Task.Occurrence].Steps[x.Task.Step]
	holder := &tasks[x.Task.Index]
	if step.Gang {
		holder = &tasks[0]
	}
	if !slices.Contains(holder.FailedOn, e.Worker.ID) && len(holder.FailedOn) < maxFailedOn {
		holder.FailedOn = append(holder.FailedOn, e.Worker.ID)
	}
	if step.Gang && e.OncePerRun {
		counted := holder.FailedRun == x.Attempt || (e.WithinRuns && holder.Failures >= x.Attempt)
		holder.FailedRun = x.Attempt
		if counted {
			return
		}
	}
	holder.Failures++
	if !step.LongRunning && holder.Failures >= j.Spec.MaxAttempts {
		m.endJob(j, JobFailed, at)
	}
}
