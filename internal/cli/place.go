package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/mustardwalk/mustardwalk/api"
)

// placeCommand registers "explain place". Its --server is a host of a scheduling domain that keeps the state.
func (a *app) placeCommand() {
	group := a.kingpin.Command("explain", "Explain decisions of a scheduling domain.")
	place := group.Command("place", "Tell where a job of a scheduling domain would be placed now, or why it would wait. It is not submitted.")
	queue := place.Flag("queue", "Queue to which the job would be submitted.").Required().String()
	file := place.Arg("file", "File with the job as JSON, as for queue submit; - for the standard input.").Required().String()
	a.handle(place, func(ctx context.Context) error { return a.explainPlace(ctx, *queue, *file) })
}

func (a *app) explainPlace(ctx context.Context, queue, file string) error {
	data, err := readInput(file, a.In)
	if err != nil {
		return exitErrorf(ExitUsage, "%v", err)
	}
	var job api.JobDocument
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields() // The client would drop them, and the answer would be about another job.
	if err := decoder.Decode(&job); err != nil {
		return exitErrorf(ExitUsage, "%s: %v", file, err)
	}
	if decoder.More() {
		return exitErrorf(ExitUsage, "%s: more follows after the job", file)
	}
	client, err := a.newClient(false) // A public queue needs no token.
	if err != nil {
		return err
	}
	e, err := client.ExplainPlace(ctx, queue, job)
	if err != nil {
		return err
	}
	return a.print(e, func(w io.Writer) { printPlacement(w, e) })
}

func printPlacement(w io.Writer, e *api.PlacementExplanation) {
	if !e.Leads {
		leader := e.Leader
		if leader == "" || leader == e.Host {
			leader = "unknown"
		}
		fmt.Fprintf(w, "host %s does not lead; ask the leader: %s\n", e.Host, leader)
		return
	}
	fmt.Fprintf(w, "queue %s, workspace %s, priority %d; speeds of workers count: %s\n", e.Queue, e.Workspace, e.Priority, yesNo(e.FleetUneven))
	if e.Refused != "" {
		fmt.Fprintf(w, "a submission would be refused now: %s\n", e.Refused)
	}
	fmt.Fprintln(w)
	row(w, "STEP", "TASKS", "START", "WAIT", "STOPS", "BLOCKED BY STEPS", "WORKERS")
	chosen, stops := 0, 0
	for _, s := range e.Steps {
		start := 0
		for _, x := range s.Workers {
			start += x.Tasks
		}
		chosen, stops = chosen+len(s.Workers), stops+len(s.Stops)
		row(w, s.Step, s.Tasks, start, s.Waiting, len(s.Stops), strings.Trim(fmt.Sprint(s.Blocked), "[]"), formatCounts(s.Reasons))
	}
	if chosen > 0 {
		fmt.Fprintln(w)
		row(w, "STEP", "WORKER", "ZONE", "RACK", "TASKS", "SPEED")
		for _, s := range e.Steps {
			for _, x := range s.Workers {
				speed := ""
				if x.Speed > 0 {
					speed = fmt.Sprintf("%.2f", x.Speed)
				}
				row(w, s.Step, x.Worker, x.Zone, x.Rack, x.Tasks, speed)
			}
		}
	}
	if stops > 0 {
		fmt.Fprintln(w)
		row(w, "STEP", "STOPPED TASK", "ATTEMPT", "WORKER")
		for _, s := range e.Steps {
			for _, x := range s.Stops {
				row(w, s.Step, x.Task, x.Attempt, x.Worker)
			}
		}
	}
}
