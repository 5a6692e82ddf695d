package cell

import (
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

var classNames = [table.ClassCount]string{"urgent", "standard", "bulk"}

var adjacencyNames = [...]string{table.SameZone: "zone", table.SameRack: "rack", table.SameWorker: "worker"}

var stateNames = [...]string{table.JobQueued: api.StateQueued, table.JobPlaced: api.StatePlaced,
	table.JobRunning: api.StateRunning, table.JobEnded: api.StateEnded, table.JobHandedOver: api.StateQueued}

func nameOf[I ~uint8](names []string, i I) string {
	if int(i) < len(names) {
		return names[i]
	}
	return "unknown"
}

// jobView returns the description of a job that callers receive, with the body of its answer only if body is set.
func (d *dispatcher) jobView(j *table.Job, body bool) *api.Job {
	v := &api.Job{ID: j.ID, Workspace: j.Workspace, Zone: d.cell.options.Zone, State: nameOf(stateNames[:], j.State),
		Class: nameOf(classNames[:], j.Class), Gang: j.Shape.Gang, Accels: j.Shape.Accelerators,
		Adjacency: nameOf(adjacencyNames[:], j.Shape.Adjacency), NoRepeat: j.NoRepeat, Key: j.Key,
		Attempts: j.AttemptCount}
	if j.State == table.JobHandedOver {
		v.Zone = j.HandedTo
	}
	if a := d.tables.Attempt(j.Attempt); a != nil {
		v.Workers = workersOf(a)
	}
	if j.Answer != nil {
		v.Answer = answerView(j.Answer, body)
	}
	return v
}

func answerView(a *table.Answer, body bool) *api.Answer {
	v := &api.Answer{Outcome: string(a.Outcome), Message: a.Message, Length: len(a.Body), SHA256: a.SHA256,
		NeverRan: a.NeverRan}
	if body {
		v.Body = a.Body
	}
	return v
}

func (d *dispatcher) list(q *ListRequest) Response {
	r := Response{Jobs: []api.Job{}}
	for _, j := range d.tables.Jobs() {
		moved := j.State == table.JobHandedOver && j.HandOverCommitted
		if !moved && (q.Workspace == "" || q.Workspace == j.Workspace) {
			r.Jobs = append(r.Jobs, *d.jobView(j, false))
		}
	}
	return r
}

// why explains what a job waits for.
func (d *dispatcher) why(now time.Duration, q *JobRef) Response {
	j := d.visibleJob(*q)
	if j == nil {
		return notFound()
	}
	w := &api.Why{Job: j.ID}
	switch {
	case j.State == table.JobHandedOver && j.HandOverCommitted:
		return Response{MovedTo: j.HandedTo}
	case j.State == table.JobHandedOver:
		w.Reason = "The job is being handed over to zone " + j.HandedTo + "."
	case j.State == table.JobEnded:
		w.Reason = "The job has ended: " + string(j.Answer.Outcome) + "."
	case j.Cancelled:
		w.Reason = "The job is being cancelled."
	case j.State == table.JobPlaced:
		w.Reason = "The job is placed and its members are starting."
	case j.State == table.JobRunning:
		w.Reason = "The job runs."
	case d.tables.Service.Out:
		w.Reason = "The zone is out of service, and no other zone has taken the job yet."
	default:
		w.Reason = d.scheduler.ExplainWait(now, j)
	}
	return Response{Why: w}
}

func stateOf(out bool) string {
	if out {
		return api.ZoneOut
	}
	return api.ZoneIn
}

func (d *dispatcher) zoneStatus() *api.ZoneStatus {
	s := &api.ZoneStatus{Zone: d.cell.options.Zone, State: stateOf(d.tables.Service.Out),
		Revision: d.tables.Service.Revision, AdoptedRevision: d.tables.Revision, Leader: d.cell.options.Host,
		Isolated: d.cell.isolated, Running: d.tables.AttemptCount()}
	for _, w := range d.tables.Workers() {
		if w.Lost {
			continue
		}
		s.Workers++
		s.Accelerators += w.Accelerators
		if w.Usable() {
			s.Free += max(w.FreeAccelerators(), 0)
		}
	}
	for _, name := range d.tables.QueuedWorkspaces() {
		s.Queued += d.tables.QueuedCount(name)
	}
	return s
}

func (d *dispatcher) workers() []api.Worker {
	out := []api.Worker{}
	for _, w := range d.tables.Workers() {
		out = append(out, api.Worker{ID: w.ID, Zone: d.cell.options.Zone, Rack: w.Rack, Address: w.Address,
			Accelerators: w.Accelerators, Free: w.FreeAccelerators(), State: workerState(w)})
	}
	return out
}

func workerState(w *table.Worker) string {
	switch {
	case w.Lost:
		return "lost"
	case w.Leaving:
		return "leaving"
	case w.Quarantined:
		return "quarantined"
	default:
		return "ready"
	}
}
