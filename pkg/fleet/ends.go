package fleet

import (
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

// missingLooks is how many looks in a row may miss a confirmed run before it is
// settled; answers on different connections may overtake each other.
const missingLooks = 2

// applyLook takes over what a worker has answered to a hold.
func (o *Owner) applyLook(w *worker, request RenewLeaseRequest, reply RenewLeaseReply, sentAt time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock()
	if reply.Incarnation != w.Incarnation {
		if reply.Incarnation < w.Incarnation {
			return // a former life answered late
		}
		w.Incarnation = reply.Incarnation
		o.newLife(w, "its own answer")
	}
	w.contacted, w.clockMS, w.clockAt, w.answeredAt, w.failing = true, reply.ClockMS, now, now, 0
	if request.AckedThrough == w.ackTo {
		w.ackDue = false
	}
	o.applyRunning(w, reply, sentAt)
	o.paceFillers(w)
	slices.SortFunc(reply.Ended, func(a, b RunEnd) int { return int(a.Sequence - b.Sequence) })
	for _, end := range reply.Ended {
		if end.Sequence > w.endSeen {
			o.applyEnd(w, end)
		}
	}
	o.advanceAck(w)
	o.triggerCycle()
}

// applyRunning compares the runs that a worker lists with those it should have;
// the lock is held.
func (o *Owner) applyRunning(w *worker, reply RenewLeaseReply, sentAt time.Duration) {
	ended := map[workload.TaskID]int64{}
	for _, e := range reply.Ended {
		ended[e.Task] = max(ended[e.Task], e.Run)
	}
	listed := map[workload.TaskID]RunState{}
	for _, s := range reply.Running {
		listed[s.Task] = s
	}
	for r := range w.runs {
		id := r.group.taskID(r.index)
		s, ok := listed[id]
		if ok && s.Run == r.number {
			delete(listed, id)
			o.present(r, s)
			continue
		}
		if (r.phase != running && r.phase != stopping) || r.startedAt >= sentAt || ended[id] == r.number {
			continue
		}
		if r.missing++; r.missing >= missingLooks {
			o.opts.Log.Info("run is missing on its worker", "task", id.String(), "run", r.number, "worker", w.ID)
			o.settle(r)
		}
	}
	for _, s := range listed {
		o.opts.Log.Info("worker lists a run that is not assigned to it", "task", s.Task.String(), "run", s.Run, "worker", w.ID)
		o.send(w, order{kind: orderStray, stray: s})
	}
}

// present updates a run that its worker lists; the lock is held.
func (o *Owner) present(r *run, s RunState) {
	now := o.opts.Clock()
	if r.phase == starting {
		o.confirm(r)
	}
	r.missing, r.listedAt = 0, now
	r.tail = time.Duration(s.Load) * time.Millisecond
	if s.Percent > r.percent {
		r.percent, r.progressAt = s.Percent, now
	}
	o.keepCheckpoint(r.group, r.index, r.number, s.Checkpoint)
	if r.phase == settling && o.wanted(r) {
		// It was adopted from a former owner, or its start went unanswered.
		o.confirm(r)
	}
}

// wanted reports whether a run that was found on its worker may go on: its
// stop has not been sent, and its task still needs it; the lock is held.
func (o *Owner) wanted(r *run) bool {
	j := r.group.job
	t := &r.group.tasks()[r.index]
	return !r.barred && t.Phase == workload.Assigned && t.Run == r.number && j.giveUp == "" && !j.progress.State.Final() && !j.cancelRequested
}

// keepCheckpoint stores the newest checkpoint of a run in memory; the members
// of a gang share one. The lock is held.
func (o *Owner) keepCheckpoint(g *group, index int, number int64, checkpoint string) {
	if checkpoint == "" {
		return
	}
	tasks := g.tasks()
	if !g.spec().Gang {
		if tasks[index].Run == number {
			tasks[index].Checkpoint = checkpoint
		}
		return
	}
	for i := range tasks {
		if tasks[i].Run == number {
			tasks[i].Checkpoint = checkpoint
		}
	}
}

// applyEnd takes note of one end. The progress is stored by the next cycle;
// only then the end is acknowledged. The lock is held.
func (o *Owner) applyEnd(w *worker, end RunEnd) {
	w.endSeen = end.Sequence
	note := unackedEnd{number: end.Sequence}
	defer func() { w.unacked = append(w.unacked, note) }()
	for r := range w.runs {
		if r.number == end.Run && r.group.taskID(r.index) == end.Task {
			o.dropRun(r)
			if end.Reason == EndDone && r.startedAt > 0 {
				o.learn(r.group, o.opts.Clock()-r.startedAt)
			}
			break
		}
	}
	j := o.jobs[end.Task.Job]
	if j == nil {
		return
	}
	g := j.group(end.Task.Occurrence, end.Task.Step)
	if g == nil || end.Task.Index < 0 || end.Task.Index >= g.spec().Tasks {
		return
	}
	t := &g.tasks()[end.Task.Index]
	if t.Run == end.Run && t.Phase == workload.Assigned {
		o.concludeRun(w, g, t, end)
		o.markDirty(j)
	}
	note.job, note.change = j, j.changed
}

// concludeRun applies the end of the newest run of a task; the lock is held.
func (o *Owner) concludeRun(w *worker, g *group, t *workload.Task, end RunEnd) {
	o.opts.Metrics.RunEnded(string(end.Reason))
	o.opts.Log.Info("run ended", "task", end.Task.String(), "run", end.Run, "worker", w.ID, "reason", end.Reason,
		"checkpoint", end.Checkpoint, "failures", t.Failures)
	o.keepCheckpoint(g, end.Task.Index, end.Run, end.Checkpoint)
	switch end.Reason {
	case EndDone:
		o.noteSuccess(w)
		if g.spec().LongRunning {
			t.Phase = workload.Pending // it runs until its job is cancelled
			break
		}
		o.taskDone(g, t, end.Run)
	case EndFailed:
		t.Phase = workload.Pending
		o.taskFailed(w, g, t, end.Run)
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete:
		t.Phase = workload.Pending
	}
	if end.Reason != EndDone {
		g.ready = false // it waits anew
	}
	if g.spec().Gang && end.Reason != EndDone {
		o.stopGroup(g, "a member ended as "+string(end.Reason))
	}
}

// taskDone marks a task, or all of a gang, as successful; the lock is held.
func (o *Owner) taskDone(g *group, t *workload.Task, number int64) {
	if !g.spec().Gang {
		t.Phase = workload.Done
		g.done++
		return
	}
	tasks := g.tasks()
	for i := range tasks {
		if tasks[i].Run == number && tasks[i].Phase != workload.Done {
			tasks[i].Phase = workload.Done
			g.done++
		}
	}
}

// taskFailed counts a failed run; a gang counts one failure for each run. The
// lock is held.
func (o *Owner) taskFailed(w *worker, g *group, t *workload.Task, number int64) {
	g.shun(w, o.opts.Clock())
	o.noteFailure(w, g.job)
	if g.spec().Gang {
		if g.failedRun == number {
			return
		}
		g.failedRun = number
		tasks := g.tasks()
		for i := range tasks {
			tasks[i].Failures++
		}
	} else {
		t.Failures++
	}
	if g.exhausted(t.Failures) {
		o.opts.Log.Info("job has failed", "job", g.job.ID, "step", g.step, "attempts", t.Failures)
		g.job.giveUp = workload.Failed
	}
}

// stopGroup stops all runs of a group; the lock is held.
func (o *Owner) stopGroup(g *group, reason string) {
	for _, r := range g.runs {
		o.stopRun(r, reason)
	}
}

// stopRun orders a run to stop, once; the lock is held.
func (o *Owner) stopRun(r *run, reason string) {
	switch r.phase {
	case planned:
		o.unassign(r) // no order was sent
	case starting, running:
		o.opts.Log.Info("run is stopped", "task", r.group.taskID(r.index).String(), "run", r.number, "worker", r.worker.ID, "reason", reason)
		kind := orderStop
		if r.phase != running {
			kind = orderSettle // it may never have been there
			r.phase = settling
		} else {
			r.phase = stopping
		}
		r.barred = true
		o.send(r.worker, order{kind: kind, run: r})
	case settling:
		r.barred = true
	case stopping:
	}
}

// unassign takes back an assignment whose order was never sent; the lock is held.
func (o *Owner) unassign(r *run) {
	o.dropRun(r)
	if t := &r.group.tasks()[r.index]; t.Phase == workload.Assigned && t.Run == r.number {
		t.Phase = workload.Pending
		r.group.ready = false // it waits anew
		o.markDirty(r.group.job)
	}
}

// advanceAck raises the acknowledgement of a worker to the ends that the store
// holds; the lock is held.
func (o *Owner) advanceAck(w *worker) {
	before := w.ackTo
	for len(w.unacked) > 0 {
		e := w.unacked[0]
		if e.job != nil && e.job.committed < e.change {
			break
		}
		w.ackTo = e.number
		w.unacked = w.unacked[1:]
	}
	if w.ackTo > before {
		w.ackDue = true
		close(w.acked)
		w.acked = make(chan struct{})
		o.kick(w)
	}
}

// lapseSilent gives up the runs of workers that have not answered until their
// lease has run out for certain; the lock is held.
func (o *Owner) lapseSilent(now time.Duration) {
	for _, w := range o.workersInOrder() {
		if len(w.runs) == 0 || now < w.lapsedBy()+lapseMargin {
			continue
		}
		for r := range w.runs {
			// A start on its way concludes by itself; it renews the lease first.
			if r.phase == planned || r.phase == starting {
				continue
			}
			o.opts.Metrics.Event("run_lapsed")
			o.opts.Log.Info("run has lapsed on a silent worker", "task", r.group.taskID(r.index).String(), "run", r.number,
				"worker", w.ID, "silentMS", (now - max(w.answeredAt, o.tookOverAt)).Milliseconds())
			o.notStarted(r)
		}
	}
}

// lapseMargin covers the delay between a worker's clock and the end of a run.
const lapseMargin = 300 * time.Millisecond

// failureMemory is how long failures count against a worker.
const failureMemory = 12 * time.Second

// suspectStrikes is how many different jobs have to fail on a worker without a
// success before it gets no new work for a while.
const suspectStrikes = 2

// noteFailure counts a failed run against its worker; the lock is held.
func (o *Owner) noteFailure(w *worker, j *job) {
	now := o.opts.Clock()
	if now-w.struckAt > failureMemory {
		clear(w.strikes)
	}
	w.strikes[j.ID] = true
	w.struckAt = now
	if len(w.strikes) >= suspectStrikes {
		w.backoffTill = now + failureMemory/2
		o.opts.Log.Info("worker is suspected: different jobs fail on it", "worker", w.ID, "jobs", len(w.strikes))
	}
}

func (o *Owner) noteSuccess(w *worker) { clear(w.strikes) }
