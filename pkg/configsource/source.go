// Package configsource follows the operators' configuration in the platform's
// store and knows how old its copy may be.
package configsource

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/storecall"
)

// Timings of the watch.
const (
	// pollWait bounds a watch without changes; each answer proves how fresh the
	// copy is.
	pollWait = time.Second
	// pollMargin is how long an answer may take beyond the wait.
	pollMargin   = 700 * time.Millisecond
	retryPause   = 50 * time.Millisecond
	maxPause     = 400 * time.Millisecond
	contactBound = 2500 * time.Millisecond // age of the newest answer up to which the store counts as reached
	// deafness is how long the store's watches may hide changes while it compacts.
	deafness = time.Second
	// safety covers the way of a request and the clock's error.
	safety = time.Second
)

// Options configures a Source.
type Options struct {
	Store    platform.Transactor
	Key      string
	Decode   func([]byte) (*catalog.Catalog, error)
	Clock    func() time.Duration // counts suspended time
	RevokeIn time.Duration        // how soon a key that was taken away must be refused
	// Ask returns the copy of another VM, which may reach the store when this one
	// does not; nil: there is none to ask.
	Ask func(ctx context.Context) (Copy, error)
	Log logr.Logger
}

// Copy is the configuration as a VM holds it.
type Copy struct {
	Revision int64         `cbor:"1,keyasint"`
	Value    []byte        `cbor:"2,keyasint"`
	Age      time.Duration `cbor:"3,keyasint"` // it was certainly the newest this long ago
}

// Source holds the newest configuration.
type Source struct {
	opts Options

	mu        sync.Mutex
	current   *catalog.Catalog
	entry     platform.Entry // that current was decoded from
	revision  int64
	freshAt   time.Duration // when the copy was certainly the newest
	reachedAt time.Duration // when the last answered call was sent
	reached   bool
	timeout   storecall.AdaptiveTimeout // of readings
}

// New returns a Source; Run has to be called.
func New(opts Options) *Source { return &Source{opts: opts} }

// Current returns the newest configuration, or unavailable while none is known.
func (s *Source) Current() (*catalog.Catalog, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return nil, errkind.New(errkind.Unavailable, "no configuration yet")
	}
	return s.current, nil
}

// Catalog returns the newest configuration, or nil.
func (s *Source) Catalog() *catalog.Catalog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// KeysCertain reports whether the copy is fresh enough that no key in it can
// have been taken away longer ago than the bound.
func (s *Source) KeysCertain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil && s.opts.Clock()-s.freshAt <= s.opts.RevokeIn-deafness-safety
}

// Age returns how long ago the copy was certainly the newest.
func (s *Source) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Clock() - s.freshAt
}

// Reached reports whether there is a configuration and the store has answered
// lately.
func (s *Source) Reached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current != nil && s.opts.Clock()-s.reachedAt <= contactBound
}

// Run follows the configuration until ctx ends.
func (s *Source) Run(ctx context.Context) {
	pause := retryPause
	for ctx.Err() == nil {
		err := s.step(ctx)
		if err == nil {
			pause = retryPause
			continue
		}
		s.noteLost(err)
		s.askOther(ctx)
		wait.Sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

func (s *Source) step(ctx context.Context) error {
	s.mu.Lock()
	after, reached := s.revision, s.reached
	s.mu.Unlock()
	if after == 0 || !reached {
		return s.read(ctx)
	}
	sentAt := s.opts.Clock()
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	changes, err := s.opts.Store.Poll(ctx, s.opts.Key, after, pollWait)
	if errkind.Is(err, errkind.Conflict) {
		s.opts.Log.Info("history of the store is gone; reading the configuration again")
		s.mu.Lock()
		s.revision = 0
		s.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	var entries []platform.Entry
	for _, e := range changes.Events {
		if !e.Deleted {
			entries = append(entries, e.Entry)
		}
	}
	s.apply(entries, changes.Revision, sentAt)
	return nil
}

// read reads the configuration itself: at the start, and after the store was
// lost, when a short call shows sooner than a watch that it is back.
func (s *Source) read(ctx context.Context) error {
	sentAt, sentTime := s.opts.Clock(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.timeout.Next())
	defer cancel()
	list, err := s.opts.Store.List(ctx, s.opts.Key, "", 0)
	s.timeout.RecordCall(sentTime, !errkind.Is(err, errkind.StoreUnavailable))
	if err != nil {
		return err
	}
	s.apply(list.Entries, list.Revision, sentAt)
	return nil
}

// apply takes over entries that were read by a call sent at a time.
func (s *Source) apply(entries []platform.Entry, revision int64, sentAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		if e.Key == s.opts.Key {
			s.take(e)
		}
	}
	s.revision, s.reachedAt = revision, sentAt
	s.freshAt = max(s.freshAt, sentAt)
	if !s.reached {
		s.reached = true
		s.opts.Log.Info("store reached", "revision", revision)
	}
}

// take puts a version in force unless it is older; the lock is held.
func (s *Source) take(e platform.Entry) {
	c, err := s.opts.Decode(e.Value)
	if err != nil {
		s.opts.Log.Error(err, "configuration cannot be read", "revision", e.Version)
		return
	}
	if s.current != nil && c.Version <= s.current.Version {
		return
	}
	s.current, s.entry = c, e
	s.opts.Log.Info("configuration in force", "version", c.Version, "revision", e.Version, "queues", len(c.Queues), "workspaces", len(c.Workspaces))
}

func (s *Source) noteLost(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reached {
		s.reached = false
		s.opts.Log.Info("store lost", "reason", err.Error())
	}
}

// Copy returns the configuration for another VM, or unavailable while none is
// known.
func (s *Source) Copy() (Copy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return Copy{}, errkind.New(errkind.Unavailable, "no configuration yet")
	}
	return Copy{Revision: s.entry.Version, Value: s.entry.Value, Age: s.opts.Clock() - s.freshAt}, nil
}

// askTime bounds the question to another VM, which is a few milliseconds away.
const askTime = 300 * time.Millisecond

// askOther takes over the copy of another VM while the store does not answer
// this one. Its age counts from before the question was sent.
func (s *Source) askOther(ctx context.Context) {
	if s.opts.Ask == nil {
		return
	}
	sentAt := s.opts.Clock()
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	other, err := s.opts.Ask(ctx)
	if err != nil {
		s.opts.Log.V(1).Info("no other VM tells the configuration", "reason", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || other.Revision > s.entry.Version {
		s.take(platform.Entry{Key: s.opts.Key, Value: other.Value, Version: other.Revision})
	}
	// An older copy, or one that cannot be read, proves nothing.
	if s.current != nil && other.Revision == s.entry.Version {
		s.freshAt = max(s.freshAt, sentAt-other.Age)
	}
}
