package cell_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// runJob submits a job, submits it again 3 s later, as a caller does after a leader change, and lets it end.
func runJob(w *world, j table.Job) {
	w.request(submit(j))
	w.process()
	w.run(3 * time.Second)
	w.request(submit(j))
	w.run(30 * time.Second)
}

// expectOutcomeAfterFault checks what must be true of a job after any single fault during its start.
func expectOutcomeAfterFault(w *world, j table.Job, at string) {
	v := w.get(j.ID)
	Expect(v.State).To(Equal("ended"), at)
	Expect(w.answers(j.ID)).To(BeNumerically("<=", 1), at)
	Expect(w.tables().AttemptCount()).To(BeZero(), at)
	Expect(w.tables().RunningAccelerators("ws")).To(BeZero(), at)
	Expect(w.cells[0].Snapshot()).To(Equal(w.cells[1].Snapshot()), at)
	if !j.NoRepeat {
		Expect(v.Answer.Outcome).To(Equal("succeeded"), at)
		return
	}
	runs := w.startedAttempts(j.ID)
	Expect(runs).To(BeNumerically("<=", 1), at)
	if v.Answer.Outcome != "succeeded" {
		Expect(v.Answer.Outcome).To(Equal("unknown"), at)
		Expect(w.starts).NotTo(BeEmpty(), at+": a job that never ran must be placed again")
	}
	Expect(v.Answer.NeverRan).To(BeFalse(), at)
}

var _ = Describe("A change of leader", func() {
	// Guards against an answer that is dropped, or a job that is reported as never run, because its task ended before
	// the new leader stopped it.
	DescribeTable("takes over a task that ended in the meantime", func(withholdResults bool, outcome string) {
		for _, gang := range []int{1, 3} {
			w := newWorld(4)
			for _, e := range w.endpoints {
				e.runFor, e.withholdResults = 50*time.Millisecond, withholdResults
			}
			opened := 0
			w.intercept = func(c cell.EndpointCall) (bool, bool) {
				if c.Call.GateOpen {
					opened++
				}
				if opened == gang && w.killAt < 0 {
					w.killAt = w.step + 1
				}
				return true, true
			}
			runJob(w, noRepeat("j", gang))
			Expect(w.get("j").Answer.Outcome).To(Equal(outcome))
			Expect(w.get("j").Answer.NeverRan).To(BeFalse())
			Expect(w.starts).To(HaveLen(gang))
		}
	}, Entry("and still holds its result", false, "succeeded"), Entry("and never sends its result", true, "unknown"))

	// Guards against a no-repeat job that is repeated because its endpoint, which may have started it, does not reply.
	It("treats a job as run if its endpoint cannot be asked", func() {
		for _, lose := range []func(*fakeEndpoint){func(e *fakeEndpoint) { e.silent = true },
			func(e *fakeEndpoint) { e.restart("2") }} {
			w := newWorld(4)
			w.intercept = func(c cell.EndpointCall) (bool, bool) {
				if c.Call.GateOpen && w.killAt < 0 {
					w.killAt = w.step + 1
				}
				return true, true
			}
			w.request(submit(noRepeat("j", 1)))
			w.process()
			lose(w.endpoints["w0"])
			w.run(20 * time.Second)
			Expect(w.get("j").Answer.Outcome).To(Equal("unknown"))
			Expect(w.get("j").Answer.NeverRan).To(BeFalse())
		}
	})

	kinds := []TableEntry{}
	for _, gang := range []int{1, 3} {
		for _, once := range []bool{false, true} {
			kinds = append(kinds, Entry(fmt.Sprintf("gang of %d, no repeat %v", gang, once), gang, once))
		}
	}
	newJob := func(gang int, once bool) table.Job {
		if once {
			return noRepeat("j", gang)
		}
		return job("j", gang)
	}
	steps := func(gang int, once bool) (from, to int) {
		w := newWorld(4)
		from = w.step + 1
		runJob(w, newJob(gang, once))
		return from, w.step
	}

	// Guards against a job that is lost, runs twice or gets a second answer when its leader crashes.
	DescribeTable("at any step of a start neither loses nor repeats the job", func(gang int, once bool) {
		from, to := steps(gang, once)
		Expect(to - from).To(BeNumerically(">=", 4*gang))
		for _, keep := range []bool{false, true} {
			for k := from; k <= to; k++ {
				w := newWorld(4)
				w.killAt, w.keepProposal = k, keep
				runJob(w, newJob(gang, once))
				expectOutcomeAfterFault(w, newJob(gang, once), fmt.Sprintf("killed at step %d, proposal kept %v", k, keep))
			}
		}
	}, kinds)

	// Guards against starts that are sent, or never go on, after the lease was lost for longer than a reservation lasts.
	DescribeTable("is not needed after the lease was lost for 3 s at any step", func(gang int, once bool) {
		from, to := steps(gang, once)
		for k := from; k <= to; k++ {
			w := newWorld(4)
			w.suspendAt = k
			runJob(w, newJob(gang, once))
			expectOutcomeAfterFault(w, newJob(gang, once), fmt.Sprintf("suspended at step %d", k))
		}
	}, kinds)

	// Guards against a running job that ends, or is started again, because its new leader does not know its endpoint.
	It("lets running gangs finish", func() {
		w := newWorld(4)
		for _, e := range w.endpoints {
			e.runFor = 20 * time.Second
		}
		w.ask(submit(noRepeat("j", 3)))
		w.run(time.Second)
		w.crash()
		w.run(25 * time.Second)
		Expect(w.get("j").Answer.Outcome).To(Equal("succeeded"))
		Expect(w.starts).To(HaveLen(3))
	})

	It("ends what runs on endpoints that never announce to the new leader", func() {
		w := newWorld(4)
		for _, e := range w.endpoints {
			e.runFor = time.Hour
		}
		w.ask(submit(noRepeat("j", 1)))
		w.run(time.Second)
		w.crash()
		w.endpoints["w0"].silent = true
		w.run(11 * time.Second)
		Expect(w.get("j").State).To(Equal("running"))
		w.run(2 * time.Second)
		Expect(w.get("j").Answer.Outcome).To(Equal("unknown"))
		Expect(w.get("j").Answer.NeverRan).To(BeFalse())
	})

	It("drops waiting requests and answers nothing while suspended", func() {
		w := newWorld(1)
		w.cell().Suspend(w.now)
		id := w.request(cell.Request{Status: &cell.StatusRequest{}})
		w.process()
		Expect(w.replies).NotTo(HaveKey(id))
		w.cell().Lead(w.now, w.epoch)
		w.process()
		Expect(w.replies).To(HaveKey(id))
		w.holdLog = true
		late := w.request(submit(job("j", 1)))
		w.process()
		w.crash()
		w.elect(1)
		w.releaseProposals()
		Expect(w.replies).NotTo(HaveKey(late))
		Expect(w.get("j")).NotTo(BeNil())
	})
})
