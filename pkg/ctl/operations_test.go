package ctl

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/carawayusher/carawayusher/pkg/admin"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/plan"
)

// Guards against an operations page that shows commands or flags which do not
// exist, or leaves an error kind, an intent or a gauge out.
func TestOperationsPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page, commands := string(data), 0
	for line := range strings.Lines(page) {
		rest, ok := strings.CutPrefix(strings.TrimSpace(line), "bin/carawayctl ")
		if !ok {
			continue
		}
		commands++
		command, _, _ := strings.Cut(rest, " #")
		cmd, args, err := NewRootCommand().Find(strings.Fields(command))
		if err != nil || !cmd.Runnable() {
			t.Errorf("%s: no such command: %v", line, err)
			continue
		}
		if err := cmd.ParseFlags(args); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
	if commands < 20 {
		t.Errorf("only %d commands were found", commands)
	}
	for _, a := range errkind.Table() {
		want := fmt.Sprintf("| `%s` | %d | %d | %s | %s |", a.Kind, a.Status, a.Exit,
			map[bool]string{true: "yes", false: "no"}[a.Retryable],
			map[errkind.Ran]string{errkind.NotRun: "yes", errkind.HasRun: "no", errkind.Unknown: "unknown"}[a.Ran])
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, k := range plan.Kinds() {
		if !strings.Contains(page, "`"+string(k)+"`") {
			t.Errorf("the page lacks the intent %s", k)
		}
	}
	gauges := make(chan *prometheus.Desc, 16)
	admin.Metrics{}.Describe(gauges)
	close(gauges)
	for d := range gauges {
		name := strings.Split(d.String(), `"`)[1]
		if !strings.Contains(page, name) && name != "carawayusher_config_revision" {
			t.Errorf("the page lacks the gauge %s", name)
		}
	}
}
