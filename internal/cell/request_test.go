package cell_test

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

var _ = Describe("A request", func() {
	var w *world
	BeforeEach(func() { w = newWorld(1) })

	// count returns the number of distinct events of a kind: every replica, also a restarted one, records each of them.
	count := func(k history.Kind) int {
		seen := map[string]bool{}
		for _, e := range w.events {
			if e.Kind == k {
				seen[fmt.Sprint(e)] = true
			}
		}
		return len(seen)
	}

	// Guards against a repeated submission that creates a second job or is answered with a wrong one.
	It("to submit is idempotent by identifier and by key, also while the first is in flight", func() {
		w.holdLog = true
		j := noRepeat("j", 1)
		other := noRepeat("k", 1)
		other.Key = j.Key
		changed := other
		changed.Body = []byte("different")
		var ids []uint64
		for _, q := range []table.Job{j, j, other, changed} {
			ids = append(ids, w.request(submit(q)))
		}
		w.process()
		Expect(w.replies).NotTo(HaveKey(ids[0]))
		w.releaseProposals()
		for _, id := range ids[:3] {
			Expect(w.replies[id].Job.ID).To(Equal("j"))
		}
		w.run(5 * time.Second)
		reused := []*api.Error{w.replies[ids[3]].Error, w.ask(submit(changed)).Error}
		for _, e := range reused {
			Expect(e.Code).To(Equal(api.CodeKeyReused))
			Expect(e.Status).To(Equal(409))
			Expect(e.NotRun).NotTo(Equal(api.NotRunTrue))
		}
		Expect(w.ask(submit(other)).Job.Answer.Outcome).To(Equal("succeeded"))
		Expect(w.starts).To(HaveLen(1))
		Expect(count(history.Committed)).To(Equal(1))
	})

	DescribeTable("to submit is refused as the scheduler's refusal says", func(code system.RefusalCode, status int) {
		w.schedulers[0].refuse = &system.Refusal{Code: code, RetryAfter: 2 * time.Second}
		e := w.ask(submit(job("j", 1))).Error
		Expect(e.Status).To(Equal(status))
		Expect(e.Code).To(Equal(string(code)))
		Expect(e.NotRun).To(Equal(api.NotRunTrue))
		Expect(e.RetryAfterSeconds).To(Equal(2.0))
		Expect(w.tables().Job("j")).To(BeNil())
		w.schedulers[0].refuse = nil
		Expect(w.ask(submit(job("j", 1))).Job).NotTo(BeNil())
	},
		Entry(nil, system.RefusedRate, 429), Entry(nil, system.RefusedQueueFull, 429),
		Entry(nil, system.RefusedNoWorkers, 503), Entry(nil, system.RefusedZoneOut, 503),
		Entry(nil, system.RefusedNeverFits, 422), Entry(nil, system.RefusedClass, 422),
		Entry(nil, system.RefusedUnknownWorkspace, 403),
	)

	// Guards against a key that is reported as unused because the limits were checked first.
	It("to submit again finds its key before any limit", func() {
		w.ask(submit(noRepeat("j", 1)))
		w.schedulers[0].refuse = &system.Refusal{Code: system.RefusedRate}
		again := noRepeat("j", 1)
		again.ID = "k"
		Expect(w.ask(submit(again)).Job.ID).To(Equal("j"))
	})

	// Guards against a queue limit that a burst exceeds because submissions in flight are not counted.
	It("to submit counts those in flight against the queue", func() {
		w.cell().SetContracts(w.now, 2, []*table.Workspace{{Name: "ws", Revision: 2, Limits: table.Limits{Queued: 2}}})
		w.process()
		w.holdLog = true
		for i := range 3 {
			w.request(submit(job(fmt.Sprint("j", i), 1)))
		}
		w.process()
		Expect(w.replies[w.nextID].Error.Code).To(Equal(api.CodeQueueFull))
		Expect(w.schedulers[0].counted).To(Equal(2), "a refused request does not count against the rate")
	})

	// Guards against a refused identifier that is accepted later, after another zone has taken the job.
	DescribeTable("that is refused durably is never accepted later", func(q cell.SubmitRequest, code system.RefusalCode) {
		w.schedulers[0].refuse = &system.Refusal{Code: code}
		w.holdLog = true
		id := w.request(cell.Request{Submit: &q})
		w.process()
		Expect(w.replies).NotTo(HaveKey(id))
		w.releaseProposals()
		Expect(w.replies[id].Refused).To(BeTrue())
		w.schedulers[0].refuse = nil
		w.crash()
		w.elect(1)
		r := w.ask(cell.Request{Submit: &q})
		Expect(r.Refused).To(BeTrue())
		Expect(r.Error.NotRun).To(Equal(api.NotRunUnknown))
		Expect(w.tables().Job("j")).To(BeNil())
	},
		Entry("claimed", cell.SubmitRequest{Job: noRepeat("j", 1), KeyClaimed: true}, system.RefusedRate),
		Entry("handed over", cell.SubmitRequest{Job: job("j", 1), HandedOver: true}, system.RefusedNeverFits),
	)

	It("to hand a job over is not limited by rate", func() {
		w.schedulers[0].refuse = &system.Refusal{Code: system.RefusedRate}
		Expect(w.ask(cell.Request{Submit: &cell.SubmitRequest{Job: job("j", 1), HandedOver: true}}).Job).NotTo(BeNil())
	})

	It("to get waits until the job ends or its wait time is over", func() {
		w.ask(submit(job("j", 1)))
		get := func(wait int64) uint64 {
			id := w.request(cell.Request{Get: &cell.GetRequest{JobRef: cell.JobRef{Job: "j", Workspace: "ws"},
				WaitMillis: wait}})
			w.process()
			return id
		}
		short, long, gone := get(300), get(10_000), get(10_000)
		w.cell().RequesterGone(gone)
		w.run(400 * time.Millisecond)
		Expect(w.replies[short].Job.State).To(Equal("running"))
		Expect(w.replies).NotTo(HaveKey(long))
		w.run(2 * time.Second)
		Expect(w.replies[long].Job.Answer.Outcome).To(Equal("succeeded"))
		Expect(w.replies).NotTo(HaveKey(gone))
	})

	It("of another workspace finds no job", func() {
		w.ask(submit(job("j", 1)))
		ref := cell.JobRef{Job: "j", Workspace: "other"}
		for _, r := range []cell.Request{{Get: &cell.GetRequest{JobRef: ref}}, {Cancel: &ref}, {Why: &ref}} {
			Expect(w.ask(r).Error.Status).To(Equal(404))
		}
		Expect(w.ask(cell.Request{List: &cell.ListRequest{Workspace: "other"}}).Jobs).To(BeEmpty())
		Expect(w.ask(cell.Request{List: &cell.ListRequest{}}).Jobs).To(HaveLen(1))
	})

	// Guards against a resent command that is carried out twice, and against two concurrent commands that both are.
	It("to change the service returns its first result when repeated; one of two concurrent ones gets a conflict", func() {
		zero := uint64(0)
		ask := func(command string, out bool) cell.Response {
			return w.ask(cell.Request{Service: &cell.ServiceRequest{CommandID: command, ExpectedRevision: &zero, Out: out}})
		}
		first := ask("a", true)
		Expect(first.Zone.State).To(Equal(api.ZoneOut))
		Expect(first.Zone.Revision).To(Equal(uint64(1)))
		Expect(ask("b", false).Error).To(And(HaveField("Code", api.CodeConflict), HaveField("Revision", uint64(1))))
		w.ask(cell.Request{Service: &cell.ServiceRequest{CommandID: "c"}})
		w.crash()
		w.elect(1)
		again := ask("a", true)
		Expect(again.Zone.Repeated).To(BeTrue())
		Expect(again.Zone.State).To(Equal(api.ZoneOut))
		Expect(again.Zone.Revision).To(Equal(uint64(1)))
		Expect(w.ask(cell.Request{Status: &cell.StatusRequest{}}).Zone.State).To(Equal(api.ZoneIn))
		Expect(ask("b", false).Error.Code).To(Equal(api.CodeConflict))
		Expect(count(history.ServiceState)).To(Equal(2))
		for i := range 1000 {
			w.ask(cell.Request{Service: &cell.ServiceRequest{CommandID: fmt.Sprint("n", i)}})
		}
		Expect(ask("a", true).Error.Code).To(Equal(api.CodeConflict))
	})

	It("to leave is acknowledged after the commit, and again when repeated", func() {
		l := cell.Request{Report: cellReport(&endpoint.Leaving{Worker: "w0", Incarnation: "1"})}
		w.holdLog = true
		id := w.request(l)
		w.process()
		Expect(w.replies).NotTo(HaveKey(id))
		w.releaseProposals()
		Expect(w.replies[id].Ack.Accepted).To(BeTrue())
		Expect(w.ask(l).Ack.Accepted).To(BeTrue())
		Expect(w.ask(cell.Request{Workers: &cell.WorkersRequest{}}).Workers[0].State).To(Equal("leaving"))
	})

	It("to dump shows neither bodies nor token digests", func() {
		w.cell().SetContracts(w.now, 2, []*table.Workspace{{Name: "ws", Revision: 2, TokenSHA256: []string{"c0ffee"}}})
		w.ask(submit(job("j", 1)))
		data, err := json.Marshal(w.cell().Dump())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(`"id":"j"`))
		Expect(string(data)).NotTo(ContainSubstring("c0ffee"))
		Expect(string(data)).NotTo(ContainSubstring("Ym9keQ"))
	})

	It("to explain a job says what it waits for", func() {
		w.ask(submit(job("j", 2)))
		Expect(w.ask(cell.Request{Why: &cell.JobRef{Job: "j"}}).Why.Reason).To(Equal("no worker has room"))
	})
})

