package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// preemptLesserFirst preempts work of lesser priority or, if that does not suffice and the
// request allows it, also work that is a last resort, and then work that uses borrowed capacity.
func (p *Planner) preemptLesserFirst(r Request, scopes [][]int) []int {
	lesser := r
	lesser.MayStopBorrowed, lesser.MayStopLastResort = false, false
	victims := p.preempt(lesser, scopes)
	if victims == nil && r.MayStopLastResort {
		lesser.MayStopLastResort = true
		victims = p.preempt(lesser, scopes)
	}
	if victims == nil && r.MayStopBorrowed {
		victims = p.preempt(r, scopes)
	}
	return victims
}

// preemptForRest preempts for the separate tasks for which pending stops do not suffice, if
// the request asks for all of them; chosen are the workers of the others.
func (p *Planner) preemptForRest(r Request, chosen []int, scopes [][]int) []int {
	if !r.MayPreempt || !r.PreemptAll || len(chosen) == r.Count {
		return nil
	}
	r.Count -= len(chosen)
	if r.MaxPerWorker > 0 {
		running := maps.Clone(r.RunningPerWorker)
		if running == nil {
			running = map[string]int{}
		}
		for _, i := range chosen {
			running[p.workers[i].ID]++
		}
		r.RunningPerWorker = running
	}
	return p.preemptLesserFirst(r, scopes)
}

// keepEarliest keeps the capacity on which all tasks of the request are expected to fit
// earliest without a preemption, if that is within a time; it reports whether it is. With
// reliable it does not count on runs whose end is unknown.
func (p *Planner) keepEarliest(r Request, scopes [][]int, within time.Duration, reliable bool) bool {
	best, bestAt := p.earliestScope(r, scopes, reliable)
	if best == nil || bestAt > within {
		return false
	}
	p.allocate(r, best, false)
	return true
}

// earliestScope returns the workers of the scope in which all tasks fit earliest, and the time
// from which they fit.
func (p *Planner) earliestScope(r Request, scopes [][]int, reliable bool) (best []int, bestAt time.Duration) {
	for _, scope := range scopes {
		if chosen, at := p.earliestFit(r, scope, reliable); chosen != nil && (best == nil || at < bestAt) {
			best, bestAt = chosen, at
		}
	}
	return best, bestAt
}

// preempt finds the cheapest groups to stop so that the request fits into one of the
// scopes, allocates that capacity, and returns the groups; nil if there are none.
func (p *Planner) preempt(r Request, scopes [][]int) []int {
	e := &p.evictor
	e.prepare(p, r)
	best := eviction{cost: math.Inf(1)}
	for _, scope := range scopes {
		if found, ok := e.chooseVictims(scope, min(r.MaxStopCost, best.cost)); ok && found.cost < best.cost {
			best = found
		}
	}
	if len(best.victims) == 0 || !p.fitsBesideReservations(r, best) {
		return nil // there is no fit, or what is missing is reserved rather than in use
	}
	for _, g := range best.victims {
		p.preempted[g] = true
		p.releaseVictim(g)
	}
	p.allocate(r, best.workers, false)
	return best.victims
}

// fitsBesideReservations reports whether the request may use its capacity once the victims
// have stopped. Otherwise they would be stopped in vain.
func (p *Planner) fitsBesideReservations(r Request, e eviction) bool {
	tasks := map[int]int{}
	for _, i := range e.workers {
		tasks[i]++
	}
	for i, n := range tasks {
		if len(p.workers[i].reservations) == 0 {
			continue
		}
		w := p.workers[i].without(func(run Run) bool { return slices.Contains(e.victims, run.Group) })
		if copies(r.Demand, p.availableBeforeReservations(r, &w, w.FreeAfterStops)) < n {
			return false
		}
	}
	return true
}

// without returns the worker once some of its runs have stopped.
func (w *Worker) without(stopped func(Run) bool) Worker {
	after := Worker{Speed: w.Speed, FreeAfterStops: w.FreeAfterStops, reservations: w.reservations}
	for _, run := range w.Runs {
		if stopped(run) {
			after.FreeAfterStops = after.FreeAfterStops.Add(run.Demand)
		} else {
			after.Runs = append(after.Runs, run)
		}
	}
	return after
}

