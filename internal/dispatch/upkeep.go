package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

// UpkeepCall asks the platform to begin the upkeep (planned maintenance) of a machine. The platform takes the machine
// down for it, so everything that runs on the machine ends.
type UpkeepCall struct {
	Wave         int64
	Machine      string
	FencingToken uint64
}

// UpkeepStatus tells how an UpkeepCall ended.
type UpkeepStatus uint8

// Statuses of an UpkeepCall.
const (
	UpkeepUnanswered UpkeepStatus = iota // The platform may carry the call out at any later time.
	UpkeepDone                           // The upkeep has begun, now or before.
	UpkeepFenced                         // A newer leader has given orders for this machine.
	UpkeepBusy                           // The machine is not up, or is leaving the fleet.
	UpkeepNoMachine                      // There is no such machine, or it is not in this wave.
	UpkeepTooMany                        // Too many calls; nothing was done.
)

var upkeepStatusNames = [...]string{"unanswered", "done", "fence", "busy", "no_machine", "too_many"}

// String returns the name for logs.
func (s UpkeepStatus) String() string { return upkeepStatusNames[s] }

// Times of the upkeep of a machine.
const (
	upkeepEvery = 100 * time.Millisecond
	upkeepRetry = 500 * time.Millisecond
	// upkeepSlack is added to the time that a machine is down for its upkeep, for the delay of the platform's answer.
	upkeepSlack = 300 * time.Millisecond
	// upkeepReturnWait is how long, after an upkeep, the worker of the machine may take to report before the next
	// machine is taken down anyway. Without this wait, the capacity of two machines would be missing at once.
	upkeepReturnWait = 3 * time.Second
	// upkeepOverhead is the time that one machine takes besides draining and upkeep: for the stops, the commits and the
	// calls.
	upkeepOverhead = 1500 * time.Millisecond
)

// upkeepState is what the leader knows about a machine of a wave besides its committed stage.
type upkeepState struct {
	draining        bool          // Its worker gets no new attempts.
	drainingSince   time.Duration // When its worker began to drain.
	begunAt         time.Duration // When the platform confirmed the upkeep.
	nextCallAt      time.Duration // Earliest time of the next call.
	callInFlight    bool
	fenced          bool // The platform has refused the fencing token of this leader; it is not called again.
	commandInFlight bool // A command with its next stage is proposed and not applied yet.
	outcomeUnknown  bool // An earlier call, possibly of an earlier leader, was not answered.
}

// advanceWaves does the next step for each machine of each wave that is not completed.
func (l *Leader) advanceWaves(now Time) {
	if now.Mono < l.nextUpkeepAt || len(l.state.Waves()) == 0 {
		return
	}
	l.nextUpkeepAt = now.Mono + upkeepEvery
	workers := map[string]*domain.Worker{}
	for _, w := range l.state.Workers() {
		if w.Machine != "" {
			workers[w.Machine] = w
		}
	}
	for _, number := range slices.Sorted(maps.Keys(l.state.Waves())) {
		if wave := l.state.Waves()[number]; !wave.Completed() {
			l.advanceWave(now, wave, workers)
		}
	}
}

// upkeepState returns the state of a machine, a new one if there is none.
func (l *Leader) upkeepState(machine string) *upkeepState {
	s := l.upkeeps[machine]
	if s == nil {
		s = &upkeepState{}
		l.upkeeps[machine] = s
	}
	return s
}

// inUpkeep tells whether a worker gets no new attempts because of its machine's upkeep.
func (l *Leader) inUpkeep(w *domain.Worker) bool {
	s := l.upkeeps[w.Machine]
	return s != nil && s.draining && w.Machine != ""
}

