package ingress

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

const (
	someJob  = "j3-0f8b8e9c-3f5e-4a5f-9f57-0d6f5a3f1a11"
	otherJob = "j4-0f8b8e9c-3f5e-4a5f-9f57-0d6f5a3f1a22"
)

// Guards against an invalid request that reaches an owner, is refused with the
// wrong error kind, or is refused without the statement that the job did not
// run.
func TestRefusals(t *testing.T) {
	auth := func(v string) http.Header { return http.Header{"Authorization": {v}} }
	key := func(v ...string) http.Header { return http.Header{IdempotencyKeyHeader: v} }
	prefer := func(v string) http.Header { return http.Header{"Prefer": {v}} }
	for _, tc := range []struct {
		name, route, body string
		header            http.Header
		want              errkind.Kind
	}{
		{"no token", "POST /v1/jobs", `{"class":"urgent"}`, auth(""), errkind.Unauthenticated},
		{"wrong scheme", "GET /v1/jobs", ``, auth("Basic " + tokenA), errkind.Unauthenticated},
		{"unknown token", "GET /v1/workers", ``, auth("Bearer nobody"), errkind.Unauthenticated},
		{"hash as token", "GET /v1/workers", ``, auth("Bearer " + tokenHash(tokenA)), errkind.Unauthenticated},
		{"unknown workspace", "POST /v1/jobs", `{"class":"urgent","workspace":"nobody"}`, nil, errkind.Forbidden},
		{"foreign workspace", "POST /v1/jobs", `{"class":"urgent","workspace":"lautoka"}`, nil, errkind.Forbidden},
		{"malformed body", "POST /v1/jobs", `{"class":`, nil, errkind.InvalidRequest},
		{"empty body", "POST /v1/jobs", ``, nil, errkind.InvalidRequest},
		{"two values", "POST /v1/jobs", `{"class":"urgent"}{}`, nil, errkind.InvalidRequest},
		{"unknown field", "POST /v1/jobs", `{"class":"urgent","gang":4}`, nil, errkind.InvalidRequest},
		{"wrong type", "POST /v1/jobs", `{"class":7}`, nil, errkind.InvalidRequest},
		{"unknown class", "POST /v1/jobs", `{"class":"vip"}`, nil, errkind.InvalidRequest},
		{"no class", "POST /v1/jobs", `{}`, nil, errkind.InvalidRequest},
		{"long name", "POST /v1/jobs", `{"class":"urgent","name":"` + strings.Repeat("n", 129) + `"}`, nil, errkind.InvalidRequest},
		{"control character", "POST /v1/jobs", `{"class":"urgent","name":"a\nb"}`, nil, errkind.InvalidRequest},
		{"priority", "POST /v1/jobs", `{"class":"urgent","priority":1001}`, nil, errkind.InvalidRequest},
		{"negative estimate", "POST /v1/jobs", `{"class":"urgent","declaredSeconds":-1}`, nil, errkind.InvalidRequest},
		{"negative memory", "POST /v1/jobs", `{"class":"urgent","declaredMemoryMiB":-1}`, nil, errkind.InvalidRequest},
		{"negative gang", "POST /v1/jobs", `{"class":"long","accelerators":-1}`, nil, errkind.InvalidRequest},
		{"unknown adjacency", "POST /v1/jobs", `{"class":"long","accelerators":2,"adjacency":"row"}`, nil, errkind.InvalidRequest},
		{"adjacency without accelerators", "POST /v1/jobs", `{"class":"long","adjacency":"rack"}`, nil, errkind.InvalidRequest},
		{"largest gang", "POST /v1/jobs", `{"class":"long","accelerators":513}`, nil, errkind.Impossible},
		{"over the quota", "POST /v1/jobs", `{"class":"long","accelerators":101}`, nil, errkind.Impossible},
		{"impossible in a worker", "POST /v1/jobs", `{"class":"long","accelerators":9,"adjacency":"worker"}`, nil, errkind.Impossible},
		{"impossible in a rack", "POST /v1/jobs", `{"class":"long","accelerators":65,"adjacency":"worker","relaxAdjacency":true}`, nil, errkind.Impossible},
		{"body over the limit", "POST /v1/jobs", `{"class":"urgent","payload":"` + strings.Repeat("x", 2000) + `"}`, nil, errkind.TooLarge},
		{"deadline in the past", "POST /v1/jobs", `{"class":"long","deadline":"1999-01-01T00:00:00Z"}`, nil, errkind.DeadlinePassed},
		{"missing key", "POST /v1/jobs", `{"class":"urgent","atMostOnce":true}`, nil, errkind.InvalidRequest},
		{"empty key", "POST /v1/jobs", `{"class":"urgent"}`, key(""), errkind.InvalidRequest},
		{"two keys", "POST /v1/jobs", `{"class":"urgent"}`, key("a", "b"), errkind.InvalidRequest},
		{"key with space", "POST /v1/jobs", `{"class":"urgent"}`, key("a b"), errkind.InvalidRequest},
		{"long key", "POST /v1/jobs", `{"class":"urgent"}`, key(strings.Repeat("k", 256)), errkind.InvalidRequest},
		{"bad wait", "POST /v1/jobs?wait=soon", `{"class":"urgent"}`, nil, errkind.InvalidRequest},
		{"negative wait", "POST /v1/jobs", `{"class":"urgent"}`, prefer("respond-async, wait=-1"), errkind.InvalidRequest},
		{"huge wait", "GET /v1/jobs/" + someJob + "/result?wait=99999999999999", ``, nil, errkind.InvalidRequest},
		{"malformed job ID", "GET /v1/jobs/x", ``, nil, errkind.NotFound},
		{"partition out of range", "GET /v1/jobs/j16-0f8b8e9c-3f5e-4a5f-9f57-0d6f5a3f1a11", ``, nil, errkind.NotFound},
		{"leading zero", "DELETE /v1/jobs/j03-0f8b8e9c-3f5e-4a5f-9f57-0d6f5a3f1a11", ``, nil, errkind.NotFound},
		{"bad state", "GET /v1/jobs?state=odd", ``, nil, errkind.InvalidRequest},
		{"bad limit", "GET /v1/jobs?limit=501", ``, nil, errkind.InvalidRequest},
		{"bad page", "GET /v1/jobs?after=x", ``, nil, errkind.InvalidRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ts := newTestServer()
			method, path, _ := strings.Cut(tc.route, " ")
			p := decodeProblem(t, ts.do(t.Context(), method, path, tc.body, tc.header))
			if p.Kind != tc.want || p.Ran != errkind.NotRun {
				t.Errorf("kind %s, ran %s: %s", p.Kind, p.Ran, p.Detail)
			}
			if ts.service.calls != 0 {
				t.Errorf("%d calls reached an owner", ts.service.calls)
			}
		})
	}
}

