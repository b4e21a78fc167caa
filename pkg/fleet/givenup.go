package fleet

import (
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// givenUpRun is a removed run with a start that was not answered: a copy of the order may
// still reach the next incarnation of the worker.
type givenUpRun struct {
	task   workload.TaskID
	number int64
	until  time.Duration // no copy of its start arrives later
}

// recordGivenUp records a run that is removed while a copy of its start may be on its way;
// the lock is held.
func (o *Owner) recordGivenUp(r *run) {
	until := r.startSentAt + maxOrderDelay
	if !r.startUnanswered || o.opts.Clock() >= until {
		return
	}
	id := r.worker.ID
	o.givenUpRuns[id] = append(o.givenUpRuns[id], givenUpRun{task: r.group.taskID(r.index), number: r.number, until: until})
}

// dropLapsedGivenUpRuns removes the given up runs whose starts no longer arrive; the lock
// is held.
func (o *Owner) dropLapsedGivenUpRuns(now time.Duration) {
	for id, runs := range o.givenUpRuns {
		runs = slices.DeleteFunc(runs, func(g givenUpRun) bool { return now >= g.until })
		if o.givenUpRuns[id] = runs; len(runs) == 0 {
			delete(o.givenUpRuns, id)
		}
	}
}

// stopGivenUpRuns stops the given up runs of a worker at an incarnation that has just
// become known, and repeats each stop until it is accepted or the start no longer arrives.
// It does not use the order queue, in which an order may wait for others. The lock is held.
func (o *Owner) stopGivenUpRuns(w *worker) {
	runs, incarnation := slices.Clone(o.givenUpRuns[w.ID]), w.Incarnation
	if len(runs) == 0 {
		return
	}
	o.opts.Log.Info("stopping given up runs at the new worker process", "worker", w.ID, "runs", len(runs))
	wanted := func(g givenUpRun) bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return !w.removed && w.Incarnation == incarnation && o.opts.Clock() < g.until
	}
	o.goRun(func() {
		for _, g := range runs {
			for o.awaitOwnership() && wanted(g) && o.sendStopOnce(w, g.task, g.number) != Accepted {
				wait.Sleep(o.ctx, orderRetryDelay)
			}
		}
	})
}
