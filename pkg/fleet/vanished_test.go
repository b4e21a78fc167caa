package fleet_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// newMachineTestbed returns a testbed whose VMs can read the list of machines.
func newMachineTestbed(t *testing.T, vms, workers int) *testbed {
	b := newTestbed(t, 0, workers)
	cloud := fleettest.NewCloud(b.workers, 2*time.Second)
	b.adjustOptions = func(o *fleet.Options) { o.Machines, o.Waves = cloud, cloud }
	for range vms {
		b.startVM()
	}
	b.sleep(time.Second)
	return b
}

// Guards against waiting for the lease of a worker whose machine is down or missing
// in the platform's list, and against abandoning the runs of a worker that only does
// not answer: the emulator then reports a second run of a task.
func TestWorkOfEndedMachineRunsElsewhereAtOnce(t *testing.T) {
	tests := map[string]struct {
		fault func(b *testbed, i int)
		early bool // the tasks run elsewhere before the lease expires
	}{
		"crashed":     {func(b *testbed, i int) { b.workers.Crash(i, 20*time.Second) }, true},
		"gone":        {func(b *testbed, i int) { b.workers.Leave(i) }, true},
		"restarted":   {func(b *testbed, i int) { b.workers.Crash(i, 700*time.Millisecond) }, true},
		"unreachable": {func(b *testbed, i int) { b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = true }) }, false},
	}
	for name, tc := range tests {
		for kind, step := range map[string]workload.Step{"separate tasks": smallStep(16), "gang": gangStep(2, 8)} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newMachineTestbed(t, 1, 4)
					b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 3 * time.Second} })
					j := b.submit(step)
					b.sleep(2 * time.Second)
					for i := range 4 {
						if b.workers.Busy(i) {
							tc.fault(b, i)
							break
						}
					}
					b.sleep(8 * time.Second)
					if tc.early {
						b.wantState(j, workload.Completed)
					}
					b.sleep(12 * time.Second)
					b.wantState(j, workload.Completed)
				})
			})
		}
	}
}

// Guards against a successor that waits for a lease, or for an unanswered start, of a worker
// whose machine was down or gone when it took over.
func TestWorkLostBeforeTakeoverRunsElsewhereAtOnce(t *testing.T) {
	tests := map[string]func(b *testbed, i int){
		"crashed": func(b *testbed, i int) { b.workers.Crash(i, 30*time.Second) },
		"gone":    func(b *testbed, i int) { b.workers.Leave(i) },
	}
	for name, fault := range tests {
		for kind, step := range map[string]workload.Step{"separate tasks": smallStep(8), "gang": gangStep(2, 8)} {
			for _, takeovers := range []time.Duration{1, 2} {
				t.Run(fmt.Sprintf("%s, %s, %d takeovers", name, kind, takeovers), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						b := newMachineTestbed(t, 1+int(takeovers), 6)
						b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 6 * time.Second} })
						j := b.submit(step)
						b.workers.Accepted(j.ID)
						b.sleep(2 * time.Second)
						fault(b, slices.IndexFunc([]int{0, 1, 2, 3, 4, 5}, b.workers.Busy))
						d := b.workers.NewStandstillDetector(takeovers * fleettest.StandstillThreshold)
						for range takeovers {
							b.killVM(b.ownerIndex())
							b.observe(d, 1500*time.Millisecond)
						}
						b.observe(d, 20*time.Second)
						for _, s := range d.Standstills() {
							t.Error(s)
						}
						b.wantState(j, workload.Completed)
					})
				})
			}
		}
	}
}

// Guards against waiting for a longer lease than the workers grant: runs of an
// unreachable worker are abandoned after MaxWorkerLease.
func TestSilentWorkerLapsesByTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 2)
		b.adjustOptions = func(o *fleet.Options) { o.MaxWorkerLease = 6 * time.Second }
		b.startVM()
		b.sleep(20 * time.Second) // a lease renewed by a former owner would have expired
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 2 * time.Second} })
		j := b.submit(gangStep(1, 8))
		b.sleep(time.Second)
		for i := range 2 {
			if b.workers.Busy(i) {
				b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = true })
			}
		}
		b.sleep(9 * time.Second) // lease, detection of the missing answer, and a run
		b.wantState(j, workload.Completed)
	})
}

