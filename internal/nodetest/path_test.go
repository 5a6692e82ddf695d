package nodetest_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/nodetest"
)

func newWorld(seed uint64) *nodetest.World {
	w := nodetest.New(nodetest.Options{Seed: seed, Hosts: nodetest.SevenHosts(), Workers: nodetest.WorkersOf("abc", 4)})
	ExpectWithOffset(1, w.Prepare()).To(Succeed())
	return w
}

func awaitSettled(w *nodetest.World, j *nodetest.Job, limit time.Duration) {
	ExpectWithOffset(1, w.RunUntil(w.Now()+limit, j.Settled)).To(BeTrue(), "job %s did not settle", j.ID)
}

var _ = Describe("A job", func() {
	var w *nodetest.World

	BeforeEach(func() { w = newWorld(1) })
	AfterEach(func() { Expect(w.Problems).To(BeEmpty()) })

	It("runs as a single task and is answered through any host", func() {
		j := w.Submit(nodetest.SmallWorkspace, api.JobRequest{Class: "urgent", Body: nodetest.Body(50*time.Millisecond, "x")}, "a")
		awaitSettled(w, j, 5*time.Second)
		Expect(j.Answer).NotTo(BeNil())
		Expect(j.Answer.Outcome).To(Equal("succeeded"))
	})

	It("runs as a gang", func() {
		j := w.Submit(nodetest.LargeWorkspace, api.JobRequest{Gang: 2, Accelerators: 8, Adjacency: "rack",
			Body: nodetest.Body(300*time.Millisecond, "x")}, "b")
		awaitSettled(w, j, 5*time.Second)
		Expect(j.Answer).NotTo(BeNil())
		Expect(j.Answer.Outcome).To(Equal("succeeded"))
	})

	It("of a no-repeat request runs once, and resends are answered with the same job", func() {
		r := api.JobRequest{NoRepeat: true, IdempotencyKey: "k", Body: nodetest.Body(50*time.Millisecond, "x")}
		first := w.Submit(nodetest.SmallWorkspace, r, "a")
		awaitSettled(w, first, 5*time.Second)
		second := w.Submit(nodetest.SmallWorkspace, r, "c")
		awaitSettled(w, second, 5*time.Second)
		Expect(second.ID).To(Equal(first.ID))
		Expect(second.Answer.SHA256).To(Equal(first.Answer.SHA256))
	})

	It("is refused if its key was used for another request", func() {
		first := w.Submit(nodetest.SmallWorkspace, api.JobRequest{NoRepeat: true, IdempotencyKey: "k", Body: []byte("1")}, "a")
		awaitSettled(w, first, 5*time.Second)
		second := w.Submit(nodetest.SmallWorkspace, api.JobRequest{NoRepeat: true, IdempotencyKey: "k", Body: []byte("2")}, "b")
		awaitSettled(w, second, 5*time.Second)
		Expect(second.Refusal).NotTo(BeNil())
		Expect(second.Refusal.Code).To(Equal(api.CodeKeyReused))
	})

	It("is refused with the code never_fits if its gang is larger than any zone", func() {
		j := w.Submit(nodetest.LargeWorkspace, api.JobRequest{Gang: 40, Accelerators: 8}, "a")
		awaitSettled(w, j, 5*time.Second)
		Expect(j.Refusal).NotTo(BeNil())
		Expect(j.Refusal.Code).To(Equal(api.CodeNeverFits))
		Expect(j.Refusal.NotRun).To(Equal(api.NotRunTrue))
	})

	It("is not visible to another workspace", func() {
		j := w.Submit(nodetest.SmallWorkspace, api.JobRequest{Body: nodetest.Body(50*time.Millisecond, "x")}, "a")
		awaitSettled(w, j, 5*time.Second)
		resp := w.CallAsCaller(nodetest.LargeWorkspace, node.Request{Get: &node.GetJob{Job: j.ID}})
		Expect(resp).NotTo(BeNil())
		Expect(resp.Error).NotTo(BeNil())
		Expect(resp.Error.Code).To(Equal(api.CodeNotFound))
	})

	It("is handed over when the zone in which it is queued is out", func() {
		resp := w.CallAsOperator(w.PickHost("a"), node.Request{SetZone: &node.SetZone{Zone: "a", Out: true, CommandID: "1"}})
		Expect(resp).NotTo(BeNil())
		Expect(resp.Error).To(BeNil())
		Expect(resp.Body.(*api.ZoneStatus).State).To(Equal(api.ZoneOut))
		j := w.Submit(nodetest.SmallWorkspace, api.JobRequest{Body: nodetest.Body(50*time.Millisecond, "x")}, "a")
		awaitSettled(w, j, 8*time.Second)
		Expect(j.Answer).NotTo(BeNil())
		Expect(j.Answer.Outcome).To(Equal("succeeded"))
	})
})
