package ingress

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// Guards against a missing result, against the wrong durability of a job, such
// as a 202 without wait for a job that is not durable, and against a wait that
// differs from the caller's request.
func TestSubmit(t *testing.T) {
	once := http.Header{IdempotencyKeyHeader: {"order-1"}}
	for _, tc := range []struct {
		name, query, body string
		header            http.Header
		blockWaits        bool
		code              int
		durable           bool
	}{
		{"short", "", `{"class":"urgent","payload":{"a":1}}`, nil, false, 200, false},
		{"short, wait over", "?wait=2s", `{"class":"urgent"}`, nil, true, 202, false},
		{"short without wait", "?wait=0", `{"class":"urgent"}`, nil, false, 202, true},
		{"short at most once", "", `{"class":"urgent","atMostOnce":true}`, once, false, 200, true},
		{"long", "", `{"class":"long","accelerators":4}`, nil, false, 202, true},
		{"long with wait", "?wait=5", `{"class":"long"}`, nil, false, 200, true},
		{"long with preference", "", `{"class":"long"}`, http.Header{"Prefer": {`foo; a=b, wait="5"`}}, false, 200, true},
		{"long, wait over", "?wait=70s", `{"class":"long"}`, nil, true, 202, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestServer()
				ts.service.blockWaits = tc.blockWaits
				start := time.Now()
				w := ts.do(t.Context(), http.MethodPost, "/v1/jobs"+tc.query, tc.body, tc.header)
				status := decodeStatus(t, w)
				req := ts.service.submits[0]
				if w.Code != tc.code || req.Durable != tc.durable || status.Spec.Workspace != "postbud" {
					t.Errorf("status %d, request %+v", w.Code, req)
				}
				if w.Header().Get("Location") != "/v1/jobs/"+string(status.ID) || w.Header().Get("Content-Length") == "" {
					t.Errorf("header %v", w.Header())
				}
				if tc.code == 200 && string(status.Result) != `{"flag":true}` {
					t.Errorf("result %q", status.Result)
				}
				if time.Since(start) > DefaultMaxWait {
					t.Errorf("waited %s", time.Since(start))
				}
			})
		})
	}
}

// Guards against an idempotency key that maps to more than one partition, and
// against an unnecessary hop for a job without a key.
func TestPartitionOfJob(t *testing.T) {
	ts := newTestServer()
	for range 20 {
		ts.post(t, `{"class":"long"}`, nil)
		ts.post(t, `{"class":"long","payload":{ "a" : 1 }}`, http.Header{IdempotencyKeyHeader: {"k"}})
		ts.post(t, `{"class":"long","payload":{"a":1}}`, http.Header{IdempotencyKeyHeader: {"k"}})
	}
	keyed := partitionOfKey("postbud", "k", 16)
	for _, s := range ts.service.submits {
		n, ok := partitionOf(s.ID)
		if want := map[string]int{"": 3, "k": keyed}[s.IdempotencyKey]; !ok || n != want {
			t.Errorf("key %q: %s", s.IdempotencyKey, s.ID)
		}
		if s.IdempotencyKey == "k" && s.SpecHash != ts.service.submits[1].SpecHash {
			t.Error("white space in the payload changes the hash of the request")
		}
	}
	if partitionOfKey("ab", "c", 1<<20) == partitionOfKey("a", "bc", 1<<20) {
		t.Error("workspace and key run together")
	}
	ts.owners = nil
	ts.in.randIntN = func(n int) int { return n - 1 }
	ts.post(t, `{"class":"long"}`, nil)
	if n, _ := partitionOf(ts.service.submits[len(ts.service.submits)-1].ID); n != 15 {
		t.Errorf("without own partitions: partition %d", n)
	}
}

