package domain

import (
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// resolution is the result of resolving an attempt with a journaled claim.
type resolution int

const (
	resolutionPending resolution = iota // a worker has not answered yet
	resolutionAdopted                   // a task has run or is running and was adopted
	resolutionNotRun
	resolutionUnknown
)

// resolveClaim determines the outcome of an attempt that its partition had permitted
// to start. A worker that never received the start rejects it from now on, one that ran
// the task returns the outcome, and one that is gone or has restarted leaves the
// outcome unknown.
func (d *Domain) resolveClaim(a *attempt) {
	deadline := time.Now().Add(d.opts.lostTimeout())
	delays := newBackoff()
	for {
		switch d.tryResolve(a) {
		case resolutionAdopted:
			return
		case resolutionNotRun:
			d.finishResolved(a, api.OutcomeNotRun, sched.EndReservationFailed, "no worker of the claimed attempt had started it")
			return
		case resolutionUnknown:
			d.finishResolved(a, api.OutcomeLost, sched.EndWorkerLost, "a worker of the claimed attempt no longer knows it")
			return
		case resolutionPending:
		}
		if time.Now().After(deadline) {
			d.finishResolved(a, api.OutcomeLost, sched.EndWorkerLost, "a worker of the claimed attempt cannot be asked")
			return
		}
		if !wait.Sleep(d.ctx, delays.NextBackOff()) {
			return
		}
	}
}

func (d *Domain) finishResolved(a *attempt, o api.Outcome, why sched.EndReason, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.resolving = false
	if len(a.copies) == 0 && !d.fenced {
		a.report.Allocations = a.offer.ClaimedAllocations // the partition releases only the claim of these allocations
		d.finishAttempt(a, o, why, "", reason)
	}
}

// tryResolve queries every claimed worker once. One started task is conclusive; not run
// requires the tombstones of all tasks.
func (d *Domain) tryResolve(a *attempt) resolution {
	workers, ready := d.claimedWorkers(a)
	if d.endedOrAdopted(a) {
		return resolutionAdopted
	}
	if !ready {
		return resolutionPending
	}
	result := resolutionNotRun
	for i, alloc := range a.offer.ClaimedAllocations {
		switch r := d.fenceClaimed(a, workers[i], alloc); r {
		case resolutionAdopted, resolutionPending:
			return r
		case resolutionUnknown:
			result = r
		case resolutionNotRun:
		}
	}
	return result
}

// claimedWorkers returns the workers of the claim once all have answered a sync
// under this epoch: from then on they reject starts of a former owner.
func (d *Domain) claimedWorkers(a *attempt) ([]*worker, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var workers []*worker
	for _, p := range a.offer.ClaimedAllocations {
		w := d.workers[p.Worker]
		if w == nil || !w.synced || w.failing {
			return nil, false
		}
		workers = append(workers, w)
	}
	return workers, true
}

func (d *Domain) endedOrAdopted(a *attempt) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return a.ended || len(a.copies) > 0
}

func (d *Domain) fenceClaimed(a *attempt, w *worker, alloc api.Allocation) resolution {
	st, sameProcess, err := d.fence(w, alloc)
	if err != nil {
		return resolutionPending
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if st.Started && len(st.Meta) > 0 {
		d.adoptTask(w, st)
		return resolutionAdopted
	}
	recordLost := !sameProcess || time.Since(a.offer.ClaimedAt) > target.IdentityRetention
	if st.Started || recordLost {
		return resolutionUnknown
	}
	return resolutionNotRun
}
