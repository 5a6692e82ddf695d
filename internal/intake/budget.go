// Package intake bounds the memory of the requests that a process reads and answers. Callers that send half a request, or
// do not read an answer, yield to others once that memory is used up.
package intake

import (
	"container/list"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// ErrBusy is returned when there is no memory for more of a request and no other one yields. The caller may try another
// host.
var ErrBusy = errors.New("too much memory is in use for other requests")

// ErrTooCostly is returned for a request that would take more than the whole budget once decoded.
var ErrTooCostly = errors.New("the request would take too much memory once decoded")

const (
	// freeBytes of each request are not counted, so that ordinary ones need no room. With 2,000 connections, as many as the
	// smallest hosts serve, they are 16 MB.
	freeBytes = 8 << 10
	// chargeStep is by how much the charge of a request grows at least.
	chargeStep = 16 << 10
	// roomWait bounds the wait for the memory of requests that were cut. They end as soon as they notice it.
	roomWait = time.Second
)

// Budget is the memory for the requests of a listener.
type Budget struct {
	limit   int64
	refused atomic.Int64 // Charges that found no room.
	closed  atomic.Int64 // Requests that yielded.

	mu       sync.Mutex
	used     int64
	leaving  int64         // The part of used that belongs to requests that were cut and have not ended yet.
	reserved int64         // The part of used that is not granted yet: its requests wait for those that leave.
	yielding *list.List    // Of *Account, the oldest one first.
	freed    chan struct{} // Closed when a request that was cut has ended; nil while nobody waits for that.
}

// NewBudget returns a budget of some bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit, yielding: list.New()} }

// Limit returns how many bytes may be charged.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns how many bytes are charged.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used - b.reserved
}

// Refused returns how many charges found no room. Their requests were refused, or their connections closed.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Closed returns how many requests were closed because others needed their room.
func (b *Budget) Closed() int64 { return b.closed.Load() }

// Account is what one request, or one connection with a request at a time, takes of a budget.
type Account struct {
	budget *Budget
	cut    func()       // Ends the request; its connection is closed.
	bytes  atomic.Int64 // What the request takes, as far as it is known.

	// Protected by budget.mu.
	charged int64
	place   *list.Element // In Budget.yielding; nil if the request does not yield.
	handled bool          // A handler has the request, and what was charged is in use until Close.
	over    bool          // It was cut, or its connection is closed. It is charged no more.
	leaving bool          // What was charged is counted in Budget.leaving.
}

// Open returns the account of a request that cut ends. Close must be called when the request is answered.
func (b *Budget) Open(cut func()) *Account { return &Account{budget: b, cut: cut} }

// Handle notes that a handler has the request. What was charged is given back by Close only, also if the connection is closed.
func (a *Account) Handle() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.handled = true
}

// Close gives back what was charged. The account may be used for a further request.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.bytes.Store(0)
	a.handled = false
	a.drop()
}

// End refuses further charges: the connection is closed, and nobody would give them back. What was charged is given back
// unless a handler has the request.
func (a *Account) End() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.leave()
}

// leave ends the charges of a request. The caller holds the lock of the budget.
func (a *Account) leave() {
	a.over = true
	a.stay()
	switch {
	case !a.handled:
		a.drop()
	case !a.leaving:
		a.leaving = true
		a.budget.leaving += a.charged
	}
	a.budget.wakeWaiting()
}

// drop gives back what was charged. The caller holds the lock of the budget.
func (a *Account) drop() {
	a.giveBack(a.charged)
	a.leaving = false
	a.stay()
	a.budget.wakeWaiting()
}

// giveBack gives back a part of what was charged. The caller holds the lock of the budget.
func (a *Account) giveBack(n int64) {
	a.charged -= n
	a.budget.used -= n
	if a.leaving {
		a.budget.leaving -= n
	}
}

// wakeWaiting makes the requests that wait for room try again. The caller holds the lock of the budget.
func (b *Budget) wakeWaiting() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// stay takes the request from those that yield. The caller holds the lock of the budget.
func (a *Account) stay() {
	if a.place != nil {
		a.budget.yielding.Remove(a.place)
		a.place = nil
	}
}

