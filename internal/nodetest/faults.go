package nodetest

import (
	"fmt"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// FaultKind names a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	KillHost       FaultKind = "kill host"
	KillLeader     FaultKind = "kill leader"
	KillAll        FaultKind = "kill all hosts"
	LoseDisk       FaultKind = "lose data folder"
	FailSync       FaultKind = "fail sync"
	CutZone        FaultKind = "cut zone off"
	CutAll         FaultKind = "cut all zones off"
	CutOneWay      FaultKind = "cut one way"
	FreezeLeader   FaultKind = "freeze leader"
	ZoneOut        FaultKind = "take zone out"
	WorkerFaults   FaultKind = "endpoint misbehaves"
	WorkerRestarts FaultKind = "endpoint restarts without notice"
	WorkerLeaves   FaultKind = "endpoint leaves"
	CancelWave     FaultKind = "cancellation wave"
	Burst          FaultKind = "burst"
	PlannedStop    FaultKind = "planned stop"
)

// AllFaults lists every kind.
var AllFaults = []FaultKind{KillHost, KillLeader, KillAll, LoseDisk, FailSync, CutZone, CutAll, CutOneWay, FreezeLeader,
	ZoneOut, WorkerFaults, WorkerRestarts, WorkerLeaves, CancelWave, Burst, PlannedStop}

// Faults injects faults of the given kinds at random times, and ends each after a random time.
type Faults struct {
	world    *World
	load     *Load
	kinds    []FaultKind
	until    time.Duration // Time at which the injection ends; Restore sets it to 0, which also ends resends of zone commands.
	commands int
	// readmissionPending is set from the loss of a disk until the wiped host is a voter again. A group of three cannot
	// survive the loss of a second disk in that time.
	readmissionPending bool
	// Injected counts the faults by kind.
	Injected map[FaultKind]int
}

// Time limits of the recovery after the faults.
const (
	readyLimit = 30 * time.Second
	stopLimit  = 35 * time.Second // Additional time for a planned stop that is in progress.
)

// Bounds of the pause between faults and of the length of a fault.
const (
	faultPauseMin  = time.Second
	faultPauseMax  = 4 * time.Second
	faultLengthMin = 500 * time.Millisecond
	faultLengthMax = 8 * time.Second
)

// StartFaults injects faults for a duration from now.
func (w *World) StartFaults(l *Load, kinds []FaultKind, duration time.Duration) *Faults {
	f := &Faults{world: w, load: l, kinds: kinds, until: w.now + duration, Injected: map[FaultKind]int{}}
	w.After(f.between(faultPauseMin, faultPauseMax), f.step)
	return f
}

func (f *Faults) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.world.random.Int64N(int64(high-low)))
}

func (f *Faults) step() {
	w := f.world
	if w.now >= f.until || len(f.kinds) == 0 {
		return
	}
	kind := f.kinds[w.random.IntN(len(f.kinds))]
	length := f.between(faultLengthMin, faultLengthMax)
	if f.inject(kind, length) {
		f.Injected[kind]++
	}
	w.After(f.between(faultPauseMin, faultPauseMax), f.step)
}

// inject injects one fault that ends after length. It returns false if the fault is not possible at the moment.
func (f *Faults) inject(kind FaultKind, length time.Duration) bool {
	w := f.world
	host := w.Hosts[w.HostIDs[w.random.IntN(len(w.HostIDs))]]
	zone := host.Peer.Zone
	switch kind {
	case KillHost:
		return f.kill(host, length)
	case KillLeader:
		return f.kill(w.LeaderOf(f.randomGroup()), length)
	case KillAll:
		for _, id := range w.HostIDs {
			f.kill(w.Hosts[id], length)
		}
		return true
	case LoseDisk:
		return f.loseDisk(host, length)
	case FailSync:
		return f.failSync(host, length)
	case CutZone:
		w.Fault("cut zone " + zone)
		w.CutZone(zone)
		w.healAfter(length, zone)
		return true
	case CutAll:
		w.Fault("cut all zones")
		for _, z := range w.Zones() {
			w.CutZone(z)
		}
		w.healAfter(length, w.Zones()...)
		return true
	case CutOneWay:
		return f.cutOneWay(host, length)
	case FreezeLeader:
		return f.freeze(w.LeaderOf(f.randomGroup()), length+3*time.Second)
	case ZoneOut:
		return f.zoneOut(zone, length)
	case WorkerFaults, WorkerRestarts, WorkerLeaves:
		return f.injectEndpointFault(kind, length)
	case CancelWave:
		return f.cancelWave()
	case Burst:
		w.Fault("burst")
		for range 40 {
			f.load.Jobs = append(f.load.Jobs, f.load.submitOne())
		}
		return true
	case PlannedStop:
		return f.plannedStop(host)
	}
	return false
}

