package cell

import (
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// receive serves a request, or holds it while suspended, because then neither reads nor writes may be answered.
func (d *dispatcher) receive(now time.Duration, id uint64, request Request) {
	d.openRequests[id] = true
	if d.suspended {
		d.heldRequests = append(d.heldRequests, heldRequest{id: id, request: request})
		return
	}
	d.serve(now, id, request)
}

func (d *dispatcher) serve(now time.Duration, id uint64, r Request) {
	switch {
	case r.Submit != nil:
		d.submit(now, id, r.Submit)
	case r.Get != nil:
		d.get(now, id, r.Get)
	case r.Cancel != nil:
		d.cancel(id, r.Cancel)
	case r.Why != nil:
		d.reply(id, d.why(now, r.Why))
	case r.List != nil:
		d.reply(id, d.list(r.List))
	case r.Service != nil:
		d.changeService(id, r.Service)
	case r.Status != nil:
		d.reply(id, Response{Zone: d.zoneStatus()})
	case r.Workers != nil:
		d.reply(id, Response{Workers: d.workers()})
	case r.Report != nil:
		d.report(now, id, r.Report)
	default:
		d.reply(id, failure(http.StatusBadRequest, api.CodeInvalid, "the request is empty"))
	}
}

func failure(status int, code, message string) Response {
	return Response{Error: &api.Error{Status: status, Code: code, Message: message}}
}

func (d *dispatcher) report(now time.Duration, id uint64, r *Report) {
	switch {
	case r.Announcement != nil:
		d.reply(id, Response{HeartbeatReply: d.announce(now, r.Announcement)})
	case r.Heartbeat != nil:
		d.reply(id, Response{HeartbeatReply: d.heartbeat(now, r.Heartbeat)})
	case r.Leaving != nil:
		d.endpointLeaving(id, Leaving{Worker: r.Leaving.Worker, Incarnation: r.Leaving.Incarnation})
	case r.Result != nil:
		d.result(now, id, r.Result)
	default:
		d.reply(id, failure(http.StatusBadRequest, api.CodeInvalid, "the report is empty"))
	}
}

func (d *dispatcher) endpointLeaving(id uint64, l Leaving) {
	if d.tables.Leaving()[l.Worker] == l.Incarnation {
		d.reply(id, ackOf(endpoint.Ack{Accepted: true}))
		return
	}
	waiting := d.leavingWaiters[l]
	d.leavingWaiters[l] = append(waiting, id)
	if len(waiting) == 0 {
		d.cell.propose(Command{Leaving: &l})
	}
}

// visibleJob returns the job if it exists and the requester may see it, or nil.
func (d *dispatcher) visibleJob(q JobRef) *table.Job {
	j := d.tables.Job(q.Job)
	if j == nil || (q.Workspace != "" && q.Workspace != j.Workspace) {
		return nil
	}
	return j
}

func notFound() Response { return failure(http.StatusNotFound, api.CodeNotFound, "no such job") }

// jobResponse returns the description of a job and, if another zone has taken it over, the name of that zone.
func (d *dispatcher) jobResponse(job, workspace string) Response {
	j := d.visibleJob(JobRef{Job: job, Workspace: workspace})
	switch {
	case j == nil:
		return notFound()
	case j.State == table.JobHandedOver && j.HandOverCommitted:
		return Response{Job: d.jobView(j, true), MovedTo: j.HandedTo}
	default:
		return Response{Job: d.jobView(j, true)}
	}
}

func (d *dispatcher) get(now time.Duration, id uint64, q *GetRequest) {
	j := d.visibleJob(q.JobRef)
	moved := j != nil && j.State == table.JobHandedOver && j.HandOverCommitted
	if j == nil || moved || j.State == table.JobEnded || q.WaitMillis <= 0 {
		d.reply(id, d.jobResponse(q.Job, q.Workspace))
		return
	}
	job := j.ID
	d.getWaiters[job] = append(d.getWaiters[job], id)
	d.timers.add(now+time.Duration(q.WaitMillis)*time.Millisecond, func(time.Duration) { d.getExpired(id, job) })
}

func (d *dispatcher) getExpired(id uint64, job string) {
	list := d.getWaiters[job]
	for i := range list {
		if list[i] == id {
			d.getWaiters[job] = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(d.getWaiters[job]) == 0 {
		delete(d.getWaiters, job)
	}
	d.reply(id, d.jobResponse(job, ""))
}

// answerGets answers the get requests that wait for a job.
func (d *dispatcher) answerGets(job string) {
	for _, id := range d.getWaiters[job] {
		d.reply(id, d.jobResponse(job, ""))
	}
	delete(d.getWaiters, job)
}

func (d *dispatcher) cancel(id uint64, q *JobRef) {
	j := d.visibleJob(*q)
	switch {
	case j == nil || j.State == table.JobEnded || j.Cancelled || (j.State == table.JobHandedOver && j.HandOverCommitted):
		d.reply(id, d.jobResponse(q.Job, q.Workspace))
	case j.State == table.JobHandedOver:
		r := failure(http.StatusServiceUnavailable, api.CodeUnavailable, "the job is being handed over to another zone")
		r.Error.RetryAfterSeconds = 1
		d.reply(id, r)
	default:
		waiting := d.cancelWaiters[j.ID]
		d.cancelWaiters[j.ID] = append(waiting, id)
		if len(waiting) == 0 {
			d.cell.propose(Command{Cancel: &Cancel{Job: j.ID}})
		}
	}
}

func (d *dispatcher) changeService(id uint64, q *ServiceRequest) {
	if q.CommandID == "" {
		d.reply(id, failure(http.StatusBadRequest, api.CodeInvalid, "the command has no identifier"))
		return
	}
	if _, known := d.cell.state.serviceResults[q.CommandID]; known {
		r := d.serviceResponse(q.CommandID)
		if r.Zone != nil {
			r.Zone.Repeated = true
		}
		d.reply(id, r)
		return
	}
	waiting := d.serviceWaiters[q.CommandID]
	d.serviceWaiters[q.CommandID] = append(waiting, id)
	if len(waiting) == 0 {
		d.cell.propose(Command{SetService: &SetService{CommandID: q.CommandID, ExpectedRevision: q.ExpectedRevision,
			Out: q.Out}})
	}
}

// serviceResponse returns the result of the first application of a command.
func (d *dispatcher) serviceResponse(command string) Response {
	r := d.cell.state.serviceResults[command]
	if r.Conflict {
		f := failure(http.StatusConflict, api.CodeConflict, "the expected revision is not the current one")
		f.Error.Revision = r.Revision
		return f
	}
	s := d.zoneStatus()
	s.State, s.Revision = stateOf(r.Out), r.Revision
	return Response{Zone: s}
}
