package fleet

import "time"

// Parameters for the eviction of runs that will not end on their present worker.
const (
	// stallTimeout is how long a run may report no progress before it counts as stalled.
	stallTimeout = 5 * time.Second
	// stallRunTimeFactor is the multiple of its expected run time before which a run that
	// has reported some progress does not count as stalled.
	stallRunTimeFactor = 1.5
	// departureMargin is the required time between the expected end of a run and the
	// departure of its worker.
	departureMargin = 300 * time.Millisecond
	// cheapRestartShare is the completed share of a run below which it is restarted
	// elsewhere at once: repeating that little costs less than losing the run.
	cheapRestartShare = 0.2
	// departureOvertime is how much longer than announced a worker is relied on to stay;
	// workers usually stay a little longer.
	departureOvertime = 700 * time.Millisecond
)

// evictFromDraining stops runs that cannot end before their draining worker leaves, so
// that they keep their checkpoints and restart elsewhere; the lock is held.
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
				o.evictRun(r, "its worker is draining")
				continue
			}
			if o.shouldEvictFromDraining(r, now, left) {
				o.stopRun(r, "its worker leaves before the run can end")
			}
		}
	}
}

// anyDrainingWithRuns reports whether a draining worker still has runs; the lock is held.
func (o *Owner) anyDrainingWithRuns() bool {
	for _, w := range o.sortedWorkers() {
		if w.Draining && len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// shouldEvictFromDraining reports whether to stop a run because its worker leaves in the
// given time. A run that cannot end in time is stopped at once if it has checkpoints or
// has done little. Otherwise it continues until the worker may leave at any moment; it is
// stopped then, as a run that is lost with its worker is retried only after its lease
// has expired.
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

// evictStalled stops runs without progress and excludes their worker for their group; the
// lock is held.
func (o *Owner) evictStalled(now time.Duration) {
	for _, w := range o.sortedWorkers() {
		for r := range w.runs {
			if r.phase != phaseRunning || r.group.spec().LongRunning || r.group.spec().Filler {
				continue
			}
			// The worker reports at least every renewMaxWait, so the last reported progress may
			// be that old.
			if w.lastAnswerAt-r.progressAt < stallTimeout || now-r.progressAt < stallTimeout {
				continue
			}
			expected := o.expectedRunTimeOn(r)
			if r.progressPercent > 0 && now-r.startedAt < time.Duration(stallRunTimeFactor*float64(expected)) {
				continue
			}
			o.opts.Metrics.Event("run_stalled")
			o.opts.Log.Info("run stands still", "task", r.group.taskID(r.index).String(), "run", r.number, "worker", w.ID,
				"percent", r.progressPercent, "sinceMS", (now - r.progressAt).Milliseconds())
			r.group.exclude(w, now)
			o.stopRun(r, "it makes no progress")
		}
	}
}
