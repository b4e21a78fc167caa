package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/platform/memory"
)

// FuzzHandler guards against requests that make the handler panic, hang or respond
// with anything but JSON. A panic fails the test.
func FuzzHandler(f *testing.F) {
	f.Add("PUT", pathKey, "key=a&expect=-1&lease=0", []byte("value"))
	f.Add("GET", pathList, "prefix=a&after=b&limit=3", []byte(nil))
	f.Add("GET", pathWatch, "prefix=a&after=0&wait=1ms", []byte(nil))
	f.Add("POST", pathLeases, "ttl=3s", []byte(nil))
	f.Add("PUT", pathLeases, "lease=1", []byte(nil))
	f.Add("PUT", pathAdminFaults, "", []byte(`{"loseShare":0.5,"seed":1}`))
	f.Add("PUT", pathAdminVMs, "", []byte(`[{"id":"a"},{"id":"a"}]`))
	f.Fuzz(func(t *testing.T, method, path, query string, body []byte) {
		store := memory.NewStore(memory.Options{})
		r := &http.Request{Method: method, URL: &url.URL{Path: path, RawQuery: query}, Header: http.Header{}}
		exchange(t, NewHandler(store, store, store), r, body)
		exchange(t, NewHandler(store, store, store), r, body) // with the state after the first
	})
}

// exchange serves one request and checks the response.
func exchange(t *testing.T, h http.Handler, r *http.Request, body []byte) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	r = r.WithContext(ctx)
	r.Body = http.NoBody
	if len(body) > 0 {
		r.Body = nopCloser{bytes.NewReader(body)}
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	routed := rec.Code != http.StatusNotFound && rec.Code/100 != 3
	if routed && !json.Valid(rec.Body.Bytes()) {
		t.Fatalf("status %d with body %q", rec.Code, rec.Body)
	}
}

type nopCloser struct{ *bytes.Reader }

// Close does nothing.
func (nopCloser) Close() error { return nil }
