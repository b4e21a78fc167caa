package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// link is the connection to one address, dialed when it is needed. Both VMs of
// a pair use the connection that was made first.
type link struct {
	node    *Node
	address string

	mu       sync.Mutex
	conn     *conn
	dialing  chan struct{} // closed when the dial in progress has ended
	lastErr  error
	nextDial time.Time
	backoff  *backoff.ExponentialBackOff
}

func (n *Node) link(address string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[address]
	if l == nil {
		b := backoff.NewExponentialBackOff()
		b.InitialInterval, b.MaxInterval = minBackoff, maxBackoff
		l = &link{node: n, address: address, backoff: b}
		n.links[address] = l
	}
	return l
}

// adopt uses a connection that the peer has opened, unless one is open already.
func (l *link) adopt(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.closed() {
		l.setConn(c)
	}
}

func (l *link) setConn(c *conn) {
	l.conn, l.lastErr = c, nil
	l.nextDial = time.Time{}
	l.backoff.Reset()
}

// get returns the open connection, or dials. Between two failed dials it fails
// at once, so that callers of an unreachable peer do not wait.
func (l *link) get(ctx context.Context) (*conn, error) {
	l.mu.Lock()
	if l.conn != nil && !l.conn.closed() {
		defer l.mu.Unlock()
		return l.conn, nil
	}
	if wait := time.Until(l.nextDial); l.dialing == nil && wait > 0 {
		defer l.mu.Unlock()
		return nil, errkind.Wrap(l.lastErr, errkind.Unavailable, "peer %s cannot be reached", l.address).WithRetryAfter(wait)
	}
	if l.dialing == nil && !l.startDial() {
		l.mu.Unlock()
		return nil, errkind.New(errkind.Unavailable, "this VM is shutting down")
	}
	dialing := l.dialing
	l.mu.Unlock()
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.Unavailable, "peer %s: no connection yet", l.address)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.closed() {
		return nil, errkind.Wrap(l.lastErr, errkind.Unavailable, "peer %s cannot be reached", l.address)
	}
	return l.conn, nil
}

// startDial begins one dial for all callers; it is false after Close.
func (l *link) startDial() bool {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Add(1)
	l.dialing = make(chan struct{})
	own := n.address
	go func() {
		defer n.wg.Done()
		l.dial(own)
	}()
	return true
}

func (l *link) dial(own string) {
	ctx, cancel := context.WithTimeout(l.node.ctx, dialTimeout)
	defer cancel()
	c, err := l.handshake(ctx, own)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		l.lastErr = err
		l.nextDial = time.Now().Add(l.backoff.NextBackOff())
		return
	}
	l.setConn(c)
}

func (l *link) handshake(ctx context.Context, own string) (*conn, error) {
	n := l.node
	scheme := "ws"
	if n.opts.TLS != nil {
		scheme = "wss"
	}
	header := http.Header{}
	if n.opts.Token != "" {
		header.Set(authHeader, bearerPrefix+n.opts.Token)
	}
	if own != "" {
		header.Set(addressHeader, own)
	}
	//nolint:bodyclose // Dial closes the body of the handshake itself.
	ws, _, err := websocket.Dial(ctx, scheme+"://"+l.address+Path, &websocket.DialOptions{
		HTTPClient: n.client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, err
	}
	c := n.start(ws, l.address)
	if c == nil {
		return nil, errNodeClosed
	}
	return c, nil
}