// incompleteMachineList lists all machines but one.
type incompleteMachineList struct {
	fleet.MachineClient
	omitted string
}

func (l incompleteMachineList) Machines(ctx context.Context) ([]fleet.Machine, error) {
	list, err := l.MachineClient.Machines(ctx)
	return slices.DeleteFunc(list, func(m fleet.Machine) bool { return m.ID == l.omitted }), err
}

// Guards against a second run of the tasks of a worker that answers, while lists of the
// machines omit its machine and another worker is cut off.
func TestMachineMissingInListsKeepsRunsOfAnsweringWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 8)
		cloud := fleettest.NewCloud(b.workers, 2*time.Second)
		b.adjustOptions = func(o *fleet.Options) {
			o.Machines, o.Waves = incompleteMachineList{cloud, "m-w00"}, cloud
		}
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 12 * time.Second} })
		step := smallStep(16)
		step.MaxPerWorker = 4
		j := b.submit(step)
		b.sleep(2 * time.Second)
		if !b.workers.Busy(0) || !b.workers.Busy(1) {
			t.Fatal("the workers are not busy")
		}
		b.workers.UpdateFaults(1, func(f *fleettest.Faults) { f.Unreachable = true })
		b.sleep(40 * time.Second)
		b.wantState(j, workload.Completed)
	})
}

// partialMachineList omits a machine from some lists.
type partialMachineList struct {
	fleet.MachineClient
	omitted string
	partial atomic.Int64 // number of next lists that omit it
}

func (l *partialMachineList) Machines(ctx context.Context) ([]fleet.Machine, error) {
	if l.partial.Load() > 0 {
		l.partial.Add(-1)
		return incompleteMachineList{l.MachineClient, l.omitted}.Machines(ctx)
	}
	return l.MachineClient.Machines(ctx)
}

// Guards against a second run of the tasks of a silent worker because single lists of the
// machines, long apart, omit its machine.
func TestMachineMissingInListsLongApartKeepsRunsOfSilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 6)
		cloud := fleettest.NewCloud(b.workers, 2*time.Second)
		list := &partialMachineList{MachineClient: cloud, omitted: "m-w00"}
		b.adjustOptions = func(o *fleet.Options) { o.Machines, o.Waves = list, cloud }
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 15 * time.Second} })
		onEach := smallStep(4)
		onEach.MaxPerWorker = 1
		j := b.submit(onEach)
		b.sleep(time.Second)
		list.partial.Store(1)
		b.workers.UpdateFaults(0, func(f *fleettest.Faults) { f.LoseAnswers = 3 })
		b.submit(onEach)
		b.sleep(3 * time.Second)
		if n := list.partial.Load(); n > 0 {
			t.Fatal("the machines were not listed while the start was unanswered")
		}
		list.partial.Store(1)
		b.workers.UpdateFaults(0, func(f *fleettest.Faults) { f.Unreachable = true })
		b.sleep(40 * time.Second)
		b.wantState(j, workload.Completed)
	})
}

// delayedStartClient delays the first start at an address on its way.
type delayedStartClient struct {
	fleet.WorkerClient
	address string
	delay   time.Duration
	done    atomic.Bool
}

func (c *delayedStartClient) Start(ctx context.Context, address, instance string, o fleet.StartOrder) (fleet.OrderReply, error) {
	if address != c.address || c.done.Swap(true) {
		return c.WorkerClient.Start(ctx, address, instance, o)
	}
	time.AfterFunc(c.delay, func() {
		_, _ = c.WorkerClient.Start(context.Background(), address, instance, o)
	})
	<-ctx.Done()
	return fleet.OrderReply{Verdict: fleet.Unanswered}, ctx.Err()
}

