package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// Times of the faults between the ends of two members.
const (
	frozenTime   = 2 * time.Second
	loseEndLimit = 3 * time.Second
)

var leadershipBegan = regexp.MustCompile(`event=leadership_began .*term=(\d+)`)

// gangFaults are the faults between the ends of two members.
var gangFaults = []struct {
	name string
	act  func(*gangRound) error
}{
	{"nothing", func(*gangRound) error { return nil }},
	{"leader_killed", func(g *gangRound) error { return g.kill(g.leader()) }},
	{"leader_frozen", (*gangRound).freezeLeader},
	{"leader_cut", (*gangRound).cutLeader},
	{"cores_cut", (*gangRound).cutCores},
	{"workers_cut", (*gangRound).cutWorkers},
	{"cores_killed", (*gangRound).killCores},
	{"reported_restarts", func(g *gangRound) error { return g.crash(true) }},
	{"unreported_restarts", func(g *gangRound) error { return g.crash(false) }},
	{"end_lost", (*gangRound).loseEnd},
	{"worker_leaves", (*gangRound).leave},
	{"config_changed", (*gangRound).changeAttempts},
	{"member_early", func(*gangRound) error { return nil }},
	{"member_early_leader_frozen", (*gangRound).freezeLeader},
	{"overlapping", (*gangRound).overlap},
	{"upgrade", (*gangRound).upgrade},
}

// sendConfig changes the configuration. The queue of n attempts allows so many more.
func (g *gangRound) sendConfig(more int) error {
	ctx, cancel := context.WithTimeout(context.Background(), serviceLimit)
	defer cancel()
	*g.version++
	var list []fleet.QueueRoute
	for n := 1; n <= mostAttempts; n++ {
		list = append(list, fleet.QueueRoute{Prefix: fmt.Sprintf("/g%d/", n), Priority: 1, Attempts: max(1, n+more)})
	}
	op := &fleet.Operator{ControlAddresses: g.run.controlAddresses()}
	if status := op.Send(ctx, http.MethodPut, "/config", fleet.ConfigBody(*g.version, hostName, service, list, apiKey)); status != http.StatusOK {
		return fmt.Errorf("configuration %d was answered with status %d", *g.version, status)
	}
	time.Sleep(configApplyLimit)
	return nil
}

// changeAttempts raises or lowers the number of failed runs that the queues allow. That of an accepted job stays.
func (g *gangRound) changeAttempts() error { return g.sendConfig(pick(g.random, []int{2, -2})) }

func (g *gangRound) kill(p *process) error {
	if !p.busy.TryLock() {
		return nil
	}
	defer p.busy.Unlock()
	g.run.logEvent("killed host=%s", p.name)
	if err := p.signalAndWait(syscall.SIGKILL, killLimit); err != nil {
		return err
	}
	p.founding = false
	time.Sleep(pick(g.random, []time.Duration{0, 300 * time.Millisecond, time.Second}))
	return g.run.restart(p)
}

func (g *gangRound) freezeLeader() error {
	p := g.leader()
	if !p.busy.TryLock() {
		return nil
	}
	defer p.busy.Unlock()
	g.run.logEvent("frozen host=%s", p.name)
	p.signal(syscall.SIGSTOP)
	time.Sleep(frozenTime)
	p.signal(syscall.SIGCONT)
	return nil
}

// cutLeader cuts off the leader from the other core hosts, which elect another one. Workers and entry hosts reach all of them.
func (g *gangRound) cutLeader() error {
	leader := g.leader()
	if !leader.busy.TryLock() {
		return nil
	}
	defer leader.busy.Unlock()
	d := between(g.random, 2*time.Second, 5*time.Second)
	g.run.logEvent("leader_cut host=%s %v", leader.name, d.Round(time.Millisecond))
	for _, p := range g.run.cores {
		if p != leader {
			p.proxies[0].SetSilentFor(leader.pid())
		}
	}
	leader.proxies[0].SetFault(Silent)
	time.Sleep(d)
	for _, p := range g.run.cores {
		p.proxies[0].SetFault(Pass)
	}
	return nil
}

// cutCores cuts off the core hosts from each other.
func (g *gangRound) cutCores() error {
	return g.cut(func(f Fault) {
		for _, p := range g.run.cores {
			p.proxies[0].SetFault(f)
		}
	})
}

