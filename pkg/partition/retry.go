package partition

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the default retry policy.
const (
	retryPerSecond  = 5 // retries a second of one workspace in one partition
	retryBurst      = 50
	retryBackoffMin = 200 * time.Millisecond
	retryBackoffMax = 30 * time.Second
)

// BudgetedRetries is a RetryPolicy with a token bucket per workspace and an
// exponential backoff with full jitter, so that failures after an outage do not
// come back all at once.
type BudgetedRetries struct {
	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// NewBudgetedRetries returns the default retry policy.
func NewBudgetedRetries() *BudgetedRetries {
	return &BudgetedRetries{buckets: map[string]*rate.Limiter{}}
}

// Take reports whether the workspace may retry now, and counts the retry.
func (b *BudgetedRetries) Take(workspace string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.buckets[workspace]
	if !ok {
		l = rate.NewLimiter(retryPerSecond, retryBurst)
		b.buckets[workspace] = l
	}
	return l.AllowN(now, 1)
}

// Backoff returns a random pause of up to twice as long for each failure.
func (b *BudgetedRetries) Backoff(failures int) time.Duration {
	limit := retryBackoffMax
	if failures < 8 {
		limit = min(retryBackoffMin<<max(failures-1, 0), retryBackoffMax)
	}
	return limit/2 + rand.N(limit/2+1)
}
