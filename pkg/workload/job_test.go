package workload

import (
	"testing"
	"time"
)

// Guards against occurrences that start early, as the fraction of a millisecond in the interval
// is dropped and adds up, and against due times that overflow.
func TestDueTimes(t *testing.T) {
	j := &Job{ID: "0123456789abcdef", Steps: []Step{{Tasks: 1}}, Schedule: Schedule{Count: MaxTasks, FirstUnixMS: 1_000_000, Interval: 100_900 * time.Microsecond}}
	for occurrence, want := range map[int]int64{0: 1_000_000, 1: 1_000_100, 10: 1_001_009, 272: 1_027_444, MaxTasks - 1: 1_000_000 + 1_008_899} {
		if got := j.DueUnixMS(occurrence); got != want {
			t.Errorf("occurrence %d is due at %d, want %d", occurrence, got, want)
		}
	}
	tests := map[string]struct {
		schedule Schedule
		valid    bool
	}{
		"good":               {Schedule{Count: 10, FirstUnixMS: 1_764_936_000_000, Interval: time.Hour}, true},
		"every year":         {Schedule{Count: 10, FirstUnixMS: 1_764_936_000_000, Interval: 365 * 24 * time.Hour}, true},
		"first too late":     {Schedule{Count: 1, FirstUnixMS: 1 << 62}, false},
		"last too late":      {Schedule{Count: MaxTasks, FirstUnixMS: 1_764_936_000_000, Interval: 1 << 62}, false},
		"interval overflows": {Schedule{Count: MaxTasks, Interval: 1<<63 - 1}, false},
	}
	for name, tc := range tests {
		job := *j
		job.Schedule = tc.schedule
		if err := job.Validate(); (err == nil) != tc.valid {
			t.Errorf("%s: %v", name, err)
		}
	}
}
