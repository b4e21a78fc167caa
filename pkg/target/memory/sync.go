package memory

import (
	"context"
	"slices"
	"time"

	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// Bounds of Sync. A full answer (SinceSeq 0) holds all live tasks, but only the
// newest of the ended ones.
const (
	maxSyncWait  = time.Minute
	maxFullEnded = 1024
)

// Sync renews the leases of all live tasks and waits for changes, see
// target.Target. A TTL of zero renews nothing. Leases are renewed when the call
// arrives, not when it is answered.
func (w *Worker) Sync(ctx context.Context, req target.SyncRequest) (target.SyncResponse, error) {
	deadline := time.Now().Add(min(req.MaxWait, maxSyncWait))
	if err := w.enterSync(ctx, req); err != nil {
		return target.SyncResponse{}, err
	}
	if req.Incarnation != w.incarnation {
		req.SinceSeq = 0
	}
	started := w.incarnation
	w.renewAll(req.TTL)
	for {
		wait := time.Until(deadline)
		if w.seq > req.SinceSeq || req.SinceSeq == 0 || wait <= 0 {
			resp := w.changes(req.SinceSeq)
			w.mu.Unlock()
			return resp, nil
		}
		changed := w.changed
		w.mu.Unlock()
		if err := waitFor(ctx, changed, wait); err != nil {
			return target.SyncResponse{}, err
		}
		if err := w.enterSync(ctx, req); err != nil {
			return target.SyncResponse{}, err
		}
		if w.incarnation != started {
			w.mu.Unlock()
			return target.SyncResponse{}, errkind.New(errkind.Unavailable, "worker %s restarted", w.config.ID)
		}
	}
}

// enterSync locks the worker; a caretaker's call neither needs nor raises an epoch.
func (w *Worker) enterSync(ctx context.Context, req target.SyncRequest) error {
	if req.RenewOnly {
		return w.enter(ctx)
	}
	return w.enterEpoch(ctx, req.Epoch)
}

// waitFor waits for a change or the end of the long poll.
func waitFor(ctx context.Context, changed <-chan struct{}, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Unavailable, "the caller gave the call up")
	}
	return nil
}

func (w *Worker) renewAll(ttl time.Duration) {
	if ttl <= 0 {
		return
	}
	for _, t := range w.live {
		w.renew(t, ttl)
	}
}

// changes returns the tasks changed after since, in the order of the changes.
func (w *Worker) changes(since int64) target.SyncResponse {
	resp := target.SyncResponse{
		Incarnation: w.incarnation, Seq: w.seq, Usage: w.usage.report(), Leaving: w.leaving,
	}
	ended := 0
	for e := w.order.Back(); e != nil; e = e.Prev() {
		t := e.Value.(*task)
		if since > 0 && t.seq <= since {
			break
		}
		if t.State.Ended() {
			if ended++; since == 0 && ended > maxFullEnded {
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
