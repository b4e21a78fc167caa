package httplimit

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Class is a kind of listener.
type Class string

// Classes of listeners.
const (
	Callers Class = "callers"
	// Peers is for connections of other VMs. Once they are authenticated and upgraded they
	// leave the limits.
	Peers Class = "peers"
	// Probes is for the readiness probe and the metrics.
	Probes Class = "probes"
)

// Numbers of connections.
const (
	// minConnections are allowed on every listener, whatever the machine has.
	minConnections = 16
	// maxPeerConnections is more than a deployment has VMs; all of them connect to a new owner
	// at once.
	maxPeerConnections = 256
	maxProbes          = 32
	// minBacklog is above the number of other VMs that connect to a new owner at once.
	minBacklog = 128
	// maxPending bounds how many connections are asked for unread bytes before one is closed.
	maxPending = 16
)

// maxConnections returns the number of connections of a class: callers have at most a half of
// the descriptors, since calls to the store and to the workers need others.
func (l *Limiter) maxConnections(c Class) int {
	var n int
	switch c {
	case Callers:
		n = min(int(l.opts.Memory/connectionShare/connectionBytes), l.opts.Files/2)
	case Peers:
		n = min(maxPeerConnections, l.opts.Files/8)
	default:
		n = min(maxProbes, l.opts.Files/16)
	}
	return max(minConnections, n)
}

// Listener accepts connections up to a number. Beyond it, the connection that has been
// incomplete or idle for longest is closed in favour of a new one.
type Listener struct {
	*net.TCPListener
	limiter *Limiter
	class   Class
	max     int

	// Guarded by Limiter.mu.
	conns   map[*conn]struct{}
	closing int // connections that end after a refusal and no longer count
}

// Listen opens a listener of a class.
func (l *Limiter) Listen(address string, class Class) (*Listener, error) {
	config := net.ListenConfig{Control: setBuffers}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp := inner.(*net.TCPListener)
	if err := setBacklog(tcp, max(minBacklog, l.maxConnections(class)/4)); err != nil {
		_ = tcp.Close() // it is not used
		return nil, err
	}
	ln := &Listener{
		TCPListener: tcp, limiter: l, class: class, max: l.maxConnections(class), conns: map[*conn]struct{}{},
	}
	l.metrics.observe(ln)
	return ln, nil
}

// setBuffers bounds the buffers of the connections that a socket accepts, also before that.
func setBuffers(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, readBuffer); err == nil {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, writeBuffer)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// setBacklog bounds the connections that wait to be accepted. The kernel receives data for them,
// and its default is 4,096.
func setBacklog(ln *net.TCPListener, n int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), n) })
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Attach makes a server, which must serve this listener only, apply the limits.
func (ln *Listener) Attach(s *http.Server) {
	s.Handler = ln.limiter.Handler(s.Handler)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) { unwrap(c).changeState(state) }
}

// Accept implements net.Listener.
func (ln *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := ln.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &conn{TCPConn: inner, listener: ln, since: time.Now()}
		if ln.add(c) {
			return c, nil
		}
		_ = inner.Close() // nothing was read
	}
}

// add registers a connection. It reports whether there is room for it.
func (ln *Listener) add(c *conn) bool {
	ln.limiter.mu.Lock()
	defer ln.limiter.mu.Unlock()
	if len(ln.conns) >= ln.max {
		victim, reason := ln.victim(time.Now())
		for range maxPending {
			if victim == nil || !victim.pending() {
				break
			}
			victim.since = time.Now()
			victim, reason = ln.victim(victim.since)
		}
		ln.limiter.metrics.connections.WithLabelValues(string(ln.class), reason).Inc()
		if victim == nil {
			ln.limiter.logEnd(reason, c.RemoteAddr().String())
			return false
		}
		ln.limiter.logEnd(reason, victim.RemoteAddr().String())
		ln.drop(victim)
	}
	ln.conns[c] = struct{}{}
	return true
}

// victim returns the connection that is closed in favour of a new one, or nil if all of them
// serve requests that were read to their end.
func (ln *Listener) victim(now time.Time) (*conn, string) {
	var waiting, writing *conn
	var waitsSince time.Time
	writesSince := now.Add(-slowWrite).UnixNano()
	for c := range ln.conns {
		if w := c.writingSince.Load(); w != 0 && w < writesSince {
			writing, writesSince = c, w
		}
		if since := c.waitingSince(); c.requests == 0 && (waiting == nil || since.Before(waitsSince)) {
			waiting, waitsSince = c, since
		}
	}
	switch {
	case waiting != nil:
		return waiting, reasonStale
	case writing != nil:
		return writing, reasonUnread
	}
	return nil, reasonConnections
}

