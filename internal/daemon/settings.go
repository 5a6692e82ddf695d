package daemon

import (
	"fmt"
	"strings"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// Settings holds the checked settings of a host.
type Settings struct {
	Self            node.Peer      `json:"self"`
	Peers           []node.Peer    `json:"peers"`
	DataFolder      string         `json:"data_folder"`
	PeerListen      string         `json:"peer_listen"`
	CallerListen    string         `json:"caller_listen"`
	OperatorListen  string         `json:"operator_listen"`
	EndpointListen  string         `json:"endpoint_listen"`
	OperatorTokens  tokens         `json:"operator_tokens"`
	EndpointTokens  tokens         `json:"endpoint_tokens"`
	PeerTokens      tokens         `json:"peer_tokens"`
	TLS             TLSFiles       `json:"tls"`
	EndpointTLS     bool           `json:"endpoint_tls"`
	HistoryFile     string         `json:"history_file"`
	LogLevel        string         `json:"log_level"`
	Replica         replica.Timing `json:"replica_timing_ns"`
	Cell            cell.Timing    `json:"cell_timing_ns"`
	SnapshotEntries int            `json:"snapshot_entries"`
	MaxBodyBytes    int64          `json:"max_body_bytes"`
	MaxConnections  int            `json:"max_connections"`
	ReadTimeout     time.Duration  `json:"read_timeout_ns"`
}

// TLSFiles holds the paths of the files for TLS. If Cert is empty, listeners and connections between hosts use no TLS.
type TLSFiles struct {
	Cert string `json:"cert_file"`
	Key  string `json:"key_file"`
	CA   string `json:"ca_file"`
}

// Enabled reports whether listeners and connections between hosts use TLS.
func (t TLSFiles) Enabled() bool { return t.Cert != "" }

// Finding is one problem in the settings.
type Finding struct {
	Setting string // Flag or environment variable that has the problem.
	Message string
	Warning bool // The host starts in spite of the problem.
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	kind := "error"
	if f.Warning {
		kind = "warning"
	}
	return fmt.Sprintf("%s: %s: %s", kind, f.Setting, f.Message)
}

// hasErrors reports whether a finding is not just a warning.
func hasErrors(findings []Finding) bool {
	for _, f := range findings {
		if !f.Warning {
			return true
		}
	}
	return false
}

// settingsChecker builds Settings from raw settings and collects the findings. Each of its methods reads and checks
// some of the settings.
type settingsChecker struct {
	raw      *raw
	settings Settings
	findings []Finding
}

func (c *settingsChecker) addFinding(flag, format string, args ...any) {
	c.findings = append(c.findings, Finding{Setting: c.raw.source(flag), Message: fmt.Sprintf(format, args...)})
}

func (c *settingsChecker) addWarning(flag, format string, args ...any) {
	c.findings = append(c.findings, Finding{Setting: c.raw.source(flag), Message: fmt.Sprintf(format, args...), Warning: true})
}

// checkRun checks all settings of the command run. The Settings are usable only if no finding is an error.
func checkRun(r *raw) (*Settings, []Finding) {
	c := &settingsChecker{raw: r}
	c.peers()
	c.dataFolder()
	c.listeners()
	c.tokenFiles()
	c.tlsFiles()
	c.exposure()
	c.logLevel()
	c.timing()
	c.limits()
	return &c.settings, c.findings
}

// checkInitialize checks the settings of the command initialize.
func checkInitialize(r *raw) (*Settings, []Finding) {
	c := &settingsChecker{raw: r}
	c.settings.DataFolder = r.text(flagDataFolder)
	if c.settings.DataFolder == "" {
		c.addFinding(flagDataFolder, "is missing")
	}
	c.folder()
	c.logLevel()
	return &c.settings, c.findings
}

// name reads a setting that must be a name as isName defines it.
func (c *settingsChecker) name(flag string) string {
	v := c.raw.text(flag)
	switch {
	case v == "":
		c.addFinding(flag, "is missing")
	case !isName(v):
		c.addFinding(flag, "%q is not a name: use 1 to 64 letters, digits, dots, hyphens and underscores", v)
	}
	return v
}

// nameBytes holds the characters of which names consist.
const nameBytes = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_"

// isName reports whether s is an identifier of a host, zone or region: 1 to 64 of the nameBytes.
func isName(s string) bool {
	notAllowed := func(r rune) bool { return !strings.ContainsRune(nameBytes, r) }
	return s != "" && len(s) <= 64 && !strings.ContainsFunc(s, notAllowed)
}

func (c *settingsChecker) logLevel() {
	c.settings.LogLevel = c.raw.text(flagLogLevel)
	if _, known := logLevels[c.settings.LogLevel]; !known {
		c.addFinding(flagLogLevel, "%q is not error, info or debug", c.settings.LogLevel)
	}
}
