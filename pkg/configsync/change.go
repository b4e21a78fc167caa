package configsync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

const (
	// callTimeout bounds one store call of a change.
	callTimeout     = 2 * time.Second
	resolveInterval = 100 * time.Millisecond
	resolveMax      = 2 * time.Second
)

// Change implements Source.
func (s *Sync) Change(ctx context.Context, base int64, next *policy.Document) (*policy.Document, error) {
	expect, err := s.versionOf(ctx, base)
	if err != nil {
		return nil, err
	}
	doc := *next
	doc.Revision = base + 1
	doc.Token = uuid.NewString()
	return s.write(ctx, &doc, expect)
}

// versionOf returns the store's version of the document with the revision, from
// memory if the store has given it before.
func (s *Sync) versionOf(ctx context.Context, revision int64) (int64, error) {
	s.mu.Lock()
	stored := s.stored
	s.mu.Unlock()
	if stored.version > 0 && stored.revision == revision {
		return stored.version, nil
	}
	e, doc, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	if doc.Revision != revision {
		return 0, errkind.New(errkind.Conflict, "the configuration is at revision %d, not %d", doc.Revision, revision)
	}
	return e.Version, nil
}

// read returns the store's entry and document; both are zero when there is none.
func (s *Sync) read(ctx context.Context) (platform.Entry, *policy.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.opts.Store.Get(ctx, Key)
	if errkind.Is(err, errkind.NotFound) {
		return platform.Entry{}, new(policy.Document), nil
	}
	if err != nil {
		return platform.Entry{}, nil, errkind.Wrap(err, errkind.StoreUnavailable, "configuration cannot be read")
	}
	doc, err := s.applyEntry(e)
	return e, doc, err
}

// write puts the document and resolves a lost answer by its writer token. The
// same bytes are sent again with the same expected version, so that a delayed
// first write and the repetition cannot both take effect.
func (s *Sync) write(ctx context.Context, doc *policy.Document, expect int64) (*policy.Document, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "configuration document cannot be encoded")
	}
	if len(value) > platform.MaxValueBytes {
		return nil, errkind.New(errkind.TooLarge, "configuration document of %d bytes exceeds %d bytes", len(value), platform.MaxValueBytes)
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = resolveInterval, resolveMax
	sent := false // whether a write without an answer may still take effect
	for {
		version, err := s.put(ctx, value, expect)
		switch {
		case err == nil:
			return s.applyEntry(platform.Entry{Key: Key, Value: value, Version: version})
		case errkind.Is(err, errkind.Conflict):
			return s.resolveConflict(ctx, doc, sent)
		case errkind.Is(err, errkind.TooLarge):
			return nil, err
		case !errkind.Is(err, errkind.QuotaExceeded):
			sent = true
		}
		if !wait.Sleep(ctx, retry.NextBackOff()) {
			return nil, unresolved(err, sent)
		}
	}
}

func (s *Sync) put(ctx context.Context, value []byte, expect int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.opts.Store.Put(ctx, Key, value, expect, 0)
}

// resolveConflict tells the own write, whose answer was lost, from another's.
// When a later revision has replaced the next one, the store cannot tell whose
// that was.
func (s *Sync) resolveConflict(ctx context.Context, doc *policy.Document, sent bool) (*policy.Document, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = resolveInterval, resolveMax
	for {
		_, found, err := s.read(ctx)
		if err == nil {
			if found.Token == doc.Token {
				return found, nil
			}
			if sent && found.Revision > doc.Revision {
				return nil, errkind.New(errkind.OutcomeUnknown, "the answer to the change was lost and revision %d has followed", found.Revision)
			}
			return nil, errkind.New(errkind.Conflict, "the configuration is at revision %d", found.Revision)
		}
		if !sent {
			return nil, errkind.Wrap(err, errkind.Conflict, "another change came first")
		}
		if !wait.Sleep(ctx, retry.NextBackOff()) {
			return nil, unresolved(err, sent)
		}
	}
}

func unresolved(err error, sent bool) error {
	if sent {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the store did not say whether the change was written")
	}
	return errkind.Wrap(err, errkind.StoreUnavailable, "configuration was not changed")
}

// bootstrap writes the first document if the store has none. It gives up on
// any error: the next resynchronization of the watch tries again.
func (s *Sync) bootstrap(ctx context.Context) {
	if s.opts.Bootstrap == nil || s.Current() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	if _, err := s.Change(ctx, 0, s.opts.Bootstrap); err != nil {
		s.opts.Log.Info("bootstrap configuration was not written", "error", err.Error())
	}
}
