// Package testnet serves HTTP over in-memory connections, so that a client
// and a server run inside one testing/synctest bubble. Connections of the
// kernel would keep the time of the bubble from advancing.
package testnet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
)

// Listener is a net.Listener whose connections are pairs of net.Pipe.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Serve serves the handler until the test ends.
func Serve(t *testing.T, handler http.Handler) *Listener {
	l := &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return l
}

// DialContext connects to the listener, whatever the address; once it is
// closed, it returns syscall.ECONNREFUSED.
func (l *Listener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the server's end of the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address without meaning.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "testnet"} }
