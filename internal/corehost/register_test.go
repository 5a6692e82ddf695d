package corehost

import (
	"context"
	"strings"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// silentWorkers answers no call.
type silentWorkers struct{}

func (silentWorkers) Call(context.Context, dispatch.Call) dispatch.Reply {
	return dispatch.Reply{Status: dispatch.NoAnswer}
}

// standing is the worker to which the reports of other writers refer.
func standing() *domain.Worker {
	return &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: "i-1", BornMS: 5}, Pool: "p", Address: "10.0.0.9:80", Zone: "z"}
}

var _ = Describe("a report", func() {
	// startWith returns a host with a configuration and one worker, and the index of its last entry.
	startWith := func(ctx context.Context, w *domain.Worker) (*Host, uint64) {
		h := startAloneWith(Clients{Workers: silentWorkers{}})
		config := &domain.Config{Version: 1, Document: []byte("{}"), Pools: []domain.Pool{{Name: "p"}}, Queues: []domain.Queue{{Name: "q", Pool: "p"}}}
		Expect(h.operate(ctx, service.Operation{Kind: service.PutConfig, Config: config}).Outcome).To(Equal(service.Done))
		Expect(h.operate(ctx, service.Operation{Kind: service.Register, Worker: w}).Outcome).To(Equal(service.Done))
		return h, h.lastIndex()
	}

	// Guards against workers that are removed, with the tasks on them started again, by an entry of another writer, and against a
	// log that grows with each such report.
	DescribeTable("that names no worker to use changes nothing", func(ctx SpecContext, change func(*domain.Worker)) {
		first := standing()
		first.Draining = true
		h, before := startWith(ctx, first)
		for range 3 {
			w := standing()
			change(w)
			Expect(h.operate(ctx, service.Operation{Kind: service.Register, Worker: w, ClockMS: 1}).Outcome).To(Equal(service.Done))
		}
		Expect(h.lastIndex()).To(Equal(before))
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(h.stateMachine.Workers()).To(HaveLen(1))
		Expect(h.stateMachine.Worker("i-1")).To(And(HaveField("Incarnation", first.Incarnation), HaveField("Pool", "p"), HaveField("Address", first.Address)))
	},
		Entry("another worker of an unknown service at its address", func(w *domain.Worker) {
			w.Pool, w.Incarnation = "other", domain.WorkerIncarnation{ID: "x", BornMS: 9}
		}),
		Entry("itself, with an unknown service", func(w *domain.Worker) { w.Pool = "other" }),
		Entry("a later life of it, with an unknown service", func(w *domain.Worker) { w.Pool, w.Incarnation.BornMS = "other", 9 }),
		Entry("an earlier life of it", func(w *domain.Worker) { w.Incarnation.BornMS, w.Zone = 4, "y" }),
		Entry("itself, as ready after it has drained", func(w *domain.Worker) { w.Draining = false }),
	)

	// Guards against workers that are refused although there is room, because several hosts pass the reports of others on.
	It("of a worker that is being registered counts once, however many hosts pass it on", func(ctx SpecContext) {
		h, _ := startWith(ctx, standing())
		large := standing()
		large.Incarnation.ID, large.Address, large.Labels = "i-2", "10.0.0.8:80", []string{strings.Repeat("l", maxRegistrations/2)}
		h.mu.Lock()
		defer h.mu.Unlock()
		for i := range uint64(3) {
			h.pendingProposals[1<<40+i] = h.newPendingProposal(1, &domain.Command{Register: large})
		}
		full := func(w *domain.Worker) bool { return h.storeRegistration(ctx, h.now(), w).Outcome == service.NotServing }
		another := standing()
		another.Incarnation.ID, another.Address = "i-3", "10.0.0.7:80"
		Expect(full(another)).To(BeFalse())
		another.Incarnation.ID, another.Labels = "i-4", large.Labels
		Expect(full(another)).To(BeTrue())
	})

	// Guards against a history in which a worker seems to have restarted, because several hosts have passed its report on.
	It("of a worker is logged once, also if it is committed several times", func(ctx SpecContext) {
		h, _ := startWith(ctx, standing())
		var events []string
		h.mu.Lock()
		h.log = funcr.New(func(_, args string) { events = append(events, args) }, funcr.Options{})
		h.mu.Unlock()
		second := standing()
		second.Incarnation.ID, second.Address = "i-2", "10.0.0.8:80"
		for range 3 {
			Expect(h.commitNow(ctx, &domain.Command{Register: second})).To(Equal(service.Done))
		}
		for range 2 {
			Expect(h.commitNow(ctx, &domain.Command{Forget: &domain.ForgetWorker{Incarnation: second.Incarnation}})).To(Equal(service.Done))
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(events).To(ConsistOf(ContainSubstring("worker_registered"), ContainSubstring("worker_forgotten")))
	})

	It("of a worker whose service was removed still tells that it drains", func(ctx SpecContext) {
		h, _ := startWith(ctx, standing())
		config := &domain.Config{Version: 2, Document: []byte("{}"), Pools: []domain.Pool{{Name: "other"}}}
		Expect(h.operate(ctx, service.Operation{Kind: service.PutConfig, Config: config}).Outcome).To(Equal(service.Done))
		w := standing()
		w.Draining = true
		Expect(h.operate(ctx, service.Operation{Kind: service.Register, Worker: w}).Outcome).To(Equal(service.Done))
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(h.stateMachine.Worker("i-1").Draining).To(BeTrue())
	})
})

// lastIndex returns the index of the last entry that the host has committed.
func (h *Host) lastIndex() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica.CommitIndex()
}
