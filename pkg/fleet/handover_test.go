package fleet_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// vmStore is the connection of one VM to the store.
type vmStore struct {
	platform.Transactor
	unreachable          atomic.Bool
	loseKeepAliveAnswers atomic.Bool // lease renewals are applied but not answered
	loseCommitAnswers    atomic.Bool // transactions are applied but not answered
	lastAnswer           atomic.Int64
	started              time.Time
}

func (s *vmStore) lastAnswerTime() time.Duration { return time.Duration(s.lastAnswer.Load()) }

// callStore makes a call to the store; while the store is unreachable, the call blocks
// until ctx is done.
func callStore[T any](ctx context.Context, s *vmStore, call func() (T, error)) (T, error) {
	var none T
	if s.unreachable.Load() {
		<-ctx.Done()
		return none, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "store unreachable")
	}
	result, err := call()
	if s.unreachable.Load() {
		<-ctx.Done()
		return none, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "store unreachable")
	}
	if !errkind.Is(err, errkind.StoreUnavailable) {
		s.lastAnswer.Store(int64(time.Since(s.started)))
	}
	return result, err
}

func (s *vmStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	return callStore(ctx, s, func() (platform.Entry, error) { return s.Transactor.Get(ctx, key) })
}

func (s *vmStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	return callStore(ctx, s, func() (platform.ListResult, error) { return s.Transactor.List(ctx, prefix, after, limit) })
}

func (s *vmStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if s.loseCommitAnswers.Load() {
		_, err := s.Transactor.Commit(ctx, txn)
		<-ctx.Done()
		return platform.TxnResult{}, errkind.Wrap(err, errkind.StoreUnavailable, "answer lost")
	}
	return callStore(ctx, s, func() (platform.TxnResult, error) { return s.Transactor.Commit(ctx, txn) })
}

func (s *vmStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	return callStore(ctx, s, func() (platform.PollResult, error) { return s.Transactor.Poll(ctx, prefix, after, wait) })
}

func (s *vmStore) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return callStore(ctx, s, func() (platform.LeaseID, error) { return s.Transactor.GrantLease(ctx, ttl) })
}

func (s *vmStore) Revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := callStore(ctx, s, func() (struct{}, error) { return struct{}{}, s.Transactor.Revoke(ctx, id) })
	return err
}

func (s *vmStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if s.loseKeepAliveAnswers.Load() {
		err := s.Transactor.KeepAlive(ctx, id)
		<-ctx.Done()
		return errkind.Wrap(err, errkind.StoreUnavailable, "answer lost")
	}
	_, err := callStore(ctx, s, func() (struct{}, error) { return struct{}{}, s.Transactor.KeepAlive(ctx, id) })
	return err
}

// newPerVMStoreTestbed returns a testbed in which each VM has its own connection to the store
// and the VMs release the owner key for each other.
func newPerVMStoreTestbed(t *testing.T, vms, workers int) (*testbed, *[]*vmStore) {
	b := newTestbed(t, 0, workers)
	stores := &b.vmStores
	b.adjustOptions = func(o *fleet.Options) {
		store := &vmStore{Transactor: b.store, started: b.started}
		self := len(*stores)
		*stores = append(*stores, store)
		o.Store, o.LastStoreAnswer = store, store.lastAnswerTime
		o.ReleaseOwnerKey = func(ctx context.Context, token int64) error {
			err := error(errkind.New(errkind.Unavailable, "no other VM"))
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
	return b, stores
}

// ownerIndex returns the index of the VM that owns the fleet, or -1.
func (b *testbed) ownerIndex() int {
	for i, v := range b.vms {
		if _, local := v.elector.Owner(); local != nil {
			return i
		}
	}
	return -1
}

// Guards against waiting for the lease of an owner to expire when only that owner
// loses its connection to the store.
func TestCutOffOwnerHandsOver(t *testing.T) {
	// Two renewal intervals, the calls that release the owner key, and the usual election.
	const bound = 2*300*time.Millisecond + 200*time.Millisecond + 130*time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		b, stores := newPerVMStoreTestbed(t, 3, 4)
		before := b.submit(gangStep(2, 8))
		b.sleep(500 * time.Millisecond)
		(*stores)[b.ownerIndex()].unreachable.Store(true)
		j := b.submit(smallStep(2))
		b.sleep(bound)
		for i := range j.Steps[0].Tasks {
			if n := b.workers.Starts(workload.TaskID{Job: j.ID, Index: i}); n != 1 {
				t.Errorf("task %d was started %d times within %v of the loss of the store", i, n, bound)
			}
		}
		b.sleep(400 * time.Millisecond) // until the next release call ends the former ownership
		owners := 0
		for _, v := range b.vms {
			if _, local := v.elector.Owner(); local != nil {
				owners++
			}
		}
		if owners != 1 {
			t.Errorf("%d VMs consider themselves the owner", owners)
		}
		b.reconnectStores()
		b.sleep(10 * time.Second)
		for _, done := range []*workload.Job{before, j} {
			b.wantState(done, workload.Completed)
		}
	})
}

