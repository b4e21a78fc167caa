package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// newHeadroomTestbed returns a testbed with one VM whose catalog has an urgent queue
// beside the one of its jobs.
func newHeadroomTestbed(t *testing.T, workers int) *testbed {
	b := newTestbed(t, 0, workers)
	class := workload.Class{Service: "service", MaxAttempts: 2, SlackFactor: 3}
	urgent := class
	class.Priority = 1
	b.catalog = &catalog.Catalog{Queues: []catalog.Queue{{Name: "urgent", Class: urgent}, {Name: "q", Class: class}}}
	b.startVM()
	b.sleep(5 * time.Second)
	return b
}

// submitPatient stores a job of priority 1 whose target is far away.
func (b *testbed) submitPatient(step workload.Step) *workload.Job {
	j := b.buildJob(step)
	j.Class.TargetRuntime = time.Hour
	b.storeJob(j)
	return j
}

// Guards against urgent jobs that find the fleet filled with work of lower priority, so
// that each of them waits for stops and throws work away. The load: separate tasks for
// six times the capacity are due from the start, and an urgent gang of two whole workers
// arrives every 2 s.
func TestHeadroomStartsUrgentWorkAtOnce(t *testing.T) {
	const (
		urgentJobs = 10
		gap        = 2 * time.Second
		atOnce     = 50 * time.Millisecond
		tasks      = 384
	)
	synctest.Test(t, func(t *testing.T) {
		b := newHeadroomTestbed(t, 8)
		b.workers.SetOutcome(func(task workload.TaskID, _ int64) fleettest.Outcome {
			if task.Job == "0000000000000001" {
				return fleettest.Outcome{Duration: 4 * time.Second}
			}
			return fleettest.Outcome{Duration: time.Second}
		})
		step := smallStep(tasks)
		step.Estimate = 4 * time.Second
		background := b.submitPatient(step)
		b.sleep(gap)
		for range urgentJobs {
			urgent := b.buildJob(gangStep(2, 8))
			urgent.Class.Priority = 0
			b.storeJob(urgent)
			b.sleep(atOnce)
			b.wantState(urgent, workload.Running)
			b.sleep(gap - atOnce)
			b.wantState(urgent, workload.Completed)
		}
		b.sleep(time.Minute)
		b.wantState(background, workload.Completed)
		for i := range tasks {
			if n := b.workers.Starts(workload.TaskID{Job: background.ID, Index: i}); n != 1 {
				t.Errorf("task %d of the background work started %d times", i, n)
			}
		}
	})
}

// Guards against a gang of lower priority that waits on an idle fleet, because the
// headroom covers the whole workers that it needs. The platform wants it to start
// within 3 s.
func TestIdleFleetHasNoHeadroom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHeadroomTestbed(t, 4)
		j := b.submitPatient(gangStep(4, 8))
		b.sleep(3 * time.Second)
		b.wantState(j, workload.Running)
	})
}

// Guards against a job that waits anew for the use of the headroom on an idle fleet after
// each change of the owner.
func TestTakeoverKeepsTheWaitForHeadroom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHeadroomTestbed(t, 4)
		b.startVM()
		j := b.submitPatient(gangStep(4, 8))
		b.sleep(1800 * time.Millisecond)
		b.killVM(b.ownerIndex())
		b.sleep(1200 * time.Millisecond)
		b.wantState(j, workload.Running)
	})
}

// Guards against a job that waits anew for free capacity after each change of the owner,
// although nothing of it was running before.
func TestTakeoverKeepsTheWaitOfALaterStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHeadroomTestbed(t, 16)
		b.startVM()
		step := smallStep(1)
		step.RequiredLabel = "r3"
		j := b.buildJob(step)
		step = gangStep(2, 8)
		step.RequiredLabel = "r0"
		step.After = []int{0}
		j.Steps = append(j.Steps, step)
		j.Class.TargetRuntime = time.Hour
		b.storeJob(j)
		b.workers.Accepted(j.ID)
		time.AfterFunc(2500*time.Millisecond, func() { b.killVM(b.ownerIndex()) }) // 1.5 s after the end of the first step
		b.wantNoStandstill(10 * time.Second)
	})
}

// Guards against a long-running task that stays away although there is capacity for it,
// because all that is free is kept as headroom. The platform wants it back within 3 s,
// however full the service is.
func TestLongRunningTasksMayUseHeadroom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHeadroomTestbed(t, 4)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Minute} })
		b.submitPatient(smallStep(64))
		b.sleep(time.Second)
		step := smallStep(1)
		step.LongRunning = true
		service := b.submitPatient(step)
		b.sleep(3 * time.Second)
		b.wantState(service, workload.Running)
		b.cancel(service)
		b.sleep(3 * time.Minute)
	})
}
