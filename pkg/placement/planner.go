// Package placement decides which workers run the tasks of a step. It is pure:
// a Planner is built from a snapshot of the workers, is asked for one group of
// tasks after the other in the order of their rank, and keeps track of what it
// has given away.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Code is the outcome of a request.
type Code int

// Outcomes of a request.
const (
	// Placed: every task, or for separate tasks at least one, has a worker.
	Placed Code = iota
	// AwaitingStops: it fits once runs that are being stopped have ended; the capacity is reserved.
	AwaitingStops
	// Preempting: it fits once the victims have been stopped; the room is kept.
	Preempting
	// Blocked: it does not fit; a reservation may have been made.
	Blocked
)

// Run is a run on a worker.
type Run struct {
	Group  int // index into Snapshot.Groups
	Demand workload.Resources
	EndsIn time.Duration // expected; 0 when it is overdue
}

// Group is a set of runs that is stopped as a whole: a gang, or a single run.
type Group struct {
	Priority       int
	StopCost       float64 // value of the work lost when the group is stopped
	NonPreemptible bool    // never chosen as a victim
}

// Worker is the state of a worker at the time of the snapshot.
type Worker struct {
	ID             string
	Rack           string
	Labels         []string
	Capacity       workload.Resources
	Free           workload.Resources // at the time of the snapshot
	FreeAfterStops workload.Resources // once the runs that are being stopped have ended
	Schedulable    bool               // accepts new tasks
	Runs           []Run              // without those that are being stopped
	// Penalty orders workers that are otherwise equal; the lowest comes first.
	Penalty int

	claims []claim
}

// claim is room that is kept from a time on for a group that waits.
type claim struct {
	from   time.Duration
	demand workload.Resources
}

// Snapshot is the input of a Planner.
type Snapshot struct {
	Workers []Worker
	Groups  []Group
}

// Request asks for room for the tasks of one step.
type Request struct {
	Demand            workload.Resources
	Count             int
	Gang              bool
	SameRack          bool
	AllowMultiRack    bool    // a SameRack gang may be placed on several racks
	MultiRackSlowdown float64 // run time on several racks relative to one rack; 0 if unknown
	RequiredLabel     string
	AffinityRack      string
	MaxPerWorker      int
	RunningPerWorker  map[string]int  // running tasks of the step, by worker
	ExcludedWorkers   map[string]bool // workers on which tasks of the step failed
	EligibleWorkers   map[string]bool // if not nil, only these workers may be used
	Priority          int
	ExpectedDuration  time.Duration // run time of a task
	MayPreempt        bool
	// MaxStopCost bounds the total StopCost of the victims.
	MaxStopCost float64
	// Reserve keeps room for a blocked gang, so that smaller work behind it does
	// not delay it for ever.
	Reserve bool
}

// Outcome is the answer to a Request. Workers holds an index into
// Snapshot.Workers for each task that was placed.
type Outcome struct {
	Code      Code
	Workers   []int
	Victims   []int // groups to stop
	MultiRack bool  // a SameRack gang was placed on several racks
}

// Planner places requests one after the other. It is not safe for concurrent use.
type Planner struct {
	workers []Worker
	groups  []Group
	racks   [][]int // indexes of workers by rack
	all     []int   // indexes of all workers
	stopped []bool  // groups that are victims of an earlier request
	places  [][]int // workers of each group, one for each run

	candidates []candidate // reused by fit
	evictor    evictor
}

// New returns a Planner that owns the snapshot.
func New(s Snapshot) *Planner {
	p := &Planner{
		workers: s.Workers, groups: s.Groups, all: make([]int, len(s.Workers)),
		stopped: make([]bool, len(s.Groups)),
	}
	byRack := map[string]int{}
	for i := range p.workers {
		p.all[i] = i
		n, ok := byRack[p.workers[i].Rack]
		if !ok {
			n = len(p.racks)
			byRack[p.workers[i].Rack] = n
			p.racks = append(p.racks, nil)
		}
		p.racks[n] = append(p.racks[n], i)
	}
	return p
}

