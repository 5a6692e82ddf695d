package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// Times of worker faults.
const (
	restartTime   = 2 * time.Second // Longest time until a worker that has crashed starts again.
	drainTime     = 2 * time.Second // Shortest time for which a worker serves after it has announced its departure.
	extraDrain    = 6 * time.Second // Longest time for which it serves in addition to drainTime.
	shortNotice   = 500 * time.Millisecond
	minLinger     = time.Second
	maxLinger     = 6 * time.Second
	noticeLimit   = 20 * time.Second       // Longest time for which a worker repeats the announcement of its departure.
	cutBefore     = 800 * time.Millisecond // Longest time between a cut and a fault of the leader that follows it.
	cutAfterwards = 5 * time.Second        // Longest time between a fault of the leader and a cut that follows it.
	longestCut    = 9 * time.Second
)

// randomWorker returns a worker.
func (r *run) randomWorker(random *rand.Rand) *workerSlot {
	return r.workers[random.IntN(len(r.workers))]
}

// randomWorkers returns at least one worker, and with equal odds few or most of them.
func (r *run) randomWorkers(random *rand.Rand) []*workerSlot {
	n := 1 + random.IntN(3)
	if random.IntN(2) == 0 {
		n = 1 + random.IntN(len(r.workers))
	}
	var out []*workerSlot
	for _, i := range random.Perm(len(r.workers))[:min(n, len(r.workers))] {
		out = append(out, r.workers[i])
	}
	return out
}

// randomCut returns a fault that cuts connections: more often one way than both.
func randomCut(random *rand.Rand) Fault {
	if random.IntN(3) == 0 {
		return Silent
	}
	return OneWay
}

func (r *run) cutWorker(random *rand.Rand) error {
	s := r.randomWorker(random)
	if !s.busy.TryLock() {
		return nil
	}
	defer s.busy.Unlock()
	s.cut(Fault(1+random.IntN(int(faultCount)-1)), between(random, minDuration, longestCut), random.IntN(2) == 0)
	return nil
}

// cut disturbs the connections to a worker, and on request loses its reports, for a while.
func (s *workerSlot) cut(fault Fault, d time.Duration, reportsLost bool) {
	w := s.current()
	s.run.began("worker_"+fault.String(), fmt.Sprintf("%s %v reports_lost=%v", w.Incarnation().ID, d.Round(time.Millisecond), reportsLost))
	s.proxy.SetFault(fault)
	w.LoseReports(reportsLost)
	time.Sleep(d)
	s.proxy.SetFault(Pass)
	w.LoseReports(false)
	s.run.logEvent("worker_cut_over worker=%s", w.Incarnation().ID)
}

func (r *run) crashWorker(random *rand.Rand) error {
	s := r.randomWorker(random)
	if !s.busy.TryLock() {
		return nil
	}
	defer s.busy.Unlock()
	r.began("worker_crash", s.current().Incarnation().ID)
	return s.crashAndRestart(random)
}

// crashAndRestart crashes a worker and starts another incarnation, which in two of three cases has the same identifier.
func (s *workerSlot) crashAndRestart(random *rand.Rand) error {
	s.crash()
	time.Sleep(between(random, 0, restartTime))
	return s.startWorker(random.IntN(3) == 0)
}

// crashWorkerBehindCut cuts off a worker, and crashes and restarts it before the cut ends.
func (r *run) crashWorkerBehindCut(random *rand.Rand) error {
	s := r.randomWorker(random)
	if !s.busy.TryLock() {
		return nil
	}
	defer s.busy.Unlock()
	fault := randomCut(random)
	r.began("worker_crash_cut", s.current().Incarnation().ID+" "+fault.String())
	s.proxy.SetFault(fault)
	defer s.proxy.SetFault(Pass)
	s.current().LoseReports(random.IntN(2) == 0)
	time.Sleep(between(random, 0, 3*time.Second))
	if err := s.crashAndRestart(random); err != nil {
		return err
	}
	s.current().LoseReports(random.IntN(2) == 0)
	time.Sleep(between(random, 0, 3*time.Second))
	s.current().LoseReports(false)
	r.logEvent("worker_cut_over worker=%s", s.current().Incarnation().ID)
	return nil
}

