package targettest

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/target/memory"
)

// syncAsNewOwner calls the worker as an owner with a newer epoch.
func syncAsNewOwner(t *testing.T, w worker) {
	_, err := w.Sync(t.Context(), target.SyncRequest{Epoch: ownerEpoch + 1, TTL: leaseTTL})
	wantKind(t, err, "")
}

func TestFencing(t *testing.T) {
	runContract(t, []contractCase{
		{name: "a stale owner's call succeeds after its successor called the worker", run: func(t *testing.T, w worker) {
			wantKind(t, w.reserve(t, firstTask), "")
			syncAsNewOwner(t, w)
			ctx := t.Context()
			_, syncErr := w.Sync(ctx, target.SyncRequest{Epoch: ownerEpoch, TTL: leaseTTL})
			_, fenceErr := w.Fence(ctx, firstTask, ownerEpoch)
			for _, err := range []error{
				w.reserve(t, otherTask), w.start(t, firstTask, ""), syncErr, fenceErr,
				w.Release(ctx, firstTask, ownerEpoch), w.Checkpoint(ctx, firstTask, ownerEpoch),
				w.Throttle(ctx, firstTask, ownerEpoch, 1), w.Stop(ctx, firstTask, ownerEpoch),
			} {
				wantKind(t, err, errkind.StaleEpoch)
			}
			w.wantStarts(t)
		}},
		{
			name: "without the epoch check a stale owner's start succeeds", config: memory.Config{IgnoreEpochs: true},
			run: func(t *testing.T, w worker) {
				wantKind(t, w.reserve(t, firstTask), "")
				syncAsNewOwner(t, w)
				wantKind(t, w.start(t, firstTask, ""), "")
				w.wantStarts(t, firstTask)
			},
		},
		{name: "a stale owner's long poll continues after a takeover", run: func(t *testing.T, w worker) {
			seq, begun := w.sync(t, 0, 0).Seq, time.Now()
			var successor sync.WaitGroup
			successor.Go(func() {
				time.Sleep(time.Second)
				syncAsNewOwner(t, w)
			})
			_, err := w.Sync(t.Context(), target.SyncRequest{
				Epoch: ownerEpoch, SinceSeq: seq, Incarnation: w.backend.Incarnation(), MaxWait: 5 * time.Second,
			})
			successor.Wait()
			wantKind(t, err, errkind.StaleEpoch)
			wantEqual(t, "time until the successor's call ended the long poll", time.Since(begun), time.Second)
		}},
		{name: "a caretaker raises the epoch or lets leases expire", run: func(t *testing.T, w worker) {
			w.mustRun(t, firstTask, `{"run":"60s"}`)
			for range 3 {
				time.Sleep(leaseTTL - time.Second)
				_, err := w.Sync(t.Context(), target.SyncRequest{Epoch: ownerEpoch - 1, TTL: leaseTTL, RenewOnly: true})
				wantKind(t, err, "")
			}
			_, err := w.Sync(t.Context(), target.SyncRequest{Epoch: ownerEpoch + 5, TTL: leaseTTL, RenewOnly: true})
			wantKind(t, err, "")
			wantKind(t, w.reserve(t, otherTask), "") // the owner's epoch is still valid
			wantEqual(t, "state", w.status(t, firstTask).State, target.TaskRunning)
		}},
		{name: "a restarted worker accepts a start for its previous incarnation", run: func(t *testing.T, w worker) {
			wantKind(t, w.reserve(t, firstTask), "")
			w.mustRun(t, otherTask, `{"run":"5s"}`)
			seen := w.sync(t, 0, 0)
			old := target.StartRequest{Task: firstTask, Epoch: ownerEpoch, Incarnation: w.backend.Incarnation()}
			w.backend.Restart()
			wantKind(t, w.Start(t.Context(), old), errkind.Conflict)
			begun := time.Now()
			resp, err := w.Sync(t.Context(), target.SyncRequest{
				Epoch: ownerEpoch, SinceSeq: seen.Seq, Incarnation: seen.Incarnation, MaxWait: leaseTTL,
			})
			wantKind(t, err, "")
			wantEqual(t, "wait until the restart is reported", time.Since(begun), 0)
			wantEqual(t, "new incarnation", resp.Incarnation > seen.Incarnation, true)
			wantEqual(t, "tasks left", len(resp.Tasks), 0)
			wantKind(t, w.start(t, firstTask, ""), errkind.NotFound)
			w.wantStarts(t, otherTask)
		}},
	})
}

// TestFence checks that Fence determines whether a task was ever started, at
// whatever time it arrives, and that a task reported as never started can't run
// later.
func TestFence(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(t *testing.T, w worker)
		state   target.TaskState
		started bool
	}{
		{"before the reservation", func(*testing.T, worker) {}, target.TaskFenced, false},
		{"before the start", func(t *testing.T, w worker) { wantKind(t, w.reserve(t, firstTask, 1), "") }, target.TaskFenced, false},
		{"after the reservation expired", func(t *testing.T, w worker) {
			wantKind(t, w.reserve(t, firstTask, 1), "")
			time.Sleep(leaseTTL)
		}, target.TaskFenced, false},
		{"after the start", func(t *testing.T, w worker) { w.mustRun(t, firstTask, `{"run":"9s"}`) }, target.TaskRunning, true},
		{"after the end", func(t *testing.T, w worker) {
			w.mustRun(t, firstTask, "")
			time.Sleep(time.Second)
		}, target.TaskSucceeded, true},
		{"after a failure", func(t *testing.T, w worker) {
			w.mustRun(t, firstTask, `{"fail":true}`)
			time.Sleep(time.Second)
		}, target.TaskFailed, true},
		{"after the lease of the running task expired", func(t *testing.T, w worker) {
			w.mustRun(t, firstTask, `{"run":"1h"}`)
			time.Sleep(leaseTTL)
		}, target.TaskLeaseExpired, true},
	} {
		runContract(t, []contractCase{{name: "fence " + c.name + " reports a wrong state or lets the task start later", run: func(t *testing.T, w worker) {
			c.prepare(t, w)
			synctest.Wait()
			starts := len(w.backend.Starts().Starts)
			for range 2 { // Fence and Release are idempotent
				s, err := w.Fence(t.Context(), firstTask, ownerEpoch)
				wantKind(t, err, "")
				wantEqual(t, "state", s.State, c.state)
				wantEqual(t, "started", s.Started, c.started)
				wantKind(t, w.Release(t.Context(), firstTask, ownerEpoch), "")
			}
			if !c.started {
				wantKind(t, w.start(t, firstTask, ""), errkind.Conflict)
				wantKind(t, w.reserve(t, firstTask, 1), errkind.Conflict)
				wantKind(t, w.reserve(t, otherTask, 1), "") // slot and accelerator are free
			}
			wantEqual(t, "further starts", len(w.backend.Starts().Starts), starts)
		}}})
	}
}
