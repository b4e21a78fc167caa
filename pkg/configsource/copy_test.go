package configsource

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// linkedVM is a VM that has the configuration, and sends copies over a link one after the other.
type linkedVM struct {
	source         *Source
	bytesPerSecond int

	mu     sync.Mutex
	sent   int           // bytes of values
	freeAt time.Duration // when the link has carried them
}

// ask implements Options.Ask. What was sent takes its time of the link, also if nobody waits for it.
func (v *linkedVM) ask(ctx context.Context, r CopyRequest) (Copy, error) {
	c, err := v.source.CopyFor(ctx, r)
	if err != nil {
		return Copy{}, err
	}
	v.mu.Lock()
	now := v.source.opts.Clock()
	v.sent += len(c.Value)
	v.freeAt = max(now, v.freeAt) + time.Duration(len(c.Value))*time.Second/time.Duration(v.bytesPerSecond)
	arrivesAt := v.freeAt
	v.mu.Unlock()
	return c, delayed(ctx, arrivesAt-now, nil)
}

func (v *linkedVM) sentSoFar() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sent
}

// startSource runs a source of the version that is the length of the stored value.
func startSource(t *testing.T, store platform.Transactor, ask func(context.Context, CopyRequest) (Copy, error)) *Source {
	started := time.Now()
	s := New(Options{
		Store: store, Key: key, RevokeIn: 5 * time.Second, Ask: ask, Log: logr.Discard(),
		Decode: func(value []byte) (*catalog.Catalog, error) {
			return &catalog.Catalog{Version: int64(len(value))}, nil
		},
		Clock: func() time.Duration { return time.Since(started) + time.Hour },
	})
	go s.Run(t.Context())
	return s
}

// Guards against asking another VM for a large copy with each attempt while the store is lost: none
// arrived in time over a slow link, and all of them together filled it.
func TestLargeCopiesFromAnotherVM(t *testing.T) {
	const size, linkBytesPerSecond = 590_000, 2 * copyBytesPerSecond
	for name, vms := range map[string]int{"one VM asks": 1, "ten VMs ask": 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, lost := memory.NewStore(memory.Options{ReadsPerSecond: -1}), memory.NewStore(memory.Options{ReadsPerSecond: -1})
				put(t, store, strings.Repeat("v", size))
				lost.UpdateFaults(func(f *memory.Faults) { f.Outage = true })
				other := &linkedVM{source: startSource(t, store, nil), bytesPerSecond: linkBytesPerSecond}
				time.Sleep(time.Second)
				var sources []*Source
				for range vms {
					sources = append(sources, startSource(t, lost, other.ask))
				}
				time.Sleep(time.Duration(vms) * 2 * transferTime(size))
				for i, s := range sources {
					if v := version(s); v != size {
						t.Errorf("VM %d has version %d, want %d", i, v, size)
					}
				}
				if sent := other.sentSoFar(); sent > vms*size {
					t.Errorf("%d bytes sent, want no more than %d", sent, vms*size)
				}
			})
		})
	}
}

// Guards against taking a large configuration from another VM, or reading it, while the store sends
// it to the watch: both would share a slow link.
func TestLargeCopyOfTheStoreIsAwaited(t *testing.T) {
	const size, linkBytesPerSecond = 590_000, 2 * copyBytesPerSecond
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: memory.NewStore(memory.Options{ReadsPerSecond: -1})}
		put(t, store.Store, strings.Repeat("v", size))
		other := &linkedVM{source: startSource(t, store.Store, nil), bytesPerSecond: linkBytesPerSecond}
		time.Sleep(time.Second)
		s := startSource(t, store, other.ask)
		time.Sleep(5 * time.Second)
		store.setLink(linkBytesPerSecond)
		if _, err := store.Put(t.Context(), key, []byte(strings.Repeat("v", size+1)), platform.AnyVersion, 0); err != nil {
			t.Fatal(err)
		}
		var callers sync.WaitGroup
		for range 30 { // calls that need a recent configuration
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, _ = s.Acquire(ctx) // it may be refused
			})
			time.Sleep(100 * time.Millisecond)
		}
		callers.Wait()
		if v := version(s); v != size+1 {
			t.Errorf("version %d, want %d", v, size+1)
		}
		if sent := other.sentSoFar(); sent > 0 {
			t.Errorf("%d bytes from another VM", sent)
		}
		if sent := store.sentSoFar(); sent > size+1 {
			t.Errorf("%d bytes from the store, want %d", sent, size+1)
		}
	})
}
