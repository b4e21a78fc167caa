package policy

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

func sampleDocument() *Document {
	d := Default()
	d.Revision = 7
	d.Workspaces["postbud"] = Workspace{
		TokenHashes: []string{HashToken("p")}, Quota: Quota{Accelerators: 64},
		Guarantees: []Guarantee{{Cells: 2, Accelerators: 8, Adjacency: api.AdjacencyWorker, FailureDomain: "r/a"}},
	}
	d.Operators["ann"] = Operator{Role: RoleAdmin, TokenHash: HashToken("a")}
	return d
}

// Guards against an invalid document that is accepted, and against a validation
// error that is reported for the wrong field.
func TestValidate(t *testing.T) {
	changeWorkspace := func(f func(*Workspace)) func(*Document) {
		return func(d *Document) {
			ws := d.Workspaces["postbud"]
			f(&ws)
			d.Workspaces["postbud"] = ws
		}
	}
	changeGuarantee := func(f func(*Guarantee)) func(*Document) {
		return changeWorkspace(func(ws *Workspace) { f(&ws.Guarantees[0]) })
	}
	const guaranteePath = "workspaces.postbud.guarantees[0]"
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for name, c := range map[string]struct {
		change func(*Document)
		path   string
	}{
		"valid":              {func(*Document) {}, ""},
		"built-in class":     {func(d *Document) { delete(d.Classes, api.ClassUrgent) }, "classes.urgent"},
		"negative rank":      {func(d *Document) { d.Classes["x"] = Class{Rank: -1} }, "classes.x.rank"},
		"negative bound":     {func(d *Document) { d.Classes["x"] = Class{StartWithin: -1} }, "classes.x.startWithin"},
		"negative attempts":  {func(d *Document) { d.Classes["x"] = Class{MaxAttempts: -1} }, "classes.x.maxAttempts"},
		"negative quota":     {changeWorkspace(func(ws *Workspace) { ws.Quota.Queued = -1 }), "workspaces.postbud.quota.queued"},
		"negative weight":    {changeWorkspace(func(ws *Workspace) { ws.Weight = -1 }), "workspaces.postbud.weight"},
		"infinite weight":    {changeWorkspace(func(ws *Workspace) { ws.Weight = math.Inf(1) }), "workspaces.postbud.weight"},
		"weight no number":   {changeWorkspace(func(ws *Workspace) { ws.Weight = math.NaN() }), "workspaces.postbud.weight"},
		"infinite rate":      {changeWorkspace(func(ws *Workspace) { ws.Quota.RequestsPerSecond = math.Inf(1) }), "workspaces.postbud.quota.requestsPerSecond"},
		"rate is no number":  {changeWorkspace(func(ws *Workspace) { ws.Quota.RequestsPerSecond = math.NaN() }), "workspaces.postbud.quota.requestsPerSecond"},
		"no power of two":    {changeGuarantee(func(g *Guarantee) { g.Accelerators = 6 }), guaranteePath + ".accelerators"},
		"no cells":           {changeGuarantee(func(g *Guarantee) { g.Cells = 0 }), guaranteePath + ".cells"},
		"larger than worker": {changeGuarantee(func(g *Guarantee) { g.Accelerators = 16 }), guaranteePath + ".accelerators"},
		"unknown level":      {changeGuarantee(func(g *Guarantee) { g.Adjacency = "row" }), guaranteePath + ".adjacency"},
		"no failure domain":  {changeGuarantee(func(g *Guarantee) { g.FailureDomain = "" }), guaranteePath + ".failureDomain"},
		"above the quota":    {changeGuarantee(func(g *Guarantee) { g.Cells = 9 }), "workspaces.postbud.guarantees"},
		"workspace name":     {func(d *Document) { d.Workspaces["a/b"] = Workspace{} }, "workspaces.a/b"},
		"token hash":         {changeWorkspace(func(ws *Workspace) { ws.TokenHashes[0] = "plain" }), "workspaces.postbud.tokenHashes[0]"},
		"token used twice":   {changeWorkspace(func(ws *Workspace) { ws.TokenHashes[0] = HashToken("a") }), "operators.ann.tokenHash"},
		"unknown role":       {func(d *Document) { d.Operators["ann"] = Operator{Role: "root", TokenHash: HashToken("a")} }, "operators.ann.role"},
		"empty rack":         {func(d *Document) { d.Drained = map[string]Drain{"rack:": {}} }, "drained.rack:"},
		"hold on nobody":     {func(d *Document) { d.Holds = map[string]Hold{"nobody": {}} }, "holds.nobody"},
		"hold ends early":    {func(d *Document) { d.Holds = map[string]Hold{HoldAll: {Since: now, Until: now}} }, "holds.*.until"},
	} {
		t.Run(name, func(t *testing.T) {
			d := sampleDocument()
			c.change(d)
			problems := Validate(d)
			switch {
			case c.path == "" && len(problems) > 0:
				t.Errorf("valid document rejected: %v", problems)
			case c.path != "" && (len(problems) != 1 || problems[0].Path != c.path):
				t.Errorf("problems = %v, want one at %s", problems, c.path)
			}
		})
	}
}

