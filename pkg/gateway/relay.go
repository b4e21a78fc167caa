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

// relayAfter is how long this VM tries alone. Two tries of a call whose answer
// is lost take less.
const relayAfter = 120 * time.Millisecond

// withRelay tries here and, when that takes long or the store has not answered
// this VM lately, through the relay as well. Both write the same key under the
// same condition, so it does not matter which of them succeeds.
func (g *Gateway) withRelay(ctx context.Context, here, relayed func(context.Context) error) error {
	if g.opts.Relay == nil {
		return here(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	delay := relayAfter
	if g.timeout.Failing() {
		delay = 0
	}
	answer := make(chan error, 1)
	start := time.AfterFunc(delay, func() {
		err := relayed(ctx)
		answer <- err
		if certain(err) {
			cancel() // no need to wait for the own try
		}
	})
	own := here(ctx)
	if start.Stop() || certain(own) {
		return own
	}
	other := <-answer
	if certain(other) {
		g.opts.Log.V(1).Info("served through another VM", "outcome", errkind.Of(other))
		return other
	}
	if !errkind.Is(own, errkind.Unavailable) {
		return own
	}
	return other
}

// certain reports whether an outcome tells what the store holds. A refusal of
// one VM does not, while the other's write may still be carried out.
func certain(err error) bool {
	return err == nil || errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.NotFound)
}
