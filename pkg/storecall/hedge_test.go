package storecall

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// plannedCall is the simulated outcome of one of the calls of a hedge.
type plannedCall struct {
	delay time.Duration // 0: immediate; negative: no answer until the context ends
	kind  errkind.Kind  // empty: success
}

// Guards against returning a refusal, which means that nothing was changed, while
// the other request may still take effect, and against waiting for a lost answer.
func TestHedge(t *testing.T) {
	const (
		hedgeDelay = minHedgeDelay
		timeLimit  = minTimeout
		noAnswer   = -1
	)
	tests := map[string]struct {
		tries []plannedCall
		want  errkind.Kind
		took  time.Duration
		calls int
	}{
		"answered at once":                     {[]plannedCall{{0, ""}}, "", 0, 1},
		"refused at once":                      {[]plannedCall{{0, errkind.Overloaded}}, errkind.Overloaded, 0, 1},
		"answer lost, second answered":         {[]plannedCall{{noAnswer, ""}, {4e6, errkind.Conflict}}, errkind.Conflict, hedgeDelay + 4e6, 2},
		"two answers lost, third answered":     {[]plannedCall{{noAnswer, ""}, {noAnswer, ""}, {4e6, ""}}, "", 3*hedgeDelay + 4e6, 3},
		"all lost":                             {[]plannedCall{{noAnswer, ""}, {noAnswer, ""}, {noAnswer, ""}}, errkind.StoreUnavailable, timeLimit, 3},
		"answer lost, others refused":          {[]plannedCall{{noAnswer, ""}, {0, errkind.Overloaded}, {0, errkind.Overloaded}}, errkind.StoreUnavailable, timeLimit, 3},
		"first refused late, others lost":      {[]plannedCall{{100e6, errkind.Overloaded}, {noAnswer, ""}, {noAnswer, ""}}, errkind.StoreUnavailable, timeLimit, 3},
		"third refused, others lost":           {[]plannedCall{{noAnswer, ""}, {noAnswer, ""}, {0, errkind.QuotaExceeded}}, errkind.StoreUnavailable, timeLimit, 3},
		"both refused":                         {[]plannedCall{{100e6, errkind.QuotaExceeded}, {90e6, errkind.QuotaExceeded}}, errkind.QuotaExceeded, hedgeDelay + 90e6, 2},
		"first slow, second refused":           {[]plannedCall{{100e6, ""}, {0, errkind.Overloaded}}, "", 100e6, 2},
		"first slow, second slower":            {[]plannedCall{{100e6, ""}, {200e6, errkind.Conflict}}, "", 100e6, 2},
		"first refused late, second succeeded": {[]plannedCall{{100e6, errkind.Overloaded}, {60e6, ""}}, "", hedgeDelay + 60e6, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var timeout AdaptiveTimeout
				calls := make(chan int, 2)
				calls <- 0
				startedAt := time.Now()
				_, err := Hedge(t.Context(), &timeout, func(ctx context.Context) (int, error) {
					n := <-calls
					calls <- n + 1
					return n, tc.tries[n].run(ctx)
				})
				if took := time.Since(startedAt); took != tc.took {
					t.Errorf("took %v, want %v", took, tc.took)
				}
				if (err == nil) != (tc.want == "") || (err != nil && errkind.Of(err) != tc.want) {
					t.Errorf("error %v, want kind %q", err, tc.want)
				}
				synctest.Wait()
				if n := <-calls; n != tc.calls {
					t.Errorf("%d calls, want %d", n, tc.calls)
				}
			})
		})
	}
}

func (c plannedCall) run(ctx context.Context) error {
	if c.delay >= 0 {
		select {
		case <-time.After(c.delay):
			if c.kind == "" {
				return nil
			}
			return errkind.New(c.kind, "as planned")
		case <-ctx.Done():
		}
	} else {
		<-ctx.Done()
	}
	return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "no answer")
}

// Guards against counting the wait for a lost answer as a response time: the
// delay before the second call would then grow with each lost answer.
func TestHedgeLearnsTheTimeOfAnswersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var timeout AdaptiveTimeout
		for range 20 {
			var calls atomic.Int64
			if _, err := Hedge(t.Context(), &timeout, func(ctx context.Context) (int, error) {
				c := plannedCall{delay: 4e6}
				if calls.Add(1) == 1 {
					c.delay = -1 // its answer is lost
				}
				return 0, c.run(ctx)
			}); err != nil {
				t.Fatal(err)
			}
		}
		if got := timeout.HedgeAfter(); got != minHedgeDelay {
			t.Errorf("HedgeAfter() = %v, want %v", got, minHedgeDelay)
		}
	})
}
