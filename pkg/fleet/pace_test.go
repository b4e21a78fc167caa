package fleet

import (
	"testing"
	"time"

	"github.com/carawayusher/carawayusher/pkg/workload"
)

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

// Guards against a filler that stays slowed down or paused for ever once the service beside it has
// ended, and one of which the speed is not known after a takeover.
func TestFillerRunsAtFullSpeedWithoutAService(t *testing.T) {
	const target = 50 * time.Millisecond
	filler, service := workload.Step{Filler: true}, workload.Step{LongRunning: true, TargetLatency: target}
	tests := map[string]struct {
		percent int
		latency time.Duration // of the service beside it; 0: there is none
		want    int
	}{
		"paused when the service ended":  {0, 0, fullSpeedPercent},
		"slowed when the service ended":  {40, 0, fullSpeedPercent},
		"not known after a takeover":     {unknownThrottlePercent, 0, fullSpeedPercent},
		"full speed already":             {fullSpeedPercent, 0, fullSpeedPercent},
		"paused beside a slow service":   {0, 2 * target, 0},
		"paused beside a quick service":  {0, target / 10, throttleUpPercent},
		"at full speed beside a service": {fullSpeedPercent, 2 * target, 40},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := &worker{runs: map[*run]struct{}{}, orders: make(chan order, 2)}
			add := func(spec workload.Step, r *run) *run {
				r.group = &taskGroup{job: &job{Job: &workload.Job{Steps: []workload.Step{spec}}}}
				r.phase = phaseRunning
				w.runs[r] = struct{}{}
				return r
			}
			r := add(filler, &run{throttlePercent: tc.percent})
			if tc.latency > 0 {
				add(service, &run{tailLatency: tc.latency})
			}
			(&Owner{}).throttleFillers(w)
			if r.throttlePercent != tc.want {
				t.Errorf("speed %d%%, want %d%%", r.throttlePercent, tc.want)
			}
			if sent := len(w.orders) > 0; sent != (tc.want != tc.percent) {
				t.Errorf("order queued: %v", sent)
			}
		})
	}
}
