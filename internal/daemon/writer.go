package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// The record file is compacted when it is larger than compactBytes and also larger than compactFactor times its size
// after the last compaction. This bounds the share of all writes that goes into rewriting the file.
const (
	compactBytes  = 8 << 20
	compactFactor = 4
)

// writer writes and syncs the records of Persist outputs, in order, from one goroutine.
type writer struct {
	store               Store
	queue               *queue[node.Persist]
	push                func(context.Context, node.Input) error
	metrics             *metrics
	compactedSize       int64 // Size of the file after the last output with Replace.
	compactionRequested bool  // A Compact input was sent, and no output with Replace has come since.
	size                atomic.Int64
}

func newWriter(s Store, push func(context.Context, node.Input) error, m *metrics) *writer {
	w := &writer{store: s, queue: newQueue[node.Persist](), push: push, metrics: m}
	w.size.Store(s.Size())
	return w
}

// run writes until ctx ends or a write fails. After a failed write the store is not used again.
func (w *writer) run(ctx context.Context) error {
	for {
		batch := w.queue.takeAll(ctx)
		if batch == nil {
			return nil
		}
		for len(batch) > 0 {
			n := joinableCount(batch)
			if err := w.write(ctx, batch[:n]); err != nil {
				return err
			}
			batch = batch[n:]
		}
	}
}

// joinableCount returns how many outputs at the front go into one write. An output with Replace is written alone.
func joinableCount(batch []node.Persist) int {
	n := 0
	for n < len(batch) && !batch[n].Replace {
		n++
	}
	return max(n, 1)
}

// write writes a batch and reports its last sequence number to the core.
func (w *writer) write(ctx context.Context, batch []node.Persist) error {
	last := batch[len(batch)-1]
	began := time.Now()
	if err := w.writeRecords(batch); err != nil {
		w.fail(ctx, last.Seq, err)
		return eris.Wrap(err, "writing the data folder")
	}
	w.size.Store(w.store.Size())
	w.metrics.storeWritten(last.Replace, time.Since(began), w.size.Load())
	if err := w.push(ctx, node.Persisted{Seq: last.Seq}); err != nil {
		return nil
	}
	w.compactIfLarge(ctx, last.Replace)
	return nil
}

// fail reports a failed write to the core and waits until the process ends, so that the core's last events are recorded
// before.
func (w *writer) fail(ctx context.Context, seq uint64, cause error) {
	if w.push(ctx, node.PersistFailed{Seq: seq, Cause: cause.Error()}) == nil {
		<-ctx.Done()
	}
}

func (w *writer) writeRecords(batch []node.Persist) error {
	if batch[0].Replace {
		return w.store.Replace(batch[0].Records)
	}
	var records []replica.Record
	for _, p := range batch {
		records = append(records, p.Records...)
	}
	return w.store.Append(records)
}

// compactIfLarge asks the core for its whole state, to replace the file by it, if the file has grown enough.
func (w *writer) compactIfLarge(ctx context.Context, replaced bool) {
	size := w.size.Load()
	if replaced {
		w.compactedSize, w.compactionRequested = size, false
		return
	}
	if w.compactionRequested || size <= compactBytes || size <= compactFactor*w.compactedSize {
		return
	}
	w.compactionRequested = true
	_ = w.push(ctx, node.Compact{}) // Fails only when the process is ending.
}
