package domain

import "slices"

// Bounds of the lists that a task keeps.
const (
	maxFailedOn = 8 // Workers on which it failed.
	maxLost     = 8 // Attempts that were given up.
)

// applyStart begins attempts. An assignment whose task or worker has changed since the plan was made, or for which there is
// no room any more, is left out; the members of a gang are left out together. Whoever plans, no worker is overcommitted.
func (m *Machine) applyStart(s *StartAttempts, at int64) Result {
	dropped := m.withoutPlace(s.Assignments)
	result := NotChanged
	for i, a := range s.Assignments {
		j := m.open[a.Task.Job]
		if dropped.assignments[i] || !m.startable(a) || (j.Spec.Steps[a.Task.Step].Gang && dropped.steps[stepOf(a.Task)]) {
			continue
		}
		t := j.Task(a.Task)
		t.Attempt = m.nextAttempt(j, a.Task)
		t.Worker = a.Worker
		t.Started = at
		m.occupy(a.Task, j, t)
		if j.State == JobPending {
			j.State = JobRunning
		}
		result = Applied
	}
	return result
}

// placeless are the assignments of a command that cannot begin, by position, and the steps that they belong to.
type placeless struct {
	assignments map[int]bool
	steps       map[TaskID]bool
}

// withoutPlace finds the assignments that cannot begin. Those before an assignment count against its worker's room.
func (m *Machine) withoutPlace(assignments []Assignment) placeless {
	out := placeless{map[int]bool{}, map[TaskID]bool{}}
	free := map[string]Resources{}
	for i, a := range assignments {
		fits := m.startable(a)
		if fits {
			room, known := free[a.Worker.ID]
			if !known {
				room = m.state.Workers[a.Worker.ID].Free()
			}
			demand := m.open[a.Task.Job].Spec.Steps[a.Task.Step].Demand()
			if fits = demand.Fits(room); fits {
				free[a.Worker.ID] = room.Minus(demand)
			}
		}
		if !fits {
			out.assignments[i] = true
			out.steps[stepOf(a.Task)] = true
		}
	}
	return out
}

// stepOf returns the identifier of the first task of a step; the gang's shared values are kept there.
func stepOf(id TaskID) TaskID {
	id.Index = 0
	return id
}

// nextAttempt returns the number of the attempt that begins. The first member of a gang to begin draws a new number for
// all: the highest one so far, plus one.
func (m *Machine) nextAttempt(j *Job, id TaskID) int {
	tasks := j.Occurrences[id.Occurrence].Steps[id.Step]
	if !j.Spec.Steps[id.Step].Gang {
		return tasks[id.Index].Attempt + 1
	}
	highest, present := 0, 0
	for i := range tasks {
		highest = max(highest, tasks[i].Attempt)
		if tasks[i].Occupied() {
			present = max(present, tasks[i].Attempt)
		}
	}
	if present > 0 {
		return present
	}
	return highest + 1
}

func (m *Machine) startable(a Assignment) bool {
	j := m.open[a.Task.Job]
	if j == nil {
		return false
	}
	t := j.Task(a.Task)
	w := m.state.Workers[a.Worker.ID]
	return t != nil && !t.Done && !t.Occupied() && w != nil && w.Life == a.Worker && !w.Draining &&
		!m.state.ZonesOut[w.Zone] && j.Ready(j.Occurrences[a.Task.Occurrence], a.Task.Step)
}

func (m *Machine) applyEnds(e *EndAttempts, at int64) Result {
	w := m.state.Workers[e.Worker.ID]
	if w == nil || w.Life != e.Worker {
		return NotFound
	}
	w.Cursor = max(w.Cursor, e.Cursor)
	for _, x := range e.Ends {
		m.endAttempt(e.Worker, x, at)
	}
	return Applied
}

