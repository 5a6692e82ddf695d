// Package eventlog writes one key=value line per event without ever blocking the caller.
//
// Lines pass through a bounded queue. When the reader of the output is slower than the events, lines are dropped and
// counted, and the count is written as a line of its own once there is room again.
package eventlog

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// queueLines bounds the lines that wait for the output: at 200 bytes a line about half a megabyte.
const queueLines = 2048

// flushLimit bounds the wait for the output at the end of the process.
const flushLimit = 200 * time.Millisecond

// Log is a destination of events. Its Logger may be used from any goroutine.
type Log struct {
	Logger  logr.Logger
	lines   chan []byte
	dropped atomic.Uint64
	flushed chan struct{}
	closing sync.Once
}

// New starts writing to w. Attributes are added to each line.
func New(w io.Writer, attributes ...any) *Log {
	l := &Log{lines: make(chan []byte, queueLines), flushed: make(chan struct{})}
	h := slog.NewTextHandler(queue{l}, &slog.HandlerOptions{Level: slog.LevelInfo, ReplaceAttr: short})
	l.Logger = logr.FromSlogHandler(h).WithValues(attributes...)
	go l.write(w)
	return l
}

// short leaves out the level of ordinary events and shortens the time to milliseconds.
func short(groups []string, a slog.Attr) slog.Attr {
	switch {
	case len(groups) > 0:
		return a
	case a.Key == slog.LevelKey && a.Value.Any() == slog.LevelInfo:
		return slog.Attr{}
	case a.Key == slog.TimeKey:
		return slog.String(slog.TimeKey, a.Value.Time().UTC().Format("15:04:05.000"))
	case a.Key == slog.MessageKey:
		return slog.Attr{Key: "event", Value: a.Value}
	}
	return a
}

// Dropped returns how many lines were dropped so far.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close waits a moment for the lines that are queued.
func (l *Log) Close() {
	l.closing.Do(func() { close(l.lines) })
	select {
	case <-l.flushed:
	case <-time.After(flushLimit):
	}
}

// queue is the writer of the handler. Each call holds one whole line.
type queue struct{ l *Log }

func (q queue) Write(line []byte) (int, error) {
	defer func() { _ = recover() }() // A line after Close is dropped.
	select {
	case q.l.lines <- append([]byte(nil), line...):
	default:
		q.l.dropped.Add(1)
	}
	return len(line), nil
}

// writeBatch bounds how many bytes are gathered for one write.
const writeBatch = 16 << 10

func (l *Log) write(w io.Writer) {
	defer close(l.flushed)
	told := uint64(0)
	var buffer []byte
	for line := range l.lines {
		buffer = append(buffer[:0], line...)
		for more := true; more && len(buffer) < writeBatch; {
			select {
			case next, open := <-l.lines:
				buffer = append(buffer, next...)
				more = open
			default:
				more = false
			}
		}
		if n := l.dropped.Load(); n > told {
			buffer = append(buffer, "event=log_lines_dropped total="...)
			buffer = appendUint(buffer, n)
			buffer = append(buffer, '\n')
			told = n
		}
		if _, err := w.Write(buffer); err != nil {
			l.dropped.Add(1) // Nowhere is left to report it.
		}
	}
}

func appendUint(b []byte, n uint64) []byte {
	if n >= 10 {
		b = appendUint(b, n/10)
	}
	return append(b, byte('0'+n%10))
}
