package corehost

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// addressedWorkers answers calls as the incarnations of workers that serve the addresses.
type addressedWorkers struct {
	mu      sync.Mutex
	clock   time.Time // Of all workers.
	serving map[string]*servingWorker
}

// servingWorker is an incarnation of a worker that lists what it was told to start, until it is told to stop it.
type servingWorker struct {
	incarnation domain.WorkerIncarnation
	silent      bool
	running     map[domain.TaskID]int
	ended       []dispatch.EndedTask
}

func newAddressedWorkers() *addressedWorkers {
	return &addressedWorkers{clock: time.Now().Add(-time.Hour), serving: map[string]*servingWorker{}}
}

// serve lets an incarnation serve an address, instead of the one before.
func (a *addressedWorkers) serve(address string, incarnation domain.WorkerIncarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serving[address] = &servingWorker{incarnation: incarnation, running: map[domain.TaskID]int{}}
}

func (a *addressedWorkers) setSilent(address string, silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serving[address].silent = silent
}

// running returns the addresses at which a task runs.
func (a *addressedWorkers) running(task domain.TaskID) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for address, w := range a.serving {
		if w.running[task] > 0 {
			out = append(out, address)
		}
	}
	return out
}

func (a *addressedWorkers) Call(ctx context.Context, c dispatch.Call) dispatch.Reply {
	if c.Kind == dispatch.CallHold {
		select {
		case <-ctx.Done():
		case <-time.After(c.Wait):
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.serving[c.Address]
	switch {
	case w == nil || w.silent:
		return dispatch.Reply{Status: dispatch.NoAnswer}
	case w.incarnation.ID != c.Worker.ID:
		return dispatch.Reply{Status: dispatch.OtherIncarnation}
	}
	r := dispatch.Reply{Status: dispatch.OK, ClockMS: time.Since(a.clock).Milliseconds()}
	switch c.Kind {
	case dispatch.CallStart:
		w.running[c.Task] = c.Attempt
	case dispatch.CallStop:
		if w.running[c.Task] == c.Attempt {
			delete(w.running, c.Task)
			w.ended = append(w.ended, dispatch.EndedTask{Number: int64(len(w.ended) + 1), AttemptEnd: domain.AttemptEnd{Task: c.Task, Attempt: c.Attempt, Outcome: domain.OutcomeStopped}})
		}
	case dispatch.CallHold:
		r.HasLists, r.BornMS, r.Ended = true, w.incarnation.BornMS, w.ended
		for task, attempt := range w.running {
			r.Running = append(r.Running, dispatch.RunningTask{Task: task, Attempt: attempt, Percent: 10 + int(time.Since(a.clock).Seconds())%80})
		}
	}
	return r
}

var _ = Describe("a report with the address or the identifier of a registered worker", func() {
	const first, second = "10.0.0.1:80", "10.0.0.2:80"
	task := domain.TaskID{Job: "j"}
	born := time.Now().UnixMilli() - 10000

	// start returns a host and two workers, of which the first one runs a task, and its address.
	start := func(ctx context.Context) (*Host, *addressedWorkers, *domain.Worker) {
		workers := newAddressedWorkers()
		h := startAloneWith(Clients{Workers: workers})
		config := &domain.Config{Version: 1, Document: []byte("{}"), Pools: []domain.Pool{{Name: "p"}}, Queues: []domain.Queue{{Name: "q", Pool: "p", Public: true, MaxAttempts: 2}}}
		Expect(h.operate(ctx, service.Operation{Kind: service.PutConfig, Config: config}).Outcome).To(Equal(service.Done))
		for id, address := range map[string]string{"i-1": first, "i-2": second} {
			w := registration(domain.WorkerIncarnation{ID: id, BornMS: born}, address)
			workers.serve(address, w.Incarnation)
			Expect(h.report(ctx, w)).To(Equal(service.Done))
		}
		document := &domain.JobSpec{ID: "j", Queue: "q", Pool: "p", MaxAttempts: 2, Steps: []domain.Step{{Count: 1, Task: domain.Resources{Accelerators: 8}, EstimateMS: 60000}}}
		Expect(h.commitNow(ctx, &domain.Command{Submit: document})).To(Equal(service.Done))
		Eventually(func() []string { return workers.running(task) }, 5*time.Second).Should(HaveLen(1))
		at := workers.running(task)[0]
		busy := &domain.Worker{}
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, w := range h.stateMachine.Workers() {
			if w.Address == at {
				*busy = *w
			}
		}
		return h, workers, busy
	}

	// Guards against a task that runs twice, because a report alone counted as the end of the worker that is registered there.
	DescribeTable("does not take over while that worker answers", func(ctx SpecContext, claim func(busy *domain.Worker) *domain.Worker) {
		h, workers, busy := start(ctx)
		for range 2 {
			Expect(h.report(ctx, claim(busy))).To(Equal(service.Refused))
		}
		Consistently(func() []string { return workers.running(task) }, 1500*time.Millisecond).Should(Equal([]string{busy.Address}))
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(h.stateMachine.Worker(busy.Incarnation.ID)).To(And(HaveField("Incarnation", busy.Incarnation), HaveField("Address", busy.Address)))
		Expect(h.stateMachine.Job("j").Task(task)).To(And(HaveField("Attempt", 1), HaveField("Worker", busy.Incarnation)))
	},
		Entry("another worker at its address", func(busy *domain.Worker) *domain.Worker {
			return registration(domain.WorkerIncarnation{ID: "i-other", BornMS: time.Now().UnixMilli()}, busy.Address)
		}, SpecTimeout(20*time.Second)),
		Entry("another worker at its address, which started before it", func(busy *domain.Worker) *domain.Worker {
			return registration(domain.WorkerIncarnation{ID: "i-other", BornMS: born - 1}, busy.Address)
		}, SpecTimeout(20*time.Second)),
		Entry("a later incarnation at another address", func(busy *domain.Worker) *domain.Worker {
			return registration(domain.WorkerIncarnation{ID: busy.Incarnation.ID, BornMS: time.Now().UnixMilli()}, "10.0.0.3:80")
		}, SpecTimeout(20*time.Second)),
		Entry("the same incarnation at another address", func(busy *domain.Worker) *domain.Worker {
			return registration(busy.Incarnation, "10.0.0.3:80")
		}, SpecTimeout(20*time.Second)),
	)

	// Guards against a worker that gets no work because an earlier one was registered at its address.
	DescribeTable("takes over once that worker has been replaced", func(ctx SpecContext, claim func(busy *domain.Worker) *domain.Worker) {
		h, workers, busy := start(ctx)
		w := claim(busy)
		if w.Address != busy.Address {
			workers.serve(busy.Address, domain.WorkerIncarnation{ID: "i-next", BornMS: w.Incarnation.BornMS})
		}
		workers.serve(w.Address, w.Incarnation)
		Expect(h.report(ctx, w)).To(Equal(service.Done))
		h.mu.Lock()
		Expect(h.stateMachine.Worker(w.Incarnation.ID)).To(HaveField("Incarnation", w.Incarnation))
		h.mu.Unlock()
		Eventually(func() []string { return workers.running(task) }, 5*time.Second).Should(HaveLen(1))
	},
		Entry("another worker at its address", func(busy *domain.Worker) *domain.Worker {
			return registration(domain.WorkerIncarnation{ID: "i-other", BornMS: time.Now().UnixMilli()}, busy.Address)
		}, SpecTimeout(20*time.Second)),
		Entry("another worker at its address, whose clock is behind", func(busy *domain.Worker) *domain.Worker {
			return registration(domain.WorkerIncarnation{ID: "i-other", BornMS: born - 1}, busy.Address)
		}, SpecTimeout(20*time.Second)),
		Entry("a later incarnation at another address", func(busy *domain.Worker) *domain.Worker {
			return registration(domain.WorkerIncarnation{ID: busy.Incarnation.ID, BornMS: time.Now().UnixMilli()}, "10.0.0.3:80")
		}, SpecTimeout(20*time.Second)),
	)

	// Guards against a worker that has restarted at another address and gets no work for half a minute.
	DescribeTable("takes over once that worker neither answers nor reports, and its leases are over", func(ctx SpecContext, idle bool, limit time.Duration) {
		h, workers, busy := start(ctx)
		id, address := busy.Incarnation.ID, busy.Address
		if idle {
			id, address = map[string]string{"i-1": "i-2", "i-2": "i-1"}[id], map[string]string{first: second, second: first}[address]
		}
		workers.setSilent(address, true)
		w := registration(domain.WorkerIncarnation{ID: id, BornMS: time.Now().UnixMilli()}, "10.0.0.3:80")
		workers.serve(w.Address, w.Incarnation)
		Eventually(func() service.Outcome { return h.report(ctx, w) }, limit, 500*time.Millisecond).Should(Equal(service.Done))
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(h.stateMachine.Worker(id)).To(HaveField("Address", w.Address))
	},
		Entry("without attempts", true, 6*time.Second, SpecTimeout(20*time.Second)),
		Entry("with an attempt", false, 16*time.Second, SpecTimeout(30*time.Second)),
	)

	// Guards against a task that starts elsewhere while its worker is cut off and runs on under its lease.
	It("does not take over while that worker leaves calls unanswered, and takes over once the address has answered", func(ctx SpecContext) {
		h, workers, busy := start(ctx)
		w := registration(domain.WorkerIncarnation{ID: "i-other", BornMS: time.Now().UnixMilli()}, busy.Address)
		workers.setSilent(busy.Address, true)
		for range 3 {
			Expect(h.report(ctx, w)).To(Equal(service.NotServing))
		}
		Expect(workers.running(task)).To(Equal([]string{busy.Address}))
		workers.serve(w.Address, w.Incarnation)
		Eventually(func() service.Outcome { return h.report(ctx, w) }, 3*time.Second).Should(Equal(service.Done))
		Eventually(func() []string { return workers.running(task) }, 5*time.Second).Should(HaveLen(1))
	}, SpecTimeout(30*time.Second))
})

// registration returns a report of a worker of the pool p.
func registration(incarnation domain.WorkerIncarnation, address string) *domain.Worker {
	return &domain.Worker{Incarnation: incarnation, Pool: "p", Address: address, Zone: "z", Capacity: domain.Resources{CPU: 8000, MemoryMB: 8000, Accelerators: 8}}
}

// report passes a worker's report to the host and returns its outcome.
func (h *Host) report(ctx context.Context, w *domain.Worker) service.Outcome {
	clone := *w
	return h.operate(ctx, service.Operation{Kind: service.Register, Worker: &clone, ClockMS: 3600000}).Outcome
}
