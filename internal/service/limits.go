package service

import (
	"fmt"
	"strings"
	"unicode"

	"github.com/mustardwalk/mustardwalk/internal/domain"
)

// Limits of a job that is submitted, in addition to those of domain.JobSpec.CheckSteps. That check also holds for jobs in
// the log, which earlier versions may have accepted; these limits do not.
const (
	maxPayloadBytes = 4000 // Largest payload that workers accept.
	maxTextBytes    = 64 << 10
	maxNameBytes    = 64     // Of the job. Each of its tasks has the name.
	maxAllTasks     = 100000 // Of all occurrences together. They are kept in memory until the job has ended.
	MaxDependencies = 256    // Of one step, as many as a job may have steps.
	// maxAmount bounds resources, in their units, and durations, in milliseconds, so that no sum over a job or a fleet overflows:
	// a billion cores, 34 years.
	maxAmount = 1 << 40
	maxTimeMS = 1<<53 - 1 // Of a point in time, Unix milliseconds.
)

// validName reports whether a name can be that of a job: the names of its tasks are made of it, with dots.
func validName(id domain.JobID) bool {
	return len(id) <= maxNameBytes && !strings.ContainsAny(string(id), "./") && !strings.ContainsFunc(string(id), unicode.IsControl)
}

// validDocument reports whether a job document can be executed and is within the limits.
func validDocument(s *domain.JobSpec) bool { return s != nil && InvalidField(s) == "" }

// InvalidField returns the field of a job document, as it is named in the system's own interface, because of which the job
// cannot be executed or is not within the limits, or an empty string if there is none.
func InvalidField(s *domain.JobSpec) string {
	switch {
	case s.CheckSteps() != nil:
		return "steps"
	case len(s.Payload) > maxPayloadBytes:
		return "payload"
	case !validAmounts(s.IntervalMS):
		return "schedule.interval_ms"
	case s.StartAtMS < 0 || s.StartAtMS > maxTimeMS:
		return "schedule.start_at_ms"
	}
	tasks, texts := 0, 0
	for i := range s.Steps {
		step := &s.Steps[i]
		if f := invalidStepField(step); f != "" {
			return fmt.Sprintf("steps[%d].%s", i, f)
		}
		tasks += step.Count
		texts += len(step.Label) + len(step.DataRack) + len(step.Image)
	}
	switch {
	case tasks*s.Occurrences() > maxAllTasks:
		return "steps.count, schedule.count"
	case texts > maxTextBytes:
		return "steps.label, data_rack, image"
	}
	return ""
}

func invalidStepField(s *domain.Step) string {
	for _, f := range []struct {
		valid bool
		name  string
	}{
		{s.PerWorkerLimit >= 0, "per_worker"},
		{s.MaxUnavailable >= 0, "may_miss"},
		{len(s.DependsOn) <= MaxDependencies, "depends_on"},
		{validAmounts(s.Task.CPU), "cpu_millis"},
		{validAmounts(s.Task.MemoryMB), "memory_mb"},
		{validAmounts(s.Task.Accelerators), "accelerators"},
		{validAmounts(s.EstimateMS), "estimate_ms"},
		{validAmounts(s.LatencyTargetMS), "target_ms"},
	} {
		if !f.valid {
			return f.name
		}
	}
	return ""
}

func validAmounts(values ...int64) bool {
	for _, v := range values {
		if v < 0 || v > maxAmount {
			return false
		}
	}
	return true
}
