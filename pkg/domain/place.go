package domain

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/carawayusher/carawayusher/pkg/api"
	"github.com/carawayusher/carawayusher/pkg/errkind"
	"github.com/carawayusher/carawayusher/pkg/sched"
	"github.com/carawayusher/carawayusher/pkg/target"
	"github.com/carawayusher/carawayusher/pkg/timeline"
)

// Limits of the calls of a placement.
const (
	// gangConcurrency bounds the concurrent calls for one gang.
	gangConcurrency = 64
	// startRetryDelay is the delay before a start without an answer is retried.
	startRetryDelay = 100 * time.Millisecond
	// maxStartTries bounds the tries; after them the start is resolved by Fence.
	maxStartTries = 5
)

// place reserves and starts an attempt on the placements that the scheduler chose.
func (d *Domain) place(act sched.Action) {
	d.mu.Lock()
	a, ok := d.attempts[act.Job]
	if !ok || a.ended || a.placing || a.withdrawReason != "" || len(a.copies) > 0 {
		d.mu.Unlock()
		d.opts.Scheduler.Ended(time.Now(), act.Job, act.Attempt, sched.EndCancelled, "")
		return
	}
	c, blamedWorker := d.newCopy(a, act.Placements, false)
	if c == nil {
		d.requeueAfterDelay(a, blamedWorker)
		d.mu.Unlock()
		return
	}
	a.placing = true
	a.copies = []*placedCopy{c}
	a.state = api.StateReserved
	d.mu.Unlock()
	d.runAsync(func() { d.placeCopy(a, c) })
}

// newCopy creates the tasks of a placement; the caller holds the lock. It returns
// nil and the worker's ID if a worker is gone or has not synced yet.
func (d *Domain) newCopy(a *attempt, placements []sched.Placement, hedge bool) (*placedCopy, string) {
	d.placementSeq++
	c := &placedCopy{hedge: hedge}
	for i, p := range placements {
		w, ok := d.workers[p.Worker]
		if !ok || !w.synced {
			return nil, p.Worker
		}
		t := &task{id: taskID(a.offer, d.opts.Epoch, d.placementSeq, i), index: i, job: a.offer.Job, copy: c, worker: w}
		t.status = target.TaskStatus{Task: t.id, State: target.TaskReserved, Accelerators: p.Accelerators}
		c.tasks = append(c.tasks, t)
		c.allocations = append(c.allocations, api.Allocation{Worker: w.id, Incarnation: w.incarnation, Accelerators: p.Accelerators, Task: t.id})
	}
	for _, t := range c.tasks {
		d.byTask[t.id] = t
	}
	return c, ""
}

// placeCopy places a copy in three steps: reserve on all workers, claim for an
// at-most-once job, start on all workers. A repeatable single task is reserved and
// started by one call.
func (d *Domain) placeCopy(a *attempt, c *placedCopy) {
	single := len(c.tasks) == 1 && !a.offer.Spec.AtMostOnce
	blamedWorker, err := d.reserveAll(a, c, single)
	if err != nil {
		d.handlePlacementFailure(a, c, blamedWorker, err)
		return
	}
	d.mu.Lock()
	d.recordEvent(timeline.Reserved, a, "")
	d.mu.Unlock()
	if a.offer.Spec.AtMostOnce {
		if err := d.claim(a, c); err != nil {
			d.handleClaimFailure(a, c, err)
			return
		}
	}
	if !single {
		d.startAll(a, c)
	}
	d.copyStarted(a, c)
}

// reserveAll reserves every task. After an error, the caller releases those that were
// reserved. It returns the worker that failed first.
func (d *Domain) reserveAll(a *attempt, c *placedCopy, start bool) (string, error) {
	d.mu.Lock()
	meta := taskMeta{Offer: metaOffer(a.offer), Allocations: slices.Clone(c.allocations), Hedge: c.hedge}
	d.mu.Unlock()
	g, ctx := errgroup.WithContext(d.ctx)
	g.SetLimit(gangConcurrency)
	var first sync.Once // the calls that the first failure cancels are not blamed on their workers
	blamed := ""
	for _, t := range c.tasks {
		g.Go(func() error {
			err := d.reserve(ctx, a, t, meta, start)
			if err != nil {
				first.Do(func() { blamed = t.worker.id })
			}
			return err
		})
	}
	err := g.Wait()
	return blamed, err
}

