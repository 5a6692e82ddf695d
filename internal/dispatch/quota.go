package dispatch

import (
	"slices"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/placement"
)

// withheldByQuota is the reason with which Observer.StartWithheld is called for a step that its workspace's maximum keeps from
// running.
const withheldByQuota = "quota"

// reasonOverMax is why attempts are stopped that have not begun, and whose workspace has more running than a new configuration
// allows.
const reasonOverMax = "its workspace is above its maximum"

// quotaLogEvery is the least time between two log lines about one workspace at its maximum.
const quotaLogEvery = time.Second

// quotaState is what the leader keeps about workspaces at their maximum.
type quotaState struct {
	loggedAt map[string]time.Duration // By workspace.
	withheld map[stepKey]bool         // Steps that are withheld at present.
}

// workspaces returns the workspaces with a weight or a maximum for the placement. Attempts that are to be stopped count as
// Stopping only on workers that answer: on others they may last until the lease is over, too long for urgent work to wait.
func (l *Leader) workspaces(now Time) map[string]*placement.Workspace {
	c := l.state.Config()
	if c == nil {
		return nil
	}
	// If one has a weight, the use of all matters.
	weighted := slices.ContainsFunc(c.Workspaces, func(w domain.Workspace) bool { return w.Weight > 0 })
	var out map[string]*placement.Workspace
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if !weighted && w.Max == (domain.Resources{}) {
			continue
		}
		if out == nil {
			out = map[string]*placement.Workspace{}
		}
		out[w.Name] = &placement.Workspace{Weight: w.Weight, Max: w.Max, Used: l.state.InUse(w.Name)}
	}
	if out == nil {
		return nil
	}
	for id, a := range l.unsettled {
		if j := l.state.Job(id.Job); a.stopWanted && j != nil && out[j.Spec.Workspace] != nil && l.answers(now, a.incarnation) {
			w := out[j.Spec.Workspace]
			w.Stopping = w.Stopping.Plus(j.Spec.Steps[id.Step].Counted())
		}
	}
	return out
}

// answers reports whether a worker has answered its last call and has been heard of lately.
func (l *Leader) answers(now Time, incarnation domain.WorkerIncarnation) bool {
	s := l.sessions[incarnation.ID]
	return s != nil && s.incarnation == incarnation && s.failures == 0 && l.unheard(now, s) < l.reportLimit()
}

// counted returns what an attempt counts against the maximum of its workspace, nil if that has none.
func (l *Leader) counted(j *domain.Job, step *domain.Step) *placement.Counted {
	if l.state.MaxOf(j.Spec.Workspace) == (domain.Resources{}) {
		return nil
	}
	return &placement.Counted{Workspace: j.Spec.Workspace, Amount: step.Counted()}
}

// atMax reports whether the maximum of its workspace keeps a step from running: a gang as a whole, or one task.
func (l *Leader) atMax(j *domain.Job, step int) bool {
	maximum := l.state.MaxOf(j.Spec.Workspace)
	if maximum == (domain.Resources{}) {
		return false
	}
	need := j.Spec.Steps[step].Counted()
	if j.Spec.Steps[step].Gang {
		need = need.Times(j.Spec.Steps[step].Count)
	}
	return !need.FitsMax(l.state.InUse(j.Spec.Workspace).Plus(l.preview.startsOf(j.Spec.Workspace)), maximum)
}

// noteAtMax logs and counts the waiting units that their workspaces' maxima keep from running.
func (l *Leader) noteAtMax(now Time, units []*placement.Unit) {
	withheld := map[stepKey]bool{}
	for _, u := range units {
		if !l.atMax(u.Job, u.Step) {
			continue
		}
		key, w := stepKey{u.Job.Spec.ID, u.Occurrence, u.Step}, u.Job.Spec.Workspace
		withheld[key] = true
		if !l.quota.withheld[key] {
			l.options.Observer.StartWithheld(withheldByQuota)
		}
		if at, logged := l.quota.loggedAt[w]; !logged || now.Mono >= at+quotaLogEvery {
			if l.quota.loggedAt == nil {
				l.quota.loggedAt = map[string]time.Duration{}
			}
			l.quota.loggedAt[w] = now.Mono
			used, maximum := l.state.InUse(w), l.state.MaxOf(w)
			l.options.Log("quota_reached", "workspace", w, "used_cpu", used.CPU, "used_mem_mb", used.MemoryMB, "used_gpus", used.Accelerators,
				"max_cpu", maximum.CPU, "max_mem_mb", maximum.MemoryMB, "max_gpus", maximum.Accelerators)
		}
	}
	l.quota.withheld = withheld
}

// overMax reports whether an attempt that has not begun must not begin: its workspace has more running of what it takes than
// the configuration in force allows, which must have been lowered since the start was committed.
func (l *Leader) overMax(a *attemptState) bool {
	j := l.state.Job(a.task.Job)
	return j != nil && l.state.OverMaxWith(j.Spec.Workspace, &j.Spec.Steps[a.task.Step])
}
