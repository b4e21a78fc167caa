package configsource

import (
	"context"
	"io"
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
	"github.com/carawayusher/carawayusher/pkg/storecall"
)

// slowStore is a store with a delay for reads and for watches. It counts reads, and checks whether
// an entry has changed.
type slowStore struct {
	*memory.Store
	mu                    sync.Mutex
	readDelay, watchDelay time.Duration
	linkBytesPerSecond    int // 0: values take no time
	reads, checks         int
	sent                  int  // bytes of values since the link was set
	limitWrites           bool // checks exceed the limit of writes
	loseHistory           bool // the next watch is refused
}

func (s *slowStore) setReadDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDelay = d
}

// delayWatch delays the answers to watches for longer than any test takes.
func (s *slowStore) delayWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchDelay = time.Minute
}

func (s *slowStore) setLink(bytesPerSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkBytesPerSecond, s.sent = bytesPerSecond, 0
}

func (s *slowStore) sentSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// transferTime returns how long the values of entries take over the link.
func (s *slowStore) transferTime(entries []platform.Entry) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linkBytesPerSecond == 0 {
		return 0
	}
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Value)
	}
	s.sent += bytes
	return time.Duration(bytes) * time.Second / time.Duration(s.linkBytesPerSecond)
}

func (s *slowStore) readsSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *slowStore) checksSoFar() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checks
}

// List implements platform.Transactor.
func (s *slowStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	s.mu.Lock()
	s.reads++
	d := s.readDelay
	s.mu.Unlock()
	r, err := s.Store.List(ctx, prefix, after, limit)
	return r, delayed(ctx, d+s.transferTime(r.Entries), err)
}

// Commit implements platform.Transactor.
func (s *slowStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if len(txn.Writes) > 0 || len(txn.Deletes) > 0 {
		return s.Store.Commit(ctx, txn)
	}
	s.mu.Lock()
	s.checks++
	d, limited := s.readDelay, s.limitWrites
	s.mu.Unlock()
	if limited {
		return platform.TxnResult{}, errkind.New(errkind.QuotaExceeded, "too many writes")
	}
	r, err := s.Store.Commit(ctx, txn)
	return r, delayed(ctx, d+s.transferTime(r.Current), err)
}

// Poll implements platform.Transactor.
func (s *slowStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	r, err := s.Store.Poll(ctx, prefix, after, wait)
	s.mu.Lock()
	d, lost := s.watchDelay, s.loseHistory
	s.loseHistory = false
	s.mu.Unlock()
	if lost {
		return platform.PollResult{}, errkind.New(errkind.Conflict, "the history is gone")
	}
	var values []platform.Entry
	for _, e := range r.Events {
		values = append(values, e.Entry)
	}
	if err := receive(ctx, s.transferTime(values)); err != nil {
		return platform.PollResult{}, err
	}
	return r, delayed(ctx, d, err)
}

// receive reports the progress of an answer that arrives evenly over a time.
func receive(ctx context.Context, d time.Duration) error {
	const parts = 20
	for range parts {
		if err := delayed(ctx, d/parts, nil); err != nil {
			return err
		}
		if d > 0 {
			_, _ = io.ReadAll(storecall.ProgressReader(ctx, strings.NewReader("part"))) // it cannot fail
		}
	}
	return nil
}

