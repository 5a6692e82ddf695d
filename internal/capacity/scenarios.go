package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// Scenarios. Each name is also that of its CSV file of results.
const (
	scenarioHosts     = "hosts"
	scenarioWorkers   = "workers"
	scenarioContracts = "contracts"
	scenarioTasks     = "tasks"
	scenarioChanges   = "changes"
)

// Sizes of the scenarios: numbers of hosts, workers, contracts and tasks, and contract changes a second. The last size of
// each, except for changes, is that of the target (docs/design.md section 1.4).
var (
	hostSizes     = []int{7, 9, 12, 18}
	workerSizes   = []int{50, 200, 800, 2000}
	contractSizes = []int{10, 60, 200, 510}
	taskSizes     = []int{280, 1120, 3360, 7700}
	changeRates   = []float64{1, 2, 4, 8}
)

const (
	timeLimit       = 8 * time.Minute
	settleTime      = 4 * time.Second // Wait before each window.
	idleWindow      = 10 * time.Second
	heartbeatWindow = heartbeat // A whole period, because all workers of a step announce themselves at the same time.
	changeWindow    = 6 * time.Second
	gangSize        = 28 // 1,100 jobs a day of 6 hours each are 275 jobs at a time, with 7,700 tasks.
	jobRunTime      = time.Hour
	// contractRetryTime bounds the time for which refused contracts are sent again. A new leader of a cell knows its
	// workers only after one period of their heartbeats.
	contractRetryTime = 3 * heartbeat
	parallelRequests  = 8
	callerToken       = "capacity-caller-token"
	workspace         = "workspace-0"
)

// restart is one measured restart of a host, a row of the results.
type restart struct {
	After      string  // What the deployment held at the time.
	Entries    float64 // Log entries that the host had applied before, in all its groups.
	StoreBytes float64 // Size of its record file before.
	Seconds    float64 // From the start of the process until /readyz reports that it is ready.
}

// results holds all measurements of a run.
type results struct {
	Rows     []hostRow
	Restarts []restart
}

// Options choose what a run measures.
type Options struct {
	Folder      string   // For the results.
	IdleOnly    bool     // Only idle deployments are measured, and no results are written.
	DaemonFlags []string // Additional flags of the daemons, to try out settings.
}

// run is one run of all scenarios.
type run struct {
	options          Options
	out              io.Writer
	bin              string
	began            time.Time
	results          results
	current          *deployment // The deployment that is measured now.
	appliedContracts int
	submittedTasks   int
	refused          atomic.Value // Code and findings of the last refusal of a contract; empty if none was refused.
}

// Run measures all scenarios. It writes the rows as CSV files to the folder and the tables of slopes to out.
func Run(ctx context.Context, out io.Writer, o Options) error {
	ctx, stop := context.WithTimeout(ctx, timeLimit)
	defer stop()
	bin, err := os.MkdirTemp("", "mustardwalk-capacity-bin-")
	if err != nil {
		return eris.Wrap(err, "create folder")
	}
	defer os.RemoveAll(bin)
	build := exec.CommandContext(ctx, "go", "build", "-o", bin+"/", "./cmd/mustardwalk", "./cmd/mustardwalkd")
	build.Stdout, build.Stderr = out, out
	if err := build.Run(); err != nil {
		return eris.Wrap(err, "build")
	}
	r := &run{options: o, out: out, bin: bin, began: time.Now()}
	for _, count := range hostSizes {
		if err = r.measureDeployment(ctx, count); err != nil {
			break
		}
	}
	if o.IdleOnly {
		return errors.Join(err, r.results.printScenario(out, scenarioHosts))
	}
	// Results measured before an error are written too, because they are still useful.
	return errors.Join(err, r.results.write(o.Folder), r.results.print(out))
}

