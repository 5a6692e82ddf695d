// Package soak runs the real programs as processes on loopback under random faults, and checks the requirements of the
// system from what callers, operators and workers observe. Faults are injected from outside the processes: by signals,
// by proxies in front of each listener, and by the workers, which are modelled in the process of the soak.
package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/simworker"
)

// Options of a run.
type Options struct {
	Seed            uint64
	Program         string        // Path of mustardwalkd.
	Folder          string        // For logs and data; the command keeps it when a run fails.
	FaultDuration   time.Duration // How long faults are injected.
	CompletionLimit time.Duration // How long accepted jobs may take to complete after the faults.
	Entries         int           // Number of entry hosts, at most 200.
	Workers         int           // At most 200; 0 for a small number that the seed determines.
	Without         []string      // Kinds of faults that are not injected.
	Malformed       bool          // Malformed input is sent to all hosts during the faults.
	Claims          bool          // Reports of other writers with the addresses of workers are sent during the faults.
	ZoneOrders      bool          // An operator takes zones out of service and brings them back.
	Abandoned       bool          // Some callers leave without an answer and cancel their jobs at another host.
	GangFailures    bool          // All members of some gangs fail at once, in fewer runs than their queue allows.
	GangRounds      int           // Number of rounds of RunGangs.
	GangCases       []string      // Kinds of faults of RunGangs; all if it is empty.
	ProgramBefore   string        // Path of mustardwalkd of an earlier version, which Program replaces in the case "upgrade" of RunGangs.
}

// hostPorts are below the range from which the system picks ports, so that they are free while a host or a worker is down.
var hostPorts = ports{peers: 21001, control: 21002, front: 21003, ready: 21004, metrics: 21005}

// Bounds of the number of workers that the seed determines: with few of them the jobs have to wait, with many some
// workers are idle.
const (
	fewWorkers  = 3
	manyWorkers = 9
)

// coreHosts is the number of core hosts of a run.
const coreHosts = 3

// Report is the outcome of a run.
type Report struct {
	Jobs, Starts int            // Accepted jobs and started attempts.
	Faults       map[string]int // Injected faults by kind.
	Violations   []string
	Stalled      time.Duration // For how long the process of the soak did not run, because the machine was busy.
}

// run is a running deployment under faults.
type run struct {
	options   Options
	random    *rand.Rand
	ports     ports
	block     int // Second byte of the IP addresses of the run.
	cores     []*process
	entries   []*process
	checks    *checker
	gangs     *simworker.Gangs
	gangsLock sync.Mutex
	start     time.Time
	workers   []*workerSlot

	mu         sync.Mutex
	leaderIP   string
	faults     map[string]int
	events     *bufio.Writer // Faults, and starts and ends of attempts, with the time.
	eventsFile *os.File

	stalled      time.Duration
	closing      bool      // Processes that end are not started again.
	coreFaults   int       // Faults of core hosts in progress.
	coreFaultEnd time.Time // When the last of them ended.
}

// newRun returns a run whose processes have not been started.
func newRun(options Options) (*run, error) {
	r := &run{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), gangs: simworker.NewGangs(), start: time.Now(),
		block: 16 + os.Getpid()%200, ports: hostPorts, faults: map[string]int{},
	}
	if options.Workers == 0 {
		r.options.Workers = fewWorkers + int(options.Seed)%(manyWorkers-fewWorkers+1)
	}
	var err error
	if r.eventsFile, err = os.Create(filepath.Join(options.Folder, "events.log")); err != nil {
		return nil, err
	}
	r.events = bufio.NewWriter(r.eventsFile)
	r.checks = newChecker(r)
	r.gangs.OnEvent, r.gangs.OnAcknowledged, r.gangs.OnDuplicate = r.checks.observe, r.checks.acknowledged, r.checks.duplicate
	return r, nil
}

// Run runs the programs under the faults that the seed determines, and checks the requirements.
func Run(ctx context.Context, options Options) (Report, error) {
	r, err := newRun(options)
	if err != nil {
		return Report{}, err
	}
	defer r.stopAll()
	if err := r.startAll(); err != nil {
		return Report{}, err
	}
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go r.watchStalls(watchCtx)
	g, ctx := errgroup.WithContext(ctx)
	startCtx, cancelStart := context.WithTimeout(ctx, serviceLimit)
	defer cancelStart()
	r.checks.sendConfig(startCtx, 1)
	loadCtx, cancel := context.WithTimeout(ctx, options.FaultDuration)
	defer cancel()
	g.Go(func() error { r.checks.submitJobs(loadCtx); return nil })
	if options.ZoneOrders {
		g.Go(func() error { r.checks.orderZones(loadCtx); return nil })
	}
	if options.Abandoned {
		g.Go(func() error { r.checks.abandonJobs(loadCtx); return nil })
	}
	for operator := range operators {
		g.Go(func() error { r.checks.changeConfigs(loadCtx, operator); return nil })
	}
	if options.Malformed {
		g.Go(func() error { return r.sendMalformed(loadCtx) })
	}
	if options.Claims {
		g.Go(func() error { r.claimAddresses(loadCtx); return nil })
	}
	g.Go(func() error { return r.injectFaults(loadCtx) })
	if err := g.Wait(); err != nil {
		return Report{}, err
	}
	r.logEvent("faults_over")
	r.checks.awaitCompletion(options.CompletionLimit)
	r.checks.checkZones()
	r.checks.checkAbandoned(options.CompletionLimit)
	r.checks.checkConfig(options.CompletionLimit)
	r.checks.checkLogs()
	return Report{
		Jobs: r.checks.accepted(), Starts: r.checks.starts, Faults: r.faults, Violations: r.checks.violations(), Stalled: r.stalledTime(),
	}, nil
}

