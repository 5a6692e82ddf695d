package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

// AdviceCall asks the service that knows a queue's policy which of some workers may run a step.
type AdviceCall struct {
	ID      uint64
	Step    domain.TaskID // Index 0 of the step.
	Workers []string
	Wait    time.Duration // How long the service takes to answer.
}

// AdviceReply is its answer. Workers that it does not name may not run the step, now or later.
type AdviceReply struct {
	Answered bool
	Valid    time.Duration // How long the tickets are good for, 0 if it was not told.
	Good     []AdvisedWorker
}

// AdvisedWorker is a worker that may run a step, with the ticket that its starts carry.
type AdvisedWorker struct {
	Worker string
	Ticket string
}

// Limits of the calls for advice.
const (
	// adviceWorkers is how many workers one call names: as many as the objective of a job has time for (RULES, "Credit").
	adviceWorkers = 30
	// ticketMargin is what must be left of a ticket when a start is planned: a commit and the call to the worker.
	ticketMargin = 300 * time.Millisecond
	// advicePause is the pause after a call that was not answered or refused.
	advicePause = 250 * time.Millisecond
)

// ticket allows the tasks of one step to start on one lifetime of a worker.
type ticket struct {
	text  string
	until time.Duration
}

// stepAdvice is what is known of the policy for a step, which does not change.
type stepAdvice struct {
	good map[domain.WorkerLife]ticket
	bad  map[domain.WorkerLife]bool
}

// adviser keeps the advice of all waiting steps. One call is under way at a time, since the service takes one at a time
// from each host.
type adviser struct {
	steps  map[stepKey]*stepAdvice
	next   time.Duration
	lastID uint64
	asking *askedAdvice
}

// askedAdvice is a call under way.
type askedAdvice struct {
	call  AdviceCall
	lives []domain.WorkerLife
	sent  time.Duration
	valid time.Duration
}

// newAdviser returns one whose calls are numbered from lastID on.
func newAdviser(lastID uint64) adviser {
	return adviser{steps: map[stepKey]*stepAdvice{}, lastID: lastID}
}

// forget drops what is known of a job.
func (a *adviser) forget(j *domain.Job) {
	for k := range j.Occurrences {
		for s := range j.Spec.Steps {
			delete(a.steps, stepKey{j.Spec.ID, k, s})
		}
	}
}

// drop forgets a ticket that a worker has rejected.
func (a *adviser) drop(id domain.TaskID, life domain.WorkerLife) {
	if s := a.steps[keyOf(id)]; s != nil {
		delete(s.good, life)
	}
}

// ticket returns the ticket of a task on a worker, empty if there is none that is good for a while.
func (a *adviser) ticket(now time.Duration, id domain.TaskID, life domain.WorkerLife) string {
	if s := a.steps[keyOf(id)]; s != nil {
		if t, ok := s.good[life]; ok && now < t.until {
			return t.text
		}
	}
	return ""
}

// advised returns the workers that may run a step now, nil if its queue has no policy.
func (l *Leader) advised(now Time, j *domain.Job, key stepKey) map[string]bool {
	if l.m.AdviceFor(j.Spec.Queue) == nil {
		return nil
	}
	out := map[string]bool{}
	if s := l.adviser.steps[key]; s != nil {
		for life, t := range s.good {
			if now.Mono+ticketMargin < t.until {
				out[life.ID] = true
			}
		}
	}
	return out
}

// askAdvice asks for the first unit, in the order of placement, that lacks workers with a ticket and with room.
func (l *Leader) askAdvice(now Time, units []*placement.Unit, workers []*placement.Worker) {
	if l.adviser.asking != nil || now.Mono < l.adviser.next {
		return
	}
	units = slices.Clone(units)
	slices.SortStableFunc(units, placement.Order)
	for _, u := range units {
		policy := l.m.AdviceFor(u.Job.Spec.Queue)
		if policy == nil {
			continue
		}
		if lives := l.toAsk(u, workers); len(lives) > 0 {
			l.sendAdvice(now, u, policy, lives)
			return
		}
	}
}

// toAsk returns the workers to ask about: first those with room, near the data of the step. It returns none if the workers
// with a ticket have room for all tasks, or if no other worker could start one.
func (l *Leader) toAsk(u *placement.Unit, workers []*placement.Worker) []domain.WorkerLife {
	step := &u.Job.Spec.Steps[u.Step]
	known := l.adviser.steps[stepKey{u.Job.Spec.ID, u.Occurrence, u.Step}]
	demand, room := step.Demand(), 0
	var open []*placement.Worker
	for _, w := range workers {
		switch {
		case !w.Usable || w.Pool != u.Job.Spec.Pool || (step.Label != "" && !slices.Contains(w.Labels, step.Label)):
		case u.Advised[w.Life.ID]:
			room += demand.Copies(w.Free)
		case known != nil && known.bad[w.Life]:
		case demand.Fits(w.Free) || (u.MayReclaim && demand.Fits(w.Total)):
			open = append(open, w)
		}
	}
	if room >= len(u.Indexes) {
		return nil
	}
	rank := func(w *placement.Worker) int {
		switch {
		case !demand.Fits(w.Free):
			return 2
		case step.DataRack != "" && w.Rack != step.DataRack:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(open, func(a, b *placement.Worker) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.Free.Accelerators, a.Free.Accelerators))
	})
	var out []domain.WorkerLife
	for _, w := range open[:min(len(open), adviceWorkers)] {
		out = append(out, w.Life)
	}
	return out
}

func (l *Leader) sendAdvice(now Time, u *placement.Unit, p *domain.Advice, lives []domain.WorkerLife) {
	l.adviser.lastID++
	c := AdviceCall{
		ID: l.adviser.lastID, Step: domain.TaskID{Job: u.Job.Spec.ID, Occurrence: u.Occurrence, Step: u.Step},
		Wait: time.Duration(p.DecideMS+p.EachMS*int64(len(lives))) * time.Millisecond,
	}
	for _, life := range lives {
		c.Workers = append(c.Workers, life.ID)
	}
	l.adviser.asking = &askedAdvice{call: c, lives: lives, sent: now.Mono, valid: time.Duration(p.ValidMS) * time.Millisecond}
	l.out.Advice = append(l.out.Advice, c)
}

// Advised takes the answer to a call for advice.
func (l *Leader) Advised(now Time, id uint64, r AdviceReply) {
	asked := l.adviser.asking
	if asked == nil || asked.call.ID != id {
		return
	}
	l.adviser.asking = nil
	l.o.Log("advice", "job", asked.call.Step.Job, "step", asked.call.Step.StepName(), "workers", len(asked.lives),
		"answered", r.Answered, "good", len(r.Good), "ms", (now.Mono - asked.sent).Milliseconds())
	if !r.Answered {
		l.adviser.next = now.Mono + advicePause
		return
	}
	s := l.adviser.steps[keyOf(asked.call.Step)]
	if s == nil {
		s = &stepAdvice{good: map[domain.WorkerLife]ticket{}, bad: map[domain.WorkerLife]bool{}}
		l.adviser.steps[keyOf(asked.call.Step)] = s
	}
	until := asked.sent + cmp.Or(r.Valid, asked.valid)
	for _, life := range asked.lives {
		i := slices.IndexFunc(r.Good, func(g AdvisedWorker) bool { return g.Worker == life.ID })
		if i < 0 {
			s.bad[life] = true
			delete(s.good, life)
			continue
		}
		s.good[life] = ticket{r.Good[i].Ticket, until}
	}
	l.dirty = true
}
