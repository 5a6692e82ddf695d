package domain_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// marks are those that the leaders of three versions set in their ends, in the order of the versions.
var marks = []domain.EndAttempts{{}, {OncePerRun: true}, {OncePerRun: true, WithinRuns: true}}

const presentVersion = 2

// gangRuns is a second account of the runs of gangs, kept from the commands. Each step is a gang or a single task.
type gangRuns struct {
	workers  map[string]domain.WorkerIncarnation
	jobs     map[domain.JobID]*jobRuns
	averages map[string]int64
	earlier  bool // Commands of earlier versions come first; they may count more failures than there are runs.
}

type jobRuns struct {
	spec  domain.JobSpec
	state domain.JobState
	steps map[domain.TaskID]*stepRuns // By first task, of the occurrences that are due.
}

type stepRuns struct {
	attempt   int
	startedMS int64
	present   map[int]domain.WorkerIncarnation // By index of the task.
	lost      map[int][]int                    // Attempts by index of the task.
	done      bool
	failed    map[int]bool // Runs of which a member failed.
	marked    map[int]bool // Those of which a command with OncePerRun recorded it.
	failures  int          // Highest number of failures that the versions of the commands may count.
	usedUp    bool         // That number allows to give the job up.
}

func (g *gangRuns) due(j *jobRuns, occurrences int) {
	for k := range occurrences {
		for s := range j.spec.Steps {
			first := domain.TaskID{Job: j.spec.ID, Occurrence: k, Step: s}
			if j.steps[first] == nil {
				j.steps[first] = &stepRuns{present: map[int]domain.WorkerIncarnation{}, lost: map[int][]int{}, failed: map[int]bool{}, marked: map[int]bool{}}
			}
		}
	}
}

// startable returns the first tasks of the steps that may start, in their order.
func (g *gangRuns) startable() []domain.TaskID {
	var out []domain.TaskID
	for _, j := range g.jobs {
		for first, s := range j.steps {
			ready := !j.state.Final() && !s.done && len(s.present) == 0
			for _, d := range j.spec.Steps[first.Step].DependsOn {
				ready = ready && j.steps[domain.TaskID{Job: first.Job, Occurrence: first.Occurrence, Step: d}].done
			}
			if ready {
				out = append(out, first)
			}
		}
	}
	slices.SortFunc(out, domain.TaskID.Compare)
	return out
}

