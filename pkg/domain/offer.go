package domain

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// Offer queues the attempt, or is harmless if it is already known. Kinds:
// impossible, overloaded, quota_exceeded, stale_epoch; each says not run.
func (d *Domain) Offer(ctx context.Context, o Offer) error {
	now := time.Now()
	d.mu.Lock()
	if d.stopped || d.fenced {
		d.mu.Unlock()
		return d.errStale()
	}
	if a, ok := d.attempts[o.Job]; ok {
		err := d.reoffer(a, o)
		d.mu.Unlock()
		return err
	}
	// A claimed attempt is not started anew but resolved, as often as it is asked for.
	if len(o.ClaimedAllocations) == 0 && d.forgotten.covers(o.Job, o.Attempt) {
		d.mu.Unlock()
		return errkind.New(errkind.Conflict, "attempt %d of job %s has ended", o.Attempt, o.Job)
	}
	a := &attempt{offer: o, offeredAt: now, state: api.StateQueued, resolving: len(o.ClaimedAllocations) > 0}
	a.report = a.newReport(d.opts.Name, d.opts.Epoch)
	d.attempts[o.Job] = a
	d.mu.Unlock()
	if len(o.ClaimedAllocations) > 0 {
		d.goRun(func() { d.resolveClaim(a) })
		return nil
	}
	if err := d.opts.Scheduler.Enqueue(now, schedJob(o)); err != nil {
		return d.offerRefused(a, err)
	}
	d.notify()
	return nil
}

// offerRefused forgets an attempt that the scheduler does not take. One that may
// have run under the former owner is kept until that is known.
func (d *Domain) offerRefused(a *attempt, err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.provesNotRun(a) && len(a.copies) == 0 {
		delete(d.attempts, a.offer.Job)
		return err
	}
	d.requeues = append(d.requeues, requeued{a, time.Now()})
	return nil
}

// reoffer handles an attempt that is already here; the caller holds the lock.
func (d *Domain) reoffer(a *attempt, o Offer) error {
	if o.Attempt < a.offer.Attempt {
		return errkind.New(errkind.Conflict, "attempt %d of job %s is here already", a.offer.Attempt, o.Job)
	}
	if o.Attempt > a.offer.Attempt {
		if !a.ended {
			d.withdraw(a, "replaced by a later attempt")
		}
		// Once the old attempt is over and reported, the offer is accepted.
		return errkind.New(errkind.Unavailable, "attempt %d of job %s is not over yet", a.offer.Attempt, o.Job)
	}
	a.offer.Partition, a.offer.PartitionEpoch = o.Partition, o.PartitionEpoch
	a.orphan = false
	if a.offeredAt.IsZero() {
		a.offeredAt = time.Now()
	}
	d.deliver(a)
	return nil
}

// Withdraw takes an attempt back. A queued attempt is reported as not run, a
// running one as stopped. An attempt that is not here is not an error for the
// caller to act on: not_found says that it does not run here.
func (d *Domain) Withdraw(_ context.Context, job api.JobID, number int, reason string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.fenced {
		return d.errStale()
	}
	a, ok := d.attempts[job]
	if !ok || a.offer.Attempt != number {
		return errkind.New(errkind.NotFound, "attempt %d of job %s is not here", number, job)
	}
	d.withdraw(a, reason)
	return nil
}

// withdraw stops what the attempt has; the caller holds the lock.
func (d *Domain) withdraw(a *attempt, reason string) {
	if a.ended || a.withdrawn != "" {
		return
	}
	a.withdrawn = reason
	switch {
	case a.placing: // placeCopy sees it
	case a.resolving && len(a.copies) == 0: // it may have run; resolveClaim reports what it finds
	case len(a.copies) == 0:
		d.opts.Scheduler.Cancel(time.Now(), a.offer.Job)
		d.finishAttempt(a, api.OutcomeNotRun, sched.EndCancelled, "", reason)
	default:
		d.stopCopies(a)
	}
}

// KnownAttempts returns the attempts that belong to the partition, once the workers have
// told which tasks a former owner left. An owner that has a newer one refuses
// with stale_epoch: what it holds may be out of date.
func (d *Domain) KnownAttempts(ctx context.Context, partition int) ([]KnownAttempt, error) {
	d.awaitAdopted(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.fenced {
		return nil, d.errStale()
	}
	var out []KnownAttempt
	for _, a := range d.attempts {
		if a.offer.Partition == partition {
			a.orphan = false // the partition's owner learns of it here
			out = append(out, KnownAttempt{Offer: a.offer, Report: a.report})
		}
	}
	return out, nil
}

func (d *Domain) errStale() *errkind.Error {
	return errkind.New(errkind.StaleEpoch, "this VM no longer owns failure domain %s", d.opts.Name)
}

// adoptTasks takes over tasks that the former owner of the domain placed; the
// caller holds the lock.
func (d *Domain) adoptTasks(w *worker, statuses []target.TaskStatus) {
	for _, st := range statuses {
		if _, known := d.byTask[st.Task]; known || len(st.Meta) == 0 || st.State == target.TaskFenced ||
			w.givenUp[st.Task] || !d.formerEpoch(st.Task) {
			continue
		}
		d.adoptTask(w, st)
	}
}
