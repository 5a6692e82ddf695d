package dispatch

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Limits of the occurrences of schedules that are released and not done. They bound the memory of all hosts, and the time of a
// plan, during which the host handles no message of the log.
const (
	// maxReleasedTasks is how many tasks the occurrences of one schedule may have that are released and not done, as many as the
	// domain accepts in one job. The tasks that wait are shared among all schedules.
	maxReleasedTasks = 20000
	// maxWaitingSteps is how many steps may wait in the released occurrences of all schedules together, beside those that could
	// start now and one occurrence of each schedule.
	maxWaitingSteps = 2000
)

// schedule is a scheduled job that has waiting tasks or occurrences that are due.
type schedule struct {
	job      *domain.Job
	open     int // Released occurrences that are not done.
	waiting  int // Released occurrences with tasks that wait. Those of a command in flight count too.
	starting int // Those of them with tasks that wait for room only: of a step without dependencies.
	due      int // Occurrences that are due and not released.
	tasks    int // Of one occurrence.
}

// releaseDueOccurrences proposes to add the occurrences of scheduled jobs that are due, or will be within
// Options.EarlyStart, within the limits above. One that could start now does not wait for a share of them.
func (l *Leader) releaseDueOccurrences(now Time) {
	var late []*schedule
	sharers, steps := 0, 0
	for _, j := range l.state.OpenJobs() {
		if j.Spec.RepeatCount == 0 {
			continue
		}
		s := l.schedule(now, j)
		if s.waiting+s.due > 0 {
			sharers++
		}
		steps += s.waiting * len(j.Spec.Steps)
		if s.due > 0 && l.releasing[j.Spec.ID] == 0 {
			late = append(late, s)
		}
	}
	if len(late) == 0 {
		return
	}
	slices.SortFunc(late, func(a, b *schedule) int {
		return cmp.Or(
			cmp.Compare(a.job.Spec.Priority, b.job.Spec.Priority),
			cmp.Compare(a.nextDueMS(), b.nextDueMS()),
			cmp.Compare(a.job.Sequence, b.job.Sequence),
		)
	})
	room := l.newReleaseRoom()
	for _, s := range late {
		steps += l.release(now, s, sharers, maxWaitingSteps-steps, room) * len(s.job.Spec.Steps)
	}
}

// release proposes to add occurrences of a schedule and returns how many. The limits are shared among some schedules, and leave
// a number of steps for this one.
func (l *Leader) release(now Time, s *schedule, sharers, steps int, room *releaseRoom) int {
	limit := min(s.due, max(1, maxReleasedTasks/s.tasks)-s.open)
	if limit <= 0 {
		return 0
	}
	perOccurrence := len(s.job.Spec.Steps)
	share := min(maxWaitingSteps/sharers/perOccurrence, maxReleasedTasks/sharers/s.tasks)
	n := min(share-s.waiting, steps/perOccurrence)
	if s.waiting == 0 {
		n = max(n, 1)
	}
	if n < limit {
		n = max(n, room.take(s.job, s.starting+limit)-s.starting)
	}
	n = min(n, limit)
	if n <= 0 {
		return 0
	}
	count := len(s.job.Occurrences) + n
	l.releasing[s.job.Spec.ID] = count
	l.propose(now, domain.Command{Release: &domain.ReleaseOccurrences{Job: s.job.Spec.ID, Count: count}})
	return n
}

// schedule counts the occurrences of a scheduled job.
func (l *Leader) schedule(now Time, j *domain.Job) *schedule {
	s := &schedule{job: j}
	for i := range j.Spec.Steps {
		s.tasks += j.Spec.Steps[i].Count
	}
	for _, o := range j.Occurrences[j.FirstOpen():] {
		if o.Done {
			continue
		}
		s.open++
		waits, starts := false, false
		for i, tasks := range o.Steps {
			if anyWaits(tasks) {
				waits, starts = true, starts || len(j.Spec.Steps[i].DependsOn) == 0
			}
		}
		if waits {
			s.waiting++
		}
		if starts {
			s.starting++
		}
	}
	released := max(len(j.Occurrences), l.releasing[j.Spec.ID])
	s.waiting += released - len(j.Occurrences)
	s.starting += released - len(j.Occurrences)
	s.due = max(0, j.Spec.DueOccurrences(now.WallMS+l.options.EarlyStart.Milliseconds())-released)
	return s
}

// anyWaits reports whether one of some tasks is neither done nor assigned.
func anyWaits(tasks []domain.Task) bool {
	for i := range tasks {
		if !tasks[i].Done && !tasks[i].Assigned() {
			return true
		}
	}
	return false
}

// releaseApplied handles an applied command that adds occurrences. A command of an earlier leadership may add fewer than
// the one in flight.
func (l *Leader) releaseApplied(r *domain.ReleaseOccurrences) {
	if r.Count >= l.releasing[r.Job] {
		delete(l.releasing, r.Job)
	}
}

// nextDueMS returns when the first occurrence is due that is not released.
func (s *schedule) nextDueMS() int64 { return s.job.Spec.DueMS(len(s.job.Occurrences)) }

// releaseRoom is the room on the workers that released occurrences could start in, an upper bound: room that other work takes is
// not deducted. It is taken as schedules ask for it, so that all of them together release no more than has room.
type releaseRoom struct {
	workers []*domain.Worker
	free    []domain.Resources // By position in workers.
	total   []domain.Resources // The same, if all that runs is preempted.
	full    map[roomKey]bool   // For what no worker has room left.
	tasks   int                // Tasks for which room may still be taken.
}

// roomKey identifies tasks that fit on the same workers.
type roomKey struct {
	pool, label string
	demand      domain.Resources
	preempts    bool
}

func (l *Leader) newReleaseRoom() *releaseRoom {
	r := &releaseRoom{full: map[roomKey]bool{}, tasks: maxReleasedTasks}
	for _, w := range l.state.Workers() {
		if !w.Draining && !l.state.ZoneOut(w.Zone) {
			r.workers = append(r.workers, w)
		}
	}
	for _, w := range r.workers {
		r.free = append(r.free, w.Free())
		r.total = append(r.total, w.Capacity)
	}
	return r
}

// take takes the room for some occurrences of a job, whose first steps could start in it, and returns for how many there is some.
func (r *releaseRoom) take(j *domain.Job, occurrences int) int {
	most := 0
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		if len(step.DependsOn) > 0 {
			continue
		}
		key := roomKey{j.Spec.Pool, step.Label, step.Demand(), j.Spec.Priority == 0}
		got := r.takeTasks(key, min(occurrences*step.Count, r.tasks))
		if !step.Gang {
			got += step.Count - 1 // Some of its tasks may start without the others.
		}
		most = max(most, got/step.Count)
	}
	return most
}

// takeTasks takes the room for some tasks and returns for how many there is some.
func (r *releaseRoom) takeTasks(key roomKey, tasks int) int {
	if r.full[key] {
		return 0
	}
	room := r.free
	if key.preempts {
		room = r.total
	}
	got := 0
	for i, w := range r.workers {
		if got == tasks {
			break
		}
		if w.Pool != key.pool || (key.label != "" && !w.HasLabel(key.label)) {
			continue
		}
		n := min(key.demand.Copies(room[i]), tasks-got)
		got += n
		taken := key.demand.Times(n)
		r.free[i], r.total[i] = r.free[i].Minus(taken), r.total[i].Minus(taken)
	}
	r.full[key] = got < tasks
	r.tasks -= got
	return got
}
