package ctl

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/problem"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		http.DefaultClient.CloseIdleConnections()
		os.Exit(code)
	}))
}

const job = "j3-0f8b8e9c-3f5e-4a5f-9f57-0d6f5a3f1a11"

// system answers every request of the tests.
type system struct {
	url, route, token, body, key string
	answer                       any
	status                       int
}

func newSystem(t *testing.T) *system {
	s := &system{status: 200}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.route, s.token, s.body, s.key = r.Method+" "+r.URL.String(), r.Header.Get("Authorization"), string(body), r.Header.Get("Idempotency-Key")
		if p, ok := s.answer.(problem.Problem); ok {
			problem.Write(w, p)
			return
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(s.status)
		_ = json.NewEncoder(w).Encode(s.answer)
	}))
	t.Cleanup(server.Close)
	s.url = server.URL
	t.Setenv(envServer, server.URL)
	t.Setenv(envToken, "secret")
	return s
}

func run(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Execute(t.Context(), args, &o, &e)
	return code, o.String(), e.String()
}

// Guards against a command that sends the wrong request, drops part of the
// answer, or ends with an exit code that scripts cannot rely on.
func TestCommands(t *testing.T) {
	running := api.JobStatus{ID: job, State: api.StateRunning, Spec: api.JobSpec{Class: "long", Name: "fit"}, Durable: true}
	done := running
	done.State, done.Result = api.StateSucceeded, json.RawMessage(`{"curve":[1,2]}`)
	failed := problem.FromError(errkind.New(errkind.TaskFailed, "exit 3"), "req-1")
	failed.Job = &api.JobStatus{ID: job, State: api.StateFailed, Result: json.RawMessage(`"log"`)}
	cancelled := running
	cancelled.State, cancelled.Durable = api.StateCancelled, false
	for _, tc := range []struct {
		args   string
		answer any
		route  string
		code   int
		out    string // part of standard output
		errOut string // part of standard error
	}{
		{"submit --class long --wait 0s", running, "POST /v1/jobs", 0, "running", ""},
		{"submit --class long -o json", running, "POST /v1/jobs", 0, `"state": "running"`, ""},
		{"submit --class long", failed, "POST /v1/jobs", 17, "failed", "task_failed: exit 3"},
		{"status " + job, running, "GET /v1/jobs/" + job, 0, "fit", ""},
		{"result " + job, done, "GET /v1/jobs/" + job + "/result?wait=0s", 0, `{"curve":[1,2]}`, ""},
		{"result -o json " + job, done, "GET /v1/jobs/" + job + "/result?wait=0s", 0, `"state": "succeeded"`, ""},
		{"result " + job, running, "GET /v1/jobs/" + job + "/result?wait=0s", 20, "running", "the job is running"},
		{"result -o json " + job, failed, "GET /v1/jobs/" + job + "/result?wait=0s", 17, `"result": "log"`, "ran: yes"},
		{"cancel " + job, cancelled, "DELETE /v1/jobs/" + job, 0, "cancelled", "not yet kept"},
		{"list --state running --limit 1", api.JobList{Jobs: []api.JobStatus{running}, Next: job}, "GET /v1/jobs?limit=1&state=running", 0, "fit", "--after " + job},
		{"workers", api.WorkerList{Workers: []api.WorkerStatus{{ID: "w9", Accelerators: 8, AcceleratorsFree: 3, Usage: &api.WorkerUsage{BusyShare: .5}}}}, "GET /v1/workers", 0, "3/8", ""},
		{"status " + job, problem.FromError(errkind.New(errkind.NotFound, "no job has this ID"), "req-2"), "GET /v1/jobs/" + job, 5, "", "req-2"},
		{"version -o json", nil, "", 0, `"go": "go1`, ""},
		{"completion bash", nil, "", 0, "carawayctl", ""},
		{"status", nil, "", 2, "", "one job ID"},
		{"list extra", nil, "", 2, "", "unexpected argument"},
		{"submit --no-such-flag", nil, "", 2, "", "unknown flag"},
		{"no-such-command", nil, "", 2, "", "unknown command"},
		{"list -o xml", nil, "", 2, "", "--output"},
		{"submit --deadline tomorrow", nil, "", 2, "", "--deadline"},
		{"submit --payload {", nil, "", 2, "", "--payload"},
		{"submit -f testdata/absent.json", nil, "", 2, "", "absent.json"},
	} {
		t.Run(tc.args, func(t *testing.T) {
			s := newSystem(t)
			s.answer = tc.answer
			code, out, errOut := run(t, strings.Fields(tc.args)...)
			if code != tc.code || !strings.Contains(out, tc.out) || !strings.Contains(errOut, tc.errOut) || s.route != tc.route {
				t.Errorf("exit %d, request %q\nout: %s\nerr: %s", code, s.route, out, errOut)
			}
			if tc.route != "" && s.token != "Bearer secret" {
				t.Errorf("token %q", s.token)
			}
		})
	}
}

// Guards against a file whose fields are lost, flags that are not laid over
// it, and defaults of flags that overwrite it.
func TestSubmitFileAndFlags(t *testing.T) {
	s := newSystem(t)
	s.answer = api.JobStatus{ID: job, State: api.StateQueued}
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(`{"class":"long","priority":7,"accelerators":4,"payload":{"letter":1}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, errOut := run(t, "submit", "-f", file, "--accelerators", "16", "--adjacency", "rack", "--deadline", "2040-01-02T03:04:05Z",
		"--declared", "90m", "--at-most-once", "--idempotency-key", "order-1", "--payload", "@"+file)
	want := `{"class":"long","priority":7,"atMostOnce":true,"accelerators":16,"adjacency":"rack","declaredSeconds":5400,` +
		`"deadline":"2040-01-02T03:04:05Z","payload":{"class":"long","priority":7,"accelerators":4,"payload":{"letter":1}}}`
	if code != 0 || s.body != want || s.key != "order-1" {
		t.Errorf("exit %d, key %q\nbody %s\nwant %s\n%s", code, s.key, s.body, want, errOut)
	}
	if code, _, errOut = run(t, "submit", "-f", "testdata/unknown_field.json"); code != 2 || !strings.Contains(errOut, "unknown field") {
		t.Errorf("unknown field: exit %d, %s", code, errOut)
	}
}

// Guards against a token from the environment that help or an error prints.
func TestTokenIsNotPrinted(t *testing.T) {
	s := newSystem(t)
	s.answer = problem.FromError(errkind.New(errkind.Unauthenticated, "no workspace has this token"), "req-1")
	_, help, _ := run(t, "submit", "--help")
	code, out, errOut := run(t, "list")
	if all := help + out + errOut; code != 3 || strings.Contains(all, "secret") {
		t.Errorf("exit %d: %s", code, all)
	}
}
