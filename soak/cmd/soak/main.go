// Command soak runs the fault soak over a range of seeds and keeps the logs of those that fail.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/soak"
)

func main() {
	first := kingpin.Flag("first-seed", "First seed.").Default("1").Uint64()
	seeds := kingpin.Flag("seeds", "Number of seeds.").Default("10").Int()
	atOnce := kingpin.Flag("at-once", "Runs at the same time; each has five processes.").Default("4").Int()
	faults := kingpin.Flag("faults", "How long faults go on in a run.").Default("30s").Duration()
	folder := kingpin.Flag("folder", "For logs of runs that fail.").Default("soak-failures").String()
	program := kingpin.Flag("program", "Path of mustardwalkd.").Default("bin/mustardwalkd").String()
	kingpin.Parse()
	var g errgroup.Group
	g.SetLimit(*atOnce)
	var mu sync.Mutex
	failed, jobs, injected := 0, 0, 0
	for i := range *seeds {
		seed := *first + uint64(i)
		g.Go(func() error {
			r, logFolder, err := runSeed(seed, *program, *folder, *faults)
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			mu.Lock()
			defer mu.Unlock()
			jobs, injected = jobs+r.Jobs, injected+r.Faults
			fmt.Printf("seed=%d jobs=%d faults=%d violations=%d\n", seed, r.Jobs, r.Faults, len(r.Violations))
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
	fmt.Printf("runs=%d failed=%d jobs=%d faults=%d\n", *seeds, failed, jobs, injected)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
	}
	if err != nil || failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs one seed. It removes the folder of the run if there was neither an error nor a violation.
func runSeed(seed uint64, program, folder string, faults time.Duration) (soak.Report, string, error) {
	logFolder := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(logFolder); err != nil {
		return soak.Report{}, logFolder, err
	}
	if err := os.MkdirAll(logFolder, 0o755); err != nil {
		return soak.Report{}, logFolder, err
	}
	options := soak.Options{Seed: seed, Program: program, Folder: logFolder, FaultDuration: faults, CompletionLimit: 40 * time.Second, Workers: 6}
	r, err := soak.Run(context.Background(), options)
	if err == nil && len(r.Violations) == 0 {
		err = os.RemoveAll(logFolder)
	}
	return r, logFolder, err
}