// endAttempt records the end of one attempt.
func (m *Machine) endAttempt(life WorkerLife, x AttemptEnd, at int64) {
	j := m.state.Jobs[x.Task.Job]
	if j == nil {
		return
	}
	t := j.Task(x.Task)
	if t == nil {
		return
	}
	if t.Attempt != x.Attempt || t.Worker != life {
		m.endOldAttempt(j, t, x, at)
		return
	}
	m.vacate(x.Task, j, t)
	keepSaved(j, x)
	defer m.leaveBusy(j)
	if j.State.Final() || t.Done {
		return
	}
	switch x.Outcome {
	case OutcomeLost:
		t.Lost = append(t.Lost, x.Attempt)
		t.Lost = t.Lost[max(0, len(t.Lost)-maxLost):]
	case OutcomeDone:
		m.learnRunTime(j.Spec.Queue, at-t.Started)
		m.finishTask(j, x.Task)
		m.settle(j, x.Task.Occurrence, at)
	case OutcomeFailed:
		m.failTask(j, x.Task, life.ID, at)
	}
}

// keepSaved takes over the checkpoint that an end lists. One of any member of a gang is valid for the gang; the members'
// ends come in any order, and those that a stop broke may list an older checkpoint than the member that was stopped.
func keepSaved(j *Job, x AttemptEnd) {
	id := x.Task
	if j.Spec.Steps[id.Step].Gang {
		id = stepOf(id)
	}
	t := j.Task(id)
	stopped := x.Outcome == OutcomeStopped
	if x.Saved == "" || (!stopped && t.SavedAtStop == x.Attempt) {
		return
	}
	t.Saved = x.Saved
	if stopped {
		t.SavedAtStop = x.Attempt
	}
}

// endOldAttempt records the end of an attempt that was given up as lost. Only work that is done counts still: its task needs
// no other attempt, and one that has begun meanwhile is stopped by the leader.
func (m *Machine) endOldAttempt(j *Job, t *Task, x AttemptEnd, at int64) {
	if x.Outcome != OutcomeDone || !slices.Contains(t.Lost, x.Attempt) || t.Done || j.State.Final() {
		return
	}
	m.finishTask(j, x.Task)
	m.settle(j, x.Task.Occurrence, at)
}

// Weights of the moving average of run times.
const (
	runTimeMemory = 16 // Ended tasks that the average goes back.
	runTimeMost   = 4  // A single task counts for at most this many times the average.
)

func (m *Machine) learnRunTime(queue string, ran int64) {
	known := m.state.RunTimes[queue]
	if known == 0 {
		m.state.RunTimes[queue] = max(1, ran)
		return
	}
	m.state.RunTimes[queue] = max(1, known+(min(ran, runTimeMost*known)-known)/runTimeMemory)
}

// leaveBusy drops an ended job from the list of those with attempts on workers.
func (m *Machine) leaveBusy(j *Job) {
	if j.State.Final() && m.busyEnded[j.Spec.ID] != nil && !j.busy() {
		delete(m.busyEnded, j.Spec.ID)
	}
}

// finishTask marks a task done. The end of one member of a gang stands for all members of the attempt; they stay
// counted on their workers until these list their own ends.
func (m *Machine) finishTask(j *Job, id TaskID) {
	tasks := j.Occurrences[id.Occurrence].Steps[id.Step]
	if !j.Spec.Steps[id.Step].Gang {
		tasks[id.Index].Done = true
		return
	}
	for i := range tasks {
		tasks[i].Done = true
	}
}

// failTask counts a failed attempt. A job fails once a task, or a gang as a whole, has used up its attempts. Tasks that
// run until the job is cancelled have no such limit.
func (m *Machine) failTask(j *Job, id TaskID, worker string, at int64) {
	step := &j.Spec.Steps[id.Step]
	tasks := j.Occurrences[id.Occurrence].Steps[id.Step]
	holder := &tasks[id.Index]
	if step.Gang {
		holder = &tasks[0]
	}
	holder.Failed++
	if !slices.Contains(holder.FailedOn, worker) && len(holder.FailedOn) < maxFailedOn {
		holder.FailedOn = append(holder.FailedOn, worker)
	}
	if !step.LongRunning && holder.Failed >= j.Spec.MaxAttempts {
		m.endJob(j, JobFailed, at)
	}
}
