// Package wait provides a sleep that ends early when a context is done, for
// loops that poll or retry.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done, and reports whether ctx is not done.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
