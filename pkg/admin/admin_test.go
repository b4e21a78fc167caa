package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/goleak"
	"go.yaml.in/yaml/v3"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/gate"
	"github.com/carawayusher/carawayusher/pkg/membership"
	"github.com/carawayusher/carawayusher/pkg/partition"
	"github.com/carawayusher/carawayusher/pkg/plan"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

func TestMain(m *testing.M) {
	gin.SetMode(gin.ReleaseMode)
	goleak.VerifyTestMain(m)
}

// system stands in for everything behind the API.
type system struct {
	partition.Service // only the methods below are called
	doc               *policy.Document
	subs              []func(*policy.Document)
	plans             map[string]plan.StoredPlan
	jobs              []api.JobStatus
	handler           http.Handler
	buffer            *timeline.Buffer
}

func newSystem() *system {
	doc := policy.Default()
	doc.Revision = 3
	doc.Workspaces["postbud"] = policy.Workspace{TokenHashes: []string{policy.HashToken("customer")}}
	for _, role := range []policy.Role{policy.RoleViewer, policy.RoleOperator, policy.RoleAdmin} {
		doc.Operators[string(role)] = policy.Operator{Role: role, TokenHash: policy.HashToken(string(role))}
	}
	s := &system{doc: doc, plans: map[string]plan.StoredPlan{}, buffer: timeline.NewBuffer(timeline.BufferOptions{VM: "vm-1", Incarnation: 1})}
	for i := range 5 {
		s.jobs = append(s.jobs, api.JobStatus{
			ID: api.JobID(fmt.Sprint("j0-", i)), State: api.StateQueued, FailureDomain: "r/a", Reason: "stored reason",
			Spec: api.JobSpec{Workspace: "postbud", Class: "long", Payload: json.RawMessage(`"secret"`)},
		})
	}
	collector := &timeline.Collector{Buffer: s.buffer, Peers: func() []timeline.Peer { return nil }}
	a := New(Options{
		Source: s, Proposals: s, Jobs: s, Explain: s, Workers: s, View: s, Events: collector, Log: logr.Discard(),
		Planner: plan.New(plan.Options{Source: s, Store: store{s}, Previewer: s, Jobs: s, Proposals: s, Executor: s}),
		Samples: NewSampler(s.Summaries),
	})
	engine := gin.New()
	a.Register(engine)
	s.handler = engine
	return s
}

func (s *system) Current() *policy.Document           { return s.doc }
func (s *system) Subscribe(fn func(*policy.Document)) { s.subs = append(s.subs, fn); fn(s.doc) }

func (s *system) Proposals(context.Context) ([]gate.Proposal, error)    { return nil, nil }
func (s *system) CancelJob(context.Context, api.JobID, string) error    { return nil }
func (s *system) Reclaim(context.Context, string, string, string) error { return nil }
func (s *system) Defragment(context.Context, string, string) error      { return nil }
func (s *system) ConfirmProposal(context.Context, string) error         { return nil }
func (s *system) Explain(context.Context, string, api.JobID) (string, error) {
	return "no free rack", nil
}

func (s *system) Workers(context.Context) ([]api.WorkerStatus, error) { return nil, nil }

func (s *system) Self() membership.Member { return membership.Member{ID: "vm-1"} }

func (s *system) Summaries() []sched.Summary {
	return []sched.Summary{{Domain: "r/a", Unmeetable: []string{"postbud", "postbud"}}}
}
func (s *system) LeavingTargets() map[string]bool { return nil }
func (s *system) Preview(context.Context, plan.PreviewRequest) ([]plan.DomainPreview, error) {
	return nil, nil
}

func (s *system) Members() []membership.Member {
	return []membership.Member{{ID: "vm-1", ConfigRevision: 1}, {ID: "vm-2", ConfigRevision: 2}}
}

func (s *system) Change(_ context.Context, base int64, next *policy.Document) (*policy.Document, error) {
	if s.doc.Revision != base {
		return nil, errkind.New(errkind.Conflict, "revision")
	}
	s.doc = next
	for _, fn := range s.subs {
		fn(next)
	}
	return next, nil
}

