package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Reasons for which a connection is closed by this side.
var (
	errIdle     = errors.New("connection idle")
	errFlooding = errors.New("peer sends far above the accepted rate")
	errSilent   = errors.New("peer does not answer pings")
)

// conn is one open WebSocket, used in both directions.
type conn struct {
	node *Node
	ws   *websocket.Conn
	peer string

	ctx    context.Context // ends when the connection closes
	cancel context.CancelCauseFunc
	done   chan struct{} // closed when all goroutines of the connection have ended
	out    chan []byte
	accept *rate.Limiter // requests above it are refused
	flood  *rate.Limiter // a peer above it is cut
	slots  chan struct{} // requests in progress
	wg     sync.WaitGroup

	lastRead atomic.Int64 // nanoseconds since start
	lastUse  atomic.Int64
	start    time.Time

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan frame         // own calls
	running map[uint64]context.CancelFunc // calls of the peer
}

func newConn(n *Node, ws *websocket.Conn, peer string) *conn {
	limit := rate.Limit(n.opts.RequestsPerSecond)
	burst := max(1, int(n.opts.RequestsPerSecond))
	c := &conn{
		node: n, ws: ws, peer: peer,
		done:    make(chan struct{}),
		out:     make(chan []byte, sendQueue),
		accept:  rate.NewLimiter(limit, burst),
		flood:   rate.NewLimiter(limit*floodFactor, burst*floodFactor),
		slots:   make(chan struct{}, n.opts.MaxInProgress),
		start:   time.Now(),
		pending: map[uint64]chan frame{},
		running: map[uint64]context.CancelFunc{},
	}
	c.ctx, c.cancel = context.WithCancelCause(n.ctx)
	ws.SetReadLimit(int64(n.opts.MaxFrame))
	return c
}

func (c *conn) closed() bool { return c.ctx.Err() != nil }

func (c *conn) close(cause error) { c.cancel(cause) }

// run serves the connection until it closes and all its handlers have ended.
func (c *conn) run() {
	c.wg.Add(3)
	go func() { defer c.wg.Done(); c.readLoop() }()
	go func() { defer c.wg.Done(); c.writeLoop() }()
	go func() { defer c.wg.Done(); c.watch() }()
	<-c.ctx.Done()
	c.closeSocket()
	c.failPending()
	c.wg.Wait()
	close(c.done)
}

func (c *conn) closeSocket() {
	cause := context.Cause(c.ctx)
	c.node.opts.Log.V(1).Info("peer connection closed", "peer", c.peer, "cause", cause.Error())
	_ = c.ws.CloseNow()
}

func (c *conn) failPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, ch := range c.pending {
		close(ch)
		delete(c.pending, id)
	}
}

func (c *conn) readLoop() {
	for {
		_, data, err := c.ws.Read(c.ctx)
		if err != nil {
			c.close(err)
			return
		}
		c.node.metrics.received.Add(float64(len(data)))
		c.touch(&c.lastRead)
		var f frame
		if err := cbor.Unmarshal(data, &f); err != nil {
			c.close(err)
			return
		}
		if !c.dispatch(f) {
			return
		}
	}
}

// dispatch handles one frame; it is false once the connection is closed.
func (c *conn) dispatch(f frame) bool {
	switch f.Type {
	case frameRequest:
		return c.request(f)
	case frameAnswer:
		c.answer(f)
	case frameCancel:
		c.mu.Lock()
		if cancel := c.running[f.ID]; cancel != nil {
			cancel()
		}
		c.mu.Unlock()
	}
	return true
}

