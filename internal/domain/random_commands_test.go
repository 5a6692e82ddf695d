package domain_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// extremes are numbers that stand where others are usual.
var extremes = []int{math.MinInt, -1, 0, 1, 2, 7, 20000, 20001, math.MaxInt}

// randomCommand returns a command of any kind with usual and extreme values, of a few jobs and workers.
func randomCommand(r *rand.Rand) domain.Command {
	number := func() int {
		if r.IntN(4) == 0 {
			return extremes[r.IntN(len(extremes))]
		}
		return r.IntN(4)
	}
	text := func(prefix string) string {
		return []string{"", prefix + "1", prefix + "2", prefix + "3", unreadable}[r.IntN(5)]
	}
	incarnation := func() domain.WorkerIncarnation {
		return domain.WorkerIncarnation{ID: text("i-"), BornMS: int64(r.IntN(2))}
	}
	task := func() domain.TaskID {
		return domain.TaskID{Job: domain.JobID(text("j")), Occurrence: number(), Step: number(), Index: number()}
	}
	amount := func() domain.Resources {
		return domain.Resources{CPU: int64(number()), MemoryMB: int64(number()), Accelerators: int64(number())}
	}
	c := domain.Command{AtMS: int64(number())}
	switch r.IntN(14) {
	case 0, 1, 2:
		s := &domain.JobSpec{ID: domain.JobID(text("j")), Queue: text("q"), Workspace: text("w"), MaxAttempts: number(), RepeatCount: r.IntN(3)}
		for range 1 + r.IntN(3) {
			step := domain.Step{Count: 1 + r.IntN(3), Gang: r.IntN(2) == 0, Task: amount(), LongRunning: r.IntN(4) == 0, BestEffort: r.IntN(4) == 0}
			if r.IntN(8) == 0 {
				step.Count = number()
			}
			if r.IntN(2) == 0 {
				step.DependsOn = []int{number()}
			}
			s.Steps = append(s.Steps, step)
		}
		c.Submit, c.RetentionEpoch = s, uint64(r.IntN(4))
	case 3, 4:
		c.Register = &domain.Worker{Incarnation: incarnation(), Address: text("a"), Zone: text("z"), Capacity: amount(), Draining: r.IntN(9) == 0}
		if r.IntN(2) == 0 {
			c.Register.Machine = text("m")
		}
		c.NoTakeover = r.IntN(2) == 0
	case 5, 6:
		c.Start = &domain.StartAttempts{}
		for range r.IntN(6) {
			c.Start.Assignments = append(c.Start.Assignments, domain.Assignment{Task: task(), Worker: incarnation()})
		}
	case 7, 8:
		c.End = &domain.EndAttempts{Worker: incarnation(), Cursor: int64(number()), OncePerRun: r.IntN(2) == 0, WithinRuns: r.IntN(2) == 0}
		for range r.IntN(6) {
			c.End.Ends = append(c.End.Ends, domain.AttemptEnd{Task: task(), Attempt: number(), Outcome: domain.Outcome(r.IntN(12)), Checkpoint: text("c")})
		}
	case 9:
		c.Release = &domain.ReleaseOccurrences{Job: domain.JobID(text("j")), Count: number()}
	case 10:
		if r.IntN(2) == 0 {
			c.Wave = &domain.Wave{Number: int64(r.IntN(3)), MaxDown: number(), Machines: []string{text("m"), text("m")}}
		} else {
			c.Upkeep = &domain.UpkeepProgress{Wave: int64(r.IntN(3)), Machine: text("m"), Stage: domain.UpkeepStage(r.IntN(6))}
		}
	case 12:
		c.Speeds = &domain.RecordSpeeds{}
		for range r.IntN(4) {
			c.Speeds.Speeds = append(c.Speeds.Speeds, domain.WorkerSpeed{Worker: incarnation(), Thousands: int64(number() * (1 + 999*r.IntN(2))), Hundreds: int64(number())})
		}
	case 13:
		c.Interference = &domain.RecordInterference{}
		for range r.IntN(4) {
			c.Interference.Pairs = append(c.Interference.Pairs, domain.ImagePair{Suffers: text("i"), Beside: text("i"), Thousands: int64(number() * (1 + 999*r.IntN(2))), Hundreds: int64(number())})
		}
	case 11:
		switch r.IntN(4) {
		case 0:
			c.Cancel = &domain.CancelJob{Job: domain.JobID(text("j")), Workspace: text("w")}
		case 1:
			c.Forget = &domain.ForgetWorker{Incarnation: incarnation()}
		case 2:
			c.Purge = &domain.PurgeEndedJobs{BeforeMS: int64(number()), NewEpoch: r.IntN(2) == 0}
		case 3:
			c.Zone = &domain.SetZone{Zone: text("z"), Out: r.IntN(2) == 0, Revision: uint64(r.IntN(4))}
		}
	}
	return c
}

var _ = Describe("commands with any values", func() {
	// Guards against an entry of the log that ends each host, or that leaves hosts with different states: one of them applies
	// the log, one starts again from a snapshot now and then.
	DescribeTable("give each host the same state, also through snapshots", func(damage bool) {
		const runs, commands = 300, 60
		for seed := range uint64(runs) {
			r := rand.New(rand.NewPCG(seed, 7))
			a, b := domain.New(), domain.New()
			for i := range commands {
				c := randomCommand(r)
				data := c.Encode()
				if damage && len(data) > 0 {
					data[r.IntN(len(data))] = byte(r.IntN(256))
				}
				for _, m := range []*domain.StateMachine{a, b} {
					if decoded, err := domain.DecodeCommand(data); err == nil {
						m.Apply(decoded)
					}
				}
				if r.IntN(8) == 0 {
					again := domain.New()
					Expect(again.Restore(b.Snapshot())).To(Succeed(), fmt.Sprintf("seed %d, command %d", seed, i))
					b = again
				}
			}
			again := domain.New()
			Expect(again.Restore(a.Snapshot())).To(Succeed(), fmt.Sprintf("seed %d", seed))
			Expect(b.Restore(b.Snapshot())).To(Succeed(), fmt.Sprintf("seed %d", seed))
			Expect(b).To(Equal(again), fmt.Sprintf("seed %d", seed))
		}
	},
		Entry("as they are", false),
		Entry("with a byte that is damaged", true),
	)
})
