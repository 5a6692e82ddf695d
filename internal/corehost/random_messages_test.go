package corehost

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
)

// randomMessage returns a message of any kind with usual and extreme values.
func randomMessage(r *rand.Rand, h *Host) replica.Message {
	st := h.replica.Status()
	number := func(usual uint64) uint64 {
		switch r.IntN(8) {
		case 0:
			return []uint64{0, 1, math.MaxInt64, math.MaxUint64 - 1, math.MaxUint64}[r.IntN(5)]
		case 1:
			return usual + uint64(r.IntN(5)) - 2
		}
		return usual
	}
	entryData := func(kind replica.EntryKind) []byte {
		if kind == replica.EntryConfig {
			return [][]byte{nil, {0xff}, {0xf6}, {0xa0}, encoded(replica.Config{Voters: []replica.Member{testLeader}}), encoded(st.Config)}[r.IntN(6)]
		}
		return [][]byte{nil, {0xff}, {0xa0}, zoneOut("z")}[r.IntN(4)]
	}
	from := testLeader
	switch r.IntN(6) {
	case 0:
		from = replica.Member{Host: "127.0.0.9", Incarnation: r.Uint64(), Disk: true, Zone: "z9"}
	case 1:
		from.Host = testVoters[2]
	}
	m := replica.Message{Group: groupName, Kind: replica.MessageKind(r.IntN(12)), From: from, To: testVoters[0], Term: st.Term}
	if r.IntN(50) == 0 {
		m.Term = number(st.Term)
	} else if r.IntN(6) == 0 {
		m.Term++
	}
	m.Index, m.Commit, m.Round = number(st.LastIndex), number(st.LastIndex), number(1)
	m.LogTerm, m.Reject, m.Transfer = number(st.Term), r.IntN(3) == 0, r.IntN(4) == 0
	next := m.Index + 1
	for range r.IntN(4) {
		kind := replica.EntryKind(r.IntN(5))
		m.Entries = append(m.Entries, replica.Entry{Index: number(next), Term: number(m.Term), Kind: kind, Data: entryData(kind)})
		next++
	}
	if r.IntN(4) == 0 {
		m.Snapshot = &replica.Snapshot{Index: number(st.LastIndex), Term: number(m.Term), Data: [][]byte{nil, {0xff}, {0xa0}, h.stateMachine.Snapshot()}[r.IntN(4)]}
		if r.IntN(2) == 0 {
			m.Snapshot.Config = st.Config
		}
	}
	return m
}

var _ = Describe("messages with any values from the port between hosts", func() {
	It("end no host, and leave a folder that can be read", func() {
		for seed := range uint64(100) {
			r := rand.New(rand.NewPCG(seed, 3))
			folder := GinkgoT().TempDir()
			h := openHost(folder)
			for i := range 200 {
				what := fmt.Sprintf("seed %d, message %d", seed, i)
				data, err := cbor.Marshal(randomMessage(r, h))
				Expect(err).NotTo(HaveOccurred())
				if r.IntN(10) == 0 {
					data[r.IntN(len(data))] = byte(r.IntN(256))
				}
				before := h.replica.Status()
				_, err = h.Deliver(context.Background(), &rpc.Batch{From: "x", Payloads: [][]byte{data}})
				Expect(err).NotTo(HaveOccurred(), what)
				after := h.replica.Status()
				Expect(after.Term).To(BeNumerically(">=", before.Term), what)
				Expect(after.Commit).To(BeNumerically(">=", before.Commit), what)
				if r.IntN(4) == 0 {
					Expect(h.step()).To(Succeed(), what)
				}
				if r.IntN(20) == 0 {
					writeAndClose(h)
					h = openHost(folder)
					Expect(h.replica.Status().Term).To(Equal(after.Term), what)
				}
			}
			writeAndClose(h)
		}
	})
})
