package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// Guards against a renewal of the ownership lease that waits for the lock of the fleet:
// behind the calls of a takeover the lease expires, and the next takeover begins.
func TestRenewalOfOwnershipDoesNotWaitForTheFleet(t *testing.T) {
	o, now, _ := newIdleOwner()
	store := memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	lease, err := store.GrantLease(context.Background(), LeaseTTL)
	if err != nil {
		t.Fatal(err)
	}
	o.opts.Store, o.opts.ReleaseOwnerKey, o.opts.LastStoreAnswer = store, func(context.Context, int64) error { return nil }, func() time.Duration { return 0 }
	o.ownership.id, o.validity = lease, newLeaseValidity(0)
	o.mu.Lock()
	defer o.mu.Unlock()
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		o.lostStore()
		o.renewOnce()
		o.awaitOwnership()
	}()
	select {
	case <-renewed:
	case <-time.After(10 * time.Second):
		t.Fatal("the renewal waits for the lock")
	}
	if want := *now + LeaseTTL - ownershipMargin; o.validUntil() != want {
		t.Errorf("valid until %v, want %v", o.validUntil(), want)
	}
}
