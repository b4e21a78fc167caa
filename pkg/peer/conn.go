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

// Causes for which this VM closes a connection.
var (
	errIdle        = errors.New("connection idle")
	errFlooding    = errors.New("peer far exceeds the accepted request rate")
	errPingTimeout = errors.New("peer did not answer a ping in time")
	errReplaced    = errors.New("connection replaced by a new one")
)

// conn is an open WebSocket connection. Both VMs send requests on it.
type conn struct {
	node *Node
	ws   *websocket.Conn
	peer string

	ctx            context.Context // done once the connection is closed
	cancel         context.CancelCauseFunc
	done           chan struct{} // closed after all goroutines of the connection have returned
	sendQueue      chan []byte
	requestLimiter *rate.Limiter // excess requests are answered with overloaded
	floodLimiter   *rate.Limiter // excess requests close the connection
	inProgress     chan struct{} // semaphore of the running handlers
	wg             sync.WaitGroup

	// Nanoseconds from start to the last frame or pong, or to the first pending call
	// if that is later, and to the last request in either direction.
	lastRead    atomic.Int64
	lastRequest atomic.Int64
	lastFrame   atomic.Int64 // nanoseconds from start to the last frame or pong
	start       time.Time
	replaced    atomic.Bool // the link has another connection

	mu             sync.Mutex
	nextID         uint64
	pending        map[uint64]chan frame         // calls to the peer, by ID
	handlerCancels map[uint64]context.CancelFunc // cancel the handlers of requests from the peer, by ID
}

func newConn(n *Node, ws *websocket.Conn, peer string) *conn {
	limit := rate.Limit(n.opts.RequestsPerSecond)
	burst := max(1, int(n.opts.RequestsPerSecond))
	c := &conn{
		node: n, ws: ws, peer: peer,
		done:           make(chan struct{}),
		sendQueue:      make(chan []byte, sendQueueFrames),
		requestLimiter: rate.NewLimiter(limit, burst),
		floodLimiter:   rate.NewLimiter(limit*floodFactor, burst*floodFactor),
		inProgress:     make(chan struct{}, n.opts.MaxInProgress),
		start:          time.Now(),
		pending:        map[uint64]chan frame{},
		handlerCancels: map[uint64]context.CancelFunc{},
	}
	c.ctx, c.cancel = context.WithCancelCause(n.ctx)
	ws.SetReadLimit(int64(n.opts.MaxFrame))
	return c
}

func (c *conn) closed() bool { return c.ctx.Err() != nil }

func (c *conn) close(cause error) { c.cancel(cause) }

// run serves the connection until it is closed and all its handlers have
// returned.
func (c *conn) run() {
	c.wg.Add(3)
	go func() { defer c.wg.Done(); c.readLoop() }()
	go func() { defer c.wg.Done(); c.writeLoop() }()
	go func() { defer c.wg.Done(); c.monitor() }()
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

// failPending closes the channels of the pending calls, which then return
// ErrAnswerLost.
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
		c.touch(&c.lastFrame)
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

// dispatch handles one frame. It returns false if it closed the connection.
func (c *conn) dispatch(f frame) bool {
	switch f.Type {
	case frameRequest:
		return c.handleRequest(f)
	case frameAnswer:
		c.handleAnswer(f)
	case frameCancel:
		c.mu.Lock()
		if cancel := c.handlerCancels[f.ID]; cancel != nil {
			cancel()
		}
		c.mu.Unlock()
	}
	return true
}

func (c *conn) handleAnswer(f frame) {
	c.mu.Lock()
	ch := c.pending[f.ID]
	delete(c.pending, f.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- f
	}
}

// handleRequest starts the handler of a request, or rejects the request if it
// exceeds a limit. It returns false if it closed the connection.
func (c *conn) handleRequest(f frame) bool {
	c.touch(&c.lastRequest)
	if !c.floodLimiter.Allow() {
		c.close(errFlooding)
		return false
	}
	if !c.requestLimiter.Allow() {
		c.rejectOverloaded(f.ID, "too many requests per second")
		return true
	}
	select {
	case c.inProgress <- struct{}{}:
	default:
		c.rejectOverloaded(f.ID, "too many requests in progress")
		return true
	}
	ctx, cancel := c.requestContext(f)
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		defer func() { <-c.inProgress }()
		defer c.finishRequest(f.ID, cancel)
		body, err := c.node.runHandler(ctx, f.Method, f.Body)
		c.reply(f.ID, body, err)
	}()
	return true
}

