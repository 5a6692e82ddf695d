package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/go-logr/logr"

	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/node"
)

// Capacities of the channels into the event loop. Requests of callers and endpoints have a channel of their own. The
// urgent channel takes the inputs by which the host stays a member of its replicated logs, such as messages of other
// hosts and completed writes. A burst of requests must not delay these, or the host would lose its leaderships.
const (
	urgentCapacity  = 4096
	requestCapacity = 1024
	turnsPerRequest = 64 // In one of this many turns a waiting request goes before urgent inputs and ticks.
)

// samplePeriod is the shortest time between two samples of the core's metrics.
const samplePeriod = time.Second

// errHalted is returned by run after a planned stop, and by push once the loop has returned.
var errHalted = errors.New("planned stop completed")

// outputHandlers are the parts of the shell that carry out the core's outputs. No handler blocks the event loop for a
// network or for the data folder.
type outputHandlers struct {
	peers   *peerSenders
	writer  *writer // Nil on a host without a data folder.
	calls   *endpointCaller
	waiters *waiters
	history *eventRecorder
}

// loop is the event loop. It alone calls the core, and passes it one input at a time.
type loop struct {
	core       Core
	start      time.Time
	urgent     chan node.Input
	requests   chan node.Input
	backlog    []node.Input // The current input, followed by the inputs that outputs of earlier entries caused.
	out        outputHandlers
	log        logr.Logger
	metrics    *metrics
	ready      atomic.Pointer[readiness]
	lastSample time.Duration
	ended      chan struct{} // Closed when the loop has returned.
}

type readiness struct {
	ok     bool
	reason string
}

func newLoop(core Core, start time.Time, log logr.Logger, m *metrics) *loop {
	l := &loop{
		core:       core,
		start:      start,
		urgent:     make(chan node.Input, urgentCapacity),
		requests:   make(chan node.Input, requestCapacity),
		log:        log,
		metrics:    m,
		lastSample: -samplePeriod,
		ended:      make(chan struct{}),
	}
	l.ready.Store(&readiness{reason: "starting"})
	return l
}

// now returns the monotonic time since the start of the process.
func (l *loop) now() time.Duration { return time.Since(l.start) }

// push queues an urgent input. While the channel is full it waits, until ctx ends or the loop has returned.
func (l *loop) push(ctx context.Context, in node.Input) error {
	select {
	case l.urgent <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.ended:
		return errHalted
	}
}

// offer queues a request. It returns false if too many are waiting.
func (l *loop) offer(in node.Input) bool {
	select {
	case l.requests <- in:
		return true
	default:
		return false
	}
}

// run handles inputs until the core halts or ctx ends. It returns errHalted after a planned stop.
func (l *loop) run(ctx context.Context) error {
	defer close(l.ended)
	ticker := time.NewTicker(node.TickPeriod)
	defer ticker.Stop()
	l.sampleMetrics()
	for turn := 0; ; turn++ {
		in := l.next(ctx, ticker.C, turn)
		if in == nil {
			return ctx.Err()
		}
		if err := l.step(in); err != nil {
			return err
		}
	}
}