func (c *conn) answer(f frame) {
	c.mu.Lock()
	ch := c.pending[f.ID]
	delete(c.pending, f.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}

// request starts the handler of a request, or refuses it above the limits.
func (c *conn) request(f frame) bool {
	c.touch(&c.lastUse)
	if !c.flood.Allow() {
		c.close(errFlooding)
		return false
	}
	if !c.accept.Allow() {
		c.refuse(f.ID, "too many requests per second")
		return true
	}
	select {
	case c.slots <- struct{}{}:
	default:
		c.refuse(f.ID, "too many requests in progress")
		return true
	}
	ctx, cancel := c.requestContext(f)
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer func() { <-c.slots }()
		defer c.finish(f.ID, cancel)
		body, err := c.node.serve(ctx, f.Method, f.Body)
		c.reply(f.ID, body, err)
	}()
	return true
}

func (c *conn) requestContext(f frame) (context.Context, context.CancelFunc) {
	var ctx context.Context
	var cancel context.CancelFunc
	if f.Timeout > 0 {
		ctx, cancel = context.WithTimeout(c.ctx, f.Timeout)
	} else {
		ctx, cancel = context.WithCancel(c.ctx)
	}
	c.mu.Lock()
	c.running[f.ID] = cancel
	c.mu.Unlock()
	return ctx, cancel
}

func (c *conn) finish(id uint64, cancel context.CancelFunc) {
	c.mu.Lock()
	delete(c.running, id)
	c.mu.Unlock()
	cancel()
}

// refuse answers overloaded if there is room to send; the reader must not wait
// for a peer that sends without reading.
func (c *conn) refuse(id uint64, reason string) {
	c.node.metrics.requests.WithLabelValues(string(errkind.Overloaded)).Inc()
	f := frame{ID: id, Type: frameAnswer, Error: toWire(errkind.New(errkind.Overloaded, "%s", reason).WithRetryAfter(time.Second))}
	data, err := cbor.Marshal(f)
	if err != nil {
		return
	}
	select {
	case c.out <- data:
	default:
	}
}

func (c *conn) reply(id uint64, body []byte, err error) {
	f := frame{ID: id, Type: frameAnswer, Body: body}
	outcome := "ok"
	if err != nil {
		f.Body, f.Error = nil, toWire(err)
		outcome = string(f.Error.Kind)
	}
	data, err := c.encodeFrame(f)
	if err != nil {
		outcome = string(errkind.Of(err))
		data, _ = cbor.Marshal(frame{ID: id, Type: frameAnswer, Error: toWire(err)})
	}
	c.node.metrics.requests.WithLabelValues(outcome).Inc()
	select {
	case c.out <- data:
	case <-c.ctx.Done():
	}
}

func (c *conn) encodeFrame(f frame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "frame cannot be encoded")
	}
	if len(data) > c.node.opts.MaxFrame {
		return nil, errkind.New(errkind.TooLarge, "message of %d bytes exceeds the limit of %d bytes between VMs", len(data), c.node.opts.MaxFrame)
	}
	return data, nil
}

func (c *conn) writeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case data := <-c.out:
			ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
			err := c.ws.Write(ctx, websocket.MessageBinary, data)
			cancel()
			if err != nil {
				c.close(err)
				return
			}
			c.node.metrics.sent.Add(float64(len(data)))
		}
	}
}

func (c *conn) touch(at *atomic.Int64) { at.Store(int64(time.Since(c.start))) }

func (c *conn) since(at *atomic.Int64) time.Duration {
	return time.Since(c.start) - time.Duration(at.Load())
}

// watch pings a silent peer with open calls and closes an idle connection.
func (c *conn) watch() {
	ticker := time.NewTicker(probeAfter)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		open, serving := len(c.pending), len(c.running)
		c.mu.Unlock()
		if open == 0 && serving == 0 && c.since(&c.lastUse) > idleTimeout {
			c.close(errIdle)
			return
		}
		if open > 0 && c.since(&c.lastRead) > probeAfter && !c.probe() {
			c.close(errSilent)
			return
		}
	}
}

func (c *conn) probe() bool {
	ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
	defer cancel()
	if c.ws.Ping(ctx) != nil {
		return false
	}
	c.touch(&c.lastRead)
	return true
}
