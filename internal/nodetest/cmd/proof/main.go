// Command proof does failure runs with many seeds and prints one line per requirement.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sort"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/nodetest"
)

// exitViolations is the exit code when a requirement was broken.
const exitViolations = 1

// rules are the requirements of docs/design.md section 1.1 in that order, then those of single components.
var rules = []string{history.RuleReclaim, history.RuleGang, history.RuleTakeOut, history.RuleAnswers, history.RuleNotRun,
	history.RuleNoRepeat, history.RuleLeaving, history.RuleNothingLost, history.RuleRevisions, history.RuleOperations,
	history.RuleLeases}

// totals sums up the reports of all runs.
type totals struct {
	mu         sync.Mutex
	runs       int
	jobs       int
	changes    int
	conflicts  int
	faults     map[nodetest.FaultKind]int
	violations map[string]int
	lines      []string
}

func main() {
	first := kingpin.Flag("first-seed", "First seed.").Default("1").Uint64()
	seeds := kingpin.Flag("seeds", "Seeds per set of faults.").Default("60").Uint64()
	length := kingpin.Flag("length", "Time with faults, on the clock of the run.").Default("60s").Duration()
	only := kingpin.Flag("set", "Run this set of faults only.").String()
	workers := kingpin.Flag("parallel", "Runs at once.").Default(fmt.Sprint(max(1, runtime.NumCPU()/2))).Int()
	kingpin.Parse()
	t := &totals{faults: map[nodetest.FaultKind]int{}, violations: map[string]int{}}
	start := time.Now()
	var group errgroup.Group
	group.SetLimit(*workers)
	for seed := *first; seed < *first+*seeds; seed++ {
		for _, set := range nodetest.FaultSets() {
			if *only != "" && *only != set.Name {
				continue
			}
			group.Go(func() error {
				t.add(set, seed, *length)
				return nil
			})
		}
	}
	_ = group.Wait() // The functions return no error; problems are in the totals.
	t.print(time.Since(start))
	if len(t.lines) > 0 {
		os.Exit(exitViolations)
	}
}

func (t *totals) add(set nodetest.FaultSet, seed uint64, length time.Duration) {
	r, err := nodetest.FailureRun(seed, set, length)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs++
	if err != nil {
		t.lines = append(t.lines, fmt.Sprintf("%s, seed %d: %v", set.Name, seed, err))
		return
	}
	t.jobs += r.Jobs
	t.changes += r.AcceptedChanges
	t.conflicts += r.Conflicts
	for kind, n := range r.Faults {
		t.faults[kind] += n
	}
	for _, v := range r.Violations {
		t.violations[v.Rule]++
		t.lines = append(t.lines, fmt.Sprintf("%s, seed %d: %s", set.Name, seed, v))
	}
	for _, p := range r.Problems {
		t.lines = append(t.lines, fmt.Sprintf("%s, seed %d: %s", set.Name, seed, p))
	}
}

func (t *totals) print(took time.Duration) {
	injected := 0
	for _, n := range t.faults {
		injected += n
	}
	fmt.Printf("%d runs, %d jobs, %d contract changes, %d conflicts, %d faults, %.0f s\n",
		t.runs, t.jobs, t.changes, t.conflicts, injected, took.Seconds())
	for _, rule := range rules {
		fmt.Printf("%-18s runs=%d faults=%d violations=%d\n", rule, t.runs, injected, t.violations[rule])
	}
	for _, kind := range nodetest.AllFaults {
		fmt.Printf("fault %-34s %d\n", kind, t.faults[kind])
	}
	sort.Strings(t.lines)
	for _, line := range t.lines {
		fmt.Println(line)
	}
}
