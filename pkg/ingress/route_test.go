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

// Guards against a 202 for a job that is not durable, a lost result and a
// wait that ignores the caller.
func TestSubmit(t *testing.T) {
	once := http.Header{IdempotencyKeyHeader: {"order-1"}}
	for _, tc := range []struct {
		name, query, body string
		header            http.Header
		forever           bool
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
				b := newBench()
				b.service.forever = tc.forever
				began := time.Now()
				w := b.do(t.Context(), http.MethodPost, "/v1/jobs"+tc.query, tc.body, tc.header)
				status := statusOf(t, w)
				req := b.service.submits[0]
				if w.Code != tc.code || req.Durable != tc.durable || status.Spec.Workspace != "postbud" {
					t.Errorf("status %d, request %+v", w.Code, req)
				}
				if w.Header().Get("Location") != "/v1/jobs/"+string(status.ID) || w.Header().Get("Content-Length") == "" {
					t.Errorf("header %v", w.Header())
				}
				if tc.code == 200 && string(status.Result) != `{"flag":true}` {
					t.Errorf("result %q", status.Result)
				}
				if time.Since(began) > DefaultMaxWait {
					t.Errorf("waited %s", time.Since(began))
				}
			})
		})
	}
}

// Guards against a key that maps to more than one partition and against a hop
// that a job without key does not need.
func TestPartitionOfJob(t *testing.T) {
	b := newBench()
	for range 20 {
		b.post(t, `{"class":"long"}`, nil)
		b.post(t, `{"class":"long","payload":{ "a" : 1 }}`, http.Header{IdempotencyKeyHeader: {"k"}})
		b.post(t, `{"class":"long","payload":{"a":1}}`, http.Header{IdempotencyKeyHeader: {"k"}})
	}
	keyed := partitionOfKey("postbud", "k", 16)
	for _, s := range b.service.submits {
		n, ok := partitionOf(s.ID)
		if want := map[string]int{"": 3, "k": keyed}[s.IdempotencyKey]; !ok || n != want {
			t.Errorf("key %q: %s", s.IdempotencyKey, s.ID)
		}
		if s.IdempotencyKey == "k" && s.SpecHash != b.service.submits[1].SpecHash {
			t.Error("white space in the payload changes the hash of the request")
		}
	}
	if partitionOfKey("ab", "c", 1<<20) == partitionOfKey("a", "bc", 1<<20) {
		t.Error("workspace and key run together")
	}
	b.owners = nil
	b.in.pick = func(n int) int { return n - 1 }
	b.post(t, `{"class":"long"}`, nil)
	if n, _ := partitionOf(b.service.submits[len(b.service.submits)-1].ID); n != 15 {
		t.Errorf("without own partitions: partition %d", n)
	}
}

// Guards against a call that is lost, run under a second ID or answered with
// another caller's result when the owner of the partition fails.
func TestOwnerFailsAndComesBack(t *testing.T) {
	unavailable := step{err: errkind.New(errkind.Unavailable, "link down")}
	stale := step{err: errkind.New(errkind.StaleEpoch, "moved")}
	crossed := step{edit: func(j *api.JobStatus) { j.ID = otherJob }}
	foreign := step{edit: func(j *api.JobStatus) { j.Spec.Workspace = "lautoka" }}
	gone := step{err: errkind.New(errkind.NotFound, "no job has this ID")}
	late := step{hang: true}
	for _, tc := range []struct {
		name         string
		submit, wait []step
		body         string
		submits      int
	}{
		{"submit unavailable", []step{unavailable, stale, unavailable}, nil, `{"class":"urgent"}`, 4},
		{"submit answers late", []step{late}, nil, `{"class":"urgent"}`, 2},
		{"submit crossed", []step{crossed, foreign}, nil, `{"class":"urgent"}`, 3},
		{"wait unavailable", nil, []step{unavailable, stale}, `{"class":"urgent"}`, 3},
		{"wait answers late", nil, []step{late}, `{"class":"urgent"}`, 2},
		{"wait crossed", nil, []step{crossed, foreign}, `{"class":"urgent"}`, 3},
		{"forgotten with its owner", nil, []step{gone}, `{"class":"urgent"}`, 2},
		{"durable", []step{unavailable}, []step{unavailable}, `{"class":"long"}`, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.service.onSubmit, b.service.onWait = tc.submit, tc.wait
				w := b.do(t.Context(), http.MethodPost, "/v1/jobs?wait=30s", tc.body, nil)
				status := statusOf(t, w)
				if w.Code != 200 || len(b.service.submits) != tc.submits || string(status.Result) != `{"flag":true}` {
					t.Errorf("status %d after %d submissions: %s", w.Code, len(b.service.submits), w.Body)
				}
				for _, s := range b.service.submits {
					if s.ID != status.ID {
						t.Errorf("submitted as %s, answered as %s", s.ID, status.ID)
					}
				}
			})
		})
	}
}

