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

// fence makes sure that the task of the place does not start any more and
// returns its status. Same says that the worker process that held the
// reservation answered: a tombstone of a later process proves nothing.
func (d *Domain) fence(w *worker, place api.Allocation) (st target.TaskStatus, same bool, err error) {
	ctx, cancel := context.WithTimeout(d.ctx, d.opts.CallTimeout)
	defer cancel()
	conn := d.workerConn(w)
	st, err = conn.Fence(ctx, place.Task, d.opts.Epoch)
	if err != nil || st.Started {
		return st, err == nil, err
	}
	// Incarnations only grow, so one that is the same after the fence was the
	// same during it. The request renews nothing and asks for no task.
	resp, err := conn.Sync(ctx, target.SyncRequest{
		Epoch: d.opts.Epoch, RenewOnly: true, SinceSeq: math.MaxInt64, Incarnation: place.Incarnation,
	})
	return st, resp.Incarnation == place.Incarnation, err
}

// resolveTask finds out whether a start without an answer took effect. Fence
// makes sure that one that did not never will.
func (d *Domain) resolveTask(a *attempt, t *task) {
	pauses := newBackoff()
	for {
		d.mu.Lock()
		w, place := t.worker, t.place()
		d.mu.Unlock()
		st, same, err := d.fence(w, place)
		if d.resolved(a, t, st, same, err) || !wait.Sleep(d.ctx, pauses.NextBackOff()) {
			return
		}
	}
}

// resolved takes the answer to a fence and reports whether the task needs no other.
func (d *Domain) resolved(a *attempt, t *task, st target.TaskStatus, same bool, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.fenced:
		return true
	case t.over():
	case err != nil:
		return false
	case !same:
		t.lost = true
		a.report.Reason = "the worker restarted"
	default:
		st.Accelerators = t.status.Accelerators
		t.status, t.reserved = st, true
	}
	d.advance(a)
	return true
}

// releaseTask fences a task until its worker answers or is gone.
func (d *Domain) releaseTask(t *task) {
	d.repeat(t, func(ctx context.Context, conn target.Target) error {
		return conn.Release(ctx, t.id, d.opts.Epoch)
	}, func() bool { return t.lost })
}

// repeat makes a call about a task until it is answered, the worker or the task
// is gone, or another owner decides. Done is called under the lock.
func (d *Domain) repeat(t *task, call func(context.Context, target.Target) error, done func() bool) {
	pauses := newBackoff()
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
		if gone || !wait.Sleep(d.ctx, pauses.NextBackOff()) {
			return
		}
	}
}

// noteFenced stops this owner when a target refuses its epoch: from then on the
// tasks are the newer owner's, and a report about them would be wrong. The
// caller holds the lock.
func (d *Domain) noteFenced(w *worker, err error) {
	if !errkind.Is(err, errkind.StaleEpoch) || d.fenced {
		return
	}
	d.fenced = true
	d.opts.Log.Info("target knows a newer owner of the failure domain", "worker", w.id, "epoch", d.opts.Epoch)
	if d.opts.OnFenced != nil {
		d.goRun(d.opts.OnFenced)
	}
}

// endStrays ends live tasks that this owner does not follow, for example one
// whose worker was given up and came back. Each sync would renew their leases
// for ever. The caller holds the lock.
func (d *Domain) endStrays(w *worker, statuses []target.TaskStatus) {
	for _, st := range statuses {
		if t, ok := d.byTask[st.Task]; st.State.Ended() || ok && !t.lost {
			continue
		}
		t := &task{id: st.Task, worker: w}
		d.opts.Log.Info("ending a task that no attempt needs", "task", st.Task, "worker", w.id)
		d.goRun(func() {
			if st.Started {
				d.stopTask(t)
			} else {
				d.releaseTask(t)
			}
		})
	}
}
