package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// wideStep is a step of the large site: separate tasks with one accelerator each.
func wideStep(tasks int) workload.Step {
	step := smallStep(tasks)
	step.Request = workload.Resources{MilliCPU: 11_000, MemoryMiB: 46_000, Accelerators: 1}
	return step
}

// Guards against failing jobs that keep all workers of a large fleet from other jobs.
func TestFailingJobsAtLargeSiteLeaveWorkersToOthers(t *testing.T) {
	const (
		workers     = 1100
		maxAttempts = 2
	)
	tests := map[string]struct {
		step    workload.Step
		failing int
		workers int // that fail all they start
	}{
		"wide jobs":                        {wideStep(78), 192, 0},
		"wide jobs beside failing workers": {wideStep(78), 192, 94},
		"gangs beside failing workers":     {gangStep(26, 8), 192, 94},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &testbed{t: t, started: time.Now(), store: memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1, History: 40_000})}
				b.workers = fleettest.New(b.store, workers, sitePerRack, siteCapacity)
				b.startVM()
				b.sleep(time.Second)
				for n := range test.workers {
					b.workers.UpdateFaults(n*workers/test.workers, func(f *fleettest.Faults) { f.FailAll = true })
				}
				hopeless := map[string]bool{}
				b.workers.SetOutcome(func(task workload.TaskID, _ int64) fleettest.Outcome {
					return fleettest.Outcome{Duration: 300*time.Millisecond + time.Duration(task.Index)*time.Millisecond, Fails: hopeless[task.Job]}
				})
				d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
				for range test.failing {
					j := b.buildJob(test.step)
					j.Class.MaxAttempts = maxAttempts
					hopeless[j.ID] = true
					b.storeJob(j)
				}
				_, owner := b.vms[0].elector.Owner()
				most := 0
				for n := range 40 {
					b.observe(d, observationInterval)
					if n%5 == 4 {
						b.workers.Accepted(b.submit(smallStep(4)).ID)
						b.workers.Accepted(b.submit(gangStep(8, 8)).ID)
					}
					most = max(most, len(owner.EjectedWorkers()))
				}
				b.observe(d, 10*time.Second)
				if most > workers/3 {
					t.Errorf("%d of %d workers were ejected at a time", most, workers)
				}
				for _, s := range d.Standstills() {
					t.Error(s)
				}
				b.killVM(0)
				time.Sleep(time.Minute) // lets the emulator's timers expire
			})
		})
	}
}

// Guards against workers that fail all they start using up the attempts of sound jobs: such
// a worker is ejected once two jobs have failed on it.
func TestWorkersThatFailAllAreEjected(t *testing.T) {
	const (
		workers, perRack = 48, 8
		jobs             = 60
		// maxStarts bounds the additional starts of tasks: two jobs on each such worker,
		// with a task on each of its accelerators or gangs of eight.
		maxStarts = 4 * 2 * 8
	)
	failing := []int{3, 14, 26, 40}
	tests := map[string]workload.Step{"separate tasks": smallStep(16), "gangs": gangStep(8, 8), "single tasks": smallStep(1)}
	for name, step := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &testbed{t: t, started: time.Now(), store: memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})}
				b.workers = fleettest.New(b.store, workers, perRack, workerCapacity)
				b.startVM()
				b.sleep(time.Second)
				for _, i := range failing {
					b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.FailAll = true })
				}
				var submitted []*workload.Job
				for range jobs {
					submitted = append(submitted, b.submit(step))
					b.sleep(300 * time.Millisecond)
				}
				b.sleep(10 * time.Second)
				repeated := 0
				for _, j := range submitted {
					b.wantState(j, workload.Completed)
					for i := range j.Steps[0].Tasks {
						repeated += b.workers.Starts(workload.TaskID{Job: j.ID, Index: i}) - 1
					}
				}
				if repeated > maxStarts {
					t.Errorf("%d additional starts, want at most %d", repeated, maxStarts)
				}
				b.killVM(0)
				time.Sleep(time.Minute) // lets the emulator's timers expire
			})
		})
	}
}

// Guards against gangs being taken for the cause of their failures, so that workers that fail
// all they start are not found out: each run of a gang meets another such worker.
func TestFailedGangsCountAgainstWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &testbed{t: t, started: time.Now(), store: memory.NewStore(memory.Options{WritesPerSecond: -1, ReadsPerSecond: -1})}
		b.workers = fleettest.New(b.store, 16, 4, workerCapacity)
		b.startVM()
		b.sleep(time.Second)
		for _, i := range []int{1, 6, 11} {
			b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.FailAll = true })
		}
		for range 4 {
			j := b.buildJob(gangStep(15, 8))
			j.Class.MaxAttempts = 2
			b.storeJob(j)
			b.sleep(500 * time.Millisecond)
		}
		_, owner := b.vms[0].elector.Owner()
		if n := len(owner.EjectedWorkers()); n == 0 {
			t.Error("no worker is ejected after gangs failed on three of them")
		}
		b.killVM(0)
		time.Sleep(time.Minute) // lets the emulator's timers expire
	})
}
