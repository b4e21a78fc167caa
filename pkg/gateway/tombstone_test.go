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

// callCounter is a store that counts calls.
type callCounter struct {
	*memory.Store
	commits, grants atomic.Int64
	afterList       func() // called after each list; may be nil
}

func (s *callCounter) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	s.commits.Add(1)
	return s.Store.Commit(ctx, txn)
}

func (s *callCounter) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	s.grants.Add(1)
	return s.Store.GrantLease(ctx, ttl)
}

func (s *callCounter) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	res, err := s.Store.List(ctx, prefix, after, limit)
	if s.afterList != nil {
		s.afterList()
	}
	return res, err
}

// newStoreOfManyCalls returns a store without limits of calls.
func newStoreOfManyCalls() *memory.Store {
	return memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
}

func wantKind(t *testing.T, what string, err error, want errkind.Kind) {
	t.Helper()
	if (err == nil) != (want == "") || (err != nil && errkind.Of(err) != want) {
		t.Errorf("%s: %v, want kind %q", what, err, want)
	}
}

func wantStored(t *testing.T, s platform.Transactor, key string, want bool) {
	t.Helper()
	if _, err := s.Get(t.Context(), key); (err == nil) != want {
		t.Errorf("%s: %v, want it stored: %v", key, err, want)
	}
}

// Guards against a job that runs after its cancel was answered with "no such job", since its
// submission was still on its way, over whichever path the write comes late.
func TestJobIsNotStoredAfterItsCancelFoundNone(t *testing.T) {
	const late = 5 * time.Second // a VM that stands still, or a store that carries out a write late
	// commitLate is the connection of a VM whose writes the store carries out late, without an answer.
	commitLate := func(s *memory.Store) *faultyCommitStore {
		return &faultyCommitStore{Store: s, commit: func(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
			time.AfterFunc(late, func() { _, _ = s.Commit(context.Background(), txn) })
			<-ctx.Done()
			return platform.TxnResult{}, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "no answer")
		}}
	}
	gatewayOf := func(s platform.Transactor, relay Relay) *Gateway {
		return New(Options{Store: s, Owner: noOwner{}, Relay: relay, Now: time.Now, Log: logr.Discard()})
	}
	tests := map[string]struct {
		submit func(ctx context.Context, s *memory.Store) error
		want   errkind.Kind
	}{
		"request is read late": {func(ctx context.Context, s *memory.Store) error {
			time.Sleep(late)
			return gatewayOf(s, nil).Accept(ctx, newJob())
		}, errkind.Cancelled},
		"write is carried out late": {func(ctx context.Context, s *memory.Store) error {
			return gatewayOf(commitLate(s), nil).Accept(ctx, newJob())
		}, errkind.Timeout},
		"other VM stores it late": {func(ctx context.Context, s *memory.Store) error {
			other := &fakeRelay{gateway: gatewayOf(commitLate(s), nil), answer: func(err error) error { return err }}
			busy := &faultyCommitStore{Store: s, commit: func(context.Context, platform.Txn) (platform.TxnResult, error) {
				return platform.TxnResult{}, errkind.New(errkind.Overloaded, "503")
			}}
			return gatewayOf(busy, other).Accept(ctx, newJob())
		}, errkind.Timeout},
		"other VM reads it late": {func(ctx context.Context, s *memory.Store) error {
			time.Sleep(late)
			other := &fakeRelay{gateway: gatewayOf(s, nil), answer: func(err error) error { return err }}
			silent := newGateway(s, func(ctx context.Context) error {
				<-ctx.Done()
				return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "no answer")
			}, other)
			return silent.Accept(ctx, newJob())
		}, errkind.Cancelled},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStoreOfManyCalls()
				outcome := make(chan error, 1)
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), late+2800*time.Millisecond)
					defer cancel()
					outcome <- tc.submit(ctx, store)
				}()
				time.Sleep(500 * time.Millisecond) // the client leaves
				q := newJob().QueueRef()
				canceller := gatewayOf(store, nil)
				wantKind(t, "cancel", canceller.Cancel(t.Context(), newJob().ID, q), errkind.NotFound)
				wantKind(t, "submission", <-outcome, tc.want)
				time.Sleep(2 * late)
				wantStored(t, store, fleet.JobKey(newJob().ID), false)
				wantKind(t, "the same submission again", canceller.Accept(t.Context(), newJob()), errkind.Cancelled)
				wantKind(t, "cancel again", canceller.Cancel(t.Context(), newJob().ID, q), errkind.NotFound)
				_, err := canceller.State(t.Context(), newJob().ID, q)
				wantKind(t, "state", err, errkind.NotFound)
			})
		})
	}
}

