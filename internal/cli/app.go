// Package cli implements the command line of mustardwalk, for operators and callers.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mustardwalk/mustardwalk/api"
)

// EnvToken is the environment variable that may hold the bearer token.
const EnvToken = "MUSTARDWALK_TOKEN"

// Environment holds what a run of the command line depends on besides its arguments.
type Environment struct {
	Out, Err io.Writer
	In       io.Reader
	Getenv   func(string) string
}

// app is one run of the command line.
type app struct {
	Environment
	kingpin  *kingpin.Application
	settings settings
	handlers map[string]func(context.Context) error
	recorder *recorder
	// currentCommandID is the identifier of the command that is being sent. It is shown if the command fails, so that the
	// command can be sent again.
	currentCommandID string
}

// settings holds the flags that all commands have.
type settings struct {
	servers     []string
	tokenFile   string
	output      string
	timeout     time.Duration
	patience    time.Duration
	historyFile string
}

// Main runs one command and returns its exit code.
func Main(ctx context.Context, args []string, env Environment) int {
	a := newApp(env)
	terminated := false
	a.kingpin.Terminate(func(int) { terminated = true })
	name, err := a.kingpin.Parse(args)
	if terminated && len(args) == 0 {
		return ExitUsage
	}
	if terminated {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(env.Err, "mustardwalk: %v; see --help\n", err)
		return ExitUsage
	}
	a.recorder, err = openRecorder(a.settings.historyFile)
	if err == nil {
		err = a.handlers[name](ctx)
		err = errors.Join(err, a.recorder.close())
	}
	if err != nil {
		a.printError(err)
	}
	return exitCode(err)
}

func newApp(env Environment) *app {
	a := &app{Environment: env, handlers: map[string]func(context.Context) error{}}
	k := kingpin.New("mustardwalk", "Command line of the mustardwalk scheduler, for operators and callers. "+ExitHelp)
	k.UsageWriter(env.Out).ErrorWriter(env.Err)
	k.HelpFlag.Short('h')
	s := &a.settings
	k.Flag("server", "Base URL of an entry host, such as http://127.0.0.1:7080; repeat it for failover. One a line in the environment.").
		Envar("MUSTARDWALK_SERVERS").StringsVar(&s.servers)
	k.Flag("token-file", "File with the bearer token of a workspace or an operator. Without it the token is taken from "+EnvToken+".").
		Envar("MUSTARDWALK_TOKEN_FILE").StringVar(&s.tokenFile)
	k.Flag("output", "Output format.").Short('o').Default("table").Envar("MUSTARDWALK_OUTPUT").
		EnumVar(&s.output, formatTable, formatJSON, formatYAML)
	k.Flag("timeout", "Time for one try, beyond the time that a command waits.").Default("5s").DurationVar(&s.timeout)
	k.Flag("patience", "Time for which a command tries again, where that can do no harm.").Default("10s").DurationVar(&s.patience)
	k.Flag("history-file", "File to which the events that this command observes are appended, one JSON object a line.").
		Envar("MUSTARDWALK_HISTORY_FILE").StringVar(&s.historyFile)
	a.kingpin = k
	a.contractCommands()
	a.zoneCommands()
	a.hostCommands()
	a.jobCommands()
	a.stateCommands()
	a.endpointCommand()
	a.historyCommand()
	a.domainCommands()
	a.completionCommand()
	return a
}

// handle registers the function of a command.
func (a *app) handle(c *kingpin.CmdClause, f func(context.Context) error) {
	a.handlers[c.FullCommand()] = f
}

// printError prints an error, and for a command that failed also how to send it again.
func (a *app) printError(err error) {
	if a.settings.output == formatJSON {
		a.printErrorJSON(err)
		return
	}
	fmt.Fprintf(a.Err, "mustardwalk: %s\n", errorText(err))
	if a.currentCommandID != "" && exitCode(err) != ExitUsage {
		fmt.Fprintf(a.Err, "command identifier: %s (resend this same command safely with --command-id %s)\n", a.currentCommandID, a.currentCommandID)
	}
}

// client returns a client for calls that need a token.
func (a *app) client() (*api.Client, error) { return a.newClient(true) }

// newClient checks the connection settings and returns a client. The error holds all findings. Without needsToken, a
// missing token is not a finding.
func (a *app) newClient(needsToken bool) (*api.Client, error) {
	var findings []api.Finding
	addFinding := func(field, format string, values ...any) {
		findings = append(findings, api.Finding{Field: field, Message: fmt.Sprintf(format, values...)})
	}
	if len(a.settings.servers) == 0 {
		addFinding("--server", "is missing")
	}
	for _, s := range a.settings.servers {
		u, err := url.Parse(s)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			addFinding("--server", "%q is not a URL such as http://127.0.0.1:7080", s)
		}
	}
	if a.settings.timeout <= 0 {
		addFinding("--timeout", "must be positive")
	}
	token, problem := a.token()
	if problem != "" && needsToken {
		addFinding("--token-file", "%s", problem)
	}
	if len(findings) > 0 {
		return nil, &inputError{findings}
	}
	return api.NewClient(api.Options{Servers: a.settings.servers, Token: token, Timeout: a.settings.timeout,
		Patience: a.settings.patience})
}

// token returns the bearer token, or a description of the problem if there is none.
func (a *app) token() (token, problem string) {
	if a.settings.tokenFile == "" {
		token := strings.TrimSpace(a.Getenv(EnvToken))
		if token == "" {
			return "", "is missing, and " + EnvToken + " is not set"
		}
		return token, ""
	}
	data, err := os.ReadFile(a.settings.tokenFile)
	if err != nil {
		return "", err.Error()
	}
	tokens := parseTokens(data)
	if len(tokens) == 0 {
		return "", a.settings.tokenFile + " holds no token"
	}
	return tokens[0], ""
}

// parseTokens reads one token per line. It skips empty lines and lines that begin with #.
func parseTokens(data []byte) []string {
	var tokens []string
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			tokens = append(tokens, line)
		}
	}
	return tokens
}

// changeFlags holds the flags of commands that change something.
type changeFlags struct {
	commandID        string
	expectedRevision string
}

func (f *changeFlags) define(c *kingpin.CmdClause) {
	c.Flag("command-id", "Identifier of an earlier try of this command; its first result is returned. Drawn by default.").
		StringVar(&f.commandID)
	c.Flag("expected-revision", "Refuse the change if the present revision is another one.").StringVar(&f.expectedRevision)
}

// newCommand returns the parameters of a command. It generates the identifier if no flag sets it, and keeps the
// identifier for error messages.
func (a *app) newCommand(flags *changeFlags) (api.Command, error) {
	command := api.Command{ID: flags.commandID}
	if flags.expectedRevision != "" {
		var revision uint64
		if _, err := fmt.Sscanf(flags.expectedRevision, "%d", &revision); err != nil || fmt.Sprint(revision) != flags.expectedRevision {
			return command, exitErrorf(ExitUsage, "--expected-revision: %q is not a revision", flags.expectedRevision)
		}
		command.Expected = &revision
	}
	if command.ID == "" {
		command.ID = api.NewCommandID()
	}
	a.currentCommandID = command.ID
	return command, nil
}
