package fleet_test

import (
	"context"
	"slices"
	"strings"
	"sync"
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

// countingStore counts the written progress records.
type countingStore struct {
	platform.Transactor
	written atomic.Int64
}

func (s *countingStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	for _, w := range txn.Writes {
		if strings.HasPrefix(w.Key, fleet.ProgressPrefix) {
			s.written.Add(1)
		}
	}
	return s.Transactor.Commit(ctx, txn)
}

// Guards against writing the progress of a job again and again while nothing about it
// changes, which uses up the write rate of the store.
func TestProgressIsWrittenOnlyWhenItChanges(t *testing.T) {
	for name, waiting := range map[string]bool{"fleet without pending work": false, "beside a pending job": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 4)
				store := &countingStore{Transactor: b.store}
				b.adjustOptions = func(o *fleet.Options) { o.Store = store }
				b.startVM()
				b.sleep(time.Second)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 20 * time.Second} })
				j := b.submit(smallStep(4))
				if waiting {
					step := smallStep(1)
					step.RequiredLabel = "other"
					b.submit(step)
				}
				b.sleep(2 * time.Second)
				b.wantState(j, workload.Running)
				before := store.written.Load()
				b.sleep(10 * time.Second)
				if n := store.written.Load() - before; n > 0 {
					t.Errorf("the unchanged progress of a running job was written %d times in 10 s", n)
				}
				b.sleep(10 * time.Second)
				b.wantState(j, workload.Completed)
			})
		})
	}
}

// Guards against new jobs whose assignments wait behind needless writes of many running
// jobs while the store is slow.
func TestRunningJobsDoNotDelayStartsOnASlowStore(t *testing.T) {
	const (
		workers = 150
		running = 600 // jobs of one accelerator, half of the fleet
		delay   = 240 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, workers)
		store := &faultyStore{Transactor: b.store}
		b.adjustOptions = func(o *fleet.Options) { o.Store = store }
		b.startVM()
		b.sleep(time.Second)
		b.workers.SetOutcome(func(task workload.TaskID, _ int64) fleettest.Outcome {
			if task.Job > "0000000000000226" { // submitted after the running ones
				return fleettest.Outcome{Duration: time.Second}
			}
			return fleettest.Outcome{Duration: time.Minute}
		})
		for range running - 50 {
			b.submit(smallStep(1))
		}
		b.sleep(5 * time.Second)
		store.delay = delay
		d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
		for range running / 50 {
			b.workers.Accepted(b.submit(smallStep(1)).ID)
			b.observe(d, time.Second)
		}
		b.observe(d, 5*time.Second)
		for _, s := range d.Standstills() {
			t.Error(s)
		}
		b.sleep(time.Minute)
	})
}

// Guards against a job whose queue needs advice and that never runs again because all the
// workers that may run it have refused or failed a run of it once.
func TestExclusionEndsOnQueuesWithAdvice(t *testing.T) {
	faults := map[string]func(b *testbed){
		"refused as unhealthy": func(b *testbed) {
			for _, i := range []int{6, 7} {
				b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.RefuseOrders = 1 })
			}
		},
		"first two runs fail": func(b *testbed) {
			b.workers.SetOutcome(func(_ workload.TaskID, run int64) fleettest.Outcome {
				return fleettest.Outcome{Duration: 300 * time.Millisecond, Fails: run <= 2}
			})
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 8)
				cloud := fleettest.NewCloud(b.workers, time.Second)
				cloud.AllowedWorkers = []string{"w06", "w07"}
				b.adjustOptions = func(o *fleet.Options) { o.Advice = cloud }
				b.catalog = &catalog.Catalog{Queues: []catalog.Queue{{Name: "q", Class: workload.Class{Service: "service"}, Advice: &workload.AdvicePolicy{TicketTTL: 5 * time.Second}}}}
				b.startVM()
				b.sleep(time.Second)
				fault(b)
				d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
				j := b.buildJob(smallStep(1))
				j.Class.MaxAttempts = 4
				b.storeJob(j)
				b.workers.Accepted(j.ID)
				b.observe(d, 20*time.Second)
				for _, s := range d.Standstills() {
					t.Error(s)
				}
				b.wantState(j, workload.Completed)
			})
		})
	}
}