// Period of the check for stalls, and how late it must be to be logged.
const (
	stallCheck = 50 * time.Millisecond
	minStall   = 500 * time.Millisecond
)

// watchStalls logs when this process did not run for a while, because the machine was busy or suspended: then the
// times in the run are not those that the seed determines.
func (r *run) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		time.Sleep(stallCheck)
		if stall := time.Since(last); stall > minStall {
			r.logEvent("STALL %v", stall.Round(time.Millisecond))
			r.mu.Lock()
			r.stalled += stall
			r.mu.Unlock()
		}
	}
}

// stalledTime returns for how long this process has stalled so far.
func (r *run) stalledTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalled
}

// logEvent writes a line to the log of events.
func (r *run) logEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	fmt.Fprintf(r.events, "%s %8.3f %s\n", now.UTC().Format("15:04:05.000"), now.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Third bytes of the IP addresses of a run, which differ by seed: proxies in front of hosts, hosts, and workers.
const (
	proxyNetwork = iota
	hostNetwork
	workerNetwork
	networks
)

func (r *run) ip(network, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.block, int(r.options.Seed)%80*networks+network, i+1)
}

// startAll starts the core hosts, the entry hosts and the workers.
func (r *run) startAll() error {
	for i := range coreHosts + r.options.Entries {
		role := "core"
		if i >= coreHosts {
			role = "entry"
		}
		p := &process{
			name: fmt.Sprintf("%s-%d", role, i), role: role, proxyIP: r.ip(proxyNetwork, i), listenIP: r.ip(hostNetwork, i),
			folder: r.options.Folder, program: cmp.Or(r.options.ProgramBefore, r.options.Program), founding: true, unexpectedEnd: r.endedByItself, stalled: r.stalledTime,
		}
		if err := r.startProcess(p); err != nil {
			return err
		}
		if role == "core" {
			r.cores = append(r.cores, p)
		} else {
			r.entries = append(r.entries, p)
		}
	}
	for i := range r.options.Workers {
		if err := r.addWorker(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startProcess(p *process) error {
	var err error
	if p.log, err = os.Create(filepath.Join(r.options.Folder, p.name+".log")); err != nil {
		return err
	}
	for _, port := range []int{r.ports.peers, r.ports.control, r.ports.front} {
		proxy, err := NewProxy(fmt.Sprintf("%s:%d", p.proxyIP, port), fmt.Sprintf("%s:%d", p.listenIP, port))
		if err != nil {
			return err
		}
		p.proxies = append(p.proxies, proxy)
	}
	if err := p.writeSettings(r.ports, r.seedIPs()); err != nil {
		return err
	}
	return p.start(r.ports)
}

// seedIPs returns the IP addresses of the core hosts.
func (r *run) seedIPs() []string {
	var out []string
	for i := range coreHosts {
		out = append(out, r.ip(proxyNetwork, i))
	}
	return out
}

func (r *run) controlAddresses() []string {
	var out []string
	for _, ip := range r.seedIPs() {
		out = append(out, fmt.Sprintf("%s:%d", ip, r.ports.control))
	}
	return out
}

func (r *run) frontAddresses() []string {
	var out []string
	for _, p := range r.entries {
		out = append(out, fmt.Sprintf("%s:%d", p.proxyIP, r.ports.front))
	}
	return out
}

// leader returns the core host that the answers to reports named last as the leader, or any.
func (r *run) leader(random *rand.Rand) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.cores {
		if p.proxyIP == r.leaderIP {
			return p
		}
	}
	return r.cores[random.IntN(len(r.cores))]
}

func (r *run) setLeader(address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaderIP = host
}

func (r *run) stopAll() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	var all errgroup.Group
	for _, p := range append(r.cores, r.entries...) {
		for _, x := range p.proxies {
			x.Close()
		}
		all.Go(func() error {
			p.busy.Lock()
			defer p.busy.Unlock()
			return p.signalAndWait(syscall.SIGKILL, killLimit)
		})
	}
	_ = all.Wait() // The run is over: how the processes end does not matter.
	for _, p := range append(r.cores, r.entries...) {
		_ = p.log.Close() // Only the process writes to the file.
	}
	for _, w := range r.workers {
		w.end()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.events.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "error: the log of events is incomplete:", err)
	}
	_ = r.eventsFile.Close() // All of it has been written.
}
