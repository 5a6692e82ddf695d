package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/contract"
	"github.com/mustardwalk/mustardwalk/internal/history"
)

// contractFile is a contract file that was read and found valid.
type contractFile struct {
	name      string
	workspace string
	data      []byte
}

func (a *app) contractCommands() {
	group := a.kingpin.Command("contract", "Contracts of workspaces.")

	validate := group.Command("validate", "Check contract files without a server.")
	validateFiles := validate.Arg("file", "Contract file.").Required().Strings()
	a.handle(validate, func(context.Context) error { return a.validateContracts(*validateFiles) })

	diff := group.Command("diff", "Tell what applying contract files would change.")
	diffFiles := diff.Arg("file", "Contract file.").Required().Strings()
	a.handle(diff, func(ctx context.Context) error { return a.applyContracts(ctx, *diffFiles, true, &changeFlags{}) })

	var applyFlags, deleteFlags changeFlags
	apply := group.Command("apply", "Apply contract files.")
	applyFlags.define(apply)
	applyDryRun := apply.Flag("dry-run", "Only tell the effects.").Bool()
	applyFiles := apply.Arg("file", "Contract file.").Required().Strings()
	a.handle(apply, func(ctx context.Context) error { return a.applyContracts(ctx, *applyFiles, *applyDryRun, &applyFlags) })

	get := group.Command("get", "Print the contract of a workspace as it was applied.")
	getWorkspace := get.Arg("workspace", "Workspace.").Required().String()
	a.handle(get, func(ctx context.Context) error { return a.getContract(ctx, *getWorkspace) })

	list := group.Command("list", "List contracts.")
	a.handle(list, a.listContracts)

	remove := group.Command("delete", "Delete the contract of a workspace.")
	deleteFlags.define(remove)
	deleteDryRun := remove.Flag("dry-run", "Only tell the effects.").Bool()
	deleteWorkspace := remove.Arg("workspace", "Workspace.").Required().String()
	a.handle(remove, func(ctx context.Context) error {
		return a.deleteContract(ctx, *deleteWorkspace, *deleteDryRun, &deleteFlags)
	})
}

// readContracts reads and checks all files. The error holds the findings of all files together.
func readContracts(names []string) ([]contractFile, error) {
	var files []contractFile
	var findings []api.Finding
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			findings = append(findings, api.Finding{File: name, Message: err.Error()})
			continue
		}
		c, found := contract.Parse(name, data)
		for _, f := range found {
			findings = append(findings, api.Finding{File: f.File, Line: f.Line, Field: f.Field, Message: f.Message})
		}
		if c != nil {
			files = append(files, contractFile{name, c.Workspace, data})
		}
	}
	if len(findings) > 0 {
		return nil, &inputError{findings}
	}
	return files, nil
}

func (a *app) validateContracts(names []string) error {
	files, err := readContracts(names)
	if err != nil {
		return err
	}
	for _, f := range files {
		fmt.Fprintf(a.Out, "%s: the contract of workspace %s is valid\n", f.name, f.workspace)
	}
	return nil
}

// applyContracts applies the files, but only if all of them are valid. It stops at the first one that is refused.
func (a *app) applyContracts(ctx context.Context, names []string, dryRun bool, flags *changeFlags) error {
	files, err := readContracts(names)
	if err != nil {
		return err
	}
	if len(files) > 1 && (flags.commandID != "" || flags.expectedRevision != "") {
		return exitErrorf(ExitUsage, "--command-id and --expected-revision need a single file")
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	for _, f := range files {
		change := func(command api.Command) (*api.ContractResult, error) {
			return client.ApplyContract(ctx, f.workspace, f.data, command)
		}
		if err := a.changeContract(f.workspace, dryRun, flags, change); err != nil {
			return fmt.Errorf("%s: %w", f.name, setFindingFile(err, f.name))
		}
	}
	return nil
}

// setFindingFile sets the file name in the findings of a server's error, because the server knows only the workspace.
func setFindingFile(err error, file string) error {
	var apiError *api.Error
	if errors.As(err, &apiError) {
		for i := range apiError.Findings {
			apiError.Findings[i].File = file
		}
	}
	return err
}

func (a *app) deleteContract(ctx context.Context, workspace string, dryRun bool, flags *changeFlags) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	return a.changeContract(workspace, dryRun, flags, func(command api.Command) (*api.ContractResult, error) {
		return client.DeleteContract(ctx, workspace, command)
	})
}

// changeContract sends a change, records it in the history file unless it is a dry run, and prints its result.
func (a *app) changeContract(workspace string, dryRun bool, flags *changeFlags,
	change func(api.Command) (*api.ContractResult, error)) error {
	command, err := a.newCommand(flags)
	if err != nil {
		return err
	}
	command.DryRun = dryRun
	if dryRun {
		a.currentCommandID = ""
		result, err := change(command)
		return a.printContractChange(result, true, err)
	}
	callID, event := api.NewCommandID(), history.Event{Workspace: workspace}
	a.recorder.commandSent(callID, command, event)
	result, err := change(command)
	var revision uint64
	if result != nil {
		revision = result.Revision
	}
	a.recorder.commandDone(callID, command, event, revision, err)
	return a.printContractChange(result, false, err)
}

// printContractChange prints the result of a change. For a dry run, err tells why the change would be refused; without an
// error, the change would be accepted.
func (a *app) printContractChange(r *api.ContractResult, dryRun bool, err error) error {
	if err != nil {
		return err
	}
	err = a.print(r, func(w io.Writer) {
		switch {
		case dryRun:
			fmt.Fprintf(w, "%s: would be accepted\n", r.Workspace)
		case r.Repeated:
			fmt.Fprintf(w, "%s: accepted as revision %d (repeated: this command had been carried out before)\n", r.Workspace, r.Revision)
		default:
			fmt.Fprintf(w, "%s: accepted as revision %d\n", r.Workspace, r.Revision)
		}
		for _, e := range r.Effects {
			fmt.Fprintf(w, "  %s\n", e)
		}
	})
	if err == nil && !dryRun && !r.Accepted {
		return exitErrorf(ExitRefused, "the contract of workspace %s is not accepted", r.Workspace)
	}
	return err
}

func (a *app) getContract(ctx context.Context, workspace string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	c, err := client.Contract(ctx, workspace)
	if err != nil {
		return err
	}
	return a.print(c, func(w io.Writer) {
		fmt.Fprintf(w, "# workspace %s, revision %d\n%s\n", c.Workspace, c.Revision, strings.TrimRight(c.YAML, "\n"))
	})
}

func (a *app) listContracts(ctx context.Context) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	l, err := client.Contracts(ctx)
	if err != nil {
		return err
	}
	return a.print(l, func(w io.Writer) {
		row(w, "WORKSPACE", "REVISION")
		for _, c := range l.Contracts {
			row(w, c.Workspace, c.Revision)
		}
		fmt.Fprintf(w, "revision of the deployment: %d\n", l.Revision)
	})
}