// mayStop reports whether the request goes before a group.
func (r *Request) mayStop(g *Group) bool {
	if g.LastResort && !r.MayStopLastResort {
		return false
	}
	return g.Priority > r.Priority || (r.MayStopBorrowed && g.Borrowed && g.Priority == r.Priority)
}

// workersOfGroup returns the workers of a group, one entry for each run.
func (p *Planner) workersOfGroup(group int) []int {
	if p.groupWorkers == nil {
		p.groupWorkers = make([][]int, len(p.groups))
		for i := range p.workers {
			for _, run := range p.workers[i].Runs {
				if run.Group >= 0 {
					p.groupWorkers[run.Group] = append(p.groupWorkers[run.Group], i)
				}
			}
		}
	}
	return p.groupWorkers[group]
}

// releaseVictim counts the capacity of a victim's runs as free after pending stops.
func (p *Planner) releaseVictim(group int) {
	for _, i := range p.workersOfGroup(group) {
		w := &p.workers[i]
		w.Runs = slices.DeleteFunc(w.Runs, func(run Run) bool {
			if run.Group == group {
				w.FreeAfterStops = w.FreeAfterStops.Add(run.Demand)
			}
			return run.Group == group
		})
		p.evictor.usages[i] = nil
	}
}

// eviction is a set of victims, and the workers on which the request fits once they
// have stopped.
type eviction struct {
	victims []int
	workers []int
	cost    float64
}

// usage is the capacity of a worker that a group uses.
type usage struct {
	group  int
	demand workload.Resources
}

// evictor chooses victims for one request at a time. It caches the usages of each
// worker across requests and the base costs across the scopes of a request.
type evictor struct {
	p         *Planner
	r         Request
	usages    [][]usage // by worker, cheapest group first; nil if not computed
	baseCosts []float64 // by worker: stop cost of fitting one task; infinite if impossible

	// State of the current scope.
	position []int                // of each worker in the scope, or -1
	costs    []float64            // by position: stop cost of fitting one more task
	free     []workload.Resources // by position
	added    []int                // by position: tasks of the request
	victims  []int                // victims so far
	scratch  []usage
}

// prepare computes, for each worker, the stop cost of fitting one task of a request.
func (e *evictor) prepare(p *Planner, r Request) {
	e.p, e.r = p, r
	if e.usages == nil {
		e.usages = make([][]usage, len(p.workers))
		e.baseCosts = make([]float64, len(p.workers))
		e.position = make([]int, len(p.workers))
		for i := range e.position {
			e.position[i] = -1
		}
	}
	e.victims = nil
	for i := range p.workers {
		w := &p.workers[i]
		e.baseCosts[i] = math.Inf(1)
		if p.usable(r, w) && perWorkerLimit(r, w) > 0 && e.mayUseUnreserved(w) {
			e.baseCosts[i], _ = e.victimsOn(i, w.FreeAfterStops)
		}
	}
}

// mayUseUnreserved reports whether a task would fit beside the reservations on a worker if all
// runs were stopped that the request goes before.
func (e *evictor) mayUseUnreserved(w *Worker) bool {
	if len(w.reservations) == 0 {
		return true
	}
	emptied := w.without(func(run Run) bool { return run.Group >= 0 && e.r.mayStop(&e.p.groups[run.Group]) })
	return copies(e.r.Demand, e.p.availableBeforeReservations(e.r, &emptied, emptied.FreeAfterStops)) > 0
}

