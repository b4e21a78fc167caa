package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Load: a fleet full of long work, and an urgent job without a guarantee.
// Guards against an urgent caller who waits for the end of work that has just
// begun, and against stopping long work that has much to lose for a small job.
func TestUrgentWorkPreemptsInProportion(t *testing.T) {
	const long = 12 * time.Second
	tests := map[string]struct {
		lead   time.Duration // how long the work in the way has run
		inTime bool
	}{
		"work that has just begun gives way":  {400 * time.Millisecond, true},
		"work that has much to lose stays on": {5 * time.Second, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, 1, 1)
				b.workers.SetOutcome(func(task workload.TaskID, _ int64) fleettest.Outcome {
					if task.Job == "0000000000000001" {
						return fleettest.Outcome{Duration: long}
					}
					return fleettest.Outcome{Duration: urgentRunTime}
				})
				step := gang(1, 8)
				step.Estimate = long
				background := b.submit(step)
				b.sleep(tc.lead)
				step = small(1)
				step.Estimate = urgentRunTime
				urgent := b.prepare(step)
				urgent.Class.Priority = 0
				b.accept(urgent)
				b.sleep(urgentObjective)
				want := workload.Queued
				if tc.inTime {
					want = workload.Completed
				}
				b.want(urgent, want)
				b.sleep(2 * long)
				b.want(background, workload.Completed)
				b.want(urgent, workload.Completed)
			})
		})
	}
}
