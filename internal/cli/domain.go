package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/timeline"
)

// domainCommands registers the commands for scheduling domains. Their --server is a host of the domain, with the port
// that --metrics-port of mustardwalkd sets: an entry host for the commands under queue, and a host that keeps the state
// for those under domain. The command under logs needs no server.
func (a *app) domainCommands() {
	queue := a.kingpin.Command("queue", "Jobs of steps on the queues of a scheduling domain.")
	submit := queue.Command("submit", "Submit a job. Sending it again has no further effect.")
	file := submit.Flag("file", "File with the job as JSON; - for the standard input.").Required().String()
	submitQueue, submitJob := submit.Arg("queue", "Queue.").Required().String(), submit.Arg("job", "Identifier that you choose for the job.").Required().String()
	a.handle(submit, func(ctx context.Context) error { return a.submitToQueue(ctx, *submitQueue, *submitJob, *file) })

	get := queue.Command("job", "Show a job of a queue.")
	getQueue, getJob := get.Arg("queue", "Queue.").Required().String(), get.Arg("job", "Job identifier.").Required().String()
	a.handle(get, func(ctx context.Context) error {
		return a.showQueueJob(func(c *api.Client) (*api.QueueJob, error) { return c.QueueJob(ctx, *getQueue, *getJob) })
	})

	cancel := queue.Command("cancel", "Cancel a job of a queue.")
	cancelQueue, cancelJob := cancel.Arg("queue", "Queue.").Required().String(), cancel.Arg("job", "Job identifier.").Required().String()
	a.handle(cancel, func(ctx context.Context) error {
		return a.showQueueJob(func(c *api.Client) (*api.QueueJob, error) { return c.CancelQueueJob(ctx, *cancelQueue, *cancelJob) })
	})

	status := queue.Command("status", "Show the length of a queue.")
	statusQueue := status.Arg("queue", "Queue.").Required().String()
	a.handle(status, func(ctx context.Context) error { return a.queueStatus(ctx, *statusQueue) })

	domain := a.kingpin.Command("domain", "State of a scheduling domain, as the host that answers sees it.")
	a.handle(domain.Command("status", "Show the leader, the members, the configuration in force and waves of upkeep."), a.domainStatus)
	a.handle(domain.Command("workers", "List workers."), a.domainWorkers)
	explain := domain.Command("explain", "Tell where a job stands and what keeps its tasks from the workers.")
	explainJob := explain.Arg("job", "Job identifier.").Required().String()
	a.handle(explain, func(ctx context.Context) error { return a.explainJob(ctx, *explainJob) })

	a.placeCommand()

	logs := a.kingpin.Command("logs", "Collected logs of hosts.")
	logsExplain := logs.Command("explain", "Show what the logs of several hosts say about one job, in one order.")
	logsJob := logsExplain.Flag("job", "Job identifier.").Required().String()
	logFiles := logsExplain.Arg("file", "Log file; - for the standard input.").Required().Strings()
	a.handle(logsExplain, func(context.Context) error { return a.explainLogs(*logFiles, *logsJob) })
}

func (a *app) submitToQueue(ctx context.Context, queue, id, file string) error {
	data, err := readInput(file, a.In)
	if err != nil {
		return exitErrorf(ExitUsage, "--file: %v", err)
	}
	var job api.JobDocument
	if err := json.Unmarshal(data, &job); err != nil {
		return exitErrorf(ExitUsage, "%s: %v", file, err)
	}
	return a.showQueueJob(func(c *api.Client) (*api.QueueJob, error) { return c.SubmitToQueue(ctx, queue, id, job) })
}

func (a *app) showQueueJob(call func(*api.Client) (*api.QueueJob, error)) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	j, err := call(client)
	if err != nil {
		return err
	}
	return a.print(j, func(w io.Writer) {
		row(w, "JOB", "QUEUE", "STATE")
		row(w, j.ID, j.Queue, j.State)
	})
}

func (a *app) queueStatus(ctx context.Context, queue string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	status, err := client.Queue(ctx, queue)
	if err != nil {
		return err
	}
	return a.print(status, func(w io.Writer) {
		row(w, "QUEUE", "WAITING")
		row(w, status.Queue, status.Waiting)
	})
}