func (r *run) delayWorkerCalls(random *rand.Rand) error {
	kinds := lateKinds(1 + random.IntN(int(lateKindsCount)-1))
	d := between(random, minDuration, maxDuration)
	workers := r.randomWorkers(random)
	r.began("worker_late", fmt.Sprintf("kinds=%d workers=%d %v", kinds, len(workers), d.Round(time.Millisecond)))
	for _, s := range workers {
		s.delayCalls(kinds, d)
	}
	return nil
}

func (r *run) loseReports(random *rand.Rand) error {
	s := r.randomWorker(random)
	if !s.busy.TryLock() {
		return nil
	}
	defer s.busy.Unlock()
	w := s.current()
	r.began("worker_reports_lost", w.Incarnation().ID)
	w.LoseReports(true)
	time.Sleep(between(random, minDuration, maxDuration))
	w.LoseReports(false)
	return nil
}

func plannedDeparture(random *rand.Rand) fleet.Departure {
	return fleet.Departure{Serves: drainTime + between(random, 0, extraDrain), Lingers: between(random, minLinger, maxLinger)}
}

func shortDeparture(random *rand.Rand) fleet.Departure {
	return fleet.Departure{Unannounced: true, Serves: between(random, 0, shortNotice), Lingers: between(random, minLinger, maxLinger)}
}

func unackedDeparture(random *rand.Rand) fleet.Departure {
	d := plannedDeparture(random)
	if random.IntN(2) == 0 {
		d = shortDeparture(random)
	}
	d.AckLost = true
	return d
}

func (r *run) leaveWorker(random *rand.Rand, d fleet.Departure) error {
	s := r.randomWorker(random)
	if !s.busy.TryLock() {
		return nil
	}
	defer s.busy.Unlock()
	r.began("worker_leave", s.current().Incarnation().ID)
	// A worker ends, with or without an acknowledgement.
	ctx, cancel := context.WithTimeout(context.Background(), noticeLimit+d.Serves+d.Lingers)
	defer cancel()
	return s.leave(ctx, d, between(random, 0, restartTime))
}

// disturbLeaderAndCutWorkers kills, pauses or stops the leader, and cuts off workers shortly before or after that.
func (r *run) disturbLeaderAndCutWorkers(random *rand.Rand) error {
	var g errgroup.Group
	leaderRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
	first, last := time.Duration(0), 2*cutBefore
	if random.IntN(2) == 0 {
		first, last = 2*cutBefore, cutBefore+cutAfterwards
	}
	for _, s := range r.randomWorkers(random) {
		wait, fault, d, lost := between(random, first, last), randomCut(random), between(random, minDuration, longestCut), random.IntN(2) == 0
		g.Go(func() error {
			time.Sleep(wait)
			if s.busy.TryLock() {
				defer s.busy.Unlock()
				s.cut(fault, d, lost)
			}
			return nil
		})
	}
	time.Sleep(cutBefore)
	g.Go(func() error { return r.disturbLeader(leaderRandom) })
	return g.Wait()
}

// disturbLeaderAndEmptyWorkers kills, pauses or stops the leader while several workers leave.
func (r *run) disturbLeaderAndEmptyWorkers(random *rand.Rand) error {
	var g errgroup.Group
	leaderRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
	for range 1 + random.IntN(max(1, len(r.workers)/2)) {
		own := rand.New(rand.NewPCG(random.Uint64(), 0))
		d := shortDeparture(own)
		if own.IntN(2) == 0 {
			d = plannedDeparture(own)
			d.Serves = drainTime + between(own, 0, time.Second)
		}
		g.Go(func() error { return r.leaveWorker(own, d) })
	}
	time.Sleep(between(random, 0, drainTime+time.Second))
	g.Go(func() error { return r.disturbLeader(leaderRandom) })
	return g.Wait()
}
