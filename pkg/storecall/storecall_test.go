package storecall

import (
	"testing"
	"time"
)

// Guards against giving a slow store too little time for ever, and against
// waiting long for a silent one while answers are fast.
func TestTimeoutAdapts(t *testing.T) {
	tests := map[string]struct {
		answers []time.Duration // negative: no answer
		want    time.Duration
	}{
		"new":                    {nil, shortest},
		"fast store":             {[]time.Duration{4e6, 4e6, 4e6}, shortest},
		"slow store":             {repeat(400*time.Millisecond, 20), longest},
		"one silent call":        {[]time.Duration{4e6, -1}, 2 * shortest},
		"silent store":           {[]time.Duration{4e6, -1, -1, -1, -1, -1, -1}, longest},
		"answers again":          {[]time.Duration{4e6, -1, -1, 4e6}, shortest},
		"slow store, then fast":  {append(repeat(400*time.Millisecond, 20), repeat(4*time.Millisecond, 20)...), shortest},
		"never above the bounds": {repeat(5*time.Second, 5), longest},
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
