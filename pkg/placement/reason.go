package placement

import "github.com/carawayusher/carawayusher/pkg/workload"

// Reason says why a request is blocked: the one constraint without which it would be
// placed now, or what else is missing.
type Reason string

// Reasons of a blocked request.
const (
	NoCapacity    Reason = "no_capacity"    // the workers have less free capacity than the request needs
	Fragmented    Reason = "fragmented"     // enough capacity is free, but spread over too many workers
	Unschedulable Reason = "unschedulable"  // capacity is free only on workers that accept no tasks
	KeptForStops  Reason = "kept_for_stops" // kept for other requests that wait for stops
	Reserved      Reason = "reserved"       // reserved for waiting gangs
	Headroom      Reason = "headroom"       // kept free for urgent work
	Ejected       Reason = "ejected"        // the free workers are ejected after failed runs
	SingleRack    Reason = "single_rack"    // fits on several racks only
	Excluded      Reason = "excluded"       // tasks of the step failed on the free workers
	NotEligible   Reason = "advice"         // the free workers are not in EligibleWorkers
	Limit         Reason = "limit"          // MaxPerWorker
	Label         Reason = "label"          // the free workers lack RequiredLabel
	SlowWorkers   Reason = "slow_workers"   // the free workers are slow; a faster one is expected soon
	Combined      Reason = "combined"       // several constraints at once
)

// relaxation is a request with some of its constraints lifted.
type relaxation struct {
	Request
	anyRack, anyWorkerState, useKeptForStops bool
}

// constraints lists what may block a request although capacity is free.
var constraints = []struct {
	reason Reason
	lift   func(*relaxation)
}{
	{KeptForStops, func(x *relaxation) { x.useKeptForStops = true }},
	{Reserved, func(x *relaxation) { x.MayUseReserved = true }},
	{Headroom, func(x *relaxation) { x.MayUseHeadroom = true }},
	{Ejected, func(x *relaxation) { x.MayUseEjected = true }},
	{SingleRack, func(x *relaxation) { x.anyRack = true }},
	{Excluded, func(x *relaxation) { x.ExcludedWorkers = nil }},
	{NotEligible, func(x *relaxation) { x.EligibleWorkers = nil }},
	{Limit, func(x *relaxation) { x.MaxPerWorker = 0 }},
	{Label, func(x *relaxation) { x.RequiredLabel = "" }},
}

// blockedReason returns why a blocked request does not fit; multiRack allows it to use
// several racks. It changes nothing.
func (p *Planner) blockedReason(r Request, multiRack bool) Reason {
	own := relaxation{Request: r, anyRack: multiRack}
	unconstrained := own
	for _, c := range constraints {
		c.lift(&unconstrained)
	}
	if !p.fitsRelaxed(unconstrained) {
		return p.capacityReason(unconstrained)
	}
	for _, c := range constraints {
		relaxed := own
		c.lift(&relaxed)
		if p.fitsRelaxed(relaxed) {
			return c.reason
		}
	}
	return Combined
}

// capacityReason returns why a request does not fit even without its constraints.
func (p *Planner) capacityReason(r relaxation) Reason {
	r.anyWorkerState = true
	if p.fitsRelaxed(r) {
		return Unschedulable
	}
	var free workload.Resources
	for i := range p.workers {
		if w := &p.workers[i]; w.Schedulable {
			free = free.Add(r.free(w))
		}
	}
	if copies(r.Demand, free) >= r.needed() {
		return Fragmented
	}
	return NoCapacity
}

// needed returns the number of tasks that have to fit for the request to be placed.
func (r *relaxation) needed() int {
	if r.Gang {
		return r.Count
	}
	return 1
}

func (r *relaxation) free(w *Worker) workload.Resources {
	if r.useKeptForStops {
		return w.Free.Add(w.keptForStops)
	}
	return w.Free
}

// fitsRelaxed reports whether a request with lifted constraints fits now.
func (p *Planner) fitsRelaxed(r relaxation) bool {
	if !r.Gang || !r.SameRack || r.anyRack {
		return p.countRelaxed(r, p.allWorkers) >= r.needed()
	}
	for _, rack := range p.racks {
		if p.countRelaxed(r, rack) >= r.needed() {
			return true
		}
	}
	return false
}

// countRelaxed returns how many tasks of the request fit on the workers of a scope.
func (p *Planner) countRelaxed(r relaxation, scope []int) int {
	n := 0
	for _, i := range scope {
		w := &p.workers[i]
		if (!r.admits(w) && !r.anyWorkerState) || (w.headroom && !r.MayUseHeadroom) || !p.eligible(r.Request, w) {
			continue
		}
		free := r.free(w)
		if !r.Demand.Fits(free) {
			continue
		}
		n += min(copies(r.Demand, p.availableBeforeReservations(r.Request, w, free)), perWorkerLimit(r.Request, w))
	}
	return n
}
