// Package demo runs a small deployment of real processes on loopback: seven hosts in three availability zones with
// stand-in endpoints. It submits a mixed load through the command line, kills a host, and takes a zone out of service and
// brings it back. Its report is computed from the recorded histories.
package demo

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cli"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/process"
)

const (
	// timeLimit bounds the whole run.
	timeLimit   = 85 * time.Second
	readyLimit  = 20 * time.Second
	stopTimeout = 10 * time.Second // For the planned stop of all daemons, and of all endpoints, before they are killed.
	pollPeriod  = 200 * time.Millisecond
	// outDuration is how long the zone stays out of service: longer than the time in which a start may still happen.
	outDuration = history.StartAfterOut + 2*time.Second
	killZone    = "a" // The zone whose leader is killed; it has three hosts, two of them with a disk.
	outZone     = "b" // The zone that is taken out.
)

// run is one run of the demo.
type run struct {
	*deployment
	out           io.Writer
	daemons       process.Set
	endpoints     process.Set
	hostProcesses map[string]*process.Process // By identifier of the host.
	load          *load
	began         time.Time
}

// Run runs the demo and prints its report. All processes that it starts have ended when it returns. The error tells
// that a step failed, or that the run broke a requirement. Logs and histories are kept after an error, or if keep is set.
func Run(ctx context.Context, out io.Writer, keep bool) (err error) {
	ctx, stop := context.WithTimeout(ctx, timeLimit)
	defer stop()
	folder, err := os.MkdirTemp("", "mustardwalk-demo-")
	if err != nil {
		return eris.Wrap(err, "create demo folder")
	}
	d, err := newDeployment(folder, folder+"/bin")
	if err != nil {
		return errors.Join(err, os.RemoveAll(folder))
	}
	r := &run{deployment: d, out: out, hostProcesses: map[string]*process.Process{}, load: &load{d: d}, began: time.Now(),
		daemons: process.Set{StopTimeout: stopTimeout}, endpoints: process.Set{StopTimeout: stopTimeout}}
	defer func() {
		err = errors.Join(err, r.stop())
		if err != nil || keep {
			fmt.Fprintf(out, "logs and histories are kept in %s\n", folder)
			return
		}
		err = os.RemoveAll(folder)
	}()
	if err := r.steps(ctx); err != nil {
		r.showLogs()
		return err
	}
	return r.report()
}

