package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// ports are the ports that all hosts of a run use, each host on an IP address of its own.
type ports struct{ peers, control, front, ready, metrics int }

// process is the process of one host with the proxies in front of it.
type process struct {
	// Other hosts connect to proxyIP; the process listens on listenIP, behind the proxies.
	name, role, proxyIP, listenIP string
	folder                        string
	program                       string
	proxies                       []*Proxy
	log                           *os.File
	founding                      bool // Value of the setting bootstrap: true only for the first start.
	unexpectedEnd                 func(*process, error)
	stalled                       func() time.Duration // For how long the machine has stalled so far.

	busy sync.Mutex // Held by the fault that ends and starts the process or disturbs its connections.

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{} // Closed when the process has ended.
	endErr    error         // Set when ended is closed.
	endWanted bool
	startedAt time.Time
	logOffset int // Length of the log at the start.
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
	// The file is replaced as a whole, since the process may read it at any time.
	if err := os.WriteFile(p.settingsPath()+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(p.settingsPath()+".new", p.settingsPath())
}

func (p *process) dataFolder() string { return filepath.Join(p.folder, p.name) }

func (p *process) settingsPath() string { return filepath.Join(p.folder, p.name+".toml") }

func (p *process) start(po ports) error {
	cmd := exec.Command(p.program, p.role, "--settings="+p.settingsPath(), "--peer-listen="+net.JoinHostPort(p.listenIP, fmt.Sprint(po.peers)))
	if p.role == "core" {
		cmd.Args = append(cmd.Args, fmt.Sprintf("--metrics-port=%d", po.metrics))
	}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := p.log.Stat()
	if err != nil {
		return err
	}
	p.logOffset = int(info.Size())
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.endWanted, p.startedAt = cmd, ended, false, time.Now()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.endErr = err
		wanted := p.endWanted
		p.mu.Unlock()
		close(ended)
		if !wanted {
			p.unexpectedEnd(p, err)
		}
	}()
	return nil
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.ended:
	default:
		if s == syscall.SIGTERM || s == syscall.SIGKILL {
			p.endWanted = true
		}
		_ = p.cmd.Process.Signal(s) // Fails only if the process has ended in the meantime.
	}
}

// signalAndWait sends a signal and waits for the end of the process. It resumes a paused process first, and kills a
// process that has not ended within the limit. It returns an error if the process had to be killed, or if it did not
// end cleanly after SIGTERM.
func (p *process) signalAndWait(s syscall.Signal, limit time.Duration) error {
	p.signal(s)
	p.signal(syscall.SIGCONT)
	stalled := p.stalled()
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		if s == syscall.SIGTERM && p.endErr != nil {
			return fmt.Errorf("%s did not stop cleanly after SIGTERM: %w", p.name, p.endErr)
		}
		return nil
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-ended
		return fmt.Errorf("%s did not end within %v after signal %v; the machine stalled for %v of that", p.name, limit, s, p.stalled()-stalled)
	}
}

// pid returns the identifier of the process that was started last.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// hasEnded tells whether the process has ended and was not started again.
func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// startedUp tells whether the process handles signals: it logs its start only after that.
func (p *process) startedUp() bool {
	p.mu.Lock()
	offset, younger := p.logOffset, time.Since(p.startedAt) < startupTime
	p.mu.Unlock()
	if younger {
		return false
	}
	data, err := os.ReadFile(p.log.Name())
	return err == nil && bytes.Contains(data[min(offset, len(data)):], []byte("event=started "))
}

// awaitStartup waits until the process handles signals.
func (p *process) awaitStartup() {
	for end := time.Now().Add(startupLimit); !p.startedUp() && time.Now().Before(end); {
		time.Sleep(startupCheck)
	}
}
