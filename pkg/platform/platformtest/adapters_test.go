// Package platformtest runs one table of contract tests against all implementations of
// the platform's interfaces.
package platformtest

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/internal/testnet"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/httpapi"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// callTimeout is the timeout of the HTTP client, in the fake time of synctest.
const callTimeout = 2 * time.Second

// service is an implementation under test and its backing store, which injects faults.
type service struct {
	platform.Store
	platform.VMLister
	backend *memory.Store
}

// adapters create each implementation on top of an in-memory store.
var adapters = map[string]func(t *testing.T, backend *memory.Store) service{
	"memory": func(_ *testing.T, backend *memory.Store) service {
		return service{backend, backend, backend}
	},
	"http": func(t *testing.T, backend *memory.Store) service {
		l := testnet.Serve(t, httpapi.NewHandler(backend, backend, backend))
		c := httpapi.NewClient("http://platform", httpapi.ClientOptions{CallTimeout: callTimeout, DialContext: l.DialContext})
		t.Cleanup(c.Close)
		return service{c, c, backend}
	},
}

// contractCase is one contract test.
type contractCase struct {
	name string // the failure that the test guards against
	opts memory.Options
	run  func(t *testing.T, s service)
}

func runContract(t *testing.T, cases []contractCase) {
	for name, adapter := range adapters {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { c.run(t, adapter(t, memory.NewStore(c.opts))) })
			})
		}
	}
}

func must[T any](t *testing.T) func(v T, err error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatalf("unexpected error: %v", err)
		}
		return v
	}
}

func wantKind(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	if got := errkind.Of(err); got != kind {
		t.Fatalf("error kind %q, want %q (%v)", got, kind, err)
	}
}

func wantEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}
