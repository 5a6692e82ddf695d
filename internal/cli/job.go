package cli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
)

// maxPollWait is the longest wait that one request asks for. Longer waits take several requests.
const maxPollWait = 30 * time.Second

// submitFlags holds the flags of the command "job submit".
type submitFlags struct {
	job        api.JobRequest
	deadline   time.Duration
	declared   time.Duration
	body       string
	bodyFile   string
	wait       bool
	waitLimit  time.Duration
	answerFile string
}

func (a *app) jobCommands() {
	group := a.kingpin.Command("job", "Jobs of the token's workspace.")

	f := &submitFlags{}
	submit := group.Command("submit", "Submit a job.")
	submit.Flag("key", "Idempotency key, with which a submission can be sent again safely. Drawn by default, unless --no-key is set.").
		StringVar(&f.job.IdempotencyKey)
	noKey := submit.Flag("no-key", "Use no idempotency key: after a failure it is unknown whether the job was accepted.").Bool()
	submit.Flag("no-repeat", "Run at most once.").BoolVar(&f.job.NoRepeat)
	submit.Flag("class", "urgent, standard or bulk.").Default("standard").EnumVar(&f.job.Class, "urgent", "standard", "bulk")
	submit.Flag("gang", "Members that run together.").Default("1").IntVar(&f.job.Gang)
	submit.Flag("accelerators", "Accelerators of each member.").Default("1").IntVar(&f.job.Accelerators)
	submit.Flag("adjacency", "zone, rack or worker.").Default("zone").EnumVar(&f.job.Adjacency, "zone", "rack", "worker")
	submit.Flag("zone", "Zone; any by default.").StringVar(&f.job.Zone)
	submit.Flag("deadline", "Time by which the job must have started; 0 for none.").DurationVar(&f.deadline)
	submit.Flag("declared", "Expected run time, a hint only.").DurationVar(&f.declared)
	submit.Flag("body", "Body, as text.").StringVar(&f.body)
	submit.Flag("body-file", "File with the body; - for the standard input.").StringVar(&f.bodyFile)
	submit.Flag("wait", "Wait for the answer.").BoolVar(&f.wait)
	submit.Flag("wait-limit", "Time after which --wait gives up; the job goes on. 0 for none.").DurationVar(&f.waitLimit)
	submit.Flag("answer-file", "File for the body of the answer.").StringVar(&f.answerFile)
	a.handle(submit, func(ctx context.Context) error { return a.submit(ctx, f, *noKey) })

	wait := group.Command("wait", "Wait for the answer of a job.")
	waitLimit := wait.Flag("wait-limit", "Time after which to give up; 0 for none.").Duration()
	waitFile := wait.Flag("answer-file", "File for the body of the answer.").String()
	waitJob := wait.Arg("job", "Job identifier.").Required().String()
	a.handle(wait, func(ctx context.Context) error { return a.waitJob(ctx, *waitJob, *waitLimit, *waitFile) })

	get := group.Command("get", "Show a job.")
	getJob := get.Arg("job", "Job identifier.").Required().String()
	a.handle(get, func(ctx context.Context) error { return a.getJob(ctx, *getJob) })

	list := group.Command("list", "List jobs.")
	all := list.Flag("all", "List the jobs of all workspaces; needs an operator token.").Bool()
	a.handle(list, func(ctx context.Context) error { return a.listJobs(ctx, *all) })

	cancel := group.Command("cancel", "Cancel a job.")
	cancelJob := cancel.Arg("job", "Job identifier.").Required().String()
	a.handle(cancel, func(ctx context.Context) error { return a.cancelJob(ctx, *cancelJob) })

	why := group.Command("why", "Tell what a job waits for.")
	whyJob := why.Arg("job", "Job identifier.").Required().String()
	a.handle(why, func(ctx context.Context) error { return a.why(ctx, *whyJob) })
}

// request checks all flags together and returns the job request that they describe. The error holds all findings.
func (f *submitFlags) request(in io.Reader, noKey bool) (api.JobRequest, error) {
	var findings []api.Finding
	addFinding := func(field, message string) { findings = append(findings, api.Finding{Field: field, Message: message}) }
	r := f.job
	if r.Gang < 1 {
		addFinding("--gang", "must be at least 1")
	}
	if r.Accelerators < 1 {
		addFinding("--accelerators", "must be at least 1")
	}
	if f.deadline < 0 || f.declared < 0 {
		addFinding("--deadline, --declared", "must not be negative")
	}
	if noKey && (r.IdempotencyKey != "" || r.NoRepeat) {
		addFinding("--no-key", "contradicts --key and --no-repeat")
	}
	if f.body != "" && f.bodyFile != "" {
		addFinding("--body", "contradicts --body-file")
	}
	r.Body = []byte(f.body)
	if f.bodyFile != "" {
		data, err := readInput(f.bodyFile, in)
		if err != nil {
			addFinding("--body-file", err.Error())
		}
		r.Body = data
	}
	if r.IdempotencyKey == "" && !noKey {
		r.IdempotencyKey = api.NewCommandID()
	}
	r.DeadlineSeconds, r.DeclaredSeconds = f.deadline.Seconds(), f.declared.Seconds()
	if len(findings) > 0 {
		return r, &inputError{findings}
	}
	return r, nil
}

func readInput(name string, in io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(name)
}

