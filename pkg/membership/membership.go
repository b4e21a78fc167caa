// Package membership maintains each VM's view of the VMs that run the daemon, by
// gossip: heartbeats carry a digest of all members. Peer addresses come from the
// settings, the platform's VM list, which may be stale, and received digests. The
// packages that decide on ownership and placement read the view; this package
// makes no such decisions and never treats a listed VM as a member before a
// heartbeat has reported it.
package membership

import (
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// State is the state of a member as seen by one VM.
type State string

// Member states. Alive members may be assigned shards, suspect members may not,
// and draining members hand their shards over.
const (
	Alive    State = "alive"
	Suspect  State = "suspect"
	Dead     State = "dead"
	Draining State = "draining"
)

// Member is the entry of one VM in the digest that heartbeats carry.
type Member struct {
	ID            string `json:"id" cbor:"1,keyasint"`
	Address       string `json:"address" cbor:"2,keyasint"` // peer address, host:port
	FailureDomain string `json:"failureDomain" cbor:"3,keyasint"`
	// Incarnation is the start time of the daemon in Unix nanoseconds; an entry
	// with a higher incarnation replaces one with a lower.
	Incarnation int64 `json:"incarnation" cbor:"4,keyasint"`
	// Counter is incremented by the member itself on each heartbeat round.
	Counter        uint64 `json:"counter" cbor:"5,keyasint"`
	State          State  `json:"state" cbor:"6,keyasint"`
	Ready          bool   `json:"ready" cbor:"7,keyasint"`
	ConfigRevision int64  `json:"configRevision" cbor:"8,keyasint"`
	// Domains holds the summaries of the failure domains that the member owns.
	Domains []sched.Summary `json:"domains,omitempty" cbor:"9,keyasint,omitempty"`
	// Leaving lists the targets that this member reports as leaving.
	Leaving []string `json:"leaving,omitempty" cbor:"10,keyasint,omitempty"`
	// Shards maps each shard that the member owns to its epoch.
	Shards map[string]int64 `json:"shards,omitempty" cbor:"11,keyasint,omitempty"`
	// NoLease reports that the member holds no valid store lease and therefore
	// cannot acquire ownership.
	NoLease bool `json:"noLease,omitempty" cbor:"12,keyasint,omitempty"`
	// DetailsVersion is the value of Counter at which the details (Domains, Leaving
	// and Shards) last changed. Heartbeats include the details only for peers that
	// hold an older version.
	DetailsVersion uint64 `json:"detailsVersion" cbor:"13,keyasint,omitempty"`
	// HasDetails reports whether the entry includes the details.
	HasDetails bool `json:"-" cbor:"14,keyasint,omitempty"`
	// EventSeq is the sequence number of the member's newest event; other members
	// copy its events only when this number has grown.
	EventSeq uint64 `json:"-" cbor:"15,keyasint,omitempty"`
}

// View is the read-only interface to the membership for other packages.
type View interface {
	// Self returns the entry of this VM.
	Self() Member
	// Members returns all members that are not dead, this VM included, ordered by ID.
	Members() []Member
	// Summaries returns the newest summary of each failure domain, ordered by domain.
	Summaries() []sched.Summary
	// LeavingTargets returns the targets that any member reported as leaving.
	LeavingTargets() map[string]bool
}
