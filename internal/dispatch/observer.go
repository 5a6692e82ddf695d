package dispatch

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Observer receives the events of a leader that are counted in metrics. Its methods must not block.
type Observer interface {
	AttemptBegun(priority int, waited time.Duration) // waited is the time since the task could start.
	AttemptEnded(o domain.Outcome, ran time.Duration)
	AttemptPreempted(priority int)
	StartRejected(s Status)
	StartWithheld(reason string) // A step that could start otherwise begins to wait for the reason.
	UnknownAttempt()             // A worker lists an attempt as running that the domain does not place there.
	JobEnded(s domain.JobState, age time.Duration)
	SpeedSample(result string)
	SpeedRecorded(relative float64)
	PlacedBySpeed(class string) // An attempt has begun on a worker of this class of speed.
	PlacedApart(result string)  // An attempt has begun that is known to do or to suffer harm beside some image.
}

// unobserved is the observer of a leader whose Options.Observer is nil.
type unobserved struct{}

func (unobserved) AttemptBegun(int, time.Duration)            {}
func (unobserved) AttemptEnded(domain.Outcome, time.Duration) {}
func (unobserved) AttemptPreempted(int)                       {}
func (unobserved) StartRejected(Status)                       {}
func (unobserved) StartWithheld(string)                       {}
func (unobserved) UnknownAttempt()                            {}
func (unobserved) JobEnded(domain.JobState, time.Duration)    {}
func (unobserved) SpeedSample(string)                         {}
func (unobserved) SpeedRecorded(float64)                      {}
func (unobserved) PlacedBySpeed(string)                       {}
func (unobserved) PlacedApart(string)                         {}
