package fleet_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

func serviceStep(tasks, maxUnavailable int) workload.Step {
	s := smallStep(tasks)
	s.LongRunning, s.MaxUnavailable = true, maxUnavailable
	return s
}

// Guards against completing a service job when its tasks end, and against counting failed
// runs of service tasks towards the attempt limit.
func TestServiceTasksAreRestartedUntilCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 3)
		b.workers.SetOutcome(func(_ workload.TaskID, run int64) fleettest.Outcome {
			return fleettest.Outcome{Duration: 2 * time.Second, Fails: run%2 == 0}
		})
		j := b.buildJob(serviceStep(2, 0))
		j.Class.MaxAttempts = 1000 // the emulator checks the limit, the owner ignores it for services
		b.storeJob(j)
		b.sleep(21 * time.Second)
		b.wantState(j, workload.Running)
		if n := b.workers.Starts(workload.TaskID{Job: j.ID}); n < 9 {
			t.Errorf("started %d times within 21 s of runs of 2 s", n)
		}
		b.cancel(j)
		b.sleep(time.Second)
		b.wantState(j, workload.Cancelled)
	})
}

// Guards against starting an occurrence before its due time, and against skipping one.
func TestOccurrencesRunAtTheirTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 2)
		j := b.buildJob(smallStep(1))
		first := time.Now().Add(3 * time.Second)
		j.Schedule = workload.Schedule{Count: 3, FirstUnixMS: first.UnixMilli(), Interval: 2 * time.Second}
		b.storeJob(j)
		for k := range 3 {
			b.sleep(time.Until(first.Add(time.Duration(k)*2*time.Second - 300*time.Millisecond)))
			if n := b.workers.Starts(workload.TaskID{Job: j.ID, Occurrence: k}); n != 0 {
				t.Errorf("occurrence %d started early", k)
			}
			b.sleep(600 * time.Millisecond)
			if n := b.workers.Starts(workload.TaskID{Job: j.ID, Occurrence: k}); n != 1 {
				t.Errorf("occurrence %d has %d starts 0.3 s after its time", k, n)
			}
		}
		b.sleep(3 * time.Second)
		b.wantState(j, workload.Completed)
	})
}

// Guards against occurrences that are lost or run twice when all of a schedule are due at once,
// and the owner changes while they run.
func TestScheduleThatIsFarBehindRunsAllOccurrences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const occurrences = 700
		b := newTestbed(t, 2, 4)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome {
			return fleettest.Outcome{Duration: 300 * time.Millisecond}
		})
		j := b.buildJob(smallStep(1))
		j.Schedule = workload.Schedule{Count: occurrences, FirstUnixMS: time.Now().Add(-time.Hour).UnixMilli(), Interval: time.Second}
		b.storeJob(j)
		b.sleep(4 * time.Second)
		b.killVM(b.ownerIndex())
		b.sleep(60 * time.Second)
		b.wantState(j, workload.Completed)
		for k := range occurrences {
			if n := b.workers.Starts(workload.TaskID{Job: j.ID, Occurrence: k}); n < 1 {
				t.Errorf("occurrence %d has not run", k)
			}
		}
	})
}

// Guards against starts without a valid ticket, and against a group that stays queued
// because the first workers in its advice requests may not run the step.
func TestAdviceIsAskedBeforeStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 8)
		cloud := fleettest.NewCloud(b.workers, time.Second)
		cloud.AllowedWorkers = []string{"w06", "w07"}
		b.adjustOptions = func(o *fleet.Options) { o.Advice = cloud }
		b.catalog = &catalog.Catalog{Queues: []catalog.Queue{{Name: "q", Class: workload.Class{Service: "service"}, Advice: &workload.AdvicePolicy{TicketTTL: 5 * time.Second}}}}
		b.startVM()
		b.sleep(time.Second)
		jobs := []*workload.Job{b.submit(smallStep(1)), b.submit(gangStep(2, 8)), b.submit(smallStep(12))}
		b.sleep(15 * time.Second)
		for _, j := range jobs {
			b.wantState(j, workload.Completed)
		}
		if n := b.workers.RejectedStarts(); n != 0 {
			t.Errorf("%d starts were rejected", n)
		}
	})
}

