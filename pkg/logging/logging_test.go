package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

func write(t *testing.T, o Options) string {
	t.Helper()
	var b bytes.Buffer
	o.Writer = &b
	log, flush, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	log.Error(errkind.New(errkind.Internal, "cause"), "at error")
	for v, name := range []string{"info", "debug", "trace"} {
		log.V(v).Info("at "+name, "vm", "vm1")
	}
	if err := flush(); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// Guards against a level that logs too many or too few lines.
func TestLevels(t *testing.T) {
	for level, lines := range map[string]int{"error": 1, "": 2, "info": 2, "debug": 3, "trace": 4} {
		if got := strings.Count(write(t, Options{Level: level}), "\n"); got != lines {
			t.Errorf("level %q: %d lines, want %d", level, got, lines)
		}
	}
}

// Guards against JSON lines that log collectors cannot parse, and a console
// format that writes JSON.
func TestFormats(t *testing.T) {
	for line := range strings.Lines(write(t, Options{Level: "trace"})) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil || fields["time"] == nil || fields["msg"] != "at "+fields["level"].(string) {
			t.Errorf("line %q: %v", line, err)
		}
	}
	if out := write(t, Options{Format: "console"}); json.Valid([]byte(strings.SplitN(out, "\n", 2)[0])) || !strings.Contains(out, "at info") {
		t.Errorf("console: %s", out)
	}
}

// Guards against an unknown level or format being replaced by the default
// without an error.
func TestUnknownOptions(t *testing.T) {
	for _, o := range []Options{{Level: "loud"}, {Format: "xml"}} {
		log, _, err := New(o)
		if !errkind.Is(err, errkind.InvalidConfig) || log != logr.Discard() {
			t.Errorf("%+v: %v", o, err)
		}
	}
}
