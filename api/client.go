package api

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Options configure a Client.
type Options struct {
	// Servers are the base URLs of the hosts to send requests to, such as "http://127.0.0.1:7080". The client tries them
	// in turn. Methods for scheduling domains state which kind of host serves them; all others are served by entry hosts.
	Servers []string
	// Token is the bearer token of a workspace or of an operator.
	Token string
	// TLS configures connections to https servers; nil selects the defaults of crypto/tls. It has no effect if Transport
	// is set.
	TLS *tls.Config
	// Timeout limits one try of a request, in addition to the wait that the request asks for; default 5 s.
	Timeout time.Duration
	// Patience limits how long a request that may be resent is retried; default 10 s. Each server is tried once even if
	// that takes longer.
	Patience time.Duration
	// Transport replaces the default HTTP transport, for example in tests.
	Transport http.RoundTripper
}

// Default values of Options.
const (
	DefaultTimeout  = 5 * time.Second
	DefaultPatience = 10 * time.Second
)

const (
	dialTimeout   = 2 * time.Second
	minBackoff    = 50 * time.Millisecond
	maxBackoff    = time.Second
	maxReplyBytes = 64 << 20
)

// Client sends requests to the hosts of a deployment. It is safe for use by several goroutines.
//
// After a failure, a request is sent to the next server if a resend can do no harm. A submission without an idempotency
// key is sent again only if no connection was made, or if the refusal says that the job did not and will not run
// (NotRunTrue). A submission with a key, a submission to a queue, a cancellation, a read, and an operator command, whose
// identifier stays the same in all tries, are sent again after any failure of a server or a connection.
type Client struct {
	options    Options
	http       *http.Client
	lastServer atomic.Int64 // Index in Options.Servers of the server that answered last.
}

// NewClient returns a Client.
func NewClient(options Options) (*Client, error) {
	if len(options.Servers) == 0 {
		return nil, errors.New("no servers are given")
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Patience == 0 {
		options.Patience = DefaultPatience
	}
	if options.Transport == nil {
		options.Transport = newTransport(options.TLS)
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{options: options, http: &http.Client{Transport: options.Transport, CheckRedirect: noRedirect}}, nil
}

func newTransport(config *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     config,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}
}

// resendPolicy determines after which failures a request may be sent again.
type resendPolicy int

const (
	// resendIfNoEffect allows a resend only if the earlier try cannot have taken effect.
	resendIfNoEffect resendPolicy = iota
	// resendAlways allows a resend after any failure of a server or a connection.
	resendAlways
)

// apiCall describes one request, which may be sent several times.
type apiCall struct {
	method        string
	path          string
	contentType   string
	body          []byte
	header        http.Header
	resendPolicy  resendPolicy
	wait          time.Duration // How long the server may wait before it replies; added to Options.Timeout.
	reportsNotRun bool          // Errors of this call have NotRun set; for submissions and operator commands.
	noEarlierCall bool          // No earlier call can have carried the same idempotency key or command identifier.
}

// do sends a call until it succeeds or may not be sent again, and decodes the reply into the given value.
func (c *Client) do(ctx context.Context, call apiCall, into any) error {
	deadline := time.Now().Add(c.options.Patience)
	start := c.lastServer.Load()
	ambiguous := false
	for try := 0; ; try++ {
		index := (start + int64(try)) % int64(len(c.options.Servers))
		out := c.try(ctx, c.options.Servers[index], call, into)
		if out.err == nil {
			c.lastServer.Store(index)
			return nil
		}
		ambiguous = ambiguous || out.ambiguous
		if !c.awaitRetry(ctx, call, out, try, deadline) {
			return finalError(call, out, ambiguous)
		}
	}
}

// awaitRetry tells whether to send a call again. Before a new round over all servers it waits with exponential backoff.
// Every server is tried once even if Patience has already passed.
func (c *Client) awaitRetry(ctx context.Context, call apiCall, out tryResult, try int, deadline time.Time) bool {
	if !out.retryable || (out.ambiguous && call.resendPolicy == resendIfNoEffect) {
		return false
	}
	round := (try + 1) / len(c.options.Servers)
	if ctx.Err() != nil || (round > 0 && time.Now().After(deadline)) {
		return false
	}
	if (try+1)%len(c.options.Servers) != 0 {
		return true
	}
	timer := time.NewTimer(min(minBackoff<<min(round, 8), maxBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// finalError returns the error of a call. If an earlier try may have taken effect, the error must not say that nothing
// ran. A NotRun that the server has set is kept, because it covers earlier tries with the same idempotency key.
func finalError(call apiCall, out tryResult, ambiguous bool) error {
	e := *out.err
	if !call.reportsNotRun {
		return &e
	}
	if e.NotRun == "" {
		e.NotRun = NotRunUnknown
		if call.noEarlierCall && !ambiguous {
			e.NotRun = NotRunTrue
		}
	}
	return &e
}
