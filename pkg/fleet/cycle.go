package fleet

import (
	"context"
	"time"

	"github.com/carawayusher/carawayusher/internal/wait"
	"github.com/carawayusher/carawayusher/pkg/platform"
	"github.com/carawayusher/carawayusher/pkg/workload"
)

// Intervals and delays of the scheduling cycle.
const (
	pendingCycleInterval = 100 * time.Millisecond // while tasks wait for capacity or for their due time
	idleCycleInterval    = time.Second            // otherwise; only lease expiry of unresponsive workers is checked
	// eventBatchDelay lets related events share one store write.
	eventBatchDelay = 3 * time.Millisecond
	// cyclePauseFactor is the pause after a cycle in multiples of its duration, and
	// maxCyclePause the upper bound: with a backlog, cycles would otherwise leave no
	// CPU time to send the orders they decide on.
	cyclePauseFactor = 3
	maxCyclePause    = 100 * time.Millisecond
	// scanInterval is the time between two scans of all runs and leases, whose
	// timeouts are in the range of seconds.
	scanInterval = 100 * time.Millisecond
)

// cycleLoop loads the state and then runs scheduling cycles until ownership ends.
func (o *Owner) cycleLoop() {
	pause := storeRetryDelay
	for {
		jobsFrom, workersFrom, evacuationsFrom, err := o.loadState()
		if err == nil {
			o.goRun(func() { o.watchJobs(jobsFrom) })
			o.goRun(func() { o.watchWorkers(workersFrom) })
			o.goRun(o.machineOpsLoop)
			o.goRun(o.watchAutomationHold)
			if o.evacuationsEnabled() {
				o.goRun(func() { o.watchEvacuations(evacuationsFrom) })
			}
			o.goRun(o.pollMachines)
			break
		}
		if !wait.Sleep(o.ctx, pause) {
			return
		}
		o.opts.Log.Info("failed to load the state from the store; retrying", "reason", err.Error())
		pause = min(2*pause, maxStoreRetryDelay)
	}
	o.triggerCycle()
	tick := time.NewTimer(idleCycleInterval)
	defer tick.Stop()
	tickDue := o.opts.Clock() + idleCycleInterval
	delay := eventBatchDelay
	for {
		select {
		case <-o.cycleTrigger:
			wait.Sleep(o.ctx, delay)
		case <-tick.C:
		case <-o.ctx.Done():
			return
		}
		startedAt := o.opts.Clock()
		late := o.cycleDelay(startedAt, tickDue)
		pending := o.runCycle()
		endedAt := o.opts.Clock()
		delay = min(maxCyclePause, max(eventBatchDelay, cyclePauseFactor*(endedAt-startedAt)))
		o.startWrites()
		o.reportCycle(startedAt, endedAt, late)
		interval := map[bool]time.Duration{true: pendingCycleInterval, false: idleCycleInterval}[pending]
		tick.Reset(interval)
		tickDue = o.opts.Clock() + interval
	}
}

// runCycle makes one pass of decisions over the whole state. It reports whether work
// is pending.
func (o *Owner) runCycle() bool {
	requestedAt := o.opts.Clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.opts.Clock()
	o.cycle.lockWait, o.cycle.live, o.cycle.pending = now-requestedAt, len(o.live), 0
	scan := o.lastScanAt == 0 || now-o.lastScanAt >= scanInterval
	if scan {
		o.lastScanAt = now
		o.abandonExpiredRuns(now)
		o.settleOldStarts(now)
		o.dropLapsedGivenUpRuns(now)
		o.updateSpeeds(now)
	}
	o.finishCancelled()
	o.finishFailed()
	if scan && !o.automationHeld() {
		if o.ruleEnabled(RuleDrainEviction) {
			o.evictFromDraining(now)
		}
		if o.ruleEnabled(RuleStallEviction) {
			o.evictStalled(now)
		}
		if o.ruleEnabled(RuleEvacuationMove) {
			o.moveFromEvacuated()
		}
	}
	pending := o.placePending(now) || o.anyDrainingWithRuns() || o.anyToMove()
	o.finishCompleted()
	o.releaseEnded(now)
	o.deleteExpiredJobs(now)
	return pending
}

// finishCancelled ends the jobs for which a cancellation was requested.
func (o *Owner) finishCancelled() {
	for _, j := range o.active {
		if j.cancelRequested {
			o.finishJob(j, workload.Cancelled)
		}
	}
}

// finishFailed ends the jobs that have exhausted their attempts.
func (o *Owner) finishFailed() {
	for _, j := range o.active {
		if j.pendingFinalState != "" {
			o.finishJob(j, j.pendingFinalState)
		}
	}
}

func (o *Owner) finishCompleted() {
	for _, j := range o.active {
		if j.progress.AllDone() {
			o.finishJob(j, workload.Completed)
		}
	}
}

// finishJob sets the final state of a job and stops its remaining runs; the lock is
// held.
func (o *Owner) finishJob(j *job, s workload.State) {
	for g := range j.groups() {
		g.runTimes = nil
		for _, r := range g.runs {
			if r.phase == phasePlanned {
				o.unassign(r)
				continue
			}
			if s != workload.Completed {
				o.stopRun(r, "the job is "+string(s))
			}
		}
	}
	if s == workload.Completed {
		o.recordOutcome(j, o.opts.Clock()-j.acceptedAt <= lateFactor*o.targetDuration(j))
	}
	j.progress.State = s
	j.progress.FinishedUnixMS = o.opts.Now().UnixMilli()
	o.markDirty(j)
	o.removeLive(j)
	o.ending[j] = struct{}{}
	o.opts.Metrics.JobEnded(string(s))
	o.opts.Log.Info("job ends", "job", j.ID, "queue", j.Queue, "workspace", j.Workspace, "state", s,
		"tookMS", (o.opts.Clock() - j.acceptedAt).Milliseconds(), "slackFactor", j.Class.SlackFactor, "targetRuntimeMS", j.Class.TargetRuntime.Milliseconds())
}

// deleteExpiredJobs starts the deletion of jobs that ended longer ago than the
// retention; the lock is held.
func (o *Owner) deleteExpiredJobs(now time.Duration) {
	if now < o.nextCleanupAt {
		return
	}
	o.nextCleanupAt = now + deleteExpiredInterval
	limit := o.opts.Now().Add(-o.opts.EndedJobRetention - retentionMargin).UnixMilli()
	var ids []string
	for id, r := range o.released {
		if r.finishedUnixMS < limit {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		o.goRun(func() { o.deleteJobRecords(ids) })
	}
}

// jobsPerDelete is the number of jobs deleted by one transaction, with three keys each.
const jobsPerDelete = 10

func (o *Owner) deleteJobRecords(ids []string) {
	for len(ids) > 0 && o.awaitOwnership() {
		part := ids[:min(jobsPerDelete, len(ids))]
		ids = ids[len(part):]
		txn := platform.Txn{Conditions: []platform.Condition{{Key: OwnerKey, Version: o.ownership.token}}}
		for _, id := range part {
			txn.Deletes = append(txn.Deletes, ProgressKey(id), JobKey(id), CancelKey(id))
		}
		ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
		_, err := o.opts.Store.Commit(ctx, txn)
		cancel()
		if err != nil {
			o.opts.Log.Info("failed to delete the records of ended jobs; retrying later", "jobs", len(part), "reason", err.Error())
			return
		}
		o.mu.Lock()
		for _, id := range part {
			delete(o.released, id)
		}
		o.mu.Unlock()
	}
}
