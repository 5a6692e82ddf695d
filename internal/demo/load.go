package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cli"
	"github.com/mustardwalk/mustardwalk/internal/process"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

const (
	loadSeed              = 1
	parallelJobs          = 12
	smallJobs             = 260
	gangJobs              = 60
	smallJobExtraMillis   = 700  // Limit of the random part of the run time of small requests; 50 ms are added.
	gangJobExtraMillis    = 1500 // Likewise for gangs.
	gangMembers           = 4
	acceleratorsPerMember = 2
	noRepeatEvery         = 10 // Every tenth small request must not be repeated.
)

// jobPlan is one job of the load.
type jobPlan struct {
	number    int
	workspace workspace
	echo      string   // Text that the answer must repeat; also the idempotency key.
	args      []string // Flags of the command that submits it.
}

// planLoad returns the jobs of the mixed load in the order of submission. It is the same in each run.
func planLoad() []jobPlan {
	r := rand.New(rand.NewPCG(loadSeed, loadSeed))
	spaces := workspaces()
	var plans []jobPlan
	for i := range smallJobs + gangJobs {
		w := spaces[0]
		if i >= smallJobs {
			w = spaces[1]
		}
		plans = append(plans, planJob(r, w, i))
	}
	r.Shuffle(len(plans), func(i, j int) { plans[i], plans[j] = plans[j], plans[i] })
	return plans
}

func planJob(r *rand.Rand, w workspace, number int) jobPlan {
	p := jobPlan{number: number, workspace: w, echo: fmt.Sprintf("demo-%d", number)}
	extraMillis := smallJobExtraMillis
	args := []string{"--class", w.class, "--key", p.echo}
	if w.gang {
		extraMillis = gangJobExtraMillis
		args = append(args, "--gang", strconv.Itoa(gangMembers), "--accelerators", strconv.Itoa(acceleratorsPerMember), "--adjacency", "rack")
	} else if number%noRepeatEvery == 0 {
		args = append(args, "--no-repeat")
	}
	body, err := json.Marshal(standin.Request{RunMillis: 50 + r.Int64N(int64(extraMillis)), AnswerBytes: r.IntN(4096), Echo: p.echo})
	if err != nil {
		panic(err) // The type has only plain fields.
	}
	p.args = append(args, "--body", string(body))
	return p
}

// load holds the results of the load so far.
type load struct {
	d  *deployment
	mu sync.Mutex
	loadCounts
}

// loadCounts holds the results as the callers saw them.
type loadCounts struct {
	answered     int      // Got the whole answer to the caller's own request.
	refused      int      // The command ended with the exit code for refused or unavailable.
	wrongAnswers int      // Got an answer that is not whole or is to another request.
	failed       int      // All other results, such as a job that ended without success.
	problems     []string // The first few of them, for the report.
}

// run submits all jobs through the command line and waits for each answer.
func (l *load) run(ctx context.Context, plans []jobPlan) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelJobs)
	for _, p := range plans {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error { return l.submit(ctx, p) })
	}
	return group.Wait()
}

func (l *load) submit(ctx context.Context, p jobPlan) error {
	args := append(l.d.clientArgs(p.workspace.name, p.number), "-o", "json", "job", "submit", "--wait", "--wait-limit", "60s")
	o, err := process.RunCommand(ctx, l.d.bin+"/mustardwalk", append(args, p.args...)...)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addResult(p, o)
	return nil
}

// addResult counts the result of a job by the exit code and the output of its command.
func (l *load) addResult(p jobPlan, o process.Output) {
	var job api.Job
	var answer standin.Answer
	decoded := json.Unmarshal(o.Stdout, &job) == nil
	switch {
	case o.Code == cli.ExitOK && decoded:
		if job.Answer == nil || json.Unmarshal(job.Answer.Body, &answer) != nil || answer.Echo != p.echo || answer.Job != job.ID {
			l.wrongAnswers++
			l.problem("job %d: the answer is not to its request: %+v", p.number, answer)
			return
		}
		l.answered++
	case o.Code == cli.ExitRefused || o.Code == cli.ExitUnavailable:
		l.refused++
		l.problem("job %d: exit code %d: %s", p.number, o.Code, o.Stderr)
	default:
		l.failed++
		l.problem("job %d: exit code %d: %s", p.number, o.Code, o.Stderr)
	}
}

// problem keeps the first few problems for the report.
func (l *load) problem(format string, values ...any) {
	const kept = 10
	if len(l.problems) < kept {
		l.problems = append(l.problems, fmt.Sprintf(format, values...))
	}
}

// finished returns the number of jobs whose command has ended.
func (l *load) finished() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered + l.refused + l.wrongAnswers + l.failed
}

// operator runs one operator command and returns its output, or an error if it fails.
func (d *deployment) operator(ctx context.Context, args ...string) ([]byte, error) {
	o, err := process.RunCommand(ctx, d.bin+"/mustardwalk", append(d.clientArgs("operator", 1), args...)...)
	if err != nil {
		return nil, err
	}
	if o.Code != cli.ExitOK {
		return nil, eris.Errorf("mustardwalk %v: exit code %d: %s", args, o.Code, o.Stderr)
	}
	return o.Stdout, nil
}
