package entryhost

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/mustardwalk/mustardwalk/internal/service"
)

// Metrics are the metrics of an entry host.
type Metrics struct {
	Registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	r := prometheus.NewRegistry()
	f := promauto.With(r)
	return &Metrics{
		Registry: r,
		requests: f.NewCounterVec(prometheus.CounterOpts{Name: "mustardwalk_requests_total", Help: "Requests of callers answered."},
			[]string{"kind", "verdict"}),
		latency: f.NewHistogramVec(prometheus.HistogramOpts{Name: "mustardwalk_request_seconds", Help: "Time until the answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12)}, []string{"kind"}),
	}
}

// answered counts a request that was answered, and observes its latency.
func (m *Metrics) answered(k service.RequestKind, v service.Verdict, took time.Duration) {
	m.requests.WithLabelValues(k.String(), v.String()).Inc()
	m.latency.WithLabelValues(k.String()).Observe(took.Seconds())
}