// logf prints a line of progress with the time since the start.
func (r *run) logf(format string, values ...any) {
	fmt.Fprintf(r.out, "%6.1f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// measureDeployment measures an idle deployment with count hosts. The largest one is also measured with workers,
// contracts, tasks and changes, up to the target size.
func (r *run) measureDeployment(ctx context.Context, count int) (err error) {
	r.logf("starting %d hosts", count)
	r.current, err = deploy(ctx, r.bin, count, r.options.DaemonFlags)
	if err != nil {
		return err
	}
	defer r.current.stop()
	if err := r.measure(ctx, scenarioHosts, float64(count), idleWindow, nil); err != nil {
		return err
	}
	if r.options.IdleOnly || count != hostSizes[len(hostSizes)-1] {
		return nil
	}
	for _, step := range []func(context.Context) error{r.measureWorkers, r.measureContracts, r.measureTasks, r.measureChanges} {
		if stepErr := step(ctx); stepErr != nil {
			r.logf("failed: %v", stepErr)
			err = errors.Join(err, stepErr)
		}
	}
	return err
}

// measure adds the rows of one window to the results, after settleTime.
func (r *run) measure(ctx context.Context, scenario string, size float64, length time.Duration, work func() error) error {
	select {
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "interrupted")
	case <-time.After(settleTime):
	}
	rows, err := r.current.measureWindow(ctx, scenario, size, length, work)
	if err != nil {
		return err
	}
	r.results.Rows = append(r.results.Rows, rows...)
	r.logf("%s %g: %.2f%% of a core, %.0f MB, %.0f bytes a second, means of %d hosts", scenario, size,
		mean(rows, value(cpuPercent)), mean(rows, value(rssMB)), mean(rows, value(totalBytes)), len(rows))
	return nil
}

// measureWorkers measures the deployment at each number of workers.
func (r *run) measureWorkers(ctx context.Context) error {
	for _, n := range workerSizes {
		if err := r.current.addWorkers(n); err != nil {
			return err
		}
		if err := r.untilWorkers(ctx, n); err != nil {
			return err
		}
		if err := r.measure(ctx, scenarioWorkers, float64(n), heartbeatWindow, nil); err != nil {
			return err
		}
	}
	return nil
}

// untilWorkers waits until all workers have announced themselves.
func (r *run) untilWorkers(ctx context.Context, n int) error {
	limit := time.Now().Add(readyLimit)
	for time.Now().Before(limit) {
		list, err := r.current.client.Workers(ctx)
		if err == nil && len(list.Workers) == n {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return eris.Wrap(err, "interrupted")
		}
		time.Sleep(time.Second)
	}
	return eris.Errorf("not all of %d workers announced themselves within %v", n, readyLimit)
}

// contractYAML returns the name of a workspace and the text of its contract, number i, with a guarantee in one zone and
// the given share of the surplus.
func contractYAML(i, share int, zones []string) (string, []byte) {
	sum := sha256.Sum256([]byte(callerToken + fmt.Sprint(i)))
	name := fmt.Sprintf("workspace-%d", i)
	return name, fmt.Appendf(nil, "workspace: %s\nsurplus_share: %d\nhighest_class: urgent\ngrace_seconds: 5\nguarantees:\n"+
		"  - {zone: %s, gangs: 1, gang: 1, accelerators: 4, adjacency: worker}\nlimits: {queued: 2000}\ntokens_sha256:\n  - %s\n",
		name, share, zones[i%len(zones)], hex.EncodeToString(sum[:]))
}

// apply applies contract i, and sends it again while it is refused, for at most contractRetryTime.
func (r *run) apply(ctx context.Context, i, share int) error {
	var zones []string
	for zone := range zoneSizes(len(r.current.hosts)) {
		zones = append(zones, string(rune('a'+zone)))
	}
	name, yaml := contractYAML(i, share, zones)
	// Guarantees are refused until the leaders know the capacity of the zone.
	limit := time.Now().Add(contractRetryTime)
	for {
		_, err := r.current.client.ApplyContract(ctx, name, yaml, api.Command{})
		var refused *api.Error
		if err == nil || !errors.As(err, &refused) || time.Now().After(limit) || ctx.Err() != nil {
			return eris.Wrapf(err, "apply contract %d", i)
		}
		r.refused.Store(fmt.Sprintf("%s %v", refused.Code, refused.Findings))
		time.Sleep(readyPoll)
	}
}

// measureContracts measures the deployment, and the restart of a host, at each number of contracts.
func (r *run) measureContracts(ctx context.Context) error {
	for _, n := range contractSizes {
		group, inner := errgroup.WithContext(ctx)
		group.SetLimit(parallelRequests)
		for ; r.appliedContracts < n; r.appliedContracts++ {
			i := r.appliedContracts
			group.Go(func() error { return r.apply(inner, i, 1) })
		}
		err := group.Wait()
		if f := r.refused.Swap(""); f != nil && f != "" {
			r.logf("contracts were refused for a while, the last one with %v", f)
		}
		if err != nil {
			return err
		}
		if err := r.measure(ctx, scenarioContracts, float64(n), heartbeatWindow, nil); err != nil {
			return err
		}
		if err := r.restart(ctx, fmt.Sprintf("%d contracts", n)); err != nil {
			return err
		}
	}
	return nil
}

// measureTasks measures the deployment at each number of running tasks. They are members of gangs that run for longer
// than the measurement.
func (r *run) measureTasks(ctx context.Context) error {
	var servers []string
	for _, h := range r.current.hosts {
		servers = append(servers, "http://"+h.serve)
	}
	for _, n := range taskSizes {
		group, inner := errgroup.WithContext(ctx)
		group.SetLimit(parallelRequests)
		for i := 0; r.submittedTasks < n; i++ {
			first := i % len(servers)
			r.submittedTasks += gangSize
			group.Go(func() error {
				return submit(inner, append(servers[first:len(servers):len(servers)], servers[:first]...))
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		if err := r.measure(ctx, scenarioTasks, float64(n), heartbeatWindow, nil); err != nil {
			return err
		}
		r.logf("%d jobs with %d tasks are submitted; %s", r.submittedTasks/gangSize, r.submittedTasks, r.jobStates(ctx))
	}
	return r.restart(ctx, fmt.Sprintf("%d tasks", r.submittedTasks))
}

// jobStates tells how many jobs are in each state, so that the printed progress shows whether the tasks of a row really
// ran.
func (r *run) jobStates(ctx context.Context) string {
	list, err := r.current.client.AllJobs(ctx)
	if err != nil {
		return err.Error()
	}
	states := map[string]int{}
	for _, j := range list.Jobs {
		states[string(j.State)]++
	}
	return fmt.Sprint("jobs by state: ", states)
}

// submit submits one gang through one of the servers.
func submit(ctx context.Context, servers []string) error {
	client, err := api.NewClient(api.Options{Servers: servers, Token: callerToken + "0"})
	if err != nil {
		return eris.Wrap(err, "create client")
	}
	body, err := json.Marshal(standin.Request{RunMillis: jobRunTime.Milliseconds()})
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	_, err = client.Submit(ctx, api.JobRequest{Gang: gangSize, Accelerators: 1, Body: body}, 0)
	return eris.Wrap(err, "submit")
}

// measureChanges measures the deployment while contracts change, at each rate of changes.
func (r *run) measureChanges(ctx context.Context) error {
	share := 1
	for _, rate := range changeRates {
		share++
		work := func() error {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer ticker.Stop()
			for i := range int(rate * changeWindow.Seconds()) {
				<-ticker.C
				if err := r.apply(ctx, 1+i, share); err != nil {
					return err
				}
			}
			return nil
		}
		if err := r.measure(ctx, scenarioChanges, rate, changeWindow, work); err != nil {
			return err
		}
	}
	return r.restart(ctx, "all changes")
}

// restart kills a host that has a disk and the role of a follower, starts it again and measures the time until it is
// ready.
func (r *run) restart(ctx context.Context, after string) error {
	for _, h := range r.current.hosts {
		m, err := scrape(ctx, h.serve)
		if err != nil {
			return err
		}
		if !h.disk || roleOf(h, m) != roleFollower {
			continue
		}
		h.process.kill()
		if err := r.current.startHost(h); err != nil {
			return err
		}
		took, err := h.untilReady(ctx)
		if err != nil {
			return err
		}
		r.results.Restarts = append(r.results.Restarts, restart{After: after, Entries: m.sum("mustardwalk_core_group_applied_index"),
			StoreBytes: m.sum("mustardwalk_store_bytes"), Seconds: took.Seconds()})
		r.logf("restart of %s after %s: %.2f s", h.id, after, took.Seconds())
		return nil
	}
	return eris.New("no host with a disk is a follower")
}
