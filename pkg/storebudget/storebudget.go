// Package storebudget wraps the platform's store and limits the rate of one VM's
// calls to the VM's share of the store's rates. Calls wait in order of priority.
// The package also counts calls by outcome and detects outages; it never retries a
// call.
package storebudget

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// Defaults of Options.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
	// DefaultReconnectWindow is the time over which the first calls of all VMs are
	// spread after an outage.
	DefaultReconnectWindow = time.Second
)

// Options configures a Budget.
type Options struct {
	Store platform.Store
	// WritesPerSecond and ReadsPerSecond are the rate limits of the store for all VMs
	// together; 0 means the default.
	WritesPerSecond, ReadsPerSecond float64
	// LiveVMs returns the number of VMs that share the rates; nil means 1.
	LiveVMs func() int
	// ReconnectWindow is the time over which calls are spread after an outage; 0
	// means DefaultReconnectWindow, a negative value disables this.
	ReconnectWindow time.Duration
	// OnOutage is called at the start (down is true) and at the end of each outage,
	// one call at a time. It must not block.
	OnOutage func(down bool)
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	Log        logr.Logger
}

// Budget is a platform.Store that delays calls to stay within the VM's share of the
// store's rates. A call whose context ends while it is delayed returns an error of
// kind quota_exceeded: nothing was sent. KeepAlive is never delayed.
type Budget struct {
	opts          Options
	writes, reads *priorityBucket
	outage        outageDetector
	calls         *prometheus.CounterVec
	waits         prometheus.Histogram
	down          prometheus.Gauge
}

var _ platform.Store = (*Budget)(nil)

// New returns a Budget around opts.Store.
func New(opts Options) *Budget {
	if opts.WritesPerSecond <= 0 {
		opts.WritesPerSecond = DefaultWritesPerSecond
	}
	if opts.ReadsPerSecond <= 0 {
		opts.ReadsPerSecond = DefaultReadsPerSecond
	}
	if opts.ReconnectWindow == 0 {
		opts.ReconnectWindow = DefaultReconnectWindow
	}
	if opts.LiveVMs == nil {
		opts.LiveVMs = func() int { return 1 }
	}
	if opts.Log.GetSink() == nil {
		opts.Log = logr.Discard()
	}
	b := &Budget{
		opts:   opts,
		writes: newBucket(opts.WritesPerSecond),
		reads:  newBucket(opts.ReadsPerSecond),
	}
	b.newMetrics()
	b.outage.notify = b.handleOutageChange
	return b
}

func (b *Budget) newMetrics() {
	b.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "carawayusher_store_calls_total",
		Help: "Calls to the platform's store, by operation and outcome (ok or error kind).",
	}, []string{"operation", "outcome"})
	b.waits = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "carawayusher_store_budget_wait_seconds",
		Help:    "Time that store calls waited for the VM's share of the store's rates.",
		Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
	})
	b.down = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "carawayusher_store_down",
		Help: "1 while the store does not answer, else 0.",
	})
	if b.opts.Registerer != nil {
		b.opts.Registerer.MustRegister(b.calls, b.waits, b.down)
	}
}

func (b *Budget) handleOutageChange(down bool) {
	if down {
		b.down.Set(1)
		b.opts.Log.Info("store does not answer")
	} else {
		b.down.Set(0)
		b.opts.Log.Info("store answers again")
	}
	if b.opts.OnOutage != nil {
		b.opts.OnOutage(down)
	}
}

// Down reports whether the store is considered unreachable.
func (b *Budget) Down() bool { return b.outage.isDown() }

// wait delays a call until the VM's budget allows it.
func (b *Budget) wait(ctx context.Context, bk *priorityBucket, perSecond float64) error {
	start := time.Now()
	priority := priorityOf(ctx)
	if err := b.delayAfterOutage(ctx, priority); err != nil {
		return err
	}
	bk.setRate(perSecond / float64(max(1, b.opts.LiveVMs())))
	if err := bk.acquire(ctx, priority); err != nil {
		return errkind.Wrap(err, errkind.QuotaExceeded, "store call was not made: the VM's share of the store's rate is used up")
	}
	b.waits.Observe(time.Since(start).Seconds())
	return nil
}

// delayAfterOutage delays a call within the reconnect window by a random part of
// the rest of the window, so that calls of all VMs are spread. Claims are not
// delayed.
func (b *Budget) delayAfterOutage(ctx context.Context, p Priority) error {
	remaining := b.opts.ReconnectWindow - b.outage.timeSinceEnd()
	if p == PriorityClaim || remaining <= 0 {
		return nil
	}
	timer := time.NewTimer(rand.N(remaining))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.QuotaExceeded, "store call was not made: calls are spread after an outage")
	}
}

func (b *Budget) waitWrite(ctx context.Context) error {
	return b.wait(ctx, b.writes, b.opts.WritesPerSecond)
}

func (b *Budget) waitRead(ctx context.Context) error {
	return b.wait(ctx, b.reads, b.opts.ReadsPerSecond)
}

// recordCall counts a call by its outcome and updates the outage detector.
func (b *Budget) recordCall(ctx context.Context, operation string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(errkind.Of(err))
	}
	b.calls.WithLabelValues(operation, outcome).Inc()
	switch {
	case err == nil:
		b.outage.recordAnswer()
	case errors.Is(ctx.Err(), context.Canceled), ctx.Err() != nil && operation == opWatch:
		// The caller canceled the call, or a watch ended without changes.
	case ctx.Err() != nil || !isAnswer(err):
		b.outage.recordFailure()
	default:
		b.outage.recordAnswer()
	}
}

// isAnswer reports whether the error shows that the store answered.
func isAnswer(err error) bool {
	switch errkind.Of(err) {
	case errkind.Conflict, errkind.NotFound, errkind.TooLarge, errkind.QuotaExceeded:
		return true
	default:
		return false
	}
}
