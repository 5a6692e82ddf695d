package dispatch

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

// Limits of the check that a worker can be reached before work is placed there. A start that is lost at a worker that was
// just cut off blocks its task, and the whole gang of the task, until the worker's lease is over.
const (
	// answerFreshFor is for how long after an answer a worker counts as reachable without another call. It is short
	// against the reports, by whose absence a cut is noticed otherwise, and long against a plan and its commit.
	answerFreshFor = 250 * time.Millisecond
	// probePatience is for how long a worker may leave a probe unanswered before it gets no new attempts. Workers answer
	// within milliseconds.
	probePatience = 100 * time.Millisecond
)

// confirmReachable removes from a plan what depends on workers that have not answered lately, and probes these. The next
// plan then places the work there, or elsewhere if a probe is not answered. Gangs and preemptions for one step are
// removed as a whole.
func (l *Leader) confirmReachable(now Time, p *placement.Plan) {
	p.Starts = slices.DeleteFunc(p.Starts, func(s domain.StartAttempts) bool {
		return l.isGang(s.Assignments[0].Task) && l.probeStale(now, s.Assignments)
	})
	for i := range p.Starts {
		p.Starts[i].Assignments = slices.DeleteFunc(p.Starts[i].Assignments, func(a domain.Assignment) bool {
			return l.probeIfStale(now, a.Worker.ID)
		})
	}
	p.Starts = slices.DeleteFunc(p.Starts, func(s domain.StartAttempts) bool { return len(s.Assignments) == 0 })
	stale := map[stepKey]bool{}
	for _, s := range p.Preemptions {
		if a := l.attempts[s.Task]; a != nil && l.probeIfStale(now, a.incarnation.ID) {
			stale[keyOf(s.For)] = true
		}
	}
	p.Preemptions = slices.DeleteFunc(p.Preemptions, func(s placement.Preemption) bool { return stale[keyOf(s.For)] })
}

// probeStale probes all workers of some assignments that have not answered lately, and reports whether there are any.
func (l *Leader) probeStale(now Time, assignments []domain.Assignment) bool {
	stale := false
	for _, a := range assignments {
		stale = l.probeIfStale(now, a.Worker.ID) || stale
	}
	return stale
}

// probeIfStale reports whether a worker has not answered lately, and if so, has it probed by a hold.
func (l *Leader) probeIfStale(now Time, worker string) bool {
	s := l.sessions[worker]
	if s == nil || (s.everAnswered && now.Mono-s.answeredAt < answerFreshFor+l.lag()) {
		return false
	}
	if !s.probing {
		s.probing, s.probedAt, s.holdNow = true, now.Mono, true
		l.mayNeedHold(s)
	}
	return true
}

// probeUnanswered reports whether a worker has left a probe unanswered for too long.
func (l *Leader) probeUnanswered(now Time, s *session) bool {
	return s.probing && now.Mono-s.probedAt > probePatience+l.lag()
}

// lag is how much longer the answers of workers are to count and to be awaited while this host is busy: answers that wait
// here do not count against the workers. The time of a plan counts because an answer is used only by the plan after the
// one that asked for it.
func (l *Leader) lag() time.Duration { return 2*l.roundTrip + 2*(planRestFactor+1)*l.planTook }

// isGang reports whether a task belongs to a gang.
func (l *Leader) isGang(id domain.TaskID) bool {
	j := l.state.Job(id.Job)
	return j != nil && j.Spec.Steps[id.Step].Gang
}
