package domain

// Queue is a route of the configuration: the host and path prefix under which callers submit jobs, and the scheduling
// parameters of these jobs.
type Queue struct {
	Name               string  `cbor:"1,keyasint"`
	Host               string  `cbor:"2,keyasint"`
	PathPrefix         string  `cbor:"3,keyasint"`
	Pool               string  `cbor:"4,keyasint"`
	Priority           int     `cbor:"5,keyasint,omitempty"`
	MaxAttempts        int     `cbor:"6,keyasint,omitempty"`
	Stretch            float64 `cbor:"7,keyasint,omitempty"`
	CompletionTargetMS int64   `cbor:"8,keyasint,omitempty"`
	TimeoutMS          int64   `cbor:"9,keyasint,omitempty"`
	Public             bool    `cbor:"10,keyasint,omitempty"` // Calls need no API key.
	// Advice is set if an outside service decides which workers may run a step.
	Advice *Advice `cbor:"11,keyasint,omitempty"`
}

// Advice holds the response times, in milliseconds, of the service that decides which workers may run the steps of a
// queue's jobs.
type Advice struct {
	CallMS        int64 `cbor:"1,keyasint,omitempty"` // Fixed time of each call.
	PerWorkerMS   int64 `cbor:"2,keyasint,omitempty"` // Additional time for each worker named in a call.
	TicketValidMS int64 `cbor:"3,keyasint,omitempty"` // How long a ticket, which permits starts on one worker, is valid.
}

// Pool is a service of the configuration. Its workers run the tasks of the queues that name it.
type Pool struct {
	Name             string `cbor:"1,keyasint"`
	EnforcesCapacity bool   `cbor:"2,keyasint,omitempty"`
	HealthPath       string `cbor:"3,keyasint,omitempty"`
}

// Workspace holds the API keys, the guarantee and the quota of one workspace.
type Workspace struct {
	Name                   string   `cbor:"1,keyasint"`
	Keys                   []string `cbor:"2,keyasint,omitempty"`
	GuaranteedAccelerators int64    `cbor:"3,keyasint,omitempty"`
	// Weight is the share of the workspace when not all work fits; 0 if it has none, and then counts as 1.
	Weight float64 `cbor:"4,keyasint,omitempty"`
	// Max is what the workspace may have running across all workers. 0 stands for no limit.
	Max Resources `cbor:"5,keyasint,omitempty"`
}

// Config is a complete configuration. The one with the highest version is in force.
type Config struct {
	Version    int64       `cbor:"1,keyasint"`
	Queues     []Queue     `cbor:"2,keyasint,omitempty"`
	Pools      []Pool      `cbor:"3,keyasint,omitempty"`
	Workspaces []Workspace `cbor:"4,keyasint,omitempty"`
	Document   []byte      `cbor:"5,keyasint"` // As the operator sent it; returned to reads.
}

// configIndex holds the lookup tables of a configuration.
type configIndex struct {
	byKey      map[string]string  // Names of workspaces by API key.
	byHost     map[string][]Queue // Queues by host, longest prefix first.
	queues     map[string]Queue   // By name.
	pools      map[string]Pool
	workspaces map[string]Workspace
}
