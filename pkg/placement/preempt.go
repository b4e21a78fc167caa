package placement

import (
	"math"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// preempt finds the cheapest groups to stop so that the request fits into one
// of the scopes, keeps that room, and returns the groups; nil if there are none.
func (p *Planner) preempt(r Request, scopes [][]int) []int {
	var best *eviction
	for _, scope := range scopes {
		e := p.evict(r, scope)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil || best.cost > r.MaxCost {
		return nil
	}
	for _, g := range best.victims {
		p.victims[g] = true
		p.release(g)
	}
	p.take(r, best.workers, false)
	return best.victims
}

// release counts the runs of a victim as room that is free soon.
func (p *Planner) release(group int) {
	for i := range p.workers {
		w := &p.workers[i]
		for _, run := range w.Runs {
			if run.Group == group {
				w.Soon = w.Soon.Add(run.Demand)
			}
		}
		w.Runs = slices.DeleteFunc(w.Runs, func(run Run) bool { return run.Group == group })
	}
}

// eviction is a set of victims that makes room for a request.
type eviction struct {
	victims []int
	workers []int
	cost    float64
}

// evict chooses, task by task, the worker on which room costs least. A gang
// that falls once is free to use on all its workers.
func (p *Planner) evict(r Request, scope []int) *eviction {
	e := &eviction{}
	room := make(map[int]workload.Resources, len(scope))
	used := map[int]int{}
	for _, i := range scope {
		if w := &p.workers[i]; w.Open && p.allowed(r, w) {
			room[i] = w.Soon
		}
	}
	needed := r.Count
	if !r.Gang {
		needed = 1
	}
	for len(e.workers) < needed {
		worker, victims, cost := p.cheapest(r, e, scope, room, used)
		if worker < 0 {
			return nil
		}
		for _, g := range victims {
			e.victims = append(e.victims, g)
			p.credit(g, room)
		}
		room[worker] = room[worker].Sub(r.Demand)
		used[worker]++
		e.workers = append(e.workers, worker)
		e.cost += cost
	}
	return e
}

// credit adds the runs of a group to the room of their workers.
func (p *Planner) credit(group int, room map[int]workload.Resources) {
	for i := range room {
		for _, run := range p.workers[i].Runs {
			if run.Group == group {
				room[i] = room[i].Add(run.Demand)
			}
		}
	}
}

func (p *Planner) cheapest(r Request, e *eviction, scope []int, room map[int]workload.Resources, used map[int]int) (worker int, victims []int, cost float64) {
	worker, cost = -1, math.MaxFloat64
	for _, i := range scope {
		free, ok := room[i]
		w := &p.workers[i]
		if !ok || (r.MaxPerWorker > 0 && used[i]+r.PerWorker[w.ID] >= r.MaxPerWorker) {
			continue
		}
		chosen, price, ok := p.victimsOn(r, e, w, free)
		if ok && price < cost {
			worker, victims, cost = i, chosen, price
		}
	}
	return worker, victims, cost
}

// victimsOn returns the groups on a worker to stop for one task, cheapest first.
func (p *Planner) victimsOn(r Request, e *eviction, w *Worker, free workload.Resources) (victims []int, cost float64, ok bool) {
	if r.Demand.Fits(free) {
		return nil, 0, true
	}
	var groups []int
	for _, run := range w.Runs {
		g := run.Group
		if g < 0 || p.groups[g].Fixed || p.groups[g].Priority <= r.Priority || p.victims[g] ||
			slices.Contains(e.victims, g) || slices.Contains(groups, g) {
			continue
		}
		groups = append(groups, g)
	}
	slices.SortStableFunc(groups, func(a, b int) int {
		switch {
		case p.groups[a].Cost < p.groups[b].Cost:
			return -1
		case p.groups[a].Cost > p.groups[b].Cost:
			return 1
		default:
			return 0
		}
	})
	for _, g := range groups {
		victims = append(victims, g)
		cost += p.groups[g].Cost
		for _, run := range w.Runs {
			if run.Group == g {
				free = free.Add(run.Demand)
			}
		}
		if r.Demand.Fits(free) {
			return p.trim(r, w, victims, free)
		}
	}
	return nil, 0, false
}

// trim drops victims that are not needed, the dearest first.
func (p *Planner) trim(r Request, w *Worker, victims []int, free workload.Resources) (kept []int, cost float64, ok bool) {
	for n := len(victims) - 1; n >= 0; n-- {
		var demand workload.Resources
		for _, run := range w.Runs {
			if run.Group == victims[n] {
				demand = demand.Add(run.Demand)
			}
		}
		if without := free.Sub(demand); r.Demand.Fits(without) {
			free = without
			continue
		}
		kept = append(kept, victims[n])
		cost += p.groups[victims[n]].Cost
	}
	return kept, cost, true
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
		if w := &p.workers[i]; w.Open && p.allowed(r, w) {
			slots = p.appendSlots(slots, r, i)
		}
	}
	if len(slots) < r.Count {
		return nil, 0
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return int(a.at - b.at) })
	chosen := make([]int, 0, r.Count)
	for _, s := range slots[:r.Count] {
		chosen = append(chosen, s.worker)
	}
	return chosen, slots[r.Count-1].at
}

func (p *Planner) appendSlots(slots []slot, r Request, i int) []slot {
	w := &p.workers[i]
	runs := slices.Clone(w.Runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return int(a.EndsIn - b.EndsIn) })
	room, at, next := w.Soon, time.Duration(0), 0
	for _, c := range w.claims {
		room = room.Sub(c.demand)
	}
	for found := 0; found < min(r.Count, perWorkerLimit(r, w)); {
		if r.Demand.Fits(room) {
			room = room.Sub(r.Demand)
			slots = append(slots, slot{worker: i, at: at})
			found++
			continue
		}
		if next == len(runs) {
			break
		}
		room, at = room.Add(runs[next].Demand), max(at, runs[next].EndsIn)
		next++
	}
	return slots
}
