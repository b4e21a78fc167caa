package ingress

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/ownership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/problem"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

func TestMain(m *testing.M) {
	gin.SetMode(gin.TestMode)
	goleak.VerifyTestMain(m)
}

// reply is the scripted response to one call of fakeService: err, or the job as
// changed by edit.
type reply struct {
	err  error
	edit func(*api.JobStatus)
	hang bool // block until the context ends
}

// fakeService keeps jobs in memory. Its methods return scripted replies in
// order; without a scripted reply, Submit accepts the job and Wait completes it.
type fakeService struct {
	partition.Service
	mu       sync.Mutex
	submits  []partition.SubmitRequest
	jobs     map[api.JobID]api.JobStatus
	onSubmit []reply
	onWait   []reply
	onGet    []reply
	// blockWaits makes Wait block for the whole wait time.
	blockWaits  bool
	waiting     chan struct{} // receives once per wait, if set
	listRequest partition.ListRequest
	// listFailures is the number of List calls that fail as unavailable before
	// List succeeds.
	listFailures int
	calls        int
}

func (f *fakeService) nextReply(ctx context.Context, script *[]reply, job api.JobStatus, missing error) (api.JobStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if len(*script) == 0 {
		return job, missing
	}
	s := (*script)[0]
	*script = (*script)[1:]
	if s.hang {
		<-ctx.Done()
		return api.JobStatus{}, ctx.Err()
	}
	if s.edit != nil {
		s.edit(&job)
	}
	return job, s.err
}

func (f *fakeService) Submit(ctx context.Context, req partition.SubmitRequest) (api.JobStatus, error) {
	f.mu.Lock()
	f.submits = append(f.submits, req)
	job := api.JobStatus{ID: req.ID, Spec: req.Spec, State: api.StateQueued, Durable: req.Durable, Attempt: 1}
	f.jobs[req.ID] = job
	f.mu.Unlock()
	return f.nextReply(ctx, &f.onSubmit, job, nil)
}

func (f *fakeService) get(workspace string, id api.JobID) (api.JobStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job, ok := f.jobs[id]
	if !ok || job.Spec.Workspace != workspace {
		return api.JobStatus{}, errkind.New(errkind.NotFound, "no job has this ID")
	}
	return job, nil
}

func (f *fakeService) Get(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error) {
	job, err := f.get(workspace, id)
	return f.nextReply(ctx, &f.onGet, job, err)
}

func (f *fakeService) Wait(ctx context.Context, workspace string, id api.JobID, wait time.Duration) (api.JobStatus, error) {
	job, err := f.get(workspace, id)
	if f.waiting != nil {
		f.waiting <- struct{}{}
	}
	if f.blockWaits {
		select {
		case <-time.After(wait):
			return job, err
		case <-ctx.Done():
			return api.JobStatus{}, ctx.Err()
		}
	}
	if err == nil && !job.State.Terminal() {
		job.State, job.Ran, job.Result = api.StateSucceeded, "yes", json.RawMessage(`{"flag":true}`)
	}
	return f.nextReply(ctx, &f.onWait, job, err)
}

func (f *fakeService) Cancel(ctx context.Context, workspace string, id api.JobID) (api.JobStatus, error) {
	job, err := f.get(workspace, id)
	job.State, job.Durable = api.StateCancelled, false
	return f.nextReply(ctx, &f.onGet, job, err)
}

func (f *fakeService) List(_ context.Context, req partition.ListRequest) ([]api.JobStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listRequest = req
	if f.listFailures--; f.listFailures >= 0 {
		return nil, errkind.New(errkind.Unavailable, "link down")
	}
	var jobs []api.JobStatus
	for _, j := range f.jobs {
		jobs = append(jobs, j)
	}
	return jobs, nil
}

// fakeDependencies implements the configuration source, the membership view, the
// owner locator, the worker lister and the timeline recorder.
type fakeDependencies struct {
	mu        sync.Mutex // guards events and testServer.receivedHeader
	doc       *policy.Document
	members   []membership.Member
	summaries []sched.Summary
	owners    []ownership.Owner
	events    []timeline.Event
}

func (s *fakeDependencies) Current() *policy.Document        { return s.doc }
func (s *fakeDependencies) Subscribe(func(*policy.Document)) {}
func (s *fakeDependencies) Change(context.Context, int64, *policy.Document) (*policy.Document, error) {
	return nil, nil
}

