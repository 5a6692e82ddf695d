package node

import (
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/history"
)

// Limits of caller requests.
const (
	// maxLongPoll is how long a cell's leader may hold a request that waits for the end of a job before it answers and
	// this host asks again. It bounds how long the failure of a leader goes unnoticed.
	maxLongPoll = 2 * time.Second
	// maxMoves is how many hand-overs of a job to another zone a request about the job follows.
	maxMoves = 8
	// maxCallers is how many caller requests a host serves at the same time.
	maxCallers = 4096
)

// openRequest is a request of a caller or an operator that is not answered yet.
type openRequest struct {
	id        uint64
	workspace string // Set by authenticate; empty for operators.
	request   Request
}

func (n *Node) callerRequest(now time.Duration, in CallerRequest) {
	r := in.Request
	n.callers[in.ID] = false
	keyed := r.Submit != nil && r.Submit.Job.IdempotencyKey != ""
	if n.stopping {
		n.respondError(in.ID, stoppingError(keyed))
		return
	}
	if len(n.callers) > maxCallers {
		n.respondError(in.ID, &api.Error{Status: http.StatusServiceUnavailable, Code: api.CodeOverloaded,
			Message: "the host has too many open requests", NotRun: notRun(!keyed), RetryAfterSeconds: 1})
		return
	}
	c := &openRequest{id: in.ID, request: r}
	if !r.Operator {
		if e := n.authenticate(c); e != nil {
			n.respondError(in.ID, e)
			return
		}
	}
	n.handleOperation(now, c)
}

// authenticate sets the workspace to which the caller's token belongs.
func (n *Node) authenticate(c *openRequest) *api.Error {
	c.workspace = n.deployment.WorkspaceOf(c.request.TokenSHA256)
	if c.workspace != "" {
		return nil
	}
	if n.groups[DeploymentGroup].replica.CommitIndex() == 0 {
		return unavailable("the deployment")
	}
	return &api.Error{Status: http.StatusUnauthorized, Code: api.CodeUnauthorized,
		Message: "the token is missing or wrong"}
}

// handleOperation carries out the operation of an authenticated request.
func (n *Node) handleOperation(now time.Duration, c *openRequest) {
	r := c.request
	switch {
	case r.Submit != nil && !r.Operator:
		n.submit(now, c)
	case r.Get != nil:
		n.getJob(now, c, r.Get.Job, now+r.Get.Wait)
	case r.Cancel != nil:
		n.jobRequest(now, c, r.Cancel.Job, func(ref cell.JobRef) cell.Request { return cell.Request{Cancel: &ref} })
	case r.Why != nil:
		n.jobRequest(now, c, r.Why.Job, func(ref cell.JobRef) cell.Request { return cell.Request{Why: &ref} })
	case r.List != nil:
		n.list(now, c)
	case r.Operator:
		n.handleOperatorOperation(now, c)
	default:
		n.respondError(c.id, &api.Error{Status: http.StatusForbidden, Code: api.CodeUnauthorized,
			Message: "the token does not allow this request"})
	}
}

func (n *Node) callerGone(id uint64) {
	if _, open := n.callers[id]; open {
		n.callers[id] = true
	}
}

// gone reports whether a request has been answered or its caller has disconnected. It forgets the request in the
// latter case.
func (n *Node) gone(id uint64) bool {
	gone, open := n.callers[id]
	if gone {
		delete(n.callers, id)
	}
	return gone || !open
}

// getJob answers with a job once it has ended, or as it is when the time to wait is over. It polls repeatedly, because
// a leader may fail while it holds the request.
func (n *Node) getJob(now time.Duration, c *openRequest, job string, until time.Duration) {
	zone := n.zoneOf(job)
	if zone == "" {
		n.respondError(c.id, notFound("job "+job))
		return
	}
	n.getJobFrom(now, c, job, zone, until, 0, nil)
}

