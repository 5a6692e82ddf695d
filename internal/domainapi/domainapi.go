// Package domainapi serves the scheduler's own HTTP API of a scheduling domain: multi-step jobs by queue, and the state
// of the domain for operators. Decoding is strict, as in internal/httpapi.
package domainapi

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/httpapi"
	"github.com/mustardwalk/mustardwalk/internal/intake"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// Limits of calls.
const (
	maxBodyBytes    = 1 << 20 // The same as for clients of the platform's API.
	maxPayloadBytes = 4000    // Largest payload of a task that workers accept.
	callTimeout     = 10 * time.Second
)

// Answerer answers requests from callers.
type Answerer interface {
	Answer(ctx context.Context, req service.Request) service.Answer
}

// Domain returns the state of the domain as known to a host that keeps it.
type Domain interface {
	Status() api.DomainStatus
	Workers() api.DomainWorkers
	Explain(job string) (api.JobExplanation, bool)
	// ExplainPlace answers a submission without carrying it out. The verdict is service.Accepted if there is an explanation, and
	// service.Overloaded if the host makes no such decision at present.
	ExplainPlace(submission service.Request) (api.PlacementExplanation, service.Answer)
}

// AddQueueHandlers adds the handlers for jobs of queues.
func AddQueueHandlers(mux *http.ServeMux, a Answerer) {
	q := queues{a}
	mux.HandleFunc("POST /v1/queues/{queue}/jobs/{job}", q.submit)
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{job}", q.state)
	mux.HandleFunc("POST /v1/queues/{queue}/jobs/{job}/cancel", q.cancel)
	mux.HandleFunc("GET /v1/queues/{queue}", q.length)
}

// AddDomainHandlers adds the handlers for the state of the domain. Like metrics and the dump, they require no token.
// The placement of a job is explained with the token of its submission.
func AddDomainHandlers(mux *http.ServeMux, d Domain) {
	mux.HandleFunc("POST /v1/domain/queues/{queue}/explain", func(w http.ResponseWriter, r *http.Request) { explainPlace(w, r, d) })
	mux.HandleFunc("GET /v1/domain", func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteReply(w, http.StatusOK, d.Status())
	})
	mux.HandleFunc("GET /v1/domain/workers", func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteReply(w, http.StatusOK, d.Workers())
	})
	mux.HandleFunc("GET /v1/domain/jobs/{job}/explain", func(w http.ResponseWriter, r *http.Request) {
		e, found := d.Explain(r.PathValue("job"))
		if !found {
			httpapi.WriteError(w, &api.Error{Code: api.CodeNotFound, Message: "this host knows no such job"})
			return
		}
		httpapi.WriteReply(w, http.StatusOK, e)
	})
}

// explainPlace answers a submission without carrying it out.
func explainPlace(w http.ResponseWriter, r *http.Request, d Domain) {
	spec, e := readJob(w, r)
	if e == nil {
		if field := service.InvalidField(spec); field != "" {
			e = &api.Error{Code: api.CodeInvalid, Message: "the job is not valid", Findings: []api.Finding{{Field: field, Message: "is not within the limits of a job"}}}
		}
	}
	if e != nil {
		e.NotRun = "" // Nothing would run.
		httpapi.WriteError(w, e)
		return
	}
	req := service.Request{Kind: service.Submit, Queue: r.PathValue("queue"), Job: uuid.NewString(), Key: bearerToken(r), Document: spec}
	switch out, a := d.ExplainPlace(req); a.Verdict {
	case service.Accepted:
		httpapi.WriteReply(w, http.StatusOK, out)
	case service.Overloaded:
		httpapi.WriteError(w, &api.Error{Code: api.CodeRateLimited, Message: "the host explains another placement, or has just done so", RetryAfterSeconds: a.RetryAfter.Seconds()})
	default:
		httpapi.WriteError(w, errorOf(a, service.Request{}))
	}
}

