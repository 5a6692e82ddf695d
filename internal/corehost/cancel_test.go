package corehost

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// Guards against jobs that run after their caller was told, when cancelling them, that they do not exist.
var _ = Describe("a job that is cancelled before its submission is applied", func() {
	const job = "5c0e7a21d94b36f8"
	request := func(kind service.RequestKind) service.Request {
		r := service.Request{Kind: kind, Queue: "q", Job: job, Key: "k1"}
		if kind == service.Submit {
			r.Document = &domain.JobSpec{Steps: []domain.Step{{Count: 1}}}
		}
		return r
	}
	start := func(ctx context.Context) *Host {
		h := startAloneWith(Clients{Workers: silentWorkers{}})
		config := &domain.Config{Version: 1, Document: []byte("{}"), Pools: []domain.Pool{{Name: "p"}}, Queues: []domain.Queue{{Name: "q", Pool: "p"}},
			Workspaces: []domain.Workspace{{Name: "w1", Keys: []string{"k1"}}, {Name: "w2", Keys: []string{"k2"}}}}
		Expect(h.operate(ctx, service.Operation{Kind: service.PutConfig, Config: config}).Outcome).To(Equal(service.Done))
		return h
	}
	verdict := func(ctx context.Context, h *Host, kind service.RequestKind) service.Verdict {
		return h.answer(ctx, request(kind)).Verdict
	}

	It("stays cancelled if the submission arrives later", func(ctx SpecContext) {
		h := start(ctx)
		Expect(verdict(ctx, h, service.Cancel)).To(Equal(service.NoJob))
		Expect(verdict(ctx, h, service.GetState)).To(Equal(service.NoJob), "a job that nobody has submitted is not shown")
		Expect(verdict(ctx, h, service.Submit)).To(Equal(service.Accepted))
		Expect(h.answer(ctx, request(service.GetState))).To(Equal(service.Answer{Verdict: service.Found, State: domain.JobCancelled}))
		Expect(verdict(ctx, h, service.Submit)).To(Equal(service.Accepted), "as for any other job that was submitted before")
		Expect(verdict(ctx, h, service.Cancel)).To(Equal(service.Cancelled))
	}, SpecTimeout(20*time.Second))

	It("is cancelled if the submission is being committed", func(ctx SpecContext) {
		h := start(ctx)
		h.mu.Lock()
		now := h.now()
		_, submission := h.decide(now, request(service.Submit))
		_, _, ok := h.replica.Propose(now.Mono, submission.Encode())
		_, cancellation := h.decide(now, request(service.Cancel))
		h.mu.Unlock()
		Expect(ok).To(BeTrue())
		Expect(cancellation).NotTo(BeNil(), "the answer waits for what was proposed before")
		Expect(verdict(ctx, h, service.Cancel)).To(Equal(service.Cancelled))
		Expect(h.answer(ctx, request(service.GetState)).State).To(Equal(domain.JobCancelled))
	}, SpecTimeout(20*time.Second))

	It("does not run if the submission arrives when the cancel is forgotten", func(ctx SpecContext) {
		h := start(ctx)
		document, err := cbor.Marshal(request(service.Submit).Document)
		Expect(err).NotTo(HaveOccurred())
		late := &rpc.CallRequest{Kind: uint32(service.Submit), Queue: "q", Job: job, Key: "k1", Document: document}
		call := func() service.Verdict {
			out, err := h.Call(ctx, late)
			Expect(err).NotTo(HaveOccurred())
			return service.Verdict(out.Verdict)
		}
		Expect(call()).To(Equal(service.Unavailable), "without an epoch nobody knows how old it is")
		located, err := h.Locate(ctx, &rpc.LocateRequest{})
		Expect(err).NotTo(HaveOccurred())
		late.RetentionEpoch = located.RetentionEpoch
		Expect(verdict(ctx, h, service.Cancel)).To(Equal(service.NoJob))
		for range 5 {
			Expect(h.commitNow(ctx, &domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: time.Now().UnixMilli() + 1, NewEpoch: true}})).To(Equal(service.Done))
		}
		Expect(call()).To(Equal(service.Unavailable))
		Expect(verdict(ctx, h, service.GetState)).To(Equal(service.NoJob))
		located, err = h.Locate(ctx, &rpc.LocateRequest{})
		Expect(err).NotTo(HaveOccurred())
		late.RetentionEpoch = located.RetentionEpoch
		Expect(call()).To(Equal(service.Accepted))
	}, SpecTimeout(20*time.Second))

	It("is not remembered for names that no job can have, nor for a job of another workspace", func(ctx SpecContext) {
		h := start(ctx)
		Expect(verdict(ctx, h, service.Submit)).To(Equal(service.Accepted))
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, r := range []service.Request{{Kind: service.Cancel, Queue: "q", Job: "a/b", Key: "k1"}, {Kind: service.Cancel, Queue: "q", Job: job, Key: "k2"}} {
			a, change := h.decide(h.now(), r)
			Expect(change).To(BeNil())
			Expect(a.Verdict).To(Equal(service.NoJob))
		}
	}, SpecTimeout(20*time.Second))

	It("takes a bounded part of the memory", func(ctx SpecContext) {
		h := start(ctx)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.settings.JobBytes = 80
		a, change := h.decide(h.now(), request(service.Cancel))
		Expect(change).To(BeNil())
		Expect(a.Verdict).To(Equal(service.Overloaded))
	}, SpecTimeout(20*time.Second))
})
