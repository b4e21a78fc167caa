// Package httplimit bounds the memory and the descriptors that clients outside the limits can
// take from an HTTP server: request bodies in flight have a budget of the process, each
// listener has a number of connections, and bodies have a minimum transfer rate. What is
// incomplete or idle for longest ends first; a request that was read to its end is not cut.
package httplimit

import (
	"context"
	"math"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

const (
	// bodyShare is the part of the machine's memory for request bodies in flight, and
	// connectionShare that for the connections of callers. The rest is for the state of the
	// process, garbage and the other connections.
	bodyShare, connectionShare = 8, 4
	// maxBodyShare bounds the budget where the operator has raised the largest body.
	maxBodyShare = 2
	// reserveShare is the part of the budget that is left for small bodies.
	reserveShare = 4
	// connectionBytes is what an incomplete connection takes at most: headers and their copies,
	// buffers, stacks and as much garbage (110 KB measured with headers of 16,384 bytes), with its
	// receive buffer.
	connectionBytes = 128 << 10
	// callShare is the part of the descriptors for calls that are being served, since each of them
	// may open a connection to the store, and leave a second one that was dialed meanwhile.
	callShare = 16
	// chargeFactor times its bytes is charged for a body while it is read, as its reader copies it
	// when its buffer grows. Afterwards its bytes are charged once, for the decoded request.
	chargeFactor = 2
	// smallBody is the size up to which a body may use the reserve. Ordinary submissions have a
	// few kilobytes.
	smallBody = 16 << 10
	// progressBytes is how much of a body has to arrive to count as progress, so that a client
	// that sends single bytes does not appear to be faster than one that sends nothing.
	progressBytes = 4 << 10

	// DefaultGrace is the time that every body has. A caller inside the limits has sent its
	// body within its deadline of at most 3 s.
	DefaultGrace = 5 * time.Second
	// DefaultMinRate is the rate, in bytes a second, at which a body has to arrive after the
	// grace. A body of 262,144 bytes within 3 s has 87,381.
	DefaultMinRate = 16 << 10
	// writeTimeout and writeRate bound the time in which a client takes a piece of a response.
	writeTimeout = 10 * time.Second
	writeRate    = 16 << 10
	// slowWrite is the time after which a response that the client does not take may be given
	// up for a new connection. The deadline of its caller has passed by then.
	slowWrite = 3 * time.Second

	// readBuffer and writeBuffer are the buffers of connections in the kernel, which doubles them
	// for its own records. bodyBuffer replaces readBuffer while a body of more than largeBody is
	// read, since fewer bytes in a round trip would make it slow. peerBuffer replaces both once
	// another VM is authenticated.
	readBuffer, writeBuffer = 8 << 10, 32 << 10
	bodyBuffer, largeBody   = 32 << 10, 64 << 10
	peerBuffer              = 256 << 10

	// freeTimeout bounds the wait for the reader of a body that was ended; it only has to run.
	freeTimeout = time.Second

	retryAfter = time.Second
)

// Options are the limits of the process. Zero values mean the defaults.
type Options struct {
	Memory int64 // of the machine in bytes; 0 means all that it has
	Files  int   // limit of open descriptors; 0 means that of the process
	// Key returns the API key of a request; it is not checked here. Requests without one are
	// counted by the address of the client.
	Key        func(*http.Request) string
	Grace      time.Duration
	MinRate    int64 // bytes a second
	Log        logr.Logger
	Registerer prometheus.Registerer // nil: the metrics are not registered
}

// Limiter holds the budget of the process. Its listeners share it.
type Limiter struct {
	opts      Options
	metrics   *metrics
	logLimit  rate.Sometimes
	maxPerKey int
	calls     *semaphore.Weighted

	mu         sync.Mutex
	budget     int64 // for bodies in flight
	used       int64
	ending     int64         // part of used of bodies that were ended and are still held
	freed      chan struct{} // closed and replaced when memory is given back
	incomplete map[*body]struct{}
	perKey     map[string]int // incomplete bodies
}

// New returns a Limiter.
func New(o Options) *Limiter {
	if o.Grace <= 0 {
		o.Grace = DefaultGrace
	}
	if o.MinRate <= 0 {
		o.MinRate = DefaultMinRate
	}
	if o.Memory <= 0 {
		o.Memory = machineMemory()
	}
	if o.Files <= 0 {
		o.Files = openFileLimit()
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	l := &Limiter{
		opts: o, logLimit: rate.Sometimes{Interval: time.Second},
		budget: o.Memory / bodyShare, freed: make(chan struct{}), incomplete: map[*body]struct{}{}, perKey: map[string]int{},
	}
	// Half of the connections may have an incomplete body of one caller.
	l.maxPerKey = l.maxConnections(Callers) / 2
	l.calls = semaphore.NewWeighted(int64(max(minConnections, o.Files/callShare)))
	l.metrics = newMetrics(o.Registerer, func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(l.used)
	})
	return l
}

// SetMaxBody raises the budget if it does not hold the largest body that is accepted, up to a
// half of the memory.
func (l *Limiter) SetMaxBody(bytes int64) {
	if l == nil || bytes <= 0 {
		return
	}
	needed := min(l.opts.Memory, bytes) * chargeFactor * reserveShare / (reserveShare - 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget = min(max(l.opts.Memory/bodyShare, needed), l.opts.Memory/maxBodyShare)
}

// BeginCall waits until fewer calls are being served than may open connections of their own. A
// call that has to wait until its context ends fails with kind unavailable. Bodies are read
// before, so that a slow client does not keep others waiting.
func (l *Limiter) BeginCall(ctx context.Context) (end func(), err error) {
	if l == nil {
		return func() {}, nil
	}
	if err := l.calls.Acquire(ctx, 1); err != nil {
		l.metrics.refusedCalls.Inc()
		return nil, errkind.Wrap(err, errkind.Unavailable, "the deadline passed before the call could be served").WithRetryAfter(retryAfter)
	}
	return func() { l.calls.Release(1) }, nil
}

// charge adds bytes of a body that is being read to the budget. If they do not fit, other
// incomplete bodies end, large ones first and of those the ones without progress for longest,
// and it waits until their readers have let go of them. It reports whether the bytes fit and the
// body has not been ended meanwhile; l.mu is held, except while it waits.
func (l *Limiter) charge(b *body, bytes int64) bool {
	var timeout <-chan time.Time
	for b.ended == "" {
		limit := l.budget
		if b.received > smallBody {
			limit -= l.budget / reserveShare
		}
		switch {
		case l.used+bytes <= limit || l.used <= b.charged: // a body alone is always read
			l.hold(b, bytes)
			return true
		case l.used-l.ending+bytes > limit && l.used-l.ending > b.charged:
			victim := l.stalest(b, func(o *body) bool { return o.charged > 0 })
			if victim == nil {
				return false
			}
			victim.end(reasonBudget)
		default:
			if timeout == nil {
				timeout = time.After(freeTimeout)
			}
			freed := l.freed
			l.mu.Unlock()
			expired := false
			select {
			case <-freed:
			case <-timeout:
				expired = true
			}
			l.mu.Lock()
			if expired {
				return false
			}
		}
	}
	return false
}

// hold adds bytes to the charge of a body; l.mu is held.
func (l *Limiter) hold(b *body, bytes int64) {
	l.used += bytes
	b.charged += bytes
}

// release gives the charge of a body back; l.mu is held.
func (l *Limiter) release(b *body) {
	if b.charged == 0 {
		return
	}
	if b.ended != "" {
		l.ending -= b.charged
	}
	l.reduce(b, 0)
}

// reduce lowers the charge of a body; l.mu is held.
func (l *Limiter) reduce(b *body, bytes int64) {
	l.used -= b.charged - bytes
	b.charged = bytes
	close(l.freed)
	l.freed = make(chan struct{})
}

// stalest returns the incomplete body, other than one, that ends first; l.mu is held.
func (l *Limiter) stalest(except *body, eligible func(*body) bool) *body {
	var found *body
	for o := range l.incomplete {
		if o != except && eligible(o) && (found == nil || o.endsBefore(found)) {
			found = o
		}
	}
	return found
}

// register adds an incomplete body. If its key has too many, the stalest of the key ends.
func (l *Limiter) register(b *body) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incomplete[b] = struct{}{}
	l.perKey[b.key]++
	if l.perKey[b.key] > l.maxPerKey {
		if victim := l.stalest(b, func(o *body) bool { return o.key == b.key }); victim != nil {
			victim.end(reasonKey)
		}
	}
}

// remove drops a body from those that are incomplete; l.mu is held.
func (l *Limiter) remove(b *body) {
	if _, ok := l.incomplete[b]; !ok {
		return
	}
	delete(l.incomplete, b)
	if l.perKey[b.key]--; l.perKey[b.key] == 0 {
		delete(l.perKey, b.key)
	}
}

// logEnd logs that a limit has taken effect, at most once a second.
func (l *Limiter) logEnd(reason, remote string) {
	l.logLimit.Do(func() {
		l.opts.Log.Info("client limit reached; further ones of this second are in the metrics",
			"reason", reason, "remote", remote, "bodyBytes", l.used, "bodyBudget", l.budget, "incompleteBodies", len(l.incomplete))
	})
}

// cgroupLimit holds the memory limit of the container, or "max" if there is none.
const cgroupLimit = "/sys/fs/cgroup/memory.max"

// machineMemory returns the memory of the machine, or the limit of the container or of the runtime
// (GOMEMLIMIT) if that is lower.
func machineMemory() int64 {
	total := debug.SetMemoryLimit(-1) // only reads it
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err == nil {
		total = min(total, int64(info.Totalram)*int64(info.Unit)) //nolint:gosec // far below the maximum
	}
	if text, err := os.ReadFile(cgroupLimit); err == nil {
		if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && n > 0 {
			total = min(total, n)
		}
	}
	return total
}

func openFileLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
