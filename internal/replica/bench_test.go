package replica_test

import (
	"testing"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// BenchmarkPropose measures the processor time that a group of three replicas uses for each committed proposal of 256
// bytes. Messages arrive and writes are synced without delay. Each Take follows 32 proposals.
func BenchmarkPropose(b *testing.B) {
	cores := map[string]*replica.Replica{}
	voters := replica.Config{Voters: threeVoters}
	for i, m := range threeVoters {
		o := replica.Options{
			Group: "g", Self: m, Founding: voters, Timing: replica.DefaultTiming, SnapshotEntries: 10_000,
			Random: func(int64) int64 { return int64(i) * int64(time.Second/2) },
		}
		cores[m.Host] = replica.New(o, nil, 0)
	}
	now := 2500 * time.Millisecond
	committed := 0
	deliverAll := func() {
		for busy := true; busy; {
			busy = false
			for _, m := range threeVoters {
				core := cores[m.Host]
				out := core.Take()
				core.Synced(out.Mark)
				for _, x := range out.Messages {
					cores[x.To].Step(now, x)
				}
				if n := len(out.Committed); m.Host == "a" {
					committed += n
				}
				if core.NeedsSnapshot() {
					core.Compact(core.Status().Commit, nil)
				}
				busy = busy || out.Mark > 0 || len(out.Messages) > 0
			}
		}
	}
	now = 1500 * time.Millisecond
	cores["a"].Tick(now)
	deliverAll()
	if !cores["a"].LeadsUnderLease(now) {
		b.Fatal("no leader")
	}
	data := make([]byte, 256)
	committed = 0
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		cores["a"].Propose(now, data)
		if n%32 == 31 {
			deliverAll()
		}
	}
	deliverAll()
	b.ReportMetric(float64(committed)/b.Elapsed().Seconds(), "proposals/s")
}
