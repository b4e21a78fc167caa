// Package controlwatch keeps the one watch that a VM has on the platform's
// store, on the prefix of configuration and owners, and passes the changes to
// its subscribers.
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

// Prefix is the store prefix of everything that each VM watches.
const Prefix = "control/"

const (
	// roundTime bounds one watch call: a store that hangs is otherwise not told
	// from one without changes.
	roundTime = 30 * time.Second
	listTime  = 5 * time.Second

	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// startJitter spreads the first calls of VMs that start at the same time.
	startJitter = 200 * time.Millisecond
)

// Subscriber gets the state and the changes of the keys with one prefix. The
// methods are called one at a time, in order, and must not block.
type Subscriber interface {
	// Reset gives all entries, at first and after a gap in the history.
	Reset(entries []platform.Entry)
	// Apply gives changes in order. A change that is older than what Reset gave
	// may come again; Entry.Version and Revision tell.
	Apply(events []platform.Event)
	// Health says whether the watch follows the store; false while the store is
	// out of reach.
	Health(following bool)
}

// Options configures a Watch.
type Options struct {
	Store platform.Store
	Log   logr.Logger
}

// Watch follows the prefix. Subscribe before Run.
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

// Subscribe adds a subscriber to the keys with the prefix, which must begin
// with Prefix.
func (w *Watch) Subscribe(prefix string, s Subscriber) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subs = append(w.subs, subscription{prefix, s})
}

// Run follows the store until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minBackoff, maxBackoff
	wait.Sleep(ctx, rand.N(startJitter))
	revision, listed := int64(0), false
	for ctx.Err() == nil {
		var err error
		if !listed {
			revision, err = w.list(ctx)
			listed = err == nil
		} else {
			revision, err = w.follow(ctx, revision)
		}
		switch {
		case err == nil:
			w.health(true)
			retry.Reset()
		case listed && errkind.Is(err, errkind.Conflict):
			listed = false // the store no longer has the history
		case ctx.Err() == nil:
			// A list answers at once when the store is back; a watch would answer
			// only with the next change.
			listed = false
			w.health(false)
			w.opts.Log.V(1).Info("control watch interrupted", "error", err.Error())
			wait.Sleep(ctx, retry.NextBackOff())
		}
	}
	return nil
}

// list reads everything and returns the revision to watch from.
func (w *Watch) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	var entries []platform.Entry
	first, after := int64(0), ""
	for {
		r, err := w.opts.Store.List(ctx, Prefix, after, 0)
		if err != nil {
			return 0, err
		}
		if after == "" {
			// Later pages may be newer. Changes since the first page come again
			// from the watch.
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

// follow waits for the next changes and returns the revision after them.
func (w *Watch) follow(ctx context.Context, revision int64) (int64, error) {
	round, cancel := context.WithTimeout(ctx, roundTime)
	defer cancel()
	events, err := w.opts.Store.Watch(round, Prefix, revision)
	if err != nil {
		if round.Err() != nil && !errkind.Is(err, errkind.Conflict) {
			return revision, nil // nothing changed in this round
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

func (w *Watch) health(following bool) {
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
