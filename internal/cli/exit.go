package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/mustardwalk/mustardwalk/api"
)

// Exit codes of mustardwalk. Scripts depend on them, so they do not change.
const (
	ExitOK          = 0
	ExitFailed      = 1 // The work failed: a job that did not succeed, a violation in a history, an input or output error.
	ExitUsage       = 2 // Wrong usage, settings, token or input; nothing was changed.
	ExitRefused     = 3 // Refused: a conflict of revisions, a limit, or a job that is not admitted.
	ExitNotFound    = 4 // No such job, contract, zone or host.
	ExitUnavailable = 5 // No answer, or a change that is recorded but not confirmed yet.
)

// ExitHelp describes the exit codes in the help text.
const ExitHelp = "Exit codes: 0 success; 1 failed; 2 wrong usage, settings or input; 3 refused, or a conflict of revisions; " +
	"4 not found; 5 unavailable, or not confirmed yet."

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code    int
	message string
}

// Error implements the error interface.
func (e *exitError) Error() string { return e.message }

func exitErrorf(code int, format string, values ...any) error {
	return &exitError{code, fmt.Sprintf(format, values...)}
}

// inputError holds all findings of an input.
type inputError struct{ findings []api.Finding }

// Error implements the error interface. The text has one finding per line.
func (e *inputError) Error() string {
	lines := make([]string, len(e.findings))
	for i, f := range e.findings {
		lines[i] = findingText(f)
	}
	return strings.Join(lines, "\n")
}

func findingText(f api.Finding) string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	return b.String() + f.Message
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var exit *exitError
	var input *inputError
	var apiError *api.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &input):
		return ExitUsage
	case errors.As(err, &apiError):
		return apiExitCode(apiError)
	case errors.Is(err, context.DeadlineExceeded):
		return ExitUnavailable
	}
	return ExitFailed
}

func apiExitCode(e *api.Error) int {
	switch e.Code {
	case api.CodeInvalid, api.CodeTooLarge, api.CodeUnauthorized:
		return ExitUsage
	case api.CodeNotFound:
		return ExitNotFound
	case api.CodeUnavailable, api.CodeStopping, api.CodeOverloaded:
		return ExitUnavailable
	}
	return ExitRefused
}

// errorText returns the text of an error, followed by the details that the server has given.
func errorText(err error) string {
	var e *api.Error
	if !errors.As(err, &e) {
		return err.Error()
	}
	var b strings.Builder
	b.WriteString(err.Error())
	if e.NotRun != "" {
		fmt.Fprintf(&b, "\nnot run: %s", e.NotRun)
	}
	if e.Revision > 0 {
		fmt.Fprintf(&b, "\ncurrent revision: %d", e.Revision)
	}
	if e.RetryAfterSeconds > 0 {
		fmt.Fprintf(&b, "\nretry after: %g s", e.RetryAfterSeconds)
	}
	for _, f := range e.Findings {
		b.WriteString("\n" + findingText(f))
	}
	return b.String()
}
