package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// preempt finds the cheapest groups to stop so that the request fits into one
// of the scopes, keeps that room, and returns the groups; nil if there are none.
func (p *Planner) preempt(r Request, scopes [][]int) []int {
	e := &p.evictor
	e.prepare(p, r)
	best := eviction{cost: math.Inf(1)}
	for _, scope := range scopes {
		if found, ok := e.evict(scope, min(r.MaxStopCost, best.cost)); ok && found.cost < best.cost {
			best = found
		}
	}
	if best.workers == nil {
		return nil
	}
	for _, g := range best.victims {
		p.stopped[g] = true
		p.release(g)
	}
	p.take(r, best.workers, false)
	return best.victims
}

// placesOf returns the workers of each group, one entry for each run.
func (p *Planner) placesOf(group int) []int {
	if p.places == nil {
		p.places = make([][]int, len(p.groups))
		for i := range p.workers {
			for _, run := range p.workers[i].Runs {
				if run.Group >= 0 {
					p.places[run.Group] = append(p.places[run.Group], i)
				}
			}
		}
	}
	return p.places[group]
}

// release counts the runs of a victim as room that is free soon.
func (p *Planner) release(group int) {
	for _, i := range p.placesOf(group) {
		w := &p.workers[i]
		w.Runs = slices.DeleteFunc(w.Runs, func(run Run) bool {
			if run.Group == group {
				w.FreeAfterStops = w.FreeAfterStops.Add(run.Demand)
			}
			return run.Group == group
		})
		p.evictor.stakes[i] = nil
	}
}

// eviction is a set of victims that makes room for a request.
type eviction struct {
	victims []int
	workers []int
	cost    float64
}

// stake is what a group uses of a worker.
type stake struct {
	group  int
	demand workload.Resources
}

// evictor chooses victims for one request at a time. It keeps the stakes of each
// worker from one request to the next and the prices from one scope to the next.
type evictor struct {
	p      *Planner
	r      Request
	stakes [][]stake // by worker, cheapest first; nil where not known
	prices []float64 // of room for one task, by worker; infinite where there is none

	// Of the present scope.
	position []int // of each worker in the scope, or -1
	cost     []float64
	room     []workload.Resources
	used     []int
	chosen   []int // victims so far
	scratch  []stake
}

// prepare works out what room for one task of a request costs on each worker.
func (e *evictor) prepare(p *Planner, r Request) {
	e.p, e.r = p, r
	if e.stakes == nil {
		e.stakes = make([][]stake, len(p.workers))
		e.prices = make([]float64, len(p.workers))
		e.position = make([]int, len(p.workers))
		for i := range e.position {
			e.position[i] = -1
		}
	}
	e.chosen = nil
	for i := range p.workers {
		w := &p.workers[i]
		e.prices[i] = math.Inf(1)
		if w.Schedulable && p.allowed(r, w) && perWorkerLimit(r, w) > 0 {
			e.prices[i], _ = e.victimsOn(i, w.FreeAfterStops)
		}
	}
}

// evict chooses, task by task, the worker on which room costs least. A gang that
// falls once is free to use on all its workers. It gives up beyond the limit.
func (e *evictor) evict(scope []int, limit float64) (eviction, bool) {
	needed := e.r.Count
	if !e.r.Gang {
		needed = 1
	}
	e.enter(scope)
	defer e.leave(scope)
	found := eviction{}
	for len(found.workers) < needed {
		at := e.cheapest()
		if at < 0 || found.cost+e.cost[at] > limit {
			return eviction{}, false
		}
		worker := scope[at]
		cost, victims := e.victimsOn(worker, e.room[at])
		found.cost += cost
		found.workers = append(found.workers, worker)
		first := len(found.victims)
		for _, v := range victims {
			found.victims = append(found.victims, v.group)
		}
		e.chosen = found.victims
		e.room[at] = e.room[at].Sub(e.r.Demand)
		e.used[at]++
		e.reprice(scope, at)
		for _, g := range found.victims[first:] {
			e.credit(scope, g)
		}
	}
	return found, true
}

// enter begins with a scope.
func (e *evictor) enter(scope []int) {
	e.chosen = nil
	e.cost, e.room, e.used = e.cost[:0], e.room[:0], e.used[:0]
	for at, i := range scope {
		e.position[i] = at
		e.cost = append(e.cost, e.prices[i])
		e.room = append(e.room, e.p.workers[i].FreeAfterStops)
		e.used = append(e.used, 0)
	}
}

func (e *evictor) leave(scope []int) {
	for _, i := range scope {
		e.position[i] = -1
	}
}

// cheapest returns the position at which room for one more task costs least, or
// -1 if there is none.
func (e *evictor) cheapest() int {
	best, cost := -1, math.Inf(1)
	for at, c := range e.cost {
		if c < cost {
			best, cost = at, c
		}
	}
	return best
}

// credit adds the runs of a victim to the room of their workers.
func (e *evictor) credit(scope []int, group int) {
	before := -1
	for _, i := range e.p.placesOf(group) {
		at := e.position[i]
		if at < 0 || i == before {
			continue // another scope, or a worker that holds several runs of the group
		}
		before = i
		for _, s := range e.stakesOf(i) {
			if s.group == group {
				e.room[at] = e.room[at].Add(s.demand)
			}
		}
		e.reprice(scope, at)
	}
}

