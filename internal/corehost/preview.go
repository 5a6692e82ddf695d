package corehost

import (
	"sync"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// Limits of the explanations of placements. Like a plan, each takes up to about 90 ms at 1,100 workers, twice that for a gang
// that preempts, in which the host decides nothing else.
const (
	// previewRestFactor is how many times the duration of an explanation the next one must wait, so that explanations take a
	// tenth of the time at most.
	previewRestFactor = 9
	leastRetryAfter   = time.Second // The unit of Retry-After.
	// startsPatience is how long an explanation waits for planned starts that are not applied yet: about ten commits. After it,
	// their work counts as waiting.
	startsPatience  = 100 * time.Millisecond
	startsPollEvery = 2 * time.Millisecond
)

// previewGate admits one explanation of a placement at a time.
type previewGate struct {
	mu     sync.Mutex // Held during an explanation.
	nextAt time.Time
}

// enter reports whether an explanation may begin. The function that it returns then must be called with its duration at its end.
func (g *previewGate) enter() (leave func(took time.Duration), ok bool) {
	if !g.mu.TryLock() {
		return nil, false
	}
	if time.Now().Before(g.nextAt) {
		g.mu.Unlock()
		return nil, false
	}
	return func(took time.Duration) {
		g.nextAt = time.Now().Add(previewRestFactor * took)
		g.mu.Unlock()
	}, true
}

// ExplainPlace returns what would happen to a job if it were submitted now; the request is the submission. The verdict is
// service.Accepted if there is an explanation, or if this host does not lead and names the leader.
func (h *Host) ExplainPlace(req service.Request) (api.PlacementExplanation, service.Answer) {
	leave, ok := h.previews.enter()
	if !ok {
		h.metrics.explained(service.Overloaded)
		return api.PlacementExplanation{}, service.Answer{Verdict: service.Overloaded, RetryAfter: leastRetryAfter}
	}
	var took time.Duration
	defer func() { leave(took) }()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.awaitStarts()
	now := h.now()
	out := api.PlacementExplanation{Host: h.settings.Address, Leads: h.leads(now), Leader: h.replica.Leader()}
	if !out.Leads {
		return out, service.Answer{Verdict: service.Accepted}
	}
	a, change := service.Decide(h.stateMachine, req)
	h.metrics.explained(a.Verdict)
	if change == nil {
		return out, a
	}
	spec := change.Submit
	out.Queue, out.Workspace, out.Priority = spec.Queue, spec.Workspace, spec.Priority
	if full, _ := h.noRoomFor(spec.Bytes()); full {
		out.Refused = "jobs_full"
	}
	if h.stateMachine.NeverStarts(spec) >= 0 {
		out.Refused = "quota"
	}
	began := time.Now()
	p := h.leader.Preview(now, spec)
	took = time.Since(began)
	out.FleetUneven, out.Steps = p.FleetUneven, stepPlacements(spec, p)
	return out, a
}

// awaitStarts waits until no planned start is waiting to be applied, or for startsPatience. The caller must hold h.mu, which is
// released meanwhile.
func (h *Host) awaitStarts() {
	for until := time.Now().Add(startsPatience); h.leader != nil && h.leader.StartsInFlight() && time.Now().Before(until); {
		h.mu.Unlock()
		time.Sleep(startsPollEvery)
		h.mu.Lock()
	}
}

// stepPlacements returns the answer to a preview in the form of the interface.
func stepPlacements(spec *domain.JobSpec, p dispatch.PlacementPreview) []api.StepPlacement {
	var out []api.StepPlacement
	for i, s := range p.Steps {
		x := api.StepPlacement{Step: i, Tasks: spec.Steps[i].Count, Blocked: s.Blocked, Waiting: s.Waiting, Reasons: s.Reasons}
		for _, w := range s.Workers {
			x.Workers = append(x.Workers, api.ChosenWorker{Worker: w.ID, Zone: w.Zone, Rack: w.Rack, Tasks: w.Tasks, Speed: w.Speed})
		}
		for _, a := range s.Stops {
			x.Stops = append(x.Stops, api.AttemptToStop{Task: a.Task.String(), Attempt: a.Attempt, Worker: a.Worker})
		}
		out = append(out, x)
	}
	return out
}
