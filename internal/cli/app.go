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

// Environment is what a run of the command line depends on besides its arguments.
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
	run      map[string]func(context.Context) error
	journal  *journal
	// command is the identifier of the present command, shown when it fails.
	command string
}

// settings are the flags of all commands.
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
	done := false
	a.kingpin.Terminate(func(int) { done = true })
	name, err := a.kingpin.Parse(args)
	if done && len(args) == 0 {
		return ExitUsage
	}
	if done {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(env.Err, "mustardwalk: %v; see --help\n", err)
		return ExitUsage
	}
	a.journal, err = openJournal(a.settings.historyFile)
	if err == nil {
		err = a.run[name](ctx)
		err = errors.Join(err, a.journal.close())
	}
	if err != nil {
		a.explain(err)
	}
	return exitCode(err)
}

func newApp(env Environment) *app {
	a := &app{Environment: env, run: map[string]func(context.Context) error{}}
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
	a.run[c.FullCommand()] = f
}

// explain prints an error, and how to resend the command that failed.
func (a *app) explain(err error) {
	if a.settings.output == formatJSON {
		a.explainJSON(err)
		return
	}
	fmt.Fprintf(a.Err, "mustardwalk: %s\n", errorText(err))
	if a.command != "" && exitCode(err) != ExitUsage {
		fmt.Fprintf(a.Err, "command identifier: %s (resend this same command safely with --command-id %s)\n", a.command, a.command)
	}
}

// client checks the connection settings as a whole and returns a client with a token.
func (a *app) client() (*api.Client, error) { return a.connect(true) }

// connect returns a client, for calls that need no token also without one.
func (a *app) connect(needsToken bool) (*api.Client, error) {
	var findings []api.Finding
	find := func(field, format string, values ...any) {
		findings = append(findings, api.Finding{Field: field, Message: fmt.Sprintf(format, values...)})
	}
	if len(a.settings.servers) == 0 {
		find("--server", "is missing")
	}
	for _, s := range a.settings.servers {
		u, err := url.Parse(s)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			find("--server", "%q is not a URL such as http://127.0.0.1:7080", s)
		}
	}
	if a.settings.timeout <= 0 {
		find("--timeout", "must be positive")
	}
	token, problem := a.token()
	if problem != "" && needsToken {
		find("--token-file", "%s", problem)
	}
	if len(findings) > 0 {
		return nil, &inputError{findings}
	}
	return api.NewClient(api.Options{Servers: a.settings.servers, Token: token, Timeout: a.settings.timeout,
		Patience: a.settings.patience})
}

// token reads the bearer token, or tells why there is none.
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

// parseTokens reads one token a line; empty lines and lines that begin with # are skipped.
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

// writeFlags are the flags of commands that change something.
type writeFlags struct {
	id       string
	expected string
}

func (w *writeFlags) define(c *kingpin.CmdClause) {
	c.Flag("command-id", "Identifier of an earlier try of this command; its first result is returned. Drawn by default.").
		StringVar(&w.id)
	c.Flag("expected-revision", "Refuse the change if the present revision is another one.").StringVar(&w.expected)
}

// begin draws the identifier of a command and keeps it for error messages.
func (a *app) begin(w *writeFlags) (api.Command, error) {
	m := api.Command{ID: w.id}
	if w.expected != "" {
		var n uint64
		if _, err := fmt.Sscanf(w.expected, "%d", &n); err != nil || fmt.Sprint(n) != w.expected {
			return m, fail(ExitUsage, "--expected-revision: %q is not a revision", w.expected)
		}
		m.Expected = &n
	}
	if m.ID == "" {
		m.ID = api.NewCommandID()
	}
	a.command = m.ID
	return m, nil
}
