package httpapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

func (a *API) callerRoutes(m *http.ServeMux) {
	m.Handle("/v1/jobs", a.route("/v1/jobs", methods{
		http.MethodPost: a.withTokenDigest(a.submit),
		http.MethodGet:  a.withTokenDigest(a.listJobs),
	}))
	m.Handle("/v1/jobs/{id}", a.route("/v1/jobs/{id}", methods{http.MethodGet: a.withTokenDigest(a.getJob)}))
	m.Handle("/v1/jobs/{id}/cancel", a.route("/v1/jobs/{id}/cancel", methods{http.MethodPost: a.withTokenDigest(a.cancel)}))
	m.Handle("/v1/jobs/{id}/why", a.route("/v1/jobs/{id}/why", methods{http.MethodGet: a.withTokenDigest(a.why)}))
}

// withTokenDigest passes the SHA-256 digest of the caller's token to a handler. The core decides whether the token is
// known.
func (a *API) withTokenDigest(h func(r *http.Request, digest string) result) func(*http.Request) result {
	return func(r *http.Request) result {
		token := bearer(r)
		if token == "" {
			return unauthorized()
		}
		sum := sha256.Sum256([]byte(token))
		return h(r, hex.EncodeToString(sum[:]))
	}
}

func (a *API) submit(r *http.Request, digest string) result {
	p := newParams(r, "wait")
	wait := p.wait()
	if e := p.err(); e != nil {
		return refuse(e, api.NotRunUnknown)
	}
	var job api.JobRequest
	if e := readJSON(r, &job); e != nil {
		return refuse(e, api.NotRunUnknown)
	}
	notRun := api.NotRunTrue
	if job.IdempotencyKey != "" {
		notRun = api.NotRunUnknown // An earlier request with the same key can have run.
	}
	if findings := checkJob(&job); len(findings) > 0 {
		return refuse(&api.Error{Code: api.CodeInvalid, Message: "the job is not valid", Findings: findings}, notRun)
	}
	request := node.Request{TokenSHA256: digest, Submit: &node.SubmitJob{Job: job, Wait: wait}}
	return jobStatus(a.ask(r.Context(), request, wait, notRun))
}

// refuse returns an error of a submission or a command, with what is known about whether it has run.
func refuse(e *api.Error, notRun api.NotRun) result {
	e.NotRun = notRun
	return failure(e)
}

// jobStatus sets the status 202 on the result for a job that has not ended.
func jobStatus(out result) result {
	job, isJob := out.body.(*api.Job)
	if isJob && job != nil && job.State != api.StateEnded {
		out.status = http.StatusAccepted
	}
	return out
}

func (a *API) listJobs(r *http.Request, digest string) result {
	if e := newParams(r).err(); e != nil {
		return failure(e)
	}
	return a.ask(r.Context(), node.Request{TokenSHA256: digest, List: &node.ListJobs{}}, 0, "")
}

func (a *API) getJob(r *http.Request, digest string) result {
	p := newParams(r, "wait")
	get := &node.GetJob{Job: p.name("id"), Wait: p.wait()}
	if e := p.err(); e != nil {
		return failure(e)
	}
	return a.ask(r.Context(), node.Request{TokenSHA256: digest, Get: get}, get.Wait, "")
}

func (a *API) cancel(r *http.Request, digest string) result {
	p := newParams(r)
	name := &node.JobRef{Job: p.name("id")}
	if e := errors.Join(asError(p.err()), asError(noBody(r))); e != nil {
		return failure(firstError(e))
	}
	return a.ask(r.Context(), node.Request{TokenSHA256: digest, Cancel: name}, 0, "")
}

func (a *API) why(r *http.Request, digest string) result {
	p := newParams(r)
	name := &node.JobRef{Job: p.name("id")}
	if e := p.err(); e != nil {
		return failure(e)
	}
	return a.ask(r.Context(), node.Request{TokenSHA256: digest, Why: name}, 0, "")
}

// asError returns nil for a nil pointer. A conversion to error would give an interface that is not nil.
func asError(e *api.Error) error {
	if e == nil {
		return nil
	}
	return e
}

// firstError returns the first api.Error among joined errors.
func firstError(err error) *api.Error {
	var e *api.Error
	errors.As(err, &e)
	return e
}

// ask passes a request to the core. NotRun is what the reply says if the core never saw the request: NotRunUnknown if
// an earlier request with the same key or command can have run. It is empty for requests that change nothing.
func (a *API) ask(parent context.Context, request node.Request, wait time.Duration, notRun api.NotRun) result {
	ctx, stop := context.WithTimeout(parent, wait+answerMargin)
	defer stop()
	response, err := a.options.Backend.Ask(ctx, request)
	if err != nil {
		return backendFailure(parent, err, notRun)
	}
	if response.Error != nil {
		return failure(response.Error)
	}
	return ok(response.Body)
}

// backendFailure translates errors of the Backend. With ErrOverloaded and ErrNotPassed it is certain that the core did
// not see the request.
func backendFailure(parent context.Context, err error, notRun api.NotRun) result {
	if parent.Err() != nil {
		return result{callerGone: true}
	}
	unknown := notRun
	if unknown != "" {
		unknown = api.NotRunUnknown
	}
	switch {
	case errors.Is(err, ErrOverloaded):
		return failure(&api.Error{Code: api.CodeOverloaded, Message: err.Error(), NotRun: notRun})
	case errors.Is(err, ErrNotPassed):
		return failure(&api.Error{Code: api.CodeStopping, Message: err.Error(), NotRun: notRun})
	case errors.Is(err, ErrStopped):
		return failure(&api.Error{Code: api.CodeStopping, Message: err.Error(), NotRun: unknown})
	default:
		return failure(&api.Error{Code: api.CodeUnavailable, Message: fmt.Sprint("no answer in time: ", err), NotRun: unknown})
	}
}
