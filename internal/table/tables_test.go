package table_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

var _ = Describe("Tables", func() {
	var t *table.Tables

	newJob := func(id string, sequence uint64) *table.Job {
		return &table.Job{ID: id, Workspace: "w", Shape: table.Shape{Gang: 2, Accelerators: 4}, Sequence: sequence}
	}

	BeforeEach(func() {
		t = table.New("z")
		t.PutWorker(&table.Worker{ID: "a", Incarnation: "1", Rack: "r", Accelerators: 8, Slots: 8})
		t.PutWorker(&table.Worker{ID: "b", Incarnation: "1", Rack: "r", Accelerators: 8, Slots: 8})
	})

	It("keeps queues in the order of acceptance when a job returns to the queue", func() {
		first, second := newJob("j1", 1), newJob("j2", 2)
		t.AddJob(second)
		t.AddJob(first)
		t.SetJobState(first, table.JobRunning)
		t.SetJobState(first, table.JobQueued)
		Expect(t.Queued("w", table.Urgent)).To(Equal([]*table.Job{first, second}))
		Expect(t.OpenJobs("w")).To(Equal(2))
	})

	It("releases exactly the capacity that an attempt allocated, even if its worker was replaced meanwhile", func() {
		t.AddJob(newJob("j1", 1))
		a := &table.Attempt{ID: "j1/1", Job: "j1", Accelerators: 4, Borrowed: true,
			Members: []table.MemberPlacement{{Worker: "a"}, {Worker: "a"}}}
		t.AddAttempt(a)
		Expect(t.Worker("a").FreeAccelerators()).To(Equal(0))
		t.PutWorker(&table.Worker{ID: "a", Incarnation: "2", Rack: "r", Accelerators: 8, Slots: 8})
		Expect(t.Worker("a").FreeAccelerators()).To(Equal(0))
		t.RemoveAttempt("j1/1")
		Expect(t.Worker("a").FreeAccelerators()).To(Equal(8))
		Expect(t.Worker("a").FreeSlots()).To(Equal(8))
		Expect(t.RunningAccelerators("w")).To(Equal(0))
		Expect(t.BorrowedAccelerators("w")).To(Equal(0))
	})

	It("removes the idempotency key together with the job, but never removes an open job", func() {
		j := newJob("j1", 1)
		j.Key = "k"
		t.AddJob(j)
		t.RemoveJob("j1")
		Expect(t.JobByKey("w", "k")).To(Equal(j))
		t.SetJobState(j, table.JobEnded)
		t.RemoveJob("j1")
		Expect(t.JobByKey("w", "k")).To(BeNil())
	})
})
