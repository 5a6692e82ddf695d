package descriptors

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/intake"
)

// partialPatience is for how long a request may be incomplete before its connection yields to a new one. Requests arrive
// within milliseconds, and callers wait a second for an answer.
const partialPatience = 500 * time.Millisecond

// Listener limits how many accepted connections are open at the same time. Beyond the limit it closes the connection
// that has been idle for longest, or else the one whose request has been incomplete for longest, for at least
// partialPatience. If there is none, it waits until one is closed. Its Track and ConnContext must be those of the
// http.Server that serves it, and its Handler must wrap the handler.
type Listener struct {
	net.Listener
	limit  int
	budget *intake.Budget // Set by Handler, nil without a limit of memory.
	// answerTimeout bounds the time in which a caller must read a part of an answer.
	answerTimeout time.Duration
	freed         chan struct{}
	closed        chan struct{}
	once          sync.Once
	// evicted counts the connections that were closed to make room.
	evicted atomic.Int64

	mu      sync.Mutex
	open    int
	idle    *list.List // Of *conn, idle for longest first.
	partial *list.List // Of *conn without a whole request, the one that has waited for longest first.
}

// Limit returns a listener that keeps at most limit accepted connections open, besides one that waits for its place.
func Limit(l net.Listener, limit int) *Listener {
	return &Listener{
		Listener: l, limit: limit, freed: make(chan struct{}, 1), closed: make(chan struct{}), idle: list.New(), partial: list.New(),
		answerTimeout: answerTimeout,
	}
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	account  *intake.Account // Of the request that is read or handled; nil without a budget.
	handled  atomic.Bool     // The handler has the request; what is read then is counted by its body.
	list     *list.List      // Listener.idle or Listener.partial, nil while a whole request is handled.
	place    *list.Element   // Its place in list.
	since    time.Time       // When it was put there.
	release  sync.Once
}

// put moves the connection to the end of a list, or to none. The caller holds the lock of the listener.
func (c *conn) put(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.place)
	}
	if c.list = to; to != nil {
		c.place, c.since = to.PushBack(c), time.Now()
	}
}

// Accept waits for a connection and for room for it.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	if l.budget != nil {
		c.account = l.budget.Open(func() { _ = c.Close() }) // Its server sees the closed connection and ends it.
	}
	for {
		ripe, ok := l.take()
		if ok {
			return c, nil
		}
		select {
		case <-l.freed:
		case <-ripe:
		case <-l.closed:
			_ = accepted.Close() // The listener is closed; the caller of this connection tries another host.
			return nil, net.ErrClosed
		}
	}
}

// take counts one more open connection if there is room, after it has closed one that yields. If there is no room, it
// returns a channel that receives when the next one yields, nil if none will.
func (l *Listener) take() (<-chan time.Time, bool) {
	l.mu.Lock()
	if l.open < l.limit {
		l.open++
		l.mu.Unlock()
		return nil, true
	}
	oldest := l.idle.Front()
	if oldest == nil {
		oldest = l.partial.Front()
	}
	if oldest == nil {
		l.mu.Unlock()
		return nil, false
	}
	c := oldest.Value.(*conn)
	if left := partialPatience - time.Since(c.since); c.list == l.partial && left > 0 {
		l.mu.Unlock()
		return time.After(left), false
	}
	c.put(nil)
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

// Track notes which connections are idle, and which have no whole request.
func (l *Listener) Track(c net.Conn, state http.ConnState) {
	own, ok := c.(*conn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		own.handled.Store(false)
		if own.account != nil {
			own.account.Close()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateIdle:
		own.put(l.idle)
		l.wake()
	case http.StateNew, http.StateActive:
		if own.list != l.partial { // A request counts from the start of a new connection.
			own.put(l.partial)
		}
	default:
		own.put(nil)
	}
}

// Read reads from the connection, and counts what a header takes. It closes the connection if there is no room.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.account == nil || c.handled.Load() {
		return n, err
	}
	if busy := c.account.Add(intake.HeaderCost(p[:n])); busy != nil {
		_ = c.Close() // The request has not run.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: busy}
	}
	return n, err
}

// Write writes to the connection. A caller that does not read an answer for answerTimeout is closed.
func (c *conn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.listener.answerTimeout)) // Fails if the connection is closed; the write fails then too.
	return c.Conn.Write(p)
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
		c.put(nil)
		l.mu.Unlock()
		if c.account != nil {
			c.account.End()
		}
		l.wake()
	})
	return err
}
