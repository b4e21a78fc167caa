package fleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against slots that are lost when a caller gives up, after which no call is made
// any more, and against more calls than slots.
func TestSlotsOfCallersThatGiveUpAreFreed(t *testing.T) {
	const (
		limit   = 4
		callers = 200
	)
	synctest.Test(t, func(t *testing.T) {
		s := &callSlots{}
		s.setLimit(limit)
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%7)*time.Millisecond)
				defer cancel()
				if !s.acquire(ctx, i%3) {
					return
				}
				if n := s.used(); n > limit {
					t.Errorf("%d slots are in use, want at most %d", n, limit)
				}
				time.Sleep(time.Millisecond)
				s.release()
			})
		}
		wg.Wait()
		if used, waiting := s.used(), s.queueLength(); used > 0 || waiting > 0 {
			t.Errorf("%d slots in use and %d callers waiting after the last call", used, waiting)
		}
	})
}

// Guards against repeated starts that take slots from first ones.
func TestRepeatedStartsGetOnlySpareSlots(t *testing.T) {
	s := &callSlots{}
	s.setLimit(10)
	granted := func(r *slotRequest) bool {
		select {
		case <-r.granted:
			return true
		default:
			return false
		}
	}
	for range 9 {
		s.request(0, 1)
	}
	repeated := s.request(1, repeatShare)
	if first := s.request(0, 1); !granted(first) || granted(repeated) {
		t.Errorf("with 9 of 10 slots in use, first start granted: %t, repeated start granted: %t", granted(first), granted(repeated))
	}
	for range 9 {
		s.release()
	}
	if !granted(repeated) {
		t.Error("the repeated start gets no slot although 1 of 10 is in use")
	}
}

func (s *callSlots) used() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse
}
