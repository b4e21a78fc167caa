package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/problem"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const job = api.JobID("j3-0f8b8e9c-3f5e-4a5f-9f57-0d6f5a3f1a11")

// server returns the URL of a server that counts its requests.
func server(t *testing.T, handle http.HandlerFunc) (url string, hits *int) {
	hits = new(int)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*hits++
		handle(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL, hits
}

func newClient(t *testing.T, servers ...string) *Client {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	c, err := New(Options{Servers: servers, Token: "secret", HTTP: &http.Client{Transport: transport}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func succeed(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(api.JobStatus{ID: job, State: api.StateSucceeded, Result: json.RawMessage(`1`)})
}

func refuse(kind errkind.Kind, ran errkind.Ran) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		p := problem.FromError(errkind.New(kind, "refused").WithRetryAfter(time.Millisecond), "req-1")
		p.Ran = ran
		problem.Write(w, p)
	}
}

func cut(w http.ResponseWriter, _ *http.Request) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		conn.Close()
	}
}

// Guards against a request that runs twice because of a failover, and against
// one that fails although another server could take it.
func TestFailover(t *testing.T) {
	for _, tc := range []struct {
		name   string
		first  http.HandlerFunc // nil: nothing listens
		key    string
		second bool // whether the second server is asked
		want   errkind.Kind
	}{
		{"unreachable", nil, "", true, ""},
		{"cut without key", cut, "", false, errkind.Unavailable},
		{"cut with key", cut, "k", true, ""},
		{"refused, not run", refuse(errkind.Unavailable, errkind.NotRun), "", true, ""},
		{"refused, unclear", refuse(errkind.Unavailable, errkind.Unknown), "", false, errkind.Unavailable},
		{"refused, unclear, with key", refuse(errkind.Unavailable, errkind.Unknown), "k", true, ""},
		{"over the quota", refuse(errkind.QuotaExceeded, errkind.NotRun), "k", false, errkind.QuotaExceeded},
		{"store down everywhere", refuse(errkind.StoreUnavailable, errkind.NotRun), "k", false, errkind.StoreUnavailable},
		{"a proxy's page", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "busy", http.StatusServiceUnavailable) }, "", false, errkind.Unavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first := "http://127.0.0.1:1"
			if tc.first != nil {
				first, _ = server(t, tc.first)
			}
			second, hits := server(t, succeed)
			_, err := newClient(t, first, second).Submit(t.Context(), api.JobSpec{}, SubmitOptions{IdempotencyKey: tc.key})
			if errkind.Of(err) != tc.want || (*hits == 1) != tc.second {
				t.Errorf("%v; the second server was asked %d times", err, *hits)
			}
		})
	}
}

// Guards against members of the problem document that are lost on the way to
// the caller.
func TestErrorKeepsTheDocument(t *testing.T) {
	url, hits := server(t, func(w http.ResponseWriter, _ *http.Request) {
		p := problem.FromError(errkind.New(errkind.QuotaExceeded, "too many").WithRetryAfter(3*time.Second), "req-7")
		p.Job = &api.JobStatus{ID: job}
		problem.Write(w, p)
	})
	_, err := newClient(t, url).Status(t.Context(), job)
	var answered *Error
	if !errors.As(err, &answered) || answered.RequestID != "req-7" || answered.Ran != errkind.NotRun || !answered.Retryable || answered.Job.ID != job {
		t.Errorf("%#v", err)
	}
	if e := errkind.As(err); e.Kind != errkind.QuotaExceeded || e.RetryAfter != 3*time.Second || *hits != 1 {
		t.Errorf("%+v after %d requests", e, *hits)
	}
}

// Guards against half an answer, or another job's, that passes for a result.
func TestWrongAnswers(t *testing.T) {
	other, _ := server(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"id":"j1-other"}`) })
	if _, err := newClient(t, other).Result(t.Context(), job, 0); !errkind.Is(err, errkind.Internal) {
		t.Errorf("another job: %v", err)
	}
	half, hits := server(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"id":"`+string(job)+`"}`)
	})
	if _, err := newClient(t, half).Status(t.Context(), job); !errkind.Is(err, errkind.Unavailable) || *hits != rounds {
		t.Errorf("half an answer: %v after %d requests", err, *hits)
	}
}

// Guards against requests without token, with a wrong path, or with options
// that are not sent.
func TestRequests(t *testing.T) {
	var got []string
	url, _ := server(t, func(w http.ResponseWriter, r *http.Request) {
		got = append(got, r.Method+" "+r.URL.String()+" "+r.Header.Get("Authorization")+" "+r.Header.Get("Prefer")+" "+r.Header.Get("Idempotency-Key"))
		succeed(w, r)
	})
	c, ctx, wait := newClient(t, url+"/"), t.Context(), 1500*time.Millisecond
	_, err1 := c.Submit(ctx, api.JobSpec{Class: "long"}, SubmitOptions{IdempotencyKey: "k", Wait: &wait})
	_, err2 := c.Cancel(ctx, job)
	_, err3 := c.Await(ctx, job, time.Second)
	_, err4 := c.List(ctx, ListOptions{Class: "long", State: "queued", After: job, Limit: 5})
	_, err5 := c.Workers(ctx)
	if err := errors.Wrapf(firstError(err1, err2, err3, err4, err5), "%v", got); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"POST /v1/jobs Bearer secret wait=2 k",
		"DELETE /v1/jobs/" + string(job) + " Bearer secret  ",
		"GET /v1/jobs/" + string(job) + "/result?wait=",
		"GET /v1/jobs?after=" + string(job) + "&class=long&limit=5&state=queued Bearer secret  ",
		"GET /v1/workers Bearer secret  ",
	}
	for i := range want {
		if i >= len(got) || (got[i] != want[i] && (i != 2 || got[i][:len(want[i])] != want[i])) {
			t.Errorf("requests %q, want %q", got, want)
		}
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Guards against a call that outlives its context or hides that its outcome is
// not known, and against settings that fail only at the first call.
func TestContextAndOptions(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	url, _ := server(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	_, err := newClient(t, url, url).Status(ctx, job)
	if !errkind.Is(err, errkind.Timeout) {
		t.Errorf("cancelled call: %v", err)
	}
	for _, servers := range [][]string{nil, {"ftp://x"}, {"127.0.0.1:80"}} {
		if _, err := New(Options{Servers: servers}); !errkind.Is(err, errkind.InvalidRequest) {
			t.Errorf("servers %q: %v", servers, err)
		}
	}
}
