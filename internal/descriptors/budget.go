// Package descriptors keeps a process within its limit of file descriptors. The limit is divided into shares for the
// data folder, the listeners and the calls to workers. Each share is enforced where descriptors are taken, so that no
// load of calls can take what the data folder or the other hosts need.
package descriptors

import (
	"syscall"

	"github.com/rotisserie/eris"
)

// Descriptors that are not shared out.
const (
	// runtimeReserve covers what the runtime, the log output and the metrics use.
	runtimeReserve = 32
	// folderReserve covers the data folder: the records, the file that replaces them, the lock and the folder itself, each
	// twice while the folder is opened again.
	folderReserve = 16
	// outboundReserve covers connections to the other core hosts and to the platform's services.
	outboundReserve = 80
)

// MinLimit is the smallest usable limit. It is also assumed where the limit is not known.
const MinLimit = 512

// Shares of what is left after the reserves, in percent. A worker that is called takes a connection for the hold and
// part of another one for starts and stops; it keeps one open for its reports; an entry host keeps one or two.
const (
	peersPercent   = 15
	controlPercent = 30
	workersPercent = 55
)

// Shares is how many descriptors each use of a core host may take.
type Shares struct {
	Peers   int // Connections that other hosts have opened to this one.
	Control int // Connections that workers and operators have opened to this host.
	Workers int // Connections that this host has opened to workers.
}

// Split divides a limit. A limit below MinLimit is an error.
func Split(limit int) (Shares, error) {
	if limit < MinLimit {
		return Shares{}, eris.Errorf("a limit of %d descriptors is too low, at least %d are needed", limit, MinLimit)
	}
	left := limit - runtimeReserve - folderReserve - outboundReserve
	return Shares{Peers: left * peersPercent / 100, Control: left * controlPercent / 100, Workers: left * workersPercent / 100}, nil
}

// frontPercent is the share of an entry host's descriptors that callers may take. The rest is for the connections to
// the core hosts, of which no more are open than callers' connections are in use, and for readiness checks.
const frontPercent = 70

// FrontShare returns how many connections of callers an entry host may keep open, given its limit.
func FrontShare(limit int) int { return max(1, (limit-runtimeReserve)*frontPercent/100) }

// ProcessLimit returns the limit that the operating system sets for this process.
func ProcessLimit() (int, error) {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return 0, eris.Wrap(err, "reading the limit of descriptors")
	}
	return int(min(r.Cur, maxLimit)), nil
}

// maxLimit bounds the result of ProcessLimit where there is no limit.
const maxLimit = 1 << 20
