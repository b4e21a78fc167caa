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
	// initialBackoff is short, because a shard that was handed over already has
	// its next owner.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxOwnerWait bounds a single Wait request to an owner, so that a hung
	// owner is detected.
	maxOwnerWait = 5 * time.Second
)

// errMismatchedAnswer reports a response that belongs to another request. The
// response is dropped and the request is sent again.
var errMismatchedAnswer = errors.New("the answer belongs to another request")

// exchange gets the status of one job and waits for the job to end, with
// retries when the owner of the partition fails.
type exchange struct {
	in   *Ingress
	call *call
	// initialCall returns the first status: from Submit for a new job, from Get
	// or Cancel for an existing one.
	initialCall func(ctx context.Context) (api.JobStatus, error)
	waitUntil   time.Time
	// retryUntil is the time after which no attempt starts. The last attempt may
	// exceed it by its own timeout.
	retryUntil time.Time
	// last is the most recent status that matches the call.
	last api.JobStatus
	// mayHaveStarted is set once an attempt may have started the job. A later
	// refusal must then not claim that the job did not run.
	mayHaveStarted bool
}

// run makes the initial call and waits for the job to end. After a transient
// failure it makes the initial call again, which is idempotent because the job
// ID and the idempotency key stay the same.
func (x *exchange) run(ctx context.Context) (api.JobStatus, error) {
	delays := newBackoff()
	for {
		err := x.attempt(ctx)
		if err == nil {
			return x.last, nil
		}
		if !x.transient(ctx, err) || !waitBackoff(ctx, delays, err, x.retryUntil) {
			return x.last, err
		}
		x.in.metrics.resubmits.Inc()
	}
}

func (x *exchange) attempt(ctx context.Context) error {
	status, err := x.callOwner(ctx, x.in.Limits.AttemptTimeout, x.initialCall)
	if err != nil {
		x.mayHaveStarted = x.mayHaveStarted || mayHaveTakenEffect(err)
		return err
	}
	x.mayHaveStarted = true
	x.last = status
	return x.waitForEnd(ctx)
}

// waitForEnd waits until the job is terminal, the caller's wait time is over or
// a drain ends the wait.
func (x *exchange) waitForEnd(ctx context.Context) error {
	start := time.Now()
	defer func() { x.in.metrics.waits.Observe(time.Since(start).Seconds()) }()
	for !x.last.State.Terminal() {
		remaining := time.Until(x.waitUntil)
		if remaining <= 0 || x.drainEndsWait() {
			return nil
		}
		status, err := x.waitOnce(ctx, min(remaining, maxOwnerWait))
		if err != nil {
			return x.classifyWaitError(err)
		}
		x.last = status
	}
	return nil
}

// waitOnce sends one Wait request to the owner. A drain cancels it when the job
// is durable.
func (x *exchange) waitOnce(ctx context.Context, wait time.Duration) (api.JobStatus, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if x.durable() {
		defer context.AfterFunc(x.in.calls.draining, cancel)()
	}
	return x.callOwner(ctx, wait+x.in.Limits.AttemptTimeout, func(ctx context.Context) (api.JobStatus, error) {
		return x.in.Service.Wait(ctx, x.call.workspace, x.last.ID, wait)
	})
}

// classifyWaitError maps the error of a Wait request to the error of the
// attempt. It returns nil when a drain ended the wait.
func (x *exchange) classifyWaitError(err error) error {
	switch {
	case x.drainEndsWait():
		return nil
	case errkind.Is(err, errkind.NotFound) && x.durable():
		return errkind.Wrap(err, errkind.Internal, "a durable job is not known to its owner")
	default:
		return err
	}
}

// durable reports whether the job survives the loss of its owner.
func (x *exchange) durable() bool { return x.call.submit.Durable || x.last.Durable }

// drainEndsWait reports whether the wait ends early because this VM drains.
// Only for durable jobs can the caller continue the wait at any other VM.
func (x *exchange) drainEndsWait() bool { return x.in.calls.isDraining() && x.durable() }

// callOwner sends one request to the owner and checks that the response belongs
// to this call.
func (x *exchange) callOwner(ctx context.Context, timeout time.Duration, op func(context.Context) (api.JobStatus, error)) (api.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := op(ctx)
	if err != nil {
		return api.JobStatus{}, err
	}
	if x.call.isOtherWorkspace(status) {
		return api.JobStatus{}, errkind.New(errkind.NotFound, "no job has this ID")
	}
	if !x.call.matches(status) {
		x.in.metrics.mismatches.Inc()
		x.in.Log.Error(errMismatchedAnswer, "dropped a response that belongs to another request", "requestId", x.call.requestID, "job", x.call.job, "answered", status.ID)
		return api.JobStatus{}, errMismatchedAnswer
	}
	return status, nil
}

// transient reports whether repeating the initial call may succeed.
func (x *exchange) transient(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if errkind.Is(err, errkind.NotFound) {
		// A job that is not journaled is lost when its owner fails.
		return x.mayHaveStarted && x.call.submit.ID != "" && !x.durable()
	}
	return isTransient(err)
}

func isTransient(err error) bool {
	if errors.Is(err, errMismatchedAnswer) || errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	switch errkind.Of(err) {
	case errkind.Unavailable, errkind.StaleEpoch, errkind.Timeout:
		return true
	default:
		return false
	}
}

// mayHaveTakenEffect reports whether the owner may have started the job despite
// err. A broken connection does not tell whether the owner processed the
// request.
func mayHaveTakenEffect(err error) bool {
	if errkind.Is(err, errkind.StaleEpoch) {
		return false
	}
	return isTransient(err) || errkind.Lookup(errkind.Of(err)).Ran != errkind.NotRun
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	return b
}

// waitBackoff waits for the retry delay. It returns false when the next attempt
// would start after retryUntil or ctx has ended.
func waitBackoff(ctx context.Context, delays *backoff.ExponentialBackOff, err error, retryUntil time.Time) bool {
	delay := max(delays.NextBackOff(), min(errkind.As(err).RetryAfter, maxBackoff))
	if time.Now().Add(delay).After(retryUntil) {
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

// clientError converts err to the error that is sent to the client.
func clientError(err error) error {
	switch {
	case errors.Is(err, errMismatchedAnswer):
		return errkind.Wrap(err, errkind.Internal, "the owner of the job gave a wrong answer")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return errkind.Wrap(err, errkind.Timeout, "the owner of the job did not answer in time")
	default:
		return err
	}
}