var _ = Describe("The replicated state", func() {
	It("is the same after a snapshot, and drops only the oldest answers", func() {
		w := newWorld(2)
		once := noRepeat("once", 1)
		once.DeadlineMillis = 3000
		w.ask(submit(once))
		w.ask(submit(job("j", 1)))
		w.ask(submit(job("waits", 3)))
		w.ask(cell.Request{Report: cellReport(&endpoint.Leaving{Worker: "w1", Incarnation: "1"})})
		w.run(3 * time.Second)
		Expect(w.cells[1].Restore(w.now, w.cells[0].Snapshot())).To(Succeed())
		Expect(w.cells[1].Snapshot()).To(Equal(w.cells[0].Snapshot()))
		Expect(w.cells[1].Restore(w.now, []byte("x"))).NotTo(Succeed())
		w.run(time.Hour)
		Expect(w.tables().Job("j")).To(BeNil())
		Expect(w.tables().Job("waits")).NotTo(BeNil())
		Expect(w.cells[1].Snapshot()).To(Equal(w.cells[0].Snapshot()))
		Expect(w.ask(submit(once)).Error.Code).To(Equal(api.CodeNotFound), "a no-repeat job has already run")
		Expect(w.ask(submit(once)).Error.NotRun).To(Equal(api.NotRunUnknown))
	})

	// Guards against memory use that grows with the number or the size of answers.
	DescribeTable("keeps the newest answers within its bounds", func(jobs, bytes int) {
		w := newWorld(1, jobs, bytes)
		for i := range 5 {
			w.ask(submit(job(fmt.Sprint("j", i), 1)))
			w.run(2 * time.Second)
		}
		Expect(w.tables().JobCount()).To(Equal(2))
		Expect(w.get("j4").Answer.Outcome).To(Equal("succeeded"))
	}, Entry("of number", 2, 1000), Entry("of bytes", 100, 2*len("body"+"answer of j0/1")))

	// Guards against a deadline that a leader change shortens, and against one that ends a job that has started.
	It("counts deadlines from the acceptance of the job", func() {
		w := newWorld(1)
		for _, gang := range []int{1, 2} {
			j := job(fmt.Sprint("j", gang), gang)
			j.DeadlineMillis = 500
			w.ask(submit(j))
		}
		w.run(400 * time.Millisecond)
		Expect(w.get("j2").State).To(Equal("queued"))
		w.run(150 * time.Millisecond)
		Expect(w.get("j2").Answer.Outcome).To(Equal("expired"))
		Expect(w.get("j2").Answer.NeverRan).To(BeTrue())
		w.run(time.Second)
		Expect(w.get("j1").Answer.Outcome).To(Equal("succeeded"))
	})

	It("ignores entries that cannot be decoded, and commands that do not apply to the state", func() {
		w := newWorld(1)
		w.ask(submit(job("ended", 1)))
		w.run(3 * time.Second)
		commit := func(c cell.Command) {
			data, err := cbor.Marshal(cell.Batch{Commands: []cell.Command{c}})
			Expect(err).NotTo(HaveOccurred())
			w.commit(data)
		}
		commit(cell.Command{Refuse: &cell.Refuse{Job: "refused"}})
		away := job("away", 3)
		away.ID = "away 2"
		commit(cell.Command{Submit: &cell.Submit{Job: away}})
		commit(cell.Command{UpdateHandOver: &cell.UpdateHandOver{Job: away.ID, Zone: "a"}})
		commit(cell.Command{UpdateHandOver: &cell.UpdateHandOver{Job: away.ID, Zone: "a", Accepted: true}})
		stray := table.Attempt{ID: "away 2/2", Job: away.ID, Members: []table.MemberPlacement{{Worker: "w0"}}}
		inapplicable := []cell.Command{
			{Submit: &cell.Submit{Job: away}}, {Submit: &cell.Submit{Job: job("refused", 1)}},
			{Submit: &cell.Submit{Job: job("ended", 1)}}, {Submit: &cell.Submit{Job: table.Job{ID: "x", Workspace: "none"}}},
			{PlaceAttempt: &cell.PlaceAttempt{Attempt: stray}},
			{PlaceAttempt: &cell.PlaceAttempt{Attempt: table.Attempt{Job: "none"}}},
			{MarkRunning: &cell.MarkRunning{Attempt: "ended/1"}}, {EndAttempt: &cell.EndAttempt{Attempt: "ended/1"}},
			{FinishQueued: &cell.FinishQueued{Job: "ended"}}, {Cancel: &cell.Cancel{Job: "ended"}},
			{Cancel: &cell.Cancel{Job: "none"}}, {UpdateHandOver: &cell.UpdateHandOver{Job: "ended", Zone: "a"}},
			{UpdateHandOver: &cell.UpdateHandOver{Job: away.ID, Zone: "a", Refused: true}}, {Refuse: &cell.Refuse{Job: "ended"}},
			{Forget: &cell.Forget{Jobs: []string{"none"}}}, {},
		}
		before := w.cell().Snapshot()
		w.commit([]byte{0xff, 0x00})
		for i, c := range inapplicable {
			commit(c)
			Expect(w.cell().Snapshot()).To(Equal(before), "command %d", i)
		}
		w.cell().SetContracts(w.now, 1, nil)
		w.process()
		Expect(w.cell().AdoptedRevision()).To(Equal(uint64(1)))
		Expect(w.tables().Workspace("ws")).NotTo(BeNil())
	})

	// Guards against an adoption whose changes were determined from tables that an adoption in flight changes.
	It("adopts a revision that reverts the one in flight", func() {
		w := newWorld(1)
		w.holdLog = true
		w.cell().SetContracts(w.now, 2, []*table.Workspace{{Name: "ws", Revision: 2, SurplusShare: 7}})
		w.process()
		w.cell().SetContracts(w.now, 3, []*table.Workspace{{Name: "ws", Revision: 1, MaxClass: table.Urgent}})
		w.process()
		w.releaseProposals()
		Expect(w.cell().AdoptedRevision()).To(Equal(uint64(3)))
		Expect(w.tables().Workspace("ws").SurplusShare).To(BeZero())
	})
})
