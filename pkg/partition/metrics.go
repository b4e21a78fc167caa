package partition

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Metrics holds the counters of the partitions of one VM.
type Metrics struct {
	ended       *prometheus.CounterVec
	outcomes    *prometheus.CounterVec
	claims      *prometheus.CounterVec
	resultsShed prometheus.Counter
}

// NewMetrics returns the metrics, registered with reg unless it is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "carawayusher", Subsystem: "partition", Name: name, Help: help}
	}
	m := &Metrics{
		ended:       prometheus.NewCounterVec(opts("jobs_ended_total", "Ended jobs by state."), []string{"state"}),
		outcomes:    prometheus.NewCounterVec(opts("attempt_outcomes_total", "Outcomes of attempts that were taken, by outcome."), []string{"outcome"}),
		claims:      prometheus.NewCounterVec(opts("claims_total", "Claims of at-most-once attempts by result (ok or error kind)."), []string{"result"}),
		resultsShed: prometheus.NewCounter(opts("results_shed_total", "Results dropped before the end of their retention because memory was full.")),
	}
	if reg != nil {
		reg.MustRegister(m.ended, m.outcomes, m.claims, m.resultsShed)
	}
	return m
}

// resultLabel returns "ok" or the kind of the error.
func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	return string(errkind.Of(err))
}
