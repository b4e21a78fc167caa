package fleet

import "time"

// Detection of work that will not end where it is.
const (
	// stallAfter is how long a run may show no progress before it is moved.
	stallTimeout = 5 * time.Second
	// stallShare is the progress in percent below which a run counts as stalled
	// only if its expected time has passed as well.
	stallRunTimeFactor = 1.5
	// leaveMargin is kept between the end of a run and its worker's departure.
	departureMargin = 300 * time.Millisecond
	// littleDone is the share of a run that is cheaper to repeat than to risk.
	cheapRestartShare = 0.2
	// overtime is how much longer than promised a worker is trusted to stay;
	// workers usually stay a little longer.
	departureOvertime = 700 * time.Millisecond
)

// moveFromLeaving stops runs that cannot end before their worker leaves, so
// that their checkpoints are kept and they start anew elsewhere; the lock is held.
func (o *Owner) evictFromDraining(now time.Duration) {
	for _, w := range o.sortedWorkers() {
		if !w.Draining {
			continue
		}
		left := w.MinRemaining - (now - w.drainingSince)
		for r := range w.runs {
			if r.phase != phaseRunning {
				continue
			}
			if r.group.spec().LongRunning {
				o.evictRun(r, "the worker leaves")
				continue
			}
			if o.shouldEvictFromDraining(r, now, left) {
				o.stopRun(r, "the worker leaves before the run ends")
			}
		}
	}
}

// anyLeaving reports whether runs on leaving workers have to be watched; the
// lock is held.
func (o *Owner) anyDrainingWithRuns() bool {
	for _, w := range o.sortedWorkers() {
		if w.Draining && len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// leavesTooSoon decides whether a run is stopped because its worker leaves.
// With a checkpoint, or with little done, it moves at once. Otherwise it goes on
// until the worker may be gone any moment: a run that dies with its worker is
// only given up when its lease has run out.
func (o *Owner) shouldEvictFromDraining(r *run, now, left time.Duration) bool {
	remaining := o.remainingRunTime(r, now)
	if remaining+departureMargin <= left {
		return false
	}
	elapsed := now - r.startedAt
	if r.group.spec().Checkpointing || float64(elapsed) < cheapRestartShare*float64(elapsed+remaining) {
		return true
	}
	return left <= departureMargin && remaining > departureOvertime
}

// moveFromStalled stops runs that stand still; the lock is held.
func (o *Owner) evictStalled(now time.Duration) {
	for _, w := range o.sortedWorkers() {
		for r := range w.runs {
			if r.phase != phaseRunning || r.group.spec().LongRunning || r.group.spec().Filler {
				continue
			}
			// Looks come every holdWait at least, so the last progress may be that old.
			if w.lastAnswerAt-r.progressAt < stallTimeout || now-r.progressAt < stallTimeout {
				continue
			}
			expected := o.expectedRunTime(r.group)
			if r.progressPercent > 0 && now-r.startedAt < time.Duration(stallRunTimeFactor*float64(expected)) {
				continue
			}
			o.opts.Metrics.Event("run_stalled")
			o.opts.Log.Info("run stands still", "task", r.group.taskID(r.index).String(), "run", r.number, "worker", w.ID,
				"percent", r.progressPercent, "sinceMS", (now - r.progressAt).Milliseconds())
			r.group.exclude(w, now)
			o.stopRun(r, "it stands still")
		}
	}
}
