// Command soak runs the fault soak over a range of seeds and keeps the logs of those that fail.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/soak"
)

func main() {
	first := kingpin.Flag("first-seed", "First seed.").Default("1").Uint64()
	seeds := kingpin.Flag("seeds", "Number of seeds.").Default("10").Int()
	atOnce := kingpin.Flag("at-once", "Runs at the same time; each has three core hosts and the entry hosts.").Default("4").Int()
	folder := kingpin.Flag("folder", "For logs of runs that fail.").Default("soak-failures").String()
	var options soak.Options
	kingpin.Flag("faults", "How long faults go on in a run.").Default("30s").DurationVar(&options.FaultDuration)
	kingpin.Flag("completion", "How long accepted jobs may take to complete after the faults.").Default("40s").DurationVar(&options.CompletionLimit)
	kingpin.Flag("program", "Path of mustardwalkd.").Default("bin/mustardwalkd").StringVar(&options.Program)
	kingpin.Flag("entries", "Entry hosts of a run, each a process.").Default("2").IntVar(&options.Entries)
	kingpin.Flag("workers", "Workers of a run; 0 for a number that the seed determines.").Default("0").IntVar(&options.Workers)
	kingpin.Flag("without", "Kind of fault that is not injected; may be repeated.").StringsVar(&options.Without)
	kingpin.Flag("malformed", "Send malformed input during the faults.").Default("true").BoolVar(&options.Malformed)
	kingpin.Flag("gang-failures", "Let all members of some gangs fail at once.").Default("true").BoolVar(&options.GangFailures)
	kingpin.Flag("abandoned", "Let some callers leave without an answer and cancel their jobs.").Default("true").BoolVar(&options.Abandoned)
	kingpin.Flag("claims", "Send reports with the addresses of workers that run on.").Default("true").BoolVar(&options.Claims)
	kingpin.Flag("zone-orders", "Take zones without workers out of service and bring them back.").Default("true").BoolVar(&options.ZoneOrders)
	kingpin.Flag("gang-rounds", "Play this many rounds of gangs that fail, each with a fault between the ends of two members, instead of random faults.").IntVar(&options.GangRounds)
	kingpin.Flag("case", "Kind of fault in the rounds of gangs, instead of all; may be repeated.").StringsVar(&options.GangCases)
	kingpin.Flag("program-before", "Path of an earlier mustardwalkd, with which the hosts start; the case upgrade replaces it.").StringVar(&options.ProgramBefore)
	only := kingpin.Flag("only", "Kind of fault that is injected, instead of all; may be repeated.").Strings()
	kingpin.Parse()
	if len(*only) > 0 {
		options.Without = append(options.Without, soak.AllKindsBut(*only...)...)
	}
	// A signal ends the faults, and with them the runs and their processes.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(*atOnce)
	var mu sync.Mutex
	failed, jobs, starts, injected := 0, 0, 0, map[string]int{}
	for i := range *seeds {
		seed := *first + uint64(i)
		o := options
		o.Seed = seed
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			r, logFolder, err := runSeed(ctx, o, *folder)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			jobs, starts = jobs+r.Jobs, starts+r.Starts
			n := 0
			for kind, count := range r.Faults {
				injected[kind] += count
				n += count
			}
			fmt.Printf("seed=%d jobs=%d starts=%d faults=%d stalled_ms=%d violations=%d\n", seed, r.Jobs, r.Starts, n, r.Stalled.Milliseconds(), len(r.Violations))
			for _, v := range r.Violations {
				fmt.Printf("  %s\n", v)
			}
			if len(r.Violations) > 0 {
				failed++
				fmt.Printf("  logs: %s\n", logFolder)
			}
			return nil
		})
	}
	err := g.Wait()
	fmt.Printf("runs=%d failed=%d jobs=%d starts=%d\n", *seeds, failed, jobs, starts)
	for _, kind := range slices.Sorted(maps.Keys(injected)) {
		fmt.Printf("  %s=%d\n", kind, injected[kind])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
	}
	if err != nil || failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed. It removes the folder of the run if there was neither an error nor a violation.
func runSeed(ctx context.Context, options soak.Options, folder string) (soak.Report, string, error) {
	options.Folder = filepath.Join(folder, fmt.Sprintf("seed-%d", options.Seed))
	if err := os.RemoveAll(options.Folder); err != nil {
		return soak.Report{}, options.Folder, err
	}
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		return soak.Report{}, options.Folder, err
	}
	play := soak.Run
	if options.GangRounds > 0 {
		play = soak.RunGangs
	}
	r, err := play(ctx, options)
	if err == nil && len(r.Violations) == 0 {
		err = os.RemoveAll(options.Folder)
	}
	return r, options.Folder, err
}