// reprice works the price of a worker out anew after its room has changed.
func (e *evictor) reprice(scope []int, at int) {
	w := &e.p.workers[scope[at]]
	if math.IsInf(e.prices[scope[at]], 1) || e.used[at] >= perWorkerLimit(e.r, w) {
		e.cost[at] = math.Inf(1)
		return
	}
	e.cost[at], _ = e.victimsOn(scope[at], e.room[at])
}

// stakesOf returns what groups use of a worker, the cheapest group first.
func (e *evictor) stakesOf(worker int) []stake {
	if e.stakes[worker] != nil {
		return e.stakes[worker]
	}
	all := []stake{}
	for _, run := range e.p.workers[worker].Runs {
		g := run.Group
		if g < 0 || e.p.groups[g].NonPreemptible {
			continue
		}
		if n := slices.IndexFunc(all, func(s stake) bool { return s.group == g }); n >= 0 {
			all[n].demand = all[n].demand.Add(run.Demand)
		} else {
			all = append(all, stake{group: g, demand: run.Demand})
		}
	}
	slices.SortStableFunc(all, func(a, b stake) int { return cmp.Compare(e.p.groups[a.group].StopCost, e.p.groups[b.group].StopCost) })
	e.stakes[worker] = all
	return all
}

// victimsOn returns the groups to stop on a worker with the given room for one
// more task, and what they cost; the cost is infinite if that is not enough. The
// victims are valid until the next call.
func (e *evictor) victimsOn(worker int, free workload.Resources) (cost float64, victims []stake) {
	victims = e.scratch[:0]
	if e.r.Demand.Fits(free) {
		return 0, victims
	}
	for _, s := range e.stakesOf(worker) {
		g := &e.p.groups[s.group]
		if g.Priority <= e.r.Priority || e.p.stopped[s.group] || slices.Contains(e.chosen, s.group) {
			continue
		}
		victims = append(victims, s)
		free = free.Add(s.demand)
		if e.r.Demand.Fits(free) {
			e.scratch = victims
			return e.trim(victims, free)
		}
	}
	e.scratch = victims
	return math.Inf(1), nil
}

// trim drops victims that are not needed, the dearest first.
func (e *evictor) trim(victims []stake, free workload.Resources) (cost float64, kept []stake) {
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

// reserve claims the workers on which the gang fits earliest. Requests behind
// it use them only for tasks that end before.
func (p *Planner) reserve(r Request, scopes [][]int) {
	best, bestAt := []int(nil), time.Duration(math.MaxInt64)
	for _, scope := range scopes {
		if chosen, at := p.earliest(r, scope); chosen != nil && at < bestAt {
			best, bestAt = chosen, at
		}
	}
	for _, i := range best {
		w := &p.workers[i]
		w.claims = append(w.claims, claim{from: bestAt, demand: r.Demand})
	}
}

// slot is a moment from which a worker has room for one more task.
type slot struct {
	worker int
	at     time.Duration
}

// earliest returns the workers of a scope that have room for the gang first,
// and when.
func (p *Planner) earliest(r Request, scope []int) ([]int, time.Duration) {
	var slots []slot
	for _, i := range scope {
		if w := &p.workers[i]; w.Schedulable && p.allowed(r, w) {
			slots = p.appendSlots(slots, r, i)
		}
	}
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

func (p *Planner) appendSlots(slots []slot, r Request, i int) []slot {
	w := &p.workers[i]
	p.sortRuns(w)
	room, at, next := p.unclaimed(w), time.Duration(0), 0
	for found := 0; found < min(r.Count, perWorkerLimit(r, w)); {
		if r.Demand.Fits(room) {
			room = room.Sub(r.Demand)
			slots = append(slots, slot{worker: i, at: at})
			found++
			continue
		}
		if next == len(w.Runs) {
			break
		}
		room, at = room.Add(w.Runs[next].Demand), max(at, w.Runs[next].EndsIn)
		next++
	}
	return slots
}

// unclaimed is the room that is free soon and not kept for groups that wait.
func (p *Planner) unclaimed(w *Worker) workload.Resources {
	room := w.FreeAfterStops
	for _, c := range w.claims {
		room = room.Sub(c.demand)
	}
	return room
}

// sortRuns orders the runs of a worker by their expected end.
func (p *Planner) sortRuns(w *Worker) {
	byEnd := func(a, b Run) int { return cmp.Compare(a.EndsIn, b.EndsIn) }
	if !slices.IsSortedFunc(w.Runs, byEnd) {
		slices.SortStableFunc(w.Runs, byEnd)
	}
}

// fitsBy reports whether the workers of a scope have room for the whole gang
// within a time.
func (p *Planner) fitsBy(r Request, scope []int, within time.Duration) bool {
	n := 0
	for _, i := range scope {
		w := &p.workers[i]
		if !w.Schedulable || !p.allowed(r, w) {
			continue
		}
		room := p.unclaimed(w)
		for _, run := range w.Runs {
			if run.EndsIn <= within {
				room = room.Add(run.Demand)
			}
		}
		n += min(copies(r.Demand, room), perWorkerLimit(r, w))
	}
	return n >= r.Count
}
