//go:build review

package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"
)

// gate forwards the connections of one machine to the store. While it is held, nothing passes
// either way, as in a partition; what was sent arrives once it has healed.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// hold closes the gate for a time.
func (g *gate) hold(d time.Duration) {
	opened := make(chan struct{})
	g.mu.Lock()
	g.open = opened
	g.mu.Unlock()
	time.AfterFunc(d, func() { close(opened) })
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// serveGate forwards connections to a target through a gate.
func serveGate(ctx context.Context, address, target string, g *gate) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: l.Addr().(*net.TCPAddr).IP}} // tells the store who calls
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := dialer.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go g.forward(out, in)
			go g.forward(in, out)
		}
	}()
	return l.Addr().String(), nil
}

func (g *gate) forward(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		g.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// slowHandler carries calls out at once and answers them later by a delay.
type slowHandler struct {
	next  http.Handler
	delay atomic.Int64 // in nanoseconds
	seen  atomic.Pointer[func(r *http.Request, status int)]
}

// setSeen sets a function that is told of each call once it was carried out.
func (h *slowHandler) setSeen(f func(r *http.Request, status int)) { h.seen.Store(&f) }

// switchHandler is a handler that a case may replace.
type switchHandler struct{ current atomic.Pointer[http.Handler] }

func (h *switchHandler) set(next http.Handler) { h.current.Store(&next) }

// ServeHTTP implements http.Handler.
func (h *switchHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*h.current.Load()).ServeHTTP(w, r)
}

// ServeHTTP implements http.Handler.
func (h *slowHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	seen := h.seen.Load()
	if h.delay.Load() == 0 && seen == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	h.next.ServeHTTP(answer, r)
	if seen != nil {
		(*seen)(r, answer.Code)
	}
	time.Sleep(time.Duration(h.delay.Load()))
	for k, v := range answer.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // the caller may have left
}