func (s *fakeDependencies) Self() membership.Member                           { return s.members[0] }
func (s *fakeDependencies) Members() []membership.Member                      { return s.members }
func (s *fakeDependencies) Summaries() []sched.Summary                        { return s.summaries }
func (s *fakeDependencies) LeavingTargets() map[string]bool                   { return nil }
func (s *fakeDependencies) Owner(ownership.Shard) (o ownership.Owner, _ bool) { return o, false }
func (s *fakeDependencies) Owners() []ownership.Owner                         { return s.owners }
func (s *fakeDependencies) Record(e timeline.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

func (s *fakeDependencies) Workers(context.Context) ([]api.WorkerStatus, error) {
	return []api.WorkerStatus{{ID: "w1", FailureDomain: "r/a", State: api.WorkerReady, Accelerators: 8, AcceleratorsFree: 3}}, nil
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

type testServer struct {
	*fakeDependencies
	in      *Ingress
	service *fakeService
	engine  *gin.Engine
	// receivedHeader is the request header after the filters of the last request
	// ran.
	receivedHeader http.Header
}

const (
	tokenA = "token-of-postbud"
	tokenB = "token-of-lautoka"
)

func newTestServer() *testServer {
	ts := &testServer{
		service: &fakeService{jobs: map[api.JobID]api.JobStatus{}},
		fakeDependencies: &fakeDependencies{
			members:   []membership.Member{{ID: "vm1", State: membership.Alive}, {ID: "vm2", State: membership.Alive}, {ID: "vm3", State: membership.Suspect}},
			summaries: []sched.Summary{{Domain: "r/a", Workers: 2, Accelerators: 128, LargestRack: 64, LargestWorker: 8}},
			owners:    []ownership.Owner{{Shard: "p3", Self: true}, {Shard: "p4"}, {Shard: "dr/a", Self: true}},
			doc: &policy.Document{
				Workspaces: map[string]policy.Workspace{
					"postbud": {TokenHashes: []string{tokenHash(tokenA)}, Quota: policy.Quota{Accelerators: 100}},
					"lautoka": {TokenHashes: []string{"not hex", tokenHash(tokenB)}, Quota: policy.Quota{RequestsPerSecond: 6}},
				},
				Classes: map[string]policy.Class{"urgent": {Short: true}, "long": {Rank: 2}},
			},
		},
	}
	ts.in = New(Options{
		Service: ts.service, Workers: ts, Config: ts, Members: ts, Owners: ts, Recorder: ts, Partitions: 16, Log: logr.Discard(),
		Limits: Limits{MaxBody: 2000, MaxCalls: 3},
	})
	ts.engine = gin.New()
	ts.engine.NoRoute(NoRoute)
	ts.engine.Use(func(c *gin.Context) {
		c.Next()
		ts.mu.Lock()
		defer ts.mu.Unlock()
		ts.receivedHeader = c.Request.Header.Clone()
	})
	ts.in.Register(ts.engine)
	return ts
}

// do sends one request, with the token of workspace postbud unless header sets
// Authorization.
func (ts *testServer) do(ctx context.Context, method, path, body string, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+tokenA)
	for name, values := range header {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	ts.engine.ServeHTTP(w, r)
	return w
}

func (ts *testServer) post(t *testing.T, body string, header http.Header) *httptest.ResponseRecorder {
	t.Helper()
	return ts.do(t.Context(), http.MethodPost, "/v1/jobs", body, header)
}

func (ts *testServer) addJob(id api.JobID, workspace string, edit func(*api.JobStatus)) {
	job := api.JobStatus{ID: id, Spec: api.JobSpec{Workspace: workspace, Class: "long", Payload: json.RawMessage(`1`)}, State: api.StateRunning, Durable: true}
	if edit != nil {
		edit(&job)
	}
	ts.service.jobs[id] = job
}

func decodeProblem(t *testing.T, w *httptest.ResponseRecorder) problem.Problem {
	t.Helper()
	var p problem.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || w.Header().Get("Content-Type") != problem.ContentType {
		t.Fatalf("status %d: no problem document: %q", w.Code, w.Body)
	}
	if p.Status != w.Code || p.RequestID != w.Header().Get(RequestIDHeader) || p.RequestID == "" {
		t.Errorf("document %+v does not match status %d and header %v", p, w.Code, w.Header())
	}
	return p
}

func decodeStatus(t *testing.T, w *httptest.ResponseRecorder) api.JobStatus {
	t.Helper()
	var s api.JobStatus
	if err := json.Unmarshal(w.Body.Bytes(), &s); err != nil || s.ID == "" {
		t.Fatalf("status %d: no job status: %q", w.Code, w.Body)
	}
	return s
}
