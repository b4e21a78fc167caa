package journal

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var background = context.Background()

func newStore() *memory.Store {
	return memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
}

// faultStore lets a test delay, fail or alter the writes of one owner.
type faultStore struct {
	platform.Store
	mu sync.Mutex
	// beforePut is called before each Put; if it returns an error, nothing is
	// written.
	beforePut      func(key string) error
	ignoreVersions bool // writes regardless of the expected version
}

func (s *faultStore) Put(ctx context.Context, key string, value []byte, expect int64, l platform.LeaseID) (int64, error) {
	s.mu.Lock()
	before := s.beforePut
	s.mu.Unlock()
	if before != nil {
		if err := before(key); err != nil {
			return 0, err
		}
	}
	if s.ignoreVersions {
		expect = platform.AnyVersion
	}
	return s.Store.Put(ctx, key, value, expect, l)
}

func (s *faultStore) setBeforePut(f func(string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforePut = f
}

func open(t *testing.T, store platform.Store, epoch int64) (Log, Recovered) {
	t.Helper()
	log, rec, err := Open(background, Options{Store: store, Epoch: epoch, VM: fmt.Sprint("vm", epoch)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close(background) })
	return log, rec
}

func mustAppend(t *testing.T, log Log, record string) {
	t.Helper()
	if err := log.Append(background, PriorityJobAccept, []byte(record)); err != nil {
		t.Fatal(err)
	}
}

func joinRecords(r Recovered) string {
	var out []string
	for _, b := range r.allRecords() {
		out = append(out, string(b))
	}
	return strings.Join(out, " ")
}

// TestPausedOwner guards against a former owner that was paused during a takeover
// and then overwrites the records of the new owner.
func TestPausedOwner(t *testing.T) {
	for _, tc := range []struct {
		name      string
		noCompare bool
		kind      errkind.Kind
		want      string
	}{
		{"fenced", false, errkind.StaleEpoch, "a b"},
		{"without the comparison of versions the record of the new owner is lost", true, "", "a late"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			store := newStore()
			paused, _ := open(t, &faultStore{Store: store, ignoreVersions: tc.noCompare}, 1)
			mustAppend(t, paused, "a")
			if tc.noCompare {
				// The new owner writes its owner entry to the next slot and its first
				// record to the slot after that.
				mustAppend(t, paused, "")
			}
			second, rec := open(t, store, 2)
			if got := strings.TrimSpace(joinRecords(rec)); got != "a" {
				t.Fatalf("recovered %q", got)
			}
			mustAppend(t, second, "b")
			err := paused.Append(background, PriorityClaim, []byte("late"))
			if errkind.Of(err) != tc.kind {
				t.Fatalf("append of the paused owner: %v", err)
			}
			if tc.noCompare {
				_ = paused.Append(background, PriorityClaim, []byte("late"))
			}
			l, err := load(background, store, partitionKeys(0))
			if err != nil {
				t.Fatal(err)
			}
			lost := true
			for _, e := range l.entries {
				for _, r := range e.Records {
					lost = lost && string(r) != "b"
				}
			}
			if lost != tc.noCompare {
				t.Fatalf("record of the new owner lost: %v", lost)
			}
		})
	}
}

// TestLostAnswers guards against a record that is written twice or reported as
// failed because the answer to its write was lost.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		log, _ := open(t, store, 1)
		for i := range 10 {
			store.UpdateFaults(func(f *memory.Faults) { f.LoseNext = i % 3 })
			mustAppend(t, log, fmt.Sprint(i))
		}
		_ = log.Close(background)
		_, rec := open(t, store, 2)
		if got := joinRecords(rec); got != "0 1 2 3 4 5 6 7 8 9" {
			t.Fatalf("recovered %q", got)
		}
	})
}

// TestOutage guards against records that are lost or out of order after a store
// outage, and against an Append that outlasts its context.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		log, _ := open(t, store, 1)
		mustAppend(t, log, "a")
		store.SetFaults(memory.Faults{Outage: true})
		ctx, cancel := context.WithTimeout(background, time.Second)
		defer cancel()
		if err := log.Append(ctx, PriorityJobEnd, []byte("b")); !errkind.Is(err, errkind.StoreUnavailable) {
			t.Fatalf("append in an outage: %v", err)
		}
		time.Sleep(time.Hour)
		store.SetFaults(memory.Faults{})
		mustAppend(t, log, "c")
		_ = log.Close(background)
		_, rec := open(t, store, 2)
		if got := joinRecords(rec); got != "a b c" {
			t.Fatalf("recovered %q", got)
		}
	})
}

