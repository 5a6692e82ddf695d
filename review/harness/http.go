package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Names in the config of all scripts.
const (
	HostName = "review.example"
	Service  = "svc-1"
	Key      = "key-1"
	Prefix   = "/q/"
)

// Route is a queue of the config.
type Route struct {
	Prefix      string
	Priority    int
	MaxAttempts int
}

// Config returns a config with one service and one tenant.
func Config(version int, routes ...Route) []byte {
	var list []map[string]any
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i+1), "host": HostName, "path_prefix": r.Prefix, "type": "non_idempotent", "timeout_ms": 3000,
			"target_completion_ms": 1000, "priority": r.Priority, "service": Service, "max_attempts": r.MaxAttempts, "stretch": 3.0, "public": false,
		})
	}
	return encode(map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{
			"name": Service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
			"enforces_capacity": false, "spare": false,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t-1", "api_keys": []string{Key}, "priority": 1, "guaranteed": map[string]int{"gpus": 0}}},
	})
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // The values are plain.
	}
	return data
}

// Job returns the body of a job with one step.
func Job(spec string, step map[string]any) []byte {
	return encode(map[string]any{"spec": spec, "steps": []any{step}})
}

// client keeps no connections, so that each call reaches a host that is up.
var client = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}}

// send sends a request with a JSON body and returns the status, 0 for no answer, and the body of the answer.
func send(limit time.Duration, method, url string, header map[string]string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		if k == "Host" {
			req.Host = v
			continue
		}
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
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

// Operator times.
const (
	controlTimeout = time.Second
	retryPause     = 200 * time.Millisecond
)

// Order sends an order of the operator to the control addresses in turn until one accepts or refuses it, or ctx ends.
func (d *Deployment) Order(ctx context.Context, method, path string, body []byte) int {
	status := 0
	for i := 0; ctx.Err() == nil; i++ {
		address := d.ControlAddresses()[i%len(d.Cores)]
		status, _ = send(controlTimeout, method, "http://"+address+path, nil, body)
		d.Record.Printf("operator: %s %s to %s (%d bytes): status %d", method, path, address, len(body), status)
		if status != 0 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status
		}
		time.Sleep(retryPause)
	}
	return status
}

// clientDeadline is how long a client waits for an answer.
const clientDeadline = 3 * time.Second

// Call sends a client's call to an entry host.
func (d *Deployment) Call(entry int, method, path string, body []byte) (int, []byte) {
	header := map[string]string{"Host": HostName, "Api-Key": Key, "X-Request-Deadline": fmt.Sprint(clientDeadline.Milliseconds())}
	status, data := send(clientDeadline, method, "http://"+d.FrontAddresses()[entry%len(d.Entries)]+path, header, body)
	d.Record.Printf("client: %s %s to %s: status %d %s", method, path, d.Entries[entry%len(d.Entries)].Name, status, data)
	return status, data
}

// Submit submits a job until it is accepted, refused for good, or ctx ends.
func (d *Deployment) Submit(ctx context.Context, path string, body []byte) int {
	status := 0
	for i := 0; ctx.Err() == nil; i++ {
		status, _ = d.Call(i, http.MethodPost, path, body)
		if status != 0 && status < 500 && status != http.StatusTooManyRequests {
			return status
		}
		time.Sleep(retryPause)
	}
	return status
}

// State returns the state of a job, or an empty string.
func (d *Deployment) State(entry int, path string) (int, string) {
	status, data := d.Call(entry, http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &body) != nil {
		return status, ""
	}
	return status, body.State
}

// Leader returns the core host that says on its metrics address that it leads, nil if none does.
func (d *Deployment) Leader() *Host {
	for _, h := range d.Cores {
		_, data := send(controlTimeout, http.MethodGet, fmt.Sprintf("http://%s:%d/metrics", h.IP, metricsPort), nil, nil)
		if bytes.Contains(data, []byte("\nmustardwalk_leads 1\n")) {
			return h
		}
	}
	return nil
}

// AwaitLeader waits until a core host leads.
func (d *Deployment) AwaitLeader(ctx context.Context) *Host {
	for ctx.Err() == nil {
		if h := d.Leader(); h != nil {
			return h
		}
		time.Sleep(retryPause)
	}
	return nil
}

// AwaitState asks for the state of a job until it is the given one. It returns whether that happened within the limit.
func (d *Deployment) AwaitState(ctx context.Context, path, want string, limit time.Duration) bool {
	for end := time.Now().Add(limit); ctx.Err() == nil && time.Now().Before(end); time.Sleep(retryPause) {
		if _, state := d.State(0, path); state == want {
			return true
		}
	}
	return false
}

// ForeignReport returns a status report of another writer: complete, and with a service that the config does not name.
func ForeignReport(address, zone string) []byte {
	return encode(map[string]any{
		"service": "other-writer", "address": address, "zone": zone, "version": "v9", "slots": 1, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": 1000, "mem_mb": 1000, "gpus": 0}, "labels": []string{"x", "r-x"}, "clock_ms": 1000, "sequence": 1,
		"born": time.Now().UnixMilli(),
	})
}

// ReportForeign sends a status report of another writer to the control addresses in turn until one acknowledges it.
func (d *Deployment) ReportForeign(id string, body []byte) {
	for _, address := range d.ControlAddresses() {
		status, _ := send(controlTimeout, http.MethodPut, "http://"+address+"/instances/"+id, nil, body)
		d.Record.Printf("another writer: PUT /instances/%s to %s: status %d", id, address, status)
		if status == http.StatusOK {
			return
		}
	}
}
