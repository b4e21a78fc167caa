package domain

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
)

// adoptTask adopts one task found at a target; the caller holds the lock.
func (d *Domain) adoptTask(w *worker, st target.TaskStatus) {
	var meta taskMeta
	if err := json.Unmarshal(st.Meta, &meta); err != nil {
		d.opts.Log.Error(err, "task metadata cannot be decoded; ending the task", "task", st.Task, "worker", w.id)
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
	d.opts.Metrics.adoptedTasks.Inc()
	t := c.tasks[meta.Index]
	t.worker, t.status, t.lost = w, st, false
	c.started = c.started || st.Started
	if st.Started {
		a.state = api.StateRunning
		if a.startedAt.IsZero() || st.StartedAt.Before(a.startedAt) {
			a.startedAt = st.StartedAt
		}
		d.reportState(a)
	}
	if a.withdrawReason != "" {
		d.stopCopies(a)
	}
	d.advance(a)
}

// adoptAttempt finds or creates the attempt of an adopted task. Targets retain ended
// tasks for a while, so that tasks of several attempts may appear in any order; the
// latest attempt wins.
func (d *Domain) adoptAttempt(meta taskMeta, st target.TaskStatus) *attempt {
	if st.State.Ended() && !st.Started {
		return nil // a reservation that was never started
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
		d.dropAttempt(a)
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

// adoptCopy finds or creates the copy of an adopted task and registers its
// allocations with the scheduler.
func (d *Domain) adoptCopy(a *attempt, meta taskMeta, id api.TaskID) *placedCopy {
	key := placementKey(id)
	for _, c := range a.copies {
		if placementKey(c.tasks[0].id) == key {
			return c
		}
	}
	c := &placedCopy{allocations: meta.Allocations, hedge: meta.Hedge, adopted: true}
	for i, p := range meta.Allocations {
		w := d.workers[p.Worker]
		if w == nil {
			w = unlistedWorker(p.Worker) // its tasks are lost unless the worker appears
		}
		t := &task{id: api.TaskID(key + "." + itoa(i)), index: i, job: a.offer.Job, copy: c, worker: w, reserved: true}
		t.status = target.TaskStatus{Task: t.id, State: target.TaskReserved, Accelerators: p.Accelerators}
		c.tasks = append(c.tasks, t)
		d.byTask[t.id] = t
	}
	a.copies = append(a.copies, c)
	if err := d.opts.Scheduler.Adopt(time.Now(), schedJob(a.offer), schedPlacements(meta.Allocations), a.startedAt); err != nil {
		d.opts.Log.Info("scheduler could not register the placement of an adopted job", "job", a.offer.Job, "error", err.Error())
	}
	return c
}

func schedPlacements(allocations []api.Allocation) []sched.Placement {
	out := make([]sched.Placement, len(allocations))
	for i, p := range allocations {
		out[i] = sched.Placement{Worker: p.Worker, Accelerators: p.Accelerators}
	}
	return out
}

// resolveAdoptedGangs completes adopted gangs: once every worker has answered or the
// leases have expired, a gang that was reserved but not started is released, and
// one with only some tasks started is stopped, so that none runs partially.
func (d *Domain) resolveAdoptedGangs(now time.Time) {
	for _, a := range d.attempts {
		if a.ended || a.placing || len(a.copies) == 0 || !a.copies[0].adopted {
			continue
		}
		d.resolveAdoptedGang(a, now)
	}
}

// placedByFormerOwner reports whether a former owner of the domain placed the task.
func (d *Domain) placedByFormerOwner(id api.TaskID) bool {
	parts := strings.Split(string(id), "/")
	return !strings.HasPrefix(parts[len(parts)-1], itoa(int(d.opts.Epoch))+".")
}

func (d *Domain) resolveAdoptedGang(a *attempt, now time.Time) {
	graceOver := now.Sub(d.started) > d.opts.lostTimeout()
	c := a.copies[0]
	running, reserved := 0, 0
	for _, t := range c.tasks {
		synced := t.worker.synced
		switch {
		case t.finished():
		case t.status.Started:
			running++
		case synced:
			// The target has a reservation or nothing; either way the task has not
			// started and will not, because the target rejects the former owner's epoch.
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
		if !t.finished() && !t.status.Started {
			t.status.State = target.TaskFenced
			d.runAsync(func() { d.releaseTask(t) })
		}
	}
	if running > 0 {
		d.stopCopies(a)
	}
	d.advance(a)
}