// Guards against a refusal that says "not run" although the job may have been
// started, and against one that hides that it was not.
func TestRefusalSaysWhetherItRan(t *testing.T) {
	fail := func(k errkind.Kind) step { return step{err: errkind.New(k, "refused")} }
	repeat := func(s step) []step { return slices.Repeat([]step{s}, 1000) }
	for _, tc := range []struct {
		name         string
		submit, wait []step
		body         string
		code         int
		kind         errkind.Kind
		ran          errkind.Ran
	}{
		{"full queue", []step{fail(errkind.Overloaded)}, nil, `{"class":"urgent"}`, 503, errkind.Overloaded, errkind.NotRun},
		{"store outage", []step{fail(errkind.StoreUnavailable)}, nil, `{"class":"long"}`, 503, errkind.StoreUnavailable, errkind.NotRun},
		{"key of another request", []step{fail(errkind.Conflict)}, nil, `{"class":"long"}`, 409, errkind.Conflict, errkind.NotRun},
		{"no owner", repeat(fail(errkind.StaleEpoch)), nil, `{"class":"urgent"}`, 503, errkind.StaleEpoch, errkind.NotRun},
		{"link stays down", repeat(fail(errkind.Unavailable)), nil, `{"class":"urgent"}`, 503, errkind.Unavailable, errkind.Unknown},
		{"link down, then full", []step{fail(errkind.Unavailable), fail(errkind.Overloaded)}, nil, `{"class":"urgent"}`, 503, errkind.Overloaded, errkind.Unknown},
		{"crossed for ever", repeat(step{edit: func(j *api.JobStatus) { j.ID = otherJob }}), nil, `{"class":"urgent"}`, 500, errkind.Internal, errkind.Unknown},
		{"hangs for ever", repeat(step{hang: true}), nil, `{"class":"urgent"}`, 504, errkind.Timeout, errkind.Unknown},
		{"owner lost while waiting", nil, repeat(fail(errkind.Unavailable)), `{"class":"urgent"}`, 503, errkind.Unavailable, errkind.Unknown},
		{"durable job is gone", nil, []step{fail(errkind.NotFound)}, `{"class":"long"}`, 500, errkind.Internal, errkind.Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.service.onSubmit, b.service.onWait = tc.submit, tc.wait
				began := time.Now()
				w := b.do(t.Context(), http.MethodPost, "/v1/jobs?wait=20s", tc.body, nil)
				if p := problemOf(t, w); w.Code != tc.code || p.Kind != tc.kind || p.Ran != tc.ran {
					t.Errorf("status %d, %+v", w.Code, p)
				}
				if took := time.Since(began); took > 20*time.Second+DefaultAttemptTimeout {
					t.Errorf("the call took %s", took)
				}
			})
		})
	}
}

// Guards against an error for a journaled job whose owner is lost during the
// caller's wait: the job goes on.
func TestDurableJobOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		down := step{err: errkind.New(errkind.Unavailable, "down")}
		b.service.onSubmit = append([]step{{}}, slices.Repeat([]step{down}, 1000)...)
		b.service.onWait = []step{down}
		w := b.do(t.Context(), http.MethodPost, "/v1/jobs?wait=5s", `{"class":"long"}`, nil)
		if status := statusOf(t, w); w.Code != http.StatusAccepted || status.State != api.StateQueued {
			t.Errorf("status %d: %s", w.Code, w.Body)
		}
	})
}

// Guards against an earlier job of the same key that is taken for a crossed
// answer, and against any other job that is taken for the earlier one.
func TestEarlierJobOfTheSameKey(t *testing.T) {
	earlier := newJobID(partitionOfKey("postbud", "k", 16))
	b := newBench()
	b.addJob(earlier, "postbud", func(j *api.JobStatus) { j.State, j.Spec.Class = api.StateSucceeded, "urgent" })
	b.service.onSubmit = []step{{edit: func(j *api.JobStatus) { *j = b.service.jobs[earlier] }}}
	w := b.post(t, `{"class":"urgent"}`, http.Header{IdempotencyKeyHeader: {"k"}})
	if status := statusOf(t, w); w.Code != 200 || status.ID != earlier {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
	c := &call{workspace: "postbud", partition: 3, job: someJob}
	c.submit.Spec.Class = "urgent"
	foreign := api.JobStatus{ID: earlier, Spec: api.JobSpec{Workspace: "postbud", Class: "urgent"}}
	if c.owns(foreign) {
		t.Error("another job's status passes for a call without a key")
	}
}

// Guards against a failure that is answered as a success, without the job's
// status, or with a wrong claim about whether it ran.
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
		b := newBench()
		b.addJob(someJob, "postbud", func(j *api.JobStatus) {
			j.State, j.ErrorKind, j.Ran, j.Result = tc.state, tc.kind, tc.ran, json.RawMessage(`[1]`)
		})
		w := b.do(t.Context(), http.MethodGet, "/v1/jobs/"+someJob+"/result", "", nil)
		if w.Code != tc.code {
			t.Errorf("%s: status %d", tc.state, w.Code)
		}
		if tc.want == "" {
			statusOf(t, w)
			continue
		}
		if p := problemOf(t, w); p.Kind != tc.want || p.Ran != tc.claim || p.Job == nil || string(p.Job.Result) != `[1]` {
			t.Errorf("%s: %+v", tc.state, p)
		}
	}
}

