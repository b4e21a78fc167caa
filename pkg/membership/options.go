package membership

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/peer"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Timings. A heartbeat reaches all of 50 members within three rounds, which
// leaves 500 ms before a member whose heartbeats arrive by way of others only
// would be suspected.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultFanout            = 3
	SuspectAfter             = 2 * time.Second
	DeadAfter                = 5 * time.Second
	// PauseLimit is the gap between two looks at the monotonic clock that counts
	// as a pause of this VM.
	PauseLimit = time.Second
	// DefaultListInterval is how often the VM list is read; G6 leaves 3 s from the
	// first sign of a leaving target.
	DefaultListInterval = time.Second
	// LeavingTTL is how long a target counts as leaving after the last report.
	LeavingTTL = 30 * time.Second
	// forgetAfter is how long the incarnation of a dead member is remembered, so
	// that digests of slow peers do not bring it back.
	forgetAfter = 10 * time.Minute
	// detailsInterval limits how often the own summaries are read.
	detailsInterval = time.Second
)

// Method is the name of the heartbeat request between VMs.
const Method = "member.heartbeat"

// Options configures a Membership.
type Options struct {
	// Self holds ID, Address, FailureDomain and Incarnation of this VM. ID is the
	// VM's ID in the platform's list.
	Self Member
	// Seeds are peer addresses from the settings.
	Seeds    []string
	Caller   peer.Caller
	Registry peer.Registry
	// VMs is the platform's list; nil means that there is none. The address of an
	// entry VM in it is its peer address.
	VMs platform.VMLister
	// HeartbeatInterval is the time between heartbeats; 0 means the default.
	HeartbeatInterval time.Duration
	// ListInterval is the time between reads of the VM list; 0 means the default.
	ListInterval time.Duration
	// Fanout is the number of peers that get each heartbeat; 0 means the default.
	Fanout   int
	Log      logr.Logger
	Recorder timeline.Recorder

	now func() time.Time // tests let one VM's clock jump
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.ListInterval <= 0 {
		o.ListInterval = DefaultListInterval
	}
	if o.Fanout <= 0 {
		o.Fanout = DefaultFanout
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

// callbacks are set before Run.
type callbacks struct {
	domains          func() []sched.Summary
	shards           func() (epochs map[string]int64, leased bool)
	eventSeq         func() uint64
	onPause          []func(pause time.Duration)
	onHigherRevision []func(address string, revision int64)
	onChange         []func()
}