// chooseVictims places the tasks one by one on the worker with the lowest stop cost;
// of separate tasks it places only one, or with PreemptAll as many as it can. Once a gang is a victim, its capacity on all of
// its workers is free to use. It fails if the total cost exceeds the limit.
func (e *evictor) chooseVictims(scope []int, limit float64) (eviction, bool) {
	needed := e.r.Count
	if !e.r.Gang && !e.r.PreemptAll {
		needed = 1
	}
	e.beginScope(scope)
	defer e.endScope(scope)
	found := eviction{}
	for len(found.workers) < needed {
		at := e.cheapestPosition()
		if at < 0 || found.cost+e.costs[at] > limit {
			if !e.r.Gang && len(found.workers) > 0 {
				break
			}
			return eviction{}, false
		}
		worker := scope[at]
		cost, victims := e.victimsOn(worker, e.free[at])
		found.cost += cost
		found.workers = append(found.workers, worker)
		first := len(found.victims)
		for _, v := range victims {
			found.victims = append(found.victims, v.group)
		}
		e.victims = found.victims
		e.free[at] = e.free[at].Sub(e.r.Demand)
		e.added[at]++
		e.updateCost(scope, at)
		for _, g := range found.victims[first:] {
			e.addReleased(scope, g)
		}
	}
	return found, true
}

// beginScope initializes the state for a scope.
func (e *evictor) beginScope(scope []int) {
	e.victims = nil
	e.costs, e.free, e.added = e.costs[:0], e.free[:0], e.added[:0]
	for at, i := range scope {
		e.position[i] = at
		e.costs = append(e.costs, e.baseCosts[i])
		e.free = append(e.free, e.p.workers[i].FreeAfterStops)
		e.added = append(e.added, 0)
	}
}

func (e *evictor) endScope(scope []int) {
	for _, i := range scope {
		e.position[i] = -1
	}
}

// cheapestPosition returns the position in the scope with the lowest cost of fitting
// one more task, or -1 if there is none.
func (e *evictor) cheapestPosition() int {
	best, cost := -1, math.Inf(1)
	for at, c := range e.costs {
		if c < cost {
			best, cost = at, c
		}
	}
	return best
}

// addReleased adds the capacity of a victim's runs to the free capacity of their
// workers.
func (e *evictor) addReleased(scope []int, group int) {
	before := -1
	for _, i := range e.p.workersOfGroup(group) {
		at := e.position[i]
		if at < 0 || i == before {
			continue // outside the scope, or a worker with several runs of the group
		}
		before = i
		for _, s := range e.usagesOn(i) {
			if s.group == group {
				e.free[at] = e.free[at].Add(s.demand)
			}
		}
		e.updateCost(scope, at)
	}
}

// updateCost recomputes the cost on a worker after its free capacity has changed.
func (e *evictor) updateCost(scope []int, at int) {
	w := &e.p.workers[scope[at]]
	if math.IsInf(e.baseCosts[scope[at]], 1) || e.added[at] >= perWorkerLimit(e.r, w) {
		e.costs[at] = math.Inf(1)
		return
	}
	e.costs[at], _ = e.victimsOn(scope[at], e.free[at])
}

// usagesOn returns the usages of preemptible groups on a worker, the cheapest group
// first.
func (e *evictor) usagesOn(worker int) []usage {
	if e.usages[worker] != nil {
		return e.usages[worker]
	}
	all := []usage{}
	for _, run := range e.p.workers[worker].Runs {
		g := run.Group
		if g < 0 || e.p.groups[g].NonPreemptible {
			continue
		}
		if n := slices.IndexFunc(all, func(s usage) bool { return s.group == g }); n >= 0 {
			all[n].demand = all[n].demand.Add(run.Demand)
		} else {
			all = append(all, usage{group: g, demand: run.Demand})
		}
	}
	slices.SortStableFunc(all, func(a, b usage) int { return cmp.Compare(e.p.groups[a.group].StopCost, e.p.groups[b.group].StopCost) })
	e.usages[worker] = all
	return all
}

// victimsOn returns the groups to stop on a worker with the given free capacity so
// that one more task fits, and their cost; the cost is infinite if the task cannot
// fit. The returned slice is valid until the next call.
func (e *evictor) victimsOn(worker int, free workload.Resources) (cost float64, victims []usage) {
	victims = e.scratch[:0]
	if e.r.Demand.Fits(free) {
		return 0, victims
	}
	for _, s := range e.usagesOn(worker) {
		g := &e.p.groups[s.group]
		if !e.r.mayStop(g) || e.p.preempted[s.group] || slices.Contains(e.victims, s.group) {
			continue
		}
		victims = append(victims, s)
		free = free.Add(s.demand)
		if e.r.Demand.Fits(free) {
			e.scratch = victims
			return e.dropUnneeded(victims, free)
		}
	}
	e.scratch = victims
	return math.Inf(1), nil
}

