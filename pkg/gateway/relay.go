package gateway

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Relay does the work of a Gateway on another VM, which may reach the store when
// this one does not. Errors have the kinds of the Gateway's own: unavailable
// says that certainly nothing was stored, timeout that it may have been.
type Relay interface {
	Accept(ctx context.Context, j *workload.Job) error
	Cancel(ctx context.Context, id, queue string) error
}

// relayAfter is how long this VM tries alone at least. Two tries of a call whose
// answer is lost take less.
const relayAfter = 120 * time.Millisecond

// linger is how long an own try goes on after the relay has succeeded, so that it
// shows whether the store is silent or merely slow.
const linger = time.Second

// unboundedTry bounds the own try of a caller that names no deadline.
const unboundedTry = 10 * time.Second

// withRelay tries here and, when that takes long or the store has not answered
// this VM lately, through the relay as well. Both write the same key under the
// same condition, so it does not matter which of them succeeds.
func (g *Gateway) withRelay(ctx context.Context, here, relayed func(context.Context) error) error {
	if g.opts.Relay == nil {
		return here(ctx)
	}
	// In a slow store the other VM would only double the calls.
	delay := max(relayAfter, g.timeout.HedgeAfter())
	if g.timeout.Failing() {
		delay = 0
	}
	own := lingering(ctx, here)
	relayCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	other := make(chan error, 1)
	start := time.AfterFunc(delay, func() { other <- relayed(relayCtx) })
	defer start.Stop()
	var ownErr, otherErr error
	for ownErr == nil || otherErr == nil {
		select {
		case ownErr = <-own:
			if certain(ownErr) || start.Stop() {
				return ownErr
			}
		case otherErr = <-other:
			if certain(otherErr) {
				g.opts.Log.V(1).Info("served through another VM", "outcome", errkind.Of(otherErr))
				return otherErr
			}
		}
	}
	if errkind.Is(ownErr, errkind.Unavailable) && !errkind.Is(otherErr, errkind.Unavailable) {
		return otherErr // it may have been stored there
	}
	return ownErr
}

// lingering runs f in the background with the deadline of ctx. The end of ctx
// ends f only after a while.
func lingering(ctx context.Context, f func(context.Context) error) <-chan error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(unboundedTry)
	}
	own, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	context.AfterFunc(ctx, func() { time.AfterFunc(linger, cancel) })
	result := make(chan error, 1)
	go func() {
		defer cancel()
		result <- f(own)
	}()
	return result
}

// certain reports whether an outcome tells what the store holds. A refusal of
// one VM does not, while the other's write may still be carried out.
func certain(err error) bool {
	return err == nil || errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.NotFound)
}