// Guards against exceeding the MaxDown of a wave, against completing a wave early, and
// against exceeding the MaxUnavailable of a service. The owner is killed during the wave,
// and answers of the platform get lost.
func TestUpkeepWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 6)
		cloud := fleettest.NewCloud(b.workers, 2*time.Second)
		cloud.LoseAnswers = 2
		b.adjustOptions = func(o *fleet.Options) { o.Machines, o.Waves, o.MaintenanceDuration = cloud, cloud, 2*time.Second }
		b.startVM()
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Hour} })
		service := b.submit(serviceStep(4, 1))
		b.sleep(time.Second)
		cloud.AddWave(fleet.Wave{Number: 1, Machines: []string{"m-w00", "m-w01", "m-w02", "m-w03"}, TimeLimit: 30 * time.Second, MaxDown: 2})
		b.sleep(6 * time.Second)
		b.killVM(0)
		b.sleep(40 * time.Second)
		if !cloud.Completed(1) {
			t.Error("the wave is not completed after 46 s")
		}
		b.wantState(service, workload.Running)
	})
}

// Guards against a wave that is said to be completed although the operator has added a machine
// to it meanwhile, whose maintenance has not begun.
func TestWaveThatIsChangedIsNotCompletedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 4)
		cloud := fleettest.NewCloud(b.workers, 2*time.Second)
		b.adjustOptions = func(o *fleet.Options) { o.Machines, o.Waves, o.MaintenanceDuration = cloud, cloud, 2*time.Second }
		b.startVM()
		b.sleep(time.Second)
		wave := fleet.Wave{Number: 1, Machines: []string{"m-w00", "m-w01"}, TimeLimit: 30 * time.Second, MaxDown: 1}
		cloud.AddWave(wave)
		b.sleep(3 * time.Second)
		wave.Machines = []string{"m-w00", "m-w01", "m-w02"}
		cloud.AddWave(wave)
		b.sleep(20 * time.Second)
		if !cloud.Completed(1) || !cloud.MaintenanceStarted(1, "m-w02") {
			t.Errorf("completed: %v; maintenance of the added machine begun: %v", cloud.Completed(1), cloud.MaintenanceStarted(1, "m-w02"))
		}
	})
}

// Guards against tasks that are started and stopped without end, and against a maintenance that
// never begins, because a second wave is due on a machine while it is down for the first one.
func TestTwoWavesOnOneMachineBothEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 2)
		const down = 4 * time.Second
		cloud := fleettest.NewCloud(b.workers, down)
		cloud.NewWorkerIDs = true
		b.adjustOptions = func(o *fleet.Options) { o.Machines, o.Waves, o.MaintenanceDuration = cloud, cloud, down }
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 12 * time.Second} })
		cloud.AddWave(fleet.Wave{Number: 1, Machines: []string{"m-w00", "m-w01"}, TimeLimit: 30 * time.Second, MaxDown: 1})
		for !cloud.MaintenanceStarted(1, "m-w00") {
			b.sleep(100 * time.Millisecond)
		}
		b.sleep(1500 * time.Millisecond) // until the list of machines shows it as down
		cloud.AddWave(fleet.Wave{Number: 2, Machines: []string{"m-w00"}, TimeLimit: 10 * time.Second, MaxDown: 1})
		j := b.submit(smallStep(16)) // fills both workers
		b.sleep(time.Minute)
		for n := range int64(2) {
			if !cloud.Completed(n + 1) {
				t.Errorf("wave %d is not completed", n+1)
			}
		}
		b.wantState(j, workload.Completed)
		for i := range j.Steps[0].Tasks {
			if n := b.workers.Starts(workload.TaskID{Job: j.ID, Index: i}); n > 3 {
				t.Errorf("task %d was started %d times", i, n)
			}
		}
	})
}

// omittingMachineList omits a machine from one list, the first with the machine in a state.
type omittingMachineList struct {
	fleet.MachineClient
	omitted string
	state   fleet.MachineState
	done    atomic.Bool
}

func (l *omittingMachineList) Machines(ctx context.Context) ([]fleet.Machine, error) {
	list, err := l.MachineClient.Machines(ctx)
	n := slices.IndexFunc(list, func(m fleet.Machine) bool { return m.ID == l.omitted && m.State == l.state })
	if n >= 0 && !l.done.Swap(true) {
		list = slices.Delete(list, n, n+1)
	}
	return list, err
}

