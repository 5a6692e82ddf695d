package dispatch

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// reportBegunEvery is the period at which confirmed starts of pending jobs are committed. The number of waiting jobs may be 2 s
// old; the ends of attempts that are shorter than the period tell as well.
const reportBegunEvery = time.Second

// reportBegun proposes to move the pending jobs to domain.JobRunning of which workers have confirmed attempts. It must come
// before a command that removes such an attempt without an end that shows its begin.
func (l *Leader) reportBegun(now Time) {
	var begun []domain.JobID
	for id, a := range l.attempts {
		if !a.startConfirmed {
			continue
		}
		if j := l.state.Job(id.Job); j != nil && j.State == domain.JobPending && !l.begunInFlight[id.Job] {
			l.begunInFlight[id.Job] = true
			begun = append(begun, id.Job)
		}
	}
	if len(begun) == 0 {
		return
	}
	slices.Sort(begun) // The attempts come in any order.
	l.propose(now, domain.Command{Begun: &domain.JobsBegun{Jobs: begun}})
}

// begunApplied handles an applied command of reportBegun, or one of an earlier leadership.
func (l *Leader) begunApplied(b *domain.JobsBegun) {
	for _, id := range b.Jobs {
		delete(l.begunInFlight, id)
	}
}
