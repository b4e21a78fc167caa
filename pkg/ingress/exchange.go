package ingress

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
)

const (
	// firstBackoff is short, because a moved shard already has its next owner.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// waitSlice bounds one wait at an owner, so that a call notices an owner
	// that hangs.
	waitSlice = 5 * time.Second
)

// errMismatch marks an answer that belongs to another request. It is dropped
// and the question asked again.
var errMismatch = errors.New("the answer belongs to another request")

// exchange gets the status of one job and waits for its end, across failures
// of the partition's owner.
type exchange struct {
	in   *Ingress
	call *call
	// open gets the first status: by Submit, or by Get for a known job.
	open      func(ctx context.Context) (api.JobStatus, error)
	waitUntil time.Time
	// giveUp ends the attempts. A last attempt may outlast it by its timeout.
	giveUp time.Time
	// last is the newest status that belongs to the call.
	last api.JobStatus
	// reached says that an attempt may have started the job, so that a later
	// refusal must not claim that it did not run.
	reached bool
}

// run opens the job and waits. After a transient failure it opens the job
// again, which is harmless because the ID and the key stay the same.
func (x *exchange) run(ctx context.Context) (api.JobStatus, error) {
	delays := newBackoff()
	for {
		err := x.attempt(ctx)
		if err == nil {
			return x.last, nil
		}
		if !x.transient(ctx, err) || !pause(ctx, delays, err, x.giveUp) {
			return x.last, err
		}
		x.in.metrics.resubmits.Inc()
	}
}

func (x *exchange) attempt(ctx context.Context) error {
	status, err := x.once(ctx, x.in.Limits.AttemptTimeout, x.open)
	if err != nil {
		x.reached = x.reached || mayHaveActed(err)
		return err
	}
	x.reached = true
	x.last = status
	return x.await(ctx)
}

// await waits until the job is terminal or the caller's wait is over.
func (x *exchange) await(ctx context.Context) error {
	began := time.Now()
	defer func() { x.in.metrics.waits.Observe(time.Since(began).Seconds()) }()
	for !x.last.State.Terminal() {
		remaining := time.Until(x.waitUntil)
		if remaining <= 0 || x.leaves() {
			return nil
		}
		status, err := x.waitOnce(ctx, min(remaining, waitSlice))
		if err != nil {
			return x.afterWait(err)
		}
		x.last = status
	}
	return nil
}

// waitOnce waits at the owner. A drain ends the wait for a durable job.
func (x *exchange) waitOnce(ctx context.Context, wait time.Duration) (api.JobStatus, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if x.durable() {
		defer context.AfterFunc(x.in.calls.draining, cancel)()
	}
	return x.once(ctx, wait+x.in.Limits.AttemptTimeout, func(ctx context.Context) (api.JobStatus, error) {
		return x.in.Service.Wait(ctx, x.call.workspace, x.last.ID, wait)
	})
}

// afterWait decides what a failed wait means for the call.
func (x *exchange) afterWait(err error) error {
	switch {
	case x.leaves():
		return nil
	case errkind.Is(err, errkind.NotFound) && x.durable():
		return errkind.Wrap(err, errkind.Internal, "a durable job is not known to its owner")
	default:
		return err
	}
}

// durable reports whether the job outlives its owner.
func (x *exchange) durable() bool { return x.call.submit.Durable || x.last.Durable }

// leaves reports whether the wait ends early because this VM drains. Only
// durable jobs can be asked for at any other VM.
func (x *exchange) leaves() bool { return x.in.calls.isDraining() && x.durable() }

// once makes one attempt and checks that the answer is this caller's.
func (x *exchange) once(ctx context.Context, timeout time.Duration, op func(context.Context) (api.JobStatus, error)) (api.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := op(ctx)
	if err != nil {
		return api.JobStatus{}, err
	}
	if x.call.isForeign(status) {
		return api.JobStatus{}, errkind.New(errkind.NotFound, "no job has this ID")
	}
	if !x.call.owns(status) {
		x.in.metrics.mismatches.Inc()
		x.in.Log.Error(errMismatch, "answer dropped", "requestId", x.call.requestID, "job", x.call.job, "answered", status.ID)
		return api.JobStatus{}, errMismatch
	}
	return status, nil
}

// transient reports whether opening the job again may help.
func (x *exchange) transient(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if errkind.Is(err, errkind.NotFound) {
		// A job that is not journaled vanishes with its owner.
		return x.reached && x.call.submit.ID != "" && !x.durable()
	}
	return isTransient(err)
}

func isTransient(err error) bool {
	if errors.Is(err, errMismatch) || errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	switch errkind.Of(err) {
	case errkind.Unavailable, errkind.StaleEpoch, errkind.Timeout:
		return true
	default:
		return false
	}
}

// mayHaveActed reports whether the owner may have started the job in spite of
// err. A broken connection looks the same before and after the owner acted.
func mayHaveActed(err error) bool {
	if errkind.Is(err, errkind.StaleEpoch) {
		return false
	}
	return isTransient(err) || errkind.Lookup(errkind.Of(err)).Ran != errkind.NotRun
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, maxBackoff
	return b
}

// pause waits before the next attempt; it returns false when the time is over.
func pause(ctx context.Context, delays *backoff.ExponentialBackOff, err error, giveUp time.Time) bool {
	delay := max(delays.NextBackOff(), min(errkind.As(err).RetryAfter, maxBackoff))
	if time.Now().Add(delay).After(giveUp) {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// answerError returns err as callers see it.
func answerError(err error) error {
	switch {
	case errors.Is(err, errMismatch):
		return errkind.Wrap(err, errkind.Internal, "the owner of the job gave a wrong answer")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return errkind.Wrap(err, errkind.Timeout, "the owner of the job did not answer in time")
	default:
		return err
	}
}
