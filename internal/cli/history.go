package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/history"
)

// checkReport is the output of the command "history check".
type checkReport struct {
	Events     int                 `json:"events"`
	Violations []history.Violation `json:"violations"`
}

func (a *app) historyCommand() {
	bounds := history.DefaultBounds
	c := a.kingpin.Command("history", "Recorded histories.").
		Command("check", "Check the merged histories of one run against the requirements.")
	c.Flag("lease", "Lease of tasks in the run.").Default(bounds.TaskLease.String()).DurationVar(&bounds.TaskLease)
	c.Flag("grace", "Longest grace for checkpoints in the run.").Default(bounds.Grace.String()).DurationVar(&bounds.Grace)
	files := c.Arg("file", "History file.").Required().Strings()
	a.handle(c, func(context.Context) error { return a.checkHistories(*files, bounds) })
}

func (a *app) checkHistories(files []string, bounds history.Bounds) error {
	events, err := ReadHistories(files)
	if err != nil {
		return err
	}
	report := checkReport{Events: len(events), Violations: history.CheckAll(events, bounds)}
	err = a.print(report, func(w io.Writer) {
		for _, v := range report.Violations {
			fmt.Fprintln(w, v)
		}
		fmt.Fprintf(w, "%d events, %d violations\n", report.Events, len(report.Violations))
	})
	if err == nil && len(report.Violations) > 0 {
		return exitErrorf(ExitFailed, "the history breaks the requirements")
	}
	return err
}

// ReadHistories reads history files and merges their events.
func ReadHistories(files []string) ([]history.Event, error) {
	var all [][]history.Event
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "open history")
		}
		events, err := history.Read(f)
		f.Close()
		if err != nil {
			return nil, eris.Wrap(err, name)
		}
		all = append(all, events)
	}
	return history.Merge(all...), nil
}
