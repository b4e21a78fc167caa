// Package placement decides which workers run the tasks of a step, including gang
// placement, preemption and reservations. The owner of the fleet builds a Planner
// from a snapshot of the workers and places groups of tasks in order of their rank.
// A Planner tracks the capacity that it has allocated; it does no I/O and reads no
// clock.
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
	// AwaitingStops: the request fits once runs that are being stopped have ended; the
	// capacity is kept for it.
	AwaitingStops
	// Preempting: the request fits once the victims have been stopped; the capacity is
	// kept for it.
	Preempting
	// AwaitingEnds: the request is expected to fit within MayWait as runs end; the capacity
	// is kept for it.
	AwaitingEnds
	// Blocked: the request does not fit; a reservation may have been made.
	Blocked
)

// Run is a run on a worker.
type Run struct {
	Group  int // index into Snapshot.Groups
	Demand workload.Resources
	EndsIn time.Duration // expected remaining run time; 0 when it is overdue
	// EndUnknown means that EndsIn is too uncertain to rely on the end, as for an overdue run.
	EndUnknown bool
}

// Group is a set of runs that is stopped as a whole: a gang, or a single run.
type Group struct {
	Priority       int
	StopCost       float64 // value of the work lost when the group is stopped
	NonPreemptible bool    // never chosen as a victim
	LastResort     bool    // a victim only of requests with MayStopLastResort, if others do not suffice
	Borrowed       bool    // urgent work on capacity beyond the guarantee of its workspace
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
	// Ejected keeps requests without MayUseEjected off a worker, as runs have failed on it.
	Ejected bool
	// Penalty makes a worker less preferred; workers with the lowest penalty come first.
	Penalty int
	// Speed is the speed relative to the other workers, 1 for a normal one; 0 if unknown. It
	// takes few different values.
	Speed float64

	reservations []reservation
	headroom     bool               // kept for urgent work
	keptForStops workload.Resources // kept for requests that wait for stops
}

// reservation is capacity of a worker that is kept for a waiting gang from a time on.
type reservation struct {
	from   time.Duration
	demand workload.Resources
}

// Snapshot is the input of a Planner.
type Snapshot struct {
	Workers []Worker
	Groups  []Group
}

// Request asks for capacity for the tasks of one step.
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
	ExpectedDuration  time.Duration // run time of a task on a worker of normal speed
	MayUseHeadroom    bool          // see Planner.KeepHeadroom
	MayUseEjected     bool          // ejected workers may be used if the request is blocked otherwise
	MayPreempt        bool
	// MaxStopCost bounds the total StopCost of the victims.
	MaxStopCost float64
	// MayWait is how long the request may wait for runs to end before others are preempted.
	MayWait time.Duration
	// KeepEarliest keeps the capacity on which the blocked request is expected to fit earliest,
	// so that work behind it cannot take what becomes free.
	KeepEarliest bool
	// PreemptAll preempts for all separate tasks at once, and otherwise for one at a time.
	PreemptAll bool
	// MayStopLastResort allows victims with LastResort if others of lesser priority do not
	// suffice.
	MayStopLastResort bool
	// MayStopBorrowed allows victims of the same priority that use borrowed capacity, if
	// those of lesser priority do not suffice.
	MayStopBorrowed bool
	MayUseReserved  bool // capacity that is reserved for gangs may be used
	// Reserve makes a reservation for a blocked gang, so that smaller work behind it
	// cannot delay it indefinitely.
	Reserve bool
	// Explain asks for the Reason of a blocked request, which costs several passes over
	// the workers. It does not affect the decision.
	Explain bool
	// Speed is the order in which workers of different speeds are taken.
	Speed SpeedPreference
}

// Outcome is the answer to a Request. Workers holds an index into
// Snapshot.Workers for each task that was placed.
type Outcome struct {
	Code      Code
	Workers   []int
	Victims   []int  // groups to stop
	MultiRack bool   // a SameRack gang was placed on several racks
	Reason    Reason // why the request is blocked, if Request.Explain is set
}

// Planner places requests sequentially. It is not safe for concurrent use.
type Planner struct {
	workers      []Worker
	groups       []Group
	racks        [][]int // indexes of workers by rack
	allWorkers   []int   // indexes of all workers
	anyEjected   bool
	preempted    []bool  // by group: a victim of an earlier request
	groupWorkers [][]int // workers of each group, one entry for each run

	candidates []candidate // reused by fit
	slots      []slot      // reused by earliestFit
	evictor    evictor
	unevenness
}

