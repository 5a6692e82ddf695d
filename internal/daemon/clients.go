package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of outgoing connections.
const (
	dialTimeout       = 500 * time.Millisecond
	clientIdleTimeout = 2 * time.Minute
	maxConnsPerPeer   = 2
	maxIdleConns      = 512
)

// newTransport returns a transport that uses no proxies and opens at most perHost connections to a host. Without TLS, c
// is nil.
func newTransport(c *certs, perHost int) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: perHost,
		MaxConnsPerHost:     perHost,
		IdleConnTimeout:     clientIdleTimeout,
		DisableCompression:  true,
	}
	if c != nil {
		t.DialTLSContext = c.dial
	}
	return t
}

// peerClient calls one other host, over one connection unless TLS is used.
type peerClient struct {
	*http.Client
	mu         sync.Mutex
	connection net.Conn // The newest connection; nil if TLS is used.
}

// newPeerClient returns a client for one other host. Without TLS it uses HTTP/2, because messages between hosts are
// many and small: HTTP/2 sends repeated headers as table indexes, in a small part of their size in HTTP/1.1.
// Connections with TLS use HTTP/1.1.
func newPeerClient(c *certs, token string) *peerClient {
	t := newTransport(c, maxConnsPerPeer)
	p := &peerClient{Client: newClient(t, token)}
	if c != nil {
		return p
	}
	t.MaxConnsPerHost = 1
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err == nil {
			p.replaceConnection(connection)
		}
		return connection, err
	}
	return p
}

// replaceConnection closes the current connection and sets c as the new one. A nil c leaves none.
func (p *peerClient) replaceConnection(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connection != nil {
		_ = p.connection.Close() // It has failed or is closed already.
	}
	p.connection = c
}

// reset closes the connection, so that the next call makes a new one. HTTP/2 keeps a connection open after a call has
// timed out. After a network partition all calls on such a connection would wait for the next retransmission of TCP,
// which comes long after the partition has healed.
func (p *peerClient) reset() { p.replaceConnection(nil) }

// newClient returns a client that sends a bearer token. It follows no redirects, because that would send the call and
// the token to another address.
func newClient(t *http.Transport, token string) *http.Client {
	return &http.Client{
		Transport:     &bearerTransport{inner: t, token: token},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// bearerTransport adds a bearer token to each request.
type bearerTransport struct {
	inner http.RoundTripper
	token string
}

// RoundTrip implements http.RoundTripper.
func (b *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.inner.RoundTrip(r)
}

func scheme(tls bool) string {
	if tls {
		return "https"
	}
	return "http"
}
