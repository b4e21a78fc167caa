package fleet_test

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/internal/processusage"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/fleet"
	"github.com/carawayusher/carawayusher/pkg/fleet/fleettest"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// linesWith returns the log lines that contain all of the given texts.
func (b *testbed) linesWith(texts ...string) []string {
	b.logLock.Lock()
	defer b.logLock.Unlock()
	var found []string
	for _, line := range b.logLines {
		n := 0
		for _, text := range texts {
			if strings.Contains(line, text) {
				n++
			}
		}
		if n == len(texts) {
			found = append(found, line)
		}
	}
	return found
}

// wantLine fails the test unless a log line contains all of the given texts.
func (b *testbed) wantLine(texts ...string) {
	b.t.Helper()
	if len(b.linesWith(texts...)) == 0 {
		b.t.Errorf("no log line with %q; lines about standing jobs:\n%s", texts, strings.Join(b.linesWith("standing"), "\n"))
	}
}

// refusingStore refuses writes of job progress while refusing is set.
type refusingStore struct {
	platform.Transactor
	refusing atomic.Bool
}

func (s *refusingStore) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	for _, w := range txn.Writes {
		if s.refusing.Load() && strings.HasPrefix(w.Key, fleet.ProgressPrefix) {
			return platform.TxnResult{}, errkind.New(errkind.Overloaded, "progress is refused")
		}
	}
	return s.Transactor.Commit(ctx, txn)
}

// setAllUnreachable makes workers 0 to n-1 unreachable or reachable again.
func (b *testbed) setAllUnreachable(n int, unreachable bool) {
	for i := range n {
		b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = unreachable })
	}
}

// Guards against a job that stands without a log line that says why.
func TestStandingJobNamesItsReason(t *testing.T) {
	long := func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 20 * time.Second} }
	tests := map[string]struct {
		stand func(b *testbed, store *refusingStore) *workload.Job // makes a job stand
		want  []string
	}{
		"not_stored": {func(b *testbed, store *refusingStore) *workload.Job {
			store.refusing.Store(true)
			time.AfterFunc(8*time.Second, func() { store.refusing.Store(false) })
			return b.submit(smallStep(2))
		}, []string{`"phase"="planned"`}},
		"no_capacity": {func(b *testbed, _ *refusingStore) *workload.Job {
			b.submit(smallStep(32))
			b.sleep(time.Second)
			return b.submit(smallStep(1))
		}, nil},
		"label": {func(b *testbed, _ *refusingStore) *workload.Job {
			step := smallStep(1)
			step.RequiredLabel = "missing"
			return b.submit(step)
		}, nil},
		"unschedulable": {func(b *testbed, _ *refusingStore) *workload.Job {
			b.setAllUnreachable(4, true)
			time.AfterFunc(10*time.Second, func() { b.setAllUnreachable(4, false) })
			return b.submit(smallStep(1))
		}, []string{`"lastRefusal"="not_sent"`}},
		"former_run": {func(b *testbed, _ *refusingStore) *workload.Job {
			b.workers.SetOutcome(func(_ workload.TaskID, run int64) fleettest.Outcome {
				return fleettest.Outcome{Duration: 2 * time.Second, Fails: run == 1}
			})
			j := b.submit(gangStep(2, 8))
			b.sleep(time.Second)
			for i := range 4 {
				if b.workers.Busy(i) {
					b.workers.Crash(i, 15*time.Second)
					break
				}
			}
			return j
		}, []string{`"phase"="uncertain"`, `"workerState"="unanswered"`, `"gang"=true`}},
		"silent": {func(b *testbed, _ *refusingStore) *workload.Job {
			j := b.submit(smallStep(1))
			b.sleep(time.Second)
			for i := range 4 {
				if b.workers.Busy(i) {
					b.workers.Crash(i, 15*time.Second)
				}
			}
			return j
		}, []string{`"phase"="running"`, `"workerState"="unanswered"`}},
		"adopted": {func(b *testbed, _ *refusingStore) *workload.Job {
			j := b.submit(smallStep(1))
			b.sleep(time.Second)
			b.setAllUnreachable(4, true)
			b.killVM(0)
			b.startVM()
			time.AfterFunc(8*time.Second, func() { b.setAllUnreachable(4, false) })
			return j
		}, []string{`"phase"="uncertain"`, `"workerState"="unanswered"`}},
	}
	for reason, tc := range tests {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 0, 4)
				store := &refusingStore{Transactor: b.store}
				b.adjustOptions = func(o *fleet.Options) { o.Store = store }
				b.startVM()
				b.sleep(time.Second)
				b.workers.SetOutcome(long)
				j := tc.stand(b, store)
				b.sleep(8 * time.Second)
				b.wantLine(append(tc.want, `"job is standing"`, fmt.Sprintf(`"job"=%q`, j.ID), fmt.Sprintf(`"reason"=%q`, reason))...)
				b.wantLine(`"jobs are standing"`, fmt.Sprintf(`%q=1`, reason))
				b.sleep(time.Minute)
				if reason != "label" {
					b.wantState(j, workload.Completed)
				}
			})
		})
	}
}

