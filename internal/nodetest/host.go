package nodetest

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// Host is one host of the run with its disk.
type Host struct {
	Peer node.Peer
	Node *node.Node

	world           *World
	random          *rand.Rand
	disk            [][]byte // Synced records since the last replacement, CBOR-coded.
	diskIncarnation uint64   // Incarnation on the disk, 0 for an empty folder.
	pending         []write
	generation      int // Incremented by each crash; events of earlier generations are dropped.
	up              bool
	frozen          bool
	deferred        []func()                              // Steps that wait until the frozen process thaws.
	responses       map[uint64]func(node.Response)        // Functions that take the responses to callers, by request.
	reports         map[uint64]func(node.RespondEndpoint) // Functions that take the replies to endpoints, by report.
	nextID          uint64
	haltCause       string
	failSync        bool
}

type write struct {
	seq     uint64
	data    [][]byte
	replace bool
}

func newHost(w *World, p node.Peer, index uint64) *Host {
	h := &Host{Peer: p, world: w, random: rand.New(rand.NewPCG(w.options.Seed, 1000+index))}
	if p.Disk {
		h.diskIncarnation = replica.FoundingIncarnation
	}
	return h
}

// Up tells whether the host's process runs.
func (h *Host) Up() bool { return h.up }

// Frozen tells whether the process is frozen.
func (h *Host) Frozen() bool { return h.frozen }

// HaltCause returns why the process halted itself, or "".
func (h *Host) HaltCause() string { return h.haltCause }

// Start starts the process with the state on its disk.
func (h *Host) Start() {
	if h.up {
		return
	}
	incarnation := h.incarnation()
	h.up, h.frozen, h.haltCause, h.failSync = true, false, "", false
	h.responses = map[uint64]func(node.Response){}
	h.reports = map[uint64]func(node.RespondEndpoint){}
	h.Node = node.New(node.Settings{
		Self:            h.Peer,
		Peers:           h.world.options.Hosts,
		Incarnation:     incarnation,
		Replica:         h.world.options.Replica,
		Cell:            h.world.options.Cell,
		Random:          h.random.Int64N,
		SnapshotEntries: h.world.options.SnapshotEntries,
	}, h.restored(), h.world.now)
	h.tick(h.generation)
}

func (h *Host) incarnation() uint64 {
	if h.Peer.Disk && h.diskIncarnation != 0 {
		return h.diskIncarnation
	}
	fresh := h.random.Uint64()>>1 + 2
	if h.Peer.Disk {
		h.diskIncarnation = fresh
	}
	return fresh
}

func (h *Host) restored() map[replica.GroupID]*replica.Restored {
	groups := map[replica.GroupID]*replica.Restored{}
	for _, data := range h.disk {
		var r replica.Record
		if err := cbor.Unmarshal(data, &r); err != nil {
			panic(err)
		}
		if groups[r.Group] == nil {
			groups[r.Group] = &replica.Restored{}
		}
		groups[r.Group].Apply(r)
	}
	return groups
}

// Crash kills the process. Of the writes that were not synced, a random number is kept, oldest first.
func (h *Host) Crash() {
	if !h.up {
		return
	}
	kept := 0
	if len(h.pending) > 0 {
		kept = h.random.IntN(len(h.pending) + 1)
	}
	for _, p := range h.pending[:kept] {
		h.applyWrite(p)
	}
	h.pending = nil
	h.up, h.frozen = false, false
	h.deferred = nil
	h.generation++
}

// Wipe deletes the data folder of a host that is down.
func (h *Host) Wipe() {
	h.disk, h.diskIncarnation = nil, 0
}

// FailSync makes all syncs fail from now on, until the next start.
func (h *Host) FailSync() { h.failSync = true }

// Freeze suspends the process, as SIGSTOP does. Messages that it was about to send are sent after Thaw.
func (h *Host) Freeze() { h.frozen = h.up }

// Thaw resumes a frozen process.
func (h *Host) Thaw() {
	h.frozen = false
	waiting := h.deferred
	h.deferred = nil
	for _, run := range waiting {
		h.runUnlessKilled(h.generation, run)
	}
}

// runUnlessKilled runs a step of the process, later if it is frozen, and never if it was killed since.
func (h *Host) runUnlessKilled(generation int, run func()) {
	switch {
	case !h.up || generation != h.generation:
	case h.frozen:
		h.deferred = append(h.deferred, run)
	default:
		run()
	}
}

