package sched

import "time"

// bucket is a token bucket on the caller's clock.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func newBucket(rate, burst float64) bucket { return bucket{rate: rate, burst: burst, tokens: burst} }

func (b *bucket) fill(now time.Time) {
	if !b.at.IsZero() {
		b.tokens = min(b.burst, b.tokens+b.rate*max(now.Sub(b.at), 0).Seconds())
	}
	if now.After(b.at) {
		b.at = now
	}
}

// take removes n tokens if there are as many.
func (b *bucket) take(now time.Time, n float64) bool {
	b.fill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
