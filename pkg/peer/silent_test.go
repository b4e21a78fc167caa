package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// relay starts a TCP proxy to an address. After silence, it drops all data of the
// connections that are open, and leaves them open; new ones work.
func relay(t *testing.T, to string) (address string, silence func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var silences atomic.Int64
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	pipe := func(from, into net.Conn, opened int64) {
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			if err != nil {
				_ = into.Close()
				return
			}
			if silences.Load() == opened {
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
			opened := silences.Load()
			wg.Go(func() { pipe(in, out, opened) })
			wg.Go(func() { pipe(out, in, opened) })
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
	return l.Addr().String(), func() { silences.Add(1) }
}

// TestSilentLink guards against calls that never return when the network drops
// all packets of an open connection and the caller has set no deadline.
func TestSilentLink(t *testing.T) {
	_, address := start(t, Options{Token: token})
	through, silence := relay(t, address)
	a := NewNode(Options{Token: token})
	t.Cleanup(func() { _ = a.Close() })
	if err := a.Call(limited(t), through, "echo", "x", nil); err != nil {
		t.Fatal(err)
	}
	silence()
	err := a.Call(context.Background(), through, "echo", "x", nil)
	if !errkind.Is(err, errkind.Unavailable) || !errors.Is(err, ErrAnswerLost) {
		t.Fatalf("call over a cut link: %v", err)
	}
}

// TestShortCallsDoNotKeepASilentConnection guards against calls that go on using a
// connection that has gone silent, as none of them waits long enough for the silence to be
// noticed, while a new connection would work.
func TestShortCallsDoNotKeepASilentConnection(t *testing.T) {
	_, address := start(t, Options{Token: token})
	through, silence := relay(t, address)
	a := NewNode(Options{Token: token})
	t.Cleanup(func() { _ = a.Close() })
	if err := a.Call(limited(t), through, "echo", "x", nil); err != nil {
		t.Fatal(err)
	}
	silence()
	const attempts = 5 // of shortCallTimeout each
	for range attempts {
		ctx, cancel := context.WithTimeout(context.Background(), shortCallTimeout)
		err := a.Call(ctx, through, "echo", "x", nil)
		cancel()
		if err == nil {
			return
		}
	}
	t.Errorf("%d calls of %v each were not answered over a connection that is silent", attempts, shortCallTimeout)
}

// shortCallTimeout is that of the calls of an entry VM to the owner of the fleet.
const shortCallTimeout = 400 * time.Millisecond

// TestReplacedConnectionEndsItsCalls guards against ending the calls over a connection that
// is only slow when later calls use a new one.
func TestReplacedConnectionEndsItsCalls(t *testing.T) {
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	b, address := start(t, Options{Token: token})
	t.Cleanup(release)
	// It does not answer at the deadline of the call: a frame that arrives just before the
	// caller's own deadline shows that the connection is not silent.
	b.Handle("slow", func(context.Context, func(any) error) (any, error) {
		<-released
		return "done", nil
	})
	a := NewNode(Options{Token: token})
	t.Cleanup(func() { _ = a.Close() })
	slow := make(chan error, 1)
	go func() { slow <- a.Call(limited(t), address, "slow", "x", nil) }()
	a.awaitConns(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), shortCallTimeout)
	defer cancel()
	if err := a.Call(ctx, address, "slow", "y", nil); !errkind.Is(err, errkind.Timeout) {
		t.Fatalf("call that is not answered: %v", err)
	}
	a.awaitConns(t, 2)
	if err := a.Call(limited(t), address, "echo", "x", nil); err != nil {
		t.Errorf("call over the new connection: %v", err)
	}
	release()
	if err := <-slow; err != nil {
		t.Errorf("call over the replaced connection: %v", err)
	}
	a.awaitConns(t, 1)
}

// awaitConns waits until the node has a number of open connections.
func (n *Node) awaitConns(t *testing.T, want int) {
	t.Helper()
	ctx := limited(t)
	for {
		n.mu.RLock()
		open := len(n.conns)
		n.mu.RUnlock()
		switch {
		case open == want:
			return
		case ctx.Err() != nil:
			t.Fatalf("%d connections are open, want %d", open, want)
		}
		time.Sleep(time.Millisecond)
	}
}
