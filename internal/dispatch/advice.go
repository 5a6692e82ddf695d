package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

// AdviceCall asks the service that knows a queue's policy which of the named workers may run a step.
type AdviceCall struct {
	ID      uint64
	Step    domain.TaskID // The task with index 0 of the step.
	Workers []string
	Wait    time.Duration // How long the service takes to answer, as configured.
}

// AdviceReply is the answer to an AdviceCall. Workers of the call that it does not name may not run the step, now or
// later.
type AdviceReply struct {
	Answered bool
	ValidFor time.Duration // How long the tickets are valid, 0 if the answer does not tell.
	Allowed  []AllowedWorker
}

// AllowedWorker is a worker that may run a step, with the ticket that the starts on it must carry.
type AllowedWorker struct {
	Worker string
	Ticket string
}

// Limits of the calls for advice.
const (
	// adviceWorkers is how many workers one call names at most. The service takes time for each worker, and with more
	// of them a job could miss its objective.
	adviceWorkers = 30
	// ticketMargin is the time for which a ticket must still be valid when a start is planned: enough for the commit
	// and the call to the worker.
	ticketMargin = 300 * time.Millisecond
	// advicePause is the pause after a call that was not answered or was refused.
	advicePause = 250 * time.Millisecond
)

// ticket allows the tasks of one step to start on one incarnation of a worker, until it expires.
type ticket struct {
	text  string
	until time.Duration
}

// stepAdvice is what the policy is known to allow and deny for a step. A denial stays, since the policy for a step does
// not change.
type stepAdvice struct {
	tickets map[domain.WorkerIncarnation]ticket
	denied  map[domain.WorkerIncarnation]bool
}

// adviceCache keeps the answers of the policy service for all waiting steps. One call is in flight at a time, since the
// service accepts one at a time from each host.
type adviceCache struct {
	steps      map[stepKey]*stepAdvice
	nextCallAt time.Duration
	lastID     uint64
	pending    *pendingAdvice
}

// pendingAdvice is a call for advice in flight.
type pendingAdvice struct {
	call         AdviceCall
	incarnations []domain.WorkerIncarnation
	sentAt       time.Duration
	validFor     time.Duration // As configured; used if the answer does not tell how long its tickets are valid.
}

// newAdviceCache returns an empty cache whose calls get identifiers above lastID.
func newAdviceCache(lastID uint64) adviceCache {
	return adviceCache{steps: map[stepKey]*stepAdvice{}, lastID: lastID}
}

// forget drops what is known for a job.
func (a *adviceCache) forget(j *domain.Job) {
	for k := range j.Occurrences {
		for s := range j.Spec.Steps {
			delete(a.steps, stepKey{j.Spec.ID, k, s})
		}
	}
}

// dropTicket drops a ticket that a worker has rejected.
func (a *adviceCache) dropTicket(id domain.TaskID, incarnation domain.WorkerIncarnation) {
	if s := a.steps[keyOf(id)]; s != nil {
		delete(s.tickets, incarnation)
	}
}

// ticket returns the ticket for a task on a worker, empty if there is none that is still valid.
func (a *adviceCache) ticket(now time.Duration, id domain.TaskID, incarnation domain.WorkerIncarnation) string {
	if s := a.steps[keyOf(id)]; s != nil {
		if t, ok := s.tickets[incarnation]; ok && now < t.until {
			return t.text
		}
	}
	return ""
}

// allowed returns the workers that have a ticket for a step, valid for at least ticketMargin; nil if the queue has no
// policy.
func (l *Leader) allowed(now Time, j *domain.Job, key stepKey) map[string]bool {
	if l.state.AdviceFor(j.Spec.Queue) == nil {
		return nil
	}
	out := map[string]bool{}
	if s := l.adviceCache.steps[key]; s != nil {
		for incarnation, t := range s.tickets {
			if now.Mono+ticketMargin < t.until {
				out[incarnation.ID] = true
			}
		}
	}
	return out
}

