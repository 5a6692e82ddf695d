package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"

	"github.com/mustardwalk/mustardwalk/api"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// print writes a value as JSON or YAML, or calls the given function to write it as text.
func (a *app) print(value any, text func(w io.Writer)) error {
	switch a.settings.output {
	case formatJSON:
		return printJSON(a.Out, value)
	case formatYAML:
		return printYAML(a.Out, value)
	}
	w := tabwriter.NewWriter(a.Out, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func printJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// printYAML writes a value as YAML, under the JSON names of its fields.
func printYAML(w io.Writer, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var plain any
	if err := yaml.Unmarshal(raw, &plain); err != nil {
		return err
	}
	e := yaml.NewEncoder(w)
	e.SetIndent(2)
	if err := e.Encode(plain); err != nil {
		return err
	}
	return e.Close()
}

// row writes one line of a table. An empty cell is shown as a dash.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// errorOutput is the JSON form of an error.
type errorOutput struct {
	Error     *api.Error `json:"error"`
	CommandID string     `json:"command_id,omitempty"`
}

func (a *app) printErrorJSON(err error) {
	body := errorOutput{CommandID: a.currentCommandID}
	var input *inputError
	switch {
	case errors.As(err, &body.Error):
	case errors.As(err, &input):
		body.Error = &api.Error{Code: api.CodeInvalid, Message: "the input is not valid", Findings: input.findings}
	default:
		body.Error = &api.Error{Code: "failed", Message: err.Error()}
	}
	if printJSON(a.Err, body) != nil {
		fmt.Fprintf(a.Err, "mustardwalk: %s\n", errorText(err))
	}
}
