package httplimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// body is a request body that is charged to the budget while it is read. Its fields below the
// line are guarded by Limiter.mu.
type body struct {
	io.ReadCloser
	limiter   *Limiter
	conn      *conn // nil outside a Listener
	w         http.ResponseWriter
	deadlines *http.ResponseController
	remote    string
	key       string
	startedAt time.Time

	received   int64
	counted    int64 // of received, at progressAt
	charged    int64
	progressAt time.Time
	complete   bool
	ended      string // the reason if the limiter has ended it
}

// Handler returns a handler that applies the limits of bodies to the requests of another one.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if r.Body == nil || r.Body == http.NoBody {
			c.requestRead()
			next.ServeHTTP(w, r)
			c.requestServed(r)
			return
		}
		b := l.newBody(c, w, r)
		defer b.finish(r)
		limited := *r // the server goes on to use its own body of r
		limited.Body = b
		next.ServeHTTP(w, &limited)
	})
}

func (l *Limiter) newBody(c *conn, w http.ResponseWriter, r *http.Request) *body {
	now := time.Now()
	b := &body{
		ReadCloser: r.Body, limiter: l, conn: c, w: w, deadlines: http.NewResponseController(w), remote: r.RemoteAddr, key: l.keyOf(r),
		startedAt: now, progressAt: now,
	}
	l.register(b)
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.ProtoMajor == 1 {
		c.setBody(b)
	}
	if c != nil && c.dropped && b.ended == "" {
		b.end(reasonStale) // its bytes may have been read already
	}
	if b.ended == "" {
		// It also bounds the time in which the server discards what the handler has not read.
		_ = b.deadlines.SetReadDeadline(b.deadline()) // a writer without deadlines has no connection
	}
	return b
}

// keyOf returns what the incomplete bodies of a caller are counted by.
func (l *Limiter) keyOf(r *http.Request) string {
	if l.opts.Key != nil {
		if key := l.opts.Key(r); key != "" {
			return "key " + key
		}
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// deadline is the time by which the next bytes have to arrive.
func (b *body) deadline() time.Time {
	needed := float64(b.received) / float64(b.limiter.opts.MinRate) * float64(time.Second)
	return b.startedAt.Add(b.limiter.opts.Grace + time.Duration(needed))
}

// Read implements io.Reader. It fails with kind unavailable once the limiter has ended the body.
func (b *body) Read(p []byte) (int, error) {
	if err := b.beforeRead(); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	return b.afterRead(n, err)
}

func (b *body) beforeRead() error {
	b.limiter.mu.Lock()
	defer b.limiter.mu.Unlock()
	if b.ended != "" {
		return b.refusal()
	}
	if !b.complete {
		_ = b.deadlines.SetReadDeadline(b.deadline()) // a writer without deadlines has no connection
	}
	return nil
}

func (b *body) afterRead(n int, err error) (int, error) {
	l := b.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.ended == "" && !b.complete {
		b.record(n, err)
	}
	if b.ended != "" {
		return 0, b.refusal()
	}
	return n, err
}

// record counts what a read has returned; Limiter.mu is held.
func (b *body) record(n int, err error) {
	b.received += int64(n)
	if b.received > largeBody && b.received-int64(n) <= largeBody {
		b.conn.resize(bodyBuffer)
	}
	if b.received-b.counted >= progressBytes {
		b.counted, b.progressAt = b.received, time.Now()
	}
	bytes := chargeFactor * int64(n)
	switch {
	case errors.Is(err, io.EOF):
		b.limiter.reduce(b, b.received) // even beyond the budget, since the request is whole
		b.complete = true
		b.limiter.remove(b)
		b.conn.bodyRead()
		_ = b.deadlines.SetReadDeadline(time.Time{}) // the deadline would cancel the request's context
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.end(reasonSlow)
	case !b.limiter.charge(b, bytes) && b.ended == "":
		b.end(reasonBudget)
	}
}

// end ends an incomplete body: reads fail, and the server closes the connection after its
// response. Limiter.mu is held.
func (b *body) end(reason string) {
	b.ended = reason
	b.limiter.remove(b)
	b.limiter.ending += b.charged
	b.limiter.metrics.bodies.WithLabelValues(reason).Inc()
	b.limiter.logEnd(reason, b.remote)
	_ = b.deadlines.SetReadDeadline(time.Unix(1, 0)) // a writer without deadlines has no connection
}

// refusal returns the error of a body that was ended, whose reader drops it now. The request was
// not read to its end, so nothing of it is stored. Limiter.mu is held.
func (b *body) refusal() error {
	b.limiter.release(b)
	b.w.Header().Set("Connection", "close")
	text := "the memory for request bodies is used up"
	if b.ended == reasonSlow {
		text = "the request body arrives too slowly"
	}
	return errkind.New(errkind.Unavailable, "%s", text).WithRetryAfter(retryAfter)
}

// endsBefore orders bodies by which of them ends first.
func (b *body) endsBefore(o *body) bool {
	if large := b.received > smallBody; large != (o.received > smallBody) {
		return large
	}
	return b.progressAt.Before(o.progressAt)
}

// finish gives the charge back after the request has been served.
func (b *body) finish(r *http.Request) {
	l := b.limiter
	l.mu.Lock()
	l.release(b)
	l.remove(b)
	complete := b.complete
	if complete && b.received > largeBody {
		b.conn.resize(readBuffer)
	}
	if r.ProtoMajor == 1 {
		b.conn.setBody(nil)
	}
	l.mu.Unlock()
	if complete {
		b.conn.requestServed(r)
	}
}
