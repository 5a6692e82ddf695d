package nodetest

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/history"
)

// FaultSet is a named set of kinds of faults for failure runs.
type FaultSet struct {
	Name  string
	Kinds []FaultKind
}

// FaultSets lists the sets of faults of the failure runs.
func FaultSets() []FaultSet {
	return []FaultSet{
		{"no faults", nil},
		{"kills of hosts and leaders", []FaultKind{KillHost, KillLeader, KillAll}},
		{"lost data folders and failed syncs", []FaultKind{LoseDisk, FailSync, KillHost}},
		{"partitions", []FaultKind{CutZone, CutAll, CutOneWay}},
		{"frozen leaders", []FaultKind{FreezeLeader, ZoneOut}},
		{"zones out and in", []FaultKind{ZoneOut, KillLeader, CutZone, CancelWave}},
		{"endpoints that misbehave", []FaultKind{WorkerFaults, WorkerRestarts, WorkerLeaves}},
		{"planned stops", []FaultKind{PlannedStop, Burst}},
		{"everything", AllFaults},
	}
}

// Durations of a failure run, on the clock of the run.
const (
	loadPeriod      = 100 * time.Millisecond
	operatorPeriod  = 3 * time.Second
	lateCommandWait = 12 * time.Second // Time in which commands of operators that are in transit arrive.
	// answerLimit bounds the time from the last fault until every job has a definite answer. The jobs that queued up during
	// the faults take some time to run: the longest gangs run for 30 s and wait for others of their kind.
	answerLimit = 180 * time.Second
)

// Report is the result of a failure run.
type Report struct {
	Seed            uint64
	Jobs            int
	AcceptedChanges int // Of contracts, by the racing operators.
	Conflicts       int // Changes of contracts that were refused because of their expected revision.
	Faults          map[FaultKind]int
	Violations      []history.Violation
	// Problems are what the clients of the run found wrong: wrong answers, lost jobs, hosts that did not become ready again.
	Problems []string
}

// FailureRun runs jobs and racing operators under seeded faults, ends all faults, and checks the history against all
// requirements. It returns an error if the deployment does not start.
func FailureRun(seed uint64, set FaultSet, length time.Duration) (*Report, error) {
	w := New(Options{Seed: seed, Hosts: SevenHosts(), Workers: WorkersOf("abc", 4)})
	if err := w.Prepare(); err != nil {
		return nil, err
	}
	load := w.StartLoad(loadPeriod, length)
	operators := w.StartOperators(operatorPeriod, length)
	faults := w.StartFaults(load, set.Kinds, length)
	w.Run(length)
	if err := faults.Restore(); err != nil {
		w.addProblem("%v", err)
	}
	// A command that was in transit may still take a zone out after it was brought in.
	w.Run(lateCommandWait)
	faults.bringAllIn()
	w.RunUntil(w.now+answerLimit, load.Settled)
	for _, text := range load.Unsettled() {
		w.addProblem("no definite answer %v after the last fault: %s", answerLimit, text)
	}
	w.Run(2 * time.Second)
	w.RecordEnd()
	return &Report{
		Seed:            seed,
		Jobs:            len(load.Jobs),
		AcceptedChanges: operators.AcceptedChanges,
		Conflicts:       operators.Conflicts,
		Faults:          faults.Injected,
		Violations:      history.CheckAll(w.History, history.Bounds{TaskLease: w.Lease(), Grace: w.Lease()}),
		Problems:        w.Problems,
	}, nil
}
