package capacity

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ticksPerSecond is the unit of utime and stime in /proc/<pid>/stat. Linux reports 100 on all its platforms.
const ticksPerSecond = 100

// process is a process that the measurement started.
type process struct {
	command *exec.Cmd
	done    chan struct{}
}

// startProcess starts a program with its output written to a log file.
func startProcess(log, program string, args ...string) (*process, error) {
	file, err := os.Create(log)
	if err != nil {
		return nil, eris.Wrap(err, "create log")
	}
	defer file.Close()
	p := &process{command: exec.Command(program, args...), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = file, file
	if err := p.command.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", filepath.Base(program))
	}
	go func() {
		_ = p.command.Wait() // All processes are killed, so the exit status tells nothing.
		close(p.done)
	}()
	return p, nil
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill() // Fails only if the process has ended already.
	<-p.done
}

// usage is the processor time of a process since its start, and its memory.
type usage struct {
	CPUSeconds float64
	RSS, Peak  float64 // Bytes.
}

func (p *process) usage() (usage, error) {
	folder := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		return usage{}, eris.Wrap(err, "read the processor time")
	}
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return usage{}, eris.Wrap(err, "read the memory")
	}
	return parseUsage(stat, status)
}

// parseUsage parses the content of /proc/<pid>/stat and /proc/<pid>/status; see proc(5).
func parseUsage(stat, status []byte) (usage, error) {
	// The name of the program, in parentheses, may itself contain spaces and parentheses, so fields are counted from the
	// last closing parenthesis.
	end := bytes.LastIndexByte(stat, ')')
	fields := strings.Fields(string(stat[end+1:]))
	const utime, stime = 11, 12 // Fields 14 and 15 of the line.
	if end < 0 || len(fields) <= stime {
		return usage{}, eris.New("/proc/<pid>/stat is too short")
	}
	var u usage
	for _, i := range []int{utime, stime} {
		ticks, err := strconv.ParseUint(fields[i], 10, 64)
		if err != nil {
			return usage{}, eris.Wrap(err, "/proc/<pid>/stat")
		}
		u.CPUSeconds += float64(ticks) / ticksPerSecond
	}
	var err error
	if u.RSS, err = statusBytes(status, "VmRSS:"); err != nil {
		return usage{}, err
	}
	u.Peak, err = statusBytes(status, "VmHWM:")
	return u, err
}

// statusBytes returns a value of /proc/<pid>/status in bytes.
func statusBytes(status []byte, name string) (float64, error) {
	for line := range strings.Lines(string(status)) {
		f := strings.Fields(line)
		if len(f) == 3 && f[0] == name && f[2] == "kB" {
			kb, err := strconv.ParseUint(f[1], 10, 64)
			return float64(kb) * 1024, eris.Wrap(err, name)
		}
	}
	return 0, eris.Errorf("/proc/<pid>/status has no %s", name)
}
