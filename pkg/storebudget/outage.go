package storebudget

import (
	"sync"
	"time"
)

// outageThreshold is the number of consecutive calls without an answer that count
// as an outage; a single lost answer does not.
const outageThreshold = 3

// outageDetector distinguishes an unreachable store from single lost answers.
type outageDetector struct {
	notify func(down bool)

	mu       sync.Mutex
	failures int
	down     bool
	endedAt  time.Time
}

func (o *outageDetector) recordFailure() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures++
	if !o.down && o.failures >= outageThreshold {
		o.down = true
		o.notify(true)
	}
}

func (o *outageDetector) recordAnswer() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = 0
	if o.down {
		o.down, o.endedAt = false, time.Now()
		o.notify(false)
	}
}

func (o *outageDetector) isDown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down
}

// timeSinceEnd returns the time since the last outage ended, or the maximum
// duration if there was none.
func (o *outageDetector) timeSinceEnd() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.endedAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(o.endedAt)
}
