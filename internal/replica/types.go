// Package replica implements a replicated log with the Raft algorithm, as a core that does no I/O.
//
// The caller passes in messages, ticks and completed writes, and takes out messages to send, records to sync and
// committed entries. Times are readings of the host's monotonic clock. See docs/design.md section 3.1. Pre-vote, leader
// leases and membership changes by one voter at a time are described in D. Ongaro, "Consensus: Bridging Theory and
// Practice", 2014.
package replica

import "time"

// GroupID names a replicated log, for example "deployment" or "cell/lj-1".
type GroupID string

// Member is one incarnation of a host. A host that starts without its earlier state gets a new incarnation. Two members
// with the same host and different incarnations are different voters, because the later one does not hold the entries
// that the earlier one acknowledged.
type Member struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Disk marks a host that keeps its state on a disk. A host without one gets a new incarnation at each start.
	Disk bool `cbor:"3,keyasint,omitempty"`
	// Witness marks a voter outside the group's own availability zone. A witness that becomes leader transfers
	// leadership to a voter inside the zone, a local voter.
	Witness bool `cbor:"4,keyasint,omitempty"`
	// Zone is the availability zone of the host, empty where it is not known. It is not part of the identity.
	Zone string `cbor:"5,keyasint,omitempty"`
}

// Config is the set of voters of a group.
type Config struct {
	Voters []Member `cbor:"1,keyasint"`
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota // Data is a command of the state machine.
	EntryConfig                   // Data is a Config, encoded as CBOR.
	EntryNoop                     // No data. Each new leader commits one before it acts as leader.
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Snapshot replaces all entries up to Index. Data is the state of the state machine at Index, and Config the
// configuration in force there.
type Snapshot struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Config Config `cbor:"3,keyasint"`
	Data   []byte `cbor:"4,keyasint"`
}

// HardState is the current term and the vote given in it. It must be synced before any message that depends on it is
// sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote Member `cbor:"2,keyasint"`
}

// Record is one write of a group. A nil field is not part of the write. Entries replace all stored entries from
// Entries[0].Index on. A Snapshot replaces all entries up to its index and keeps those after it; see Restored.Apply.
type Record struct {
	Group     GroupID    `cbor:"1,keyasint"`
	HardState *HardState `cbor:"2,keyasint,omitempty"`
	Entries   []Entry    `cbor:"3,keyasint,omitempty"`
	Snapshot  *Snapshot  `cbor:"4,keyasint,omitempty"`
}

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend      // Entries of the log; a heartbeat if there are none.
	MsgAppendReply // Answers MsgAppend and MsgSnapshot.
	MsgSnapshot
	MsgFollow     // An observer asks the leader to send it the log.
	MsgTimeoutNow // The leader asks a voter to start an election at once, to transfer leadership to it.
)

// Message is a message between two replicas of one group. Any message may be lost, delayed, duplicated or reordered.
// Replies that name a recent heartbeat round renew the leader's lease.
type Message struct {
	Group    GroupID     `cbor:"1,keyasint"`
	Kind     MessageKind `cbor:"2,keyasint"`
	From     Member      `cbor:"3,keyasint"`
	To       string      `cbor:"4,keyasint"` // Host.
	Term     uint64      `cbor:"5,keyasint,omitempty"`
	Index    uint64      `cbor:"6,keyasint,omitempty"`  // Previous index, last log index, or match index of a reply.
	LogTerm  uint64      `cbor:"7,keyasint,omitempty"`  // Term of the entry at Index, in requests.
	Commit   uint64      `cbor:"8,keyasint,omitempty"`  // Commit index of the leader.
	Round    uint64      `cbor:"9,keyasint,omitempty"`  // Heartbeat round or nonce of a vote request. A reply returns it.
	Reject   bool        `cbor:"10,keyasint,omitempty"` // The reply refuses the request.
	Entries  []Entry     `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot   `cbor:"12,keyasint,omitempty"`
	Transfer bool        `cbor:"13,keyasint,omitempty"` // Vote request after MsgTimeoutNow; ignores the leader's lease.
}

// Role is the role of a replica.
type Role uint8

// Roles.
const (
	Observer Role = iota // Receives the log and does not vote.
	Follower
	Candidate
	Leader
)

// Timing holds the durations of one group.
type Timing struct {
	Heartbeat   time.Duration // Period of heartbeat rounds.
	Lease       time.Duration // Duration of the leader lease, from the start of a round that a quorum answered.
	ElectionMin time.Duration // Shortest election timeout, and how long a voter grants no vote after it heard a leader.
	ElectionMax time.Duration // Upper bound of the election timeout.
}

// DefaultTiming keeps Lease well under ElectionMin, so that the lease of the old leader has ended before a new leader
// is elected.
var DefaultTiming = Timing{
	Heartbeat:   100 * time.Millisecond,
	Lease:       600 * time.Millisecond,
	ElectionMin: time.Second,
	ElectionMax: 2 * time.Second,
}

// FoundingIncarnation is the incarnation of a host whose data folder was initialized by the operator before the first
// start of the deployment. All other incarnations are random numbers.
const FoundingIncarnation = 1

// Options configure one replica.
type Options struct {
	Group GroupID
	Self  Member
	// DesiredVoters lists the hosts that should be voters; their incarnations are not set. The leader changes the
	// configuration towards this list, one voter at a time: it adds a desired host once an observer on that host has
	// caught up, after it has removed an older incarnation of the same host.
	DesiredVoters []Member
	// Founding is the configuration of a new group: the desired hosts with a disk, with FoundingIncarnation. A replica
	// starts from it if its own incarnation is the founding one and nothing was restored. Every other replica
	// without restored state starts as an observer.
	Founding Config
	Contacts []string // Hosts that are asked for the log when no leader was heard recently.
	Timing   Timing
	// SnapshotEntries is the number of entries applied since the last snapshot from which on NeedsSnapshot reports
	// true. 0 means never.
	SnapshotEntries int
	// SnapshotBytes is the same for the size of these entries. 0 means that their size does not matter.
	SnapshotBytes int
	Random        func(n int64) int64 // Returns a random number, uniform in [0, n).
}

// Restored is the state of one group as read from the disk.
type Restored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// Output is the output of a replica since the last Take. Messages must not be sent before Records are synced.
type Output struct {
	Messages  []Message
	Records   []Record
	Snapshot  *Snapshot // From the leader or the disk: the state machine must load it before it applies Committed.
	Committed []Entry   // Entries for the state machine to apply, in order.
	// Mark numbers the write of Records. The caller passes it to Synced once they are synced. It is 0 without records.
	Mark uint64
}

// Status is the state of a replica for dumps, metrics and routing.
type Status struct {
	Group      GroupID
	Role       Role
	Term       uint64
	Leader     string // Host, empty when unknown.
	LastIndex  uint64
	Commit     uint64
	FirstIndex uint64            // First index whose entry is in memory.
	Config     Config            // Newest configuration, committed or not.
	Match      map[string]uint64 // Only on the leader: match index by host, observers included.
}
