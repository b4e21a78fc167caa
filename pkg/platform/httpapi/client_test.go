package httpapi

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/internal/testnet"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against treating a missing, late or malformed response as a refusal. The
// outcome of a write is then unknown, which is kind store_unavailable.
func TestUnclearAnswersAreStoreUnavailable(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for name, handler := range map[string]http.HandlerFunc{
		"never answered": func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnect only after the body is read
			<-r.Context().Done()
		},
		"connection aborted":    func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"error without a body":  answer(http.StatusBadGateway, ""),
		"error of another kind": answer(http.StatusConflict, `{"kind":"elsewhere"}`),
		"internal error":        answer(http.StatusInternalServerError, `{"kind":"internal"}`),
		"answer cut short":      answer(http.StatusOK, `{"version":`),
		"answer too large":      answer(http.StatusOK, strings.Repeat(" ", maxAnswerBytes+1)),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := testnet.Serve(t, handler)
				c := NewClient("http://platform", ClientOptions{DialContext: l.DialContext})
				defer c.Close()
				start := time.Now()
				_, err := c.Put(t.Context(), "k", []byte("v"), 0, 0)
				if !errkind.Is(err, errkind.StoreUnavailable) || time.Since(start) > DefaultCallTimeout {
					t.Fatalf("error %v after %v", err, time.Since(start))
				}
				if _, err := c.ListVMs(t.Context()); !errkind.Is(err, errkind.Unavailable) {
					t.Fatalf("VM list: error %v", err)
				}
			})
		})
	}
}
