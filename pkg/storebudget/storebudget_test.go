package storebudget

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func put(b platform.Store, ctx context.Context) error {
	_, err := b.Put(ctx, "k", nil, platform.AnyVersion, 0)
	return err
}

// TestShare guards against a VM that exceeds its share of the rate. The case
// without the budget shows that the load would exceed the share.
func TestShare(t *testing.T) {
	for _, limited := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.NewStore(memory.Options{WritesPerSecond: -1})
			var s platform.Store = store
			if limited {
				s = New(Options{Store: store, WritesPerSecond: 100, LiveVMs: func() int { return 10 }})
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for i := 0; ctx.Err() == nil && i < 1000; i++ {
				if err := put(s, ctx); err != nil && !errkind.Is(err, errkind.QuotaExceeded) {
					t.Error(err)
				}
			}
			if n := store.Counts().Calls[memory.OpPut]; limited != (n <= 10*10+5+1) {
				t.Errorf("limited %v: %d writes in 10 s", limited, n)
			}
		})
	}
}

// TestPriority guards against writes of lower priority, such as snapshots, that
// delay claims, and against a delayed keep-alive.
func TestPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(memory.Options{})
		b := New(Options{Store: store, WritesPerSecond: 1})
		lease, err := b.GrantLease(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var order []Priority
		var wg sync.WaitGroup
		for _, p := range []Priority{PrioritySnapshot, PriorityOwnership, PriorityJobEnd, PriorityJobAccept, PriorityClaim} {
			wg.Go(func() {
				if err := put(b, WithPriority(t.Context(), p)); err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				order = append(order, p)
			})
			synctest.Wait()
		}
		start := time.Now()
		if err := b.KeepAlive(t.Context(), lease); err != nil || time.Since(start) > 0 {
			t.Errorf("keep-alive: %v after %v", err, time.Since(start))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if err := put(b, ctx); !errkind.Is(err, errkind.QuotaExceeded) {
			t.Errorf("call whose context ended while it waited: %v", err)
		}
		wg.Wait()
		for i, p := range order {
			if p != Priority(i) {
				t.Fatalf("order %v", order)
			}
		}
		if n := store.Counts().Calls[memory.OpPut]; n != 5 {
			t.Errorf("%d writes, want 5 without the one whose context ended", n)
		}
	})
}

// TestOutage guards against an undetected outage, against counting a few lost
// answers as an outage, and against a burst of calls right after an outage.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(memory.Options{})
		var changes []bool
		b := New(Options{Store: store, OnOutage: func(down bool) { changes = append(changes, down) }})
		store.SetFaults(memory.Faults{LoseNext: 2})
		for range 3 {
			_ = put(b, t.Context())
		}
		if len(changes) != 0 {
			t.Errorf("two lost answers count as an outage: %v", changes)
		}
		store.SetFaults(memory.Faults{Outage: true})
		for range 5 {
			_ = put(b, t.Context())
		}
		if !b.Down() || testutil.ToFloat64(b.down) != 1 {
			t.Error("the outage was not detected")
		}
		store.SetFaults(memory.Faults{})
		if err := put(b, t.Context()); err != nil || b.Down() || len(changes) != 2 {
			t.Errorf("after the outage: %v, %v", err, changes)
		}
		start := time.Now()
		var wg sync.WaitGroup
		var mu sync.Mutex
		early := 0
		for range 50 {
			wg.Go(func() {
				_ = put(b, t.Context())
				mu.Lock()
				defer mu.Unlock()
				if time.Since(start) < DefaultReconnectWindow/2 {
					early++
				}
			})
		}
		wg.Wait()
		if early > 40 {
			t.Errorf("%d of 50 calls were made in the first half of the reconnect window", early)
		}
		if n := testutil.ToFloat64(b.calls.WithLabelValues("put", string(errkind.StoreUnavailable))); n != 7 {
			t.Errorf("%v unanswered calls counted, want 7", n)
		}
	})
}
