package storecall

import (
	"context"
	"io"
	"time"
)

// maxProgressTimeouts bounds a call whose answer keeps arriving, in multiples of its timeout: a
// page of 1.4 MB takes 1.2 s at 10 Mbit/s, and several share the link.
const maxProgressTimeouts = 20

// progressKey is the context key of the function that reports progress.
type progressKey struct{}

// WithProgressTimeout returns a context for a call with a large answer. It ends once no part of
// the answer has arrived for d, so that a slow link does not look like a store that is silent.
// The adapter of the store reports the parts through ProgressReader.
func WithProgressTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, maxProgressTimeouts*d)
	ctx, end := context.WithCancelCause(ctx)
	silence := time.AfterFunc(d, func() { end(context.DeadlineExceeded) })
	ctx = context.WithValue(ctx, progressKey{}, func() { silence.Reset(d) })
	return ctx, func() {
		silence.Stop()
		end(context.Canceled)
		cancel()
	}
}

// OnProgress returns a context whose call reports the parts of its answer to f as well.
func OnProgress(parent context.Context, f func()) context.Context {
	report, ok := parent.Value(progressKey{}).(func())
	if !ok {
		return context.WithValue(parent, progressKey{}, f)
	}
	return context.WithValue(parent, progressKey{}, func() {
		report()
		f()
	})
}

// maxPartBytes bounds a part that is reported. The body of an HTTP response may return only when
// the buffer that it reads into is full, and io.ReadAll offers ever larger ones.
const maxPartBytes = 4 << 10

// ProgressReader returns a reader of an answer that reports its progress to the context of the
// call.
func ProgressReader(ctx context.Context, r io.Reader) io.Reader {
	report, ok := ctx.Value(progressKey{}).(func())
	if !ok {
		return r
	}
	return progressReader{r, report}
}

type progressReader struct {
	io.Reader
	report func()
}

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), maxPartBytes)])
	if n > 0 {
		r.report()
	}
	return n, err
}
