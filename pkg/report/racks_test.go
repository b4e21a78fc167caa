package report

import (
	"testing"

	"github.com/carawayusher/carawayusher/pkg/api"
)

// Guards against free accelerators that are counted on workers that take no
// work, and against racks of two failure domains that are mixed.
func TestRacks(t *testing.T) {
	worker := func(domain, rack string, state api.WorkerState, free int) api.WorkerStatus {
		return api.WorkerStatus{FailureDomain: domain, Rack: rack, State: state, Accelerators: 8, AcceleratorsFree: free}
	}
	got := racks([]api.WorkerStatus{
		worker("b", "r1", api.WorkerReady, 8),
		worker("a", "r1", api.WorkerReady, 2), worker("a", "r1", api.WorkerReady, 6), worker("a", "r1", api.WorkerLeaving, 8),
		worker("a", "r2", api.WorkerReady, 0),
	})
	want := []RackUse{
		{Rack: "r1", FailureDomain: "a", Workers: 2, Accelerators: 24, Free: 8, Largest: 6, Fragmentation: 0.25},
		{Rack: "r2", FailureDomain: "a", Workers: 1, Accelerators: 8},
		{Rack: "r1", FailureDomain: "b", Workers: 1, Accelerators: 8, Free: 8, Largest: 8},
	}
	if len(got) != len(want) {
		t.Fatalf("racks = %+v", got)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("rack %d = %+v, want %+v", i, got[i], want[i])
		}
	}
}
