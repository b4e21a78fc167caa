package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const token = "shared"

// testTimeout only ends a test that hangs; no test checks a duration against it.
const testTimeout = 20 * time.Second

// limited returns a context that expires after testTimeout.
func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// start starts a node on a loopback port, with handlers that echo, fail and panic.
func start(t *testing.T, opts Options) (*Node, string) {
	t.Helper()
	n := NewNode(opts)
	mux := http.NewServeMux()
	mux.Handle(Path, n.Handler())
	srv := httptest.NewUnstartedServer(mux)
	if opts.TLS != nil {
		srv.TLS = opts.TLS
		srv.StartTLS()
	} else {
		srv.Start()
	}
	address := strings.TrimPrefix(strings.TrimPrefix(srv.URL, "http://"), "https://")
	n.SetAddress(address)
	t.Cleanup(func() { _ = n.Close(); srv.Close() })
	n.Handle("echo", func(_ context.Context, decode func(any) error) (any, error) {
		var s string
		err := decode(&s)
		return s, err
	})
	n.Handle("fail", func(context.Context, func(any) error) (any, error) {
		return nil, errkind.New(errkind.QuotaExceeded, "no more").WithRetryAfter(3 * time.Second)
	})
	n.Handle("panic", func(context.Context, func(any) error) (any, error) { panic("test") })
	return n, address
}

// TestCalls guards against answers that are delivered to the wrong call, when
// both VMs send many calls at once over the same connections, and against errors
// that lose their kind, message or retry delay on the wire.
func TestCalls(t *testing.T) {
	a, addressA := start(t, Options{Token: token})
	b, addressB := start(t, Options{Token: token})
	ctx := limited(t)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			from, to := a, addressB
			switch i % 3 {
			case 1:
				from, to = b, addressA
			case 2:
				to = addressA // a call to its own address
			}
			text := strings.Repeat("x", i)
			var got string
			if err := from.Call(ctx, to, "echo", text, &got); err != nil || got != text {
				t.Errorf("call %d: %q, %v", i, got, err)
			}
		})
	}
	wg.Wait()
	for _, to := range []string{addressA, addressB} {
		err := a.Call(ctx, to, "fail", nil, nil)
		if e := errkind.As(err); e.Kind != errkind.QuotaExceeded || e.Message != "no more" || e.RetryAfter != 3*time.Second {
			t.Errorf("error arrived as %v", err)
		}
		if err := a.Call(ctx, to, "none", nil, nil); !errkind.Is(err, errkind.NotFound) {
			t.Errorf("unknown method: %v", err)
		}
		if err := a.Call(ctx, to, "panic", nil, nil); !errkind.Is(err, errkind.Internal) {
			t.Errorf("panic: %v", err)
		}
	}
	if testutil.ToFloat64(a.metrics.sent) == 0 || testutil.ToFloat64(a.metrics.received) == 0 {
		t.Error("bytes were not counted")
	}
}

// TestOneConnectionPerPair guards against a second connection when the peer
// that was called calls back.
func TestOneConnectionPerPair(t *testing.T) {
	a, addressA := start(t, Options{Token: token})
	b, addressB := start(t, Options{Token: token})
	ctx := limited(t)
	for range 3 {
		if err := errors.Join(a.Call(ctx, addressB, "echo", "x", nil), b.Call(ctx, addressA, "echo", "x", nil)); err != nil {
			t.Fatal(err)
		}
	}
	if n := testutil.ToFloat64(a.metrics.connections); n != 1 {
		t.Fatalf("%v connections", n)
	}
}

// TestCallBackUsesSameConnection guards against a second connection when the handler of
// the first request calls back at once, before the acceptance of its connection has
// ended.
func TestCallBackUsesSameConnection(t *testing.T) {
	const pairs = 100
	for range pairs {
		a, addressA := start(t, Options{Token: token})
		b, addressB := start(t, Options{Token: token})
		b.Handle("call-back", func(ctx context.Context, _ func(any) error) (any, error) {
			return nil, b.Call(ctx, addressA, "echo", "x", nil)
		})
		if err := a.Call(limited(t), addressB, "call-back", nil, nil); err != nil {
			t.Fatal(err)
		}
		if n := testutil.ToFloat64(a.metrics.connections); n != 1 {
			t.Fatalf("%v connections", n)
		}
	}
}

// TestAuthentication guards against accepting a peer without the shared token.
func TestAuthentication(t *testing.T) {
	for _, tc := range []struct {
		name, server, client string
		kind                 errkind.Kind
	}{
		{"same token", token, token, ""},
		{"wrong token", token, "other", errkind.Unavailable},
		{"no token", token, "", errkind.Unavailable},
		{"server without a token accepts nobody", "", "", errkind.Unavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, address := start(t, Options{Token: tc.server})
			c, _ := start(t, Options{Token: tc.client})
			if err := c.Call(limited(t), address, "echo", "x", nil); errkind.Of(err) != tc.kind {
				t.Fatalf("call: %v", err)
			}
		})
	}
}

// TestClientCertificate guards against accepting a TLS peer that has neither a
// token nor a client certificate of the configured CA, and against requiring a
// token from a peer with such a certificate.
func TestClientCertificate(t *testing.T) {
	pool, cert := certificate(t)
	server := &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.VerifyClientCertIfGiven}
	_, address := start(t, Options{TLS: server})
	for _, tc := range []struct {
		name string
		tls  *tls.Config
		kind errkind.Kind
	}{
		{"with certificate", &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool}, ""},
		{"without certificate", &tls.Config{RootCAs: pool}, errkind.Unavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := NewNode(Options{TLS: tc.tls})
			t.Cleanup(func() { _ = c.Close() })
			if err := c.Call(limited(t), address, "echo", "x", nil); errkind.Of(err) != tc.kind {
				t.Fatalf("call: %v", err)
			}
		})
	}
}

