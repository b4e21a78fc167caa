package sched

import (
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Guards against previews of Reclaim and Defragment that change the state, against a
// reclaim that leaves a borrower running and against moving the wrong jobs.
func TestOperatorActions(t *testing.T) {
	now := time.Unix(1000, 0)
	newDomain := func() *Domain {
		d := NewDomain("r/a", Options{})
		doc := policy.Default()
		doc.Workspaces["owner"] = policy.Workspace{Guarantees: []policy.Guarantee{
			{Cells: 1, Accelerators: 8, Adjacency: api.AdjacencyWorker, FailureDomain: "r/a"},
		}}
		doc.Workspaces["guest"] = policy.Workspace{}
		d.SetPolicy(now, doc)
		for _, id := range []string{"w1", "w2"} {
			d.UpsertWorker(now, Worker{ID: id, Rack: "k1", Accelerators: 8, Slots: 8})
		}
		return d
	}
	run := func(d *Domain, id string, placements ...Placement) {
		t.Helper()
		j := Job{ID: api.JobID(id), Workspace: "guest", Class: api.ClassLong, Accelerators: len(placements[0].Accelerators), Adjacency: api.AdjacencyWorker, Checkpointable: true, Attempt: 1}
		if err := d.Adopt(now, j, placements, now); err != nil {
			t.Fatal(err)
		}
	}
	d := newDomain()
	run(d, "a", Placement{Worker: "w1", Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}})
	run(d, "b", Placement{Worker: "w2", Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}})
	preview := d.PreviewReclaim(now, "owner")
	if again := d.PreviewReclaim(now, "owner"); len(preview) != 1 || len(again) != 1 {
		t.Fatalf("previews list %d and %d jobs, want the one borrower", len(preview), len(again))
	}
	if got := d.Reclaim(now, "owner"); len(got) != 1 || got[0].Type != ActionPreempt || !got[0].Reclaim {
		t.Errorf("Reclaim = %+v", got)
	}
	if got := d.Reclaim(now, "owner"); len(got) != 0 {
		t.Errorf("second Reclaim = %+v", got)
	}

	d = newDomain()
	run(d, "a", Placement{Worker: "w1", Accelerators: []int{0}})
	run(d, "b", Placement{Worker: "w2", Accelerators: []int{0, 1}})
	if got := d.PreviewDefragment(now); len(got) != 1 || got[0].Job != "a" {
		t.Errorf("PreviewDefragment = %+v, want the job of the least used worker", got)
	}
	if got := d.Defragment(now); len(got) != 1 || got[0].Type != ActionMove {
		t.Errorf("Defragment = %+v", got)
	}
}
