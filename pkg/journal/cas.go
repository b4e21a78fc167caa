package journal

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
)

const (
	// callTimeout bounds one store call; the store answers in milliseconds.
	callTimeout = 2 * time.Second
	minBackoff  = 20 * time.Millisecond
	maxBackoff  = time.Second
)

// foreignError says that the key holds what another writer wrote.
type foreignError struct {
	entry platform.Entry
	// maybeWritten says that an own write was sent without an answer before, and
	// may have been in place before the other one.
	maybeWritten bool
}

func (e *foreignError) Error() string {
	return "journal key " + e.entry.Key + " was written by another owner"
}

// casWriter writes keys by compare-and-swap and resolves lost answers.
type casWriter struct{ store platform.Store }

// write puts the value, which contains a token of its own, and returns the new
// version. It repeats the same bytes with the same expected version until the
// store shows either them or a *foreignError, or ctx ends: of a delayed first
// write and a repetition only one can take effect.
func (c casWriter) write(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	retry := newBackoff()
	maybe := false
	for {
		version, err := c.put(ctx, key, value, expect)
		if err == nil {
			return version, nil
		}
		kind := errkind.Of(err)
		if kind == errkind.TooLarge {
			return 0, err
		}
		if kind != errkind.Conflict && !wait.Sleep(ctx, retry.NextBackOff()) {
			return 0, outOfReach(err)
		}
		if kind == errkind.QuotaExceeded {
			continue // nothing was written
		}
		maybe = maybe || kind != errkind.Conflict
		found, err := c.read(ctx, key)
		switch {
		case err != nil:
			return 0, err
		case bytes.Equal(found.Value, value):
			return found.Version, nil
		case found.Version != expect:
			return 0, &foreignError{entry: found, maybeWritten: maybe}
		}
	}
}

func (c casWriter) put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Put(ctx, key, value, expect, 0)
}

// read returns the entry, with version 0 if it is absent, and repeats until the
// store answers or ctx ends.
func (c casWriter) read(ctx context.Context, key string) (platform.Entry, error) {
	var e platform.Entry
	err := untilAnswered(ctx, func(ctx context.Context) (err error) {
		e, err = c.store.Get(ctx, key)
		if errkind.Is(err, errkind.NotFound) {
			e, err = platform.Entry{Key: key}, nil
		}
		return err
	})
	return e, err
}

// untilAnswered repeats a read until it succeeds or ctx ends.
func untilAnswered(ctx context.Context, call func(context.Context) error) error {
	retry := newBackoff()
	for {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(limited)
		cancel()
		if err == nil {
			return nil
		}
		if !wait.Sleep(ctx, retry.NextBackOff()) {
			return outOfReach(err)
		}
	}
}

func outOfReach(err error) error {
	return errkind.Wrap(err, errkind.StoreUnavailable, "journal cannot reach the store")
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minBackoff, maxBackoff
	return b
}
