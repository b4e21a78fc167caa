package fleet_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Guards against a wait for a start that each takeover begins anew: the start was sent 29 s
// before, but no owner has lived for as long as an order may be on its way.
func TestTakeoversInSuccessionDoNotRestartTheWaitForAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takeovers = 3
		b := newMachineTestbed(t, 2+takeovers, 6)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Minute} })
		for i := range 6 {
			b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.LoseAnswers = 1 })
		}
		j := b.submit(gangStep(2, 8))
		b.workers.Accepted(j.ID)
		for range takeovers {
			b.sleep(9 * time.Second)
			b.killVM(b.ownerIndex())
		}
		b.sleep(2 * time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Second} })
		b.workers.Crash(slices.IndexFunc([]int{0, 1, 2, 3, 4, 5}, b.workers.Busy), 30*time.Second)
		d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
		b.killVM(b.ownerIndex())
		b.observe(d, 20*time.Second)
		for _, s := range d.Standstills() {
			t.Error(s)
		}
	})
}

// Guards against a successor that counts the age of a start too high, and gives up its run
// while the start may still arrive, or too low.
func TestSuccessorGivesUpARunOnceItsStartNoLongerArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMachineTestbed(t, 2, 6)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Minute} })
		for i := range 6 {
			b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.LoseAnswers = 1 })
		}
		task := workload.TaskID{Job: b.submit(smallStep(1)).ID}
		b.sleep(8 * time.Second)
		b.killVM(b.ownerIndex())
		b.sleep(2 * time.Second)
		b.workers.Crash(slices.IndexFunc([]int{0, 1, 2, 3, 4, 5}, b.workers.Busy), 30*time.Second)
		b.sleep(2900 * time.Millisecond)
		if n := b.workers.Starts(task); n != 1 {
			t.Errorf("%d starts 12.9 s after the first", n)
		}
		b.sleep(5 * time.Second)
		if n := b.workers.Starts(task); n != 2 {
			t.Errorf("%d starts 17.9 s after the first, want 2", n)
		}
	})
}

// Guards against a job that has run before and waits anew for the use of the headroom on an
// idle fleet after a change of the owner.
func TestTakeoverKeepsTheWaitForHeadroomOfAJobThatRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHeadroomTestbed(t, 4)
		b.startVM()
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 10 * time.Second} })
		b.submitPatient(gangStep(4, 8))
		b.sleep(4 * time.Second)
		if !b.workers.Busy(1) {
			t.Fatal("the gang does not run")
		}
		b.workers.Restart(0) // ends the gang
		b.sleep(1800 * time.Millisecond)
		b.killVM(b.ownerIndex())
		b.sleep(1200 * time.Millisecond)
		if !b.workers.Busy(1) {
			t.Error("the gang does not run 3 s after its end")
		}
	})
}

// Guards against a second run of a task whose late start reaches the next process of a
// worker, after the former process was told to stop it.
func TestLateStartOfAStoppedRunIsNotCarriedOutByTheNextProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 4)
		client := &delayedStartClient{WorkerClient: b.workers, address: "w01:1", delay: 6 * time.Second}
		b.adjustOptions = func(o *fleet.Options) { o.Workers = client }
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 20 * time.Second} })
		b.workers.UpdateFaults(0, func(f *fleettest.Faults) { f.RefuseOrders = 1 })
		step := gangStep(2, 4)
		step.MaxPerWorker = 1
		j := b.submit(step)
		b.sleep(2500 * time.Millisecond)
		b.workers.Crash(1, time.Second)
		b.sleep(time.Minute)
		b.wantState(j, workload.Completed)
	})
}

// Guards against a late start that reaches the next process of a worker although its run has
// ended or the entry of the worker was removed meanwhile, or the first stop is lost.
func TestLateStartAtTheNextProcessIsStoppedWhateverHappenedBefore(t *testing.T) {
	crash := func(b *testbed) { b.workers.Crash(1, time.Second) }
	tests := map[string]struct {
		refuse   int // orders that another member's worker refuses
		duration time.Duration
		fault    func(b *testbed)
	}{
		"run has ended": {0, time.Second, crash},
		"entry was removed": {0, time.Second, func(b *testbed) {
			crash(b)
			_, err := b.store.Commit(t.Context(), platform.Txn{Deletes: []string{fleettest.WorkerPrefix + "w01"}})
			if err != nil {
				t.Error(err)
			}
		}},
		"stop is lost": {1, 20 * time.Second, func(b *testbed) {
			crash(b)
			b.workers.UpdateFaults(1, func(f *fleettest.Faults) { f.Unreachable = true })
			time.AfterFunc(2*time.Second, func() {
				b.workers.UpdateFaults(1, func(f *fleettest.Faults) { f.Unreachable = false })
			})
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 4)
				client := &delayedStartClient{WorkerClient: b.workers, address: "w01:1", delay: 6 * time.Second}
				b.adjustOptions = func(o *fleet.Options) { o.Workers = client }
				b.startVM()
				b.sleep(time.Second)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: tc.duration} })
				b.workers.UpdateFaults(0, func(f *fleettest.Faults) { f.RefuseOrders = tc.refuse })
				step := gangStep(2, 4)
				step.MaxPerWorker = 1
				j := b.submit(step)
				b.sleep(2500 * time.Millisecond)
				tc.fault(b)
				b.sleep(time.Minute)
				b.wantState(j, workload.Completed)
			})
		})
	}
}

// Guards against a job that stands for as long as the lease of a worker would last, after a
// former owner has assigned its tasks by an entry of no worker which is gone now: another
// worker answers at that address.
func TestTaskAssignedToAnEntryOfNoWorkerDoesNotWaitForALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 2)
		j := b.submit(smallStep(1))
		p := workload.NewProgress(j)
		*p.Task(0, 0, 0) = workload.Task{Phase: workload.Assigned, Run: 1, Assigned: workload.Assignment{Worker: "odd", Incarnation: 7, Address: b.workers.Entry(0).Address}}
		data, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		b.createKey(fleet.ProgressKey(j.ID), data)
		b.startVM()
		b.sleep(time.Second)
		if n := b.workers.Starts(workload.TaskID{Job: j.ID}); n != 1 {
			t.Errorf("the task was started %d times within 1 s", n)
		}
	})
}
