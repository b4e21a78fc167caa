package sched

import (
	"math/bits"
	"slices"
	"time"
)

// PreviewReclaim returns the preemptions of Reclaim without stopping a job. It uses
// this domain and not a copy, because a copy may pin the guaranteed cells to other
// accelerators and so list other borrowers.
func (d *Domain) PreviewReclaim(now time.Time, workspace string) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reclaimActions(now, workspace)
}

// Reclaim preempts every borrower in the workspace's guaranteed cells on request of
// an operator. Borrowers are always preemptible, since an at-most-once job never
// borrows.
func (d *Domain) Reclaim(now time.Time, workspace string) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.markStopping(d.reclaimActions(now, workspace))
}

func (d *Domain) reclaimActions(now time.Time, workspace string) []Action {
	d.refreshPins()
	var victims []*job
	for _, ws := range d.sortedWorkspaces {
		if ws.name != workspace {
			continue
		}
		for _, p := range ws.parts {
			p.worker.eachAlloc(func(v *job, s *allocation) {
				borrows := v.ws != ws && s.mask&p.mask != 0
				if borrows && v.preemptible() && v.phase == phasePlaced && !slices.Contains(victims, v) {
					victims = append(victims, v)
				}
			})
		}
	}
	var out []Action
	for _, v := range victims {
		out = append(out, d.stopAction(now, v, ActionPreempt, "an operator reclaims the guaranteed cells of workspace "+workspace))
	}
	return out
}

// stopAction returns the action that stops the job on request of an operator.
func (d *Domain) stopAction(now time.Time, v *job, t ActionType, reason string) Action {
	return Action{
		Type: t, Job: v.ID, Workspace: v.Workspace, Attempt: v.Attempt, For: "operator",
		Reclaim: t == ActionPreempt, Reason: reason, StopBy: now.Add(d.opts.PreemptionGrace), LostWork: v.lostWork(now),
	}
}

// markStopping marks the jobs of the actions as stopping and returns the actions.
func (d *Domain) markStopping(actions []Action) []Action {
	for _, a := range actions {
		j := d.jobs[a.Job]
		j.phase, j.stopBy = phaseStopping, a.StopBy
	}
	return actions
}

// PreviewDefragment returns the moves of Defragment without stopping a job.
func (d *Domain) PreviewDefragment(now time.Time) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.defragmentActions(now)
}

// Defragment empties, on request of an operator, the least used worker of each rack
// whose jobs can all be moved to other partly used workers of the domain.
func (d *Domain) Defragment(now time.Time) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.markStopping(d.defragmentActions(now))
}

func (d *Domain) defragmentActions(now time.Time) []Action {
	var out []Action
	taken := 0 // accelerators needed by the moves of earlier racks
	for _, r := range d.racks {
		w := d.leastUsedMovable(r.workers, taken)
		if w == nil {
			continue
		}
		taken += w.usedAccelerators()
		for _, v := range w.jobs {
			out = append(out, d.stopAction(now, v, ActionMove, "an operator defragments rack "+w.Rack))
		}
	}
	return out
}

// leastUsedMovable returns the least used worker whose jobs can all be moved, or nil.
func (d *Domain) leastUsedMovable(workers []*worker, taken int) *worker {
	var best *worker
	for _, w := range workers {
		used := w.usedAccelerators()
		if used == 0 || !w.usable() || !w.movable() || d.freeOnUsedWorkers(w) < used+taken {
			continue
		}
		if best == nil || used < best.usedAccelerators() {
			best = w
		}
	}
	return best
}

// movable reports whether all jobs of the worker can be checkpointed, run on this
// worker only and are not being stopped already.
func (w *worker) movable() bool {
	for _, v := range w.jobs {
		if !v.Checkpointable || !v.preemptible() || v.phase != phasePlaced || len(v.allocs) != 1 {
			return false
		}
	}
	return true
}

func (w *worker) usedAccelerators() int {
	n := 0
	w.eachAlloc(func(_ *job, s *allocation) { n += bits.OnesCount64(s.mask) })
	return n
}

// freeOnUsedWorkers returns the number of free accelerators on other workers that
// are already in use: a move to an idle worker would gain nothing.
func (d *Domain) freeOnUsedWorkers(except *worker) int {
	n := 0
	for _, w := range d.workers {
		if w != except && w.usable() && w.usedAccelerators() > 0 {
			n += bits.OnesCount64(w.available(anyAccelerators))
		}
	}
	return n
}
