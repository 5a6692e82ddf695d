package daemon

import (
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

const envPrefix = "MUSTARDWALK_"

// flagSpec describes one setting. Settings are read as text and checked later, so that all findings are reported
// together.
type flagSpec struct {
	name         string
	help         string
	defaultValue string
	kind         flagKind
}

// flagKind tells how the values of a flag are given.
type flagKind int

const (
	singleValue flagKind = iota
	repeatedValue
	booleanValue
)

// Names of settings.
const (
	flagHost             = "host"
	flagZone             = "zone"
	flagRegion           = "region"
	flagPeer             = "peer"
	flagDataFolder       = "data-folder"
	flagPeerListen       = "peer-listen"
	flagCallerListen     = "caller-listen"
	flagOperatorListen   = "operator-listen"
	flagEndpointListen   = "endpoint-listen"
	flagOperatorTokens   = "operator-token-file"
	flagEndpointTokens   = "endpoint-token-file"
	flagPeerTokens       = "peer-token-file"
	flagTLSCert          = "tls-cert-file"
	flagTLSKey           = "tls-key-file"
	flagTLSCA            = "tls-ca-file"
	flagEndpointTLS      = "endpoint-tls"
	flagInsecure         = "insecure"
	flagHistory          = "history-file"
	flagLogLevel         = "log-level"
	flagLease            = "lease"
	flagHeartbeat        = "heartbeat"
	flagLeaseMargin      = "lease-margin"
	flagCallTimeout      = "call-timeout"
	flagGrace            = "grace"
	flagRetention        = "retention"
	flagScheduleEvery    = "schedule-every"
	flagIsolationLimit   = "isolation-limit"
	flagReplicaHeartbeat = "replica-heartbeat"
	flagLeaderLease      = "leader-lease"
	flagElectionMin      = "election-min"
	flagElectionMax      = "election-max"
	flagSnapshotEntries  = "snapshot-entries"
	flagMaxBody          = "max-body-bytes"
	flagMaxConnections   = "max-connections"
	flagReadTimeout      = "read-timeout"
)

var runFlags = []flagSpec{
	{name: flagHost, help: "Identifier of this host, one of the peers."},
	{name: flagZone, help: "Availability zone of this host."},
	{name: flagRegion, help: "Region of this host."},
	{name: flagPeer, kind: repeatedValue, help: "A host of the deployment, this one included: id=a1,zone=z1,region=r1,address=127.0.0.1:7001,disk=true. " +
		"Repeat for each host; in the environment one a line."},
	{name: flagDataFolder, help: "Folder for durable state; empty on a host without a disk."},
	{name: flagPeerListen, help: "Address for the other hosts; by default the address of this host in the list of peers."},
	{name: flagCallerListen, defaultValue: "127.0.0.1:7080", help: "Address for callers."},
	{name: flagOperatorListen, defaultValue: "127.0.0.1:7081", help: "Address for operators and metrics."},
	{name: flagEndpointListen, defaultValue: "127.0.0.1:7082", help: "Address for endpoints."},
	{name: flagOperatorTokens, help: "File with the tokens of operators, one a line."},
	{name: flagEndpointTokens, help: "File with the tokens between hosts and endpoints, one a line. The first is sent to endpoints."},
	{name: flagPeerTokens, help: "File with the tokens between hosts, one a line. The first is sent."},
	{name: flagTLSCert, help: "Certificate of this host, PEM. Reread on change."},
	{name: flagTLSKey, help: "Key of the certificate, PEM."},
	{name: flagTLSCA, help: "Certificates of the authority by which hosts authenticate each other, PEM."},
	{name: flagEndpointTLS, kind: booleanValue, help: "Call endpoints with TLS."},
	{name: flagInsecure, kind: booleanValue, help: "Allow listeners without TLS on addresses other than loopback."},
	{name: flagHistory, help: "File to which events are appended, one JSON object a line."},
	{name: flagLogLevel, defaultValue: "info", help: "error, info or debug."},
	{name: flagLease, defaultValue: "10s", help: "Lease of tasks, granted to endpoints."},
	{name: flagHeartbeat, defaultValue: "3s", help: "Period of the heartbeats asked of endpoints."},
	{name: flagLeaseMargin, defaultValue: "1s", help: "Time beyond the lease after which the tasks of a silent endpoint count as ended."},
	{name: flagCallTimeout, defaultValue: "1s", help: "Time after which a call to an endpoint counts as lost."},
	{name: flagGrace, defaultValue: "5s", help: "Time for checkpoints where the contract states none."},
	{name: flagRetention, defaultValue: "1h", help: "Time for which answers are kept."},
	{name: flagScheduleEvery, defaultValue: "50ms", help: "Period of scheduling."},
	{name: flagIsolationLimit, defaultValue: "5m", help: "Time of isolation after which a zone lends nothing new."},
	{name: flagReplicaHeartbeat, defaultValue: "100ms", help: "Period of heartbeats within a replicated log."},
	{name: flagLeaderLease, defaultValue: "600ms", help: "Lease of a leader of a replicated log."},
	{name: flagElectionMin, defaultValue: "1s", help: "Shortest election timeout of a replicated log."},
	{name: flagElectionMax, defaultValue: "2s", help: "Longest election timeout of a replicated log."},
	{name: flagSnapshotEntries, defaultValue: "4096", help: "Applied entries after which a replicated log takes a snapshot."},
	{name: flagMaxBody, defaultValue: "1048576", help: "Largest body of a request, in bytes."},
	{name: flagMaxConnections, defaultValue: "4096", help: "Connections at once, per listener."},
	{name: flagReadTimeout, defaultValue: "10s", help: "Time for receiving the header, and again for the body, of a request."},
}

var initializeFlags = []flagSpec{
	{name: flagDataFolder, help: "Folder for durable state."},
	{name: flagLogLevel, defaultValue: "info", help: "error, info or debug."},
}

// raw holds the settings of a command by name, as text that is not checked yet.
type raw struct {
	values map[string]*rawValue
}

// rawValue holds a setting in the field for its kind.
type rawValue struct {
	text    string   // The value of a singleValue.
	list    []string // The values of a repeatedValue.
	isSet   bool     // The value was given as a flag, and not by the environment or as the default.
	enabled bool     // The value of a booleanValue.
}

func (r *raw) text(name string) string { return strings.TrimSpace(r.values[name].text) }

// source returns the name of a setting for findings: the environment variable if the value comes from there, and the
// flag otherwise.
func (r *raw) source(name string) string {
	env := envName(name)
	v := r.values[name]
	if v != nil && !v.isSet && os.Getenv(env) != "" {
		return env
	}
	return "--" + name
}

func envName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// defineFlags registers the flags of a command and returns the settings that parsing fills in.
func defineFlags(c *kingpin.CmdClause, specs []flagSpec) *raw {
	r := &raw{values: map[string]*rawValue{}}
	for _, s := range specs {
		v := &rawValue{}
		r.values[s.name] = v
		f := c.Flag(s.name, s.help).Envar(envName(s.name)).IsSetByUser(&v.isSet)
		if s.defaultValue != "" {
			f.Default(s.defaultValue)
		}
		switch s.kind {
		case singleValue:
			f.StringVar(&v.text)
		case repeatedValue:
			f.StringsVar(&v.list)
		case booleanValue:
			f.BoolVar(&v.enabled)
		}
	}
	return r
}

// command is a parsed command line.
type command struct {
	name string
	raw  *raw
}

const (
	commandRun        = "run"
	commandInitialize = "initialize"
)

// parseCommandLine parses a command line. Done is true if help or usage was printed and nothing is left to do.
func parseCommandLine(args []string, out io.Writer) (c command, done bool, err error) {
	app := kingpin.New("mustardwalkd", "Scheduler for multi-accelerator jobs under workspace guarantees. Runs on each entry host.")
	app.UsageWriter(out).ErrorWriter(out)
	app.Terminate(func(int) { done = true })
	run := defineFlags(app.Command(commandRun, "Run this host."), runFlags)
	initialize := defineFlags(app.Command(commandInitialize,
		"Prepare the data folder of a founding host, once, before the first start of the deployment."), initializeFlags)
	name, err := app.Parse(args)
	if done || err != nil {
		return command{}, done, err
	}
	if name == commandInitialize {
		return command{name, initialize}, false, nil
	}
	return command{name, run}, false, nil
}
