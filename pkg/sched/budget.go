package sched

import (
	"math/rand/v2"
	"sync"
	"time"
)

// bucket is a token bucket that takes the time from its caller.
type bucket struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, tokens: burst} }

func (b *bucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*max(now.Sub(b.refilledAt), 0).Seconds())
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// take removes n tokens and reports whether they were available. A request larger
// than the burst is allowed when the bucket is full; otherwise it could never pass.
func (b *bucket) take(now time.Time, n float64) bool {
	b.refill(now)
	if b.tokens < min(n, b.burst) {
		return false
	}
	b.tokens -= n
	return true
}

// RetryBudget limits the retries under each key, such as a workspace or a target,
// to a share of the first attempts plus a low constant rate. This prevents a retry
// storm after an outage. It is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	ratio   float64
	rate    float64
	burst   float64
	buckets map[string]*bucket
}

// maxRetryKeys is the number of keys above which keys with a full budget are evicted.
const maxRetryKeys = 16_384

// NewRetryBudget returns a budget that allows ratio retries per first attempt plus
// perSecond retries per second, and accumulates at most burst retries.
func NewRetryBudget(ratio, perSecond, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, rate: perSecond, burst: burst, buckets: map[string]*bucket{}}
}

// RecordAttempt records a first attempt under key.
func (r *RetryBudget) RecordAttempt(now time.Time, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(now, key)
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+r.ratio)
}

// AllowRetry reports whether the budget of key allows a retry, and deducts it if so.
func (r *RetryBudget) AllowRetry(now time.Time, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucket(now, key).take(now, 1)
}

func (r *RetryBudget) bucket(now time.Time, key string) *bucket {
	b := r.buckets[key]
	if b == nil {
		if len(r.buckets) >= maxRetryKeys {
			r.evictFull(now)
		}
		fresh := newBucket(r.rate, r.burst)
		b = &fresh
		r.buckets[key] = b
	}
	return b
}

// evictFull removes the keys with a full budget, which equal newly created ones.
func (r *RetryBudget) evictFull(now time.Time) {
	for key, b := range r.buckets {
		if b.refill(now); b.tokens >= b.burst {
			delete(r.buckets, key)
		}
	}
}

// Backoff computes exponential retry delays with full jitter.
type Backoff struct {
	Base time.Duration // upper bound of the delay before the first retry
	Max  time.Duration
}

// Delay returns a random delay before the given retry, counted from 1. The caller
// passes the random source, so that a fixed seed gives the same delays.
func (b Backoff) Delay(retry int, rng *rand.Rand) time.Duration {
	limit := b.Max
	if shift := max(retry-1, 0); shift < 32 && b.Base<<shift > 0 {
		limit = min(limit, b.Base<<shift)
	}
	return time.Duration(rng.Int64N(int64(max(limit, 1)))) + 1
}
