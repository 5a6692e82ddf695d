package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Guards against starts that each look at all attempts of their worker: a step of the leader took seconds, longer than its leadership lasts.
var _ = It("a leader sends 20,000 starts to a worker in a short step", func() {
	const tasks = 20000
	m, now := domain.New(), dispatch.Time{Mono: time.Hour, WallMS: wallStart}
	l := dispatch.New(m, dispatch.Options{FencingToken: 1, LeaseDuration: 10 * time.Second, Log: func(string, ...any) {}}, now)
	apply := func(c domain.Command) {
		c.AtMS = now.WallMS
		l.Applied(now, &c, m.Apply(&c))
	}
	apply(domain.Command{Config: &domain.Config{Version: 1, Pools: []domain.Pool{{Name: "p"}}}})
	on := domain.WorkerIncarnation{ID: "i-1", BornMS: wallStart + 1}
	apply(domain.Command{Register: &domain.Worker{Incarnation: on, Pool: "p", Address: "10.0.0.1:80", Capacity: domain.Resources{MemoryMB: tasks}}})
	l.WorkerReported(now, on, 0)
	starts := 0
	step := func() time.Duration {
		now.Mono += 100 * time.Millisecond
		began := time.Now()
		out := l.Tick(now)
		took := time.Since(began)
		for _, c := range out.Calls {
			switch c.Kind {
			case dispatch.CallHold:
				l.Reply(now, c.ID, dispatch.Reply{Status: dispatch.OK, ClockMS: 1000 + (now.Mono - time.Hour).Milliseconds(), BornMS: on.BornMS, HasLists: true})
			case dispatch.CallStart:
				starts++
			}
		}
		return took
	}
	for range 3 {
		step()
	}
	apply(domain.Command{Submit: &domain.JobSpec{ID: "j", Pool: "p", MaxAttempts: 1, Steps: []domain.Step{{Count: tasks, Task: domain.Resources{MemoryMB: 1}}}}})
	var all domain.StartAttempts
	for i := range tasks {
		all.Assignments = append(all.Assignments, domain.Assignment{Task: domain.TaskID{Job: "j", Index: i}, Worker: on})
	}
	apply(domain.Command{Start: &all})
	Expect(step()).To(BeNumerically("<", 5*time.Second))
	Expect(starts).To(Equal(tasks))
})