// Guards against answering "no such job" for a job that is stored between the reading of the
// cancel and its write, and then runs.
func TestJobStoredBesideItsCancelIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &callCounter{Store: newStoreOfManyCalls()}
		g := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
		store.afterList = func() {
			store.afterList = nil
			if err := g.Accept(t.Context(), newJob()); err != nil {
				t.Error(err)
			}
		}
		wantKind(t, "cancel", g.Cancel(t.Context(), newJob().ID, newJob().QueueRef()), "")
		wantStored(t, store, fleet.CancelKey(newJob().ID), true)
		wantStored(t, store, fleet.TombstoneKey(newJob().ID), false)
	})
}

// Guards against answering "no such job" while nothing keeps the job from being stored later.
func TestCancelOfUnknownJobIsNotAnsweredWithoutItsTombstone(t *testing.T) {
	refused, lost := errkind.New(errkind.Overloaded, "503"), errkind.New(errkind.StoreUnavailable, "no answer")
	for kind, commitErr := range map[errkind.Kind]error{errkind.Unavailable: refused, errkind.Timeout: lost} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &faultyCommitStore{Store: newStoreOfManyCalls(), commit: func(context.Context, platform.Txn) (platform.TxnResult, error) {
					return platform.TxnResult{}, commitErr
				}}
				g := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
				ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
				defer cancel()
				wantKind(t, "cancel", g.Cancel(ctx, newJob().ID, newJob().QueueRef()), kind)
			})
		})
	}
}

// Guards against a client that cancels many jobs that do not exist: the store would be filled,
// or have no writes left for others.
func TestCancelsOfUnknownJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const clients, seconds = 100, 10
		store := &callCounter{Store: newStoreOfManyCalls()}
		g := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
		done, refused := 0, 0
		for n := range clients * seconds {
			err := g.Cancel(t.Context(), fmt.Sprintf("%016x", n), newJob().QueueRef())
			switch {
			case errkind.Is(err, errkind.NotFound):
				done++
			case errkind.Is(err, errkind.Unavailable) && errkind.As(err).RetryAfter > 0:
				refused++
			default:
				t.Fatal(err)
			}
			time.Sleep(time.Second / clients)
		}
		const most = tombstoneBurst + seconds*tombstonesPerSecond
		if commits, grants := store.commits.Load(), store.grants.Load(); done > most || done < tombstoneBurst || commits > most || grants > 1 {
			t.Errorf("%d cancels answered, %d refused, with %d transactions and %d leases; want %d answers and transactions at most and 1 lease",
				done, refused, commits, grants, most)
		}
		time.Sleep(tombstoneLeaseTTL + time.Second)
		if page, err := store.Store.List(t.Context(), "", "", 0); err != nil || len(page.Entries) > 0 {
			t.Errorf("%d keys are left (%v)", len(page.Entries), err)
		}
		wantKind(t, "submission after the tombstone has expired", g.Accept(t.Context(), newJob()), "")
	})
}

// Guards against tombstones that expire while a submission may still be on its way, because
// they were bound to an old lease or to one that the store has ended.
func TestTombstonesLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &callCounter{Store: newStoreOfManyCalls()}
		g := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
		for n := range 5 {
			id := fmt.Sprintf("%016x", n)
			wantKind(t, "cancel", g.Cancel(t.Context(), id, newJob().QueueRef()), errkind.NotFound)
			j := newJob()
			j.ID = id
			time.AfterFunc(minTombstoneLifetime-time.Second, func() {
				wantKind(t, "late submission", g.Accept(context.Background(), j), errkind.Cancelled)
			})
			time.Sleep(minTombstoneLifetime / 3)
		}
		time.Sleep(minTombstoneLifetime)
		if err := store.Revoke(t.Context(), g.tombstones.lease); err != nil {
			t.Fatal(err)
		}
		wantKind(t, "cancel after the lease has ended", g.Cancel(t.Context(), newJob().ID, newJob().QueueRef()), errkind.NotFound)
		wantKind(t, "submission", g.Accept(t.Context(), newJob()), errkind.Cancelled)
		time.Sleep(tombstoneLeaseTTL)
	})
}

// Guards against refusing a submission that arrives again as one that was cancelled before it
// was stored: the job was accepted, and its cancel is found with it.
func TestRepeatedSubmissionOfACancelledJobIsTheSameJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStoreOfManyCalls()
		g := New(Options{Store: store, Owner: noOwner{}, Now: time.Now, Log: logr.Discard()})
		for _, call := range []func() error{
			func() error { return g.Accept(t.Context(), newJob()) },
			func() error { return g.Cancel(t.Context(), newJob().ID, newJob().QueueRef()) },
			func() error { return g.Accept(t.Context(), newJob()) },
		} {
			wantKind(t, "call", call(), "")
		}
		wantStored(t, store, fleet.TombstoneKey(newJob().ID), false)
		if s, err := g.State(t.Context(), newJob().ID, newJob().QueueRef()); err != nil || s != workload.Queued {
			t.Errorf("state %q, %v", s, err)
		}
	})
}
