// Package node implements the logic of one host without I/O. It combines the replicas of the logs that the host holds,
// the cells (one per zone log), the deployment state and the routing of requests to leaders. The caller of the package
// (the daemon, or a simulation in tests) passes every input to Handle together with the time of a monotonic clock, and
// carries out the outputs that Handle returns.
package node

import (
	"time"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// Peer is one host of the deployment, from the settings.
type Peer struct {
	ID      string
	Zone    string
	Region  string
	Address string // host:port of its peer interface.
	Disk    bool
}

// Settings are the settings of a host.
type Settings struct {
	Self        Peer
	Peers       []Peer // All hosts, Self included.
	Incarnation uint64 // From the data folder; random at each start for a host without a disk.
	Replica     replica.Timing
	Cell        cell.Timing
	Random      func(n int64) int64 // Returns a uniform random number in [0, n).
	// SnapshotEntries is the number of applied entries after which a group takes a snapshot.
	SnapshotEntries int
}

// Input is an input of Handle: one of the types from Tick to Stop.
type Input interface{ input() }

// Tick triggers the periodic work. The daemon sends one every TickPeriod.
type Tick struct{}

// TickPeriod is the period of ticks.
const TickPeriod = 25 * time.Millisecond

// Persisted reports that the records of all Persist outputs up to Seq are synced.
type Persisted struct{ Seq uint64 }

// PersistFailed reports a failed write or sync of records. The host halts.
type PersistFailed struct {
	Seq   uint64
	Cause string
}

// Compact asks for a Persist output with the whole state, which replaces the record file.
type Compact struct{}

// PeerMessage is a payload received from another host.
type PeerMessage struct {
	From    string
	Payload []byte
}

// CallerRequest is a request of a caller or an operator. Exactly one Respond output follows, unless CallerGone comes
// first.
type CallerRequest struct {
	ID      uint64
	Request Request
}

// CallerGone reports that the caller of a request disconnected.
type CallerGone struct{ ID uint64 }

// EndpointReport is a message from an endpoint of this zone. One RespondEndpoint output follows.
type EndpointReport struct {
	ID     uint64
	Report cell.Report
}

// CallDone is the result of a CallEndpoint output. Reply is nil if no reply arrived.
type CallDone struct {
	ID    uint64
	Reply *endpoint.Reply
	Cause string // Why no reply arrived; empty with a reply.
}

// Stop begins a planned stop of this host, which ends with a Halt output.
type Stop struct{}

func (Tick) input()           {}
func (Persisted) input()      {}
func (PersistFailed) input()  {}
func (Compact) input()        {}
func (PeerMessage) input()    {}
func (CallerRequest) input()  {}
func (CallerGone) input()     {}
func (EndpointReport) input() {}
func (CallDone) input()       {}
func (Stop) input()           {}

// Output is an output of Handle: one of the types from Send to Halt.
type Output interface{ output() }

// Send sends a payload to another host. The payload may be lost.
type Send struct {
	To      string
	Address string
	Payload []byte
}

// Persist appends records to the record file and syncs it; Persisted or PersistFailed follows. With Replace the records
// hold the whole state and replace the content of the file.
type Persist struct {
	Seq     uint64
	Records []replica.Record
	Replace bool
}

// Respond answers a CallerRequest.
type Respond struct {
	ID       uint64
	Response Response
}

// RespondEndpoint answers an EndpointReport. Exactly one field besides ID is set; Error asks the endpoint to retry.
type RespondEndpoint struct {
	ID             uint64
	HeartbeatReply *endpoint.HeartbeatReply
	Ack            *endpoint.Ack
	Error          *api.Error
}

// CallEndpoint calls an endpoint; CallDone follows.
type CallEndpoint struct {
	ID      uint64
	Address string
	Timeout time.Duration
	Call    endpoint.Call
}

// RecordEvent writes an event to the history and the log. Its Time is on the clock of the node, 0 for an event that
// happened when the input was handled.
type RecordEvent struct{ Event history.Event }

// Halt ends the process. Planned is true at the end of a planned stop; otherwise Cause names the failure.
type Halt struct {
	Planned bool
	Cause   string
}

func (Send) output()            {}
func (Persist) output()         {}
func (Respond) output()         {}
func (RespondEndpoint) output() {}
func (CallEndpoint) output()    {}
func (RecordEvent) output()     {}
func (Halt) output()            {}

// Request is a request of a caller or an operator. Exactly one operation field is set. Operator requests are
// authenticated before they reach the node; caller requests carry the digest of their token, by which the node
// authenticates them.
type Request struct {
	TokenSHA256 string // Hex digest of the caller's token; empty for operators.
	Operator    bool

	Submit *SubmitJob
	Get    *GetJob
	List   *ListJobs
	Cancel *JobRef
	Why    *JobRef // Explains what the job waits for.

	ApplyContract  *ApplyContract
	DeleteContract *DeleteContract
	GetContract    *ContractRef
	ListContracts  *ListContracts
	SetZone        *SetZone
	Zones          *ListZones
	Hosts          *ListHosts
	Drain          *DrainHost // Planned stop of a host.
	Workers        *ListWorkers
	Revisions      *ListRevisions
	Dump           *GetDump
}

// SubmitJob submits a job and waits up to Wait for its end before it is answered.
type SubmitJob struct {
	Job  api.JobRequest
	Wait time.Duration
}

// GetJob asks for the state of a job and waits up to Wait for its end before it is answered.
type GetJob struct {
	Job  string
	Wait time.Duration
}

// JobRef names a job.
type JobRef struct{ Job string }

// ListJobs lists the jobs of the caller's workspace, or all jobs for an operator.
type ListJobs struct{}

// ApplyContract adds or replaces a contract; with DryRun it only validates the contract and reports the effects.
type ApplyContract struct {
	Workspace        string
	YAML             []byte
	File             string // File name to show in findings.
	DryRun           bool
	CommandID        string  // Identifies the command: a repeated one returns the first result.
	ExpectedRevision *uint64 // If set: the current revision of the contract; 0 if it must not exist.
}

// DeleteContract deletes a contract. Queued jobs of the workspace are cancelled, and running ones are stopped.
type DeleteContract struct {
	Workspace        string
	DryRun           bool
	CommandID        string
	ExpectedRevision *uint64
}

// ContractRef names a contract.
type ContractRef struct{ Workspace string }

// ListContracts lists all contracts.
type ListContracts struct{}

// SetZone takes a zone out of service (Out) or brings it back.
type SetZone struct {
	Zone             string
	Out              bool
	CommandID        string  // Identifies the command: a repeated one returns the first result.
	ExpectedRevision *uint64 // If set: the current service revision of the zone.
}

// ListZones asks for the status of all zones.
type ListZones struct{}

// ListHosts asks for the list of all hosts, as this host sees them.
type ListHosts struct{}

// DrainHost begins a planned stop of a host.
type DrainHost struct{ Host string }

// ListWorkers asks for the workers of all zones.
type ListWorkers struct{}

// ListRevisions asks for the deployment revision and the revision in force in each zone.
type ListRevisions struct{}

// GetDump asks for a dump of this host's state, for diagnosis.
type GetDump struct{}

// Response answers a Request. Body is a pointer to an api type, or to a HostDump for GetDump; it is nil if Error is
// set.
type Response struct {
	Error *api.Error
	Body  any
}
