package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testDomain returns a domain of racks of 8 workers with 8 accelerators and 8 slots
// each.
func testDomain(workers int, doc *policy.Document, rules ...Rules) *Domain {
	var o Options
	if len(rules) > 0 {
		o.Rules = rules[0]
	}
	d := NewDomain("r/a", o)
	for i := range workers {
		d.UpsertWorker(t0, Worker{ID: fmt.Sprintf("w%02d", i), Rack: fmt.Sprintf("k%d", i/8), Accelerators: 8, Slots: 8})
	}
	if doc != nil {
		d.SetPolicy(t0, doc)
	}
	return d
}

// guaranteeDocument returns a document that guarantees cells of n accelerators to
// workspace "own".
func guaranteeDocument(cells, n int, a api.Adjacency) *policy.Document {
	return &policy.Document{Workspaces: map[string]policy.Workspace{
		"own": {Guarantees: []policy.Guarantee{{Cells: cells, Accelerators: n, Adjacency: a, FailureDomain: "r/a"}}},
	}}
}

func countActions(actions []Action, t ActionType) (n int) {
	for _, a := range actions {
		if a.Type == t {
			n++
		}
	}
	return n
}

// Guards against borrowers that keep guaranteed cells from their owner: the owner's
// job has to preempt them within its start bound and start once they have ended.
func TestOwnerReclaimsBorrowedCells(t *testing.T) {
	d := testDomain(8, guaranteeDocument(4, 8, api.AdjacencyWorker))
	for i := range 8 {
		mustEnqueue(t, d, Job{ID: api.JobID(fmt.Sprint("b", i)), Workspace: "other", Class: "long", Accelerators: 8})
	}
	if n := countActions(d.Decide(t0), ActionPlace); n != 8 {
		t.Fatalf("%d borrowers placed, want 8", n)
	}
	mustEnqueue(t, d, Job{ID: "u", Workspace: "own", Class: "urgent", Accelerators: 8})
	acts := decideAfterDelay(d)
	if len(acts) != 1 || acts[0].Type != ActionPreempt || acts[0].StopBy.Sub(t0) > defaultUrgentStartBound-startBoundMargin {
		t.Fatalf("actions %+v, want one preemption within the bound", acts)
	}
	d.Ended(t0, acts[0].Job, 0, EndPreempted, "")
	if acts = d.Decide(t0); len(acts) != 1 || acts[0].Job != "u" || acts[0].Type != ActionPlace {
		t.Fatalf("actions %+v, want the owner placed", acts)
	}
}

// Guards against automatic preemptions during an automation hold, and against a hold
// that blocks the guarantee: one Confirm has to execute the reclaim.
func TestHeldReclaimIsProposedAndConfirmed(t *testing.T) {
	doc := guaranteeDocument(1, 8, api.AdjacencyWorker)
	doc.Holds = map[string]policy.Hold{policy.HoldAll: {Reason: "weekend"}}
	d := testDomain(1, doc)
	mustEnqueue(t, d, Job{ID: "b", Workspace: "other", Class: "long", Accelerators: 8})
	d.Decide(t0)
	mustEnqueue(t, d, Job{ID: "u", Workspace: "own", Class: "urgent", Accelerators: 4})
	acts := decideAfterDelay(d)
	if len(acts) != 1 || !acts[0].Proposal {
		t.Fatalf("actions %+v, want one proposal", acts)
	}
	done, err := d.Confirm(t0, acts[0])
	if err != nil || len(done) != 1 || done[0].Proposal || done[0].Job != "b" {
		t.Fatalf("confirm gave %+v, %v", done, err)
	}
	if _, err = d.Confirm(t0, acts[0]); !errkind.Is(err, errkind.PlanOutdated) {
		t.Errorf("second confirm: %v, want plan_outdated", err)
	}
}

// Guards against accepting guarantees that the fleet cannot meet even when idle.
func TestUnmeetableGuaranteesAreRefused(t *testing.T) {
	workers := map[string][]Worker{"r/a": {{ID: "a", Rack: "k", Accelerators: 8, Slots: 8}, {ID: "b", Rack: "k", Accelerators: 8, Slots: 8}}}
	if err := CheckGuarantees(guaranteeDocument(1, 16, api.AdjacencyRack), workers); err != nil {
		t.Error(err)
	}
	for _, doc := range []*policy.Document{guaranteeDocument(3, 8, api.AdjacencyWorker), guaranteeDocument(1, 16, api.AdjacencyWorker)} {
		if err := CheckGuarantees(doc, workers); !errkind.Is(err, errkind.GuaranteeUnmeetable) {
			t.Errorf("%+v: %v", doc.Workspaces, err)
		}
	}
}

// decideAfterDelay calls Decide now and, if that gives no action, again at
// NextDecideTime.
func decideAfterDelay(d *Domain) []Action {
	if acts := d.Decide(t0); len(acts) > 0 {
		return acts
	}
	return d.Decide(d.NextDecideTime(t0))
}

func mustEnqueue(t *testing.T, d *Domain, j Job) {
	t.Helper()
	if err := d.Enqueue(t0, j); err != nil {
		t.Fatal(err)
	}
}
