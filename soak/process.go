package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// ports are the ports that all hosts of a run use, each host on an IP address of its own.
type ports struct{ peers, control, front, ready int }

// process is the process of one host with the proxies in front of it.
type process struct {
	// Other hosts connect to proxyIP; the process listens on listenIP, behind the proxies.
	name, role, proxyIP, listenIP string
	folder                        string
	program                       string
	proxies                       []*Proxy
	cmd                           *exec.Cmd
	log                           *os.File
	founding                      bool // Value of the setting bootstrap: true only for the first start.
	paused                        bool
}

// writeSettings writes the settings file of the process.
func (p *process) writeSettings(po ports, seeds []string) error {
	text := fmt.Sprintf("node_name = %q\nip = %q\nzone = %q\nport_range = [%d,%d]\nbootstrap = %v\ndata_dir = %q\nheartbeat_ms = 1500\nseeds = [",
		p.name, p.proxyIP, "z-"+p.name, po.peers, po.peers, p.founding, p.dataFolder())
	for _, s := range seeds {
		text += fmt.Sprintf("%q,", net.JoinHostPort(s, fmt.Sprint(po.control)))
	}
	text += fmt.Sprintf("]\n[listen]\ncontrol = \"%[1]s:%[2]d\"\nfront = \"%[1]s:%[3]d\"\nready = \"%[1]s:%[4]d\"\n", p.listenIP, po.control, po.front, po.ready)
	text += "[limits]\nmemory_mb = 280\n[fault_tolerance]\nmachines = 1\n[bounds]\ngrace_s = 6\nmax_hold_ms = 10000\ngang_wait_ms = 3000\nstatus_s = 120\n"
	return os.WriteFile(p.settingsPath(), []byte(text), 0o600)
}

func (p *process) dataFolder() string { return filepath.Join(p.folder, p.name) }

func (p *process) settingsPath() string { return filepath.Join(p.folder, p.name+".toml") }

func (p *process) start(po ports) error {
	p.cmd = exec.Command(p.program, p.role, "--settings="+p.settingsPath(), "--peer-listen="+net.JoinHostPort(p.listenIP, fmt.Sprint(po.peers)))
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.paused = false
	return p.cmd.Start()
}

// signal sends a signal to the process, unless its end has been waited for.
func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(s) // Fails only if the process has ended in the meantime.
	}
}

// signalAndWait sends a signal and waits for the end of the process. It resumes a paused process first, and kills a
// process that has not ended within the limit. It returns an error if the process had to be killed, or if it did not
// end cleanly after SIGTERM.
func (p *process) signalAndWait(s syscall.Signal, limit time.Duration) error {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if s == syscall.SIGTERM && err != nil {
			return fmt.Errorf("%s did not stop cleanly after SIGTERM: %w", p.name, err)
		}
		return nil
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-ended
		return fmt.Errorf("%s did not end within %v after signal %v", p.name, limit, s)
	}
}
