package corehost

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// unreadable is not valid UTF-8.
const unreadable = "i-\xff\xfe01"

// startAlone runs a host that is the only voter, and returns it once it leads.
func startAlone() *Host { return startAloneWith(Clients{}) }

func startAloneWith(clients Clients) *Host {
	h, _ := startAloneIn(GinkgoT().TempDir(), clients)
	return h
}

// startAloneIn is startAloneWith for a data folder. The function that it returns stops the host.
func startAloneIn(folder string, clients Clients) (*Host, func()) {
	const address = "127.0.0.1"
	h, err := Open(Settings{
		Address: address, Zone: "z", DataFolder: folder, Founding: true, Seeds: []string{address},
		Dispatch: dispatch.Options{LeaseDuration: 10 * time.Second, GangWait: 3 * time.Second, ReportPeriod: time.Second, Retention: time.Minute},
	}, clients, NewMetrics(), logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	var once sync.Once
	stopOnce := func() {
		once.Do(func() {
			Expect(ended).NotTo(Receive(), "the host has ended by itself")
			stop()
			Eventually(ended, 5*time.Second).Should(Receive())
		})
	}
	DeferCleanup(stopOnce)
	Eventually(func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.leads(h.now())
	}, 5*time.Second).Should(BeTrue())
	return h, stopOnce
}

var _ = Describe("a core host", func() {
	// Guards against hosts that all end, at each start again, because of one entry of the log.
	It("skips a committed entry that cannot be decoded, and applies those after it", func(ctx SpecContext) {
		h := startAlone()
		h.mu.Lock()
		_, _, ok := h.replica.Propose(h.clock.Now(), []byte{0xff})
		h.mu.Unlock()
		Expect(ok).To(BeTrue())
		Expect(h.operate(ctx, service.Operation{Kind: service.TakeZoneOut, Zone: "z2"}).Outcome).To(Equal(service.Done))
		Expect(testutil.ToFloat64(h.metrics.skipped)).To(Equal(1.0))
		time.Sleep(10 * tickEvery) // A host that is to end does so within a few steps.
		Expect(h.operate(ctx, service.Operation{Kind: service.BringZoneIn, Zone: "z2"}).Outcome).To(Equal(service.Done))
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(h.stateMachine.ZonesOut()).To(BeEmpty())
	}, SpecTimeout(20*time.Second))

	It("does not tell the caller that a skipped command was applied", func() {
		h := startAlone()
		h.mu.Lock()
		defer h.mu.Unlock()
		w := pendingProposal{term: 3, result: make(chan proposalResult, 1)}
		h.pendingProposals[99] = w
		h.apply(h.now(), replica.Entry{Index: 99, Term: 3, Kind: replica.EntryCommand, Data: []byte{0xff}})
		Expect(w.result).To(Receive(Equal(proposalResult{applied: false})))
	})

	// Guards against values that other hosts cannot decode, from whichever interface or host they come.
	DescribeTable("refuses an operation with an unreadable text", func(ctx SpecContext, op service.Operation) {
		h := startAlone()
		in, err := encodeOperation(op)
		Expect(err).NotTo(HaveOccurred())
		h.mu.Lock()
		before := h.replica.Status().LastIndex
		h.mu.Unlock()
		out, err := h.Operate(ctx, in)
		Expect(err).NotTo(HaveOccurred())
		Expect(service.Outcome(out.Outcome)).To(Equal(service.Refused))
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(h.replica.Status().LastIndex).To(Equal(before), "nothing enters the log")
	},
		Entry("a report", service.Operation{Kind: service.Register, Worker: &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: unreadable}}}),
		Entry("a zone", service.Operation{Kind: service.TakeZoneOut, Zone: unreadable, ZoneRevision: 1}),
		Entry("a wave", service.Operation{Kind: service.StartWave, Wave: &domain.Wave{Number: 1, Machines: []string{unreadable}, MaxDown: 1}}),
		Entry("a configuration", service.Operation{Kind: service.PutConfig, Config: &domain.Config{Version: 1, Pools: []domain.Pool{{Name: unreadable}}}}),
	)

	It("refuses a job with an unreadable identifier", func(ctx SpecContext) {
		h := startAlone()
		config := &domain.Config{Version: 1, Document: []byte("{}"), Pools: []domain.Pool{{Name: "p"}}, Queues: []domain.Queue{{Name: "q", Pool: "p", Public: true}}}
		Expect(h.operate(ctx, service.Operation{Kind: service.PutConfig, Config: config}).Outcome).To(Equal(service.Done))
		job := &domain.JobSpec{Steps: []domain.Step{{Count: 1}}}
		a := h.answer(ctx, service.Request{Kind: service.Submit, Queue: "q", Job: unreadable, Document: job})
		Expect(a.Verdict).To(Equal(service.Invalid))
		var reply *rpc.CallReply
		reply, err := h.Call(ctx, &rpc.CallRequest{Kind: uint32(service.GetState), Queue: "q", Job: "01"})
		Expect(err).NotTo(HaveOccurred())
		Expect(service.Verdict(reply.Verdict)).To(Equal(service.NoJob), "the host goes on")
	}, SpecTimeout(20*time.Second))
})
