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

// Guards against a timeout of a large answer that keeps arriving, and against a call without a
// bound.
func TestProgressTimeout(t *testing.T) {
	const timeout = time.Second
	tests := map[string]struct {
		answer tickingReader
		ends   bool
	}{
		"arrives slowly":              {tickingReader{timeout * 3 / 4, 8}, false},
		"stops arriving":              {tickingReader{timeout + 1, 1}, true},
		"arrives for more than bound": {tickingReader{timeout / 2, 2*maxProgressTimeouts + 1}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := WithProgressTimeout(t.Context(), timeout)
				defer cancel()
				if _, err := io.ReadAll(ProgressReader(ctx, &tc.answer)); err != nil {
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
