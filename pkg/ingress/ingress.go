// Package ingress is the callers' HTTP interface. A request passes a chain of
// filters (request ID, authentication, reserved headers, validation,
// admission) and is then routed to the owner of the job's partition. The
// package keeps no state besides open calls and rate limiters.
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

// Defaults of Limits.
const (
	DefaultMaxBody  = 1 << 20
	DefaultMaxWait  = 60 * time.Second
	DefaultMaxCalls = 8192
	// DefaultAcceptTimeout covers the takeover of a dead owner, which takes less
	// than 5 s, with some reserve.
	DefaultAcceptTimeout = 10 * time.Second
	// DefaultAttemptTimeout makes a call to an owner that no longer answers end
	// early enough for a second attempt within DefaultAcceptTimeout.
	DefaultAttemptTimeout = 4 * time.Second
)

// WorkerLister returns the workers of all failure domains, ordered by ID.
type WorkerLister interface {
	Workers(ctx context.Context) ([]api.WorkerStatus, error)
}

// Limits bounds one VM's callers. A zero field takes its default.
type Limits struct {
	MaxBody  int64         // bytes of a request body
	MaxWait  time.Duration // longest wait that a call may ask for
	MaxCalls int           // open calls; further ones are refused as overloaded
	// AcceptTimeout bounds a call apart from the wait that the caller asks for.
	AcceptTimeout time.Duration
	// AttemptTimeout bounds one attempt to reach the owner of a partition.
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

// Options are the parts that an Ingress works with. Recorder and Registerer
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

// Ingress serves callers on one VM.
type Ingress struct {
	Options
	tokens  tokenIndex
	quotas  quotas
	calls   openCalls
	metrics *metrics
	// pick returns a number from 0 to n-1, for the choice of a partition.
	pick func(n int) int
}

// New returns an Ingress that serves nothing until it is registered.
func New(o Options) *Ingress {
	o.Limits = o.Limits.withDefaults()
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	in := &Ingress{Options: o, pick: rand.IntN}
	in.calls.init()
	in.metrics = newMetrics(o.Registerer, in.calls.count)
	return in
}

// Register adds the callers' routes. The filters stand in the order in which
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
