package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// catchUpTime is how long a core host still counts as lost after it has come back, because it has to catch up with the
// others first. The deployment tolerates the loss of one core host at a time.
const catchUpTime = 4 * time.Second

// startupTime is how long the programs usually take until they handle signals, and startupLimit how long they may take
// on a busy machine. A SIGTERM or SIGHUP before that kills a program, which has taken no request yet, instead of stopping
// it cleanly, and the run would report that as a violation (regression seed 3).
const (
	startupTime  = time.Second
	startupLimit = 20 * time.Second
	startupCheck = 50 * time.Millisecond
)

// serviceLimit is how long the faults wait for the first configuration to be acknowledged.
const serviceLimit = 30 * time.Second

// Limits of the time that a process may take to end: after SIGTERM the grace period of the settings and a margin.
const (
	stopLimit = 7 * time.Second
	killLimit = 5 * time.Second
)

// ownEndPause is the time until a process is started again that has ended by itself.
const ownEndPause = 500 * time.Millisecond

// Bounds of the pause between two faults, and of the duration of a fault.
const (
	minPause    = 100 * time.Millisecond
	maxPause    = 900 * time.Millisecond
	minDuration = 300 * time.Millisecond
	maxDuration = 5300 * time.Millisecond
)

// faultKind is a kind of fault. inject returns when the fault is over.
type faultKind struct {
	name   string
	weight int // Relative frequency.
	inject func(*run, *rand.Rand) error
}

var faultKinds = []faultKind{
	{"core", 12, func(r *run, x *rand.Rand) error { return r.disturbCore(x, 1) }},
	{"core_series", 6, func(r *run, x *rand.Rand) error { return r.disturbCore(x, 2+x.IntN(3)) }},
	{"core_all_killed", 2, (*run).killAllCores},
	{"core_disk", 6, (*run).loseDisk},
	{"entry", 10, func(r *run, x *rand.Rand) error { return r.disturbEntry(x, 1) }},
	{"entry_series", 6, func(r *run, x *rand.Rand) error { return r.disturbEntry(x, 2+x.IntN(3)) }},
	{"hangup", 6, (*run).hangUp},
	{"worker_cut", 10, (*run).cutWorker},
	{"worker_crash", 10, (*run).crashWorker},
	{"worker_crash_cut", 8, (*run).crashWorkerBehindCut},
	{"worker_late", 10, (*run).delayWorkerCalls},
	{"worker_reports_lost", 4, (*run).loseReports},
	{"worker_leave", 6, func(r *run, x *rand.Rand) error { return r.leaveWorker(x, plannedDeparture(x)) }},
	{"worker_leave_short", 5, func(r *run, x *rand.Rand) error { return r.leaveWorker(x, shortDeparture(x)) }},
	{"worker_leave_unacked", 5, func(r *run, x *rand.Rand) error { return r.leaveWorker(x, unackedDeparture(x)) }},
	{"leader_and_cuts", 12, (*run).disturbLeaderAndCutWorkers},
	{"leader_and_departures", 6, (*run).disturbLeaderAndEmptyWorkers},
}

// AllKindsBut returns the names of all kinds of faults but the given ones, for Options.Without.
func AllKindsBut(names ...string) []string {
	var out []string
	for _, k := range faultKinds {
		if !slices.Contains(names, k.name) {
			out = append(out, k.name)
		}
	}
	return out
}

// injectFaults injects faults until ctx ends, and waits until all of them are over. The runs with an odd seed have a
// fault of at most one core host at a time, so that these may lose their data; in the others all faults may overlap.
func (r *run) injectFaults(ctx context.Context) error {
	var g errgroup.Group
	time.Sleep(startupTime)
	var kinds []faultKind
	for _, k := range faultKinds {
		if !slices.Contains(r.options.Without, k.name) {
			kinds = append(kinds, slices.Repeat([]faultKind{k}, k.weight)...)
		}
	}
	for n := uint64(1); ctx.Err() == nil && len(kinds) > 0; n++ {
		k := kinds[r.random.IntN(len(kinds))]
		random := rand.New(rand.NewPCG(r.options.Seed, 1_000_000+n)) // Independent of when the other faults draw.
		g.Go(func() error { return k.inject(r, random) })
		time.Sleep(between(r.random, minPause, maxPause))
	}
	return g.Wait()
}

// between draws a duration.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// began counts and logs a fault.
func (r *run) began(kind, what string) {
	r.mu.Lock()
	r.faults[kind]++
	r.mu.Unlock()
	r.logEvent("fault kind=%s %s", kind, what)
}

// overlaps tells whether faults of core hosts may overlap in this run.
func (r *run) overlaps() bool { return r.options.Seed%2 == 0 }

// beginCoreFault tells whether a fault of a core host may begin now. endCoreFault must follow if so.
func (r *run) beginCoreFault() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.overlaps() && (r.coreFaults > 0 || time.Since(r.coreFaultEnd) < catchUpTime) {
		return false
	}
	r.coreFaults++
	return true
}

func (r *run) endCoreFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coreFaults--
	r.coreFaultEnd = time.Now()
}

// Actions on the process of a host.
const (
	actionKill = iota
	actionPause
	actionProxy
	actionStop
	actionStopPaused
	actionWipe // Core hosts only.
)

var actionNames = [...]string{"kill", "pause", "proxy", "stop", "stop_paused", "wipe"}