// bearerToken returns the token of a request, an empty string if there is none.
func bearerToken(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

type queues struct{ answerer Answerer }

func (q queues) submit(w http.ResponseWriter, r *http.Request) {
	spec, e := readJob(w, r)
	if e != nil {
		httpapi.WriteError(w, e)
		return
	}
	q.answer(w, r, service.Request{Kind: service.Submit, Document: spec})
}

// readJob reads the job document in the body of a request. The error is nil on success.
func readJob(w http.ResponseWriter, r *http.Request) (*domain.JobSpec, *api.Error) {
	body, err := intake.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &api.Error{Code: api.CodeTooLarge, Message: "the body is too large", NotRun: api.NotRunTrue}
	case errors.Is(err, intake.ErrBusy):
		return nil, busy(err)
	case err != nil:
		return nil, &api.Error{Code: api.CodeInvalid, Message: "the body was not received completely", NotRun: api.NotRunTrue}
	}
	if err := chargeJob(r.Context(), body); err != nil {
		return nil, err
	}
	spec, findings := decodeJob(body)
	if len(findings) > 0 {
		return nil, &api.Error{Code: api.CodeInvalid, Message: "the job is not valid", Findings: findings, NotRun: api.NotRunTrue}
	}
	return spec, nil
}

// jobLists holds the largest numbers of elements of the lists in a job.
var jobLists = map[string]int{"steps": domain.MaxSteps, "steps.depends_on": service.MaxDependencies}

// chargeJob counts the memory that a job takes once it is decoded. It must be called before that.
func chargeJob(ctx context.Context, body []byte) *api.Error {
	cost, err := intake.JSONCost(body, api.JobDocument{}, jobLists)
	if err == nil {
		err = intake.Charge(ctx, cost)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, intake.ErrBusy):
		return busy(err)
	case errors.Is(err, intake.ErrTooCostly):
		return &api.Error{Code: api.CodeTooLarge, Message: err.Error(), NotRun: api.NotRunTrue}
	}
	return &api.Error{Code: api.CodeInvalid, Message: err.Error(), NotRun: api.NotRunTrue}
}

func busy(err error) *api.Error {
	return &api.Error{Code: api.CodeOverloaded, Message: err.Error(), NotRun: api.NotRunTrue}
}

func (q queues) state(w http.ResponseWriter, r *http.Request) {
	q.answer(w, r, service.Request{Kind: service.GetState})
}

func (q queues) cancel(w http.ResponseWriter, r *http.Request) {
	q.answer(w, r, service.Request{Kind: service.Cancel})
}

func (q queues) length(w http.ResponseWriter, r *http.Request) {
	q.answer(w, r, service.Request{Kind: service.GetState})
}

// answer passes a request on to the host and writes the answer as an HTTP response.
func (q queues) answer(w http.ResponseWriter, r *http.Request, req service.Request) {
	req.Queue, req.Job = r.PathValue("queue"), r.PathValue("job")
	req.Key = bearerToken(r)
	req.RequestID = uuid.NewString()
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	a := q.answerer.Answer(ctx, req)
	job := api.QueueJob{ID: req.Job, Queue: req.Queue}
	switch a.Verdict {
	case service.Accepted:
		job.State = "accepted"
	case service.Found:
		job.State = a.State.String()
	case service.Cancelled:
		job.State = domain.JobCancelled.String()
	case service.QueueLength:
		httpapi.WriteReply(w, http.StatusOK, api.QueueStatus{Queue: req.Queue, Waiting: a.Waiting})
		return
	default:
		httpapi.WriteError(w, errorOf(a, req))
		return
	}
	httpapi.WriteReply(w, http.StatusOK, job)
}

// errorOf returns the API error for an answer other than success. For a submission, NotRun is NotRunTrue if the verdict
// guarantees that the job has not run, else NotRunUnknown. For other requests it is empty.
func errorOf(a service.Answer, req service.Request) *api.Error {
	e := &api.Error{NotRun: api.NotRunTrue, RetryAfterSeconds: a.RetryAfter.Seconds()}
	switch a.Verdict {
	case service.NoQueue:
		e.Code, e.Message = api.CodeNotFound, "no such queue"
	case service.NoJob:
		e.Code, e.Message = api.CodeNotFound, "no such job"
	case service.Unauthorized:
		e.Code, e.Message = api.CodeUnauthorized, "the token is not a key of a workspace"
	case service.Invalid:
		e.Code, e.Message = api.CodeInvalid, "the job makes no sense here"
	case service.Overloaded:
		e.Code, e.Message = api.CodeOverloaded, "too much work is waiting"
	case service.Unavailable:
		e.Code, e.Message = api.CodeUnavailable, "no leader or no configuration"
	default:
		e.Code, e.Message, e.NotRun = api.CodeUnavailable, "no answer in time", api.NotRunUnknown
	}
	if req.Kind != service.Submit {
		e.NotRun = ""
	}
	return e
}
