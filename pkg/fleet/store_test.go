package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// troubledStore carries out every write, but some answers come late or never.
type troubledStore struct {
	platform.Transactor
	commits   atomic.Int64
	loseEvery int64 // the answers of writes 1, 1+n, 1+2n, ... are lost; 0: none
	delay     time.Duration
}

func (s *troubledStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	n := s.commits.Add(1)
	time.Sleep(s.delay / 2)
	res, err := s.Transactor.Commit(context.WithoutCancel(ctx), txn)
	if s.loseEvery > 0 && n%s.loseEvery == 1%s.loseEvery {
		<-ctx.Done()
		return platform.TxnResult{}, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "answer lost")
	}
	select {
	case <-time.After(s.delay / 2):
		return res, err
	case <-ctx.Done():
		return platform.TxnResult{}, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "too slow")
	}
}

// urgentWork is the run time of the users' urgent tasks.
const urgentWork = 2 * time.Second

// urgentObjective is the users' objective for urgent work: half of its run time
// and 250 ms more than it.
const urgentObjective = urgentWork*3/2 + 250*time.Millisecond

// Guards against waiting for the timeout of a call whose answer was lost, and
// against writing anew what the store already holds.
func TestLostAnswersLeaveUrgentWorkInTime(t *testing.T) {
	for name, loseEvery := range map[string]int64{"every second answer": 2, "every third": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := troubledBench(t, func(s *troubledStore) { s.loseEvery = loseEvery })
				var jobs []*workload.Job
				for range 4 {
					jobs = append(jobs, b.submit(smallStep(2)))
					b.sleep(150 * time.Millisecond)
				}
				b.sleep(urgentObjective - 150*time.Millisecond)
				for _, j := range jobs {
					b.wantState(j, workload.Completed)
				}
			})
		})
	}
}

// Guards against a write that waits for the answer to the write of other jobs:
// in a slow store each change would take two answers.
func TestSlowStoreDelaysEachChangeByOneAnswer(t *testing.T) {
	const delay = 240 * time.Millisecond // 60 times the usual answer, by the users' sites
	synctest.Test(t, func(t *testing.T) {
		b := troubledBench(t, func(s *troubledStore) { s.delay = delay })
		b.submit(smallStep(1)) // lets the timeouts learn
		b.sleep(5 * time.Second)
		var jobs []*workload.Job
		for range 3 {
			jobs = append(jobs, b.submit(smallStep(2)))
			b.sleep(delay / 4)
		}
		const learnEnd = 100 * time.Millisecond // pause between looks while ends are being stored
		b.sleep(urgentWork + 2*delay + learnEnd + 50*time.Millisecond - delay/4)
		for _, j := range jobs {
			b.wantState(j, workload.Completed)
		}
	})
}

// troubledBench is a VM and four workers on a store with faults; tasks take as
// long as urgent ones.
func troubledBench(t *testing.T, faults func(*troubledStore)) *testbed {
	b := newTestbed(t, 0, 4)
	b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: urgentWork} })
	store := &troubledStore{Transactor: b.store}
	b.adjustOptions = func(o *fleet.Options) { o.Store = store }
	b.startVM()
	b.sleep(time.Second)
	faults(store)
	return b
}

// deafStore is a store whose watches of workers bring nothing for a while.
type deafStore struct {
	platform.Transactor
	deaf atomic.Bool
}

func (s *deafStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	if prefix != fleettest.WorkerPrefix || !s.deaf.Load() {
		return s.Transactor.Poll(ctx, prefix, after, wait)
	}
	select {
	case <-time.After(wait):
		return platform.PollResult{Revision: after}, nil
	case <-ctx.Done():
		return platform.PollResult{}, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "no answer")
	}
}

// Guards against starts on workers that leave while the watch of their entries is
// deaf: the store drops its history and watches hear nothing of changes.
func TestDeafWatchOfWorkersIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 16
		b := newTestbed(t, 0, workers)
		store := &deafStore{Transactor: b.store}
		b.adjustOptions = func(o *fleet.Options) { o.Store, o.HeartbeatInterval = store, 1500*time.Millisecond }
		b.startVM()
		b.sleep(3 * time.Second)
		store.deaf.Store(true)
		b.sleep(100 * time.Millisecond)
		for i := range workers - 1 {
			b.workers.Drain(i, time.Minute)
		}
		b.sleep(time.Second)
		b.submit(smallStep(8))
		b.sleep(500 * time.Millisecond)
		for i := range workers - 1 {
			if b.workers.Busy(i) {
				t.Errorf("worker %d has work 1.5 s after its word that it leaves", i)
			}
		}
		store.deaf.Store(false)
		b.sleep(5 * time.Second)
	})
}
