// Package soak runs the real programs as processes on loopback under random faults, and checks the requirements of the
// system from what callers, operators and workers observe. Faults are injected from outside the processes: by signals,
// and by proxies in front of each listener.
package soak

import (
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
	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// Options of a run.
type Options struct {
	Seed            uint64
	Program         string        // Path of mustardwalkd.
	Folder          string        // For logs and data; the command keeps it when a run fails.
	FaultDuration   time.Duration // How long faults are injected.
	CompletionLimit time.Duration // How long accepted jobs may take to complete after the faults.
	Workers         int
}

// Report is the outcome of a run.
type Report struct {
	Jobs, Faults int // Accepted jobs and injected faults.
	Violations   []string
}

// run is a running deployment under faults.
type run struct {
	options   Options
	random    *rand.Rand
	ports     ports
	network   string // First three bytes of the IP addresses of the run, which differ by process and seed.
	cores     []*process
	entries   []*process
	checks    *checker
	gangs     *simworker.Gangs
	gangsLock sync.Mutex
	start     time.Time
	workers   []*fleet.Worker
	proxies   []*Proxy // In front of the workers.
	faults    int      // Faults injected so far.
}

// Run runs the programs under the faults that the seed determines, and checks the requirements.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), gangs: simworker.NewGangs(), start: time.Now(),
		network: fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, options.Seed%250),
	}
	r.checks = newChecker(r)
	r.gangs.OnEvent = r.checks.observe
	defer r.stopAll()
	if err := r.startAll(); err != nil {
		return Report{}, err
	}
	g, ctx := errgroup.WithContext(ctx)
	loadCtx, cancel := context.WithTimeout(ctx, options.FaultDuration)
	defer cancel()
	g.Go(func() error { r.checks.submitJobs(loadCtx); return nil })
	g.Go(func() error { r.checks.changeConfigs(loadCtx); return nil })
	g.Go(func() error { return r.injectFaults(loadCtx) })
	if err := g.Wait(); err != nil {
		return Report{}, err
	}
	r.checks.awaitCompletion(options.CompletionLimit)
	return Report{Jobs: r.checks.accepted(), Faults: r.faults, Violations: r.checks.violations()}, nil
}

