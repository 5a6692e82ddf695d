package system

import (
	"fmt"
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// ExplainWait explains in one sentence what a queued job waits for.
func (p *Policy) ExplainWait(now time.Duration, j *table.Job) string {
	ws := p.tables.Workspace(j.Workspace)
	switch {
	case j.State != table.JobQueued:
		return "The job is not queued."
	case j.Cancelled:
		return "The job is being cancelled."
	case ws == nil:
		return fmt.Sprintf("Workspace %s has no contract any more.", j.Workspace)
	case p.tables.Service.Out:
		return fmt.Sprintf("Zone %s is out of service; the job is handed over to another zone.", p.tables.Zone)
	case j.Attempt != "" && p.tables.Attempt(j.Attempt) != nil:
		return "An earlier attempt of the job is still being ended."
	case len(j.FailedWorkers) >= maxFailedWorkers:
		return fmt.Sprintf("The job failed on %d distinct workers and is not tried again.", len(j.FailedWorkers))
	case p.allocations[j.ID] != nil:
		return "Its guaranteed place is being reclaimed from borrowers."
	case !p.withinLimits(ws, j.Shape.Total()):
		return fmt.Sprintf("Workspace %s is at its limit of %d running accelerators.", ws.Name, ws.Limits.Running)
	case !p.fitsEmpty(j.Shape):
		return fmt.Sprintf("Zone %s cannot hold the job with its present workers, even when empty.", p.tables.Zone)
	}
	return p.whyCapacity(now, ws, j)
}

func (p *Policy) whyCapacity(now time.Duration, ws *table.Workspace, j *table.Job) string {
	guarantee := fmt.Sprintf("the guarantee of workspace %s has %d accelerators left", ws.Name, p.unusedGuarantee(ws.Name))
	switch {
	case ws.SurplusShare == 0:
		return fmt.Sprintf("The job needs %d accelerators; %s, and it has no share of the surplus.",
			j.Shape.Total(), guarantee)
	case !p.lending:
		return fmt.Sprintf("The job needs %d accelerators; %s, and the isolated zone lends nothing new.",
			j.Shape.Total(), guarantee)
	case p.backfillReservation != nil && p.backfillReservation.job == j:
		return fmt.Sprintf("Workers are reserved for the job and are expected to be free in %s at the earliest.",
			max(0, p.backfillReservation.notBefore-now).Round(time.Second))
	case p.isBlocked(j.Shape):
		return fmt.Sprintf("The job needs %d members of %d accelerators on one %s, which are not free; %s.",
			j.Shape.Gang, j.Shape.Accelerators, adjacencyNames[j.Shape.Adjacency], guarantee)
	}
	return fmt.Sprintf("%d older or more urgent jobs of workspace %s are queued before it.", p.jobsAhead(j), ws.Name)
}

func (p *Policy) isBlocked(s table.Shape) bool {
	return slices.ContainsFunc(p.blockedGroups, func(g *table.Group) bool { return g.Shape == s })
}

// jobsAhead returns the number of queued jobs of the same workspace that are served before a job.
func (p *Policy) jobsAhead(j *table.Job) int {
	n := 0
	for c := table.Class(0); c < j.Class; c++ {
		n += len(p.tables.Queued(j.Workspace, c))
	}
	for _, o := range p.tables.Queued(j.Workspace, j.Class) {
		if o == j {
			break
		}
		n++
	}
	return n
}
