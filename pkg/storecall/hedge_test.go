package storecall

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
)

// try is what becomes of one of the calls of a hedge.
type try struct {
	takes time.Duration // 0: at once; negative: no answer until the context ends
	kind  errkind.Kind  // empty: success
}

// Guards against reporting a refusal, which says that nothing was done, while
// the other try may still be carried out, and against waiting for a lost answer.
func TestHedge(t *testing.T) {
	const (
		after  = hedgeShortest
		bound  = shortest
		silent = -1
	)
	tests := map[string]struct {
		tries []try
		want  errkind.Kind
		took  time.Duration
		calls int
	}{
		"answered at once":                     {[]try{{0, ""}}, "", 0, 1},
		"refused at once":                      {[]try{{0, errkind.Overloaded}}, errkind.Overloaded, 0, 1},
		"answer lost, second answered":         {[]try{{silent, ""}, {4e6, errkind.Conflict}}, errkind.Conflict, after + 4e6, 2},
		"both lost":                            {[]try{{silent, ""}, {silent, ""}}, errkind.StoreUnavailable, bound, 2},
		"answer lost, second refused":          {[]try{{silent, ""}, {0, errkind.Overloaded}}, errkind.StoreUnavailable, bound, 2},
		"first refused late, second lost":      {[]try{{100e6, errkind.Overloaded}, {silent, ""}}, errkind.StoreUnavailable, bound, 2},
		"both refused":                         {[]try{{100e6, errkind.QuotaExceeded}, {100e6, errkind.QuotaExceeded}}, errkind.QuotaExceeded, after + 100e6, 2},
		"first slow, second refused":           {[]try{{100e6, ""}, {0, errkind.Overloaded}}, "", 100e6, 2},
		"first slow, second slower":            {[]try{{100e6, ""}, {200e6, errkind.Conflict}}, "", 100e6, 2},
		"first refused late, second succeeded": {[]try{{100e6, errkind.Overloaded}, {60e6, ""}}, "", after + 60e6, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var timeout AdaptiveTimeout
				calls := make(chan int, 2)
				calls <- 0
				began := time.Now()
				_, err := Hedge(t.Context(), &timeout, func(ctx context.Context) (int, error) {
					n := <-calls
					calls <- n + 1
					return n, tc.tries[n].play(ctx)
				})
				if took := time.Since(began); took != tc.took {
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

func (c try) play(ctx context.Context) error {
	if c.takes >= 0 {
		select {
		case <-time.After(c.takes):
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

// Guards against learning the wait for a lost answer as the time of an answer:
// the pause before the second call would grow with each.
func TestHedgeLearnsTheTimeOfAnswersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var timeout AdaptiveTimeout
		for range 20 {
			var calls atomic.Int64
			if _, err := Hedge(t.Context(), &timeout, func(ctx context.Context) (int, error) {
				c := try{takes: 4e6}
				if calls.Add(1) == 1 {
					c.takes = -1 // its answer is lost
				}
				return 0, c.play(ctx)
			}); err != nil {
				t.Fatal(err)
			}
		}
		if got := timeout.HedgeAfter(); got != hedgeShortest {
			t.Errorf("HedgeAfter() = %v, want %v", got, hedgeShortest)
		}
	})
}
