package fleet

import (
	"context"
	"net/http"
	"time"
)

// Departure is how a worker leaves the fleet.
type Departure struct {
	// Unannounced makes the worker go on to the next phase without waiting for the acknowledgement of a report that says
	// that it is draining.
	Unannounced bool
	Serves      time.Duration // How long the worker serves after that.
	// Lingers is how long the worker goes on if its notice that it ends is not acknowledged.
	Lingers time.Duration
	AckLost bool // The acknowledgement of the notice does not reach the worker.
}

// noticeRetry is the pause between two attempts to send reports or notices while a worker leaves.
const noticeRetry = 200 * time.Millisecond

// Leave reports that the worker is draining, serves for a while, sends the notice that the worker ends, and ends it.
func (w *Worker) Leave(ctx context.Context, d Departure) {
	w.setDraining(d.Serves)
	for !w.report(ctx) && !d.Unannounced && ctx.Err() == nil {
		pause(ctx, noticeRetry)
	}
	pause(ctx, d.Serves)
	w.options.GangsLock.Lock()
	w.leaving = true
	w.options.GangsLock.Unlock()
	lingering, cancel := context.WithTimeout(ctx, d.Lingers)
	defer cancel()
	for acked := w.sendNotice(lingering); lingering.Err() == nil && (d.AckLost || !acked); {
		pause(lingering, noticeRetry)
		acked = acked || w.sendNotice(lingering)
	}
	w.Crash()
}

// setDraining makes the worker report that it is draining, and that it serves for a while yet.
func (w *Worker) setDraining(serves time.Duration) {
	w.options.GangsLock.Lock()
	defer w.options.GangsLock.Unlock()
	w.draining, w.endsAt = true, time.Now().Add(serves)
}

// sendNotice sends the notice that the worker ends to the control addresses in turn, until one acknowledges it.
func (w *Worker) sendNotice(ctx context.Context) bool {
	for _, address := range w.addresses() {
		if status, _ := call(ctx, w.client, http.MethodDelete, w.instanceURL(address), map[string]int64{"born": w.incarnation.BornMS}, nil); status == http.StatusOK {
			return true
		}
	}
	return false
}

// LoseReports sets whether the reports of the worker get lost.
func (w *Worker) LoseReports(lost bool) {
	w.options.GangsLock.Lock()
	defer w.options.GangsLock.Unlock()
	w.reportsLost = lost
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
