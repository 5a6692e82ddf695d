package corehost

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

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
