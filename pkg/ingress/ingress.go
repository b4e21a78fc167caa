// Package ingress implements the HTTP API for clients. A request passes a chain
// of filters (request ID, authentication, reserved headers, validation,
// admission) and is then routed to the owner of the job's partition. The
// package keeps no state except open calls, rate limiters and a token index
// derived from the configuration.
package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/configsync"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Default values of Limits.
const (
	DefaultMaxBody  = 1 << 20
	DefaultMaxWait  = 60 * time.Second
	DefaultMaxCalls = 8192
	// DefaultAcceptTimeout covers the takeover from a failed owner, which takes
	// less than 5 s, with some margin.
	DefaultAcceptTimeout = 10 * time.Second
	// DefaultAttemptTimeout ends a call to an unresponsive owner early enough for
	// a second attempt within DefaultAcceptTimeout.
	DefaultAttemptTimeout = 4 * time.Second
)

// WorkerLister returns the workers of all failure domains, ordered by ID.
type WorkerLister interface {
	Workers(ctx context.Context) ([]api.WorkerStatus, error)
}

// Limits bounds the calls that one VM serves. A zero field means its default.
type Limits struct {
	MaxBody  int64         // maximum size of a request body in bytes
	MaxWait  time.Duration // longer requested waits are reduced to this
	MaxCalls int           // maximum number of open calls; more are refused as overloaded
	// AcceptTimeout bounds the retries of a call unless the requested wait is
	// longer. Retries of a submission that is not durable end with its wait.
	AcceptTimeout time.Duration
	// AttemptTimeout bounds one request to the owner of a partition; a Wait
	// request may take its wait time in addition.
	AttemptTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxBody, DefaultMaxBody)
	setDefault(&l.MaxWait, DefaultMaxWait)
	setDefault(&l.MaxCalls, DefaultMaxCalls)
	setDefault(&l.AcceptTimeout, DefaultAcceptTimeout)
	setDefault(&l.AttemptTimeout, DefaultAttemptTimeout)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Options are the dependencies and limits of an Ingress. Recorder and Registerer
// may be nil.
type Options struct {
	Service    partition.Service
	Workers    WorkerLister
	Config     configsync.Source
	Members    membership.View
	Owners     ownership.Locator
	Partitions int
	Recorder   timeline.Recorder
	Log        logr.Logger
	Registerer prometheus.Registerer
	Limits     Limits
}

// Ingress serves the client API on one VM.
type Ingress struct {
	Options
	tokens          tokenIndex
	requestLimiters requestLimiters
	calls           openCalls
	metrics         *metrics
	// randIntN returns a random number from 0 to n-1, for the choice of a
	// partition.
	randIntN func(n int) int
}

// New returns an Ingress. It serves no requests until Register is called.
func New(o Options) *Ingress {
	o.Limits = o.Limits.withDefaults()
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	in := &Ingress{Options: o, randIntN: rand.IntN}
	in.calls.init()
	in.metrics = newMetrics(o.Registerer, in.calls.count)
	return in
}

// Register adds the client routes. The filters are listed in the order in which
// they run.
func (in *Ingress) Register(r gin.IRouter) {
	v1 := r.Group("/v1", in.identify, in.observe, in.recoverPanic, in.track, in.authenticate, stripReserved)
	v1.POST("/jobs", in.validate, in.admit, in.submit)
	v1.GET("/jobs", in.list)
	v1.GET("/jobs/:id", in.validateID, in.status)
	v1.GET("/jobs/:id/result", in.validateID, in.result)
	v1.DELETE("/jobs/:id", in.validateID, in.cancel)
	v1.GET("/workers", in.workers)
}
