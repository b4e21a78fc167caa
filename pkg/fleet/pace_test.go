package fleet

import "testing"

// Guards against fillers that go on beside a service over its target, and
// against fillers that never come back.
func TestNextPace(t *testing.T) {
	tests := map[string]struct {
		pace  int
		share float64
		want  int
	}{
		"nothing known yet":      {100, 0, initialThrottlePercent},
		"over the target":        {100, 1.2, 40},
		"nearly at rest":         {10, 1.2, 0},
		"at rest and still over": {0, 1.2, 0},
		"within the band":        {40, 0.7, 40},
		"well below":             {40, 0.3, 55},
		"from rest":              {0, 0.3, 15},
		"never above 100":        {95, 0.3, 100},
	}
	for name, tc := range tests {
		if got := nextThrottlePercent(tc.pace, tc.share); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}
