package controlwatch

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// mirror is a subscriber that keeps a copy of the keys.
type mirror struct {
	mu                sync.Mutex
	keys              map[string]string
	resets            int
	following         bool
	ignoreLaterResets bool // ignores all calls of Reset but the first
}

func (m *mirror) Reset(entries []platform.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.resets++; m.ignoreLaterResets && m.resets > 1 {
		return
	}
	m.keys = map[string]string{}
	for _, e := range entries {
		m.keys[e.Key] = string(e.Value)
	}
}

func (m *mirror) Apply(events []platform.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			delete(m.keys, e.Entry.Key)
		} else {
			m.keys[e.Entry.Key] = string(e.Entry.Value)
		}
	}
}

func (m *mirror) Health(following bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.following = following
}

func (m *mirror) state() (following bool, keys map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.following, maps.Clone(m.keys)
}

// TestFollow guards against a subscriber that misses changes because of an outage,
// a gap in the history or changes of other keys. The last case shows that the copy
// stays wrong if the entries are not listed again after a gap.
func TestFollow(t *testing.T) {
	for _, tc := range []struct {
		name              string
		outage            bool
		changes           int
		ignoreLaterResets bool
		wantEqual         bool
	}{
		{"changes", false, 20, false, true},
		{"outage", true, 0, false, true},
		{"outage with changes beyond the history", true, 300, false, true},
		{"gap without a new list", true, 300, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.NewStore(memory.Options{History: 100, WritesPerSecond: -1})
				set := func(key, value string) {
					if _, err := store.Put(t.Context(), key, []byte(value), platform.AnyVersion, 0); err != nil {
						t.Fatal(err)
					}
				}
				set("control/x/a", "1")
				w := New(Options{Store: store})
				all, subset := &mirror{ignoreLaterResets: tc.ignoreLaterResets}, &mirror{}
				w.Subscribe(Prefix, all)
				w.Subscribe("control/x/", subset)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); _ = w.Run(ctx) }()
				time.Sleep(time.Second)
				if tc.outage {
					store.SetFaults(memory.Faults{Outage: true})
					time.Sleep(10 * time.Second)
					if following, _ := all.state(); following {
						t.Error("the outage was not reported by Health")
					}
					store.SetFaults(memory.Faults{})
				}
				want := map[string]string{"control/x/a": "1"}
				for i := range tc.changes {
					k, v := fmt.Sprint("control/x/", i%7), fmt.Sprint(i)
					set(k, v)
					want[k] = v
				}
				time.Sleep(10 * time.Second)
				set("jobs/1/head", "x")
				time.Sleep(time.Second)
				following, keys := all.state()
				_, subsetKeys := subset.state()
				if !following || maps.Equal(keys, want) != tc.wantEqual || !maps.Equal(subsetKeys, want) {
					t.Errorf("following %v: %v, want %v", following, keys, want)
				}
				cancel()
				<-done
			})
		})
	}
}
