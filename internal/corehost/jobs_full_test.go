package corehost

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

var _ = Describe("stored jobs", func() {
	const room = 100_000

	start := func(ctx context.Context) *Host {
		h := startAloneWith(Clients{Workers: silentWorkers{}})
		h.mu.Lock()
		h.settings.JobBytes = room
		h.mu.Unlock()
		config := &domain.Config{Version: 1, Document: []byte("{}"), Pools: []domain.Pool{{Name: "p"}}, Queues: []domain.Queue{{Name: "q", Pool: "p", Public: true}}}
		Expect(h.operate(ctx, service.Operation{Kind: service.PutConfig, Config: config}).Outcome).To(Equal(service.Done))
		return h
	}
	submit := func(ctx context.Context, h *Host, id string, spec domain.JobSpec) service.Verdict {
		return h.answer(ctx, service.Request{Kind: service.Submit, Queue: "q", Job: id, Document: &spec}).Verdict
	}

	// Guards against core hosts that run out of memory because of many accepted jobs.
	DescribeTable("take a bounded part of the memory; further ones are refused for the time being", func(ctx SpecContext, spec domain.JobSpec) {
		h := start(ctx)
		var mu sync.Mutex
		verdicts := map[service.Verdict][]string{}
		var all sync.WaitGroup
		for i := range 60 { // All at once, so that none is stored yet when the others arrive.
			id := fmt.Sprintf("%016x", i)
			all.Go(func() {
				v := submit(ctx, h, id, spec)
				for v == service.Unknown || v == service.NotLeader { // On a busy machine.
					time.Sleep(50 * time.Millisecond)
					v = submit(ctx, h, id, spec)
				}
				mu.Lock()
				defer mu.Unlock()
				verdicts[v] = append(verdicts[v], id)
			})
		}
		all.Wait()
		Expect(verdicts).To(And(HaveLen(2), HaveKey(service.Accepted), HaveKey(service.Overloaded)))
		h.mu.Lock()
		jobs, bytes := h.stateMachine.JobCount(), h.stateMachine.JobBytes()
		h.mu.Unlock()
		Expect(jobs).To(Equal(len(verdicts[service.Accepted])))
		Expect(bytes).To(And(BeNumerically("<=", room), BeNumerically(">", room-spec.Bytes()-100)))
		first := verdicts[service.Accepted][0]
		Expect(submit(ctx, h, first, spec)).To(Equal(service.Accepted), "a repeated submission stays accepted")
		Expect(h.answer(ctx, service.Request{Kind: service.Cancel, Queue: "q", Job: first}).Verdict).To(Equal(service.Cancelled))
		Expect(h.commitNow(ctx, &domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: time.Now().UnixMilli() + 1}})).To(Equal(service.Done))
		Expect(submit(ctx, h, verdicts[service.Overloaded][0], spec)).To(Equal(service.Accepted), "there is room again")
	},
		Entry("with large specs", domain.JobSpec{Payload: strings.Repeat("x", 4000), Steps: []domain.Step{{Count: 1}}}),
		Entry("with many tasks", domain.JobSpec{Steps: []domain.Step{{Count: 100}}}),
		Entry("with many steps", domain.JobSpec{Steps: twentySteps()}),
	)

	// Guards against a job that runs although each call that handed it in was rejected.
	It("that are being committed are not refused to a caller who repeats the call", func(ctx SpecContext) {
		h := start(ctx)
		h.mu.Lock()
		defer h.mu.Unlock()
		spec := domain.JobSpec{Steps: []domain.Step{{Count: 1}}}
		h.pendingProposals[1<<40] = pendingProposal{result: make(chan proposalResult, 1), job: "0000000000000001", jobBytes: room}
		for id, want := range map[string]service.Verdict{"0000000000000001": service.Unknown, "0000000000000002": service.Overloaded} {
			a, change := h.decide(h.now(), service.Request{Kind: service.Submit, Queue: "q", Job: id, Document: &spec})
			Expect(change).To(BeNil())
			Expect(a.Verdict).To(Equal(want))
		}
	})

	// Guards against jobs that are refused although there is room, because calls for other jobs were repeated meanwhile.
	It("that are being committed count once, however many calls hand them in", func(ctx SpecContext) {
		h := start(ctx)
		h.mu.Lock()
		defer h.mu.Unlock()
		submitted := &domain.Command{Submit: &domain.JobSpec{ID: "0000000000000001", Payload: strings.Repeat("x", room/2), Steps: []domain.Step{{Count: 1}}}}
		cancelled := &domain.Command{Cancel: &domain.CancelJob{Job: "0000000000000002", Workspace: strings.Repeat("w", room/4)}}
		for i := range uint64(3) {
			h.pendingProposals[1<<40+2*i] = h.newPendingProposal(1, submitted)
			h.pendingProposals[1<<40+2*i+1] = h.newPendingProposal(1, cancelled)
		}
		for tasks, want := range map[int]service.Verdict{100: service.Accepted, 400: service.Overloaded} {
			other := domain.JobSpec{Steps: []domain.Step{{Count: tasks}}} // At 64 bytes a task.
			a, _ := h.decide(h.now(), service.Request{Kind: service.Submit, Queue: "q", Job: "0000000000000003", Document: &other})
			Expect(a.Verdict).To(Equal(want))
		}
	})

	It("are counted alike by a host that restores a snapshot", func(ctx SpecContext) {
		h := start(ctx)
		scheduled := domain.JobSpec{Payload: "x", Steps: []domain.Step{{Count: 3}, {Count: 2, DependsOn: []int{0}}}, RepeatCount: 5, StartAtMS: 1, IntervalMS: 1}
		Expect(submit(ctx, h, "0000000000000001", scheduled)).To(Equal(service.Accepted))
		Expect(submit(ctx, h, "0000000000000002", domain.JobSpec{Steps: []domain.Step{{Count: 7}}})).To(Equal(service.Accepted))
		bytes := func(restored bool) int {
			h.mu.Lock()
			defer h.mu.Unlock()
			if !restored {
				return h.stateMachine.JobBytes()
			}
			m := domain.New()
			Expect(m.Restore(h.stateMachine.Snapshot())).To(Succeed())
			return m.JobBytes()
		}
		Eventually(func() bool { // Occurrences become due meanwhile.
			h.mu.Lock()
			defer h.mu.Unlock()
			j := h.stateMachine.Job("0000000000000001")
			return j != nil && len(j.Occurrences) > 1
		}, 5*time.Second).Should(BeTrue())
		Expect(bytes(true)).To(Equal(bytes(false)))
		for _, id := range []string{"0000000000000001", "0000000000000002"} {
			Expect(h.answer(ctx, service.Request{Kind: service.Cancel, Queue: "q", Job: id}).Verdict).To(Equal(service.Cancelled))
		}
		Expect(h.commitNow(ctx, &domain.Command{Purge: &domain.PurgeEndedJobs{BeforeMS: time.Now().UnixMilli() + 1}})).To(Equal(service.Done))
		Expect(bytes(false)).To(BeZero())
	}, SpecTimeout(30*time.Second))
})

// twentySteps returns 20 steps of one task.
func twentySteps() []domain.Step {
	steps := make([]domain.Step, 20)
	for i := range steps {
		steps[i].Count = 1
	}
	return steps
}

// commitNow commits a command.
func (h *Host) commitNow(ctx context.Context, c *domain.Command) service.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.commitOperation(ctx, h.now(), c).Outcome
}
