//go:build review

package main

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a link that is narrower, or wider, than the figure that a case claims for it.
func TestLinkHasItsBandwidth(t *testing.T) {
	const mbps, bytes = 10, 2_500_000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Write(make([]byte, bytes)) // the reader checks the length
		_ = c.Close()
	}()
	address, err := serveLink(context.Background(), "127.0.0.1:0", l.Addr().String(), mbps)
	if err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, c)
	took := time.Since(started).Seconds()
	if err != nil || n != bytes || took < 1.95 || took > 2.05 {
		t.Errorf("%d bytes in %.3f s, %v; want %d in 2 s", n, took, err, bytes)
	}
}
