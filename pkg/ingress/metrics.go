package ingress

import (
	"time"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
)

// kindOK is the value of the label "kind" for responses without an error.
const kindOK = "ok"

type metrics struct {
	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	waits      prometheus.Histogram
	resubmits  prometheus.Counter
	mismatches prometheus.Counter
}

func newMetrics(r prometheus.Registerer, openCount func() float64) *metrics {
	if r == nil {
		r = prometheus.NewRegistry()
	}
	const namespace, subsystem = "carawayusher", "ingress"
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}
	}
	histogram := func(name, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: name, Help: help,
			Buckets: []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 6.1, 15, 30, 60},
		}
	}
	m := &metrics{
		requests:   prometheus.NewCounterVec(prometheus.CounterOpts(opts("requests_total", "Answered requests by route and error kind.")), []string{"route", "kind"}),
		duration:   prometheus.NewHistogramVec(histogram("request_seconds", "Time from request to answer by route."), []string{"route"}),
		waits:      prometheus.NewHistogram(histogram("wait_seconds", "Time for which calls waited for the end of a job.")),
		resubmits:  prometheus.NewCounter(prometheus.CounterOpts(opts("resubmissions_total", "Submissions repeated with the same ID after an owner failed."))),
		mismatches: prometheus.NewCounter(prometheus.CounterOpts(opts("mismatched_answers_total", "Answers dropped because they belong to another request."))),
	}
	openCalls := prometheus.NewGaugeFunc(prometheus.GaugeOpts(opts("open_calls", "Calls that are being answered.")), openCount)
	r.MustRegister(m.requests, m.duration, m.waits, m.resubmits, m.mismatches, openCalls)
	return m
}

// observe counts and logs each response. It runs before the filters that may
// reject a request, so that rejections are counted too.
func (in *Ingress) observe(c *gin.Context) {
	start := time.Now()
	c.Next()
	call := callOf(c)
	kind := string(call.errorKind)
	if kind == "" {
		kind = kindOK
	}
	route := c.Request.Method + " " + c.FullPath()
	in.metrics.requests.WithLabelValues(route, kind).Inc()
	in.metrics.duration.WithLabelValues(route).Observe(time.Since(start).Seconds())
	in.Log.V(1).Info("request answered", "requestId", call.requestID, "workspace", call.workspace, "route", route,
		"job", call.job, "status", c.Writer.Status(), "kind", kind, "duration", time.Since(start))
}
