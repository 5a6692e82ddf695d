// Package soak runs the real programs as processes on loopback under random faults, and checks the promises of the pages
// from what callers and workers see. Faults come from outside: signals, and proxies in front of each listener.
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
	Seed    uint64
	Program string        // Path of mustardwalkd.
	Folder  string        // For logs and data; kept when a check fails.
	Faults  time.Duration // How long faults go on.
	Settle  time.Duration // How long the system has to finish afterwards.
	Workers int
}

// Report is the outcome of a run.
type Report struct {
	Jobs, Faults int
	Violations   []string
}

// run is a running deployment under faults.
type run struct {
	o       Options
	random  *rand.Rand
	ports   ports
	network string
	cores   []*process
	entries []*process
	checks  *checker
	gangs   *simworker.Gangs
	lock    sync.Mutex
	start   time.Time
	workers []*fleet.Worker
	proxies []*Proxy // In front of the workers.
	faults  int
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 7)), gangs: simworker.NewGangs(), start: time.Now(),
		network: fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, o.Seed%250),
	}
	r.checks = newChecker(r)
	r.gangs.Events = r.checks.observe
	defer r.stopAll()
	if err := r.startAll(); err != nil {
		return Report{}, err
	}
	g, ctx := errgroup.WithContext(ctx)
	load, cancel := context.WithTimeout(ctx, o.Faults)
	defer cancel()
	g.Go(func() error { r.checks.callers(load); return nil })
	g.Go(func() error { r.checks.operators(load); return nil })
	g.Go(func() error { return r.disturb(load) })
	if err := g.Wait(); err != nil {
		return Report{}, err
	}
	r.checks.settle(o.Settle)
	return Report{Jobs: r.checks.accepted(), Faults: r.faults, Violations: r.checks.violations()}, nil
}

