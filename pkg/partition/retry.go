package partition

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/carawayusher/carawayusher/pkg/sched"
)

// Limits of the default retry policy, per workspace and VM.
const (
	retryRatio      = 0.1 // retries per accepted job
	retryPerSecond  = 5
	retryBurst      = 50
	minRetryBackoff = 200 * time.Millisecond
	maxRetryBackoff = 30 * time.Second
)

// BudgetedRetries is a RetryPolicy with a retry budget per workspace and a jittered
// exponential backoff, so that jobs that failed in an outage are not all retried at
// the same time.
type BudgetedRetries struct {
	budget  *sched.RetryBudget
	backoff sched.Backoff

	mu  sync.Mutex
	rng *rand.Rand
}

// NewBudgetedRetries returns the default retry policy.
func NewBudgetedRetries() *BudgetedRetries {
	return &BudgetedRetries{
		budget:  sched.NewRetryBudget(retryRatio, retryPerSecond, retryBurst),
		backoff: sched.Backoff{Base: minRetryBackoff, Max: maxRetryBackoff},
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// RecordAccepted counts an accepted job of the workspace.
func (b *BudgetedRetries) RecordAccepted(ws string, now time.Time) { b.budget.RecordAttempt(now, ws) }

// AllowRetry reports whether the workspace may retry now, and counts the retry.
func (b *BudgetedRetries) AllowRetry(workspace string, now time.Time) bool {
	return b.budget.AllowRetry(now, workspace)
}

// Backoff returns a random delay whose upper bound doubles with each failure, up to
// maxRetryBackoff.
func (b *BudgetedRetries) Backoff(failures int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backoff.Delay(failures, b.rng)
}
