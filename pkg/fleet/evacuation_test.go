package fleet_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/catalog"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/platform/memory"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

const (
	evacuationPrefix = "evacuate/"
	evacuationBound  = 5 * time.Second
	// promptly is the bound of an evacuation without a fault, far below evacuationBound.
	promptly = 10 * time.Millisecond
)

// evacuationStore is the connection of a VM to the store, with faults of the evacuation keys.
type evacuationStore struct {
	*vmStore
	silent     atomic.Bool // a watch delivers no events
	unreadable atomic.Bool // reads are not served
}

func (s *evacuationStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	if s.unreadable.Load() && prefix == evacuationPrefix {
		return platform.ListResult{}, errkind.New(errkind.QuotaExceeded, "too many reads")
	}
	return s.vmStore.List(ctx, prefix, after, limit)
}

func (s *evacuationStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	if prefix != evacuationPrefix || (!s.silent.Load() && !s.unreadable.Load()) {
		return s.vmStore.Poll(ctx, prefix, after, wait)
	}
	time.Sleep(wait)
	return platform.PollResult{Revision: after}, nil
}

// newEvacuationTestbed returns a testbed with evacuations and each VM's store. Workers w00 to
// w03 are in zone-0, the next four in zone-1 and so on.
func newEvacuationTestbed(t *testing.T, vms, workers int) (*testbed, *[]*evacuationStore) {
	b, stores := newTestbed(t, 0, workers), &[]*evacuationStore{}
	before := b.adjustOptions
	b.adjustOptions = func(o *fleet.Options) {
		if before != nil {
			before(o)
		}
		store := &evacuationStore{vmStore: &vmStore{Transactor: b.store, started: b.started}}
		*stores = append(*stores, store)
		o.Store, o.EvacuationPrefix, o.EvacuationBound = store, evacuationPrefix, evacuationBound
	}
	for range vms {
		b.startVM()
	}
	b.sleep(time.Second)
	return b, stores
}

// evacuate stores the key of a failure domain, in which no task may start from the bound on.
func (b *testbed) evacuate(domain string, bound time.Duration) {
	b.createKey(evacuationPrefix+domain, []byte("{}"))
	b.workers.BeginEvacuation(domain, bound)
}

func (b *testbed) endEvacuation(domain string) {
	b.workers.EndEvacuation(domain)
	if _, err := b.store.Commit(b.t.Context(), platform.Txn{Deletes: []string{evacuationPrefix + domain}}); err != nil {
		b.t.Error(err)
	}
}

// submitFor submits a job every 400 ms with a task for each of eight workers.
func (b *testbed) submitFor(d time.Duration) (jobs []*workload.Job) {
	step := smallStep(8)
	step.MaxPerWorker = 1
	for end := time.Now().Add(d); time.Now().Before(end); b.sleep(400 * time.Millisecond) {
		j := b.buildJob(step)
		jobs = append(jobs, j)
		b.workers.AddJob(j)
		value, err := workload.EncodeJob(j)
		if err != nil {
			b.t.Fatal(err)
		}
		go b.createKey(fleet.JobKey(j.ID), value) // the store may be down
	}
	return jobs
}

