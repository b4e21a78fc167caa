package peer

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/coder/websocket"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Path is the URL path of the WebSocket endpoint.
const Path = "/peer"

// Node manages all connections of this VM to other VMs, inbound and outbound. It
// implements Caller and Registry.
type Node struct {
	opts    Options
	metrics *metrics
	client  *http.Client

	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.RWMutex
	closed   bool
	address  string
	handlers map[string]HandlerFunc
	links    map[string]*link
	conns    map[*conn]struct{}
}

// NewNode returns a Node. The caller must close it.
func NewNode(opts Options) *Node {
	opts = opts.withDefaults()
	transport := &http.Transport{DisableKeepAlives: true}
	if opts.TLS != nil {
		transport.TLSClientConfig = opts.TLS.Clone()
	}
	n := &Node{
		opts:     opts,
		metrics:  newMetrics(opts.Registerer),
		client:   &http.Client{Transport: transport},
		address:  opts.Address,
		handlers: map[string]HandlerFunc{},
		links:    map[string]*link{},
		conns:    map[*conn]struct{}{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// SetAddress replaces Options.Address, for a listener whose port was chosen by
// the kernel. It must be called before the first Call.
func (n *Node) SetAddress(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.address = address
}

// Handle registers the handler of a method and replaces an earlier one.
func (n *Node) Handle(method string, h HandlerFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// Handler returns the HTTP handler of the WebSocket endpoint. A peer without a
// valid token or client certificate gets status 401.
func (n *Node) Handler() http.Handler {
	return http.HandlerFunc(n.accept)
}

// accept authenticates a peer, upgrades its request to a WebSocket and returns
// when the connection is closed.
func (n *Node) accept(w http.ResponseWriter, r *http.Request) {
	if !n.authenticated(r) {
		n.opts.Log.Info("peer connection rejected: no valid token or client certificate", "remote", r.RemoteAddr)
		http.Error(w, string(errkind.Unauthenticated), http.StatusUnauthorized)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		n.opts.Log.V(1).Info("WebSocket handshake failed", "remote", r.RemoteAddr, "error", err.Error())
		return
	}
	address := r.Header.Get(addressHeader)
	c := n.addConn(ws, address)
	if c == nil {
		return
	}
	if address != "" {
		// The handler of the first request may call back, so the link has to know the
		// connection before it is read from.
		n.link(address).adopt(c)
	}
	n.startConn(c)
	<-c.done
}

// addConn registers a connection, which the caller must start. It returns nil if the
// node is closed.
func (n *Node) addConn(ws *websocket.Conn, peer string) *conn {
	c := newConn(n, ws, peer)
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		_ = ws.CloseNow()
		return nil
	}
	n.conns[c] = struct{}{}
	n.wg.Add(1)
	n.mu.Unlock()
	return c
}

// startConn starts the goroutines of a connection.
func (n *Node) startConn(c *conn) {
	n.metrics.connections.Inc()
	go func() {
		defer n.wg.Done()
		c.run()
		n.metrics.connections.Dec()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
}

// Connected returns the addresses of the peers with an open connection, in
// unspecified order.
func (n *Node) Connected() []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	seen := map[string]bool{}
	var addresses []string
	for c := range n.conns {
		if c.peer != "" && !seen[c.peer] {
			seen[c.peer] = true
			addresses = append(addresses, c.peer)
		}
	}
	return addresses
}

// Call implements Caller. A call to this VM's own address runs the handler
// directly.
func (n *Node) Call(ctx context.Context, address, method string, req, resp any) error {
	body, err := encode(req)
	if err != nil {
		return err
	}
	n.mu.RLock()
	self, closed := address == n.address, n.closed
	n.mu.RUnlock()
	if closed {
		return errkind.New(errkind.Unavailable, "this VM is shutting down")
	}
	var answer []byte
	if self {
		answer, err = n.runHandler(ctx, method, body)
	} else {
		answer, err = n.callRemote(ctx, address, method, body)
	}
	if err != nil {
		return err
	}
	return decode(answer, resp)
}

func (n *Node) callRemote(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	c, err := n.link(address).getConn(ctx)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, method, body)
}

// runHandler runs the handler of a method and encodes its answer. A panic of the
// handler becomes an internal error.
func (n *Node) runHandler(ctx context.Context, method string, body []byte) (answer []byte, err error) {
	n.mu.RLock()
	h := n.handlers[method]
	n.mu.RUnlock()
	if h == nil {
		return nil, errkind.New(errkind.NotFound, "method %q is not known", method)
	}
	defer func() {
		if r := recover(); r != nil {
			n.opts.Log.Error(errkind.New(errkind.Internal, "%v", r), "handler panicked", "method", method)
			err = errkind.New(errkind.Internal, "handler of %q failed", method)
		}
	}()
	out, err := h(ctx, func(v any) error { return decode(body, v) })
	if err != nil {
		return nil, err
	}
	return encode(out)
}

// Close closes all connections and waits for their goroutines and handlers.
// Pending calls return an error of kind unavailable.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	conns := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	n.cancel()
	for _, c := range conns {
		c.close(errNodeClosed)
	}
	n.wg.Wait()
	n.client.CloseIdleConnections()
	return nil
}

var errNodeClosed = errors.New("node closed")
