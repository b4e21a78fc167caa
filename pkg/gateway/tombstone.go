package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

const (
	// minTombstoneLifetime is the minimum time, from the call that writes it, for which a
	// tombstone keeps a job from being stored. A submission is late by seconds: by the retries
	// of a client, a VM that stands still, and a store that carries out a write late.
	minTombstoneLifetime = 2 * time.Minute
	// tombstoneLeaseTTL lets the tombstones of two minutes share a lease. The platform's store
	// grants ten minutes at most.
	tombstoneLeaseTTL = 2 * minTombstoneLifetime
	// grantTimeout bounds the grant of a lease for tombstones.
	grantTimeout = time.Second
	// tombstonesPerSecond and tombstoneBurst bound the tombstones that a VM writes, so that a
	// client that cancels unknown jobs leaves most of the store's writes to others: at 9 VMs it
	// takes 45 of 400 a second, at 147 VMs 735 of 3,200.
	tombstonesPerSecond = 5
	tombstoneBurst      = 50
	// maxTombstoneAttempts is the number of leases that are tried, as one may end early.
	maxTombstoneAttempts = 2
)

// tombstones provides the leases to which the tombstones of this VM are bound, so that the
// store removes them without a call of anyone.
type tombstones struct {
	store   platform.Transactor
	limiter *rate.Limiter
	grants  singleflight.Group

	mu          sync.Mutex
	lease       platform.LeaseID
	usableUntil time.Time // a tombstone written later would not last for minTombstoneLifetime
}

func newTombstones(store platform.Transactor) *tombstones {
	return &tombstones{store: store, limiter: rate.NewLimiter(tombstonesPerSecond, tombstoneBurst)}
}

// currentLease returns the lease for new tombstones, and grants one if there is none. Failed
// grants are retried until ctx ends.
func (t *tombstones) currentLease(ctx context.Context) (platform.LeaseID, error) {
	for {
		if lease, ok := t.usableLease(); ok {
			return lease, nil
		}
		granted := t.grants.DoChan("", func() (any, error) { return nil, t.grantLease() })
		select {
		case g := <-granted:
			if g.Err != nil && !wait.Sleep(ctx, storeRetryDelay) {
				return 0, errkind.Wrap(g.Err, errkind.Unavailable, "the store grants no lease").WithRetryAfter(RetryAfter)
			}
		case <-ctx.Done():
			return 0, errkind.Wrap(ctx.Err(), errkind.Unavailable, "the store grants no lease in time").WithRetryAfter(RetryAfter)
		}
	}
}

func (t *tombstones) usableLease() (lease platform.LeaseID, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease, time.Now().Before(t.usableUntil)
}

// grantLease grants a lease for new tombstones. Its call to the store does not end with that of
// the caller, as others wait for it.
func (t *tombstones) grantLease() error {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	sentAt := time.Now()
	lease, err := t.store.GrantLease(ctx, tombstoneLeaseTTL)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease, t.usableUntil = lease, sentAt.Add(tombstoneLeaseTTL-minTombstoneLifetime)
	return nil
}

// discard gives up a lease that the store no longer has.
func (t *tombstones) discard(lease platform.LeaseID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == lease {
		t.usableUntil = time.Time{}
	}
}

// preventSubmission keeps a job that is not stored from being stored later, and then returns
// kind not_found. It returns the record of the job if it was stored meanwhile.
func (g *Gateway) preventSubmission(ctx context.Context, id string) (*workload.Job, error) {
	if !g.tombstones.limiter.Allow() {
		return nil, errkind.New(errkind.Unavailable, "too many cancels of unknown jobs").WithRetryAfter(RetryAfter)
	}
	for range maxTombstoneAttempts {
		lease, err := g.tombstones.currentLease(ctx)
		if err != nil {
			return nil, err
		}
		res, err := g.commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: fleet.JobKey(id)}},
			Writes:     []platform.Write{{Key: fleet.TombstoneKey(id), Lease: lease}},
		})
		switch {
		case err == nil:
			g.opts.Metrics.Event("tombstone_written")
			return nil, errNotStored()
		case errkind.Is(err, errkind.Conflict):
			stored, _, err := g.findJob(res.Current, id)
			if err == nil && stored == nil {
				err = errNoRecord()
			}
			return stored, err
		case !errkind.Is(err, errkind.NotFound):
			return nil, err
		}
		g.tombstones.discard(lease)
	}
	return nil, errkind.New(errkind.Unavailable, "the leases of the store end early").WithRetryAfter(RetryAfter)
}