// askAdvice calls the policy service for the first unit, in the order of placement, that lacks workers with a ticket
// and with room.
func (l *Leader) askAdvice(now Time, units []*placement.Unit, workers []*placement.Worker) {
	if l.adviceCache.pending != nil || now.Mono < l.adviceCache.nextCallAt {
		return
	}
	units = slices.Clone(units)
	slices.SortStableFunc(units, placement.CompareUnits)
	for _, u := range units {
		policy := l.state.AdviceFor(u.Job.Spec.Queue)
		if policy == nil {
			continue
		}
		if incarnations := l.workersToAsk(u, workers); len(incarnations) > 0 {
			l.sendAdvice(now, u, policy, incarnations)
			return
		}
	}
}

// workersToAsk returns the workers to ask about for a unit: first those with room in the rack of the step's data, then
// others with room, then those where preemption could make room. It returns none if the workers with a ticket have room
// for all tasks, or if no other worker could start one.
func (l *Leader) workersToAsk(u *placement.Unit, workers []*placement.Worker) []domain.WorkerIncarnation {
	step := &u.Job.Spec.Steps[u.Step]
	known := l.adviceCache.steps[stepKey{u.Job.Spec.ID, u.Occurrence, u.Step}]
	demand, room := step.Demand(), 0
	var open []*placement.Worker
	for _, w := range workers {
		switch {
		case !w.Usable || w.Pool != u.Job.Spec.Pool || (step.Label != "" && !slices.Contains(w.Labels, step.Label)):
		case u.Allowed[w.Incarnation.ID]:
			room += demand.Copies(w.Free)
		case known != nil && known.denied[w.Incarnation]:
		case demand.Fits(w.Free) || (u.MayPreempt && demand.Fits(w.Total)):
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
	var out []domain.WorkerIncarnation
	for _, w := range open[:min(len(open), adviceWorkers)] {
		out = append(out, w.Incarnation)
	}
	return out
}

// sendAdvice calls the policy service about some workers for a unit.
func (l *Leader) sendAdvice(now Time, u *placement.Unit, p *domain.Advice, incarnations []domain.WorkerIncarnation) {
	l.adviceCache.lastID++
	c := AdviceCall{
		ID: l.adviceCache.lastID, Step: domain.TaskID{Job: u.Job.Spec.ID, Occurrence: u.Occurrence, Step: u.Step},
		Wait: time.Duration(p.CallMS+p.PerWorkerMS*int64(len(incarnations))) * time.Millisecond,
	}
	for _, incarnation := range incarnations {
		c.Workers = append(c.Workers, incarnation.ID)
	}
	l.adviceCache.pending = &pendingAdvice{call: c, incarnations: incarnations, sentAt: now.Mono, validFor: time.Duration(p.TicketValidMS) * time.Millisecond}
	l.out.Advice = append(l.out.Advice, c)
}

// AdviceReply handles the answer to an AdviceCall.
func (l *Leader) AdviceReply(now Time, id uint64, r AdviceReply) {
	asked := l.adviceCache.pending
	if asked == nil || asked.call.ID != id {
		return
	}
	l.adviceCache.pending = nil
	l.options.Log("advice", "job", asked.call.Step.Job, "step", asked.call.Step.StepName(), "workers", len(asked.incarnations),
		"answered", r.Answered, "good", len(r.Allowed), "ms", (now.Mono - asked.sentAt).Milliseconds())
	if !r.Answered {
		l.adviceCache.nextCallAt = now.Mono + advicePause
		return
	}
	s := l.adviceCache.steps[keyOf(asked.call.Step)]
	if s == nil {
		s = &stepAdvice{tickets: map[domain.WorkerIncarnation]ticket{}, denied: map[domain.WorkerIncarnation]bool{}}
		l.adviceCache.steps[keyOf(asked.call.Step)] = s
	}
	until := asked.sentAt + cmp.Or(r.ValidFor, asked.validFor)
	for _, incarnation := range asked.incarnations {
		i := slices.IndexFunc(r.Allowed, func(g AllowedWorker) bool { return g.Worker == incarnation.ID })
		if i < 0 {
			s.denied[incarnation] = true
			delete(s.tickets, incarnation)
			continue
		}
		s.tickets[incarnation] = ticket{r.Allowed[i].Ticket, until}
	}
	l.dirty = true
}