// Guards against a call that is lost, resubmitted under a second job ID or
// completed with another caller's result when the owner of the partition fails.
func TestOwnerFailsAndComesBack(t *testing.T) {
	unavailable := reply{err: errkind.New(errkind.Unavailable, "link down")}
	stale := reply{err: errkind.New(errkind.StaleEpoch, "moved")}
	mismatched := reply{edit: func(j *api.JobStatus) { j.ID = otherJob }}
	foreign := reply{edit: func(j *api.JobStatus) { j.Spec.Workspace = "lautoka" }}
	gone := reply{err: errkind.New(errkind.NotFound, "no job has this ID")}
	late := reply{hang: true}
	for _, tc := range []struct {
		name         string
		submit, wait []reply
		body         string
		submits      int
	}{
		{"submit unavailable", []reply{unavailable, stale, unavailable}, nil, `{"class":"urgent"}`, 4},
		{"submit times out", []reply{late}, nil, `{"class":"urgent"}`, 2},
		{"submit mismatched", []reply{mismatched, foreign}, nil, `{"class":"urgent"}`, 3},
		{"wait unavailable", nil, []reply{unavailable, stale}, `{"class":"urgent"}`, 3},
		{"wait times out", nil, []reply{late}, `{"class":"urgent"}`, 2},
		{"wait mismatched", nil, []reply{mismatched, foreign}, `{"class":"urgent"}`, 3},
		{"job lost with its owner", nil, []reply{gone}, `{"class":"urgent"}`, 2},
		{"durable", []reply{unavailable}, []reply{unavailable}, `{"class":"long"}`, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestServer()
				ts.service.onSubmit, ts.service.onWait = tc.submit, tc.wait
				w := ts.do(t.Context(), http.MethodPost, "/v1/jobs?wait=30s", tc.body, nil)
				status := decodeStatus(t, w)
				if w.Code != 200 || len(ts.service.submits) != tc.submits || string(status.Result) != `{"flag":true}` {
					t.Errorf("status %d after %d submissions: %s", w.Code, len(ts.service.submits), w.Body)
				}
				for _, s := range ts.service.submits {
					if s.ID != status.ID {
						t.Errorf("submitted as %s, answered as %s", s.ID, status.ID)
					}
				}
			})
		})
	}
}

// Guards against a refusal that reports "not run" although the job may have been
// started, and against one that does not report it although the job was not.
func TestRefusalSaysWhetherItRan(t *testing.T) {
	fail := func(k errkind.Kind) reply { return reply{err: errkind.New(k, "refused")} }
	repeat := func(s reply) []reply { return slices.Repeat([]reply{s}, 1000) }
	for _, tc := range []struct {
		name         string
		submit, wait []reply
		body         string
		code         int
		kind         errkind.Kind
		ran          errkind.Ran
	}{
		{"full queue", []reply{fail(errkind.Overloaded)}, nil, `{"class":"urgent"}`, 503, errkind.Overloaded, errkind.NotRun},
		{"store outage", []reply{fail(errkind.StoreUnavailable)}, nil, `{"class":"long"}`, 503, errkind.StoreUnavailable, errkind.NotRun},
		{"key of another request", []reply{fail(errkind.Conflict)}, nil, `{"class":"long"}`, 409, errkind.Conflict, errkind.NotRun},
		{"no owner", repeat(fail(errkind.StaleEpoch)), nil, `{"class":"urgent"}`, 503, errkind.StaleEpoch, errkind.NotRun},
		{"link always down", repeat(fail(errkind.Unavailable)), nil, `{"class":"urgent"}`, 503, errkind.Unavailable, errkind.Unknown},
		{"link down, then full", []reply{fail(errkind.Unavailable), fail(errkind.Overloaded)}, nil, `{"class":"urgent"}`, 503, errkind.Overloaded, errkind.Unknown},
		{"always mismatched", repeat(reply{edit: func(j *api.JobStatus) { j.ID = otherJob }}), nil, `{"class":"urgent"}`, 500, errkind.Internal, errkind.Unknown},
		{"always times out", repeat(reply{hang: true}), nil, `{"class":"urgent"}`, 504, errkind.Timeout, errkind.Unknown},
		{"owner lost while waiting", nil, repeat(fail(errkind.Unavailable)), `{"class":"urgent"}`, 503, errkind.Unavailable, errkind.Unknown},
		{"durable job is gone", nil, []reply{fail(errkind.NotFound)}, `{"class":"long"}`, 500, errkind.Internal, errkind.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts := newTestServer()
				ts.service.onSubmit, ts.service.onWait = tc.submit, tc.wait
				start := time.Now()
				w := ts.do(t.Context(), http.MethodPost, "/v1/jobs?wait=20s", tc.body, nil)
				if p := decodeProblem(t, w); w.Code != tc.code || p.Kind != tc.kind || p.Ran != tc.ran {
					t.Errorf("status %d, %+v", w.Code, p)
				}
				if took := time.Since(start); took > 20*time.Second+DefaultAttemptTimeout {
					t.Errorf("the call took %s", took)
				}
			})
		})
	}
}

