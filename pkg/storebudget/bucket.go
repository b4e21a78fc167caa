package storebudget

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// priorityBucket is a token bucket whose waiters get tokens by priority, then in
// order of arrival.
type priorityBucket struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	waiters waiterHeap
	seq     uint64
	timer   *time.Timer
}

type waiter struct {
	priority Priority
	seq      uint64
	index    int // position in the heap; -1 after a token was granted
	granted  chan struct{}
}

// burstSeconds is the size of the bucket in seconds of the rate, so that a short
// burst of appends is not delayed.
const burstSeconds = 0.5

func newBucket(perSecond float64) *priorityBucket {
	return &priorityBucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond))}
}

func burstSize(perSecond float64) int { return max(1, int(perSecond*burstSeconds)) }

// setRate changes the rate, in calls per second.
func (b *priorityBucket) setRate(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter.Limit() != rate.Limit(perSecond) {
		b.limiter.SetLimit(rate.Limit(perSecond))
		b.limiter.SetBurst(burstSize(perSecond))
	}
}

// acquire waits for a token. It returns the error of ctx if ctx ends first.
func (b *priorityBucket) acquire(ctx context.Context, p Priority) error {
	b.mu.Lock()
	if len(b.waiters) == 0 && b.limiter.Allow() {
		b.mu.Unlock()
		return nil
	}
	b.seq++
	w := &waiter{priority: p, seq: b.seq, granted: make(chan struct{})}
	heap.Push(&b.waiters, w)
	b.scheduleGrant()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return b.cancelWaiter(w, ctx.Err())
	}
}

func (b *priorityBucket) cancelWaiter(w *waiter, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		return nil // a token was granted at the same time
	}
	heap.Remove(&b.waiters, w.index)
	if len(b.waiters) == 0 && b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	return err
}

// scheduleGrant starts the timer for the next token. The caller holds b.mu.
func (b *priorityBucket) scheduleGrant() {
	if b.timer != nil || len(b.waiters) == 0 {
		return
	}
	missing := 1 - b.limiter.Tokens()
	wait := time.Duration(max(0, missing) / float64(b.limiter.Limit()) * float64(time.Second))
	b.timer = time.AfterFunc(wait+time.Microsecond, b.grantTokens)
}

func (b *priorityBucket) grantTokens() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = nil
	for len(b.waiters) > 0 && b.limiter.Allow() {
		w := heap.Pop(&b.waiters).(*waiter)
		close(w.granted)
	}
	b.scheduleGrant()
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
