package domainapi

import (
	"fmt"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/httpapi"
)

// decodeJob decodes and validates a job. All findings of strict decoding are returned together, with their lines; if
// there are none, all findings of validation.
func decodeJob(body []byte) (*domain.JobSpec, []api.Finding) {
	var d api.JobDocument
	if findings := httpapi.Decode(body, &d); len(findings) > 0 {
		return nil, findings
	}
	if findings := validate(&d); len(findings) > 0 {
		return nil, findings
	}
	return jobSpec(&d), nil
}

func validate(d *api.JobDocument) []api.Finding {
	var out []api.Finding
	require := func(ok bool, field, format string, args ...any) {
		if !ok {
			out = append(out, api.Finding{Field: field, Message: fmt.Sprintf(format, args...)})
		}
	}
	require(len(d.Payload) <= maxPayloadBytes, "payload", "is longer than %d bytes", maxPayloadBytes)
	require(len(d.Steps) > 0, "steps", "is empty")
	for i, s := range d.Steps {
		at := fmt.Sprintf("steps[%d].", i)
		require(s.Count > 0, at+"count", "must be positive, not %d", s.Count)
		require(s.CPUMillis >= 0 && s.MemoryMB >= 0 && s.Accelerators >= 0, at+"cpu_millis, memory_mb, accelerators", "must not be negative")
		require(s.PerWorker >= 0 && s.MayMiss >= 0, at+"per_worker, may_miss", "must not be negative")
		for _, dep := range s.DependsOn {
			require(dep >= 0 && dep < i, at+"depends_on", "%d is not an earlier step", dep)
		}
	}
	if schedule := d.Schedule; schedule != nil {
		require(schedule.Count > 0, "schedule.count", "must be positive, not %d", schedule.Count)
		require(schedule.IntervalMS > 0 || schedule.Count == 1, "schedule.interval_ms", "must be positive")
	}
	return out
}

func jobSpec(d *api.JobDocument) *domain.JobSpec {
	out := &domain.JobSpec{Payload: d.Payload}
	if d.Schedule != nil {
		out.RepeatCount, out.StartAtMS, out.IntervalMS = d.Schedule.Count, d.Schedule.StartAtMS, d.Schedule.IntervalMS
	}
	for _, s := range d.Steps {
		out.Steps = append(out.Steps, domain.Step{
			Count: s.Count, Task: domain.Resources{CPU: s.CPUMillis, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
			EstimateMS: s.EstimateMS, DependsOn: s.DependsOn, Checkpointable: s.Checkpointable, Gang: s.Gang, SameRack: s.SameRack,
			Label: s.Label, DataRack: s.DataRack, PerWorkerLimit: s.PerWorker, LongRunning: s.LongRunning, Image: s.Image,
			LatencyTargetMS: s.TargetMS, BestEffort: s.Fills, MaxUnavailable: s.MayMiss,
		})
	}
	return out
}
