package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cli"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// journal collects the events that the clients of a run observe.
type journal struct {
	mu     sync.Mutex
	events []history.Event
}

func (j *journal) record(e history.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Time = time.Now().UnixNano()
	j.events = append(j.events, e)
}

// answerLimit bounds the wait for the answer of an accepted job.
const answerLimit = 60 * time.Second

// refusalPause is how long a caller waits after a refusal, so that refused calls do not overload the hosts.
const refusalPause = 50 * time.Millisecond

// load submits jobs from several goroutines until finish is called, and waits for the answer of each.
type load struct {
	c         *cluster
	name      string
	workspace string
	request   func(n int) (api.JobRequest, standin.Request)
	transport http.RoundTripper
	wait      time.Duration

	ctx      context.Context
	end      context.CancelFunc
	group    sync.WaitGroup
	number   atomic.Int64
	answered atomic.Int64
	refused  atomic.Int64
	mu       sync.Mutex
	problems []string
	refusals []string // One text for each refused call.
}

// mixedJob returns job n of a load of short jobs: one in five is a gang of two, one in seven must not be repeated.
func mixedJob(n int) (api.JobRequest, standin.Request) {
	r := api.JobRequest{NoRepeat: n%7 == 0}
	if n%5 == 0 {
		r.Gang = 2
	}
	return r, standin.Request{RunMillis: int64(20 + n%9*30)}
}

// startLoad starts a load with a number of callers.
func (c *cluster) startLoad(l *load, callers int) *load {
	l.c = c
	l.ctx, l.end = context.WithCancel(context.Background())
	DeferCleanup(func() { l.end() })
	if l.wait == 0 {
		l.wait = 5 * time.Second
	}
	for i := range callers {
		client := c.client(callerToken(l.workspace), c.servers(i), l.transport)
		l.group.Go(func() {
			defer GinkgoRecover()
			for l.ctx.Err() == nil {
				l.submitOne(client)
			}
		})
	}
	return l
}

// submitOne submits a job with a key of its own, waits for its answer and checks it.
func (l *load) submitOne(client *api.Client) {
	ctx, stop := context.WithTimeout(context.Background(), answerLimit)
	defer stop()
	n := int(l.number.Add(1))
	r, body := l.request(n)
	call := fmt.Sprintf("%s-%d", l.name, n)
	r.IdempotencyKey, body.Echo = call, call
	r.Body, _ = json.Marshal(body)
	began := time.Now()
	job, err := l.c.submit(ctx, client, call, l.workspace, r, l.wait)
	if err != nil {
		l.refused.Add(1)
		l.mu.Lock()
		l.refusals = append(l.refusals, fmt.Sprintf("%s at %s after %v: %v", call, began.UTC().Format("15:04:05.000"), time.Since(began), err))
		l.mu.Unlock()
		time.Sleep(refusalPause)
		return
	}
	job, err = follow(ctx, client, job, l.wait)
	if err != nil {
		l.problem("call %s: no answer of job %s within %v: %v", call, job.ID, answerLimit, err)
		return
	}
	l.c.delivered(call, job)
	l.check(call, r, job)
}

// submit submits a job and records the submission and its answer in the journal.
func (c *cluster) submit(ctx context.Context, client *api.Client, call, workspace string, r api.JobRequest, wait time.Duration) (*api.Job, error) {
	c.journal.record(history.Event{Kind: history.Submitted, Call: call, Workspace: workspace, Key: r.IdempotencyKey, NoRepeat: r.NoRepeat})
	job, err := client.Submit(ctx, r, wait)
	if err != nil {
		e := history.Event{Kind: history.Refused, Call: call, Code: api.CodeUnavailable, NotRun: string(api.NotRunUnknown)}
		var refused *api.Error
		if errors.As(err, &refused) {
			e.Code, e.NotRun = refused.Code, string(refused.NotRun)
		}
		c.journal.record(e)
		return nil, err
	}
	c.journal.record(history.Event{Kind: history.Accepted, Call: call, Job: job.ID, Workspace: job.Workspace})
	return job, nil
}