// TestRingIsReusedAfterSnapshotOnly guards against an entry that is overwritten
// before a snapshot covers it.
func TestRingIsReusedAfterSnapshotOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultStore{Store: newStore()}
		log, _ := open(t, store, 1)
		store.setBeforePut(func(key string) error {
			if strings.Contains(key, "/snap/") {
				return errkind.New(errkind.StoreUnavailable, "chunk refused")
			}
			return nil
		})
		ctx, cancel := context.WithTimeout(background, time.Minute)
		defer cancel()
		written := 0
		for log.Append(ctx, PriorityJobAccept, fmt.Appendf(nil, "%d", written)) == nil {
			written++
		}
		if want := RingSlots - reservedSlots - 1; written != want {
			t.Fatalf("%d entries were written without a snapshot, want %d", written, want)
		}
		store.setBeforePut(nil)
		for written++; written < 300; written++ { // the record whose Append timed out is still queued
			mustAppend(t, log, fmt.Sprint(written))
		}
		_ = log.Close(background)
		_, rec := open(t, store.Store, 2)
		want := make([]string, 300)
		for i := range want {
			want[i] = fmt.Sprint(i)
		}
		if got := joinRecords(rec); got != strings.Join(want, " ") {
			t.Fatalf("recovered %q", got)
		}
		if len(rec.Snapshot) == 0 {
			t.Fatal("no snapshot was written")
		}
	})
}

// TestCrashDuringSnapshot guards against recovery from an incomplete snapshot. It
// crashes the owner before each write of a snapshot.
func TestCrashDuringSnapshot(t *testing.T) {
	large := strings.Repeat("x", 700<<10)
	for crashAt := range 8 {
		store := &faultStore{Store: newStore()}
		log, _ := open(t, store, 1)
		snapshotWrites, crashed := 0, make(chan struct{})
		store.setBeforePut(func(key string) error {
			if strings.Contains(key, "/snap/") || strings.HasSuffix(key, "/head") {
				if snapshotWrites == crashAt {
					close(crashed)
				}
				if snapshotWrites++; snapshotWrites > crashAt {
					return errkind.New(errkind.StoreUnavailable, "crashed")
				}
			}
			return nil
		})
		for i := range 3 {
			mustAppend(t, log, large+fmt.Sprint(i))
		}
		want := []string{large + "0", large + "1", large + "2"}
		for i := 3; i < 40; i++ {
			mustAppend(t, log, fmt.Sprint(i))
			want = append(want, fmt.Sprint(i))
		}
		if crashAt < 4 { // three chunks and the head
			<-crashed
		}
		ended, cancel := context.WithCancel(background)
		cancel()
		_ = log.Close(ended)
		_, rec := open(t, store.Store, 2)
		if joinRecords(rec) != strings.Join(want, " ") {
			t.Fatalf("crash before snapshot write %d: %d records recovered", crashAt, len(rec.allRecords()))
		}
	}
}

// TestManyTakeovers guards against a ring that fills up with the owner entries of
// consecutive takeovers.
func TestManyTakeovers(t *testing.T) {
	store := newStore()
	for epoch := int64(1); epoch <= 3*RingSlots; epoch++ {
		log, rec, err := Open(background, Options{Store: store, Epoch: epoch})
		if err != nil {
			t.Fatal(err)
		}
		if epoch == 1 {
			mustAppend(t, log, "a")
		} else if got := joinRecords(rec); got != "a" {
			t.Fatalf("epoch %d recovered %q", epoch, got)
		}
		_ = log.Close(background)
	}
}

// TestStaleOpen guards against a takeover by an owner with an old epoch.
func TestStaleOpen(t *testing.T) {
	store := newStore()
	open(t, store, 5)
	if _, _, err := Open(background, Options{Store: store, Epoch: 4}); !errkind.Is(err, errkind.StaleEpoch) {
		t.Fatalf("open with an old epoch: %v", err)
	}
}

