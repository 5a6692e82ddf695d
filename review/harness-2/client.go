package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

var transport = &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}

// request sends a request and returns the status, 0 for no answer, and the body of the answer.
func request(ctx context.Context, method, url, host string, body any, header map[string]string, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err) // The values are plain.
		}
		content = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		panic(err) // The addresses are those of the case.
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// Names of the configuration.
const (
	service   = "huvo11a"
	queueHost = "nony24.example"
)

// queue is a route of the configuration.
type queue struct {
	prefix      string
	priority    int
	maxAttempts int
}

// key returns the API key of tenant i.
func key(i int) string { return fmt.Sprintf("d4a3hwrr6x73d3zji9n%d", i) }

// config returns a configuration with one service and the given queues and number of tenants.
func config(version int, tenants int, queues ...queue) map[string]any {
	routes, owners := []any{}, []any{}
	for i, q := range queues {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i+1), "host": queueHost, "path_prefix": q.prefix, "type": "non_idempotent", "timeout_ms": 3000,
			"target_completion_ms": 1000, "priority": q.priority, "service": service, "max_attempts": q.maxAttempts, "stretch": 3.0, "public": false,
		})
	}
	for i := range tenants {
		owners = append(owners, map[string]any{"name": fmt.Sprintf("kaje%d", i), "api_keys": []string{key(i)}, "priority": 1, "guaranteed": map[string]int{"gpus": 8}})
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": owners,
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
			"enforces_capacity": false, "spare": false,
		}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// putConfig sends a configuration to the core machines in turn until one acknowledges it.
func (c *cluster) putConfig(ctx context.Context, config map[string]any) error {
	for i := 0; ctx.Err() == nil; i++ {
		status, _ := request(ctx, "PUT", "http://"+c.address(netCore, i%coreCount, portControl)+"/config", "", config, nil, time.Second)
		c.record.write("operator: PUT /config version %v -> %d", config["version"], status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged in time")
}

// Times of clients.
const (
	clientBudget = 3 * time.Second
	clientRetry  = 300 * time.Millisecond
)

// call sends one request of a client to an entry machine.
func (c *cluster) call(ctx context.Context, entry int, method, path, apiKey string, body any) (int, []byte) {
	header := map[string]string{"Api-Key": apiKey, "X-Request-Deadline": fmt.Sprint(clientBudget.Milliseconds())}
	return request(ctx, method, "http://"+c.address(netEntry, entry%c.entries, portFront)+path, queueHost, body, header, clientBudget)
}

// newID returns an identifier of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in, with retries at other machines, and returns the time of its acknowledgement.
func (c *cluster) submit(ctx context.Context, prefix, id, apiKey string, body map[string]any) (time.Time, error) {
	for i := 0; ctx.Err() == nil; i++ {
		status, _ := c.call(ctx, i, "POST", prefix+id, apiKey, body)
		c.record.write("client: POST %s%s -> %d", prefix, id, status)
		switch {
		case status/100 == 2:
			return time.Now(), nil
		case status == http.StatusTooManyRequests || status >= 500 || status == 0:
			time.Sleep(clientRetry)
		default:
			return time.Time{}, fmt.Errorf("the job %s was refused with status %d", id, status)
		}
	}
	return time.Time{}, fmt.Errorf("the job %s was not accepted in time", id)
}

// state asks for the state of a job at all entry machines in turn until one answers, and returns the status and the state.
func (c *cluster) state(ctx context.Context, prefix, id, apiKey string) (int, string) {
	status := 0
	for i := range c.entries {
		var data []byte
		status, data = c.call(ctx, i, "GET", prefix+id, apiKey, nil)
		var answer struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(data, &answer) // Without a state it stays empty.
		c.record.write("client: GET %s%s -> %d %s", prefix, id, status, answer.State)
		if status == http.StatusOK || status == http.StatusGone {
			return status, answer.State
		}
	}
	return status, ""
}

// waiting asks an entry machine for the number of waiting jobs of a queue, -1 for no number.
func (c *cluster) waiting(ctx context.Context, entry int, prefix, apiKey string) int {
	status, data := c.call(ctx, entry, "GET", prefix, apiKey, nil)
	answer := struct {
		Waiting int `json:"waiting"`
	}{-1}
	if status == http.StatusOK {
		_ = json.Unmarshal(data, &answer) // Without a number it stays -1.
	}
	c.record.write("client: GET %s at entry %d -> %d waiting %d", prefix, entry+1, status, answer.Waiting)
	return answer.Waiting
}