// advanceWave does the next step for each machine of a wave, and begins to drain further machines as long as no more
// than the wave allows are draining or down.
func (l *Leader) advanceWave(now Time, wave *domain.Wave, workers map[string]*domain.Worker) {
	free := wave.MaxDown
	var waiting []string
	for _, machine := range wave.Machines {
		s := l.upkeepState(machine)
		switch wave.Progress[machine].Stage {
		case domain.UpkeepWaiting:
			if !s.draining {
				waiting = append(waiting, machine)
				continue
			}
			l.drainMachine(now, wave, machine, s, workers[machine])
		case domain.UpkeepOrdered:
			s.draining = true
			l.orderUpkeep(now, wave, machine, s)
		case domain.UpkeepBegun:
			s.draining = true
			l.awaitReturn(now, wave, machine, s, workers[machine])
		default:
			s.draining = false
			continue
		}
		free--
	}
	// Workers with few attempts are drained first, since these end sooner. Machines without a worker come last, since they
	// may be down or gone.
	slices.SortStableFunc(waiting, func(a, b string) int { return cmp.Compare(attemptCount(workers[a]), attemptCount(workers[b])) })
	for _, machine := range waiting[:min(len(waiting), max(0, free))] {
		s := l.upkeepState(machine)
		s.draining, s.drainingSince = true, now.Mono
		l.options.Log("upkeep_draining", "wave", wave.Number, "machine", machine, "attempts", attemptCount(workers[machine]))
	}
}

// attemptCount returns the number of attempts on a worker, or a large number if there is no worker.
func attemptCount(w *domain.Worker) int {
	if w == nil {
		return 1 << 20
	}
	return len(w.Attempts())
}

// drainMachine drains the worker of a machine and then proposes to commit that the upkeep is ordered. Long-running and
// checkpointable attempts can go on elsewhere without loss and are stopped at once, as far as their disruption budget
// allows; others may finish as long as the wave is completed in time.
func (l *Leader) drainMachine(now Time, wave *domain.Wave, machine string, s *upkeepState, w *domain.Worker) {
	if w == nil || len(w.Attempts()) == 0 {
		l.proposeStage(now, wave, machine, s, domain.UpkeepOrdered)
		return
	}
	late := now.Mono-s.drainingSince > l.drainLimit(now, wave)
	for id := range w.Attempts() {
		a := l.attempts[id]
		if a == nil || a.stopWanted {
			continue
		}
		step := l.stepOf(a)
		if (late || step.LongRunning || step.Checkpointable) && l.disruptionBudget(id) != 0 {
			l.abandon(a, "upkeep of its machine")
		}
	}
}

// drainLimit returns how long the draining of each machine of a wave may take for the wave to be completed in time.
func (l *Leader) drainLimit(now Time, wave *domain.Wave) time.Duration {
	left := time.Duration(wave.AcceptedMS+wave.WithinMS-now.WallMS) * time.Millisecond
	open := 0
	for _, u := range wave.Progress {
		if u.Stage == domain.UpkeepWaiting {
			open++
		}
	}
	rounds := (open + wave.MaxDown - 1) / wave.MaxDown
	return left/time.Duration(max(1, rounds)) - l.options.UpkeepTime - upkeepOverhead
}

// orderUpkeep calls the platform until the outcome is clear. The call of an earlier leader is repeated only after that
// leader's lease on the machine is over, so that the platform does not get alternating calls from two lease holders.
func (l *Leader) orderUpkeep(now Time, wave *domain.Wave, machine string, s *upkeepState) {
	inherited := wave.Progress[machine].AtMS < l.beganWallMS
	if s.fenced || s.callInFlight || s.commandInFlight || now.Mono < s.nextCallAt || (inherited && now.Mono < l.beganAt+l.options.MachineLease) {
		return
	}
	s.callInFlight = true
	s.outcomeUnknown = s.outcomeUnknown || inherited
	l.out.Upkeeps = append(l.out.Upkeeps, UpkeepCall{Wave: wave.Number, Machine: machine, FencingToken: l.options.FencingToken})
}