// Guards against a start in an evacuated failure domain, and against lost work, under each
// single fault at or after the acknowledgement.
func TestNoTaskStartsInAnEvacuatedDomain(t *testing.T) {
	outage := func(b *testbed, d time.Duration) {
		b.store.UpdateFaults(func(f *memory.Faults) { f.Outage = true })
		time.AfterFunc(d, func() { b.store.UpdateFaults(func(f *memory.Faults) { f.Outage = false }) })
	}
	set := func(flag *atomic.Bool, d time.Duration) {
		flag.Store(true)
		time.AfterFunc(d, func() { flag.Store(false) })
	}
	type action func(b *testbed, owner *evacuationStore)
	evacuate := func(b *testbed, _ *evacuationStore) { b.evacuate("zone-0", promptly) }
	kill := func(b *testbed, _ *evacuationStore) { b.killVM(b.ownerIndex()) }
	cut := func(_ *testbed, owner *evacuationStore) { set(&owner.unreachable, 8*time.Second) }
	tests := map[string]struct {
		at    action // stores the key, with the fault
		after action // half a second later
	}{
		"no fault":            {evacuate, nil},
		"takeover":            {evacuate, kill},
		"killed with the key": {func(b *testbed, _ *evacuationStore) { b.evacuate("zone-0", promptly); kill(b, nil) }, nil},
		"store down after the key": {func(b *testbed, _ *evacuationStore) {
			b.evacuate("zone-0", evacuationBound)
			outage(b, 8*time.Second)
		}, nil},
		"store down in force":    {evacuate, func(b *testbed, _ *evacuationStore) { outage(b, 8*time.Second) }},
		"store down at takeover": {evacuate, func(b *testbed, _ *evacuationStore) { kill(b, nil); outage(b, 4*time.Second) }},
		"slow store": {func(b *testbed, _ *evacuationStore) {
			b.store.UpdateFaults(func(f *memory.Faults) { f.Delay = 400 * time.Millisecond })
			b.evacuate("zone-0", time.Second)
		}, nil},
		"silent watch": {func(b *testbed, owner *evacuationStore) {
			set(&owner.silent, time.Minute)
			b.sleep(time.Second) // a poll that waits would deliver the key
			b.evacuate("zone-0", time.Second)
		}, nil},
		"keys not readable": {func(b *testbed, owner *evacuationStore) {
			set(&owner.unreadable, 10*time.Second)
			b.sleep(time.Second)
			b.evacuate("zone-0", evacuationBound)
		}, nil},
		"owner cut off":          {func(b *testbed, owner *evacuationStore) { cut(b, owner); b.evacuate("zone-0", evacuationBound) }, nil},
		"owner cut off in force": {evacuate, cut},
		"two domains, one halfway": {func(b *testbed, _ *evacuationStore) {
			b.evacuate("zone-0", promptly)
			b.evacuate("zone-1", promptly)
		}, func(b *testbed, _ *evacuationStore) { b.sleep(2 * time.Second); b.endEvacuation("zone-1") }},
		"unanswered starts": {func(b *testbed, _ *evacuationStore) {
			b.silenceDomain(true)
			b.submitAndWait(smallStep(60), 10*time.Millisecond)
			b.evacuate("zone-0", promptly)
		}, func(b *testbed, _ *evacuationStore) { b.sleep(2 * time.Second); b.silenceDomain(false) }},
		"names of no domain beside it": {func(b *testbed, _ *evacuationStore) {
			b.evacuate("", promptly)
			b.evacuate("zone-9", promptly)
			b.evacuate("zone-0", promptly)
		}, nil},
		"a value that is no JSON": {func(b *testbed, _ *evacuationStore) {
			b.createKey(evacuationPrefix+"zone-0", []byte("\xff"))
			b.workers.BeginEvacuation("zone-0", promptly)
		}, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, stores := newEvacuationTestbed(t, 2, 8)
				jobs := b.submitFor(3 * time.Second)
				owner := (*stores)[b.ownerIndex()]
				tc.at(b, owner)
				jobs = append(jobs, b.submitFor(500*time.Millisecond)...)
				if tc.after != nil {
					tc.after(b, owner)
				}
				jobs = append(jobs, b.submitFor(15*time.Second)...)
				b.store.UpdateFaults(func(f *memory.Faults) { f.Delay = 0 })
				b.sleep(15 * time.Second)
				for _, j := range jobs {
					b.wantState(j, workload.Completed)
				}
			})
		})
	}
}

// silenceDomain sets whether calls to the workers of zone-0 are not answered.
func (b *testbed) silenceDomain(silent bool) {
	for i := range 4 {
		b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = silent })
	}
}

