//go:build review

package main

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is how much a link forwards at a time; all connections over it take turns.
	chunkBytes = 4 << 10
	// maxLag is how far a link may be behind, so that sleeps which end late don't narrow it.
	maxLag = 20 * time.Millisecond
)

// direction is one direction of a machine's link, shared by all connections over it.
type direction struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time // when the link has sent all that it has taken
}

// send waits until the link has sent n bytes.
func (l *direction) send(n int) {
	l.mu.Lock()
	if earliest := time.Now().Add(-maxLag); l.free.Before(earliest) {
		l.free = earliest
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// serveLink forwards connections to a target with the bandwidth of a machine's link, in each
// direction, and returns the address at which the machine reaches the target.
func serveLink(ctx context.Context, address, target string, mbps int) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	rate := float64(mbps) * 1e6 / 8
	down, up := &direction{bytesPerSecond: rate}, &direction{bytesPerSecond: rate}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go forward(out, in, up)
			go forward(in, out, down)
		}
	}()
	return l.Addr().String(), nil
}

// forward copies from one connection to another over a direction of a link.
func forward(to, from net.Conn, over *direction) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			over.send(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
