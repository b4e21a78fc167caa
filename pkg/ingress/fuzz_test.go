package ingress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Guards against a body, key or wait time that makes the filters panic, causes a
// server error, or is refused only after a request to an owner.
func FuzzSubmit(f *testing.F) {
	f.Add(`{"class":"urgent"}`, "", "", "")
	f.Add(`{"class":"long","accelerators":8,"adjacency":"rack","deadline":"2040-01-01T00:00:00Z","payload":{"a":[1]}}`, "k", "30s", "wait=5")
	f.Add(`{"class":"long","declaredSeconds":1e400,"priority":-0}`, "a\x00b", "-1", `wait="x`)
	ts := newTestServer()
	ts.in.Limits.MaxBody = 1 << 16
	f.Fuzz(func(t *testing.T, body, key, wait, prefer string) {
		ts.service.calls, ts.service.submits, ts.events = 0, nil, nil
		clear(ts.service.jobs)
		r := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body))
		r.Header = http.Header{"Authorization": {"Bearer " + tokenA}, "Prefer": {prefer}}
		if key != "" {
			r.Header.Set(IdempotencyKeyHeader, key)
		}
		if wait != "" {
			r.URL.RawQuery = "wait=" + wait
		}
		w := httptest.NewRecorder()
		ts.engine.ServeHTTP(w, r)
		if w.Code < 300 {
			decodeStatus(t, w)
			return
		}
		if p := decodeProblem(t, w); w.Code >= 500 || p.Ran != errkind.NotRun || ts.service.calls != 0 {
			t.Errorf("status %d after %d calls: %+v", w.Code, ts.service.calls, p)
		}
	})
}

// Guards against malformed job IDs that are accepted and routed to a partition.
func FuzzPartitionOf(f *testing.F) {
	f.Add(someJob)
	f.Add("j-1-0f8b8e9c-3f5e-4a5f-9f57-0d6f5a3f1a11")
	f.Add("j00-{0f8b8e9c-3f5e-4a5f-9f57-0d6f5a3f1a11}")
	f.Fuzz(func(t *testing.T, id string) {
		n, ok := partitionOf(api.JobID(id))
		if ok && (n < 0 || len(id) < 39 || !strings.HasPrefix(id, "j")) {
			t.Errorf("%q passes as a job of partition %d", id, n)
		}
	})
}