// Guards against reading routes that give up while an owner moves, a cancel
// that hides that it is not durable, and pages that leak payloads or jobs.
func TestReadingRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.addJob(someJob, "postbud", nil)
		get := func(method, path string) *api.JobStatus {
			b.service.onGet = []step{{err: errkind.New(errkind.Unavailable, "down")}, {edit: func(j *api.JobStatus) { j.ID = otherJob }}}
			status := statusOf(t, b.do(t.Context(), method, path, "", nil))
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
		b.service.listFails = 2
		w := b.do(t.Context(), "GET", "/v1/jobs?state=running&class=long&limit=1&after="+otherJob, "", nil)
		if err := json.Unmarshal(w.Body.Bytes(), &list); err != nil || len(list.Jobs) != 1 || list.Next != someJob || list.Jobs[0].Spec.Payload != nil {
			t.Errorf("list %s", w.Body)
		}
		if r := b.service.listed; r.Workspace != "postbud" || r.State != "running" || r.Class != "long" || r.After != otherJob {
			t.Errorf("list request %+v", r)
		}
		b.addJob(otherJob, "lautoka", nil)
		if p := problemOf(t, b.do(t.Context(), "GET", "/v1/jobs", "", nil)); p.Kind != errkind.Internal {
			t.Errorf("a page with a foreign job: %+v", p)
		}
		if w := b.do(t.Context(), "GET", "/v1/workers", "", nil); !strings.Contains(w.Body.String(), `"acceleratorsFree":3`) {
			t.Errorf("workers %s", w.Body)
		}
	})
}

// Guards against a shutdown that interrupts a call, accepts new ones, holds on
// to waits that any VM can continue, or does not say what it waits for.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.service.forever, b.service.waiting = true, make(chan struct{}, 100)
		short, long := make(chan int), make(chan int)
		send := func(path, body string, code chan int) {
			go func() { code <- b.do(context.Background(), http.MethodPost, path, body, nil).Code }()
			<-b.service.waiting
		}
		send("/v1/jobs?wait=4s", `{"class":"urgent"}`, short)
		send("/v1/jobs?wait=60s", `{"class":"long"}`, long)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		err := b.in.Drain(ctx)
		if code := <-long; code != http.StatusAccepted || time.Since(began) > time.Second {
			t.Errorf("wait for a durable job: status %d after %s", code, time.Since(began))
		}
		if !errkind.Is(err, errkind.Timeout) || !strings.Contains(err.Error(), "POST /v1/jobs (request ") {
			t.Errorf("drain with an open call: %v", err)
		}
		w := b.post(t, `{"class":"urgent"}`, nil)
		if p := problemOf(t, w); p.Kind != errkind.Unavailable || p.Ran != errkind.NotRun || w.Header().Get("Connection") != "close" {
			t.Errorf("new call: %+v", p)
		}
		if n := testutil.ToFloat64(b.in.metrics.requests.WithLabelValues("POST /v1/jobs", "unavailable")); n != 1 {
			t.Errorf("%g refusals counted", n)
		}
		done := make(chan error)
		go func() { done <- b.in.Drain(context.Background()) }()
		if code := <-short; code != http.StatusAccepted {
			t.Errorf("open call: status %d", code)
		}
		if err := <-done; err != nil {
			t.Errorf("drain after the last call: %v", err)
		}
	})
}

// Guards against an unbounded number of open calls and against a panic that
// breaks the caller's connection.
func TestTooManyCallsAndPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.service.onGet = []step{{edit: func(*api.JobStatus) { panic("broken handler") }}}
		b.addJob(someJob, "postbud", nil)
		if p := problemOf(t, b.do(t.Context(), "GET", "/v1/jobs/"+someJob, "", nil)); p.Kind != errkind.Internal || p.Ran != errkind.Unknown {
			t.Errorf("panic: %+v", p)
		}
		b.service.forever, b.service.waiting = true, make(chan struct{}, 100)
		done := make(chan int)
		for range 3 {
			go func() { done <- b.post(t, `{"class":"urgent"}`, nil).Code }()
			<-b.service.waiting
		}
		if p := problemOf(t, b.post(t, `{"class":"urgent"}`, nil)); p.Kind != errkind.Overloaded || p.Ran != errkind.NotRun {
			t.Errorf("fourth call: %+v", p)
		}
		for range 3 {
			<-done
		}
	})
}