// Guards against an error response for a journaled job whose owner fails during
// the caller's wait: the job continues.
func TestDurableJobOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer()
		down := reply{err: errkind.New(errkind.Unavailable, "down")}
		ts.service.onSubmit = append([]reply{{}}, slices.Repeat([]reply{down}, 1000)...)
		ts.service.onWait = []reply{down}
		w := ts.do(t.Context(), http.MethodPost, "/v1/jobs?wait=5s", `{"class":"long"}`, nil)
		if status := decodeStatus(t, w); w.Code != http.StatusAccepted || status.State != api.StateQueued {
			t.Errorf("status %d: %s", w.Code, w.Body)
		}
	})
}

// Guards against dropping the status of an earlier job with the same key as a
// mismatched response, and against accepting the status of an unrelated job.
func TestEarlierJobOfTheSameKey(t *testing.T) {
	earlier := newJobID(partitionOfKey("postbud", "k", 16))
	ts := newTestServer()
	ts.addJob(earlier, "postbud", func(j *api.JobStatus) { j.State, j.Spec.Class = api.StateSucceeded, "urgent" })
	ts.service.onSubmit = []reply{{edit: func(j *api.JobStatus) { *j = ts.service.jobs[earlier] }}}
	w := ts.post(t, `{"class":"urgent"}`, http.Header{IdempotencyKeyHeader: {"k"}})
	if status := decodeStatus(t, w); w.Code != 200 || status.ID != earlier {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
	c := &call{workspace: "postbud", partition: 3, job: someJob}
	c.submit.Spec.Class = "urgent"
	foreign := api.JobStatus{ID: earlier, Spec: api.JobSpec{Workspace: "postbud", Class: "urgent"}}
	if c.matches(foreign) {
		t.Error("another job's status passes for a call without a key")
	}
}

// Guards against a failed job that is reported as a success, without the job
// status, or with a wrong statement about whether it ran.
func TestResultOfEndedJob(t *testing.T) {
	for _, tc := range []struct {
		state api.State
		kind  string
		ran   string
		code  int
		want  errkind.Kind
		claim errkind.Ran
	}{
		{api.StateSucceeded, "", "yes", 200, "", ""},
		{api.StateRunning, "", "", 202, "", ""},
		{api.StateFailed, "", "yes", 502, errkind.TaskFailed, errkind.HasRun},
		{api.StateCancelled, "", "no", 409, errkind.Cancelled, errkind.NotRun},
		{api.StateExpired, "", "", 422, errkind.DeadlinePassed, errkind.Unknown},
		{api.StateRefused, "overloaded", "no", 503, errkind.Overloaded, errkind.NotRun},
		{api.StateUnknown, "", "unknown", 502, errkind.OutcomeUnknown, errkind.Unknown},
	} {
		ts := newTestServer()
		ts.addJob(someJob, "postbud", func(j *api.JobStatus) {
			j.State, j.ErrorKind, j.Ran, j.Result = tc.state, tc.kind, tc.ran, json.RawMessage(`[1]`)
		})
		w := ts.do(t.Context(), http.MethodGet, "/v1/jobs/"+someJob+"/result", "", nil)
		if w.Code != tc.code {
			t.Errorf("%s: status %d", tc.state, w.Code)
		}
		if tc.want == "" {
			decodeStatus(t, w)
			continue
		}
		if p := decodeProblem(t, w); p.Kind != tc.want || p.Ran != tc.claim || p.Job == nil || string(p.Job.Result) != `[1]` {
			t.Errorf("%s: %+v", tc.state, p)
		}
	}
}

// Guards against routes that do not retry while an owner is unavailable, a
// cancellation that does not report that it is not durable, and list pages that
// contain payloads or jobs of other workspaces.
func TestReadingRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer()
		ts.addJob(someJob, "postbud", nil)
		get := func(method, path string) *api.JobStatus {
			ts.service.onGet = []reply{{err: errkind.New(errkind.Unavailable, "down")}, {edit: func(j *api.JobStatus) { j.ID = otherJob }}}
			status := decodeStatus(t, ts.do(t.Context(), method, path, "", nil))
			return &status
		}
		if s := get("GET", "/v1/jobs/"+someJob); s.State != api.StateRunning {
			t.Errorf("status %+v", s)
		}
		if s := get("GET", "/v1/jobs/"+someJob+"/result?wait=10s"); s.State != api.StateSucceeded {
			t.Errorf("result %+v", s)
		}
		if s := get("DELETE", "/v1/jobs/"+someJob); s.State != api.StateCancelled || s.Durable {
			t.Errorf("cancel %+v", s)
		}
		var list api.JobList
		ts.service.listFailures = 2
		w := ts.do(t.Context(), "GET", "/v1/jobs?state=running&class=long&limit=1&after="+otherJob, "", nil)
		if err := json.Unmarshal(w.Body.Bytes(), &list); err != nil || len(list.Jobs) != 1 || list.Next != someJob || list.Jobs[0].Spec.Payload != nil {
			t.Errorf("list %s", w.Body)
		}
		if r := ts.service.listRequest; r.Workspace != "postbud" || r.State != "running" || r.Class != "long" || r.After != otherJob {
			t.Errorf("list request %+v", r)
		}
		ts.addJob(otherJob, "lautoka", nil)
		if p := decodeProblem(t, ts.do(t.Context(), "GET", "/v1/jobs", "", nil)); p.Kind != errkind.Internal {
			t.Errorf("a page with a foreign job: %+v", p)
		}
		if w := ts.do(t.Context(), "GET", "/v1/workers", "", nil); !strings.Contains(w.Body.String(), `"acceleratorsFree":3`) {
			t.Errorf("workers %s", w.Body)
		}
	})
}

