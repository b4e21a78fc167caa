package memory

import (
	"context"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// Limits of Sync. A full response (SinceSeq 0) holds all live tasks, but only the
// newest maxEndedInFullSync ended ones.
const (
	maxSyncWait        = time.Minute
	maxEndedInFullSync = 1024
)

// Sync renews the leases of all live tasks and waits for changes, see
// target.Target. With a TTL of zero it renews no leases. It renews them when the
// call arrives, not when it returns.
func (w *Worker) Sync(ctx context.Context, req target.SyncRequest) (target.SyncResponse, error) {
	deadline := time.Now().Add(min(req.MaxWait, maxSyncWait))
	if err := w.beginSync(ctx, req); err != nil {
		return target.SyncResponse{}, err
	}
	if req.Incarnation != w.incarnation {
		req.SinceSeq = 0
	}
	incarnation := w.incarnation
	w.renewLeases(req.TTL)
	for {
		wait := time.Until(deadline)
		if w.seq > req.SinceSeq || req.SinceSeq == 0 || wait <= 0 {
			resp := w.changesSince(req.SinceSeq)
			w.mu.Unlock()
			return resp, nil
		}
		changed := w.changed
		w.mu.Unlock()
		if err := waitForChange(ctx, changed, wait); err != nil {
			return target.SyncResponse{}, err
		}
		if err := w.beginSync(ctx, req); err != nil {
			return target.SyncResponse{}, err
		}
		if w.incarnation != incarnation {
			w.mu.Unlock()
			return target.SyncResponse{}, errkind.New(errkind.Unavailable, "worker %s restarted", w.config.ID)
		}
	}
}

// beginSync locks the worker for Sync; a RenewOnly call neither checks nor raises
// the epoch.
func (w *Worker) beginSync(ctx context.Context, req target.SyncRequest) error {
	if req.RenewOnly {
		return w.beginCall(ctx)
	}
	return w.beginOwnerCall(ctx, req.Epoch)
}

// waitForChange waits for a change or the end of the long poll; it fails if ctx
// ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Unavailable, "the call was cancelled or timed out")
	}
	return nil
}

func (w *Worker) renewLeases(ttl time.Duration) {
	if ttl <= 0 {
		return
	}
	for _, t := range w.liveTasks {
		w.renewLease(t, ttl)
	}
}

// changesSince returns the tasks that changed after the sequence number since,
// ordered by their newest change; 0 returns all tasks.
func (w *Worker) changesSince(since int64) target.SyncResponse {
	resp := target.SyncResponse{
		Incarnation: w.incarnation, Seq: w.seq, Usage: w.usage.report(), Leaving: w.leaving,
	}
	ended := 0
	for e := w.tasksByChange.Back(); e != nil; e = e.Prev() {
		t := e.Value.(*task)
		if since > 0 && t.seq <= since {
			break
		}
		if t.State.Ended() {
			if ended++; since == 0 && ended > maxEndedInFullSync {
				continue
			}
		}
		status := t.TaskStatus
		if since > 0 {
			status.Meta = nil
		}
		resp.Tasks = append(resp.Tasks, status)
	}
	slices.Reverse(resp.Tasks)
	return resp
}
