package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

func queuePath(queue, job, verb string) string {
	path := "/v1/queues/" + url.PathEscape(queue)
	if job != "" {
		path += "/jobs/" + url.PathEscape(job)
	}
	return path + verb
}

// SubmitToQueue submits a job of steps under an identifier that the caller chooses. Sending it again has no further effect.
func (c *Client) SubmitToQueue(ctx context.Context, queue, id string, job JobDocument) (*QueueJob, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return nil, err
	}
	out := new(QueueJob)
	k := call{method: http.MethodPost, path: queuePath(queue, id, ""), contentType: jsonType, body: body, resend: resendAny}
	if err := c.do(ctx, k, out); err != nil {
		return nil, err
	}
	return out, nil
}

// QueueJob returns a job of a queue.
func (c *Client) QueueJob(ctx context.Context, queue, id string) (*QueueJob, error) {
	return read[QueueJob](ctx, c, queuePath(queue, id, ""), 0)
}

// CancelQueueJob cancels a job of a queue. Repeating it has no further effect.
func (c *Client) CancelQueueJob(ctx context.Context, queue, id string) (*QueueJob, error) {
	out := new(QueueJob)
	err := c.do(ctx, call{method: http.MethodPost, path: queuePath(queue, id, "/cancel"), resend: resendAny}, out)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Queue returns the length of a queue.
func (c *Client) Queue(ctx context.Context, queue string) (*QueueStatus, error) {
	return read[QueueStatus](ctx, c, queuePath(queue, "", ""), 0)
}

// Domain returns a scheduling domain as the host that answers sees it.
func (c *Client) Domain(ctx context.Context) (*DomainStatus, error) {
	return read[DomainStatus](ctx, c, "/v1/domain", 0)
}

// DomainWorkers lists the workers of a scheduling domain.
func (c *Client) DomainWorkers(ctx context.Context) (*DomainWorkers, error) {
	return read[DomainWorkers](ctx, c, "/v1/domain/workers", 0)
}

// ExplainJob tells where a job of a domain stands, as the host that answers sees it.
func (c *Client) ExplainJob(ctx context.Context, id string) (*JobExplanation, error) {
	return read[JobExplanation](ctx, c, "/v1/domain/jobs/"+url.PathEscape(id)+"/explain", 0)
}
