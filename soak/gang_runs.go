package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/simworker"
	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

// Times of the runs of gangs that fail.
const (
	gangWorkers     = 5
	gangSubmitLimit = 30 * time.Second
	gangLimit       = 75 * time.Second       // Until a job is completed or failed.
	gangPeriod      = 100 * time.Millisecond // Between two questions for the state of a job.
	lateStartLimit  = time.Second            // Starts may be on their way when a job is shown as failed.
	mostAttempts    = 3
)

// gangGaps are the times between the ends of two members.
var gangGaps = []time.Duration{400 * time.Millisecond, 50 * time.Millisecond, 2 * time.Millisecond, 0}

// gangShapes are the jobs of each round. On one worker all ends are in one list.
var gangShapes = []string{"one_worker", "several_workers", "two_gangs", "chain", "scheduled"}

// gangRun is what the workers know of one run of a gang.
type gangRun struct {
	started, failed, noted bool
	others                 map[domain.Outcome]bool // How members have ended that have not failed.
}

// gangJob is a job whose gangs fail in their first runs.
type gangJob struct {
	id       domain.JobID
	name     string // What it is, for violations.
	attempts int
	gap      time.Duration
	gangs    map[domain.TaskID]map[int]*gangRun // By first task and run.
	failedAt time.Time                          // When a caller saw it as failed.
	broken   bool
}

// gangRound plays one fault between the ends of the first of several jobs.
type gangRound struct {
	run     *run
	random  *rand.Rand
	fault   string
	version *int64

	mu         sync.Mutex
	jobs       map[domain.JobID]*gangJob
	lead       domain.JobID
	leadRun    int
	wanted     int                 // Number of ends of the first job at which the fault is due.
	reported   []*workerSlot       // Workers of its members that have failed.
	unreported []*workerSlot       // Workers of its members that run.
	due        chan struct{}       // Closed when the fault is due.
	failedOn   map[string]struct{} // Workers of all its members that have failed.
}

// RunGangs plays jobs whose gangs fail in their first runs, in rounds with one fault each, and checks that each failed run
// counts once.
func RunGangs(ctx context.Context, options Options) (Report, error) {
	options.Workers = gangWorkers
	r, err := newRun(options)
	if err != nil {
		return Report{}, err
	}
	defer r.stopAll()
	if err := r.startAll(); err != nil {
		return Report{}, err
	}
	version := int64(0)
	var kinds []int
	for i, f := range gangFaults {
		if (f.name != "upgrade" || options.ProgramBefore != "") && (len(options.GangCases) == 0 || slices.Contains(options.GangCases, f.name)) {
			kinds = append(kinds, i)
		}
	}
	time.Sleep(startupTime)
	for n := 0; n < options.GangRounds && ctx.Err() == nil && len(kinds) > 0; n++ {
		f := gangFaults[kinds[(int(options.Seed)*options.GangRounds+n)%len(kinds)]]
		g := &gangRound{
			run: r, random: rand.New(rand.NewPCG(options.Seed, uint64(n))), fault: f.name, version: &version, jobs: map[domain.JobID]*gangJob{},
			due: make(chan struct{}), failedOn: map[string]struct{}{},
		}
		if err := g.play(n, f.act); err != nil {
			return Report{}, err
		}
	}
	r.checks.checkLogs()
	return Report{
		Jobs: r.checks.accepted(), Starts: r.checks.starts, Faults: r.faults, Violations: r.checks.violations(), Stalled: r.stalledTime(),
	}, ctx.Err()
}

// play submits the jobs of a round, injects its fault, and waits until the jobs have ended.
func (g *gangRound) play(n int, act func(*gangRound) error) error {
	r := g.run
	r.gangsLock.Lock()
	r.gangs.OnEvent = func(e simworker.Event) { r.checks.observe(e); g.observe(e) }
	r.gangs.OnAcknowledged = func(e simworker.Event) { r.checks.acknowledged(e); g.acknowledged(e) }
	r.gangsLock.Unlock()
	if err := g.sendConfig(0); err != nil {
		return err
	}
	shapes := slices.Clone(gangShapes)
	g.random.Shuffle(len(shapes), func(i, j int) { shapes[i], shapes[j] = shapes[j], shapes[i] })
	if g.fault == "upgrade" {
		shapes = shapes[:1] // The version before may give up those that fail before their hosts are replaced.
	}
	var all errgroup.Group
	for i, shape := range shapes {
		id := domain.JobID(fmt.Sprintf("%016x", uint64(n*len(gangShapes)+i+1)<<16|r.options.Seed&0xffff))
		path, body := g.newJob(id, shape, i == 0)
		all.Go(func() error { g.follow(r.checks.newCaller(i), id, path, body); return nil })
	}
	ended := make(chan error, 1)
	go func() { ended <- all.Wait() }()
	select {
	case <-g.due:
		time.Sleep(pick(g.random, []time.Duration{0, 3 * time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond}))
		if g.fault == "upgrade" {
			time.Sleep(100 * time.Millisecond) // The first end has been counted.
		}
		r.logEvent("fault_due kind=%s", g.fault)
		if err := act(g); err != nil {
			return err
		}
		r.logEvent("fault_over kind=%s", g.fault)
	case err := <-ended:
		g.mu.Lock()
		broken := g.jobs[g.lead].broken
		g.mu.Unlock()
		if !broken {
			r.checks.addViolation("fault %s was not injected: the run in which it was due has not failed", g.fault)
		}
		ended <- err
	}
	err := <-ended
	time.Sleep(2 * lateStartLimit)
	return err
}

