package fleet

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/internal/processusage"
	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/metrics"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// Timings of ownership and orders.
const (
	// LeaseTTL is the TTL of the ownership lease and thus the takeover time after the
	// owner is killed; the store's shortest lease is 1 s.
	LeaseTTL = 1200 * time.Millisecond
	// ownershipRenewInterval leaves three attempts within a lease. Renewals overlap, so
	// that a slow answer does not delay the next one.
	ownershipRenewInterval = LeaseTTL / 4
	// cutOffThreshold is the age of the last renewal, and of the last answer of the
	// store, from which the owner asks another VM to delete the owner key.
	cutOffThreshold = 2*ownershipRenewInterval - 50*time.Millisecond
	// storeProbeTimeout is many times the usual answer time of the store, 4 ms.
	storeProbeTimeout = 100 * time.Millisecond
	// ownershipMargin is how long before the expiry at the store the owner treats its
	// lease as expired.
	ownershipMargin = 150 * time.Millisecond
	// storeTimeout bounds a call to the store; a slow store answers within 0.4 s.
	storeTimeout = time.Second
	// storeRetryDelay is the first delay after a failed call to the store.
	storeRetryDelay    = 50 * time.Millisecond
	maxStoreRetryDelay = 500 * time.Millisecond

	// maxWorkerLease is the lease of the runs on a worker, unless the worker accepts only
	// a shorter one. It outlasts a takeover and most network partitions; the platform's
	// maximum is 10 s.
	maxWorkerLease = 9 * time.Second
	// maxClockDrift is the share by which a worker's clock may run slow, as documented by
	// the platform.
	maxClockDrift = 0.02
	// clockReadingMargin covers the rounding of clock readings to milliseconds, twice.
	clockReadingMargin = 2 * time.Millisecond
	// startOrderTTL is how long an unanswered start order may still be carried out.
	startOrderTTL = 3 * time.Second
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = 400 * time.Millisecond
	// maxStartSends is how often an unanswered start order is sent: again after three
	// usual answer times, and then after twice that delay. After startTimeout the start
	// counts as uncertain.
	maxStartSends = 3
	startTimeout  = 600 * time.Millisecond
	// maxOpenContacts is the maximum number of concurrent first calls to workers. A
	// successor calls all workers with runs; its own lease must not wait behind them.
	maxOpenContacts = 32
	// minContactSlotHold is the least time for which a first call that is not answered
	// counts as one of these.
	minContactSlotHold = 100 * time.Millisecond
	// renewMaxWait is how long a lease renewal at a busy worker waits for the end of a
	// run, the platform's maximum.
	renewMaxWait = 2 * time.Second
	// renewTimeoutMargin is added to that wait for the timeout of the call.
	renewTimeoutMargin = 700 * time.Millisecond
	// ackWait bounds the wait for ends to be stored before the next lease renewal, so
	// that further ends are reported while the store is slow. After outageAfterRenewals
	// such waits in a row the store counts as unavailable and outageAckWait applies.
	ackWait             = 100 * time.Millisecond
	outageAfterRenewals = 8
	outageAckWait       = 800 * time.Millisecond
	// maxClockReadingAge is the age of a clock reading after which a worker is called
	// again before a start; a drift of 2% over it stays below startOrderTTL.
	maxClockReadingAge = 15 * time.Second
	// maxLabelAge is the age of an answer up to which a worker is taken to have the labels of
	// its entry, for a task that requires one.
	maxLabelAge = 500 * time.Millisecond

	// retentionMargin is added to the retention of ended jobs.
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
	// ObserveConfig tells that a job was accepted by a version of the configuration, which
	// this VM may not have yet; nil if nobody has to know.
	ObserveConfig func(version int64)
	Clock         Clock
	Now           func() time.Time
	Log           logr.Logger
	// Memory is the memory of this VM in bytes; 0: not known.
	Memory  int64
	Address string // where other VMs reach this one
	// ReleaseOwnerKey makes another VM free the owner key of the owner with a
	// token; kind conflict means that there is another owner. LastStoreAnswer
	// returns the time of the store's last answer to this VM. Without these two a
	// successor waits for the lease to expire.
	ReleaseOwnerKey func(ctx context.Context, token int64) error
	LastStoreAnswer func() time.Duration
	// AskOwner asks other VMs for the owner, while this one cannot read the owner key; nil if
	// there is nobody to ask.
	AskOwner func(ctx context.Context) []OwnerHint
	// AskVM asks the VM at an address for the owner. Without it an owner never hands the fleet
	// over to a larger VM.
	AskVM               func(ctx context.Context, address string) (OwnerHint, error)
	Name                string
	EndedJobRetention   time.Duration // how long the state of ended jobs can be queried
	HeartbeatInterval   time.Duration // interval at which a worker writes its entry; 0: no periodic writes expected
	MaxWorkerLease      time.Duration // longest lease that a worker accepts; 0: unknown
	CheckpointIntervalS float64       // seconds of work between checkpoints
	RemoteSlowdown      float64       // factor of the run time of a task away from its data
	// ReclaimBound is the time from its acceptance within which the first step of an urgent
	// job within its workspace's guarantee must start; 0: not known, it preempts at once.
	ReclaimBound time.Duration
	// Machines, Waves and Advice are nil if the platform does not offer them.
	Machines            MachineClient
	Waves               WaveStore
	Advice              AdviceClient
	MaintenanceDuration time.Duration // how long the maintenance of a machine takes
	// EvacuationPrefix is the prefix of the keys that name evacuated failure domains; empty if
	// the deployment has no evacuations. EvacuationBound is the time from the store's answer to
	// the operator until no task may start in the domain.
	EvacuationPrefix string
	EvacuationBound  time.Duration
	Metrics          *metrics.Set // nil disables metrics
	// WorkerSpeeds makes the owner estimate the speeds of workers and place urgent work and gangs
	// by them. It is off by default, as other work may lose by it.
	WorkerSpeeds bool
	// ProcessUsage returns the resources that this process uses; nil disables their report.
	ProcessUsage  func() processusage.Usage
	DisabledRules Rules // decision rules that are not applied
}
