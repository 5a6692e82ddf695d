package dispatch_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/simworker"
)

// failedRuns holds the runs of gangs of which a member failed, by the first task.
type failedRuns map[domain.TaskID]map[int]bool

func (f failedRuns) add(id domain.TaskID, attempt int) {
	id.Index = 0
	if f[id] == nil {
		f[id] = map[int]bool{}
	}
	f[id][attempt] = true
}

// gangAccount follows the runs of gangs at the workers and in the log.
type gangAccount struct {
	*rand.Rand
	*world
	listed, acknowledged, committed failedRuns // Ended on a worker; acknowledged to it; in the log, of the present attempt.
	ends                            map[domain.Outcome]int
	jobs                            map[domain.JobID]domain.JobState
	failures                        map[domain.TaskID]int
}

// follow starts an account. Some ends as failed are followed by a change of the leader.
func follow(w *world, r *rand.Rand) *gangAccount {
	a := &gangAccount{Rand: r, world: w, listed: failedRuns{}, acknowledged: failedRuns{}, committed: failedRuns{}, ends: map[domain.Outcome]int{},
		jobs: map[domain.JobID]domain.JobState{}, failures: map[domain.TaskID]int{}}
	observe, acknowledge := w.gangs.OnEvent, w.gangs.OnAcknowledged
	w.gangs.OnEvent = func(e simworker.Event) {
		observe(e)
		if !e.Start && e.Outcome == domain.OutcomeFailed {
			a.listed.add(e.Task, e.Attempt)
			if r.IntN(6) == 0 {
				w.at(w.now+time.Duration(r.IntN(60))*time.Millisecond, w.elect)
			}
		}
	}
	w.gangs.OnAcknowledged = func(e simworker.Event) {
		acknowledge(e)
		if e.Outcome == domain.OutcomeFailed {
			a.acknowledged.add(e.Task, e.Attempt)
		}
	}
	w.beforeApply = a.note
	return a
}

// note records what the ends of a command are to change, and the jobs as they were before, since ended ones are deleted later.
func (a *gangAccount) note(c *domain.Command) {
	for id := range a.jobs {
		if j := a.stateMachine.Job(id); j != nil {
			first := domain.TaskID{Job: id}
			a.jobs[id], a.failures[first] = j.State, j.Task(first).Failures
		}
	}
	if c.Forget != nil {
		if x := a.stateMachine.Worker(c.Forget.Incarnation.ID); x != nil && x.Incarnation == c.Forget.Incarnation && len(x.Attempts()) > 0 {
			a.ends[domain.OutcomeLost] += len(x.Attempts())
		}
	}
	if c.End == nil {
		return
	}
	seen := map[domain.TaskID]bool{}
	for _, e := range c.End.Ends {
		j := a.stateMachine.Job(e.Task.Job)
		if t := j.Task(e.Task); seen[e.Task] || t.Attempt != e.Attempt || t.Worker != c.End.Worker {
			continue
		}
		seen[e.Task] = true
		a.ends[e.Outcome]++
		if e.Outcome == domain.OutcomeFailed && !j.State.Final() {
			a.committed.add(e.Task, e.Attempt)
		}
	}
}

// fault injects one fault, or none.
func (a *gangAccount) fault() {
	victim := a.workers[a.IntN(len(a.workers))]
	id := victim.Incarnation.ID
	var n int
	_, err := fmt.Sscanf(id, "i-%d", &n)
	Expect(err).NotTo(HaveOccurred())
	back := func(after time.Duration) { a.at(a.now+after, func() { a.addWorker(id, n) }) }
	registered := a.stateMachine.Worker(id)
	if len(a.workers) < 3 || registered == nil || registered.Incarnation != victim.Incarnation || registered.Draining {
		return
	}
	switch a.IntN(12) {
	case 0, 1:
		a.cutOff[id] = true
		a.at(a.now+time.Duration(a.IntN(14000))*time.Millisecond, func() { a.heal(id) })
	case 2:
		a.replaceWorker(victim, 0)
	case 3:
		a.drain(victim, 2*time.Second)
		back(4 * time.Second)
	case 4:
		a.leader.WorkerLeaves(a.time(), victim.Incarnation)
		a.at(a.now+time.Second, func() {
			if !victim.Crashed() {
				a.crash(victim)
				back(time.Second)
			}
		})
	case 5:
		victim.FailAttempts = true
		a.at(a.now+time.Second, func() { victim.FailAttempts = false })
	case 6, 7:
		a.elect()
	}
}

var _ = Describe("runs of gangs that fail, beside faults of workers and changes of the leader", func() {
	// Guards against runs that are counted by member, and against ends and jobs that leaders count for each other.
	DescribeTable("count once", func(all bool) {
		first, total := fromEnvironment("MUSTARDWALK_FIRST_SEED", 1), map[domain.JobState]int{}
		for seed := first; seed < first+fromEnvironment("MUSTARDWALK_SEEDS", 3); seed++ {
			name := fmt.Sprintf("seed %d", seed)
			w, r := newWorld(uint64(seed), 5), rand.New(rand.NewPCG(uint64(seed), 42))
			a, seen := follow(w, r), w.observed()
			w.commitDelay = time.Duration(5+r.IntN(40)) * time.Millisecond
			w.slowEnds(time.Duration(r.IntN(30)) * time.Millisecond)
			w.run(time.Second)
			limits := map[domain.JobID]int{}
			for i := range 12 {
				id, members := domain.JobID(fmt.Sprint("j", i)), 1+r.IntN(4)
				limits[id], a.jobs[id] = 1+r.IntN(4), domain.JobPending
				w.submit(domain.JobSpec{ID: id, MaxAttempts: limits[id], Steps: []domain.Step{gang(members, int64(1+r.IntN(8)))},
					Payload: fmt.Sprintf("work=%d gang=%d fail_runs=%d", 200+r.IntN(1500), members, r.IntN(4))})
				w.run(w.now + time.Duration(r.IntN(1500))*time.Millisecond)
				a.fault()
			}
			for id := range w.cutOff {
				w.heal(id)
			}
			w.run(w.now + 60*time.Second)
			a.note(&domain.Command{})
			Expect(w.open()).To(BeEmpty(), name)
			Expect(w.violations).To(BeEmpty(), name)
			ended := map[domain.JobState]int{}
			for _, id := range slices.Sorted(maps.Keys(a.jobs)) {
				first := domain.TaskID{Job: id}
				ended[a.jobs[id]]++
				total[a.jobs[id]]++
				Expect(a.failures[first]).To(Equal(len(a.committed[first])), "%s, %s", name, id)
				Expect(a.failures[first]).To(BeNumerically("<=", len(a.listed[first])), "%s, %s", name, id)
				Expect(a.failures[first]).To(BeNumerically(">=", len(a.acknowledged[first])), "%s, %s", name, id)
				Expect(a.jobs[id] == domain.JobFailed).To(Equal(a.failures[first] == limits[id]), "%s, %s", name, id)
			}
			if all {
				Expect(seen.jobs).To(Equal(ended), name)
			} else {
				delete(a.ends, domain.OutcomeLost)
				delete(seen.ends, domain.OutcomeLost)
			}
			Expect(seen.ends).To(Equal(a.ends), name)
		}
		AddReportEntry("jobs", total)
	},
		Entry("in the states of jobs and in ends that workers list", false),
		Entry("in all that leaders count", true),
	)
})
