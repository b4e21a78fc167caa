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
	// storeCallTimeout bounds one store call of a change.
	storeCallTimeout = 2 * time.Second
	minRetryBackoff  = 100 * time.Millisecond
	maxRetryBackoff  = 2 * time.Second
)

// Change implements Source.
func (s *Sync) Change(ctx context.Context, base int64, next *policy.Document) (*policy.Document, error) {
	expect, err := s.storeVersionOf(ctx, base)
	if err != nil {
		return nil, err
	}
	doc := *next
	doc.Revision = base + 1
	doc.Token = uuid.NewString()
	return s.write(ctx, &doc, expect)
}

// storeVersionOf returns the store version of the document with the given revision.
// It reads the store unless that version is cached.
func (s *Sync) storeVersionOf(ctx context.Context, revision int64) (int64, error) {
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

// read returns the store entry and its decoded document, or zero values if the store
// has none. It also applies the document.
func (s *Sync) read(ctx context.Context) (platform.Entry, *policy.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
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

// write stores the document. After a lost reply it retries with the same bytes and
// the same expected version, so that a delayed first write and its retry cannot both
// take effect; on a conflict the document's token shows whether the write succeeded.
func (s *Sync) write(ctx context.Context, doc *policy.Document, expect int64) (*policy.Document, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidConfig, "configuration document cannot be encoded")
	}
	if len(value) > platform.MaxValueBytes {
		return nil, errkind.New(errkind.TooLarge, "configuration document of %d bytes exceeds %d bytes", len(value), platform.MaxValueBytes)
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryBackoff, maxRetryBackoff
	inDoubt := false // a write without a reply may have taken effect or still do so
	for {
		version, err := s.put(ctx, value, expect)
		switch {
		case err == nil:
			return s.applyEntry(platform.Entry{Key: Key, Value: value, Version: version})
		case errkind.Is(err, errkind.Conflict):
			return s.resolveConflict(ctx, doc, inDoubt)
		case errkind.Is(err, errkind.TooLarge):
			return nil, err
		case !errkind.Is(err, errkind.QuotaExceeded):
			inDoubt = true
		}
		if !wait.Sleep(ctx, retry.NextBackOff()) {
			return nil, interruptedChangeError(err, inDoubt)
		}
	}
}

func (s *Sync) put(ctx context.Context, value []byte, expect int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return s.opts.Store.Put(ctx, Key, value, expect, 0)
}

// resolveConflict compares tokens to decide whether a conflict was caused by this
// VM's own write, whose reply was lost, or by another writer. If the store already
// holds a later revision, the writer of the revision in question cannot be determined.
func (s *Sync) resolveConflict(ctx context.Context, doc *policy.Document, inDoubt bool) (*policy.Document, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryBackoff, maxRetryBackoff
	for {
		_, found, err := s.read(ctx)
		if err == nil {
			if found.Token == doc.Token {
				return found, nil
			}
			if inDoubt && found.Revision > doc.Revision {
				return nil, errkind.New(errkind.OutcomeUnknown, "the reply to the change was lost, and the configuration is now at revision %d", found.Revision)
			}
			return nil, errkind.New(errkind.Conflict, "the configuration is at revision %d", found.Revision)
		}
		if !inDoubt {
			return nil, errkind.Wrap(err, errkind.Conflict, "another change was written first")
		}
		if !wait.Sleep(ctx, retry.NextBackOff()) {
			return nil, interruptedChangeError(err, inDoubt)
		}
	}
}

// interruptedChangeError returns the error of a change whose context ended before the
// outcome was known.
func interruptedChangeError(err error, inDoubt bool) error {
	if inDoubt {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "the store did not confirm whether the change was written")
	}
	return errkind.Wrap(err, errkind.StoreUnavailable, "configuration was not changed")
}

// bootstrap writes the first document if the store has none. It returns after any
// error: the control watch triggers it again while no document is in force.
func (s *Sync) bootstrap(ctx context.Context) {
	if s.opts.Bootstrap == nil || s.Current() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	if _, err := s.Change(ctx, 0, s.opts.Bootstrap); err != nil {
		s.opts.Log.Info("bootstrap configuration was not written", "error", err.Error())
	}
}
