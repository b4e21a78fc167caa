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
	// callTimeout bounds one store call; the store normally answers in milliseconds.
	callTimeout = 2 * time.Second
	minBackoff  = 20 * time.Millisecond
	maxBackoff  = time.Second
)

// foreignWriteError reports that another writer has written the key.
type foreignWriteError struct {
	entry platform.Entry
	// maybeWritten is set if an earlier write of this writer got no answer and may
	// have taken effect before the other write.
	maybeWritten bool
}

func (e *foreignWriteError) Error() string {
	return "journal key " + e.entry.Key + " was written by another owner"
}

// casWriter writes keys by compare-and-swap. If an answer is lost, it reads the key
// to find the outcome.
type casWriter struct{ store platform.Store }

// write puts the value, which must contain a unique token, and returns the new
// version. It retries with the same bytes and the same expected version until the
// store holds them, another writer's value is found (*foreignWriteError), or ctx
// ends. Because of the expected version, only one of a delayed write and its
// retries can take effect.
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
			return 0, errStoreUnreachable(err)
		}
		if kind == errkind.QuotaExceeded {
			continue // the store rejected the write; it has no effect
		}
		maybe = maybe || kind != errkind.Conflict
		found, err := c.read(ctx, key)
		switch {
		case err != nil:
			return 0, err
		case bytes.Equal(found.Value, value):
			return found.Version, nil
		case found.Version != expect:
			return 0, &foreignWriteError{entry: found, maybeWritten: maybe}
		}
	}
}

func (c casWriter) put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.store.Put(ctx, key, value, expect, 0)
}

// read returns the entry, with version 0 if the key does not exist. It retries
// until the store answers or ctx ends.
func (c casWriter) read(ctx context.Context, key string) (platform.Entry, error) {
	var e platform.Entry
	err := retryUntilAnswered(ctx, func(ctx context.Context) (err error) {
		e, err = c.store.Get(ctx, key)
		if errkind.Is(err, errkind.NotFound) {
			e, err = platform.Entry{Key: key}, nil
		}
		return err
	})
	return e, err
}

// retryUntilAnswered retries a read with backoff until it succeeds or ctx ends.
func retryUntilAnswered(ctx context.Context, call func(context.Context) error) error {
	retry := newBackoff()
	for {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(limited)
		cancel()
		if err == nil {
			return nil
		}
		if !wait.Sleep(ctx, retry.NextBackOff()) {
			return errStoreUnreachable(err)
		}
	}
}

// errStoreUnreachable wraps the error of the last call that failed.
func errStoreUnreachable(err error) error {
	return errkind.Wrap(err, errkind.StoreUnavailable, "journal cannot reach the store")
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minBackoff, maxBackoff
	return b
}