// certificate creates a self-signed certificate for the loopback address.
func certificate(t *testing.T) (*x509.CertPool, tls.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return pool, tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// TestUnreachable guards against calls that block on an unreachable peer, and
// against a peer that is not reached again after it has recovered.
func TestUnreachable(t *testing.T) {
	b := NewNode(Options{Token: token})
	b.Handle("echo", func(context.Context, func(any) error) (any, error) { return "y", nil })
	var up atomic.Bool
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !up.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(func() { _ = b.Close(); srv.Close() })
	address := strings.TrimPrefix(srv.URL, "http://")
	a, _ := start(t, Options{Token: token})
	for range 3 {
		err := a.Call(limited(t), address, "echo", "x", nil)
		if !errkind.Is(err, errkind.Unavailable) || errors.Is(err, ErrAnswerLost) {
			t.Fatalf("call: %v", err)
		}
	}
	up.Store(true)
	ctx := limited(t)
	var err error
	for ctx.Err() == nil {
		if err = a.Call(ctx, address, "echo", "x", nil); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the recovered peer was not reached again: %v", err)
}

// TestAnswerLost guards against reporting a request as not sent when the
// connection breaks while the handler runs.
func TestAnswerLost(t *testing.T) {
	a, _ := start(t, Options{Token: token})
	b, address := start(t, Options{Token: token})
	entered := make(chan struct{})
	b.Handle("wait", func(ctx context.Context, _ func(any) error) (any, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	go func() { <-entered; _ = b.Close() }()
	err := a.Call(limited(t), address, "wait", nil, nil)
	if !errkind.Is(err, errkind.Unavailable) || !errors.Is(err, ErrAnswerLost) {
		t.Fatalf("call: %v", err)
	}
}

// TestCancel guards against handlers that continue to run after the caller has
// cancelled the call or its deadline has passed.
func TestCancel(t *testing.T) {
	a, _ := start(t, Options{Token: token})
	b, address := start(t, Options{Token: token})
	entered, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b.Handle("wait", func(ctx context.Context, _ func(any) error) (any, error) {
		entered <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(limited(t))
	go func() { <-entered; cancel() }()
	if err := a.Call(ctx, address, "wait", nil, nil); !errkind.Is(err, errkind.Cancelled) {
		t.Fatalf("call: %v", err)
	}
	<-ended
	ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := a.Call(ctx, address, "wait", nil, nil); !errkind.Is(err, errkind.Timeout) {
		t.Fatalf("call: %v", err)
	}
	<-ended
}

// TestLimits guards against oversized requests and answers, and against requests
// above the accepted rate.
func TestLimits(t *testing.T) {
	a, _ := start(t, Options{Token: token, MaxFrame: 4096})
	b, address := start(t, Options{Token: token, MaxFrame: 4096, RequestsPerSecond: 1e-9, MaxInProgress: 1})
	if err := a.Call(limited(t), address, "echo", strings.Repeat("x", 5000), nil); !errkind.Is(err, errkind.TooLarge) {
		t.Errorf("large request: %v", err)
	}
	b.Handle("large", func(context.Context, func(any) error) (any, error) { return strings.Repeat("x", 5000), nil })
	if err := a.Call(limited(t), address, "large", nil, nil); !errkind.Is(err, errkind.TooLarge) {
		t.Errorf("large answer: %v", err)
	}
	if err := a.Call(limited(t), address, "echo", "x", nil); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("request above the rate: %v", err)
	}
}

// TestInProgress guards against an unlimited number of concurrent handlers.
func TestInProgress(t *testing.T) {
	a, _ := start(t, Options{Token: token})
	b, address := start(t, Options{Token: token, MaxInProgress: 1})
	entered, release := make(chan struct{}), make(chan struct{})
	b.Handle("wait", func(context.Context, func(any) error) (any, error) { close(entered); <-release; return nil, nil })
	done := make(chan error)
	go func() { done <- a.Call(limited(t), address, "wait", nil, nil) }()
	<-entered
	if err := a.Call(limited(t), address, "echo", "x", nil); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("second request: %v", err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestHostilePeerIsCut guards against keeping the connection of a peer that sends
// oversized or malformed frames or floods requests. The last case shows that the
// same number of requests is answered under a high limit.
func TestHostilePeerIsCut(t *testing.T) {
	request, _ := cbor.Marshal(frame{ID: 1, Type: frameRequest, Method: "echo"})
	for _, tc := range []struct {
		name string
		data []byte
		rate float64
		cut  bool
	}{
		{"oversize", make([]byte, 5000), 1000, true},
		{"not CBOR", []byte("garbage"), 1000, true},
		{"flood", request, 5, true},
		{"flood without a limit", request, 1e9, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, address := start(t, Options{Token: token, MaxFrame: 4096, RequestsPerSecond: tc.rate})
			var served atomic.Int64
			b.Handle("echo", func(context.Context, func(any) error) (any, error) { served.Add(1); return nil, nil })
			header := http.Header{}
			header.Set(authHeader, bearerPrefix+token)
			ctx := limited(t)
			//nolint:bodyclose // Dial closes the response body itself.
			ws, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPHeader: header})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ws.CloseNow() }()
			const frames = 200
			answers := make(chan int)
			go func() {
				n := 0
				for n < frames {
					if _, _, err := ws.Read(ctx); err != nil {
						break
					}
					n++
				}
				answers <- n
			}()
			for range frames {
				if ws.Write(ctx, websocket.MessageBinary, tc.data) != nil {
					break
				}
			}
			if n := <-answers; (n < frames) != tc.cut {
				t.Errorf("%d answers to %d frames, %d served", n, frames, served.Load())
			}
		})
	}
}