// logf prints a line of progress with the time since the start.
func (r *run) logf(format string, values ...any) {
	fmt.Fprintf(r.out, "%6.1f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

func (r *run) steps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{r.build, r.startHosts, r.startEndpoints, r.applyContracts, r.runLoad, r.stopAll} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) build(ctx context.Context) error {
	r.logf("building")
	c := exec.CommandContext(ctx, "go", "build", "-o", r.bin+"/", "./cmd/mustardwalk", "./cmd/mustardwalkd")
	c.Stdout, c.Stderr = r.out, r.out
	return eris.Wrap(c.Run(), "build")
}

// startHosts starts all hosts and waits until they are ready.
func (r *run) startHosts(ctx context.Context) error {
	r.logf("starting %d hosts in %d zones", len(r.hosts), zoneCount)
	for _, h := range r.hosts {
		if h.disk {
			o, err := process.RunCommand(ctx, r.bin+"/mustardwalkd", "initialize", "--data-folder", r.dataFolder(h))
			if err != nil || o.Code != 0 {
				return eris.Errorf("initialize %s: exit code %d: %s %v", h.id, o.Code, o.Stderr, err)
			}
		}
		p, err := r.daemons.Start("host "+h.id, r.file("host-"+h.id+".log"), r.bin+"/mustardwalkd", r.hostArgs(h)...)
		if err != nil {
			return err
		}
		r.hostProcesses[h.id] = p
	}
	return r.until(ctx, "all hosts are ready", func() error {
		for _, h := range r.hosts {
			if err := ready(ctx, h.serve); err != nil {
				return eris.Wrap(err, h.id)
			}
		}
		return nil
	})
}

// ready returns an error unless the host is ready.
func ready(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// until polls a condition for at most readyLimit until it holds. The function holds returns nil if the condition holds, or
// an error with the reason why not. until fails at once if a process has ended on its own.
func (r *run) until(ctx context.Context, what string, holds func() error) error {
	limit := time.Now().Add(readyLimit)
	for reason := holds(); reason != nil; reason = holds() {
		if p := cmp.Or(r.daemons.FindEnded(), r.endpoints.FindEnded()); p != nil {
			return eris.Errorf("%s has ended: %v", p.Name, p.Err())
		}
		if time.Now().After(limit) {
			return eris.Wrapf(reason, "%s: not within %v", what, readyLimit)
		}
		if err := pause(ctx, pollPeriod); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "interrupted")
	case <-time.After(d):
		return nil
	}
}

// startEndpoints starts the stand-in endpoints, one process for each rack, and waits until all workers are ready.
func (r *run) startEndpoints(ctx context.Context) error {
	r.logf("starting stand-in endpoints of %d workers", workers)
	for _, zone := range []string{"a", "b", "c"} {
		for rack := 1; rack <= racksPerZone; rack++ {
			name := fmt.Sprintf("endpoints %s rack %d", zone, rack)
			log := r.file(fmt.Sprintf("endpoint-%s-r%d.log", zone, rack))
			if _, err := r.endpoints.Start(name, log, r.bin+"/mustardwalk", r.endpointArgs(zone, rack)...); err != nil {
				return err
			}
		}
	}
	return r.until(ctx, "all workers are ready", func() error { return r.readyWorkers(ctx) })
}

// readyWorkers returns an error unless all workers are ready.
func (r *run) readyWorkers(ctx context.Context) error {
	out, err := r.operator(ctx, "-o", "json", "worker", "list")
	if err != nil {
		return err
	}
	var l api.WorkerList
	if err := json.Unmarshal(out, &l); err != nil {
		return eris.Wrap(err, "decode the list of workers")
	}
	count := 0
	for _, w := range l.Workers {
		if w.State == "ready" {
			count++
		}
	}
	if count != workers {
		return eris.Errorf("%d of %d workers are ready", count, workers)
	}
	return nil
}

// applyContracts applies the contracts of all workspaces and waits until they are in force in all zones.
func (r *run) applyContracts(ctx context.Context) error {
	// Hosts learn the capacity of other zones a little later than the zones' own hosts do. Until then they refuse
	// guarantees, because they know of no capacity for them.
	checkCapacity := func() error {
		_, err := r.operator(ctx, "contract", "diff", r.file(workspaces()[0].name+".yaml"))
		return err
	}
	if err := r.until(ctx, "the capacity is known", checkCapacity); err != nil {
		return err
	}
	r.logf("applying %d contracts", len(workspaces()))
	var revision uint64
	for _, w := range workspaces() {
		out, err := r.operator(ctx, "-o", "json", "contract", "apply", r.file(w.name+".yaml"))
		if err != nil {
			return err
		}
		var result api.ContractResult
		if err := json.Unmarshal(out, &result); err != nil {
			return eris.Wrap(err, "decode the result of an applied contract")
		}
		revision = result.Revision
	}
	return r.until(ctx, "the contracts are in force", func() error { return r.inForce(ctx, revision) })
}

// inForce returns an error unless the revision is in force in all zones.
func (r *run) inForce(ctx context.Context, revision uint64) error {
	out, err := r.operator(ctx, "-o", "json", "status")
	if err != nil {
		return err
	}
	var s struct{ Revisions api.Revisions }
	if err := json.Unmarshal(out, &s); err != nil {
		return eris.Wrap(err, "decode the status")
	}
	inForce := 0
	for _, v := range s.Revisions.Zones {
		if v >= revision {
			inForce++
		}
	}
	if inForce < zoneCount {
		return eris.Errorf("revision %d is in force in %d of %d zones", revision, inForce, zoneCount)
	}
	return nil
}

// runLoad submits the load and, at the same time, runs the events of injectEvents.
func (r *run) runLoad(ctx context.Context) error {
	plans := planLoad()
	r.logf("submitting %d small requests and %d gangs of %d x %d accelerators", smallJobs, gangJobs, gangMembers, acceleratorsPerMember)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.load.run(ctx, plans) })
	group.Go(func() error { return r.injectEvents(ctx, len(plans)) })
	return group.Wait()
}

