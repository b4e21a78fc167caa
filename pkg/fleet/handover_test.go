package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// pathStore is the way of one VM to the store.
type pathStore struct {
	platform.Transactor
	cut      atomic.Bool
	loseKeep atomic.Bool // renewals of leases are done and not answered
	servedAt atomic.Int64
	started  time.Time
}

func (s *pathStore) answered() time.Duration { return time.Duration(s.servedAt.Load()) }

// via makes a call unless the way is cut; then nothing comes back.
func via[T any](ctx context.Context, s *pathStore, call func() (T, error)) (T, error) {
	var none T
	if s.cut.Load() {
		<-ctx.Done()
		return none, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "cut off")
	}
	result, err := call()
	if s.cut.Load() {
		<-ctx.Done()
		return none, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "cut off")
	}
	if !errkind.Is(err, errkind.StoreUnavailable) {
		s.servedAt.Store(int64(time.Since(s.started)))
	}
	return result, err
}

func (s *pathStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	return via(ctx, s, func() (platform.Entry, error) { return s.Transactor.Get(ctx, key) })
}

func (s *pathStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	return via(ctx, s, func() (platform.ListResult, error) { return s.Transactor.List(ctx, prefix, after, limit) })
}

func (s *pathStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	return via(ctx, s, func() (platform.TxnResult, error) { return s.Transactor.Commit(ctx, txn) })
}

func (s *pathStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	return via(ctx, s, func() (platform.PollResult, error) { return s.Transactor.Poll(ctx, prefix, after, wait) })
}

func (s *pathStore) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return via(ctx, s, func() (platform.LeaseID, error) { return s.Transactor.GrantLease(ctx, ttl) })
}

func (s *pathStore) Revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := via(ctx, s, func() (struct{}, error) { return struct{}{}, s.Transactor.Revoke(ctx, id) })
	return err
}

func (s *pathStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if s.loseKeep.Load() {
		err := s.Transactor.KeepAlive(ctx, id)
		<-ctx.Done()
		return errkind.Wrap(err, errkind.StoreUnavailable, "answer lost")
	}
	_, err := via(ctx, s, func() (struct{}, error) { return struct{}{}, s.Transactor.KeepAlive(ctx, id) })
	return err
}

// pathBench is a bench whose VMs have ways of their own to the store and free the
// owner key for each other.
func pathBench(t *testing.T, vms, workers int) (*testbed, *[]*pathStore) {
	b := newTestbed(t, 0, workers)
	paths := &b.paths
	b.adjustOptions = func(o *fleet.Options) {
		path := &pathStore{Transactor: b.store, started: b.started}
		self := len(*paths)
		*paths = append(*paths, path)
		o.Store, o.LastStoreAnswer = path, path.answered
		o.ReleaseOwnerKey = func(ctx context.Context, token int64) error {
			err := error(errkind.New(errkind.Unavailable, "alone"))
			for i, v := range b.allVMs() {
				if i == self {
					continue
				}
				if err = v.elector.ReleaseOwnerKey(ctx, token); err == nil || errkind.Is(err, errkind.Conflict) {
					return err
				}
			}
			return err
		}
	}
	for range vms {
		b.startVM()
	}
	b.sleep(time.Second)
	return b, paths
}

// owning returns the index of the VM that owns the fleet, or -1.
func (b *testbed) owning() int {
	for i, v := range b.vms {
		if _, mine := v.elector.Owner(); mine != nil {
			return i
		}
	}
	return -1
}

// Guards against waiting for the lease of an owner that is cut off from the store
// while other VMs reach it.
func TestCutOffOwnerHandsOver(t *testing.T) {
	// Two renewals, the calls that free the owner key, and the usual election.
	const bound = 2*300*time.Millisecond + 200*time.Millisecond + 130*time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		b, paths := pathBench(t, 3, 4)
		before := b.submit(gangStep(2, 8))
		b.sleep(500 * time.Millisecond)
		(*paths)[b.owning()].cut.Store(true)
		j := b.submit(smallStep(2))
		b.sleep(bound)
		for i := range j.Steps[0].Tasks {
			if n := b.workers.Starts(workload.TaskID{Job: j.ID, Index: i}); n != 1 {
				t.Errorf("task %d was started %d times %v after the cut", i, n, bound)
			}
		}
		b.sleep(400 * time.Millisecond) // the next invitation tells the former owner
		owners := 0
		for _, v := range b.vms {
			if _, mine := v.elector.Owner(); mine != nil {
				owners++
			}
		}
		if owners != 1 {
			t.Errorf("%d VMs take themselves for the owner", owners)
		}
		b.reconnect()
		b.sleep(10 * time.Second)
		for _, done := range []*workload.Job{before, j} {
			b.wantState(done, workload.Completed)
		}
	})
}

// Guards against a small VM that owns the fleet because it was the one that was
// asked: its processor time and link would not do for a large fleet.
func TestLargeVMSucceedsCutOffOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, paths := pathBench(t, 0, 2)
		b.cores = []float64{1, 0.1, 0.1, 0.1, 1}
		for range b.cores {
			b.startVM()
		}
		b.sleep(time.Second)
		first := b.owning()
		if b.coresOf(first) < 1 {
			t.Fatalf("VM %d owns the fleet at first", first)
		}
		(*paths)[first].cut.Store(true)
		b.sleep(1500 * time.Millisecond)
		second := b.owning()
		if second < 0 || second == first || b.coresOf(second) < 1 {
			t.Errorf("VM %d owns the fleet after VM %d", second, first)
		}
		b.reconnect()
	})
}

// Guards against a change of the owner, which settles all runs anew, where the
// owner is merely told too little: lost answers and an outage for all VMs.
func TestOwnerThatIsNotCutOffStays(t *testing.T) {
	tests := map[string]func(b *testbed, owner *pathStore, on bool){
		"answers to renewals are lost": func(_ *testbed, owner *pathStore, on bool) { owner.loseKeep.Store(on) },
		"outage with paused leases": func(b *testbed, _ *pathStore, on bool) {
			b.store.UpdateFaults(func(f *memory.Faults) { f.Outage, f.PauseLeases = on, on })
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, paths := pathBench(t, 3, 4)
				owner := b.owning()
				fault(b, (*paths)[owner], true)
				for range 10 {
					b.submitUnlessDown(smallStep(1))
					b.sleep(300 * time.Millisecond)
				}
				fault(b, (*paths)[owner], false)
				b.sleep(2 * time.Second)
				if got := b.owning(); got != owner {
					t.Errorf("VM %d owns the fleet, want %d still", got, owner)
				}
			})
		})
	}
}

// submitUnlessDown accepts a job if the store can.
func (b *testbed) submitUnlessDown(step workload.Step) {
	if !b.storeDown() {
		b.submit(step)
	}
}

// reconnect ends all cuts.
func (b *testbed) reconnect() {
	for _, p := range b.paths {
		p.cut.Store(false)
	}
}
