package domain

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// Backoff delays between calls that a target does not answer, and between placements
// that it rejects. The jitter keeps the sync loops of many workers from retrying in
// step after an outage.
const (
	callBackoffMin = 200 * time.Millisecond
	// callBackoffMax bounds the delay until the return of a worker is detected.
	callBackoffMax = 2 * time.Second
	backoffJitter  = 0.5
	// A worker that rejected a placement is excluded for longer than the attempt's first
	// delay, so that the attempt goes to another worker, and for no longer than the start
	// bound of urgent work (6.1 s) allows.
	workerBackoffMin = 4 * callBackoffMin
	workerBackoffMax = 3 * time.Second
)

func newBackoff() *backoff.ExponentialBackOff { return backoffBetween(callBackoffMin, callBackoffMax) }

func backoffBetween(initial, longest time.Duration) *backoff.ExponentialBackOff {
	b := &backoff.ExponentialBackOff{
		InitialInterval: initial, MaxInterval: longest, Multiplier: 2, RandomizationFactor: backoffJitter,
	}
	b.Reset()
	return b
}

// jittered shortens a long poll by up to a fifth, so that the polls of workers
// that were first polled at the same time drift apart.
func jittered(wait time.Duration) time.Duration { return wait - rand.N(wait/5+1) }

// backOffWorker excludes a worker that rejected a placement from new work for a while,
// as the scheduler would choose it again at once. The caller holds the lock.
func (d *Domain) backOffWorker(w *worker) {
	if w == nil {
		return
	}
	if w.refusalBackoff == nil {
		w.refusalBackoff = backoffBetween(workerBackoffMin, workerBackoffMax)
	}
	w.backoffUntil = time.Now().Add(w.refusalBackoff.NextBackOff())
	d.updateState(w)
}

// endWorkerBackoffs makes workers schedulable again whose backoff has expired; the
// caller holds the lock.
func (d *Domain) endWorkerBackoffs(now time.Time) {
	for _, w := range d.workers {
		if !w.backoffUntil.IsZero() && !now.Before(w.backoffUntil) {
			w.backoffUntil = time.Time{}
			d.updateState(w)
		}
	}
}

// delayedRequeue is an attempt that is queued again at dueAt.
type delayedRequeue struct {
	a     *attempt
	dueAt time.Time
}

// requeueAfterDelay puts the attempt back into the scheduler's queue after a delay that
// grows with each rejected placement; the caller holds the lock.
func (d *Domain) requeueAfterDelay(a *attempt, blamedWorker string) {
	now := time.Now()
	a.state = api.StateQueued
	a.copies = nil
	d.backOffWorker(d.workers[blamedWorker])
	if a.placementBackoff == nil {
		a.placementBackoff = newBackoff()
	}
	d.delayedRequeues = append(d.delayedRequeues, delayedRequeue{a, now.Add(a.placementBackoff.NextBackOff())})
	d.opts.Scheduler.Ended(now, a.offer.Job, a.offer.Attempt, sched.EndReservationFailed, blamedWorker)
}

// enqueueDelayed queues the attempts whose delay is over; the caller holds the lock.
func (d *Domain) enqueueDelayed(now time.Time) {
	waiting := d.delayedRequeues[:0]
	for _, r := range d.delayedRequeues {
		switch a := r.a; {
		case now.Before(r.dueAt):
			waiting = append(waiting, r)
		case !a.ended && a.withdrawReason == "" && len(a.copies) == 0 && !d.fenced:
			d.enqueue(a, now)
		}
	}
	clear(d.delayedRequeues[len(waiting):])
	d.delayedRequeues = waiting
}

// enqueue queues the attempt in the scheduler; an error ends the attempt.
func (d *Domain) enqueue(a *attempt, now time.Time) {
	err := d.opts.Scheduler.Enqueue(now, schedJob(a.offer))
	if err == nil {
		return
	}
	e := errkind.As(err)
	if errkind.Retryable(err) { // the queue is full; the partition retries later
		d.finishAttempt(a, api.OutcomeNotRun, sched.EndCancelled, "", e.Message)
		return
	}
	a.report.ErrorKind = string(e.Kind)
	d.finishAttempt(a, api.OutcomeRefused, sched.EndCancelled, "", e.Message)
}
