package storebudget

import (
	"sync"
	"time"
)

// failuresForOutage is the number of calls in a row without an answer that
// count as an outage; a single lost answer is not one.
const failuresForOutage = 3

// outage tells a store that is out of reach from single lost answers.
type outage struct {
	notify func(down bool)

	mu       sync.Mutex
	failures int
	down     bool
	ended    time.Time
}

func (o *outage) failed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures++
	if !o.down && o.failures >= failuresForOutage {
		o.down = true
		o.notify(true)
	}
}

func (o *outage) answered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = 0
	if o.down {
		o.down, o.ended = false, time.Now()
		o.notify(false)
	}
}

func (o *outage) isDown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.down
}

// sinceEnd returns the time since the last outage ended, or a very long time
// when there was none.
func (o *outage) sinceEnd() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return time.Since(o.ended)
}
