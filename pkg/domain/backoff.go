package domain

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
)

// Pauses between calls that a target does not answer, and between placements
// that it refuses. The jitter keeps the loops of many workers from retrying in
// step after an outage.
const (
	retryMin = 200 * time.Millisecond
	// retryMax bounds how late the return of a worker is noticed.
	retryMax    = 2 * time.Second
	retryJitter = 0.5
	// A worker that refused a placement rests longer than the first pause of the
	// attempt, which thus goes to another worker, and at most as long as the start
	// bound of urgent work (6.1 s) allows.
	restMin = 4 * retryMin
	restMax = 3 * time.Second
)

func newBackoff() *backoff.ExponentialBackOff { return backoffBetween(retryMin, retryMax) }

func backoffBetween(least, most time.Duration) *backoff.ExponentialBackOff {
	b := &backoff.ExponentialBackOff{
		InitialInterval: least, MaxInterval: most, Multiplier: 2, RandomizationFactor: retryJitter,
	}
	b.Reset()
	return b
}

// jittered shortens a long poll by up to a fifth, so that the polls of workers
// that were first asked at the same time drift apart.
func jittered(wait time.Duration) time.Duration { return wait - rand.N(wait/5+1) }

// refused lets a worker rest that refused a placement: the scheduler would
// choose it again at once. The caller holds the lock.
func (d *Domain) refused(w *worker) {
	if w == nil {
		return
	}
	if w.refusals == nil {
		w.refusals = backoffBetween(restMin, restMax)
	}
	w.restUntil = time.Now().Add(w.refusals.NextBackOff())
	d.updateState(w)
}

// wakeRested gives workers new work again whose rest is over; the caller holds the lock.
func (d *Domain) wakeRested(now time.Time) {
	for _, w := range d.workers {
		if !w.restUntil.IsZero() && !now.Before(w.restUntil) {
			w.restUntil = time.Time{}
			d.updateState(w)
		}
	}
}

// requeued is an attempt that waits before it is placed again.
type requeued struct {
	a  *attempt
	at time.Time
}

// requeue puts the attempt back into the scheduler's queue after a pause that
// grows with each refusal; the caller holds the lock.
func (d *Domain) requeue(a *attempt, blame string) {
	now := time.Now()
	a.state = api.StateQueued
	a.copies = nil
	d.refused(d.workers[blame])
	if a.refusals == nil {
		a.refusals = newBackoff()
	}
	d.requeues = append(d.requeues, requeued{a, now.Add(a.refusals.NextBackOff())})
	d.opts.Scheduler.Ended(now, a.offer.Job, a.offer.Attempt, sched.EndReservationFailed, blame)
}

// enqueueDue queues the attempts whose pause is over; the caller holds the lock.
func (d *Domain) enqueueDue(now time.Time) {
	waiting := d.requeues[:0]
	for _, r := range d.requeues {
		switch a := r.a; {
		case now.Before(r.at):
			waiting = append(waiting, r)
		case !a.ended && a.withdrawn == "" && len(a.copies) == 0 && !d.fenced:
			d.enqueue(a, now)
		}
	}
	clear(d.requeues[len(waiting):])
	d.requeues = waiting
}

// enqueue hands the attempt to the scheduler; a refusal ends the attempt.
func (d *Domain) enqueue(a *attempt, now time.Time) {
	err := d.opts.Scheduler.Enqueue(now, schedJob(a.offer))
	if err == nil {
		return
	}
	e := errkind.As(err)
	if errkind.Retryable(err) { // the queue is full now; the partition tries again later
		d.finishAttempt(a, api.OutcomeNotRun, sched.EndCancelled, "", e.Message)
		return
	}
	a.report.ErrorKind = string(e.Kind)
	d.finishAttempt(a, api.OutcomeRefused, sched.EndCancelled, "", e.Message)
}
