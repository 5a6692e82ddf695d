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

// ports of all hosts of a run.
type ports struct{ peers, control, front, ready int }

// process is one host as a process, and the proxies in front of it.
type process struct {
	name, role, ip, real string // Other hosts use ip; the process listens for them on real, behind the proxy.
	folder               string
	program              string
	proxies              []*Proxy
	cmd                  *exec.Cmd
	log                  *os.File
	founding             bool
	paused               bool
}

// settings writes the settings file.
func (p *process) settings(po ports, seeds []string) error {
	text := fmt.Sprintf("node_name = %q\nip = %q\nzone = %q\nport_range = [%d,%d]\nbootstrap = %v\ndata_dir = %q\nheartbeat_ms = 1500\nseeds = [",
		p.name, p.ip, "z-"+p.name, po.peers, po.peers, p.founding, p.data())
	for _, s := range seeds {
		text += fmt.Sprintf("%q,", net.JoinHostPort(s, fmt.Sprint(po.control)))
	}
	text += fmt.Sprintf("]\n[listen]\ncontrol = \"%[1]s:%[2]d\"\nfront = \"%[1]s:%[3]d\"\nready = \"%[1]s:%[4]d\"\n", p.real, po.control, po.front, po.ready)
	text += "[limits]\nmemory_mb = 280\n[fault_tolerance]\nmachines = 1\n[bounds]\ngrace_s = 6\nmax_hold_ms = 10000\ngang_wait_ms = 3000\nstatus_s = 120\n"
	return os.WriteFile(p.path(), []byte(text), 0o600)
}

func (p *process) data() string { return filepath.Join(p.folder, p.name) }

func (p *process) path() string { return filepath.Join(p.folder, p.name+".toml") }

// start runs the program.
func (p *process) start(po ports) error {
	p.cmd = exec.Command(p.program, p.role, "--settings="+p.path(), "--peer-listen="+net.JoinHostPort(p.real, fmt.Sprint(po.peers)))
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.paused = false
	return p.cmd.Start()
}

// signal sends a signal to the process that this run has started.
func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(s) // It may just have ended.
	}
}

// end waits for the process after a signal, and kills it when the limit has passed.
func (p *process) end(s syscall.Signal, limit time.Duration) error {
	p.signal(syscall.SIGCONT)
	p.signal(s)
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if s == syscall.SIGTERM && err != nil {
			return fmt.Errorf("%s did not stop as planned: %w", p.name, err)
		}
		return nil
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-ended
		return fmt.Errorf("%s did not end within %v of %v", p.name, limit, s)
	}
}