// Place decides on one request and gives away the room it needs.
func (p *Planner) Place(r Request) Outcome {
	scopes := [][]int{p.all}
	if r.Gang && r.SameRack {
		scopes = p.racks
	}
	if chosen := p.fitAny(r, scopes, true); chosen != nil {
		return p.placed(r, chosen)
	}
	span := r.Gang && r.SameRack && p.maySpan(r)
	if span {
		if chosen := p.fit(r, p.all, true); chosen != nil {
			return p.placed(r, chosen)
		}
	}
	chosen := p.fitAny(r, scopes, false)
	if span && chosen == nil {
		chosen = p.fit(r, p.all, false)
	}
	if chosen != nil {
		p.take(r, chosen, false)
		return Outcome{Code: AwaitingStops}
	}
	if span {
		scopes = append(slices.Clone(p.racks), p.all)
	}
	if r.MayPreempt {
		if victims := p.preempt(r, scopes); victims != nil {
			return Outcome{Code: Preempting, Victims: victims}
		}
	}
	if r.Reserve && r.Gang {
		p.reserve(r, scopes)
	}
	return Outcome{Code: Blocked}
}

func (p *Planner) placed(r Request, chosen []int) Outcome {
	p.take(r, chosen, true)
	return Outcome{Code: Placed, Workers: chosen, MultiRack: r.SameRack && p.onSeveralRacks(chosen)}
}

// maySpan reports whether a gang that wants one rack takes several: it is told
// to, no rack could ever hold it, or waiting for one takes longer than the gang
// loses by running on several.
func (p *Planner) maySpan(r Request) bool {
	if r.AllowMultiRack {
		return true
	}
	possible := func(rack []int) bool { return p.couldHold(r, rack) }
	if !slices.ContainsFunc(p.racks, possible) {
		return true
	}
	loss := time.Duration((r.MultiRackSlowdown - 1) * float64(r.ExpectedDuration))
	near := func(rack []int) bool { return p.fitsBy(r, rack, loss) }
	return r.MultiRackSlowdown > 1 && !slices.ContainsFunc(p.racks, near)
}

// couldHold reports whether empty workers of the set would hold the gang.
func (p *Planner) couldHold(r Request, scope []int) bool {
	n := 0
	for _, i := range scope {
		w := &p.workers[i]
		if w.Schedulable && p.allowed(r, w) {
			n += min(copies(r.Demand, w.Capacity), perWorkerLimit(r, w))
		}
	}
	return n >= r.Count
}

// fitAny looks for a scope that holds the whole gang. Among racks it prefers
// the one with the data, then the one with the least room left.
func (p *Planner) fitAny(r Request, scopes [][]int, now bool) []int {
	var best []int
	bestScore := math.MaxFloat64
	for _, scope := range scopes {
		chosen := p.fit(r, scope, now)
		if chosen == nil {
			continue
		}
		if score := p.scopeScore(r, scope, chosen); score < bestScore {
			best, bestScore = chosen, score
		}
	}
	return best
}

func (p *Planner) onSeveralRacks(chosen []int) bool {
	for _, i := range chosen {
		if p.workers[i].Rack != p.workers[chosen[0]].Rack {
			return true
		}
	}
	return false
}

// Weights of scopeScore, in accelerators.
const (
	penaltyWeight  = 64   // a worker with a penalty counts like this much free room
	affinityWeight = 1000 // tasks away from their data run several times longer
)

func (p *Planner) scopeScore(r Request, scope, chosen []int) float64 {
	var free int64
	for _, i := range scope {
		free += max(0, p.workers[i].FreeAfterStops.Accelerators)
	}
	score := float64(free)
	for _, i := range chosen {
		score += penaltyWeight * float64(p.workers[i].Penalty)
		if r.AffinityRack != "" && p.workers[i].Rack != r.AffinityRack {
			score += affinityWeight
		}
	}
	return score
}

