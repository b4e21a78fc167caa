package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// smallMemory holds about six jobs with a step of 300 tasks.
const smallMemory = 7_500_000

// newSmallTestbed returns a testbed with one VM, which has smallMemory and owns the fleet.
func newSmallTestbed(t *testing.T, workers int) *testbed {
	b := newTestbed(t, 0, workers)
	b.adjustOptions = func(o *fleet.Options) { o.Memory = smallMemory }
	b.startVM()
	b.sleep(time.Second)
	return b
}

// Guards against a VM that takes over more jobs than its memory holds and serves none of them, as
// it ends; and against jobs, urgent work or cancels that never come to their turn on it.
func TestJobsBeyondTheMemoryAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 30
		b := newTestbed(t, 0, 8)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome {
			return fleettest.Outcome{Duration: 300 * time.Millisecond}
		})
		b.startVM() // a large one
		b.adjustOptions = func(o *fleet.Options) { o.Memory = smallMemory }
		b.sleep(time.Second)
		var waiting []*workload.Job
		for range jobs {
			j := b.buildJob(smallStep(300))
			j.Class.Priority = 1
			b.storeJob(j)
			waiting = append(waiting, j)
		}
		nowhere := b.buildJob(smallStep(300))
		nowhere.Class.Priority, nowhere.Steps[0].RequiredLabel = 1, "no worker has this label"
		b.storeJob(nowhere)
		b.sleep(2 * time.Second)
		b.startVM()
		b.killVM(0)
		b.sleep(4 * time.Second)
		if n := b.countOffloaded(); n < jobs/2 {
			t.Errorf("%d jobs are offloaded on the small VM, want most of %d", n, jobs)
		}
		b.cancel(waiting[jobs-1])
		urgent := b.buildJob(smallStep(1))
		urgent.Class.Priority = 0
		b.storeJob(urgent)
		b.sleep(4 * time.Second)
		b.wantState(urgent, workload.Completed)
		b.wantState(waiting[jobs-1], workload.Cancelled)
		b.sleep(90 * time.Second)
		for _, j := range waiting[:jobs-1] {
			b.wantState(j, workload.Completed)
		}
		b.wantState(nowhere, workload.Queued)
	})
}

// Guards against occurrences that never run, or run late, since their job was offloaded before
// its first due time, and against jobs without a place that keep others from being loaded.
func TestOffloadedJobsRunAtTheirTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 20
		b := newSmallTestbed(t, 4)
		for range jobs {
			j := b.buildJob(smallStep(300))
			j.Class.Priority, j.Steps[0].RequiredLabel = 1, "no worker has this label"
			b.storeJob(j)
		}
		due := time.Now().Add(20 * time.Second)
		var scheduled []*workload.Job
		for range jobs {
			j := b.buildJob(smallStep(1))
			j.Class.Priority = 1
			j.Schedule = workload.Schedule{Count: 3, FirstUnixMS: due.UnixMilli(), Interval: 5 * time.Second}
			b.storeJob(j)
			scheduled = append(scheduled, j)
		}
		b.sleep(10 * time.Second)
		if n := b.countOffloaded(); n < jobs {
			t.Errorf("%d jobs are offloaded, want at least %d", n, jobs)
		}
		b.sleep(time.Until(due.Add(20 * time.Second)))
		for _, j := range scheduled {
			b.wantState(j, workload.Completed)
		}
	})
}

// countOffloaded returns the number of jobs that the owner holds only an entry of.
func (b *testbed) countOffloaded() int {
	b.t.Helper()
	i := b.ownerIndex()
	_, owner := b.vms[i].elector.Owner()
	return owner.CountOffloaded()
}

// Guards against an owner that ends for its memory since tasks that ask for nothing of a worker
// all run at once, and against such tasks that never run.
func TestTasksWithoutDemandRunAsFarAsMemoryHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 1000
		b := newSmallTestbed(t, 2)
		j := b.submit(workload.Step{Tasks: tasks, Estimate: time.Second})
		b.sleep(700 * time.Millisecond)
		_, owner := b.vms[0].elector.Owner()
		if runs, most := owner.CountRuns(); runs == 0 || runs > most || most >= tasks {
			t.Errorf("%d runs of %d tasks at a time, at most %d are allowed", runs, tasks, most)
		}
		b.sleep(60 * time.Second)
		b.wantState(j, workload.Completed)
	})
}
