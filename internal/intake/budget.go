// Package intake bounds the memory of the requests that a process reads and answers. Callers that send half a request, or
// do not read an answer, yield to others once that memory is used up.
package intake

import (
	"container/list"
	"context"
	"errors"
	"io"
	"sync"
)

// ErrBusy is returned when there is no memory for more of a request and no other one yields. The caller may try another
// host.
var ErrBusy = errors.New("too much memory is in use for other requests")

const (
	// freeBytes of each request are not counted, so that ordinary ones need no room. With 2,800 connections they are 45 MB.
	freeBytes = 16 << 10
	// chargeStep is by how much the charge of a request grows at least.
	chargeStep = 64 << 10
)

// Budget is the memory for the requests of a listener.
type Budget struct {
	limit int64

	mu       sync.Mutex
	used     int64
	yielding *list.List // Of *Account, the oldest one first.
}

// NewBudget returns a budget of some bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit, yielding: list.New()} }

// Used returns how many bytes are charged.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account is what one request takes of a budget. It is used by one goroutine.
type Account struct {
	budget *Budget
	cut    func() // Ends the request; its connection is closed.
	bytes  int64  // Read or to be written so far.

	// Protected by budget.mu.
	charged int64
	place   *list.Element // In Budget.yielding; nil if the request does not yield.
	over    bool          // It was cut.
}

// Open returns the account of a request that cut ends. Close must be called when the request is answered.
func (b *Budget) Open(cut func()) *Account { return &Account{budget: b, cut: cut} }

// Close gives back what was charged.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.drop()
}

// drop gives back what was charged. The caller holds the lock of the budget.
func (a *Account) drop() {
	a.budget.used -= a.charged
	a.charged = 0
	a.stay()
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
	if a.bytes <= freeBytes {
		return // It was never charged.
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.stay()
}

// Add counts more bytes of the request or its answer. From the first charge on, the request yields until Whole is called.
// It returns ErrBusy if there is no room.
func (a *Account) Add(n int64) error {
	a.bytes += n
	if a.bytes <= freeBytes {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	if a.over {
		b.mu.Unlock()
		return ErrBusy
	}
	more := max(0, a.bytes-a.charged)
	if more > 0 {
		more = max(more, chargeStep)
	}
	var cut []*Account
	for b.used+more > b.limit {
		oldest := b.yielding.Front()
		if oldest != nil && oldest.Value == a {
			oldest = oldest.Next()
		}
		if oldest == nil {
			break
		}
		other := oldest.Value.(*Account)
		other.drop()
		other.over = true
		cut = append(cut, other)
	}
	fits := b.used+more <= b.limit
	if fits {
		b.used += more
		a.charged += more
		if a.place == nil {
			a.place = b.yielding.PushBack(a)
		}
	}
	b.mu.Unlock()
	for _, other := range cut {
		other.cut()
	}
	if !fits {
		return ErrBusy
	}
	return nil
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

// Answer counts the bytes of a large answer before it is written. A caller that does not read it yields to others.
func Answer(ctx context.Context, n int) error {
	if a, ok := ctx.Value(accountKey{}).(*Account); ok {
		return a.Add(int64(n))
	}
	return nil
}

// firstRead is the size of the buffer for a body of unknown length.
const firstRead = 4 << 10

// ReadAll reads a body whose length is known, or -1. Its buffer grows with what has arrived, and takes no more than twice
// its size while it grows.
func ReadAll(body io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > chargeStep {
		length = firstRead
	}
	out := make([]byte, 0, length+1) // One more byte, so that the end is seen without another buffer.
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
			out = append(make([]byte, 0, 2*cap(out)), out...)
		}
	}
}
