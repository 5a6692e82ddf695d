package daemon

import (
	"context"
	"sync"
)

// queue is an unbounded queue for one consumer. It has no bound so that put never blocks the event loop.
type queue[T any] struct {
	mu       sync.Mutex
	items    []T
	notEmpty chan struct{} // Wakes the consumer after a put.
}

func newQueue[T any]() *queue[T] { return &queue[T]{notEmpty: make(chan struct{}, 1)} }

func (q *queue[T]) put(item T) {
	q.mu.Lock()
	q.items = append(q.items, item)
	q.mu.Unlock()
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

func (q *queue[T]) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// takeAll waits until there are items, then removes and returns all of them. It returns nil when ctx ends.
func (q *queue[T]) takeAll(ctx context.Context) []T {
	for {
		q.mu.Lock()
		items := q.items
		q.items = nil
		q.mu.Unlock()
		if len(items) > 0 {
			return items
		}
		select {
		case <-q.notEmpty:
		case <-ctx.Done():
			return nil
		}
	}
}
