package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// accelerators returns a headroom of accelerators only.
func accelerators(n int64) workload.Resources { return workload.Resources{Accelerators: n} }

// Guards against lesser work on the workers that urgent gangs need, against headroom that
// is scattered over racks, and against headroom that hinders the urgent work itself.
func TestKeepHeadroom(t *testing.T) {
	tests := map[string]struct {
		used     []int64 // accelerators in use, by worker; four workers a rack
		headroom workload.Resources
		request  Request
		want     []int // nil: blocked
	}{
		"lesser work fills workers in use":        {[]int64{4, 0, 0, 0}, accelerators(16), Request{Demand: gpus(4), Count: 1}, []int{0}},
		"the emptiest workers are kept":           {[]int64{0, 4, 0, 0}, accelerators(24), Request{Demand: gpus(4), Count: 2}, []int{1}},
		"the emptiest rack is kept":               {[]int64{8, 0, 0, 0, 0, 0, 0, 0}, accelerators(32), Request{Demand: gpus(8), Count: 4}, []int{1, 2, 3}},
		"all is kept where less is free":          {[]int64{8, 7, 8, 8}, accelerators(16), Request{Demand: gpus(1), Count: 1}, nil},
		"urgent work gets it":                     {[]int64{8, 8, 8, 0}, accelerators(8), Request{Demand: gpus(8), Count: 1, MayUseHeadroom: true}, []int{3}},
		"a gang is blocked as a whole":            {[]int64{4, 4, 0, 0}, accelerators(16), Request{Demand: gpus(4), Count: 3, Gang: true}, nil},
		"nothing is kept without urgent arrivals": {[]int64{0, 8, 8, 8}, accelerators(0), Request{Demand: gpus(8), Count: 1}, []int{0}},
		"cores count where nothing else is asked": {[]int64{0, 0, 8, 8}, workload.Resources{MilliCPU: 64_000}, Request{Demand: gpus(8), Count: 2}, []int{1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(snapshotOf(tc.used...))
			p.KeepHeadroom(tc.headroom)
			got := p.Place(tc.request)
			if !slices.Equal(got.Workers, tc.want) {
				t.Errorf("got workers %v, want %v", got.Workers, tc.want)
			}
		})
	}
}

// Guards against a gang that is placed on several racks, where it runs slower, because the
// only rack that holds it is kept as headroom for now.
func TestHeadroomDoesNotSpreadGangs(t *testing.T) {
	s := snapshotOf(0, 0, 0, 0, 0, 0, 0)
	s.Workers[5].Rack, s.Workers[6].Rack = "C", "D"
	p := New(s)
	p.KeepHeadroom(accelerators(32))
	got := p.Place(Request{Demand: gpus(8), Count: 3, Gang: true, SameRack: true, ExpectedDuration: time.Second})
	if got.Code != Blocked {
		t.Errorf("got %+v", got)
	}
}

// Guards against decisions that depend on names or on one size of fleet: a load of three
// times the size under other names gets three times the same decision.
func TestHeadroomScalesWithTheFleet(t *testing.T) {
	place := func(scale int, prefix string) int {
		s := snapshotOf(slices.Repeat([]int64{0, 2, 4, 8}, 4*scale)...)
		for i := range s.Workers {
			s.Workers[i].ID, s.Workers[i].Rack = prefix+s.Workers[i].ID, prefix+s.Workers[i].Rack
		}
		p := New(s)
		p.KeepHeadroom(accelerators(int64(36 * scale))) // two whole racks for each scale
		return len(p.Place(Request{Demand: gpus(2), Count: 1000}).Workers)
	}
	small, large := place(1, "a"), place(3, "other-")
	if small == 0 || large != 3*small {
		t.Errorf("%d tasks placed, and %d on three times the fleet", small, large)
	}
}
