// Command measure compares the policy with the baselines on seeded workloads and writes tables and plots.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/measure"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

type settings struct {
	seeds      int
	hours      float64
	load       float64
	parallel   int
	policyOnly bool
	costOnly   bool
	folder     string
}

func main() {
	var s settings
	app := kingpin.New("measure", "Compares scheduling policies on seeded workloads.")
	app.Flag("seeds", "Number of seeds.").Envar("MEASURE_SEEDS").Default("20").IntVar(&s.seeds)
	app.Flag("hours", "Simulated hours per seed.").Envar("MEASURE_HOURS").Default("4").Float64Var(&s.hours)
	app.Flag("load", "Offered load.").Envar("MEASURE_LOAD").Default("0.9").Float64Var(&s.load)
	app.Flag("parallel", "Runs at a time.").Envar("MEASURE_PARALLEL").Default("4").IntVar(&s.parallel)
	app.Flag("only", "Measure the policy without the baselines, and write no files.").BoolVar(&s.policyOnly)
	app.Flag("cost", "Measure the cost only, and write no files.").BoolVar(&s.costOnly)
	app.Flag("out", "Folder for the table and the plots.").Envar("MEASURE_OUT").Default("docs").StringVar(&s.folder)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	candidates := []measure.Candidate{
		{Name: "policy", NewScheduler: policy},
		{Name: "first fit", NewScheduler: func(t *table.Tables) system.Scheduler { return measure.NewFirstFit(t) }},
		{Name: "quota and backfill", NewScheduler: func(t *table.Tables) system.Scheduler { return measure.NewQuotaBackfill(t) }},
	}
	if s.costOnly {
		measure.PrintCosts(os.Stdout, costs())
		return nil
	}
	if s.policyOnly {
		results := compare(s, candidates[:1])
		measure.Print(os.Stdout, results)
		return nil
	}
	if err := os.MkdirAll(filepath.Join(s.folder, "plots"), 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(s.folder, "measurements.md"))
	if err != nil {
		return err
	}
	defer file.Close()
	results := compare(s, candidates)
	if err := measure.Plots(filepath.Join(s.folder, "plots"), results); err != nil {
		return err
	}
	report(io.MultiWriter(os.Stdout, file), s, results)
	return file.Sync()
}

func policy(t *table.Tables) system.Scheduler { return system.NewPolicy(t, system.Options{}) }

func report(w io.Writer, s settings, results []measure.Result) {
	fmt.Fprintf(w, "# Scheduling measurements\n\nWritten by `make measure`: %d seeds of %g hours, offered load %g, each scheduler "+
		"on the same seeds.\nTimes of ticks were taken with %d runs at a time on a shared machine.\n\n", s.seeds, s.hours, s.load, s.parallel)
	measure.Print(w, results)
	fmt.Fprint(w, "\n## Targets\n\n")
	for _, c := range measure.CheckTargets(results) {
		verdict := "missed"
		if c.Met {
			verdict = "met"
		}
		fmt.Fprintf(w, "- %s: %s. %s.\n", c.Name, verdict, c.Text)
	}
	fmt.Fprint(w, "\n## Cost of the policy\n\n")
	measure.PrintCosts(w, costs())
}

func costs() []measure.Cost {
	const length = time.Hour
	return []measure.Cost{
		measure.MeasureCost("today, load 0.9, one hour", measure.CurrentWorkload(1, length, 0.9), policy),
		measure.MeasureCost("target size, six zones, one hour", measure.TargetWorkload(1, length, 6, 0), policy),
		measure.MeasureCost("target size, one scheduler, 5,000 jobs queued, one hour", measure.TargetWorkload(1, length, 1, 5000), policy),
	}
}

func compare(s settings, candidates []measure.Candidate) []measure.Result {
	length := time.Duration(s.hours * float64(time.Hour))
	results := make([]measure.Result, len(candidates))
	var group errgroup.Group
	group.SetLimit(s.parallel)
	for i, candidate := range candidates {
		results[i] = measure.Result{Name: candidate.Name, Runs: make([]*measure.Metrics, s.seeds)}
		for seed := range s.seeds {
			group.Go(func() error {
				results[i].Runs[seed] = measure.Run(measure.CurrentWorkload(uint64(seed+1), length, s.load), candidate.NewScheduler)
				return nil
			})
		}
	}
	_ = group.Wait() // The functions return no errors.
	return results
}
