package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
	"github.com/mustardwalk/mustardwalk/internal/share"
)

// previewReasons is for how many steps of a preview the workers are counted by reason. For each step all workers are looked at,
// about 1 ms for a fleet of 1,100, and a job may have 256 steps.
const previewReasons = 16

// PlacementPreview tells what the next plan would do for a job if it were accepted now.
type PlacementPreview struct {
	FleetUneven bool // The speeds of workers affect the plan.
	Steps       []StepPreview
}

// StepPreview is the part of a PlacementPreview for one step.
type StepPreview struct {
	Blocked []int           // Steps that must be done first. If there are any, the other fields are empty.
	Workers []PreviewWorker // On which tasks start, sorted by identifier.
	Stops   []PreviewStop   // Attempts that are stopped to make room, at once or after a gang's short wait; by task.
	Waiting int             // Tasks that do not start.
	// Reasons counts the workers by the reason why no further task starts there, see Blockers. It is nil if no task waits, and
	// beyond previewReasons steps.
	Reasons map[string]int
}

// PreviewWorker is a worker on which tasks of a step would start.
type PreviewWorker struct {
	ID, Zone, Rack string
	Tasks          int
	Speed          float64 // Relative to the median of the fleet, 0 if unknown.
}

// PreviewStop is an attempt that would be stopped.
type PreviewStop struct {
	Task    domain.TaskID
	Attempt int
	Worker  string
}

// preview is the job of a preview, and the starts of all jobs in its plan. All methods may be called on nil, for no starts.
type preview struct {
	job         *domain.Job
	byWorkspace map[string]domain.Resources // What counts against maxima.
	byWorker    map[string]domain.Resources
	tasks       map[stepKey]map[string]int // Of the job, by worker.
}

func (p *preview) startsOf(workspace string) domain.Resources {
	if p == nil {
		return domain.Resources{}
	}
	return p.byWorkspace[workspace]
}

func (p *preview) startsOn(worker string) domain.Resources {
	if p == nil {
		return domain.Resources{}
	}
	return p.byWorker[worker]
}

func (p *preview) tasksOn(key stepKey, worker string) int {
	if p == nil {
		return 0
	}
	return p.tasks[key][worker]
}

// StartsInFlight reports whether planned starts are proposed and not applied yet. A preview counts their work as waiting, and so
// may give its workers to a job that goes before it.
func (l *Leader) StartsInFlight() bool { return l.startInFlight }

// Preview returns what the next plan would do for a job if it were accepted now, beside all other waiting work. Neither the
// leader nor the domain changes, and nothing is sent: workers are not probed, and policies are not asked for advice. The first
// occurrence of a job with a schedule counts as due. No job of the domain may have the identifier in the spec.
func (l *Leader) Preview(now Time, spec *domain.JobSpec) PlacementPreview {
	c := l.previewCopy(now, spec)
	units := c.units(now)
	v := c.view(now, units)
	plan := placement.Decide(v)
	c.countStarts(&plan)
	preemptions := c.laterPreemptions(v, plan.Preemptions)

	out := PlacementPreview{FleetUneven: v.FleetUneven, Steps: make([]StepPreview, len(spec.Steps))}
	counted := 0
	for i := range out.Steps {
		s := &out.Steps[i]
		key := stepKey{spec.ID, 0, i}
		if s.Blocked = spec.Steps[i].DependsOn; len(s.Blocked) > 0 {
			continue
		}
		s.Waiting = spec.Steps[i].Count
		for id, n := range c.preview.tasks[key] {
			w := l.state.Worker(id)
			x := PreviewWorker{ID: id, Zone: w.Zone, Rack: w.Rack, Tasks: n}
			x.Speed, _ = l.speedOf(w)
			s.Workers = append(s.Workers, x)
			s.Waiting -= n
		}
		slices.SortFunc(s.Workers, func(a, b PreviewWorker) int { return cmp.Compare(a.ID, b.ID) })
		s.Stops = l.previewStops(preemptions, key)
		if s.Waiting > 0 && counted < previewReasons {
			counted++
			s.Reasons = c.Blockers(now, c.preview.job, 0, i)
		}
	}
	return out
}

