package gateway

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Relay performs calls of a Gateway on another VM, which may reach the store when this
// one does not. Errors have the same kinds as those of Gateway: unavailable means that
// nothing was stored, timeout that something may have been.
type Relay interface {
	Accept(ctx context.Context, j *workload.Job) error
	Cancel(ctx context.Context, id string, queue workload.QueueRef) error
}

// minRelayDelay is the minimum time of the local attempt before the relay starts. It
// is longer than two tries of a call whose answer is lost.
const minRelayDelay = 120 * time.Millisecond

// localGracePeriod is how long the local attempt continues after the relay has
// succeeded, so that it shows whether the store is unreachable or only slow.
const localGracePeriod = time.Second

// defaultLocalTimeout bounds the local attempt of a call without a deadline.
const defaultLocalTimeout = 10 * time.Second

// withRelay makes a local attempt and, if that takes long or the store has not answered
// this VM recently, a relayed one as well. Both write the same key under the same
// condition, so it does not matter which of them succeeds.
func (g *Gateway) withRelay(ctx context.Context, local, relay func(context.Context) error) error {
	if g.opts.Relay == nil {
		return local(ctx)
	}
	// With a slow store a relay would only double the calls.
	delay := max(minRelayDelay, g.timeout.HedgeAfter())
	if g.timeout.Failing() {
		delay = 0
	}
	localResult := runLocal(ctx, local)
	relayCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayResult := make(chan error, 1)
	start := time.AfterFunc(delay, func() { relayResult <- relay(relayCtx) })
	defer start.Stop()
	var localErr, relayErr error
	for localErr == nil || relayErr == nil {
		select {
		case localErr = <-localResult:
			if definite(localErr) || start.Stop() {
				return localErr
			}
		case relayErr = <-relayResult:
			if definite(relayErr) {
				g.opts.Log.V(1).Info("call was served through another VM", "outcome", errkind.Of(relayErr))
				return relayErr
			}
		}
	}
	if errkind.Is(localErr, errkind.Unavailable) && !errkind.Is(relayErr, errkind.Unavailable) {
		return relayErr // the other VM may have stored it
	}
	return localErr
}

// runLocal runs f in the background with the deadline of ctx. Cancelling ctx cancels f
// after localGracePeriod.
func runLocal(ctx context.Context, f func(context.Context) error) <-chan error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultLocalTimeout)
	}
	localCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	context.AfterFunc(ctx, func() { time.AfterFunc(localGracePeriod, cancel) })
	result := make(chan error, 1)
	go func() {
		defer cancel()
		result <- f(localCtx)
	}()
	return result
}

// definite reports whether an outcome determines what is stored. A refusal to one VM
// does not, since the write of the other VM may still take effect.
func definite(err error) bool {
	return err == nil || errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.NotFound) || errkind.Is(err, errkind.Cancelled)
}