// newJob draws a job. The first one of a round is that between whose ends the fault begins: they lie apart.
func (g *gangRound) newJob(id domain.JobID, shape string, first bool) (path string, body []byte) {
	x, count := g.random, 2+g.random.IntN(3)
	j := &gangJob{id: id, attempts: 1 + x.IntN(mostAttempts), gap: pick(x, gangGaps), gangs: map[domain.TaskID]map[int]*gangRun{}}
	if first {
		j.gap, j.attempts = gangGaps[x.IntN(len(gangGaps)-1)], 2+x.IntN(mostAttempts-1)
	}
	if slices.Contains([]string{"upgrade", "unreported_restarts", "end_lost", "worker_leaves"}, g.fault) {
		j.gap = gangGaps[0] // A member is to run yet when the fault begins.
	}
	fails := max(1, j.attempts-x.IntN(2))
	early := first && (g.fault == "member_early" || g.fault == "member_early_leader_frozen")
	j.name = fmt.Sprintf("fault=%s shape=%s gap=%v members=%d attempts=%d fail_runs=%d early=%v", g.fault, shape, j.gap, count, j.attempts, fails, early)
	step := fleet.Step{"count": count, "cpu": 100, "mem_mb": 100, "gpus": 1, "gang": true, "est_runtime_ms": 500}
	steps := []fleet.Step{step}
	document := map[string]any{"spec": fmt.Sprintf("work=400 gang=%d fail_runs=%d fail_gap_ms=%d fail_early=%v", count, fails, j.gap.Milliseconds(), early)}
	switch shape {
	case "one_worker":
		step["constraints"] = fmt.Sprintf("r%d", x.IntN(gangWorkers))
	case "several_workers":
		step["anti_affinity"] = 1
	case "two_gangs":
		steps = append(steps, step)
	case "chain":
		steps = append(steps, fleet.Step{"count": count, "cpu": 100, "mem_mb": 100, "gpus": 1, "gang": true, "est_runtime_ms": 500, "depends_on": []int{0}})
	case "scheduled":
		document["repeat_count"], document["start_at_ms"], document["interval_ms"] = 3, time.Now().UnixMilli()+100, 300+x.IntN(700)
	}
	document["steps"] = steps
	body, err := json.Marshal(document)
	if err != nil {
		panic(err) // The values are plain.
	}
	path = fmt.Sprintf("/g%d/%s", j.attempts, id)
	g.mu.Lock()
	g.jobs[id] = j
	if first {
		g.lead, g.leadRun, g.wanted = id, 1+x.IntN(fails), 1+x.IntN(count-1)
		if g.fault == "upgrade" {
			g.leadRun = 1 // The version before may count each member, and give up the job in the first run.
		}
		if early || g.fault == "upgrade" || g.leadRun == j.attempts {
			g.wanted = 1 // The first end in the last allowed run ends the job, and that of a member that fails early its run.
		}
	}
	g.mu.Unlock()
	c := g.run.checks
	c.mu.Lock()
	c.jobs[id] = &job{path: path, demand: domain.Resources{CPU: 100, MemoryMB: 100, Accelerators: 1}, gang: true}
	c.mu.Unlock()
	g.run.began(g.fault+"/"+shape, fmt.Sprintf("job=%s %s", id, j.name))
	return path, body
}

