package ingress

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// OpenCall is a call in progress, without a complete response yet.
type OpenCall struct {
	RequestID string
	Route     string
	Since     time.Time
}

// openCalls tracks the open calls and rejects new ones during a drain or beyond
// the limit.
type openCalls struct {
	mu       sync.Mutex
	lastID   uint64
	open     map[uint64]OpenCall
	draining context.Context // cancelled when the drain begins
	drain    context.CancelFunc
	idle     chan struct{} // closed when this VM drains and has no open calls
}

func (o *openCalls) init() {
	o.open = map[uint64]OpenCall{}
	o.draining, o.drain = context.WithCancel(context.Background())
	o.idle = make(chan struct{})
}

func (o *openCalls) isDraining() bool { return o.draining.Err() != nil }

// begin registers a call and returns its ID, or an error if the call is refused.
func (o *openCalls) begin(e OpenCall, limit int) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isDraining() {
		return 0, errkind.New(errkind.Unavailable, "this VM is shutting down").WithRetryAfter(shortRetryAfter)
	}
	if len(o.open) >= limit {
		return 0, errkind.New(errkind.Overloaded, "this VM has %d open calls", len(o.open)).WithRetryAfter(shortRetryAfter)
	}
	o.lastID++
	o.open[o.lastID] = e
	return o.lastID, nil
}

func (o *openCalls) end(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, id)
	if len(o.open) == 0 && o.isDraining() {
		close(o.idle)
	}
}

func (o *openCalls) count() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return float64(len(o.open))
}

func (o *openCalls) startDrain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isDraining() {
		return
	}
	o.drain()
	if len(o.open) == 0 {
		close(o.idle)
	}
}

func (o *openCalls) list() []OpenCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]OpenCall, 0, len(o.open))
	for _, e := range o.open {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b OpenCall) int {
		return cmp.Or(a.Since.Compare(b.Since), strings.Compare(a.RequestID, b.RequestID))
	})
	return list
}

// track registers the call as open while the later filters and the handler run.
func (in *Ingress) track(c *gin.Context) {
	e := OpenCall{RequestID: callOf(c).requestID, Route: c.Request.Method + " " + c.FullPath(), Since: time.Now()}
	id, err := in.calls.begin(e, in.Limits.MaxCalls)
	if err != nil {
		// Closing the connection lets the caller's next request reach another VM
		// over a new connection.
		c.Header("Connection", "close")
		in.fail(c, err)
		return
	}
	defer in.calls.end(id)
	c.Next()
}

// OpenCalls returns the calls in progress, oldest first.
func (in *Ingress) OpenCalls() []OpenCall { return in.calls.list() }

// drainReportInterval is the interval between progress logs during a drain.
const drainReportInterval = 5 * time.Second

// Drain rejects new calls and returns when all open calls have completed. Waits
// for durable jobs end early with 202, because the caller can continue them at
// any VM. If ctx ends first, the error lists the calls that are still open.
func (in *Ingress) Drain(ctx context.Context) error {
	in.calls.startDrain()
	ticker := time.NewTicker(drainReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-in.calls.idle:
			in.Log.Info("drain finished: no open calls are left")
			return nil
		case <-ticker.C:
			in.Log.Info("drain is waiting for open calls to complete", "calls", describeCalls(in.OpenCalls()))
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Timeout, "open calls: %s", describeCalls(in.OpenCalls()))
		}
	}
}

// maxDescribedCalls bounds the calls listed in one log line or error.
const maxDescribedCalls = 10

func describeCalls(calls []OpenCall) string {
	var parts []string
	for i, c := range calls {
		if i == maxDescribedCalls {
			parts = append(parts, fmt.Sprintf("and %d more", len(calls)-i))
			break
		}
		parts = append(parts, fmt.Sprintf("%s (request %s, open for %s)", c.Route, c.RequestID, time.Since(c.Since).Round(time.Millisecond)))
	}
	return strings.Join(parts, "; ")
}
