package api

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	jsonType = "application/json"
	yamlType = "application/yaml"
)

// get sends a GET request and decodes the reply.
func get[T any](ctx context.Context, c *Client, path string, wait time.Duration) (*T, error) {
	out := new(T)
	err := c.do(ctx, apiCall{method: http.MethodGet, path: path + waitParameter(wait), resendPolicy: resendAlways, wait: wait}, out)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Submit submits a job and waits for it to end, for at most the given time, which may be up to a minute. The Answer of
// the returned job is set if the job has ended.
func (c *Client) Submit(ctx context.Context, job JobRequest, wait time.Duration) (*Job, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, err
	}
	call := apiCall{method: http.MethodPost, path: "/v1/jobs" + waitParameter(wait), contentType: jsonType, body: body, wait: wait,
		reportsNotRun: true}
	if job.IdempotencyKey != "" {
		call.resendPolicy = resendAlways
	}
	call.noEarlierCall = job.IdempotencyKey == ""
	out := new(Job)
	if err := c.do(ctx, call, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Job returns a job after waiting for it to end, for at most the given time, which may be up to a minute.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (*Job, error) {
	return get[Job](ctx, c, jobPath(id, ""), wait)
}

func jobPath(id, suffix string) string { return "/v1/jobs/" + url.PathEscape(id) + suffix }

// Jobs lists the jobs of the token's workspace.
func (c *Client) Jobs(ctx context.Context) (*JobList, error) {
	return get[JobList](ctx, c, "/v1/jobs", 0)
}

// Cancel requests the cancellation of a job. Repeating it has no further effect.
func (c *Client) Cancel(ctx context.Context, id string) (*Job, error) {
	out := new(Job)
	if err := c.do(ctx, apiCall{method: http.MethodPost, path: jobPath(id, "/cancel"), resendPolicy: resendAlways}, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Why explains what a job waits for.
func (c *Client) Why(ctx context.Context, id string) (*Why, error) {
	return get[Why](ctx, c, jobPath(id, "/why"), 0)
}

// Command holds the parameters of an operator command.
type Command struct {
	// ID identifies the command: sending a command with the same ID again returns the result of the first one. If it is
	// empty, the client generates a random one.
	ID string
	// Expected is the revision that the operator last saw. The command is refused with CodeConflict if the current revision
	// is another one; nil accepts any.
	Expected *uint64
	// DryRun checks a change of a contract and returns its effects without making it; only for contracts.
	DryRun bool
}

// NewCommandID generates a random command identifier.
func NewCommandID() string { return rand.Text() }

// header returns the headers of the command. A missing identifier is generated here, so that all tries of the command
// have the same one.
func (m Command) header() http.Header {
	id := m.ID
	if id == "" {
		id = NewCommandID()
	}
	h := http.Header{}
	h.Set(HeaderCommandID, id)
	if m.Expected != nil {
		h.Set(HeaderExpectedRevision, strconv.FormatUint(*m.Expected, 10))
	}
	return h
}

func (m Command) query() string {
	if m.DryRun {
		return "?dry_run=true"
	}
	return ""
}

// sendCommand sends an operator command.
func sendCommand[T any](ctx context.Context, c *Client, command Command, call apiCall) (*T, error) {
	call.header, call.resendPolicy, call.reportsNotRun, call.noEarlierCall = command.header(), resendAlways, true, command.ID == ""
	out := new(T)
	if err := c.do(ctx, call, out); err != nil {
		return nil, err
	}
	return out, nil
}

func contractPath(workspace string) string { return "/v1/admin/contracts/" + url.PathEscape(workspace) }

// ApplyContract creates or replaces the contract of a workspace. The contract is given as YAML.
func (c *Client) ApplyContract(ctx context.Context, workspace string, yaml []byte, command Command) (*ContractResult, error) {
	return sendCommand[ContractResult](ctx, c, command, apiCall{method: http.MethodPut, path: contractPath(workspace) + command.query(),
		contentType: yamlType, body: yaml})
}

// DeleteContract deletes a workspace's contract.
func (c *Client) DeleteContract(ctx context.Context, workspace string, command Command) (*ContractResult, error) {
	return sendCommand[ContractResult](ctx, c, command, apiCall{method: http.MethodDelete, path: contractPath(workspace) + command.query()})
}

// Contract returns a workspace's contract.
func (c *Client) Contract(ctx context.Context, workspace string) (*Contract, error) {
	return get[Contract](ctx, c, contractPath(workspace), 0)
}

// Contracts lists all contracts.
func (c *Client) Contracts(ctx context.Context) (*ContractList, error) {
	return get[ContractList](ctx, c, "/v1/admin/contracts", 0)
}

// ZoneOut takes an availability zone out of service. The State of the result is ZonePendingOut as long as the zone has not
// confirmed the change. Only the state ZoneOut guarantees that no task starts in the zone any more.
func (c *Client) ZoneOut(ctx context.Context, zone string, command Command) (*ZoneStatus, error) {
	return sendCommand[ZoneStatus](ctx, c, command, apiCall{method: http.MethodPost, path: "/v1/admin/zones/" + url.PathEscape(zone) + "/out"})
}

// ZoneIn brings an availability zone back into service.
func (c *Client) ZoneIn(ctx context.Context, zone string, command Command) (*ZoneStatus, error) {
	return sendCommand[ZoneStatus](ctx, c, command, apiCall{method: http.MethodPost, path: "/v1/admin/zones/" + url.PathEscape(zone) + "/in"})
}

// Zones lists the availability zones.
func (c *Client) Zones(ctx context.Context) (*ZoneList, error) {
	return get[ZoneList](ctx, c, "/v1/admin/zones", 0)
}

// Hosts lists the hosts.
func (c *Client) Hosts(ctx context.Context) (*HostList, error) {
	return get[HostList](ctx, c, "/v1/admin/hosts", 0)
}

// Drain starts the planned stop of a host.
func (c *Client) Drain(ctx context.Context, host string, command Command) (*Host, error) {
	return sendCommand[Host](ctx, c, command, apiCall{method: http.MethodPost, path: "/v1/admin/hosts/" + url.PathEscape(host) + "/drain"})
}

// Workers lists the workers.
func (c *Client) Workers(ctx context.Context) (*WorkerList, error) {
	return get[WorkerList](ctx, c, "/v1/admin/workers", 0)
}

// Revisions returns the revision of the deployment and the one that is in force in each zone.
func (c *Client) Revisions(ctx context.Context) (*Revisions, error) {
	return get[Revisions](ctx, c, "/v1/admin/revisions", 0)
}

// AllJobs lists the jobs of all workspaces, for operators.
func (c *Client) AllJobs(ctx context.Context) (*JobList, error) {
	return get[JobList](ctx, c, "/v1/admin/jobs", 0)
}

// Dump returns the internal state of the host that answers, as JSON without a fixed schema, for operators.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	out, err := get[json.RawMessage](ctx, c, "/v1/admin/dump", 0)
	if err != nil {
		return nil, err
	}
	return *out, nil
}

// Ready asks the server with the given base URL whether it accepts new requests. It returns nil if it does, and otherwise
// an error.
func (c *Client) Ready(ctx context.Context, server string) error {
	out := c.try(ctx, server, apiCall{method: http.MethodGet, path: "/readyz"}, nil)
	if out.err != nil {
		return out.err
	}
	return nil
}
