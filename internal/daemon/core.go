// Package daemon runs a node core as a process. This process shell owns the event loop, the connections to hosts and
// endpoints, the data folder, the listeners, the settings, the log and the metrics. It contains no scheduling logic.
package daemon

import (
	"time"

	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// Core is the logic of a host, without I/O. The event loop calls all methods from one goroutine.
type Core interface {
	// Handle handles one input at the time now of the monotonic clock. It returns the outputs in the order in which
	// they are to be carried out.
	Handle(now time.Duration, in node.Input) []node.Output
	// Ready reports whether the host should get new requests, and if not, the reason.
	Ready() (ok bool, reason string)
}

// MetricValue is one value that the core reports for the metrics, a gauge or a counter.
type MetricValue struct {
	Name  string // Without the prefix of the process, for example "jobs_queued".
	Value float64
	// Counter is true for a value that only grows.
	Counter bool
	// Group is the replicated log or zone that the value belongs to, empty for the host.
	Group string
}

// MetricsReporter is implemented by cores that report values for the metrics.
type MetricsReporter interface {
	MetricValues() []MetricValue
}

// Store keeps records durably. Its methods are not called concurrently. After an error the store is not used again,
// because the content of the file is unknown after a failed sync.
type Store interface {
	// WriteIdentity stores the incarnation of a fresh data folder.
	WriteIdentity(incarnation uint64) error
	// Append writes records and syncs them.
	Append(records []replica.Record) error
	// Replace replaces all records and syncs the new ones.
	Replace(records []replica.Record) error
	// Size returns the total size of the records in bytes.
	Size() int64
	Close() error
}

// StoredState is what a data folder held when it was opened.
type StoredState struct {
	Incarnation uint64 // 0: the folder is fresh.
	Groups      map[replica.GroupID]*replica.Restored
}

// Parts are the components that the shell runs. The main package passes the real ones, tests pass fakes.
type Parts struct {
	// OpenStore opens a data folder and locks it for this process.
	OpenStore func(folder string) (Store, *StoredState, error)
	// NewCore returns the core of this host.
	NewCore func(s node.Settings, restored map[replica.GroupID]*replica.Restored, now time.Duration) Core
}
