package sched

import (
	"math/bits"
	"slices"
	"time"
)

// moveGain is how many times its cost a move has to be worth.
const moveGain = 2

// moveBlockers moves the running jobs in a reservation elsewhere when there is
// room for all of them and the gang gains more than the moves cost.
func (d *Domain) moveBlockers(now time.Time, r *reservation, out *[]Action) {
	if !d.rules.Move || r.moved {
		return
	}
	var blockers []*job
	var cost time.Duration
	need := 0
	for _, s := range r.spots {
		for _, v := range s.w.tasks {
			if !v.uses(s.w, s.mask) || slices.Contains(blockers, v) {
				continue
			}
			if !v.Checkpointable || !v.preemptible() || v.phase != phasePlaced || len(v.spots) != 1 {
				return
			}
			blockers = append(blockers, v)
			cost += v.lost(now) + victimCost*time.Duration(max(v.Accelerators, 1))
			need += v.Accelerators
		}
	}
	gain := max(r.ready.Sub(now)-d.opts.PreemptionGrace, 0) * time.Duration(r.j.Accelerators)
	if len(blockers) == 0 || gain < moveGain*cost || d.roomOutside() < need {
		return
	}
	r.moved = true
	d.stopFor(now, r.j, blockers, ActionMove, "moved to make room for a waiting gang", out)
}

// roomOutside returns the free accelerators outside reservations.
func (d *Domain) roomOutside() int {
	n := 0
	for _, r := range d.racks {
		n += r.free[accAny]
	}
	return n
}

// largestBlock returns the size of the largest adjacent free block of the worker.
func (w *worker) largestBlock() int {
	l := largestLevel(w.avail(accAny), w.capacity)
	if l < 0 {
		return 0
	}
	return min(1<<l, bits.OnesCount64(w.capacity))
}
