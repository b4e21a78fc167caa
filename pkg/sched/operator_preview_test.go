package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Guards against a preview of Reclaim or Defragment that lists other jobs than the
// operation then preempts or moves. An operator confirms what the preview shows.
func TestOrdersActOnThePreviewedJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		d := NewDomain("r/a", Options{})
		doc := policy.Default()
		doc.Workspaces["owner"] = policy.Workspace{Guarantees: []policy.Guarantee{{Cells: 2, Accelerators: 8, Adjacency: api.AdjacencyWorker, FailureDomain: "r/a"}}}
		doc.Workspaces["guest"] = policy.Workspace{}
		d.SetPolicy(now, doc)
		for i := range 6 {
			d.UpsertWorker(now, Worker{ID: fmt.Sprint("w", i), Rack: fmt.Sprint("k", i/3), Accelerators: 8, Slots: 8})
		}
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			id := api.JobID(fmt.Sprint("j", i))
			n := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "accelerators")
			ws := rapid.SampledFrom([]string{"guest", "guest", "guest", "owner"}).Draw(t, "workspace")
			now = now.Add(time.Second)
			err := d.Enqueue(now, Job{ID: id, Workspace: ws, Class: api.ClassLong, Accelerators: n, Adjacency: api.AdjacencyWorker, Checkpointable: true, Attempt: 1, SubmittedAt: now})
			if err != nil {
				t.Fatal(err)
			}
			for _, a := range d.Decide(now) {
				if a.Type == ActionPlace {
					d.Started(now, a.Job, a.Attempt)
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				d.Ended(now, id, 1, EndSucceeded, "")
			}
		}
		preview := sortedJobIDs(d.PreviewReclaim(now, "owner"))
		if again := sortedJobIDs(d.PreviewReclaim(now, "owner")); !slices.Equal(preview, again) {
			t.Fatalf("previews differ: %v, %v", preview, again)
		}
		moves := sortedJobIDs(d.PreviewDefragment(now))
		if got := sortedJobIDs(d.Reclaim(now, "owner")); !slices.Equal(preview, got) {
			t.Fatalf("PreviewReclaim lists %v, but Reclaim preempts %v", preview, got)
		}
		if len(preview) > 0 {
			moves = sortedJobIDs(d.PreviewDefragment(now)) // Reclaim changed the state
		}
		if got := sortedJobIDs(d.Defragment(now)); !slices.Equal(moves, got) {
			t.Fatalf("PreviewDefragment lists %v, but Defragment moves %v", moves, got)
		}
	})
}

func sortedJobIDs(actions []Action) []api.JobID {
	var out []api.JobID
	for _, a := range actions {
		out = append(out, a.Job)
	}
	slices.Sort(out)
	return out
}
