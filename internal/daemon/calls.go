package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/httpapi"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

// Bounds of the calls to endpoints.
const (
	maxConcurrentCalls    = 256
	maxCallsPerAddress    = 8
	maxOpenCalls          = 4096 // Waiting or in flight.
	maxEndpointReplyBytes = 64 << 10
)

// endpointCaller calls endpoints. The timeout of a call begins when the core asks for the call, so it includes the wait
// for a free slot.
type endpointCaller struct {
	client  *http.Client
	scheme  string
	push    func(context.Context, node.Input) error
	metrics *metrics
	group   *errgroup.Group
	ctx     context.Context
	slots   chan struct{}
	mu      sync.Mutex
	open    int // Calls that wait or are in flight.
	limits  map[string]*addressLimit
}

// addressLimit bounds the concurrent calls to one address.
type addressLimit struct {
	slots chan struct{}
	users int // Calls to the address that wait or are in flight.
}

func newEndpointCaller(ctx context.Context, g *errgroup.Group, client *http.Client, scheme string, push func(context.Context, node.Input) error, m *metrics) *endpointCaller {
	return &endpointCaller{client: client, scheme: scheme, push: push, metrics: m, group: g, ctx: ctx,
		slots: make(chan struct{}, maxConcurrentCalls), limits: map[string]*addressLimit{}}
}

// start begins a call, whose result is pushed as a CallDone input. It returns false if maxOpenCalls calls are open.
func (c *endpointCaller) start(e node.CallEndpoint) bool {
	l := c.register(e.Address)
	if l == nil {
		c.metrics.endpointCalled(e.Call.Op, "overloaded")
		return false
	}
	ctx, stop := context.WithTimeout(c.ctx, e.Timeout)
	c.group.Go(func() error {
		defer stop()
		reply, err := c.perform(ctx, l, e)
		c.deregister(e.Address, l)
		done := node.CallDone{ID: e.ID, Reply: reply}
		if err != nil {
			done.Cause = err.Error()
		}
		c.metrics.endpointCalled(e.Call.Op, callResult(reply, err))
		_ = c.push(c.ctx, done) // Fails only when the process is ending.
		return nil
	})
	return true
}

// callResult returns the value of the metric's result label for a call.
func callResult(reply *endpoint.Reply, err error) string {
	switch {
	case err != nil:
		return "failed"
	case reply.OK:
		return "ok"
	default:
		return "refused"
	}
}

// register counts a call to an address. It returns nil if maxOpenCalls calls are open.
func (c *endpointCaller) register(address string) *addressLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= maxOpenCalls {
		return nil
	}
	c.open++
	l := c.limits[address]
	if l == nil {
		l = &addressLimit{slots: make(chan struct{}, maxCallsPerAddress)}
		c.limits[address] = l
	}
	l.users++
	return l
}

func (c *endpointCaller) deregister(address string, l *addressLimit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	l.users--
	if l.users == 0 {
		delete(c.limits, address)
	}
}

func (c *endpointCaller) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// perform calls an endpoint once it has a slot of the address and then one of the host. In this order, calls that wait
// for a hung endpoint take no slot of the host, which calls to other endpoints need.
func (c *endpointCaller) perform(ctx context.Context, l *addressLimit, e node.CallEndpoint) (*endpoint.Reply, error) {
	for _, slots := range []chan struct{}{l.slots, c.slots} {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			return nil, fmt.Errorf("no free connection in time: %w", ctx.Err())
		}
	}
	return c.exchange(ctx, e)
}

// exchange sends a call and reads its reply.
func (c *endpointCaller) exchange(ctx context.Context, e node.CallEndpoint) (*endpoint.Reply, error) {
	body, err := json.Marshal(e.Call)
	if err != nil {
		return nil, err
	}
	url := c.scheme + "://" + e.Address + "/" + string(e.Call.Op)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return decodeReply(response)
}

// decodeReply reads the reply of an endpoint. A refusal has a code in its body. A reply with another status than 200
// and no code does not come from an endpoint and is an error.
func decodeReply(response *http.Response) (*endpoint.Reply, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxEndpointReplyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxEndpointReplyBytes {
		return nil, errors.New("the reply is too large")
	}
	reply := new(endpoint.Reply)
	findings := httpapi.Decode(data, reply)
	refused := response.StatusCode != http.StatusOK
	if refused && (len(findings) > 0 || reply.Code == "") {
		return nil, fmt.Errorf("the endpoint answered status %d without a code", response.StatusCode)
	}
	if len(findings) > 0 {
		return nil, fmt.Errorf("the reply is not valid: %s %s", findings[0].Field, findings[0].Message)
	}
	if refused {
		reply.OK = false
	}
	return reply, nil
}