// Guards against a drain that interrupts a call, accepts new ones, keeps waits
// that any VM can continue, or does not list the calls it waits for.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer()
		ts.service.blockWaits, ts.service.waiting = true, make(chan struct{}, 100)
		short, long := make(chan int), make(chan int)
		send := func(path, body string, code chan int) {
			go func() { code <- ts.do(context.Background(), http.MethodPost, path, body, nil).Code }()
			<-ts.service.waiting
		}
		send("/v1/jobs?wait=4s", `{"class":"urgent"}`, short)
		send("/v1/jobs?wait=60s", `{"class":"long"}`, long)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		err := ts.in.Drain(ctx)
		if code := <-long; code != http.StatusAccepted || time.Since(start) > time.Second {
			t.Errorf("wait for a durable job: status %d after %s", code, time.Since(start))
		}
		if !errkind.Is(err, errkind.Timeout) || !strings.Contains(err.Error(), "POST /v1/jobs (request ") {
			t.Errorf("drain with an open call: %v", err)
		}
		w := ts.post(t, `{"class":"urgent"}`, nil)
		if p := decodeProblem(t, w); p.Kind != errkind.Unavailable || p.Ran != errkind.NotRun || w.Header().Get("Connection") != "close" {
			t.Errorf("new call: %+v", p)
		}
		if n := testutil.ToFloat64(ts.in.metrics.requests.WithLabelValues("POST /v1/jobs", "unavailable")); n != 1 {
			t.Errorf("%g refusals counted", n)
		}
		done := make(chan error)
		go func() { done <- ts.in.Drain(context.Background()) }()
		if code := <-short; code != http.StatusAccepted {
			t.Errorf("open call: status %d", code)
		}
		if err := <-done; err != nil {
			t.Errorf("drain after the last call: %v", err)
		}
	})
}

// Guards against an unlimited number of open calls, and against a handler panic
// that breaks the caller's connection.
func TestTooManyCallsAndPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTestServer()
		ts.service.onGet = []reply{{edit: func(*api.JobStatus) { panic("broken handler") }}}
		ts.addJob(someJob, "postbud", nil)
		if p := decodeProblem(t, ts.do(t.Context(), "GET", "/v1/jobs/"+someJob, "", nil)); p.Kind != errkind.Internal || p.Ran != errkind.Unknown {
			t.Errorf("panic: %+v", p)
		}
		ts.service.blockWaits, ts.service.waiting = true, make(chan struct{}, 100)
		done := make(chan int)
		for range 3 {
			go func() { done <- ts.post(t, `{"class":"urgent"}`, nil).Code }()
			<-ts.service.waiting
		}
		if p := decodeProblem(t, ts.post(t, `{"class":"urgent"}`, nil)); p.Kind != errkind.Overloaded || p.Ran != errkind.NotRun {
			t.Errorf("fourth call: %+v", p)
		}
		for range 3 {
			<-done
		}
	})
}
