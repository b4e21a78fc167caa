package fleet

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/metrics"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// Timings of ownership and orders.
const (
	// LeaseTTL is the life of the ownership lease. A successor serves this long
	// after a kill; the store's shortest lease is 1 s.
	LeaseTTL = 1200 * time.Millisecond
	// renewEvery leaves three tries within a lease. Renewals overlap, so that an
	// answer that takes long does not delay the next one.
	ownershipRenewInterval = LeaseTTL / 4
	// vacateAfter is the age of the last renewal, and of the last answer of the
	// store, at which the owner lets another VM free the owner key.
	cutOffThreshold = 2*ownershipRenewInterval - 50*time.Millisecond
	// probeTimeout is many times the usual answer of 4 ms.
	storeProbeTimeout = 100 * time.Millisecond
	// leaseMargin is how much earlier than the store the owner gives up.
	ownershipMargin = 150 * time.Millisecond
	// storeTimeout bounds a call to the store; a slow store answers within 0.4 s.
	storeTimeout = time.Second
	// retryPause is the first pause after a failed call to the store.
	storeRetryDelay    = 50 * time.Millisecond
	maxStoreRetryDelay = 500 * time.Millisecond

	// longestLease is the life of everything on a worker without a renewal. It
	// outlasts a takeover and most cuts; the platform's maximum is 10 s.
	maxWorkerLease = 9 * time.Second
	// clockSlack is how much slower a worker's clock may run, by the platform's page.
	maxClockDrift = 0.02
	// startWindow is how long an unanswered start may still be carried out.
	startOrderTTL = 3 * time.Second
	// orderTimeout bounds an order without an answer.
	orderTimeout = 400 * time.Millisecond
	// startTries is how often an unanswered start is sent, after three usual answer
	// times and then after twice as long, and startPatience the time after which it
	// is settled.
	maxStartSends = 3
	startTimeout  = 600 * time.Millisecond
	// holdWait is how long a look at a busy worker waits for an end, the
	// platform's maximum.
	renewMaxWait = 2 * time.Second
	// holdMargin is added to the wait before a look is given up.
	renewTimeoutMargin = 700 * time.Millisecond
	// ackPause bounds the wait for the durable note of ends before the next look,
	// so that further ends are learned while the store is slow. After patientLooks
	// of them the store counts as lost and outagePause applies.
	ackWait             = 100 * time.Millisecond
	outageAfterRenewals = 8
	outageAckWait       = 800 * time.Millisecond
	// contactAge is the age of a clock reading after which a worker is asked anew
	// before a start; 2% of it stays below the start window.
	maxClockReadingAge = 15 * time.Second

	// statusMargin is added to the time that ended jobs are kept.
	retentionMargin       = 20 * time.Second
	deleteExpiredInterval = 10 * time.Second
)

// Options configures an Owner.
type Options struct {
	Store        platform.Transactor
	Workers      WorkerClient
	DecodeWorker WorkerDecoder
	WorkerPrefix string // prefix of the workers' entries in the store
	Catalog      func() *catalog.Catalog
	Clock        Clock
	Now          func() time.Time
	Log          logr.Logger
	Address      string // where other VMs reach this one
	// ReleaseOwnerKey makes another VM delete the owner key of the owner with a
	// token; kind conflict means that there is another owner. LastStoreAnswer
	// returns the time of the store's last answer to this VM. Without these two a
	// successor waits for the lease to expire.
	ReleaseOwnerKey     func(ctx context.Context, token int64) error
	LastStoreAnswer     func() time.Duration
	Name                string
	EndedJobRetention   time.Duration // how long the state of ended jobs can be queried
	HeartbeatInterval   time.Duration // interval at which a worker writes its entry; 0: no periodic writes expected
	MaxWorkerLease      time.Duration // longest lease that a worker accepts; 0: unknown
	CheckpointIntervalS float64       // seconds of work between checkpoints
	RemoteSlowdown      float64       // factor of the run time of a task away from its data
	// Machines, Waves and Advice are nil where the platform has no such part.
	Machines            MachineClient
	Waves               WaveStore
	Advice              AdviceClient
	MaintenanceDuration time.Duration // how long the maintenance of a machine takes
	Metrics             *metrics.Set  // nil records nothing
}