// next waits for an input. Urgent inputs and ticks go before requests, except in one of turnsPerRequest turns. It
// returns nil when ctx ends.
func (l *loop) next(ctx context.Context, ticks <-chan time.Time, turn int) node.Input {
	if turn%turnsPerRequest != 0 {
		select {
		case <-ticks:
			return node.Tick{}
		case in := <-l.urgent:
			return in
		default:
		}
	} else {
		select {
		case in := <-l.requests:
			return in
		default:
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case <-ticks:
		return node.Tick{}
	case in := <-l.urgent:
		return in
	case in := <-l.requests:
		return in
	}
}

// step handles an input and all inputs that its outputs cause within the shell, before any other input.
func (l *loop) step(in node.Input) error {
	l.backlog = append(l.backlog[:0], in)
	for i := 0; i < len(l.backlog); i++ {
		if err := l.handle(l.backlog[i]); err != nil {
			return err
		}
	}
	clear(l.backlog)
	l.metrics.setWaitingInputs(len(l.urgent), len(l.requests))
	if l.now()-l.lastSample >= samplePeriod {
		l.sampleMetrics()
	}
	return nil
}

// handle passes one input to the core and carries out its outputs.
func (l *loop) handle(in node.Input) error {
	if r, isRequest := in.(node.CallerRequest); isRequest && !l.out.waiters.markPassed(r.ID) {
		return nil // The request was withdrawn before the core saw it.
	}
	began := time.Now()
	now := began.Sub(l.start)
	outs := l.core.Handle(now, in)
	l.metrics.inputHandled(time.Since(began))
	l.publishReadiness()
	failed, isFailed := in.(node.PersistFailed)
	for _, o := range outs {
		// After a failed write no message, reply or call may leave the host, because it is unknown what is durable.
		if isFailed && !allowedAfterFailure(o) {
			continue
		}
		if r, ok := o.(node.RecordEvent); ok {
			l.recordEvent(r.Event, began, now)
			continue
		}
		if err := l.carryOut(o); err != nil {
			return err
		}
	}
	if isFailed {
		return eris.Errorf("writing the data folder failed: %s", failed.Cause)
	}
	return nil
}

// allowedAfterFailure reports whether an output is carried out even after a failed write.
func allowedAfterFailure(o node.Output) bool {
	switch o.(type) {
	case node.RecordEvent, node.Halt:
		return true
	}
	return false
}

// recordEvent records an event with its own time or, if it has none, with the time began, when the handling of its input
// began; now is the same time on the core's clock. The time of writing would be too late: other hosts can already have
// acted on a message that precedes the event among the outputs.
func (l *loop) recordEvent(e history.Event, began time.Time, now time.Duration) {
	at := began
	if e.Time != 0 {
		at = began.Add(time.Duration(e.Time) - now)
	}
	l.out.history.record(e, at)
}

// carryOut passes an output other than an event to its handler.
func (l *loop) carryOut(o node.Output) error {
	switch v := o.(type) {
	case node.Send:
		l.out.peers.send(v)
	case node.Persist:
		l.persist(v)
	case node.Respond:
		l.out.waiters.respond(v)
	case node.RespondEndpoint:
		l.out.waiters.respondEndpoint(v)
	case node.CallEndpoint:
		if !l.out.calls.start(v) {
			l.backlog = append(l.backlog, node.CallDone{ID: v.ID, Cause: "too many calls to endpoints are waiting on this host"})
		}
	case node.Halt:
		if v.Planned {
			return errHalted
		}
		return eris.Errorf("the core halted: %s", v.Cause)
	default:
		return eris.Errorf("unknown output %T", o)
	}
	return nil
}

// persist passes records to the writer. On a host without a data folder they count as synced at once.
func (l *loop) persist(p node.Persist) {
	if l.out.writer == nil {
		l.backlog = append(l.backlog, node.Persisted{Seq: p.Seq})
		return
	}
	l.out.writer.queue.put(p)
}

// publishReadiness stores the core's readiness for other goroutines, and logs a change.
func (l *loop) publishReadiness() {
	ok, reason := l.core.Ready()
	last := l.ready.Load()
	if last.ok == ok && last.reason == reason {
		return
	}
	l.ready.Store(&readiness{ok: ok, reason: reason})
	l.log.Info("readiness changed", "event", "readiness", "ready", ok, "reason", reason)
}

// sampleMetrics publishes the core's readiness and passes the values that the core reports to the metrics.
func (l *loop) sampleMetrics() {
	l.lastSample = l.now()
	l.publishReadiness()
	if g, reports := l.core.(MetricsReporter); reports {
		l.metrics.sampleMetrics(g.MetricValues())
	}
}
