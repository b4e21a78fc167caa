package domain

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// applyStatuses applies the task states that a target reported; the caller holds the lock.
func (d *Domain) applyStatuses(w *worker, statuses []target.TaskStatus) {
	for _, st := range statuses {
		t, ok := d.byTask[st.Task]
		if !ok || t.worker != w || t.finished() {
			continue
		}
		madeCheckpoint := st.Checkpoint != t.status.Checkpoint
		if st.Accelerators == nil {
			st.Accelerators = t.status.Accelerators
		}
		t.status = st
		if !t.reserved { // the answer to its reservation was lost
			t.reserved = true
			t.copy.allocations[t.index].Incarnation = w.incarnation
		}
		a := d.attempts[t.job]
		if a == nil {
			continue
		}
		if madeCheckpoint && st.Checkpoint != "" {
			d.opts.Scheduler.Checkpointed(time.Now(), t.job)
			d.recordEvent(timeline.Checkpointed, a, "checkpoint "+st.Checkpoint)
		}
		d.advance(a)
	}
}

// advance ends the attempt if the states of its tasks determine an outcome, and stops a
// gang that has a failed task; the caller holds the lock.
func (d *Domain) advance(a *attempt) {
	if a.ended || a.placing || d.fenced {
		return
	}
	for _, c := range a.copies {
		if c.succeeded() {
			d.finishSucceeded(a, c)
			return
		}
	}
	d.dropFailedHedge(a)
	if len(a.copies) == 0 {
		return
	}
	c := a.copies[0]
	if !c.hasFailedTask() {
		return
	}
	if !c.allFinished() {
		d.stopCopies(a) // one task failed: the rest of the gang must not continue
		return
	}
	d.finishUnsuccessful(a, c)
}

func (c *placedCopy) succeeded() bool {
	for _, t := range c.tasks {
		if t.status.State != target.TaskSucceeded {
			return false
		}
	}
	return len(c.tasks) > 0
}

// mayHaveRun reports whether a task of the copy was started, or may have been.
func (c *placedCopy) mayHaveRun() bool {
	for _, t := range c.tasks {
		if t.status.Started || t.lost && c.started {
			return true
		}
	}
	return false
}

// hasFailedTask reports whether a task of the copy ended without success.
func (c *placedCopy) hasFailedTask() bool {
	for _, t := range c.tasks {
		if t.finished() && t.status.State != target.TaskSucceeded {
			return true
		}
	}
	return false
}

func (c *placedCopy) allFinished() bool {
	for _, t := range c.tasks {
		if !t.finished() {
			return false
		}
	}
	return true
}

// dropFailedHedge drops one copy of two that failed, so that the other one decides.
func (d *Domain) dropFailedHedge(a *attempt) {
	if len(a.copies) < 2 {
		return
	}
	for i, c := range a.copies {
		if c.hasFailedTask() && c.allFinished() {
			a.droppedCopyRan = a.droppedCopyRan || c.mayHaveRun()
			d.dropCopy(c)
			a.copies = append(a.copies[:i:i], a.copies[i+1:]...)
			return
		}
	}
}

func (d *Domain) finishSucceeded(a *attempt, winner *placedCopy) {
	result := winner.result()
	if d.resultTooLarge(result) {
		a.report.ErrorKind = string(errkind.TooLarge)
		d.finishAttempt(a, api.OutcomeFailed, sched.EndSucceeded, "", fmt.Sprintf("the result has %d bytes, more than %d", len(result), d.opts.MaxResultBytes))
		return
	}
	a.report.Result = result
	a.report.Allocations = slices.Clone(winner.allocations)
	d.finishAttempt(a, api.OutcomeSucceeded, sched.EndSucceeded, "", "")
}

func (d *Domain) resultTooLarge(result []byte) bool {
	return d.opts.MaxResultBytes > 0 && int64(len(result)) > d.opts.MaxResultBytes
}

// finishUnsuccessful determines the outcome of a failed copy whose tasks have all ended.
func (d *Domain) finishUnsuccessful(a *attempt, c *placedCopy) {
	ran, lost, failed := a.droppedCopyRan || c.mayHaveRun(), false, (*task)(nil)
	for _, t := range c.tasks {
		lost = lost || t.lost || t.status.State == target.TaskLeaseExpired
		if t.status.State == target.TaskFailed && failed == nil {
			failed = t
		}
	}
	a.report.Checkpoint = c.checkpoint()
	if !a.startedAt.IsZero() {
		a.report.AttainedService = time.Since(a.startedAt) + a.offer.AttainedService
	}
	switch {
	case !ran && !lost:
		d.finishAttempt(a, api.OutcomeNotRun, sched.EndReservationFailed, d.firstWorker(c), "the task was not started")
	case failed != nil:
		if !d.resultTooLarge(failed.status.Result) {
			a.report.Result = failed.status.Result
		}
		d.finishAttempt(a, api.OutcomeFailed, sched.EndFailed, failed.worker.id, failed.status.Error)
	case lost:
		reason := a.report.Reason
		if reason == "" {
			reason = "a worker was lost"
		}
		d.finishAttempt(a, api.OutcomeLost, sched.EndWorkerLost, d.lostWorker(c), reason)
	case a.preemption != nil && a.withdrawReason == "":
		d.finishAttempt(a, api.OutcomePreempted, sched.EndPreempted, "", a.preemption.reason)
	default:
		d.finishAttempt(a, api.OutcomeStopped, sched.EndCancelled, "", a.withdrawReason)
	}
}