// New returns a Planner. It takes ownership of the snapshot and changes it.
func New(s Snapshot) *Planner {
	p := &Planner{
		workers: s.Workers, groups: s.Groups, allWorkers: make([]int, len(s.Workers)),
		preempted: make([]bool, len(s.Groups)),
	}
	byRack := map[string]int{}
	for i := range p.workers {
		p.allWorkers[i] = i
		p.anyEjected = p.anyEjected || p.workers[i].Ejected
		p.note(&p.workers[i])
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

// Place decides on one request and allocates the capacity it needs.
func (p *Planner) Place(r Request) Outcome {
	if r.MayUseEjected && p.anyEjected {
		strict := r
		strict.MayUseEjected, strict.Reserve, strict.Explain, strict.KeepEarliest = false, false, false, false
		if r.MayWait > 0 {
			strict.MayPreempt = false // an ejected worker with free capacity is better than a wait
		}
		if outcome := p.place(strict); outcome.Code != Blocked {
			return outcome
		}
	}
	return p.place(r)
}

func (p *Planner) place(r Request) Outcome {
	scopes := [][]int{p.allWorkers}
	if r.Gang && r.SameRack {
		scopes = p.racks
	}
	if chosen := p.fitBestScope(r, scopes, true); chosen != nil {
		return p.allocateNow(r, chosen)
	}
	multiRack := r.Gang && r.SameRack && p.acceptsMultiRack(r)
	if multiRack {
		if chosen := p.fit(r, p.allWorkers, true); chosen != nil {
			return p.allocateNow(r, chosen)
		}
	}
	chosen := p.fitBestScope(r, scopes, false)
	if multiRack && chosen == nil {
		chosen = p.fit(r, p.allWorkers, false)
	}
	if chosen != nil {
		p.allocate(r, chosen, false)
		if victims := p.preemptForRest(r, chosen, scopes); victims != nil {
			return Outcome{Code: Preempting, Victims: victims}
		}
		return Outcome{Code: AwaitingStops}
	}
	if multiRack {
		scopes = append(slices.Clone(p.racks), p.allWorkers)
	}
	if r.MayPreempt {
		if r.MayWait > 0 && p.keepEarliest(r, scopes, r.MayWait, true) {
			return Outcome{Code: AwaitingEnds}
		}
		if victims := p.preemptLesserFirst(r, scopes); victims != nil {
			return Outcome{Code: Preempting, Victims: victims}
		}
	}
	outcome := Outcome{Code: Blocked}
	if r.Explain {
		outcome.Reason = p.blockedReason(r, multiRack)
	}
	switch {
	case r.KeepEarliest:
		p.keepEarliest(r, scopes, math.MaxInt64, false)
	case r.Reserve && r.Gang:
		p.reserve(r, scopes)
	}
	return outcome
}

func (p *Planner) allocateNow(r Request, chosen []int) Outcome {
	p.allocate(r, chosen, true)
	return Outcome{Code: Placed, Workers: chosen, MultiRack: r.SameRack && p.onSeveralRacks(chosen)}
}

// acceptsMultiRack reports whether a gang that prefers one rack may be placed on several:
// the request allows it, no rack could ever hold the gang, or waiting for a rack takes
// longer than the gang loses by running on several.
func (p *Planner) acceptsMultiRack(r Request) bool {
	if r.AllowMultiRack {
		return true
	}
	possible := func(rack []int) bool { return p.fitsWhenEmpty(r, rack) }
	if !slices.ContainsFunc(p.racks, possible) {
		return true
	}
	loss := time.Duration((r.MultiRackSlowdown - 1) * float64(r.ExpectedDuration))
	inTime := func(rack []int) bool { return p.fitsWithin(r, rack, loss) }
	return r.MultiRackSlowdown > 1 && !slices.ContainsFunc(p.racks, inTime)
}

// fitsWhenEmpty reports whether the gang would fit on the workers of the scope if they
// were empty.
func (p *Planner) fitsWhenEmpty(r Request, scope []int) bool {
	n := 0
	for _, i := range scope {
		w := &p.workers[i]
		if r.admits(w) && p.eligible(r, w) {
			n += min(copies(r.Demand, w.Capacity), perWorkerLimit(r, w))
		}
	}
	return n >= r.Count
}

// fitBestScope returns the workers of the best scope in which the request fits. Among
// racks it prefers the one with the data, then the one with the least free capacity.
func (p *Planner) fitBestScope(r Request, scopes [][]int, now bool) []int {
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
	penaltyWeight  = 64   // per point of penalty of a worker
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
// of a gang, or for as many separate tasks as fit; nil if none fit. With now it uses
// the free capacity of the workers, else that after pending stops.
func (p *Planner) fit(r Request, scope []int, now bool) []int {
	candidates, total := p.candidates[:0], 0
	for _, i := range scope {
		w := &p.workers[i]
		if !p.usable(r, w) {
			continue
		}
		free := w.Free
		if !now {
			free = w.FreeAfterStops
		}
		if !r.Demand.Fits(free) {
			continue
		}
		if n := min(copies(r.Demand, p.availableBeforeReservations(r, w, free)), perWorkerLimit(r, w)); n > 0 {
			candidates = append(candidates, candidate{worker: i, copies: n, key: p.fitKey(r, w, free)})
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

// fitKey orders workers: those in the rack of the data first, then by penalty, then by speed
// where speeds differ, then by the least free capacity, so that whole workers stay free for large tasks.
type fitKey struct {
	remote, penalty int
	speed           float64
	accelerators    int64
	memory          int64
	cpu             int64
}

func (a fitKey) compare(b fitKey) int {
	return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(a.penalty, b.penalty), cmp.Compare(a.speed, b.speed), cmp.Compare(a.accelerators, b.accelerators),
		cmp.Compare(a.memory, b.memory), cmp.Compare(a.cpu, b.cpu))
}

func (p *Planner) fitKey(r Request, w *Worker, free workload.Resources) fitKey {
	k := fitKey{penalty: w.Penalty, accelerators: free.Accelerators, memory: free.MemoryMiB, cpu: free.MilliCPU}
	if r.AffinityRack != "" && w.Rack != r.AffinityRack {
		k.remote = 1
	}
	if p.uneven {
		k.speed = p.speedRank(r, w)
	}
	return k
}

// availableBeforeReservations reduces the free capacity of a worker by the reservations
// that start before a task of the request ends.
func (p *Planner) availableBeforeReservations(r Request, w *Worker, free workload.Resources) workload.Resources {
	if r.MayUseReserved {
		return free
	}
	for _, c := range w.reservations {
		if r.durationOn(w) <= c.from {
			continue
		}
		freeThen := w.FreeAfterStops
		for _, run := range w.Runs {
			if run.EndsIn <= c.from {
				freeThen = freeThen.Add(run.Demand)
			}
		}
		left := freeThen.Sub(c.demand)
		free = workload.Resources{
			MilliCPU:     min(free.MilliCPU, left.MilliCPU),
			MemoryMiB:    min(free.MemoryMiB, left.MemoryMiB),
			Accelerators: min(free.Accelerators, left.Accelerators),
		}
	}
	return free
}

// admits reports whether the state of a worker lets it take tasks of the request.
func (r *Request) admits(w *Worker) bool {
	return w.Schedulable && (!w.Ejected || r.MayUseEjected)
}

// usable reports whether the request may use the worker now.
func (p *Planner) usable(r Request, w *Worker) bool {
	return r.admits(w) && (r.MayUseHeadroom || !w.headroom) && p.eligible(r, w)
}

// eligible reports whether the constraints of the request admit the worker.
func (p *Planner) eligible(r Request, w *Worker) bool {
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

// copies returns how many times the demand fits into the free capacity.
func copies(demand, free workload.Resources) int {
	n := int64(math.MaxInt32)
	for _, pair := range [][2]int64{
		{demand.MilliCPU, free.MilliCPU}, {demand.MemoryMiB, free.MemoryMiB}, {demand.Accelerators, free.Accelerators},
	} {
		if pair[0] > 0 {
			n = min(n, max(0, pair[1])/pair[0])
		}
	}
	return int(n)
}

func (p *Planner) allocate(r Request, chosen []int, now bool) {
	for _, i := range chosen {
		w := &p.workers[i]
		w.FreeAfterStops = w.FreeAfterStops.Sub(r.Demand)
		// Capacity that is kept for later is taken from the free capacity as well, so
		// that no later request uses it.
		w.Free = w.Free.Sub(r.Demand)
		if now {
			w.Runs = append(w.Runs, Run{Group: -1, Demand: r.Demand, EndsIn: r.durationOn(w)})
		} else {
			w.keptForStops = w.keptForStops.Add(r.Demand)
		}
	}
}
