package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/controlwatch"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/peer"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// fetchTimeout bounds one request for the document to a peer.
const fetchTimeout = 2 * time.Second

// Options configures a Sync.
type Options struct {
	Store    platform.Store
	Watch    *controlwatch.Watch
	Caller   peer.Caller
	Registry peer.Registry
	// Bootstrap is written as revision 1 if the store has no document; nil writes
	// nothing.
	Bootstrap *policy.Document
	Log       logr.Logger
	Recorder  timeline.Recorder
}

// Sync implements Source.
type Sync struct {
	opts Options

	mu      sync.Mutex
	current *policy.Document
	// stored is the store's version of the revision, when the store gave it.
	stored storedVersion
	subs   []func(*policy.Document)
	// notifyMu keeps the calls of subscribers in order of revision.
	notifyMu sync.Mutex
	notified int64
	wake     chan struct{}
	fetch    chan string
}

type storedVersion struct{ revision, version int64 }

var _ Source = (*Sync)(nil)

// New returns a Sync, subscribes it to the control watch and registers the
// handler for peers.
func New(opts Options) *Sync {
	if opts.Log.GetSink() == nil {
		opts.Log = logr.Discard()
	}
	if opts.Recorder == nil {
		opts.Recorder = timeline.Discard{}
	}
	s := &Sync{opts: opts, wake: make(chan struct{}, 1), fetch: make(chan string, 1)}
	if opts.Watch != nil {
		opts.Watch.Subscribe(Key, subscriber{s})
	}
	if opts.Registry != nil {
		opts.Registry.Handle(Method, s.handleGet)
	}
	return s
}

// Run asks peers for newer documents and writes the bootstrap document, until
// ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-s.fetch:
			s.fetchFrom(ctx, address)
		case <-s.wake:
			s.bootstrap(ctx)
		}
	}
}

// Current implements Source.
func (s *Sync) Current() *policy.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Subscribe implements Source. fn must not call Subscribe.
func (s *Sync) Subscribe(fn func(*policy.Document)) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	s.subs = append(s.subs, fn)
	doc := s.current
	s.mu.Unlock()
	if doc != nil && doc.Revision <= s.notified {
		fn(doc)
	}
}

// HigherRevision asks the peer at the address for its document. It does not
// block; use it as a callback of the membership.
func (s *Sync) HigherRevision(address string, revision int64) {
	if doc := s.Current(); doc != nil && doc.Revision >= revision {
		return
	}
	select {
	case s.fetch <- address:
	default: // another request is waiting; the next heartbeat asks again
	}
}

// apply takes a document if it is newer than the one in force. Revisions only
// grow, so a late answer or an old peer cannot revert the configuration.
func (s *Sync) apply(doc *policy.Document, source string) {
	s.mu.Lock()
	if s.current != nil && doc.Revision <= s.current.Revision {
		s.mu.Unlock()
		return
	}
	s.current = doc
	s.mu.Unlock()
	s.opts.Log.V(1).Info("configuration in force", "revision", doc.Revision, "source", source)
	s.opts.Recorder.Record(timeline.Event{
		Type: timeline.ConfigInForce, Reason: fmt.Sprintf("revision %d from %s", doc.Revision, source), By: doc.ChangedBy,
	})
	s.notify()
}

// notify passes the document in force on, unless a newer one was passed on.
func (s *Sync) notify() {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	doc, subs := s.current, slices.Clone(s.subs)
	s.mu.Unlock()
	if doc.Revision <= s.notified {
		return
	}
	s.notified = doc.Revision
	for _, fn := range subs {
		fn(doc)
	}
}

// applyEntry takes the store's entry.
func (s *Sync) applyEntry(e platform.Entry) (*policy.Document, error) {
	doc := new(policy.Document)
	if err := json.Unmarshal(e.Value, doc); err != nil {
		s.opts.Log.Error(err, "configuration document in the store cannot be decoded", "version", e.Version)
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "configuration document in the store cannot be decoded")
	}
	s.mu.Lock()
	if e.Version > s.stored.version {
		s.stored = storedVersion{doc.Revision, e.Version}
	}
	s.mu.Unlock()
	s.apply(doc, "store")
	return doc, nil
}

// getRequest asks for a document newer than Have.
type getRequest struct {
	Have int64 `cbor:"1,keyasint"`
}

// getAnswer holds the document, or nothing if there is no newer one.
type getAnswer struct {
	Document *policy.Document `cbor:"1,keyasint,omitempty"`
}

func (s *Sync) handleGet(_ context.Context, decode func(any) error) (any, error) {
	var req getRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	if doc := s.Current(); doc != nil && doc.Revision > req.Have {
		return getAnswer{doc}, nil
	}
	return getAnswer{}, nil
}

func (s *Sync) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var req getRequest
	if doc := s.Current(); doc != nil {
		req.Have = doc.Revision
	}
	var answer getAnswer
	if err := s.opts.Caller.Call(ctx, address, Method, req, &answer); err != nil {
		s.opts.Log.V(1).Info("peer did not give its configuration", "peer", address, "error", err.Error())
		return
	}
	if answer.Document != nil {
		s.apply(answer.Document, "peer "+address)
	}
}

// subscriber receives the changes of the control watch.
type subscriber struct{ s *Sync }

// Reset implements controlwatch.Subscriber.
func (r subscriber) Reset(entries []platform.Entry) {
	for _, e := range entries {
		if e.Key == Key {
			_, _ = r.s.applyEntry(e)
			return
		}
	}
	r.wake()
}

func (r subscriber) wake() {
	select {
	case r.s.wake <- struct{}{}:
	default:
	}
}

// Apply implements controlwatch.Subscriber. A deletion is ignored: the
// configuration never reverts.
func (r subscriber) Apply(events []platform.Event) {
	for _, e := range events {
		if e.Entry.Key == Key && !e.Deleted {
			_, _ = r.s.applyEntry(e.Entry)
		}
	}
}

// Health implements controlwatch.Subscriber. A bootstrap write that failed is
// tried again.
func (r subscriber) Health(following bool) {
	if following && r.s.Current() == nil {
		r.wake()
	}
}
