package fleet_test

import (
	"encoding/json"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// heartbeatInterval is the time after which a worker writes its entry again.
const heartbeatInterval = 1500 * time.Millisecond

// putEntry writes a value among the entries of the workers.
func (b *testbed) putEntry(id string, value []byte) {
	b.t.Helper()
	if _, err := b.store.Commit(b.t.Context(), platform.Txn{Writes: []platform.Write{{Key: fleettest.WorkerPrefix + id, Value: value}}}); err != nil {
		b.t.Fatal(err)
	}
}

// oddEntry returns the entry of a worker as another writer has changed it.
func (b *testbed) oddEntry(i int, change func(e *fleet.WorkerEntry)) []byte {
	e := b.workers.Entry(i)
	change(&e)
	value, err := json.Marshal(e)
	if err != nil {
		b.t.Fatal(err)
	}
	return value
}

// Guards against losing or repeating the work of a worker, or not using it any more, after
// another writer has left an entry under its key. The worker writes its own entry again within
// a heartbeat interval.
func TestOddEntryUnderTheKeyOfAWorkerHarmsNothing(t *testing.T) {
	change := func(f func(e *fleet.WorkerEntry)) func(b *testbed, i int) []byte {
		return func(b *testbed, i int) []byte { return b.oddEntry(i, f) }
	}
	tests := map[string]func(b *testbed, i int) []byte{
		"unreadable":  func(*testbed, int) []byte { return []byte("\xff\x00") },
		"later start": change(func(e *fleet.WorkerEntry) { e.Incarnation = math.MaxInt64 }),
		"later start, address of another worker": func(b *testbed, i int) []byte {
			return b.oddEntry(i, func(e *fleet.WorkerEntry) { e.Incarnation, e.Address = math.MaxInt64, b.workers.Entry(1-i).Address })
		},
		"later start, address and machine of none": change(func(e *fleet.WorkerEntry) { e.Incarnation, e.Address, e.Machine = math.MaxInt64, "none:1", "m-none" }),
		"same start, address of another worker": func(b *testbed, i int) []byte {
			return b.oddEntry(i, func(e *fleet.WorkerEntry) { e.Address = b.workers.Entry(1 - i).Address })
		},
		"same start, address and machine of none": change(func(e *fleet.WorkerEntry) { e.Address, e.Machine = "none:1", "m-none" }),
		"earlier start": change(func(e *fleet.WorkerEntry) { e.Incarnation, e.Address = -5, "none:1" }),
	}
	steps := map[string]workload.Step{"gang": gangStep(4, 4), "separate tasks": separate(gangStep(4, 4))}
	for name, odd := range tests {
		for kind, step := range steps {
			for _, takeover := range []bool{false, true} {
				t.Run(name+", "+kind+map[bool]string{true: ", takeover"}[takeover], func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						b := newMachineTestbed(t, 2, 2)
						b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 12 * time.Second} })
						j := b.submit(step)
						b.sleep(2 * time.Second)
						b.putEntry(b.workers.Entry(0).ID, odd(b, 0))
						b.sleep(500 * time.Millisecond)
						if takeover {
							b.killVM(b.ownerIndex())
						}
						b.sleep(heartbeatInterval - 500*time.Millisecond)
						b.workers.Heartbeat(0)
						b.sleep(15 * time.Second)
						b.wantOneStartPerTask(j)
						b.wantState(j, workload.Completed)
						after := b.submit(gangStep(4, 4)) // needs both workers
						b.sleep(20 * time.Second)
						b.wantState(after, workload.Completed)
					})
				})
			}
		}
	}
}

// separate returns the step with tasks that run independently.
func separate(step workload.Step) workload.Step {
	step.Gang = false
	return step
}

