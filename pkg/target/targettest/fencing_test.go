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

// newOwner lets an owner with a newer epoch reach the worker.
func newOwner(t *testing.T, w worker) {
	_, err := w.Sync(t.Context(), target.SyncRequest{Epoch: epoch + 1, TTL: ttl})
	wantKind(t, err, "")
}

func TestFencing(t *testing.T) {
	runContract(t, []contractCase{
		{name: "a stale owner acts on a worker that its successor reached", run: func(t *testing.T, w worker) {
			wantKind(t, w.reserve(t, first), "")
			newOwner(t, w)
			ctx := t.Context()
			_, syncErr := w.Sync(ctx, target.SyncRequest{Epoch: epoch, TTL: ttl})
			_, fenceErr := w.Fence(ctx, first, epoch)
			for _, err := range []error{
				w.reserve(t, other), w.start(t, first, ""), syncErr, fenceErr,
				w.Release(ctx, first, epoch), w.Checkpoint(ctx, first, epoch),
				w.Throttle(ctx, first, epoch, 1), w.Stop(ctx, first, epoch),
			} {
				wantKind(t, err, errkind.StaleEpoch)
			}
			w.wantStarts(t)
		}},
		{
			name: "without the epoch check a stale owner's start succeeds", config: memory.Config{IgnoreEpochs: true},
			run: func(t *testing.T, w worker) {
				wantKind(t, w.reserve(t, first), "")
				newOwner(t, w)
				wantKind(t, w.start(t, first, ""), "")
				w.wantStarts(t, first)
			},
		},
		{name: "a stale owner's long poll goes on", run: func(t *testing.T, w worker) {
			seq, begun := w.sync(t, 0, 0).Seq, time.Now()
			var successor sync.WaitGroup
			successor.Go(func() {
				time.Sleep(time.Second)
				newOwner(t, w)
			})
			_, err := w.Sync(t.Context(), target.SyncRequest{
				Epoch: epoch, SinceSeq: seq, Incarnation: w.backend.Incarnation(), MaxWait: 5 * time.Second,
			})
			successor.Wait()
			wantKind(t, err, errkind.StaleEpoch)
			wantEqual(t, "ended by the successor", time.Since(begun), time.Second)
		}},
		{name: "a caretaker takes over or lets leases lapse", run: func(t *testing.T, w worker) {
			w.mustRun(t, first, `{"run":"60s"}`)
			for range 3 {
				time.Sleep(ttl - time.Second)
				_, err := w.Sync(t.Context(), target.SyncRequest{Epoch: epoch - 1, TTL: ttl, RenewOnly: true})
				wantKind(t, err, "")
			}
			_, err := w.Sync(t.Context(), target.SyncRequest{Epoch: epoch + 5, TTL: ttl, RenewOnly: true})
			wantKind(t, err, "")
			wantKind(t, w.reserve(t, other), "") // the owner's epoch still holds
			wantEqual(t, "state", w.status(t, first).State, target.TaskRunning)
		}},
		{name: "a restarted worker runs a start for its predecessor", run: func(t *testing.T, w worker) {
			wantKind(t, w.reserve(t, first), "")
			w.mustRun(t, other, `{"run":"5s"}`)
			seen := w.sync(t, 0, 0)
			old := target.StartRequest{Task: first, Epoch: epoch, Incarnation: w.backend.Incarnation()}
			w.backend.Restart()
			wantKind(t, w.Start(t.Context(), old), errkind.Conflict)
			begun := time.Now()
			resp, err := w.Sync(t.Context(), target.SyncRequest{
				Epoch: epoch, SinceSeq: seen.Seq, Incarnation: seen.Incarnation, MaxWait: ttl,
			})
			wantKind(t, err, "")
			wantEqual(t, "wait for the news of the restart", time.Since(begun), 0)
			wantEqual(t, "new incarnation", resp.Incarnation > seen.Incarnation, true)
			wantEqual(t, "tasks left", len(resp.Tasks), 0)
			wantKind(t, w.start(t, first, ""), errkind.NotFound)
			w.wantStarts(t, other)
		}},
	})
}

// TestFence checks that Fence settles whether a task ever started, whenever it
// arrives, and that a task proved not to have run never runs.
func TestFence(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(t *testing.T, w worker)
		state   target.TaskState
		started bool
	}{
		{"before the reservation", func(*testing.T, worker) {}, target.TaskFenced, false},
		{"before the start", func(t *testing.T, w worker) { wantKind(t, w.reserve(t, first, 1), "") }, target.TaskFenced, false},
		{"after the reservation lapsed", func(t *testing.T, w worker) {
			wantKind(t, w.reserve(t, first, 1), "")
			time.Sleep(ttl)
		}, target.TaskFenced, false},
		{"after the start", func(t *testing.T, w worker) { w.mustRun(t, first, `{"run":"9s"}`) }, target.TaskRunning, true},
		{"after the end", func(t *testing.T, w worker) {
			w.mustRun(t, first, "")
			time.Sleep(time.Second)
		}, target.TaskSucceeded, true},
		{"after a failure", func(t *testing.T, w worker) {
			w.mustRun(t, first, `{"fail":true}`)
			time.Sleep(time.Second)
		}, target.TaskFailed, true},
		{"after the lease of the running task lapsed", func(t *testing.T, w worker) {
			w.mustRun(t, first, `{"run":"1h"}`)
			time.Sleep(ttl)
		}, target.TaskLeaseExpired, true},
	} {
		runContract(t, []contractCase{{name: "fence " + c.name + " does not settle the task", run: func(t *testing.T, w worker) {
			c.prepare(t, w)
			synctest.Wait()
			starts := len(w.backend.Starts().Starts)
			for range 2 { // repeating it changes nothing
				s, err := w.Fence(t.Context(), first, epoch)
				wantKind(t, err, "")
				wantEqual(t, "state", s.State, c.state)
				wantEqual(t, "started", s.Started, c.started)
				wantKind(t, w.Release(t.Context(), first, epoch), "")
			}
			if !c.started {
				wantKind(t, w.start(t, first, ""), errkind.Conflict)
				wantKind(t, w.reserve(t, first, 1), errkind.Conflict)
				wantKind(t, w.reserve(t, other, 1), "") // the place is free
			}
			wantEqual(t, "further starts", len(w.backend.Starts().Starts), starts)
		}}})
	}
}