// fit chooses workers of the scope for the tasks, best fit first: for all tasks
// of a gang, or for as many separate tasks as fit; nil if there are none.
func (p *Planner) fit(r Request, scope []int, now bool) []int {
	candidates, total := p.candidates[:0], 0
	for _, i := range scope {
		w := &p.workers[i]
		if !w.Schedulable || !p.allowed(r, w) {
			continue
		}
		room := w.Free
		if !now {
			room = w.FreeAfterStops
		}
		if !r.Demand.Fits(room) {
			continue
		}
		if n := min(copies(r.Demand, p.beforeClaims(r, w, room)), perWorkerLimit(r, w)); n > 0 {
			candidates = append(candidates, candidate{worker: i, copies: n, key: p.fitKey(r, w, room)})
			total += n
		}
	}
	p.candidates = candidates
	if total == 0 || (r.Gang && total < r.Count) {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.key.compare(b.key) })
	chosen := make([]int, 0, min(r.Count, total))
	for _, c := range candidates {
		for n := 0; n < c.copies && len(chosen) < r.Count; n++ {
			chosen = append(chosen, c.worker)
		}
	}
	return chosen
}

type candidate struct {
	worker int
	copies int
	key    fitKey
}

// fitKey orders workers: data nearby, no penalty, then the least room left, so
// that whole workers stay free for large tasks.
type fitKey struct {
	far, penalty int
	accelerators int64
	memory       int64
	cpu          int64
}

func (a fitKey) compare(b fitKey) int {
	return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(a.penalty, b.penalty), cmp.Compare(a.accelerators, b.accelerators),
		cmp.Compare(a.memory, b.memory), cmp.Compare(a.cpu, b.cpu))
}

func (p *Planner) fitKey(r Request, w *Worker, room workload.Resources) fitKey {
	k := fitKey{penalty: w.Penalty, accelerators: room.Accelerators, memory: room.MemoryMiB, cpu: room.MilliCPU}
	if r.AffinityRack != "" && w.Rack != r.AffinityRack {
		k.far = 1
	}
	return k
}

// beforeClaims reduces the room by what waiting groups will need before a task
// of the request ends.
func (p *Planner) beforeClaims(r Request, w *Worker, room workload.Resources) workload.Resources {
	for _, c := range w.claims {
		if r.ExpectedDuration <= c.from {
			continue
		}
		later := w.FreeAfterStops
		for _, run := range w.Runs {
			if run.EndsIn <= c.from {
				later = later.Add(run.Demand)
			}
		}
		left := later.Sub(c.demand)
		room = workload.Resources{
			MilliCPU:     min(room.MilliCPU, left.MilliCPU),
			MemoryMiB:    min(room.MemoryMiB, left.MemoryMiB),
			Accelerators: min(room.Accelerators, left.Accelerators),
		}
	}
	return room
}

// allowed reports whether the request may use the worker at all.
func (p *Planner) allowed(r Request, w *Worker) bool {
	if (len(r.ExcludedWorkers) > 0 && r.ExcludedWorkers[w.ID]) || (r.EligibleWorkers != nil && !r.EligibleWorkers[w.ID]) {
		return false
	}
	return r.RequiredLabel == "" || slices.Contains(w.Labels, r.RequiredLabel)
}

func perWorkerLimit(r Request, w *Worker) int {
	if r.MaxPerWorker <= 0 {
		return r.Count
	}
	return max(0, r.MaxPerWorker-r.RunningPerWorker[w.ID])
}

// copies returns how many times the demand fits into the room.
func copies(demand, room workload.Resources) int {
	n := int64(math.MaxInt32)
	for _, pair := range [][2]int64{
		{demand.MilliCPU, room.MilliCPU}, {demand.MemoryMiB, room.MemoryMiB}, {demand.Accelerators, room.Accelerators},
	} {
		if pair[0] > 0 {
			n = min(n, max(0, pair[1])/pair[0])
		}
	}
	return int(n)
}

func (p *Planner) take(r Request, chosen []int, now bool) {
	for _, i := range chosen {
		w := &p.workers[i]
		w.FreeAfterStops = w.FreeAfterStops.Sub(r.Demand)
		// Room that is only kept is taken from the present room as well, so that
		// no later request uses it up.
		w.Free = w.Free.Sub(r.Demand)
		if now {
			w.Runs = append(w.Runs, Run{Group: -1, Demand: r.Demand, EndsIn: r.ExpectedDuration})
		}
	}
}
