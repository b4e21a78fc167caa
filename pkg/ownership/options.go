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

// Timings.
const (
	// DefaultLeaseTTL leaves, of the 5 s of a takeover, 2 s to claim the shards
	// and to read their journals.
	DefaultLeaseTTL = 3 * time.Second
	// HandoverDelay is how long another VM must have been the desired owner
	// before a shard is handed over, so that it does not follow each flap.
	HandoverDelay = 2 * time.Second
	// StartupClaimDelay is how long a VM that starts waits before it claims shards
	// without an owner: the first of many VMs that restart at once would take
	// all of them, to hand most over again.
	StartupClaimDelay = time.Second
	// settleJitter and claimJitter spread the calls of VMs that act on one cause.
	settleJitter = 500 * time.Millisecond
	claimJitter  = 100 * time.Millisecond
	// stepInterval is how often the desired owners are compared with the owners
	// when nothing has changed.
	stepInterval = 250 * time.Millisecond
	// pauseLimit is the gap between two looks at the monotonic clock after which
	// this VM checks its lease before it counts as owner of anything.
	pauseLimit = time.Second
	// stopTimeout bounds the hand-over of one shard by the host.
	stopTimeout = 30 * time.Second
	// createWorkers bounds the claims of one VM that are under way at a time.
	createWorkers = 8
)

// EpochRenewer is implemented by a Host that can go on with a shard under a new
// epoch without reading everything again. It is asked when the lease lapsed in
// an outage of the store and this VM has claimed the same shard again. False
// means that the shard must be stopped and started.
type EpochRenewer interface {
	RenewEpoch(ctx context.Context, shard Shard, epoch int64) bool
}

// Options configures a Manager.
type Options struct {
	Store platform.Store
	// Watch delivers the owner keys; New subscribes to it.
	Watch   *controlwatch.Watch
	Members membership.View
	// Shards returns all shards that need an owner.
	Shards func() []Shard
	Host   Host
	// LeaseTTL is the time to live of the VM's lease; 0 means DefaultLeaseTTL.
	LeaseTTL time.Duration
	// MayRebalance says whether shards may be handed to a better owner; nil means
	// always. Takeover and Drain do not ask.
	MayRebalance func() bool
	Log          logr.Logger
	Recorder     timeline.Recorder

	now func() time.Time // tests let one VM's clock jump
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