func (a *app) domainStatus(ctx context.Context) error {
	client, err := a.newClient(false)
	if err != nil {
		return err
	}
	status, err := client.Domain(ctx)
	if err != nil {
		return err
	}
	return a.print(status, func(w io.Writer) {
		row(w, "HOST", "LEADER", "TERM", "CONFIG", "OPEN JOBS", "WORKERS", "ATTEMPTS", "ZONES OUT")
		row(w, status.Host, status.Leader, status.Term, status.ConfigVersion, status.OpenJobs, status.Workers, status.Attempts,
			strings.Join(status.ZonesOut, ","))
		fmt.Fprintf(w, "\nvoters: %s\nknown hosts: %s\n", strings.Join(status.Voters, ", "), strings.Join(status.KnownHosts, ", "))
		for _, wave := range status.Waves {
			fmt.Fprintf(w, "wave %d: %d of %d machines over, %d down\n", wave.Number, wave.Over, wave.Machines, wave.Down)
		}
	})
}

func (a *app) domainWorkers(ctx context.Context) error {
	client, err := a.newClient(false)
	if err != nil {
		return err
	}
	l, err := client.DomainWorkers(ctx)
	if err != nil {
		return err
	}
	return a.print(l, func(w io.Writer) {
		row(w, "WORKER", "ZONE", "RACK", "DRAINING", "ACCELERATORS", "FREE", "ATTEMPTS", "ADDRESS")
		for _, worker := range l.Workers {
			row(w, worker.ID, worker.Zone, worker.Rack, yesNo(worker.Draining), worker.Accelerators, worker.Free, worker.Attempts, worker.Address)
		}
	})
}

func (a *app) explainJob(ctx context.Context, id string) error {
	client, err := a.newClient(false)
	if err != nil {
		return err
	}
	e, err := client.ExplainJob(ctx, id)
	if err != nil {
		return err
	}
	return a.print(e, func(w io.Writer) { printExplanation(w, e) })
}

func printExplanation(w io.Writer, e *api.JobExplanation) {
	accepted := time.UnixMilli(e.AcceptedMS).UTC().Format(time.RFC3339)
	fmt.Fprintf(w, "job %s of queue %s, workspace %s, priority %d: %s, accepted %s\n", e.ID, e.Queue, e.Workspace, e.Priority, e.State, accepted)
	if !e.Leads {
		fmt.Fprintf(w, "host %s does not lead; ask the leader what keeps tasks from workers\n", e.Host)
	}
	fmt.Fprintln(w)
	row(w, "OCCURRENCE", "STEP", "TASKS", "DONE", "PLACED", "FAILED", "WAITED", "BLOCKED BY STEPS", "WORKERS")
	for _, s := range e.Steps {
		waited := ""
		if s.WaitedMS > 0 {
			waited = (time.Duration(s.WaitedMS) * time.Millisecond).String()
		}
		row(w, s.Occurrence, s.Step, s.Tasks, s.Done, s.Placed, s.Failed, waited, strings.Trim(fmt.Sprint(s.Blocked), "[]"), formatCounts(s.Workers))
	}
	if len(e.Attempts) == 0 {
		return
	}
	fmt.Fprintln(w)
	row(w, "TASK", "ATTEMPT", "WORKER", "STARTED")
	for _, attempt := range e.Attempts {
		row(w, attempt.Task, attempt.Attempt, attempt.Worker, time.UnixMilli(attempt.StartedMS).UTC().Format("15:04:05.000"))
	}
}

// formatCounts formats counts as reason=count pairs, sorted by reason.
func formatCounts(m map[string]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s=%d", k, m[k]))
	}
	return strings.Join(out, " ")
}

func (a *app) explainLogs(files []string, job string) error {
	var all []timeline.Entry
	for _, name := range files {
		entries, err := a.readLog(name)
		if err != nil {
			return exitErrorf(ExitUsage, "%s: %v", name, err)
		}
		all = append(all, entries...)
	}
	entries := timeline.ForJob(all, job)
	if len(entries) == 0 {
		return exitErrorf(ExitNotFound, "no line of %d events is about job %s", len(all), job)
	}
	return a.print(entries, func(w io.Writer) {
		row(w, "TIME", "HOST", "EVENT", "DETAIL")
		for i := range entries {
			e := &entries[i]
			row(w, e.Time, e.Host, e.Event, e.Detail())
		}
	})
}

func (a *app) readLog(name string) ([]timeline.Entry, error) {
	if name == "-" {
		return timeline.Read(a.In)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close() // The error is ignored, because the file is only read.
	return timeline.Read(f)
}
