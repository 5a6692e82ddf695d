package nodetest

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

// clientTimeout is how long a client waits beyond the wait that it asked for.
const clientTimeout = 8 * time.Second

// Token returns the caller token of a workspace of the run.
func Token(workspace string) string { return "token-" + workspace }

// call sends a request to a host and calls done with the response, or with nil if no answer comes in time or the
// connection fails.
func (w *World) call(h *Host, r node.Request, timeout time.Duration, done func(*node.Response)) {
	finished := false
	finish := func(r *node.Response) {
		if !finished {
			finished = true
			done(r)
		}
	}
	w.After(w.jitter(delayToClient), func() {
		if !h.up {
			finish(nil)
			return
		}
		generation := h.generation
		h.runUnlessKilled(generation, func() {
			h.nextID++
			id := h.nextID
			h.responses[id] = func(r node.Response) { finish(&r) }
			h.Input(node.CallerRequest{ID: id, Request: r})
			w.After(timeout, func() {
				h.runUnlessKilled(generation, func() {
					if !finished {
						delete(h.responses, id)
						h.Input(node.CallerGone{ID: id})
					}
				})
			})
		})
		w.After(timeout, func() { finish(nil) })
	})
}

// PickHost returns a host as a load balancer would choose it: a random host that is ready, of the given zone unless it is
// empty. If none is ready, it returns a random host.
func (w *World) PickHost(zone string) *Host {
	var ready, all []*Host
	for _, id := range w.HostIDs {
		h := w.Hosts[id]
		if zone != "" && h.Peer.Zone != zone {
			continue
		}
		all = append(all, h)
		if !h.up {
			continue
		}
		if ok, _ := h.Node.Ready(); ok {
			ready = append(ready, h)
		}
	}
	if len(ready) > 0 {
		return ready[w.random.IntN(len(ready))]
	}
	return all[w.random.IntN(len(all))]
}

// CallAsOperator sends an operator's request and advances the run until it is answered. It returns nil if no answer came.
func (w *World) CallAsOperator(h *Host, r node.Request) *node.Response {
	var got *node.Response
	done := false
	w.sendAsOperator(h, r, func(resp *node.Response) { got, done = resp, true })
	w.RunUntil(w.now+clientTimeout+time.Second, func() bool { return done })
	return got
}

// Job is one job of the load, with what its client knows about it.
type Job struct {
	Request   api.JobRequest
	Workspace string
	ID        string
	Answer    *api.Answer
	Refusal   *api.Error
	Sent      time.Duration
	Accepted  time.Duration
	Ended     time.Duration
	Tries     int
	FirstZone string // Zone of the host to which the job is sent first; empty for any.
	// Guaranteed marks a job that is within the guarantee of its workspace.
	Guaranteed bool
	// OutcomeUnknown tells that a try ended without a definite answer.
	OutcomeUnknown bool
}

// Settled tells whether the client has a definite answer or a definite refusal.
func (j *Job) Settled() bool { return j.Answer != nil || j.Refusal != nil }

// maxSubmitTries bounds how often a client sends one submission.
const maxSubmitTries = 40

// Submit submits a job and polls it until it has ended, as a correct client does: it sends a submission again only if it
// has a key, or if the refusal says that nothing has run and that it may be retried.
func (w *World) Submit(workspace string, r api.JobRequest, firstZone string) *Job {
	j := &Job{Request: r, Workspace: workspace, Sent: w.now, FirstZone: firstZone}
	w.trySubmit(j)
	return j
}

// SubmitGuaranteed submits a job that is within the guarantee of its workspace.
func (w *World) SubmitGuaranteed(workspace string, r api.JobRequest, firstZone string) *Job {
	j := &Job{Request: r, Workspace: workspace, Sent: w.now, FirstZone: firstZone, Guaranteed: true}
	w.trySubmit(j)
	return j
}

func (w *World) trySubmit(j *Job) {
	j.Tries++
	w.calls++
	call := fmt.Sprintf("call-%d", w.calls)
	sent := history.Event{Kind: history.Submitted, Call: call, Workspace: j.Workspace, Key: j.Request.IdempotencyKey,
		NoRepeat: j.Request.NoRepeat}
	if j.Guaranteed {
		sent.Message = history.MarkGuaranteed
	}
	w.record(sent)
	r := node.Request{TokenSHA256: standin.Digest([]byte(Token(j.Workspace))), Submit: &node.SubmitJob{Job: j.Request}}
	zone := j.FirstZone
	if j.Tries > 1 {
		zone = ""
	}
	w.call(w.PickHost(zone), r, clientTimeout, func(resp *node.Response) { w.submitted(j, call, resp) })
}

