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

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/storecall"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// faultyStore applies every write, but its answers are delayed or lost.
type faultyStore struct {
	platform.Transactor
	commits   atomic.Int64
	loseEvery int64 // the answers of writes 1, 1+n, 1+2n, ... are lost; 0: none
	delay     time.Duration
}

func (s *faultyStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
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

// urgentRunTime is the run time of the users' urgent tasks.
const urgentRunTime = 2 * time.Second

// urgentObjective is the users' objective for the completion of urgent tasks: their
// run time plus half of it plus 250 ms.
const urgentObjective = urgentRunTime*3/2 + 250*time.Millisecond

// Guards against waiting for the timeout of a store call whose answer was lost, and
// against repeating a write that the store has already applied.
func TestLostAnswersLeaveUrgentWorkInTime(t *testing.T) {
	for name, loseEvery := range map[string]int64{"every second answer": 2, "every third": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFaultyStoreTestbed(t, func(s *faultyStore) { s.loseEvery = loseEvery })
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

// Guards against writing a batch again and again after its answer was lost, on a store that
// gives each change of a transaction a revision of its own.
func TestBatchWithLostAnswersIsNotWrittenForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFaultyStoreTestbed(t, func(s *faultyStore) { s.loseEvery = 2 })
		var jobs []*workload.Job
		for range 6 {
			jobs = append(jobs, b.submit(smallStep(2)))
		}
		b.sleep(urgentObjective)
		for _, j := range jobs {
			b.wantState(j, workload.Completed)
		}
	})
}

// Guards against a write that waits for the answer to the write of other jobs: with
// a slow store each change would then be delayed by two answers.
func TestSlowStoreDelaysEachChangeByOneAnswer(t *testing.T) {
	const delay = 240 * time.Millisecond // 60 times the usual answer time at the users' sites
	synctest.Test(t, func(t *testing.T) {
		b := newFaultyStoreTestbed(t, func(s *faultyStore) { s.delay = delay })
		b.submit(smallStep(1)) // lets the adaptive timeouts adjust to the delay
		b.sleep(5 * time.Second)
		var jobs []*workload.Job
		for range 3 {
			jobs = append(jobs, b.submit(smallStep(2)))
			b.sleep(delay / 4)
		}
		const ackWait = 100 * time.Millisecond // pause between lease renewals while run ends are being stored
		b.sleep(urgentRunTime + 2*delay + ackWait + 50*time.Millisecond - delay/4)
		for _, j := range jobs {
			b.wantState(j, workload.Completed)
		}
	})
}

// newFaultyStoreTestbed returns a testbed of one VM and four workers on a faulty store; tasks
// take as long as urgent ones.
func newFaultyStoreTestbed(t *testing.T, faults func(*faultyStore)) *testbed {
	b := newTestbed(t, 0, 4)
	b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: urgentRunTime} })
	store := &faultyStore{Transactor: b.store}
	b.adjustOptions = func(o *fleet.Options) { o.Store = store }
	b.startVM()
	b.sleep(time.Second)
	faults(store)
	return b
}

// stalledWatchStore is a store whose watches of workers deliver no events while stalled
// is set.
type stalledWatchStore struct {
	platform.Transactor
	stalled atomic.Bool
}

func (s *stalledWatchStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	if prefix != fleettest.WorkerPrefix || !s.stalled.Load() {
		return s.Transactor.Poll(ctx, prefix, after, wait)
	}
	select {
	case <-time.After(wait):
		return platform.PollResult{Revision: after}, nil
	case <-ctx.Done():
		return platform.PollResult{}, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "no answer")
	}
}

// Guards against starts on draining workers while the watch of worker entries delivers
// no events, which happens when the store drops its history. The missing heartbeats
// show that the watch has failed.
func TestDeafWatchOfWorkersIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 16
		b := newTestbed(t, 0, workers)
		store := &stalledWatchStore{Transactor: b.store}
		b.adjustOptions = func(o *fleet.Options) { o.Store, o.HeartbeatInterval = store, 1500*time.Millisecond }
		b.startVM()
		b.sleep(3 * time.Second)
		store.stalled.Store(true)
		b.sleep(100 * time.Millisecond)
		for i := range workers - 1 {
			b.workers.Drain(i, time.Minute)
		}
		b.sleep(time.Second)
		b.submit(smallStep(8))
		b.sleep(500 * time.Millisecond)
		for i := range workers - 1 {
			if b.workers.Busy(i) {
				t.Errorf("worker %d has work 1.5 s after it reported that it drains", i)
			}
		}
		store.stalled.Store(false)
		b.sleep(5 * time.Second)
	})
}

// relistStore makes the watch of jobs start again, with a slow list, when records of ended
// jobs are deleted.
type relistStore struct {
	platform.Transactor
	once     sync.Once
	deletion chan struct{}
	slowed   atomic.Bool
}

func (s *relistStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if slices.ContainsFunc(txn.Deletes, func(key string) bool { return strings.HasPrefix(key, fleet.JobPrefix) }) {
		s.once.Do(func() { close(s.deletion) })
		time.Sleep(5 * time.Millisecond)
	}
	return s.Transactor.Commit(ctx, txn)
}

func (s *relistStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	if prefix != fleet.JobPrefix || s.slowed.Load() {
		return s.Transactor.Poll(ctx, prefix, after, wait)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-s.deletion:
			cancel()
		case <-ctx.Done():
		}
	}()
	res, err := s.Transactor.Poll(ctx, prefix, after, wait)
	select {
	case <-s.deletion:
		return platform.PollResult{}, errkind.New(errkind.Conflict, "the history is gone")
	default:
		return res, err
	}
}

