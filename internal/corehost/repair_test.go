package corehost

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
)

// hostGroup runs core hosts in the test process that exchange messages over loopback addresses.
type hostGroup struct {
	addresses []string
	folder    string
	port      int
	running   map[string]*runningHost
}

type runningHost struct {
	host   *Host
	server *http.Server
	stop   context.CancelFunc
	ended  chan error
}

func newHostGroup() *hostGroup {
	network := fmt.Sprintf("127.3.%d.", 1+os.Getpid()%250)
	l, err := net.Listen("tcp4", network+"1:0")
	Expect(err).NotTo(HaveOccurred())
	g := &hostGroup{folder: GinkgoT().TempDir(), port: l.Addr().(*net.TCPAddr).Port, running: map[string]*runningHost{}}
	Expect(l.Close()).To(Succeed())
	for i := range 3 {
		g.addresses = append(g.addresses, network+fmt.Sprint(i+1))
	}
	for _, a := range g.addresses {
		g.start(a, true)
	}
	DeferCleanup(func() {
		for a := range g.running {
			g.stop(a)
		}
	})
	return g
}

func (g *hostGroup) start(address string, founding bool) {
	h, err := Open(Settings{
		Address: address, Zone: "z-" + address, PeerPort: g.port, DataFolder: filepath.Join(g.folder, address), Founding: founding, Seeds: g.addresses, FaultTolerance: 1,
		Dispatch: dispatch.Options{LeaseDuration: 10 * time.Second, GangWait: 3 * time.Second, ReportPeriod: time.Second, Retention: time.Minute},
	}, Clients{Workers: silentWorkers{}}, NewMetrics(), logr.Discard())
	ExpectWithOffset(1, err).NotTo(HaveOccurred(), "the folder can be read")
	mux := http.NewServeMux()
	mux.Handle(rpc.PeerPathPrefix, rpc.NewPeerServer(h))
	l, err := net.Listen("tcp4", net.JoinHostPort(address, fmt.Sprint(g.port)))
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	x := &runningHost{host: h, server: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}, stop: stop, ended: make(chan error, 1)}
	go func() { _ = x.server.Serve(l) }() // Ends with Close.
	go func() { x.ended <- h.Run(ctx) }()
	g.running[address] = x
}

// stop ends a host without notice. What it has not synced is lost.
func (g *hostGroup) stop(address string) {
	x := g.running[address]
	Expect(x.ended).NotTo(Receive(), "a host has ended by itself")
	_ = x.server.Close() // Only the listener and its connections.
	x.stop()
	Eventually(x.ended, 5*time.Second).Should(Receive())
	delete(g.running, address)
}

// wipe empties the folder of a host that is stopped.
func (g *hostGroup) wipe(address string) {
	Expect(os.RemoveAll(filepath.Join(g.folder, address))).To(Succeed())
}

// leader waits until a running host leads, and returns it.
func (g *hostGroup) leader() *Host {
	var found *Host
	Eventually(func() bool {
		for _, x := range g.running {
			x.host.mu.Lock()
			leads := x.host.leads(x.host.now())
			x.host.mu.Unlock()
			if leads {
				found = x.host
			}
		}
		return found != nil
	}, 10*time.Second, 20*time.Millisecond).Should(BeTrue())
	return found
}

// others returns the addresses of the hosts that are not the leader.
func (g *hostGroup) others(leader *Host) []string {
	var out []string
	for _, a := range g.addresses {
		if a != leader.settings.Address {
			out = append(out, a)
		}
	}
	return out
}

// propose appends commands to the log of a leader as they are, as one of an earlier version could have.
func propose(h *Host, commands ...[]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, data := range commands {
		_, _, ok := h.replica.Propose(h.clock.Now(), data)
		Expect(ok).To(BeTrue())
	}
	Expect(h.processOutput(h.now())).To(Succeed())
}

// compact makes the hosts replace their logs by snapshots.
func (g *hostGroup) compact() {
	for _, x := range g.running {
		x.host.mu.Lock()
		x.host.replica.Compact(x.host.replica.AppliedIndex(), x.host.stateMachine.Snapshot())
		x.host.disk.replace(x.host.replica.FullRecord())
		x.host.mu.Unlock()
	}
}