// Guards against a completed wave without the maintenance of a machine that one list of the
// machines omits, and against exceeding the limit of machines that are down when the list
// omits one in maintenance.
func TestMachineMissingInOneListStaysInItsWave(t *testing.T) {
	for _, state := range []fleet.MachineState{fleet.MachineUp, fleet.MachineMaintenance} {
		t.Run(string(state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 4)
				cloud := fleettest.NewCloud(b.workers, 3*time.Second)
				list := &omittingMachineList{MachineClient: cloud, omitted: "m-w00", state: state}
				b.adjustOptions = func(o *fleet.Options) {
					o.Machines, o.Waves, o.MaintenanceDuration = list, cloud, 3*time.Second
				}
				b.startVM()
				b.sleep(time.Second)
				cloud.AddWave(fleet.Wave{Number: 1, Machines: []string{"m-w00", "m-w01", "m-w02"}, TimeLimit: 30 * time.Second, MaxDown: 1})
				b.sleep(30 * time.Second)
				if !list.done.Load() {
					t.Error("no list omitted the machine")
				}
				if !cloud.Completed(1) {
					t.Error("the wave is not completed after 30 s")
				}
			})
		})
	}
}

// Guards against preemption during an automation hold, and against preemption that does
// not resume after the hold is released.
func TestHoldStopsPreemption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 1)
		b.createKey(fleet.AutomationHoldKey, []byte(`{"hold":true,"reason":"holiday"}`))
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(task workload.TaskID, _ int64) fleettest.Outcome {
			if task.Job == "0000000000000001" {
				return fleettest.Outcome{Duration: 30 * time.Second}
			}
			return fleettest.Outcome{Duration: time.Second}
		})
		b.submit(smallStep(8))
		b.sleep(100 * time.Millisecond)
		urgent := b.buildJob(gangStep(1, 8))
		urgent.Class.Priority = 0
		urgent.Steps[0].Estimate = 10 * time.Second
		b.storeJob(urgent)
		b.sleep(2 * time.Second)
		b.wantState(urgent, workload.Queued)
		if err := b.store.Delete(t.Context(), fleet.AutomationHoldKey, platform.AnyVersion); err != nil {
			t.Fatal(err)
		}
		b.sleep(3 * time.Second)
		b.wantState(urgent, workload.Completed)
	})
}

// Guards against leaving runs on a draining worker until it is gone: they would be retried
// only after the worker's lease has expired.
func TestRunsMoveFromLeavingWorkers(t *testing.T) {
	for name, step := range map[string]workload.Step{"separate tasks": smallStep(8), "gang": gangStep(2, 4)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 1, 4)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 6 * time.Second} })
				step.Estimate = 6 * time.Second
				j := b.submit(step)
				b.sleep(2 * time.Second)
				for i := range 4 {
					if b.workers.Busy(i) {
						b.workers.Drain(i, 2*time.Second)
						time.AfterFunc(2200*time.Millisecond, func() { b.workers.Leave(i) })
						break
					}
				}
				b.sleep(9 * time.Second)
				b.wantState(j, workload.Completed)
			})
		})
	}
}

// Guards against capacities of workers that are no longer listed, and against
// capacities of smaller workers beside larger ones.
func TestCapacities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 2)
		capacities := func() map[string][]workload.Resources {
			_, owner := b.vms[0].elector.Owner()
			return owner.MaximalCapacities()
		}
		if got := capacities()["service"]; len(got) != 1 || got[0] != workerCapacity {
			t.Errorf("capacities of equal workers: %v", got)
		}
		larger := workerCapacity
		larger.MilliCPU *= 2
		entry, err := json.Marshal(fleet.WorkerEntry{ID: "large", Incarnation: 1, Service: "service", Address: "large:1", Capacity: larger})
		if err != nil {
			t.Fatal(err)
		}
		b.createKey(fleettest.WorkerPrefix+"large", entry)
		b.sleep(2 * time.Second)
		if got := capacities()["service"]; len(got) != 1 || got[0] != larger {
			t.Errorf("capacities with a larger worker: %v", got)
		}
		if _, err := b.store.Commit(t.Context(), platform.Txn{Deletes: []string{fleettest.WorkerPrefix + "large"}}); err != nil {
			t.Fatal(err)
		}
		b.sleep(2 * time.Second)
		if got := capacities()["service"]; len(got) != 1 || got[0] != workerCapacity {
			t.Errorf("capacities after it has left: %v", got)
		}
	})
}
