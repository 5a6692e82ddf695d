package cell_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// newWorldOutOfService returns a world without workers whose zone is out of service. Of the other zones, a and b can
// take jobs; c is out of service and d is not reachable.
func newWorldOutOfService(jobs ...table.Job) *world {
	w := newWorld(0)
	for _, j := range jobs {
		w.ask(submit(j))
	}
	w.cell().SetZones([]cell.ZoneView{
		{Zone: "a", Reachable: true, Accelerators: 8, LargestGang: 4},
		{Zone: "b", Reachable: true, Accelerators: 4, LargestGang: 4},
		{Zone: "c", Out: true, Reachable: true, Accelerators: 100, LargestGang: 100},
		{Zone: "d", Accelerators: 100, LargestGang: 100},
	})
	w.ask(cell.Request{Service: &cell.ServiceRequest{CommandID: "out", Out: true}})
	return w
}

var _ = Describe("A hand-over", func() {
	wide, sameRack := job("wide", 6), job("close", 6)
	sameRack.Shape.Adjacency = table.SameRack
	bound := job("bound", 1)
	bound.Zone = "z"

	// Guards against a job that is sent to a zone where it never fits, and against a job that both zones may start.
	It("moves a job once, to a zone with room, and is sent again until that zone replies", func() {
		w := newWorldOutOfService(wide, sameRack, bound)
		w.run(2500 * time.Millisecond)
		Expect(w.handOvers).To(HaveLen(3))
		for _, h := range w.handOvers {
			Expect(h.Zone).To(Equal("a"))
			Expect(h.Job.ID).To(Equal("wide"))
		}
		Expect(w.get("close").State).To(Equal("queued"))
		Expect(w.get("bound").State).To(Equal("queued"))
		w.cell().HandOverReplied(w.now, "wide", "b", true, false)
		w.cell().HandOverReplied(w.now, "wide", "a", false, false)
		w.process()
		Expect(w.tables().Job("wide").HandOverCommitted).To(BeFalse())
		w.cell().HandOverReplied(w.now, "wide", "a", true, false)
		w.cell().HandOverReplied(w.now, "wide", "a", true, false)
		w.process()
		Expect(w.tables().Job("wide").HandOverCommitted).To(BeTrue())
		r := w.ask(cell.Request{Get: &cell.GetRequest{JobRef: cell.JobRef{Job: "wide"}}})
		Expect(r.MovedTo).To(Equal("a"))
		w.handOvers = nil
		w.run(2 * time.Second)
		Expect(w.handOvers).To(BeEmpty())
	})

	It("tries another zone after a refusal, and continues under a new leader", func() {
		w := newWorldOutOfService(noRepeat("j", 1))
		w.run(time.Second)
		Expect(w.handOvers[0].Zone).To(Equal("a"))
		w.cell().HandOverReplied(w.now, "j", "a", false, true)
		w.run(time.Second)
		Expect(w.handOvers[len(w.handOvers)-1].Zone).To(Equal("b"))
		w.crash()
		w.handOvers = nil
		w.run(2 * time.Second)
		Expect(w.handOvers[0].Zone).To(Equal("b"))
		w.cell().HandOverReplied(w.now, "j", "b", true, false)
		w.process()
		Expect(w.tables().Job("j").HandOverCommitted).To(BeTrue())
	})

	// Guards against a resent message of an earlier hand-over that is accepted after the job was handed on.
	It("accepts a job again only from a later hand-over", func() {
		w := newWorldOutOfService(job("j", 1))
		w.run(time.Second)
		sent := w.handOvers[0].Job
		w.cell().HandOverReplied(w.now, "j", w.handOvers[0].Zone, true, false)
		w.process()
		w.ask(cell.Request{Service: &cell.ServiceRequest{CommandID: "in"}})
		back := cell.Request{Submit: &cell.SubmitRequest{Job: sent, HandedOver: true}}
		Expect(w.ask(back).MovedTo).To(Equal("a"))
		Expect(w.tables().Job("j").State).To(Equal(table.JobHandedOver))
		sent.AttemptCount++
		Expect(w.ask(back).MovedTo).To(Equal("a"))
		back.Submit.Job.AttemptCount++
		Expect(w.ask(back).Job.State).To(Equal("queued"))
		Expect(w.ask(back).Job.State).To(Equal("queued"))
		w.ask(cell.Request{Service: &cell.ServiceRequest{CommandID: "out again", Out: true}})
		w.handOvers = nil
		w.run(time.Second)
		Expect(w.handOvers[0].Zone).To(Equal("b"), "the job must not go straight back to zone a")
	})

	It("keeps at most 64 jobs in flight, spread in proportion to the size of the zones", func() {
		w := newWorldOutOfService()
		w.ask(cell.Request{Service: &cell.ServiceRequest{CommandID: "in"}})
		for i := range 100 {
			w.ask(submit(job(fmt.Sprint("j", i), 1)))
		}
		w.ask(cell.Request{Service: &cell.ServiceRequest{CommandID: "out again", Out: true}})
		w.run(600 * time.Millisecond)
		counts := map[string]int{}
		for _, h := range w.handOvers {
			counts[h.Zone]++
		}
		Expect(counts["a"] + counts["b"]).To(Equal(64))
		Expect(counts["b"]).To(BeNumerically("~", 21, 1))
	})

	It("must be complete before requests for the job are directed to the other zone", func() {
		w := newWorldOutOfService(job("j", 1))
		w.run(time.Second)
		r := w.ask(cell.Request{Cancel: &cell.JobRef{Job: "j"}})
		Expect(r.Error.Status).To(Equal(503))
		Expect(w.ask(submit(job("j", 1))).MovedTo).To(BeEmpty(), "zone a may not hold it yet")
		w.cell().HandOverReplied(w.now, "j", "a", true, false)
		w.process()
		Expect(w.ask(cell.Request{Cancel: &cell.JobRef{Job: "j"}}).MovedTo).To(Equal("a"))
	})
})
