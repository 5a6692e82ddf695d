package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// stopGrace is the longest time that an attempt takes to stop.
const stopGrace = 900 * time.Millisecond

// Bounds of the time by which calls to workers are carried out late.
const (
	latestCall   = 12 * time.Second
	earliestCall = 2 * time.Second
)

// How long and how often a worker that starts tries to listen at an address that is in use.
const (
	listenLimit = 10 * time.Second
	listenRetry = 50 * time.Millisecond
)

// lateKinds are the kinds of calls of which some are carried out late.
type lateKinds int

const (
	lateNone lateKinds = iota
	lateOrders
	lateHolds
	lateAll
	lateKindsCount
)

// lateShare is the share of the calls that are carried out late.
const lateShare = 0.4

// workerSlot is an address at which one incarnation of a worker after the other runs, behind a proxy.
type workerSlot struct {
	run   *run
	index int
	proxy *Proxy

	busy sync.Mutex // Held by the fault that disturbs the connections or ends the worker.

	mu        sync.Mutex
	worker    *fleet.Worker
	id        string
	random    *rand.Rand
	late      lateKinds
	lateUntil time.Time
	lastID    int
}

// addWorker adds a slot and starts a worker in it.
func (r *run) addWorker(i int) error {
	s := &workerSlot{run: r, index: i, random: rand.New(rand.NewPCG(r.options.Seed, uint64(1000+i)))}
	var err error
	if s.proxy, err = NewProxy(s.address(r.ports.control), s.address(r.ports.front)); err != nil {
		return err
	}
	r.workers = append(r.workers, s)
	return s.startWorker(true)
}

func (s *workerSlot) address(port int) string {
	return fmt.Sprintf("%s:%d", s.run.ip(workerNetwork, s.index), port)
}

// startWorker starts an incarnation of a worker, with a new identifier or the one that the last incarnation had.
func (s *workerSlot) startWorker(newID bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if newID {
		s.lastID++
		s.id = fmt.Sprintf("i-%d-%d", s.index, s.lastID)
	}
	options := fleet.WorkerOptions{
		ID: s.id, Zone: fmt.Sprintf("z%d", s.index%2), Rack: s.rack(), Service: service, Listen: s.address(s.run.ports.front), Advertise: s.address(s.run.ports.control),
		ControlAddresses: s.run.controlAddresses(), ClockRate: 0.98 + 0.02*s.random.Float64(), Gangs: s.run.gangs, GangsLock: &s.run.gangsLock,
		Start: s.run.start, StopTime: s.stopTime, LateBy: s.lateBy, OnLeader: s.run.setLeader,
	}
	w, err := fleet.StartWorker(options)
	// A process that is being started holds the listeners of this one for a moment.
	for end := time.Now().Add(listenLimit); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		time.Sleep(listenRetry)
		w, err = fleet.StartWorker(options)
	}
	if err != nil {
		return err
	}
	s.worker = w
	s.run.logEvent("worker_started worker=%s born_ms=%d address=%s", s.id, w.Incarnation().BornMS, s.address(s.run.ports.control))
	return nil
}

// rack returns the rack, which is a label of the worker. In RunGangs each worker has its own.
func (s *workerSlot) rack() string {
	if s.run.options.GangRounds > 0 {
		return fmt.Sprintf("r%d", s.index)
	}
	return "r"
}

func (s *workerSlot) stopTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(stopGrace)))
}

// lateBy decides by how much a call is carried out late.
func (s *workerSlot) lateBy(kind dispatch.CallKind) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	affected := s.late == lateAll || (s.late == lateHolds) == (kind == dispatch.CallHold)
	if s.late == lateNone || !affected || time.Now().After(s.lateUntil) || s.random.Float64() >= lateShare {
		return 0
	}
	late := earliestCall + time.Duration(s.random.Int64N(int64(latestCall-earliestCall)))
	s.run.logEvent("call_delayed worker=%s kind=%s by=%v", s.id, kind, late.Round(time.Millisecond))
	return late
}

// delayCalls makes some calls of the given kinds late for a duration.
func (s *workerSlot) delayCalls(kinds lateKinds, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late, s.lateUntil = kinds, time.Now().Add(d)
}

// current returns the worker that runs, or ran last, in the slot.
func (s *workerSlot) current() *fleet.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worker
}

func (s *workerSlot) end() {
	s.current().Crash()
	s.proxy.Close()
}

// crash ends the worker without notice.
func (s *workerSlot) crash() {
	s.run.logEvent("worker_crashed worker=%s", s.current().Incarnation().ID)
	s.current().Crash()
}

// leave lets the worker leave the fleet and starts another one in the slot after a while.
func (s *workerSlot) leave(ctx context.Context, d fleet.Departure, absence time.Duration) error {
	id := s.current().Incarnation().ID
	s.run.logEvent("worker_leaves worker=%s %+v", id, d)
	s.current().Leave(ctx, d)
	s.run.logEvent("worker_left worker=%s", id)
	time.Sleep(absence)
	return s.startWorker(true)
}
