package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Guards against an urgent job that waits for long work that has just begun, and against
// preempting long work with a high stop cost for a small urgent job. The fleet is full,
// and the urgent job has no guarantee.
func TestUrgentWorkPreemptsInProportion(t *testing.T) {
	const long = 12 * time.Second
	tests := map[string]struct {
		lead   time.Duration // run time of the background work before the urgent job is accepted
		inTime bool
	}{
		"work that has just begun is preempted": {400 * time.Millisecond, true},
		"work with a high stop cost continues":  {5 * time.Second, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 1, 1)
				b.workers.SetOutcome(func(task workload.TaskID, _ int64) fleettest.Outcome {
					if task.Job == "0000000000000001" {
						return fleettest.Outcome{Duration: long}
					}
					return fleettest.Outcome{Duration: urgentRunTime}
				})
				step := gangStep(1, 8)
				step.Estimate = long
				background := b.submit(step)
				b.sleep(tc.lead)
				step = smallStep(1)
				step.Estimate = urgentRunTime
				urgent := b.buildJob(step)
				urgent.Class.Priority = 0
				b.storeJob(urgent)
				b.sleep(urgentObjective)
				want := workload.Queued
				if tc.inTime {
					want = workload.Completed
				}
				b.wantState(urgent, want)
				b.sleep(2 * long)
				b.wantState(background, workload.Completed)
				b.wantState(urgent, workload.Completed)
			})
		})
	}
}