// Guards against a job of another workspace that is returned, cancelled or
// distinguishable from a job that does not exist, even if an owner does not
// check the workspace.
func TestForeignJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer()
		ts.addJob(someJob, "lautoka", nil)
		leak := reply{edit: func(j *api.JobStatus) { *j = ts.service.jobs[someJob] }}
		for _, route := range []string{"GET ", "GET /result", "DELETE "} {
			method, suffix, _ := strings.Cut(route, " ")
			ts.service.onGet = nil
			missing := decodeProblem(t, ts.do(t.Context(), method, "/v1/jobs/"+otherJob+suffix, "", nil))
			for _, leaks := range []int{0, 1000} {
				ts.service.onGet = slices.Repeat([]reply{leak}, leaks)
				foreign := decodeProblem(t, ts.do(t.Context(), method, "/v1/jobs/"+someJob+suffix, "", nil))
				if foreign.Kind != errkind.NotFound || foreign.Detail != missing.Detail {
					t.Errorf("%s, %d leaks: %+v, missing job: %+v", route, leaks, foreign, missing)
				}
			}
		}
	})
}

// Guards against a VM that admits more than its share of a workspace's request
// rate quota, and against a share that does not refill.
func TestQuotaIsSharedByLiveMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer()
		lautoka := http.Header{"Authorization": {"bearer " + tokenB}}
		for _, want := range []int{200, 200, 200, 429} { // 6/s over two live VMs
			if w := ts.post(t, `{"class":"urgent"}`, lautoka); w.Code != want {
				t.Fatalf("status %d, want %d", w.Code, want)
			}
		}
		w := ts.post(t, `{"class":"urgent"}`, lautoka)
		if p := decodeProblem(t, w); p.Kind != errkind.QuotaExceeded || !p.Retryable || w.Header().Get("Retry-After") != "1" {
			t.Errorf("%+v, header %v", p, w.Header())
		}
		if w := ts.post(t, `{"class":"urgent"}`, nil); w.Code != 200 {
			t.Errorf("another workspace: status %d", w.Code)
		}
		time.Sleep(shortRetryAfter)
		if w := ts.post(t, `{"class":"urgent"}`, lautoka); w.Code != 200 {
			t.Errorf("after a second: status %d", w.Code)
		}
		if n := len(ts.events); n != 2 || ts.events[0].Workspace != "lautoka" {
			t.Errorf("%d refusals recorded", n)
		}
	})
}

// Guards against reserved headers of client requests that reach the handlers,
// against a token that reaches them, and against an invalid request ID that is
// returned.
func TestHeadersFromOutside(t *testing.T) {
	ts := newTestServer()
	w := ts.do(t.Context(), http.MethodGet, "/v1/workers", "", http.Header{
		"X-Carawayusher-Workspace": {"lautoka"}, "x-carawayusher-epoch": {"9"}, "X_carawayusher_hop": {"1"},
		"X-Other": {"kept"}, RequestIDHeader: {"forged\nline"},
	})
	if w.Code != http.StatusOK || w.Header().Get(RequestIDHeader) == "forged\nline" {
		t.Errorf("status %d, header %v", w.Code, w.Header())
	}
	for name := range ts.receivedHeader {
		if strings.HasPrefix(strings.ToLower(strings.ReplaceAll(name, "_", "-")), "x-carawayusher-") || name == "Authorization" {
			t.Errorf("%s reached the handlers", name)
		}
	}
	if ts.receivedHeader.Get("X-Other") != "kept" {
		t.Error("another header was removed")
	}
}

// Guards against refusing a job as impossible, which is final, while the size of
// a failure domain is not known.
func TestUnknownFleetRefusesNothing(t *testing.T) {
	ts := newTestServer()
	ts.summaries[0].Workers = 0
	if w := ts.post(t, `{"class":"long","accelerators":90,"adjacency":"rack"}`, nil); w.Code != http.StatusAccepted {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
}

// Guards against requests that are served before the first configuration is
// loaded, and against unknown paths without a problem document in the response.
func TestBeforeConfigurationAndUnknownPath(t *testing.T) {
	ts := newTestServer()
	ts.doc = nil
	if p := decodeProblem(t, ts.post(t, `{}`, nil)); p.Kind != errkind.Unavailable {
		t.Errorf("kind %s", p.Kind)
	}
	if p := decodeProblem(t, ts.do(t.Context(), "GET", "/v2", "", nil)); p.Kind != errkind.NotFound {
		t.Errorf("kind %s", p.Kind)
	}
}
