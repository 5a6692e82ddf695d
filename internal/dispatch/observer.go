package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Observer counts what a leader decides and learns. It must not block.
type Observer interface {
	AttemptBegun(priority int, waited time.Duration) // Since the task could start.
	AttemptEnded(o domain.Outcome, ran time.Duration)
	AttemptReclaimed(priority int)
	StartRejected(s Status)
	JobEnded(s domain.JobState, age time.Duration)
}

// unobserved is the observer of leaders without one.
type unobserved struct{}

func (unobserved) AttemptBegun(int, time.Duration)            {}
func (unobserved) AttemptEnded(domain.Outcome, time.Duration) {}
func (unobserved) AttemptReclaimed(int)                       {}
func (unobserved) StartRejected(Status)                       {}
func (unobserved) JobEnded(domain.JobState, time.Duration)    {}
