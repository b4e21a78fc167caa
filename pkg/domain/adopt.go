package domain

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// adoptTask takes over one task found at a target; the caller holds the lock.
func (d *Domain) adoptTask(w *worker, st target.TaskStatus) {
	var meta taskMeta
	if err := json.Unmarshal(st.Meta, &meta); err != nil {
		d.opts.Log.Error(err, "task with unreadable metadata is ended", "task", st.Task, "worker", w.id)
		return
	}
	a := d.adoptAttempt(meta, st)
	if a == nil {
		return
	}
	c := d.adoptCopy(a, meta, st.Task)
	if meta.Index >= len(c.tasks) {
		return
	}
	d.opts.Metrics.adopted.Inc()
	t := c.tasks[meta.Index]
	t.worker, t.status, t.lost = w, st, false
	c.started = c.started || st.Started
	if st.Started {
		a.state = api.StateRunning
		if a.startedAt.IsZero() || st.StartedAt.Before(a.startedAt) {
			a.startedAt = st.StartedAt
		}
		d.sendState(a)
	}
	if a.withdrawn != "" {
		d.stopCopies(a)
	}
	d.advance(a)
}

// adoptAttempt finds or makes the attempt of an adopted task. Targets keep ended
// tasks for a while, so that tasks of several attempts may turn up in any order;
// the latest attempt counts.
func (d *Domain) adoptAttempt(meta taskMeta, st target.TaskStatus) *attempt {
	if st.State.Ended() && !st.Started {
		return nil // a reservation that came to nothing
	}
	a, ok := d.attempts[meta.Offer.Job]
	if ok && a.ended && a.offer.Attempt >= meta.Offer.Attempt {
		return nil
	}
	if ok && a.offer.Attempt > meta.Offer.Attempt {
		return nil
	}
	if ok && a.offer.Attempt < meta.Offer.Attempt {
		if !a.orphan {
			return nil
		}
		d.stopCopies(a)
		d.opts.Scheduler.Ended(time.Now(), a.offer.Job, a.offer.Attempt, sched.EndCancelled, "")
		d.forget(a)
		ok = false
	}
	if !ok {
		a = &attempt{offer: meta.Offer, state: api.StateReserved, orphan: true}
		a.report = a.newReport(d.opts.Name, d.opts.Epoch)
		d.attempts[meta.Offer.Job] = a
	}
	return a
}

// placementKey is the part of a task ID that the tasks of one copy share.
func placementKey(id api.TaskID) string {
	s := string(id)
	return s[:strings.LastIndexByte(s, '.')]
}

// adoptCopy finds or makes the copy of an adopted task and tells the scheduler
// which places are taken.
func (d *Domain) adoptCopy(a *attempt, meta taskMeta, id api.TaskID) *placedCopy {
	key := placementKey(id)
	for _, c := range a.copies {
		if placementKey(c.tasks[0].id) == key {
			return c
		}
	}
	c := &placedCopy{places: meta.Places, hedge: meta.Hedge, adopted: true}
	for i, p := range meta.Places {
		w := d.workers[p.Worker]
		if w == nil {
			w = unlistedWorker(p.Worker) // lost unless it appears
		}
		t := &task{id: api.TaskID(key + "." + itoa(i)), index: i, job: a.offer.Job, copy: c, worker: w, reserved: true}
		t.status = target.TaskStatus{Task: t.id, State: target.TaskReserved, Accelerators: p.Accelerators}
		c.tasks = append(c.tasks, t)
		d.byTask[t.id] = t
	}
	a.copies = append(a.copies, c)
	if err := d.opts.Scheduler.Adopt(time.Now(), schedJob(a.offer), schedPlaces(meta.Places), a.startedAt); err != nil {
		d.opts.Log.Info("adopted job does not fit the scheduler's view", "job", a.offer.Job, "error", err.Error())
	}
	return c
}

func schedPlaces(places []api.Allocation) []sched.Placement {
	out := make([]sched.Placement, len(places))
	for i, p := range places {
		out[i] = sched.Placement{Worker: p.Worker, Accelerators: p.Accelerators}
	}
	return out
}

// checkAdopted completes adopted gangs: once every worker has answered or the
// leases have lapsed, a gang that was reserved but not started is given back,
// and one of which only some tasks started is stopped, so that none runs
// partially.
func (d *Domain) checkAdopted(now time.Time) {
	for _, a := range d.attempts {
		if a.ended || a.placing || len(a.copies) == 0 || !a.copies[0].adopted {
			continue
		}
		d.settleAdopted(a, now)
	}
}

// formerEpoch reports whether an earlier owner of the domain placed the task.
func (d *Domain) formerEpoch(id api.TaskID) bool {
	parts := strings.Split(string(id), "/")
	return !strings.HasPrefix(parts[len(parts)-1], itoa(int(d.opts.Epoch))+".")
}

func (d *Domain) settleAdopted(a *attempt, now time.Time) {
	graceOver := now.Sub(d.started) > d.opts.lostAfter()
	c := a.copies[0]
	running, reserved := 0, 0
	for _, t := range c.tasks {
		synced := t.worker.synced
		switch {
		case t.over():
		case t.status.Started:
			running++
		case synced:
			// The target holds a reservation or nothing; either way it has not
			// started and will not, because the former owner's epoch is refused.
			reserved++
		case graceOver:
			t.lost = true
		default:
			return // wait for this worker
		}
	}
	if reserved == 0 {
		c.adopted = false
		d.advance(a)
		return
	}
	for _, t := range c.tasks {
		if !t.over() && !t.status.Started {
			t.status.State = target.TaskFenced
			d.goRun(func() { d.releaseTask(t) })
		}
	}
	if running > 0 {
		d.stopCopies(a)
	}
	d.advance(a)
}
