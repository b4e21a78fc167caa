package placement

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

var workerCapacity = workload.Resources{MilliCPU: 64_000, MemoryMiB: 256_000, Accelerators: 8}

func gpus(n int64) workload.Resources {
	return workload.Resources{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: n}
}

// snapshotOf returns schedulable workers in racks of four. On each worker one run of
// a group of priority 2, which ends in 10 s, uses the given number of accelerators.
func snapshotOf(used ...int64) Snapshot {
	var s Snapshot
	for i, n := range used {
		w := Worker{ID: string(rune('a' + i)), Rack: string(rune('A' + i/4)), Labels: []string{"kind"}, Capacity: workerCapacity, Free: workerCapacity, Schedulable: true}
		if n > 0 {
			w.Runs = []Run{{Group: len(s.Groups), Demand: gpus(n), EndsIn: 10 * time.Second}}
			w.Free = workerCapacity.Sub(gpus(n))
			s.Groups = append(s.Groups, Group{Priority: 2, StopCost: float64(n)})
		}
		w.FreeAfterStops = w.Free
		s.Workers = append(s.Workers, w)
	}
	return s
}

func TestPlace(t *testing.T) {
	unschedulable := snapshotOf(0, 0)
	unschedulable.Workers[0].Schedulable = false
	pendingStops := snapshotOf(8, 0)
	pendingStops.Workers[0].FreeAfterStops, pendingStops.Workers[0].Runs = workerCapacity, nil
	tests := map[string]struct {
		guardsAgainst string // the failure that the case guards against
		snapshot      Snapshot
		request       Request
		want          Outcome
	}{
		"packs small tasks": {
			"using up empty workers for small tasks", snapshotOf(0, 4, 7),
			Request{Demand: gpus(1), Count: 2},
			Outcome{Code: Placed, Workers: []int{2, 1}},
		},
		"some of separate tasks": {
			"waiting until all separate tasks fit", snapshotOf(8, 6),
			Request{Demand: gpus(1), Count: 5},
			Outcome{Code: Placed, Workers: []int{1, 1}},
		},
		"a gang is all or nothing": {
			"a partial gang", snapshotOf(8, 6), Request{Demand: gpus(1), Count: 3, Gang: true}, Outcome{Code: Blocked},
		},
		"one rack": {
			"placing a gang on several racks although one rack fits", snapshotOf(8, 8, 8, 0, 0, 8, 8, 0),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true},
			Outcome{Code: Placed, Workers: []int{4, 7}},
		},
		"one rack before a full one": {
			"discarding a rack that fits because a later one does not", snapshotOf(8, 0, 0, 8, 8, 8, 8, 8),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true},
			Outcome{Code: Placed, Workers: []int{1, 2}},
		},
		"waits for a rack": {
			"placing a gang on several racks without permission", snapshotOf(8, 8, 8, 0, 0, 8, 8, 8),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true},
			Outcome{Code: Blocked},
		},
		"multi-rack when allowed": {
			"waiting indefinitely for one rack", snapshotOf(8, 8, 8, 0, 0, 8, 8, 8),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true, AllowMultiRack: true},
			Outcome{Code: Placed, Workers: []int{3, 4}, MultiRack: true},
		},
		"multi-rack when a rack takes too long": {
			"waiting longer for one rack than the multi-rack slowdown costs", snapshotOf(8, 8, 8, 0, 0, 8, 8, 8),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true, MultiRackSlowdown: 3, ExpectedDuration: 2 * time.Second},
			Outcome{Code: Placed, Workers: []int{3, 4}, MultiRack: true},
		},
		"waits when a rack is free soon": {
			"using several racks although one rack is free before the slowdown would cost more", snapshotOf(8, 8, 8, 0, 0, 8, 8, 8),
			Request{Demand: gpus(8), Count: 2, Gang: true, SameRack: true, MultiRackSlowdown: 3, ExpectedDuration: 6 * time.Second},
			Outcome{Code: Blocked},
		},
		"multi-rack when no rack can hold it": {
			"waiting for a rack that cannot exist", snapshotOf(0, 0, 0, 0, 0),
			Request{Demand: gpus(8), Count: 5, Gang: true, SameRack: true},
			Outcome{Code: Placed, Workers: []int{0, 1, 2, 3, 4}, MultiRack: true},
		},
		"unschedulable workers": {"starts on draining workers", unschedulable, Request{Demand: gpus(8), Count: 2}, Outcome{Code: Placed, Workers: []int{1}}},
		"label":                 {"starts without the required label", snapshotOf(0), Request{Demand: gpus(1), Count: 1, RequiredLabel: "other"}, Outcome{Code: Blocked}},
		"eligible workers":      {"starts without a ticket", snapshotOf(0, 0), Request{Demand: gpus(1), Count: 1, EligibleWorkers: map[string]bool{"b": true}}, Outcome{Code: Placed, Workers: []int{1}}},
		"limit per worker": {
			"more tasks on a worker than allowed", snapshotOf(0, 0),
			Request{Demand: gpus(1), Count: 4, MaxPerWorker: 2, RunningPerWorker: map[string]int{"a": 1}},
			Outcome{Code: Placed, Workers: []int{0, 1, 1}},
		},
		"affinity": {"running away from the data", snapshotOf(7, 0, 0, 0, 0), Request{Demand: gpus(1), Count: 1, AffinityRack: "B"}, Outcome{Code: Placed, Workers: []int{4}}},
		"capacity after pending stops": {
			"preempting although the capacity is about to be free", pendingStops,
			Request{Demand: gpus(8), Count: 2, Gang: true, MayPreempt: true, MaxStopCost: math.Inf(1)},
			Outcome{Code: AwaitingStops},
		},
		"cheapest victims": {
			"stopping expensive work first", snapshotOf(8, 2, 5),
			Request{Demand: gpus(8), Count: 1, Gang: true, MayPreempt: true, MaxStopCost: math.Inf(1)},
			Outcome{Code: Preempting, Victims: []int{1}},
		},
		"stop cost too high": {
			"exceeding the maximum stop cost", snapshotOf(8, 2, 5),
			Request{Demand: gpus(8), Count: 1, Gang: true, MayPreempt: true, MaxStopCost: 1},
			Outcome{Code: Blocked},
		},
		"equal priority": {
			"preempting work of the same priority", snapshotOf(8),
			Request{Demand: gpus(8), Count: 1, Gang: true, Priority: 2, MayPreempt: true, MaxStopCost: math.Inf(1)},
			Outcome{Code: Blocked},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, New(tc.snapshot).Place(tc.request)); diff != "" {
				t.Errorf("%s: %s", tc.guardsAgainst, diff)
			}
		})
	}
}

