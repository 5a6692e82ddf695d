package node

import (
	"net/http"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/deployment"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// submission is a job request of a caller, which is submitted to one zone after another until one accepts it.
type submission struct {
	openRequest *openRequest
	job         table.Job
	digest      string   // Digest of the request; set only with NoRepeat, which needs a claim on the idempotency key.
	zones       []string // Zones that are still to be tried.
	waitUntil   time.Duration
	// refusal is the first refusal. It is returned to the caller if no zone accepts the job.
	refusal *api.Error
	// replacedJob is the claimed job that its zone has durably refused. The next claim replaces it by another job.
	replacedJob string
	claimMoves  int
}

// maxClaimMoves bounds how often one submission moves its claim to another zone.
const maxClaimMoves = 4

func (n *Node) submit(now time.Duration, c *openRequest) {
	r := c.request.Submit
	job, e := n.newJob(c.workspace, &r.Job)
	if e != nil {
		n.respondError(c.id, e)
		return
	}
	s := &submission{openRequest: c, job: job, zones: n.candidateZones(now, r.Job.Zone), waitUntil: now + r.Wait}
	if job.NoRepeat {
		s.digest = digestOf(&r.Job)
		n.claim(now, s)
		return
	}
	n.tryNextZone(now, s)
}

// candidateZones returns the zones to try, in order: this zone, then the other zones that are reachable and in service.
// This zone comes last if it is out of service. A job that is restricted to a zone is tried only there.
func (n *Node) candidateZones(now time.Duration, restrictedTo string) []string {
	if restrictedTo != "" {
		return []string{restrictedTo}
	}
	own := n.settings.Self.Zone
	var out, last []string
	if v := n.zoneReports[own]; v != nil && v.View.Out {
		last = append(last, own)
	} else {
		out = append(out, own)
	}
	for _, v := range n.zoneViews(now, own) {
		if !v.Reachable || v.Out {
			continue
		}
		out = append(out, v.Zone)
	}
	return append(out, last...)
}

// tryNextZone submits a job without a claim to the next zone. It tries the zone after that only if the refusal says
// that nothing ran and another zone may accept the job.
func (n *Node) tryNextZone(now time.Duration, s *submission) {
	zone := s.zones[0]
	s.zones = s.zones[1:]
	s.job.ID = n.jobID(zone)
	n.submitTo(now, s, zone, func(now time.Duration, resp *cell.Response) {
		e := resp.Error
		if s.refusal == nil {
			s.refusal = e
		}
		if e.NotRun != api.NotRunTrue || !otherZoneMayAccept(e.Code) || len(s.zones) == 0 {
			n.refuse(s, s.refusal)
			return
		}
		n.tryNextZone(now, s)
	})
}

// otherZoneMayAccept reports whether the code of a refusal depends on the zone.
func otherZoneMayAccept(code string) bool {
	switch code {
	case api.CodeZoneOut, api.CodeNoWorkers, api.CodeNeverFits, api.CodeQueueFull:
		return true
	}
	return false
}

// submitTo submits the job to a cell; refused is called if the cell refuses it.
func (n *Node) submitTo(now time.Duration, s *submission, zone string, refused func(time.Duration, *cell.Response)) {
	r := cell.Request{Submit: &cell.SubmitRequest{Job: s.job, KeyClaimed: s.digest != ""}}
	n.requestCell(now, zone, r, 0, requestTimeout, func(now time.Duration, resp *cell.Response) {
		switch {
		case resp == nil:
			n.refuse(s, unavailable("zone "+zone))
		case resp.Error != nil:
			refused(now, resp)
		case resp.MovedTo != "":
			n.getJobFrom(now, s.openRequest, s.job.ID, resp.MovedTo, s.waitUntil, 0, nil)
		case resp.Job == nil:
			n.refuse(s, unavailable("zone "+zone))
		default:
			n.accepted(now, s, zone, resp.Job)
		}
	})
}

// accepted answers the caller at once, or after the end of the job if the caller asked to wait for it.
func (n *Node) accepted(now time.Duration, s *submission, zone string, job *api.Job) {
	if n.gone(s.openRequest.id) {
		return
	}
	if job.Answer != nil || now >= s.waitUntil {
		n.deliver(s.openRequest, job)
		return
	}
	n.getJobFrom(now, s.openRequest, job.ID, zone, s.waitUntil, 0, job)
}

// refuse answers the caller with an error.
func (n *Node) refuse(s *submission, e *api.Error) {
	if n.gone(s.openRequest.id) {
		return
	}
	if s.job.Key != "" && s.digest == "" && e.NotRun == api.NotRunTrue {
		// An earlier call with the same key may still reach another zone; this refusal cannot rule that out.
		uncertain := *e
		uncertain.NotRun = api.NotRunUnknown
		e = &uncertain
	}
	if e.Code == api.CodeUnknownSpace {
		// The token is known here, so the contract is accepted but not in force in that zone yet.
		e = &api.Error{Status: http.StatusServiceUnavailable, Code: api.CodeUnavailable, NotRun: e.NotRun,
			Message: "the contract is not in force in the zone yet", RetryAfterSeconds: 1}
	}
	n.respondError(s.openRequest.id, e)
}

// claim binds the idempotency key to a new job in the deployment log, then submits that job. If the key is already
// claimed, the job of the earlier claim is submitted again instead.
func (n *Node) claim(now time.Duration, s *submission) {
	zone := s.zones[0]
	claim := &deployment.Claim{
		Workspace:   s.job.Workspace,
		Key:         s.job.Key,
		Zone:        zone,
		Job:         n.jobID(zone),
		Digest:      s.digest,
		ReplacesJob: s.replacedJob,
	}
	n.requestDeployment(now, deployment.Request{Claim: claim}, func(now time.Duration, resp *deployment.Response) {
		switch {
		case resp == nil:
			n.refuse(s, unavailable("the deployment"))
		case resp.Error != nil:
			n.refuse(s, resp.Error)
		case resp.Claim == nil:
			n.refuse(s, unavailable("the deployment"))
		case resp.Claim.Digest != s.digest:
			n.refuse(s, &api.Error{Status: http.StatusConflict, Code: api.CodeKeyReused, NotRun: api.NotRunUnknown,
				Message: "the idempotency key was used for another request"})
		case resp.Claim.Refusal != nil:
			n.refuseClosed(s, resp.Claim)
		default:
			n.submitClaimed(now, s, resp.Claim, resp.Claim.Job == claim.Job)
		}
	})
}

// submitClaimed submits the job that holds the claim. If its zone durably refuses the job, the claim moves to another
// job in the next zone. newClaim is true if this call made the claim: only then does a refusal rule the zone out,
// because the refusal of an earlier call's job does not tell whether the zone would accept a new job now.
func (n *Node) submitClaimed(now time.Duration, s *submission, claim *deployment.Claim, newClaim bool) {
	s.job.ID = claim.Job
	n.record(history.Event{Kind: history.Claimed, Workspace: claim.Workspace, Key: claim.Key, Job: claim.Job,
		Zone: claim.Zone})
	n.submitTo(now, s, claim.Zone, func(now time.Duration, resp *cell.Response) {
		if s.refusal == nil {
			s.refusal = resp.Error
		}
		if newClaim {
			s.dropZone(claim.Zone)
		}
		if !resp.Refused || len(s.zones) == 0 || s.claimMoves == maxClaimMoves {
			n.refuseClaimed(now, s, claim, resp)
			return
		}
		s.claimMoves++
		s.replacedJob = claim.Job
		n.claim(now, s)
	})
}

// refuseClaimed refuses a claimed request. If the refusal is durable and has no retry delay, the claim is closed first
// (deployment.CloseClaim), so that the answer can say that nothing ran. Otherwise the answer leaves that open: the key
// can be used again, and an earlier call with it may still submit its job.
func (n *Node) refuseClaimed(now time.Duration, s *submission, claim *deployment.Claim, resp *cell.Response) {
	if !resp.Refused || resp.Error.RetryAfterSeconds > 0 {
		e := *resp.Error
		e.NotRun = api.NotRunUnknown
		n.refuse(s, &e)
		return
	}
	closeClaim := &deployment.CloseClaim{Workspace: claim.Workspace, Key: claim.Key, Job: claim.Job, Refusal: resp.Error}
	n.requestDeployment(now, deployment.Request{CloseClaim: closeClaim}, func(_ time.Duration, done *deployment.Response) {
		if done == nil || done.Error != nil || done.Claim == nil || done.Claim.Job != claim.Job || done.Claim.Refusal == nil {
			n.refuse(s, unavailable("the deployment"))
			return
		}
		n.refuseClosed(s, done.Claim)
	})
}

// refuseClosed answers with the final refusal stored in a closed claim. Since the claim is closed, the answer can say
// that nothing ran.
func (n *Node) refuseClosed(s *submission, claim *deployment.Claim) {
	e := *claim.Refusal
	e.NotRun = api.NotRunTrue
	n.refuse(s, &e)
}

// dropZone removes a zone that refused the job from the zones to try.
func (s *submission) dropZone(zone string) {
	for i, z := range s.zones {
		if z == zone {
			s.zones = append(s.zones[:i:i], s.zones[i+1:]...)
			return
		}
	}
}
