package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// submitAccepted submits a patient job that must not stand still.
func (b *testbed) submitAccepted(step workload.Step) {
	b.workers.Accepted(b.submitPatient(step).ID)
}

// wantNoStandstill watches for jobs that stand still for a time.
func (b *testbed) wantNoStandstill(length time.Duration) {
	b.t.Helper()
	d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
	b.observe(d, length)
	for _, s := range d.Standstills() {
		b.t.Error(s)
	}
}

// Guards against a group that is kept off the only workers with a ticket for good, because
// a task of it failed there once.
func TestGroupReturnsToItsTicketHoldersAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 4)
		cloud := fleettest.NewCloud(b.workers, time.Second)
		cloud.AllowedWorkers = []string{"w02"}
		b.adjustOptions = func(o *fleet.Options) { o.Advice = cloud }
		b.catalog = &catalog.Catalog{Queues: []catalog.Queue{{Name: "q", Class: workload.Class{Service: "service"}, Advice: &workload.AdvicePolicy{TicketTTL: 5 * time.Second}}}}
		b.workers.SetOutcome(func(_ workload.TaskID, run int64) fleettest.Outcome {
			return fleettest.Outcome{Duration: 300 * time.Millisecond, Fails: run == 1}
		})
		b.startVM()
		b.sleep(time.Second)
		j := b.submit(smallStep(1))
		b.workers.Accepted(j.ID)
		b.wantNoStandstill(10 * time.Second)
		b.wantState(j, workload.Completed)
	})
}

// Guards against a job that waits on an idle fleet for the end of the headroom, because the
// few workers that accept tasks are in use.
func TestHeadroomIsLentWhileManyWorkersDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHeadroomTestbed(t, 16)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 30 * time.Second} })
		for i := range 10 {
			b.workers.Drain(15-i, time.Minute)
		}
		b.sleep(time.Second)
		b.submitAccepted(smallStep(4 * 8))
		b.sleep(time.Second)
		b.submitAccepted(gangStep(1, 8))
		b.submitAccepted(smallStep(2))
		b.wantNoStandstill(10 * time.Second)
		b.sleep(3 * time.Minute)
	})
}

// Guards against a gang that waits on an idle fleet for a rack of its own.
func TestGangDoesNotWaitForARackOnAnIdleFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 16)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 20 * time.Second} })
		for _, rack := range []string{"r0", "r1", "r2", "r3"} {
			step := gangStep(1, 8)
			step.RequiredLabel, step.Estimate = rack, 20*time.Second
			b.submit(step)
		}
		b.sleep(time.Second)
		step := gangStep(4, 8)
		step.SameRack, step.Estimate = true, 20*time.Second
		b.workers.Accepted(b.submit(step).ID)
		b.wantNoStandstill(30 * time.Second)
		b.sleep(time.Minute)
	})
}

// Guards against capacity reserved for waiting gangs keeping other jobs from starting on an
// idle fleet.
func TestReservationsLeaveIdleWorkersToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 16)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 20 * time.Second} })
		for _, rack := range []string{"r0", "r1", "r2"} {
			step := gangStep(1, 8)
			step.RequiredLabel, step.Estimate = rack, 20*time.Second
			b.submit(step)
		}
		b.sleep(time.Second)
		for _, rack := range []string{"r0", "r1", "r2"} {
			step := gangStep(4, 8)
			step.RequiredLabel, step.Estimate = rack, 20*time.Second
			b.submit(step)
		}
		b.sleep(time.Second)
		step := gangStep(4, 8)
		step.RequiredLabel = "r3"
		b.submit(step)
		step = smallStep(2)
		step.Estimate = 60 * time.Second
		b.workers.Accepted(b.submit(step).ID)
		b.wantNoStandstill(15 * time.Second)
		b.sleep(2 * time.Minute)
	})
}

// Guards against a long-running task that stays away for good, because the capacity for it
// is reserved for a gang that waits for the other tasks of its job.
func TestLongRunningTasksMayUseReservedCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 8)
		b.workers.SetOutcome(func(task workload.TaskID, run int64) fleettest.Outcome {
			if task.Index == 1 && run == 1 {
				return fleettest.Outcome{Duration: 20 * time.Second, Fails: true}
			}
			return fleettest.Outcome{Duration: time.Minute}
		})
		step := smallStep(2)
		step.LongRunning, step.RequiredLabel = true, "r0"
		service := b.submit(step)
		b.sleep(19 * time.Second)
		step = gangStep(4, 8)
		step.RequiredLabel, step.Estimate = "r0", 20*time.Second
		gang := b.submit(step)
		b.sleep(7 * time.Second) // 6 s after the end of the run
		if n := b.workers.Starts(workload.TaskID{Job: service.ID, Index: 1}); n != 2 {
			t.Errorf("the task has started %d times 6 s after its run failed, want 2", n)
		}
		b.cancel(gang)
		b.cancel(service)
		b.sleep(3 * time.Minute)
	})
}

// Guards against a job that waits on an idle service for reserved capacity until the lease
// of a lost run of another of its tasks has expired.
func TestLostRunDoesNotKeepOtherTasksWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 4)
		b.workers = fleettest.New(b.store, 18, 6, workerCapacity)
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(task workload.TaskID, run int64) fleettest.Outcome {
			if task.Index == 1 && run == 1 && task.Job == "0000000000000004" {
				return fleettest.Outcome{Duration: time.Second, Fails: true}
			}
			return fleettest.Outcome{Duration: 40 * time.Second}
		})
		step := gangStep(1, 8)
		step.RequiredLabel, step.Estimate = "r0", 40*time.Second
		b.submit(step)
		b.submit(step)
		b.sleep(time.Second)
		step = gangStep(5, 8)
		step.RequiredLabel, step.Estimate = "r0", 40*time.Second
		b.submit(step)
		b.sleep(time.Second)
		step = smallStep(2)
		step.RequiredLabel, step.MaxPerWorker, step.Estimate = "r0", 1, 60*time.Second
		j := b.buildJob(step)
		j.Class.MaxAttempts = 4
		b.storeJob(j)
		b.sleep(3400 * time.Millisecond) // it starts after 2 s, and a task of it fails 1 s later
		if n := b.workers.Starts(workload.TaskID{Job: j.ID, Index: 1}); n != 1 {
			t.Fatalf("%d starts of the task that fails, want 1", n)
		}
		for i := 2; i < 6; i++ {
			if b.workers.Busy(i) {
				b.workers.Crash(i, time.Hour)
			}
		}
		b.workers.Accepted(j.ID)
		b.wantNoStandstill(10 * time.Second)
		b.sleep(3 * time.Minute)
	})
}

// Guards against a gang that waits on an idle service for a rack of its own, because the runs
// of lost workers count as use of the service.
func TestRunsOfLostWorkersDoNotKeepJobsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 16)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 60 * time.Second} })
		for rack, n := range map[string]int{"r0": 2, "r1": 2, "r2": 2, "r3": 4} {
			for range n {
				step := gangStep(1, 8)
				step.RequiredLabel, step.Estimate = rack, 40*time.Second
				b.submit(step)
			}
		}
		b.sleep(time.Second)
		kept := false
		for i := range 16 {
			if b.workers.Busy(i) && kept {
				b.workers.Crash(i, time.Hour)
			}
			kept = kept || b.workers.Busy(i)
		}
		b.sleep(4 * time.Second)
		step := gangStep(3, 8)
		step.SameRack, step.Estimate = true, 40*time.Second
		b.workers.Accepted(b.submit(step).ID)
		b.wantNoStandstill(10 * time.Second)
		b.sleep(3 * time.Minute)
	})
}
