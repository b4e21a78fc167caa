// Package controlwatch runs the single watch that a VM has on the platform's store.
// The watch covers the prefix of configuration and owners; changes are passed to
// subscribers in the process. The package never writes to the store.
package controlwatch

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

// Prefix is the store prefix of all keys that every VM watches.
const Prefix = "control/"

const (
	// watchTimeout bounds one watch call, because a store that hangs cannot be
	// distinguished from one without changes.
	watchTimeout = 30 * time.Second
	listTimeout  = 5 * time.Second

	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// startJitter is the maximum random delay of the first call, which spreads the
	// calls of VMs that start at the same time.
	startJitter = 200 * time.Millisecond
)

// Subscriber receives the state and the changes of the keys with one prefix. The
// methods are called one at a time, in order, and must not block.
type Subscriber interface {
	// Reset passes all entries, at the start and after a gap in the history or an
	// interruption of the watch.
	Reset(entries []platform.Entry)
	// Apply passes changes in order. After a Reset it may pass changes that the Reset
	// already included; Entry.Version and Revision show this.
	Apply(events []platform.Event)
	// Health reports whether the watch receives changes; following is false while the
	// store is unreachable.
	Health(following bool)
}

// Options configures a Watch.
type Options struct {
	Store platform.Store
	Log   logr.Logger
}

// Watch watches the keys with Prefix. Call Subscribe before Run.
type Watch struct {
	opts Options

	mu   sync.Mutex
	subs []subscription
}

type subscription struct {
	prefix string
	sub    Subscriber
}

// New returns a Watch.
func New(opts Options) *Watch {
	if opts.Log.GetSink() == nil {
		opts.Log = logr.Discard()
	}
	return &Watch{opts: opts}
}

// Subscribe adds a subscriber for the keys with the prefix, which must begin with
// Prefix.
func (w *Watch) Subscribe(prefix string, s Subscriber) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subs = append(w.subs, subscription{prefix, s})
}

// Run watches the store until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minBackoff, maxBackoff
	wait.Sleep(ctx, rand.N(startJitter))
	revision, synced := int64(0), false
	for ctx.Err() == nil {
		var err error
		if !synced {
			revision, err = w.list(ctx)
			synced = err == nil
		} else {
			revision, err = w.watchOnce(ctx, revision)
		}
		switch {
		case err == nil:
			w.notifyHealth(true)
			retry.Reset()
		case synced && errkind.Is(err, errkind.Conflict):
			synced = false // the store no longer has the changes since revision: list again
		case ctx.Err() == nil:
			// List next: once the store is reachable again, a list returns immediately,
			// whereas a watch returns only with the next change.
			synced = false
			w.notifyHealth(false)
			w.opts.Log.V(1).Info("control watch interrupted", "error", err.Error())
			wait.Sleep(ctx, retry.NextBackOff())
		}
	}
	return nil
}

// list reads all entries, resets the subscribers and returns the revision to watch
// from.
func (w *Watch) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var entries []platform.Entry
	first, after := int64(0), ""
	for {
		r, err := w.opts.Store.List(ctx, Prefix, after, 0)
		if err != nil {
			return 0, err
		}
		if after == "" {
			// Later pages may be newer. The watch returns the changes since the first
			// page again.
			first = r.Revision
		}
		entries = append(entries, r.Entries...)
		if !r.More || len(r.Entries) == 0 {
			break
		}
		after = r.Entries[len(r.Entries)-1].Key
	}
	for _, s := range w.subscriptions() {
		s.sub.Reset(selectEntries(entries, s.prefix))
	}
	return first, nil
}

// watchOnce waits for the next changes, passes them to the subscribers and returns
// the revision after them.
func (w *Watch) watchOnce(ctx context.Context, revision int64) (int64, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	events, err := w.opts.Store.Watch(watchCtx, Prefix, revision)
	if err != nil {
		if watchCtx.Err() != nil && !errkind.Is(err, errkind.Conflict) {
			return revision, nil // timeout without changes
		}
		return revision, err
	}
	for _, s := range w.subscriptions() {
		if sel := selectEvents(events, s.prefix); len(sel) > 0 {
			s.sub.Apply(sel)
		}
	}
	for _, e := range events {
		revision = max(revision, e.Revision)
	}
	return revision, nil
}

func (w *Watch) subscriptions() []subscription {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]subscription(nil), w.subs...)
}

func (w *Watch) notifyHealth(following bool) {
	for _, s := range w.subscriptions() {
		s.sub.Health(following)
	}
}

func selectEntries(entries []platform.Entry, prefix string) []platform.Entry {
	var out []platform.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out
}

func selectEvents(events []platform.Event, prefix string) []platform.Event {
	var out []platform.Event
	for _, e := range events {
		if strings.HasPrefix(e.Entry.Key, prefix) {
			out = append(out, e)
		}
	}
	return out
}
