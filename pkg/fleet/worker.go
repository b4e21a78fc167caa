package fleet

import (
	"strings"
	"time"
)

// maxOrderDelay is how long an unanswered order to a former incarnation may still
// reach the new one, whose clock starts again and so does not reject it as late.
const maxOrderDelay = 13 * time.Second

// addWorker adds a worker and starts its loops; the lock is held.
func (o *Owner) addWorker(entry WorkerEntry) *worker {
	w := &worker{
		WorkerEntry: entry, runs: map[*run]struct{}{}, failedAt: map[string]time.Duration{},
		orders: make(chan order, maxQueuedOrders), wake: make(chan struct{}, 1), ackAdvanced: make(chan struct{}), contacting: make(chan struct{}, 1),
		incarnationSince: o.opts.Clock(),
		// A former owner may have renewed the lease just before it lost ownership.
		priorExpiry: o.tookOverAt + LeaseTTL + o.maxFormerLeaseTTL(),
	}
	o.workers[entry.ID] = w
	o.workersByID = nil
	o.limitCalls()
	o.goRun(func() { o.orderLoop(w) })
	o.goRun(func() { o.leaseLoop(w) })
	return w
}

// applyWorker applies a worker's entry in the store; the lock is held.
func (o *Owner) applyWorker(key string, value []byte) {
	entry, ok := o.opts.DecodeWorker(key, value)
	if !ok {
		o.opts.Log.V(1).Info("unusable worker entry ignored", "key", key)
		return
	}
	w := o.workers[entry.ID]
	if w == nil {
		w = o.addWorker(entry)
		w.listed, w.drainingSince = true, o.opts.Clock()
		o.stopGivenUpRuns(w) // it was removed when its entry was, and may have started anew
		return
	}
	before := w.WorkerEntry
	w.listed = true
	if before.Address != "" && entry.Incarnation < before.Incarnation {
		return // older than the incarnation that the worker itself reported
	}
	w.WorkerEntry = entry
	if entry.Draining && !before.Draining {
		w.drainingSince, o.lastScanAt = o.opts.Clock(), 0 // the next cycle scans its runs
		o.opts.Log.Info("worker drains", "worker", w.ID, "leavesInMS", entry.MinRemaining.Milliseconds(), "runs", len(w.runs))
	}
	if before.Address == "" {
		o.wakeLeaseLoop(w)
	}
	if before.Incarnation != entry.Incarnation {
		o.beginIncarnation(w, "entry in the store")
	}
}

// unlistWorker marks a worker as unlisted after its entry was deleted from the store.
// Its runs may continue until its lease expires; the lock is held.
func (o *Owner) unlistWorker(key string) {
	w := o.workers[strings.TrimPrefix(key, o.opts.WorkerPrefix)]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	o.opts.Log.Info("worker is no longer listed", "worker", w.ID, "runs", len(w.runs))
	o.removeIfUnused(w)
}

// removeIfUnused removes a worker that is not listed and has no runs, and ends its
// loops; the lock is held.
func (o *Owner) removeIfUnused(w *worker) {
	if w.listed || len(w.runs) > 0 || w.removed {
		return
	}
	w.removed = true
	delete(o.workers, w.ID)
	o.workersByID = nil
	o.limitCalls()
	close(w.orders)
	o.wakeLeaseLoop(w)
}

// endIncarnation abandons the runs of a worker whose address now belongs to another
// worker or incarnation: the process that had the runs has ended. If a later incarnation
// has become known since the call, the runs are resolved or running there. The lock is held.
func (o *Owner) endIncarnation(w *worker, incarnation int64) {
	if w.Incarnation != incarnation {
		return
	}
	if len(w.runs) > 0 {
		o.opts.Log.Info("another worker process answers at the address; the former one has ended", "worker", w.ID, "runs", len(w.runs))
	}
	for r := range w.runs {
		if r.phase != phasePlanned {
			o.abandonRun(r)
		}
	}
}

// beginIncarnation resets the state of a restarted worker, on which no former run is
// running. Orders sent before may still reach the new incarnation, so each run is
// resolved there and each one given up before is stopped; the lock is held.
func (o *Owner) beginIncarnation(w *worker, source string) {
	o.opts.Log.Info("worker has started anew", "worker", w.ID, "source", source, "runs", len(w.runs))
	w.incarnationSince = o.opts.Clock()
	w.contacted, w.lastEndSeq, w.ackThrough, w.unackedEnds, w.ackDue = false, 0, 0, nil, false
	w.wholeListSentAt, w.cutListSentAt = 0, 0
	w.maxDeadlineMS, w.maxStartDeadlineMS, w.priorExpiry = 0, 0, o.opts.Clock()+maxOrderDelay
	w.resetEjection()
	o.stopGivenUpRuns(w)
	for r := range w.runs {
		if r.phase != phasePlanned {
			o.queueResolve(r)
		}
	}
	o.triggerCycle()
}

// wakeLeaseLoop wakes the lease loop of a worker.
func (o *Owner) wakeLeaseLoop(w *worker) {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