// Guards against a task of a long-running step that stands unseen, because others of its
// job run.
func TestLongRunningTaskStandsBesideOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 2)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: time.Hour} })
		step := serviceStep(2, 0)
		step.MaxPerWorker = 1
		service := b.submit(step)
		b.sleep(5 * time.Second)
		if lines := b.linesWith("standing"); len(lines) > 0 {
			t.Errorf("both tasks run, but got\n%s", strings.Join(lines, "\n"))
		}
		b.workers.Drain(0, time.Second)
		b.sleep(2 * time.Second)
		b.workers.Leave(0)
		b.sleep(20 * time.Second)
		b.wantState(service, workload.Running)
		b.wantLine(`"job is standing"`, service.ID, `"reason"="limit"`)
		b.cancel(service)
		b.sleep(time.Minute)
	})
}

// Guards against lines about jobs that run, are not due yet, or have ended.
func TestJobsThatMakeProgressDoNotStand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 4)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 4 * time.Second} })
		steps := b.buildJob(smallStep(2))
		after := gangStep(2, 2)
		after.After = []int{0}
		steps.Steps = append(steps.Steps, after)
		b.storeJob(steps)
		scheduled := b.buildJob(smallStep(1))
		scheduled.Schedule = workload.Schedule{Count: 3, FirstUnixMS: time.Now().Add(5 * time.Second).UnixMilli(), Interval: 10 * time.Second}
		b.storeJob(scheduled)
		service := b.submit(serviceStep(2, 0))
		b.sleep(time.Minute)
		b.wantState(steps, workload.Completed)
		b.wantState(scheduled, workload.Completed)
		b.wantState(service, workload.Running)
		if lines := b.linesWith("standing"); len(lines) > 0 {
			t.Errorf("got\n%s", strings.Join(lines, "\n"))
		}
	})
}

// Guards against so many lines about standing jobs that other lines are dropped, and
// against a job that is never named while others stand.
func TestStandingLinesAreBounded(t *testing.T) {
	const jobs, seconds, maxLinesPerSecond = 300, 30, 20
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 1)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 5 * time.Minute} })
		b.submit(smallStep(8))
		b.sleep(time.Second)
		for range jobs {
			b.submit(smallStep(1))
		}
		b.sleep(seconds * time.Second)
		lines := b.linesWith(`"job is standing"`)
		if len(lines) > seconds*maxLinesPerSecond {
			t.Errorf("%d lines in %d s", len(lines), seconds)
		}
		named := map[string]bool{}
		for _, line := range lines {
			named[regexp.MustCompile(`"job"="[^"]*"`).FindString(line)] = true
		}
		if len(named) != jobs {
			t.Errorf("%d of %d jobs are named", len(named), jobs)
		}
		if n := len(b.linesWith(`"jobs are standing"`)); n > seconds {
			t.Errorf("%d summaries in %d s", n, seconds)
		}
	})
}

// Guards against a batch of progress that is retried for long without a line that says
// since when and why.
func TestStuckWriteIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 4)
		store := &refusingStore{Transactor: b.store}
		b.adjustOptions = func(o *fleet.Options) { o.Store = store }
		b.startVM()
		b.sleep(time.Second)
		store.refusing.Store(true)
		b.submit(smallStep(1))
		b.sleep(5 * time.Second)
		b.wantLine(`"job progress is still not stored"`, `"attempts"=6`, "progress is refused")
		b.wantLine(`"jobs are standing"`, `"openWrites"=1`, `"writeError"="overloaded: progress is refused`, `"unstoredJobs"=1`)
		store.refusing.Store(false)
		b.sleep(5 * time.Second)
	})
}

