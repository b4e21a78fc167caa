package explain

import (
	"strings"
	"testing"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

const log = `
  1.5 vm-a {"level":"info","time":"2026-01-01T00:00:02Z","msg":"submit","job":"aa","outcome":"ok"}
  1.6 vm-b {"level":"info","time":"2026-01-01T00:00:03Z","msg":"placed","job":"aa","waitedMS":12}
  1.1 vm-a {"level":"info","time":"2026-01-01T00:00:01Z","msg":"submit","job":"aa","outcome":"timeout: no answer"}
not JSON aa
  1.7 vm-b {"level":"info","time":"2026-01-01T00:00:04Z","msg":"run has lapsed on a silent worker","task":"aa.0.0.1","worker":"w1"}
  1.7 vm-b {"level":"info","time":"2026-01-01T00:00:04Z","msg":"submit","job":"bb","outcome":"unavailable: the store refuses calls"}
  1.7 vm-b {"level":"info","time":"2026-01-01T00:00:04Z","msg":"placed","job":"aab"}
`

// Guards against mixing up jobs whose IDs share a prefix, entries of several VMs
// out of time order, and naming a rejected submission as the cause although a
// retry was accepted.
func TestJob(t *testing.T) {
	tests := map[string]struct {
		cause string
		lines int
	}{
		"aa":  {"a worker fell silent", 5},
		"bb":  {"it was not accepted: unavailable", 2},
		"aab": {"it is still under way", 2},
	}
	for id, tc := range tests {
		var out strings.Builder
		if err := Job(strings.NewReader(log), &out, id); err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != tc.lines || !strings.Contains(lines[len(lines)-1], tc.cause) {
			t.Errorf("%s: got\n%s", id, out.String())
		}
		if id == "aa" && !strings.HasPrefix(lines[0], "00:00:01.000  vm-a") {
			t.Errorf("first line is %q", lines[0])
		}
	}
	if err := Job(strings.NewReader(log), &strings.Builder{}, "cc"); !errkind.Is(err, errkind.NotFound) {
		t.Errorf("unknown ID: %v", err)
	}
}