func (c *cluster) delivered(call string, job *api.Job) {
	c.journal.record(history.Event{Kind: history.AnswerDelivered, Job: job.ID, Call: call, Workspace: job.Workspace,
		Outcome: job.Answer.Outcome, Digest: job.Answer.SHA256})
}

// follow waits for the answer of a job. It repeats calls that fail.
func follow(ctx context.Context, client *api.Client, job *api.Job, wait time.Duration) (*api.Job, error) {
	for job.Answer == nil {
		next, err := client.Job(ctx, job.ID, wait)
		if ctx.Err() != nil {
			return job, errors.Join(ctx.Err(), err)
		}
		if err == nil {
			job = next
		}
	}
	return job, nil
}

// check compares the answer with the request.
func (l *load) check(call string, r api.JobRequest, job *api.Job) {
	var a standin.Answer
	switch o := job.Answer.Outcome; {
	case o == "unknown" && r.NoRepeat:
		// The leader was lost while it started the job, which must not be repeated.
	case o != "succeeded":
		l.problem("call %s: job %s ended as %s: %s", call, job.ID, o, job.Answer.Message)
		return
	case json.Unmarshal(job.Answer.Body, &a) != nil || a.Echo != call || a.Job != job.ID:
		l.problem("call %s: the answer of job %s does not belong to its request: %+v", call, job.ID, a)
		return
	}
	l.answered.Add(1)
}

func (l *load) problem(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, values...))
}

// awaitAnswered waits until a number of jobs has been answered from now on.
func (l *load) awaitAnswered(jobs int64) {
	GinkgoHelper()
	target := l.answered.Load() + jobs
	Eventually(l.answered.Load).Should(BeNumerically(">=", target), "answered jobs")
}

// finish ends the submissions, waits for all answers, and expects that no caller found a problem.
func (l *load) finish() {
	GinkgoHelper()
	l.end()
	l.group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	Expect(l.problems).To(BeEmpty())
	AddReportEntry("load "+l.name, fmt.Sprintf("%d jobs answered, %d refused", l.answered.Load(), l.refused.Load()))
}

// stopAndCheck stops all processes with SIGTERM and checks the history of the run, which it returns.
func (c *cluster) stopAndCheck() []history.Event {
	GinkgoHelper()
	Expect(c.endpoints.Stop()).To(Succeed())
	Expect(c.daemons.Stop()).To(Succeed())
	return c.checkHistory()
}

// checkHistory applies all checkers to the merged history of the run.
func (c *cluster) checkHistory() []history.Event {
	GinkgoHelper()
	files, err := filepath.Glob(c.file("*.history"))
	Expect(err).NotTo(HaveOccurred())
	events, err := cli.ReadHistories(files)
	Expect(err).NotTo(HaveOccurred())
	events = history.Merge(events, c.journal.events)
	Expect(history.CheckAll(events, c.bounds)).To(BeEmpty())
	return events
}

// expectOneAnswerEach checks that each accepted job has exactly one committed answer, and that jobs were accepted at all.
func expectOneAnswerEach(events []history.Event) {
	GinkgoHelper()
	type answer struct{ attempt, outcome, digest string }
	answers := map[string]map[answer]bool{}
	for _, e := range events {
		if e.Kind != history.AnswerCommitted {
			continue
		}
		if answers[e.Job] == nil {
			answers[e.Job] = map[answer]bool{}
		}
		answers[e.Job][answer{e.Attempt, e.Outcome, e.Digest}] = true
	}
	accepted := map[string]bool{}
	for _, e := range events {
		if e.Kind == history.Accepted {
			accepted[e.Job] = true
			Expect(answers[e.Job]).To(HaveLen(1), "answers of job %s", e.Job)
		}
	}
	Expect(accepted).NotTo(BeEmpty())
}