// expectSameState waits until all three hosts are voters and hold the same state, in which the given zones are out.
func (g *hostGroup) expectSameState(zones ...string) {
	EventuallyWithOffset(1, func() string {
		var first *runningHost
		for _, a := range g.addresses {
			x := g.running[a]
			x.host.mu.Lock()
			defer x.host.mu.Unlock()
			st := x.host.replica.Status()
			switch {
			case first == nil:
				first = x
			case !reflect.DeepEqual(x.host.stateMachine, first.host.stateMachine):
				return a + " holds another state"
			}
			if st.Role == replica.Observer || len(st.Config.Voters) != 3 || x.host.replica.AppliedIndex() != st.LastIndex {
				return fmt.Sprintf("%s is behind: %+v", a, st)
			}
			if out := x.host.stateMachine.ZonesOut(); !reflect.DeepEqual(out, zones) {
				return fmt.Sprintf("%s: zones out are %v", a, out)
			}
			if x.host.stateMachine.Worker(unreadable) == nil {
				return a + " does not hold the worker with the unreadable identifier"
			}
		}
		return ""
	}, 25*time.Second, 50*time.Millisecond).Should(BeEmpty())
}

var _ = Describe("core hosts with entries in their log that cannot be decoded, or not by each version", func() {
	lenient := (&domain.Command{Register: &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: unreadable, BornMS: 1}, Address: "10.0.0.1:80"}}).Encode()
	negative := (&domain.Command{Submit: &domain.JobSpec{ID: "j", Steps: []domain.Step{{Count: -1}}}}).Encode()
	poison := [][]byte{lenient, {0xff}, nil, negative}

	// Guards against hosts that end, or that hold different states after a lost disk, a restart or a change of the leader.
	It("hold the same state after lost disks, restarts, compaction and changes of the leader", func() {
		g := newHostGroup()
		leader := g.leader()
		propose(leader, zoneOut("z1"))
		propose(leader, poison...)
		propose(leader, zoneOut("z2"))
		g.expectSameState("z1", "z2")

		By("repairing a lost disk by entries, with a restart and a second loss on the way")
		lost := g.others(leader)[0]
		g.stop(lost)
		g.wipe(lost)
		g.start(lost, false)
		propose(leader, poison...)
		time.Sleep(60 * time.Millisecond)
		g.stop(lost)
		g.start(lost, false)
		time.Sleep(60 * time.Millisecond)
		g.stop(lost)
		g.wipe(lost)
		g.start(lost, false)
		propose(leader, zoneOut("z3"))
		g.expectSameState("z1", "z2", "z3")

		By("repairing a lost disk by a snapshot, with a restart on the way")
		lost = g.others(g.leader())[1]
		g.stop(lost)
		g.wipe(lost)
		g.compact()
		for range 300 { // More than the entries that stay in memory behind a snapshot.
			propose(g.leader(), poison[1])
		}
		time.Sleep(300 * time.Millisecond)
		g.compact()
		g.start(lost, false)
		propose(g.leader(), poison...)
		time.Sleep(60 * time.Millisecond)
		g.stop(lost)
		g.start(lost, false)
		g.expectSameState("z1", "z2", "z3")

		By("losing the leader with entries that are not committed")
		leader = g.leader()
		followers := g.others(leader)
		for _, a := range followers {
			g.stop(a)
		}
		propose(leader, poison...)
		propose(leader, zoneOut("lost"))
		time.Sleep(100 * time.Millisecond)
		g.stop(leader.settings.Address)
		for _, a := range followers {
			g.start(a, false)
		}
		propose(g.leader(), zoneOut("z4"))
		g.start(leader.settings.Address, false)
		g.expectSameState("z1", "z2", "z3", "z4")

		By("losing the leader with entries that may be committed")
		leader = g.leader()
		propose(leader, poison...)
		g.stop(leader.settings.Address)
		g.start(leader.settings.Address, false)
		propose(g.leader(), zoneOut("z5"))
		g.expectSameState("z1", "z2", "z3", "z4", "z5")

		By("starting again all at once")
		for _, a := range g.addresses {
			g.stop(a)
		}
		for _, a := range g.addresses {
			g.start(a, false)
		}
		g.expectSameState("z1", "z2", "z3", "z4", "z5")
	})
})
