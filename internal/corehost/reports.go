package corehost

import (
	"context"
	"sync"
	"time"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// Reports of workers arrive at all core hosts and concern the leader alone. A host that does not lead passes them on
// together, so that the leader handles some calls a second for a fleet of thousands of workers.
const (
	reportBatchDelay = 50 * time.Millisecond // A worker waits up to a second for the answer to its report.
	maxReportBatch   = 500                   // Reports in one call, about 100 kB.
)

// reportBatch is a call with reports that is being filled.
type reportBatch struct {
	reports  []service.Report
	outcomes []service.Outcome // Set when done is closed.
	done     chan struct{}
}

// reportBatches collects reports for the leader.
type reportBatches struct {
	send func(ctx context.Context, op service.Operation) service.Result

	mu   sync.Mutex
	open *reportBatch // Takes further reports; nil if there is none.
}

// pass passes a report on with others and returns its outcome.
func (b *reportBatches) pass(ctx context.Context, r service.Report) service.Result {
	b.mu.Lock()
	batch := b.open
	if batch == nil {
		batch = &reportBatch{done: make(chan struct{})}
		b.open = batch
		time.AfterFunc(reportBatchDelay, func() { b.flush(batch) })
	}
	index := len(batch.reports)
	batch.reports = append(batch.reports, r)
	if len(batch.reports) >= maxReportBatch {
		go b.flush(batch)
		b.open = nil
	}
	b.mu.Unlock()
	select {
	case <-batch.done:
		return service.Result{Outcome: batch.outcomes[index]}
	case <-ctx.Done():
		return service.Result{Outcome: service.OutcomeUnknown}
	}
}

// flush sends a batch, unless it was sent because it was full.
func (b *reportBatches) flush(batch *reportBatch) {
	b.mu.Lock()
	if b.open == batch {
		b.open = nil
	} else if batch.outcomes != nil {
		b.mu.Unlock()
		return
	}
	batch.outcomes = make([]service.Outcome, len(batch.reports))
	b.mu.Unlock()
	r := b.send(context.Background(), service.Operation{Kind: service.RegisterMany, Reports: batch.reports})
	for i := range batch.outcomes {
		switch {
		case r.Outcome != service.Done:
			batch.outcomes[i] = r.Outcome
		case i < len(r.Document):
			batch.outcomes[i] = service.Outcome(r.Document[i])
		default:
			batch.outcomes[i] = service.OutcomeUnknown // The leader has said nothing about this report.
		}
		if batch.outcomes[i] == service.Redirect { // The leader has just changed; the worker reports elsewhere.
			batch.outcomes[i] = service.NotServing
		}
	}
	close(batch.done)
}

// registerMany handles reports that another host has passed on. Those that change a registration are committed together.
// The caller holds h.mu.
func (h *Host) registerMany(ctx context.Context, now dispatch.Time, reports []service.Report) service.Result {
	if len(reports) > maxReportBatch {
		return service.Result{Outcome: service.Refused}
	}
	outcomes := make([]byte, len(reports))
	var changes sync.WaitGroup
	for i, r := range reports {
		if r.Worker == nil {
			outcomes[i] = byte(service.Refused)
			continue
		}
		op := service.Operation{Kind: service.Register, Worker: r.Worker, ClockMS: r.ClockMS}
		if h.stateMachine.Registered(r.Worker) {
			outcomes[i] = byte(h.register(ctx, now, op).Outcome)
			continue
		}
		changes.Go(func() { outcomes[i] = byte(h.operate(ctx, op).Outcome) })
	}
	h.mu.Unlock()
	changes.Wait()
	h.mu.Lock()
	return service.Result{Outcome: service.Done, Document: outcomes}
}

// maxRegistrations is how many bytes the registrations of all workers may take together, a small share of a host's memory.
const maxRegistrations = 4 << 20

// registrationGrowth returns how many bytes a report adds to the registrations.
func (h *Host) registrationGrowth(w *domain.Worker) int {
	growth := w.RegistrationBytes()
	if old := h.stateMachine.Worker(w.Incarnation.ID); old != nil {
		growth -= old.RegistrationBytes()
	}
	return growth
}

// storeRegistration commits a report that changes a registration, unless there is no room for what it adds. The caller holds
// h.mu.
func (h *Host) storeRegistration(ctx context.Context, now dispatch.Time, w *domain.Worker) service.Result {
	stored, growth := h.stateMachine.RegistrationBytes(), h.registrationGrowth(w)
	bytes := stored + h.pendingGrowth(maxRegistrations-stored-growth, func(p pendingProposal) int { return p.registrationBytes })
	full := growth > 0 && bytes+growth > maxRegistrations
	if full != h.registrationsFull {
		h.registrationsFull = full
		h.log.Info("registrations_full", "full", full, "workers", len(h.stateMachine.Workers()), "bytes", bytes)
	}
	if full {
		return service.Result{Outcome: service.NotServing}
	}
	r := h.commitOperation(ctx, now, &domain.Command{Register: w, NoTakeover: true})
	if r.Outcome == service.Superseded {
		r.Outcome = service.NotServing // Another report for the same address or identifier was committed first.
	}
	return r
}

// Limits of the wait for the end of the worker that a report contradicts.
const (
	verifyTimeout   = 400 * time.Millisecond // A worker waits up to a second for the answer to its report.
	verifyPollEvery = 10 * time.Millisecond
	// contradictionLogInterval limits the rate of log lines about refused reports, of which another writer may send any number.
	contradictionLogInterval = time.Second
)

// awaitNoConflict returns service.Done once no registered worker is contradicted by a report, see StateMachine.ConflictOf. It
// has such a worker called, and refuses the report if the worker answers. The caller holds h.mu.
func (h *Host) awaitNoConflict(ctx context.Context, now dispatch.Time, w *domain.Worker) service.Outcome {
	since := now.Mono
	for {
		other := h.stateMachine.ConflictOf(w)
		switch {
		case other == nil:
			return service.Done
		case !h.leads(now) || now.Mono >= since+verifyTimeout || ctx.Err() != nil:
			return service.NotServing
		case h.leader.VerifiedSince(other.Incarnation, since):
			if h.contradictions.Allow() {
				h.log.Info("report_contradicted", "worker", w.Incarnation.ID, "born_ms", w.Incarnation.BornMS, "address", w.Address,
					"by", other.Incarnation.ID, "by_born_ms", other.Incarnation.BornMS, "by_address", other.Address)
			}
			return service.Refused
		}
		h.leader.Verify(now, other.Incarnation)
		h.wake()
		h.mu.Unlock()
		time.Sleep(verifyPollEvery)
		h.mu.Lock()
		now = h.now()
	}
}

// noteReport tells the leader of a report of a registered worker. The caller holds h.mu.
func (h *Host) noteReport(now dispatch.Time, reported *domain.Worker, clockMS int64) {
	w := h.stateMachine.Worker(reported.Incarnation.ID)
	if h.leader == nil || w == nil || w.Incarnation != reported.Incarnation {
		return
	}
	if reported.Draining && reported.LeavesInMS > 0 {
		h.leader.WorkerDrains(now, w.Incarnation, time.Duration(reported.LeavesInMS)*time.Millisecond)
	}
	h.leader.WorkerReported(now, w.Incarnation, clockMS) // What follows from it is done at the next tick.
}
