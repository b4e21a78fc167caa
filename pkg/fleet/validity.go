package fleet

import (
	"sync"
	"time"
)

// leaseValidity is how long the ownership lease is valid. It has a lock of its own, so that
// a renewal does not wait behind the calls of a large fleet.
type leaseValidity struct {
	mu      sync.Mutex
	until   time.Duration
	changed chan struct{} // closed and replaced by each renewal
}

func newLeaseValidity(until time.Duration) *leaseValidity {
	return &leaseValidity{until: until, changed: make(chan struct{})}
}

// end returns when the validity ends, and a channel that the next renewal closes.
func (v *leaseValidity) end() (until time.Duration, changed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.until, v.changed
}

// extend records a renewal. An answer may arrive after that of a later renewal.
func (v *leaseValidity) extend(until time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.until = max(v.until, until)
	close(v.changed)
	v.changed = make(chan struct{})
}
