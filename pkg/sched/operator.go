package sched

import (
	"math/bits"
	"slices"
	"time"
)

// PreviewReclaim returns what Reclaim would preempt, without changing the state.
func (d *Domain) PreviewReclaim(now time.Time, workspace string) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clone(now).Reclaim(now, workspace)
}

// Reclaim preempts every borrower in the workspace's guaranteed cells, at an
// operator's order. Borrowers can always be preempted, since a job that must
// not run again never borrows.
func (d *Domain) Reclaim(now time.Time, workspace string) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settlePins()
	var victims []*job
	for _, ws := range d.sorted {
		if ws.name != workspace {
			continue
		}
		for _, p := range ws.parts {
			p.w.eachSpot(func(v *job, s *spot) {
				borrows := v.ws != ws && s.mask&p.mask != 0
				if borrows && v.preemptible() && v.phase == phasePlaced && !slices.Contains(victims, v) {
					victims = append(victims, v)
				}
			})
		}
	}
	var out []Action
	for _, v := range victims {
		out = append(out, d.stopByOrder(now, v, ActionPreempt, "an operator reclaims the guaranteed cells of workspace "+workspace))
	}
	return out
}

// stopByOrder marks the job as stopping and returns the action.
func (d *Domain) stopByOrder(now time.Time, v *job, t ActionType, reason string) Action {
	v.phase, v.stopBy = phaseStopping, now.Add(d.opts.Grace)
	return Action{
		Type: t, Job: v.ID, Workspace: v.Workspace, Attempt: v.Attempt, For: "operator",
		Reclaim: t == ActionPreempt, Reason: reason, StopBy: v.stopBy, LostWork: v.lost(now),
	}
}

// PreviewDefragment returns what Defragment would move, without changing the state.
func (d *Domain) PreviewDefragment(now time.Time) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clone(now).Defragment(now)
}

// Defragment empties, at an operator's order, in each rack the least used
// worker whose jobs can all be moved to other partly used workers of the domain.
func (d *Domain) Defragment(now time.Time) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Action
	taken := 0 // room that earlier racks' moves need
	for _, r := range d.racks {
		w := d.emptiable(r.workers, taken)
		if w == nil {
			continue
		}
		taken += w.usedAccelerators()
		for _, v := range slices.Clone(w.tasks) {
			out = append(out, d.stopByOrder(now, v, ActionMove, "an operator defragments rack "+w.Rack))
		}
	}
	return out
}

// emptiable returns the least used worker that can be emptied, or nil.
func (d *Domain) emptiable(workers []*worker, taken int) *worker {
	var best *worker
	for _, w := range workers {
		used := w.usedAccelerators()
		if used == 0 || !w.usable() || !w.movable() || d.partlyFree(w) < used+taken {
			continue
		}
		if best == nil || used < best.usedAccelerators() {
			best = w
		}
	}
	return best
}

// movable reports whether all jobs of the worker can be checkpointed and run
// on it alone.
func (w *worker) movable() bool {
	for _, v := range w.tasks {
		if !v.Checkpointable || !v.preemptible() || v.phase != phasePlaced || len(v.spots) != 1 {
			return false
		}
	}
	return true
}

func (w *worker) usedAccelerators() int {
	n := 0
	w.eachSpot(func(_ *job, s *spot) { n += bits.OnesCount64(s.mask) })
	return n
}

// partlyFree returns the free accelerators on other workers that are in use
// already: a move to an idle worker would gain nothing.
func (d *Domain) partlyFree(except *worker) int {
	n := 0
	for _, w := range d.workers {
		if w != except && w.usable() && w.usedAccelerators() > 0 {
			n += bits.OnesCount64(w.avail(accAny))
		}
	}
	return n
}
