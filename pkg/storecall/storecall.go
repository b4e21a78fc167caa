// Package storecall chooses how long to wait for an answer of the platform's
// store, and sends a call once more whose answer is late. A store or a connection
// that went silent is noticed soon, while one that is merely slow still gets its
// time.
package storecall

import (
	"sync"
	"time"
)

// Bounds of a timeout.
const (
	// shortest is many times the usual answer of 4 ms and a lost packet.
	shortest = 300 * time.Millisecond
	// longest is twice the answer of a very slow store.
	longest = time.Second
	// factor is how many times the recent answer time a call may take.
	factor = 3
	// hedgeFactor is how many times the recent answer time passes before a call is
	// sent a second time; hedgeShortest covers a usual answer and its way back.
	hedgeFactor   = 3
	hedgeShortest = 50 * time.Millisecond
	// weight of a new answer time in the moving average.
	weight = 0.3
)

// AdaptiveTimeout adapts to the recent answers. It is safe for concurrent use; the zero
// value is ready.
type AdaptiveTimeout struct {
	mu       sync.Mutex
	average  float64 // seconds
	failures int     // calls in a row without an answer
}

// Next returns how long the next call may take. It doubles with each call that
// got no answer.
func (t *AdaptiveTimeout) Next() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := max(shortest, time.Duration(factor*t.average*float64(time.Second)))
	for range min(t.failures, 4) {
		d *= 2
	}
	return min(d, longest)
}

// HedgeAfter returns how long to wait for an answer before the call is sent once
// more.
func (t *AdaptiveTimeout) HedgeAfter() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(hedgeShortest, time.Duration(hedgeFactor*t.average*float64(time.Second)))
}

// Failing reports whether the last call got no answer.
func (t *AdaptiveTimeout) Failing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures > 0
}

// RecordAnswer notes the time of an answered call.
func (t *AdaptiveTimeout) RecordAnswer(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	t.average += weight * (took.Seconds() - t.average)
}

// RecordNoAnswer notes a call without an answer.
func (t *AdaptiveTimeout) RecordNoAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures++
}

// RecordCall records a call that was sent at a time by whether it was answered.
func (t *AdaptiveTimeout) RecordCall(sentAt time.Time, answered bool) {
	if answered {
		t.RecordAnswer(time.Since(sentAt))
		return
	}
	t.RecordNoAnswer()
}