// dropUnneeded removes victims that are not needed, the most expensive first.
func (e *evictor) dropUnneeded(victims []usage, free workload.Resources) (cost float64, kept []usage) {
	for n := len(victims) - 1; n >= 0; n-- {
		if without := free.Sub(victims[n].demand); e.r.Demand.Fits(without) {
			free = without
			victims = slices.Delete(victims, n, n+1)
			continue
		}
		cost += e.p.groups[victims[n].group].StopCost
	}
	return cost, victims
}

// reserve makes reservations on the workers on which the gang fits earliest. Later
// requests use that capacity only for tasks that end before the reservation starts.
func (p *Planner) reserve(r Request, scopes [][]int) {
	best, bestAt := p.earliestScope(r, scopes, false)
	for _, i := range best {
		w := &p.workers[i]
		w.reservations = append(w.reservations, reservation{from: bestAt, demand: r.Demand})
	}
}

// slot is the time from which one more task fits on a worker.
type slot struct {
	worker int
	at     time.Duration
}

// earliestFit returns the workers of a scope on which all tasks fit earliest, and the
// time from which they fit. With reliable it does not count on runs whose end is unknown.
func (p *Planner) earliestFit(r Request, scope []int, reliable bool) ([]int, time.Duration) {
	slots := p.slots[:0]
	for _, i := range scope {
		if w := &p.workers[i]; p.usable(r, w) {
			slots = p.appendSlots(slots, r, i, reliable)
		}
	}
	p.slots = slots
	if len(slots) < r.Count {
		return nil, 0
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
	chosen := make([]int, 0, r.Count)
	for _, s := range slots[:r.Count] {
		chosen = append(chosen, s.worker)
	}
	return chosen, slots[r.Count-1].at
}

func (p *Planner) appendSlots(slots []slot, r Request, i int, reliable bool) []slot {
	w := &p.workers[i]
	p.sortRuns(w)
	free, at, next := p.unreserved(w), time.Duration(0), 0
	for found := 0; found < min(r.Count, perWorkerLimit(r, w)); {
		if r.Demand.Fits(free) {
			free = free.Sub(r.Demand)
			slots = append(slots, slot{worker: i, at: at})
			found++
			continue
		}
		if next == len(w.Runs) {
			break
		}
		if run := w.Runs[next]; !reliable || !run.EndUnknown {
			free, at = free.Add(run.Demand), max(at, run.EndsIn)
		}
		next++
	}
	return slots
}

// unreserved returns the capacity that is free after pending stops and not reserved.
func (p *Planner) unreserved(w *Worker) workload.Resources {
	free := w.FreeAfterStops
	for _, c := range w.reservations {
		free = free.Sub(c.demand)
	}
	return free
}

// sortRuns orders the runs of a worker by their expected end.
func (p *Planner) sortRuns(w *Worker) {
	byEnd := func(a, b Run) int { return cmp.Compare(a.EndsIn, b.EndsIn) }
	if !slices.IsSortedFunc(w.Runs, byEnd) {
		slices.SortStableFunc(w.Runs, byEnd)
	}
}

// fitsWithin reports whether the whole gang fits on the workers of a scope within a
// time.
func (p *Planner) fitsWithin(r Request, scope []int, within time.Duration) bool {
	n := 0
	for _, i := range scope {
		w := &p.workers[i]
		if !p.usable(r, w) {
			continue
		}
		free := p.unreserved(w)
		for _, run := range w.Runs {
			if run.EndsIn <= within {
				free = free.Add(run.Demand)
			}
		}
		n += min(copies(r.Demand, free), perWorkerLimit(r, w))
	}
	return n >= r.Count
}
