package corehost

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// drawnMessage returns a message of drawn kind and numbers, as a faulty host could send it.
func drawnMessage(r *rand.Rand) replica.Message {
	number := func() uint64 {
		return []uint64{0, 1, 2, 3, 5, 1 << 40, math.MaxUint64, math.MaxUint64 - 1}[r.IntN(8)]
	}
	m := replica.Message{Kind: replica.MessageKind(r.IntN(24)), Term: []uint64{0, 1, 2, 3, 4}[r.IntN(5)], Index: number(), LogTerm: number(), Commit: number(),
		Round: number(), Reject: r.IntN(2) == 0}
	for range r.IntN(3) {
		data := zoneOut("z")
		if r.IntN(3) == 0 {
			data = []byte("\xff\x00")
		}
		m.Entries = append(m.Entries, replica.Entry{Index: m.Index + 1 + uint64(len(m.Entries)), Term: []uint64{0, 1, 2, m.Term}[r.IntN(4)],
			Kind: replica.EntryKind(r.IntN(4)), Data: data})
	}
	if r.IntN(4) == 0 {
		m.Snapshot = &replica.Snapshot{Index: number(), Term: number(), Data: domain.New().Snapshot()}
		if r.IntN(3) == 0 {
			m.Snapshot.Data = nil
		}
		if r.IntN(2) == 0 {
			m.Snapshot.Config.Voters = []replica.Member{testLeader}
		}
	}
	return m
}

// Guards against a message of another host that ends a call by a panic and leaves the log half changed.
var _ = It("drawn messages at the port between hosts cause no panic", func() {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 5))
		h := openHost(GinkgoT().TempDir())
		for i := range 12 {
			m := drawnMessage(r)
			Expect(errors.Is(deliver(h, m), errOutputLost)).To(BeFalse(), fmt.Sprintf("seed %d, message %d: %+v", seed, i, m))
		}
		Expect(h.store.close()).To(Succeed())
	}
})
