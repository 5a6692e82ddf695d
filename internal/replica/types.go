// Package replica implements a replicated log after the Raft algorithm, as a core without I/O.
//
// The caller passes messages, ticks and completed writes in, and takes messages to send, records to sync and
// committed entries out. Times are readings of a monotonic clock of this host. See docs/design.md section 3.1 and
// D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, for pre-vote, leases and single-server changes.
package replica

import "time"

// GroupID names a replicated log, for example "deployment" or "cell/lj-1".
type GroupID string

// Member is one incarnation of a host. Two members with the same host and different incarnations are different
// voters, because the later one does not hold what the earlier one acknowledged.
type Member struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Disk        bool   `cbor:"3,keyasint,omitempty"`
	// Witness marks a voter outside the group's own availability zone. It hands leadership to a local voter.
	Witness bool `cbor:"4,keyasint,omitempty"`
	// Zone is the availability zone of the host, empty where it is not known. It is no part of the identity.
	Zone string `cbor:"5,keyasint,omitempty"`
}

// Config is the set of voters of a group.
type Config struct {
	Voters []Member `cbor:"1,keyasint"`
}

// EntryKind tells what an entry of the log carries.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota // Data is a command of the state machine.
	EntryConfig                   // Data is a CBOR-coded Config.
	EntryNoop                     // Committed by each new leader before it acts.
)

// Entry is one position of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Config Config `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// HardState must be synced before any message that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote Member `cbor:"2,keyasint"`
}

// Record is one write of a group. A nil field is not part of the write. Entries replace any entries held from
// Entries[0].Index on; a Snapshot replaces all entries up to its index and keeps those after it.
type Record struct {
	Group    GroupID    `cbor:"1,keyasint"`
	Hard     *HardState `cbor:"2,keyasint,omitempty"`
	Entries  []Entry    `cbor:"3,keyasint,omitempty"`
	Snapshot *Snapshot  `cbor:"4,keyasint,omitempty"`
}

// MessageKind tells what a message between replicas asks or answers.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend // Also the heartbeat, when Entries is empty.
	MsgAppendReply
	MsgSnapshot
	MsgFollow     // An observer asks the leader to send it the log.
	MsgTimeoutNow // The leader asks a voter to start an election at once.
)

// Message travels between two replicas of one group. Any message may be lost, late, repeated or reordered.
type Message struct {
	Group    GroupID     `cbor:"1,keyasint"`
	Kind     MessageKind `cbor:"2,keyasint"`
	From     Member      `cbor:"3,keyasint"`
	To       string      `cbor:"4,keyasint"` // Host.
	Term     uint64      `cbor:"5,keyasint,omitempty"`
	Index    uint64      `cbor:"6,keyasint,omitempty"` // Previous index, last log index, or match index of a reply.
	LogTerm  uint64      `cbor:"7,keyasint,omitempty"`
	Commit   uint64      `cbor:"8,keyasint,omitempty"`
	Round    uint64      `cbor:"9,keyasint,omitempty"` // Heartbeat round, returned by the reply; renews the lease.
	Reject   bool        `cbor:"10,keyasint,omitempty"`
	Entries  []Entry     `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot   `cbor:"12,keyasint,omitempty"`
	Transfer bool        `cbor:"13,keyasint,omitempty"` // A vote asked for by the leader itself skips the stickiness check.
}

// Role of a replica.
type Role uint8

// Roles.
const (
	Observer Role = iota // Follows the log, does not vote.
	Follower
	Candidate
	Leader
)

// Timing holds the durations of one group.
type Timing struct {
	Heartbeat   time.Duration // Period of heartbeat rounds.
	Lease       time.Duration // Leader lease, from the send time of a round that a quorum answered.
	ElectionMin time.Duration // Also the time for which a voter that heard from a leader grants no vote.
	ElectionMax time.Duration
}

// DefaultTiming keeps Lease well under ElectionMin, so that an old leader's lease is over before a new one is elected.
var DefaultTiming = Timing{
	Heartbeat:   100 * time.Millisecond,
	Lease:       600 * time.Millisecond,
	ElectionMin: time.Second,
	ElectionMax: 2 * time.Second,
}

// FoundingIncarnation is the incarnation of a host whose data folder was initialized by the operator before the first
// start of the deployment. All other incarnations are random.
const FoundingIncarnation = 1

// Options configure one replica.
type Options struct {
	Group GroupID
	Self  Member
	// Desired lists the hosts that should vote, from the settings; their incarnations are not set. The leader brings
	// the configuration towards it, one change at a time: it adds a desired host once an observer of that host has
	// caught up, after it removed an older incarnation of the same host.
	Desired []Member
	// Founding is the configuration of a new group: the desired hosts with a disk, with FoundingIncarnation. A replica
	// starts from it if its own incarnation is the founding one and nothing was restored. Every other replica
	// without restored state starts as an observer.
	Founding Config
	Contacts []string // Hosts to ask for the log as an observer.
	Timing   Timing
	// SnapshotEntries is how many applied entries pile up before NeedsSnapshot reports true.
	SnapshotEntries int
	Random          func(n int64) int64 // Uniform in [0, n).
}

// Restored is what the disk held for one group.
type Restored struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
}

// Output is what a replica produced since the last Take. Messages must not be sent before Records are synced.
type Output struct {
	Messages  []Message
	Records   []Record
	Snapshot  *Snapshot // A snapshot received from the leader: the state machine must load it before Committed.
	Committed []Entry   // To apply in order.
	// Mark is to be passed to Synced once Records are synced. It is 0 without records.
	Mark uint64
}

// Status is a view for dumps, metrics and routing.
type Status struct {
	Group      GroupID
	Role       Role
	Term       uint64
	Leader     string // Host, empty when unknown.
	LastIndex  uint64
	Commit     uint64
	FirstIndex uint64
	Config     Config
	Match      map[string]uint64 // Leader only: match index by host, observers included.
}
