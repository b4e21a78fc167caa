package httpapi

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serveTCP serves a paused worker on the loopback interface. peak returns the
// largest number of connections that were open at the same time.
func serveTCP(t *testing.T, limit int) (w *memory.Worker, address string, peak func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	most := 0
	w = memory.NewWorker(memory.Config{ID: "w", Slots: 64})
	w.SetFaults(memory.Faults{Pause: true})
	server := &http.Server{Handler: NewHandler(w)}
	var served sync.WaitGroup
	served.Go(func() {
		_ = server.Serve(LimitListener(l, limit, func(open int) {
			mu.Lock()
			defer mu.Unlock()
			most = max(most, open)
		}))
	})
	t.Cleanup(func() {
		w.Close()
		_ = server.Close()
		served.Wait()
	})
	return w, l.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return most
	}
}

// Guards against a VM that opens more than its share of a worker's connections
// under a burst of calls, and against losing calls that wait for a connection.
func TestBurstStaysWithinConnections(t *testing.T) {
	w, address, peak := serveTCP(t, target.DefaultMaxConnections)
	d := NewDialer(DialerOptions{})
	defer d.Close()
	admin := NewDialer(DialerOptions{MaxConnsPerHost: 1})
	defer admin.Close()
	var burst sync.WaitGroup
	for i := range 40 {
		burst.Go(func() {
			task := api.TaskID(string(rune('a' + i)))
			if _, err := d.Dial(address).Reserve(t.Context(), target.ReserveRequest{Task: task, TTL: longTTL}); err != nil {
				t.Errorf("call %d: %v", i, err)
			}
		})
	}
	// The admin route must be able to resume the worker while all calls block.
	if err := admin.DialClient(address).SetFaults(t.Context(), memory.Faults{}); err != nil {
		t.Fatal(err)
	}
	burst.Wait()
	if got := w.LiveTasks(); got != 40 {
		t.Errorf("%d reservations, want 40", got)
	}
	if got := peak(); got > DefaultMaxConnsPerHost+1 {
		t.Errorf("%d connections at a time, want at most %d and one of the admin route", got, DefaultMaxConnsPerHost)
	}
}

// Guards against a worker that serves an unlimited number of connections.
func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	_, address, peak := serveTCP(t, 1)
	firstConn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer firstConn.Close()
	d := NewDialer(DialerOptions{})
	defer d.Close()
	if _, err := d.Dial(address).Fence(t.Context(), "a", 1); !errkind.Is(err, errkind.Unavailable) {
		t.Errorf("second connection: error %v", err)
	}
	if peak() != 1 {
		t.Errorf("%d connections at a time, want 1", peak())
	}
}

// Guards against an error that loses its cause: by ECONNREFUSED a caller can tell
// that the worker process no longer runs.
func TestRefusedConnectionKeepsItsCause(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	err = NewDialer(DialerOptions{}).Dial(l.Addr().String()).Stop(t.Context(), "a", 1)
	if !errkind.Is(err, errkind.Unavailable) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v", err)
	}
}

// longTTL is a lease TTL of 1000 s, longer than any test here runs.
const longTTL = 1e12
