package httpapi

import (
	"net"
	"sync"
)

// limitListener closes connections beyond a limit at once, as a worker does.
// golang.org/x/net/netutil would let them wait instead.
type limitListener struct {
	net.Listener
	limit   int
	changed func(open int)

	mu   sync.Mutex
	open int
}

// LimitListener returns a listener that serves at most limit connections at a
// time and closes further ones at once. It calls changed (if not nil) with the
// number of open connections whenever that changes.
func LimitListener(l net.Listener, limit int, changed func(open int)) net.Listener {
	if changed == nil {
		changed = func(int) {}
	}
	return &limitListener{Listener: l, limit: limit, changed: changed}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.count(1) {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		conn.Close()
	}
}

// count changes the number of open connections unless it would pass the limit.
func (l *limitListener) count(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open+n > l.limit {
		return false
	}
	l.open += n
	l.changed(l.open)
	return true
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close closes the connection; only the first call counts.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.count(-1) })
	return c.Conn.Close()
}
