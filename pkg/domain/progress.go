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

// applyStatuses takes the task states that a target reports; the caller holds the lock.
func (d *Domain) applyStatuses(w *worker, statuses []target.TaskStatus) {
	for _, st := range statuses {
		t, ok := d.byTask[st.Task]
		if !ok || t.worker != w || t.over() {
			continue
		}
		madeCheckpoint := st.Checkpoint != t.status.Checkpoint
		if st.Accelerators == nil {
			st.Accelerators = t.status.Accelerators
		}
		t.status = st
		if !t.reserved { // the answer to its reservation was lost
			t.reserved = true
			t.copy.places[t.index].Incarnation = w.incarnation
		}
		a := d.attempts[t.job]
		if a == nil {
			continue
		}
		if madeCheckpoint && st.Checkpoint != "" {
			d.opts.Scheduler.Checkpointed(time.Now(), t.job)
			d.event(timeline.Checkpointed, a, "checkpoint "+st.Checkpoint)
		}
		d.advance(a)
	}
}

// advance ends the attempt when its tasks allow it; the caller holds the lock.
func (d *Domain) advance(a *attempt) {
	if a.ended || a.placing || d.fenced {
		return
	}
	for _, c := range a.copies {
		if c.succeeded() {
			d.succeed(a, c)
			return
		}
	}
	d.dropFailedHedge(a)
	if len(a.copies) == 0 {
		return
	}
	c := a.copies[0]
	if !c.broken() {
		return
	}
	if !c.allOver() {
		d.stopCopies(a) // one task failed: the rest of the gang must not run on
		return
	}
	d.endBroken(a, c)
}

func (c *placedCopy) succeeded() bool {
	for _, t := range c.tasks {
		if t.status.State != target.TaskSucceeded {
			return false
		}
	}
	return len(c.tasks) > 0
}

// ran reports whether a task of the copy was started, or may have been.
func (c *placedCopy) ran() bool {
	for _, t := range c.tasks {
		if t.status.Started || t.lost && c.started {
			return true
		}
	}
	return false
}

// broken reports whether a task of the copy ended without success.
func (c *placedCopy) broken() bool {
	for _, t := range c.tasks {
		if t.over() && t.status.State != target.TaskSucceeded {
			return true
		}
	}
	return false
}

func (c *placedCopy) allOver() bool {
	for _, t := range c.tasks {
		if !t.over() {
			return false
		}
	}
	return true
}

// dropFailedHedge forgets one copy of two that failed while the other runs on.
func (d *Domain) dropFailedHedge(a *attempt) {
	if len(a.copies) < 2 {
		return
	}
	for i, c := range a.copies {
		if c.broken() && c.allOver() {
			a.ran = a.ran || c.ran()
			d.forgetCopy(c)
			a.copies = append(a.copies[:i:i], a.copies[i+1:]...)
			return
		}
	}
}

func (d *Domain) succeed(a *attempt, winner *placedCopy) {
	result := winner.result()
	if d.tooLarge(result) {
		a.report.ErrorKind = string(errkind.TooLarge)
		d.finishAttempt(a, api.OutcomeFailed, sched.EndSucceeded, "", fmt.Sprintf("the result has %d bytes, more than %d", len(result), d.opts.MaxResultBytes))
		return
	}
	a.report.Result = result
	a.report.Allocations = slices.Clone(winner.places)
	d.finishAttempt(a, api.OutcomeSucceeded, sched.EndSucceeded, "", "")
}

func (d *Domain) tooLarge(result []byte) bool {
	return d.opts.MaxResultBytes > 0 && int64(len(result)) > d.opts.MaxResultBytes
}

