package storecall

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// outcome is the result or the error of one call.
type outcome[T any] struct {
	result T
	err    error
}

// Hedge makes an idempotent call with the timeout that t gives and, if there is no
// answer after t.HedgeAfter, sends it a second time, concurrently. It returns the
// first conclusive answer. The call must carry conditions that let at most one of
// the two requests take effect.
//
// A refusal is returned only if no request went unanswered; otherwise the error
// has kind store_unavailable, because the unanswered request may still take
// effect.
func Hedge[T any](ctx context.Context, t *AdaptiveTimeout, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Next())
	defer cancel()
	second := make(chan outcome[T], 1)
	hedge := time.AfterFunc(t.HedgeAfter(), func() {
		o := timedCall(ctx, t, call)
		second <- o
		if isConclusive(o.err) {
			cancel() // no need to wait for the first call
		}
	})
	o := timedCall(ctx, t, call)
	if !hedge.Stop() && !isConclusive(o.err) {
		o = combine(o, <-second)
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

// combine merges the outcomes of two calls, of which the first is not conclusive.
func combine[T any](first, second outcome[T]) outcome[T] {
	if unanswered(first.err) && !isConclusive(second.err) {
		return first
	}
	return second
}

// isConclusive reports whether the outcome shows the state of the store, so that
// no other answer is needed.
func isConclusive(err error) bool {
	return err == nil || errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.NotFound)
}

func unanswered(err error) bool { return errkind.Is(err, errkind.StoreUnavailable) }
