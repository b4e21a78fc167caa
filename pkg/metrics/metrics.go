// Package metrics holds the counters and latency histograms of a VM on the
// platform.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets span from an answer in the same zone to the longest call, in
// seconds.
var latencyBuckets = []float64{0.001, 0.005, 0.01, 0.025, 0.1, 0.3, 1, 3}

// Set is the metrics of one process. Its methods may be called on nil, which
// records nothing.
type Set struct {
	registry   *prometheus.Registry
	calls      *prometheus.CounterVec
	callTime   *prometheus.HistogramVec
	storeCalls *prometheus.CounterVec
	storeTime  *prometheus.HistogramVec
	orders     *prometheus.CounterVec
	ends       *prometheus.CounterVec
	jobs       *prometheus.CounterVec
	startDelay prometheus.Histogram
	events     *prometheus.CounterVec
}

// New returns a Set; dropped reports the log lines that were dropped so far.
func New(dropped func() int64) *Set {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "carawayusher_" + name, Help: help}, labels)
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "carawayusher_" + name, Help: help, Buckets: latencyBuckets}, labels)
	}
	s := &Set{
		registry:   prometheus.NewRegistry(),
		calls:      counter("calls_total", "Calls of callers by method and status.", "method", "status"),
		callTime:   histogram("call_seconds", "Time to answer a call.", "method"),
		storeCalls: counter("store_calls_total", "Calls to the platform's store by operation and outcome.", "operation", "outcome"),
		storeTime:  histogram("store_call_seconds", "Time of a call to the platform's store, watches left out.", "operation"),
		orders:     counter("worker_calls_total", "Calls to workers by kind and verdict.", "kind", "verdict"),
		ends:       counter("runs_ended_total", "Ends of runs by reason.", "reason"),
		jobs:       counter("jobs_ended_total", "Jobs by final state.", "state"),
		startDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "carawayusher_placement_wait_seconds", Help: "Time from a step's turn to its placement.", Buckets: latencyBuckets,
		}),
		events: counter("events_total", "Takeovers, losses of ownership, preemptions, lapsed and stalled runs.", "event"),
	}
	s.registry.MustRegister(s.calls, s.callTime, s.storeCalls, s.storeTime, s.orders, s.ends, s.jobs, s.startDelay, s.events,
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "carawayusher_log_lines_dropped_total", Help: "Log lines dropped for want of room."},
			func() float64 { return float64(dropped()) }))
	return s
}

// Handler serves the metrics as text.
func (s *Set) Handler() http.Handler { return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}) }

// Call records a caller's call.
func (s *Set) Call(method, status string, took time.Duration) {
	if s != nil {
		s.calls.WithLabelValues(method, status).Inc()
		s.callTime.WithLabelValues(method).Observe(took.Seconds())
	}
}

// StoreCall records a call to the store; a watch has no time of its own.
func (s *Set) StoreCall(operation, outcome string, took time.Duration) {
	if s != nil {
		s.storeCalls.WithLabelValues(operation, outcome).Inc()
		if operation != "poll" {
			s.storeTime.WithLabelValues(operation).Observe(took.Seconds())
		}
	}
}

// WorkerCall records a call to a worker.
func (s *Set) WorkerCall(kind, verdict string) {
	if s != nil {
		s.orders.WithLabelValues(kind, verdict).Inc()
	}
}

// RunEnded records the end of a run.
func (s *Set) RunEnded(reason string) {
	if s != nil {
		s.ends.WithLabelValues(reason).Inc()
	}
}

// JobEnded records the final state of a job.
func (s *Set) JobEnded(state string) {
	if s != nil {
		s.jobs.WithLabelValues(state).Inc()
	}
}

// Placed records how long a step waited for its placement.
func (s *Set) Placed(waited time.Duration) {
	if s != nil {
		s.startDelay.Observe(waited.Seconds())
	}
}

// Event counts a rare event by name.
func (s *Set) Event(name string) {
	if s != nil {
		s.events.WithLabelValues(name).Inc()
	}
}