// endBroken decides the outcome of a copy whose tasks are all over.
func (d *Domain) endBroken(a *attempt, c *placedCopy) {
	ran, lost, failed := a.ran || c.ran(), false, (*task)(nil)
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
		if !d.tooLarge(failed.status.Result) {
			a.report.Result = failed.status.Result
		}
		d.finishAttempt(a, api.OutcomeFailed, sched.EndFailed, failed.worker.id, failed.status.Error)
	case lost:
		reason := a.report.Reason
		if reason == "" {
			reason = "a worker was lost"
		}
		d.finishAttempt(a, api.OutcomeLost, sched.EndWorkerLost, d.lostWorker(c), reason)
	case a.preempt != nil && a.withdrawn == "":
		d.finishAttempt(a, api.OutcomePreempted, sched.EndPreempted, "", a.preempt.reason)
	default:
		d.finishAttempt(a, api.OutcomeStopped, sched.EndCancelled, "", a.withdrawn)
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

// finishAttempt frees the places and reports the outcome; the caller holds the lock.
func (d *Domain) finishAttempt(a *attempt, o api.Outcome, why sched.EndReason, blame, reason string) {
	if a.ended {
		return
	}
	if o == api.OutcomeNotRun || o == api.OutcomeRefused {
		if d.withholds(a, pendingEnd{o, why, blame, reason}) {
			return
		}
		if !d.provesNotRun(a) {
			o, reason = api.OutcomeStopped, reason+"; a worker cannot be asked whether it ran"
		}
	}
	a.ended = true
	d.opts.Metrics.attempts.WithLabelValues(string(o)).Inc()
	if a.preempt != nil && a.preempt.reclaim {
		d.opts.Metrics.reclaim.Observe(time.Since(a.preempt.since).Seconds())
	}
	d.stopCopies(a) // what the outcome does not need
	r := a.newReport(d.opts.Name, d.opts.Epoch)
	r.State, r.Outcome, r.Reason = "", o, reason
	r.Result, r.Checkpoint, r.AttainedService, r.ErrorKind = a.report.Result, a.report.Checkpoint, a.report.AttainedService, a.report.ErrorKind
	if a.report.Allocations != nil {
		r.Allocations = a.report.Allocations
	}
	r.EndedAt = time.Now()
	a.report = r
	d.opts.Scheduler.Ended(r.EndedAt, a.offer.Job, a.offer.Attempt, why, blame)
	d.deliver(a)
	d.notify()
}

// stopCopies asks every running task of the attempt to stop; the caller holds the lock.
func (d *Domain) stopCopies(a *attempt) {
	for _, c := range a.copies {
		d.stopTasks(c)
	}
}

func (d *Domain) stopTasks(c *placedCopy) {
	for _, t := range c.tasks {
		if t.over() || t.stopping {
			continue
		}
		t.stopping = true
		d.goRun(func() { d.stopTask(t) })
	}
}

// stopTask stops one task; without an answer it tries again until the task is over.
func (d *Domain) stopTask(t *task) {
	d.repeat(t, func(ctx context.Context, conn target.Target) error {
		return conn.Stop(ctx, t.id, d.opts.Epoch)
	}, t.over)
}

// preempt takes the places of a running attempt back: with a checkpoint if the
// job can make one in time.
func (d *Domain) preempt(act sched.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.attempts[act.Job]
	if !ok || a.ended || a.offer.Attempt != act.Attempt || a.withdrawn != "" {
		return
	}
	if a.preempt != nil {
		a.preempt.tighten(act.StopBy)
		return
	}
	kind, _ := gateKind(act)
	d.opts.Metrics.preemptions.WithLabelValues(string(kind)).Inc()
	a.preempt = &preemption{
		stopBy: act.StopBy, reason: act.Reason, before: map[api.TaskID]string{},
		since: time.Now(), reclaim: act.Reclaim,
	}
	reason := act.Reason
	if act.For != "" {
		reason += " (for " + act.For + ")"
	}
	d.event(timeline.Preempted, a, reason)
	if !a.placing { // otherwise startedCopy begins it: a stop before the start has no effect
		d.beginPreemption(a)
	}
}

// beginPreemption asks for checkpoints, or stops an attempt that cannot make
// any; the caller holds the lock.
func (d *Domain) beginPreemption(a *attempt) {
	if !a.offer.Spec.Checkpointable || len(a.copies) == 0 {
		a.preempt.stopping = true
		d.stopCopies(a)
		return
	}
	a.state = api.StateCheckpointing
	d.sendState(a)
	for _, t := range a.copies[0].tasks {
		a.preempt.before[t.id] = t.status.Checkpoint
		d.goRun(func() {
			d.repeat(t, func(ctx context.Context, conn target.Target) error {
				return conn.Checkpoint(ctx, t.id, d.opts.Epoch)
			}, func() bool { return t.over() || a.preempt.stopping })
		})
	}
}

// checkPreemptions stops preempted attempts whose checkpoints are complete or late.
func (d *Domain) checkPreemptions(now time.Time) {
	for _, a := range d.attempts {
		p := a.preempt
		if p == nil || p.stopping || a.ended || len(a.copies) == 0 {
			continue
		}
		late := !p.stopBy.IsZero() && !now.Before(p.stopBy)
		if !late && !a.copies[0].checkpointedSince(p.before) {
			continue
		}
		p.stopping = true
		d.stopCopies(a)
	}
}

func (c *placedCopy) checkpointedSince(before map[api.TaskID]string) bool {
	for _, t := range c.tasks {
		if !t.over() && t.status.Checkpoint == before[t.id] {
			return false
		}
	}
	return true
}
