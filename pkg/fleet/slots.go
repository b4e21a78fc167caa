package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// Polls of workers that do not answer, and starts, are bounded for the whole owner: if this
// process is delayed, so many of them are late at once that unbounded retries keep its
// processor busy and make further calls late.
const (
	// maxCallShare is the maximum number of calls of one kind in progress, as a share of
	// the number of workers, but at least minCallSlots.
	maxCallShare = 0.1
	minCallSlots = 8
	// repeatShare is the share of the slots below which a late start is sent again: if many
	// starts are in progress, they are late as well, and repeating them makes it worse.
	repeatShare = 0.2
)

// limitCalls adapts the limits of calls to the number of workers; the lock is held.
func (o *Owner) limitCalls() {
	limit := max(minCallSlots, int(maxCallShare*float64(len(o.workers))))
	o.probeSlots.setLimit(limit)
	o.startSlots.setLimit(limit)
}

// callSlots bounds the calls of one kind that are in progress.
type callSlots struct {
	mu      sync.Mutex
	limit   int
	inUse   int
	waiting []*slotRequest // in the order in which they get slots
}

// slotRequest is a request for a slot.
type slotRequest struct {
	rank    int           // requests of a lower rank get slots first
	share   float64       // it gets a slot while less than this share of the slots is in use
	granted chan struct{} // closed when it gets its slot
}

// setLimit sets the number of slots.
func (s *callSlots) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.grant()
}

// request adds a request, after those of the same rank.
func (s *callSlots) request(rank int, share float64) *slotRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &slotRequest{rank, share, make(chan struct{})}
	position, _ := slices.BinarySearchFunc(s.waiting, rank+1, func(r *slotRequest, rank int) int { return cmp.Compare(r.rank, rank) })
	s.waiting = slices.Insert(s.waiting, position, r)
	s.grant()
	return r
}

// withdraw ends a request, and returns its slot if it was granted.
func (s *callSlots) withdraw(r *slotRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, r); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	} else {
		s.inUse--
	}
	s.grant()
}

// acquire waits for a slot. It returns false if ctx ends before.
func (s *callSlots) acquire(ctx context.Context, rank int) bool {
	r := s.request(rank, 1)
	select {
	case <-r.granted:
		return true
	case <-ctx.Done():
		s.withdraw(r)
		return false
	}
}

func (s *callSlots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse--
	s.grant()
}

// grant gives free slots to waiting requests; the lock is held.
func (s *callSlots) grant() {
	for len(s.waiting) > 0 && float64(s.inUse) < s.waiting[0].share*float64(s.limit) {
		close(s.waiting[0].granted)
		s.waiting = s.waiting[1:]
		s.inUse++
	}
}

// queueLength returns the number of waiting requests.
func (s *callSlots) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}
