// Package eventlog writes one line of key=value pairs per event and never blocks the caller.
//
// Lines pass through a bounded queue. If the reader of the output is too slow and the queue is full, lines are dropped
// and counted. The count is written as a separate line with the next lines that are written.
package eventlog

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// maxQueuedLines limits the number of lines that wait for the output: about half a megabyte at 200 bytes per line.
const maxQueuedLines = 2048

// maxValueBytes is the length at which a text in a line is cut. Names and causes that callers send can be much longer.
const maxValueBytes = 512

// flushTimeout limits the wait for the output at the end of the process.
const flushTimeout = 200 * time.Millisecond

// Log is a destination of events. Its Logger may be used from any goroutine.
type Log struct {
	Logger  logr.Logger
	lines   chan []byte
	dropped atomic.Uint64
	flushed chan struct{}

	mu     sync.RWMutex
	closed bool // lines is closed; nothing may be sent to it.
}

// New returns a log that writes to w. The attributes are added to each line.
func New(w io.Writer, attributes ...any) *Log {
	l := &Log{lines: make(chan []byte, maxQueuedLines), flushed: make(chan struct{})}
	h := slog.NewTextHandler(queueWriter{l}, &slog.HandlerOptions{Level: slog.LevelInfo, ReplaceAttr: formatAttr})
	l.Logger = logr.FromSlogHandler(h).WithValues(attributes...)
	go l.write(w)
	return l
}

// formatAttr omits the level of events at level INFO, shortens the time to the time of day in milliseconds and gives the
// message the key "event".
func formatAttr(groups []string, a slog.Attr) slog.Attr {
	switch {
	case len(groups) > 0:
		return a
	case a.Key == slog.LevelKey && a.Value.Any() == slog.LevelInfo:
		return slog.Attr{}
	case a.Key == slog.TimeKey:
		return slog.String(slog.TimeKey, a.Value.Time().UTC().Format("15:04:05.000"))
	case a.Key == slog.MessageKey:
		return slog.Attr{Key: "event", Value: a.Value}
	case a.Value.Kind() == slog.KindString && len(a.Value.String()) > maxValueBytes:
		return slog.String(a.Key, a.Value.String()[:maxValueBytes]+"...")
	}
	return a
}

// Dropped returns how many lines have been dropped so far.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close ends the log and waits up to flushTimeout until the queued lines are written. Later lines are dropped.
func (l *Log) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	select {
	case <-l.flushed:
	case <-time.After(flushTimeout):
	}
}

// queueWriter is the writer of the slog handler, which writes one whole line per call.
type queueWriter struct{ log *Log }

func (q queueWriter) Write(line []byte) (int, error) {
	q.log.mu.RLock()
	defer q.log.mu.RUnlock()
	if q.log.closed {
		return len(line), nil // A request may still be in progress when the process ends.
	}
	select {
	case q.log.lines <- append([]byte(nil), line...):
	default:
		q.log.dropped.Add(1)
	}
	return len(line), nil
}

// maxBatchBytes is the size at which no more lines are added to a write.
const maxBatchBytes = 16 << 10

func (l *Log) write(w io.Writer) {
	defer close(l.flushed)
	reported := uint64(0)
	var buffer []byte
	for line := range l.lines {
		buffer = append(buffer[:0], line...)
		for more := true; more && len(buffer) < maxBatchBytes; {
			select {
			case next, open := <-l.lines:
				buffer = append(buffer, next...)
				more = open
			default:
				more = false
			}
		}
		lines := len(buffer)
		dropped := l.dropped.Load()
		if dropped > reported {
			buffer = append(buffer, "event=log_lines_dropped total="...)
			buffer = appendUint(buffer, dropped)
			buffer = append(buffer, '\n')
		}
		written, err := w.Write(buffer)
		if err != nil { // There is no other output to report the error on.
			l.dropped.Add(uint64(bytes.Count(buffer[min(written, lines):lines], []byte{'\n'})))
			continue
		}
		reported = dropped
	}
}

func appendUint(b []byte, n uint64) []byte {
	if n >= 10 {
		b = appendUint(b, n/10)
	}
	return append(b, byte('0'+n%10))
}
