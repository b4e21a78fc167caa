package placement

import (
	"cmp"
	"slices"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// KeepHeadroom keeps free capacity for urgent work: until the next call, a request
// without MayUseHeadroom gets no capacity on the workers that it chooses. It takes the
// racks with the most free capacity first and the emptiest workers of each, because
// urgent gangs need whole workers close to each other, and lets lesser work fill the
// workers that are in use already. With less free capacity than wanted it keeps all of it.
func (p *Planner) KeepHeadroom(wanted workload.Resources) {
	for i := range p.workers {
		p.workers[i].headroom = false
	}
	racks := make([]rackHeadroom, 0, len(p.racks))
	for _, rack := range p.racks {
		racks = append(racks, p.rackHeadroom(rack))
	}
	slices.SortStableFunc(racks, func(a, b rackHeadroom) int { return compareRoom(b.free, a.free) })
	kept := workload.Resources{}
	for _, rack := range racks {
		for _, i := range rack.workers {
			if wanted.Fits(kept) {
				return
			}
			p.workers[i].headroom = true
			kept = kept.Add(p.freeForHeadroom(i))
		}
	}
}

// rackHeadroom is the free capacity of a rack and its workers, the emptiest first.
type rackHeadroom struct {
	free    workload.Resources
	workers []int
}

func (p *Planner) rackHeadroom(rack []int) rackHeadroom {
	var h rackHeadroom
	for _, i := range rack {
		if free := p.freeForHeadroom(i); free != (workload.Resources{}) {
			h.free = h.free.Add(free)
			h.workers = append(h.workers, i)
		}
	}
	slices.SortStableFunc(h.workers, func(a, b int) int {
		if p.uneven {
			if order := compareSlow(&p.workers[a], &p.workers[b]); order != 0 {
				return order
			}
		}
		return compareRoom(p.freeForHeadroom(b), p.freeForHeadroom(a))
	})
	return h
}

// freeForHeadroom returns the capacity of a worker that urgent work could get without a
// preemption; none if the worker accepts no tasks or its accelerators are all in use.
func (p *Planner) freeForHeadroom(i int) workload.Resources {
	w := &p.workers[i]
	free := w.FreeAfterStops
	if !w.Schedulable || w.Ejected || free.MilliCPU <= 0 || free.MemoryMiB <= 0 || (w.Capacity.Accelerators > 0 && free.Accelerators <= 0) {
		return workload.Resources{}
	}
	return free
}

// compareRoom orders free capacity by accelerators, which are the scarcest, then cores.
func compareRoom(a, b workload.Resources) int {
	return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.MilliCPU, b.MilliCPU))
}