func (s *system) Get(_ context.Context, workspace string, id api.JobID) (api.JobStatus, error) {
	for _, j := range s.jobs {
		if j.ID == id && workspace == "" {
			return j, nil
		}
	}
	return api.JobStatus{}, errkind.New(errkind.NotFound, "no job")
}

func (s *system) List(_ context.Context, req partition.ListRequest) ([]api.JobStatus, error) {
	var out []api.JobStatus
	for _, j := range s.jobs {
		if j.ID > req.After && len(out) < req.Limit {
			out = append(out, j)
		}
	}
	return out, nil
}

// store keeps the plans.
type store struct{ *system }

func (s store) Load(_ context.Context, id string) (plan.StoredPlan, error) {
	p, ok := s.plans[id]
	if !ok {
		return p, errkind.New(errkind.NotFound, "no key")
	}
	return p, nil
}

func (s store) Save(_ context.Context, p plan.StoredPlan) (int64, error) {
	p.Version++
	s.plans[p.ID] = p
	return p.Version, nil
}

func (s store) Delete(context.Context, string, int64) error { return nil }

func (s store) List(context.Context) ([]plan.StoredPlan, error) {
	var out []plan.StoredPlan
	for _, p := range s.plans {
		out = append(out, p)
	}
	return out, nil
}

// call sends a request with the token and decodes the answer into out.
func (s *system) call(t *testing.T, token, method, path, body string, out any) int {
	t.Helper()
	req := httptest.NewRequest(method, Prefix+path, strings.NewReader(body))
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	rec := httptest.NewRecorder()
	s.handler.ServeHTTP(rec, req)
	if out != nil {
		if err := json.Unmarshal(rec.Body.Bytes(), out); err != nil {
			t.Fatalf("%s %s: %s: %v", method, path, rec.Body, err)
		}
	}
	if strings.Contains(rec.Body.String(), policy.HashToken("customer")) || strings.Contains(rec.Body.String(), "secret") {
		t.Errorf("%s %s shows a secret", method, path)
	}
	return rec.Code
}

// openAPIDocument is the part of the document that the contract test reads.
type openAPIDocument struct {
	Paths map[string]map[string]struct {
		Role       string              `yaml:"x-role"`
		Parameters []map[string]string `yaml:"parameters"`
		Body       any                 `yaml:"requestBody"`
		Responses  map[string]any      `yaml:"responses"`
	} `yaml:"paths"`
	Components struct {
		Parameters map[string]struct {
			Name string `yaml:"name"`
			In   string `yaml:"in"`
		} `yaml:"parameters"`
		Schemas map[string]struct {
			Properties map[string]struct {
				Enum []string `yaml:"enum"`
			} `yaml:"properties"`
		} `yaml:"schemas"`
	} `yaml:"components"`
}