// getJobFrom asks the cell of a zone for a job. moves counts the hand-overs followed so far; lastJob is the newest
// state of the job that is known, which is the answer if the cell cannot be reached any more, or nil.
func (n *Node) getJobFrom(
	now time.Duration, c *openRequest, job, zone string, until time.Duration, moves int, lastJob *api.Job,
) {
	longPoll := max(0, min(until-now, maxLongPoll))
	r := cell.Request{Get: &cell.GetRequest{
		JobRef:     cell.JobRef{Job: job, Workspace: c.workspace},
		WaitMillis: longPoll.Milliseconds(),
	}}
	n.requestCell(now, zone, r, longPoll, longPoll+requestTimeout, func(now time.Duration, resp *cell.Response) {
		switch {
		case n.gone(c.id):
		case resp == nil && now < until:
			n.getJobFrom(now, c, job, zone, until, moves, lastJob)
		case resp == nil && lastJob != nil:
			n.respond(c.id, Response{Body: lastJob})
		case resp == nil:
			n.respondError(c.id, unavailable("zone "+zone))
		case resp.MovedTo != "" && moves < maxMoves:
			n.getJobFrom(now, c, job, resp.MovedTo, until, moves+1, lastJob)
		case resp.Error != nil:
			n.respondError(c.id, resp.Error)
		case resp.Job == nil:
			n.respondError(c.id, unavailable("zone "+zone))
		case resp.Job.Answer == nil && now < until:
			n.getJobFrom(now, c, job, zone, until, moves, resp.Job)
		default:
			n.deliver(c, resp.Job)
		}
	})
}

// deliver answers a caller with a job, and records the delivery if the job has its answer.
func (n *Node) deliver(c *openRequest, job *api.Job) {
	if job.Answer != nil {
		n.record(history.Event{Kind: history.AnswerDelivered, Job: job.ID, Workspace: c.workspace,
			Outcome: job.Answer.Outcome, Digest: job.Answer.SHA256})
	}
	n.respond(c.id, Response{Body: job})
}

// jobRequest sends a request about one job to the cell of the zone in its identifier, and follows hand-overs from
// there.
func (n *Node) jobRequest(now time.Duration, c *openRequest, job string, build func(cell.JobRef) cell.Request) {
	zone := n.zoneOf(job)
	if zone == "" {
		n.respondError(c.id, notFound("job "+job))
		return
	}
	n.jobRequestTo(now, c, zone, build(cell.JobRef{Job: job, Workspace: c.workspace}), 0)
}

func (n *Node) jobRequestTo(now time.Duration, c *openRequest, zone string, r cell.Request, moves int) {
	n.requestCell(now, zone, r, 0, requestTimeout, func(now time.Duration, resp *cell.Response) {
		switch {
		case n.gone(c.id):
		case resp == nil:
			n.respondError(c.id, unavailable("zone "+zone))
		case resp.MovedTo != "" && moves < maxMoves:
			n.jobRequestTo(now, c, resp.MovedTo, r, moves+1)
		case resp.Error != nil:
			n.respondError(c.id, resp.Error)
		case resp.Why != nil:
			n.respond(c.id, Response{Body: resp.Why})
		case resp.Job != nil:
			n.respond(c.id, Response{Body: resp.Job})
		default:
			n.respondError(c.id, unavailable("zone "+zone))
		}
	})
}

// list collects the jobs of all zones.
func (n *Node) list(now time.Duration, c *openRequest) {
	list := &api.JobList{Jobs: []api.Job{}}
	r := cell.Request{List: &cell.ListRequest{Workspace: c.workspace}}
	n.requestAllCells(now, r, func(zone string, resp *cell.Response) {
		if resp == nil || resp.Error != nil {
			list.Unreachable = append(list.Unreachable, zone)
			return
		}
		list.Jobs = append(list.Jobs, resp.Jobs...)
	}, func(time.Duration) {
		if !n.gone(c.id) {
			n.respond(c.id, Response{Body: list})
		}
	})
}

// requestAllCells sends a request to the cells of all zones. each is called once per zone, in the order in which the
// responses arrive and with nil for a zone that does not answer in time; then done is called.
func (n *Node) requestAllCells(
	now time.Duration, r cell.Request, each func(string, *cell.Response), done func(time.Duration),
) {
	remaining := len(n.zones)
	for _, zone := range n.zones {
		n.requestCell(now, zone, r, 0, requestTimeout/2, func(now time.Duration, resp *cell.Response) {
			each(zone, resp)
			remaining--
			if remaining == 0 {
				done(now)
			}
		})
	}
}
