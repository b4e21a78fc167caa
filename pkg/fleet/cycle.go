package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Pauses between cycles without an event.
const (
	busyTick = 100 * time.Millisecond // work waits for room or a due time
	idleTick = time.Second            // only leases of silent workers are watched
	// gatherPause lets events that belong together share one write.
	gatherPause = 3 * time.Millisecond
	// cycleRest is the pause after a cycle in multiples of the time that it took, and
	// maxRest its bound: with a backlog, cycles would otherwise leave no processor
	// time for the orders that they decide on.
	cycleRest = 3
	maxRest   = 100 * time.Millisecond
	// scanEvery is the pause between two looks through all runs and leases, whose
	// times are in seconds.
	scanEvery = 100 * time.Millisecond
)

// cycle decides, stores and sends, until ownership ends.
func (o *Owner) cycle() {
	pause := retryPause
	for {
		jobsFrom, workersFrom, err := o.load()
		if err == nil {
			o.goRun(func() { o.followJobs(jobsFrom) })
			o.goRun(func() { o.followWorkers(workersFrom) })
			o.goRun(o.duties)
			o.goRun(o.watchAutomationHold)
			o.goRun(o.followMachines)
			break
		}
		if !wait.Sleep(o.ctx, pause) {
			return
		}
		o.opts.Log.Info("state not loaded", "reason", err.Error())
		pause = min(2*pause, maxRetryPause)
	}
	o.triggerCycle()
	tick := time.NewTimer(idleTick)
	defer tick.Stop()
	rest := gatherPause
	for {
		select {
		case <-o.cycleTrigger:
			wait.Sleep(o.ctx, rest)
		case <-tick.C:
		case <-o.ctx.Done():
			return
		}
		begunAt := o.opts.Clock()
		waiting := o.step()
		rest = min(maxRest, max(gatherPause, cycleRest*(o.opts.Clock()-begunAt)))
		o.startWrites()
		tick.Reset(map[bool]time.Duration{true: busyTick, false: idleTick}[waiting])
	}
}

// step is one decision over the whole state. It returns whether work waits.
func (o *Owner) step() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock()
	scan := o.lastScanAt == 0 || now-o.lastScanAt >= scanEvery
	if scan {
		o.lastScanAt = now
		o.lapseSilent(now)
	}
	o.endCancelled()
	o.endFailed()
	if scan && !o.automationHeld() {
		o.moveFromLeaving(now)
		o.moveFromStalled(now)
	}
	waiting := o.placeWaiting(now) || o.anyLeaving()
	o.endCompleted()
	o.collect(now)
	return waiting
}

// endCancelled stops the jobs whose callers no longer want them.
func (o *Owner) endCancelled() {
	for _, j := range o.live {
		if j.cancelRequested {
			o.finish(j, workload.Cancelled)
		}
	}
}

// endFailed ends the jobs that have used up their attempts.
func (o *Owner) endFailed() {
	for _, j := range o.live {
		if j.giveUp != "" {
			o.finish(j, j.giveUp)
		}
	}
}

func (o *Owner) endCompleted() {
	for _, j := range o.live {
		if j.progress.AllDone() {
			o.finish(j, workload.Completed)
		}
	}
}

// finish gives a job its final state and stops what still runs; the lock is held.
func (o *Owner) finish(j *job, s workload.State) {
	for _, g := range j.groups {
		for _, r := range g.runs {
			if r.phase == planned {
				o.unassign(r)
				continue
			}
			if s != workload.Completed {
				o.stopRun(r, "the job is "+string(s))
			}
		}
	}
	j.progress.State = s
	j.progress.FinishedUnixMS = o.opts.Now().UnixMilli()
	o.markDirty(j)
	delete(o.live, j.ID)
	o.opts.Metrics.JobEnded(string(s))
	o.opts.Log.Info("job ends", "job", j.ID, "queue", j.Queue, "state", s, "tookMS", (o.opts.Clock() - j.firstAt).Milliseconds())
}

// collect deletes the records of jobs that ended long ago; the lock is held.
func (o *Owner) collect(now time.Duration) {
	if now < o.nextCleanupAt {
		return
	}
	o.nextCleanupAt = now + collectEvery
	limit := o.opts.Now().Add(-o.opts.EndedJobRetention - statusMargin).UnixMilli()
	var ids []string
	for id, j := range o.jobs {
		if j.shown.Final() && !j.active() && j.progress.FinishedUnixMS < limit && j.changed == j.committed {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		o.goRun(func() { o.deleteRecords(ids) })
	}
}

// deleteBatch is how many jobs are deleted by one transaction, three keys each.
const deleteBatch = 10

func (o *Owner) deleteRecords(ids []string) {
	for len(ids) > 0 && o.awaitOwnership() {
		part := ids[:min(deleteBatch, len(ids))]
		ids = ids[len(part):]
		txn := platform.Txn{Conditions: []platform.Condition{{Key: OwnerKey, Version: o.ownership.token}}}
		for _, id := range part {
			txn.Deletes = append(txn.Deletes, ProgressKey(id), JobKey(id), CancelKey(id))
		}
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		_, err := o.opts.Store.Commit(ctx, txn)
		cancel()
		if err != nil {
			o.opts.Log.Info("records of ended jobs not deleted yet", "jobs", len(part), "reason", err.Error())
			return
		}
		o.mu.Lock()
		for _, id := range part {
			delete(o.jobs, id)
		}
		o.mu.Unlock()
	}
}