func (w *World) submitted(j *Job, call string, resp *node.Response) {
	switch {
	case resp == nil:
		j.OutcomeUnknown = true
		w.retrySubmit(j, nil)
	case resp.Error != nil:
		w.record(history.Event{Kind: history.Refused, Call: call, Workspace: j.Workspace, Key: j.Request.IdempotencyKey,
			NotRun: string(resp.Error.NotRun), Code: resp.Error.Code})
		if resp.Error.NotRun != api.NotRunTrue {
			j.OutcomeUnknown = true
		}
		w.retrySubmit(j, resp.Error)
	default:
		accepted := resp.Body.(*api.Job)
		j.ID, j.Accepted = accepted.ID, w.now
		w.record(history.Event{Kind: history.Accepted, Call: call, Workspace: j.Workspace, Key: j.Request.IdempotencyKey,
			NoRepeat: j.Request.NoRepeat, Job: j.ID})
		w.pollJob(j, accepted)
	}
}

// retrySubmit sends the submission again if that is safe; otherwise it ends the job with its refusal.
func (w *World) retrySubmit(j *Job, e *api.Error) {
	final := &api.Error{Code: "no_answer", NotRun: api.NotRunUnknown}
	if e != nil {
		final = e
	}
	keyed := j.Request.IdempotencyKey != ""
	retryable := e == nil || e.RetryAfterSeconds > 0
	safe := keyed || (e != nil && e.NotRun == api.NotRunTrue)
	if !retryable || !safe || j.Tries >= maxSubmitTries {
		j.Refusal = final
		return
	}
	w.After(w.jitter(500*time.Millisecond), func() { w.trySubmit(j) })
}

// pollJob asks for the job until it has ended.
func (w *World) pollJob(j *Job, known *api.Job) {
	if known != nil && known.Answer != nil {
		w.delivered(j, known)
		return
	}
	const wait = 2 * time.Second
	r := node.Request{TokenSHA256: standin.Digest([]byte(Token(j.Workspace))), Get: &node.GetJob{Job: j.ID, Wait: wait}}
	w.call(w.PickHost(""), r, wait+clientTimeout, func(resp *node.Response) {
		if resp == nil || resp.Error != nil {
			if resp != nil && resp.Error.Code == api.CodeNotFound {
				w.addProblem("job %s was accepted and is not found", j.ID)
				j.Refusal = resp.Error
				return
			}
			w.After(w.jitter(200*time.Millisecond), func() { w.pollJob(j, nil) })
			return
		}
		w.pollJob(j, resp.Body.(*api.Job))
	})
}

func (w *World) delivered(j *Job, job *api.Job) {
	if j.Answer != nil {
		return
	}
	if job.ID != j.ID && j.Request.IdempotencyKey != "" && job.Key == j.Request.IdempotencyKey {
		// The job was handed over to a zone that already had another job with its key.
		j.ID = job.ID
	}
	j.Answer, j.Ended = job.Answer, w.now
	w.calls++
	w.record(history.Event{Kind: history.AnswerDelivered, Call: fmt.Sprintf("call-%d", w.calls), Job: j.ID, Workspace: j.Workspace,
		Outcome: job.Answer.Outcome, Digest: job.Answer.SHA256})
	w.checkAnswer(j, job)
}

// checkAnswer compares the answer with the request that it must belong to.
func (w *World) checkAnswer(j *Job, job *api.Job) {
	a := job.Answer
	if job.ID != j.ID {
		w.addProblem("job %s got the answer of %s", j.ID, job.ID)
	}
	if a.Outcome != "succeeded" {
		return
	}
	var body standin.Answer
	if err := json.Unmarshal(a.Body, &body); err != nil {
		w.addProblem("job %s: the answer cannot be decoded: %v", j.ID, err)
		return
	}
	if len(a.Body) != a.Length || standin.Digest(a.Body) != a.SHA256 {
		w.addProblem("job %s: length or digest of the answer is wrong", j.ID)
	}
	if body.Job != j.ID || body.Request != standin.Digest(j.Request.Body) || !strings.HasPrefix(body.Attempt, j.ID+"/") {
		w.addProblem("job %s got the answer of job %s, attempt %s", j.ID, body.Job, body.Attempt)
	}
}

func (w *World) addProblem(format string, args ...any) {
	w.Problems = append(w.Problems, fmt.Sprintf("%.3fs: ", w.now.Seconds())+fmt.Sprintf(format, args...))
}

// Body returns the request body of a task that runs for some time.
func Body(run time.Duration, echo string) []byte {
	data, err := json.Marshal(standin.Request{RunMillis: run.Milliseconds(), AnswerBytes: 64, Echo: echo})
	if err != nil {
		panic(err)
	}
	return data
}

// CallAsCaller sends a request of a caller of a workspace and advances the run until it is answered. It returns nil if no
// answer came.
func (w *World) CallAsCaller(workspace string, r node.Request) *node.Response {
	r.TokenSHA256 = standin.Digest([]byte(Token(workspace)))
	var got *node.Response
	done := false
	w.call(w.PickHost(""), r, clientTimeout, func(resp *node.Response) { got, done = resp, true })
	w.RunUntil(w.now+clientTimeout+time.Second, func() bool { return done })
	return got
}
