package domain

import (
	"context"
	"math"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// conn returns the connection to the task's worker, whose address may change.
func (d *Domain) conn(t *task) target.Target { return d.workerConn(t.worker) }

func (d *Domain) workerConn(w *worker) target.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return w.conn
}

// fence ensures that the allocation's task cannot start any more and returns its
// status. sameProcess reports whether the worker process that held the reservation
// answered: a tombstone of a later incarnation proves nothing.
func (d *Domain) fence(w *worker, alloc api.Allocation) (st target.TaskStatus, sameProcess bool, err error) {
	ctx, cancel := context.WithTimeout(d.ctx, d.opts.CallTimeout)
	defer cancel()
	conn := d.workerConn(w)
	st, err = conn.Fence(ctx, alloc.Task, d.opts.Epoch)
	if err != nil || st.Started {
		return st, err == nil, err
	}
	// Incarnations only increase, so an incarnation that is unchanged after the fence
	// was the same during it. The request renews no lease and returns no tasks.
	resp, err := conn.Sync(ctx, target.SyncRequest{
		Epoch: d.opts.Epoch, RenewOnly: true, SinceSeq: math.MaxInt64, Incarnation: alloc.Incarnation,
	})
	return st, resp.Incarnation == alloc.Incarnation, err
}

// resolveStart determines whether a start without an answer took effect. The fence
// ensures that a start that did not take effect never will.
func (d *Domain) resolveStart(a *attempt, t *task) {
	delays := newBackoff()
	for {
		d.mu.Lock()
		w, alloc := t.worker, t.allocation()
		d.mu.Unlock()
		st, sameProcess, err := d.fence(w, alloc)
		if d.applyFenceAnswer(a, t, st, sameProcess, err) || !wait.Sleep(d.ctx, delays.NextBackOff()) {
			return
		}
	}
}

// applyFenceAnswer applies the answer to a fence and reports whether the task is
// resolved.
func (d *Domain) applyFenceAnswer(a *attempt, t *task, st target.TaskStatus, sameProcess bool, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.fenced:
		return true
	case t.finished():
	case err != nil:
		return false
	case !sameProcess:
		t.lost = true
		a.report.Reason = "the worker restarted"
	default:
		st.Accelerators = t.status.Accelerators
		t.status, t.reserved = st, true
	}
	d.advance(a)
	return true
}

// releaseTask retries the release of a task until its worker answers or is gone.
func (d *Domain) releaseTask(t *task) {
	d.retryTaskCall(t, func(ctx context.Context, conn target.Target) error {
		return conn.Release(ctx, t.id, d.opts.Epoch)
	}, func() bool { return t.lost })
}

// retryTaskCall retries a call about a task until it is answered, the worker or the
// task is gone, or this owner is superseded. done is called with the lock held.
func (d *Domain) retryTaskCall(t *task, call func(context.Context, target.Target) error, done func() bool) {
	delays := newBackoff()
	for {
		ctx, cancel := context.WithTimeout(d.ctx, d.opts.CallTimeout)
		err := call(ctx, d.conn(t))
		cancel()
		if err == nil || errkind.Is(err, errkind.NotFound) || errkind.Is(err, errkind.StaleEpoch) {
			return
		}
		d.mu.Lock()
		gone := d.workers[t.worker.id] != t.worker || d.fenced || done()
		d.mu.Unlock()
		if gone || !wait.Sleep(d.ctx, delays.NextBackOff()) {
			return
		}
	}
}

// handleStaleEpoch stops this owner when a target rejects its epoch: from then on the
// tasks belong to the newer owner, and a report about them would be wrong. The
// caller holds the lock.
func (d *Domain) handleStaleEpoch(w *worker, err error) {
	if !errkind.Is(err, errkind.StaleEpoch) || d.fenced {
		return
	}
	d.fenced = true
	d.opts.Log.Info("target rejected the epoch; the failure domain has a newer owner", "worker", w.id, "epoch", d.opts.Epoch)
	if d.opts.OnFenced != nil {
		d.runAsync(d.opts.OnFenced)
	}
}

// endUnknownTasks ends live tasks that this owner does not track, for example one
// whose worker was declared lost and came back. Otherwise each sync would renew their
// leases indefinitely. The caller holds the lock.
func (d *Domain) endUnknownTasks(w *worker, statuses []target.TaskStatus) {
	for _, st := range statuses {
		if t, ok := d.byTask[st.Task]; st.State.Ended() || ok && !t.lost {
			continue
		}
		t := &task{id: st.Task, worker: w}
		d.opts.Log.Info("ending a task that belongs to no tracked attempt", "task", st.Task, "worker", w.id)
		d.runAsync(func() {
			if st.Started {
				d.stopTask(t)
			} else {
				d.releaseTask(t)
			}
		})
	}
}
