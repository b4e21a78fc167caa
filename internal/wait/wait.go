// Package wait holds the pause that loops make between two tries.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and reports whether ctx is still live.
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
