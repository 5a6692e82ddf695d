package dispatch

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/share"
)

// excess tells which jobs their workspaces have submitted beyond their weights, in jobs a second.
type excess struct {
	buckets map[string]*share.Bucket // By workspace.
	jobs    map[domain.JobID]bool    // Open jobs that are beyond the weight.
	allowed share.Allowance
}

// newExcess returns the excess of the stored jobs. Those that have ended count too, until they are purged, so that a new leader
// finds about what its predecessor had found job by job.
func newExcess(state *domain.StateMachine, allowed share.Allowance) excess {
	x := excess{buckets: map[string]*share.Bucket{}, jobs: map[domain.JobID]bool{}, allowed: allowed}
	if !slices.ContainsFunc(workspacesOf(state), func(w domain.Workspace) bool { return w.Weight > 0 }) {
		return x
	}
	var all []*domain.Job
	for _, j := range state.Jobs() {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *domain.Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, j := range all {
		x.accepted(state, j)
	}
	return x
}

// accepted notes a job that was accepted after all others.
func (x *excess) accepted(state *domain.StateMachine, j *domain.Job) {
	weight := state.WeightOf(j.Spec.Workspace)
	if weight == 0 {
		return
	}
	b := x.buckets[j.Spec.Workspace]
	if b == nil {
		b = &share.Bucket{}
		x.buckets[j.Spec.Workspace] = b
	}
	if !b.Take(j.AcceptedMS, weight, x.allowed) && !j.State.Final() {
		x.jobs[j.Spec.ID] = true
	}
}

// workspacesOf returns the workspaces of the configuration in force.
func workspacesOf(state *domain.StateMachine) []domain.Workspace {
	if c := state.Config(); c != nil {
		return c.Workspaces
	}
	return nil
}
