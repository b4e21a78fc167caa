// Package router sends calls to the VM that owns a partition or a failure
// domain: to the local owner directly, to a remote one over the peer link.
package router

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/domain"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/peer"
)

// Retry pauses while a shard has no owner that answers.
const (
	retryMin = 20 * time.Millisecond
	retryMax = 250 * time.Millisecond
	// noOwnerRetryAfter is the hint for callers; a takeover takes a few seconds.
	noOwnerRetryAfter = 2 * time.Second
)

// Local finds the shards that this VM serves.
type Local interface {
	Partition(n int) (*partition.Partition, bool)
	Domain(name string) (*domain.Domain, bool)
}

// Router routes calls by shard.
type Router struct {
	locator    ownership.Locator
	caller     peer.Caller
	local      Local
	partitions int
}

// New returns a router and registers the handlers for calls from other VMs.
func New(locator ownership.Locator, caller peer.Caller, registry peer.Registry, local Local, partitions int) *Router {
	r := &Router{locator: locator, caller: caller, local: local, partitions: partitions}
	r.registerPartition(registry)
	r.registerDomain(registry)
	return r
}

// call sends req to the owner of shard, or runs local when this VM is the owner.
func call[Req, Resp any](ctx context.Context, r *Router, shard ownership.Shard, method string, req Req,
	local func(context.Context, Req) (Resp, error),
) (Resp, error) {
	var resp Resp
	owner, ok := r.locator.Owner(shard)
	if !ok {
		return resp, errkind.New(errkind.Unavailable, "shard %s has no owner at the moment", shard).WithRetryAfter(noOwnerRetryAfter)
	}
	if owner.Self {
		return local(ctx, req)
	}
	err := r.caller.Call(ctx, owner.Address, method, req, &resp)
	return resp, err
}

// handle registers a method that the local owner of a shard answers.
func handle[Req, Resp any](registry peer.Registry, method string, local func(context.Context, Req) (Resp, error)) {
	registry.Handle(method, func(ctx context.Context, decode func(v any) error) (any, error) {
		var req Req
		if err := decode(&req); err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidRequest, "body of %s", method)
		}
		return local(ctx, req)
	})
}

// retryable reports whether another owner may answer the same call.
func retryable(err error) bool {
	return errkind.Is(err, errkind.Unavailable) || errkind.Is(err, errkind.StaleEpoch)
}

// withRetry repeats an idempotent call until it is answered or ctx ends.
func withRetry[Resp any](ctx context.Context, fn func() (Resp, error)) (Resp, error) {
	pause := retryMin
	for {
		resp, err := fn()
		if err == nil || !retryable(err) {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return resp, err
		case <-time.After(pause):
			pause = min(pause*2, retryMax)
		}
	}
}

type empty struct{}
