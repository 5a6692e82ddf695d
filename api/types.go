// Package api declares the JSON bodies of mustardwalk's HTTP interfaces and a client for them.
//
// The unit of a duration is part of its field name. Job identifiers and the names of workspaces and zones are plain
// strings.
package api

// JobRequest is a request to run a job. The caller's token determines the workspace.
type JobRequest struct {
	// IdempotencyKey lets a caller send a request again safely. It is scoped to the workspace and has at most 128 bytes.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// NoRepeat marks a job that must run at most once. It requires an idempotency key.
	NoRepeat bool `json:"no_repeat,omitempty"`
	// Class is "urgent", "standard" (default) or "bulk".
	Class string `json:"class,omitempty"`
	// Gang is the number of members that run together; default 1.
	Gang int `json:"gang,omitempty"`
	// Accelerators is the number of accelerators of each member; default 1.
	Accelerators int `json:"accelerators,omitempty"`
	// Adjacency is what all members must share: "zone" (default), "rack" or "worker".
	Adjacency string `json:"adjacency,omitempty"`
	// Zone restricts the job to one availability zone; empty for any zone.
	Zone string `json:"zone,omitempty"`
	// DeadlineSeconds is the time from the acceptance of the job within which it must start; 0 for no deadline. A job that
	// has not started by then ends with the outcome "expired".
	DeadlineSeconds float64 `json:"deadline_seconds,omitempty"`
	// DeclaredSeconds is the expected run time; only a hint.
	DeclaredSeconds float64 `json:"declared_seconds,omitempty"`
	// Body is passed to the endpoint; at most 256 KiB.
	Body []byte `json:"body,omitempty"`
}

// States of a job.
const (
	StateQueued  = "queued"
	StatePlaced  = "placed"
	StateRunning = "running"
	StateEnded   = "ended"
)

// Job describes a job to its caller and to operators.
type Job struct {
	ID        string   `json:"id"`
	Workspace string   `json:"workspace"`
	Zone      string   `json:"zone"` // Zone that holds the job now; it changes when the job is handed over.
	State     string   `json:"state"`
	Class     string   `json:"class"`
	Gang      int      `json:"gang"`
	Accels    int      `json:"accelerators"`
	Adjacency string   `json:"adjacency"`
	NoRepeat  bool     `json:"no_repeat,omitempty"`
	Key       string   `json:"idempotency_key,omitempty"`
	Attempts  int      `json:"attempts"`
	Workers   []string `json:"workers,omitempty"` // Workers of the current attempt.
	Answer    *Answer  `json:"answer,omitempty"`  // Set once the job has ended.
}

// Answer is the final answer of a job.
type Answer struct {
	Outcome  string `json:"outcome"` // "succeeded", "failed", "cancelled", "expired" or "unknown".
	Message  string `json:"message,omitempty"`
	Body     []byte `json:"body,omitempty"`
	Length   int    `json:"length"`              // Length of the whole body, in bytes.
	SHA256   string `json:"sha256,omitempty"`    // SHA-256 digest of the whole body, in hex.
	NeverRan bool   `json:"never_ran,omitempty"` // No attempt of the job ever started.
}

// JobList is a list of jobs. The bodies of their answers are left out.
type JobList struct {
	Jobs []Job `json:"jobs"`
	// Unreachable lists the zones whose jobs could not be read; these jobs are missing from Jobs.
	Unreachable []string `json:"unreachable,omitempty"`
}

// Why explains what a job waits for.
type Why struct {
	Job    string `json:"job"`
	Reason string `json:"reason"`
}

// NotRun tells whether a refused or failed submission or command is known not to have run.
type NotRun string

// Values of NotRun.
const (
	NotRunTrue    NotRun = "true"    // No attempt ever started or will start for this call or an earlier one with its key.
	NotRunFalse   NotRun = "false"   // It ran, or is running.
	NotRunUnknown NotRun = "unknown" // It may have run or may still run.
)

// Codes of errors. A refused submission may also have another code, which the scheduler gives.
const (
	CodeUnauthorized   = "unauthorized"
	CodeNotFound       = "not_found"
	CodeInvalid        = "invalid"
	CodeTooLarge       = "too_large"
	CodeConflict       = "conflict"    // The expected revision is not the current one.
	CodeUnavailable    = "unavailable" // No leader was reached in time.
	CodeStopping       = "stopping"    // The host is stopping; use another host.
	CodeOverloaded     = "overloaded"
	CodeKeyReused      = "key_reused" // The key was used with a different request.
	CodeQueueFull      = "queue_full"
	CodeRateLimited    = "rate_limited"
	CodeNeverFits      = "never_fits"
	CodeNoWorkers      = "no_workers"
	CodeZoneOut        = "zone_out"
	CodeClassForbidden = "class_not_allowed"
	CodeUnknownSpace   = "unknown_workspace"
)