// drop closes a connection. One whose request body is incomplete is answered first, unless
// many such answers are under way. Either way, what it has sent is not stored.
func (ln *Listener) drop(c *conn) {
	delete(ln.conns, c)
	c.dropped = true
	if c.body != nil {
		if c.body.ended == "" {
			c.body.end(reasonStale)
		}
		if ln.closing < ln.max/8 {
			c.closing = true
			ln.closing++
			return
		}
	}
	if c.writingSince.Load() != 0 {
		_ = c.SetLinger(0) // the kernel drops what the client does not read
	}
	_ = c.Close()
}

type connKey struct{}

// connOf returns the connection of a request, or nil outside a Listener.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

func unwrap(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	inner, _ := c.(*conn)
	return inner
}

// conn is a connection of a Listener. The methods that the server's hooks use do nothing on nil.
type conn struct {
	*net.TCPConn
	listener     *Listener
	writingSince atomic.Int64 // in nanoseconds; 0 if no write is under way
	reading      atomic.Bool  // bytes of the next request have arrived
	hijacked     atomic.Bool

	// Guarded by Limiter.mu.
	requests int       // that were read to their end and are being served
	since    time.Time // when it became idle, or the first bytes of a request arrived
	body     *body     // that is being read with HTTP/1, which has one request at a time
	dropped  bool      // closed in favour of another one
	closing  bool      // counted in Listener.closing
}

// waitingSince returns since when the connection has made no progress.
func (c *conn) waitingSince() time.Time {
	if c.body != nil {
		return c.body.progressAt
	}
	return c.since
}

// pending reports whether an idle connection has bytes that the server has not read yet, which
// may be a whole request of an ordinary caller.
func (c *conn) pending() bool {
	if c.reading.Load() || c.writingSince.Load() != 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) // 0 if it fails
	return err == nil && n > 0
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.reading.CompareAndSwap(false, true) {
		c.listener.limiter.mu.Lock()
		c.since = time.Now()
		c.listener.limiter.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn. It fails if the client does not take the data in time.
func (c *conn) Write(p []byte) (int, error) {
	if c.hijacked.Load() {
		return c.TCPConn.Write(p)
	}
	now := time.Now()
	if err := c.SetWriteDeadline(now.Add(writeTimeout + time.Duration(len(p))*time.Second/writeRate)); err != nil {
		return 0, err
	}
	c.writingSince.Store(now.UnixNano())
	defer c.writingSince.Store(0)
	return c.TCPConn.Write(p)
}

// changeState follows the states of the server.
func (c *conn) changeState(state http.ConnState) {
	if c == nil {
		return
	}
	c.listener.limiter.mu.Lock()
	defer c.listener.limiter.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.requests, c.since = 0, time.Now()
		c.reading.Store(false)
	case http.StateHijacked:
		c.hijacked.Store(true)
		_, _ = c.SetReadBuffer(peerBuffer), c.SetWriteBuffer(peerBuffer) // only slower without
		c.forget()
	case http.StateClosed:
		c.forget()
	}
}

// forget removes the connection from the numbers; Limiter.mu is held.
func (c *conn) forget() {
	delete(c.listener.conns, c)
	if c.closing {
		c.closing = false
		c.listener.closing--
	}
}

// setBody sets the body that is being read; Limiter.mu is held.
func (c *conn) setBody(b *body) {
	if c != nil {
		c.body, c.since = b, time.Now()
	}
}

// resize sets the receive buffer of the connection.
func (c *conn) resize(bytes int) {
	if c != nil {
		_ = c.SetReadBuffer(bytes) // only slower without
	}
}

// bodyRead records that a body was read to its end; Limiter.mu is held.
func (c *conn) bodyRead() {
	if c != nil {
		c.body = nil
		c.requests++
	}
}

// requestRead records that a request without a body was read.
func (c *conn) requestRead() {
	if c != nil {
		c.listener.limiter.mu.Lock()
		defer c.listener.limiter.mu.Unlock()
		c.requests++
	}
}

// requestServed records the end of a handler. With HTTP/1 the response may still be in the
// server's buffer; its connection is idle once that has been written.
func (c *conn) requestServed(r *http.Request) {
	if c != nil && r.ProtoMajor > 1 {
		c.listener.limiter.mu.Lock()
		defer c.listener.limiter.mu.Unlock()
		c.requests = max(0, c.requests-1)
	}
}
