package ownership

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/controlwatch"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Intervals, timeouts and limits of the Manager.
const (
	// DefaultLeaseTTL is the default time to live of the VM's lease. It leaves 2 s
	// of the 5 s takeover target for claiming the shards and reading their journals.
	DefaultLeaseTTL = 3 * time.Second
	// HandoverDelay is how long another VM must have been the desired owner
	// before a shard is handed over, so that a flapping member does not move shards.
	HandoverDelay = 2 * time.Second
	// StartupClaimDelay is how long a VM waits after its start before it claims
	// shards without an owner. Without the delay the first of many VMs that restart
	// at once would claim all shards and then hand most of them over.
	StartupClaimDelay = time.Second
	// startupClaimJitter and claimJitter are random delays that spread the store
	// calls of VMs that react to the same event.
	startupClaimJitter = 500 * time.Millisecond
	claimJitter        = 100 * time.Millisecond
	// reconcileInterval is the interval of reconciliations when no change triggers
	// one earlier.
	reconcileInterval = 250 * time.Millisecond
	// pauseThreshold is the gap between two readings of the monotonic clock above
	// which the process counts as paused: the VM then verifies its lease before it
	// reports itself as an owner.
	pauseThreshold = time.Second
	// stopTimeout bounds one call of Host.StopShard.
	stopTimeout = 30 * time.Second
	// maxConcurrentClaims bounds the concurrent claims of one VM.
	maxConcurrentClaims = 8
)

// EpochRenewer is implemented by a Host that can move a running shard to a new
// epoch without recovering it. The Manager calls it when the lease expired in a
// store outage and this VM has claimed the same shard again. If RenewEpoch
// returns false, the Manager stops and restarts the shard.
type EpochRenewer interface {
	RenewEpoch(ctx context.Context, shard Shard, epoch int64) bool
}

// Options configures a Manager.
type Options struct {
	Store platform.Store
	// Watch delivers changes of the owner keys; New subscribes to it.
	Watch   *controlwatch.Watch
	Members membership.View
	// Shards returns all shards that need an owner.
	Shards func() []Shard
	Host   Host
	// LeaseTTL is the time to live of the VM's lease; 0 means DefaultLeaseTTL.
	LeaseTTL time.Duration
	// MayRebalance reports whether shards may be handed over to their desired
	// owner; nil means always. Takeover and Drain ignore it.
	MayRebalance func() bool
	Log          logr.Logger
	Recorder     timeline.Recorder

	now func() time.Time // replaced by tests to move one VM's clock
}

func (o Options) withDefaults() Options {
	if o.LeaseTTL <= 0 {
		o.LeaseTTL = DefaultLeaseTTL
	}
	if o.MayRebalance == nil {
		o.MayRebalance = func() bool { return true }
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.now == nil {
		o.now = time.Now
	}
	return o
}