func (d *Domain) reserve(ctx context.Context, a *attempt, t *task, about taskMeta, start bool) error {
	about.Index = t.index
	meta, err := json.Marshal(about)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "encode task of job %s", a.offer.Job)
	}
	req := target.ReserveRequest{
		Task: t.id, Epoch: d.opts.Epoch, Accelerators: t.status.Accelerators,
		TTL: d.opts.LeaseTTL, Meta: meta,
	}
	if start {
		s := d.startRequest(a, t)
		req.Start = &s
	}
	callCtx, cancel := context.WithTimeout(ctx, d.opts.CallTimeout)
	defer cancel()
	res, err := d.conn(t).Reserve(callCtx, req)
	if err != nil {
		if ctx.Err() == nil { // not cancelled by the failure of another reservation
			d.handleTargetError(t.worker, err)
		}
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.copy.allocations[t.index].Incarnation, t.reserved = res.Incarnation, true
	t.worker.refusalBackoff = nil
	return nil
}

// metaOffer returns the offer without the parts that the next owner does not need
// from the target.
func metaOffer(o Offer) Offer {
	o.ClaimedAllocations = nil
	return o
}

func (d *Domain) startRequest(a *attempt, t *task) target.StartRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return target.StartRequest{
		Task: t.id, Epoch: d.opts.Epoch, Incarnation: t.allocation().Incarnation,
		Class: a.offer.Spec.Class, Payload: a.offer.Spec.Payload, Checkpoint: a.offer.Checkpoint,
	}
}

// handleTargetError stops new work to a worker that is leaving or refuses connections,
// and all work of this owner if its epoch is stale.
func (d *Domain) handleTargetError(w *worker, err error) {
	kind := errkind.Of(err)
	d.mu.Lock()
	switch kind {
	case errkind.TargetLeaving:
		w.leaving = true
		d.updateState(w)
	case errkind.StaleEpoch:
		d.handleStaleEpoch(w, err)
	case errkind.Unavailable:
		w.failing = true
		if w.cancelSync != nil {
			w.cancelSync() // the sync loop checks at once whether it is back
		}
		d.updateState(w)
	}
	d.mu.Unlock()
	if kind == errkind.TargetLeaving {
		d.opts.ReportLeaving(w.id)
	}
}

// claim journals the allocations of an at-most-once attempt at its partition.
func (d *Domain) claim(a *attempt, c *placedCopy) error {
	d.mu.Lock()
	allocations := append([]api.Allocation(nil), c.allocations...)
	withdrawn, partition := a.withdrawReason != "" || a.recallReason != "", a.offer.Partition
	d.mu.Unlock()
	if withdrawn {
		return errkind.New(errkind.Cancelled, "withdrawn before the start")
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.opts.LeaseTTL/2)
	defer cancel()
	err := d.opts.Reporter.Claim(ctx, partition, Claim{
		Job: a.offer.Job, Attempt: a.offer.Attempt, Domain: d.opts.Name, Allocations: allocations, Epoch: d.opts.Epoch,
	})
	d.opts.Metrics.claims.WithLabelValues(resultLabel(err)).Inc()
	return err
}

