// Package storecall adapts the timeouts of store calls to recent response times
// and hedges calls whose answer is late. A store or a connection that stopped
// answering is detected quickly, while a slow store gets longer timeouts. The
// package sends a call at most three times; retries are up to the caller. The
// gateway, the configuration source and the owner of a fleet use it, the owner also
// for the delay before a start order is repeated.
package storecall

import (
	"sync"
	"time"
)

// Bounds of a timeout.
const (
	// minTimeout covers many times the usual response time of 4 ms, and the loss of
	// a packet.
	minTimeout = 300 * time.Millisecond
	// maxTimeout is twice the response time of a very slow store.
	maxTimeout = time.Second
	// timeoutFactor multiplies the average response time to give the timeout.
	timeoutFactor = 3
	// hedgeFactor multiplies the average response time to give the delay before a
	// call is sent a second time; minHedgeDelay covers a usual answer and its way
	// back.
	hedgeFactor   = 3
	minHedgeDelay = 50 * time.Millisecond
	// averageWeight is the weight of a new response time in the moving average.
	averageWeight = 0.3
)

// AdaptiveTimeout computes timeouts from the moving average of response times. It
// is safe for concurrent use; the zero value is ready to use.
type AdaptiveTimeout struct {
	mu             sync.Mutex
	averageSeconds float64 // moving average of the response time
	failures       int     // consecutive calls without an answer
}

// Next returns the timeout of the next call. It doubles with each consecutive call
// without an answer, up to maxTimeout.
func (t *AdaptiveTimeout) Next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := max(minTimeout, time.Duration(timeoutFactor*t.averageSeconds*float64(time.Second)))
	for range min(t.failures, 4) {
		d *= 2
	}
	return min(d, maxTimeout)
}

// HedgeAfter returns how long to wait for an answer before the call is sent a
// second time; before a third time the wait is twice as long.
func (t *AdaptiveTimeout) HedgeAfter() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minHedgeDelay, time.Duration(hedgeFactor*t.averageSeconds*float64(time.Second)))
}

// Failing reports whether the last recorded call got no answer.
func (t *AdaptiveTimeout) Failing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures > 0
}

// RecordAnswer records the response time of an answered call.
func (t *AdaptiveTimeout) RecordAnswer(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	t.averageSeconds += averageWeight * (took.Seconds() - t.averageSeconds)
}

// RecordNoAnswer records a call without an answer.
func (t *AdaptiveTimeout) RecordNoAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures++
}

// RecordCall records a call that was sent at sentAt and has just ended, with or
// without an answer.
func (t *AdaptiveTimeout) RecordCall(sentAt time.Time, answered bool) {
	if answered {
		t.RecordAnswer(time.Since(sentAt))
		return
	}
	t.RecordNoAnswer()
}
