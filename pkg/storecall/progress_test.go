package storecall

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// tickingReader returns a byte after each interval, n times.
type tickingReader struct {
	interval time.Duration
	n        int
}

func (r *tickingReader) Read(p []byte) (int, error) {
	if r.n == 0 {
		return 0, io.EOF
	}
	r.n--
	time.Sleep(r.interval)
	return copy(p, "x"), nil
}

// fillingReader returns only when the buffer is full, as the body of an HTTP response does within
// a chunk.
type fillingReader struct {
	bytesPerSecond, left int
}

func (r *fillingReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.left)
	r.left -= n
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.bytesPerSecond))
	return n, nil
}

// Guards against a timeout of a large answer that keeps arriving, and against a call without a
// bound.
func TestProgressTimeout(t *testing.T) {
	const timeout = time.Second
	tests := map[string]struct {
		answer io.Reader
		ends   bool
	}{
		"arrives slowly":              {&tickingReader{timeout * 3 / 4, 8}, false},
		"arrives slowly in one chunk": {&fillingReader{100 << 10, 1400 << 10}, false},
		"stops arriving":              {&tickingReader{timeout + 1, 1}, true},
		"arrives for more than bound": {&tickingReader{timeout / 2, 2*maxProgressTimeouts + 1}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := WithProgressTimeout(t.Context(), timeout)
				defer cancel()
				if _, err := io.ReadAll(ProgressReader(ctx, tc.answer)); err != nil {
					t.Fatal(err)
				}
				if ended := ctx.Err() != nil; ended != tc.ends {
					t.Errorf("the context has ended: %v, want %v", ended, tc.ends)
				}
				if tc.ends && !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
					t.Errorf("it ended with %v", context.Cause(ctx))
				}
			})
		})
	}
}
