// Package metrics defines the Prometheus counters and latency histograms of one
// VM and serves them over HTTP. It only records; it makes no decisions.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets are histogram bounds in seconds, from a call within a zone to
// the longest call.
var latencyBuckets = []float64{0.001, 0.005, 0.01, 0.025, 0.1, 0.3, 1, 3}

// Set is the metrics of one process. The recording methods are no-ops on a nil
// Set.
type Set struct {
	registry          *prometheus.Registry
	calls             *prometheus.CounterVec
	callDuration      *prometheus.HistogramVec
	storeCalls        *prometheus.CounterVec
	storeCallDuration *prometheus.HistogramVec
	unansweredCalls   *prometheus.CounterVec
	configAge         *prometheus.HistogramVec
	workerCalls       *prometheus.CounterVec
	runsEnded         *prometheus.CounterVec
	jobsEnded         *prometheus.CounterVec
	placementWait     prometheus.Histogram
	events            *prometheus.CounterVec

	jobsStanding   *prometheus.GaugeVec
	jobsSuspect    *prometheus.GaugeVec
	workers        *prometheus.GaugeVec
	workersBySpeed *prometheus.GaugeVec
	usedShare      *prometheus.GaugeVec
	evacuated      prometheus.Gauge
	jobsOffloaded  prometheus.Gauge
	jobMemory      prometheus.Gauge
	jobMemoryLimit prometheus.Gauge
	openWrites     prometheus.Gauge
	oldestUnstored prometheus.Gauge
	queuedOrders   prometheus.Gauge
	callsWaiting   *prometheus.GaugeVec
	cycleDuration  *prometheus.HistogramVec
	cycleGap       *prometheus.HistogramVec
	takeover       *prometheus.HistogramVec
	jobKnownAge    *prometheus.HistogramVec
}

// New returns a Set with its own registry; dropped returns the total number of
// dropped log lines.
func New(dropped func() int64) *Set {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "carawayusher_" + name, Help: help}, labels)
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "carawayusher_" + name, Help: help, Buckets: latencyBuckets}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "carawayusher_" + name, Help: help})
	}
	gauges := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "carawayusher_" + name, Help: help}, labels)
	}
	s := &Set{
		registry:          prometheus.NewRegistry(),
		calls:             counter("calls_total", "Calls of callers by method and status.", "method", "status"),
		callDuration:      histogram("call_seconds", "Time to answer a call.", "method"),
		storeCalls:        counter("store_calls_total", "Calls to the platform's store by operation and outcome.", "operation", "outcome"),
		storeCallDuration: histogram("store_call_seconds", "Time of a call to the platform's store, watches left out.", "operation"),
		unansweredCalls:   counter("unanswered_calls_total", "Calls without an answer by kind of server and by how the call got its connection.", "server", "connection"),
		configAge:         histogram("config_age_seconds", "Time since the copy of the configuration was known to be current, for each call of a caller.", "answer"),
		workerCalls:       counter("worker_calls_total", "Calls to workers by kind and verdict.", "kind", "verdict"),
		runsEnded:         counter("runs_ended_total", "Ends of runs by reason.", "reason"),
		jobsEnded:         counter("jobs_ended_total", "Jobs by final state.", "state"),
		placementWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "carawayusher_placement_wait_seconds", Help: "Time from a step's turn to its placement.", Buckets: latencyBuckets,
		}),
		events: counter("events_total", "Takeovers, losses of ownership, preemptions, lapsed and stalled runs, ended, ejected and slow workers, suspect jobs, evacuations, withheld and deferred starts, standstills of the process.", "event"),

		jobsStanding:   gauges("jobs_standing", "Jobs of which a task may run and no run is running, by reason.", "service", "reason"),
		workers:        gauges("workers", "Workers known to the owner by state.", "service", "state"),
		workersBySpeed: gauges("workers_by_speed", "Workers of services with uneven workers by class of speed, 1 for a normal one.", "service", "speed"),
		jobsSuspect:    gauges("jobs_suspect", "Live jobs whose tasks fail on most workers that run them.", "service"),
		usedShare:      gauges("service_used_share", "Share of the scarcest resource of a service's listed workers that is in use.", "service"),
		jobsOffloaded:  gauge("jobs_offloaded", "Jobs whose records are only in the store, as they do not fit into the memory."),
		jobMemory:      gauge("job_memory_bytes", "Memory that all jobs take, with those that are offloaded."),
		jobMemoryLimit: gauge("job_memory_limit_bytes", "Memory up to which this VM loads jobs."),
		evacuated:      gauge("evacuated_domains", "Failure domains on whose workers no task may start."),
		openWrites:     gauge("open_writes", "Batches of job progress that are being written."),
		oldestUnstored: gauge("oldest_unstored_change_seconds", "Age of the oldest change of job progress that is not stored."),
		queuedOrders:   gauge("queued_orders", "Orders to workers that are queued."),
		callsWaiting:   gauges("worker_calls_waiting", "Starts, and polls of workers that do not answer, that wait for others to end.", "kind"),
		cycleDuration:  histogram("cycle_seconds", "Duration of a placement cycle."),
		cycleGap:       histogram("cycle_gap_seconds", "Time between two placement cycles."),
		takeover:       histogram("takeover_seconds", "Time since the owner key was seen free, by phase.", "phase"),
		jobKnownAge:    histogram("job_known_age_seconds", "Age of a job when the owner learns of it, by source.", "source"),
	}
	s.registry.MustRegister(s.jobsStanding, s.jobsSuspect, s.workers, s.workersBySpeed, s.usedShare, s.evacuated, s.jobsOffloaded, s.jobMemory, s.jobMemoryLimit, s.openWrites, s.oldestUnstored, s.queuedOrders, s.callsWaiting, s.cycleDuration, s.cycleGap, s.takeover, s.jobKnownAge,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	s.registry.MustRegister(s.calls, s.callDuration, s.storeCalls, s.storeCallDuration, s.unansweredCalls, s.configAge, s.workerCalls, s.runsEnded, s.jobsEnded, s.placementWait, s.events,
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "carawayusher_log_lines_dropped_total", Help: "Log lines dropped for want of room."},
			func() float64 { return float64(dropped()) }))
	return s
}

