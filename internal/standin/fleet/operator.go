package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// callTimeout is how long the operator waits for one host.
const callTimeout = time.Second

// Operator sends requests to the control addresses until one of the hosts acknowledges them.
type Operator struct {
	ControlAddresses []string
	client           http.Client
}

// Send repeats a request until a host accepts it, refuses it with a status that makes a retry useless, or ctx ends. It
// returns the last status, 0 for no answer.
func (o *Operator) Send(ctx context.Context, method, path string, body []byte) int {
	status := 0
	for i := 0; ctx.Err() == nil; i++ {
		status, _ = o.Once(ctx, i, method, path, body)
		if status != 0 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return status
}

// Once sends one request to the host at an index of ControlAddresses, modulo their number, without a retry.
func (o *Operator) Once(ctx context.Context, host int, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, &o.client, method, "http://"+o.ControlAddresses[host%len(o.ControlAddresses)]+path, body, nil)
}

// QueueRoute is a route of a configuration.
type QueueRoute struct {
	Prefix   string
	Priority int
	Attempts int
}

// ConfigBody builds a configuration with one service, one host name, one tenant and its keys.
func ConfigBody(version int64, host, service string, queues []QueueRoute, keys ...string) []byte {
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": "r" + q.Prefix, "host": host, "path_prefix": q.Prefix, "type": "non_idempotent", "timeout_ms": 3000,
			"target_completion_ms": 1000, "priority": q.Priority, "service": service, "max_attempts": q.Attempts, "stretch": 3.0,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 64}},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": keys, "guaranteed": map[string]int{"gpus": 16}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // The values are plain.
	}
	return data
}