// TestDelayedSnapshotWrite guards against records that are lost or replaced when a
// chunk or head written by a former owner reaches the store after the new owner
// has recovered.
func TestDelayedSnapshotWrite(t *testing.T) {
	for _, part := range []string{"/snap/", "/head"} {
		t.Run(strings.Trim(part, "/"), func(t *testing.T) {
			store := newStore()
			slow := &faultStore{Store: store}
			blocked, release := make(chan struct{}), make(chan struct{})
			former, _ := open(t, slow, 1)
			var once sync.Once
			slow.setBeforePut(func(key string) error {
				if strings.Contains(key, part) {
					once.Do(func() { close(blocked); <-release })
				}
				return nil
			})
			for i := range SnapshotInterval {
				mustAppend(t, former, fmt.Sprint(i))
			}
			<-blocked
			second, rec := open(t, store, 2)
			want := joinRecords(rec)
			close(release)
			_ = former.Close(background)
			for i := range 3 * RingSlots {
				mustAppend(t, second, fmt.Sprint("n", i))
				want += fmt.Sprint(" n", i)
			}
			_ = second.Close(background)
			_, rec = open(t, store, 3)
			if got := joinRecords(rec); got != want {
				t.Fatalf("recovered %d bytes, want %d", len(got), len(want))
			}
		})
	}
}

// TestLimits guards against records above the size limit, unbounded pending
// records, and appends after Close.
func TestLimits(t *testing.T) {
	store := newStore()
	log, _ := open(t, store, 1)
	if err := log.Append(background, PriorityJobAccept, make([]byte, MaxRecordBytes+1)); !errkind.Is(err, errkind.TooLarge) {
		t.Fatalf("oversize record: %v", err)
	}
	if err := log.Append(background, PriorityJobAccept, make([]byte, MaxRecordBytes)); err != nil {
		t.Fatalf("largest record: %v", err)
	}
	store.SetFaults(memory.Faults{Outage: true})
	ctx, cancel := context.WithCancel(background)
	cancel()
	var err error
	for range MaxPendingBytes/MaxRecordBytes + 2 {
		err = log.Append(ctx, PriorityJobAccept, make([]byte, MaxRecordBytes))
	}
	if !errkind.Is(err, errkind.Overloaded) {
		t.Fatalf("append above the pending limit: %v", err)
	}
	if err := log.Close(ctx); err == nil {
		t.Fatal("close did not report the records that were not written")
	}
	if err := log.Append(background, PriorityJobAccept, nil); !errkind.Is(err, errkind.Unavailable) {
		t.Fatalf("append after close: %v", err)
	}
}

// TestApplyOrder guards against records that are applied out of order, and checks
// that concurrent appends share entries.
func TestApplyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		var applied []string
		log, _, err := Open(background, Options{
			Store: store, Epoch: 1,
			Apply:    func(r []byte) { applied = append(applied, string(r)) },
			Snapshot: func() [][]byte { return nil },
		})
		if err != nil {
			t.Fatal(err)
		}
		store.SetFaults(memory.Faults{Delay: 10 * time.Millisecond})
		store.ResetCounts()
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				if err := log.Append(background, PriorityJobAccept, []byte("r")); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if puts := store.Counts().Calls[memory.OpPut]; len(applied) != 100 || puts > 3 {
			t.Fatalf("%d records applied with %d writes", len(applied), puts)
		}
		if err := errors.Join(log.Close(background), log.Close(background)); err != nil {
			t.Fatal(err)
		}
	})
}

// TestReuseWithoutSnapshot shows the loss that the check for a free slot prevents:
// with the check bypassed, the ring overwrites entries that no snapshot covers.
func TestReuseWithoutSnapshot(t *testing.T) {
	store := newStore()
	log, _ := open(t, store, 1)
	j := log.(*journal)
	for i := range RingSlots + 1 {
		j.mu.Lock()
		j.snapshotting, j.state.head.Seq = true, j.state.lastSeq
		j.mu.Unlock()
		mustAppend(t, log, fmt.Sprint(i))
	}
	if _, _, err := Open(background, Options{Store: store, Epoch: 2}); !errkind.Is(err, errkind.Internal) {
		t.Fatalf("journal with overwritten entries was read: %v", err)
	}
}

// foreignReadStore returns a foreign entry to a writer that reads its key back.
type foreignReadStore struct{ platform.Store }

func (foreignReadStore) Get(context.Context, string) (platform.Entry, error) {
	return platform.Entry{Version: 1 << 40}, nil
}

// TestLostAnswerWithoutReadBack shows that without the comparison of the value that
// was read back, a durable record would be reported as failed.
func TestLostAnswerWithoutReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		log, _ := open(t, foreignReadStore{store}, 1)
		store.SetFaults(memory.Faults{LoseNext: 1})
		err := log.Append(background, PriorityJobAccept, []byte("a"))
		_, rec := open(t, store, 2)
		if err == nil || joinRecords(rec) != "a" {
			t.Fatalf("append: %v, recovered %q", err, joinRecords(rec))
		}
	})
}