// Guards against a worker whose entry describes another process than the one that answers,
// and that gets tasks which only that other process may run: its labels, capacity and service
// are not known until it writes its own entry.
func TestWorkerThatStartedAnewGetsNoTasksBeforeItsEntryIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 1)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 3 * time.Second} })
		step := smallStep(2)
		step.RequiredLabel = "a"
		j := b.submit(step)
		b.sleep(time.Second)
		b.workers.RestartCutOff(0, "b")
		b.sleep(6 * time.Second)
		for i := range step.Tasks {
			if n := b.workers.Starts(workload.TaskID{Job: j.ID, Index: i}); n != 1 {
				t.Errorf("task %d was started %d times, the second time on a worker without its label", i, n)
			}
		}
		b.workers.RestartCutOff(0, "a")
		b.workers.Heartbeat(0)
		b.sleep(20 * time.Second)
		b.wantState(j, workload.Completed)
	})
}

// Guards against an entry of no worker, under a key of its own, that keeps jobs from the
// workers while it is listed, or still counts after its removal.
func TestEntryOfNoWorkerKeepsNoJobFromTheOthers(t *testing.T) {
	const capacity = 1000 // accelerators; more than all workers have
	for _, address := range []string{"none:1", "w00:1"} {
		t.Run(address, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 2, 4)
				b.putEntry("odd", b.oddEntry(0, func(e *fleet.WorkerEntry) {
					e.ID, e.Address, e.Capacity.Accelerators, e.Capacity.MilliCPU = "odd", address, capacity, 8000*capacity
				}))
				b.sleep(time.Second)
				jobs := []*workload.Job{b.submit(smallStep(8)), b.submit(gangStep(2, 8)), b.submit(gangStep(1, 2*8)), b.submit(smallStep(4))}
				d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
				for _, i := range []int{0, 1, 3} {
					b.workers.Accepted(jobs[i].ID)
				}
				b.observe(d, 8*time.Second)
				for _, s := range d.Standstills() {
					t.Error(s)
				}
				for _, i := range []int{0, 1, 3} {
					b.wantState(jobs[i], workload.Completed)
				}
				b.killVM(b.ownerIndex())
				b.sleep(3 * time.Second)
				b.wantState(jobs[2], workload.Queued) // no worker holds it
				if _, err := b.store.Commit(t.Context(), platform.Txn{Deletes: []string{fleettest.WorkerPrefix + "odd"}}); err != nil {
					t.Fatal(err)
				}
				b.sleep(20 * time.Second)
				_, owner := b.vms[b.ownerIndex()].elector.Owner()
				for _, c := range owner.MaximalCapacities()["service"] {
					if c.Accelerators == capacity {
						t.Error("the removed entry still counts")
					}
				}
				b.cancel(jobs[2])
				b.sleep(time.Second)
				b.wantState(jobs[2], workload.Cancelled)
			})
		})
	}
}

// Guards against an owner that starts tasks by a version of the configuration which its own
// VM does not notice.
func TestOwnerTellsItsVMTheConfigVersionOfAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 2)
		var observed atomic.Int64
		b.adjustOptions = func(o *fleet.Options) { o.ObserveConfig = observed.Store }
		b.startVM()
		b.sleep(time.Second)
		j := b.buildJob(smallStep(1))
		j.ConfigVersion = 7
		b.storeJob(j)
		b.sleep(3 * time.Second)
		if n := b.workers.Starts(workload.TaskID{Job: j.ID}); n != 1 || observed.Load() != 7 {
			t.Errorf("%d starts, version %d observed; want 1 and 7", n, observed.Load())
		}
	})
}

// Guards against a start as the first call to a worker that has been idle and has started anew
// as another kind since: its entry still names the labels of before.
func TestIdleWorkerIsAskedBeforeATaskThatNeedsItsLabel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 1)
		step := smallStep(1)
		step.RequiredLabel = "a"
		b.wantState(b.submitAndWait(step, 10*time.Second), workload.Completed)
		b.sleep(4 * time.Second)
		b.workers.RestartCutOff(0, "b")
		b.sleep(2 * time.Second)
		j := b.submit(step)
		b.sleep(6 * time.Second)
		if n := b.workers.Starts(workload.TaskID{Job: j.ID}); n != 0 {
			t.Errorf("the task was started %d times on a worker without its label", n)
		}
		b.workers.RestartCutOff(0, "a")
		b.workers.Heartbeat(0)
		b.sleep(20 * time.Second)
		b.wantState(j, workload.Completed)
	})
}
