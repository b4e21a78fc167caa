package cluster

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/carawayusher/carawayusher/pkg/ownership"
)

// Owners returns the owner keys in the store by shard.
func (c *Cluster) Owners(ctx context.Context) (map[ownership.Shard]ownership.Owner, error) {
	list, err := c.Platform.List(ctx, ownership.KeyPrefix, "", 0)
	if err != nil {
		return nil, err
	}
	out := map[ownership.Shard]ownership.Owner{}
	for _, e := range list.Entries {
		var o ownership.Owner
		if err := json.Unmarshal(e.Value, &o); err != nil {
			return nil, err
		}
		out[o.Shard] = o
	}
	return out, nil
}

// ShardsOf returns the shards that the VM owns, in order.
func (c *Cluster) ShardsOf(ctx context.Context, vm *VM) ([]ownership.Shard, error) {
	owners, err := c.Owners(ctx)
	var out []ownership.Shard
	for s, o := range owners {
		if o.VM == vm.ID {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out, err
}

// OwnerOf returns the VM that owns the shard, or nil.
func (c *Cluster) OwnerOf(ctx context.Context, shard ownership.Shard) (*VM, error) {
	owners, err := c.Owners(ctx)
	if err != nil {
		return nil, err
	}
	return c.VM(owners[shard].VM), nil
}

// AwaitMoved waits until each of the shards has an owner other than the VM.
func (c *Cluster) AwaitMoved(ctx context.Context, shards []ownership.Shard, from *VM) error {
	return poll(ctx, func() bool {
		owners, err := c.Owners(ctx)
		return err == nil && !slices.ContainsFunc(shards, func(s ownership.Shard) bool {
			return owners[s].VM == "" || owners[s].VM == from.ID
		})
	})
}