// Guards against a document that differs from the routes that are registered,
// their parameters, roles and statuses, or from the closed lists of kinds.
func TestContract(t *testing.T) {
	var doc openAPIDocument
	if err := yaml.Unmarshal(OpenAPI(), &doc); err != nil {
		t.Fatal(err)
	}
	type operation struct {
		Role, Status string
		Query        []string
	}
	documented, registered := map[string]operation{}, map[string]operation{}
	for path, methods := range doc.Paths {
		for method, op := range methods {
			o := operation{Role: op.Role}
			for status := range op.Responses {
				if status != "default" {
					o.Status += status
				}
			}
			for _, ref := range op.Parameters {
				p, ok := doc.Components.Parameters[strings.TrimPrefix(ref["$ref"], "#/components/parameters/")]
				if !ok {
					t.Errorf("%s: dangling %v", path, ref)
				}
				if p.In == "query" {
					o.Query = append(o.Query, p.Name)
				}
			}
			slices.Sort(o.Query)
			documented[strings.ToUpper(method)+" "+path] = o
		}
	}
	for _, rt := range New(Options{}).routes() {
		query := slices.Clone(rt.query)
		slices.Sort(query)
		path := regexp.MustCompile(`:(\w+)`).ReplaceAllString(rt.path, "{$1}")
		registered[rt.method+" "+path] = operation{string(rt.role), fmt.Sprint(rt.status), query}
	}
	registered["GET /openapi.yaml"] = operation{Status: "200"}
	if diff := cmp.Diff(registered, documented); diff != "" {
		t.Errorf("routes (-) and document (+): %s", diff)
	}
	if n := len(newSystem().handler.(*gin.Engine).Routes()); n != len(registered) {
		t.Errorf("%d routes are served, %d in the table", n, len(registered))
	}
	for schema, want := range map[string][]string{
		"Problem": texts(kindsOf(errkind.Table())), "Intent": texts(plan.Kinds()), "Proposal": texts(gate.Kinds()),
	} {
		got := doc.Components.Schemas[schema].Properties["kind"].Enum
		if !slices.Equal(got, want) {
			t.Errorf("%s.kind: document has %v, code has %v", schema, got, want)
		}
	}
	for schema, value := range map[string]any{
		"Plan": plan.Plan{}, "PlanRecord": plan.Record{}, "Effect": plan.Effect{}, "Change": policy.Change{}, "Proposal": gate.Proposal{},
		"ConfigStatus": ConfigStatus{}, "Why": Why{}, "Events": Events{}, "MetricsSummary": MetricsSummary{}, "ConfirmRequest": ConfirmRequest{},
	} {
		got := []string{}
		for name := range doc.Components.Schemas[schema].Properties {
			got = append(got, name)
		}
		slices.Sort(got)
		if diff := cmp.Diff(jsonFields(value), got); diff != "" {
			t.Errorf("%s: code (-) and document (+): %s", schema, diff)
		}
	}
}

func kindsOf(table []errkind.Answer) (out []errkind.Kind) {
	for _, a := range table {
		out = append(out, a.Kind)
	}
	return out
}

func texts[T ~string](list []T) (out []string) {
	for _, v := range list {
		out = append(out, string(v))
	}
	return out
}

func jsonFields(v any) (out []string) {
	for _, f := range reflect.VisibleFields(reflect.TypeOf(v)) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Guards against a route that serves a caller without the role it needs, and a
// refusal that is no problem document of the right kind.
func TestRoles(t *testing.T) {
	s := newSystem()
	intents := map[string]string{
		"operator": `{"kind":"hold","spec":{"reason":"x"}}`,
		"admin":    `{"kind":"quota","spec":{"workspace":"postbud","queued":5}}`,
	}
	for name, c := range map[string]struct {
		token, intent string
		want          errkind.Kind
	}{
		"no token":              {"", "operator", errkind.Unauthenticated},
		"a workspace's token":   {"customer", "operator", errkind.Unauthenticated},
		"viewer plans":          {"viewer", "operator", errkind.Forbidden},
		"operator plans":        {"operator", "operator", ""},
		"operator plans quota":  {"operator", "admin", errkind.Forbidden},
		"admin plans quota":     {"admin", "admin", ""},
		"admin plans operation": {"admin", "operator", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var body struct {
				Kind      errkind.Kind
				RequestID string
			}
			code := s.call(t, c.token, http.MethodPost, "/plans", intents[c.intent], &body)
			if c.want == "" && code != http.StatusCreated {
				t.Errorf("status %d, %+v", code, body)
			}
			if c.want != "" && (code != errkind.Lookup(c.want).Status || body.Kind != c.want || body.RequestID == "") {
				t.Errorf("status %d, %+v", code, body)
			}
		})
	}
	s.doc.Operators["root"] = policy.Operator{Role: "root", TokenHash: policy.HashToken("root")}
	for _, rt := range New(Options{}).routes() {
		if code := s.call(t, "root", rt.method, strings.ReplaceAll(rt.path, ":id", "x"), "", nil); code != http.StatusForbidden {
			t.Errorf("%s %s with an unknown role: status %d", rt.method, rt.path, code)
		}
		if code := s.call(t, "", rt.method, strings.ReplaceAll(rt.path, ":id", "x"), "", nil); code != http.StatusUnauthorized {
			t.Errorf("%s %s without a token: status %d", rt.method, rt.path, code)
		}
	}
}

