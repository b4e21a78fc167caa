package domain

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// Offer queues the attempt and is idempotent for a known one. Error kinds: impossible,
// overloaded, quota_exceeded, stale_epoch; each means that the attempt was not run.
func (d *Domain) Offer(ctx context.Context, o Offer) error {
	now := time.Now()
	d.mu.Lock()
	if d.stopped || d.fenced {
		d.mu.Unlock()
		return d.staleEpochError()
	}
	if a, ok := d.attempts[o.Job]; ok {
		err := d.handleKnownOffer(a, o)
		d.mu.Unlock()
		return err
	}
	// A claimed attempt is resolved, not started again, however often it is offered.
	if len(o.ClaimedAllocations) == 0 && d.recentlyEnded.contains(o.Job, o.Attempt) {
		d.mu.Unlock()
		return errkind.New(errkind.Conflict, "attempt %d of job %s has ended", o.Attempt, o.Job)
	}
	a := &attempt{offer: o, offeredAt: now, state: api.StateQueued, resolving: len(o.ClaimedAllocations) > 0}
	a.report = a.newReport(d.opts.Name, d.opts.Epoch)
	d.attempts[o.Job] = a
	d.mu.Unlock()
	if len(o.ClaimedAllocations) > 0 {
		d.runAsync(func() { d.resolveClaim(a) })
		return nil
	}
	if err := d.opts.Scheduler.Enqueue(now, schedJob(o)); err != nil {
		return d.handleEnqueueError(a, err)
	}
	d.requestDecide()
	return nil
}

// handleEnqueueError drops an attempt that the scheduler rejected. One that may have
// run under the former owner is kept until that is known.
func (d *Domain) handleEnqueueError(a *attempt, err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.provablyNotRun(a) && len(a.copies) == 0 {
		delete(d.attempts, a.offer.Job)
		return err
	}
	d.delayedRequeues = append(d.delayedRequeues, delayedRequeue{a, time.Now()})
	return nil
}

// handleKnownOffer handles the offer of a job that has an attempt in this domain; the
// caller holds the lock.
func (d *Domain) handleKnownOffer(a *attempt, o Offer) error {
	if o.Attempt < a.offer.Attempt {
		return errkind.New(errkind.Conflict, "attempt %d of job %s is already in this failure domain", a.offer.Attempt, o.Job)
	}
	if o.Attempt > a.offer.Attempt {
		if !a.ended {
			d.withdraw(a, "replaced by a later attempt")
		}
		// A retry of the offer is accepted once the old attempt has ended and been reported.
		return errkind.New(errkind.Unavailable, "attempt %d of job %s has not ended yet", a.offer.Attempt, o.Job)
	}
	a.offer.Partition, a.offer.PartitionEpoch = o.Partition, o.PartitionEpoch
	a.orphan = false
	if a.offeredAt.IsZero() {
		a.offeredAt = time.Now()
	}
	d.deliverReport(a)
	return nil
}

// Withdraw cancels an attempt. A queued attempt is reported as not run, a running one
// as stopped. The error not_found means that the attempt does not run in this domain;
// the caller need not act on it.
func (d *Domain) Withdraw(_ context.Context, job api.JobID, number int, reason string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.fenced {
		return d.staleEpochError()
	}
	a, ok := d.attempts[job]
	if !ok || a.offer.Attempt != number {
		return errkind.New(errkind.NotFound, "attempt %d of job %s is not in this failure domain", number, job)
	}
	d.withdraw(a, reason)
	return nil
}

// Recall takes back an attempt that has not started. Kind conflict means that it has, and
// not_found that it is not in this domain.
func (d *Domain) Recall(_ context.Context, job api.JobID, number int, reason string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.fenced {
		return d.staleEpochError()
	}
	a, ok := d.attempts[job]
	switch {
	case !ok || a.offer.Attempt != number:
		return errkind.New(errkind.NotFound, "attempt %d of job %s is not in this failure domain", number, job)
	case a.ended || a.withdrawReason != "":
		return nil
	case a.placing && a.state != api.StateRunning:
		a.recallReason = reason // placeCopy checks it until it claims
		return nil
	case a.resolving || len(a.copies) > 0:
		return errkind.New(errkind.Conflict, "attempt %d of job %s has started", number, job)
	}
	d.withdraw(a, reason)
	return nil
}

// withdraw cancels the attempt or stops its tasks; the caller holds the lock.
func (d *Domain) withdraw(a *attempt, reason string) {
	if a.ended || a.withdrawReason != "" {
		return
	}
	a.withdrawReason = reason
	switch {
	case a.placing: // placeCopy checks withdrawReason
	case a.resolving && len(a.copies) == 0: // it may have run; resolveClaim reports the outcome
	case len(a.copies) == 0:
		d.opts.Scheduler.Cancel(time.Now(), a.offer.Job)
		d.finishAttempt(a, api.OutcomeNotRun, sched.EndCancelled, "", reason)
	default:
		d.stopCopies(a)
	}
}

// KnownAttempts returns the attempts that belong to the partition, after the workers
// have reported the tasks of a former owner. A superseded owner returns stale_epoch,
// because its state may be out of date.
func (d *Domain) KnownAttempts(ctx context.Context, partition int) ([]KnownAttempt, error) {
	d.awaitAdoption(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.fenced {
		return nil, d.staleEpochError()
	}
	var out []KnownAttempt
	for _, a := range d.attempts {
		if a.offer.Partition == partition {
			a.orphan = false // the partition's owner learns of it by this answer
			out = append(out, KnownAttempt{Offer: a.offer, Report: a.report})
		}
	}
	return out, nil
}

func (d *Domain) staleEpochError() *errkind.Error {
	return errkind.New(errkind.StaleEpoch, "this VM no longer owns failure domain %s", d.opts.Name)
}

// adoptTasks adopts the tasks that a former owner of the domain placed; the
// caller holds the lock.
func (d *Domain) adoptTasks(w *worker, statuses []target.TaskStatus) {
	for _, st := range statuses {
		if _, known := d.byTask[st.Task]; known || len(st.Meta) == 0 || st.State == target.TaskFenced ||
			w.lostTasks[st.Task] || !d.placedByFormerOwner(st.Task) {
			continue
		}
		d.adoptTask(w, st)
	}
}