func (s *relistStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	res, err := s.Transactor.List(ctx, prefix, after, limit)
	select {
	case <-s.deletion:
		if prefix == fleet.JobPrefix && !s.slowed.Swap(true) {
			time.Sleep(50 * time.Millisecond)
		}
	default:
	}
	return res, err
}

// Guards against running an ended job again because the jobs are listed while its records
// are deleted.
func TestJobDeletedWhileJobsAreListedDoesNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 2)
		store := &relistStore{Transactor: b.store, deletion: make(chan struct{})}
		b.adjustOptions = func(o *fleet.Options) { o.Store, o.EndedJobRetention = store, time.Second }
		b.startVM()
		b.sleep(time.Second)
		j := b.submit(smallStep(1))
		b.sleep(40 * time.Second)
		if !store.slowed.Load() {
			t.Fatal("the jobs were not listed again")
		}
		if n := b.workers.Starts(workload.TaskID{Job: j.ID}); n != 1 {
			t.Errorf("the task started %d times", n)
		}
	})
}

// Guards against the write of a settled start that delays the end of its job: with a slow
// store the end would wait for a second answer.
func TestSettledStartDoesNotDelayTheEndOfAShortJob(t *testing.T) {
	const (
		delay = 240 * time.Millisecond
		spare = 50 * time.Millisecond
	)
	for runTime := 400 * time.Millisecond; runTime <= 1500*time.Millisecond; runTime += 100 * time.Millisecond {
		t.Run(runTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFaultyStoreTestbed(t, func(s *faultyStore) { s.delay = delay })
				b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: runTime} })
				for range 5 {
					j := b.submit(smallStep(1))
					b.sleep(runTime + 2*delay + spare)
					b.wantState(j, workload.Completed)
					b.sleep(2 * time.Second)
				}
			})
		})
	}
}

// slowLinkStore delivers each page of jobs, progress and workers within pageTime, a part of it
// every partTime.
type slowLinkStore struct {
	platform.Transactor
	pageTime, partTime time.Duration
}

func (s *slowLinkStore) List(ctx context.Context, prefix, after string, limit int) (platform.ListResult, error) {
	if prefix == fleet.OwnerKey {
		return s.Transactor.List(ctx, prefix, after, limit)
	}
	part := storecall.ProgressReader(ctx, strings.NewReader(strings.Repeat("x", int(s.pageTime/s.partTime))))
	for {
		time.Sleep(s.partTime)
		if ctx.Err() != nil {
			return platform.ListResult{}, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "the page did not arrive in time")
		}
		if _, err := part.Read(make([]byte, 1)); err != nil {
			return s.Transactor.List(ctx, prefix, after, limit)
		}
	}
}

// Guards against an owner on a slow link that never loads its state, as it gives up each page
// after a fixed time, and keeps the ownership: nothing is started any more.
func TestOwnerLoadsItsStateOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 2)
		b.adjustOptions = func(o *fleet.Options) {
			o.Store = &slowLinkStore{Transactor: b.store, pageTime: 3 * time.Second, partTime: 500 * time.Millisecond}
		}
		j := b.submit(smallStep(2))
		b.startVM()
		b.sleep(15 * time.Second)
		b.wantState(j, workload.Completed)
	})
}

// Guards against a takeover that has to read the payloads of all jobs that have ended lately, and
// against losing that of a job that still has to run.
func TestPayloadsOfEndedJobsAreNotKept(t *testing.T) {
	const payloadBytes, maxRecordBytes = workload.MaxPayloadBytes, 400
	faults := map[string]func(*vmStore, bool){
		"none":                       func(*vmStore, bool) {},
		"last write is not answered": func(s *vmStore, on bool) { s.loseCommitAnswers.Store(on) },
	}
	for name, setFault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, stores := newPerVMStoreTestbed(t, 2, 2)
				b.workers.SetOutcome(func(task workload.TaskID, _ int64) fleettest.Outcome {
					if task.Step == 0 {
						return fleettest.Outcome{Duration: time.Second}
					}
					return fleettest.Outcome{Duration: 20 * time.Second}
				})
				recordOf := func(j *workload.Job) (*workload.Job, int) {
					entry, err := b.store.Get(t.Context(), fleet.JobKey(j.ID))
					if err != nil {
						t.Fatal(err)
					}
					record, err := workload.DecodeJob(entry.Value)
					if err != nil {
						t.Fatal(err)
					}
					return record, len(entry.Value)
				}
				var ending []*workload.Job
				for range 40 { // more than fit into a transaction
					j := b.buildJob(smallStep(1))
					j.Payload = strings.Repeat("p", payloadBytes)
					b.storeJob(j)
					ending = append(ending, j)
				}
				second := smallStep(1)
				second.After = []int{0}
				running := b.buildJob(smallStep(1))
				running.Payload = strings.Repeat("p", payloadBytes)
				running.Steps = append(running.Steps, second)
				b.storeJob(running)
				owner := b.ownerIndex()
				b.sleep(900 * time.Millisecond)
				setFault((*stores)[owner], true)
				b.sleep(2 * time.Second)
				setFault((*stores)[owner], false)
				b.sleep(3 * time.Second)
				for _, j := range ending {
					b.wantState(j, workload.Completed)
					if record, size := recordOf(j); size > maxRecordBytes || !record.In(j.QueueRef()) {
						t.Errorf("the record of job %s has %d bytes, queue %v", j.ID, size, record.QueueRef())
					}
				}
				if record, _ := recordOf(running); record.Payload != running.Payload {
					t.Errorf("the payload of a running job has %d bytes, want %d", len(record.Payload), payloadBytes)
				}
				b.killVM(b.ownerIndex())
				b.sleep(30 * time.Second)
				for _, j := range append(ending, running) {
					b.wantState(j, workload.Completed)
				}
			})
		})
	}
}