// Guards against a confirmation by a viewer, a lost race without the change
// and the fresh plan, and a second confirmation that fails.
func TestPlanOverHTTP(t *testing.T) {
	s := newSystem()
	var first, second plan.Plan
	s.call(t, "operator", http.MethodPost, "/plans", "kind: hold\nspec: {reason: weekend}\n", &first)
	s.call(t, "admin", http.MethodPost, "/plans", `{"kind":"quota","spec":{"workspace":"postbud","queued":5}}`, &second)
	if code := s.call(t, "viewer", http.MethodPost, "/plans/"+first.ID+"/confirm", "", nil); code != http.StatusForbidden || s.doc.Revision != 3 {
		t.Errorf("viewer: status %d, revision %d", code, s.doc.Revision)
	}
	for range 2 {
		var rec plan.Record
		if code := s.call(t, "operator", http.MethodPost, "/plans/"+first.ID+"/confirm", `{"hash":"`+first.Hash+`"}`, &rec); code != 200 || rec.State != plan.StateApplied || rec.Revision != 4 {
			t.Errorf("confirm: status %d, %+v", code, rec)
		}
	}
	var lost OutdatedProblem
	code := s.call(t, "admin", http.MethodPost, "/plans/"+second.ID+"/confirm", "", &lost)
	if code != http.StatusConflict || lost.Kind != errkind.PlanOutdated || len(lost.Changed) != 1 || lost.Fresh == nil || lost.Fresh.Base != 4 {
		t.Errorf("outdated: status %d, %+v", code, lost)
	}
	var shown plan.Record
	if s.call(t, "viewer", http.MethodGet, "/plans/"+second.ID, "", &shown); shown.State != plan.StateOutdated {
		t.Errorf("overtaken plan is shown as %s", shown.State)
	}
	var list Page[plan.Record]
	if s.call(t, "viewer", http.MethodGet, "/plans?limit=2", "", &list); len(list.Items) != 2 || list.Next == "" {
		t.Errorf("plans: %+v", list)
	}
	var rest Page[plan.Record]
	if s.call(t, "viewer", http.MethodGet, "/plans?after="+list.Next, "", &rest); len(rest.Items) != 1 || rest.Next != "" {
		t.Errorf("second page: %+v", rest)
	}
}

// Guards against faulty requests that are answered as if they were right.
func TestRefusedRequests(t *testing.T) {
	s := newSystem()
	for name, c := range map[string]struct {
		method, path, body string
		want               errkind.Kind
	}{
		"unknown parameter": {http.MethodGet, "/jobs?workspce=x", "", errkind.InvalidRequest},
		"limit":             {http.MethodGet, "/jobs?limit=0", "", errkind.InvalidRequest},
		"since":             {http.MethodGet, "/events?since=yesterday", "", errkind.InvalidRequest},
		"cursor":            {http.MethodGet, "/events?cursor=!", "", errkind.InvalidRequest},
		"wait":              {http.MethodGet, "/events?wait=long", "", errkind.InvalidRequest},
		"job":               {http.MethodGet, "/jobs/j9-x/why", "", errkind.NotFound},
		"plan":              {http.MethodGet, "/plans/x", "", errkind.NotFound},
		"intent":            {http.MethodPost, "/plans", `{"kind":"dance"}`, errkind.InvalidRequest},
		"confirm body":      {http.MethodPost, "/plans/x/confirm", `{`, errkind.InvalidRequest},
		"large body":        {http.MethodPost, "/plans", strings.Repeat(" ", MaxBodyBytes+1), errkind.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			var body struct{ Kind errkind.Kind }
			if code := s.call(t, "admin", c.method, c.path, c.body, &body); body.Kind != c.want || code != errkind.Lookup(c.want).Status {
				t.Errorf("status %d, kind %s", code, body.Kind)
			}
		})
	}
	s.doc = nil
	if code := s.call(t, "admin", http.MethodGet, "/config", "", nil); code != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: status %d", code)
	}
}

