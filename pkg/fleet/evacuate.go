package fleet

import "time"

// Detection of work that will not end where it is.
const (
	// stallAfter is how long a run may show no progress before it is moved.
	stallAfter = 5 * time.Second
	// stallShare is the progress in percent below which a run counts as stalled
	// only if its expected time has passed as well.
	stallShare = 1.5
	// leaveMargin is kept between the end of a run and its worker's departure.
	leaveMargin = 300 * time.Millisecond
	// littleDone is the share of a run that is cheaper to repeat than to risk.
	littleDone = 0.2
	// overtime is how much longer than promised a worker is trusted to stay;
	// workers usually stay a little longer.
	overtime = 700 * time.Millisecond
)

// moveFromLeaving stops runs that cannot end before their worker leaves, so
// that their checkpoints are kept and they start anew elsewhere; the lock is held.
func (o *Owner) moveFromLeaving(now time.Duration) {
	for _, w := range o.workersInOrder() {
		if !w.Draining {
			continue
		}
		left := w.MinRemaining - (now - w.drainingSince)
		for r := range w.runs {
			if r.phase != phaseRunning {
				continue
			}
			if r.group.spec().LongRunning {
				o.evacuateRun(r, "the worker leaves")
				continue
			}
			if o.leavesTooSoon(r, now, left) {
				o.stopRun(r, "the worker leaves before the run ends")
			}
		}
	}
}

// anyLeaving reports whether runs on leaving workers have to be watched; the
// lock is held.
func (o *Owner) anyLeaving() bool {
	for _, w := range o.workersInOrder() {
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
func (o *Owner) leavesTooSoon(r *run, now, left time.Duration) bool {
	remaining := o.remaining(r, now)
	if remaining+leaveMargin <= left {
		return false
	}
	elapsed := now - r.startedAt
	if r.group.spec().Checkpointing || float64(elapsed) < littleDone*float64(elapsed+remaining) {
		return true
	}
	return left <= leaveMargin && remaining > overtime
}

// moveFromStalled stops runs that stand still; the lock is held.
func (o *Owner) moveFromStalled(now time.Duration) {
	for _, w := range o.workersInOrder() {
		for r := range w.runs {
			if r.phase != phaseRunning || r.group.spec().LongRunning || r.group.spec().Filler {
				continue
			}
			// Looks come every holdWait at least, so the last progress may be that old.
			if w.lastAnswerAt-r.progressAt < stallAfter || now-r.progressAt < stallAfter {
				continue
			}
			expected := o.expected(r.group)
			if r.progressPercent > 0 && now-r.startedAt < time.Duration(stallShare*float64(expected)) {
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
