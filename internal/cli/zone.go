package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/history"
)

// zonePollInterval is the time between reads of a zone's status while a command waits.
const zonePollInterval = 500 * time.Millisecond

func (a *app) zoneCommands() {
	group := a.kingpin.Command("zone", "Availability zones.")

	var outFlags, inFlags changeFlags
	out := group.Command("out", "Take a zone out of service. Running tasks finish; nothing starts there any more.")
	outFlags.define(out)
	outWait := out.Flag("wait", "Wait until no task runs there, and show what still runs.").Bool()
	outLimit := out.Flag("wait-limit", "Time after which --wait gives up; 0 for none.").Default("0s").Duration()
	outZone := out.Arg("zone", "Zone.").Required().String()
	a.handle(out, func(ctx context.Context) error { return a.setZone(ctx, *outZone, true, *outWait, *outLimit, &outFlags) })

	in := group.Command("in", "Bring a zone back into service.")
	inFlags.define(in)
	inWait := in.Flag("wait", "Wait until the zone has confirmed.").Bool()
	inLimit := in.Flag("wait-limit", "Time after which --wait gives up; 0 for none.").Default("0s").Duration()
	inZone := in.Arg("zone", "Zone.").Required().String()
	a.handle(in, func(ctx context.Context) error { return a.setZone(ctx, *inZone, false, *inWait, *inLimit, &inFlags) })

	status := group.Command("status", "Show zones.")
	statusZone := status.Arg("zone", "Zone; all by default.").String()
	a.handle(status, func(ctx context.Context) error { return a.zoneStatus(ctx, *statusZone) })
}

func (a *app) setZone(ctx context.Context, zone string, takeOut, wait bool, limit time.Duration, flags *changeFlags) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	command, err := a.newCommand(flags)
	if err != nil {
		return err
	}
	change := client.ZoneIn
	if takeOut {
		change = client.ZoneOut
	}
	callID, event := api.NewCommandID(), history.Event{Zone: zone, Out: takeOut}
	a.recorder.commandSent(callID, command, event)
	z, err := change(ctx, zone, command)
	if err != nil {
		a.recorder.commandDone(callID, command, event, 0, err)
		return err
	}
	// A pending change has no revision yet, so no reply is recorded and the history leaves open whether it took effect.
	if !isUnconfirmed(z) {
		a.recorder.commandDone(callID, command, event, z.Revision, nil)
		a.recordZoneAnswer(zone, takeOut, z)
	}
	if wait {
		unconfirmed := isUnconfirmed(z)
		z, err = a.waitZone(ctx, client, z, takeOut, limit)
		if err != nil {
			return err
		}
		if unconfirmed {
			a.recordZoneAnswer(zone, takeOut, z)
		}
	}
	return a.printZoneChange(z)
}

// recordZoneAnswer records that the operator got the confirmation that a zone was taken out of or brought into service.
func (a *app) recordZoneAnswer(zone string, takeOut bool, z *api.ZoneStatus) {
	a.recorder.record(history.Event{Kind: history.ZoneStateAnswered, Zone: zone, Out: takeOut, Revision: z.Revision})
}

// isUnconfirmed tells whether it is not known that the zone is in or out of service: a change is pending, or the zone
// cannot be reached.
func isUnconfirmed(z *api.ZoneStatus) bool {
	return z.State == api.ZonePendingOut || z.State == api.ZonePendingIn || z.State == api.ZoneUnknown
}

func (a *app) printZoneChange(z *api.ZoneStatus) error {
	err := a.print(z, func(w io.Writer) {
		repeated := ""
		if z.Repeated {
			repeated = " (repeated: this command had been carried out before)"
		}
		fmt.Fprintf(w, "zone %s: %s, revision %d%s\n", z.Zone, z.State, z.Revision, repeated)
		printUnplacedGuarantees(w, z)
	})
	if err == nil && isUnconfirmed(z) {
		return exitErrorf(ExitUnavailable, "the change is recorded; not confirmed yet by: %s", joinOrDash(z.Unconfirmed))
	}
	return err
}

func joinOrDash(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}