// Handler returns the HTTP handler that serves the metrics to Prometheus.
func (s *Set) Handler() http.Handler { return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}) }

// Registerer registers further metrics of the process; it is nil if there is no Set.
func (s *Set) Registerer() prometheus.Registerer {
	if s == nil {
		return nil
	}
	return s.registry
}

// Call counts an API call by a client and observes its duration.
func (s *Set) Call(method, status string, took time.Duration) {
	if s != nil {
		s.calls.WithLabelValues(method, status).Inc()
		s.callDuration.WithLabelValues(method).Observe(took.Seconds())
	}
}

// StoreCall counts a call to the platform's store and observes its duration,
// except for polls (watches), for which a duration has no meaning.
func (s *Set) StoreCall(operation, outcome string, took time.Duration) {
	if s != nil {
		s.storeCalls.WithLabelValues(operation, outcome).Inc()
		if operation != "poll" {
			s.storeCallDuration.WithLabelValues(operation).Observe(took.Seconds())
		}
	}
}

// UnansweredCall counts a call that a server has not answered; connection says whether it
// was sent over a new or a reused one.
func (s *Set) UnansweredCall(server, connection string) {
	if s != nil {
		s.unansweredCalls.WithLabelValues(server, connection).Inc()
	}
}

// ConfigAge observes the age of the configuration from which a call is answered.
func (s *Set) ConfigAge(answer string, age time.Duration) {
	if s != nil {
		s.configAge.WithLabelValues(answer).Observe(age.Seconds())
	}
}

// WorkerCall counts a call to a worker by kind and verdict.
func (s *Set) WorkerCall(kind, verdict string) {
	if s != nil {
		s.workerCalls.WithLabelValues(kind, verdict).Inc()
	}
}

// RunEnded counts an ended run by reason.
func (s *Set) RunEnded(reason string) {
	if s != nil {
		s.runsEnded.WithLabelValues(reason).Inc()
	}
}

// JobEnded counts an ended job by final state.
func (s *Set) JobEnded(state string) {
	if s != nil {
		s.jobsEnded.WithLabelValues(state).Inc()
	}
}

// Placed observes the time a step waited for its placement.
func (s *Set) Placed(waited time.Duration) {
	if s != nil {
		s.placementWait.Observe(waited.Seconds())
	}
}

// Event counts a rare event, such as a takeover or a preemption, by name.
func (s *Set) Event(name string) {
	if s != nil {
		s.events.WithLabelValues(name).Inc()
	}
}
