package httplimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// reading starts to read a body of a request, and returns what the client writes to and how the
// reader ended.
func reading(l *Limiter, key string) (client *io.PipeWriter, served chan error) {
	in, out := io.Pipe()
	served = make(chan error, 1)
	var err error
	handler := l.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, err = io.ReadAll(r.Body) }))
	r := httptest.NewRequest(http.MethodPost, "/", in)
	r.Header.Set("Key", key)
	go func() {
		handler.ServeHTTP(&pipeWriter{httptest.NewRecorder(), in}, r)
		served <- err
	}()
	return out, served
}

// pipeWriter ends a read of the request's body at a read deadline in the past.
type pipeWriter struct {
	*httptest.ResponseRecorder
	in *io.PipeReader
}

func (w *pipeWriter) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		return w.in.CloseWithError(io.ErrUnexpectedEOF)
	}
	return nil
}

// newTestLimiter has a budget for 64 KiB of bodies, of which small ones may use the last quarter.
func newTestLimiter() *Limiter {
	return New(Options{Memory: 1 << 20, Files: 64, Key: func(r *http.Request) string { return r.Header.Get("Key") }})
}

// end completes a body.
func end(t *testing.T, out *io.PipeWriter) {
	t.Helper()
	if err := out.Close(); err != nil {
		t.Fatal(err)
	}
}

// write sends bytes and returns once the reader has taken them.
func write(t *testing.T, out *io.PipeWriter, n int) {
	t.Helper()
	if _, err := out.Write(bytes.Repeat([]byte("x"), n)); err != nil {
		t.Fatal(err)
	}
	if _, err := out.Write(nil); err != nil {
		t.Fatal(err)
	}
}

func wantEnded(t *testing.T, served chan error, ended bool) {
	t.Helper()
	if err := <-served; errkind.Is(err, errkind.Unavailable) != ended {
		t.Errorf("ended by a limit: want %v, got %v", ended, err)
	}
}

// Guards against large bodies that stop short of their end and keep others from being read: the
// one without progress for longest ends, and a request that was read is not cut.
func TestStalledBodyEndsFirst(t *testing.T) {
	l := newTestLimiter()
	first, firstServed := reading(l, "a")
	write(t, first, 30<<10)
	second, secondServed := reading(l, "b")
	write(t, second, 30<<10)
	wantEnded(t, firstServed, true)
	small, smallServed := reading(l, "c")
	write(t, small, 1<<10)
	end(t, small)
	wantEnded(t, smallServed, false)
	end(t, second)
	wantEnded(t, secondServed, false)
	if l.used != 0 || len(l.incomplete) != 0 {
		t.Errorf("%d bytes and %d bodies are left", l.used, len(l.incomplete))
	}
}

// Guards against refusing the largest body where nothing else is in flight.
func TestBodyAloneIsRead(t *testing.T) {
	out, served := reading(newTestLimiter(), "a")
	write(t, out, 1<<20)
	end(t, out)
	wantEnded(t, served, false)
}

// Guards against one caller whose bodies never end: beyond its number its own stalest ends.
func TestCallerHasNumberOfBodies(t *testing.T) {
	l := newTestLimiter()
	other, otherServed := reading(l, "other")
	write(t, other, 100)
	var ends []chan error
	for range l.maxPerKey + 1 {
		out, served := reading(l, "a")
		write(t, out, 100)
		ends = append(ends, served)
	}
	wantEnded(t, ends[0], true)
	end(t, other)
	wantEnded(t, otherServed, false)
}

// Guards against idle connections that keep new ones out, and against closing one whose request
// is being served.
func TestIdleConnectionYields(t *testing.T) {
	l := newTestLimiter()
	ln, err := l.Listen("127.0.0.1:0", Probes)
	if err != nil {
		t.Fatal(err)
	}
	began, answer := make(chan struct{}), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(began)
			<-answer
		}
	})}
	ln.Attach(s)
	go func() { _ = s.Serve(ln) }() // returns after Close
	t.Cleanup(func() { _ = s.Close() })
	url := "http://" + ln.Addr().String()
	slow := make(chan error)
	go func() {
		resp, err := http.Get(url + "/slow")
		if err == nil {
			err = resp.Body.Close()
		}
		slow <- err
	}()
	<-began
	for range 3 * ln.max {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	resp, err := (&http.Client{Transport: &http.Transport{}}).Get(url)
	if err != nil {
		t.Fatalf("a new connection is not served: %v", err)
	}
	resp.Body.Close()
	close(answer)
	if err := <-slow; err != nil {
		t.Errorf("the request that was being served was cut: %v", err)
	}
}

// Guards against storing a request, whose bytes had all arrived, after its connection was closed
// without a response.
func TestClosedConnectionIsNotRead(t *testing.T) {
	l := newTestLimiter()
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("whole"))
	r = r.WithContext(context.WithValue(r.Context(), connKey{}, &conn{dropped: true}))
	l.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); !errkind.Is(err, errkind.Unavailable) {
			t.Errorf("the body is read: %v", err)
		}
	})).ServeHTTP(httptest.NewRecorder(), r)
}

// Guards against a minimum rate that a client inside the limits meets, and against none.
func TestMinimumRate(t *testing.T) {
	l := newTestLimiter()
	b := &body{limiter: l, startedAt: time.Now(), received: 262_143}
	if left := time.Until(b.deadline()); left < 3*time.Second {
		t.Errorf("the largest body has to be complete within %v", left)
	}
	in, out := io.Pipe() // nothing is written
	defer end(t, out)
	l.opts.Grace, l.opts.MinRate = time.Millisecond, 1<<30
	served := make(chan error, 1)
	s := httptest.NewServer(l.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		served <- err
	})))
	t.Cleanup(s.Close)
	resp, err := http.Post(s.URL, "", in) // sends nothing
	if err == nil {
		resp.Body.Close()
	}
	wantEnded(t, served, true)
}