// previewCopy returns a copy of the leader that knows the job of a preview. What the building of a view changes in a leader is
// copied too: the caches of units and workers, and the jobs beyond the weights of their workspaces.
func (l *Leader) previewCopy(now Time, spec *domain.JobSpec) *Leader {
	c := *l
	c.preview = &preview{
		job: l.state.Preview(spec, now.WallMS), byWorkspace: map[string]domain.Resources{}, byWorker: map[string]domain.Resources{},
		tasks: map[stepKey]map[string]int{},
	}
	c.workerIDs = slices.Clone(l.workerIDs)
	c.readySinceMS = maps.Clone(l.readySinceMS)
	c.criticalPathsMS = maps.Clone(l.criticalPathsMS)
	c.excess.jobs = maps.Clone(l.excess.jobs)
	c.excess.buckets = map[string]*share.Bucket{}
	if b := l.excess.buckets[spec.Workspace]; b != nil {
		bucket := *b
		c.excess.buckets[spec.Workspace] = &bucket
	}
	c.excess.accepted(l.state, c.preview.job)
	return &c
}

// laterPreemptions returns the preemptions of the plan in which the units of the previewed job that did not start preempt after a
// wait: gangs after a short one, and guaranteed units after another one stop urgent work. If there are none, it returns those of
// the first plan.
func (l *Leader) laterPreemptions(v *placement.View, first []placement.Preemption) []placement.Preemption {
	again := false
	for _, u := range v.Units {
		if u.Job != l.preview.job || !u.MayPreempt {
			continue
		}
		started := 0
		for _, n := range l.preview.tasks[stepKey{u.Job.Spec.ID, 0, u.Step}] {
			started += n
		}
		switch {
		case u.Guaranteed && started < len(u.Indexes):
			u.WaitedMS, again = placement.StopUrgentAfterMS, true
		case u.Job.Spec.Steps[u.Step].Gang && started == 0:
			u.WaitedMS, again = placement.PreemptAfterWaitMS, true
		}
	}
	if !again {
		return first
	}
	return placement.Decide(v).Preemptions
}

// countStarts notes the starts of the plan of a preview.
func (l *Leader) countStarts(plan *placement.Plan) {
	p := l.preview
	for _, s := range plan.Starts {
		for _, a := range s.Assignments {
			j := p.job
			if a.Task.Job != j.Spec.ID {
				j = l.state.Job(a.Task.Job)
			}
			step, worker := &j.Spec.Steps[a.Task.Step], a.Worker.ID
			p.byWorkspace[j.Spec.Workspace] = p.byWorkspace[j.Spec.Workspace].Plus(step.Counted())
			p.byWorker[worker] = p.byWorker[worker].Plus(step.Demand())
			if j == p.job {
				key := keyOf(a.Task)
				if p.tasks[key] == nil {
					p.tasks[key] = map[string]int{}
				}
				p.tasks[key][worker]++
			}
		}
	}
}

// previewStops returns the attempts that are stopped for a step, with the other members of their gangs.
func (l *Leader) previewStops(preemptions []placement.Preemption, key stepKey) []PreviewStop {
	seen := map[domain.TaskID]bool{}
	var out []PreviewStop
	for _, s := range preemptions {
		a := l.attempts[s.Task]
		if keyOf(s.For) != key || a == nil || a.stopWanted {
			continue
		}
		for _, m := range l.endTogether(a) {
			if !seen[m.task] {
				seen[m.task] = true
				out = append(out, PreviewStop{Task: m.task, Attempt: m.number, Worker: m.incarnation.ID})
			}
		}
	}
	slices.SortFunc(out, func(a, b PreviewStop) int { return a.Task.Compare(b.Task) })
	return out
}