// requestContext returns the context of a handler, with the deadline of the
// caller, and stores its cancel function for a cancel frame.
func (c *conn) requestContext(f frame) (context.Context, context.CancelFunc) {
	var ctx context.Context
	var cancel context.CancelFunc
	if f.Timeout > 0 {
		ctx, cancel = context.WithTimeout(c.ctx, f.Timeout)
	} else {
		ctx, cancel = context.WithCancel(c.ctx)
	}
	c.mu.Lock()
	c.handlerCancels[f.ID] = cancel
	c.mu.Unlock()
	return ctx, cancel
}

func (c *conn) finishRequest(id uint64, cancel context.CancelFunc) {
	c.mu.Lock()
	delete(c.handlerCancels, id)
	c.mu.Unlock()
	cancel()
}

// rejectOverloaded answers a request with overloaded. If the send queue is full,
// the answer is dropped: the read loop must not block on a peer that sends
// requests and doesn't read the answers.
func (c *conn) rejectOverloaded(id uint64, reason string) {
	c.node.metrics.requests.WithLabelValues(string(errkind.Overloaded)).Inc()
	f := frame{ID: id, Type: frameAnswer, Error: toWireError(errkind.New(errkind.Overloaded, "%s", reason).WithRetryAfter(time.Second))}
	data, err := cbor.Marshal(f)
	if err != nil {
		return
	}
	select {
	case c.sendQueue <- data:
	default:
	}
}

func (c *conn) reply(id uint64, body []byte, err error) {
	f := frame{ID: id, Type: frameAnswer, Body: body}
	outcome := "ok"
	if err != nil {
		f.Body, f.Error = nil, toWireError(err)
		outcome = string(f.Error.Kind)
	}
	data, err := c.encodeFrame(f)
	if err != nil {
		outcome = string(errkind.Of(err))
		data, _ = cbor.Marshal(frame{ID: id, Type: frameAnswer, Error: toWireError(err)})
	}
	c.node.metrics.requests.WithLabelValues(outcome).Inc()
	select {
	case c.sendQueue <- data:
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
		case data := <-c.sendQueue:
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

// touch sets a time of last activity to now.
func (c *conn) touch(at *atomic.Int64) { at.Store(int64(time.Since(c.start))) }

// since returns the time elapsed since the last touch of at.
func (c *conn) since(at *atomic.Int64) time.Duration {
	return time.Since(c.start) - time.Duration(at.Load())
}

// monitor closes an idle connection, and one that was replaced once nothing uses it. While calls are pending and no frame
// arrives, it pings the peer, and closes the connection if no pong arrives.
func (c *conn) monitor() {
	ticker := time.NewTicker(readIdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		open, serving := len(c.pending), len(c.handlerCancels)
		c.mu.Unlock()
		switch {
		case open > 0 || serving > 0:
		case c.since(&c.lastRequest) > idleTimeout:
			c.close(errIdle)
			return
		case c.replaced.Load():
			c.close(errReplaced)
			return
		}
		if open > 0 && c.since(&c.lastRead) > readIdleTimeout && !c.ping() {
			c.close(errPingTimeout)
			return
		}
	}
}

// ping reports whether the peer answered a ping within pingTimeout.
func (c *conn) ping() bool {
	ctx, cancel := context.WithTimeout(c.ctx, pingTimeout)
	defer cancel()
	if c.ws.Ping(ctx) != nil {
		return false
	}
	c.touch(&c.lastRead)
	c.touch(&c.lastFrame)
	return true
}
