package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Workers of one service may differ in speed. Work whose caller loses by a slow worker takes
// the fast workers; work that ends in time on a slow worker takes the slow ones, so that the
// others stay free. Without workers that differ in speed nothing here has an effect.
const (
	// slowBelow is the speed below which a worker is slow.
	slowBelow = 0.75
	// toleranceMargin is how much of the expected loss of time on a worker the tolerance of a
	// request must be for the worker to be in time: run times and speeds are estimates.
	toleranceMargin = 1.5
	// awaitMargin is how much earlier a task must be expected to end on a worker that it waits
	// for: the capacity is seen with a delay, and other work may take it.
	awaitMargin = 300 * time.Millisecond
)

// speed returns the speed of a worker, 1 if it is unknown.
func (w *Worker) speed() float64 {
	if w.Speed <= 0 {
		return 1
	}
	return w.Speed
}

// durationOn returns the expected run time of a task on a worker.
func (r *Request) durationOn(w *Worker) time.Duration {
	if w.Speed <= 0 || w.Speed == 1 {
		return r.ExpectedDuration
	}
	return time.Duration(float64(r.ExpectedDuration) / w.Speed)
}

// inTimeOn reports whether a task on a worker ends within the tolerance of the request.
func (r *Request) inTimeOn(w *Worker) bool {
	loss := r.durationOn(w) - r.ExpectedDuration
	return loss <= 0 || toleranceMargin*float64(loss) <= float64(r.Tolerance)
}

// SpeedPreference is the order in which a request takes workers of different speeds, after the
// rack of its data and the penalty.
type SpeedPreference uint8

// Orders of workers.
const (
	// AnySpeed takes workers regardless of their speed; a gang takes slow ones last.
	AnySpeed SpeedPreference = iota
	// FastFirst takes fast workers first and slow ones last.
	FastFirst
	// SlowInTimeFirst takes slow workers first if tasks end within the tolerance there.
	SlowInTimeFirst
)

// Ranks of workers by speed, the lowest first.
const (
	rankSlowInTime = iota
	rankFastFirst
	rankUnknownFirst
	rankNormal
	rankUnknownLast
	rankDoubtful
	rankFastLast
	rankTooSlow
)

// speedRank orders workers for a request. Tasks that are in time on a slow worker take the
// slow ones first. Tasks that are not take fast workers first, and of the slow ones the
// fastest first.
func (p *Planner) speedRank(r Request, w *Worker) float64 {
	s := w.speed()
	switch {
	case r.Speed == AnySpeed && r.Gang && s < slowBelow:
		return rankTooSlow // a gang is as fast as its slowest member
	case r.Speed == AnySpeed:
		return rankNormal
	case r.Speed == FastFirst && s < slowBelow:
		return rankTooSlow + 1 - s
	}
	patient := r.Speed == SlowInTimeFirst && toleranceMargin*float64(r.ExpectedDuration)*(1/slowBelow-1) <= float64(r.Tolerance)
	switch {
	case w.Speed <= 0 && patient:
		return rankUnknownFirst
	case w.Speed <= 0:
		return rankUnknownLast
	case s == 1:
		return rankNormal
	case s >= slowBelow && s < 1:
		return rankDoubtful
	case s < slowBelow && r.inTimeOn(w):
		return rankSlowInTime
	case s < slowBelow:
		return rankTooSlow + 1 - s
	case patient:
		return rankFastLast
	}
	return rankFastFirst
}

// trimSlow removes workers from a choice that are too slow for the request, if a faster
// worker is expected to be free early enough for the task to end earlier there.
func (p *Planner) trimSlow(r Request, chosen []int) []int {
	if !slices.ContainsFunc(chosen, func(i int) bool { return p.isTooSlow(r, i) }) {
		return chosen
	}
	if r.Gang {
		loss := time.Duration(0)
		for _, i := range chosen {
			loss = max(loss, r.durationOn(&p.workers[i])-r.ExpectedDuration)
		}
		faster := r
		faster.onlyFaster = true
		if within := min(loss-awaitMargin, r.AwaitFaster); within > 0 && p.fitsWithin(faster, p.allWorkers, within) {
			return nil
		}
		return chosen
	}
	slots := p.fasterSlots(r)
	for n := len(chosen) - 1; n >= 0 && p.awaited < len(slots); n-- {
		if !p.isTooSlow(r, chosen[n]) {
			continue
		}
		loss := r.durationOn(&p.workers[chosen[n]]) - r.ExpectedDuration
		if at := slots[p.awaited]; at > r.AwaitFaster || at+awaitMargin > loss {
			break
		}
		p.awaited++
		chosen = slices.Delete(chosen, n, n+1)
	}
	return chosen
}

func (p *Planner) isTooSlow(r Request, i int) bool {
	w := &p.workers[i]
	return w.speed() < slowBelow && !r.inTimeOn(w)
}

// fasterSlots returns the times from which one more task of the request fits on workers that
// are not slow, the earliest first, without what is free now. Requests of the same demand
// share them within a cycle.
func (p *Planner) fasterSlots(r Request) []time.Duration {
	if p.slots != nil && p.slotsDemand == r.Demand && p.slotsLabel == r.RequiredLabel {
		return p.slots
	}
	one := r
	one.Count, one.MaxPerWorker, one.onlyFaster = maxAwaitedPerWorker, 0, true
	var all []slot
	for _, i := range p.allWorkers {
		if w := &p.workers[i]; p.usable(one, w) {
			all = p.appendSlots(all, one, i)
		}
	}
	slices.SortFunc(all, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
	p.slots, p.slotsDemand, p.slotsLabel, p.awaited = []time.Duration{}, r.Demand, r.RequiredLabel, 0
	for _, s := range all {
		if s.at > 0 {
			p.slots = append(p.slots, s.at)
		}
	}
	return p.slots
}

// maxAwaitedPerWorker bounds the tasks that are expected to fit on one worker soon.
const maxAwaitedPerWorker = 8

// unevenness is what a Planner knows of the speeds of its workers.
type unevenness struct {
	uneven  bool
	slowest float64 // speed of the slowest worker

	// Expected times at which workers that are not slow have room, see fasterSlots.
	slots       []time.Duration
	slotsDemand workload.Resources
	slotsLabel  string
	awaited     int // tasks of this cycle that wait for these
}

func (u *unevenness) note(w *Worker) {
	if s := w.speed(); s != 1 {
		if !u.uneven {
			u.uneven, u.slowest = true, 1
		}
		u.slowest = min(u.slowest, s)
	}
}

// compareSlow orders slow workers after others.
func compareSlow(a, b *Worker) int {
	slow := func(w *Worker) int {
		if w.speed() < slowBelow {
			return 1
		}
		return 0
	}
	return cmp.Compare(slow(a), slow(b))
}
