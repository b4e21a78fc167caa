package sched

import (
	"math/rand/v2"
	"sync"
	"time"
)

// bucket is a token bucket on the caller's clock.
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

// take removes n tokens if there are as many. A request beyond the burst passes
// when the bucket is full, so that it is delayed and not refused for good.
func (b *bucket) take(now time.Time, n float64) bool {
	b.refill(now)
	if b.tokens < min(n, b.burst) {
		return false
	}
	b.tokens -= n
	return true
}

// RetryBudget limits retries by key, such as a workspace or a target, to a share
// of the first attempts plus a low constant rate, so that an outage is not
// followed by a storm of retries. It may be used by several goroutines.
type RetryBudget struct {
	mu      sync.Mutex
	ratio   float64
	rate    float64
	burst   float64
	buckets map[string]*bucket
}

// retryKeys bounds the keys that a budget remembers.
const maxRetryKeys = 16_384

// NewRetryBudget returns a budget that allows ratio retries for each first
// attempt and perSecond retries besides, and saves at most burst of them.
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

// AllowRetry reports whether a retry under key is within the budget and counts it.
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

// forget drops the keys with a full budget, which are as good as new ones.
func (r *RetryBudget) evictFull(now time.Time) {
	for key, b := range r.buckets {
		if b.refill(now); b.tokens >= b.burst {
			delete(r.buckets, key)
		}
	}
}

// Backoff is an exponential delay between attempts with full jitter.
type Backoff struct {
	Base time.Duration // greatest delay before the first retry
	Max  time.Duration
}

// Delay returns a random delay before the given retry, counted from 1. The
// source of randomness is passed in, so that a seed repeats the delays.
func (b Backoff) Delay(retry int, rng *rand.Rand) time.Duration {
	limit := b.Max
	if shift := max(retry-1, 0); shift < 32 && b.Base<<shift > 0 {
		limit = min(limit, b.Base<<shift)
	}
	return time.Duration(rng.Int64N(int64(max(limit, 1)))) + 1
}
