package configsource

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// slowStore is a store with a delay for reads, which it counts, and for watches.
type slowStore struct {
	*memory.Store
	mu                    sync.Mutex
	readDelay, watchDelay time.Duration
	reads                 int
}

func (s *slowStore) setDelays(read, watch time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDelay, s.watchDelay = read, watch
}

func (s *slowStore) readsSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// List implements platform.Transactor.
func (s *slowStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	s.mu.Lock()
	s.reads++
	d := s.readDelay
	s.mu.Unlock()
	r, err := s.Store.List(ctx, prefix, after, limit)
	return r, delayed(ctx, d, err)
}

// Poll implements platform.Transactor.
func (s *slowStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	r, err := s.Store.Poll(ctx, prefix, after, wait)
	s.mu.Lock()
	d := s.watchDelay
	s.mu.Unlock()
	return r, delayed(ctx, d, err)
}

func delayed(ctx context.Context, d time.Duration, err error) error {
	select {
	case <-time.After(d):
		return err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "no answer")
	}
}

// runSlowSource runs f with a source of the version that is the length of the stored value.
func runSlowSource(t *testing.T, value string, f func(t *testing.T, store *slowStore, s *Source)) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		store := &slowStore{Store: memory.NewStore(memory.Options{ReadsPerSecond: -1})}
		s := New(Options{
			Store: store, Key: key, RevokeIn: 5 * time.Second, Log: logr.Discard(),
			Decode: func(value []byte) (*catalog.Catalog, error) {
				return &catalog.Catalog{Version: int64(len(value))}, nil
			},
			Clock: func() time.Duration { return time.Since(started) + time.Hour },
		})
		put(t, store.Store, value)
		go s.Run(t.Context())
		time.Sleep(5 * time.Second)
		f(t, store, s)
	})
}

func acquire(t *testing.T, s *Source) View {
	t.Helper()
	v, err := s.Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Guards against a read of the store for each of many requests that are refused, and against
// reading a large configuration too often for the VM's link.
func TestRefusedRequestsShareReads(t *testing.T) {
	for name, tc := range map[string]struct {
		value    string
		maxReads int
	}{"small": {"v", 12}, "large": {strings.Repeat("v", 1<<20), 4}} {
		t.Run(name, func(t *testing.T) {
			runSlowSource(t, tc.value, func(t *testing.T, store *slowStore, s *Source) {
				before := store.readsSoFar()
				var callers sync.WaitGroup
				for range 1000 {
					callers.Go(func() {
						if _, err := s.Confirm(t.Context(), acquire(t, s)); err != nil {
							t.Error(err)
						}
					})
					time.Sleep(time.Millisecond)
				}
				callers.Wait()
				if n := store.readsSoFar() - before; n < 1 || n > tc.maxReads {
					t.Errorf("%d reads for 1000 requests in 1 s, want at most %d", n, tc.maxReads)
				}
			})
		})
	}
}

// Guards against handling a request by an older version than one that arrived earlier and
// waits for a slow store.
func TestLaterRequestIsNotHandledByAnOlderVersion(t *testing.T) {
	runSlowSource(t, "v", func(t *testing.T, store *slowStore, s *Source) {
		store.setDelays(280*time.Millisecond, time.Minute)
		first := acquire(t, s)
		if _, err := store.Put(t.Context(), key, []byte("vv"), platform.AnyVersion, 0); err != nil {
			t.Fatal(err)
		}
		var earlier View
		var waiting sync.WaitGroup
		waiting.Go(func() {
			var err error
			if earlier, err = s.Confirm(t.Context(), first); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(maxReordering + 50*time.Millisecond)
		later := acquire(t, s)
		waiting.Wait()
		if earlier.Catalog == nil || earlier.Version != 2 || later.Version < earlier.Version {
			t.Errorf("the earlier request is handled by %+v, the later one by version %d", earlier, later.Version)
		}
	})
}

// Guards against calls from a copy that lacks a version for longer than allowed, as a late
// answer to the watch is waited for.
func TestLateWatchIsReplacedByARead(t *testing.T) {
	runSlowSource(t, "v", func(t *testing.T, store *slowStore, s *Source) {
		store.setDelays(0, time.Minute)
		if _, err := store.Put(t.Context(), key, []byte("vv"), platform.AnyVersion, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxPollWait + pollOverdue + 50*time.Millisecond)
		if v := s.Catalog().Version; v != 2 {
			t.Errorf("version %d, want 2", v)
		}
	})
}

// Guards against refusing or holding calls on a VM without a way to the store, while another
// one can read it.
func TestOtherVMConfirmsTheConfiguration(t *testing.T) {
	var other atomic.Pointer[Copy]
	other.Store(&Copy{Revision: 1, Value: []byte("1"), Confirmed: true})
	ask := func(_ context.Context, r CopyRequest) (Copy, error) {
		if !r.Confirm {
			t.Error("asked for a copy of any age")
		}
		return *other.Load(), nil
	}
	runSourceWithPeer(t, ask, func(t *testing.T, store *memory.Store, s *Source) {
		put(t, store, "1")
		store.UpdateFaults(func(f *memory.Faults) { f.Outage = true })
		time.Sleep(20 * time.Second)
		v, err := s.Acquire(t.Context())
		if err != nil || v.Version != 1 {
			t.Fatalf("version %+v, %v", v, err)
		}
		other.Store(&Copy{Revision: 9, Value: []byte("7"), Confirmed: true})
		if v, err = s.Confirm(t.Context(), v); err != nil || v.Version != 7 {
			t.Errorf("confirmed version %+v, %v; want 7", v, err)
		}
		other.Store(&Copy{Revision: 9, Age: time.Second})
		time.Sleep(time.Second)
		if _, err = s.Confirm(t.Context(), acquire(t, s)); !errkind.Is(err, errkind.Unavailable) {
			t.Errorf("confirmed by a copy that is 1 s old: %v", err)
		}
	})
}

// Guards against handling calls by an older version than that of a job that this VM already
// schedules for another one, as its own watch is behind.
func TestVersionOfAnotherVMIsAwaited(t *testing.T) {
	runSlowSource(t, "v", func(t *testing.T, store *slowStore, s *Source) {
		store.setDelays(0, time.Minute)
		if _, err := store.Put(t.Context(), key, []byte("vv"), platform.AnyVersion, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		if v := acquire(t, s); v.Version != 1 {
			t.Fatalf("version %d without a watch", v.Version)
		}
		s.Observe(2)
		if v := acquire(t, s); v.Version != 2 {
			t.Errorf("version %d after another VM has used version 2", v.Version)
		}
	})
}
