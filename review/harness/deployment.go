package harness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the hosts, each on a loopback address of its own.
const (
	peerPort    = 7000
	metricsPort = 7005
	frontPort   = 8521
	readyPort   = 8523
	controlPort = 8526
)

// program is the daemon as the build line of the deploy file places it.
const program = "target/mustardwalkd"

// restartDelay is how long after the end of a core process the platform starts it again.
const restartDelay = 500 * time.Millisecond

// Host is a machine of the system with its process.
type Host struct {
	Name, Role, IP string

	deployment *Deployment
	mu         sync.Mutex
	cmd        *exec.Cmd
	ended      chan struct{}
	endWanted  bool
	ends       int // How often the process has ended by itself.
	seeds      []string
	bootstrap  bool
}

// Deployment is a small deployment: three core hosts in three zones, and entry hosts.
type Deployment struct {
	Record  *Record
	Cores   []*Host
	Entries []*Host

	folder  string
	network string // First two bytes of the loopback addresses.
	mu      sync.Mutex
	closed  bool
}

// Zones are the zones of the deployment, one for each core host.
var Zones = []string{"z-a", "z-b", "z-c"}

// Start starts the core hosts, waits until one of them leads and has a config, and starts the entry hosts.
func Start(ctx context.Context, record *Record, entries int) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, folder: folder}
	if err := d.chooseNetwork(); err != nil {
		return nil, err
	}
	for i, zone := range Zones {
		h := &Host{Name: "core-" + zone, Role: "core", IP: d.IP(1, i+1), deployment: d, bootstrap: true}
		d.Cores = append(d.Cores, h)
	}
	for i := range entries {
		d.Entries = append(d.Entries, &Host{Name: fmt.Sprintf("edge-%d", i+1), Role: "entry", IP: d.IP(2, i+1), deployment: d, bootstrap: true})
	}
	var seeds []string
	for _, h := range d.Cores {
		seeds = append(seeds, h.IP)
	}
	for i, h := range append(append([]*Host{}, d.Cores...), d.Entries...) {
		h.seeds = seeds
		if err := h.writeSettings(Zones[i%len(Zones)]); err != nil {
			return nil, err
		}
	}
	for _, h := range d.Cores {
		if err := h.Start(); err != nil {
			return nil, err
		}
	}
	return d, ctx.Err()
}

// StartEntries starts the entry hosts.
func (d *Deployment) StartEntries() error {
	for _, h := range d.Entries {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return nil
}

// chooseNetwork picks loopback addresses on which the ports are free.
func (d *Deployment) chooseNetwork() error {
	for i := range 200 {
		d.network = fmt.Sprintf("127.%d", 20+(os.Getpid()+i)%200)
		l, err := net.Listen("tcp4", d.IP(1, 1)+":"+fmt.Sprint(controlPort))
		if err == nil {
			return l.Close()
		}
	}
	return errors.New("no free loopback addresses")
}

// IP returns a loopback address of the deployment.
func (d *Deployment) IP(group, number int) string {
	return fmt.Sprintf("%s.%d.%d", d.network, group, number)
}

// ControlAddresses returns the addresses for workers and operators.
func (d *Deployment) ControlAddresses() []string {
	var out []string
	for _, h := range d.Cores {
		out = append(out, net.JoinHostPort(h.IP, fmt.Sprint(controlPort)))
	}
	return out
}

// FrontAddresses returns the addresses for clients.
func (d *Deployment) FrontAddresses() []string {
	var out []string
	for _, h := range d.Entries {
		out = append(out, net.JoinHostPort(h.IP, fmt.Sprint(frontPort)))
	}
	return out
}

// Close ends all processes of the deployment and removes its files.
func (d *Deployment) Close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	for _, h := range append(append([]*Host{}, d.Cores...), d.Entries...) {
		h.kill()
	}
	_ = os.RemoveAll(d.folder) // Only files of this run.
}

func (d *Deployment) isClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

