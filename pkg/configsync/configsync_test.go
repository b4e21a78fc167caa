package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/controlwatch"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/peer/peertest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testVM is a Sync with its control watch on one VM.
type testVM struct {
	*Sync
	mu       sync.Mutex
	notified []int64 // revisions that the subscriber was called with
	stop     func()
}

// startVM starts a VM and stops it at the end of the test.
func startVM(t *testing.T, net *peertest.Net, store platform.Store, id string, bootstrap *policy.Document) *testVM {
	endpoint := net.Join(id)
	watch := controlwatch.New(controlwatch.Options{Store: store})
	v := &testVM{Sync: New(Options{Store: store, Watch: watch, Caller: endpoint, Registry: endpoint, Bootstrap: bootstrap})}
	v.Subscribe(func(d *policy.Document) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.notified = append(v.notified, d.Revision)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = watch.Run(ctx) })
	wg.Go(func() { _ = v.Run(ctx) })
	v.stop = func() { cancel(); wg.Wait() }
	t.Cleanup(v.stop)
	return v
}

func (v *testVM) revision() int64 {
	if d := v.Current(); d != nil {
		return d.Revision
	}
	return 0
}

// monotonic reports whether the subscriber was called with strictly increasing
// revisions.
func (v *testVM) monotonic() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := 1; i < len(v.notified); i++ {
		if v.notified[i] <= v.notified[i-1] {
			return false
		}
	}
	return true
}

func mustChange(t *testing.T, v *testVM) {
	t.Helper()
	base := v.Current()
	if _, err := v.Change(t.Context(), base.Revision, base); err != nil {
		t.Fatal(err)
	}
}

// TestBootstrap guards against VMs that start together and put different first
// documents in force, and against a bootstrap document that overwrites a later change.
func TestBootstrap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, store := peertest.NewNet(), memory.NewStore(memory.Options{})
		store.SetFaults(memory.Faults{LoseNext: 2})
		var vms []*testVM
		for _, id := range []string{"a", "b", "c"} {
			vms = append(vms, startVM(t, net, store, id, &policy.Document{Plan: "bootstrap " + id}))
		}
		time.Sleep(5 * time.Second)
		mustChange(t, vms[0])
		late := startVM(t, net, store, "d", &policy.Document{Plan: "bootstrap d"})
		time.Sleep(5 * time.Second)
		for _, v := range append(vms, late) {
			if v.revision() != 2 || v.Current().Plan != vms[0].Current().Plan || !v.monotonic() {
				t.Errorf("revision %d, plan %q, notified %v", v.revision(), v.Current().Plan, v.notified)
			}
		}
	})
}

// TestNeverReverts guards against an older document that takes effect: from a store
// whose entry was deleted or rewritten, from an outdated peer, or on a VM that starts
// during a store outage.
func TestNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, store := peertest.NewNet(), memory.NewStore(memory.Options{})
		a, b := startVM(t, net, store, "a", &policy.Document{}), startVM(t, net, store, "b", nil)
		time.Sleep(2 * time.Second)
		mustChange(t, a)
		time.Sleep(time.Second)
		store.SetFaults(memory.Faults{Outage: true})
		fresh := startVM(t, net, store, "c", &policy.Document{Plan: "bootstrap"})
		fresh.HigherRevision("gone", 9) // an unreachable peer
		time.Sleep(5 * time.Second)
		fresh.HigherRevision("b", 2)
		time.Sleep(time.Second)
		if fresh.revision() != 2 {
			t.Errorf("VM started during the outage: revision %d, want 2", fresh.revision())
		}
		old := startVM(t, net, store, "old", nil)
		old.apply(&policy.Document{Revision: 1}, "test")
		b.HigherRevision("old", 3) // a peer whose document is older than announced
		time.Sleep(time.Second)
		if _, err := b.Change(contextWithTimeout(t), 2, &policy.Document{}); !errkind.Is(err, errkind.OutcomeUnknown) && !errkind.Is(err, errkind.StoreUnavailable) {
			t.Errorf("Change during an outage: %v, want outcome_unknown or store_unavailable", err)
		}
		store.SetFaults(memory.Faults{})
		if err := store.Delete(t.Context(), Key, platform.AnyVersion); err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(t.Context(), Key, []byte(`{"revision":1}`), 0, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(40 * time.Second)
		for id, v := range map[string]*testVM{"a": a, "b": b, "c": fresh} {
			if v.revision() != 2 || !v.monotonic() {
				t.Errorf("%s has revision %d, want 2; notified %v", id, v.revision(), v.notified)
			}
		}
		if old.revision() != 1 {
			t.Errorf("VM with the old document only: revision %d, want 1", old.revision())
		}
	})
}

