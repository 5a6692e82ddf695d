package cell_test

import (
	"fmt"
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// randomRuns is the number of seeds that the test runs, from 0 on.
const randomRuns = 20

// injectFault carries out one random fault or command.
func injectFault(w *world, r *rand.Rand, jobs []table.Job) {
	e := w.endpoints[w.endpointIDs[r.Intn(len(w.endpointIDs))]]
	j := jobs[r.Intn(len(jobs))]
	switch r.Intn(12) {
	case 0:
		w.killAt = w.step + 1 + r.Intn(20)
		w.keepProposal = r.Intn(2) == 0
	case 1:
		w.suspendAt = w.step + 1 + r.Intn(20)
	case 2:
		e.silent = !e.silent
	case 3:
		w.restarts++
		e.restart(fmt.Sprint("r", w.restarts))
	case 4:
		e.withholdResults = !e.withholdResults
	case 5:
		e.outcome = []endpoint.Outcome{endpoint.OutcomeSucceeded, endpoint.OutcomeFailed}[r.Intn(2)]
	case 6:
		w.request(cell.Request{Cancel: &cell.JobRef{Job: j.ID}})
	case 7:
		w.request(cell.Request{Service: &cell.ServiceRequest{CommandID: fmt.Sprint(w.now), Out: r.Intn(2) == 0}})
	case 8:
		w.request(cell.Request{Report: cellReport(&endpoint.Leaving{Worker: e.worker, Incarnation: e.incarnation})})
	case 9:
		if w.holdLog = !w.holdLog; !w.holdLog {
			w.releaseProposals()
		}
	case 10:
		for _, a := range w.tables().Attempts() {
			w.schedulers[max(w.leader, 0)].preempt = []system.Preemption{{Attempt: a.ID}}
		}
	case 11:
		w.request(submit(j))
	}
}

// endFaults ends all faults and brings the zone back into service.
func endFaults(w *world) {
	w.killAt, w.suspendAt, w.intercept, w.delay = -1, -1, nil, nil
	w.releaseProposals()
	for _, id := range w.endpointIDs {
		e := w.endpoints[id]
		e.withholdResults, e.outcome, e.silent = false, endpoint.OutcomeSucceeded, false
		if w.tables().Leaving()[id] == e.incarnation {
			w.restarts++
			e.restart(fmt.Sprint("r", w.restarts))
		}
	}
	w.run(5 * time.Second)
	w.request(cell.Request{Service: &cell.ServiceRequest{CommandID: "end of faults"}})
}

var _ = Describe("Any mixture of faults", func() {
	// Guards against faults in orders and combinations that the tests of single faults do not contain.
	It("loses no job and repeats no no-repeat job", func() {
		for seed := range int64(randomRuns) {
			r := rand.New(rand.NewSource(seed))
			w := newWorld(5)
			lossy := func(cell.EndpointCall) (bool, bool) { return r.Intn(20) > 0, r.Intn(20) > 0 }
			slow := func() time.Duration { return time.Duration(r.Intn(300)) * time.Millisecond }
			w.intercept, w.delay = lossy, slow
			for _, id := range w.endpointIDs {
				w.endpoints[id].runFor = time.Duration(r.Intn(20_000)) * time.Millisecond
			}
			var jobs []table.Job
			for i := range 12 {
				j := job(fmt.Sprint("j", i), 1+r.Intn(3))
				if r.Intn(2) == 0 {
					j = noRepeat(j.ID, j.Shape.Gang)
				}
				jobs = append(jobs, j)
				w.request(submit(j))
			}
			for range 80 {
				w.run(time.Duration(r.Intn(1500)) * time.Millisecond)
				injectFault(w, r, jobs)
			}
			endFaults(w)
			for _, j := range jobs {
				w.request(submit(j))
			}
			w.run(3 * time.Minute)
			for _, j := range jobs {
				expectEnd(w, j, fmt.Sprint("seed ", seed, " job ", j.ID))
			}
			Expect(w.tables().AttemptCount()).To(BeZero(), "seed %d", seed)
			Expect(w.cells[0].Snapshot()).To(Equal(w.cells[1].Snapshot()), "seed %d", seed)
			for _, worker := range w.tables().Workers() {
				Expect(worker.FreeAccelerators()).To(Equal(2), "seed %d", seed)
			}
			Expect(w.cell().Dump().(*cell.Dump).Dispatcher).To(And(HaveField("Calls", 0), HaveField("Requests", 0)))
		}
	})
})

func expectEnd(w *world, j table.Job, at string) {
	v := w.get(j.ID)
	Expect(v).NotTo(BeNil(), at)
	Expect(v.State).To(Equal("ended"), at)
	Expect(w.answers(j.ID)).To(BeNumerically("<=", 1), at)
	runs := w.startedAttempts(j.ID)
	if j.NoRepeat {
		Expect(runs).To(BeNumerically("<=", 1), at)
	} else {
		Expect(v.Answer.Outcome).NotTo(Equal("unknown"), at)
	}
	if v.Answer.Outcome == "succeeded" {
		Expect(runs).To(BeNumerically(">=", 1), at)
	}
	if v.Answer.NeverRan {
		Expect(runs).To(BeZero(), at)
	}
}
