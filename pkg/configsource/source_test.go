package configsource

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

const key = "config"

func decode(value []byte) (*catalog.Catalog, error) {
	version, err := strconv.ParseInt(string(value), 10, 64)
	return &catalog.Catalog{Version: version}, err
}

func runSource(t *testing.T, f func(t *testing.T, store *memory.Store, s *Source)) {
	runSourceWithPeer(t, nil, f)
}

func runSourceWithPeer(t *testing.T, ask func(context.Context, CopyRequest) (Copy, error), f func(t *testing.T, store *memory.Store, s *Source)) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		store := memory.NewStore(memory.Options{})
		s := New(Options{
			Store: store, Key: key, Decode: decode, Clock: func() time.Duration { return time.Since(started) + time.Hour },
			RevokeIn: 5 * time.Second, Ask: ask, Log: logr.Discard(),
		})
		go s.Run(t.Context())
		f(t, store, s)
	})
}

func put(t *testing.T, store *memory.Store, value string) {
	t.Helper()
	if _, err := store.Put(t.Context(), key, []byte(value), platform.AnyVersion, 0); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
}

func version(s *Source) int64 {
	if c := s.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

// Guards against installing an older or undecodable version, and against missed
// changes.
func TestVersionsOnlyRise(t *testing.T) {
	runSource(t, func(t *testing.T, store *memory.Store, s *Source) {
		for _, step := range []struct {
			value string
			want  int64
		}{{"3", 3}, {"7", 7}, {"5", 7}, {"rubbish", 7}, {"8", 8}} {
			put(t, store, step.value)
			if got := version(s); got != step.want {
				t.Errorf("after writing %q: current version %d, want %d", step.value, got, step.want)
			}
		}
	})
}

// Guards against accepting keys that may have been revoked while the store is
// unreachable, and against refusing keys longer than needed.
func TestKeysFailClosed(t *testing.T) {
	runSource(t, func(t *testing.T, store *memory.Store, s *Source) {
		if s.KeysCertain() || s.Reached() {
			t.Error("keys certain or store reached without a configuration")
		}
		put(t, store, "1")
		time.Sleep(10 * time.Second)
		if !s.KeysCertain() || !s.Reached() {
			t.Error("keys not certain or store not reached without a fault")
		}
		store.UpdateFaults(func(f *memory.Faults) { f.Outage = true })
		time.Sleep(4500 * time.Millisecond)
		if s.KeysCertain() || s.Reached() {
			t.Error("keys certain or store reached 4.5 s into an outage; a revoked key may be refused too late")
		}
		store.UpdateFaults(func(f *memory.Faults) { f.Outage = false })
		time.Sleep(time.Second)
		if !s.KeysCertain() || !s.Reached() {
			t.Error("keys not certain or store not reached 1 s after the outage")
		}
	})
}

// Guards against refusing callers on a VM that has lost contact with the store
// while another VM has a recent copy of the configuration, and against counting an
// old or undecodable copy as recent.
func TestOtherVMVouchesForTheConfiguration(t *testing.T) {
	const outage = 20 * time.Second
	tests := map[string]struct {
		other   func() (Copy, error)
		certain bool
		version int64
	}{
		"fresh copy":         {func() (Copy, error) { return Copy{Revision: 1, Value: []byte("1"), Age: time.Second}, nil }, true, 1},
		"newer version":      {func() (Copy, error) { return Copy{Revision: 9, Value: []byte("2"), Age: time.Second}, nil }, true, 2},
		"old copy":           {func() (Copy, error) { return Copy{Revision: 1, Value: []byte("1"), Age: 4 * time.Second}, nil }, false, 1},
		"older version":      {func() (Copy, error) { return Copy{Revision: 0, Value: []byte("0")}, nil }, false, 1},
		"unreadable version": {func() (Copy, error) { return Copy{Revision: 9, Value: []byte("rubbish")}, nil }, false, 1},
		"no answer":          {func() (Copy, error) { return Copy{}, errkind.New(errkind.Timeout, "no answer") }, false, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ask := func(context.Context, CopyRequest) (Copy, error) { return tc.other() }
			runSourceWithPeer(t, ask, func(t *testing.T, store *memory.Store, s *Source) {
				put(t, store, "1")
				if c, err := s.Copy(); err != nil || c.Revision != 1 || string(c.Value) != "1" {
					t.Fatalf("Copy() = %+v, %v; want revision 1 and value 1", c, err)
				}
				store.UpdateFaults(func(f *memory.Faults) { f.Outage = true })
				time.Sleep(outage)
				if got := s.KeysCertain(); got != tc.certain {
					t.Errorf("keys certain: %v, want %v (copy %v old)", got, tc.certain, s.Age())
				}
				if s.Reached() {
					t.Error("store counts as reached during an outage")
				}
				if got := version(s); got != tc.version {
					t.Errorf("current version %d, want %d", got, tc.version)
				}
			})
		})
	}
}