// startAll starts three core hosts, two entry hosts and the workers.
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
			name: fmt.Sprintf("%s-%d", role, i), role: role, ip: fmt.Sprintf("%s.%d", r.network, i+1),
			real: fmt.Sprintf("%s.%d", r.network, i+101), folder: r.o.Folder, program: r.o.Program, founding: true,
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
	for i := range r.o.Workers {
		if err := r.startWorker(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) startProcess(p *process, seeds []string) error {
	var err error
	if p.log, err = os.Create(filepath.Join(r.o.Folder, p.name+".log")); err != nil {
		return err
	}
	for _, port := range []int{r.ports.peers, r.ports.control, r.ports.front} {
		proxy, err := NewProxy(fmt.Sprintf("%s:%d", p.ip, port), fmt.Sprintf("%s:%d", p.real, port))
		if err != nil {
			return err
		}
		p.proxies = append(p.proxies, proxy)
	}
	if err := p.settings(r.ports, seeds); err != nil {
		return err
	}
	return p.start(r.ports)
}

// startWorker starts a lifetime of a worker behind a proxy.
func (r *run) startWorker(i int) error {
	listen := fmt.Sprintf("%s.%d:%d", r.network, 200+i, r.ports.front)
	advertised := fmt.Sprintf("%s.%d:%d", r.network, 200+i, r.ports.control)
	w, err := fleet.StartWorker(fleet.WorkerOptions{
		ID: fmt.Sprintf("i-%d", i), Zone: "z", Rack: "r", Service: service, Listen: listen, Advertise: advertised, Control: r.control(),
		Rate: 0.985, Gangs: r.gangs, Lock: &r.lock, Start: r.start,
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

func (r *run) control() []string {
	var out []string
	for i := range 3 {
		out = append(out, fmt.Sprintf("%s.%d:%d", r.network, i+1, r.ports.control))
	}
	return out
}

func (r *run) fronts() []string {
	var out []string
	for _, p := range r.entries {
		out = append(out, fmt.Sprintf("%s:%d", p.ip, r.ports.front))
	}
	return out
}

func (r *run) stopAll() {
	for _, p := range append(r.cores, r.entries...) {
		for _, x := range p.proxies {
			x.Close()
		}
		if p.cmd != nil && p.cmd.ProcessState == nil {
			_ = p.end(syscall.SIGKILL, 5*time.Second) // Nothing depends on how it ends.
		}
		_ = p.log.Close() // Written by the process itself.
	}
	for _, w := range r.workers {
		w.Crash()
	}
	for _, x := range r.proxies {
		x.Close()
	}
}

// catchUp is how long a core host counts as lost after it is back (DEPLOY, catch_up_s).
const catchUp = 4 * time.Second

// startUp is how long the programs may take until they handle signals. A SIGTERM before that ends a program that has taken
// no request yet (seed 3).
const startUp = time.Second

// disturb injects faults until ctx ends, and then removes what is left of them. At most one core host is disturbed at a
// time; faults of entry hosts and workers come in between and overlap.
func (r *run) disturb(ctx context.Context) error {
	var g errgroup.Group
	time.Sleep(startUp)
	coreFree := time.Now().Add(catchUp)
	busy := make([]time.Time, len(r.entries)+len(r.workers))
	for ctx.Err() == nil {
		wait := time.Duration(200+r.random.IntN(1200)) * time.Millisecond
		lasts := time.Duration(300+r.random.IntN(5000)) * time.Millisecond
		kind := r.random.IntN(100)
		switch {
		case kind < 35 && time.Now().After(coreFree):
			p, how := r.cores[r.random.IntN(len(r.cores))], r.random.IntN(5)
			fault := Fault(1 + r.random.IntN(int(faultEnd)-1))
			coreFree = time.Now().Add(lasts + 8*time.Second + catchUp) // A planned stop takes up to its grace period.
			r.faults++
			g.Go(func() error { return r.disturbProcess(p, how, fault, lasts) })
		case kind < 60:
			i := r.random.IntN(len(r.entries))
			if time.Now().Before(busy[i]) {
				break
			}
			p, how := r.entries[i], r.random.IntN(4)
			busy[i] = time.Now().Add(lasts + 8*time.Second)
			fault := Fault(1 + r.random.IntN(int(faultEnd)-1))
			r.faults++
			g.Go(func() error { return r.disturbProcess(p, how, fault, lasts) })
		case kind < 90:
			i := r.random.IntN(len(r.workers))
			if time.Now().Before(busy[len(r.entries)+i]) {
				break
			}
			busy[len(r.entries)+i] = time.Now().Add(lasts + 2*time.Second)
			fault := Fault(r.random.IntN(int(faultEnd)))
			r.faults++
			g.Go(func() error { return r.disturbWorker(i, fault, lasts) })
		}
		time.Sleep(wait)
	}
	return g.Wait()
}

// Ways to disturb a process.
const (
	howKill = iota
	howPause
	howProxy
	howStop
	howWipe // Core hosts only.
)

func (r *run) disturbProcess(p *process, how int, fault Fault, lasts time.Duration) error {
	switch how {
	case howPause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		p.signal(syscall.SIGCONT)
		return nil
	case howProxy:
		for _, x := range p.proxies {
			x.Set(fault)
		}
		time.Sleep(lasts)
		for _, x := range p.proxies {
			x.Set(Pass)
		}
		return nil
	case howStop:
		if err := p.end(syscall.SIGTERM, 7*time.Second); err != nil {
			r.checks.violate("%v", err)
		}
	default:
		if err := p.end(syscall.SIGKILL, 5*time.Second); err != nil {
			return err
		}
	}
	p.founding = false
	if how == howWipe {
		if err := os.RemoveAll(p.data()); err != nil {
			return err
		}
	}
	time.Sleep(lasts / 4)
	var seeds []string
	for _, c := range r.cores {
		seeds = append(seeds, c.ip)
	}
	if err := p.settings(r.ports, seeds); err != nil {
		return err
	}
	return p.start(r.ports)
}

func (r *run) disturbWorker(i int, fault Fault, lasts time.Duration) error {
	if fault != Pass {
		r.proxies[i].Set(fault)
		time.Sleep(lasts)
		r.proxies[i].Set(Pass)
		return nil
	}
	r.workers[i].Crash()
	time.Sleep(time.Second)
	return r.startWorker(i)
}
