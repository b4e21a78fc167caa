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

// OpenCall is a call that has not been answered yet.
type OpenCall struct {
	RequestID string
	Route     string
	Since     time.Time
}

// openCalls counts open calls and refuses new ones during a drain.
type openCalls struct {
	mu       sync.Mutex
	next     uint64
	open     map[uint64]OpenCall
	draining context.Context // ends when the drain begins
	drain    context.CancelFunc
	idle     chan struct{} // closed when a draining VM has no open call
}

func (o *openCalls) init() {
	o.open = map[uint64]OpenCall{}
	o.draining, o.drain = context.WithCancel(context.Background())
	o.idle = make(chan struct{})
}

func (o *openCalls) isDraining() bool { return o.draining.Err() != nil }

// begin opens a call, or says why it is refused.
func (o *openCalls) begin(e OpenCall, limit int) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isDraining() {
		return 0, errkind.New(errkind.Unavailable, "this VM is shutting down").WithRetryAfter(retryHint)
	}
	if len(o.open) >= limit {
		return 0, errkind.New(errkind.Overloaded, "this VM has %d open calls", len(o.open)).WithRetryAfter(retryHint)
	}
	o.next++
	o.open[o.next] = e
	return o.next, nil
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

// track opens the call for the time of the later filters.
func (in *Ingress) track(c *gin.Context) {
	e := OpenCall{RequestID: callOf(c).requestID, Route: c.Request.Method + " " + c.FullPath(), Since: time.Now()}
	id, err := in.calls.begin(e, in.Limits.MaxCalls)
	if err != nil {
		// The caller's next request goes over a new connection to another VM.
		c.Header("Connection", "close")
		in.fail(c, err)
		return
	}
	defer in.calls.end(id)
	c.Next()
}

// OpenCalls returns the calls that have not been answered, oldest first.
func (in *Ingress) OpenCalls() []OpenCall { return in.calls.list() }

// drainReportInterval is the interval of log lines during a drain.
const drainReportInterval = 5 * time.Second

// Drain refuses new calls and returns when all open calls are answered. Waits
// for durable jobs end early with 202, because any VM can continue them. When
// ctx ends first, the error names the calls that are still open.
func (in *Ingress) Drain(ctx context.Context) error {
	in.calls.startDrain()
	ticker := time.NewTicker(drainReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-in.calls.idle:
			in.Log.Info("all calls are answered")
			return nil
		case <-ticker.C:
			in.Log.Info("waiting for open calls", "calls", describe(in.OpenCalls()))
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Timeout, "open calls: %s", describe(in.OpenCalls()))
		}
	}
}

// maxDescribed bounds the calls that one line names.
const maxDescribed = 10

func describe(calls []OpenCall) string {
	var parts []string
	for i, c := range calls {
		if i == maxDescribed {
			parts = append(parts, fmt.Sprintf("and %d more", len(calls)-i))
			break
		}
		parts = append(parts, fmt.Sprintf("%s (request %s, open for %s)", c.Route, c.RequestID, time.Since(c.Since).Round(time.Millisecond)))
	}
	return strings.Join(parts, "; ")
}
