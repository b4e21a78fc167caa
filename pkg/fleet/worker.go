package fleet

import (
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// maxOrderDelay is how long an unanswered order to a former incarnation may still
// reach the new one, whose clock starts again and so does not reject it as late.
const maxOrderDelay = 13 * time.Second

// addWorker adds a worker and starts its loops; the lock is held.
func (o *Owner) addWorker(entry WorkerEntry) *worker {
	w := &worker{
		WorkerEntry: entry, runs: map[*run]struct{}{}, failedAt: map[string]time.Duration{},
		orders: make(chan order, maxQueuedOrders), wake: make(chan struct{}, 1), ackAdvanced: make(chan struct{}), contacting: make(chan struct{}, 1),
		incarnationSince: o.opts.Clock(), entryIncarnation: entry.Incarnation,
		// A former owner may have renewed the lease just before it lost ownership.
		incarnationState: incarnationState{priorExpiry: o.tookOverAt + LeaseTTL + o.maxFormerLeaseTTL()},
	}
	o.workers[entry.ID] = w
	o.workersByID = nil
	o.limitCalls()
	o.goRun(func() { o.orderLoop(w) })
	o.goRun(func() { o.leaseLoop(w) })
	return w
}

// addAssignedWorker adds a worker without an entry from an assignment to it, whose start order
// went to the address in the assignment; the lock is held.
func (o *Owner) addAssignedWorker(a workload.Assignment) *worker {
	w := o.addWorker(WorkerEntry{ID: a.Worker, Incarnation: a.Incarnation, Machine: a.Machine, Address: a.Address})
	w.entryIncarnation = 0
	if a.Address == "" {
		o.requestMachineList() // no failed call requests it
	}
	return w
}

// applyWorker applies a worker's entry in the store and reports whether it names a worker. One
// of another writer does not, and takes the place of the worker's own entry; the lock is held.
func (o *Owner) applyWorker(key string, value []byte) (usable bool) {
	entry, ok := o.opts.DecodeWorker(key, value)
	if !ok {
		if o.oddEntryLines.allow(o.opts.Clock()) {
			o.opts.Log.Info("unusable worker entry ignored", "key", key, "bytes", len(value))
		}
		o.unlistWorker(key)
		return false
	}
	w := o.workers[entry.ID]
	if w == nil {
		w = o.addWorker(entry)
		w.listed, w.drainingSince = true, o.opts.Clock()
		o.noteDomain(w, entry)
		o.stopGivenUpRuns(w) // it was removed when its entry was, and may have started anew
		return true
	}
	w.listed = true
	if w.contradicts(entry) {
		if o.oddEntryLines.allow(o.opts.Clock()) {
			o.opts.Log.Info("worker entry ignored, as the worker has answered as another", "worker", w.ID, "address", entry.Address, "service", entry.Service,
				"machine", entry.Machine, "born", entry.Incarnation, "reportedBorn", w.reportedIncarnation)
		}
		return true
	}
	before := w.WorkerEntry
	o.noteDomain(w, entry)
	w.WorkerEntry, w.entryIncarnation = entry, entry.Incarnation
	w.Incarnation = before.Incarnation
	if entry.Draining && !before.Draining {
		w.drainingSince, o.lastScanAt = o.opts.Clock(), 0 // the next cycle scans its runs
		o.opts.Log.Info("worker drains", "worker", w.ID, "leavesInMS", entry.MinRemaining.Milliseconds(), "runs", len(w.runs))
	}
	if before.Address == "" {
		o.wakeLeaseLoop(w)
	} else if before.Address != entry.Address && w.reportedIncarnation == 0 {
		w.claimed = true // the process may be at either address
	}
	if before.Incarnation != entry.Incarnation {
		o.claimIncarnation(w, entry.Incarnation, entry.Machine != before.Machine)
	}
	return true
}

// contradicts reports whether an entry cannot be that of the worker: it is older than the
// incarnation that the worker itself has reported, or says of that incarnation what cannot
// change while it lives.
func (w *worker) contradicts(entry WorkerEntry) bool {
	switch {
	case w.Address == "" || w.reportedIncarnation == 0:
		return false
	case entry.Incarnation == w.reportedIncarnation && w.entryIncarnation == 0:
		return entry.Address != w.Address // at which it has answered
	case entry.Incarnation == w.reportedIncarnation && w.entryIncarnation == w.reportedIncarnation:
		return entry.Address != w.Address || entry.Service != w.Service || entry.Machine != w.Machine
	}
	return entry.Incarnation < w.reportedIncarnation
}

// compareWithAssignment takes the entry of a worker for a claim if a former owner assigned a run
// to another incarnation or address of it; the lock is held.
func (w *worker) compareWithAssignment(a workload.Assignment) {
	if a.Incarnation != w.Incarnation || (a.Address != "" && w.Address != "" && a.Address != w.Address) {
		w.claimed = true
		w.machineUnsure = w.machineUnsure || (a.Machine != "" && a.Machine != w.Machine)
	}
}

// describesProcess reports whether the worker's entry is that of the incarnation which is
// running, so that its labels and capacity hold; the lock is held.
func (w *worker) describesProcess() bool { return w.entryIncarnation == w.Incarnation }

// claimIncarnation begins the incarnation that an entry names. The one before is kept until
// a reply shows which of them is running; the lock is held.
func (o *Owner) claimIncarnation(w *worker, incarnation int64, otherMachine bool) {
	if o.resumeIncarnation(w, incarnation, "entry in the store") {
		return
	}
	if !w.claimed && w.reportedIncarnation == w.Incarnation {
		w.replaced = &replacedIncarnation{w.Incarnation, w.incarnationState}
	}
	w.claimed, w.machineUnsure = true, w.machineUnsure || otherMachine
	w.Incarnation = incarnation
	o.beginIncarnation(w, "entry in the store")
}

// resumeIncarnation takes back a claim if it is the incarnation before it that is running,
// and reports whether it is; the lock is held.
func (o *Owner) resumeIncarnation(w *worker, incarnation int64, source string) bool {
	if w.replaced == nil || w.replaced.incarnation != incarnation {
		return false
	}
	o.opts.Log.Info("worker has not started anew", "worker", w.ID, "source", source, "claimedBorn", w.Incarnation, "born", incarnation, "runs", len(w.runs))
	w.Incarnation, w.incarnationState = incarnation, w.replaced.state
	w.incarnationSince = o.opts.Clock()
	w.claimed, w.machineUnsure, w.replaced = false, false, nil
	o.wakeLeaseLoop(w)
	return true
}

// confirmIncarnation applies the incarnation that a reply to a call sent at sentAt names. It
// returns false if the reply is a late one of a former incarnation. The lock is held.
func (o *Owner) confirmIncarnation(w *worker, incarnation int64, sentAt time.Duration) bool {
	if incarnation != w.Incarnation {
		// A reply to a call that was sent after a later incarnation had become known shows
		// that the entry which names it is not the worker's.
		if incarnation < w.Incarnation && sentAt < w.incarnationSince {
			return false
		}
		if !o.resumeIncarnation(w, incarnation, "its own reply") {
			w.Incarnation = incarnation
			o.beginIncarnation(w, "its own reply")
		}
	}
	w.reportedIncarnation, w.claimed, w.machineUnsure, w.replaced = incarnation, false, false, nil
	return true
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
	o.speeds.estimator.Forget(w.ID)
	o.workersByID = nil
	o.limitCalls()
	close(w.orders)
	o.wakeLeaseLoop(w)
}

// endIncarnation abandons the runs of a worker whose address now belongs to another
// worker or incarnation: the process that had the runs has ended. If a later incarnation
// has become known since the call, the runs are resolved or running there. If the address is
// that of an unconfirmed entry, the process may run on at another one, and its lease decides.
// The lock is held.
func (o *Owner) endIncarnation(w *worker, incarnation int64) {
	if w.Incarnation != incarnation || w.claimed {
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

// beginIncarnation resets the state of a worker that has probably started anew, so that no
// former run is running on it. Orders sent before may still reach the new incarnation, so each
// run is looked for and resolved there and each one given up before is stopped; the lock is
// held.
func (o *Owner) beginIncarnation(w *worker, source string) {
	o.opts.Log.Info("worker has started anew", "worker", w.ID, "source", source, "born", w.Incarnation, "runs", len(w.runs))
	w.incarnationSince = o.opts.Clock()
	w.incarnationState = incarnationState{priorExpiry: o.opts.Clock() + maxOrderDelay}
	w.resetEjection()
	w.speed = 0
	o.stopGivenUpRuns(w)
	for r := range w.runs {
		if r.phase != phasePlanned {
			r.progressPercent = 0
			o.setPhase(r, phaseUncertain)
			o.enqueueOrder(w, order{kind: orderAdopt, run: r})
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
