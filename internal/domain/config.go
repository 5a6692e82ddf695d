package domain

// Queue is a route of the configuration: where callers submit jobs, and how these are treated.
type Queue struct {
	Name        string  `cbor:"1,keyasint"`
	Host        string  `cbor:"2,keyasint"`
	PathPrefix  string  `cbor:"3,keyasint"`
	Pool        string  `cbor:"4,keyasint"`
	Priority    int     `cbor:"5,keyasint,omitempty"`
	MaxAttempts int     `cbor:"6,keyasint,omitempty"`
	Stretch     float64 `cbor:"7,keyasint,omitempty"`
	TargetMS    int64   `cbor:"8,keyasint,omitempty"`
	TimeoutMS   int64   `cbor:"9,keyasint,omitempty"`
	Public      bool    `cbor:"10,keyasint,omitempty"` // Calls need no key.
	Advice      *Advice `cbor:"11,keyasint,omitempty"` // Set if a policy says which workers may run a step.
}

// Advice tells how long the service answers that knows the policy of a queue, in milliseconds.
type Advice struct {
	DecideMS int64 `cbor:"1,keyasint,omitempty"` // Of each call.
	EachMS   int64 `cbor:"2,keyasint,omitempty"` // Besides, of each worker in a call.
	ValidMS  int64 `cbor:"3,keyasint,omitempty"` // How long a ticket is good for.
}

// Pool is a service of the configuration.
type Pool struct {
	Name             string `cbor:"1,keyasint"`
	EnforcesCapacity bool   `cbor:"2,keyasint,omitempty"`
	HealthPath       string `cbor:"3,keyasint,omitempty"`
}

// Workspace is a tenant's part of the configuration.
type Workspace struct {
	Name                   string   `cbor:"1,keyasint"`
	Keys                   []string `cbor:"2,keyasint,omitempty"`
	GuaranteedAccelerators int64    `cbor:"3,keyasint,omitempty"`
}

// Config is a whole configuration. The highest version is in force.
type Config struct {
	Version    int64       `cbor:"1,keyasint"`
	Queues     []Queue     `cbor:"2,keyasint,omitempty"`
	Pools      []Pool      `cbor:"3,keyasint,omitempty"`
	Workspaces []Workspace `cbor:"4,keyasint,omitempty"`
	Document   []byte      `cbor:"5,keyasint"` // As the operator sent it, for reads.
}

// configIndex answers lookups in a configuration.
type configIndex struct {
	byKey  map[string]string  // Workspace by key.
	byHost map[string][]Queue // Queues by host, longest prefix first.
	queues map[string]Queue   // By name.
	pools  map[string]Pool
	spaces map[string]Workspace
}
