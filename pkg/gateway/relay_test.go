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

// relayTo is another VM with its own way to the store; what it answers may
// differ from what it did.
type relayTo struct {
	gateway *Gateway
	calls   atomic.Int64
	answer  func(error) error
}

func (r *relayTo) Accept(ctx context.Context, j *workload.Job) error {
	r.calls.Add(1)
	return r.answer(r.gateway.Accept(ctx, j))
}

func (r *relayTo) Cancel(ctx context.Context, id, queue string) error {
	r.calls.Add(1)
	return r.answer(r.gateway.Cancel(ctx, id, queue))
}

// Guards against refusing callers on a VM that the store turns away while other
// VMs reach it, and against a refusal that says "not run" after the other VM may
// have stored the job.
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
		"calm":              {nil, nil, truthful, "", true, 0, 0},
		"store silent here": {silent, nil, truthful, "", true, relayAfter, 1},
		"store busy here":   {busy, nil, truthful, "", true, relayAfter, 1},
		"store silent everywhere": {
			silent, silent, truthful, errkind.Timeout, false, 2500 * time.Millisecond, 1,
		},
		"store busy everywhere": {busy, busy, truthful, errkind.Unavailable, false, 2 * refuseAfter, 1},
		"store busy here, the other VM's answer is lost": {
			busy, nil, func(error) error { return errkind.New(errkind.Timeout, "no answer") }, errkind.Timeout, true, 2 * refuseAfter, 1,
		},
		"store silent here, the other VM refuses": {
			silent, busy, truthful, errkind.Timeout, false, 2500 * time.Millisecond, 1,
		},
		"store busy here, the other VM is not reached": {
			busy, nil, func(error) error { return errkind.New(errkind.Unavailable, "not sent") }, errkind.Unavailable, true, 2 * refuseAfter, 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore(memory.Options{})
				relay := &relayTo{gateway: newGateway(store, tc.there, nil), answer: tc.answer}
				g := newGateway(store, tc.here, relay)
				ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
				defer cancel()
				began := time.Now()
				err := g.Accept(ctx, newJob())
				if (err == nil) != (tc.want == "") || (err != nil && errkind.Of(err) != tc.want) {
					t.Errorf("error %v, want kind %q", err, tc.want)
				}
				if took := time.Since(began); took > tc.within {
					t.Errorf("answered after %v, want %v at most", took, tc.within)
				}
				if _, err := store.Get(t.Context(), fleet.JobKey(newJob().ID)); (err == nil) != tc.stored {
					t.Errorf("stored: %v", err)
				}
				if n := relay.calls.Load(); n != tc.calls {
					t.Errorf("%d calls to the other VM, want %d", n, tc.calls)
				}
				cancel()
				time.Sleep(2 * linger) // the own try ends
			})
		})
	}
}

// Guards against trying alone at first for each call while the store is known
// not to answer, and against cancels that take another way than jobs.
func TestRelayAtOnceWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.NewStore(memory.Options{})
		silent := func(ctx context.Context) error {
			<-ctx.Done()
			return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "no answer")
		}
		relay := &relayTo{gateway: newGateway(store, nil, nil), answer: func(err error) error { return err }}
		g := newGateway(store, silent, relay)
		g.timeout.RecordNoAnswer()
		began := time.Now()
		if err := g.Accept(t.Context(), newJob()); err != nil {
			t.Fatal(err)
		}
		if err := g.Cancel(t.Context(), newJob().ID, newJob().Queue); err != nil {
			t.Fatal(err)
		}
		if err := g.Cancel(t.Context(), "ffffffffffffffff", newJob().Queue); !errkind.Is(err, errkind.NotFound) {
			t.Errorf("cancel of an unknown job: %v", err)
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("took %v, want no wait", took)
		}
		time.Sleep(2 * unboundedTry) // the own tries end
	})
}

// Guards against doubling the calls to a store that is merely slow.
func TestSlowStoreIsNotRelayed(t *testing.T) {
	const delay = 240 * time.Millisecond // 60 times the usual answer, by the users' sites
	synctest.Test(t, func(t *testing.T) {
		store := &troubled{Store: memory.NewStore(memory.Options{})}
		store.commit = func(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
			time.Sleep(delay)
			return store.Store.Commit(ctx, txn)
		}
		relay := &relayTo{gateway: newGateway(store.Store, nil, nil), answer: func(err error) error { return err }}
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
		time.Sleep(2 * unboundedTry) // the own tries end
	})
}

// newGateway returns a Gateway whose way to the store has a fault; nil: none.
func newGateway(s *memory.Store, fault func(context.Context) error, relay Relay) *Gateway {
	store := &reached{Store: s, fault: fault}
	return New(Options{Store: store, Owner: noOwner{}, Relay: relay, Now: time.Now, Log: logr.Discard()})
}

// reached is a store as one VM reaches it.
type reached struct {
	*memory.Store
	fault func(context.Context) error
}

func (s *reached) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if s.fault != nil {
		return platform.TxnResult{}, s.fault(ctx)
	}
	return s.Store.Commit(ctx, txn)
}

func (s *reached) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	if s.fault != nil {
		return platform.ListResult{}, s.fault(ctx)
	}
	return s.Store.List(ctx, prefix, after, limit)
}
