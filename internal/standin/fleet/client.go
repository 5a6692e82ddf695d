package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Client submits jobs, with retries at other hosts, and asks for their state.
type Client struct {
	FrontAddresses []string
	Host           string            // Value of the Host header.
	Key            string            // API key.
	Transport      http.RoundTripper // Holds the connections; nil for those that all such clients share.
}

// Step is a step of a job.
type Step map[string]any

// JobBody builds the body of a submission.
func JobBody(spec string, steps ...Step) []byte {
	data, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		panic(err) // The values are plain.
	}
	return data
}

// Once sends one request to the host at an index of FrontAddresses, modulo their number, without a retry.
func (c *Client) Once(ctx context.Context, front int, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	header := map[string]string{"Host": c.Host, "Api-Key": c.Key, "Content-Type": "application/json", "X-Request-Deadline": "3000"}
	return call(ctx, &http.Client{Transport: c.Transport}, method, "http://"+c.FrontAddresses[front%len(c.FrontAddresses)]+path, body, header)
}

// Submit sends a job until it is accepted, refused with a status that makes a retry useless, or ctx ends. It returns
// the last status, 0 for no answer.
func (c *Client) Submit(ctx context.Context, path string, body []byte) int {
	status := 0
	for i := 0; ctx.Err() == nil; i++ {
		status, _ = c.Once(ctx, i, http.MethodPost, path, body)
		if status != 0 && status < 500 && status != http.StatusTooManyRequests {
			return status
		}
		select {
		case <-ctx.Done():
		case <-time.After(150 * time.Millisecond):
		}
	}
	return status
}

// JobState asks for the state of a job. The state is empty if no host gave it.
func (c *Client) JobState(ctx context.Context, front int, path string) (int, string) {
	status, data := c.Once(ctx, front, http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(data, &body) != nil {
		return 0, ""
	}
	return status, body.State
}
