package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// FuzzHandler guards against a request that makes the handler panic or respond
// with something other than JSON. A panic fails the test. It also guards against a
// request that takes a slot permanently.
func FuzzHandler(f *testing.F) {
	f.Add(uint8(0), []byte(`{"task":"j1-a/1/0","epoch":1,"ttl":1000000000,"accelerators":[0,1],"start":{"payload":{"run":"1s","echo":[1]}}}`))
	f.Add(uint8(1), []byte(`{"task":"j1-a/1/0","epoch":1,"incarnation":1,"checkpoint":"j1-a/1/0@5","payload":{"size":9,"fail":true}}`))
	f.Add(uint8(2), []byte(`{"epoch":1,"ttl":1,"since":-1,"wait":1000000,"renewOnly":true}`))
	f.Add(uint8(6), []byte(`{"task":"j1-a/1/0","epoch":1,"share":0.5}`))
	f.Add(uint8(8), []byte(`{"straggleShare":1,"straggleFactor":1e300,"loseStarts":-1}`))
	paths := []string{
		pathReserve, pathStart, pathSync, pathFence, pathRelease, pathCheckpoint, pathThrottle, pathStop, pathAdminFaults,
	}
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		synctest.Test(t, func(t *testing.T) {
			w := memory.NewWorker(memory.Config{Incarnation: 1})
			defer w.Close()
			method := http.MethodPost
			if p := paths[int(path)%len(paths)]; p == pathAdminFaults {
				method = http.MethodPut
			}
			// The second request meets the state that the first one left behind.
			for range 2 {
				r := httptest.NewRequestWithContext(t.Context(), method, paths[int(path)%len(paths)], bytes.NewReader(body))
				rec := httptest.NewRecorder()
				NewHandler(w).ServeHTTP(rec, r)
				if !json.Valid(rec.Body.Bytes()) {
					t.Fatalf("status %d with body %q", rec.Code, rec.Body)
				}
			}
		})
	})
}
