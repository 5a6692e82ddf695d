package corehost

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// fencedWorkers answers each call as a worker that has seen a higher fencing token.
type fencedWorkers struct{ calls atomic.Int64 }

func (f *fencedWorkers) Call(context.Context, dispatch.Call) dispatch.Reply {
	f.calls.Add(1)
	return dispatch.Reply{Status: dispatch.RejectedFence, ClockMS: 1000}
}

var _ = Describe("a worker that refuses the fencing token of a leader", func() {
	// Guards against one worker that stops the whole domain: the host kept the lead in the log and served nothing.
	It("does not stop it while its lease shows that there is no newer one, and is not called again", func(ctx SpecContext) {
		workers := &fencedWorkers{}
		h := startAloneWith(Clients{Workers: workers})
		config := &domain.Config{Version: 1, Document: []byte("{}"), Pools: []domain.Pool{{Name: "p"}}, Queues: []domain.Queue{{Name: "q", Pool: "p"}}}
		Expect(h.operate(ctx, service.Operation{Kind: service.PutConfig, Config: config}).Outcome).To(Equal(service.Done))
		w := &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: "i-1", BornMS: 1}, Pool: "p", Address: "10.0.0.9:80", Zone: "z"}
		Expect(h.operate(ctx, service.Operation{Kind: service.Register, Worker: w, ClockMS: 1000}).Outcome).To(Equal(service.Done))
		Eventually(workers.calls.Load, 5*time.Second).Should(BeNumerically(">", 0))
		Consistently(func() service.Outcome {
			return h.operate(ctx, service.Operation{Kind: service.TakeZoneOut, Zone: "y"}).Outcome
		}, time.Second, 50*time.Millisecond).Should(Equal(service.Done))
		Expect(workers.calls.Load()).To(BeNumerically("<=", 2))
	}, SpecTimeout(20*time.Second))
})