func (d *Domain) firstWorker(c *placedCopy) string { return c.tasks[0].worker.id }

func (d *Domain) lostWorker(c *placedCopy) string {
	for _, t := range c.tasks {
		if t.lost || t.status.State == target.TaskLeaseExpired {
			return t.worker.id
		}
	}
	return ""
}

// finishAttempt ends the attempt in the scheduler and reports the outcome; the caller
// holds the lock. An end as not run is deferred until it is proved.
func (d *Domain) finishAttempt(a *attempt, o api.Outcome, why sched.EndReason, blamedWorker, reason string) {
	if a.ended {
		return
	}
	if o == api.OutcomeNotRun || o == api.OutcomeRefused {
		if d.deferUnprovenEnd(a, pendingEnd{o, why, blamedWorker, reason}) {
			return
		}
		if !d.provablyNotRun(a) {
			o, reason = api.OutcomeStopped, reason+"; a worker cannot be asked whether it ran"
		}
	}
	a.ended = true
	d.opts.Metrics.attempts.WithLabelValues(string(o)).Inc()
	if a.preemption != nil && a.preemption.reclaim {
		d.opts.Metrics.reclaimTime.Observe(time.Since(a.preemption.startedAt).Seconds())
	}
	d.stopCopies(a) // a copy that the outcome does not need may still run
	r := a.newReport(d.opts.Name, d.opts.Epoch)
	r.State, r.Outcome, r.Reason = "", o, reason
	r.Result, r.Checkpoint, r.AttainedService, r.ErrorKind = a.report.Result, a.report.Checkpoint, a.report.AttainedService, a.report.ErrorKind
	if a.report.Allocations != nil {
		r.Allocations = a.report.Allocations
	}
	r.EndedAt = time.Now()
	a.report = r
	d.opts.Scheduler.Ended(r.EndedAt, a.offer.Job, a.offer.Attempt, why, blamedWorker)
	d.deliverReport(a)
	d.requestDecide()
}

// stopCopies stops every live task of the attempt; the caller holds the lock.
func (d *Domain) stopCopies(a *attempt) {
	for _, c := range a.copies {
		d.stopTasks(c)
	}
}

func (d *Domain) stopTasks(c *placedCopy) {
	for _, t := range c.tasks {
		if t.finished() || t.stopping {
			continue
		}
		t.stopping = true
		d.runAsync(func() { d.stopTask(t) })
	}
}

// stopTask stops one task; without an answer it retries until the task has ended.
func (d *Domain) stopTask(t *task) {
	d.retryTaskCall(t, func(ctx context.Context, conn target.Target) error {
		return conn.Stop(ctx, t.id, d.opts.Epoch)
	}, t.finished)
}

// preempt evicts a running attempt, with a checkpoint if the job can make one in time.
func (d *Domain) preempt(act sched.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.attempts[act.Job]
	if !ok || a.ended || a.offer.Attempt != act.Attempt || a.withdrawReason != "" {
		return
	}
	if a.preemption != nil {
		a.preemption.tightenStopBy(act.StopBy)
		return
	}
	kind, _ := gateKind(act)
	d.opts.Metrics.preemptions.WithLabelValues(string(kind)).Inc()
	a.preemption = &preemption{
		stopBy: act.StopBy, reason: act.Reason, initialCheckpoints: map[api.TaskID]string{},
		startedAt: time.Now(), reclaim: act.Reclaim,
	}
	reason := act.Reason
	if act.For != "" {
		reason += " (for " + act.For + ")"
	}
	d.recordEvent(timeline.Preempted, a, reason)
	if !a.placing { // otherwise copyStarted begins it: a stop before the start has no effect
		d.beginPreemption(a)
	}
}

// beginPreemption requests checkpoints, or stops an attempt that cannot make
// any; the caller holds the lock.
func (d *Domain) beginPreemption(a *attempt) {
	if !a.offer.Spec.Checkpointable || len(a.copies) == 0 {
		a.preemption.stopping = true
		d.stopCopies(a)
		return
	}
	a.state = api.StateCheckpointing
	d.reportState(a)
	for _, t := range a.copies[0].tasks {
		a.preemption.initialCheckpoints[t.id] = t.status.Checkpoint
		d.runAsync(func() {
			d.retryTaskCall(t, func(ctx context.Context, conn target.Target) error {
				return conn.Checkpoint(ctx, t.id, d.opts.Epoch)
			}, func() bool { return t.finished() || a.preemption.stopping })
		})
	}
}

// stopPreempted stops preempted attempts whose checkpoints are complete or late; the
// caller holds the lock.
func (d *Domain) stopPreempted(now time.Time) {
	for _, a := range d.attempts {
		p := a.preemption
		if p == nil || p.stopping || a.ended || len(a.copies) == 0 {
			continue
		}
		late := !p.stopBy.IsZero() && !now.Before(p.stopBy)
		if !late && !a.copies[0].allCheckpointedSince(p.initialCheckpoints) {
			continue
		}
		p.stopping = true
		d.stopCopies(a)
	}
}

func (c *placedCopy) allCheckpointedSince(before map[api.TaskID]string) bool {
	for _, t := range c.tasks {
		if !t.finished() && t.status.Checkpoint == before[t.id] {
			return false
		}
	}
	return true
}
