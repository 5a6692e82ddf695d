package corehost

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// report returns a report of a worker whose zone is the outcome that the leader is to answer with.
func report(i int, o service.Outcome) service.Report {
	return service.Report{Worker: &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: fmt.Sprint("i-", i), BornMS: 1}, Zone: fmt.Sprint(uint32(o))}, ClockMS: int64(i)}
}

var _ = Describe("reports that a host passes on", func() {
	var calls atomic.Int64

	// batches returns batches whose leader answers each report with the outcome that stands in its zone.
	batches := func() *reportBatches {
		calls.Store(0)
		return &reportBatches{send: func(_ context.Context, op service.Operation) service.Result {
			calls.Add(1)
			in, err := encodeOperation(op)
			if err != nil {
				return service.Result{Outcome: service.NotServing}
			}
			sent, err := decodeOperation(in) // As the leader gets them.
			if err != nil {
				return service.Result{Outcome: service.NotServing}
			}
			r := service.Result{Outcome: service.Done}
			for _, x := range sent.Reports {
				r.Document = append(r.Document, x.Worker.Zone[0]-'0')
			}
			return r
		}}
	}

	It("reach the leader in few calls, each with its own outcome", func(ctx SpecContext) {
		b := batches()
		var all sync.WaitGroup
		var wrong atomic.Int64
		for i := range 1200 {
			want := []service.Outcome{service.Done, service.OutcomeUnknown, service.NotServing}[i%3]
			all.Go(func() {
				if b.pass(ctx, report(i, want)).Outcome != want {
					wrong.Add(1)
				}
			})
		}
		all.Wait()
		Expect(wrong.Load()).To(BeZero())
		Expect(calls.Load()).To(BeNumerically("<=", 60), "1,200 reports took calls")
	})

	It("are refused if the leader has changed, so that the workers report elsewhere", func(ctx SpecContext) {
		b := &reportBatches{send: func(context.Context, service.Operation) service.Result {
			return service.Result{Outcome: service.Redirect, Leader: "10.0.0.2"}
		}}
		Expect(b.pass(ctx, report(1, service.Done)).Outcome).To(Equal(service.NotServing))
	})

	// Guards against a worker that takes its drain for known though the leader has said nothing about its report.
	It("are answered as unclear if the leader's answer has no outcome for them", func(ctx SpecContext) {
		b := &reportBatches{send: func(context.Context, service.Operation) service.Result {
			return service.Result{Outcome: service.Done}
		}}
		Expect(b.pass(ctx, report(1, service.Done)).Outcome).To(Equal(service.OutcomeUnknown))
	})

	It("are answered as unclear when the worker stops waiting", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(batches().pass(ctx, report(1, service.Done)).Outcome).To(Equal(service.OutcomeUnknown))
	})
})

var _ = Describe("registrations", func() {
	// worker returns a worker that reports itself; n tells it from others.
	worker := func(n int, pool string) *domain.Worker {
		return &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: fmt.Sprint("i-", n), BornMS: 1}, Pool: pool, Zone: "z",
			Address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200), Labels: []string{"a", "r"}}
	}
	register := func(ctx context.Context, h *Host, w *domain.Worker) service.Outcome {
		return h.operate(ctx, service.Operation{Kind: service.Register, Worker: w, ClockMS: 1}).Outcome
	}
	configure := func(ctx context.Context, h *Host, version int64, pools ...string) {
		c := &domain.Config{Version: version, Document: []byte("{}")}
		for _, p := range pools {
			c.Pools = append(c.Pools, domain.Pool{Name: p})
		}
		Expect(h.operate(ctx, service.Operation{Kind: service.PutConfig, Config: c}).Outcome).To(Equal(service.Done))
	}
	stored := func(h *Host) (workers int, last uint64) {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.stateMachine.Workers()), uint64(h.replica.Status().LastIndex)
	}

	// Guards against a state that entries of other writers fill.
	It("are not stored for a pool that the configuration does not name, until it names it", func(ctx SpecContext) {
		h := startAloneWith(Clients{Workers: silentWorkers{}})
		configure(ctx, h, 1, "p")
		Expect(register(ctx, h, worker(0, "p"))).To(Equal(service.Done))
		_, before := stored(h)
		for i := 1; i < 300; i++ {
			Expect(register(ctx, h, worker(i, "other"))).To(Equal(service.Done))
		}
		workers, after := stored(h)
		Expect(workers).To(Equal(1))
		Expect(after).To(BeNumerically("<", before+20), "nothing enters the log but the leader's own entries")
		leaving := worker(1, "other")
		leaving.Draining = true
		Expect(register(ctx, h, leaving)).To(Equal(service.NotServing), "it would have to be remembered")
		configure(ctx, h, 2, "p", "other")
		Expect(register(ctx, h, worker(1, "other"))).To(Equal(service.Done))
		configure(ctx, h, 3, "p")
		Expect(register(ctx, h, leaving)).To(Equal(service.Done), "a registered worker may drain after its pool is gone")
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(h.stateMachine.Worker("i-1").Draining).To(BeTrue())
	}, SpecTimeout(30*time.Second))

	It("are stored before there is a configuration, so that it finds its workers", func(ctx SpecContext) {
		h := startAloneWith(Clients{Workers: silentWorkers{}})
		Expect(register(ctx, h, worker(1, "p"))).To(Equal(service.Done))
		workers, _ := stored(h)
		Expect(workers).To(Equal(1))
	}, SpecTimeout(20*time.Second))

	It("take a bounded part of the memory; those that are stored can still change", func(ctx SpecContext) {
		h := startAloneWith(Clients{Workers: silentWorkers{}})
		configure(ctx, h, 1, "p")
		const size = 60 << 10
		large := func(n int) *domain.Worker {
			w := worker(n, "p")
			w.Labels[0] = strings.Repeat("x", size)
			return w
		}
		var outcomes [2 * maxRegistrations / size]service.Outcome
		var all sync.WaitGroup
		for i := range outcomes { // All at once, so that none is stored yet when the others arrive.
			all.Go(func() { outcomes[i] = register(ctx, h, large(i)) })
		}
		all.Wait()
		done := slices.Index(outcomes[:], service.Done)
		Expect(done).To(BeNumerically(">=", 0))
		Expect(outcomes).To(ContainElement(service.NotServing))
		Expect(outcomes).To(HaveEach(BeElementOf(service.Done, service.NotServing)))
		h.mu.Lock()
		taken := h.stateMachine.RegistrationBytes()
		h.mu.Unlock()
		Expect(taken).To(And(BeNumerically("<=", maxRegistrations), BeNumerically(">", maxRegistrations-2*size)))
		leaving := large(done)
		leaving.Draining = true
		Expect(register(ctx, h, leaving)).To(Equal(service.Done), "it takes no more room")
		Expect(register(ctx, h, worker(done, "p"))).To(Equal(service.Done), "it becomes smaller")
		Expect(register(ctx, h, worker(9999, "p"))).To(Equal(service.Done), "there is room again")
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(h.stateMachine.RegistrationBytes()).To(BeNumerically("<", taken))
		snapshot, restored := h.stateMachine.Snapshot(), domain.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.RegistrationBytes()).To(Equal(h.stateMachine.RegistrationBytes()))
	}, SpecTimeout(60*time.Second))
})