// healAfter ends all cuts after a time. Until then the given zones count as cut off.
func (w *World) healAfter(length time.Duration, zones ...string) {
	for _, zone := range zones {
		w.After(length, w.countCut(zone))
	}
	w.After(length, w.Heal)
}

func (f *Faults) randomGroup() string {
	groups := []string{"deployment", "cell/a", "cell/b", "cell/c"}
	return groups[f.world.random.IntN(len(groups))]
}

func (f *Faults) kill(h *Host, length time.Duration) bool {
	if h == nil || !h.up || f.exceedsTolerance(h) {
		return false
	}
	f.world.Fault("kill " + h.Peer.ID)
	h.Crash()
	f.world.After(length, h.Start)
	return true
}

// exceedsTolerance tells whether the loss of a host's memory would be the second loss of a voter's state in a group of
// three: no protocol can then tell what was committed.
func (f *Faults) exceedsTolerance(h *Host) bool { return f.readmissionPending && !h.Peer.Disk }

func (f *Faults) loseDisk(h *Host, length time.Duration) bool {
	if !h.Peer.Disk || !h.up || f.readmissionPending || !f.world.allHostsVote() {
		return false
	}
	f.world.Fault("lose disk of " + h.Peer.ID)
	f.readmissionPending = true
	h.Crash()
	h.Wipe()
	f.world.After(length, h.Start)
	f.awaitReadmission(h)
	return true
}

// awaitReadmission clears readmissionPending once the host votes again in all its groups.
func (f *Faults) awaitReadmission(h *Host) {
	f.world.After(100*time.Millisecond, func() {
		if h.up && f.world.votesInAllGroups(h) {
			f.world.Fault(h.Peer.ID + " votes again")
			f.readmissionPending = false
			return
		}
		f.awaitReadmission(h)
	})
}

// votesInAllGroups tells whether the host's present incarnation is a voter in all groups in which it should be.
func (w *World) votesInAllGroups(h *Host) bool {
	for _, g := range h.Node.Metrics(w.now).Groups {
		if g.Desired && !g.Votes {
			return false
		}
	}
	return true
}

// allHostsVote tells whether no link is cut and every host is up, not frozen, ready and a voter where it should be.
// Only then may a disk be lost, or a host be stopped as planned.
func (w *World) allHostsVote() bool {
	if len(w.cuts) > 0 {
		return false
	}
	for _, id := range w.HostIDs {
		h := w.Hosts[id]
		if !h.up || h.frozen || !w.votesInAllGroups(h) {
			return false
		}
		if ok, _ := h.Node.Ready(); !ok {
			return false
		}
	}
	return true
}

func (f *Faults) failSync(h *Host, length time.Duration) bool {
	if !h.Peer.Disk || !h.up {
		return false
	}
	f.world.Fault("fail sync at " + h.Peer.ID)
	h.FailSync()
	f.world.After(length, func() {
		h.Crash()
		h.Start()
	})
	return true
}

func (f *Faults) cutOneWay(h *Host, length time.Duration) bool {
	w := f.world
	w.Fault("cut messages from " + h.Peer.ID)
	for _, id := range w.HostIDs {
		w.Cut(h.Peer.ID, id)
	}
	w.healAfter(length, w.Zones()...)
	return true
}

func (f *Faults) freeze(h *Host, length time.Duration) bool {
	if h == nil || !h.up || h.frozen {
		return false
	}
	f.world.record(history.Event{Kind: history.Fault, Message: history.FaultFreeze, Host: h.Peer.ID})
	h.Freeze()
	f.world.After(length, func() {
		if h.up && h.frozen {
			f.world.record(history.Event{Kind: history.Fault, Message: history.FaultThaw, Host: h.Peer.ID})
			h.Thaw()
		}
	})
	return true
}

func (f *Faults) zoneOut(zone string, length time.Duration) bool {
	f.world.Fault("take out " + zone)
	f.sendZoneCommand(zone, true, f.world.PickHost(""), 0)
	f.world.After(length, func() { f.sendZoneCommand(zone, false, f.world.PickHost(""), 0) })
	return true
}

// sendZoneCommand sends an operator's command for a zone, and sends it again with the same identifier while it is not
// answered, as an operator does.
func (f *Faults) sendZoneCommand(zone string, out bool, h *Host, tries int) {
	f.commands++
	id := fmt.Sprintf("command-%d", f.commands)
	f.repeatZoneCommand(id, zone, out, h, tries)
}

const maxCommandTries = 20

func (f *Faults) repeatZoneCommand(id, zone string, out bool, h *Host, tries int) {
	r := node.Request{SetZone: &node.SetZone{Zone: zone, Out: out, CommandID: id}}
	f.world.sendAsOperator(h, r, func(resp *node.Response) {
		answered := resp != nil && resp.Error == nil
		if answered || tries >= maxCommandTries || f.until == 0 {
			return
		}
		f.world.After(300*time.Millisecond, func() { f.repeatZoneCommand(id, zone, out, f.world.PickHost(""), tries+1) })
	})
}

