package membership

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/peer"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Heartbeat and failure detection parameters. With the defaults a counter reaches
// all members of a 50-VM cluster within three rounds. This leaves 500 ms before a
// member whose heartbeats arrive only through other members becomes suspect.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultFanout            = 3
	SuspectAfter             = 2 * time.Second
	DeadAfter                = 5 * time.Second
	// PauseThreshold is the gap between two clock checks above which this VM is
	// considered to have been paused. With a heartbeat interval of more than half of
	// it, two heartbeat intervals are the threshold.
	PauseThreshold = time.Second
	// DefaultListInterval is the interval between reads of the VM list. By guarantee
	// G6 a leaving target gets no new work later than 3 s after the first sign.
	DefaultListInterval = time.Second
	// LeavingTTL is the time after the last report for which a target is treated as
	// leaving.
	LeavingTTL = 30 * time.Second
	// deadMemberRetention is how long a member's record is kept after its counter last
	// grew, so that stale digests from slow peers do not add a dead member again.
	deadMemberRetention = 10 * time.Minute
	// summaryReadInterval is the minimum time between reads of this VM's summaries.
	summaryReadInterval = time.Second
)

// Method is the peer method name of heartbeat requests.
const Method = "member.heartbeat"

// Options configures a Membership.
type Options struct {
	// Self holds the ID, Address, FailureDomain and Incarnation of this VM. ID is its
	// ID in the platform's VM list; an Incarnation of 0 is set to the current time.
	Self Member
	// Seeds holds the configured peer addresses, used for discovery.
	Seeds    []string
	Caller   peer.Caller
	Registry peer.Registry
	// VMs reads the platform's VM list; nil means that there is none. The listed
	// address of an entry VM must be its peer address.
	VMs platform.VMLister
	// HeartbeatInterval is the time between heartbeats; 0 means the default.
	HeartbeatInterval time.Duration
	// ListInterval is the time between reads of the VM list; 0 means the default.
	ListInterval time.Duration
	// Fanout is the number of live peers contacted per round; 0 means the default.
	Fanout   int
	Log      logr.Logger
	Recorder timeline.Recorder

	now func() time.Time // clock; tests replace it to simulate pauses
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

// callbacks holds the functions that are registered before Run; nil ones are not called.
type callbacks struct {
	domains          func() []sched.Summary
	shards           func() (epochs map[string]int64, leased bool)
	eventSeq         func() uint64
	onPause          []func(pause time.Duration)
	onHigherRevision []func(address string, revision int64)
	onChange         []func()
}
