package placement

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against stopping work although capacity becomes free in time, against relying on ends
// that are unknown or too late, and against separate tasks that are preempted for one by one.
func TestAwaitsEnds(t *testing.T) {
	impatient := Request{Demand: gpus(8), Count: 1, Gang: true, MayPreempt: true, MaxStopCost: math.Inf(1)}
	patient := func(wait time.Duration) Request {
		r := impatient
		r.MayWait = wait
		return r
	}
	overdue := snapshotOf(8)
	overdue.Workers[0].Runs[0].EndUnknown, overdue.Workers[0].Runs[0].EndsIn = true, 0
	stopping := snapshotOf(8, 8, 8)
	stopping.Workers[0].FreeAfterStops, stopping.Workers[0].Runs = workerCapacity, nil
	separate := impatient
	separate.Gang, separate.Count, separate.PreemptAll = false, 3, true
	limited := separate
	limited.MaxStopCost = 16
	tests := map[string]struct {
		snapshot Snapshot
		request  Request
		want     Outcome
	}{
		"ends in time":                     {snapshotOf(8), patient(10 * time.Second), Outcome{Code: AwaitingEnds}},
		"ends too late":                    {snapshotOf(8), patient(9 * time.Second), Outcome{Code: Preempting, Victims: []int{0}}},
		"must not wait":                    {snapshotOf(8), impatient, Outcome{Code: Preempting, Victims: []int{0}}},
		"end unknown":                      {overdue, patient(time.Minute), Outcome{Code: Preempting, Victims: []int{0}}},
		"separate tasks at once":           {snapshotOf(8, 8, 8), separate, Outcome{Code: Preempting, Victims: []int{0, 1, 2}}},
		"separate tasks beside stops":      {stopping, separate, Outcome{Code: Preempting, Victims: []int{1, 2}}},
		"separate tasks within their cost": {snapshotOf(8, 8, 8), limited, Outcome{Code: Preempting, Victims: []int{0, 1}}},
	}
	for name, tc := range tests {
		if diff := cmp.Diff(tc.want, New(tc.snapshot).Place(tc.request)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Guards against capacity for which a request waits being given to work behind it, and against
// two requests that wait for the end of one run.
func TestAwaitedCapacityIsKept(t *testing.T) {
	p := New(snapshotOf(4))
	r := Request{Demand: gpus(8), Count: 1, Gang: true, MayPreempt: true, MaxStopCost: math.Inf(1), MayWait: time.Minute}
	if got := p.Place(r); got.Code != AwaitingEnds {
		t.Fatalf("first request: %+v", got)
	}
	if got := p.Place(Request{Demand: gpus(1), Count: 1, Priority: 2, ExpectedDuration: time.Second}); got.Code != Blocked {
		t.Errorf("work behind it: %+v", got)
	}
	if got := p.Place(r); got.Code == AwaitingEnds || got.Code == Placed {
		t.Errorf("second request: %+v", got)
	}
}
