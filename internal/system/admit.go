package system

import (
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Times after which a refused caller may try again.
const (
	retryQueueFull = 5 * time.Second
	retryNoWorkers = 10 * time.Second
	retryZoneOut   = 5 * time.Second
)

// Admit checks a new job against the workspace's limits and the zone. A request counts against the rate limit only if
// nothing else refuses it. A job that is handed over has been counted in another zone.
func (p *Policy) Admit(now time.Duration, j *table.Job, handedOver bool) *Refusal {
	ws := p.tables.Workspace(j.Workspace)
	if ws == nil {
		return refuse(RefusedUnknownWorkspace, 0, "workspace %s has no contract", j.Workspace)
	}
	if j.Class < ws.MaxClass || j.Class >= table.ClassCount {
		return refuse(RefusedClass, 0, "the contract of workspace %s does not allow this class", ws.Name)
	}
	if p.tables.Service.Out {
		return refuse(RefusedZoneOut, retryZoneOut, "zone %s is out of service", p.tables.Zone)
	}
	if p.tables.WorkerCount() == 0 {
		return refuse(RefusedNoWorkers, retryNoWorkers, "zone %s has no workers at the moment", p.tables.Zone)
	}
	if r := p.neverFits(ws, j); r != nil {
		return r
	}
	if handedOver {
		return nil
	}
	if limit := ws.Limits.Queued; limit > 0 && p.tables.QueuedCount(ws.Name) >= limit {
		return refuse(RefusedQueueFull, retryQueueFull, "workspace %s has %d jobs queued, its limit", ws.Name, limit)
	}
	return p.admitRate(now, ws)
}

// neverFits refuses a job that the zone or the workspace could not run even if nothing else ran. It returns nil for
// other jobs.
func (p *Policy) neverFits(ws *table.Workspace, j *table.Job) *Refusal {
	s := j.Shape
	if s.Gang < 1 || s.Accelerators < 1 || s.Adjacency > table.SameWorker {
		return refuse(RefusedNeverFits, 0, "a job needs at least one member with at least one accelerator")
	}
	if limit := ws.Limits.Running; limit > 0 && s.Total() > limit {
		return refuse(RefusedNeverFits, 0, "the job needs %d accelerators, and workspace %s may run %d",
			s.Total(), ws.Name, limit)
	}
	if !p.fitsEmpty(s) {
		return refuse(RefusedNeverFits, 0, "zone %s cannot hold %d members of %d accelerators on one %s, even when empty",
			p.tables.Zone, s.Gang, s.Accelerators, adjacencyNames[s.Adjacency])
	}
	if ws.SurplusShare == 0 && p.guaranteedAccelerators(ws.Name) < s.Total() {
		return refuse(RefusedNeverFits, 0,
			"the job needs %d accelerators; workspace %s has %d guaranteed in zone %s and no share of the surplus",
			s.Total(), ws.Name, p.guaranteedAccelerators(ws.Name), p.tables.Zone)
	}
	return nil
}

// admitRate takes one request from the workspace's rate limit. Bursts of up to one second's requests are allowed.
func (p *Policy) admitRate(now time.Duration, ws *table.Workspace) *Refusal {
	limit := ws.Limits.RequestsPerSecond
	if limit <= 0 {
		return nil
	}
	b := p.rateLimits[ws.Name]
	if b == nil || b.limit != limit {
		burst := max(1, int(math.Ceil(limit)))
		b = &workspaceRate{limit, rate.NewLimiter(rate.Limit(limit), burst)}
		p.rateLimits[ws.Name] = b
	}
	if b.limiter.AllowN(rateLimiterOrigin.Add(now), 1) {
		return nil
	}
	wait := time.Duration(float64(time.Second) / limit)
	return refuse(RefusedRate, wait, "workspace %s exceeds %g requests a second", ws.Name, limit)
}

// rateLimiterOrigin stands for time zero of the systems' monotonic clock, because the rate limiter takes wall-clock
// times.
var rateLimiterOrigin = time.Unix(0, 0)

func refuse(code RefusalCode, retry time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), RetryAfter: retry}
}

var adjacencyNames = [...]string{table.SameZone: "zone", table.SameRack: "rack", table.SameWorker: "worker"}
