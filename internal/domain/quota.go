package domain

import (
	"math"

	"github.com/rotisserie/eris"
)

// maxCounted bounds what one task counts against the maximum of its workspace. Best-effort tasks may ask for any amount of
// processor time; without a bound the sum over many of them, or over a gang, could overflow.
const maxCounted = 1 << 36

// Counted returns what a task of the step counts against the maximum of its workspace: all that it may use. Unlike Demand it
// includes the processor time of best-effort tasks, which run although they take nothing from the capacity.
func (s *Step) Counted() Resources {
	return Resources{min(s.Task.CPU, maxCounted), min(s.Task.MemoryMB, maxCounted), min(s.Task.Accelerators, maxCounted)}
}

// FitsMax reports whether an amount can be added to what is used below a maximum, in which 0 stands for no limit. What it takes
// nothing of does not matter, also if a new configuration has lowered the maximum below the use.
func (r Resources) FitsMax(used, maximum Resources) bool {
	fits := func(amount, used, limit int64) bool { return limit <= 0 || amount == 0 || used+amount <= limit }
	return fits(r.CPU, used.CPU, maximum.CPU) && fits(r.MemoryMB, used.MemoryMB, maximum.MemoryMB) &&
		fits(r.Accelerators, used.Accelerators, maximum.Accelerators)
}

// MaxOf returns what a workspace may have running across all workers. 0 stands for no limit.
func (m *StateMachine) MaxOf(workspace string) Resources { return m.index.workspaces[workspace].Max }

// WeightOf returns the weight of a workspace, 0 if it has none.
func (m *StateMachine) WeightOf(workspace string) float64 {
	return m.index.workspaces[workspace].Weight
}

// InUse returns what counts against the maximum of a workspace: all its attempts that may be present on workers.
func (m *StateMachine) InUse(workspace string) Resources { return m.inUse[workspace] }

// OverMaxWith reports whether a workspace has more running than its maximum of what a task of a step takes. That is so only
// if a new configuration has lowered the maximum.
func (m *StateMachine) OverMaxWith(workspace string, s *Step) bool {
	used, maximum, need := m.inUse[workspace], m.MaxOf(workspace), s.Counted()
	over := func(need, used, limit int64) bool { return limit > 0 && need > 0 && used > limit }
	return over(need.CPU, used.CPU, maximum.CPU) || over(need.MemoryMB, used.MemoryMB, maximum.MemoryMB) ||
		over(need.Accelerators, used.Accelerators, maximum.Accelerators)
}

// HighestUse returns the highest share of a maximum that a workspace has in use, over all workspaces and resources.
func (m *StateMachine) HighestUse() float64 {
	highest := 0.0
	for name, w := range m.index.workspaces {
		used := m.inUse[name]
		for _, x := range [][2]int64{{used.CPU, w.Max.CPU}, {used.MemoryMB, w.Max.MemoryMB}, {used.Accelerators, w.Max.Accelerators}} {
			if x[1] > 0 {
				highest = max(highest, float64(x[0])/float64(x[1]))
			}
		}
	}
	return highest
}

// NeverStarts returns the first step of a job of which one task, or the gang as a whole, is larger than the maximum of the
// job's workspace, or -1 if there is none.
func (m *StateMachine) NeverStarts(s *JobSpec) int {
	maximum := m.MaxOf(s.Workspace)
	for i := range s.Steps {
		need := s.Steps[i].Counted()
		if s.Steps[i].Gang {
			need = need.Times(s.Steps[i].Count)
		}
		if !need.FitsMax(Resources{}, maximum) {
			return i
		}
	}
	return -1
}

// countAttempt adds an attempt to what its workspace has in use.
func (m *StateMachine) countAttempt(id TaskID, j *Job) {
	m.inUse[j.Spec.Workspace] = m.inUse[j.Spec.Workspace].Plus(j.Spec.Steps[id.Step].Counted())
}

// discountAttempt undoes countAttempt. Workspaces that use nothing have no entry, as after a snapshot is restored.
func (m *StateMachine) discountAttempt(id TaskID, j *Job) {
	w := j.Spec.Workspace
	if m.inUse[w] = m.inUse[w].Minus(j.Spec.Steps[id.Step].Counted()); m.inUse[w] == (Resources{}) {
		delete(m.inUse, w)
	}
}

// quotaCheck checks the starts of one command against the maxima of their workspaces.
type quotaCheck struct {
	m     *StateMachine
	added map[string]Resources // By workspace: the starts that were admitted.
}

// admit reports whether a task may start beside those that run and those that were admitted before it, and counts it then.
// Entries of earlier versions are always admitted: their configurations have no maximum.
func (q *quotaCheck) admit(a Assignment) bool {
	j := q.m.open[a.Task.Job]
	w := j.Spec.Workspace
	maximum := q.m.MaxOf(w)
	if maximum == (Resources{}) {
		return true
	}
	need := j.Spec.Steps[a.Task.Step].Counted()
	if !need.FitsMax(q.m.inUse[w].Plus(q.added[w]), maximum) {
		return false
	}
	if q.added == nil {
		q.added = map[string]Resources{}
	}
	q.added[w] = q.added[w].Plus(need)
	return true
}

// checkQuotas returns an error if a workspace has a weight or a maximum without a meaning.
func (c *Config) checkQuotas() error {
	for _, w := range c.Workspaces {
		if !(w.Weight >= 0) || math.IsInf(w.Weight, 0) {
			return eris.Errorf("workspace %q: the weight is %v", w.Name, w.Weight)
		}
		if w.Max.CPU < 0 || w.Max.MemoryMB < 0 || w.Max.Accelerators < 0 {
			return eris.Errorf("workspace %q: the maximum is negative: %+v", w.Name, w.Max)
		}
	}
	return nil
}
