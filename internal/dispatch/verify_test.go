package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// verificationsOf asks for a verification of a worker at each millisecond of a time, and returns the holds that were sent to it.
func (w *world) verificationsOf(id domain.WorkerIncarnation, until time.Duration) []dispatch.Call {
	first := len(w.calls)
	for w.now < until {
		w.leader.Verify(w.time(), id)
		w.run(w.now + time.Millisecond)
	}
	var out []dispatch.Call
	for _, c := range w.calls[first:] {
		if c.Kind == dispatch.CallHold && c.Worker == id {
			out = append(out, c)
		}
	}
	return out
}

var _ = Describe("the verification of a worker that a report contradicts", func() {
	// Guards against reports of another writer that make the leader call a worker without pause, or that acknowledge what nobody
	// has read.
	It("is made once at a time and with pauses, grants no lease and acknowledges nothing", func() {
		w := newWorld(1, 1)
		w.run(20 * time.Second)
		worker := w.workers[0].Incarnation
		since := w.now
		calls := w.verificationsOf(worker, w.now+time.Second)
		Expect(len(calls)).To(BeNumerically("~", 10, 2))
		for _, c := range calls {
			Expect(c).To(And(HaveField("UntilMS", BeZero()), HaveField("Cursor", BeZero()), HaveField("Wait", BeZero())))
		}
		Expect(w.leader.VerifiedSince(worker, since)).To(BeTrue())
		Expect(w.leader.VerifiedSince(worker, w.now+time.Second)).To(BeFalse())
	})

	// Guards against calls to a worker that follows another fencing token, which count as a missed duty.
	It("of one that refuses the fencing token is made three times", func() {
		w := newWorld(1, 1)
		w.run(20 * time.Second)
		w.refuse = func(dispatch.Call) dispatch.Status { return dispatch.RejectedFence }
		worker := w.workers[0].Incarnation
		Expect(w.verificationsOf(worker, w.now+5*time.Second)).To(HaveLen(3))
		Expect(w.leader.VerifiedSince(worker, 0)).To(BeFalse())
	})

	It("is not answered by a later incarnation", func() {
		w := newWorld(1, 1)
		w.run(20 * time.Second)
		worker := w.workers[0].Incarnation
		since := w.now
		w.changeAnswer = func(_ dispatch.Call, r *dispatch.Reply) { r.BornMS = worker.BornMS + 1 }
		w.verificationsOf(worker, w.now+200*time.Millisecond)
		Expect(w.leader.VerifiedSince(worker, since)).To(BeFalse())
	})
})
