package corehost

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// diskWrite holds records to write, and the messages that may be sent only after the records are durable.
type diskWrite struct {
	records     []replica.Record
	messages    []replica.Message
	mark        uint64          // Passed to Replica.Synced after the sync.
	replacement *replica.Record // If set, replaces the whole content of the file; the other fields are empty.
}

// diskQueue passes writes to the goroutine that owns the data folder.
type diskQueue struct {
	mu     sync.Mutex
	writes []diskWrite
	notify chan struct{}
}

func newDiskQueue() *diskQueue { return &diskQueue{notify: make(chan struct{}, 1)} }

func (q *diskQueue) put(w diskWrite) {
	q.mu.Lock()
	q.writes = append(q.writes, w)
	q.mu.Unlock()
	select {
	case q.notify <- struct{}{}:
	default:
	}
}

// replace queues a rewrite of the file. The record includes the content of all writes that were queued before.
func (q *diskQueue) replace(state replica.Record) { q.put(diskWrite{replacement: &state}) }

// take removes and returns all queued writes.
func (q *diskQueue) take() []diskWrite {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.writes
	q.writes = nil
	return out
}

// writeRecords writes and syncs the queued records until ctx ends, all that have gathered in one batch, and then sends
// the messages that waited for the sync.
func (h *Host) writeRecords(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.disk.notify:
		}
		if err := h.writeBatch(ctx, h.disk.take()); err != nil {
			return eris.Wrap(err, "writing the data folder")
		}
	}
}

func (h *Host) writeBatch(ctx context.Context, writes []diskWrite) error {
	var records []replica.Record
	mark := uint64(0)
	began := time.Now()
	for _, w := range writes {
		if w.replacement != nil {
			if err := h.flush(ctx, &records); err != nil {
				return err
			}
			if err := h.store.replace(ctx, []replica.Record{*w.replacement}); err != nil {
				return err
			}
			continue
		}
		records = append(records, w.records...)
		mark = w.mark
	}
	if err := h.flush(ctx, &records); err != nil {
		return err
	}
	h.metrics.syncs.Observe(time.Since(began).Seconds())
	for _, w := range writes {
		h.peers.send(w.messages)
	}
	if mark == 0 {
		return nil
	}
	h.mu.Lock()
	h.replica.Synced(mark)
	err := h.processOutput(h.now())
	h.mu.Unlock()
	h.wake()
	return err
}

// flush appends and syncs the collected records, and empties the list.
func (h *Host) flush(ctx context.Context, records *[]replica.Record) error {
	if len(*records) == 0 {
		return nil
	}
	err := h.store.append(ctx, *records)
	*records = nil
	return err
}
