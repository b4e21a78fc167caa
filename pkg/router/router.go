// Package router forwards calls on partitions and failure domains to the VM that
// owns them: a local owner is called directly, a remote one over the peer link.
// The daemon creates one router per VM. The router keeps no state of jobs or
// workers and never decides ownership.
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

// Backoff between retries while a shard has no reachable owner.
const (
	minRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff = 250 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After hint to callers; a takeover takes a few seconds.
	noOwnerRetryAfter = 2 * time.Second
)

// Local looks up the partitions and failure domains that this VM owns.
type Local interface {
	Partition(n int) (*partition.Partition, bool)
	Domain(name string) (*domain.Domain, bool)
}

// Router forwards each call to the owner of its shard, a partition or a failure
// domain.
type Router struct {
	locator    ownership.Locator
	caller     peer.Caller
	local      Local
	partitions int
}

// New returns a router and registers the handlers of calls from other VMs. Job IDs
// are valid for partitions from 0 to partitions-1.
func New(locator ownership.Locator, caller peer.Caller, registry peer.Registry, local Local, partitions int) *Router {
	r := &Router{locator: locator, caller: caller, local: local, partitions: partitions}
	r.registerPartition(registry)
	r.registerDomain(registry)
	return r
}

// call sends req to the owner of shard, or runs local if this VM is the owner.
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

// handle registers local as the handler of a method called by other VMs.
func handle[Req, Resp any](registry peer.Registry, method string, local func(context.Context, Req) (Resp, error)) {
	registry.Handle(method, func(ctx context.Context, decode func(v any) error) (any, error) {
		var req Req
		if err := decode(&req); err != nil {
			return nil, errkind.Wrap(err, errkind.InvalidRequest, "body of %s", method)
		}
		return local(ctx, req)
	})
}

// retryable reports whether the same call may succeed later or at another owner.
func retryable(err error) bool {
	return errkind.Is(err, errkind.Unavailable) || errkind.Is(err, errkind.StaleEpoch)
}

// withRetry repeats an idempotent call with exponential backoff until it succeeds,
// fails with an error that isn't retryable, or ctx ends.
func withRetry[Resp any](ctx context.Context, fn func() (Resp, error)) (Resp, error) {
	backoff := minRetryBackoff
	for {
		resp, err := fn()
		if err == nil || !retryable(err) {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return resp, err
		case <-time.After(backoff):
			backoff = min(backoff*2, maxRetryBackoff)
		}
	}
}

// emptyReply is the reply of methods that return only an error.
type emptyReply struct{}