// Guards against a token hash that appears in the difference of two documents,
// and against revision metadata that is reported as a change.
func TestDiffRedactsAndSkipsBookkeeping(t *testing.T) {
	old := sampleDocument()
	next := old.Clone()
	next.Revision, next.ChangedBy, next.Plan = 8, "ann", "p1"
	next.Workspaces["lautoka"] = Workspace{TokenHashes: []string{HashToken("secret")}, Weight: 2}
	next.Drained = map[string]Drain{"w1": {}}
	delete(next.Operators, "ann")
	old.Workspaces["empty"], next.Workspaces["empty"] = Workspace{}, Workspace{Quota: Quota{Slots: 1}}
	want := []Change{
		{Path: "drained.w1", New: "{}"},
		{Path: "operators.ann.role", Old: "admin"},
		{Path: "operators.ann.tokenHash", Old: "(redacted)"},
		{Path: "workspaces.empty.quota.slots", New: "1"},
		{Path: "workspaces.lautoka.quota", New: "{}"},
		{Path: "workspaces.lautoka.tokenHashes[0]", New: "(redacted, new)"},
		{Path: "workspaces.lautoka.weight", New: "2"},
	}
	if diff := cmp.Diff(want, Diff(old, next)); diff != "" {
		t.Error(diff)
	}
	if changes := Diff(old, old.Clone()); len(changes) != 0 {
		t.Errorf("equal documents differ: %v", changes)
	}
}

// Guards against a clone that shares slices or maps with the original, so that a
// planned change would alter the active configuration.
func TestCloneIsDeep(t *testing.T) {
	d := sampleDocument()
	c := d.Clone()
	c.Workspaces["postbud"].Guarantees[0].Cells = 99
	c.Workspaces["postbud"].TokenHashes[0] = "x"
	c.Holds[HoldAll] = Hold{}
	if changes := Diff(sampleDocument(), d); len(changes) != 0 {
		t.Errorf("the original changed: %v", changes)
	}
}

// Guards against a misspelled field that is silently ignored, and against a
// document with classes of its own that drops the built-in ones.
func TestLoadYAML(t *testing.T) {
	doc, err := LoadYAML(strings.NewReader("workspaces: {postbud: {quota: {accelerators: 8}}}\nclasses: {extra: {rank: 5, startWithin: 2s}}\n"))
	if err != nil {
		t.Fatal(err)
	}
	if doc.Classes["extra"].StartWithin != 2*time.Second || doc.Classes[api.ClassUrgent].StartWithin != UrgentStartWithin {
		t.Errorf("classes = %v", doc.Classes)
	}
	for name, text := range map[string]string{
		"unknown field": "workspace: {}\n",
		"no YAML":       "workspaces: [",
		"faulty":        "workspaces: {postbud: {weight: -1}}\n",
	} {
		if _, err := LoadYAML(strings.NewReader(text)); !errkind.Is(err, errkind.InvalidConfig) {
			t.Errorf("%s: err = %v", name, err)
		}
	}
}

// Guards against a token that is accepted for another workspace or role, and
// against an empty token that matches anything.
func TestLookups(t *testing.T) {
	d := sampleDocument()
	if name, ok := d.Workspace("p"); !ok || name != "postbud" {
		t.Errorf("workspace = %q, %v", name, ok)
	}
	if name, role, ok := d.Operator("a"); !ok || name != "ann" || role != RoleAdmin {
		t.Errorf("operator = %q, %q, %v", name, role, ok)
	}
	for _, token := range []string{"", "a", HashToken("p")} {
		if name, ok := d.Workspace(token); ok {
			t.Errorf("token %q is accepted for workspace %q", token, name)
		}
	}
	for _, token := range []string{"", "p", HashToken("a")} {
		if name, _, ok := d.Operator(token); ok {
			t.Errorf("token %q belongs to operator %q", token, name)
		}
	}
	if Role("root").Includes(RoleViewer) || RoleViewer.Includes("root") || RoleViewer.Includes(RoleOperator) || !RoleAdmin.Includes(RoleOperator) {
		t.Error("Includes doesn't follow the role order, or accepts an unknown role")
	}
}
