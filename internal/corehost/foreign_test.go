package corehost

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// encoded returns the CBOR form of a value.
func encoded(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// document returns the encoded form of an operation, as hosts pass it to each other.
func document(op service.Operation) []byte {
	in, err := encodeOperation(op)
	if err != nil {
		panic(err)
	}
	return in.Document
}

var _ = Describe("a call from another host", Ordered, ContinueOnFailure, func() {
	var h *Host
	BeforeAll(func() {
		h = startAloneWith(Clients{Workers: silentWorkers{}})
		config := &domain.Config{Version: 1, Document: []byte("{}"), Pools: []domain.Pool{{Name: "p"}}, Queues: []domain.Queue{{Name: "q", Pool: "p", Public: true}}}
		Expect(h.operate(context.Background(), service.Operation{Kind: service.PutConfig, Config: config}).Outcome).To(Equal(service.Done))
	})
	goodReport := service.Report{Worker: &domain.Worker{Incarnation: domain.WorkerIncarnation{ID: "i-1", BornMS: 1}, Pool: "p", Address: "10.0.0.1:80"}}

	// Guards against values that no host of this version sends, and that would end the host, or be stored without meaning.
	DescribeTable("is refused if it has no value that can be stored", func(ctx SpecContext, kind service.OperationKind, data []byte, want service.Outcome) {
		h.mu.Lock()
		before := h.replica.Status().LastIndex
		h.mu.Unlock()
		out, err := h.Operate(ctx, &rpc.OperateRequest{Kind: uint32(kind), Document: data, ZoneRevision: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(service.Outcome(out.Outcome)).To(Equal(want))
		h.mu.Lock()
		Expect(h.replica.Status().LastIndex).To(Equal(before), "nothing enters the log")
		h.mu.Unlock()
		Expect(h.operate(ctx, service.Operation{Kind: service.TakeZoneOut, Zone: "z2"}).Outcome).To(Equal(service.Done), "the host goes on")
	},
		Entry("null for a configuration", service.PutConfig, encoded(nil), service.NotServing),
		Entry("a configuration with nothing but a version", service.PutConfig, encoded(map[int]int{1: 7}), service.Refused),
		Entry("no bytes for a configuration", service.PutConfig, nil, service.NotServing),
		Entry("no zone", service.TakeZoneOut, nil, service.Refused),
		Entry("null for a worker", service.Register, encoded(nil), service.NotServing),
		Entry("an empty worker", service.Register, encoded(map[int]int{}), service.Refused),
		Entry("null for a worker that leaves", service.Deregister, encoded(nil), service.NotServing),
		Entry("null for a wave", service.StartWave, encoded(nil), service.NotServing),
		Entry("null for the wave asked for", service.GetWave, encoded(nil), service.NotServing),
		Entry("a wave that may take no machine down", service.StartWave, document(service.Operation{Wave: &domain.Wave{Number: 1, Machines: []string{"m"}}}), service.Refused),
		Entry("a wave with a machine without a name", service.StartWave,
			document(service.Operation{Wave: &domain.Wave{Number: 1, MaxDown: 1, Machines: []string{""}}}), service.Refused),
		Entry("more reports than a host passes on at once", service.RegisterMany,
			document(service.Operation{Reports: make([]service.Report, maxReportBatch+1)}), service.Refused),
		Entry("no kind", service.OperationKind(0), nil, service.NotServing),
		Entry("a kind of a later version", service.OperationKind(99), nil, service.NotServing),
	)

	It("is refused if it is an order for a zone that names no revision", func(ctx SpecContext) {
		// Guards against an order of a host of an earlier version, which may have been overtaken on the way.
		out, err := h.Operate(ctx, &rpc.OperateRequest{Kind: uint32(service.TakeZoneOut), Name: "z3"})
		Expect(err).NotTo(HaveOccurred())
		Expect(service.Outcome(out.Outcome)).To(Equal(service.NotServing))
		h.mu.Lock()
		defer h.mu.Unlock()
		Expect(h.stateMachine.ZoneOut("z3")).To(BeFalse())
	}, SpecTimeout(20*time.Second))

	It("with reports is answered for each of them, also if one has no worker", func(ctx SpecContext) {
		empty := service.Report{Worker: &domain.Worker{}}
		in, err := encodeOperation(service.Operation{Kind: service.RegisterMany, Reports: []service.Report{{}, goodReport, {}, empty}})
		Expect(err).NotTo(HaveOccurred())
		out, err := h.Operate(ctx, in)
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Document).To(Equal([]byte{byte(service.Refused), byte(service.Done), byte(service.Refused), byte(service.Refused)}))
	}, SpecTimeout(20*time.Second))

	DescribeTable("that submits a job is refused", func(ctx SpecContext, data []byte) {
		for _, kind := range []service.RequestKind{service.Submit, 99} {
			out, err := h.Call(ctx, &rpc.CallRequest{Kind: uint32(kind), Queue: "q", Job: "01", Document: data, RetentionEpoch: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(service.Verdict(out.Verdict)).To(BeElementOf(service.Invalid, service.NoJob))
		}
		Expect(h.operate(ctx, service.Operation{Kind: service.TakeZoneOut, Zone: "z2"}).Outcome).To(Equal(service.Done), "the host goes on")
	},
		Entry("with null", encoded(nil)),
		Entry("with no bytes", nil),
		Entry("with a list", encoded([]int{1})),
		Entry("with a negative number of tasks", encoded(domain.JobSpec{Steps: []domain.Step{{Count: -1}}})),
		Entry("with more tasks than memory can hold", encoded(domain.JobSpec{Steps: []domain.Step{{Count: 1 << 50}}})),
		Entry("with a text that is not UTF-8", encoded(domain.JobSpec{Steps: []domain.Step{{Count: 1}}, Payload: unreadable})),
		Entry("with values nested without end", []byte(strings.Repeat("\x81", 10000))),
	)

	It("with an entry that cannot be executed does not end the host", func() {
		h := openHost(GinkgoT().TempDir())
		job := domain.Command{Submit: &domain.JobSpec{ID: "j", Steps: []domain.Step{{Count: -1}}}}
		Expect(deliver(h, appendOf(0, job.Encode(), zoneOut("z1")))).To(Succeed())
		Expect(h.stateMachine.ZonesOut()).To(Equal([]string{"z1"}))
		Expect(testutil.ToFloat64(h.metrics.skipped)).To(Equal(1.0))
		Expect(h.store.close()).To(Succeed())
	})
})