// Guards against a successor that waits for a start which was sent so long ago that no copy
// of it can still be on its way.
func TestOldUnansweredStartDoesNotHoldUpASuccessor(t *testing.T) {
	for kind, step := range map[string]workload.Step{"separate tasks": smallStep(8), "gang": gangStep(2, 8)} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMachineTestbed(t, 2, 6)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 30 * time.Second} })
				for i := range 6 {
					b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.LoseAnswers = 1 })
				}
				j := b.submit(step)
				b.workers.Accepted(j.ID)
				b.sleep(20 * time.Second)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Second} })
				b.workers.Crash(slices.IndexFunc([]int{0, 1, 2, 3, 4, 5}, b.workers.Busy), 30*time.Second)
				d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
				b.killVM(b.ownerIndex())
				b.observe(d, 20*time.Second)
				for _, s := range d.Standstills() {
					t.Error(s)
				}
			})
		})
	}
}

// pollingClient polls workers all the time, and loses the answers to starts.
type pollingClient struct {
	fleet.WorkerClient
	loseStarts atomic.Bool
	mu         sync.Mutex
	startedOn  map[string][]string // by job: the addresses at which its tasks were started
}

func newPollingClient(c fleet.WorkerClient) *pollingClient {
	return &pollingClient{WorkerClient: c, startedOn: map[string][]string{}}
}

func (c *pollingClient) RenewLease(ctx context.Context, address, instance string, r fleet.RenewLeaseRequest) (fleet.RenewLeaseReply, fleet.Verdict, error) {
	r.MaxWait = min(r.MaxWait, 5*time.Millisecond)
	return c.WorkerClient.RenewLease(ctx, address, instance, r)
}

func (c *pollingClient) Start(ctx context.Context, address, instance string, o fleet.StartOrder) (fleet.OrderReply, error) {
	c.mu.Lock()
	c.startedOn[o.Task.Job] = append(c.startedOn[o.Task.Job], address)
	c.mu.Unlock()
	reply, err := c.WorkerClient.Start(ctx, address, instance, o)
	if c.loseStarts.Load() {
		<-ctx.Done()
		return fleet.OrderReply{Verdict: fleet.Unanswered}, ctx.Err()
	}
	return reply, err
}

// Guards against a successor that waits for a start whose run a poll confirmed before the
// answer to the start was due.
func TestStartConfirmedByAPollDoesNotHoldUpASuccessor(t *testing.T) {
	for kind, step := range map[string]workload.Step{"single task": smallStep(1), "gang": gangStep(2, 4)} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 6)
				cloud := fleettest.NewCloud(b.workers, 2*time.Second)
				client := newPollingClient(b.workers)
				b.adjustOptions = func(o *fleet.Options) { o.Machines, o.Waves, o.Workers = cloud, cloud, client }
				b.startVM()
				b.startVM()
				b.sleep(time.Second)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 40 * time.Second} })
				busy := smallStep(6) // keeps all workers polled
				busy.MaxPerWorker = 1
				b.submit(busy)
				b.sleep(2 * time.Second)
				client.loseStarts.Store(true)
				j := b.submit(step)
				b.workers.Accepted(j.ID)
				b.sleep(20 * time.Second)
				client.loseStarts.Store(false)
				b.wantState(j, workload.Running)
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Second} })
				b.workers.Crash(slices.IndexFunc([]string{"w00:1", "w01:1", "w02:1", "w03:1", "w04:1", "w05:1"}, func(a string) bool { return slices.Contains(client.startedOn[j.ID], a) }), 30*time.Second)
				d := b.workers.NewStandstillDetector(fleettest.StandstillThreshold)
				b.killVM(b.ownerIndex())
				b.observe(d, 20*time.Second)
				for _, s := range d.Standstills() {
					t.Error(s)
				}
			})
		})
	}
}
