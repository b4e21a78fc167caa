package storecall

import (
	"testing"
	"time"
)

// Guards against a timeout that never grows to the response time of a slow store,
// and against long waits for an unanswered call while other answers are fast.
func TestTimeoutAdapts(t *testing.T) {
	tests := map[string]struct {
		answers []time.Duration // negative: no answer
		want    time.Duration
	}{
		"new":                    {nil, minTimeout},
		"fast store":             {[]time.Duration{4e6, 4e6, 4e6}, minTimeout},
		"slow store":             {repeat(400*time.Millisecond, 20), maxTimeout},
		"one silent call":        {[]time.Duration{4e6, -1}, 2 * minTimeout},
		"silent store":           {[]time.Duration{4e6, -1, -1, -1, -1, -1, -1}, maxTimeout},
		"answers again":          {[]time.Duration{4e6, -1, -1, 4e6}, minTimeout},
		"slow store, then fast":  {append(repeat(400*time.Millisecond, 20), repeat(4*time.Millisecond, 20)...), minTimeout},
		"never above the bounds": {repeat(5*time.Second, 5), maxTimeout},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var timeout AdaptiveTimeout
			for _, a := range tc.answers {
				if a < 0 {
					timeout.RecordNoAnswer()
				} else {
					timeout.RecordAnswer(a)
				}
			}
			if got := timeout.Next(); got != tc.want {
				t.Errorf("Next() = %v, want %v", got, tc.want)
			}
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	all := make([]time.Duration, n)
	for i := range all {
		all[i] = d
	}
	return all
}
