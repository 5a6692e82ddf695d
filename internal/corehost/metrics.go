package corehost

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// Metrics of a host that keeps the state.
type Metrics struct {
	Registry    *prometheus.Registry
	applied     prometheus.Counter
	leaderships prometheus.Counter
	syncs       prometheus.Histogram
	calls       *prometheus.CounterVec
	orders      *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics() *Metrics {
	r := prometheus.NewRegistry()
	f := promauto.With(r)
	return &Metrics{
		Registry:    r,
		applied:     f.NewCounter(prometheus.CounterOpts{Name: "mustardwalk_entries_applied_total", Help: "Entries of the log applied."}),
		leaderships: f.NewCounter(prometheus.CounterOpts{Name: "mustardwalk_leaderships_total", Help: "Leaderships begun on this host."}),
		syncs: f.NewHistogram(prometheus.HistogramOpts{Name: "mustardwalk_disk_sync_seconds", Help: "Time of a write with its sync.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}),
		calls: f.NewCounterVec(prometheus.CounterOpts{Name: "mustardwalk_calls_total", Help: "Calls of callers answered on the leader."},
			[]string{"kind", "verdict"}),
		orders: f.NewCounterVec(prometheus.CounterOpts{Name: "mustardwalk_worker_calls_total", Help: "Calls to workers."},
			[]string{"kind", "status"}),
	}
}

func (m *Metrics) call(k service.Kind, v service.Verdict) {
	m.calls.WithLabelValues(k.String(), v.String()).Inc()
}

func (m *Metrics) workerCall(k dispatch.CallKind, s dispatch.Status) {
	m.orders.WithLabelValues(k.String(), s.String()).Inc()
}
