package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Guards against a blocked request whose reason does not name what blocks it.
func TestBlockedRequestNamesItsConstraint(t *testing.T) {
	gang := func(tasks int, accelerators int64) Request {
		return Request{Demand: gpus(accelerators), Count: tasks, Gang: true, ExpectedDuration: time.Minute}
	}
	with := func(r Request, change func(*Request)) Request {
		change(&r)
		return r
	}
	tests := map[string]struct {
		used    []int64
		prepare func(*Planner)
		request Request
		want    Reason
	}{
		"full":             {[]int64{8, 8}, nil, gang(1, 1), NoCapacity},
		"spread":           {[]int64{4, 4}, nil, gang(1, 8), Fragmented},
		"worker drains":    {[]int64{0, 8}, func(p *Planner) { p.workers[0].Schedulable = false }, gang(1, 1), Unschedulable},
		"kept for a stop":  {[]int64{0}, func(p *Planner) { p.allocate(gang(1, 8), []int{0}, false) }, gang(1, 8), KeptForStops},
		"reserved":         {[]int64{4}, func(p *Planner) { p.Place(with(gang(1, 8), func(r *Request) { r.Reserve = true })) }, gang(1, 1), Reserved},
		"headroom":         {[]int64{0, 0}, func(p *Planner) { p.KeepHeadroom(workload.Resources{Accelerators: 16}) }, gang(1, 8), Headroom},
		"several racks":    {[]int64{0, 0, 8, 8, 0, 0, 8, 8}, nil, with(gang(4, 8), func(r *Request) { r.SameRack = true }), SingleRack},
		"excluded":         {[]int64{0, 8}, nil, with(gang(1, 8), func(r *Request) { r.ExcludedWorkers = map[string]bool{"a": true} }), Excluded},
		"no ticket":        {[]int64{0, 8}, nil, with(gang(1, 8), func(r *Request) { r.EligibleWorkers = map[string]bool{"b": true} }), NotEligible},
		"limit per worker": {[]int64{0}, nil, with(gang(2, 1), func(r *Request) { r.MaxPerWorker = 1 }), Limit},
		"label":            {[]int64{0}, nil, with(gang(1, 1), func(r *Request) { r.RequiredLabel = "other" }), Label},
		"label and limit": {[]int64{0}, nil, with(gang(2, 1), func(r *Request) {
			r.RequiredLabel, r.MaxPerWorker = "other", 1
		}), Combined},
		"separate tasks": {[]int64{0}, nil, Request{Demand: gpus(1), Count: 5, RequiredLabel: "other"}, Label},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(snapshotOf(tc.used...))
			if tc.prepare != nil {
				tc.prepare(p)
			}
			tc.request.Explain = true
			if got := p.Place(tc.request); got.Code != Blocked || got.Reason != tc.want {
				t.Errorf("got %+v, want blocked: %s", got, tc.want)
			}
		})
	}
}

// Guards against decisions that depend on whether blocked requests are explained.
func TestExplainDoesNotChangeDecisions(t *testing.T) {
	for seed := range uint64(50) {
		place := func(explain bool) []Outcome {
			r := rand.New(rand.NewPCG(seed, seed))
			p := New(fullSnapshot(40))
			for i := range p.workers {
				if r.IntN(3) == 0 {
					p.workers[i].Schedulable = false
				}
				if r.IntN(3) == 0 {
					p.workers[i].Free, p.workers[i].FreeAfterStops, p.workers[i].Runs = largeWorker, largeWorker, nil
				}
			}
			p.KeepHeadroom(workload.Resources{Accelerators: int64(r.IntN(40))})
			var outcomes []Outcome
			for range 30 {
				outcome := p.Place(Request{
					Demand: []workload.Resources{urgentTask, indexTask, readTask}[r.IntN(3)], Count: 1 + r.IntN(12), Gang: r.IntN(2) == 0, SameRack: r.IntN(2) == 0,
					MultiRackSlowdown: 3, Priority: r.IntN(2), MaxPerWorker: r.IntN(3), ExpectedDuration: 2 * time.Second,
					MayPreempt: r.IntN(2) == 0, MaxStopCost: 200 * r.Float64(), Reserve: r.IntN(2) == 0, MayUseHeadroom: r.IntN(2) == 0, Explain: explain,
				})
				if explain && (outcome.Reason != "") != (outcome.Code == Blocked) {
					t.Errorf("seed %d: reason %q of outcome %d", seed, outcome.Reason, outcome.Code)
				}
				outcome.Reason = ""
				outcomes = append(outcomes, outcome)
			}
			return outcomes
		}
		if diff := cmp.Diff(place(false), place(true)); diff != "" {
			t.Fatalf("seed %d: outcomes without and with an explanation differ:\n%s", seed, diff)
		}
	}
}
