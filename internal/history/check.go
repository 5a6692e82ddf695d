package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Time bounds of the requirements.
const (
	// GangWindow bounds the time from the first member's passing of its gate until all members have passed theirs.
	GangWindow = 3 * time.Second
	// StartAfterOut is the time after the answer that a zone is out in which a task may still start there.
	StartAfterOut = 3 * time.Second
	// WorkAfterLeaving is the time after the notice of a leaving endpoint in which it may still get work.
	WorkAfterLeaving = 3 * time.Second
	// InForceWithin bounds the time from an accepted change until it is in force in every connected zone.
	InForceWithin = 6 * time.Second
	// ReclaimMargin is added to grace and lease; a guaranteed shape must run within the sum after its acceptance.
	ReclaimMargin = 2 * time.Second
	// LeaderLease is the longest time that a leader acts without an answer of its quorum.
	LeaderLease = 600 * time.Millisecond
	// SilenceMargin is added to the lease before a leader treats the tasks of a silent endpoint as ended.
	SilenceMargin = time.Second
	// LeaderLoss bounds the time without starts and stops after the loss of a leader.
	LeaderLoss = 3 * time.Second
)

// Bounds are the settings of the run on which the time bounds depend.
type Bounds struct {
	TaskLease time.Duration // Granted to endpoints.
	Grace     time.Duration // For checkpoints; the longest grace of the contracts.
}

// DefaultBounds are the bounds of the default settings.
var DefaultBounds = Bounds{TaskLease: 10 * time.Second, Grace: 5 * time.Second}

// gangStopLimit is the time from the loss of a member until the last other member has stopped.
func (b Bounds) gangStopLimit() time.Duration { return b.TaskLease + SilenceMargin + LeaderLoss }

// reclaimLimit is the time from the acceptance of guaranteed work until it runs.
func (b Bounds) reclaimLimit() time.Duration { return b.Grace + b.TaskLease + ReclaimMargin }

// Values of Event.Message that the checkers interpret.
const (
	// MarkGuaranteed on Submitted tells that the job is within the guarantee of its workspace, with enough of it unused.
	MarkGuaranteed = "guaranteed"
	// FaultDisconnect and FaultConnect on Fault are the begin and the end of a time in which the Zone, or every zone if it is
	// empty, had no connection to the others or no quorum.
	FaultDisconnect = "disconnect"
	FaultConnect    = "connect"
	// FaultFreeze on Fault tells that the process of Host was suspended; FaultThaw, that it was resumed.
	FaultFreeze = "freeze"
	FaultThaw   = "thaw"
)

// Names of the rules.
const (
	RuleGang        = "gang"
	RuleTakeOut     = "take-out"
	RuleAnswers     = "answers"
	RuleNotRun      = "not-run"
	RuleNoRepeat    = "no-repeat"
	RuleLeaving     = "leaving"
	RuleRevisions   = "revisions"
	RuleReclaim     = "reclaim"
	RuleNothingLost = "nothing-lost"
	RuleLeases      = "leader-leases"
	RuleOperations  = "operator-commands"
)

// Violation is one broken requirement.
type Violation struct {
	Rule    string `json:"rule"`
	At      int64  `json:"t"` // Time of the event that broke the rule, in nanoseconds on the clock of the run.
	Message string `json:"message"`
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Rule, time.Duration(v.At).Seconds(), v.Message)
}

// Checker checks one requirement against a history that is ordered by time.
type Checker func(events []Event, bounds Bounds) []Violation

// Checkers lists all checkers.
func Checkers() []Checker {
	return []Checker{CheckGangs, CheckTakeOut, CheckAnswers, CheckNotRun, CheckNoRepeat, CheckLeaving, CheckRevisions,
		CheckReclaim, CheckNothingLost, CheckLeases, CheckOperations}
}

// CheckAll applies all checkers to a history that is ordered by time.
func CheckAll(events []Event, bounds Bounds) []Violation {
	var all []Violation
	for _, check := range Checkers() {
		all = append(all, check(events, bounds)...)
	}
	return all
}

// ruleViolations collects the violations of one rule.
type ruleViolations struct {
	rule string
	list []Violation
}

func (f *ruleViolations) add(at int64, format string, values ...any) {
	f.list = append(f.list, Violation{Rule: f.rule, At: at, Message: fmt.Sprintf(format, values...)})
}

// endTime returns the time of the last event. A bound that ends after it is not checked.
func endTime(events []Event) int64 {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].Time
}

// sortedKeys returns the keys of a map in order, so that violations have a stable order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
