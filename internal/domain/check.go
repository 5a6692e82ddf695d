package domain

import (
	"slices"

	"github.com/rotisserie/eris"
)

// check returns an error if a decoded state has values that the state machine cannot work with: entries without a value,
// or tasks of steps that a job does not have.
func (s *state) check() error {
	for id, j := range s.Jobs {
		if j == nil {
			return eris.Errorf("job %q has no value", id)
		}
		for k, o := range j.Occurrences {
			if o == nil || len(o.Steps) != len(j.Spec.Steps) {
				return eris.Errorf("occurrence %d of job %q does not have the steps of the job", k, id)
			}
		}
	}
	for id, w := range s.Workers {
		if w == nil {
			return eris.Errorf("worker %q has no value", id)
		}
	}
	for number, w := range s.Waves {
		if w == nil {
			return eris.Errorf("wave %d has no value", number)
		}
		for machine, u := range w.Progress {
			if u == nil {
				return eris.Errorf("machine %q of wave %d has no value", machine, number)
			}
		}
	}
	return nil
}

// Limits of a job that is submitted.
const (
	MaxSteps       = 256
	maxTasks       = 20000 // Of all steps together.
	maxOccurrences = 100000
)

// maxLoggedTasks bounds the tasks of one occurrence of a job in the log. Unlike the limits of submissions it is a part of the
// format of the log: hosts with different bounds would hold different states.
const maxLoggedTasks = 1 << 24

// CheckSteps returns an error if a job cannot be executed or is not within the limits.
func (s *JobSpec) CheckSteps() error {
	if err := s.checkExecutable(); err != nil {
		return err
	}
	return s.checkLimits()
}

func (s *JobSpec) checkLimits() error {
	if len(s.Steps) > MaxSteps || s.RepeatCount > maxOccurrences {
		return eris.Errorf("%d steps and %d occurrences are more than %d and %d", len(s.Steps), s.RepeatCount, MaxSteps, maxOccurrences)
	}
	if tasks := s.tasks(); tasks > maxTasks {
		return eris.Errorf("%d tasks are more than %d", tasks, maxTasks)
	}
	return nil
}

// tasks returns the number of tasks of one occurrence.
func (s *JobSpec) tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// checkExecutable returns an error if the state machine cannot work with a job, or could not hold its tasks.
func (s *JobSpec) checkExecutable() error {
	if len(s.Steps) == 0 || s.RepeatCount < 0 {
		return eris.Errorf("a job with %d steps and %d occurrences", len(s.Steps), s.RepeatCount)
	}
	tasks := 0
	for i, step := range s.Steps {
		if step.Count <= 0 || step.Count > maxLoggedTasks-tasks {
			return eris.Errorf("step %d: the number of tasks is %d, of all steps at most %d", i, step.Count, maxLoggedTasks)
		}
		tasks += step.Count
		if step.Task.CPU < 0 || step.Task.MemoryMB < 0 || step.Task.Accelerators < 0 {
			return eris.Errorf("step %d: a task takes a negative amount", i)
		}
		for _, d := range step.DependsOn {
			if d < 0 || d >= i {
				return eris.Errorf("step %d: depends on step %d, which is not an earlier one", i, d)
			}
		}
	}
	return nil
}

// checkExecutable returns an error if Apply could not execute a command, or would give hosts different states: no host knows
// from a snapshot what runs on a worker without an identifier. No host of any version has let one into the log.
func (c *Command) checkExecutable() error {
	if c.Submit != nil {
		return c.Submit.checkExecutable()
	}
	if c.Register != nil && c.Register.Incarnation.ID == "" {
		return eris.New("a worker has no identifier")
	}
	if *c == (Command{AtMS: c.AtMS, RetentionEpoch: c.RetentionEpoch, NoTakeover: c.NoTakeover}) {
		return eris.New("no change that this version knows")
	}
	return nil
}

// checkLimits returns an error if a command that is to enter the log is not within the limits.
func (c *Command) checkLimits() error {
	switch {
	case c.Submit != nil:
		return c.Submit.checkLimits()
	case c.Config != nil:
		return c.Config.checkQuotas()
	}
	return nil
}

// checkComplete returns an error if a command that is to enter the log lacks a value without which it has no meaning: the
// decoder makes an empty value of an empty or a missing one.
func (c *Command) checkComplete() error {
	ok, field := true, ""
	switch {
	case c.Config != nil:
		ok, field = len(c.Config.Document) > 0, "the document of a configuration"
	case c.Zone != nil:
		ok, field = c.Zone.Zone != "", "the name of a zone"
	case c.Submit != nil:
		ok, field = c.Submit.ID != "", "the identifier of a job"
	case c.Wave != nil:
		ok, field = c.Wave.MaxDown > 0 && !slices.Contains(c.Wave.Machines, ""), "the limit or a machine of a wave"
	case c.Speeds != nil:
		ok, field = c.Speeds.usable(), "a worker, or a speed or weight within the bounds,"
	case c.Interference != nil:
		ok, field = c.Interference.usable(), "an image, or a factor or weight within the bounds,"
	}
	if !ok {
		return eris.Errorf("%s is missing", field)
	}
	return nil
}