// startAll starts three core hosts, two entry hosts and the workers. It picks the ports by listening on free ones.
func (r *run) startAll() error {
	for _, port := range []*int{&r.ports.peers, &r.ports.control, &r.ports.front, &r.ports.ready} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*port = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d", r.network, i+1))
	}
	for i := range 5 {
		role := "core"
		if i >= 3 {
			role = "entry"
		}
		p := &process{
			name: fmt.Sprintf("%s-%d", role, i), role: role, proxyIP: fmt.Sprintf("%s.%d", r.network, i+1),
			listenIP: fmt.Sprintf("%s.%d", r.network, i+101), folder: r.options.Folder, program: r.options.Program, founding: true,
		}
		if err := r.startProcess(p, seeds); err != nil {
			return err
		}
		if role == "core" {
			r.cores = append(r.cores, p)
		} else {
			r.entries = append(r.entries, p)
		}
	}
	for i := range r.options.Workers {
		if err := r.startWorker(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startProcess(p *process, seeds []string) error {
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
	if err := p.writeSettings(r.ports, seeds); err != nil {
		return err
	}
	return p.start(r.ports)
}

// startWorker starts an incarnation of a worker. The start of the first incarnation also starts the proxy in front of
// the worker.
func (r *run) startWorker(i int) error {
	listen := fmt.Sprintf("%s.%d:%d", r.network, 200+i, r.ports.front)
	advertised := fmt.Sprintf("%s.%d:%d", r.network, 200+i, r.ports.control)
	w, err := fleet.StartWorker(fleet.WorkerOptions{
		ID: fmt.Sprintf("i-%d", i), Zone: "z", Rack: "r", Service: service, Listen: listen, Advertise: advertised, ControlAddresses: r.controlAddresses(),
		ClockRate: 0.985, Gangs: r.gangs, GangsLock: &r.gangsLock, Start: r.start,
	})
	if err != nil {
		return err
	}
	if i < len(r.workers) {
		r.workers[i] = w
		return nil
	}
	proxy, err := NewProxy(advertised, listen)
	if err != nil {
		return err
	}
	r.workers, r.proxies = append(r.workers, w), append(r.proxies, proxy)
	return nil
}

func (r *run) controlAddresses() []string {
	var out []string
	for i := range 3 {
		out = append(out, fmt.Sprintf("%s.%d:%d", r.network, i+1, r.ports.control))
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

func (r *run) stopAll() {
	for _, p := range append(r.cores, r.entries...) {
		for _, x := range p.proxies {
			x.Close()
		}
		if p.cmd != nil && p.cmd.ProcessState == nil {
			_ = p.signalAndWait(syscall.SIGKILL, 5*time.Second) // The run is over: how the process ends does not matter.
		}
		_ = p.log.Close() // Only the process writes to the file.
	}
	for _, w := range r.workers {
		w.Crash()
	}
	for _, x := range r.proxies {
		x.Close()
	}
}

// catchUpTime is how long a core host still counts as lost after it has come back, because it has to catch up with the
// others first. The deployment tolerates the loss of one core host at a time.
const catchUpTime = 4 * time.Second

// startupTime is how long the programs may take until they handle signals. A SIGTERM before that kills a program, which
// has taken no request yet, instead of stopping it cleanly, and the run would report that as a violation (regression
// seed 3).
const startupTime = time.Second

// injectFaults injects faults until ctx ends, and waits until all of them are removed. At most one core host has a
// fault at a time; faults of entry hosts and workers may overlap with it and with each other.
func (r *run) injectFaults(ctx context.Context) error {
	var g errgroup.Group
	time.Sleep(startupTime)
	nextCoreFault := time.Now().Add(catchUpTime)
	// The times until which the entry hosts, and after them the workers, count as having a fault.
	busyUntil := make([]time.Time, len(r.entries)+len(r.workers))
	for ctx.Err() == nil {
		wait := time.Duration(200+r.random.IntN(1200)) * time.Millisecond
		duration := time.Duration(300+r.random.IntN(5000)) * time.Millisecond
		kind := r.random.IntN(100)
		switch {
		case kind < 35 && time.Now().After(nextCoreFault):
			p, action := r.cores[r.random.IntN(len(r.cores))], r.random.IntN(5)
			fault := Fault(1 + r.random.IntN(int(faultCount)-1))
			// A planned stop may take up to its grace period.
			nextCoreFault = time.Now().Add(duration + 8*time.Second + catchUpTime)
			r.faults++
			g.Go(func() error { return r.injectProcessFault(p, action, fault, duration) })
		case kind < 60:
			i := r.random.IntN(len(r.entries))
			if time.Now().Before(busyUntil[i]) {
				break
			}
			p, action := r.entries[i], r.random.IntN(4)
			busyUntil[i] = time.Now().Add(duration + 8*time.Second)
			fault := Fault(1 + r.random.IntN(int(faultCount)-1))
			r.faults++
			g.Go(func() error { return r.injectProcessFault(p, action, fault, duration) })
		case kind < 90:
			i := r.random.IntN(len(r.workers))
			if time.Now().Before(busyUntil[len(r.entries)+i]) {
				break
			}
			busyUntil[len(r.entries)+i] = time.Now().Add(duration + 2*time.Second)
			fault := Fault(r.random.IntN(int(faultCount)))
			r.faults++
			g.Go(func() error { return r.injectWorkerFault(i, fault, duration) })
		}
		time.Sleep(wait)
	}
	return g.Wait()
}

// Actions on the process of a host.
const (
	actionKill = iota
	actionPause
	actionProxy
	actionStop
	actionWipe // Core hosts only.
)

// injectProcessFault pauses the process of a host or disturbs its connections for a duration, or ends the process and
// starts it again after a quarter of the duration. After actionWipe it starts with an empty data folder.
func (r *run) injectProcessFault(p *process, action int, fault Fault, duration time.Duration) error {
	switch action {
	case actionPause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
		return nil
	case actionProxy:
		for _, x := range p.proxies {
			x.SetFault(fault)
		}
		time.Sleep(duration)
		for _, x := range p.proxies {
			x.SetFault(Pass)
		}
		return nil
	case actionStop:
		if err := p.signalAndWait(syscall.SIGTERM, 7*time.Second); err != nil {
			r.checks.addViolation("%v", err)
		}
	default:
		if err := p.signalAndWait(syscall.SIGKILL, 5*time.Second); err != nil {
			return err
		}
	}
	p.founding = false
	if action == actionWipe {
		if err := os.RemoveAll(p.dataFolder()); err != nil {
			return err
		}
	}
	time.Sleep(duration / 4)
	var seeds []string
	for _, c := range r.cores {
		seeds = append(seeds, c.proxyIP)
	}
	if err := p.writeSettings(r.ports, seeds); err != nil {
		return err
	}
	return p.start(r.ports)
}

// injectWorkerFault disturbs the connections to a worker for a duration. If the fault is Pass, it instead crashes the
// worker and starts a new incarnation after 1 s.
func (r *run) injectWorkerFault(i int, fault Fault, duration time.Duration) error {
	if fault != Pass {
		r.proxies[i].SetFault(fault)
		time.Sleep(duration)
		r.proxies[i].SetFault(Pass)
		return nil
	}
	r.workers[i].Crash()
	time.Sleep(time.Second)
	return r.startWorker(i)
}