func (f *Faults) injectEndpointFault(kind FaultKind, length time.Duration) bool {
	w := f.world
	e := w.Endpoints[w.Workers[w.random.IntN(len(w.Workers))]]
	w.Fault(string(kind) + ": " + e.Spec.ID)
	switch kind {
	case WorkerRestarts:
		e.Restart()
	case WorkerLeaves:
		// It would take new work, so that only the hosts keep work away from it.
		e.Standin.SetFaults(standin.Faults{AcceptsWhileLeaving: true})
		e.Standin.Leave()
		w.After(length+3*time.Second, func() {
			e.Standin.SetFaults(standin.Faults{})
			e.Restart()
		})
	default:
		f.setEndpointFaults(e, length)
	}
	return true
}

// setEndpointFaults injects a random fault into an endpoint, and in half of the cases also into every second endpoint of
// its zone.
func (f *Faults) setEndpointFaults(e *Endpoint, length time.Duration) {
	w := f.world
	faults := f.randomFaults()
	severalEndpoints := w.random.IntN(2) == 0
	for i, id := range w.Workers {
		other := w.Endpoints[id]
		if other != e && (!severalEndpoints || other.Spec.Zone != e.Spec.Zone || i%2 == 0) {
			continue
		}
		other.Standin.SetFaults(faults)
		w.After(length, func() { other.Standin.SetFaults(standin.Faults{}) })
	}
}

func (f *Faults) randomFaults() standin.Faults {
	faults := []standin.Faults{{SlowMillis: 300}, {LateMillis: 2000}, {FailAll: true}, {DropResults: true}, {CrossAnswers: true},
		{TruncateAnswers: true}, {DoubleResults: true}, {Freeze: true}, {IgnoreCheckpoint: true}, {AcceptsWhileLeaving: true}}
	return faults[f.world.random.IntN(len(faults))]
}

func (f *Faults) cancelWave() bool {
	w := f.world
	w.Fault("cancellation wave")
	for _, j := range f.load.Jobs {
		if j.ID == "" || j.Settled() || w.random.IntN(2) == 0 {
			continue
		}
		r := node.Request{TokenSHA256: standin.Digest([]byte(Token(j.Workspace))), Cancel: &node.JobRef{Job: j.ID}}
		w.call(w.PickHost(""), r, clientTimeout, func(*node.Response) {})
	}
	return true
}

// plannedStop stops a host as an operator does, and starts it again 40 s later if it has stopped by then.
func (f *Faults) plannedStop(h *Host) bool {
	w := f.world
	if !h.up || h.frozen || !w.allHostsVote() {
		return false
	}
	w.Fault("planned stop of " + h.Peer.ID)
	h.Input(node.Stop{})
	w.After(40*time.Second, func() {
		if !h.up {
			h.Start()
		}
	})
	return true
}

// Restore ends all faults: it connects and starts all hosts, makes all endpoints behave correctly, and brings all zones in.
// It returns an error if a host does not become ready in time.
func (f *Faults) Restore() error {
	w := f.world
	w.Heal()
	for _, id := range w.Workers {
		e := w.Endpoints[id]
		e.Standin.SetFaults(standin.Faults{})
		if e.Standin.Silent() || e.Standin.Left() {
			e.Restart()
		}
	}
	for _, id := range w.HostIDs {
		w.Hosts[id].Thaw()
	}
	limit := readyLimit
	if f.Injected[PlannedStop] > 0 {
		limit += stopLimit
	}
	if !w.RunUntil(w.now+limit, func() bool { return w.startAll() && w.allReady() }) {
		return fmt.Errorf("the hosts are not ready %v after all faults ended", limit)
	}
	f.until = 0
	f.bringAllIn()
	return nil
}

// startAll starts the hosts that are down, also those whose planned stop has ended in the meantime.
func (w *World) startAll() bool {
	for _, id := range w.HostIDs {
		w.Hosts[id].Start()
	}
	return true
}

func (f *Faults) bringAllIn() {
	for _, zone := range f.world.Zones() {
		f.bringIn(zone)
	}
}

func (f *Faults) bringIn(zone string) {
	w := f.world
	for i := range maxCommandTries {
		resp := w.CallAsOperator(w.PickHost(""), node.Request{SetZone: &node.SetZone{Zone: zone, CommandID: fmt.Sprintf("restore-%s-%d-%d", zone, w.now, i)}})
		if resp != nil && resp.Error == nil && resp.Body.(*api.ZoneStatus).State == api.ZoneIn {
			return
		}
		w.Run(500 * time.Millisecond)
	}
}