func printUnplacedGuarantees(w io.Writer, z *api.ZoneStatus) {
	for _, g := range z.NoHome {
		fmt.Fprintf(w, "zone %s: guarantee without a place meanwhile: %s\n", z.Zone, g)
	}
}

// waitZone waits until a zone has confirmed a change and, if it is taken out of service, no task runs in it any more. The
// progress is printed to the error output whenever it changes.
func (a *app) waitZone(ctx context.Context, c *api.Client, z *api.ZoneStatus, takeOut bool, limit time.Duration) (*api.ZoneStatus, error) {
	if limit > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, limit)
		defer stop()
	}
	repeated := z.Repeated
	shown := ""
	for {
		z.Repeated = repeated
		if !isUnconfirmed(z) && (z.State == api.ZoneOut) != takeOut {
			return nil, exitErrorf(ExitRefused, "zone %s was set to %s meanwhile", z.Zone, z.State)
		}
		if !isUnconfirmed(z) && (!takeOut || z.Running == 0) {
			return z, nil
		}
		if text := a.describeWait(ctx, c, z); text != shown {
			shown = text
			fmt.Fprint(a.Err, text)
		}
		select {
		case <-ctx.Done():
			return nil, exitErrorf(ExitUnavailable, "zone %s: gave up waiting: %s, %d running", z.Zone, z.State, z.Running)
		case <-time.After(zonePollInterval):
		}
		next, err := findZone(ctx, c, z.Zone)
		if err != nil && ctx.Err() == nil {
			return nil, err
		}
		if err == nil {
			z = next
		}
	}
}

// describeWait describes what a wait for a zone is still waiting for, and lists the jobs that still run in the zone.
func (a *app) describeWait(ctx context.Context, c *api.Client, z *api.ZoneStatus) string {
	var b strings.Builder
	if isUnconfirmed(z) {
		fmt.Fprintf(&b, "zone %s: %s; not confirmed by %s\n", z.Zone, z.State, joinOrDash(z.Unconfirmed))
	} else {
		fmt.Fprintf(&b, "zone %s: %s; %d running, %d queued\n", z.Zone, z.State, z.Running, z.Queued)
	}
	printUnplacedGuarantees(&b, z)
	jobs, err := c.AllJobs(ctx)
	if err != nil {
		return b.String()
	}
	for _, j := range jobs.Jobs {
		if j.Zone == z.Zone && (j.State == api.StateRunning || j.State == api.StatePlaced) {
			fmt.Fprintf(&b, "  %s: workspace %s, %d x %d accelerators\n", j.ID, j.Workspace, j.Gang, j.Accels)
		}
	}
	return b.String()
}

func findZone(ctx context.Context, c *api.Client, zone string) (*api.ZoneStatus, error) {
	l, err := c.Zones(ctx)
	if err != nil {
		return nil, err
	}
	for i := range l.Zones {
		if l.Zones[i].Zone == zone {
			return &l.Zones[i], nil
		}
	}
	return nil, exitErrorf(ExitNotFound, "there is no zone %s", zone)
}

func (a *app) zoneStatus(ctx context.Context, zone string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	l, err := client.Zones(ctx)
	if err != nil {
		return err
	}
	if zone != "" {
		z, err := findZone(ctx, client, zone)
		if err != nil {
			return err
		}
		l = &api.ZoneList{Zones: []api.ZoneStatus{*z}}
	}
	return a.print(l, func(w io.Writer) { printZones(w, l) })
}

func printZones(w io.Writer, l *api.ZoneList) {
	row(w, "ZONE", "STATE", "REVISION", "CONTRACTS", "LEADER", "ISOLATED", "WORKERS", "ACCELERATORS", "FREE", "QUEUED", "RUNNING")
	for _, z := range l.Zones {
		row(w, z.Zone, z.State, z.Revision, z.AdoptedRevision, z.Leader, yesNo(z.Isolated), z.Workers, z.Accelerators, z.Free,
			z.Queued, z.Running)
	}
	for i := range l.Zones {
		z := &l.Zones[i]
		if len(z.Unconfirmed) > 0 {
			fmt.Fprintf(w, "zone %s: not confirmed by %s\n", z.Zone, strings.Join(z.Unconfirmed, ", "))
		}
		printUnplacedGuarantees(w, z)
	}
}