// Guards against a stream of small tasks that starves a large gang, and against
// leaving reserved capacity idle when a task would end before the reservation starts.
func TestReservation(t *testing.T) {
	p := New(snapshotOf(4, 8))
	gang := Request{Demand: gpus(8), Count: 2, Gang: true, Reserve: true, ExpectedDuration: time.Second}
	if got := p.Place(gang); got.Code != Blocked {
		t.Fatalf("gang: got %v, want blocked", got)
	}
	if got := p.Place(Request{Demand: gpus(1), Count: 1, ExpectedDuration: time.Minute}); got.Code != Blocked {
		t.Errorf("a long task uses the reserved capacity: %v", got)
	}
	if got := p.Place(Request{Demand: gpus(1), Count: 1, ExpectedDuration: 5 * time.Second}); got.Code != Placed {
		t.Errorf("a short task does not use the reserved capacity: %v", got)
	}
}

// Guards against allocating the same capacity twice within a cycle.
func TestRoomIsGivenOnce(t *testing.T) {
	p := New(snapshotOf(4))
	if got := p.Place(Request{Demand: gpus(4), Count: 1}); got.Code != Placed {
		t.Fatal(got)
	}
	if got := p.Place(Request{Demand: gpus(1), Count: 1}); got.Code != Blocked {
		t.Errorf("capacity was allocated twice: %v", got)
	}
}

// Guards against ejected workers being preferred to others, or refused to a request that
// fits nowhere else.
func TestEjectedWorkersAreUsedLast(t *testing.T) {
	one := workload.Resources{Accelerators: 1}
	plan := func(mayUse bool, tasks int) Outcome {
		p := New(Snapshot{Workers: []Worker{
			{ID: "ejected", Capacity: one, Free: one, FreeAfterStops: one, Schedulable: true, Ejected: true},
			{ID: "sound", Capacity: one, Free: one, FreeAfterStops: one, Schedulable: true},
			{ID: "draining", Capacity: one, Free: one, FreeAfterStops: one, Ejected: true},
		}})
		return p.Place(Request{Demand: one, Count: tasks, Gang: true, MayUseEjected: mayUse, Explain: true})
	}
	if o := plan(false, 2); o.Code != Blocked || o.Reason != Ejected {
		t.Errorf("a request that may not use ejected workers: %+v", o)
	}
	if o := plan(true, 1); o.Code != Placed || o.Workers[0] != 1 {
		t.Errorf("a request that fits without them: %+v", o)
	}
	if o := plan(true, 2); o.Code != Placed || len(o.Workers) != 2 {
		t.Errorf("a request that fits only with them: %+v", o)
	}
	if o := plan(true, 3); o.Code != Blocked {
		t.Errorf("a request that does not fit at all: %+v", o)
	}
}

// Guards against capacity that is lost to all requests of a cycle, because a request that
// needs no victims but only reserved capacity is blocked and yet allocated.
func TestBlockedRequestLeavesReservedCapacityToShortTasks(t *testing.T) {
	p := New(snapshotOf(8, 0))
	if got := p.Place(Request{Demand: gpus(8), Count: 2, Gang: true, Reserve: true, ExpectedDuration: 20 * time.Second}); got.Code != Blocked {
		t.Fatalf("the gang: got %v", got)
	}
	urgent := Request{Demand: gpus(8), Count: 1, ExpectedDuration: 20 * time.Second, MayPreempt: true, MaxStopCost: 1, Priority: 0}
	if got := p.Place(urgent); got.Code != Blocked {
		t.Fatalf("the urgent request: got %v", got)
	}
	short := Request{Demand: gpus(8), Count: 1, ExpectedDuration: time.Second, Priority: 2}
	if got := p.Place(short); got.Code != Placed {
		t.Errorf("the short task: got %v, want it placed before the reservation", got)
	}
}

// Guards against runs that are stopped in vain: the request that preempted them is blocked by
// a reservation once they have ended.
func TestPreemptionFitsAfterItsStops(t *testing.T) {
	gang := Request{Demand: gpus(8), Count: 2, Gang: true, Reserve: true, ExpectedDuration: 20 * time.Second}
	urgent := Request{Demand: gpus(8), Count: 1, ExpectedDuration: 20 * time.Second, MayPreempt: true, MaxStopCost: math.Inf(1)}
	s := snapshotOf(4, 8)
	p := New(s.clone())
	p.Place(gang)
	got := p.Place(urgent)
	if got.Code != Preempting {
		return
	}
	for _, v := range got.Victims {
		s.Workers[v].Runs, s.Workers[v].FreeAfterStops = nil, workerCapacity
	}
	p = New(s)
	p.Place(gang)
	if again := p.Place(urgent); again.Code != AwaitingStops {
		t.Errorf("after the stops: got %+v, want it to wait for them", again)
	}
}
