// Package nodetest simulates several hosts and stand-in endpoints in one process, under a seeded schedule of messages,
// ticks, writes and faults. It is test support: the network, the disks and the clock are fakes, everything else is the
// production code.
package nodetest

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// One-way network delays. The delay between zones is that of the smaller deployment in operation.
const (
	delayWithinZone     = 100 * time.Microsecond
	delayBetweenZones   = 500 * time.Microsecond
	delayToClient       = time.Millisecond
	delayBetweenRegions = 15 * time.Millisecond
)

// Options describe a World.
type Options struct {
	Seed    uint64
	Hosts   []node.Peer
	Workers []WorkerSpec
	Cell    cell.Timing
	Replica replica.Timing
	// SnapshotEntries is small by default, so that hosts take and install snapshots during a run.
	SnapshotEntries int
	// SyncMax bounds the time that a sync takes.
	SyncMax time.Duration
	// Loss is the probability that a message between hosts is lost.
	Loss float64
}

// WorkerSpec describes a worker.
type WorkerSpec struct {
	ID           string
	Zone         string
	Rack         string
	Accelerators int
}

// World is one simulated run: the hosts, the endpoints, the network between them and the clock.
type World struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	queue     eventQueue
	sequence  uint64
	Hosts     map[string]*Host
	HostIDs   []string
	Endpoints map[string]*Endpoint
	Workers   []string
	cuts      map[link]bool
	outages   outages
	// checkpoints is shared by all endpoints, like a file system that all workers mount.
	checkpoints *standin.Checkpoints
	History     []history.Event
	calls       uint64
	// Problems are what the clients of the run found wrong.
	Problems []string
}

// link is one direction between two hosts, or between a host and a worker.
type link struct{ from, to string }

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// New returns a World in which nothing has been started.
func New(o Options) *World {
	if o.Cell == (cell.Timing{}) {
		o.Cell = cell.DefaultTiming
	}
	if o.Replica == (replica.Timing{}) {
		o.Replica = replica.DefaultTiming
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = 200
	}
	if o.SyncMax == 0 {
		o.SyncMax = 3 * time.Millisecond
	}
	w := &World{
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, 1)),
		Hosts:       map[string]*Host{},
		Endpoints:   map[string]*Endpoint{},
		cuts:        map[link]bool{},
		checkpoints: standin.NewCheckpoints(),
		outages:     outages{cut: map[string]int{}, down: map[string]bool{}},
	}
	for i, p := range o.Hosts {
		w.Hosts[p.ID] = newHost(w, p, uint64(i))
		w.HostIDs = append(w.HostIDs, p.ID)
	}
	for _, s := range o.Workers {
		w.Endpoints[s.ID] = newEndpoint(w, s)
		w.Workers = append(w.Workers, s.ID)
	}
	return w
}

// Start starts all hosts and endpoints.
func (w *World) Start() {
	for _, id := range w.HostIDs {
		w.Hosts[id].Start()
	}
	for _, id := range w.Workers {
		w.Endpoints[id].start()
	}
	w.watchOutages()
}

// Now returns the current time on the clock of the run.
func (w *World) Now() time.Duration { return w.now }

// Random returns the random source of the run.
func (w *World) Random() *rand.Rand { return w.random }

// After schedules a function to run after a duration.
func (w *World) After(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + d, sequence: w.sequence, run: run})
}

// Run advances the run by a duration.
func (w *World) Run(d time.Duration) {
	w.RunUntil(w.now+d, func() bool { return false })
}

// RunUntil advances the run until the condition holds or the time is reached, and returns whether the condition holds. The
// condition is evaluated every 10 ms.
func (w *World) RunUntil(end time.Duration, condition func() bool) bool {
	const every = 10 * time.Millisecond
	for w.now < end {
		if condition() {
			return true
		}
		w.runTo(min(w.now+every, end))
	}
	return condition()
}

func (w *World) runTo(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *World) record(e history.Event) {
	e.Time = int64(w.now)
	w.History = append(w.History, e)
}

// recordAt records an event of a host, whose clock is that of the run. The history stays ordered by time.
func (w *World) recordAt(e history.Event) {
	if e.Time == 0 {
		w.record(e)
		return
	}
	i := len(w.History)
	for i > 0 && w.History[i-1].Time > e.Time {
		i--
	}
	w.History = slices.Insert(w.History, i, e)
}

// Cut stops messages from one host or worker to another. Only this direction is cut.
func (w *World) Cut(from, to string) { w.cuts[link{from, to}] = true }

// CutZone cuts a zone off from all other zones, in both directions.
func (w *World) CutZone(zone string) {
	for _, a := range w.HostIDs {
		for _, b := range w.HostIDs {
			if (w.Hosts[a].Peer.Zone == zone) != (w.Hosts[b].Peer.Zone == zone) {
				w.Cut(a, b)
			}
		}
	}
}

// Heal ends all cuts.
func (w *World) Heal() { clear(w.cuts) }

func (w *World) jitter(d time.Duration) time.Duration {
	return d + time.Duration(w.random.Int64N(int64(d)+1))
}

func (w *World) delay(from, to *Host) time.Duration {
	switch {
	case from.Peer.Zone == to.Peer.Zone:
		return w.jitter(delayWithinZone)
	case from.Peer.Region != to.Peer.Region:
		return w.jitter(delayBetweenRegions)
	}
	return w.jitter(delayBetweenZones)
}

// Fault records that a fault was injected.
func (w *World) Fault(message string) {
	w.record(history.Event{Kind: history.Fault, Message: message})
}

// Lease returns the task lease of the run.
func (w *World) Lease() time.Duration { return w.options.Cell.Lease }

// RecordEnd records that the run was observed until now, so that the checkers check the bounds that end before.
func (w *World) RecordEnd() { w.record(history.Event{Kind: history.RunEnded}) }