// writeSettings writes the settings file, with the fields and the bounds of a small deployment.
func (h *Host) writeSettings(zone string) error {
	quoted := make([]string, len(h.seeds))
	for i, ip := range h.seeds {
		quoted[i] = fmt.Sprintf("%q", net.JoinHostPort(ip, fmt.Sprint(controlPort)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nip = %q\nzone = %q\nregion = \"r\"\nport_range = [%d,%d]\nseeds = [%s]\nbootstrap = %v\n",
		h.Name, h.Role, h.IP, zone, peerPort, peerPort+15, strings.Join(quoted, ","), h.bootstrap)
	fmt.Fprintf(&b, "loss_counts = %v\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1500\nconfig_mode = \"highest\"\norders = \"call\"\n", h.Role == "core")
	if h.Role == "core" {
		fmt.Fprintf(&b, "data_dir = %q\n", h.dataFolder())
	}
	b.WriteString("[listen]\n")
	if h.Role == "core" {
		fmt.Fprintf(&b, "control = \"%s:%d\"\n", h.IP, controlPort)
	} else {
		fmt.Fprintf(&b, "front = \"%s:%d\"\nready = \"%s:%d\"\n", h.IP, frontPort, h.IP, readyPort)
	}
	b.WriteString("[limits]\ncpu_share = 0.8\ncores = 1\nmemory_mb = 280\nmax_fds = 4096\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\nconfig_apply_ms = 2000\nevac_ms = 5000\nmax_hold_ms = 10000\n" +
		"stop_grace_ms = 900\ngang_wait_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n" +
		"checkpoint_interval_s = 2\nrestore_ms = 600\nnotice_ms = 4500\nmaintenance_s = 2\nrequire_fencing = true\nlease_ms = 3000\n")
	return os.WriteFile(h.settingsPath(), []byte(b.String()), 0o600)
}

func (h *Host) dataFolder() string   { return filepath.Join(h.deployment.folder, h.Name) }
func (h *Host) settingsPath() string { return filepath.Join(h.deployment.folder, h.Name+".toml") }
func (h *Host) logPath() string      { return filepath.Join(h.deployment.folder, h.Name+".log") }

// Start starts the process with the command of the deploy file. If it ends by itself, it is started again.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, h.Role, fmt.Sprintf("--metrics-port=%d", metricsPort))
	cmd.Env = append(os.Environ(), "MUSTARDWALK_CONFIG="+h.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.endWanted, h.ended = cmd, false, make(chan struct{})
	go h.watch(cmd, h.ended)
	h.deployment.Record.Printf("%s started", h.Name)
	return nil
}

// watch waits for the end of a process. It starts the process again if nobody has ended it.
func (h *Host) watch(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	wanted := h.endWanted
	if !wanted {
		h.ends++
	}
	h.mu.Unlock()
	close(ended)
	if wanted || h.deployment.isClosed() {
		return
	}
	h.deployment.Record.Printf("%s ENDED BY ITSELF: %v; cause in its log: %s", h.Name, err, h.lastError())
	time.Sleep(restartDelay)
	h.bootstrap = false
	if !h.deployment.isClosed() {
		if err := h.Start(); err != nil {
			h.deployment.Record.Printf("%s could not be started again: %v", h.Name, err)
		}
	}
}

// lastError returns the cause in the last line of the log that reports an error, without the stack, or an empty string.
func (h *Host) lastError() string {
	data, err := os.ReadFile(h.logPath())
	if err != nil {
		return ""
	}
	last := ""
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "ended_by_error") {
			last = strings.Trim(line[strings.LastIndex(line, `\n`)+1:], "n\"\n")
		}
	}
	return last
}

// OwnEnds returns how often the process has ended by itself.
func (h *Host) OwnEnds() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends
}

// kill ends the process and waits for its end.
func (h *Host) kill() {
	h.mu.Lock()
	if h.cmd == nil {
		h.mu.Unlock()
		return
	}
	h.endWanted = true
	ended := h.ended
	_ = h.cmd.Process.Signal(syscall.SIGKILL) // Fails if it has ended already.
	h.mu.Unlock()
	<-ended
}

// KillAndRestart kills the process, and starts it again after a while, as the platform does.
func (h *Host) KillAndRestart(after time.Duration) {
	h.deployment.Record.Printf("%s: SIGKILL", h.Name)
	h.kill()
	time.AfterFunc(after, func() {
		if h.deployment.isClosed() {
			return
		}
		if err := h.Start(); err != nil {
			h.deployment.Record.Printf("%s could not be started again: %v", h.Name, err)
		}
	})
}
