package descriptors

import (
	"context"
	"net"
	"sync"
)

// Dialer opens at most a fixed number of connections. A further dial waits until one is closed.
type Dialer struct {
	places chan struct{}
	dial   DialFunc
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialer returns a dialer that keeps at most a number of connections of dial open.
func NewDialer(connections int, dial DialFunc) *Dialer {
	return &Dialer{places: make(chan struct{}, connections), dial: dial}
}

// Open returns how many connections are open or being opened.
func (d *Dialer) Open() int { return len(d.places) }

// DialContext opens a connection. It returns the error of ctx if ctx ends before there is a place for it.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case d.places <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c, err := d.dial(ctx, network, address)
	if err != nil {
		<-d.places
		return nil, err
	}
	return &dialed{Conn: c, dialer: d}, nil
}

// dialed is a connection that gives its place back when it is closed.
type dialed struct {
	net.Conn
	dialer  *Dialer
	release sync.Once
}

func (c *dialed) Close() error {
	err := c.Conn.Close()
	c.release.Do(func() { <-c.dialer.places })
	return err
}
