package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/policy"
)

// Guards against accelerators and slots that stay in use after a reclaim and the end
// of all jobs.
func TestPlacesFreeAfterReclaim(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDomain("r/a", Options{})
	doc := policy.Default()
	doc.Workspaces["owner"] = policy.Workspace{Guarantees: []policy.Guarantee{
		{Cells: 1, Accelerators: 8, Adjacency: api.AdjacencyWorker, FailureDomain: "r/a"},
	}}
	doc.Workspaces["guest"] = policy.Workspace{}
	d.SetPolicy(now, doc)
	for i := range 4 {
		d.UpsertWorker(now, Worker{ID: fmt.Sprint("w", i), Rack: "k1", Accelerators: 8, Slots: 8})
	}
	full := d.Summary(now)
	step := func(what string) []Action {
		now = now.Add(100 * time.Millisecond)
		out := d.Decide(now)
		for _, a := range out {
			t.Logf("%s: %+v", what, a)
		}
		return out
	}
	for i := range 5 {
		if err := d.Enqueue(now, Job{ID: api.JobID(fmt.Sprint("g", i)), Workspace: "guest", Class: api.ClassLong, Accelerators: 8, Adjacency: api.AdjacencyWorker, Checkpointable: true, Attempt: 1, SubmittedAt: now}); err != nil {
			t.Fatal(err)
		}
	}
	running := map[api.JobID]int{}
	for _, a := range step("fill") {
		d.Started(now, a.Job, a.Attempt)
		running[a.Job] = a.Attempt
	}
	if err := d.Enqueue(now, Job{ID: "u", Workspace: "owner", Class: api.ClassUrgent, Accelerators: 8, Adjacency: api.AdjacencyWorker, Attempt: 1, SubmittedAt: now}); err != nil {
		t.Fatal(err)
	}
	for _, a := range step("reclaim") {
		if a.Type == ActionPreempt {
			d.Ended(now, a.Job, a.Attempt, EndPreempted, "")
			delete(running, a.Job)
			if err := d.Enqueue(now, Job{ID: a.Job, Workspace: "guest", Class: api.ClassLong, Accelerators: 8, Adjacency: api.AdjacencyWorker, Checkpointable: true, Attempt: 2, SubmittedAt: now}); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, a := range step("place") {
		d.Started(now, a.Job, a.Attempt)
		running[a.Job] = a.Attempt
	}
	d.Ended(now, "u", 1, EndSucceeded, "")
	delete(running, "u")
	for _, a := range step("refill") {
		d.Started(now, a.Job, a.Attempt)
		running[a.Job] = a.Attempt
	}
	for id, n := range running {
		d.Ended(now, id, n, EndCancelled, "")
	}
	for i := range 5 {
		d.Cancel(now, api.JobID(fmt.Sprint("g", i)))
	}
	for range 3 { // the cell is withheld for the owner's next urgent job for two windows
		now = now.Add(shortUseWindow)
		step("end")
	}
	if got := d.Summary(now); got.Free != full.Free || got.FreeSlots != full.FreeSlots {
		t.Errorf("free %+v slots %d, want %+v slots %d", got.Free, got.FreeSlots, full.Free, full.FreeSlots)
	}
}

// Guards against applying the cooldown of preempted jobs to a job that was only moved
// from another failure domain.
func TestMovedJobReclaimsAtOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		preempted bool
		want      bool
	}{
		"moved":     {false, true},
		"preempted": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := NewDomain("r/a", Options{})
			doc := policy.Default()
			doc.Workspaces["owner"] = policy.Workspace{Guarantees: []policy.Guarantee{
				{Cells: 1, Accelerators: 8, Adjacency: api.AdjacencyWorker, FailureDomain: "r/a"},
			}}
			d.SetPolicy(now, doc)
			d.UpsertWorker(now, Worker{ID: "w", Rack: "k", Accelerators: 8, Slots: 8})
			guest := Job{ID: "g", Workspace: "guest", Class: api.ClassLong, Accelerators: 8, Adjacency: api.AdjacencyWorker, Attempt: 1}
			if err := d.Adopt(now, guest, []Placement{{Worker: "w", Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}}}, now); err != nil {
				t.Fatal(err)
			}
			fit := Job{ID: "f", Workspace: "owner", Class: api.ClassLong, Accelerators: 8, Adjacency: api.AdjacencyWorker, Attempt: 3, SubmittedAt: now, Preempted: tc.preempted}
			if err := d.Enqueue(now, fit); err != nil {
				t.Fatal(err)
			}
			reclaimed := false
			for range 50 {
				now = now.Add(100 * time.Millisecond)
				for _, a := range d.Decide(now) {
					reclaimed = reclaimed || a.Type == ActionPreempt
				}
			}
			if reclaimed != tc.want {
				t.Errorf("reclaimed within 5 s: %v, want %v", reclaimed, tc.want)
			}
		})
	}
}
