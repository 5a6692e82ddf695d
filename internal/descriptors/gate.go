package descriptors

import (
	"container/list"
	"context"
	"sync"
)

// Urgency orders the calls that wait for a Gate.
type Urgency int

// Urgencies, the most urgent one first. Calls that keep their place for long must not take all places, so that the short
// ones find one at any time.
const (
	Short Urgency = iota // A call that is answered at once.
	Long                 // A call whose answer may be delayed.
	urgencies
)

// longPercent is the share of a gate's places that long calls may take.
const longPercent = 75

// Gate limits how many calls are in flight. Further calls wait for a place, in the order of their urgency and then of
// their arrival.
type Gate struct {
	places int
	longs  int // Places that long calls may take.

	mu       sync.Mutex
	inFlight [urgencies]int
	waiting  [urgencies]*list.List // Of chan struct{}; closed when the call may go on.
}

// NewGate returns a gate with a number of places, at least 2.
func NewGate(places int) *Gate {
	places = max(2, places)
	g := &Gate{places: places, longs: max(1, places*longPercent/100)}
	for u := range g.waiting {
		g.waiting[u] = list.New()
	}
	return g
}

// LongPlaces returns how many long calls may be in flight.
func (g *Gate) LongPlaces() int { return g.longs }

// Enter waits for a place. It returns the error of ctx if ctx ends before there is one. After nil, Leave must be called
// with the same urgency.
func (g *Gate) Enter(ctx context.Context, u Urgency) error {
	g.mu.Lock()
	if g.room(u) {
		g.inFlight[u]++
		g.mu.Unlock()
		return nil
	}
	admitted := make(chan struct{})
	place := g.waiting[u].PushBack(admitted)
	g.mu.Unlock()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-admitted: // It was admitted at the same time.
		return nil
	default:
	}
	g.waiting[u].Remove(place)
	return ctx.Err()
}

// Leave gives a place back.
func (g *Gate) Leave(u Urgency) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[u]--
	for next := Short; next < urgencies; next++ {
		for first := g.waiting[next].Front(); first != nil && g.room(next); first = g.waiting[next].Front() {
			g.inFlight[next]++
			close(g.waiting[next].Remove(first).(chan struct{}))
		}
	}
}

// room reports whether a call of the urgency may go on now.
func (g *Gate) room(u Urgency) bool {
	if u == Long && g.inFlight[Long] >= g.longs {
		return false
	}
	total := 0
	for _, n := range g.inFlight {
		total += n
	}
	return total < g.places
}
