package configcheck_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/configcheck"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

var (
	now   = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	fleet = configcheck.Fleet{
		Domains: map[string]configcheck.Domain{"r/a": {Accelerators: 64, LargestRack: 32, LargestWorker: 8}},
		Workers: map[string]bool{"w-1": true}, Racks: map[string]bool{"rack-1": true},
	}
)

func check(t *testing.T, text string, inForce *policy.Document, fleet configcheck.Fleet) *configcheck.Report {
	doc, err := policy.DecodeYAML(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return configcheck.Document(doc, inForce, fleet, now)
}

// Guards against a fault that is not found, that has the wrong path or severity, against
// findings on a correct document, and against a token hash in the output. "known" gives a
// fleet; the document of "in-force" is compared with the later ones of the file.
func TestDocument(t *testing.T) {
	var inForce *policy.Document
	datadriven.RunTest(t, "testdata/document", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "in-force" {
			var err error
			if inForce, err = policy.DecodeYAML(strings.NewReader(d.Input)); err != nil {
				t.Fatal(err)
			}
			if d.HasArg("redacted") {
				inForce = inForce.Redacted()
			}
			return ""
		}
		known := configcheck.Fleet{}
		if d.HasArg("known") {
			known = fleet
		}
		r := check(t, d.Input, inForce, known)
		var b strings.Builder
		if err := r.WriteText(&b); err != nil {
			t.Fatal(err)
		}
		exit := 0
		if err := r.Err(d.HasArg("strict")); err != nil {
			exit = errkind.Lookup(errkind.Of(err)).Exit
		}
		return b.String() + "exit " + map[int]string{0: "0", 2: "2", 24: "24"}[exit] + "\n"
	})
}

// Guards against a panic on values that JSON cannot express but another caller of the
// package may pass, and against such values that are not errors.
func TestCatalogExtremes(t *testing.T) {
	c := &catalog.Catalog{
		Version: math.MinInt64,
		Queues: []catalog.Queue{{Name: "q", Host: "h", Prefix: "/", Class: workload.Class{
			SlackFactor: math.NaN(), TargetRuntime: math.MinInt64, Priority: math.MinInt, MaxAttempts: math.MinInt, Service: "s",
		}}},
		Services:   []catalog.Service{{Name: "s"}},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{"k"}, Guaranteed: workload.Resources{Accelerators: math.MinInt64}}},
		Limits:     catalog.Limits{HeaderBytes: math.MinInt, BodyBytes: math.MinInt64, HeaderTimeout: math.MaxInt64, IdleTimeout: math.MinInt64},
	}
	r := configcheck.Catalog(c, &catalog.Catalog{}, math.MaxInt64, nil)
	const want = 11 // the version (twice: negative, and not above the one in force) and nine fields
	if got := r.Count(configcheck.Error); got != want {
		t.Errorf("%d errors, want %d: %v", got, want, r.Findings)
	}
}

// Guards against a document that decodes but makes the check panic.
func FuzzDocument(f *testing.F) {
	f.Add("workspaces: {a: {quota: {accelerators: 8}, guarantees: [{cells: 9, accelerators: 8, adjacency: worker, failureDomain: r/a}]}}", "{}")
	f.Add("drained: {'rack:': {}, 'Rack:x': {}, ' ': {}}\nholds: {'*': {until: 2026-01-01T00:00:00Z}}", "operators: {ann: {role: admin, tokenHash: (redacted)}}")
	f.Add("workspaces: {a: {weight: .nan, quota: {requestsPerSecond: -.inf}}}", "classes: null")
	f.Fuzz(func(t *testing.T, next, inForce string) {
		doc, err := policy.DecodeYAML(strings.NewReader(next))
		if err != nil {
			return
		}
		before, err := policy.DecodeYAML(strings.NewReader(inForce))
		if err != nil {
			before = nil
		}
		r := configcheck.Document(doc, before, fleet, now)
		if invalid := len(policy.Validate(doc)) > 0; invalid && r.Err(false) == nil {
			t.Error("a document that is not valid has no error")
		}
	})
}