// follow submits a job and asks for its state until it has ended.
func (g *gangRound) follow(k *caller, id domain.JobID, path string, body []byte) {
	c := g.run.checks
	g.mu.Lock()
	j := g.jobs[id]
	g.mu.Unlock()
	result := submitUnknown
	for end := time.Now().Add(gangSubmitLimit); result != submitAccepted && time.Now().Before(end); {
		result = c.submit(k, path, body)
	}
	c.mu.Lock()
	c.jobs[id].result = result
	c.mu.Unlock()
	state := ""
	for end := time.Now().Add(gangLimit); time.Now().Before(end); time.Sleep(gangPeriod) {
		status, data := k.once(http.MethodGet, path, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &answer) == nil {
			state = answer.State
		}
		if state == "failed" || state == "completed" || status == http.StatusGone {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	failed, noted := j.failedRuns()
	g.countEnds(j)
	g.run.logEvent("gang_job_ended job=%s state=%s failed_runs=%d noted_runs=%d %s", id, state, failed, noted, j.name)
	switch {
	case state == "failed":
		j.failedAt = time.Now()
		if failed < j.attempts {
			g.violation(j, "LOST shown as failed after %d failed runs", failed)
		}
	case state != "completed":
		g.violation(j, "LOST accepted=%v, and not ended %v later, state %q", result == submitAccepted, gangLimit, state)
	case noted >= j.attempts:
		g.violation(j, "BUDGET completed after %d failed runs", noted)
	}
}

// failedRuns returns the highest number of failed runs of a gang, and of those that have surely been noted.
func (j *gangJob) failedRuns() (failed, noted int) {
	for _, runs := range j.gangs {
		f, n := 0, 0
		for _, r := range runs {
			if r.failed {
				f++
			}
			if r.noted {
				n++
			}
		}
		failed, noted = max(failed, f), max(noted, n)
	}
	return failed, noted
}

// countEnds counts the runs of which members have failed and others have ended in another way.
func (g *gangRound) countEnds(j *gangJob) {
	g.run.mu.Lock()
	defer g.run.mu.Unlock()
	for _, runs := range j.gangs {
		for _, r := range runs {
			for outcome, seen := range r.others {
				if r.failed && seen {
					g.run.faults["runs failed and "+outcome.String()]++
				}
			}
		}
	}
}

func (g *gangRound) violation(j *gangJob, format string, args ...any) {
	if !j.broken {
		g.run.checks.addViolation("job %s: %s [%s]", j.id, fmt.Sprintf(format, args...), j.name)
	}
	j.broken = true
}

// observe notes the starts and the ends of members. The caller holds the lock of the workers.
func (g *gangRound) observe(e simworker.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	j, run := g.runOf(e)
	if j == nil {
		return
	}
	if e.Start {
		run.started = true
		if !j.failedAt.IsZero() && time.Since(j.failedAt) > lateStartLimit {
			g.violation(j, "BUDGET task %s run %d started %v after the job was shown as failed", e.Task, e.Attempt, time.Since(j.failedAt))
		}
		g.checkBudget(j, e.Task)
	}
	if !e.Start {
		run.failed = run.failed || e.Outcome == domain.OutcomeFailed
		run.others[e.Outcome] = e.Outcome != domain.OutcomeFailed
	}
	if j.id != g.lead || e.Attempt != g.leadRun {
		return
	}
	slot := g.slotOf(e.Worker.ID)
	switch {
	case e.Start:
		g.unreported = append(g.unreported, slot)
	case e.Outcome == domain.OutcomeFailed:
		if i := slices.Index(g.unreported, slot); i >= 0 {
			g.unreported = slices.Delete(g.unreported, i, i+1)
		}
		g.failedOn[e.Worker.ID] = struct{}{}
		if g.reported = append(g.reported, slot); len(g.reported) == g.wanted {
			close(g.due)
		}
	}
}

// acknowledged notes the ends as failed that have been counted.
func (g *gangRound) acknowledged(e simworker.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j, run := g.runOf(e); j != nil && e.Outcome == domain.OutcomeFailed {
		run.noted = true
		g.checkBudget(j, e.Task)
	}
}

// runOf returns the job and the run of an event, nil if it is of an earlier round. The caller holds the lock.
func (g *gangRound) runOf(e simworker.Event) (*gangJob, *gangRun) {
	j := g.jobs[e.Task.Job]
	if j == nil {
		return nil, nil
	}
	first := firstOf(e.Task)
	if j.gangs[first] == nil {
		j.gangs[first] = map[int]*gangRun{}
	}
	if j.gangs[first][e.Attempt] == nil {
		j.gangs[first][e.Attempt] = &gangRun{others: map[domain.Outcome]bool{}}
	}
	return j, j.gangs[first][e.Attempt]
}

func firstOf(id domain.TaskID) domain.TaskID {
	id.Index = 0
	return id
}

// checkBudget checks that no run of a gang has started that is later than as many failed runs as it is allowed.
func (g *gangRound) checkBudget(j *gangJob, id domain.TaskID) {
	var noted []int
	last := 0
	for number, run := range j.gangs[firstOf(id)] {
		if run.noted {
			noted = append(noted, number)
		}
		if run.started {
			last = max(last, number)
		}
	}
	if slices.Sort(noted); len(noted) >= j.attempts && last > noted[j.attempts-1] {
		g.violation(j, "BUDGET run %d of the gang of %s started after %d failed runs", last, id, j.attempts)
	}
}

func (g *gangRound) slotOf(id string) *workerSlot {
	i := slices.IndexFunc(g.run.workers, func(s *workerSlot) bool { return s.current().Incarnation().ID == id })
	return g.run.workers[max(0, i)]
}