// silentJobsStore is a store whose watches of jobs deliver no events while silent is set.
type silentJobsStore struct {
	platform.Transactor
	silent atomic.Bool
}

func (s *silentJobsStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.PollResult, error) {
	if prefix == fleet.JobPrefix && s.silent.Load() {
		time.Sleep(wait)
		return platform.PollResult{Revision: after}, nil
	}
	return s.Transactor.Poll(ctx, prefix, after, wait)
}

// Guards against a job that the owner learns of late, so that it stands in no line.
func TestLateJobIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 2)
		store := &silentJobsStore{Transactor: b.store}
		b.adjustOptions = func(o *fleet.Options) { o.Store = store }
		b.startVM()
		b.sleep(time.Second)
		early := b.submit(smallStep(1))
		b.sleep(time.Second)
		store.silent.Store(true)
		b.sleep(3 * time.Second) // the open poll ends
		late := b.submit(smallStep(1))
		b.sleep(4 * time.Second)
		store.silent.Store(false)
		b.sleep(5 * time.Second)
		b.wantState(late, workload.Completed)
		b.wantLine(`"job became known late"`, late.ID, `"source"="watch"`)
		if lines := b.linesWith(`"job became known late"`, early.ID); len(lines) > 0 {
			t.Errorf("got %s", lines)
		}
	})
}

// Guards against workers that stop answering in masses without a line that counts them.
func TestSilencedWorkersAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 1, 12)
		b.workers.SetOutcome(func(workload.TaskID, int64) fleettest.Outcome { return fleettest.Outcome{Duration: 8 * time.Second} })
		for range 12 {
			b.submit(gangStep(1, 8))
		}
		b.sleep(3 * time.Second)
		b.setAllUnreachable(1, true)
		b.sleep(4 * time.Second)
		if lines := b.linesWith("many workers have stopped answering"); len(lines) > 0 {
			t.Errorf("one worker is silent, but got %s", lines)
		}
		for i := 1; i < 6; i++ {
			b.workers.UpdateFaults(i, func(f *fleettest.Faults) { f.Unreachable = true })
		}
		b.sleep(4 * time.Second)
		b.wantLine(`"many workers have stopped answering"`, `"service"="service"`, `"workers"=12`)
		b.setAllUnreachable(6, false)
		b.sleep(time.Minute)
	})
}

// Guards against a takeover whose phases cannot be told apart in the logs.
func TestTakeoverReportsItsPhases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 2, 4)
		b.sleep(time.Second)
		for i, v := range b.vms {
			if _, owner := v.elector.Owner(); owner != nil {
				b.killVM(i)
				break
			}
		}
		b.submit(smallStep(1))
		b.sleep(5 * time.Second)
		for _, line := range []string{"took ownership of the fleet", "state loaded from the store", "first placement after the takeover"} {
			phase := b.linesWith(line)
			if len(phase) == 0 || !regexp.MustCompile(`"sinceVacantMS"=\d{1,3}\b`).MatchString(phase[len(phase)-1]) {
				t.Errorf("%s: got %q, want a time since the vacancy below 1 s", line, phase)
			}
		}
	})
}

// Guards against an owner that runs out of descriptors without a line that says so.
func TestOwnerReportsUsageCloseToALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, 0, 1)
		usage := processusage.Usage{OpenFiles: 79, OpenFileLimit: 100, MemoryBytes: 81, MemoryLimit: 100}
		b.adjustOptions = func(o *fleet.Options) { o.ProcessUsage = func() processusage.Usage { return usage } }
		b.startVM()
		b.sleep(15 * time.Second)
		b.wantLine(`"owner health"`, `"openFiles"=79`)
		b.wantLine(`"process is close to a limit"`, `"resource"="memory"`)
		if lines := b.linesWith(`"process is close to a limit"`, "open files"); len(lines) > 0 {
			t.Errorf("got %s", lines)
		}
	})
}
