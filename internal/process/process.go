// Package process starts, signals and ends the processes of a deployment on the loopback interface, for the demo and
// the failure tests. It ends only processes that it started itself, by their identifiers.
package process

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Process is a long-running process.
type Process struct {
	Name  string
	cmd   *exec.Cmd
	ended chan struct{}
	err   error // Result of the process. Valid once ended is closed.
}

// Set holds the long-running processes of a demo or test.
type Set struct {
	StopTimeout time.Duration // Time that Stop gives the processes before it kills them.
	mu          sync.Mutex
	list        []*Process
}

// Start starts a process and appends its output to a log file.
func (s *Set) Start(name, log, binary string, args ...string) (*Process, error) {
	file, err := os.OpenFile(log, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "create log")
	}
	defer file.Close()
	return s.StartWithOutput(name, file, binary, args...)
}

// StartWithOutput starts a process whose output goes to a writer. Unless the writer is a file, the output passes through a
// pipe.
func (s *Set) StartWithOutput(name string, log io.Writer, binary string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(binary, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process gets its own process group, so that an interrupt from the terminal does not end it before the planned
	// stop by Stop.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, p)
	return p, nil
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Err returns how the process ended, nil for exit code 0. The process must have ended.
func (p *Process) Err() error { return p.err }

// ExitCode returns the exit code of a process that has ended, -1 if a signal ended it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Signal sends a signal. It fails if the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	return eris.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if p.Running() {
		_ = p.cmd.Process.Kill() // Fails only if the process has ended.
	}
	<-p.ended
}

// Stop sends SIGTERM to all running processes and kills those that have not ended within StopTimeout. It returns an
// error that names those of them that had to be killed or ended with an error. It empties the set.
func (s *Set) Stop() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var signalled []*Process
	for _, p := range s.list {
		if p.Running() {
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
			signalled = append(signalled, p)
		}
	}
	deadline := time.After(s.StopTimeout)
	var failed []string
	timedOut := false
	for _, p := range signalled {
		if !timedOut {
			select {
			case <-p.ended:
			case <-deadline:
				timedOut = true
			}
		}
		switch {
		case p.Running():
			failed = append(failed, p.Name+" did not stop in time")
			p.Kill()
		case p.err != nil:
			failed = append(failed, p.Name+": "+p.err.Error())
		}
	}
	s.list = nil
	if len(failed) > 0 {
		return eris.Errorf("planned stop: %v", failed)
	}
	return nil
}

// KillAll kills all processes and waits for their end. It empties the set.
func (s *Set) KillAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.list {
		if p.Running() {
			_ = p.cmd.Process.Kill() // Fails only if the process has ended.
		}
	}
	for _, p := range s.list {
		<-p.ended
	}
	s.list = nil
}

// FindEnded returns the first process of the set that has ended, nil if all are running. Before a process is ended on
// purpose, the caller removes it with Forget.
func (s *Set) FindEnded() *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.list {
		if !p.Running() {
			return p
		}
	}
	return nil
}

// Forget removes a process from the set, so that FindEnded does not report it and Stop and KillAll do not end it.
func (s *Set) Forget(p *Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, q := range s.list {
		if q == p {
			s.list = append(s.list[:i], s.list[i+1:]...)
			return
		}
	}
}

// Output is the result of a short command.
type Output struct {
	Code           int    // Exit code.
	Stdout, Stderr []byte // Standard output and standard error.
}

// RunCommand runs a short command and waits for its end. An exit code other than 0 is not an error.
func RunCommand(ctx context.Context, binary string, args ...string) (Output, error) {
	var out, errors bytes.Buffer
	c := exec.CommandContext(ctx, binary, args...)
	c.Stdout, c.Stderr = &out, &errors
	err := c.Run()
	if c.ProcessState == nil {
		return Output{}, eris.Wrap(err, "run command")
	}
	if ctx.Err() != nil {
		return Output{}, eris.Wrap(ctx.Err(), "run command")
	}
	return Output{c.ProcessState.ExitCode(), out.Bytes(), errors.Bytes()}, nil
}

// Tail returns the last maxBytes bytes of a file, or the error text if it cannot be read.
func Tail(file string, maxBytes int) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Sprint(err)
	}
	return string(data[max(0, len(data)-maxBytes):])
}

// Ports are drawn below the range that operating systems use for outgoing connections (from 32768 on Linux), because
// such a connection could take the port before the process listens on it, or while the process restarts.
const (
	firstPort    = 10000
	lastPort     = 32767
	maxPortDraws = 1000
)

// FreePorts returns n loopback addresses with free ports. All ports are held open until the last one is drawn, so that
// they differ.
func FreePorts(n int) ([]string, error) {
	var addresses []string
	var last error
	for range maxPortDraws {
		if len(addresses) == n {
			return addresses, nil
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort+1)))
		if err != nil {
			last = err
			continue
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return nil, eris.Wrapf(last, "%d free ports were not found", n)
}