func (a *app) submit(ctx context.Context, f *submitFlags, noKey bool) error {
	request, err := f.request(a.In, noKey)
	if err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	callID := api.NewCommandID()
	a.recorder.record(history.Event{Kind: history.Submitted, Call: callID,
		Key: request.IdempotencyKey, NoRepeat: request.NoRepeat})
	job, err := client.Submit(ctx, request, 0)
	if err != nil {
		a.recorder.refused(callID, err)
		if request.IdempotencyKey != "" {
			err = fmt.Errorf("%w\nidempotency key: %s (submit again safely with --key %s)", err, request.IdempotencyKey, request.IdempotencyKey)
		}
		return err
	}
	a.recorder.record(history.Event{Kind: history.Accepted, Call: callID, Job: job.ID, Workspace: job.Workspace})
	if f.wait {
		return a.awaitAnswer(ctx, client, job, callID, f.waitLimit, f.answerFile)
	}
	a.recorder.delivered(callID, job)
	return a.printJob(job)
}

func (a *app) waitJob(ctx context.Context, id string, limit time.Duration, file string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	job, err := client.Job(ctx, id, 0)
	if err != nil {
		return err
	}
	return a.awaitAnswer(ctx, client, job, api.NewCommandID(), limit, file)
}

// awaitAnswer waits for the end of a job, checks that its answer is complete, and prints the job. With a limit it gives up
// after that time; the job goes on.
func (a *app) awaitAnswer(ctx context.Context, c *api.Client, job *api.Job, callID string, limit time.Duration, file string) error {
	if limit > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, limit)
		defer stop()
	}
	for job.State != api.StateEnded {
		next, err := c.Job(ctx, job.ID, maxPollWait)
		if ctx.Err() != nil {
			return exitErrorf(ExitUnavailable, "gave up waiting; job %s is %s and goes on", job.ID, job.State)
		}
		if err != nil {
			return fmt.Errorf("job %s was accepted: %w", job.ID, err)
		}
		job = next
	}
	a.recorder.delivered(callID, job)
	if err := checkAnswer(job); err != nil {
		return err
	}
	if file != "" {
		if err := os.WriteFile(file, job.Answer.Body, 0o600); err != nil {
			return err
		}
	}
	if err := a.printJob(job); err != nil {
		return err
	}
	if job.Answer.Outcome != "succeeded" {
		return exitErrorf(ExitFailed, "job %s ended as %s", job.ID, job.Answer.Outcome)
	}
	return nil
}

// checkAnswer checks the length and the digest of the answer of a job.
func checkAnswer(job *api.Job) error {
	if job.Answer == nil {
		return exitErrorf(ExitFailed, "job %s has ended without an answer", job.ID)
	}
	sum := sha256.Sum256(job.Answer.Body)
	wrongDigest := job.Answer.SHA256 != "" && job.Answer.SHA256 != hex.EncodeToString(sum[:])
	if wrongDigest || job.Answer.Length != len(job.Answer.Body) {
		return exitErrorf(ExitFailed, "the answer of job %s is damaged: its length or digest is wrong", job.ID)
	}
	return nil
}

func (a *app) getJob(ctx context.Context, id string) error {
	return a.showJob(func(c *api.Client) (*api.Job, error) { return c.Job(ctx, id, 0) })
}

func (a *app) cancelJob(ctx context.Context, id string) error {
	return a.showJob(func(c *api.Client) (*api.Job, error) { return c.Cancel(ctx, id) })
}

// showJob prints the job that a call returns.
func (a *app) showJob(call func(c *api.Client) (*api.Job, error)) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	job, err := call(client)
	if err != nil {
		return err
	}
	return a.printJob(job)
}

func (a *app) why(ctx context.Context, id string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	explanation, err := client.Why(ctx, id)
	if err != nil {
		return err
	}
	return a.print(explanation, func(w io.Writer) { fmt.Fprintf(w, "%s: %s\n", explanation.Job, explanation.Reason) })
}

func (a *app) listJobs(ctx context.Context, all bool) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	list := client.Jobs
	if all {
		list = client.AllJobs
	}
	l, err := list(ctx)
	if err != nil {
		return err
	}
	return a.print(l, func(w io.Writer) {
		row(w, "JOB", "WORKSPACE", "ZONE", "STATE", "CLASS", "GANG", "ACCELERATORS", "ATTEMPTS", "OUTCOME")
		for _, j := range l.Jobs {
			outcome := ""
			if j.Answer != nil {
				outcome = j.Answer.Outcome
			}
			row(w, j.ID, j.Workspace, j.Zone, j.State, j.Class, j.Gang, j.Accels, j.Attempts, outcome)
		}
		printUnreachable(w, l.Unreachable)
	})
}

func (a *app) printJob(j *api.Job) error {
	return a.print(j, func(w io.Writer) {
		row(w, "job", j.ID)
		row(w, "workspace", j.Workspace)
		row(w, "zone", j.Zone)
		row(w, "state", j.State)
		row(w, "shape", fmt.Sprintf("%d x %d accelerators, adjacent in one %s", j.Gang, j.Accels, j.Adjacency))
		row(w, "attempts", j.Attempts)
		if len(j.Workers) > 0 {
			row(w, "workers", strings.Join(j.Workers, ", "))
		}
		if j.Answer == nil {
			return
		}
		row(w, "outcome", j.Answer.Outcome)
		if j.Answer.Message != "" {
			row(w, "message", j.Answer.Message)
		}
		row(w, "answer", fmt.Sprintf("%d bytes", j.Answer.Length))
		if len(j.Answer.Body) > 0 {
			fmt.Fprintf(w, "%s\n", j.Answer.Body)
		}
	})
}
