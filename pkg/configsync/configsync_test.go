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

type vm struct {
	*Sync
	mu   sync.Mutex
	seen []int64 // revisions passed to the subscriber
	stop func()
}

func start(t *testing.T, net *peertest.Net, store platform.Store, id string, bootstrap *policy.Document) *vm {
	end := net.Join(id)
	watch := controlwatch.New(controlwatch.Options{Store: store})
	v := &vm{Sync: New(Options{Store: store, Watch: watch, Caller: end, Registry: end, Bootstrap: bootstrap})}
	v.Subscribe(func(d *policy.Document) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.seen = append(v.seen, d.Revision)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = watch.Run(ctx) })
	wg.Go(func() { _ = v.Run(ctx) })
	v.stop = func() { cancel(); wg.Wait() }
	t.Cleanup(v.stop)
	return v
}

func (v *vm) revision() int64 {
	if d := v.Current(); d != nil {
		return d.Revision
	}
	return 0
}

// monotonic reports whether the subscriber saw growing revisions only.
func (v *vm) monotonic() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := 1; i < len(v.seen); i++ {
		if v.seen[i] <= v.seen[i-1] {
			return false
		}
	}
	return true
}

func change(t *testing.T, v *vm) {
	t.Helper()
	base := v.Current()
	if _, err := v.Change(t.Context(), base.Revision, base); err != nil {
		t.Fatal(err)
	}
}

// TestBootstrap guards against several VMs that each write a first document,
// and against one that overwrites what operators have accepted.
func TestBootstrap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, store := peertest.NewNet(), memory.NewStore(memory.Options{})
		store.SetFaults(memory.Faults{LoseNext: 2})
		var vms []*vm
		for _, id := range []string{"a", "b", "c"} {
			vms = append(vms, start(t, net, store, id, &policy.Document{Plan: "bootstrap " + id}))
		}
		time.Sleep(5 * time.Second)
		change(t, vms[0])
		late := start(t, net, store, "d", &policy.Document{Plan: "bootstrap d"})
		time.Sleep(5 * time.Second)
		for _, v := range append(vms, late) {
			if v.revision() != 2 || v.Current().Plan != vms[0].Current().Plan || !v.monotonic() {
				t.Errorf("revision %d, plan %q, seen %v", v.revision(), v.Current().Plan, v.seen)
			}
		}
	})
}

// TestNeverReverts guards against an older document coming into force from the
// store, from a peer or after a restart.
func TestNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, store := peertest.NewNet(), memory.NewStore(memory.Options{})
		a, b := start(t, net, store, "a", &policy.Document{}), start(t, net, store, "b", nil)
		time.Sleep(2 * time.Second)
		change(t, a)
		time.Sleep(time.Second)
		store.SetFaults(memory.Faults{Outage: true})
		fresh := start(t, net, store, "c", &policy.Document{Plan: "bootstrap"})
		fresh.HigherRevision("gone", 9) // a peer that is lost
		time.Sleep(5 * time.Second)
		fresh.HigherRevision("b", 2)
		time.Sleep(time.Second)
		if fresh.revision() != 2 {
			t.Errorf("VM that started in the outage has revision %d", fresh.revision())
		}
		old := start(t, net, store, "old", nil)
		old.apply(&policy.Document{Revision: 1}, "test")
		b.HigherRevision("old", 3) // a peer that is behind what it said
		time.Sleep(time.Second)
		if _, err := b.Change(limited(t), 2, &policy.Document{}); !errkind.Is(err, errkind.OutcomeUnknown) && !errkind.Is(err, errkind.StoreUnavailable) {
			t.Errorf("change in an outage: %v", err)
		}
		store.SetFaults(memory.Faults{})
		if err := store.Delete(t.Context(), Key, platform.AnyVersion); err != nil {
			t.Fatal(err)
		}
		if _, err := store.Put(t.Context(), Key, []byte(`{"revision":1}`), 0, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(40 * time.Second)
		for id, v := range map[string]*vm{"a": a, "b": b, "c": fresh} {
			if v.revision() != 2 || !v.monotonic() {
				t.Errorf("%s has revision %d after %v", id, v.revision(), v.seen)
			}
		}
		if old.revision() != 1 {
			t.Errorf("the VM without a newer document has revision %d", old.revision())
		}
	})
}

func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// putFault answers the first Put with an error and writes it later, or never.
type putFault struct {
	platform.Store
	used  atomic.Bool
	delay time.Duration // negative: never
	blind bool          // repeats land without comparison
}

func (s *putFault) Put(ctx context.Context, key string, v []byte, expect int64, l platform.LeaseID) (int64, error) {
	if s.blind {
		expect = platform.AnyVersion
	}
	if s.used.Swap(true) {
		return s.Store.Put(ctx, key, v, expect, l)
	}
	if s.delay >= 0 {
		time.AfterFunc(s.delay, func() { _, _ = s.Store.Put(context.Background(), key, v, expect, l) })
	}
	return 0, errkind.New(errkind.StoreUnavailable, "no answer")
}

// TestChangeWithoutAnswer guards against a change that is made twice, or
// reported wrongly, when the answer is lost or the write is delayed. The last
// case shows the delayed write reverting the configuration without comparison.
func TestChangeWithoutAnswer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		delay time.Duration
		blind bool
		last  int64
	}{
		{"write lost", -1, false, 3},
		{"answer lost", 0, false, 3},
		{"write delayed", time.Second, false, 3},
		{"write delayed, without comparison", time.Second, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net, store := peertest.NewNet(), memory.NewStore(memory.Options{})
				a := start(t, net, store, "a", &policy.Document{})
				time.Sleep(2 * time.Second)
				b := start(t, net, &putFault{Store: store, delay: tc.delay, blind: tc.blind}, "b", nil)
				time.Sleep(2 * time.Second)
				got, err := b.Change(t.Context(), 1, &policy.Document{Plan: "p"})
				if err != nil || got.Revision != 2 {
					t.Fatalf("change: %v, %v", got, err)
				}
				synctest.Wait()
				change(t, a)
				time.Sleep(5 * time.Second)
				_, stored, err := a.read(t.Context())
				if err != nil || stored.Revision != tc.last {
					t.Errorf("store holds revision %d, %v", stored.Revision, err)
				}
				if a.revision() != 3 || b.revision() != 3 || !a.monotonic() || !b.monotonic() {
					t.Errorf("in force: %v and %v", a.seen, b.seen)
				}
			})
		})
	}
}

// TestRace guards against two operators whose changes both count as accepted.
func TestRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, store := peertest.NewNet(), memory.NewStore(memory.Options{})
		a, b := start(t, net, store, "a", &policy.Document{}), start(t, net, store, "b", nil)
		time.Sleep(2 * time.Second)
		var won, lost atomic.Int64
		var wg sync.WaitGroup
		for _, v := range []*vm{a, b, a, b} {
			wg.Go(func() {
				switch _, err := v.Change(t.Context(), 1, &policy.Document{}); {
				case err == nil:
					won.Add(1)
				case errkind.Is(err, errkind.Conflict):
					lost.Add(1)
				default:
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if won.Load() != 1 || lost.Load() != 3 {
			t.Errorf("%d changes accepted, %d refused", won.Load(), lost.Load())
		}
	})
}