func contextWithTimeout(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// faultyStore fails the first Put and writes its value after a delay, or never.
type faultyStore struct {
	platform.Store
	faulted       atomic.Bool
	delay         time.Duration // of the first write; negative: never written
	unconditional bool          // writes ignore the expected version
}

func (s *faultyStore) Put(ctx context.Context, key string, v []byte, expect int64, l platform.LeaseID) (int64, error) {
	if s.unconditional {
		expect = platform.AnyVersion
	}
	if s.faulted.Swap(true) {
		return s.Store.Put(ctx, key, v, expect, l)
	}
	if s.delay >= 0 {
		time.AfterFunc(s.delay, func() { _, _ = s.Store.Put(context.Background(), key, v, expect, l) })
	}
	return 0, errkind.New(errkind.StoreUnavailable, "no answer")
}

// TestChangeWithoutAnswer guards against a change that takes effect twice or is
// reported wrongly after the reply was lost or the write was delayed. In the last
// case, the store doesn't compare versions: the delayed write reverts the stored
// document, which shows that the comparison is necessary.
func TestChangeWithoutAnswer(t *testing.T) {
	for _, tc := range []struct {
		name           string
		delay          time.Duration
		unconditional  bool
		storedRevision int64
	}{
		{"write lost", -1, false, 3},
		{"reply lost", 0, false, 3},
		{"write delayed", time.Second, false, 3},
		{"write delayed, without version check", time.Second, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net, store := peertest.NewNet(), memory.NewStore(memory.Options{})
				a := startVM(t, net, store, "a", &policy.Document{})
				time.Sleep(2 * time.Second)
				b := startVM(t, net, &faultyStore{Store: store, delay: tc.delay, unconditional: tc.unconditional}, "b", nil)
				time.Sleep(2 * time.Second)
				got, err := b.Change(t.Context(), 1, &policy.Document{Plan: "p"})
				if err != nil || got.Revision != 2 {
					t.Fatalf("Change: %v, %v; want revision 2", got, err)
				}
				synctest.Wait()
				mustChange(t, a)
				time.Sleep(5 * time.Second)
				_, stored, err := a.read(t.Context())
				if err != nil || stored.Revision != tc.storedRevision {
					t.Errorf("stored revision %d, %v", stored.Revision, err)
				}
				if a.revision() != 3 || b.revision() != 3 || !a.monotonic() || !b.monotonic() {
					t.Errorf("notified revisions: %v and %v, want up to 3 in order", a.notified, b.notified)
				}
			})
		})
	}
}

// TestRace guards against concurrent changes of the same base revision of which more
// than one is accepted.
func TestRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, store := peertest.NewNet(), memory.NewStore(memory.Options{})
		a, b := startVM(t, net, store, "a", &policy.Document{}), startVM(t, net, store, "b", nil)
		time.Sleep(2 * time.Second)
		var accepted, rejected atomic.Int64
		var wg sync.WaitGroup
		for _, v := range []*testVM{a, b, a, b} {
			wg.Go(func() {
				switch _, err := v.Change(t.Context(), 1, &policy.Document{}); {
				case err == nil:
					accepted.Add(1)
				case errkind.Is(err, errkind.Conflict):
					rejected.Add(1)
				default:
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if accepted.Load() != 1 || rejected.Load() != 3 {
			t.Errorf("%d changes accepted, %d rejected; want 1 and 3", accepted.Load(), rejected.Load())
		}
	})
}
