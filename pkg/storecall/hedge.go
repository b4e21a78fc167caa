package storecall

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// maxTries is how often Hedge sends a call.
const maxTries = 3

// outcome is the result or the error of one call.
type outcome[T any] struct {
	result T
	err    error
}

// Hedge makes an idempotent call with the timeout that t gives and, while there is no
// answer, sends it again, concurrently: after t.HedgeAfter, and after twice that time once
// more. It returns the first conclusive answer. The call must carry conditions that let at
// most one of the requests take effect.
//
// A refusal is returned only if no request went unanswered; otherwise the error
// has kind store_unavailable, because the unanswered request may still take
// effect.
func Hedge[T any](ctx context.Context, t *AdaptiveTimeout, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Next())
	defer cancel()
	outcomes := make(chan outcome[T], maxTries)
	next := time.NewTimer(t.HedgeAfter())
	defer next.Stop()
	sent, open := 0, 0
	send := func() {
		sent++
		open++
		go func() { outcomes <- timedCall(ctx, t, call) }()
	}
	send()
	var o outcome[T]
	for first := true; open > 0; {
		select {
		case <-next.C:
			if sent < maxTries {
				next.Reset(t.HedgeAfter() << sent)
				send()
			}
		case got := <-outcomes:
			open--
			if isConclusive(got.err) {
				return got.result, got.err
			}
			if first || unanswered(got.err) {
				o = got
			}
			first = false
			if sent == 1 {
				return o.result, o.err
			}
		}
	}
	if unanswered(o.err) {
		t.RecordNoAnswer()
	}
	return o.result, o.err
}

// timedCall makes one call and, if it was answered, records the response time in t.
func timedCall[T any](ctx context.Context, t *AdaptiveTimeout, call func(context.Context) (T, error)) outcome[T] {
	sentAt := time.Now()
	result, err := call(ctx)
	if !unanswered(err) {
		t.RecordAnswer(time.Since(sentAt))
	}
	return outcome[T]{result, err}
}

// isConclusive reports whether the outcome shows the state of the store, so that
// no other answer is needed.
func isConclusive(err error) bool {
	return err == nil || errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.NotFound)
}

func unanswered(err error) bool { return errkind.Is(err, errkind.StoreUnavailable) }