func delayed(ctx context.Context, d time.Duration, err error) error {
	if d <= 0 {
		// Timers that are due at once, of several goroutines in a bubble of synctest, crash the race
		// detector of go1.26.8: they use its context of the bubble at the same time.
		return err
	}
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

// Guards against a call to the store for each of many requests that are refused, and against
// reading a large configuration again though it has not changed.
func TestRefusedRequestsShareReads(t *testing.T) {
	const maxCalls = 12
	for name, tc := range map[string]struct {
		value    string
		maxReads int
	}{"small": {"v", maxCalls}, "large": {strings.Repeat("v", 1<<20), 0}} {
		t.Run(name, func(t *testing.T) {
			runSlowSource(t, tc.value, func(t *testing.T, store *slowStore, s *Source) {
				reads, checks := store.readsSoFar(), store.checksSoFar()
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
				reads, checks = store.readsSoFar()-reads, store.checksSoFar()-checks
				if n := reads + checks; n < 1 || n > maxCalls || reads > tc.maxReads {
					t.Errorf("%d reads and %d checks for 1000 requests in 1 s, want at most %d reads and %d calls", reads, checks, tc.maxReads, maxCalls)
				}
			})
		})
	}
}

// Guards against refusing and holding calls on a VM with a slow link, as each refusal made it read
// a large configuration again.
func TestRefusalsDoNotHoldCallsOnASlowLink(t *testing.T) {
	const linkBytesPerSecond, maxWait = 1 << 20, 2 * maxReordering
	runSlowSource(t, strings.Repeat("v", 1<<20), func(t *testing.T, store *slowStore, s *Source) {
		store.setLink(linkBytesPerSecond)
		var callers sync.WaitGroup
		for range 100 {
			callers.Go(func() {
				if _, err := s.Confirm(t.Context(), acquire(t, s)); err != nil {
					t.Error(err)
				}
			})
			sentAt := time.Now()
			acquire(t, s)
			if waited := time.Since(sentAt); waited > maxWait {
				t.Errorf("a call waited for %v", waited)
			}
			time.Sleep(30 * time.Millisecond)
		}
		callers.Wait()
	})
}

// Guards against giving up a change that is arriving over a slow link, and against reading it in
// addition, which takes the link from other calls.
func TestArrivingChangeIsNotReadAgain(t *testing.T) {
	const size, linkBytesPerSecond = 1 << 19, 1 << 18
	runSlowSource(t, strings.Repeat("v", size), func(t *testing.T, store *slowStore, s *Source) {
		store.setLink(linkBytesPerSecond)
		reads, checks := store.readsSoFar(), store.checksSoFar()
		if _, err := store.Put(t.Context(), key, []byte(strings.Repeat("v", size+1)), platform.AnyVersion, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(size * time.Second / linkBytesPerSecond * 11 / 10)
		if v := s.Catalog().Version; v != size+1 {
			t.Errorf("version %d, want %d", v, size+1)
		}
		if n := store.readsSoFar() - reads + store.checksSoFar() - checks; n > 0 {
			t.Errorf("%d reads and checks of a change that was arriving", n)
		}
	})
}

// Guards against missing a change of a large configuration while the watch is late, the store has
// lost the history, or its limit of writes is used up.
func TestChangeOfALargeConfigurationIsRead(t *testing.T) {
	const initialSize = minLargeBytes
	tests := map[string]struct {
		prepare func(s *slowStore)
		confirm bool // or the change has to come by the watch
	}{
		"watch is late": {(*slowStore).delayWatch, true},
		"history is lost": {func(s *slowStore) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.loseHistory = true
		}, false},
		"no more writes": {func(s *slowStore) {
			s.delayWatch()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.limitWrites = true
		}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			runSlowSource(t, strings.Repeat("v", initialSize), func(t *testing.T, store *slowStore, s *Source) {
				tc.prepare(store)
				time.Sleep(2 * maxPollWait)
				for _, size := range []int{initialSize + 1, initialSize + 2} {
					if _, err := store.Put(t.Context(), key, []byte(strings.Repeat("v", size)), platform.AnyVersion, 0); err != nil {
						t.Fatal(err)
					}
					if tc.confirm {
						if _, err := s.Confirm(t.Context(), acquire(t, s)); err != nil {
							t.Error(err)
						}
					}
					time.Sleep(10 * time.Millisecond)
					if v := s.Catalog().Version; v != int64(size) {
						t.Errorf("version %d, want %d", v, size)
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// Guards against handling a request by an older version than one that arrived earlier and
// waits for a slow store.
func TestLaterRequestIsNotHandledByAnOlderVersion(t *testing.T) {
	runSlowSource(t, "v", func(t *testing.T, store *slowStore, s *Source) {
		store.setReadDelay(280 * time.Millisecond)
		store.delayWatch()
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
		store.delayWatch()
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
		store.delayWatch()
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
