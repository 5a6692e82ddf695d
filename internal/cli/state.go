package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mustardwalk/mustardwalk/api"
)

func (a *app) hostCommands() {
	group := a.kingpin.Command("host", "Entry hosts.")
	status := group.Command("status", "Show hosts.")
	a.handle(status, a.hostStatus)

	drain := group.Command("drain", "Begin the planned stop of a host. Calls in flight finish.")
	commandID := drain.Flag("command-id", "Identifier of an earlier try of this command. Drawn by default.").String()
	host := drain.Arg("host", "Host.").Required().String()
	a.handle(drain, func(ctx context.Context) error { return a.drain(ctx, *host, *commandID) })

	workers := a.kingpin.Command("worker", "Workers.").Command("list", "List workers.")
	a.handle(workers, a.listWorkers)
}

func (a *app) hostStatus(ctx context.Context) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	l, err := client.Hosts(ctx)
	if err != nil {
		return err
	}
	return a.print(l, func(w io.Writer) { printHosts(w, l.Hosts) })
}

func printHosts(w io.Writer, hosts []api.Host) {
	row(w, "HOST", "ZONE", "ADDRESS", "DISK", "CONNECTED", "STOPPING", "LEADS")
	for _, h := range hosts {
		row(w, h.ID, h.Zone, h.Address, yesNo(h.Disk), yesNo(h.Connected), yesNo(h.Stopping), strings.Join(h.Leads, ","))
	}
}

func (a *app) drain(ctx context.Context, host, commandID string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	command, err := a.newCommand(&changeFlags{commandID: commandID})
	if err != nil {
		return err
	}
	h, err := client.Drain(ctx, host, command)
	if err != nil {
		return err
	}
	return a.print(h, func(w io.Writer) { printHosts(w, []api.Host{*h}) })
}

func (a *app) listWorkers(ctx context.Context) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	l, err := client.Workers(ctx)
	if err != nil {
		return err
	}
	return a.print(l, func(w io.Writer) {
		row(w, "WORKER", "ZONE", "RACK", "STATE", "ACCELERATORS", "FREE", "ADDRESS")
		for _, k := range l.Workers {
			row(w, k.ID, k.Zone, k.Rack, k.State, k.Accelerators, k.Free, k.Address)
		}
		printUnreachable(w, l.Unreachable)
	})
}

func printUnreachable(w io.Writer, zones []string) {
	if len(zones) > 0 {
		fmt.Fprintf(w, "not reached: zone %s\n", strings.Join(zones, ", "))
	}
}

// statusOutput is the output of the command "status".
type statusOutput struct {
	Zones     []api.ZoneStatus `json:"zones"`
	Hosts     []api.Host       `json:"hosts"`
	Revisions *api.Revisions   `json:"revisions"`
}

func (a *app) stateCommands() {
	a.handle(a.kingpin.Command("status", "Show zones, hosts and the revisions of contracts in force."), a.status)
	a.handle(a.kingpin.Command("dump", "Print the state of the host that answers."), a.dump)
}

func (a *app) status(ctx context.Context) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	zones, err := client.Zones(ctx)
	if err != nil {
		return err
	}
	hosts, err := client.Hosts(ctx)
	if err != nil {
		return err
	}
	revisions, err := client.Revisions(ctx)
	if err != nil {
		return err
	}
	o := statusOutput{Zones: zones.Zones, Hosts: hosts.Hosts, Revisions: revisions}
	return a.print(o, func(w io.Writer) {
		printZones(w, zones)
		fmt.Fprintln(w)
		printHosts(w, o.Hosts)
		fmt.Fprintf(w, "\nrevision of the deployment: %d\n", revisions.Deployment)
	})
}

// dump prints the state of the host that answers. The default format is JSON, not a table, because the document has no
// fixed structure.
func (a *app) dump(ctx context.Context) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	d, err := client.Dump(ctx)
	if err != nil {
		return err
	}
	if a.settings.output == formatYAML {
		return printYAML(a.Out, d)
	}
	return printJSON(a.Out, d)
}

func (a *app) completionCommand() {
	c := a.kingpin.Command("completion", "Print the completion script of a shell.")
	shell := c.Arg("shell", "bash or zsh.").Required().Enum("bash", "zsh")
	a.handle(c, func(context.Context) error {
		template := kingpin.BashCompletionTemplate
		if *shell == "zsh" {
			template = kingpin.ZshCompletionTemplate
		}
		parsed, err := a.kingpin.ParseContext(nil)
		if err != nil {
			return err
		}
		return a.kingpin.UsageForContextWithTemplate(parsed, 2, template)
	})
}