// cutWorkers cuts off the core hosts from the workers.
func (g *gangRound) cutWorkers() error {
	return g.cut(func(f Fault) {
		for _, s := range g.run.workers {
			s.proxy.SetFault(f)
			s.current().LoseReports(f != Pass)
		}
	})
}

func (g *gangRound) cut(set func(Fault)) error {
	f, d := randomCut(g.random), between(g.random, time.Second, 4*time.Second)
	g.run.logEvent("cut fault=%s %v", f, d.Round(time.Millisecond))
	set(f)
	time.Sleep(d)
	set(Pass)
	return nil
}

func (g *gangRound) killCores() error { return g.killAll(g.run.cores) }

func (g *gangRound) killAll(list []*process) error {
	var all errgroup.Group
	for _, p := range list {
		own := g.fork()
		all.Go(func() error { return own.kill(p) })
	}
	return all.Wait()
}

// upgrade kills the hosts of the version before and starts those of the present one on the same data.
func (g *gangRound) upgrade() error {
	all := slices.Concat(g.run.cores, g.run.entries)
	for _, p := range all {
		p.program = g.run.options.Program // The kill follows at once, and the start after it.
	}
	return g.killAll(all)
}

// leader returns the core host whose log tells of the highest term that it has led, or any.
func (g *gangRound) leader() *process {
	out, highest := pick(g.random, g.run.cores), 0
	for _, p := range g.run.cores {
		data, err := os.ReadFile(p.log.Name())
		if err != nil {
			continue // The other logs tell.
		}
		for _, m := range leadershipBegan.FindAllSubmatch(data, -1) {
			if term, err := strconv.Atoi(string(m[1])); err == nil && term > highest {
				out, highest = p, term
			}
		}
	}
	return out
}

// fork returns a round for a fault that runs beside others.
func (g *gangRound) fork() *gangRound {
	return &gangRound{run: g.run, random: rand.New(rand.NewPCG(g.random.Uint64(), 0))}
}

// member returns the worker of a member that has failed, or else of one that runs, nil if there is none.
func (g *gangRound) member(failed bool) *workerSlot {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.unreported
	if failed {
		list = g.reported
	}
	if len(list) == 0 {
		g.run.logEvent("no_member failed=%v", failed)
		return nil
	}
	return list[len(list)-1]
}

// crash crashes the worker of a member and starts it again.
func (g *gangRound) crash(failed bool) error {
	s := g.member(failed)
	if s == nil {
		return nil
	}
	return s.crashAndRestart(g.random)
}

// loseEnd cuts off the worker of a member until the member has failed, and crashes it before its end is reported.
func (g *gangRound) loseEnd() error {
	s := g.member(false)
	if s == nil {
		return nil
	}
	s.proxy.SetFault(Silent)
	defer s.proxy.SetFault(Pass)
	w := s.current()
	w.LoseReports(true)
	for end := time.Now().Add(loseEndLimit); time.Now().Before(end) && !g.hasFailed(w.Incarnation().ID); {
		time.Sleep(gangPeriod)
	}
	return s.crashAndRestart(g.random)
}

func (g *gangRound) hasFailed(worker string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, failed := g.failedOn[worker]
	return failed
}

// leave lets the worker of a member that runs leave the fleet.
func (g *gangRound) leave() error {
	s := g.member(false)
	if s == nil {
		return nil
	}
	d := plannedDeparture(g.random)
	ctx, cancel := context.WithTimeout(context.Background(), noticeLimit+d.Serves+d.Lingers)
	defer cancel()
	return s.leave(ctx, d, between(g.random, 0, restartTime))
}

// overlap kills, freezes and cuts off the leader in series that overlap.
func (g *gangRound) overlap() error {
	var all errgroup.Group
	for range 3 {
		own := g.fork()
		all.Go(func() error {
			for range 2 {
				time.Sleep(between(own.random, 0, 1500*time.Millisecond))
				act := pick(own.random, []func() error{own.freezeLeader, own.cutLeader, own.cutCores, own.cutWorkers, func() error { return own.kill(own.leader()) }})
				if err := act(); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return all.Wait()
}