// Guards against a small VM that becomes the owner because it was the one asked to
// release the owner key: its processor time and network link are too small for a
// large fleet.
func TestLargeVMSucceedsCutOffOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stores := newPerVMStoreTestbed(t, 0, 2)
		b.cores = []float64{1, 0.1, 0.1, 0.1, 1}
		for range b.cores {
			b.startVM()
		}
		b.sleep(time.Second)
		first := b.ownerIndex()
		if b.coresOf(first) < 1 {
			t.Fatalf("VM %d, a small one, is the first owner", first)
		}
		(*stores)[first].unreachable.Store(true)
		b.sleep(1500 * time.Millisecond)
		second := b.ownerIndex()
		if second < 0 || second == first || b.coresOf(second) < 1 {
			t.Errorf("VM %d owns the fleet after VM %d; want another VM with a whole core", second, first)
		}
		b.reconnectStores()
	})
}

// Guards against an unneeded change of the owner, after which the state of all runs
// has to be determined again, when answers to the owner are lost or the store is
// down for all VMs.
func TestOwnerThatIsNotCutOffStays(t *testing.T) {
	tests := map[string]func(b *testbed, owner *vmStore, on bool){
		"answers to renewals are lost": func(_ *testbed, owner *vmStore, on bool) { owner.loseKeepAliveAnswers.Store(on) },
		"outage with paused leases": func(b *testbed, _ *vmStore, on bool) {
			b.store.UpdateFaults(func(f *memory.Faults) { f.Outage, f.PauseLeases = on, on })
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, stores := newPerVMStoreTestbed(t, 3, 4)
				owner := b.ownerIndex()
				fault(b, (*stores)[owner], true)
				for range 10 {
					b.submitUnlessDown(smallStep(1))
					b.sleep(300 * time.Millisecond)
				}
				fault(b, (*stores)[owner], false)
				b.sleep(2 * time.Second)
				if got := b.ownerIndex(); got != owner {
					t.Errorf("VM %d owns the fleet, want VM %d as before", got, owner)
				}
			})
		})
	}
}

// submitUnlessDown submits a job unless the store is down.
func (b *testbed) submitUnlessDown(step workload.Step) {
	if !b.storeDown() {
		b.submit(step)
	}
}

// reconnectStores restores the connections of all VMs to the store.
func (b *testbed) reconnectStores() {
	for _, s := range b.vmStores {
		s.unreachable.Store(false)
	}
}

// Guards against a new owner that takes the runs of its predecessor for new ones: it would
// stop the run that is nearly done, as that seems to cost nothing, and the work would be
// lost.
func TestAdoptedRunsKeepTheirStopCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 2)
		long := workload.Step{Tasks: 1, Gang: true, Estimate: 20 * time.Second, Request: workload.Resources{MilliCPU: 1000, MemoryMiB: 100, Accelerators: 8}}
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 20 * time.Second} })
		advanced := b.submit(long)
		b.sleep(12 * time.Second)
		fresh := b.submit(long)
		b.sleep(time.Second)
		b.killVM(0)
		b.startVM()
		b.sleep(3 * time.Second)
		urgent := b.buildJob(long)
		urgent.Class.Priority = 0
		b.storeJob(urgent)
		b.sleep(time.Minute)
		for _, tc := range []struct {
			job    *workload.Job
			starts int
		}{{advanced, 1}, {fresh, 2}, {urgent, 1}} {
			b.wantState(tc.job, workload.Completed)
			if n := b.workers.Starts(workload.TaskID{Job: tc.job.ID}); n != tc.starts {
				t.Errorf("the task of %s started %d times, want %d", tc.job.ID, n, tc.starts)
			}
		}
	})
}

// Guards against answers of an owner whose lease has run out, as another VM may own the fleet.
func TestOwnerIsNotCurrentAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stores := newPerVMStoreTestbed(t, 1, 2)
		_, owner := b.vms[0].elector.Owner()
		if !owner.Current() || len(owner.MaximalCapacities()) == 0 {
			t.Error("the owner is not current, or knows no capacities")
		}
		(*stores)[0].unreachable.Store(true)
		b.sleep(fleet.LeaseTTL)
		if owner.Current() || len(owner.MaximalCapacities()) > 0 {
			t.Error("the owner is current after its lease, or answers with capacities")
		}
		b.reconnectStores()
	})
}

