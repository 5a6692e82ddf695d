package daemon

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/httpapi"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

// waiters matches responses of the core with the requests that wait for them, by request identifier.
type waiters struct {
	mu     sync.Mutex
	lastID uint64
	open   map[uint64]*waiter
	closed bool
}

// waiter is an open request. A caller or an operator waits for a response, an endpoint for the reply to its report.
type waiter struct {
	passed   bool // The core has seen the request.
	response chan node.Response
	report   chan node.RespondEndpoint
}

func newWaiters() *waiters { return &waiters{open: map[uint64]*waiter{}} }

// add registers a request. It returns nil after close.
func (w *waiters) add() (uint64, *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, nil
	}
	w.lastID++
	n := &waiter{response: make(chan node.Response, 1), report: make(chan node.RespondEndpoint, 1)}
	w.open[w.lastID] = n
	return w.lastID, n
}

// markPassed notes that the request is passed to the core now. It returns false if the request has been withdrawn.
func (w *waiters) markPassed(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.open[id]
	if n == nil {
		return false
	}
	n.passed = true
	return true
}

// drop removes a request. It returns true if the core has seen the request and not answered it.
func (w *waiters) drop(id uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.open[id]
	delete(w.open, id)
	return n != nil && n.passed
}

// take removes and returns a request, or returns nil if it is not open any more.
func (w *waiters) take(id uint64) *waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.open[id]
	delete(w.open, id)
	return n
}

func (w *waiters) respond(r node.Respond) {
	if n := w.take(r.ID); n != nil {
		n.response <- r.Response
	}
}

func (w *waiters) respondEndpoint(r node.RespondEndpoint) {
	if n := w.take(r.ID); n != nil {
		n.report <- r
	}
}

func (w *waiters) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.open)
}

// close makes add refuse new requests.
func (w *waiters) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

// backend implements httpapi.Backend.
type backend struct {
	loop    *loop
	waiters *waiters
	dump    func() any
	// stopping is set by the first signal, before the core has handled it.
	stopping atomic.Bool
}

// Ask implements httpapi.Backend.
func (b *backend) Ask(ctx context.Context, request node.Request) (node.Response, error) {
	id, w := b.waiters.add()
	if w == nil {
		return node.Response{}, httpapi.ErrNotPassed
	}
	if !b.loop.offer(node.CallerRequest{ID: id, Request: request}) {
		b.waiters.drop(id)
		return node.Response{}, httpapi.ErrOverloaded
	}
	select {
	case r := <-w.response:
		return r, nil
	case <-ctx.Done():
		return node.Response{}, b.withdraw(ctx, id)
	case <-b.loop.ended:
		return b.lastResponse(id, w)
	}
}

// withdraw removes a request whose context has ended, because the caller hung up or the answer took too long. It tells
// the core if the core has seen the request; a request that still waits is never passed to the core.
func (b *backend) withdraw(ctx context.Context, id uint64) error {
	if !b.waiters.drop(id) {
		return httpapi.ErrOverloaded
	}
	_ = b.loop.push(context.Background(), node.CallerGone{ID: id}) // Fails only once the loop has returned.
	return ctx.Err()
}

// lastResponse returns the response that the core gave before it halted, or else an error that says whether the core
// has seen the request.
func (b *backend) lastResponse(id uint64, w *waiter) (node.Response, error) {
	passed := b.waiters.drop(id)
	select {
	case r := <-w.response:
		return r, nil
	default:
	}
	if passed {
		return node.Response{}, httpapi.ErrStopped
	}
	return node.Response{}, httpapi.ErrNotPassed
}

// Report implements httpapi.Backend.
func (b *backend) Report(ctx context.Context, report cell.Report) (node.RespondEndpoint, error) {
	id, w := b.waiters.add()
	if w == nil {
		return node.RespondEndpoint{}, httpapi.ErrNotPassed
	}
	defer b.waiters.drop(id)
	if !b.loop.offer(node.EndpointReport{ID: id, Report: report}) {
		return node.RespondEndpoint{}, httpapi.ErrOverloaded
	}
	select {
	case r := <-w.report:
		return r, nil
	case <-ctx.Done():
		return node.RespondEndpoint{}, ctx.Err()
	case <-b.loop.ended:
		return node.RespondEndpoint{}, httpapi.ErrStopped
	}
}

// Ready implements httpapi.Backend.
func (b *backend) Ready() (bool, string) {
	if b.stopping.Load() {
		return false, "stopping"
	}
	r := b.loop.ready.Load()
	return r.ok, r.reason
}

// Dump implements httpapi.Backend.
func (b *backend) Dump() any { return b.dump() }
