package cell

import (
	"container/heap"
	"time"
)

// timers is a heap of functions by due time. Functions that are due at the same time run in the order of their
// registration.
type timers struct {
	list      []timer
	lastOrder uint64 // Order of the timer added last.
}

type timer struct {
	at    time.Duration
	order uint64
	run   func(now time.Duration)
}

// Len implements heap.Interface.
func (t *timers) Len() int { return len(t.list) }

// Less implements heap.Interface.
func (t *timers) Less(i, j int) bool {
	a, b := t.list[i], t.list[j]
	return a.at < b.at || (a.at == b.at && a.order < b.order)
}

// Swap implements heap.Interface.
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { t.list = append(t.list, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := t.list[len(t.list)-1]
	t.list[len(t.list)-1] = timer{}
	t.list = t.list[:len(t.list)-1]
	return last
}

func (t *timers) add(at time.Duration, run func(now time.Duration)) {
	t.lastOrder++
	heap.Push(t, timer{at: at, order: t.lastOrder, run: run})
}

func (t *timers) fire(now time.Duration) {
	for len(t.list) > 0 && t.list[0].at <= now {
		heap.Pop(t).(timer).run(now)
	}
}
