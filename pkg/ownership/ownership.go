// Package ownership assigns shards (partitions of jobs and failure domains) to
// VMs through keys in the platform's store that are bound to the VM's lease. The
// store revision at which a key was created is the epoch, the fencing token
// against former owners. The daemon of each VM runs a Manager. Ownership serves
// good placement only; safety never depends on it.
package ownership

import (
	"context"
	"strconv"
	"strings"
)

// KeyPrefix is the store prefix of ownership keys.
const KeyPrefix = "control/owners/"

// Shard names a partition ("p3") or a failure domain ("dregion/name").
type Shard string

// PartitionShard returns the shard of a partition.
func PartitionShard(p int) Shard { return Shard("p" + strconv.Itoa(p)) }

// DomainShard returns the shard of a failure domain.
func DomainShard(domain string) Shard { return Shard("d" + domain) }

// Partition returns the partition number of a partition shard.
func (s Shard) Partition() (int, bool) {
	rest, ok := strings.CutPrefix(string(s), "p")
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(rest)
	return n, err == nil
}

// Domain returns the failure domain of a domain shard.
func (s Shard) Domain() (string, bool) { return strings.CutPrefix(string(s), "d") }

// Owner identifies the VM that serves a shard.
type Owner struct {
	Shard       Shard  `json:"shard" cbor:"1,keyasint"`
	VM          string `json:"vm" cbor:"2,keyasint"`
	Incarnation int64  `json:"incarnation" cbor:"3,keyasint"`
	Address     string `json:"address" cbor:"4,keyasint"` // peer address, host:port
	Epoch       int64  `json:"epoch" cbor:"5,keyasint"`
	Self        bool   `json:"-" cbor:"-"`
}

// Locator looks up the owners of shards in memory, without I/O.
type Locator interface {
	Owner(shard Shard) (Owner, bool)
	// Owners returns all known owners, ordered by shard.
	Owners() []Owner
}

// Host serves the shards that this VM owns.
type Host interface {
	// StartShard begins to serve the shard under the epoch. It must not block on
	// recovery; calls to a shard that is still recovering wait or are refused.
	StartShard(ctx context.Context, shard Shard, epoch int64)
	// StopShard stops accepting calls for the shard and flushes pending writes. It
	// returns when another VM may serve the shard, or when ctx ends. If lost is
	// true, this VM no longer owns the shard and nothing may be written.
	StopShard(ctx context.Context, shard Shard, lost bool)
}
