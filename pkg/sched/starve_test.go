package sched

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// starvationBound is the stated bound: a job that fits the fleet starts within
// starvationLimit plus four times the longest run plus twice reservationTimeout,
// however many other non-urgent jobs arrive.
func starvationBound(longest time.Duration) time.Duration {
	return starvationLimit + 4*longest + 2*reservationTimeout
}

// checkStarvation keeps the queue full of other jobs and requires that one job of a
// class of low rank, and of any size, starts within the bound.
func checkStarvation(rules Rules) func(*rapid.T) {
	return func(t *rapid.T) {
		const longest = time.Minute
		d := testDomain(rapid.SampledFrom([]int{2, 4, 8, 16}).Draw(t, "workers"), nil, rules)
		racks := d.racks
		sizes := []int{0, 1, 8, len(racks[0].workers) * 8}
		probe := Job{
			ID: "probe", Workspace: "own", Class: rapid.SampledFrom([]string{"long", "archive"}).Draw(t, "class"),
			Accelerators: rapid.SampledFrom(sizes).Draw(t, "n"), Adjacency: api.AdjacencyRack, AtMostOnce: rapid.Bool().Draw(t, "once"),
		}
		if err := d.Enqueue(t0, probe); err != nil {
			t.Fatal(err)
		}
		other := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 50, 50).Draw(t, "others")
		ends := map[api.JobID]time.Time{}
		next := 0
		for now := t0; now.Sub(t0) <= starvationBound(longest); now = now.Add(time.Second) {
			for _, id := range slices.Sorted(maps.Keys(ends)) {
				if !now.Before(ends[id]) {
					d.Ended(now, id, 0, EndSucceeded, "")
					delete(ends, id)
				}
			}
			for d.queued < 30 {
				x := other[next%len(other)] + next
				_ = d.Enqueue(now, Job{
					ID: api.JobID(fmt.Sprint("o", next)), Workspace: fmt.Sprint("w", x%3), Class: []string{"short", "long"}[x%2],
					Accelerators: []int{0, 1, 2, 8}[x/2%4], AtMostOnce: x%5 == 0, Checkpointable: x%3 == 0,
				})
				next++
			}
			for _, a := range d.Decide(now) {
				switch {
				case a.Type == ActionPlace && a.Job == "probe":
					return
				case a.Type == ActionPlace:
					d.Started(now, a.Job, 0)
					ends[a.Job] = now.Add(time.Duration(1+other[len(a.Job)%50]%60) * time.Second)
				case a.Type == ActionPreempt || a.Type == ActionMove:
					ends[a.Job] = now.Add(time.Second)
				}
			}
		}
		t.Fatalf("starved: %+v did not start within %v", probe, starvationBound(longest))
	}
}

// Guards against starvation: a large gang that small jobs always overtake, and a class
// of low rank that higher classes keep from starting.
func TestNoJobStarves(t *testing.T) {
	// One check takes as long as eight checks of TestStateMachine.
	checks := flag.Lookup("rapid.checks").Value
	all, err := strconv.Atoi(checks.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = checks.Set(strconv.Itoa(all)) }()
	if err := checks.Set(strconv.Itoa(max(all/8, 1))); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, checkStarvation(DefaultRules()))
}
