package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// relay starts a TCP proxy to an address. After cut is set, it drops all data and
// leaves the connections open.
func relay(t *testing.T, to string) (address string, cut *atomic.Bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cut = new(atomic.Bool)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	pipe := func(from, into net.Conn) {
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			if err != nil {
				_ = into.Close()
				return
			}
			if !cut.Load() {
				_, _ = into.Write(buf[:n])
			}
		}
	}
	wg.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			mu.Lock()
			open = append(open, in, out)
			mu.Unlock()
			wg.Go(func() { pipe(in, out) })
			wg.Go(func() { pipe(out, in) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return l.Addr().String(), cut
}

// TestSilentLink guards against calls that never return when the network drops
// all packets of an open connection and the caller has set no deadline.
func TestSilentLink(t *testing.T) {
	_, address := start(t, Options{Token: token})
	through, cut := relay(t, address)
	a := NewNode(Options{Token: token})
	t.Cleanup(func() { _ = a.Close() })
	if err := a.Call(limited(t), through, "echo", "x", nil); err != nil {
		t.Fatal(err)
	}
	cut.Store(true)
	err := a.Call(context.Background(), through, "echo", "x", nil)
	if !errkind.Is(err, errkind.Unavailable) || !errors.Is(err, ErrAnswerLost) {
		t.Fatalf("call over a cut link: %v", err)
	}
}
