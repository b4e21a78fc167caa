package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/carawayusher/carawayusher/pkg/admin"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// Guards against a check that sends the document or changes something, that ignores the
// version in force or the workers of the server, and whose exit code does not follow the
// severity of the findings.
func TestCheckConfig(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	workspace := func(fields string) string {
		return "workspaces: {a: {tokenHashes: [" + policy.HashToken("a") + "]" + fields + "}}\n"
	}
	before, good := write("before", workspace(", weight: 1")), write("good", workspace(", weight: 2"))
	drained, unmeetable := write("drained", workspace("")+"drained: {w-9: {}}"), write("unmeetable",
		workspace(", guarantees: [{cells: 9, accelerators: 8, adjacency: worker, failureDomain: r/a}]"))
	faulty, broken := write("faulty", workspace(", weight: -1")), write("broken", "workspaces: [")

	var calls []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls = append(calls, r.Method+" "+strings.TrimPrefix(r.URL.Path, admin.Prefix))
		inForce := policy.Default()
		inForce.Workspaces["a"] = policy.Workspace{TokenHashes: []string{policy.HashToken("a")}, Weight: 3}
		answer := map[string]any{
			"/config":  inForce.Redacted(),
			"/domains": admin.Page[sched.Summary]{Items: []sched.Summary{{Domain: "r/a", Accelerators: 64, LargestRack: 64, LargestWorker: 8}}},
			"/workers": admin.Page[api.WorkerStatus]{Items: []api.WorkerStatus{{ID: "w-1", Rack: "rack-1"}}},
		}[strings.TrimPrefix(r.URL.Path, admin.Prefix)]
		w.Header().Set("Connection", "close")
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	const asked = "GET /config GET /domains GET /workers"
	for line, want := range map[string]struct {
		exit         int
		calls, texts string // texts of the output, separated by |
	}{
		good:                                         {0, "", "changes are not reported|0 errors, 0 warnings"},
		good + " --against " + before:                {0, "", "change: workspaces.a.weight: 1 -> 2"},
		good + " --server " + server.URL:             {0, asked, "change: workspaces.a.weight: 3 -> 2|tokens are compared by number only"},
		drained + " --server " + server.URL:          {0, asked, `warning: drained.w-9: there is no worker "w-9" now`},
		drained + " --strict --server " + server.URL: {2, asked, "1 warnings"},
		unmeetable + " --server " + server.URL:       {errkind.Lookup(errkind.GuaranteeUnmeetable).Exit, asked, "sum to 72 accelerators but its workers have 64"},
		faulty + " -o json":                          {2, "", `"errors": 1,|"path": "workspaces.a.weight",|"kind": "invalid_config",`},
		broken:                                       {2, "", "error: invalid_config"},
		good + " --against " + broken:                {2, "", ""},
		filepath.Join(dir, "absent"):                 {2, "", ""},
	} {
		t.Run(strings.ReplaceAll(line, dir, ""), func(t *testing.T) {
			t.Setenv(envServer, "")
			calls = nil
			code, out, errOut := run(t, append([]string{"check-config"}, strings.Fields(line)...)...)
			if code != want.exit || strings.Join(calls, " ") != want.calls {
				t.Errorf("exit %d, want %d; calls %q, want %q\n%s%s", code, want.exit, calls, want.calls, out, errOut)
			}
			for _, text := range strings.Split(want.texts, "|") {
				if !strings.Contains(out, text) {
					t.Errorf("output lacks %q:\n%s", text, out)
				}
			}
		})
	}
}
