package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// fakeRelay is another VM with its own connection to the store. Its answer may differ
// from the outcome of the call.
type fakeRelay struct {
	gateway *Gateway
	calls   atomic.Int64
	answer  func(error) error
}

func (r *fakeRelay) Accept(ctx context.Context, j *workload.Job) error {
	r.calls.Add(1)
	return r.answer(r.gateway.Accept(ctx, j))
}

func (r *fakeRelay) Cancel(ctx context.Context, id string, queue workload.QueueRef) error {
	r.calls.Add(1)
	return r.answer(r.gateway.Cancel(ctx, id, queue))
}

// Guards against refusing callers on a VM whose store calls fail while other VMs reach
// the store, and against refusing a job as not run after the other VM may have stored
// it.
func TestRelay(t *testing.T) {
	truthful := func(err error) error { return err }
	silent := func(ctx context.Context) error {
		<-ctx.Done()
		return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "no answer")
	}
	busy := func(context.Context) error { return errkind.New(errkind.Overloaded, "503") }
	tests := map[string]struct {
		here   func(context.Context) error // nil: the store answers this VM
		there  func(context.Context) error
		answer func(error) error
		want   errkind.Kind
		stored bool
		within time.Duration
		calls  int64
	}{
		"no fault":          {nil, nil, truthful, "", true, 0, 0},
		"store silent here": {silent, nil, truthful, "", true, minRelayDelay, 1},
		"store busy here":   {busy, nil, truthful, "", true, minRelayDelay, 1},
		"store silent everywhere": {
			silent, silent, truthful, errkind.Timeout, false, 2500 * time.Millisecond, 1,
		},
		"store busy everywhere": {busy, busy, truthful, errkind.Unavailable, false, 2 * refusalTimeout, 1},
		"store busy here, the other VM's answer is lost": {
			busy, nil, func(error) error { return errkind.New(errkind.Timeout, "no answer") }, errkind.Timeout, true, 2 * refusalTimeout, 1,
		},
		"store silent here, the other VM refuses": {
			silent, busy, truthful, errkind.Timeout, false, 2500 * time.Millisecond, 1,
		},
		"store busy here, the other VM is not reached": {
			busy, nil, func(error) error { return errkind.New(errkind.Unavailable, "not sent") }, errkind.Unavailable, true, 2 * refusalTimeout, 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore(memory.Options{})
				relay := &fakeRelay{gateway: newGateway(store, tc.there, nil), answer: tc.answer}
				g := newGateway(store, tc.here, relay)
				ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
				defer cancel()
				startedAt := time.Now()
				err := g.Accept(ctx, newJob())
				if (err == nil) != (tc.want == "") || (err != nil && errkind.Of(err) != tc.want) {
					t.Errorf("error %v, want kind %q", err, tc.want)
				}
				if took := time.Since(startedAt); took > tc.within {
					t.Errorf("answered after %v, want %v at most", took, tc.within)
				}
				if _, err := store.Get(t.Context(), fleet.JobKey(newJob().ID)); (err == nil) != tc.stored {
					t.Errorf("stored: %v", err)
				}
				if n := relay.calls.Load(); n != tc.calls {
					t.Errorf("%d calls to the other VM, want %d", n, tc.calls)
				}
				cancel()
				time.Sleep(2 * localGracePeriod) // the local attempt ends
			})
		})
	}
}

// Guards against a delay before each relayed call while the store is known not to
// answer, and against cancellations that are not relayed.
func TestRelayAtOnceWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(memory.Options{})
		silent := func(ctx context.Context) error {
			<-ctx.Done()
			return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "no answer")
		}
		relay := &fakeRelay{gateway: newGateway(store, nil, nil), answer: func(err error) error { return err }}
		g := newGateway(store, silent, relay)
		g.timeout.RecordNoAnswer()
		startedAt := time.Now()
		if err := g.Accept(t.Context(), newJob()); err != nil {
			t.Fatal(err)
		}
		if err := g.Cancel(t.Context(), newJob().ID, newJob().QueueRef()); err != nil {
			t.Fatal(err)
		}
		if err := g.Cancel(t.Context(), "ffffffffffffffff", newJob().QueueRef()); !errkind.Is(err, errkind.NotFound) {
			t.Errorf("cancel of an unknown job: %v", err)
		}
		if took := time.Since(startedAt); took > 0 {
			t.Errorf("took %v, want no wait", took)
		}
		time.Sleep(2 * defaultLocalTimeout) // the local attempts end
	})
}

// Guards against relaying, and so doubling, the calls to a slow store.
func TestSlowStoreIsNotRelayed(t *testing.T) {
	const delay = 240 * time.Millisecond // 60 times the usual response time
	synctest.Test(t, func(t *testing.T) {
		store := &faultyCommitStore{Store: memory.NewStore(memory.Options{})}
		store.commit = func(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
			time.Sleep(delay)
			return store.Store.Commit(ctx, txn)
		}
		relay := &fakeRelay{gateway: newGateway(store.Store, nil, nil), answer: func(err error) error { return err }}
		g := New(Options{Store: store, Owner: noOwner{}, Relay: relay, Now: time.Now, Log: logr.Discard()})
		const learning, calls = 5, 20
		for i := range calls {
			j := newJob()
			j.ID = fmt.Sprintf("%016x", i)
			if err := g.Accept(t.Context(), j); err != nil {
				t.Fatal(err)
			}
		}
		if n := relay.calls.Load(); n > learning {
			t.Errorf("%d of %d calls went to another VM, want those of the first %d at most", n, calls, learning)
		}
		time.Sleep(2 * defaultLocalTimeout) // the local attempts end
	})
}

// newGateway returns a Gateway whose calls to the store fail with fault (nil: succeed).
func newGateway(s *memory.Store, fault func(context.Context) error, relay Relay) *Gateway {
	store := &faultyStore{Store: s, fault: fault}
	return New(Options{Store: store, Owner: noOwner{}, Relay: relay, Now: time.Now, Log: logr.Discard()})
}

// faultyStore is the store as seen from a VM with a faulty connection to it.
type faultyStore struct {
	*memory.Store
	fault func(context.Context) error
}

func (s *faultyStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if s.fault != nil {
		return platform.TxnResult{}, s.fault(ctx)
	}
	return s.Store.Commit(ctx, txn)
}

func (s *faultyStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	if s.fault != nil {
		return platform.ListResult{}, s.fault(ctx)
	}
	return s.Store.List(ctx, prefix, after, limit)
}
