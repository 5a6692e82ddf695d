package descriptors

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Listener limits how many accepted connections are open at the same time. Beyond the limit it closes the connection
// that has been idle for longest, or, if none is idle, waits until one is closed. Its Track must be the ConnState of
// the http.Server that serves it.
type Listener struct {
	net.Listener
	limit  int
	freed  chan struct{}
	closed chan struct{}
	once   sync.Once
	// evicted counts the idle connections that were closed to make room.
	evicted atomic.Int64

	mu   sync.Mutex
	open int
	idle *list.List // Of *conn, idle for longest first.
}

// Limit returns a listener that keeps at most limit accepted connections open, besides one that waits for its place.
func Limit(l net.Listener, limit int) *Listener {
	return &Listener{Listener: l, limit: limit, freed: make(chan struct{}, 1), closed: make(chan struct{}), idle: list.New()}
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	inIdle   *list.Element // Its place in Listener.idle, nil if it is in use.
	release  sync.Once
}

// Accept waits for a connection and for room for it.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	for !l.take() {
		select {
		case <-l.freed:
		case <-l.closed:
			_ = accepted.Close() // The listener is closed; the caller of this connection tries another host.
			return nil, net.ErrClosed
		}
	}
	return c, nil
}

// take counts one more open connection if there is room, and otherwise closes an idle one.
func (l *Listener) take() bool {
	l.mu.Lock()
	if l.open < l.limit {
		l.open++
		l.mu.Unlock()
		return true
	}
	oldest := l.idle.Front()
	if oldest == nil {
		l.mu.Unlock()
		return false
	}
	c := l.idle.Remove(oldest).(*conn)
	c.inIdle = nil
	l.mu.Unlock()
	l.evicted.Add(1)
	_ = c.Close() // Its server sees the closed connection and ends it.
	return l.take()
}

// Close closes the listener. Accepted connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Evicted returns how many idle connections were closed to make room for new ones.
func (l *Listener) Evicted() int64 { return l.evicted.Load() }

// Open returns how many accepted connections are open.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Track notes which connections are idle.
func (l *Listener) Track(c net.Conn, state http.ConnState) {
	own, ok := c.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if own.inIdle != nil {
		l.idle.Remove(own.inIdle)
		own.inIdle = nil
	}
	if state == http.StateIdle {
		own.inIdle = l.idle.PushBack(own)
		l.wake()
	}
}

// wake makes a connection that waits for its place try again.
func (l *Listener) wake() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.release.Do(func() {
		l := c.listener
		l.mu.Lock()
		l.open--
		if c.inIdle != nil {
			l.idle.Remove(c.inIdle)
			c.inIdle = nil
		}
		l.mu.Unlock()
		l.wake()
	})
	return err
}
