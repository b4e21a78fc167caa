package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// cloudBench is a bench whose VMs can read the list of machines.
func cloudBench(t *testing.T, vms, workers int) *bench {
	b := newBench(t, 0, workers)
	cloud := fleettest.NewCloud(b.workers, 2*time.Second)
	b.change = func(o *fleet.Options) { o.Machines, o.Waves = cloud, cloud }
	for range vms {
		b.startVM()
	}
	b.sleep(time.Second)
	return b
}

// Guards against waiting for the lease of a worker whose machine is down or gone
// by the platform's own list, and against giving up the work of one that is only
// silent: the emulator reports a second run of a task.
func TestWorkOfEndedMachineRunsElsewhereAtOnce(t *testing.T) {
	lose := map[string]struct {
		worker func(b *bench, i int)
		soon   bool // the work runs elsewhere before the lease has run out
	}{
		"crashed":         {func(b *bench, i int) { b.workers.Crash(i, 20*time.Second) }, true},
		"gone":            {func(b *bench, i int) { b.workers.Leave(i) }, true},
		"starts anew":     {func(b *bench, i int) { b.workers.Crash(i, 700*time.Millisecond) }, true},
		"cut off, silent": {func(b *bench, i int) { b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = true }) }, false},
	}
	for name, tc := range lose {
		for kind, step := range map[string]workload.Step{"separate tasks": small(16), "gang": gang(2, 8)} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := cloudBench(t, 1, 4)
					b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 3 * time.Second} })
					j := b.submit(step)
					b.sleep(2 * time.Second)
					for i := range 4 {
						if b.workers.Busy(i) {
							tc.worker(b, i)
							break
						}
					}
					b.sleep(8 * time.Second)
					if tc.soon {
						b.want(j, workload.Completed)
					}
					b.sleep(12 * time.Second)
					b.want(j, workload.Completed)
				})
			})
		}
	}
}

// Guards against waiting for a lease that is longer than the workers grant.
func TestSilentWorkerLapsesByTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 0, 2)
		b.change = func(o *fleet.Options) { o.MaxWorkerLease = 6 * time.Second }
		b.startVM()
		b.sleep(20 * time.Second) // the lease of a former owner, if there was one, has run out
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 2 * time.Second} })
		j := b.submit(gang(1, 8))
		b.sleep(time.Second)
		for i := range 2 {
			if b.workers.Busy(i) {
				b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = true })
			}
		}
		b.sleep(9 * time.Second) // lease, notice of the silence, and a run
		b.want(j, workload.Completed)
	})
}
