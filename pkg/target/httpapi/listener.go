package httpapi

import (
	"net"
	"sync"
)

// limitListener closes connections beyond a limit immediately, as a worker does.
// The listener of golang.org/x/net/netutil would make them wait instead.
type limitListener struct {
	net.Listener
	limit    int
	onChange func(open int)

	mu   sync.Mutex
	open int
}

// LimitListener returns a listener that serves at most limit connections at a
// time and closes further ones immediately. It calls changed (if not nil) with the
// number of open connections whenever that changes.
func LimitListener(l net.Listener, limit int, changed func(open int)) net.Listener {
	if changed == nil {
		changed = func(int) {}
	}
	return &limitListener{Listener: l, limit: limit, onChange: changed}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.addOpen(1) {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		conn.Close()
	}
}

// addOpen adds n to the number of open connections. It changes nothing and returns
// false if that would exceed the limit.
func (l *limitListener) addOpen(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open+n > l.limit {
		return false
	}
	l.open += n
	l.onChange(l.open)
	return true
}

// countedConn is a connection that counts against the limit until it is closed.
type countedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close closes the connection; only the first call decrements the number of open
// connections.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.addOpen(-1) })
	return c.Conn.Close()
}
