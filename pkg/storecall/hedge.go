package storecall

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// outcome is what became of one call.
type outcome[T any] struct {
	result T
	err    error
}

// Hedge sends an idempotent call within the timeout of t and, when it has no
// answer after a while, sends it once more on another connection. The first
// answer that settles the matter counts. The call must carry conditions that let
// at most one of the two take effect.
//
// A refusal settles the matter only if no other try went unanswered; otherwise
// the error has kind store_unavailable, because that try may be carried out.
func Hedge[T any](ctx context.Context, t *AdaptiveTimeout, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Next())
	defer cancel()
	second := make(chan outcome[T], 1)
	hedge := time.AfterFunc(t.HedgeAfter(), func() {
		o := timed(ctx, t, call)
		second <- o
		if settles(o.err) {
			cancel() // the first call need not be waited for
		}
	})
	o := timed(ctx, t, call)
	if !hedge.Stop() && !settles(o.err) {
		o = better(o, <-second)
	}
	if unanswered(o.err) {
		t.RecordNoAnswer()
	}
	return o.result, o.err
}

// timed makes one call and notes how long its answer took.
func timed[T any](ctx context.Context, t *AdaptiveTimeout, call func(context.Context) (T, error)) outcome[T] {
	sentAt := time.Now()
	result, err := call(ctx)
	if !unanswered(err) {
		t.RecordAnswer(time.Since(sentAt))
	}
	return outcome[T]{result, err}
}

// better returns what two calls say together; the first has not settled the matter.
func better[T any](first, second outcome[T]) outcome[T] {
	if unanswered(first.err) && !settles(second.err) {
		return first
	}
	return second
}

// settles reports whether an answer tells what the store holds.
func settles(err error) bool {
	return err == nil || errkind.Is(err, errkind.Conflict) || errkind.Is(err, errkind.NotFound)
}

func unanswered(err error) bool { return errkind.Is(err, errkind.StoreUnavailable) }