// Guards against two owners for as long as the fleet is idle: the owner has asked for the release
// of its key, has no answer, and reaches the store again.
func TestOwnerWhoseKeyWasReleasedWithoutAnAnswerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, stores := newPerVMStoreTestbed(t, 0, 2)
		adjust := b.adjustOptions
		b.adjustOptions = func(o *fleet.Options) {
			adjust(o)
			release, store := o.ReleaseOwnerKey, (*stores)[len(*stores)-1]
			o.ReleaseOwnerKey = func(ctx context.Context, token int64) error {
				err := release(ctx, token)
				store.unreachable.Store(false)
				return errkind.Wrap(err, errkind.Unavailable, "the answer was lost")
			}
		}
		for range 3 {
			b.startVM()
		}
		b.sleep(time.Second)
		first := b.ownerIndex()
		(*stores)[first].unreachable.Store(true)
		b.sleep(5 * time.Second)
		owners := 0
		for i, v := range b.vms {
			if _, local := v.elector.Owner(); local != nil {
				owners++
				if i == first {
					t.Errorf("VM %d still considers itself the owner", i)
				}
			}
		}
		if owners != 1 {
			t.Errorf("%d VMs consider themselves the owner", owners)
		}
	})
}

// countLines returns how many lines of the VMs' logs contain a text.
func (b *testbed) countLines(text string) (n int) {
	b.logLock.Lock()
	defer b.logLock.Unlock()
	for _, line := range b.logLines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// Guards against a small VM that keeps a fleet for which it has too little processor time, once
// it became the owner while the larger VMs stood still; and against handovers that gain nothing.
func TestOwnerTooSmallForItsFleetHandsItOver(t *testing.T) {
	answer := func(b *testbed, vm int) (fleet.OwnerHint, error) { return b.allVMs()[vm].elector.OwnerHint(), nil }
	tests := map[string]struct {
		small, other float64 // cores
		ask          func(b *testbed, vm int) (fleet.OwnerHint, error)
		want         int // VM that owns the fleet at the end
	}{
		"too small":                   {small: 0.001, other: 1, ask: answer, want: 1},
		"large enough":                {small: 0.01, other: 1, ask: answer},
		"no larger VM":                {small: 0.001, other: 0.0015, ask: answer},
		"larger VM without the store": {small: 0.001, other: 1, ask: func(*testbed, int) (fleet.OwnerHint, error) { return fleet.OwnerHint{}, nil }},
		"larger VM that does not answer": {small: 0.001, other: 1, ask: func(*testbed, int) (fleet.OwnerHint, error) {
			return fleet.OwnerHint{}, errkind.New(errkind.Unavailable, "no answer")
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 6)
				b.cores = []float64{tc.small, tc.other}
				b.adjustOptions = func(o *fleet.Options) {
					o.Memory = 512 << 20
					o.AskVM = func(_ context.Context, address string) (fleet.OwnerHint, error) {
						return tc.ask(b, int(address[len(address)-1]-'0'))
					}
				}
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 90 * time.Second} })
				b.startVM()
				b.sleep(time.Second)
				b.startVM()
				b.sleep(50 * time.Second)
				jobs := []*workload.Job{b.submit(gangStep(2, 8)), b.submit(smallStep(4))}
				b.sleep(2 * time.Minute)
				if got := b.ownerIndex(); got != tc.want {
					t.Errorf("VM %d owns the fleet, want VM %d", got, tc.want)
				}
				if n := b.countLines("took ownership"); n != 1+tc.want {
					t.Errorf("%d takeovers", n)
				}
				for _, j := range jobs {
					b.wantState(j, workload.Completed)
					b.wantOneStartPerTask(j)
				}
			})
		})
	}
}

// Guards against a fleet without an owner, and against handovers in turn, when the larger VM
// answers but does not take the fleet.
func TestOwnerTakesTheFleetBackIfNoLargerVMDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 6)
		b.cores = []float64{0.001, 1}
		b.adjustOptions = func(o *fleet.Options) {
			o.Memory = 512 << 20
			o.AskVM = func(context.Context, string) (fleet.OwnerHint, error) { return b.allVMs()[0].elector.OwnerHint(), nil }
		}
		b.startVM()
		b.sleep(time.Second)
		b.startVM()
		b.sleep(10 * time.Second)
		b.killVM(1) // its announcement lasts
		b.sleep(2 * time.Minute)
		if got := b.ownerIndex(); got != 0 {
			t.Errorf("VM %d owns the fleet", got)
		}
		if n := b.countLines("too small for the fleet"); n < 1 || n > 4 {
			t.Errorf("%d handovers within 2 minutes, want one each 30 s", n)
		}
	})
}
