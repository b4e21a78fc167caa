package fleet

import (
	"strings"
	"time"
)

// lateOrders is how long an unanswered order to a former life may still reach
// the new one, whose clock starts anew and thus does not refuse it as late.
const lateOrders = 13 * time.Second

// addWorker creates a worker and its loops; the lock is held.
func (o *Owner) addWorker(entry WorkerEntry) *worker {
	w := &worker{
		WorkerEntry: entry, runs: map[*run]struct{}{}, strikes: map[string]bool{},
		orders: make(chan order, orderQueue), poke: make(chan struct{}, 1), acked: make(chan struct{}),
		lifeSince: o.opts.Clock(),
		// A former owner may have renewed the lease just before it lost ownership.
		unknownTill: o.tookOverAt + LeaseTTL + o.lapseBound(),
	}
	o.workers[entry.ID] = w
	o.sortedWorkers = nil
	o.goRun(func() { o.orderLoop(w) })
	o.goRun(func() { o.lookLoop(w) })
	return w
}

// applyWorker takes over a worker's entry; the lock is held.
func (o *Owner) applyWorker(key string, value []byte) {
	entry, ok := o.opts.DecodeWorker(key, value)
	if !ok {
		o.opts.Log.V(1).Info("worker entry ignored", "key", key)
		return
	}
	w := o.workers[entry.ID]
	if w == nil {
		w = o.addWorker(entry)
		w.listed, w.drainSince = true, o.opts.Clock()
		return
	}
	before := w.WorkerEntry
	w.listed = true
	if before.Address != "" && entry.Incarnation < before.Incarnation {
		return // an older entry than what the worker itself has said
	}
	w.WorkerEntry = entry
	if entry.Draining && !before.Draining {
		w.drainSince, o.lastScanAt = o.opts.Clock(), 0 // its runs are looked at in the next cycle
		o.opts.Log.Info("worker drains", "worker", w.ID, "leavesInMS", entry.MinRemaining.Milliseconds(), "runs", len(w.runs))
	}
	if before.Address == "" {
		o.kick(w)
	}
	if before.Incarnation != entry.Incarnation {
		o.newLife(w, "entry in the store")
	}
}

// unlistWorker notes that the store no longer has a worker's entry. What runs
// there may go on until its lease lapses; the lock is held.
func (o *Owner) unlistWorker(key string) {
	w := o.workers[strings.TrimPrefix(key, o.opts.WorkerPrefix)]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	o.opts.Log.Info("worker is no longer listed", "worker", w.ID, "runs", len(w.runs))
	o.forgetIfGone(w)
}

// forgetIfGone ends the loops of a worker that is neither listed nor used; the
// lock is held.
func (o *Owner) forgetIfGone(w *worker) {
	if w.listed || len(w.runs) > 0 || w.stopped {
		return
	}
	w.stopped = true
	delete(o.workers, w.ID)
	o.sortedWorkers = nil
	close(w.orders)
	o.kick(w)
}

// endLife gives up everything on a worker whose address answers as another one:
// the process that was meant has ended. The lock is held.
func (o *Owner) endLife(w *worker) {
	if len(w.runs) > 0 {
		o.opts.Log.Info("another worker answers at the address; the former one has ended", "worker", w.ID, "runs", len(w.runs))
	}
	for r := range w.runs {
		if r.phase != planned {
			o.notStarted(r)
		}
	}
}

// newLife handles a worker that has started anew: nothing of its former life
// runs. Orders to it may still be on their way, so each run is settled at the
// new life; the lock is held.
func (o *Owner) newLife(w *worker, source string) {
	o.opts.Log.Info("worker has started anew", "worker", w.ID, "source", source, "runs", len(w.runs))
	w.lifeSince = o.opts.Clock()
	w.contacted, w.endSeen, w.ackTo, w.unacked, w.ackDue = false, 0, 0, nil, false
	w.maxDeadline, w.unknownTill = 0, o.opts.Clock()+lateOrders
	clear(w.strikes)
	for r := range w.runs {
		if r.phase != planned {
			o.settle(r)
		}
	}
	o.triggerCycle()
}

// kick wakes the look loop of a worker.
func (o *Owner) kick(w *worker) {
	select {
	case w.poke <- struct{}{}:
	default:
	}
}
