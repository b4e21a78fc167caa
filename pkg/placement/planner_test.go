package placement

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

var whole = workload.Resources{MilliCPU: 64_000, MemoryMiB: 256_000, Accelerators: 8}

func gpus(n int64) workload.Resources {
	return workload.Resources{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: n}
}

// fleetOf returns open workers in racks of four, with the given accelerators in
// use by runs of groups of priority 2 that end in 10 s, one a worker.
func fleetOf(used ...int64) Snapshot {
	var s Snapshot
	for i, n := range used {
		w := Worker{ID: string(rune('a' + i)), Rack: string(rune('A' + i/4)), Labels: []string{"kind"}, Capacity: whole, Free: whole, Schedulable: true}
		if n > 0 {
			w.Runs = []Run{{Group: len(s.Groups), Demand: gpus(n), EndsIn: 10 * time.Second}}
			w.Free = whole.Sub(gpus(n))
			s.Groups = append(s.Groups, Group{Priority: 2, StopCost: float64(n)})
		}
		w.FreeAfterStops = w.Free
		s.Workers = append(s.Workers, w)
	}
	return s
}

func TestPlace(t *testing.T) {
	closed := fleetOf(0, 0)
	closed.Workers[0].Schedulable = false
	draining := fleetOf(8, 0)
	draining.Workers[0].FreeAfterStops, draining.Workers[0].Runs = whole, nil
	tests := map[string]struct {
		fails    string // the failure that the case guards against
		snapshot Snapshot
		request  Request
		want     Outcome
	}{
		"packs small tasks": {
			"breaking up whole workers with small tasks", fleetOf(0, 4, 7),
			Request{Demand: gpus(1), Count: 2},
			Outcome{Code: Placed, Workers: []int{2, 1}},
		},
		"some of separate tasks": {
			"waiting until all separate tasks fit", fleetOf(8, 6),
			Request{Demand: gpus(1), Count: 5},
			Outcome{Code: Placed, Workers: []int{1, 1}},
		},
		"a gang is all or nothing": {
			"a partial gang", fleetOf(8, 6), Request{Demand: gpus(1), Count: 3, Gang: true}, Outcome{Code: Blocked},
		},
		"one rack": {
			"spreading a gang that wants one rack", fleetOf(8, 8, 8, 0, 0, 8, 8, 0),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true},
			Outcome{Code: Placed, Workers: []int{4, 7}},
		},
		"one rack before a full one": {
			"forgetting the rack that fits for a later one that does not", fleetOf(8, 0, 0, 8, 8, 8, 8, 8),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true},
			Outcome{Code: Placed, Workers: []int{1, 2}},
		},
		"waits for a rack": {
			"spreading before it is allowed", fleetOf(8, 8, 8, 0, 0, 8, 8, 8),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true},
			Outcome{Code: Blocked},
		},
		"spans when allowed": {
			"waiting for a rack for ever", fleetOf(8, 8, 8, 0, 0, 8, 8, 8),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true, AllowMultiRack: true},
			Outcome{Code: Placed, Workers: []int{3, 4}, MultiRack: true},
		},
		"spans when a rack takes too long": {
			"waiting longer for a rack than spreading costs", fleetOf(8, 8, 8, 0, 0, 8, 8, 8),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true, MultiRackSlowdown: 3, ExpectedDuration: 2 * time.Second},
			Outcome{Code: Placed, Workers: []int{3, 4}, MultiRack: true},
		},
		"waits when a rack is near": {
			"spreading although a rack is free sooner than that costs", fleetOf(8, 8, 8, 0, 0, 8, 8, 8),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true, MultiRackSlowdown: 3, ExpectedDuration: 6 * time.Second},
			Outcome{Code: Blocked},
		},
		"spans when no rack can hold it": {
			"waiting for a rack that cannot exist", fleetOf(0, 0, 0, 0, 0),
			Request{Demand: gpus(8), Count: 5, Gang: true, SameRack: true},
			Outcome{Code: Placed, Workers: []int{0, 1, 2, 3, 4}, MultiRack: true},
		},
		"closed workers": {"starts on draining workers", closed, Request{Demand: gpus(8), Count: 2}, Outcome{Code: Placed, Workers: []int{1}}},
		"label":          {"starts without the required label", fleetOf(0), Request{Demand: gpus(1), Count: 1, RequiredLabel: "other"}, Outcome{Code: Blocked}},
		"only":           {"starts without a ticket", fleetOf(0, 0), Request{Demand: gpus(1), Count: 1, EligibleWorkers: map[string]bool{"b": true}}, Outcome{Code: Placed, Workers: []int{1}}},
		"limit per worker": {
			"more tasks on a worker than allowed", fleetOf(0, 0),
			Request{Demand: gpus(1), Count: 4, MaxPerWorker: 2, RunningPerWorker: map[string]int{"a": 1}},
			Outcome{Code: Placed, Workers: []int{0, 1, 1}},
		},
		"data": {"running away from the data", fleetOf(7, 0, 0, 0, 0), Request{Demand: gpus(1), Count: 1, AffinityRack: "B"}, Outcome{Code: Placed, Workers: []int{4}}},
		"room that comes": {
			"preempting for room that is about to be free", draining,
			Request{Demand: gpus(8), Count: 2, Gang: true, MayPreempt: true, MaxStopCost: math.Inf(1)},
			Outcome{Code: AwaitingStops},
		},
		"cheapest victims": {
			"stopping dear work first", fleetOf(8, 2, 5),
			Request{Demand: gpus(8), Count: 1, Gang: true, MayPreempt: true, MaxStopCost: math.Inf(1)},
			Outcome{Code: Preempting, Victims: []int{1}},
		},
		"too dear": {
			"destroying more than it is worth", fleetOf(8, 2, 5),
			Request{Demand: gpus(8), Count: 1, Gang: true, MayPreempt: true, MaxStopCost: 1},
			Outcome{Code: Blocked},
		},
		"equal priority": {
			"preempting work of the same priority", fleetOf(8),
			Request{Demand: gpus(8), Count: 1, Gang: true, Priority: 2, MayPreempt: true, MaxStopCost: math.Inf(1)},
			Outcome{Code: Blocked},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, New(tc.snapshot).Place(tc.request)); diff != "" {
				t.Errorf("%s: %s", tc.fails, diff)
			}
		})
	}
}

// Guards against a stream of small tasks that keeps a large gang waiting, and
// against leaving kept room idle when a task would end in time.
func TestReservation(t *testing.T) {
	p := New(fleetOf(4, 8))
	gang := Request{Demand: gpus(8), Count: 2, Gang: true, Reserve: true, ExpectedDuration: time.Second}
	if got := p.Place(gang); got.Code != Blocked {
		t.Fatalf("the gang is %v", got)
	}
	if got := p.Place(Request{Demand: gpus(1), Count: 1, ExpectedDuration: time.Minute}); got.Code != Blocked {
		t.Errorf("a long task takes the kept room: %v", got)
	}
	if got := p.Place(Request{Demand: gpus(1), Count: 1, ExpectedDuration: 5 * time.Second}); got.Code != Placed {
		t.Errorf("a short task does not use the kept room: %v", got)
	}
}

// Guards against giving the same room away twice within a cycle.
func TestRoomIsGivenOnce(t *testing.T) {
	p := New(fleetOf(4))
	if got := p.Place(Request{Demand: gpus(4), Count: 1}); got.Code != Placed {
		t.Fatal(got)
	}
	if got := p.Place(Request{Demand: gpus(1), Count: 1}); got.Code != Blocked {
		t.Errorf("room was given twice: %v", got)
	}
}
