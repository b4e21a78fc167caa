package sched

import (
	"math/bits"
	"slices"
	"time"
)

// minMoveGain is the minimum ratio of a move's gain to its cost.
const minMoveGain = 2

// moveBlockers moves the jobs that run on reserved accelerators elsewhere when there
// is room for all of them and the gain of the gang is at least minMoveGain times the
// cost of the moves.
func (d *Domain) moveBlockers(now time.Time, r *reservation, out *[]Action) {
	if !d.rules.Move || r.blockersMoved {
		return
	}
	var blockers []*job
	var cost time.Duration
	need := 0
	for _, s := range r.allocs {
		for _, v := range s.worker.jobs {
			if !v.uses(s.worker, s.mask) || slices.Contains(blockers, v) {
				continue
			}
			if !v.Checkpointable || !v.preemptible() || v.phase != phasePlaced || len(v.allocs) != 1 {
				return
			}
			blockers = append(blockers, v)
			cost += v.lostWork(now) + taskRestartCost*time.Duration(max(v.Accelerators, 1))
			need += v.Accelerators
		}
	}
	gain := max(r.readyAt.Sub(now)-d.opts.PreemptionGrace, 0) * time.Duration(r.job.Accelerators)
	if len(blockers) == 0 || gain < minMoveGain*cost || d.freeUnreserved() < need {
		return
	}
	r.blockersMoved = true
	d.stopVictims(now, r.job, blockers, ActionMove, "moved to make room for a waiting gang", out)
}

// freeUnreserved returns the number of free accelerators outside reservations.
func (d *Domain) freeUnreserved() int {
	n := 0
	for _, r := range d.racks {
		n += r.free[anyAccelerators]
	}
	return n
}

// largestBlock returns the size of the largest free block of the worker.
func (w *worker) largestBlock() int {
	l := largestFreeLevel(w.available(anyAccelerators), w.capacity)
	if l < 0 {
		return 0
	}
	return min(1<<l, bits.OnesCount64(w.capacity))
}
