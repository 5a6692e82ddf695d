package corehost

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/mustardwalk/mustardwalk/internal/dispatch"
	"github.com/mustardwalk/mustardwalk/internal/domain"
	"github.com/mustardwalk/mustardwalk/internal/service"
)

// Metrics are the metrics of a core host. Those of scheduling decisions change on the leader only.
type Metrics struct {
	Registry    *prometheus.Registry
	applied     prometheus.Counter
	skipped     prometheus.Counter
	leaderships prometheus.Counter
	voters      prometheus.Counter
	configs     prometheus.Counter
	syncs       prometheus.Histogram
	commits     prometheus.Histogram
	ticks       prometheus.Histogram
	calls       *prometheus.CounterVec
	operations  *prometheus.CounterVec
	workerCalls *prometheus.CounterVec
	taskWaits   *prometheus.HistogramVec
	attempts    *prometheus.HistogramVec
	preemptions *prometheus.CounterVec
	rejections  *prometheus.CounterVec
	withheld    *prometheus.CounterVec
	unknown     prometheus.Counter
	jobs        *prometheus.HistogramVec
	samples     *prometheus.CounterVec
	speeds      prometheus.Histogram
	placements  *prometheus.CounterVec
	apart       *prometheus.CounterVec
	previews    *prometheus.CounterVec
}

// Buckets of the histograms, in seconds.
var (
	shortTimes = prometheus.ExponentialBuckets(0.001, 2, 12) // For syncs, commits and ticks: 1 ms to 2 s.
	// speedRatios have 10 buckets from 0.2 to 2.7.
	speedRatios = prometheus.ExponentialBuckets(0.2, 4.0/3, 10)
	longTimes   = prometheus.ExponentialBuckets(0.02, 2, 14) // For waits, attempts and jobs: 20 ms to 3 min.
)

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	r := prometheus.NewRegistry()
	f := promauto.With(r)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: "mustardwalk_" + name, Help: help})
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{Name: "mustardwalk_" + name, Help: help}, labels)
	}
	histogram := func(name, help string) prometheus.Histogram {
		return f.NewHistogram(prometheus.HistogramOpts{Name: "mustardwalk_" + name, Help: help, Buckets: shortTimes})
	}
	histograms := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return f.NewHistogramVec(prometheus.HistogramOpts{Name: "mustardwalk_" + name, Help: help, Buckets: longTimes}, labels)
	}
	return &Metrics{
		Registry:    r,
		applied:     counter("entries_applied_total", "Entries of the log applied."),
		skipped:     counter("entries_skipped_total", "Entries of the log that could not be decoded."),
		leaderships: counter("leaderships_total", "Leaderships begun on this host."),
		voters:      counter("voter_changes_total", "Changes of the voters applied."),
		configs:     counter("configs_applied_total", "Configurations that came into force."),
		syncs:       histogram("disk_sync_seconds", "Time of a write with its sync."),
		commits:     histogram("commit_seconds", "Time from a proposal of a caller, operator or worker to its result."),
		ticks:       histogram("tick_seconds", "Time of the leader's decisions in one step."),
		calls:       counters("calls_total", "Calls of callers answered on the leader.", "kind", "verdict"),
		operations:  counters("operations_total", "Calls of operators and workers answered on the leader.", "kind", "outcome"),
		workerCalls: counters("worker_calls_total", "Calls to workers.", "kind", "status"),
		taskWaits:   histograms("task_wait_seconds", "Time from when a task could start to the commit of its attempt.", "priority"),
		attempts:    histograms("attempt_seconds", "Time from the commit of an attempt to its end.", "outcome"),
		preemptions: counters("attempts_reclaimed_total", "Attempts ended for urgent work.", "priority"),
		rejections:  counters("starts_rejected_total", "Starts that workers rejected.", "reason"),
		withheld:    counters("starts_withheld_total", "Steps that began to wait for a reason other than room.", "reason"),
		unknown:     counter("attempts_unknown_total", "Attempts that workers listed as running although the domain does not place them there."),
		samples:     counters("speed_samples_total", "Run times of attempts considered as samples of the speed of their workers.", "result"),
		speeds: f.NewHistogram(prometheus.HistogramOpts{
			Name: "mustardwalk_worker_speed_ratio", Help: "Recorded speeds of workers, relative to the median of the fleet.", Buckets: speedRatios,
		}),
		apart:      counters("placements_apart_total", "Attempts begun of images that are known to do or to suffer harm beside others, by whether such an image runs on the worker.", "result"),
		previews:   counters("placement_explanations_total", "Questions where a job would be placed, as answered on the leader.", "verdict"),
		placements: counters("placements_by_speed_total", "Attempts begun, by what is known of the speed of the worker.", "class"),
		jobs:       histograms("job_seconds", "Time from the acceptance of a job to its end.", "state"),
	}
}

