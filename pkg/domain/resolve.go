package domain

import (
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// resolution is what is known of an attempt with a journaled claim.
type resolution int

const (
	resolutionOpen    resolution = iota // a worker has not answered yet
	resolutionAdopted                   // a task ran or runs; it has been adopted
	resolutionNotRun
	resolutionUnknown
)

// resolveClaim finds out what became of an attempt that its partition had
// permitted to start. A worker that never saw a start refuses it from now on,
// one that ran the task tells the outcome, and one that is gone or has
// restarted leaves the outcome unknown.
func (d *Domain) resolveClaim(a *attempt) {
	deadline := time.Now().Add(d.opts.lostAfter())
	pauses := newBackoff()
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
		case resolutionOpen:
		}
		if time.Now().After(deadline) {
			d.finishResolved(a, api.OutcomeLost, sched.EndWorkerLost, "a worker of the claimed attempt cannot be asked")
			return
		}
		if !wait.Sleep(d.ctx, pauses.NextBackOff()) {
			return
		}
	}
}

func (d *Domain) finishResolved(a *attempt, o api.Outcome, why sched.EndReason, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.resolving = false
	if len(a.copies) == 0 && !d.fenced {
		a.report.Allocations = a.offer.ClaimedAllocations // the partition releases the claim of these places only
		d.finishAttempt(a, o, why, "", reason)
	}
}

// tryResolve asks every claimed worker once. One started task decides; not run
// needs the tombstones of all.
func (d *Domain) tryResolve(a *attempt) resolution {
	workers, ready := d.claimedWorkers(a)
	if d.isAdopted(a) {
		return resolutionAdopted
	}
	if !ready {
		return resolutionOpen
	}
	result := resolutionNotRun
	for i, place := range a.offer.ClaimedAllocations {
		switch r := d.fenceClaimed(a, workers[i], place); r {
		case resolutionAdopted, resolutionOpen:
			return r
		case resolutionUnknown:
			result = r
		case resolutionNotRun:
		}
	}
	return result
}

// claimedWorkers returns the workers of the claim once all have answered a sync
// under this epoch: from then on no start of a former owner is accepted.
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

func (d *Domain) isAdopted(a *attempt) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return a.ended || len(a.copies) > 0
}

func (d *Domain) fenceClaimed(a *attempt, w *worker, place api.Allocation) resolution {
	st, same, err := d.fence(w, place)
	if err != nil {
		return resolutionOpen
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if st.Started && len(st.Meta) > 0 {
		d.adoptTask(w, st)
		return resolutionAdopted
	}
	forgotten := !same || time.Since(a.offer.ClaimedAt) > target.IdentityRetention
	if st.Started || forgotten {
		return resolutionUnknown
	}
	return resolutionNotRun
}
