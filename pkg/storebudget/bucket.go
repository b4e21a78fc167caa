package storebudget

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// bucket is a token bucket whose waiters are served by priority, then in order
// of arrival.
type bucket struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	waiters waiterHeap
	seq     uint64
	timer   *time.Timer
}

type waiter struct {
	priority Priority
	seq      uint64
	index    int // in the heap; -1 once granted
	granted  chan struct{}
}

// burstSeconds is how many seconds of the rate may be used at once, so that a
// short burst of appends is not delayed.
const burstSeconds = 0.5

func newBucket(perSecond float64) *bucket {
	return &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))}
}

func burstOf(perSecond float64) int { return max(1, int(perSecond*burstSeconds)) }

// setRate changes the rate, in calls per second.
func (b *bucket) setRate(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter.Limit() != rate.Limit(perSecond) {
		b.limiter.SetLimit(rate.Limit(perSecond))
		b.limiter.SetBurst(burstOf(perSecond))
	}
}

// take waits for a token. An error says that ctx ended first.
func (b *bucket) take(ctx context.Context, p Priority) error {
	b.mu.Lock()
	if len(b.waiters) == 0 && b.limiter.Allow() {
		b.mu.Unlock()
		return nil
	}
	b.seq++
	w := &waiter{priority: p, seq: b.seq, granted: make(chan struct{})}
	heap.Push(&b.waiters, w)
	b.arm()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return b.abandon(w, ctx.Err())
	}
}

func (b *bucket) abandon(w *waiter, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		return nil // granted at the same moment
	}
	heap.Remove(&b.waiters, w.index)
	if len(b.waiters) == 0 && b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	return err
}

// arm sets the timer for the next token; b.mu is held.
func (b *bucket) arm() {
	if b.timer != nil || len(b.waiters) == 0 {
		return
	}
	missing := 1 - b.limiter.Tokens()
	wait := time.Duration(max(0, missing) / float64(b.limiter.Limit()) * float64(time.Second))
	b.timer = time.AfterFunc(wait+time.Microsecond, b.grant)
}

func (b *bucket) grant() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = nil
	for len(b.waiters) > 0 && b.limiter.Allow() {
		w := heap.Pop(&b.waiters).(*waiter)
		close(w.granted)
	}
	b.arm()
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	w.index = -1
	*h = old[:len(old)-1]
	return w
}
