package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

func queuePath(queue, job, suffix string) string {
	path := "/v1/queues/" + url.PathEscape(queue)
	if job != "" {
		path += "/jobs/" + url.PathEscape(job)
	}
	return path + suffix
}

// SubmitToQueue submits a job of steps under an identifier that the caller chooses. Sending it again has no further effect.
//
// The methods for queues (SubmitToQueue, QueueJob, CancelQueueJob and Queue) are served by the entry hosts of a scheduling
// domain, on the port that the flag --metrics-port of mustardwalkd sets.
func (c *Client) SubmitToQueue(ctx context.Context, queue, id string, job JobDocument) (*QueueJob, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, err
	}
	out := new(QueueJob)
	call := apiCall{method: http.MethodPost, path: queuePath(queue, id, ""), contentType: jsonType, body: body, resendPolicy: resendAlways}
	if err := c.do(ctx, call, out); err != nil {
		return nil, err
	}
	return out, nil
}

// QueueJob returns a job of a queue.
func (c *Client) QueueJob(ctx context.Context, queue, id string) (*QueueJob, error) {
	return get[QueueJob](ctx, c, queuePath(queue, id, ""), 0)
}

// CancelQueueJob cancels a job of a queue. Repeating it has no further effect.
func (c *Client) CancelQueueJob(ctx context.Context, queue, id string) (*QueueJob, error) {
	out := new(QueueJob)
	err := c.do(ctx, apiCall{method: http.MethodPost, path: queuePath(queue, id, "/cancel"), resendPolicy: resendAlways}, out)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Queue returns the length of a queue.
func (c *Client) Queue(ctx context.Context, queue string) (*QueueStatus, error) {
	return get[QueueStatus](ctx, c, queuePath(queue, "", ""), 0)
}

// Domain returns the status of a scheduling domain, as known to the host that answers.
//
// Domain, DomainWorkers and ExplainJob are served by the hosts of a scheduling domain that keep its state, on the port
// that the flag --metrics-port of mustardwalkd sets. They need no token.
func (c *Client) Domain(ctx context.Context) (*DomainStatus, error) {
	return get[DomainStatus](ctx, c, "/v1/domain", 0)
}

// DomainWorkers lists the workers of a scheduling domain.
func (c *Client) DomainWorkers(ctx context.Context) (*DomainWorkers, error) {
	return get[DomainWorkers](ctx, c, "/v1/domain/workers", 0)
}

// ExplainJob returns the progress of a job of a scheduling domain and what it waits for, as known to the host that
// answers.
func (c *Client) ExplainJob(ctx context.Context, id string) (*JobExplanation, error) {
	return get[JobExplanation](ctx, c, "/v1/domain/jobs/"+url.PathEscape(id)+"/explain", 0)
}

// ExplainPlace returns where a job would be placed if it were submitted now, or why it would wait. The job is not submitted.
// Only the leader knows it; another host names the leader. The token is the one for a submission.
func (c *Client) ExplainPlace(ctx context.Context, queue string, job JobDocument) (*PlacementExplanation, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, err
	}
	out := new(PlacementExplanation)
	path := "/v1/domain/queues/" + url.PathEscape(queue) + "/explain"
	if err := c.do(ctx, apiCall{method: http.MethodPost, path: path, contentType: jsonType, body: body, resendPolicy: resendAlways}, out); err != nil {
		return nil, err
	}
	return out, nil
}