// wantLog reports whether a log line holds all the words.
func (b *testbed) wantLog(words ...string) {
	b.t.Helper()
	b.logLock.Lock()
	defer b.logLock.Unlock()
	for _, line := range b.logLines {
		found := 0
		for _, w := range words {
			if strings.Contains(line, w) {
				found++
			}
		}
		if found == len(words) {
			return
		}
	}
	b.t.Errorf("no log line with %q", words)
}

// Guards against an operator who is not told that a key has no effect.
func TestEvacuationWithoutWorkersIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newEvacuationTestbed(t, 1, 8)
		b.evacuate("zone-9", promptly)
		b.evacuate("", promptly)
		b.sleep(time.Second)
		b.wantLog("has no workers", `"domain"="zone-9"`, `["zone-0" "zone-1"]`)
		b.wantLog("names no failure domain")
		b.endEvacuation("zone-9")
		b.sleep(time.Second)
		b.wantLog("evacuation of a failure domain ends", `"domain"="zone-9"`)
	})
}

// Guards against a start in an evacuated failure domain that was queued behind slow orders,
// and against a gang half in the domain that does not start elsewhere at once.
func TestQueuedStartOfAGangIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newEvacuationTestbed(t, 1, 12)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: longRunTime} })
		for i := range 4 {
			b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.LoseAnswers = 100 })
		}
		step := gangStep(8, 2)
		step.MaxPerWorker = 1
		var jobs []*workload.Job
		for range 4 {
			jobs = append(jobs, b.submitAndWait(step, 10*time.Millisecond))
		}
		b.sleep(100 * time.Millisecond)
		b.evacuate("zone-0", promptly)
		b.sleep(300 * time.Millisecond) // the workers' order loops are still busy with the first
		for _, j := range jobs[1:] {    // the starts of the first were sent
			for i := range step.Tasks {
				if !b.workers.Runs(workload.TaskID{Job: j.ID, Index: i}) {
					t.Errorf("member %d of %s does not run", i, j.ID)
				}
			}
		}
	})
}

// longRunTime lets runs outlast a test, with a progress that rises often enough.
const longRunTime = 40 * time.Second

// Guards against long-running tasks that stay in an evacuated failure domain or leave it more
// than MaxUnavailable at a time, against a move while automation is held, and against finite
// work that is stopped.
func TestLongRunningTasksMoveFromAnEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newEvacuationTestbed(t, 1, 8)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: longRunTime} })
		service := serviceStep(8, 1)
		service.MaxPerWorker = 2
		j := b.submit(service)
		gang := gangStep(8, 4) // half of it in each domain
		gang.MaxPerWorker = 1
		finite := b.submit(gang)
		b.sleep(3 * time.Second)
		inDomain := func() (n int) {
			for i := range 4 {
				n += b.workers.RunsOn(i)
			}
			return n - 4 // members of the gang
		}
		if inDomain() == 0 {
			t.Fatal("no task runs in the domain")
		}
		b.createKey(fleet.AutomationHoldKey, []byte(`{"hold":true}`))
		b.sleep(time.Second)
		held := inDomain()
		b.evacuate("zone-0", promptly)
		b.sleep(3 * time.Second)
		if n := inDomain(); n != held {
			t.Errorf("%d tasks run in the domain, %d before, while automation is held", n, held)
		}
		if _, err := b.store.Commit(t.Context(), platform.Txn{Deletes: []string{fleet.AutomationHoldKey}}); err != nil {
			t.Fatal(err)
		}
		b.workers.SetDelay(100 * time.Millisecond) // a move takes longer than the time between two observations
		for range 400 {
			b.sleep(50 * time.Millisecond)
			running := 0
			for i := range service.Tasks {
				if b.workers.Runs(workload.TaskID{Job: j.ID, Index: i}) {
					running++
				}
			}
			if running < service.Tasks-1 {
				t.Fatalf("%d of %d tasks run", running, service.Tasks)
			}
		}
		if n := inDomain(); n != 0 {
			t.Errorf("%d tasks run in the domain after 20 s", n)
		}
		for i := range gang.Tasks {
			if n := b.workers.Starts(workload.TaskID{Job: finite.ID, Index: i}); n != 1 || !b.workers.Runs(workload.TaskID{Job: finite.ID, Index: i}) {
				t.Errorf("member %d of the gang was started %d times, or does not run", i, n)
			}
		}
	})
}

