package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// hostileSeeds is how many seeds are run; MUSTARDWALK_SEEDS overrides it, MUSTARDWALK_FIRST_SEED the first one.
const hostileSeeds = 20

func fromEnvironment(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// hostile draws what badWorker answers.
type hostile struct {
	*rand.Rand
	listed []dispatch.EndedTask // Ends of earlier answers, which are listed again.
}

func (h *hostile) number(n int64) int64 {
	return []int64{n, n, n, n, 0, 1, -1, -n, n - 5, n + 1, 1 << 53, math.MaxInt64, math.MinInt64}[h.IntN(13)]
}

func (h *hostile) task(t domain.TaskID) domain.TaskID {
	switch h.IntN(8) {
	case 0:
		t.Index = int(h.number(int64(t.Index)))
	case 1:
		t.Step = int(h.number(int64(t.Step)))
	case 2:
		t.Occurrence = int(h.number(int64(t.Occurrence)))
	case 3:
		t.Job = []domain.JobID{"", "none", "good0", "good1", "any0"}[h.IntN(5)]
	}
	return t
}

func (h *hostile) checkpoint(c string) string {
	return []string{c, c, "", "x", strings.Repeat("c", 100)}[h.IntN(5)]
}

// change changes an answer to a call.
func (h *hostile) change(c dispatch.Call, r *dispatch.Reply) {
	if h.IntN(3) == 0 {
		return
	}
	r.Running, r.Ended = slices.Clone(r.Running), slices.Clone(r.Ended)
	h.listed = append(h.listed, r.Ended...)
	switch h.IntN(10) {
	case 0:
		r.Status = dispatch.Status(h.IntN(int(dispatch.NotSent) + 1))
	case 1:
		r.HasLists, r.Running, r.Ended = false, nil, nil
	case 2:
		r.ClockMS = max(0, min(h.number(r.ClockMS), 1<<53-1)) // Others are not decoded.
	case 3:
		r.BornMS = h.number(c.Worker.BornMS)
	case 4:
		r.Running, r.Ended = nil, nil
	case 5:
		r.Ended = append(r.Ended, h.listed...)
	case 6:
		for range h.IntN(1500) {
			r.Running = append(r.Running, dispatch.RunningTask{Task: h.task(domain.TaskID{Job: "good0", Index: h.IntN(30)}), Attempt: h.IntN(5)})
		}
	case 7:
		for range h.IntN(1500) {
			e := dispatch.EndedTask{Number: h.number(int64(h.IntN(100)))}
			e.AttemptEnd = domain.AttemptEnd{Task: h.task(domain.TaskID{Job: "good1", Index: h.IntN(30)}), Attempt: h.IntN(5), Outcome: domain.Outcome(1 + h.IntN(6))}
			r.Ended = append(r.Ended, e)
		}
	}
	for i := range r.Running {
		t := &r.Running[i]
		t.Task, t.Attempt = h.task(t.Task), int(h.number(int64(t.Attempt)))
		t.Percent, t.Load, t.Checkpoint = int(h.number(int64(t.Percent))), h.number(t.Load), h.checkpoint(t.Checkpoint)
	}
	for i := range r.Ended {
		e := &r.Ended[i]
		e.Number, e.Task, e.Attempt = h.number(e.Number), h.task(e.Task), int(h.number(int64(e.Attempt)))
		e.Outcome, e.Checkpoint = domain.Outcome(1+h.IntN(6)), h.checkpoint(e.Checkpoint)
	}
	h.Shuffle(len(r.Ended), func(i, j int) { r.Ended[i], r.Ended[j] = r.Ended[j], r.Ended[i] })
}

// hostileRun runs jobs beside a worker that answers what it likes. Those that may not run there must complete meanwhile, the
// others once it has ended.
func hostileRun(seed uint64) *world {
	w := newWorld(seed, 4)
	w.run(3 * time.Second)
	h := &hostile{Rand: rand.New(rand.NewPCG(seed, 2))}
	w.changeAnswer = func(c dispatch.Call, r *dispatch.Reply) {
		if c.Worker.ID == badWorker {
			h.change(c, r)
		}
	}
	for i := range 3 {
		good := step(12, 1)
		good.Label = labelNotFirst
		members := gang(6, 1)
		members.Label = labelNotFirst
		w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprint("good", i)), Payload: "work=1500", Steps: []domain.Step{good}})
		w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprint("gang", i)), Payload: "work=1500 gang=6", Steps: []domain.Step{members}})
		w.submit(domain.JobSpec{ID: domain.JobID(fmt.Sprint("any", i)), Payload: "work=1500", Steps: []domain.Step{step(12, 1), gang(2, 1)}})
		w.run(w.now + 4*time.Second)
		if h.IntN(2) == 0 {
			w.elect()
		}
	}
	w.run(w.now + 30*time.Second)
	for i := range 3 {
		for _, name := range []string{"good", "gang"} {
			id := domain.JobID(fmt.Sprint(name, i))
			Expect(w.state(id)).To(Equal(domain.JobCompleted), "job %s, seed %d", id, seed)
		}
	}
	w.crash(w.worker(badWorker))
	w.run(w.now + 60*time.Second)
	Expect(w.open()).To(BeEmpty(), "seed %d", seed)
	return w
}

var _ = Describe("a worker that answers what it likes", func() {
	It("ends no leader and keeps no job of other workers from completing", func() {
		first := fromEnvironment("MUSTARDWALK_FIRST_SEED", 1)
		for seed := first; seed < first+fromEnvironment("MUSTARDWALK_SEEDS", hostileSeeds); seed++ {
			w := hostileRun(uint64(seed))
			for _, v := range w.violations { // What a false list says has ended may still run there, so a task may run twice.
				Expect(v).NotTo(ContainSubstring("cannot be stored"), "seed %d", seed)
				Expect(v).NotTo(Or(ContainSubstring("task good"), ContainSubstring("task gang")), "seed %d", seed)
			}
			for _, x := range w.stateMachine.Workers() {
				Expect(x.Cursor).To(BeNumerically(">=", 0), "seed %d", seed)
			}
		}
	})
})