// injectEvents kills a host, takes a zone out and back in, and changes a contract. Each step waits until a share of the
// jobs has ended.
func (r *run) injectEvents(ctx context.Context, jobs int) error {
	steps := []struct {
		afterShare float64 // Share of the jobs that must have ended before the step.
		do         func(context.Context) error
	}{{0.15, r.killHost}, {0.35, r.takeOut}, {0.6, r.changeContract}}
	for _, s := range steps {
		for float64(r.load.finished()) < s.afterShare*float64(jobs) {
			if err := pause(ctx, pollPeriod); err != nil {
				return err
			}
		}
		if err := s.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// killHost kills the leader of killZone.
func (r *run) killHost(ctx context.Context) error {
	out, err := r.operator(ctx, "-o", "json", "zone", "status", killZone)
	if err != nil {
		return err
	}
	var l api.ZoneList
	if err := json.Unmarshal(out, &l); err != nil {
		return eris.Wrap(err, "decode the status of a zone")
	}
	if len(l.Zones) != 1 || r.hostProcesses[l.Zones[0].Leader] == nil {
		return eris.Errorf("zone %s has no known leader", killZone)
	}
	leader := l.Zones[0].Leader
	p := r.hostProcesses[leader]
	r.logf("killing host %s, the leader of zone %s, process %d", leader, killZone, p.PID())
	r.daemons.Forget(p)
	if err := r.appendHistory(history.Event{Kind: history.Fault, Host: leader, Message: "kill"}); err != nil {
		return err
	}
	p.Kill()
	return nil
}

// takeOut takes outZone out of service for outDuration.
func (r *run) takeOut(ctx context.Context) error {
	r.logf("taking zone %s out", outZone)
	if _, err := r.operator(ctx, "zone", "out", outZone, "--wait", "--wait-limit", "30s"); err != nil {
		return err
	}
	r.logf("nothing runs in zone %s", outZone)
	if err := pause(ctx, outDuration); err != nil {
		return err
	}
	r.logf("bringing zone %s back", outZone)
	_, err := r.operator(ctx, "zone", "in", outZone, "--wait", "--wait-limit", "20s")
	return err
}

// changeContract applies a contract with another share of the free capacity.
func (r *run) changeContract(ctx context.Context) error {
	r.logf("changing a contract")
	w := workspaces()[1]
	if err := r.writeContract(w, 3); err != nil {
		return err
	}
	_, err := r.operator(ctx, "contract", "apply", r.file(w.name+".yaml"))
	return err
}

// appendHistory appends an event to the demo's own history file.
func (r *run) appendHistory(e history.Event) error {
	e.Time = time.Now().UnixNano()
	line, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	f, err := os.OpenFile(r.file("demo.history"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return eris.Wrap(err, "open history")
	}
	_, err = f.Write(append(line, '\n'))
	return errors.Join(err, f.Close())
}

// stopAll gives the last change time to come into force, and stops all processes in order.
func (r *run) stopAll(ctx context.Context) error {
	if err := pause(ctx, time.Second); err != nil {
		return err
	}
	r.logf("stopping all processes")
	return r.stop()
}

// stop stops the endpoints before the hosts, because hosts acknowledge that endpoints leave.
func (r *run) stop() error { return errors.Join(r.endpoints.Stop(), r.daemons.Stop()) }

// report prints the table and fails if the run broke a requirement.
func (r *run) report() error {
	files, err := r.histories()
	if err != nil {
		return err
	}
	events, err := cli.ReadHistories(files)
	if err != nil {
		return err
	}
	m := measure(events, outZone)
	violations := history.CheckAll(events, history.DefaultBounds)
	r.logf("done; %d events recorded", len(events))
	fmt.Fprintln(r.out)
	if err := m.print(r.out, r.load.loadCounts, violations); err != nil {
		return err
	}
	for _, p := range r.load.problems {
		fmt.Fprintln(r.out, p)
	}
	for _, v := range violations {
		fmt.Fprintln(r.out, v)
	}
	return m.verdict(r.load.loadCounts, violations)
}

// verdict returns an error if the run did not meet the requirements.
func (m measurements) verdict(c loadCounts, violations []history.Violation) error {
	violationCount := m.lost + m.doubled + c.wrongAnswers + len(violations)
	switch {
	case violationCount > 0 || m.lastStart > history.StartAfterOut:
		return eris.New("the run broke a requirement")
	case m.accepted == 0 || m.answered == 0:
		return eris.New("no job was answered")
	case m.started < m.answered-c.failed:
		return eris.Errorf("the histories are incomplete: %d of %d answered jobs have a start", m.started, m.answered)
	case !m.inForceKnown || m.inForce > history.InForceWithin:
		return eris.New("the changed contract did not come into force in time")
	}
	return nil
}

// showLogs prints the end of the log of each host.
func (r *run) showLogs() {
	const shown = 600
	for _, h := range r.hosts {
		fmt.Fprintf(r.out, "--- end of the log of host %s\n%s\n", h.id, process.Tail(r.file("host-"+h.id+".log"), shown))
	}
}
