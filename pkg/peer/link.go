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

// link manages the connection to one peer address. The connection is dialed on
// demand; both VMs of a pair use the connection that was established first.
type link struct {
	node    *Node
	address string

	mu       sync.Mutex
	conn     *conn
	dialDone chan struct{} // closed when the dial in progress ends; nil if there is none
	lastErr  error
	nextDial time.Time
	backoff  *backoff.ExponentialBackOff

	replacedAt time.Time // when the latest replacement began
}

// link returns the link to an address, and creates it if it is missing.
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

// adopt uses a connection dialed by the peer, unless the link already has an open
// connection.
func (l *link) adopt(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.conn.closed() {
		l.setConn(c)
	}
}

func (l *link) setConn(c *conn) {
	if l.conn != nil {
		l.conn.replaced.Store(true)
	}
	l.conn, l.lastErr = c, nil
	l.nextDial = time.Time{}
	l.backoff.Reset()
}

// getConn returns the open connection, or dials one. During the backoff after a
// failed dial it returns an error at once, so that callers of an unreachable peer
// don't wait.
func (l *link) getConn(ctx context.Context) (*conn, error) {
	l.mu.Lock()
	if l.conn != nil && !l.conn.closed() {
		defer l.mu.Unlock()
		return l.conn, nil
	}
	if wait := time.Until(l.nextDial); l.dialDone == nil && wait > 0 {
		defer l.mu.Unlock()
		return nil, errkind.Wrap(l.lastErr, errkind.Unavailable, "peer %s cannot be reached", l.address).WithRetryAfter(wait)
	}
	if l.dialDone == nil && !l.startDial() {
		l.mu.Unlock()
		return nil, errkind.New(errkind.Unavailable, "this VM is shutting down")
	}
	dialDone := l.dialDone
	l.mu.Unlock()
	select {
	case <-dialDone:
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

// replace dials a new connection if c is the one in use, which stays in use until then: it
// may only be slow.
func (l *link) replace(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != c || l.dialDone != nil || time.Since(l.replacedAt) < minReplaceInterval {
		return
	}
	l.replacedAt = time.Now()
	l.startDial()
}

// startDial starts a dial that all concurrent callers wait for. It returns false
// if the node is closed.
func (l *link) startDial() bool {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Add(1)
	l.dialDone = make(chan struct{})
	ownAddress := n.address
	go func() {
		defer n.wg.Done()
		l.dial(ownAddress)
	}()
	return true
}

func (l *link) dial(ownAddress string) {
	ctx, cancel := context.WithTimeout(l.node.ctx, dialTimeout)
	defer cancel()
	c, err := l.handshake(ctx, ownAddress)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialDone)
	l.dialDone = nil
	if err != nil {
		l.lastErr = err
		l.nextDial = time.Now().Add(l.backoff.NextBackOff())
		return
	}
	l.setConn(c)
}

// handshake dials the peer, authenticates and starts the connection.
func (l *link) handshake(ctx context.Context, ownAddress string) (*conn, error) {
	n := l.node
	scheme := "ws"
	if n.opts.TLS != nil {
		scheme = "wss"
	}
	header := http.Header{}
	if n.opts.Token != "" {
		header.Set(authHeader, bearerPrefix+n.opts.Token)
	}
	if ownAddress != "" {
		header.Set(addressHeader, ownAddress)
	}
	//nolint:bodyclose // Dial closes the response body itself.
	ws, _, err := websocket.Dial(ctx, scheme+"://"+l.address+Path, &websocket.DialOptions{
		HTTPClient: n.client, HTTPHeader: header, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, err
	}
	c := n.addConn(ws, l.address)
	if c == nil {
		return nil, errNodeClosed
	}
	n.startConn(c)
	return c, nil
}