// Guards against a job that is refused as impossible as only an evacuated worker holds it, and
// against capacity of evacuated workers in the decisions about the others.
func TestJobForEvacuatedWorkersWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newEvacuationTestbed(t, 1, 4)
		b.evacuate("zone-0", promptly)
		j := b.submitAndWait(smallStep(1), 5*time.Second)
		b.wantState(j, workload.Queued)
		_, owner := b.vms[0].elector.Owner()
		if c := owner.MaximalCapacities()["service"]; len(c) != 1 || c[0] != workerCapacity {
			t.Errorf("capacities %v", c)
		}
		b.endEvacuation("zone-0")
		b.sleep(2 * time.Second)
		b.wantState(j, workload.Completed)
	})
}

// Guards against a backlog that goes to cold workers at once when they return, and against
// work on a cold worker while others have capacity.
func TestLoadReturnsInSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newEvacuationTestbed(t, 1, 8)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: longRunTime} })
		b.evacuate("zone-0", promptly)
		for i := range 4 {
			b.workers.ReportCold(i, 20*time.Second)
		}
		b.sleep(time.Second)
		b.submit(smallStep(64 + 32)) // twice the size of zone-1 and more
		b.sleep(time.Second)
		b.endEvacuation("zone-0")
		for step := 1; step <= 4; step++ {
			b.sleep(500 * time.Millisecond)
			busy := 0
			for i := range 4 {
				if b.workers.RunsOn(i) > 0 {
					busy++
				}
			}
			if busy != step {
				t.Errorf("%d cold workers are used in step %d", busy, step)
			}
			b.sleep(500 * time.Millisecond)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		b, _ := newEvacuationTestbed(t, 1, 8)
		b.workers.ReportCold(0, 20*time.Second)
		b.sleep(time.Second)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: longRunTime} })
		b.submitAndWait(smallStep(56), 2*time.Second)
		if n := b.workers.RunsOn(0); n != 0 {
			t.Errorf("%d tasks run on the cold worker while others have capacity", n)
		}
		b.submitAndWait(smallStep(1), 2*time.Second)
		if b.workers.RunsOn(0) != 1 {
			t.Error("the cold worker is not used although the others are full")
		}
	})
}

// Guards against a standby machine that is brought into service in an evacuated failure domain.
func TestMachineOfAnEvacuatedDomainIsNotFetched(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		t.Run(fmt.Sprint(evacuated), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 5)
				cloud := fleettest.NewCloud(b.workers, time.Second)
				if _, err := cloud.Move(t.Context(), "m-w00", standbyPool, 0); err != nil {
					t.Fatal(err)
				}
				b.adjustOptions = func(o *fleet.Options) {
					o.Machines, o.Waves, o.EvacuationPrefix, o.EvacuationBound = cloud, cloud, evacuationPrefix, evacuationBound
				}
				b.catalog = &catalog.Catalog{
					Services: []catalog.Service{{Name: standbyPool, Standby: true}, {Name: "service"}},
					Queues:   []catalog.Queue{{Name: "q", Class: workload.Class{Priority: 1, Service: "service"}}},
				}
				b.startVM()
				b.sleep(time.Second)
				if evacuated {
					b.evacuate("zone-0", promptly)
				}
				b.submitAndWait(gangStep(9, 8), 8*time.Second)
				machines, err := cloud.Machines(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				for _, m := range machines {
					if m.ID == "m-w00" && (m.Pool == standbyPool) != evacuated {
						t.Errorf("the machine is in pool %s", m.Pool)
					}
				}
			})
		})
	}
}