// disturbCore injects a series of faults into one core host.
func (r *run) disturbCore(random *rand.Rand, n int) error {
	p := r.cores[random.IntN(len(r.cores))]
	actions := actionWipe
	if !r.overlaps() {
		actions++
	}
	return r.disturbCoreHost(p, random, n, func() int { return random.IntN(actions) })
}

// loseDisk ends a core host and starts it with an empty data folder.
func (r *run) loseDisk(random *rand.Rand) error {
	if r.overlaps() {
		return nil
	}
	return r.disturbCoreHost(r.cores[random.IntN(len(r.cores))], random, 1, func() int { return actionWipe })
}

func (r *run) disturbCoreHost(p *process, random *rand.Rand, n int, action func() int) error {
	if !r.beginCoreFault() {
		return nil
	}
	defer r.endCoreFault()
	return r.disturb(p, random, n, action)
}

func (r *run) disturbEntry(random *rand.Rand, n int) error {
	return r.disturb(r.entries[random.IntN(len(r.entries))], random, n, func() int { return random.IntN(actionWipe) })
}

// disturb injects a series of faults into a host.
func (r *run) disturb(p *process, random *rand.Rand, n int, action func() int) error {
	if !p.busy.TryLock() {
		return nil
	}
	defer p.busy.Unlock()
	for i := range n {
		if i > 0 {
			time.Sleep(startupTime + between(random, 0, startupTime))
		}
		if err := r.disturbOnce(p, random, action()); err != nil {
			return err
		}
	}
	return nil
}

// disturbOnce pauses the process of a host or disturbs its connections for a while, or ends the process and starts it
// again. After actionWipe it starts with an empty data folder.
func (r *run) disturbOnce(p *process, random *rand.Rand, action int) error {
	duration := between(random, minDuration, maxDuration)
	fault := Fault(1 + random.IntN(int(faultCount)-1))
	r.began("host_"+actionNames[action], p.name+" "+duration.Round(time.Millisecond).String()+" "+fault.String())
	switch action {
	case actionPause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
		return nil
	case actionProxy:
		p.setFault(fault)
		time.Sleep(duration)
		p.setFault(Pass)
		return nil
	case actionStopPaused:
		p.awaitStartup()
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration / 2)
		p.signal(syscall.SIGTERM)
		time.Sleep(duration / 2)
		r.stop(p)
	case actionStop:
		p.awaitStartup()
		r.stop(p)
	default:
		if err := p.signalAndWait(syscall.SIGKILL, killLimit); err != nil {
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
	return r.restart(p)
}

// endedByItself notes the end of a process that nobody asked for, and starts it again, as a platform does, unless a fault does.
func (r *run) endedByItself(p *process, cause error) {
	r.checks.addViolation("FAULT %s ended without a request to stop: %v", p.name, cause)
	time.Sleep(ownEndPause)
	p.busy.Lock()
	defer p.busy.Unlock()
	r.mu.Lock()
	closing := r.closing
	r.mu.Unlock()
	if closing || !p.hasEnded() {
		return
	}
	p.founding = false
	if err := r.restart(p); err != nil {
		r.checks.addViolation("%s could not be started again: %v", p.name, err)
	}
}

// stop stops a process as planned.
func (r *run) stop(p *process) {
	if err := p.signalAndWait(syscall.SIGTERM, stopLimit); err != nil {
		r.checks.addViolation("%v", err)
	}
}

// restart starts the process of a host that has ended.
func (r *run) restart(p *process) error {
	if err := p.writeSettings(r.ports, r.seedIPs()); err != nil {
		return err
	}
	r.logEvent("host_started host=%s", p.name)
	return p.start(r.ports)
}

// setFault sets the fault of the connections to a host.
func (p *process) setFault(f Fault) {
	for _, x := range p.proxies {
		x.SetFault(f)
	}
}

// killAllCores kills the processes of all core hosts at the same time and starts them again.
func (r *run) killAllCores(random *rand.Rand) error {
	if !r.overlaps() || !r.beginCoreFault() {
		return nil
	}
	defer r.endCoreFault()
	var g errgroup.Group
	for _, p := range r.cores {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		g.Go(func() error { return r.disturb(p, own, 1, func() int { return actionKill }) })
	}
	return g.Wait()
}

// hangUp changes the seeds in the settings of hosts and sends them SIGHUP, several times in a row, whatever else happens
// to them.
func (r *run) hangUp(random *rand.Rand) error {
	all := slices.Concat(r.cores, r.entries)
	p := all[random.IntN(len(all))]
	n := 1 + random.IntN(5)
	r.began("host_hangup", p.name)
	for range n {
		seeds := r.seedIPs()
		random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
		if p.busy.TryLock() { // Otherwise the process may be about to start, with settings of its own.
			err := p.writeSettings(r.ports, seeds[:2+random.IntN(2)])
			p.busy.Unlock()
			if err != nil {
				return err
			}
		}
		if p.startedUp() {
			p.signal(syscall.SIGHUP)
		}
		time.Sleep(between(random, time.Millisecond, 300*time.Millisecond))
	}
	return nil
}

// disturbLeader kills, pauses or stops the leader.
func (r *run) disturbLeader(random *rand.Rand) error {
	action := []int{actionKill, actionPause, actionStop}[random.IntN(3)]
	return r.disturbCoreHost(r.leader(random), random, 1, func() int { return action })
}
