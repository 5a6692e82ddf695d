package corehost

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/wal"
)

// Founding members of the log in these tests. The first one is the host under test.
var (
	testVoters = []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}
	testLeader = replica.Member{Host: "127.0.0.2", Incarnation: replica.FoundingIncarnation, Disk: true}
)

// openHost opens a founding voter, which does not run yet.
func openHost(folder string) *Host { return openAs(folder, testVoters[0], testVoters) }

func openAs(folder, address string, seeds []string) *Host {
	h, err := Open(Settings{
		Address: address, Zone: "z", DataFolder: folder, Founding: true, Seeds: seeds,
		Dispatch: dispatch.Options{LeaseDuration: 10 * time.Second, GangWait: 3 * time.Second, ReportPeriod: time.Second, Retention: time.Minute},
	}, Clients{}, NewMetrics(), logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	return h
}

// deliver passes messages of the leader to a host, as the server of the port between hosts does: it recovers from a panic.
func deliver(h *Host, messages ...replica.Message) error {
	return deliverFrom(testLeader, h, messages...)
}

func deliverFrom(leader replica.Member, h *Host, messages ...replica.Message) (err error) {
	b := &rpc.Batch{From: leader.Host}
	for _, m := range messages {
		m.Group, m.From, m.To = groupName, leader, h.settings.Address
		data, err := cbor.Marshal(m)
		Expect(err).NotTo(HaveOccurred())
		b.Payloads = append(b.Payloads, data)
	}
	defer func() {
		if v := recover(); v != nil {
			err = errOutputLost
		}
	}()
	_, err = h.Deliver(context.Background(), b)
	return err
}

// appendOf returns the message with commands as the entries after an index, all committed.
func appendOf(after uint64, commands ...[]byte) replica.Message {
	m := replica.Message{Kind: replica.MsgAppend, Term: 2, Index: after, Commit: after + uint64(len(commands))}
	if after > 0 {
		m.LogTerm = 2
	}
	for i, data := range commands {
		m.Entries = append(m.Entries, replica.Entry{Index: after + 1 + uint64(i), Term: 2, Kind: replica.EntryCommand, Data: data})
	}
	return m
}

func zoneOut(zone string) []byte {
	return (&domain.Command{Zone: &domain.SetZone{Zone: zone, Out: true}}).Encode()
}

var _ = Describe("a core host that did not execute an output of its log in full", func() {
	// Guards against a host that goes on after a panic in a call, and writes and acknowledges entries after a gap.
	It("writes and acknowledges nothing more, and ends", func() {
		folder := GinkgoT().TempDir()
		h := openHost(folder)
		Expect(deliver(h, appendOf(0, zoneOut("z1")))).To(Succeed())
		Expect(h.writeBatch(context.Background(), h.disk.take())).To(Succeed())
		m := h.stateMachine
		h.stateMachine = nil
		Expect(deliver(h, appendOf(1, zoneOut("z2")))).NotTo(Succeed())
		h.stateMachine = m
		Expect(deliver(h, appendOf(2, zoneOut("z3")))).NotTo(Succeed())
		Expect(h.disk.take()).To(BeEmpty())
		Expect(h.Run(context.Background())).NotTo(Succeed())
		_, state, err := wal.Open(folder)
		Expect(err).NotTo(HaveOccurred(), "it can start again")
		Expect(state.Groups[groupName].LastIndex()).To(Equal(uint64(1)))
	})

	// Guards against a host that goes on with a replica that a panic has left half changed.
	It("takes no further message after a panic in the replica", func() {
		h := openHost(GinkgoT().TempDir())
		r := h.replica
		h.replica = nil
		Expect(deliver(h, appendOf(0, zoneOut("z1")))).NotTo(Succeed())
		h.replica = r
		Expect(deliver(h, appendOf(0, zoneOut("z1")))).NotTo(Succeed())
		Expect(h.disk.take()).To(BeEmpty())
		Expect(h.Run(context.Background())).NotTo(Succeed())
	})
})

var _ = Describe("a snapshot from another host", func() {
	snapshot := func(data []byte) replica.Message {
		var c replica.Config
		for _, host := range testVoters {
			c.Voters = append(c.Voters, replica.Member{Host: host, Incarnation: replica.FoundingIncarnation, Disk: true})
		}
		return replica.Message{Kind: replica.MsgSnapshot, Term: 2, Snapshot: &replica.Snapshot{Index: 100, Term: 2, Config: c, Data: data}}
	}
	stateWith := func(zone string) []byte {
		m := domain.New()
		m.Apply(&domain.Command{Zone: &domain.SetZone{Zone: zone, Out: true}})
		return m.Snapshot()
	}

	// Guards against a host that ends whenever it is sent a snapshot that it cannot decode, and leaves a gap in its folder.
	DescribeTable("that cannot be decoded counts as lost", func(data []byte) {
		folder := GinkgoT().TempDir()
		h := openHost(folder)
		Expect(deliver(h, appendOf(0, zoneOut("z1")))).To(Succeed())
		Expect(deliver(h, snapshot(data))).To(Succeed())
		Expect(deliver(h, appendOf(100, zoneOut("z2")))).To(Succeed())
		Expect(h.replica.Status().LastIndex).To(Equal(uint64(1)), "the log holds what the host has")
		Expect(deliver(h, appendOf(1, zoneOut("z3")))).To(Succeed())
		Expect(h.stateMachine.ZonesOut()).To(Equal([]string{"z1", "z3"}))
		Expect(h.writeBatch(context.Background(), h.disk.take())).To(Succeed())
		Expect(deliver(h, snapshot(stateWith("z4")))).To(Succeed())
		Expect(h.stateMachine.ZonesOut()).To(Equal([]string{"z4"}))
		Expect(h.writeBatch(context.Background(), h.disk.take())).To(Succeed())
		Expect(h.store.close()).To(Succeed())
		h = openHost(folder)
		Expect(h.step()).To(Succeed())
		Expect(h.stateMachine.ZonesOut()).To(Equal([]string{"z4"}), "the folder can be read")
		Expect(h.store.close()).To(Succeed())
	},
		Entry("bytes that are no encoding", []byte{0xff}),
		Entry("no bytes", nil),
		Entry("a value of another type", []byte{0x83, 1, 2, 3}),
		Entry("a part of a snapshot", stateWith("z5")[:3]),
		Entry("a job without a value", []byte{0xa1, 3, 0xa1, 0x61, 'j', 0xf6}),
		Entry("a worker without a value", []byte{0xa1, 4, 0xa1, 0x61, 'w', 0xf6}),
		Entry("a wave without a value", []byte{0xa1, 7, 0xa1, 1, 0xf6}),
	)
})
