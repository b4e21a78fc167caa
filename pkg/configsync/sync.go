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

// fetchTimeout bounds one request to a peer for its document.
const fetchTimeout = 2 * time.Second

// Options configures a Sync.
type Options struct {
	Store    platform.Store
	Watch    *controlwatch.Watch
	Caller   peer.Caller
	Registry peer.Registry
	// Bootstrap is written as revision 1 if the store has no document. If it is nil,
	// nothing is written.
	Bootstrap *policy.Document
	Log       logr.Logger
	Recorder  timeline.Recorder
}

// Sync implements Source for one VM.
type Sync struct {
	opts Options

	mu      sync.Mutex
	current *policy.Document
	// stored is the highest store version known to this VM, with its revision.
	stored      storedVersion
	subscribers []func(*policy.Document)
	// notifyMu serializes the calls of subscribers, in order of revision.
	notifyMu         sync.Mutex
	notifiedRevision int64
	bootstrapTrigger chan struct{}
	fetchAddresses   chan string
}

// storedVersion is a revision of the document and its version in the store.
type storedVersion struct{ revision, version int64 }

var _ Source = (*Sync)(nil)

// New returns a Sync, subscribes it to the control watch and registers the handler
// of Method.
func New(opts Options) *Sync {
	if opts.Log.GetSink() == nil {
		opts.Log = logr.Discard()
	}
	if opts.Recorder == nil {
		opts.Recorder = timeline.Discard{}
	}
	s := &Sync{opts: opts, bootstrapTrigger: make(chan struct{}, 1), fetchAddresses: make(chan string, 1)}
	if opts.Watch != nil {
		opts.Watch.Subscribe(Key, watchSubscriber{s})
	}
	if opts.Registry != nil {
		opts.Registry.Handle(Method, s.handleGet)
	}
	return s
}

// Run fetches newer documents from peers and writes the bootstrap document until ctx
// ends.
func (s *Sync) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-s.fetchAddresses:
			s.fetchFrom(ctx, address)
		case <-s.bootstrapTrigger:
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
	s.subscribers = append(s.subscribers, fn)
	doc := s.current
	s.mu.Unlock()
	if doc != nil && doc.Revision <= s.notifiedRevision {
		fn(doc)
	}
}

// HigherRevision requests the document of the peer at the address if revision is
// higher than that of the document in force. It does not block and serves as a
// callback of the membership.
func (s *Sync) HigherRevision(address string, revision int64) {
	if doc := s.Current(); doc != nil && doc.Revision >= revision {
		return
	}
	select {
	case s.fetchAddresses <- address:
	default: // another request is pending; the next heartbeat retries
	}
}

// apply puts a document in force if it is newer than the current one. Revisions only
// grow, so a late reply or an outdated peer cannot revert the configuration.
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

// notify calls the subscribers with the document in force unless they were already
// called with it.
func (s *Sync) notify() {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	doc, subscribers := s.current, slices.Clone(s.subscribers)
	s.mu.Unlock()
	if doc.Revision <= s.notifiedRevision {
		return
	}
	s.notifiedRevision = doc.Revision
	for _, fn := range subscribers {
		fn(doc)
	}
}

// applyEntry decodes the store entry, records its version and applies the document.
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

// getRequest is a request for a document with a revision higher than Have.
type getRequest struct {
	Have int64 `cbor:"1,keyasint"`
}

// getReply contains the document, or nil if it isn't newer.
type getReply struct {
	Document *policy.Document `cbor:"1,keyasint,omitempty"`
}

func (s *Sync) handleGet(_ context.Context, decode func(any) error) (any, error) {
	var req getRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	if doc := s.Current(); doc != nil && doc.Revision > req.Have {
		return getReply{doc}, nil
	}
	return getReply{}, nil
}

func (s *Sync) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var req getRequest
	if doc := s.Current(); doc != nil {
		req.Have = doc.Revision
	}
	var reply getReply
	if err := s.opts.Caller.Call(ctx, address, Method, req, &reply); err != nil {
		s.opts.Log.V(1).Info("fetching the configuration document from a peer failed", "peer", address, "error", err.Error())
		return
	}
	if reply.Document != nil {
		s.apply(reply.Document, "peer "+address)
	}
}

// watchSubscriber handles the events of the control watch.
type watchSubscriber struct{ s *Sync }

// Reset implements controlwatch.Subscriber. If the store has no document, it triggers
// the bootstrap write.
func (r watchSubscriber) Reset(entries []platform.Entry) {
	for _, e := range entries {
		if e.Key == Key {
			_, _ = r.s.applyEntry(e)
			return
		}
	}
	r.triggerBootstrap()
}

func (r watchSubscriber) triggerBootstrap() {
	select {
	case r.s.bootstrapTrigger <- struct{}{}:
	default:
	}
}

// Apply implements controlwatch.Subscriber. A deletion is ignored: the
// configuration never reverts.
func (r watchSubscriber) Apply(events []platform.Event) {
	for _, e := range events {
		if e.Entry.Key == Key && !e.Deleted {
			_, _ = r.s.applyEntry(e.Entry)
		}
	}
}

// Health implements controlwatch.Subscriber. While the watch follows the store and no
// document is in force, it triggers the bootstrap write again.
func (r watchSubscriber) Health(following bool) {
	if following && r.s.Current() == nil {
		r.triggerBootstrap()
	}
}
