// Package deployment implements the replicated state of the whole deployment: contracts, operator commands that are
// pending for unreachable zones (intents), and claims of idempotency keys. Every host applies the deployment log; its
// leader validates contract changes before it proposes them.
package deployment

import (
	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/contract"
)

// Command is the data of one entry of the deployment log. Exactly one field is set.
type Command struct {
	Apply        *Apply        `cbor:"1,keyasint,omitempty"`
	Delete       *Delete       `cbor:"2,keyasint,omitempty"`
	Intent       *Intent       `cbor:"3,keyasint,omitempty"`
	RemoveIntent *RemoveIntent `cbor:"4,keyasint,omitempty"`
	Claim        *Claim        `cbor:"5,keyasint,omitempty"`
	CloseClaim   *CloseClaim   `cbor:"6,keyasint,omitempty"`
}

// Apply adds or replaces a contract. ExpectedRevision, if set, must be the revision of the contract's last change, or 0
// if the contract must not exist.
type Apply struct {
	CommandID        string  `cbor:"1,keyasint"`
	Workspace        string  `cbor:"2,keyasint"`
	ExpectedRevision *uint64 `cbor:"3,keyasint,omitempty"`
	YAML             []byte  `cbor:"4,keyasint"`
	File             string  `cbor:"5,keyasint,omitempty"`
}

// Delete removes a contract.
type Delete struct {
	CommandID        string  `cbor:"1,keyasint"`
	Workspace        string  `cbor:"2,keyasint"`
	ExpectedRevision *uint64 `cbor:"3,keyasint,omitempty"`
}

// Intent records an operator command that takes a zone out of service or back in and that is still to be delivered,
// because the zone could not be reached. A later intent for the same zone replaces an earlier one.
type Intent struct {
	CommandID        string  `cbor:"1,keyasint"`
	Zone             string  `cbor:"2,keyasint"`
	ExpectedRevision *uint64 `cbor:"3,keyasint,omitempty"`
	Out              bool    `cbor:"4,keyasint,omitempty"`
}

// RemoveIntent removes a pending intent once the zone has accepted or refused it.
type RemoveIntent struct {
	Zone      string `cbor:"1,keyasint"`
	CommandID string `cbor:"2,keyasint"`
}

// Claim binds the idempotency key of a no-repeat request to one job in one zone. The first claim of a key wins.
// ReplacesJob, if set, names the job of the current claim, which its zone has durably refused, so that another job may
// take its place.
type Claim struct {
	Workspace   string `cbor:"1,keyasint"`
	Key         string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Job         string `cbor:"4,keyasint"`
	Digest      string `cbor:"5,keyasint"` // Digest of the request, to detect a key that is used for another request.
	ReplacesJob string `cbor:"6,keyasint,omitempty"`
	// Refusal is the final refusal of the job. Once it is set, no other job may take the job's place.
	Refusal *api.Error `cbor:"7,keyasint,omitempty"`
}

// CloseClaim makes the refusal of a claim's job final, after the job's zone has durably refused it. Only after that may
// the refusal of a no-repeat request say that nothing ran: until then an earlier call with the key could still move the
// claim to another job.
type CloseClaim struct {
	Workspace string     `cbor:"1,keyasint"`
	Key       string     `cbor:"2,keyasint"`
	Job       string     `cbor:"3,keyasint"`
	Refusal   *api.Error `cbor:"4,keyasint"`
}

// Request is a request to the leader of the deployment log. Exactly one field besides DryRun is set. All requests are
// safe to retry.
type Request struct {
	Apply        *Apply        `cbor:"1,keyasint,omitempty"`
	Delete       *Delete       `cbor:"2,keyasint,omitempty"`
	Intent       *Intent       `cbor:"3,keyasint,omitempty"`
	RemoveIntent *RemoveIntent `cbor:"4,keyasint,omitempty"`
	Claim        *Claim        `cbor:"5,keyasint,omitempty"`
	List         *ListRequest  `cbor:"6,keyasint,omitempty"`
	CloseClaim   *CloseClaim   `cbor:"8,keyasint,omitempty"`
	DryRun       bool          `cbor:"7,keyasint,omitempty"` // With Apply and Delete: only report the effects.
}

// ListRequest asks for all contracts, or for that of one workspace.
type ListRequest struct {
	Workspace string `cbor:"1,keyasint,omitempty"`
}

// Response is the response to a Request. With Error, no other field but Repeated is set.
type Response struct {
	Error    *api.Error          `cbor:"1,keyasint,omitempty"`
	Contract *api.ContractResult `cbor:"2,keyasint,omitempty"`
	List     *api.ContractList   `cbor:"3,keyasint,omitempty"`
	Claim    *Claim              `cbor:"4,keyasint,omitempty"` // The claim in force for the key.
	Repeated bool                `cbor:"5,keyasint,omitempty"`
}

// Limits of the replicated state.
const (
	// MaxResults bounds the results of operator commands that are kept; the oldest are dropped.
	MaxResults = 1000
	// MaxClaims bounds the claims that are kept; the oldest are dropped. A retry whose claim was dropped may run again.
	MaxClaims = 100_000
)

// contractEntry is a contract as held by the state machine.
type contractEntry struct {
	Revision uint64 `cbor:"1,keyasint"`
	YAML     []byte `cbor:"2,keyasint"`
	File     string `cbor:"3,keyasint,omitempty"`

	parsed *contract.Contract
}

// commandResult is the stored result of an operator command.
type commandResult struct {
	Command  string              `cbor:"1,keyasint"`
	Error    *api.Error          `cbor:"2,keyasint,omitempty"`
	Contract *api.ContractResult `cbor:"3,keyasint,omitempty"`
}

// snapshot is the CBOR form of the whole state.
type snapshot struct {
	Revision  uint64                    `cbor:"1,keyasint"`
	Contracts map[string]*contractEntry `cbor:"2,keyasint,omitempty"`
	Intents   map[string]Intent         `cbor:"3,keyasint,omitempty"`
	Claims    []Claim                   `cbor:"4,keyasint,omitempty"` // Oldest first.
	Results   []commandResult           `cbor:"5,keyasint,omitempty"` // Oldest first.
}