func (h *Host) after(d time.Duration, run func()) {
	generation := h.generation
	h.world.After(d, func() { h.runUnlessKilled(generation, run) })
}

func (h *Host) tick(generation int) {
	if generation != h.generation {
		return
	}
	h.Input(node.Tick{})
	period := node.TickPeriod + time.Duration(h.random.Int64N(int64(time.Millisecond)))
	h.after(period, func() { h.tick(generation) })
}

// Input passes an input to the node and executes its outputs.
func (h *Host) Input(in node.Input) {
	if !h.up {
		return
	}
	for _, o := range h.Node.Handle(h.world.now, in) {
		h.output(o)
	}
}

func (h *Host) output(o node.Output) {
	switch o := o.(type) {
	case node.Send:
		h.send(o)
	case node.Persist:
		h.persist(o)
	case node.Respond:
		h.respond(o)
	case node.RespondEndpoint:
		h.respondEndpoint(o)
	case node.CallEndpoint:
		h.callEndpoint(o)
	case node.RecordEvent:
		h.world.recordAt(o.Event)
	case node.Halt:
		h.haltCause = o.Cause
		if o.Planned && len(h.responses) > 0 {
			h.world.addProblem("the planned stop of %s cut %d calls", h.Peer.ID, len(h.responses))
		}
		h.after(0, h.Crash)
	}
}

// maxSendDelay bounds the time between a decision of the node and the sending of its message. A host that is frozen in
// between sends the message after it has thawed.
const maxSendDelay = 200 * time.Microsecond

func (h *Host) send(o node.Send) {
	w := h.world
	to := w.Hosts[o.To]
	h.after(time.Duration(h.random.Int64N(int64(maxSendDelay))), func() {
		if w.cuts[link{h.Peer.ID, o.To}] || w.random.Float64() < w.options.Loss {
			return
		}
		w.After(w.delay(h, to), func() {
			to.runUnlessKilled(to.generation, func() { to.Input(node.PeerMessage{From: h.Peer.ID, Payload: o.Payload}) })
		})
	})
}

func (h *Host) persist(o node.Persist) {
	if !h.Peer.Disk {
		h.after(0, func() { h.Input(node.Persisted{Seq: o.Seq}) })
		return
	}
	p := write{seq: o.Seq, replace: o.Replace}
	for _, r := range o.Records {
		data, err := cbor.Marshal(r)
		if err != nil {
			panic(err)
		}
		p.data = append(p.data, data)
	}
	h.pending = append(h.pending, p)
	h.after(time.Duration(h.random.Int64N(int64(h.world.options.SyncMax))), func() { h.syncUpTo(o.Seq) })
}

// syncUpTo completes all writes up to seq, because the disk syncs in order.
func (h *Host) syncUpTo(seq uint64) {
	if h.failSync {
		h.Input(node.PersistFailed{Seq: seq, Cause: "injected"})
		return
	}
	done := false
	for len(h.pending) > 0 && h.pending[0].seq <= seq {
		h.applyWrite(h.pending[0])
		h.pending = h.pending[1:]
		done = true
	}
	if done {
		h.Input(node.Persisted{Seq: seq})
	}
}

func (h *Host) applyWrite(p write) {
	if p.replace {
		h.disk = nil
	}
	h.disk = append(h.disk, p.data...)
}

func (h *Host) respond(o node.Respond) {
	done := h.responses[o.ID]
	delete(h.responses, o.ID)
	if done == nil {
		return
	}
	h.after(0, func() { h.world.After(h.world.jitter(delayToClient), func() { done(o.Response) }) })
}

func (h *Host) respondEndpoint(o node.RespondEndpoint) {
	done := h.reports[o.ID]
	delete(h.reports, o.ID)
	if done == nil {
		return
	}
	h.after(0, func() { done(o) })
}

func (h *Host) callEndpoint(o node.CallEndpoint) {
	w := h.world
	e := w.Endpoints[o.Address]
	generation := h.generation
	answered := false
	finish := func(r *endpoint.Reply) {
		if answered {
			return
		}
		answered = true
		h.runUnlessKilled(generation, func() { h.Input(node.CallDone{ID: o.ID, Reply: r}) })
	}
	w.After(o.Timeout, func() { finish(nil) })
	h.after(time.Duration(h.random.Int64N(int64(maxSendDelay))), func() {
		e.call(h, o.Call, finish)
	})
}