func (m *Metrics) call(k service.RequestKind, v service.Verdict) {
	m.calls.WithLabelValues(k.String(), v.String()).Inc()
}

func (m *Metrics) explained(v service.Verdict) { m.previews.WithLabelValues(v.String()).Inc() }

func (m *Metrics) operation(k service.OperationKind, o service.Outcome) {
	m.operations.WithLabelValues(k.String(), o.String()).Inc()
}

func (m *Metrics) workerCall(k dispatch.CallKind, s dispatch.Status) {
	m.workerCalls.WithLabelValues(k.String(), s.String()).Inc()
}

// maxPriorityLabel bounds the number of values of the label "priority". All priorities less urgent than this share the
// last value.
const maxPriorityLabel = 4

func priorityLabel(p int) string { return strconv.Itoa(max(0, min(p, maxPriorityLabel))) }

// AttemptBegun implements dispatch.Observer.
func (m *Metrics) AttemptBegun(priority int, waited time.Duration) {
	m.taskWaits.WithLabelValues(priorityLabel(priority)).Observe(waited.Seconds())
}

// AttemptEnded implements dispatch.Observer.
func (m *Metrics) AttemptEnded(o domain.Outcome, ran time.Duration) {
	m.attempts.WithLabelValues(o.String()).Observe(ran.Seconds())
}

// AttemptPreempted implements dispatch.Observer.
func (m *Metrics) AttemptPreempted(priority int) {
	m.preemptions.WithLabelValues(priorityLabel(priority)).Inc()
}

// StartRejected implements dispatch.Observer.
func (m *Metrics) StartRejected(s dispatch.Status) { m.rejections.WithLabelValues(s.String()).Inc() }

// StartWithheld implements dispatch.Observer.
func (m *Metrics) StartWithheld(reason string) { m.withheld.WithLabelValues(reason).Inc() }

// UnknownAttempt implements dispatch.Observer.
func (m *Metrics) UnknownAttempt() { m.unknown.Inc() }

// JobEnded implements dispatch.Observer.
func (m *Metrics) JobEnded(s domain.JobState, age time.Duration) {
	m.jobs.WithLabelValues(s.String()).Observe(age.Seconds())
}

// SpeedSample implements dispatch.Observer.
func (m *Metrics) SpeedSample(result string) { m.samples.WithLabelValues(result).Inc() }

// SpeedRecorded implements dispatch.Observer.
func (m *Metrics) SpeedRecorded(relative float64) { m.speeds.Observe(relative) }

// PlacedBySpeed implements dispatch.Observer.
func (m *Metrics) PlacedBySpeed(class string) { m.placements.WithLabelValues(class).Inc() }

// PlacedApart implements dispatch.Observer.
func (m *Metrics) PlacedApart(result string) { m.apart.WithLabelValues(result).Inc() }

// registerGauges registers the gauges that read the state of a host.
func (m *Metrics) registerGauges(h *Host) {
	gauge := func(name, help string, read func() int) {
		promauto.With(m.Registry).NewGaugeFunc(prometheus.GaugeOpts{Name: "mustardwalk_" + name, Help: help}, func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return float64(read())
		})
	}
	gauge("open_jobs", "Accepted jobs that have not ended.", func() int { return len(h.stateMachine.OpenJobs()) })
	gauge("workers", "Registered workers.", func() int { return len(h.stateMachine.Workers()) })
	gauge("known_hosts", "Hosts that keep the state, as far as known here.", func() int { return len(h.knownHosts) })
	gauge("config_version", "Version of the configuration in force.", func() int { return int(h.configVersion()) })
	gauge("interference_pairs", "Recorded pairs of images, harmful or not.", func() int { return len(h.stateMachine.Interference()) })
	gauge("zones_out", "Availability zones out of service.", func() int { return len(h.stateMachine.ZonesOut()) })
	promauto.With(m.Registry).NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mustardwalk_workspace_in_use_ratio", Help: "Highest share of its maximum that a workspace has in use, over all workspaces and resources.",
	}, func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.stateMachine.HighestUse()
	})
	gauge("leads", "1 while this host leads.", func() int {
		if h.leads(h.now()) {
			return 1
		}
		return 0
	})
}
