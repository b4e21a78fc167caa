// Package membership knows the VMs that run the daemon: from the platform's
// lagging VM list, from settings and from heartbeats between the VMs.
package membership

import (
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// State is what a VM believes of another.
type State string

// Member states. Alive members may get shards; suspects may not; a draining
// member hands its shards over.
const (
	Alive    State = "alive"
	Suspect  State = "suspect"
	Dead     State = "dead"
	Draining State = "draining"
)

// Member is one VM's entry in the digest that heartbeats carry.
type Member struct {
	ID            string `json:"id" cbor:"1,keyasint"`
	Address       string `json:"address" cbor:"2,keyasint"` // peer address, host:port
	FailureDomain string `json:"failureDomain" cbor:"3,keyasint"`
	// Incarnation is the start time in nanoseconds; a higher one replaces a lower.
	Incarnation int64 `json:"incarnation" cbor:"4,keyasint"`
	// Counter grows with each heartbeat of the member itself.
	Counter        uint64 `json:"counter" cbor:"5,keyasint"`
	State          State  `json:"state" cbor:"6,keyasint"`
	Ready          bool   `json:"ready" cbor:"7,keyasint"`
	ConfigRevision int64  `json:"configRevision" cbor:"8,keyasint"`
	// Domains are the summaries of the failure domains that the member owns.
	Domains []sched.Summary `json:"domains,omitempty" cbor:"9,keyasint,omitempty"`
	// Leaving names targets that this member saw leaving or refusing.
	Leaving []string `json:"leaving,omitempty" cbor:"10,keyasint,omitempty"`
	// Shards maps the shards that the member owns to their epochs.
	Shards map[string]int64 `json:"shards,omitempty" cbor:"11,keyasint,omitempty"`
	// NoLease says that the member holds no valid lease of the store, so that it
	// can become the owner of nothing.
	NoLease bool `json:"noLease,omitempty" cbor:"12,keyasint,omitempty"`
	// DetailsVersion is the counter at which Domains, Leaving or Shards last
	// changed. Heartbeats carry these only to peers that have an older version.
	DetailsVersion uint64 `json:"detailsVersion" cbor:"13,keyasint,omitempty"`
	// HasDetails says that the entry carries them.
	HasDetails bool `json:"-" cbor:"14,keyasint,omitempty"`
	// EventSeq is the sequence number of the member's newest event, so that
	// others copy its events only when there are new ones.
	EventSeq uint64 `json:"-" cbor:"15,keyasint,omitempty"`
}

// View is what the other packages read of the membership.
type View interface {
	Self() Member
	// Members returns all known members that are not dead, ordered by ID, Self included.
	Members() []Member
	// Summaries returns the newest summary of each failure domain, ordered by domain.
	Summaries() []sched.Summary
	// LeavingTargets returns the targets that any member reports as leaving.
	LeavingTargets() map[string]bool
}