// Guards against views that are wrong, cut or show what belongs to workspaces.
func TestViews(t *testing.T) {
	s := newSystem()
	var status ConfigStatus
	s.call(t, "viewer", http.MethodGet, "/config/status", "", &status)
	if diff := cmp.Diff(ConfigStatus{Revision: 3, InForce: 1, Of: 2, VMs: map[string]int64{"vm-1": 3, "vm-2": 2}}, status); diff != "" {
		t.Error(diff)
	}
	var ids []string
	for after := ""; ; {
		var page Page[api.JobStatus]
		s.call(t, "viewer", http.MethodGet, "/jobs?limit=2&after="+after, "", &page)
		for _, j := range page.Items {
			ids = append(ids, string(j.ID))
		}
		if after = page.Next; after == "" {
			break
		}
	}
	if len(ids) != 5 || len(slices.Compact(ids)) != 5 {
		t.Errorf("jobs over pages: %v", ids)
	}
	var why Why
	if s.call(t, "viewer", http.MethodGet, "/jobs/j0-1/why", "", &why); why.Reason != "no free rack" {
		t.Errorf("why = %+v", why)
	}
	for _, path := range []string{"/config", "/workers", "/domains", "/members", "/proposals", "/metrics-summary"} {
		if code := s.call(t, "viewer", http.MethodGet, path, "", nil); code != http.StatusOK {
			t.Errorf("%s: status %d", path, code)
		}
	}
	rec := httptest.NewRecorder()
	s.handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, Prefix+"/openapi.yaml", nil))
	if !bytes.Equal(rec.Body.Bytes(), OpenAPI()) {
		t.Error("another OpenAPI document is served")
	}
}

// Guards against an alert without its gauge, and a collection that fails when a
// workspace has several guarantees that cannot be met.
func TestMetrics(t *testing.T) {
	s := newSystem()
	s.doc.Holds = map[string]policy.Hold{"*": {}, "postbud": {Until: time.Unix(1, 0)}}
	err := testutil.CollectAndCompare(Metrics{Source: s, View: s, Gate: gate.New(gate.Options{Config: s})}, strings.NewReader(`
# HELP carawayusher_automation_held 1 for each hold in effect; the workspace * is the whole system.
# TYPE carawayusher_automation_held gauge
carawayusher_automation_held{workspace="*"} 1
# HELP carawayusher_config_behind Revisions by which this VM is behind the highest that it knows of.
# TYPE carawayusher_config_behind gauge
carawayusher_config_behind 0
# HELP carawayusher_guarantee_unmeetable 1 for each workspace whose guarantee cannot be met now, by failure domain.
# TYPE carawayusher_guarantee_unmeetable gauge
carawayusher_guarantee_unmeetable{failure_domain="r/a",workspace="postbud"} 1
`), "carawayusher_automation_held", "carawayusher_config_behind", "carawayusher_guarantee_unmeetable")
	if err != nil {
		t.Error(err)
	}
}

// Guards against a long poll that misses an event, returns before there is one
// or never returns.
func TestFollowEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem()
		s.buffer.Record(timeline.Event{Type: timeline.Started, Job: "j0-1"})
		var got Events
		s.call(t, "viewer", http.MethodGet, "/events?job=j0-1", "", &got)
		if len(got.Events) != 1 {
			t.Fatalf("events = %+v", got)
		}
		began := time.Now()
		go func() {
			time.Sleep(5 * time.Second)
			s.buffer.Record(timeline.Event{Type: timeline.Retried, Job: "j0-2"})
			s.buffer.Record(timeline.Event{Type: timeline.Ended, Job: "j0-1"})
		}()
		s.call(t, "viewer", http.MethodGet, "/events?job=j0-1&wait=20s&cursor="+got.Cursor, "", &got)
		if passed := time.Since(began); len(got.Events) != 1 || got.Events[0].Seq != 3 || passed < 5*time.Second || passed > 6*time.Second {
			t.Errorf("events = %+v after %s", got, passed)
		}
		began = time.Now()
		var none Events
		s.call(t, "viewer", http.MethodGet, "/events?wait=10m&cursor="+got.Cursor, "", &none)
		if passed := time.Since(began); len(none.Events) != 0 || passed < 30*time.Second || passed > 31*time.Second {
			t.Errorf("events = %+v after %s", none, passed)
		}
	})
}