// Finding is one problem in an input, with its location.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error describes a failed request. It is in the body of every error response, under the key "error".
type Error struct {
	Status            int       `json:"-" cbor:"status,omitempty"` // HTTP status.
	Code              string    `json:"code"`
	Message           string    `json:"message"`
	NotRun            NotRun    `json:"not_run,omitempty"` // Only set for submissions and commands.
	RetryAfterSeconds float64   `json:"retry_after_seconds,omitempty"`
	Findings          []Finding `json:"findings,omitempty"`
	// Revision is the current revision if Code is CodeConflict.
	Revision uint64 `json:"revision,omitempty"`
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// Headers of operator commands.
const (
	// HeaderCommandID holds the identifier of a command. Sending a command with the same identifier again returns the
	// result of the first one.
	HeaderCommandID = "X-Command-Id"
	// HeaderExpectedRevision holds the revision that the operator last saw. Without it, any current revision is accepted.
	HeaderExpectedRevision = "X-Expected-Revision"
)

// ContractResult is the reply to applying or deleting a contract, or to a dry run of either.
type ContractResult struct {
	Workspace string   `json:"workspace"`
	Revision  uint64   `json:"revision"` // Deployment revision of the change; 0 for a dry run.
	Accepted  bool     `json:"accepted"`
	Repeated  bool     `json:"repeated,omitempty"` // The command had been executed before.
	Effects   []string `json:"effects,omitempty"`  // What changes, one sentence per change.
}

// Contract is a contract as stored.
type Contract struct {
	Workspace string `json:"workspace"`
	Revision  uint64 `json:"revision"` // Deployment revision of its last change.
	YAML      string `json:"yaml"`
}

// ContractList is a list of contracts.
type ContractList struct {
	Revision  uint64     `json:"revision"` // Revision of the deployment.
	Contracts []Contract `json:"contracts"`
}

// States of a zone.
const (
	ZoneIn         = "in"
	ZoneOut        = "out"
	ZonePendingOut = "pending_out" // The change is recorded, but the zone has not confirmed it yet.
	ZonePendingIn  = "pending_in"  // The same as ZonePendingOut, for a change back to ZoneIn.
	ZoneUnknown    = "unknown"     // The zone cannot be reached, and no change is pending.
)

// ZoneStatus describes one availability zone.
type ZoneStatus struct {
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`           // Revision of the zone's service state (in or out of service).
	Repeated bool   `json:"repeated,omitempty"` // The command had been executed before.
	// AdoptedRevision is the deployment revision that is in force in the zone.
	AdoptedRevision uint64   `json:"adopted_revision"`
	Leader          string   `json:"leader,omitempty"`
	Isolated        bool     `json:"isolated,omitempty"` // Without contact to the leader of the deployment.
	Workers         int      `json:"workers"`
	Accelerators    int      `json:"accelerators"`
	Free            int      `json:"free_accelerators"`
	Queued          int      `json:"queued"`
	Running         int      `json:"running"`               // Number of live attempts.
	Unconfirmed     []string `json:"unconfirmed,omitempty"` // Zones that have not confirmed the state.
	// NoHome lists the guarantees, as "workspace: shape", that have no place while the zone is out of service.
	NoHome []string `json:"guarantees_without_home,omitempty"`
}

// ZoneList is a list of zones.
type ZoneList struct {
	Zones []ZoneStatus `json:"zones"`
}

// Host describes one host of the deployment.
type Host struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Disk        bool   `json:"disk"`
	Connected   bool   `json:"connected"` // The host that answers has heard from this host recently.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Leads lists the replication groups that the host leads.
	Leads    []string `json:"leads,omitempty"`
	Stopping bool     `json:"stopping,omitempty"`
}

// HostList is a list of hosts.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// Worker describes one worker and its endpoint.
type Worker struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Address      string `json:"address"`
	Accelerators int    `json:"accelerators"`
	Free         int    `json:"free_accelerators"`
	State        string `json:"state"` // "ready", "lost", "leaving" or "quarantined".
}

// WorkerList is a list of workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
	// Unreachable lists the zones whose workers could not be read; these workers are missing from Workers.
	Unreachable []string `json:"unreachable,omitempty"`
}

// Revisions holds the revision of the deployment and the one that is in force in each zone (0 if it is not known).
type Revisions struct {
	Deployment uint64            `json:"deployment"`
	Zones      map[string]uint64 `json:"zones"`
}
