package storebudget

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/platform"
)

const opWatch = "watch"

// Get implements platform.Store.
func (b *Budget) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := b.waitRead(ctx); err != nil {
		return platform.Entry{}, err
	}
	e, err := b.opts.Store.Get(ctx, key)
	b.recordCall(ctx, "get", err)
	return e, err
}

// List implements platform.Store.
func (b *Budget) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	if err := b.waitRead(ctx); err != nil {
		return platform.ListResult{}, err
	}
	r, err := b.opts.Store.List(ctx, prefix, after, limit)
	b.recordCall(ctx, "list", err)
	return r, err
}

// Put implements platform.Store.
func (b *Budget) Put(ctx context.Context, key string, value []byte, expect int64, lease platform.LeaseID) (int64, error) {
	if err := b.waitWrite(ctx); err != nil {
		return 0, err
	}
	v, err := b.opts.Store.Put(ctx, key, value, expect, lease)
	b.recordCall(ctx, "put", err)
	return v, err
}

// Delete implements platform.Store.
func (b *Budget) Delete(ctx context.Context, key string, expect int64) error {
	if err := b.waitWrite(ctx); err != nil {
		return err
	}
	err := b.opts.Store.Delete(ctx, key, expect)
	b.recordCall(ctx, "delete", err)
	return err
}

// Watch implements platform.Store. A watch counts as one read, however long it
// waits.
func (b *Budget) Watch(ctx context.Context, prefix string, after int64) ([]platform.Event, error) {
	if err := b.waitRead(ctx); err != nil {
		return nil, err
	}
	ev, err := b.opts.Store.Watch(ctx, prefix, after)
	b.recordCall(ctx, opWatch, err)
	return ev, err
}

// GrantLease implements platform.Store.
func (b *Budget) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := b.waitWrite(ctx); err != nil {
		return 0, err
	}
	id, err := b.opts.Store.GrantLease(ctx, ttl)
	b.recordCall(ctx, "grant", err)
	return id, err
}

// KeepAlive implements platform.Store. It bypasses the budget: a delayed
// keep-alive could let the lease expire, and the VM would lose all its shards.
func (b *Budget) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	err := b.opts.Store.KeepAlive(ctx, id)
	b.recordCall(ctx, "keepalive", err)
	return err
}

// Revoke implements platform.Store.
func (b *Budget) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := b.waitWrite(ctx); err != nil {
		return err
	}
	err := b.opts.Store.Revoke(ctx, id)
	b.recordCall(ctx, "revoke", err)
	return err
}
