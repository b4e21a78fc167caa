package placement

import (
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Guards against a gang that may use ejected workers being kept off the free capacity of the
// others by its own first attempt: within a guarantee one started after 5.3 s instead of 1.2 s.
func TestAttemptWithoutEjectedWorkersKeepsNothing(t *testing.T) {
	acc := func(n int64) workload.Resources { return workload.Resources{Accelerators: n} }
	p := New(Snapshot{
		Workers: []Worker{
			{ID: "a", Rack: "r", Capacity: acc(8), Free: acc(4), FreeAfterStops: acc(4), Schedulable: true, Runs: []Run{{Demand: acc(4), EndsIn: 3 * time.Second}}},
			{ID: "b", Rack: "r", Capacity: acc(4), Free: acc(4), FreeAfterStops: acc(4), Schedulable: true, Ejected: true},
		},
		Groups: []Group{{Priority: 0}},
	})
	r := Request{Demand: acc(4), Count: 2, Gang: true, MayUseEjected: true, KeepEarliest: true, ExpectedDuration: time.Second}
	if got := p.Place(r); got.Code != Placed {
		t.Errorf("the gang is not placed on free capacity (code %d)", got.Code)
	}
}
