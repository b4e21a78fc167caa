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

// Guards against a guarantee that is not met because a job outside its guarantee has
// reserved the capacity.
func TestGuaranteeIsMetOnReservedCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 4)
		class := workload.Class{Priority: 1, Service: "service"}
		b.catalog = &catalog.Catalog{
			Queues:     []catalog.Queue{{Name: "q", Class: class}},
			Workspaces: []catalog.Workspace{{Name: "owed", Guaranteed: workload.Resources{Accelerators: 8}}},
		}
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 20 * time.Second} })
		step := gangStep(3, 8)
		step.Estimate = 20 * time.Second
		b.storeUrgent(step, "")
		b.sleep(500 * time.Millisecond)
		step = gangStep(4, 8)
		step.Estimate = 20 * time.Second
		b.storeUrgent(step, "")
		b.sleep(time.Second)
		step = gangStep(1, 8)
		step.Estimate = 30 * time.Second
		j := b.storeUrgent(step, "owed")
		b.sleep(2700 * time.Millisecond)
		b.wantState(j, workload.Running)
		b.sleep(3 * time.Minute)
	})
}

// storeUrgent stores a job of priority 0 of a workspace.
func (b *testbed) storeUrgent(step workload.Step, workspace string) *workload.Job {
	j := b.buildJob(step)
	j.Class.Priority, j.Workspace = 0, workspace
	b.storeJob(j)
	return j
}

// Guards against a guarantee that is not met because the only workers with the label are
// ejected.
func TestGuaranteeIsMetOnEjectedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 12)
		class := workload.Class{Priority: 1, Service: "service"}
		b.catalog = &catalog.Catalog{
			Queues:     []catalog.Queue{{Name: "q", Class: class}},
			Workspaces: []catalog.Workspace{{Name: "owed", Guaranteed: workload.Resources{Accelerators: 16}}},
		}
		b.startVM()
		b.sleep(time.Second)
		failing := map[string]bool{}
		b.workers.SetOutcome(func(task workload.TaskID, _ int64) fleettest.Outcome {
			if failing[task.Job] {
				return fleettest.Outcome{Duration: 200 * time.Millisecond, Fails: true}
			}
			return fleettest.Outcome{Duration: 20 * time.Second}
		})
		for _, rack := range []string{"r1", "r2"} {
			step := gangStep(4, 8)
			step.RequiredLabel = rack
			b.submit(step)
		}
		for range 2 {
			step := smallStep(4)
			step.RequiredLabel, step.MaxPerWorker = "r0", 1
			j := b.buildJob(step)
			failing[j.ID] = true
			b.storeJob(j)
		}
		b.sleep(time.Second)
		_, owner := b.vms[0].elector.Owner()
		if n := len(owner.EjectedWorkers()); n != 4 {
			t.Fatalf("%d workers are ejected, want 4", n)
		}
		step := gangStep(2, 8)
		step.RequiredLabel = "r0"
		j := b.storeUrgent(step, "owed")
		b.sleep(2700 * time.Millisecond)
		b.wantState(j, workload.Running)
		b.sleep(3 * time.Minute)
	})
}

// Guards against a guarantee that is not met because urgent work of other workspaces, beyond
// their own guarantees, fills the service; and against stopping more of it than was borrowed.
func TestGuaranteeIsMetByUrgentWorkThatBorrows(t *testing.T) {
	tests := map[string]struct {
		urgent, lesser int // jobs of the other workspace and jobs of priority 1, one worker each
		stopped        int // of the urgent jobs
		bound          time.Duration
	}{
		"service full of borrowed capacity": {urgent: 4, stopped: 1},
		"lesser work is stopped first":      {urgent: 3, lesser: 1},
		"borrowed capacity, with a bound":   {urgent: 4, stopped: 1, bound: reclaimBound},
		"lesser work first, with a bound":   {urgent: 3, lesser: 1, bound: reclaimBound},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 4)
				b.adjustOptions = func(o *fleet.Options) { o.ReclaimBound = tc.bound }
				b.catalog = &catalog.Catalog{
					Queues:     []catalog.Queue{{Name: "q", Class: workload.Class{Priority: 1, Service: "service"}}},
					Workspaces: []catalog.Workspace{{Name: "owed", Guaranteed: workload.Resources{Accelerators: 8}}, {Name: "borrower", Guaranteed: workload.Resources{Accelerators: 8}}},
				}
				b.startVM()
				b.sleep(time.Second)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 20 * time.Second} })
				step := gangStep(1, 8)
				step.Estimate = 20 * time.Second
				var borrowed []*workload.Job
				for range tc.urgent {
					borrowed = append(borrowed, b.storeUrgent(step, "borrower"))
				}
				for range tc.lesser {
					b.submit(step)
				}
				b.sleep(5 * time.Second)
				j := b.storeUrgent(step, "owed")
				b.sleep(2700 * time.Millisecond)
				if n := b.workers.Starts(workload.TaskID{Job: j.ID}); n != 1 {
					t.Errorf("the job within its guarantee was started %d times after 2.7 s", n)
				}
				b.sleep(10 * time.Second)
				stopped := 0
				for _, other := range borrowed {
					if !b.workers.Runs(workload.TaskID{Job: other.ID}) {
						stopped++
					}
				}
				if stopped != tc.stopped {
					t.Errorf("%d urgent jobs of the other workspace were stopped, want %d", stopped, tc.stopped)
				}
				b.sleep(3 * time.Minute)
			})
		})
	}
}
