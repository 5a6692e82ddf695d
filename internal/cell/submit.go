package cell

import (
	"bytes"
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/system"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// submitWaiter is a submission that waits for the commit of its Submit or, with refusal set, of its Refuse.
type submitWaiter struct {
	id      uint64
	request *SubmitRequest
	refusal *api.Error
}

// submit accepts or refuses a job. It looks up known jobs and submissions in flight before it applies any limit, so
// that a refusal states correctly whether the job may have run.
func (d *dispatcher) submit(now time.Duration, id uint64, request *SubmitRequest) {
	if r, known := d.knownSubmission(request); known {
		d.reply(id, r)
		return
	}
	j := jobToAccept(request)
	inFlight := j.ID
	if d.submitWaiters[inFlight] == nil && j.Key != "" {
		inFlight = d.submittingByKey[submitKey(&j)]
	}
	if d.submitWaiters[inFlight] != nil {
		d.submitWaiters[inFlight] = append(d.submitWaiters[inFlight], submitWaiter{id: id, request: request})
		return
	}
	refusal := d.admit(now, &j, request)
	switch {
	case refusal == nil:
		d.submitWaiters[j.ID] = []submitWaiter{{id: id, request: request}}
		d.submittingCount[j.Workspace]++
		if j.Key != "" {
			d.submittingByKey[submitKey(&j)] = j.ID
		}
		d.cell.propose(Command{Submit: &Submit{Job: j}})
	case request.HandedOver || request.KeyClaimed:
		waiting := d.refusalWaiters[j.ID]
		d.refusalWaiters[j.ID] = append(waiting, submitWaiter{id: id, request: request, refusal: refusal})
		if len(waiting) == 0 {
			d.cell.propose(Command{Refuse: &Refuse{Job: j.ID}})
		}
	default:
		d.reply(id, Response{Error: refusal})
	}
}

func submitKey(j *table.Job) string { return j.Workspace + "\x00" + j.Key }

// jobToAccept returns the submitted job. The state of earlier attempts is taken over only from a job that another zone
// hands over.
func jobToAccept(q *SubmitRequest) table.Job {
	j := q.Job
	if !q.HandedOver {
		j.AttemptCount, j.FailedWorkers, j.AlsoFailedWorkers, j.ResumeFrom, j.MayHaveRun = 0, nil, nil, "", false
	}
	return j
}

// knownSubmission returns the response to a submission whose identifier or key is known.
func (d *dispatcher) knownSubmission(q *SubmitRequest) (Response, bool) {
	old := d.tables.Job(q.Job.ID)
	again := old != nil && q.HandedOver && old.State == table.JobHandedOver && q.Job.AttemptCount > old.AttemptCount
	if old != nil && !again {
		r := d.jobResponse(old.ID, "")
		if old.State == table.JobHandedOver && q.HandedOver {
			r.MovedTo = old.HandedTo
		}
		return r, true
	}
	if t, refused := d.cell.state.tombstones[q.Job.ID]; refused {
		return d.tombstoneResponse(t, q), true
	}
	other := d.tables.JobByKey(q.Job.Workspace, q.Job.Key)
	if other == nil || q.HandedOver {
		return Response{}, false
	}
	if !sameRequest(other, &q.Job) {
		return Response{Error: keyReusedError(other)}, true
	}
	return d.jobResponse(other.ID, ""), true
}

func (d *dispatcher) tombstoneResponse(t tombstone, q *SubmitRequest) Response {
	switch {
	case t.Refused:
		r := failure(http.StatusServiceUnavailable, api.CodeUnavailable, "the submission was refused in this zone")
		r.Error.NotRun, r.Refused = api.NotRunUnknown, true
		return r
	case q.HandedOver:
		return Response{MovedTo: d.cell.options.Zone} // The job was accepted, has ended and was removed here.
	}
	r := failure(http.StatusNotFound, api.CodeNotFound, "the job has ended and its answer is no longer kept")
	r.Error.NotRun = api.NotRunUnknown
	return r
}

// sameRequest reports whether two submissions with the same key are the same request.
func sameRequest(a, b *table.Job) bool {
	return a.Class == b.Class && a.Shape == b.Shape && a.NoRepeat == b.NoRepeat && a.Zone == b.Zone &&
		a.DeadlineMillis == b.DeadlineMillis && a.DeclaredRunMillis == b.DeclaredRunMillis && bytes.Equal(a.Body, b.Body)
}

func keyReusedError(other *table.Job) *api.Error {
	e := &api.Error{Status: http.StatusConflict, Code: api.CodeKeyReused,
		Message: "the idempotency key was used with a different request", NotRun: api.NotRunUnknown}
	if other.MayHaveRun {
		e.NotRun = api.NotRunFalse
	}
	return e
}

// admit returns why a new job is refused, or nil to accept it. Rate and queue limits do not apply to a job that is
// handed over.
func (d *dispatcher) admit(now time.Duration, j *table.Job, q *SubmitRequest) *api.Error {
	if q.HandedOver && d.tables.JobByKey(j.Workspace, j.Key) != nil {
		return keyReusedError(d.tables.JobByKey(j.Workspace, j.Key))
	}
	r := d.checkAdmission(now, j, q.HandedOver)
	if r == nil {
		return nil
	}
	e := &api.Error{Status: refusalStatus(r.Code), Code: string(r.Code), Message: r.Message,
		NotRun: api.NotRunTrue, RetryAfterSeconds: r.RetryAfter.Seconds()}
	if q.HandedOver {
		e.NotRun = api.NotRunUnknown
	}
	return e
}

func (d *dispatcher) checkAdmission(now time.Duration, j *table.Job, handedOver bool) *system.Refusal {
	w := d.tables.Workspace(j.Workspace)
	switch {
	case d.tables.Service.Out:
		return &system.Refusal{Code: system.RefusedZoneOut, Message: "the zone is out of service",
			RetryAfter: time.Second}
	case j.Zone != "" && j.Zone != d.cell.options.Zone:
		return &system.Refusal{Code: system.RefusedNeverFits, Message: "the job is restricted to another zone"}
	case w == nil:
		return &system.Refusal{Code: system.RefusedUnknownWorkspace, Message: "the workspace has no contract here"}
	}
	inFlight, queued, limit := d.submittingCount[j.Workspace], d.tables.QueuedCount(j.Workspace), w.Limits.Queued
	full := !handedOver && limit > 0 && queued < limit && queued+inFlight >= limit
	// A job that does not fit the queue must not count against the rate of requests either.
	r := d.scheduler.Admit(now, j, handedOver || full)
	if r != nil && handedOver && (r.Code == system.RefusedRate || r.Code == system.RefusedQueueFull) {
		return nil
	}
	if r == nil && full {
		return &system.Refusal{Code: system.RefusedQueueFull, Message: "the queue of the workspace is full",
			RetryAfter: time.Second}
	}
	return r
}

func refusalStatus(c system.RefusalCode) int {
	switch c {
	case system.RefusedRate, system.RefusedQueueFull:
		return http.StatusTooManyRequests
	case system.RefusedNoWorkers, system.RefusedZoneOut:
		return http.StatusServiceUnavailable
	case system.RefusedUnknownWorkspace:
		return http.StatusForbidden
	default:
		return http.StatusUnprocessableEntity
	}
}

// submitApplied answers the requests that wait for a submission which was applied, with or without effect.
func (d *dispatcher) submitApplied(id string, e effect) {
	if e.changed {
		d.watchDeadline(e.job)
		delete(d.handOvers, id)
		d.planNow = true
	}
	waiting := d.submitWaiters[id]
	if waiting == nil {
		return
	}
	delete(d.submitWaiters, id)
	j := &waiting[0].request.Job
	delete(d.submittingByKey, submitKey(j))
	if d.submittingCount[j.Workspace]--; d.submittingCount[j.Workspace] <= 0 {
		delete(d.submittingCount, j.Workspace)
	}
	for _, w := range waiting {
		r, known := d.knownSubmission(w.request)
		if !known { // The workspace was deleted, or another job took the key, before the submission was applied.
			r = failure(http.StatusServiceUnavailable, api.CodeUnavailable, "the submission had no effect; try again")
			r.Error.RetryAfterSeconds, r.Error.NotRun = 1, api.NotRunUnknown
		}
		d.reply(w.id, r)
	}
}

// answerRefusals answers the requests that wait for a refusal which is now committed.
func (d *dispatcher) answerRefusals(id string) {
	waiting := d.refusalWaiters[id]
	delete(d.refusalWaiters, id)
	for _, w := range waiting {
		if r, known := d.knownSubmission(w.request); known && !r.Refused {
			d.reply(w.id, r)
			continue
		}
		d.reply(w.id, Response{Error: w.refusal, Refused: true})
	}
}