// Whole notes that the request is read. It does not yield any more.
func (a *Account) Whole() {
	if a.bytes.Load() <= freeBytes {
		return // It was never charged.
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.stay()
}

// Add counts more bytes of the request or its answer. From the first charge on, the request yields until Whole is called.
// It returns ErrBusy if there is no room.
func (a *Account) Add(n int64) error { return a.add(n, true) }

// Charge counts memory that a whole request takes beside its bytes. The request does not begin to yield. It returns ErrBusy if
// there is no room, and ErrTooCostly if there never is.
func (a *Account) Charge(n int64) error {
	if n > a.budget.limit-a.bytes.Load() {
		a.budget.refused.Add(1)
		return ErrTooCostly
	}
	return a.add(n, false)
}

func (a *Account) add(n int64, yields bool) error {
	if a.bytes.Add(n) <= freeBytes {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	if a.over {
		b.mu.Unlock()
		return ErrBusy
	}
	more := max(0, a.bytes.Load()-a.charged)
	if more > 0 {
		more = max(more, chargeStep)
	}
	cut := b.makeRoom(more, a)
	fits := b.used-b.leaving+more <= b.limit
	if fits {
		b.used += more
		b.reserved += more
		a.charged += more
	}
	b.mu.Unlock()
	for _, other := range cut {
		other.cut()
	}
	if !fits || !a.await(more) {
		b.refused.Add(1)
		return ErrBusy
	}
	if yields {
		b.mu.Lock()
		defer b.mu.Unlock()
		if a.place == nil && !a.over {
			a.place = b.yielding.PushBack(a)
		}
	}
	return nil
}

// await waits until the requests that were cut for this one have ended. It gives the last charge back and returns false if they do
// not end in time, or if this request ends.
func (a *Account) await(more int64) bool {
	b := a.budget
	var timeout <-chan time.Time
	for expired := false; ; {
		b.mu.Lock()
		if b.used-b.reserved+more <= b.limit && !a.over {
			b.reserved -= more
			b.mu.Unlock()
			return true
		}
		if expired || a.over {
			b.reserved -= more
			a.giveBack(min(more, a.charged))
			b.wakeWaiting()
			b.mu.Unlock()
			return false
		}
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		if timeout == nil {
			timeout = time.After(roomWait)
		}
		select {
		case <-freed:
		case <-timeout:
			expired = true
		}
	}
}

// makeRoom cuts the oldest requests that yield, except one, until there is room for some bytes once they have ended, or none is
// left. It returns those that it has cut. The caller holds the lock.
func (b *Budget) makeRoom(bytes int64, except *Account) (cut []*Account) {
	for b.used-b.leaving+bytes > b.limit {
		oldest := b.yielding.Front()
		if oldest != nil && oldest.Value == except {
			oldest = oldest.Next()
		}
		if oldest == nil {
			break
		}
		other := oldest.Value.(*Account)
		other.leave()
		cut = append(cut, other)
	}
	b.closed.Add(int64(len(cut)))
	return cut
}

// Body returns a body that counts what is read of it, and calls whole at its end.
func (a *Account) Body(body io.ReadCloser, whole func()) io.ReadCloser {
	return &countedBody{ReadCloser: body, account: a, whole: whole}
}

type countedBody struct {
	io.ReadCloser
	account *Account
	whole   func()
}

func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if busy := c.account.Add(int64(n)); busy != nil {
		return 0, busy
	}
	if errors.Is(err, io.EOF) {
		c.account.Whole()
		c.whole()
	}
	return n, err
}

type accountKey struct{}

// With returns a context that carries the account of a request.
func With(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// of returns the account of the request that a context belongs to, nil if there is none.
func of(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}

// Answer counts the bytes of a large answer before it is written. A caller that does not read it yields to others.
func Answer(ctx context.Context, n int) error {
	if a := of(ctx); a != nil {
		return a.Add(int64(n))
	}
	return nil
}

// Charge counts memory that a whole request takes once decoded, see Account.Charge.
func Charge(ctx context.Context, n int64) error {
	if a := of(ctx); a != nil {
		return a.Charge(n)
	}
	return nil
}

// firstRead is the size of the buffer for a body of unknown length.
const firstRead = 4 << 10

// doubledBytes is the size up to which a buffer for a body doubles.
const doubledBytes = 64 << 10

// ReadAll reads a body whose length is known, or -1. Its buffer grows with what has arrived: a large one by a quarter, and not
// beyond a known length.
func ReadAll(body io.Reader, length int64) ([]byte, error) {
	first := length
	if length < 0 || length > doubledBytes {
		first = firstRead
	}
	out := make([]byte, 0, first+1) // One more byte, so that the end is seen without another buffer.
	for {
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		if len(out) == cap(out) {
			out = append(make([]byte, 0, grown(cap(out), length)), out...)
		}
	}
}

// grown returns the next size of a full buffer for a body whose length is known, or -1.
func grown(size int, length int64) int {
	next := size + size/4
	if size < doubledBytes {
		next = 2 * size
	}
	if length >= int64(size) {
		next = int(min(int64(next), length+1))
	}
	return max(next, size+1)
}
