package domain

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Metrics holds the metrics of all domains that one VM owns.
type Metrics struct {
	attempts     *prometheus.CounterVec
	queueWait    *prometheus.HistogramVec
	preemptions  *prometheus.CounterVec
	reclaimTime  prometheus.Histogram
	adoptedTasks prometheus.Counter
	claims       *prometheus.CounterVec
}

// waitBuckets includes the bound on the start of urgent work, 6.1 s, as a boundary.
var waitBuckets = []float64{.01, .05, .1, .5, 1, 2, 4, 6.1, 15, 60, 300, 1800, 7200, 28800}

// NewMetrics returns the metrics, registered with reg unless it is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "carawayusher", Subsystem: "domain", Name: name, Help: help}
	}
	histogram := func(name, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{Namespace: "carawayusher", Subsystem: "domain", Name: name, Help: help, Buckets: waitBuckets}
	}
	m := &Metrics{
		attempts:     prometheus.NewCounterVec(prometheus.CounterOpts(opts("attempts_total", "Ended attempts by outcome.")), []string{"outcome"}),
		queueWait:    prometheus.NewHistogramVec(histogram("queue_wait_seconds", "Time from the offer of an attempt to its start, by class."), []string{"class"}),
		preemptions:  prometheus.NewCounterVec(prometheus.CounterOpts(opts("preemptions_total", "Attempts whose places were taken back, by kind of action.")), []string{"kind"}),
		reclaimTime:  prometheus.NewHistogram(histogram("reclaim_seconds", "Time from the decision to take a guaranteed cell back to the end of the borrower's attempt.")),
		adoptedTasks: prometheus.NewCounter(prometheus.CounterOpts(opts("adopted_tasks_total", "Tasks of a former owner that were adopted."))),
		claims:       prometheus.NewCounterVec(prometheus.CounterOpts(opts("claims_total", "Claims of at-most-once attempts by result (ok or error kind).")), []string{"result"}),
	}
	if reg != nil {
		reg.MustRegister(m.attempts, m.queueWait, m.preemptions, m.reclaimTime, m.adoptedTasks, m.claims)
	}
	return m
}

// resultLabel returns "ok" or the error kind of err.
func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	return string(errkind.Of(err))
}