// Guards against a second run of a task whose only start was on its way when its gang was
// stopped: it reaches the next process of a worker that crashed.
func TestStartOnItsWayWhenItsGangIsStoppedIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 4)
		cloud := fleettest.NewCloud(b.workers, 2*time.Second)
		client := &delayedStartClient{WorkerClient: b.workers, address: "w01:1", delay: 6 * time.Second}
		b.adjustOptions = func(o *fleet.Options) { o.Machines, o.Waves, o.Workers = cloud, cloud, client }
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 20 * time.Second} })
		b.workers.UpdateFaults(0, func(f *fleettest.Faults) { f.RefuseOrders = 1 })
		j := b.submit(gangStep(2, 8))
		b.sleep(25 * time.Millisecond)
		b.workers.Crash(1, 4*time.Second)
		b.sleep(time.Minute)
		b.wantState(j, workload.Completed)
	})
}

// slowMachineList takes long to list the machines, and does not answer at first.
type slowMachineList struct {
	fleet.MachineClient
	unanswered atomic.Int64 // number of next calls that are not answered
	delay      time.Duration
}

func (l *slowMachineList) Machines(ctx context.Context) ([]fleet.Machine, error) {
	const callTimeout = time.Second // of the platform's client, for each page
	if l.unanswered.Add(-1) >= 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, errkind.Wrap(ctx.Err(), errkind.Unavailable, "no answer")
	}
	time.Sleep(l.delay)
	return l.MachineClient.Machines(ctx)
}

// Guards against a pause of many seconds after a list of the machines that was slow or not
// answered: jobs with runs on crashed workers wait for the next list.
func TestSlowMachineListDoesNotHoldUpLostWork(t *testing.T) {
	const (
		detection  = 2700 * time.Millisecond // the longest poll
		listBound  = time.Second
		pauseBound = 2 * time.Second
	)
	tests := map[string]*slowMachineList{"one list unanswered": {}, "slow lists": {delay: 800 * time.Millisecond}}
	for name, list := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 8)
				cloud := fleettest.NewCloud(b.workers, 2*time.Second)
				list.MachineClient = cloud
				b.adjustOptions = func(o *fleet.Options) { o.Machines, o.Waves = list, cloud }
				b.startVM()
				b.sleep(time.Second)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 12 * time.Second} })
				jobs := []*workload.Job{b.submit(gangStep(2, 8)), b.submit(gangStep(2, 8))}
				b.sleep(2 * time.Second)
				list.unanswered.Store(map[bool]int64{true: 1}[list.delay == 0])
				d := b.workers.NewStandstillDetector(detection + pauseBound + listBound)
				for n, j := range jobs {
					b.workers.Accepted(j.ID)
					b.workers.Crash(slices.IndexFunc([]int{0, 1, 2, 3, 4, 5, 6, 7}, b.workers.Busy), 30*time.Second)
					b.observe(d, time.Duration(n+1)*detection+listBound)
				}
				b.observe(d, 20*time.Second)
				for _, s := range d.Standstills() {
					t.Error(s)
				}
			})
		})
	}
}

// lateMachineList takes a time to list the machines, as a busy owner does.
type lateMachineList struct {
	fleet.MachineClient
	delay time.Duration
}

func (m lateMachineList) Machines(ctx context.Context) ([]fleet.Machine, error) {
	select {
	case <-time.After(m.delay):
		return m.MachineClient.Machines(ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against gangs that wait for the lease of a worker that is gone because the list
// of machines takes long to be read.
func TestSuccessorThatReadsMachineListSlowlyLeavesNoJobStanding(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 6)
				cloud := fleettest.NewCloud(b.workers, 2*time.Second)
				b.adjustOptions = func(o *fleet.Options) { o.Machines, o.Waves = lateMachineList{cloud, delay}, cloud }
				for range 2 {
					b.startVM()
				}
				b.sleep(time.Second)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 8 * time.Second} })
				j := b.submit(gangStep(2, 8))
				b.workers.Accepted(j.ID)
				b.sleep(2 * time.Second)
				b.killVM(b.ownerIndex())
				lost := slices.IndexFunc([]int{0, 1, 2, 3, 4, 5}, b.workers.Busy)
				b.workers.Crash(lost, time.Hour)
				time.AfterFunc(2*time.Second, func() { b.workers.Leave(lost) })
				b.sleep(4 * time.Second) // while the machine is disrupted, and the successor reads its first list
				d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
				b.observe(d, 20*time.Second)
				for _, s := range d.Standstills() {
					t.Error(s)
				}
				b.wantState(j, workload.Completed)
			})
		})
	}
}
