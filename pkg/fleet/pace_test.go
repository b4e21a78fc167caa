package fleet

import "testing"

// Guards against fillers that are not slowed down beside a service above its latency
// target, and against fillers that are not sped up again.
func TestNextPace(t *testing.T) {
	tests := map[string]struct {
		percent int
		share   float64
		want    int
	}{
		"no latency reported yet": {100, 0, initialThrottlePercent},
		"over the target":         {100, 1.2, 40},
		"below the minimum":       {10, 1.2, 0},
		"paused and still over":   {0, 1.2, 0},
		"within the band":         {40, 0.7, 40},
		"well below":              {40, 0.3, 55},
		"from paused":             {0, 0.3, 15},
		"never above 100":         {95, 0.3, 100},
	}
	for name, tc := range tests {
		if got := nextThrottlePercent(tc.percent, tc.share); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}
