package corehost

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// Guards against late calls that a leader accepts because it learned of the later ones only from its disk.
var _ = DescribeTable("a host that has restarted and leads in another term does not execute late calls", func(ctx SpecContext, compacted bool) {
	folder := GinkgoT().TempDir()
	h, stop := startAloneIn(folder, Clients{Workers: silentWorkers{}})
	config := &domain.Config{Version: 1, Document: []byte("{}"), Pools: []domain.Pool{{Name: "p"}}, Queues: []domain.Queue{{Name: "q", Pool: "p", Public: true}}}
	Expect(h.operate(ctx, service.Operation{Kind: service.PutConfig, Config: config}).Outcome).To(Equal(service.Done))
	located, err := h.Locate(ctx, &rpc.LocateRequest{})
	Expect(err).NotTo(HaveOccurred())
	document, err := cbor.Marshal(&domain.JobSpec{Steps: []domain.Step{{Count: 1}}})
	Expect(err).NotTo(HaveOccurred())
	submission := func(job string) *rpc.CallRequest {
		return &rpc.CallRequest{Kind: uint32(service.Submit), Queue: "q", Job: job, Document: document, RetentionEpoch: located.RetentionEpoch}
	}
	order, err := encodeOperation(service.Operation{Kind: service.TakeZoneOut, Zone: "z2", ZoneRevision: h.operate(ctx, service.Operation{Kind: service.GetZoneRevision}).ZoneRevision})
	Expect(err).NotTo(HaveOccurred())

	Expect(h.operate(ctx, service.Operation{Kind: service.BringZoneIn, Zone: "z2"}).Outcome).To(Equal(service.Done))
	for range 4 {
		Expect(h.commitNow(ctx, &domain.Command{Purge: &domain.PurgeEndedJobs{NewEpoch: true}})).To(Equal(service.Done))
	}
	Expect(h.answer(ctx, service.Request{Kind: service.Cancel, Queue: "q", Job: "01"}).Verdict).To(Equal(service.NoJob))
	if compacted {
		h.mu.Lock()
		h.replica.Compact(h.replica.AppliedIndex(), h.stateMachine.Snapshot())
		h.disk.replace(h.replica.FullRecord())
		h.mu.Unlock()
	}
	term := h.leaderTerm
	stop()
	h, _ = startAloneIn(folder, Clients{Workers: silentWorkers{}})
	Expect(h.leaderTerm).To(BeNumerically(">", term))

	late, err := h.Operate(ctx, order)
	Expect(err).NotTo(HaveOccurred())
	Expect(service.Outcome(late.Outcome)).To(Equal(service.Superseded))
	expired, err := h.Call(ctx, submission("02"))
	Expect(err).NotTo(HaveOccurred())
	Expect(service.Verdict(expired.Verdict)).To(Equal(service.Unavailable))
	located, err = h.Locate(ctx, &rpc.LocateRequest{})
	Expect(err).NotTo(HaveOccurred())
	accepted, err := h.Call(ctx, submission("01"))
	Expect(err).NotTo(HaveOccurred())
	Expect(service.Verdict(accepted.Verdict)).To(Equal(service.Accepted))
	Expect(h.answer(ctx, service.Request{Kind: service.GetState, Queue: "q", Job: "01"}).State).To(Equal(domain.JobCancelled))
},
	Entry("from its log", SpecTimeout(20*time.Second), false),
	Entry("from a snapshot", SpecTimeout(20*time.Second), true),
)