// awaitReturn ends the upkeep of a machine once its time is certainly over and the worker has reported since, or has
// not reported for upkeepReturnWait.
func (l *Leader) awaitReturn(now Time, wave *domain.Wave, machine string, s *upkeepState, w *domain.Worker) {
	if s.begunAt == 0 {
		s.begunAt = now.Mono // The upkeep was confirmed to an earlier leader; its time is counted from now.
	}
	over := s.begunAt + l.options.UpkeepTime + upkeepSlack
	if now.Mono < over {
		return
	}
	if w != nil {
		if workerSession := l.sessions[w.Incarnation.ID]; workerSession != nil && workerSession.incarnation == w.Incarnation && workerSession.reportedAt >= over {
			l.proposeStage(now, wave, machine, s, domain.UpkeepOver)
			return
		}
	}
	if now.Mono > over+upkeepReturnWait {
		l.proposeStage(now, wave, machine, s, domain.UpkeepOver)
	}
}

// proposeStage proposes the next stage of a machine, unless an earlier proposal is not applied yet.
func (l *Leader) proposeStage(now Time, wave *domain.Wave, machine string, s *upkeepState, stage domain.UpkeepStage) {
	if s.commandInFlight {
		return
	}
	s.commandInFlight = true
	l.propose(now, domain.Command{Upkeep: &domain.UpkeepProgress{Wave: wave.Number, Machine: machine, Stage: stage}})
}

// upkeepApplied updates a machine after a stage has been committed.
func (l *Leader) upkeepApplied(p *domain.UpkeepProgress) {
	s := l.upkeepState(p.Machine)
	s.commandInFlight = false
	s.draining = p.Stage == domain.UpkeepOrdered || p.Stage == domain.UpkeepBegun
	l.options.Log("upkeep", "wave", p.Wave, "machine", p.Machine, "stage", p.Stage.String())
}

// UpkeepReply handles the answer to an UpkeepCall.
func (l *Leader) UpkeepReply(now Time, c UpkeepCall, status UpkeepStatus) {
	wave := l.state.Waves()[c.Wave]
	if wave == nil || wave.Progress[c.Machine] == nil || wave.Progress[c.Machine].Stage != domain.UpkeepOrdered {
		return
	}
	s := l.upkeepState(c.Machine)
	s.callInFlight = false
	s.nextCallAt = now.Mono + upkeepRetry
	if status != UpkeepDone {
		l.options.Log("upkeep_not_begun", "wave", c.Wave, "machine", c.Machine, "reason", status.String())
	}
	switch status {
	case UpkeepDone:
		s.begunAt = now.Mono
		l.proposeStage(now, wave, c.Machine, s, domain.UpkeepBegun)
	case UpkeepFenced:
		s.fenced = true // No newer leader sends, or this host's leader lease would be over.
	case UpkeepNoMachine:
		l.proposeStage(now, wave, c.Machine, s, domain.UpkeepOver)
	case UpkeepUnanswered:
		s.outcomeUnknown = true
	case UpkeepBusy:
		if !s.outcomeUnknown { // No earlier call can be carried out later, so another machine may go first.
			l.proposeStage(now, wave, c.Machine, s, domain.UpkeepWaiting)
		}
	}
}

// disruptionBudget returns how many more tasks of the step of an attempt may be stopped now, or placement.Unlimited if
// the step has no limit.
func (l *Leader) disruptionBudget(id domain.TaskID) int {
	j := l.state.Job(id.Job)
	step := &j.Spec.Steps[id.Step]
	if !step.LongRunning || step.MaxUnavailable == 0 {
		return placement.Unlimited
	}
	away := 0
	for i := range step.Count {
		other := id
		other.Index = i
		if i != id.Index && !l.isWorking(other) {
			away++
		}
	}
	return max(0, step.MaxUnavailable-away)
}

// isWorking tells whether a long-running task is known to work.
func (l *Leader) isWorking(id domain.TaskID) bool {
	a := l.attempts[id]
	if a == nil || !a.startConfirmed || a.stopWanted || a.percent < workingPercent {
		return false
	}
	s := l.sessions[a.incarnation.ID]
	return s != nil && s.incarnation == a.incarnation && s.failures == 0
}

// workingPercent is the progress that a worker lists for a long-running task that works.
const workingPercent = 100
