package daemon

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/mustardwalk/mustardwalk/internal/endpoint"
)

const namespace = "mustardwalk"

// metrics holds the metrics of the process in a registry of its own.
type metrics struct {
	registry             *prometheus.Registry
	requests             *prometheus.CounterVec
	requestSeconds       *prometheus.HistogramVec
	peerBatches          *prometheus.CounterVec
	peerMessages         *prometheus.CounterVec
	peerBytes            *prometheus.CounterVec
	peerDrops            *prometheus.CounterVec
	peerReceivedMessages *prometheus.CounterVec
	storeWrites          *prometheus.CounterVec
	syncSeconds          prometheus.Histogram
	storeBytes           prometheus.Gauge
	endpointCalls        *prometheus.CounterVec
	waitingInputs        *prometheus.GaugeVec
	handleSeconds        prometheus.Histogram
	coreValues           *coreCollector
}

func newMetrics() *metrics {
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string, buckets []float64) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: counters("http_requests_total", "Requests by route, method and status.", "route", "method", "code"),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "http_request_seconds",
			Help: "Time to answer a request, in seconds, waits included.", Buckets: prometheus.ExponentialBuckets(0.001, 4, 9)}, []string{"route", "code"}),
		peerBatches:          counters("peer_batches_total", "Batches sent to a host, by result.", "peer", "result"),
		peerMessages:         counters("peer_messages_total", "Messages sent to a host.", "peer"),
		peerBytes:            counters("peer_bytes_total", "Bytes of messages sent to a host.", "peer"),
		peerDrops:            counters("peer_dropped_messages_total", "Messages dropped because the queue to a host was full.", "peer"),
		peerReceivedMessages: counters("peer_received_messages_total", "Messages received from a host.", "peer"),
		storeWrites:          counters("store_writes_total", "Synced writes to the data folder, by kind.", "kind"),
		syncSeconds:          histogram("store_sync_seconds", "Time to write and sync records, in seconds.", prometheus.ExponentialBuckets(0.0001, 3, 10)),
		storeBytes:           prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "store_bytes", Help: "Size of the record file, in bytes."}),
		endpointCalls:        counters("endpoint_calls_total", "Calls to endpoints by operation and result.", "op", "result"),
		waitingInputs: prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "inputs_waiting",
			Help: "Inputs that wait for the event loop."}, []string{"queue"}),
		handleSeconds: histogram("core_handle_seconds", "Time of the core to handle an input, in seconds.", prometheus.ExponentialBuckets(0.00001, 4, 9)),
		coreValues:    &coreCollector{},
	}
	m.registry.MustRegister(m.requests, m.requestSeconds, m.peerBatches, m.peerMessages, m.peerBytes, m.peerDrops, m.peerReceivedMessages,
		m.storeWrites, m.syncSeconds, m.storeBytes, m.endpointCalls, m.waitingInputs, m.handleSeconds, m.coreValues,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// RequestDone implements httpapi.Observer.
func (m *metrics) RequestDone(route, method string, status int, d time.Duration) {
	code := strconv.Itoa(status)
	m.requests.WithLabelValues(route, knownMethod(method), code).Inc()
	m.requestSeconds.WithLabelValues(route, code).Observe(d.Seconds())
}

// knownMethod returns the value of the method label. Callers choose the method, so unknown ones share one value to
// bound the number of time series.
func knownMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete:
		return method
	}
	return "other"
}

func (m *metrics) inputHandled(d time.Duration) { m.handleSeconds.Observe(d.Seconds()) }

func (m *metrics) setWaitingInputs(urgent, requests int) {
	m.waitingInputs.WithLabelValues("urgent").Set(float64(urgent))
	m.waitingInputs.WithLabelValues("requests").Set(float64(requests))
}

func (m *metrics) peerBatch(peer string, delivered bool, messages, bytes int) {
	result := "delivered"
	if !delivered {
		result = "failed"
	}
	m.peerBatches.WithLabelValues(peer, result).Inc()
	m.peerMessages.WithLabelValues(peer).Add(float64(messages))
	m.peerBytes.WithLabelValues(peer).Add(float64(bytes))
}

func (m *metrics) peerDropped(peer string, n int) {
	if n > 0 {
		m.peerDrops.WithLabelValues(peer).Add(float64(n))
	}
}

func (m *metrics) peerReceived(peer string, n int) {
	m.peerReceivedMessages.WithLabelValues(peer).Add(float64(n))
}

func (m *metrics) storeWritten(replaced bool, d time.Duration, size int64) {
	kind := "append"
	if replaced {
		kind = "replace"
	}
	m.storeWrites.WithLabelValues(kind).Inc()
	m.syncSeconds.Observe(d.Seconds())
	m.storeBytes.Set(float64(size))
}

func (m *metrics) endpointCalled(op endpoint.Op, result string) {
	m.endpointCalls.WithLabelValues(string(op), result).Inc()
}

func (m *metrics) sampleMetrics(g []MetricValue) { m.coreValues.set(g) }

// coreCollector exports the last sample of the values that the core reports.
type coreCollector struct {
	mu   sync.Mutex
	last []MetricValue
}

func (c *coreCollector) set(g []MetricValue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = g
}

// Describe implements prometheus.Collector. It sends nothing, which marks the collector as unchecked, because only the
// core knows the names of its values.
func (c *coreCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *coreCollector) Collect(out chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range c.last {
		kind := prometheus.GaugeValue
		if g.Counter {
			kind = prometheus.CounterValue
		}
		desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "core", g.Name), "Value reported by the node core.", []string{"group"}, nil)
		out <- prometheus.MustNewConstMetric(desc, kind, g.Value, g.Group)
	}
}
