package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// speedsOf returns a snapshot of workers with the given speeds. On each, a run that ends in 10 s
// uses the given number of accelerators.
func speedsOf(speeds []float64, used ...int64) Snapshot {
	s := snapshotOf(used...)
	for i := range s.Workers {
		s.Workers[i].Speed = speeds[i]
	}
	return s
}

// Guards against urgent work and gangs on slow workers while others are free, against gangs that
// are spread over racks or run away from their data to avoid a slow worker, and against speeds
// that matter to other work.
func TestPlaceBySpeed(t *testing.T) {
	slowFirst := []float64{0.45, 1, 1.6, 1}
	twoRacks := []float64{0.45, 1, 1, 1, 1, 1, 1, 1}
	tests := map[string]struct {
		guardsAgainst string
		snapshot      Snapshot
		request       Request
		want          Outcome
	}{
		"fast first": {
			"the fullest worker, although it is slow", speedsOf(slowFirst, 7, 0, 0, 6),
			Request{Demand: gpus(8), Count: 2, Speed: FastFirst},
			Outcome{Code: Placed, Workers: []int{2, 1}},
		},
		"best fit within a class": {
			"an empty worker although one in use is as fast", speedsOf(slowFirst, 4, 0, 8, 6),
			Request{Demand: gpus(1), Count: 3, Speed: FastFirst},
			Outcome{Code: Placed, Workers: []int{3, 3, 1}},
		},
		"slow when nothing else is free": {
			"waiting although a slow worker is free", speedsOf(slowFirst, 0, 8, 8, 8),
			Request{Demand: gpus(8), Count: 1, Speed: FastFirst},
			Outcome{Code: Placed, Workers: []int{0}},
		},
		"other work": {
			"a change for work that is not urgent", speedsOf(slowFirst, 7, 0, 0, 6),
			Request{Demand: gpus(1), Count: 1},
			Outcome{Code: Placed, Workers: []int{0}},
		},
		"gang": {
			"a gang as slow as its slowest worker", speedsOf(slowFirst, 4, 0, 8, 0),
			Request{Demand: gpus(4), Count: 2, Gang: true},
			Outcome{Code: Placed, Workers: []int{1, 1}},
		},
		"gang in one rack": {
			"a gang on several racks, as only there are enough workers not slow", speedsOf(twoRacks, 0, 0, 0, 0, 0, 0, 8, 8),
			Request{Demand: gpus(8), Count: 4, Gang: true, SameRack: true, AllowMultiRack: true, Speed: FastFirst},
			Outcome{Code: Placed, Workers: []int{1, 2, 3, 0}},
		},
		"data first": {
			"running away from the data on a faster worker", speedsOf(twoRacks, 0, 8, 8, 8, 0, 0, 0, 0),
			Request{Demand: gpus(8), Count: 1, AffinityRack: "A", Speed: FastFirst},
			Outcome{Code: Placed, Workers: []int{0}},
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

// Guards against decisions that change on a fleet of even workers.
func TestEvenSpeedsChangeNothing(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	for range 300 {
		used := make([]int64, 16)
		for i := range used {
			used[i] = r.Int64N(9)
		}
		without, with := New(snapshotOf(used...)), snapshotOf(used...)
		for i := range with.Workers {
			with.Workers[i].Speed = float64(r.IntN(2)) // unknown or normal
		}
		even := New(with)
		headroom := accelerators(r.Int64N(40))
		without.KeepHeadroom(headroom)
		even.KeepHeadroom(headroom)
		for range 6 {
			request := Request{
				Demand: gpus(1 + r.Int64N(8)), Count: 1 + r.IntN(6), Gang: r.IntN(2) == 0, SameRack: r.IntN(2) == 0, MultiRackSlowdown: 3,
				Priority: r.IntN(2), ExpectedDuration: time.Duration(r.IntN(20)) * time.Second, MayPreempt: r.IntN(2) == 0, MaxStopCost: 4, Reserve: r.IntN(2) == 0,
			}
			want := without.Place(request)
			request.Speed = SpeedPreference(r.IntN(2))
			if diff := cmp.Diff(want, even.Place(request)); diff != "" {
				t.Fatalf("%+v: %s", request, diff)
			}
		}
	}
}

// Guards against headroom on slow workers while faster ones of the rack are free.
func TestHeadroomAvoidsSlowWorkers(t *testing.T) {
	p := New(speedsOf([]float64{0.45, 1, 1, 1}, 0, 0, 4, 8))
	p.KeepHeadroom(accelerators(12))
	if got := p.Place(Request{Demand: gpus(4), Count: 1}); len(got.Workers) != 1 || got.Workers[0] != 0 {
		t.Errorf("got %+v, want the slow worker", got)
	}
}
