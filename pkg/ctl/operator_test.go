package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/admin"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/plan"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/problem"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Guards against a short form that asks for something else than it says, or
// that confirms by itself: each sends one intent and nothing more.
func TestShortFormsSendOneIntent(t *testing.T) {
	file := filepath.Join(t.TempDir(), "intent.yaml")
	if err := os.WriteFile(file, []byte("kind: class\nspec: {name: long, rank: 4}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for line, want := range map[string]string{
		"apply -f " + file:      `{"kind":"class","spec":{"name":"long","rank":4}}`,
		"drain w1 --reason=fan": `{"kind":"drain","spec":{"worker":"w1","reason":"fan"}}`,
		"drain --rack r1":       `{"kind":"drain","spec":{"rack":"r1","reason":""}}`,
		"undrain w1":            `{"kind":"undrain","spec":{"worker":"w1"}}`,
		"hold --reason=weekend --until=2026-01-05T08:00:00Z": `{"kind":"hold","spec":{"until":"2026-01-05T08:00:00Z","reason":"weekend"}}`,
		"hold --workspace=a --reason=x":                      `{"kind":"hold","spec":{"workspace":"a","reason":"x"}}`,
		"resume":                                             `{"kind":"resume","spec":{}}`,
		"reclaim a --domain r/a":                             `{"kind":"reclaim","spec":{"workspace":"a","failureDomain":"r/a"}}`,
		"defragment":                                         `{"kind":"defragment","spec":{}}`,
		"cancel-where --state=queued --older-than=24h":       `{"kind":"cancel","spec":{"state":"queued","olderThan":"24h0m0s"}}`,
		"quota a --queued=0":                                 `{"kind":"quota","spec":{"workspace":"a","queued":0}}`,
		"priority --class=long --rank=0":                     `{"kind":"priority","spec":{"class":"long","rank":0}}`,
		"proposals take p1 p2":                               `{"kind":"proposals","spec":{"ids":["p1","p2"]}}`,
	} {
		t.Run(line, func(t *testing.T) {
			s := newSystem(t)
			s.status, s.answer = 201, plan.Plan{ID: "x", Intent: plan.NewIntent(&plan.Resume{}), MadeBy: "ann"}
			code, out, errOut := run(t, strings.Fields(line)...)
			if code != 0 || s.route != "POST /admin/v1/plans" || s.body != want {
				t.Errorf("exit %d, %s\n got %s\nwant %s\n%s", code, s.route, s.body, want, errOut)
			}
			if !strings.Contains(out, "Nothing has changed yet") {
				t.Errorf("output: %s", out)
			}
		})
	}
}

// Guards against a command line that is accepted although it cannot be meant.
func TestRefusedOperatorLines(t *testing.T) {
	s := newSystem(t)
	for _, line := range []string{"hold", "hold --reason=x --until=monday", "apply -f /nonexistent", "quota", "reclaim", "confirm"} {
		if code, _, errOut := run(t, strings.Fields(line)...); code != 2 || errOut == "" || s.route != "" {
			t.Errorf("%q: exit %d, %s, sent %q", line, code, errOut, s.route)
		}
	}
}

// Guards against an operator who lost a race and is not shown what changed and
// the fresh plan, or whose script sees success.
func TestConfirmShowsTheFreshPlan(t *testing.T) {
	p := problem.FromError(errkind.New(errkind.PlanOutdated, "overtaken"), "r1")
	body := admin.OutdatedProblem{
		Problem: p,
		Changed: []plan.Revision{{Revision: 8, ChangedBy: "bob", Plan: "other", Changes: []policy.Change{{Path: "holds.*.by", New: "bob"}}}},
		Fresh:   &plan.Plan{ID: "fresh-1", Intent: plan.NewIntent(&plan.Resume{}), Base: 8},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", problem.ContentType)
		w.Header().Set("Connection", "close")
		w.WriteHeader(p.Status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	defer server.Close()
	t.Setenv(envServer, server.URL)
	code, _, errOut := run(t, "confirm", "old-1")
	if code != errkind.Lookup(errkind.PlanOutdated).Exit {
		t.Errorf("exit %d", code)
	}
	for _, want := range []string{"Revision 8 by bob", "holds.*.by: (none) -> bob", "carawayctl confirm fresh-1", "overtaken"} {
		if !strings.Contains(errOut, want) {
			t.Errorf("output lacks %q:\n%s", want, errOut)
		}
	}
}

// Guards against lost events that the time line does not show, and against a
// saved time line that the report does not read.
func TestTimelineAndReport(t *testing.T) {
	s := newSystem(t)
	at := timeline.Timestamp{Wall: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).UnixNano()}
	s.answer = admin.Events{
		Events:     []timeline.Event{{At: at, VM: "vm-1", Seq: 5, Type: timeline.Started, Job: "j1-x", Worker: "w1"}},
		Gaps:       []timeline.Gap{{VM: "vm-1", From: 3, To: 4, Before: at}},
		Unanswered: []string{"vm-2"},
	}
	t.Setenv(envOperatorToken, "operator-secret")
	_, out, errOut := run(t, "timeline", "--job", "j1-x", "--type", "started,ended")
	want := "-- 2 events of vm-1 are missing (3 to 4)\n2026-01-02T03:04:05.000Z vm-1 started job=j1-x worker=w1\n"
	if out != want || !strings.Contains(errOut, "no answer from vm-2") || s.route != "GET /admin/v1/events?job=j1-x&limit=1000&type=started&type=ended" {
		t.Errorf("%s\n%s\n%s", s.route, out, errOut)
	}
	if s.token != "Bearer operator-secret" {
		t.Errorf("token %q", s.token)
	}
	_, lines, _ := run(t, "timeline", "-o", "json", "--token", "flag")
	if s.token != "Bearer flag" {
		t.Errorf("token %q in spite of the flag", s.token)
	}
	dir := t.TempDir()
	saved, page := filepath.Join(dir, "saved.jsonl"), filepath.Join(dir, "out.html")
	if err := os.WriteFile(saved, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errOut := run(t, "report", "--input", saved, "--out", page); code != 0 {
		t.Fatalf("exit %d: %s", code, errOut)
	}
	if text, err := os.ReadFile(page); err != nil || !strings.Contains(string(text), "j1-x of ") || !strings.Contains(string(text), "2 events of vm-1 missing") {
		t.Errorf("page lacks the task or the gap: %v", err)
	}
}