// handleClaimFailure releases all reservations. No start was sent, so the attempt
// certainly did not run, whether or not the claim was written.
func (d *Domain) handleClaimFailure(a *attempt, c *placedCopy, err error) {
	d.releaseAll(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dropUnstartedCopy(a, c) {
		return
	}
	a.report.Allocations = slices.Clone(c.allocations) // the partition releases only the claim of these allocations
	d.finishAttempt(a, api.OutcomeNotRun, sched.EndReservationFailed, "", "the claim was refused: "+err.Error())
}

// startAll starts every task. A start without an answer is retried; one that stays
// uncertain is decided by the next sync or by a fence.
func (d *Domain) startAll(a *attempt, c *placedCopy) {
	var g errgroup.Group
	g.SetLimit(gangConcurrency)
	for _, t := range c.tasks {
		g.Go(func() error {
			d.startTask(a, t)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
}

func (d *Domain) startTask(a *attempt, t *task) {
	req := d.startRequest(a, t)
	unanswered := false
	for try := 0; try < maxStartTries; try++ {
		ctx, cancel := context.WithTimeout(d.ctx, d.opts.CallTimeout)
		err := d.conn(t).Start(ctx, req)
		cancel()
		if err == nil {
			return
		}
		d.handleTargetError(t.worker, err)
		if !errkind.Is(err, errkind.Unavailable) {
			if unanswered {
				break // an earlier try may have taken effect
			}
			d.startRefused(a, t, err)
			return
		}
		unanswered = true
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(startRetryDelay):
		}
	}
	d.runAsync(func() { d.resolveStart(a, t) })
}

// startRefused marks a task that the target will certainly not run, for example
// because its reservation expired before the start arrived.
func (d *Domain) startRefused(a *attempt, t *task, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.status.State.Ended() || t.status.Started {
		return
	}
	t.lost = false // whatever the state of the worker, the task did not start there
	t.status.State = target.TaskFenced
	t.status.Error = err.Error()
	d.advance(a)
}

// copyStarted reports the start and applies a withdrawal or preemption that was
// requested during the placement.
func (d *Domain) copyStarted(a *attempt, c *placedCopy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a.placing, a.recallReason = false, ""
	c.started = true
	d.loseTasksOfRestart(a, c)
	if !c.hedge {
		d.markRunning(a)
	}
	switch {
	case a.withdrawReason != "":
		d.stopCopies(a)
	case a.preemption != nil:
		d.beginPreemption(a)
	}
	d.advance(a)
}

// markRunning reports that the attempt runs; the caller holds the lock.
func (d *Domain) markRunning(a *attempt) {
	now := time.Now()
	d.opts.Scheduler.Started(now, a.offer.Job, a.offer.Attempt)
	a.state, a.startedAt = api.StateRunning, now
	d.opts.Metrics.queueWait.WithLabelValues(a.offer.Spec.Class).Observe(now.Sub(a.offeredAt).Seconds())
	d.recordEvent(timeline.Started, a, "")
	d.reportState(a)
}

// loseTasksOfRestart declares tasks lost whose worker restarted after their reservation
// was made and before the answer to it arrived here.
func (d *Domain) loseTasksOfRestart(a *attempt, c *placedCopy) {
	for _, t := range c.tasks {
		if !t.finished() && t.reserved && t.allocation().Incarnation < t.worker.incarnation {
			t.lost = true
			a.report.Reason = "the worker restarted"
		}
	}
}

// handlePlacementFailure releases the reservations and queues the attempt again.
func (d *Domain) handlePlacementFailure(a *attempt, c *placedCopy, blamedWorker string, err error) {
	if len(c.tasks) == 1 && !a.offer.Spec.AtMostOnce && errkind.Is(err, errkind.Unavailable) && d.mayHaveStarted(c.tasks[0]) {
		// The combined reserve and start got no answer, and the fence did not rule
		// out that the task ran. Its worker's next answer or the lease expiry decides.
		d.copyStarted(a, c)
		d.runAsync(func() { d.resolveStart(a, c.tasks[0]) })
		return
	}
	d.releaseAll(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dropUnstartedCopy(a, c) {
		return
	}
	switch {
	case a.withdrawReason != "" || a.recallReason != "":
		d.finishAttempt(a, api.OutcomeNotRun, sched.EndCancelled, "", cmp.Or(a.withdrawReason, a.recallReason))
	case a.preemption != nil:
		d.finishAttempt(a, api.OutcomeNotRun, sched.EndPreempted, "", a.preemption.reason)
	default:
		d.recordEvent(timeline.Queued, a, "placement refused by "+blamedWorker+": "+err.Error())
		d.requeueAfterDelay(a, blamedWorker)
	}
}

// dropUnstartedCopy drops a copy that was not started. It reports whether the attempt
// has another copy: c was a hedge, or a copy of the former owner was adopted.
func (d *Domain) dropUnstartedCopy(a *attempt, c *placedCopy) bool {
	a.placing = false
	d.dropCopy(c)
	a.copies = slices.DeleteFunc(a.copies, func(o *placedCopy) bool { return o == c })
	if len(a.copies) == 0 {
		return false
	}
	if a.withdrawReason != "" {
		d.stopCopies(a)
	} else if a.preemption != nil {
		d.beginPreemption(a)
	}
	d.advance(a)
	return true
}

func (d *Domain) mayHaveStarted(t *task) bool {
	d.mu.Lock()
	w, alloc := t.worker, t.allocation()
	d.mu.Unlock()
	st, sameProcess, err := d.fence(w, alloc)
	return err != nil || st.Started || !sameProcess
}

// releaseAll releases every reservation of a copy. A failed release is retried in the
// background, because each sync renews the lease of the reservation.
func (d *Domain) releaseAll(c *placedCopy) {
	var g errgroup.Group
	g.SetLimit(gangConcurrency)
	for _, t := range c.tasks {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(d.ctx, d.opts.CallTimeout)
			defer cancel()
			if err := d.conn(t).Release(ctx, t.id, d.opts.Epoch); err != nil {
				d.handleTargetError(t.worker, err)
				d.runAsync(func() { d.releaseTask(t) })
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
}

// dropCopy removes the tasks of a copy from the index; the caller holds the lock.
func (d *Domain) dropCopy(c *placedCopy) {
	for _, t := range c.tasks {
		delete(d.byTask, t.id)
	}
}

// hedge starts a second copy of a straggler that may run more than once.
func (d *Domain) hedge(act sched.Action) {
	d.mu.Lock()
	a, ok := d.attempts[act.Job]
	if !ok || a.ended || a.placing || a.withdrawReason != "" || a.preemption != nil || len(a.copies) != 1 || a.offer.Spec.AtMostOnce {
		d.mu.Unlock()
		return
	}
	c, _ := d.newCopy(a, act.Placements, true)
	if c == nil {
		d.mu.Unlock()
		return
	}
	a.placing = true
	a.copies = append(a.copies, c)
	d.recordEvent(timeline.Hedged, a, act.Reason)
	d.mu.Unlock()
	d.runAsync(func() { d.placeCopy(a, c) })
}

func (d *Domain) throttle(act sched.Action) {
	d.mu.Lock()
	var tasks []*task
	for _, t := range d.byTask {
		if t.job == act.Job && !t.finished() {
			tasks = append(tasks, t)
		}
	}
	d.mu.Unlock()
	for _, t := range tasks {
		d.runAsync(func() {
			ctx, cancel := context.WithTimeout(d.ctx, d.opts.CallTimeout)
			defer cancel()
			if err := d.conn(t).Throttle(ctx, t.id, d.opts.Epoch, act.Share); err != nil {
				d.opts.Log.V(1).Info("throttle failed", "task", t.id, "error", err.Error())
			}
		})
	}
}

func (d *Domain) refuse(act sched.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.attempts[act.Job]
	if !ok || a.ended {
		return
	}
	a.report.ErrorKind = string(act.Kind)
	d.recordEvent(timeline.Refused, a, act.Reason)
	d.finishAttempt(a, api.OutcomeRefused, sched.EndCancelled, "", act.Reason)
}

// recordEvent records an event of the attempt; the caller holds the lock.
func (d *Domain) recordEvent(t timeline.Type, a *attempt, reason string) {
	e := timeline.Event{
		Type: t, Job: a.offer.Job, Workspace: a.offer.Spec.Workspace, Domain: d.opts.Name, Reason: reason,
	}
	if len(a.copies) > 0 && len(a.copies[0].allocations) > 0 {
		e.Worker = a.copies[0].allocations[0].Worker
	}
	d.opts.Recorder.Record(e)
}