// on returns the attempts that are present on a worker, in the order of their tasks.
func (g *gangRuns) on(w domain.WorkerIncarnation) []domain.AttemptEnd {
	var out []domain.AttemptEnd
	for _, j := range g.jobs {
		for first, s := range j.steps {
			for i, x := range s.present {
				if x == w {
					id := first
					id.Index = i
					out = append(out, domain.AttemptEnd{Task: id, Attempt: s.attempt})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b domain.AttemptEnd) int { return a.Task.Compare(b.Task) })
	return out
}

// move gives the attempts on an incarnation to another one, or removes them if that is the zero value.
func (g *gangRuns) move(from, to domain.WorkerIncarnation) {
	for _, j := range g.jobs {
		for _, s := range j.steps {
			for i, x := range s.present {
				if x == from {
					s.present[i] = to
				}
			}
			maps.DeleteFunc(s.present, func(_ int, x domain.WorkerIncarnation) bool { return x.ID == "" })
		}
	}
}

func (g *gangRuns) end(e *domain.EndAttempts, at int64) {
	if g.workers[e.Worker.ID] != e.Worker {
		return
	}
	for _, x := range e.Ends {
		j, first, i := g.jobs[x.Task.Job], x.Task, x.Task.Index
		first.Index = 0
		s, step := j.steps[first], j.spec.Steps[first.Step]
		current := s.attempt == x.Attempt && s.present[i] == e.Worker
		if current {
			delete(s.present, i)
		}
		if s.done || j.state.Final() {
			continue
		}
		newestLost := s.lost[i][max(0, len(s.lost[i])-8):]
		switch {
		case current && x.Outcome == domain.OutcomeFailed:
			g.fail(j, s, step, e, x.Attempt)
		case current && x.Outcome == domain.OutcomeLost:
			s.lost[i] = append(s.lost[i], x.Attempt)
		case x.Outcome == domain.OutcomeDone && !step.LongRunning && (current || slices.Contains(newestLost, x.Attempt)):
			s.done = true
			if current {
				g.ran(j.spec.Queue, at-s.startedMS)
			}
			if len(j.steps) == j.spec.Occurrences()*len(j.spec.Steps) && !slices.ContainsFunc(slices.Collect(maps.Values(j.steps)), func(s *stepRuns) bool { return !s.done }) {
				j.state = domain.JobCompleted
			}
		}
	}
}

func (g *gangRuns) fail(j *jobRuns, s *stepRuns, step domain.Step, e *domain.EndAttempts, run int) {
	if !step.Gang || !e.OncePerRun || (!e.WithinRuns && !s.marked[run]) || !s.failed[run] {
		s.failures++
	}
	s.failed[run] = true
	s.marked[run] = s.marked[run] || e.OncePerRun
	s.usedUp = !step.LongRunning && s.failures >= j.spec.MaxAttempts
	if s.usedUp && !g.earlier {
		j.state = domain.JobFailed
	}
}

// halfCounted reports whether a member of a gang has failed in a run that others have not ended.
func (g *gangRuns) halfCounted() bool {
	for _, j := range g.jobs {
		for _, s := range j.steps {
			if s.failed[s.attempt] && len(s.present) > 0 && !j.state.Final() {
				return true
			}
		}
	}
	return false
}

// ran adds a run time to the moving average of a queue.
func (g *gangRuns) ran(queue string, ms int64) {
	if average := g.averages[queue]; average > 0 {
		ms = average + (min(ms, 4*average)-average)/16
	}
	g.averages[queue] = max(1, ms)
}

// gangHistory draws commands for gangs and applies them to two state machines, of which one starts from a snapshot now and
// then, and to the second account.
type gangHistory struct {
	*rand.Rand
	gangRuns
	whole, restored *domain.StateMachine
	at              int64
	version         int // Index of marks.
	past            []domain.EndAttempts
	born            int64
	name            string
}

func (h *gangHistory) apply(c domain.Command) domain.Result {
	h.at += h.Int64N(200)
	c.AtMS = h.at
	var results [2]domain.Result
	for i, m := range []*domain.StateMachine{h.whole, h.restored} {
		decoded, err := domain.DecodeCommand(c.Encode())
		Expect(err).NotTo(HaveOccurred())
		results[i] = m.Apply(decoded)
	}
	Expect(results[0]).To(Equal(results[1]), h.name)
	return results[0]
}

func (h *gangHistory) submit(id domain.JobID) {
	spec := domain.JobSpec{ID: id, Queue: "q" + strconv.Itoa(h.IntN(2)), MaxAttempts: 1 + h.IntN(4), RepeatCount: h.IntN(3)}
	for i := range 1 + h.IntN(3) {
		step := domain.Step{Count: 1 + h.IntN(4), Gang: h.IntN(5) > 0, LongRunning: h.IntN(8) == 0}
		if !step.Gang {
			step.Count = 1
		}
		if i > 0 && h.IntN(3) == 0 {
			step.DependsOn = []int{h.IntN(i)}
		}
		spec.Steps = append(spec.Steps, step)
	}
	j := &jobRuns{spec: spec, steps: map[domain.TaskID]*stepRuns{}}
	if spec.RepeatCount == 0 {
		h.due(j, 1)
	}
	h.jobs[id] = j
	h.apply(domain.Command{Submit: &spec})
}

func (h *gangHistory) register(id string) {
	h.born += 1 + h.Int64N(2)
	w := worker(id, h.born, "10.0.0."+id+":80")
	h.apply(domain.Command{Register: w})
	h.move(h.workers[id], w.Incarnation)
	h.workers[id] = w.Incarnation
}

// drawWorker returns a registered incarnation, or in rare cases one that has ended.
func (h *gangHistory) drawWorker() domain.WorkerIncarnation {
	w := h.workers[slices.Sorted(maps.Keys(h.workers))[h.IntN(len(h.workers))]]
	if h.IntN(10) == 0 {
		w.BornMS--
	}
	return w
}

func (h *gangHistory) start() {
	ready := h.startable()
	if len(ready) == 0 {
		return
	}
	first := ready[h.IntN(len(ready))]
	j, s := h.jobs[first.Job], &domain.StartAttempts{}
	step, valid := j.steps[first], true
	for i := range j.spec.Steps[first.Step].Count {
		id := first
		id.Index = i
		w := h.drawWorker()
		valid = valid && w == h.workers[w.ID]
		s.Assignments = append(s.Assignments, domain.Assignment{Task: id, Worker: w})
	}
	result := h.apply(domain.Command{Start: s})
	Expect(result == domain.Applied).To(Equal(valid), h.name)
	if !valid {
		return
	}
	step.attempt, step.startedMS = step.attempt+1, h.at
	for i, a := range s.Assignments {
		step.present[i] = a.Worker
	}
	j.state = domain.JobRunning
}

// end reports ends of some of the attempts on a worker, in any order, or repeats ends of the past, also as ones of the present
// incarnation of their worker or with another outcome.
func (h *gangHistory) end() {
	outcomes := []domain.Outcome{domain.OutcomeFailed, domain.OutcomeFailed, domain.OutcomeFailed, domain.OutcomeFailed, domain.OutcomeDone, domain.OutcomeStopped,
		domain.OutcomeGangBroken, domain.OutcomeGangTimeout, domain.OutcomeAbsent, domain.OutcomeLost, domain.OutcomeLost}
	e := domain.EndAttempts{Worker: h.drawWorker()}
	if repeat := h.IntN(4) == 0; repeat && len(h.past) > 0 {
		e = h.past[h.IntN(len(h.past))]
		e.Ends = slices.Clone(e.Ends)
		if h.IntN(2) == 0 {
			e.Worker = h.workers[e.Worker.ID]
		}
		if h.IntN(2) == 0 {
			e.Ends[h.IntN(len(e.Ends))].Outcome = []domain.Outcome{domain.OutcomeDone, domain.OutcomeFailed}[h.IntN(2)]
		}
	} else {
		e.Ends = h.on(h.workers[e.Worker.ID])
		h.Shuffle(len(e.Ends), func(i, k int) { e.Ends[i], e.Ends[k] = e.Ends[k], e.Ends[i] })
		e.Ends = e.Ends[:min(len(e.Ends), 1+h.IntN(3))]
		for i := range e.Ends {
			e.Ends[i].Outcome = outcomes[h.IntN(len(outcomes))]
		}
	}
	if len(e.Ends) == 0 {
		return
	}
	if h.IntN(6) == 0 {
		e.Ends = append(e.Ends, e.Ends[0])
	}
	h.past = append(h.past, e)
	e.OncePerRun, e.WithinRuns = marks[h.version].OncePerRun, marks[h.version].WithinRuns
	h.apply(domain.Command{End: &e})
	h.gangRuns.end(&e, h.at)
}

func (h *gangHistory) step() {
	switch n := h.IntN(100); {
	case n < 28:
		h.start()
	case n < 80:
		h.end()
	case n < 84:
		h.register(slices.Sorted(maps.Keys(h.workers))[h.IntN(len(h.workers))])
	case n < 86:
		w := h.drawWorker()
		if h.apply(domain.Command{Forget: &domain.ForgetWorker{Incarnation: w}}) == domain.Applied {
			h.move(w, domain.WorkerIncarnation{})
			h.register(w.ID)
		}
	case n < 91:
		id := slices.Sorted(maps.Keys(h.jobs))[h.IntN(len(h.jobs))]
		j, count := h.jobs[id], h.IntN(3)
		h.apply(domain.Command{Release: &domain.ReleaseOccurrences{Job: id, Count: count}})
		if !j.state.Final() {
			h.due(j, min(count, j.spec.RepeatCount))
		}
	default:
		again := domain.New()
		Expect(again.Restore(h.restored.Snapshot())).To(Succeed(), h.name)
		h.restored = again
	}
}

// check compares the state with the second account.
func (h *gangHistory) check() {
	for id, j := range h.jobs {
		stored, usedUp := h.whole.Job(id), false
		for first, s := range j.steps {
			f := stored.Task(first).Failures
			Expect(h.restored.Job(id).Task(first).Failures).To(Equal(f), "%s, %s", h.name, first)
			usedUp = usedUp || s.usedUp
			Expect(f).To(BeNumerically("<=", s.failures), "%s, %s: %v", h.name, first, s.failed)
			if !h.earlier {
				Expect(f).To(Equal(len(s.failed)), "%s, %s: %v", h.name, first, s.failed)
			} else if !stored.State.Final() {
				// A version that finds a run begun cannot tell whether the one before has counted it.
				Expect(f).To(BeNumerically(">=", len(s.failed)-1), "%s, %s: %v", h.name, first, s.failed)
			}
		}
		if h.earlier {
			Expect(stored.State != domain.JobFailed || usedUp).To(BeTrue(), "%s, %s", h.name, id)
			j.state = stored.State
		}
		Expect(stored.State).To(Equal(j.state), "%s, %s", h.name, id)
	}
	for q, ms := range h.averages {
		if h.earlier {
			ms = h.whole.RunTime(q)
			h.averages[q] = ms
		}
		Expect(h.whole.RunTime(q)).To(Equal(ms), "%s, %s", h.name, q)
		Expect(h.restored.RunTime(q)).To(Equal(ms), "%s, %s", h.name, q)
	}
}

func seeds(few int) int {
	if n, err := strconv.Atoi(os.Getenv("MUSTARDWALK_SEEDS")); err == nil {
		return n
	}
	return few
}

var _ = Describe("runs of gangs", func() {
	// Guards against jobs that are given up too early or too late, and against run times that count by member.
	DescribeTable("count once", func(earlier bool) {
		for seed := range uint64(seeds(20)) {
			h := &gangHistory{Rand: rand.New(rand.NewPCG(seed, 42)), whole: domain.New(), restored: domain.New(), at: 1000, version: presentVersion,
				gangRuns: gangRuns{earlier: earlier, workers: map[string]domain.WorkerIncarnation{}, jobs: map[domain.JobID]*jobRuns{}, averages: map[string]int64{}}}
			if earlier {
				h.version = h.IntN(presentVersion)
			}
			for i := range 1 + h.IntN(3) {
				h.register(strconv.Itoa(i))
			}
			for i := range 150 {
				h.name = fmt.Sprintf("seed %d, command %d", seed, i)
				if i == 0 || h.IntN(10) == 0 {
					h.submit(domain.JobID(fmt.Sprint("j", i)))
				}
				if h.version < presentVersion && (h.IntN(60) == 0 || (h.halfCounted() && h.IntN(4) == 0)) {
					h.version += 1 + h.IntN(presentVersion-h.version)
				}
				h.step()
				h.check()
			}
			again := domain.New()
			Expect(again.Restore(h.whole.Snapshot())).To(Succeed(), h.name)
			Expect(h.restored.Restore(h.restored.Snapshot())).To(Succeed(), h.name)
			Expect(h.restored).To(Equal(again), h.name)
		}
	},
		Entry("in the log of this version", false),
		PEntry("in a log that earlier versions have begun, see KNOWN-RED.txt", true),
	)
})
